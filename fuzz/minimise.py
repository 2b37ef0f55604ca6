"""Minimises a failing input: removes steps, then bytes, then simplifies bytes, as long as the
signature of the failure stays the same."""

from .cases import run_and_catch, signature
from .registry import Target


def shrink(target: Target, data: bytes, max_attempts: int = 4000) -> tuple:
    """The smallest input found with the same signature, and the number of attempts."""
    error = run_and_catch(target, data)
    if error is None:
        return data, 1
    expected, attempts = signature(error), 1

    def fails(candidate):
        nonlocal attempts
        attempts += 1
        candidate_error = run_and_catch(target, candidate)
        return candidate_error is not None and signature(candidate_error) == expected

    def remove_chunks(data, granularity, header_size):
        size = max(granularity, (len(data) - header_size) // 2 // granularity * granularity)
        while size >= granularity and attempts < max_attempts:
            offset = header_size
            while offset < len(data) and attempts < max_attempts:
                candidate = data[:offset] + data[offset + size :]
                if fails(candidate):
                    data = candidate
                else:
                    offset += size
            size = size // 2 // granularity * granularity
        return data

    previous = None
    while data != previous and attempts < max_attempts:
        previous = data
        data = remove_chunks(data, target.step_size, target.header_size)
        if target.step_size == 1:
            data = remove_chunks(data, 1, 0)
        for offset in range(len(data)):
            for simple in (0, 1, data[offset] // 2):
                if (
                    attempts < max_attempts
                    and simple < data[offset]
                    and fails(data[:offset] + bytes([simple]) + data[offset + 1 :])
                ):
                    data = data[:offset] + bytes([simple]) + data[offset + 1 :]
                    break
    return data, attempts
