"""Connections to discovery: one query of the endpoint list each."""

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
    """How far a query has come."""

    CONNECTING = "connecting"
    REQUESTED = "requested"
    RECEIVING = "receiving"  # part of the body has come
    ANSWERED = "answered"  # the complete answer was taken


class _Answer:
    """What has come of an answer: the response, and its body in lines."""

    def __init__(self, buffer: Buffer, limits: Limits) -> None:
        self.response = ResponseParser(buffer, limits.max_header_bytes)
        self.body = Buffer(limits.initial_buffer_bytes, limits.max_message_bytes)
        self.lines = LineParser(self.body, limits.max_message_bytes)


class ListQuery:
    """A query of the endpoint list, and its answer.

    `follow`: it is a watch, which brings changes since a version until it ends; else it asks for
    the complete list.
    """

    name = "discovery"

    def __init__(self, discovery: Discovery, follow: bool, may_reveal_restart: bool = True) -> None:
        """Connects; `connection` is None where no slot is free.

        `may_reveal_restart`: a complete list at a lower version, as the first answer, is that of
        a discovery that has restarted, and not a late one.
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
        self._answer: _Answer | None = None
        self.connection = self.event_loop.connect(self.address, self)
        if self.connection is not None:
            self._expect_bytes()

    @property
    def established(self) -> bool:
        """Whether discovery has begun to answer."""
        return self.state in (QueryState.RECEIVING, QueryState.ANSWERED)

    @property
    def answered(self) -> bool:
        """Whether the complete answer was taken."""
        return self.state is QueryState.ANSWERED

    def opened(self, connection: Connection) -> None:
        """Sends the request."""
        self.state = QueryState.REQUESTED
        self.since = self.discovery.version
        self._answer = _Answer(connection.buffer, self.event_loop.limits)
        if self.follow:
            request = get_request(f"{PATH}?follow=1&since={self.since}", self.address)
        else:
            request = get_request(PATH, self.address, "Connection: close\r\n")
        connection.write(request)

    def received(self, connection: Connection) -> None:
        """Takes what the answer has so far."""
        assert self._answer is not None
        lines = self._answer.lines
        while (part := self._next_part(self._answer)) is not None:
            # Bytes that never make a part of the body are silence too.
            self._expect_bytes()
            if self.state is QueryState.REQUESTED:
                self.state = QueryState.RECEIVING
                self.discovery.query_established(self)
            self.discovery.mark_reachable()
            self._answer.body.append(part)
            while self.follow and (line := lines.next()) is not None:
                if line:
                    self.discovery.take_update(self, parse_object(line))
        if self._answer.response.done:
            self._take_answer(self._answer)
            connection.close("done")

    def closed(self, connection: Connection, why: str) -> None:
        """Takes an answer whose end is the connection's, and tells discovery."""
        self._silence_timer.cancel()
        answer = self._answer
        if (
            why == "ended"
            and not self.follow
            and answer is not None
            and answer.response.ends_with_connection
        ):
            # Whether such a list was cut, the end of its JSON tells.
            try:
                self._take_answer(answer)
                why = "done"
            except ValueError as error:
                why = "bad"
                self.event_loop.count("bad_messages")
                field = str(error)[:MAX_LOGGED_FIELD_CHARS]
                self.event_loop.log("bad_message", peer=self.name, field=field)
        self.discovery.query_closed(self, why)

    def close(self, why: str) -> None:
        """Ends the query's connection."""
        if self.connection is not None:
            self.connection.close(why)

    @staticmethod
    def _next_part(answer: _Answer) -> memoryview | None:
        response = answer.response
        part = response.next()
        # Checked without a part as well: an error without a body would pass for an empty answer.
        if response.head_complete and response.status != STATUS_OK:
            raise FieldError(f"status {response.status}")
        return part

    def _take_answer(self, answer: _Answer) -> None:
        if not self.follow:
            body = answer.body
            self.discovery.take_complete_list(self, memoryview(body.data)[body.start : body.end])
        self.state = QueryState.ANSWERED

    def _expect_bytes(self) -> None:
        self._silence_timer.start(self.event_loop.limits.discovery_silence_timeout_ms)

    def _close_silent(self) -> None:
        self.close("silent")


class VersionCheck(ListQuery):
    """Asks for what changed since the version that is held.

    It ends with the first line: an empty one where nothing changed, or one update. Its deadline
    counts from its start, whatever comes.
    """

    def __init__(self, discovery: Discovery) -> None:
        """Connects; `connection` is None where no slot is free."""
        super().__init__(discovery, follow=True, may_reveal_restart=False)

    def received(self, connection: Connection) -> None:
        """Takes the first line."""
        answer = self._answer
        assert answer is not None
        while (part := self._next_part(answer)) is not None:
            answer.body.append(part)
            line = answer.lines.next()
            if line is not None:
                self._take_line(line)
                connection.close("done")
                return
        if answer.response.done:
            connection.close("ended")

    def closed(self, connection: Connection, why: str) -> None:
        """Tells discovery."""
        self._silence_timer.cancel()
        self.discovery.version_check_closed(why)

    def _take_line(self, line: Any) -> None:
        # Below `since`, discovery has restarted meanwhile: changes since then would leave a gap.
        if line and self.discovery.version >= self.since:
            self.discovery.take_update(self, parse_object(line))
