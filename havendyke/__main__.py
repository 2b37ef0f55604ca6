"""Assembles the real assigner: configuration, log, hub, listener and signals."""
import argparse
import asyncio
import os
import signal
import socket
import sys

from .config import ConfigError, load
from .net.assigner import Assigner
from .net.hub import Hub
from .net.log import Log, counted


async def serve(config, path=None, check=False):
    counters = {}
    hub = Hub(config.limits, Log(Hub.now, config.limits.log_lines, config.limits.log_alike), counters)
    try:
        assigner, over = Assigner(config, hub), asyncio.Event()
    except ValueError as error:
        raise ConfigError(f"the configuration cannot be started with: {error}") from None
    if check:
        return
    loop = asyncio.get_running_loop()

    def show():
        sys.stdout.buffer.write(counted(assigner.counters()))
        sys.stdout.buffer.flush()

    def end():
        # Nothing is worth waiting for: what is on its way stands by itself, the rest is the next start's.
        try:
            show()
        finally:
            os._exit(0)

    def reload():
        try:
            assigner.reload(load(os.environ, path, again=True))
        except ConfigError as error:
            hub.count("reloads_refused")
            hub.log("reload_refused", cause=str(error)[:300])

    loop.add_signal_handler(signal.SIGUSR1, show)
    loop.add_signal_handler(signal.SIGHUP, reload)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, end)
    hub.log("start", name=config.name, listen=config.listen, limits=[config.limits.memory_mb, config.limits.sockets])
    assigner.start()
    while True:
        try:
            listener = socket.create_server(config.listen, family=socket.AF_INET6 if ":" in config.listen[0]
                                            else socket.AF_INET)
            # The loop takes in as many at one look as it is told may wait; a flood's descriptors would not do.
            await loop.create_server(assigner.collectors.caller, sock=listener, backlog=config.limits.accepts)
            listener.listen(config.limits.backlog)
            hub.log("listening")
            break
        except OSError as error:
            # The address may linger from the one before us, or not be there yet.
            hub.log("listen_failed", cause=error.strerror)
            await asyncio.sleep(config.limits.listen_again / 1000)
    await over.wait()


def main(arguments=None) -> int:
    parser = argparse.ArgumentParser(prog="havendyke", description="One assigner on sockets.")
    parser.add_argument("--config", help="the configuration's file; ROUTER_CONFIG by default")
    parser.add_argument("--check", action="store_true", help="read and check the configuration, then end")
    given = parser.parse_args(arguments)
    for name in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(name, signal.SIG_IGN)  # until they mean something, they must not end the program
    try:
        config = load(os.environ, given.config)
        asyncio.run(serve(config, given.config, given.check))
    except ConfigError as error:
        print(f"havendyke: {error}", file=sys.stderr)
        return 2
    print(f"havendyke: the configuration of {config.name} is well")
    return 0


if __name__ == "__main__":
    sys.exit(main())
