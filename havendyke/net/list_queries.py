"""Connections to discovery, each of which runs one query of the endpoint list."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from ..config import Limits
from ..fields import FieldError
from .buffer import Buffer
from .connection import MAX_LOGGED_FIELD_CHARS, Connection
from .http import STATUS_OK, ResponseParser, get_request
from .json_lines import LineParser, parse_object
from .timer import Timer

if TYPE_CHECKING:
    from .discovery import Discovery

PATH = "/registry/instances"


class QueryState(Enum):
    """Progress of a query."""

    CONNECTING = "connecting"
    REQUESTED = "requested"
    RECEIVING = "receiving"  # the body has begun
    ANSWERED = "answered"  # the complete response was handled


class _Response:
    """The response to a query: its parser, its body and the lines of the body."""

    def __init__(self, buffer: Buffer, limits: Limits) -> None:
        self.parser = ResponseParser(buffer, limits.max_header_bytes)
        self.body = Buffer(limits.initial_buffer_bytes, limits.max_message_bytes)
        self.lines = LineParser(self.body, limits.max_message_bytes)


class ListQuery:
    """A query of the endpoint list.

    With `follow` it is a watch, which brings the changes since a version until it ends; else it
    requests the complete list.
    """

    name = "discovery"

    def __init__(self, discovery: Discovery, follow: bool, may_reveal_restart: bool = True) -> None:
        """Connects; `connection` is None if no slot is free.

        `may_reveal_restart`: if the first update is a complete list at a lower version, discovery
        has restarted; else such a list is late.
        """
        self.discovery = discovery
        self.follow = follow
        self.since = discovery.version
        self.may_reveal_restart = may_reveal_restart
        self.state = QueryState.CONNECTING
        self.brought_new_version = False
        self.address = discovery.address
        self.event_loop = discovery.event_loop
        self._silence_timer = Timer(self.event_loop, self._close_silent)
        self._response: _Response | None = None
        self.connection = self.event_loop.connect(self.address, self)
        if self.connection is not None:
            self._expect_bytes()

    @property
    def established(self) -> bool:
        """Whether the body of the response has begun."""
        return self.state in (QueryState.RECEIVING, QueryState.ANSWERED)

    @property
    def answered(self) -> bool:
        """Whether the complete response was handled."""
        return self.state is QueryState.ANSWERED

    def opened(self, connection: Connection) -> None:
        """Sends the request."""
        self.state = QueryState.REQUESTED
        self.since = self.discovery.version
        self._response = _Response(connection.buffer, self.event_loop.limits)
        if self.follow:
            request = get_request(f"{PATH}?follow=1&since={self.since}", self.address)
        else:
            request = get_request(PATH, self.address, "Connection: close\r\n")
        connection.write(request)

    def handle_next(self, connection: Connection) -> bool:
        """Handles the next update of a watch, or receives the next part of the response."""
        response = self._response
        assert response is not None
        if self.follow and (line := response.lines.next()) is not None:
            if line:
                self.discovery.handle_update(self, parse_object(line))
            return True
        part = self._next_part(response)
        if part is not None:
            self._body_received(response, part)
        elif response.parser.done:
            self._handle_end(response)
            connection.close("done")
        return part is not None

    def closed(self, connection: Connection, reason: str) -> None:
        """Handles a response that ends with the connection, and notifies `Discovery`."""
        self._silence_timer.cancel()
        response = self._response
        if (
            reason == "ended"
            and not self.follow
            and response is not None
            and response.parser.ends_with_connection
        ):
            # Truncation shows as invalid JSON.
            try:
                self._handle_end(response)
                reason = "done"
            except ValueError as error:
                reason = "bad"
                self.event_loop.count("bad_messages")
                field = str(error)[:MAX_LOGGED_FIELD_CHARS]
                self.event_loop.log("bad_message", peer=self.name, field=field)
        self.discovery.query_closed(self, reason)

    def close(self, reason: str) -> None:
        """Closes the query's connection."""
        if self.connection is not None:
            self.connection.close(reason)

    @staticmethod
    def _next_part(response: _Response) -> memoryview | None:
        parser = response.parser
        part = parser.next()
        # Checked even without a body: an error response without one would pass for an empty list.
        if parser.head_complete and parser.status != STATUS_OK:
            raise FieldError(f"response status {parser.status}")
        return part

    def _body_received(self, response: _Response, part: memoryview) -> None:
        # Only bytes of the body count; a connection that sends none is silent.
        self._expect_bytes()
        if self.state is QueryState.REQUESTED:
            self.state = QueryState.RECEIVING
            self.discovery.query_established(self)
        self.discovery.mark_reachable()
        response.body.append(part)

    def _handle_end(self, response: _Response) -> None:
        if not self.follow:
            body = response.body
            self.discovery.handle_complete_list(self, memoryview(body.data)[body.start : body.end])
        self.state = QueryState.ANSWERED

    def _expect_bytes(self) -> None:
        self._silence_timer.start(self.event_loop.limits.discovery_silence_timeout_ms)

    def _close_silent(self) -> None:
        self.close("silent")


class VersionCheck(ListQuery):
    """Requests the changes since the known version.

    Ends with the first line, which is empty if nothing changed, or else one update. Its timeout
    runs from the start, whatever is received.
    """

    def __init__(self, discovery: Discovery) -> None:
        """Connects; `connection` is None if no slot is free."""
        super().__init__(discovery, follow=True, may_reveal_restart=False)

    def handle_next(self, connection: Connection) -> bool:
        """Receives the next part of the response; handles the first line."""
        response = self._response
        assert response is not None
        part = self._next_part(response)
        if part is None:
            if response.parser.done:
                connection.close("ended")
            return False
        response.body.append(part)
        line = response.lines.next()
        if line is not None:
            self._handle_line(line)
            connection.close("done")
        return True

    def closed(self, connection: Connection, reason: str) -> None:
        """Notifies `Discovery`."""
        self._silence_timer.cancel()
        self.discovery.version_check_closed(reason)

    def _handle_line(self, line: Any) -> None:
        # A known version below `since` means a restart meanwhile; the changes would leave a gap.
        if line and self.discovery.version >= self.since:
            self.discovery.handle_update(self, parse_object(line))
