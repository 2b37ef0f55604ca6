"""The laboratory: simulated peers of the assigner, a model of the data plane, and the rules that
every deployment keeps, as code.

Nothing that `run` starts imports it.
"""
