"""Scale runs: the cost of each assigner, measured against a model of the whole fleet.

*Hollow* assigners run the production state machines on a simulated clock, many in one process.
*Real* assigners are the program itself on loopback sockets, connected to the same stand-ins.
`docs/operators/capacity.md` describes how to run them.
"""
