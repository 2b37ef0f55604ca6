"""Bytes read as decisions, so that one input format serves atheris, hypothesis, the corpus and the
minimiser."""

import copy

EDGE_NUMBERS = (
    0,
    1,
    -1,
    2,
    0.5,
    1e-9,
    -0.0,
    1e6,
    1e9,
    1e18,
    -1e18,
    1e300,
    2**31,
    2**63,
    10**40,
    255,
    65535,
    65536,
)
UNUSUAL_VALUES = (
    None,
    True,
    False,
    "",
    "x",
    "1",
    "-1",
    "0",
    [],
    [1],
    {},
    {"a": 1},
    "\u0661",
    "1_0",
    " 1",
    "nan",
    "inf",
    "1e400",
)


class Draw:
    """Every input is a whole program: past its end all draws are 0, the plainest choice."""

    def __init__(self, data: bytes):
        self.data, self.position = bytes(data), 0

    @property
    def exhausted(self) -> bool:
        return self.position >= len(self.data)

    def byte(self) -> int:
        self.position += 1
        return self.data[self.position - 1] if self.position <= len(self.data) else 0

    def below(self, most: int) -> int:
        """From 0 to `most` - 1, from one byte; from two where that is more than 256."""
        return (self.byte() if most <= 256 else self.byte() << 8 | self.byte()) % most

    def choice(self, some):
        return some[self.below(len(some))]

    def fraction(self) -> float:
        """From 0 to 1, both included."""
        return self.byte() / 255

    def number_between(self, least: float, most: float) -> float:
        return least + (most - least) * self.fraction()

    def flag(self) -> bool:
        return bool(self.byte() & 1)

    def unusual_value(self):
        """A JSON value that a message hardly ever has; a copy, for targets write into what they are
        given."""
        return (
            copy.deepcopy(self.choice(UNUSUAL_VALUES)) if self.flag() else self.choice(EDGE_NUMBERS)
        )

    def remaining_bytes(self) -> bytes:
        made, self.position = self.data[self.position :], len(self.data)
        return made
