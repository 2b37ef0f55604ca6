"""Health checks of servers over HTTP, each on a connection of its own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from ipaddress import ip_address

from ..config import parse_address
from ..interface import HealthCheckOutcome, HealthCheckResult, ServerLoad
from ..state import Server
from .buffer import MessageTooLongError
from .connection import MAX_LOGGED_FIELD_CHARS, Connection
from .event_loop import LOCAL_FAILURE, Address, EventLoop
from .http import STATUS_OK, STATUS_SERVICE_UNAVAILABLE, ResponseParser, get_request
from .peer_codecs import PeerCodecs
from .timer import Timer
from .wire_fields import decode_text
from .wire_reports import parse_server_load

OUTCOME_BY_STATUS = {
    STATUS_OK: HealthCheckOutcome.PASSED,
    STATUS_SERVICE_UNAVAILABLE: HealthCheckOutcome.SATURATED,
}
# Outcome of a check without a connection by the reason for which that was closed; for any other
# reason the server is down or unreachable.
OUTCOME_WITHOUT_CONNECTION = {
    "reset": HealthCheckOutcome.RESET,
    LOCAL_FAILURE: HealthCheckOutcome.NOT_SENT,
}
# Outcome of an incomplete response by the reason for which its connection was closed; any other
# reason counts as a reset.
OUTCOME_BY_CLOSE_REASON = {
    "overdue": HealthCheckOutcome.TIMED_OUT,
    "bad": HealthCheckOutcome.ERROR,
}


class HealthCheck:
    """One health check of one server."""

    name = "health_checks"

    def __init__(self, checker: HealthChecker, server: Server, address: Address) -> None:
        """Connects; `connection` is None if no slot is free."""
        self.server = server
        event_loop = checker.event_loop
        self.started_ms = event_loop.now()
        # A restart of the server during the check invalidates the outcome.
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

    def handle_next(self, connection: Connection) -> bool:
        """Handles the next part of the response; raises `MessageTooLongError`."""
        assert self._response is not None
        part = self._response.next()
        if part is not None:
            self._body += bytes(part)
            if len(self._body) > self._event_loop.limits.max_header_bytes:
                raise MessageTooLongError("a load report is too long")
        if self._response.done:
            connection.close("answered")
        return part is not None

    def closed(self, connection: Connection, reason: str) -> None:
        """Reports the outcome to the checker."""
        self._timeout.cancel()
        outcome = self._outcome(reason)
        load = ServerLoad()
        if outcome is HealthCheckOutcome.PASSED and self._body:
            load = self._read_load()
        self._checker.finished(self, outcome, load, reason)

    def _outcome(self, reason: str) -> HealthCheckOutcome:
        response = self._response
        if response is None:
            return OUTCOME_WITHOUT_CONNECTION.get(reason, HealthCheckOutcome.REFUSED)
        if response.done or (response.ends_with_connection and reason == "ended"):
            return OUTCOME_BY_STATUS.get(response.status, HealthCheckOutcome.ERROR)
        return OUTCOME_BY_CLOSE_REASON.get(reason, HealthCheckOutcome.RESET)

    def _read_load(self) -> ServerLoad:
        """The server's load report; empty if it is malformed, as the check has passed anyway."""
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
    """Runs the checks that the controller orders, with limited concurrency.

    Further checks are queued: if they were skipped, their servers would have no result until the
    controller orders the next check.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        peer_codecs: PeerCodecs,
        notify: Callable[[HealthCheckResult], None],
        path: str,
    ) -> None:
        """`path`: of the HTTP request; `notify` is called with the result of each check."""
        self.event_loop = event_loop
        self.path = path
        self.in_flight = 0
        self.queue: deque[Server] = deque()
        self._peer_codecs = peer_codecs
        self._notify = notify
        self.last_outcomes: dict[Server, HealthCheckOutcome] = {}

    def check(self, server: Server) -> None:
        """Checks a server, now or when a running check has ended."""
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
        """Drops the state of servers that have left for good."""
        for server in servers:
            self.last_outcomes.pop(server, None)
            if server in self.queue:
                self.queue.remove(server)

    def incarnation(self, server: Server) -> object:
        """The incarnation of a server; None if it has left for good."""
        return self._peer_codecs.endpoint_list.start_times.get(server)

    def finished(
        self, check: HealthCheck, outcome: HealthCheckOutcome, load: ServerLoad, reason: str
    ) -> None:
        """Reports the result of a check; `reason`: why its connection was closed."""
        self.in_flight -= 1
        self.event_loop.count(f"health_checks_{outcome.value}")
        self._start_queued()
        server = check.server
        if server not in self._peer_codecs.endpoint_list.start_times:
            return  # the server has left for good meanwhile
        if check.incarnation != self.incarnation(server):
            outcome, load = HealthCheckOutcome.SUPERSEDED, ServerLoad()
        latency_ms = self.event_loop.now() - check.started_ms
        if outcome != self.last_outcomes.get(server, HealthCheckOutcome.PASSED):
            self.event_loop.log(
                "health_check",
                server=server.id,
                outcome=outcome.value,
                why=reason,
                ms=round(latency_ms, 1),
            )
        self.last_outcomes[server] = outcome
        self._notify(HealthCheckResult(server, outcome, latency_ms, load))

    def _address(self, server: Server) -> Address | None:
        """The server's address, or None if it is unusable."""
        try:
            address: Address = parse_address(
                self._peer_codecs.endpoint_list.endpoints.get(server, ""), "endpoint"
            )
            ip_address(address[0])  # host names are not resolved
        except ValueError:
            return None
        return address

    def _start(self, server: Server, address: Address) -> None:
        self.in_flight += 1
        if HealthCheck(self, server, address).connection is None:
            # The controller orders another check when this one has timed out.
            self.in_flight -= 1
            self.event_loop.count("health_checks_skipped")

    def _start_queued(self) -> None:
        if self.queue and self.in_flight < self.event_loop.limits.max_health_checks:
            self.check(self.queue.popleft())
