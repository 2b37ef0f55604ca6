"""Decodes drawn values from the bytes of an input, so that one input format serves atheris,
hypothesis, the corpus and the minimiser."""

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
    """Reads values from an input; past its end every byte is 0, which is the simplest choice."""

    def __init__(self, data: bytes):
        self.data, self.position = bytes(data), 0

    @property
    def exhausted(self) -> bool:
        return self.position >= len(self.data)

    def byte(self) -> int:
        self.position += 1
        return self.data[self.position - 1] if self.position <= len(self.data) else 0

    def below(self, bound: int) -> int:
        """From 0 to `bound` - 1, from one byte, or from two bytes if `bound` is over 256."""
        return (self.byte() if bound <= 256 else self.byte() << 8 | self.byte()) % bound

    def choice(self, options):
        return options[self.below(len(options))]

    def fraction(self) -> float:
        """From 0 to 1 inclusive."""
        return self.byte() / 255

    def flag(self) -> bool:
        return bool(self.byte() & 1)

    def unusual_value(self):
        """A JSON value that is unusual in a message. It is a copy, since targets modify the values
        that they receive."""
        return (
            copy.deepcopy(self.choice(UNUSUAL_VALUES)) if self.flag() else self.choice(EDGE_NUMBERS)
        )

    def remaining_bytes(self) -> bytes:
        remaining, self.position = self.data[self.position :], len(self.data)
        return remaining
