"""Serves routing tables to proxies over xDS: versions, acknowledgements, subscriptions on demand.

The protocol's state machines do no I/O. The service does not use this package until an adapter
runs `server`.
"""
