"""One assigner process with fake peers on loopback sockets.

A test decides when a peer sends a byte, a reply or a signal. Every step waits for what the other
side does; `STEP_TIMEOUT_S` only ends a test that fails.
"""

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import orjson
from helpers import listed_server, raw_config

STEP_TIMEOUT_S = 10.0
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value: closing the socket resets it


class PeerConnection:
    """A connection between the assigner and a fake peer, from the peer's side."""

    def __init__(self, sock):
        self.socket, self.unread = sock, b""
        sock.settimeout(STEP_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read_until(self, delimiter: bytes) -> bytes:
        while delimiter not in self.unread:
            received = self.socket.recv(65536)
            if not received:
                raise EOFError(self.unread)
            self.unread += received
        found, _, self.unread = self.unread.partition(delimiter)
        return found

    def read_object(self) -> dict:
        return orjson.loads(self.read_until(b"\n"))

    def send(self, *messages):
        self.socket.sendall(
            b"".join(m if isinstance(m, bytes) else orjson.dumps(m) + b"\n" for m in messages)
        )

    def wait_for_close(self) -> str:
        """How the assigner closed the connection; unread bytes are discarded."""
        try:
            while self.socket.recv(65536):
                pass
            return "ended"
        except ConnectionResetError:
            return "reset"

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.socket.close()


class PeerListener:
    """A listening address of a fake peer, and the connections that it has accepted.

    `request_kind(peer)` reads the first request on a connection and returns its kind.
    """

    def __init__(self, request_kind):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.settimeout(STEP_TIMEOUT_S)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        # `unclaimed`: the kinds and connections that `next` has not returned yet.
        self.request_kind, self.unclaimed, self.accepted = request_kind, [], []

    def next(self, kind) -> PeerConnection:
        """The next connection whose first request is of this kind; others stay unclaimed."""
        while True:
            for found in self.unclaimed:
                if found[0] == kind:
                    self.unclaimed.remove(found)
                    return found[1]
            peer = PeerConnection(self.listener.accept()[0])
            self.accepted.append(peer)  # keeps the socket open after a test drops its reference
            self.unclaimed.append((self.request_kind(peer), peer))

    def close(self):
        self.listener.close()
        for peer in self.accepted:
            peer.close()


def discovery_request_kind(peer) -> str:
    """Whether discovery is asked for the complete list or a watch; sets `peer.path`."""
    peer.path = peer.read_until(b"\r\n\r\n").split(b" ", 2)[1].decode()
    return "watch" if "follow=1" in peer.path else "complete"


def relay_request_kind(peer) -> str:
    """Whether the relay is asked for a watch or gets a call of orders; sets `peer.call`."""
    peer.call = peer.read_object()
    return "watch" if peer.call["method"] == "relay.watch" else "call"


def http_head(*headers: str) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", *headers, "", ""]).encode()


def chunk(message) -> bytes:
    body = message if isinstance(message, bytes) else orjson.dumps(message) + b"\n"
    return b"%x\r\n%s\r\n" % (len(body), body)


CHUNKED = http_head("Transfer-Encoding: chunked")


def notification(method, **params):
    return {"jsonrpc": "2.0", "method": method, "params": params}


def proxy_connected(proxy_id, **params):
    return notification(
        "SUBSCRIBE", **{"sidecar": proxy_id, "az": "a", "share": 2.0, "standing": True} | params
    )


def resp_command(*parts: str) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(
        b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts
    )


@contextmanager
def one_loop_iteration(deployment):
    """What is sent within the context is read in one iteration of the event loop."""
    process = deployment.process
    process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{process.pid}/stat")
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        assert time.monotonic() < deadline
    yield
    process.send_signal(signal.SIGCONT)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


class Deployment:
    def __init__(self, folder):
        self.folder, self.relay, self.discovery, self.process = (
            folder,
            PeerListener(relay_request_kind),
            PeerListener(discovery_request_kind),
            None,
        )
        self.listen, self.log, self.unread, self.connections = (
            f"127.0.0.1:{free_port()}",
            [],
            b"",
            [],
        )
        self.extra_listeners, self.list_version = [], 1

    def raw_config(self, **fields) -> dict:
        return (
            raw_config(
                listen=self.listen,
                discovery=self.discovery.address,
                distributor={"address": self.relay.address},
            )
            | fields
        )

    def write_config(self, **fields):
        path = self.folder / "config.new"
        path.write_text(json.dumps(self.raw_config(**fields)))
        path.replace(self.folder / "config.json")

    def start(
        self,
        *code: str,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        wait="listening",
        **fields,
    ):
        """Starts the assigner process.

        `code`: Python source that runs before the program, to block it at a chosen point. `fields`
        replace those of the configuration.
        """
        self.write_config(**fields)
        arguments = [
            "-c",
            "\n".join(
                [
                    *code,
                    "import runpy, sys",
                    "sys.argv = ['havendyke']",
                    "runpy.run_module('havendyke', run_name='__main__', alter_sys=True)",
                ]
            ),
        ]
        self.process = subprocess.Popen(
            [sys.executable, *(arguments if code else ["-m", "havendyke"])],
            stdout=stdout,
            stderr=stderr,
            stdin=stdin,
            env={**os.environ, "ROUTER_CONFIG": str(self.folder / "config.json")},
        )
        if wait:
            self.wait_for_event(wait)
        return self

    def wait_for_event(self, event, **fields) -> dict:
        """The next log entry with this event and these fields; those before it are in `log`."""
        deadline = time.monotonic() + STEP_TIMEOUT_S
        while True:
            while b"\n" in self.unread:
                line, _, self.unread = self.unread.partition(b"\n")
                entry = (
                    orjson.loads(line)
                    if line.startswith(b"{")
                    else {"event": "text", "text": line.decode()}
                )
                self.log.append(entry)
                if entry["event"] == event and fields.items() <= entry.items():
                    return entry
            pipe = self.process.stderr.fileno()
            ready, _, _ = select.select([pipe], [], [], max(0.0, deadline - time.monotonic()))
            received = os.read(pipe, 65536) if ready else b""
            if not received:
                raise AssertionError(f"no {event} {fields} in the log: {self.log}")
            self.unread += received

    def counters(self, request=True) -> dict:
        if request:
            self.process.send_signal(signal.SIGUSR1)
        assert select.select([self.process.stdout], [], [], STEP_TIMEOUT_S)[0], "no counters"
        return orjson.loads(self.process.stdout.readline())

    def wait_for_counter(self, name, value):
        """Waits until a counter equals `value`."""
        deadline = time.monotonic() + STEP_TIMEOUT_S
        while (found := self.counters().get(name, 0)) != value:
            assert time.monotonic() < deadline, f"{name} is {found}"

    def wait_for_counter_at_least(self, name, value):
        """Waits until a counter is `value` or more."""
        deadline = time.monotonic() + STEP_TIMEOUT_S
        while self.counters().get(name, 0) < value:
            assert time.monotonic() < deadline, name

    def logged_events(self, event) -> list:
        """All log entries of an event so far.

        Requesting the counters first makes sure that everything logged before this call is read.
        """
        self.counters()
        pipe = self.process.stderr.fileno()
        while select.select([pipe], [], [], 0.0)[0] and (received := os.read(pipe, 65536)):
            self.unread += received
        *lines, self.unread = self.unread.split(b"\n")
        self.log += [orjson.loads(line) for line in lines]
        return [entry for entry in self.log if entry["event"] == event]

    def connect(self) -> PeerConnection:
        """A connection to the address that the assigner listens on."""
        host, _, port = self.listen.rpartition(":")
        self.connections.append(
            peer := PeerConnection(socket.create_connection((host, int(port)), STEP_TIMEOUT_S))
        )
        return peer

    def ping(self, peer=None) -> bytes:
        peer = peer or self.connect()
        peer.send(resp_command("PING"))
        return peer.read_until(b"PONG\r\n")

    def stop(self, signum=signal.SIGTERM) -> int:
        self.process.send_signal(signum)
        return self.process.wait(STEP_TIMEOUT_S)

    # Default behaviour of the peers, for tests about something else.

    def endpoint_list_message(self, *servers, **fields):
        return {
            "rev": self.list_version,
            "all": True,
            "targets": [listed_server(s) for s in servers],
        } | fields

    def serve_endpoint_list(self, *servers):
        """Discovery sends the complete list and accepts both watches, which are returned."""
        request = self.discovery.next("complete")
        request.send(
            CHUNKED, chunk(self.endpoint_list_message(*servers)), chunk(b"")[:-2] + b"\r\n"
        )
        watches = [self.discovery.next("watch") for _ in range(2)]
        for watch in watches:
            watch.send(CHUNKED, chunk(b"\n"))
        return watches

    def serve_relay_watches(self, *notifications):
        """The relay grants both watch streams with these notifications as the present state."""
        streams = [self.relay.next("watch")]
        streams[0].send({"id": streams[0].call["id"], "result": True}, *notifications)
        streams.append(self.relay.next("watch"))
        streams[1].send({"id": streams[1].call["id"], "result": True}, *notifications)
        return streams

    def close(self):
        if self.process is not None:
            self.process.kill()
            self.process.communicate()
        for each in (self.relay, self.discovery, *self.extra_listeners, *self.connections):
            each.close()


def apply_reply(peer, call, taken=None):
    """The relay's reply to a call; by default it has carried out all orders."""
    count = len(call["params"]["orders"]) if taken is None else taken
    return {"jsonrpc": "2.0", "id": call["id"], "result": {"taken": count}}
