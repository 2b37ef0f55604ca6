"""The counters of the process's resource usage."""

import subprocess
import sys

PROGRAM = (
    "from havendyke.net.resource_usage import resource_usage as u; print(u()['memory_max_mb'])"
)


# Guards against a peak that is another process's: `ru_maxrss` has that of the process that starts
# the program, up to the moment of `exec`.
def test_the_peak_of_the_memory_is_that_of_the_process_itself():
    ballast = bytearray(b"x") * (200 << 20)
    output = subprocess.run([sys.executable, "-c", PROGRAM], capture_output=True, check=True).stdout
    assert len(ballast) and 1 < float(output) < 100
