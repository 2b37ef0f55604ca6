"""Listens at the assigner's own address, and retries while that is taken or missing."""

import asyncio
import socket
from collections.abc import Callable

from .connection import Connection
from .event_loop import EventLoop

Accept = Callable[[], Connection]


async def listen(event_loop: EventLoop, address: tuple[str, int], accept: Accept) -> None:
    """Returns once connections are accepted; `accept` makes the protocol of each."""
    while True:
        try:
            await _open_listener(event_loop, address, accept)
            return
        except OSError as error:
            # A process that ended just now may still hold the address.
            event_loop.log("listen_failed", cause=error.strerror)
            await asyncio.sleep(event_loop.limits.listen_retry_ms / 1000)


async def _open_listener(event_loop: EventLoop, address: tuple[str, int], accept: Accept) -> None:
    limits = event_loop.limits
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family)
    try:
        # asyncio accepts up to its backlog at once, and a flood would take all descriptors; the
        # kernel's queue may be longer and is set afterwards.
        await asyncio.get_running_loop().create_server(
            accept, sock=listener, backlog=limits.accept_batch_size
        )
        listener.listen(limits.listen_backlog)
    except OSError:
        # The next attempt would find the address taken by this socket.
        listener.close()
        raise
    event_loop.log("listening")
