"""Pseudorandom numbers that depend on the seed alone, on every machine."""

MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
MODULUS = 1 << 64
# The low bits of a linear congruential generator have short periods.
DISCARDED_BITS = 33
RESULT_BITS = 31


class LinearCongruentialGenerator:
    """Knuth's MMIX generator; returns the high bits only."""

    def __init__(self, seed: int) -> None:
        self.state = seed % MODULUS

    def draw(self) -> float:
        """The next number, in [0, 1)."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % MODULUS
        return (self.state >> DISCARDED_BITS) / (1 << RESULT_BITS)
