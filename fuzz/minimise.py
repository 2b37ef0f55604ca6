"""Makes an input that fails small: steps out, then bytes out, then bytes plain, as long as it fails
alike."""

from .cases import run_and_catch, signature
from .registry import Target


def shrink(target: Target, data: bytes, tries: int = 4000) -> tuple:
    """The smallest input found that fails with the same signature, and how many were tried."""
    error = run_and_catch(target, data)
    if error is None:
        return data, 1
    wanted, used = signature(error), 1

    def fails(candidate):
        nonlocal used
        used += 1
        told = run_and_catch(target, candidate)
        return told is not None and signature(told) == wanted

    def without(data, grain, head):
        size = max(grain, (len(data) - head) // 2 // grain * grain)
        while size >= grain and used < tries:
            at = head
            while at < len(data) and used < tries:
                candidate = data[:at] + data[at + size :]
                if fails(candidate):
                    data = candidate
                else:
                    at += size
            size = size // 2 // grain * grain
        return data

    before = None
    while data != before and used < tries:
        before = data
        data = without(data, target.step_size, target.header_size)
        if target.step_size == 1:
            data = without(data, 1, 0)
        for at in range(len(data)):
            for plain in (0, 1, data[at] // 2):
                if (
                    used < tries
                    and plain < data[at]
                    and fails(data[:at] + bytes([plain]) + data[at + 1 :])
                ):
                    data = data[:at] + bytes([plain]) + data[at + 1 :]
                    break
    return data, used
