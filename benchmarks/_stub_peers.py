"""Stub peers of one assigner on loopback: discovery, the relay, servers and collectors.

Each stub follows its protocol's documentation and passes the exact bytes of every message that it
receives to a `Recorder`. The stubs are deterministic, for recorded exchanges: they fail only where
a script tells them to, and all times that they report are constants."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

HOST = "127.0.0.1"
PING_INTERVAL_S = 0.5  # keepalives of the relay and of discovery
ACK_DELAY_S = 0.02  # from the relay's reply to the proxies' acknowledgements
REPORTED_ACK_LATENCY_MS = 5.0
# The assigner closed the connection or sent an invalid message, whose bytes are recorded.
CONNECTION_ERRORS = (asyncio.IncompleteReadError, ConnectionError, ValueError, KeyError)
HEADER_END = b"\r\n\r\n"
CHUNKED_RESPONSE_HEADER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ReceivedMessage:
    """One message as a stub received it, with the script's step at that time."""

    step: str
    peer: str
    data: bytes


@dataclass
class Recorder:
    """All messages that the stubs have received, in order."""

    step: str = ""
    messages: list[ReceivedMessage] = field(default_factory=list)

    def record(self, peer: str, data: bytes) -> None:
        """Adds a message to the current step."""
        self.messages.append(ReceivedMessage(self.step, peer, data))


class Listener:
    """A stub that listens on its own address."""

    def __init__(self, name: str, recorder: Recorder) -> None:
        """`name`: the peer's name in the recording."""
        self.name = name
        self.recorder = recorder
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it is closed."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with suppress(*CONNECTION_ERRORS):
                await self.handle(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()


def chunk(body: bytes) -> bytes:
    """A chunk of a chunked HTTP body."""
    return b"%x\r\n%s\r\n" % (len(body), body)


class Discovery(Listener):
    """Serves the complete endpoint list and watches of its changes."""

    def __init__(self, recorder: Recorder) -> None:
        """The list is empty and at revision 1."""
        super().__init__("discovery", recorder)
        self.revision = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._watchers: set[asyncio.StreamWriter] = set()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one request."""
        head = await reader.readuntil(HEADER_END)
        self.recorder.record(self.name, head)
        path = head.split(b" ")[1].decode()
        if "follow=1" not in path:
            body = self._list_message(complete=True, names=self.entries)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        since = int(path.rpartition("since=")[2]) if "since=" in path else -1
        writer.write(CHUNKED_RESPONSE_HEADER)
        if since != self.revision:
            writer.write(chunk(self._list_message(complete=True, names=self.entries)))
        self._watchers.add(writer)
        try:
            while not reader.at_eof():
                writer.write(chunk(b"\n"))
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), PING_INTERVAL_S)
        finally:
            self._watchers.discard(writer)

    def update_states(self, **states: str) -> None:
        """Sets the states of servers and notifies the watches."""
        self.revision += 1
        for name, state in states.items():
            self.entries[name]["state"] = state
        for writer in self._watchers:
            writer.write(chunk(self._list_message(complete=False, names=states)))

    def _list_message(self, complete: bool, names: Sequence[str] | dict[str, Any]) -> bytes:
        targets = [
            self.entries[name]
            for name in names
            if not complete or self.entries[name]["state"] != "terminated"
        ]
        listing = {"rev": self.revision, "all": complete, "targets": targets}
        return json.dumps(listing).encode() + b"\n"


def notification(method: str, **params: object) -> dict[str, object]:
    """A JSON-RPC notification of the relay's watch."""
    return {"jsonrpc": "2.0", "method": method, **({"params": params} if params else {})}


def json_line(message: dict[str, object]) -> bytes:
    """A message as one line of JSON."""
    return json.dumps(message).encode() + b"\n"


@dataclass
class Store:
    """The published tables and the connected proxies, shared by the relays."""

    tables: dict[int, dict[str, float]]
    proxies: dict[int, str]  # zone of each proxy
    ejected: set[str] = field(default_factory=set)

    def apply_order(self, order: dict[str, Any]) -> None:
        """Applies an order to the tables and to the ejected servers."""
        if order["op"] == "SET":
            self.tables[order["table"]].pop(order["host"], None)
            if order["share"] > 0:
                self.tables[order["table"]][order["host"]] = order["share"]
        elif order["op"] == "DEL":
            self.tables[order["table"]].clear()
        elif order["op"] == "OUT":
            self.ejected.add(order["host"])
        elif order["op"] == "IN":
            self.ejected.discard(order["host"])


class Relay(Listener):
    """Applies orders to a store and serves watches of it."""

    def __init__(self, name: str, recorder: Recorder, store: Store) -> None:
        """The store may be shared with another relay."""
        super().__init__(name, recorder)
        self.closes_on_next_call = False
        self._store = store
        self._watchers: set[asyncio.StreamWriter] = set()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers requests until the connection is closed."""
        while True:
            text = await reader.readuntil(b"\n")
            self.recorder.record(self.name, text)
            request = json.loads(text)
            if request["method"] == "relay.watch":
                await self._serve_watch(request["id"], reader, writer)
                return
            if self.closes_on_next_call:
                self.closes_on_next_call = False
                return
            self._answer_call(request, writer)

    def notify(self, method: str, **params: object) -> None:
        """Sends a notification to all watches."""
        for writer in self._watchers:
            writer.write(json_line(notification(method, **params)))

    def connect_proxy(self, proxy: int, zone: str) -> None:
        """Connects a proxy's stream."""
        self._store.proxies[proxy] = zone
        self.notify("SUBSCRIBE", **self._proxy_params(proxy))

    def disconnect_proxy(self, proxy: int) -> None:
        """Closes a proxy's stream."""
        del self._store.proxies[proxy]
        self.notify("CLOSED", sidecar=proxy)

    def unassign_slice(self, number: int) -> dict[str, float]:
        """Withdraws a slice from the assigner and returns its table."""
        self.notify("GRANT", partition=number, yes=False)
        return self._store.tables.pop(number)

    def assign_slice(self, number: int, table: dict[str, float]) -> None:
        """Assigns a slice and sends its table."""
        self._store.tables[number] = table
        for message in self._assignment_messages(number):
            self.notify(**message)

    def _proxy_params(self, proxy: int) -> dict[str, object]:
        zone = self._store.proxies[proxy]
        return {"sidecar": proxy, "az": zone, "share": 3.0, "standing": True}

    def _assignment_messages(self, number: int) -> list[dict[str, Any]]:
        entries = self._store.tables[number].items()
        return [
            {"method": "GRANT", "partition": number, "yes": True},
            *({"method": "ROW", "partition": number, "host": h, "share": w} for h, w in entries),
        ]

    async def _serve_watch(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(json_line({"jsonrpc": "2.0", "id": number, "result": True}))
        for proxy in self._store.proxies:
            writer.write(json_line(notification("SUBSCRIBE", **self._proxy_params(proxy))))
        for table in self._store.tables:
            for message in self._assignment_messages(table):
                writer.write(json_line(notification(**message)))
        self._watchers.add(writer)
        try:
            while not reader.at_eof():
                writer.write(json_line(notification("ping")))
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), PING_INTERVAL_S)
        finally:
            self._watchers.discard(writer)

    def _answer_call(self, request: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        orders = request["params"]["orders"]
        for order in orders:
            self._store.apply_order(order)
            if order["op"] == "SYNC":
                loop = asyncio.get_running_loop()
                loop.call_later(ACK_DELAY_S, self._acknowledge, order["nonce_out"])
        writer.write(
            json_line({"jsonrpc": "2.0", "id": request["id"], "result": {"taken": len(orders)}})
        )

    def _acknowledge(self, nonce: int) -> None:
        for proxy in self._store.proxies:
            self.notify("ACK", sidecar=proxy, version=nonce, lag_ms=REPORTED_ACK_LATENCY_MS)


class Server(Listener):
    """Answers health checks."""

    body = b"TEXT inflight=2, queue=0"
    healthy = True

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one health check."""
        self.recorder.record(self.name, await reader.readuntil(HEADER_END))
        status = b"200 OK" if self.healthy else b"500 Error"
        head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(self.body))
        writer.write(head + self.body)


def resp_command(*parts: str) -> bytes:
    """A message of a collector, as an array of bulk strings."""
    encoded = [part.encode() for part in parts]
    bulks = b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in encoded)
    return b"*%d\r\n" % len(parts) + bulks


class Collector:
    """Connects to the assigner's listening address and records its answers."""

    def __init__(
        self,
        name: str,
        recorder: Recorder,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Starts reading from an open connection."""
        self.name = name
        self._recorder = recorder
        self._reader = reader
        self._writer = writer
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, name: str, recorder: Recorder, address: str) -> "Collector":
        """Connects; raises `OSError`."""
        host, _, port = address.rpartition(":")
        return cls(name, recorder, *await asyncio.open_connection(host, int(port)))

    def send(self, *messages: bytes) -> None:
        """Sends messages."""
        self._writer.write(b"".join(messages))

    async def close(self) -> None:
        """Closes the connection."""
        self._writer.close()
        await self._reading

    async def _read(self) -> None:
        with suppress(*CONNECTION_ERRORS):
            while data := await self._reader.readline():
                self._recorder.record(self.name, data)
