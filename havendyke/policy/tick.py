"""The interval between reconciliations while no events arrive."""

TICK_INTERVAL_MS = 250.0
