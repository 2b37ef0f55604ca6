"""Stub peers of a soak, which can be made to fail."""

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
    """How the relay ends a call, and whether the call's orders are applied to the store."""

    ANSWERED = "answered"
    CLOSED_APPLIED = "closed, applied"
    CLOSED_DROPPED = "closed, dropped"
    SILENT_APPLIED = "silent, applied"
    SILENT_DROPPED = "silent, dropped"
    UNREADABLE_APPLIED = "unreadable reply, applied"
    UNREADABLE_DROPPED = "unreadable reply, dropped"
    BUSY = "busy"

    @property
    def applies_orders(self) -> bool:
        """Whether the relay applies the call's orders."""
        return self is CallOutcome.ANSWERED or self.value.endswith("applied")


class FailingRelay(Relay):
    """A relay whose next calls have given outcomes, and whose watches can be reset."""

    def __init__(self, name: str, recorder: Recorder, store: Store) -> None:
        """Answers every call while `call_outcomes` is empty."""
        super().__init__(name, recorder, store)
        self.call_outcomes: list[CallOutcome] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers requests until the assigner or a call's outcome closes the connection."""
        while True:
            request = json.loads(await reader.readuntil(b"\n"))
            if request["method"] == "relay.watch":
                await self._serve_watch(request["id"], reader, writer)
                return
            outcome = self.call_outcomes.pop(0) if self.call_outcomes else CallOutcome.ANSWERED
            if not await self._finish_call(outcome, request, reader, writer):
                return

    def reset_watches(self, count: int) -> None:
        """Resets the connections of at most `count` watches."""
        for writer in list(self._watchers)[:count]:
            writer.transport.abort()

    def send_invalid_notification(self, text: bytes) -> None:
        """Sends this line on the first watch."""
        for writer in list(self._watchers)[:1]:
            writer.write(text + b"\n")

    async def _finish_call(
        self,
        outcome: CallOutcome,
        request: dict[str, Any],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Ends a call; returns whether the connection stays open."""
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
        if not outcome.value.startswith("closed"):
            await reader.read(1)
        return False


class _DiscardingWriter:
    """Discards a reply that the caller must not get."""

    def write(self, data: bytes) -> None:
        """Discards the data."""


class FailingDiscovery(Discovery):
    """Discovery whose watches can be reset, and which can send unreadable changes."""

    def reset_watches(self, count: int) -> None:
        """Resets the connections of at most `count` watches."""
        for writer in list(self._watchers)[:count]:
            writer.transport.abort()

    def restart_server(self, name: str, boot_ms: float) -> None:
        """Makes a server ready with a new start time."""
        self.entries[name]["boot_ms"] = boot_ms
        self.update_states(**{name: "in_service"})

    def send_unreadable_change(self, name: str) -> None:
        """Sends the watches an entry whose start time is not a number."""
        entry = self.entries[name]
        self.entries[name] = {**entry, "boot_ms": "soon"}
        self.revision += 1
        data = self._list_message(complete=False, names=[name])
        self.entries[name] = entry
        for writer in self._watchers:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class PingingCollector:
    """A named collector that sends reports and PINGs until its connection is closed."""

    def __init__(
        self, zone: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the collector's name on an open connection and starts reading."""
        self.sent = 0
        self.answered = 0
        self._reader = reader
        self._writer = writer
        writer.write(resp_command("SOURCE", "az", zone))
        self._reading = asyncio.create_task(self._read())

    @property
    def is_open(self) -> bool:
        """Whether the assigner has not closed the connection."""
        return not self._reading.done()

    def ping(self, *reports: bytes) -> None:
        """Sends reports and a PING."""
        self.sent += 1
        with suppress(ConnectionError):
            self._writer.write(b"".join(reports) + resp_command("PING"))

    def close(self) -> None:
        """Aborts the connection."""
        self._writer.transport.abort()

    async def _read(self) -> None:
        buffered = b""
        with suppress(ConnectionError):
            while data := await self._reader.read(READ_BYTES):
                buffered += data
                self.answered += buffered.count(PONG)
                buffered = buffered[-len(PONG) + 1 :] if PONG not in buffered[-len(PONG) :] else b""


# Nothing, half a message, other protocols, lengths above every limit.
UNKNOWN_CLIENT_DATA = (
    b"",
    b"*1\r\n$4\r\nPI",
    b"\x00\xff\x00garbage\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"*1\r\n$99999999999999999999\r\n",
    b"*99999999\r\n",
)


async def is_answered_or_closed(connect: Callable[[], Any], data: bytes, timeout_s: float) -> bool:
    """Whether a client that sends this data is answered or closed in time."""
    try:
        reader, writer = await connect()
    except OSError:
        return True
    try:
        writer.write(data)
        await asyncio.wait_for(reader.read(1), timeout_s)
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        writer.transport.abort()
    return True
