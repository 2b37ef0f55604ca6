"""Generation numbers of proxies and slices: odd while present, even while absent.

Several streams of the relay report the same changes; a stream may lag behind the others or begin
later. A report that raises the generation is new, any other is a duplicate.
"""


def is_present(generation: int) -> bool:
    """Whether the proxy is connected, or the slice assigned."""
    return generation & 1 == 1


def next_present(generation: int) -> int:
    """The generation after an arrival; if it was still present, a missed departure counts too."""
    return generation + (2 if is_present(generation) else 1)


def next_absent(generation: int) -> int:
    """The generation after a departure; unchanged where it was absent already."""
    return generation + (generation & 1)


def present_from(generation: int) -> int:
    """The lowest generation, from this one on, that is present."""
    return generation | 1


def aligned_from(reported: int, seen: int) -> int:
    """The lowest generation, from the reported one on, that is present or absent as `seen` is."""
    return reported + ((reported ^ seen) & 1)
