"""Stand-ins of a soak: the platform's peers, each able to fail in a drawn way."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Any

from ._stub_peers import Discovery, Recorder, Relay, Store, json_line, resp_command

BUSY_MESSAGE = "BUSY"
UNREADABLE_REPLY = b"{]\n"
PONG = b"PONG"
READ_BYTES = 65_536


INVALID_NOTIFICATIONS = (
    b"{]",
    b"\x00\xff",
    b'{"method":["SUBSCRIBE"]}',
    b'{"method":{"a":1},"params":{}}',
    b'{"method":"ROW","params":{"partition":"x","host":3,"share":-1}}',
    b'{"method":"ACK","params":{"sidecar":1,"version":1e99,"lag_ms":null}}',
    b"[1,2,3]",
)


class CallOutcome(Enum):
    """How the relay ends a call; a call that is not carried out leaves the store as it is."""

    ANSWERED = "answered"
    CLOSED_APPLIED = "cut, carried out"
    CLOSED_DROPPED = "cut, dropped"
    SILENT_APPLIED = "silent, carried out"
    SILENT_DROPPED = "silent, dropped"
    UNREADABLE_APPLIED = "unreadable reply, carried out"
    UNREADABLE_DROPPED = "unreadable reply, dropped"
    BUSY = "busy"

    @property
    def applies_orders(self) -> bool:
        """Whether the orders take effect."""
        return self is CallOutcome.ANSWERED or self.value.endswith("carried out")


class FailingRelay(Relay):
    """A relay whose next calls end as told, and whose watches can be cut."""

    def __init__(self, name: str, recorder: Recorder, store: Store) -> None:
        """Answers every call until `endings` has some."""
        super().__init__(name, recorder, store)
        self.call_outcomes: list[CallOutcome] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers requests until the other side ends the connection, or an ending does."""
        while True:
            request = json.loads(await reader.readuntil(b"\n"))
            if request["method"] == "relay.watch":
                await self._serve_watch(request["id"], reader, writer)
                return
            outcome = self.call_outcomes.pop(0) if self.call_outcomes else CallOutcome.ANSWERED
            if not await self._finish_call(outcome, request, reader, writer):
                return

    def reset_watches(self, count: int) -> None:
        """Resets so many of the connections that carry the watch."""
        for writer in list(self._watchers)[:count]:
            writer.transport.abort()

    def send_invalid_notification(self, text: bytes) -> None:
        """Says this on the first connection that carries the watch."""
        for writer in list(self._watchers)[:1]:
            writer.write(text + b"\n")

    async def _finish_call(
        self,
        outcome: CallOutcome,
        request: dict[str, Any],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Ends a call; returns whether the connection is still of use."""
        if outcome is CallOutcome.ANSWERED:
            self._answer_call(request, writer)
            return True
        if outcome is CallOutcome.BUSY:
            error = {"code": 1, "message": BUSY_MESSAGE}
            writer.write(json_line({"jsonrpc": "2.0", "id": request["id"], "error": error}))
            return True
        if outcome.applies_orders:
            self._answer_call(request, _DiscardingWriter())  # type: ignore[arg-type]
        if outcome.value.startswith("unreadable"):
            writer.write(UNREADABLE_REPLY)
        if not outcome.value.startswith("cut"):
            await reader.read(1)
        return False


class _DiscardingWriter:
    """Takes the reply that is not to arrive."""

    def write(self, data: bytes) -> None:
        """Drops it."""


class FailingDiscovery(Discovery):
    """Discovery whose watches can be cut, and whose next change may be spoilt."""

    def reset_watches(self, count: int) -> None:
        """Resets so many watches."""
        for writer in list(self._watchers)[:count]:
            writer.transport.abort()

    def restart_server(self, name: str, boot_ms: float) -> None:
        """A server is ready again after a start just now."""
        self.entries[name]["boot_ms"] = boot_ms
        self.update_states(**{name: "in_service"})

    def send_unreadable_change(self, name: str) -> None:
        """Notifies the watches of an entry that cannot be read."""
        entry = self.entries[name]
        self.entries[name] = {**entry, "boot_ms": "soon"}
        self.revision += 1
        data = self._list_message(complete=False, names=[name])
        self.entries[name] = entry
        for writer in self._watchers:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class PingingCollector:
    """A named collector that reports and asks PING on its open connection until it ends."""

    def __init__(
        self, zone: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Takes over a connection and names itself."""
        self.sent = 0
        self.answered = 0
        self._reader = reader
        self._writer = writer
        writer.write(resp_command("SOURCE", "az", zone))
        self._reading = asyncio.create_task(self._read())

    @property
    def is_open(self) -> bool:
        """Whether the assigner still holds the connection."""
        return not self._reading.done()

    def ping(self, *reports: bytes) -> None:
        """Reports, and asks whether the assigner is alive."""
        self.sent += 1
        with suppress(ConnectionError):
            self._writer.write(b"".join(reports) + resp_command("PING"))

    def close(self) -> None:
        """Ends the connection."""
        self._writer.transport.abort()

    async def _read(self) -> None:
        buffered = b""
        with suppress(ConnectionError):
            while data := await self._reader.read(READ_BYTES):
                buffered += data
                self.answered += buffered.count(PONG)
                buffered = buffered[-len(PONG) + 1 :] if PONG not in buffered[-len(PONG) :] else b""


# What a crowd of strangers says: nothing, half a message, another protocol, an endless length.
UNKNOWN_CLIENT_DATA = (
    b"",
    b"*1\r\n$4\r\nPI",
    b"\x00\xff\x00garbage\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"*1\r\n$99999999999999999999\r\n",
    b"*99999999\r\n",
)


async def is_answered_or_closed(connect: Callable[[], Any], said: bytes, limit_s: float) -> bool:
    """Whether a stranger that says this is answered or closed in time."""
    try:
        reader, writer = await connect()
    except OSError:
        return True
    try:
        writer.write(said)
        await asyncio.wait_for(reader.read(1), limit_s)
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        writer.transport.abort()
    return True
