"""The assigner's process: assembles the components and handles signals."""

import asyncio
import os
import signal
from typing import NoReturn

from .config import Config, ConfigError, load_config
from .net.assigner import Assigner
from .net.event_loop import EventLoop
from .net.listener import listen
from .net.log import EventLog, encode_counters, set_nonblocking
from .operator_file import OperatorSettings, open_durable_state, read_operator_file
from .signals import EarlySignals

STDOUT = 1
MAX_LOGGED_CAUSE_CHARS = 300


class AssignerProcess:
    """One assigner on sockets; created and run inside a running asyncio loop.

    Raises `ConfigError` if the assigner cannot start with the configuration.
    """

    def __init__(
        self,
        config: Config,
        config_path: str | None,
        operator_settings: OperatorSettings,
        operator_path: str | None,
        check_only: bool,
    ) -> None:
        """Creates the components; `check_only` does not open the durable state."""
        self._config = config
        self._config_path = config_path
        self._operator_settings = operator_settings
        self._operator_path = operator_path
        limits = config.limits
        log = EventLog(
            EventLoop.now, limits.max_log_lines_per_s, limits.max_log_lines_per_event_per_s
        )
        self._event_loop = EventLoop(limits, log)
        try:
            self._durable = None if check_only else open_durable_state(operator_settings, log)
            self._assigner = Assigner(config, self._event_loop, self._durable)
        except ValueError as error:
            raise ConfigError(f"cannot start with this configuration: {error}") from None

    async def run(self, early_signals: EarlySignals) -> NoReturn:
        """Runs until a signal ends the process."""
        set_nonblocking(STDOUT)
        handlers = {
            signal.SIGUSR1: self.print_counters,
            signal.SIGHUP: self.reload,
            signal.SIGTERM: self.shut_down,
            signal.SIGINT: self.shut_down,
        }
        early_signals.hand_over(asyncio.get_running_loop(), handlers)
        limits = self._config.limits
        self._event_loop.log(
            "start",
            name=self._config.name,
            listen=self._config.listen,
            limits=[limits.memory_mb, limits.sockets],
        )
        self._assigner.start()
        await listen(self._event_loop, self._config.listen, self._assigner.collectors.accept)
        while True:
            await asyncio.Event().wait()

    def print_counters(self) -> None:
        """Writes all counters to standard output as one JSON line."""
        try:
            os.write(STDOUT, encode_counters(self._assigner.counters()))
        except OSError:
            # A full pipe must block neither the event loop nor the shutdown.
            self._event_loop.count("counters_not_written")

    def reload(self) -> None:
        """Reads the configuration and the operator's file again.

        An error in either file changes nothing, as they may depend on each other. Only the
        addresses of peers take effect now; everything else, such as the whole operator's file,
        takes effect at the next start.
        """
        try:
            operator_settings = read_operator_file(self._operator_path)
            config = load_config(dict(os.environ), self._config_path, reloading=True)
        except ConfigError as error:
            self._event_loop.count("reloads_refused")
            self._event_loop.log("reload_refused", cause=str(error)[:MAX_LOGGED_CAUSE_CHARS])
            return
        changed = operator_settings != self._operator_settings
        self._assigner.reload(config, ["operator"] if changed else [])

    def shut_down(self) -> NoReturn:
        """Ends the process at once: the next start takes over what is in flight."""
        try:
            if self._durable:
                self._durable.close()
            self.print_counters()
        finally:
            os._exit(0)
