"""Persists an assigner's state on disk and recovers it after a restart.

Without I/O: `state` (the persisted state), `changes` (changes to it), `codec` (their stored form),
`records` (framing and checksums), `timestamps`, `trust` (how far a persisted endpoint list is
trusted), `reconciliation` (how endpoint lists and evidence update it) and `tracker` (which changes
are due for a commit). With I/O: `disk` (system calls), `generations` and `directory` (snapshots
and logs), `writer` (the thread that commits), `machine_clock`, and `durable_state`, the interface
for the assigner. The package is imported only if the operator's file enables it.
"""
