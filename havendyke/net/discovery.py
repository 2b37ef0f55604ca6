"""Discovery: follows the endpoint list by watches, and checks that they miss nothing.

The list is asked for once as a whole, then its changes come on watches. A silent watch is found by
its missing empty lines, and watches that do not pass on what there is by checks: of the complete
list while it is small, else of what changed since the version that is held.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from ..fields import FieldError
from ..interface import EndpointListUpdate, ListScope
from .backoff import Backoff
from .connection import MAX_LOGGED_FIELD_CHARS
from .event_loop import Address, EventLoop
from .json_lines import parse_object
from .list_pace import CompleteListPace
from .list_queries import ListQuery, VersionCheck
from .messages import Messages
from .timer import Timer
from .wire_endpoint_list import ReceivedList

# Checks by version that fail in a row before the complete list is asked for.
MAX_FAILED_VERSION_CHECKS = 2
# The longest backoff after a list that could not be read, in waits of `limits.discovery_retry_ms`.
MAX_BACKOFF_FACTOR = 16
DIGEST_SIZE = 16  # bytes

NotifyList = Callable[[EndpointListUpdate], None]


class _WatchProgress:
    """The versions that watches bring, beside the last that a check brought before them."""

    def __init__(self, version: int) -> None:
        self.watched_version = version  # the highest since discovery's last restart
        self.checked_version = version
        self.logged_stale = False

    def note(self, version: int, by_watch: bool, restarted: bool) -> None:
        """An update has come with this version, by a watch or otherwise."""
        if restarted:
            self.watched_version = version
        elif by_watch and version > self.watched_version:
            self.watched_version = version
            self.logged_stale = False


class Discovery:
    """Keeps the version of the endpoint list, and the queries that bring newer ones.

    `notify` gets updates in order of version, each change once. Lower versions are left out unless
    discovery has restarted; a complete list at the version that is held may be passed on again.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        address: Address,
        messages: Messages,
        notify: NotifyList,
        version: int,
        seed: int = 0,
    ) -> None:
        """`version`: of the list that the controller has; `seed`: of the pace of complete lists."""
        limits = event_loop.limits
        self.event_loop = event_loop
        self.version = version
        self.queries: list[ListQuery] = []
        self.version_check: VersionCheck | None = None
        self.failed_checks = 0
        self.unreachable = False
        self.pace = CompleteListPace(limits, seed)
        self.address = address
        self._messages = messages
        self._notify = notify
        # Version and digest of the complete list that was taken last.
        self._taken_list: tuple[int, bytes] | None = None
        self._watch_progress = _WatchProgress(version)
        self._backoff = Backoff(
            limits.discovery_retry_ms, MAX_BACKOFF_FACTOR * limits.discovery_retry_ms
        )
        self._request_timer = Timer(event_loop, self._request_list)
        # One for all watches: with one each, every loss would open all that are missing, and the
        # number of those that fail at once would double with each round.
        self._watch_timer = Timer(event_loop, self.open_watches)
        self._settle_timer = Timer(event_loop, self._compare_with_watches)

    def start(self) -> None:
        """Asks for the list, watches it, and checks it from now on."""
        self._reopen_queries()
        self.event_loop.after(self.event_loop.limits.discovery_check_interval_ms, self.check)

    def set_address(self, address: Address) -> None:
        """Discovery is at another address now.

        The queries at the old one end once a watch at the new one is answered.
        """
        self.address = address
        if self.version_check is not None:
            self.version_check.close("moved")
        self._reopen_queries()

    def open_watches(self) -> None:
        """Opens the watches that are missing."""
        missing = self.event_loop.limits.discovery_watch_count - len(self._watches())
        for _ in range(missing):
            if not self._open_query(follow=True):
                return

    def check(self) -> None:
        """Looks for what the watches do not bring, now and at an interval.

        A watch that brings empty lines alone looks like a list that does not change.
        """
        if self.pace.due(self.event_loop.now()):
            self.check_complete_list()
        elif self.version_check is None and not self._list_requested():
            self._check_version()
        self.event_loop.after(self.event_loop.limits.discovery_check_interval_ms, self.check)

    def check_complete_list(self) -> None:
        """Requests the complete list, unless a request is pending.

        While a watch stands, a list of a lower version is a late one and shows no restart.
        """
        if not self._list_requested():
            self._open_query(follow=False, may_reveal_restart=False)

    # Of the queries

    def query_established(self, query: ListQuery) -> None:
        """The first bytes of an answer's body have come; called once a query."""
        self.event_loop.after(self.event_loop.limits.address_overlap_ms, self._close_moved_queries)

    def mark_reachable(self) -> None:
        """Bytes of an answer's body have come, other than that of a check by version."""
        if self.unreachable:
            self.unreachable = False
            self.event_loop.log("discovery_back")

    def query_closed(self, query: ListQuery, why: str) -> None:
        """A query has ended; opens another one where it is needed."""
        self.queries.remove(query)
        if why != "done" and not self.unreachable and query.address == self.address:
            self.unreachable = True
            self.event_loop.log("discovery_lost", why=why, follow=query.follow)
        if query.follow:
            self._watch_closed(query, why)
        elif why not in ("done", "moved"):
            self._request_list_after(self.event_loop.limits.discovery_retry_ms)

    def version_check_closed(self, why: str) -> None:
        """A check by version has ended; several failures in a row cost a complete list.

        A single failure changes nothing, since the watches stand.
        """
        self.version_check = None
        if why == "moved":
            return
        self.failed_checks = 0 if why == "done" else self.failed_checks + 1
        if self.failed_checks >= MAX_FAILED_VERSION_CHECKS:
            self.failed_checks = 0
            self.check_complete_list()

    def take_complete_list(self, query: ListQuery, body: memoryview) -> None:
        """Takes the answer to a query for the complete list.

        Raises `FieldError` where it is malformed. The same bytes at the version that is held cost
        no reconciliation.
        """
        if not body:
            raise FieldError("a list without a word")
        digest = blake2b(body, digest_size=DIGEST_SIZE).digest()
        if self._taken_list == (self.version, digest):
            self.event_loop.count("list_unchanged")
            self.pace.record_list(len(body), self.event_loop.now())
            return
        update = parse_object(body)
        readable = self.take_update(query, update)
        # An older list that was left may be the truth once no watch stands.
        if update["rev"] == self.version:
            self._taken_list = (self.version, digest)
            self.pace.record_list(len(body), self.event_loop.now())
            if not readable:
                self.pace.expire()

    def take_update(self, query: ListQuery, update: dict[str, Any]) -> bool:
        """Takes a complete list or changes, unless they are known; raises `FieldError`.

        Returns whether all its entries could be read.
        """
        received, readable = self._read_update(update)
        event, version = received.event, received.version
        restarted = self._reveals_restart(query, event, version)
        query.may_reveal_restart = False
        is_check = isinstance(query, VersionCheck)
        by_watch = query.follow and not is_check
        self._watch_progress.note(version, by_watch, restarted)
        # Each watch brings every update; what a faster one has brought is left out here.
        same_version = not query.follow and version == self.version
        if version > self.version or restarted or same_version:
            self._apply(query, received)
            if is_check:
                self._watch_progress.checked_version = version
                self._settle_timer.start(self.event_loop.limits.discovery_settle_ms)
        else:
            self.event_loop.count("list_already_known")
        return readable

    def _read_update(self, update: dict[str, Any]) -> tuple[ReceivedList, bool]:
        """The update, and whether all its entries could be read."""
        bad_entries: list[FieldError] = []
        received = self._messages.endpoint_list.decode(update, on_invalid_entry=bad_entries.append)
        for error in bad_entries:
            self.event_loop.count("bad_entries")
            self.event_loop.log("bad_entry", field=str(error)[:MAX_LOGGED_FIELD_CHARS])
        if bad_entries:
            # The complete list repeats what the entry would have said, such as a drain.
            self._request_list_after(self._backoff.next())
        elif received.event.scope == ListScope.COMPLETE:
            self._backoff.reset()
        return received, not bad_entries

    # Queries that are open, and opening them

    def _watches(self) -> list[ListQuery]:
        return [q for q in self.queries if q.follow and q.address == self.address]

    def _pending_list_queries(self) -> list[ListQuery]:
        """The queries for the complete list that have no answer yet."""
        return [
            q for q in self.queries if q.address == self.address and not q.follow and not q.answered
        ]

    def _list_requested(self) -> bool:
        """Whether the complete list is requested, or will be after a delay."""
        return self._request_timer.running or bool(self._pending_list_queries())

    def _watched(self) -> bool:
        """Whether a watch stands."""
        return any(watch.established for watch in self._watches())

    def _open_query(self, follow: bool, may_reveal_restart: bool = True) -> bool:
        """Returns whether there was a slot for it."""
        query = ListQuery(self, follow, may_reveal_restart)
        if query.connection is None:
            self._open_watches_after(self.event_loop.limits.discovery_retry_ms)
            return False
        self.queries.append(query)
        return True

    def _reopen_queries(self) -> None:
        self._open_query(follow=False)
        self.open_watches()

    def _close_moved_queries(self) -> None:
        if self._watched():
            for query in [q for q in self.queries if q.address != self.address]:
                query.close("moved")

    def _open_watches_after(self, delay_ms: float) -> None:
        if not self._watch_timer.running or not delay_ms:
            self._watch_timer.start(delay_ms)

    def _request_list_after(self, delay_ms: float) -> None:
        """Requests the complete list once, whatever the number of reasons."""
        for query in self._pending_list_queries():
            # A query that a loss has overtaken may show a restart after all.
            query.may_reveal_restart = True
        if not self._list_requested():
            self._request_timer.start(delay_ms)

    def _request_list(self) -> None:
        if not self._open_query(follow=False):
            self._request_list_after(self.event_loop.limits.discovery_retry_ms)

    def _watch_closed(self, watch: ListQuery, why: str) -> None:
        delay_ms = self.event_loop.limits.discovery_retry_ms
        if why != "moved" and not self._watched():
            # Discovery itself may have restarted. At the same version with another list, it would
            # send a watch nothing.
            self._request_list_after(delay_ms)
        # A silent one has waited long enough, and one that brought an update may have more. Without
        # a delay, a discovery that ends each watch at once would be polled without end.
        at_once = why == "silent" or (why == "done" and watch.brought_new_version)
        self._open_watches_after(0.0 if at_once else delay_ms)

    # Versions

    def _check_version(self) -> None:
        check = VersionCheck(self)
        if check.connection is None:
            self.version_check_closed("no slot")
        elif not check.connection.ended:
            self.version_check = check

    def _apply(self, query: ListQuery, received: ReceivedList) -> None:
        event, version = received.event, received.version
        query.brought_new_version = query.brought_new_version or version != self.version
        self.version = version
        self.event_loop.count(f"list_{event.scope.value}")
        self.event_loop.log(
            "endpoint_list",
            scope=event.scope.value,
            version=version,
            entries=len(event.entries),
        )
        self._notify(self._messages.endpoint_list.accept(received))

    @staticmethod
    def _reveals_restart(query: ListQuery, event: EndpointListUpdate, version: int) -> bool:
        """Whether the version went back because discovery has restarted."""
        complete = event.scope == ListScope.COMPLETE
        return query.may_reveal_restart and complete and version < query.since

    def _compare_with_watches(self) -> None:
        """A check brought a version before any watch; one that works brings it within a moment."""
        progress = self._watch_progress
        version = progress.checked_version
        superseded = progress.watched_version >= version or self.version < version
        if superseded or not self._watched():
            return
        self.event_loop.count("watches_stale")
        if not progress.logged_stale:
            progress.logged_stale = True
            self.event_loop.log("watches_stale", version=version)
        self.check_complete_list()
