"""Health checks: asks servers for their health over HTTP, one connection a check."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from ipaddress import ip_address

from ..config import parse_address
from ..interface import HealthCheckOutcome, HealthCheckResult, ServerLoad
from ..state import Server
from .buffer import MessageTooLongError
from .connection import MAX_LOGGED_FIELD_CHARS, Connection
from .event_loop import Address, EventLoop
from .http import STATUS_OK, STATUS_SERVICE_UNAVAILABLE, ResponseParser, get_request
from .messages import Messages
from .timer import Timer
from .wire_fields import decode_text
from .wire_reports import parse_server_load

OUTCOME_BY_STATUS = {
    STATUS_OK: HealthCheckOutcome.PASSED,
    STATUS_SERVICE_UNAVAILABLE: HealthCheckOutcome.SATURATED,
}
# Of an incomplete response, by why its connection ended; any other reason is a reset.
OUTCOME_BY_CLOSE = {
    "overdue": HealthCheckOutcome.TIMED_OUT,
    "bad": HealthCheckOutcome.ERROR,
}


class HealthCheck:
    """One check of one server, from its start to its outcome."""

    name = "health_checks"

    def __init__(self, checker: HealthChecker, server: Server, address: Address) -> None:
        """Connects; `connection` is None where no slot is free."""
        self.server = server
        event_loop = checker.event_loop
        self.started_ms = event_loop.now()
        # Names the server's incarnation: a restart since then makes the outcome void.
        self.incarnation = checker.incarnation(server)
        self._checker = checker
        self._event_loop = event_loop
        self._address = address
        self._response: ResponseParser | None = None
        self._body = b""
        self._timeout = Timer(event_loop, self._close_overdue)
        limits = event_loop.limits
        self._timeout.start(limits.health_check_timeout_ms)
        self.connection = event_loop.connect(address, self, limits.health_check_connect_timeout_ms)
        if self.connection is None:
            self._timeout.cancel()

    def opened(self, connection: Connection) -> None:
        """Sends the request."""
        self._response = ResponseParser(connection.buffer, self._event_loop.limits.max_header_bytes)
        connection.write(get_request(self._checker.path, self._address, "Connection: close\r\n"))

    def received(self, connection: Connection) -> None:
        """Takes what the response has so far; raises `MessageTooLongError`."""
        assert self._response is not None
        while (part := self._response.next()) is not None:
            self._body += bytes(part)
            if len(self._body) > self._event_loop.limits.max_header_bytes:
                raise MessageTooLongError("a load report is too long")
        if self._response.done:
            connection.close("answered")

    def closed(self, connection: Connection, why: str) -> None:
        """Reports the outcome to the checker."""
        self._timeout.cancel()
        outcome = self._outcome(why)
        load = ServerLoad()
        if outcome is HealthCheckOutcome.PASSED and self._body:
            load = self._read_load()
        self._checker.finished(self, outcome, load, why)

    def _outcome(self, why: str) -> HealthCheckOutcome:
        response = self._response
        if response is None:
            # There was no connection: the server is down, or out of reach.
            reset = why == "reset"
            return HealthCheckOutcome.RESET if reset else HealthCheckOutcome.REFUSED
        if response.done or (response.ends_with_connection and why == "ended"):
            return OUTCOME_BY_STATUS.get(response.status, HealthCheckOutcome.ERROR)
        return OUTCOME_BY_CLOSE.get(why, HealthCheckOutcome.RESET)

    def _read_load(self) -> ServerLoad:
        """The server's load report; empty where it is malformed, which costs no more."""
        try:
            return parse_server_load(
                decode_text(self._body), self._event_loop.limits.max_reported_value
            )
        except ValueError as error:
            self._event_loop.count("bad_messages")
            field = str(error)[:MAX_LOGGED_FIELD_CHARS]
            self._event_loop.log("bad_message", peer=self.name, field=field)
            return ServerLoad()

    def _close_overdue(self) -> None:
        if self.connection is not None:
            self.connection.close("overdue")


class HealthChecker:
    """Runs the checks that the controller orders, a limited number at a time.

    Checks beyond that wait: left out, one would stay unanswered until the controller orders the
    next of its server.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        messages: Messages,
        notify: Callable[[HealthCheckResult], None],
        path: str,
    ) -> None:
        """`path` of the HTTP request; `notify` gets the result of each check."""
        self.event_loop = event_loop
        self.path = path
        self.in_flight = 0
        self.queue: deque[Server] = deque()
        self._messages = messages
        self._notify = notify
        self.last_outcomes: dict[Server, HealthCheckOutcome] = {}

    def check(self, server: Server) -> None:
        """Checks a server, now or once there is capacity."""
        address = self._address(server)
        limits = self.event_loop.limits
        if address is None:
            self.event_loop.count("health_checks_skipped")
        elif self.in_flight < limits.max_health_checks:
            self._start(server, address)
        elif server not in self.queue:
            if not self.event_loop.counters.get("health_checks_queued"):
                self.event_loop.log(
                    "health_checks_queued",
                    limit=limits.max_health_checks,
                    slots=limits.max_connections,
                )
            self.event_loop.count("health_checks_queued")
            self.queue.append(server)

    def forget(self, servers: Iterable[Server]) -> None:
        """Forgets servers that have left for good."""
        for server in servers:
            self.last_outcomes.pop(server, None)
            if server in self.queue:
                self.queue.remove(server)

    def incarnation(self, server: Server) -> object:
        """What tells a server's start from its next; None for a server that has left for good."""
        return self._messages.endpoint_list.start_times.get(server)

    def finished(
        self, check: HealthCheck, outcome: HealthCheckOutcome, load: ServerLoad, why: str
    ) -> None:
        """A check has ended; `why` its connection did."""
        self.in_flight -= 1
        self.event_loop.count(f"health_checks_{outcome.value}")
        self._start_queued()
        server = check.server
        if server not in self._messages.endpoint_list.start_times:
            return  # it has left for good meanwhile
        if check.incarnation != self.incarnation(server):
            outcome, load = HealthCheckOutcome.SUPERSEDED, ServerLoad()
        latency_ms = self.event_loop.now() - check.started_ms
        if outcome != self.last_outcomes.get(server, HealthCheckOutcome.PASSED):
            self.event_loop.log(
                "health_check",
                server=server.id,
                outcome=outcome.value,
                why=why,
                ms=round(latency_ms, 1),
            )
        self.last_outcomes[server] = outcome
        self._notify(HealthCheckResult(server, outcome, latency_ms, load))

    def _address(self, server: Server) -> Address | None:
        """The server's address, None where it cannot be used."""
        try:
            address: Address = parse_address(
                self._messages.endpoint_list.endpoints.get(server, ""), "endpoint"
            )
            ip_address(address[0])  # there is nothing that resolves names
        except ValueError:
            return None
        return address

    def _start(self, server: Server, address: Address) -> None:
        self.in_flight += 1
        if HealthCheck(self, server, address).connection is None:
            # The controller orders another one once it has waited for this for long enough.
            self.in_flight -= 1
            self.event_loop.count("health_checks_skipped")

    def _start_queued(self) -> None:
        if self.queue and self.in_flight < self.event_loop.limits.max_health_checks:
            self.check(self.queue.popleft())
