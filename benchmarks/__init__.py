"""`python -m benchmarks NAME` prints one JSON line; most figures are ratios to an earlier version
that ran at the same time."""
