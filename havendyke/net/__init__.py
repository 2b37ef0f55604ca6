"""The assigner on the platform's network protocols.

Parsers and state machines without I/O, and the event loop, sockets, clock and log that drive them.
"""
