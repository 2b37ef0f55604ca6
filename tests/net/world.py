"""The platform round one real assigner, on loopback sockets: each peer holds a byte, an answer or a
signal where a test says so. Nothing here waits for luck: every step waits for what the other side
does, `PATIENCE` only ends a failed test."""

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import time

import orjson
from helpers import listed_server, raw_config

PATIENCE = 10.0
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close becomes a reset


class Peer:
    """One connection, seen from the platform's side."""

    def __init__(self, sock):
        self.socket, self.rest = sock, b""
        sock.settimeout(PATIENCE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def until(self, mark: bytes) -> bytes:
        while mark not in self.rest:
            more = self.socket.recv(65536)
            if not more:
                raise EOFError(self.rest)
            self.rest += more
        made, _, self.rest = self.rest.partition(mark)
        return made

    def object(self) -> dict:
        return orjson.loads(self.until(b"\n"))

    def send(self, *told):
        self.socket.sendall(
            b"".join(d if isinstance(d, bytes) else orjson.dumps(d) + b"\n" for d in told)
        )

    def ended(self) -> str:
        """How the other side ended it, all that it wrote before passed over."""
        try:
            while self.socket.recv(65536):
                pass
            return "ended"
        except ConnectionResetError:
            return "reset"

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()


class Place:
    """An address of the platform, and who has come to it; `kind(peer)` reads what a newcomer asks
    for."""

    def __init__(self, kind):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.settimeout(PATIENCE)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.kind, self.come, self.all = kind, [], []  # who has not been asked for yet; everybody

    def next(self, kind) -> Peer:
        """The next that asks for this; whoever asks for something else meanwhile waits for its own
        `next`."""
        while True:
            for found in self.come:
                if found[0] == kind:
                    self.come.remove(found)
                    return found[1]
            peer = Peer(self.listener.accept()[0])
            self.all.append(peer)  # or it would end once a test no longer names it
            self.come.append((self.kind(peer), peer))

    def close(self):
        self.listener.close()
        for peer in self.all:
            peer.close()


def asked(peer) -> str:
    """Of discovery: the whole list, or a watch. `peer.path` has the words."""
    peer.path = peer.until(b"\r\n\r\n").split(b" ", 2)[1].decode()
    return "watch" if "follow=1" in peer.path else "whole"


def called(peer) -> str:
    """Of the relay: its news, or a call. `peer.call` has the first call."""
    peer.call = peer.object()
    return "watch" if peer.call["method"] == "relay.watch" else "call"


def head(*more: str) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", *more, "", ""]).encode()


def chunk(told) -> bytes:
    body = told if isinstance(told, bytes) else orjson.dumps(told) + b"\n"
    return b"%x\r\n%s\r\n" % (len(body), body)


CHUNKED = head("Transfer-Encoding: chunked")


def news(method, **params):
    return {"jsonrpc": "2.0", "method": method, "params": params}


def subscribe(proxy, **more):
    return news("SUBSCRIBE", **{"sidecar": proxy, "az": "a", "share": 2.0, "standing": True} | more)


def resp(*parts: str) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(
        b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts
    )


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


class World:
    def __init__(self, folder):
        self.folder, self.relay, self.discovery, self.process = (
            folder,
            Place(called),
            Place(asked),
            None,
        )
        self.listen, self.log, self.rest, self.callers = f"127.0.0.1:{free_port()}", [], b"", []
        self.places, self.version = [], 1  # of further addresses; of the list

    def raw(self, **more) -> dict:
        return (
            raw_config(
                listen=self.listen,
                discovery=self.discovery.address,
                distributor={"address": self.relay.address},
            )
            | more
        )

    def write(self, **more):
        made = self.folder / "config.new"
        made.write_text(json.dumps(self.raw(**more)))
        made.replace(self.folder / "config.json")

    def start(
        self,
        *code: str,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        wait="listening",
        **more,
    ):
        """The program as `run` starts it; `code`: Python that runs before it, to hold it at a named
        point."""
        self.write(**more)
        words = [
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
            [sys.executable, *(words if code else ["-m", "havendyke"])],
            stdout=stdout,
            stderr=stderr,
            stdin=stdin,
            env={**os.environ, "ROUTER_CONFIG": str(self.folder / "config.json")},
        )
        if wait:
            self.logged(wait)
        return self

    def logged(self, event, **fields) -> dict:
        """The next line of the log with this event and these fields; the lines before it are kept
        in `log`."""
        end = time.monotonic() + PATIENCE
        while True:
            while b"\n" in self.rest:
                line, _, self.rest = self.rest.partition(b"\n")
                told = (
                    orjson.loads(line)
                    if line.startswith(b"{")
                    else {"event": "text", "text": line.decode()}
                )
                self.log.append(told)
                if told["event"] == event and fields.items() <= told.items():
                    return told
            pipe = self.process.stderr.fileno()
            ready, _, _ = select.select([pipe], [], [], max(0.0, end - time.monotonic()))
            more = os.read(pipe, 65536) if ready else b""
            if not more:
                raise AssertionError(f"no {event} {fields} in the log: {self.log}")
            self.rest += more

    def counters(self, asked=True) -> dict:
        if asked:
            self.process.send_signal(signal.SIGUSR1)
        assert select.select([self.process.stdout], [], [], PATIENCE)[0], "no counters"
        return orjson.loads(self.process.stdout.readline())

    def counted(self, name, value):
        """Waits until a counter has this value."""
        end = time.monotonic() + PATIENCE
        while (found := self.counters().get(name, 0)) != value:
            assert time.monotonic() < end, f"{name} is {found}"

    def counted_from(self, name, value):
        """Waits until a counter has this value at least."""
        end = time.monotonic() + PATIENCE
        while self.counters().get(name, 0) < value:
            assert time.monotonic() < end, name

    def seen(self, event) -> list:
        """What the log has had of an event by now: the counters are asked for first, so that all
        before is in it."""
        self.counters()
        pipe = self.process.stderr.fileno()
        while select.select([pipe], [], [], 0.0)[0] and (more := os.read(pipe, 65536)):
            self.rest += more
        *lines, self.rest = self.rest.split(b"\n")
        self.log += [orjson.loads(line) for line in lines]
        return [told for told in self.log if told["event"] == event]

    def dial(self) -> Peer:
        """A connection at the assigner's own address."""
        host, _, port = self.listen.rpartition(":")
        self.callers.append(made := Peer(socket.create_connection((host, int(port)), PATIENCE)))
        return made

    def pong(self, peer=None) -> bytes:
        peer = peer or self.dial()
        peer.send(resp("PING"))
        return peer.until(b"PONG\r\n")

    def end(self, name=signal.SIGTERM) -> int:
        self.process.send_signal(name)
        return self.process.wait(PATIENCE)

    # The usual course of things, for what a test is not about

    def listing(self, *servers, **more):
        return {
            "rev": self.version,
            "all": True,
            "targets": [listed_server(s) for s in servers],
        } | more

    def listed(self, *servers):
        """Discovery answers the whole list and grants both watches."""
        whole = self.discovery.next("whole")
        whole.send(CHUNKED, chunk(self.listing(*servers)), chunk(b"")[:-2] + b"\r\n")
        watches = [self.discovery.next("watch") for _ in range(2)]
        for watch in watches:
            watch.send(CHUNKED, chunk(b"\n"))
        return watches

    def stands(self, *told):
        """The relay grants the news, of which this stands."""
        streams = [self.relay.next("watch")]
        streams[0].send({"id": streams[0].call["id"], "result": True}, *told)
        streams.append(self.relay.next("watch"))
        streams[1].send({"id": streams[1].call["id"], "result": True}, *told)
        return streams

    def close(self):
        if self.process is not None:
            self.process.kill()
            self.process.communicate()
        for place in (self.relay, self.discovery, *self.places, *self.callers):
            place.close()


def accepted(peer, call, taken=None):
    """The relay's answer to a call."""
    count = len(call["params"]["orders"]) if taken is None else taken
    return {"jsonrpc": "2.0", "id": call["id"], "result": {"taken": count}}
