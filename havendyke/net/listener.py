"""Listens on the assigner's address, and retries while it is in use or not available."""

import asyncio
import socket
from collections.abc import Callable

from .connection import Connection
from .event_loop import EventLoop

Accept = Callable[[], Connection]


async def listen(event_loop: EventLoop, address: tuple[str, int], accept: Accept) -> None:
    """Returns once the socket listens; `accept` creates the protocol of each connection."""
    while True:
        try:
            await _open_listener(event_loop, address, accept)
            return
        except OSError as error:
            # A process that has just ended may still hold the address.
            event_loop.log("listen_failed", cause=error.strerror)
            await asyncio.sleep(event_loop.limits.listen_retry_ms / 1000)


async def _open_listener(event_loop: EventLoop, address: tuple[str, int], accept: Accept) -> None:
    limits = event_loop.limits
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family)
    try:
        # asyncio accepts up to `backlog` connections at once, which could use up the descriptors.
        # The kernel's queue may be longer, so it is set separately afterwards.
        await asyncio.get_running_loop().create_server(
            accept, sock=listener, backlog=limits.accept_batch_size
        )
        listener.listen(limits.listen_backlog)
    except OSError:
        # Otherwise this socket would hold the address at the next attempt.
        listener.close()
        raise
    event_loop.log("listening")
