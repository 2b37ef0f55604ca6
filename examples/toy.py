"""A toy deployment for one assigner: a relay with its tables, discovery, a collector and four
servers, on loopback.

    python examples/toy.py                                       # in one terminal
    python -m havendyke --config examples/config.json            # in another

It prints the orders of the assigner. Server s-2 starts draining after 10 s and is gone after 20 s;
the program ends after `--seconds`. `--break-calls N` aborts the connection of every Nth call after
its last byte, as a network failure would; half of these calls are carried out."""

import argparse
import asyncio
import json
import time

SLICES, PROXIES = 8, 2


class ToyDeployment:
    def __init__(self, config, break_calls):
        self.config, self.break_calls, self.calls, self.started_at = (
            config,
            break_calls,
            0,
            time.monotonic(),
        )
        self.version, self.states = 1, {f"s-{k}": "in_service" for k in range(1, 5)}
        self.ports = {name: 18600 + k for k, name in enumerate(self.states)}
        names = list(self.states)
        self.tables = {slice_id: {names[slice_id % 4]: 1.0} for slice_id in range(SLICES)}
        self.ejected, self.relay_watches, self.discovery_watches = set(), set(), set()

    def log(self, *words):
        print(f"{time.monotonic() - self.started_at:6.2f}", *words, flush=True)

    # Discovery

    def endpoint_list(self, names, complete):
        return (
            json.dumps(
                {
                    "rev": self.version,
                    "all": complete,
                    "targets": [
                        {
                            "uid": name,
                            "endpoint": f"127.0.0.1:{self.ports[name]}",
                            "az": "ab"[index % 2],
                            "model": "m1",
                            "pod_group": 0,
                            "state": self.states[name],
                            "capacity_hint": 1.0,
                            "boot_ms": 0,
                        }
                        for index, name in enumerate(self.states)
                        if name in names
                    ],
                }
            ).encode()
            + b"\n"
        )

    async def handle_discovery(self, reader, writer):
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        known = [n for n, state in self.states.items() if state != "terminated"]
        if b"follow=1" not in path:
            body = self.endpoint_list(known, True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_chunk(writer, self.endpoint_list(known, True))
        self.discovery_watches.add(writer)
        await self.send_until_closed(
            reader, self.discovery_watches, writer, lambda: self.write_chunk(writer, b"\n"), 2.0
        )

    @staticmethod
    def write_chunk(writer, data):
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def send_until_closed(self, reader, connections, writer, write_keepalive, interval_s):
        try:
            while not reader.at_eof() and not writer.is_closing():
                write_keepalive()
                await writer.drain()
                await asyncio.sleep(interval_s)
        except ConnectionError:
            pass
        finally:
            connections.discard(writer)
            writer.close()

    def change_server(self, name, state):
        self.version += 1
        self.states[name] = state
        self.log(f"discovery: {name} is {state}")
        for writer in self.discovery_watches:
            self.write_chunk(writer, self.endpoint_list([name], False))

    # Relay

    @staticmethod
    def write_message(writer, **fields):
        if not writer.is_closing():
            writer.write(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    async def handle_relay(self, reader, writer):
        try:
            while encoded := await reader.readline():
                request = json.loads(encoded)
                if request["method"] == "relay.watch":
                    self.write_message(writer, id=request["id"], result=True)
                    for proxy in range(PROXIES):
                        self.write_message(
                            writer,
                            method="SUBSCRIBE",
                            params={
                                "sidecar": proxy,
                                "az": "ab"[proxy],
                                "share": 20.0,
                                "standing": True,
                            },
                        )
                    for slice_id, table in self.tables.items():
                        self.write_message(
                            writer, method="GRANT", params={"partition": slice_id, "yes": True}
                        )
                        for host, share in table.items():
                            self.write_message(
                                writer,
                                method="ROW",
                                params={"partition": slice_id, "host": host, "share": share},
                            )
                    self.relay_watches.add(writer)
                    await self.send_until_closed(
                        reader,
                        self.relay_watches,
                        writer,
                        lambda: self.write_message(writer, method="ping"),
                        1.0,
                    )
                    return
                self.calls += 1
                broken = self.break_calls and self.calls % self.break_calls == 0
                carried_out = not broken or self.calls // self.break_calls % 2
                if carried_out:
                    self.apply_orders(request["params"]["orders"])
                if broken:
                    self.log(
                        "relay: call broken,", "carried out" if carried_out else "not carried out"
                    )
                    writer.transport.abort()
                    return
                self.write_message(
                    writer, id=request["id"], result={"taken": len(request["params"]["orders"])}
                )
        except ConnectionError:
            pass

    def apply_orders(self, orders):
        for order in orders:
            if order["op"] == "SET" and order["share"] > 0:
                self.tables[order["table"]][order["host"]] = order["share"]
            elif order["op"] == "SET":
                self.tables[order["table"]].pop(order["host"], None)
            elif order["op"] == "DEL":
                self.tables[order["table"]].clear()
            elif order["op"] in ("OUT", "IN"):
                (self.ejected.add if order["op"] == "OUT" else self.ejected.discard)(order["host"])
            elif order["op"] == "SYNC":
                asyncio.get_running_loop().call_later(
                    0.1, self.send_acknowledgements, order["nonce_out"]
                )
        self.log(f"relay: {len(orders)} orders:", ", ".join(map(self.order_text, orders)))
        self.log(
            "  tables now:",
            " ".join(f"{p}:{max(t, key=t.get) if t else '-'}" for p, t in self.tables.items()),
            "ejected:",
            " ".join(sorted(self.ejected)) or "none",
        )

    @staticmethod
    def order_text(order):
        return " ".join(str(v) for v in order.values())

    def send_acknowledgements(self, nonce):
        for writer in self.relay_watches:
            for proxy in range(PROXIES):
                self.write_message(
                    writer,
                    method="ACK",
                    params={"sidecar": proxy, "version": nonce, "lag_ms": 100.0},
                )

    # Servers and collector

    def server_handler(self, name):
        async def answer_health_check(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            healthy = self.states[name] == "in_service"
            body = b"TEXT queue=0, latency_ms=20.5" if healthy else b""
            writer.write(
                b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s"
                % (b"200 OK" if healthy else b"503 Service Unavailable", len(body), body)
            )
            writer.close()

        return answer_health_check

    @staticmethod
    def encode_resp(*values):
        arguments = [str(w).encode() for w in values]
        return b"*%d\r\n" % len(arguments) + b"".join(
            b"$%d\r\n%s\r\n" % (len(r), r) for r in arguments
        )

    async def run_collector(self):
        host, port = self.config["listen"].split(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                self.log("collector: connected")
                writer.write(self.encode_resp("SOURCE", "az", "a"))
                while not writer.is_closing():
                    messages = b""
                    for slice_id, table in self.tables.items():
                        serving = [
                            n
                            for n in table
                            if n not in self.ejected and self.states[n] != "terminated"
                        ]
                        messages += self.encode_resp(
                            "SHARD",
                            "partition",
                            slice_id,
                            "kind",
                            "lookup",
                            "n",
                            10,
                            "bad",
                            0 if serving else 10,
                            "window",
                            1000.0,
                        )
                        if serving:
                            messages += self.encode_resp(
                                "LOAD",
                                "az",
                                "a",
                                "host",
                                max(serving, key=table.get),
                                "n",
                                10,
                                "bad",
                                0,
                                "avg",
                                21.5,
                                "window",
                                1000.0,
                                "report",
                                "queue:0,latency_ms:20.5",
                            )
                    writer.write(messages)
                    await writer.drain()
                    await asyncio.sleep(1.0)
            except OSError:
                await asyncio.sleep(0.5)

    async def run(self, seconds):
        def address_of(setting):
            return (setting["address"] if isinstance(setting, dict) else setting).split(":")

        for setting, handler in (
            (self.config["discovery"], self.handle_discovery),
            (self.config["distributor"], self.handle_relay),
        ):
            await asyncio.start_server(handler, *address_of(setting), limit=1 << 20)
        for name, port in self.ports.items():
            await asyncio.start_server(self.server_handler(name), "127.0.0.1", port)
        collector_task = asyncio.create_task(self.run_collector())
        self.log("listening; start the assigner now")
        for delay_s, state in ((10, "terminating"), (10, "terminated")):
            await asyncio.sleep(min(delay_s, seconds))
            if time.monotonic() - self.started_at < seconds:
                self.change_server("s-2", state)
        await asyncio.sleep(max(0.0, seconds - (time.monotonic() - self.started_at)))
        collector_task.cancel()


def main():
    parser = argparse.ArgumentParser(description="A toy deployment for one assigner.")
    parser.add_argument("--config", default="examples/config.json")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--break-calls", type=int, default=0, metavar="N")
    options = parser.parse_args()
    with open(options.config) as file:
        config = json.load(file)
    asyncio.run(ToyDeployment(config, options.break_calls).run(options.seconds))


if __name__ == "__main__":
    main()
