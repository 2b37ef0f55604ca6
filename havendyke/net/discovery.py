"""Client of discovery: follows the endpoint list by watches and verifies that they miss nothing.

The complete list is requested once; watches then bring its changes. A dead watch is detected by the
absence of its keep-alive lines. Watches that are alive but withhold updates are detected by checks:
of the complete list while it is small, else of the changes since the known version.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from ..fields import FieldError
from ..interface import EndpointListUpdate, ListScope
from .connection import MAX_LOGGED_FIELD_CHARS
from .event_loop import Address, EventLoop
from .json_lines import parse_object
from .list_pace import CompleteListPace
from .list_queries import ListQuery, VersionCheck
from .peer_codecs import PeerCodecs
from .timer import Backoff, Timer
from .wire_endpoint_list import ReceivedList

# Consecutive failures of checks by version after which the complete list is requested.
MAX_FAILED_VERSION_CHECKS = 2
# Longest backoff after a malformed list, as a multiple of `limits.discovery_retry_ms`.
MAX_BACKOFF_FACTOR = 16
DIGEST_SIZE = 16  # bytes

NotifyList = Callable[[EndpointListUpdate], None]


class _WatchProgress:
    """The newest version that watches brought, and the last that a check brought before them."""

    def __init__(self, version: int) -> None:
        self.watched_version = version  # highest since the last restart of discovery
        self.checked_version = version
        self.logged_stale = False

    def record(self, version: int, by_watch: bool, restarted: bool) -> None:
        """Records the version of an update, which a watch or another query brought."""
        if restarted:
            self.watched_version = version
        elif by_watch and version > self.watched_version:
            self.watched_version = version
            self.logged_stale = False


class Discovery:
    """Tracks the version of the endpoint list, and runs the queries that bring newer ones.

    `notify` gets the updates in order of version, each change once. Lower versions are ignored
    unless discovery has restarted; a complete list at the known version may be passed on again.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        address: Address,
        peer_codecs: PeerCodecs,
        notify: NotifyList,
        version: int,
        seed: int = 0,
    ) -> None:
        """`version`: of the controller's list; `seed`: of the jitter between complete lists."""
        limits = event_loop.limits
        self.event_loop = event_loop
        self.version = version
        self.queries: list[ListQuery] = []
        self.version_check: VersionCheck | None = None
        self.failed_checks = 0
        self.unreachable = False
        self.pace = CompleteListPace(limits, seed)
        self.address = address
        self._peer_codecs = peer_codecs
        self._notify = notify
        # Version and digest of the last complete list that was accepted.
        self._last_list: tuple[int, bytes] | None = None
        self._watch_progress = _WatchProgress(version)
        self._backoff = Backoff(
            limits.discovery_retry_ms, MAX_BACKOFF_FACTOR * limits.discovery_retry_ms
        )
        self._request_timer = Timer(event_loop, self._request_list)
        # One timer for all watches: with a timer each, every loss would open all missing watches,
        # and the number of attempts that fail at the same time would double with each round.
        self._watch_timer = Timer(event_loop, self.open_watches)
        self._settle_timer = Timer(event_loop, self._compare_with_watches)

    def start(self) -> None:
        """Requests the list, opens the watches and starts the periodic checks."""
        self._reopen_queries()
        self.event_loop.after(self.event_loop.limits.discovery_check_interval_ms, self.check)

    def set_address(self, address: Address) -> None:
        """Connects to discovery at a new address.

        The queries at the old address are closed once a watch at the new one is established.
        """
        self.address = address
        if self.version_check is not None:
            self.version_check.close("moved")
        self._reopen_queries()

    def open_watches(self) -> None:
        """Opens the missing watches."""
        missing = self.event_loop.limits.discovery_watch_count - len(self._watches())
        for _ in range(missing):
            if not self._open_query(follow=True):
                return

    def check(self) -> None:
        """Checks for updates that the watches did not bring, now and periodically.

        A watch that sends only keep-alive lines looks the same as a list that does not change.
        """
        if self.pace.due(self.event_loop.now()):
            self.check_complete_list()
        elif self.version_check is None and not self._list_requested():
            self._check_version()
        self.event_loop.after(self.event_loop.limits.discovery_check_interval_ms, self.check)

    def check_complete_list(self) -> None:
        """Requests the complete list, unless a request is pending or scheduled.

        A list with a lower version is ignored as late, whether or not a watch is established. It
        reveals a restart only if `_request_list_after` is called while this request is pending, as
        it is when the last established watch ends.
        """
        if not self._list_requested():
            self._open_query(follow=False, may_reveal_restart=False)

    # Called by the queries

    def query_established(self, query: ListQuery) -> None:
        """The body of a response has begun; called once per query."""
        self.event_loop.after(self.event_loop.limits.address_overlap_ms, self._close_moved_queries)

    def mark_reachable(self) -> None:
        """Bytes of the body of a response have come, except for a check by version."""
        if self.unreachable:
            self.unreachable = False
            self.event_loop.log("discovery_back")

    def query_closed(self, query: ListQuery, reason: str) -> None:
        """A query has ended; opens another one if needed."""
        self.queries.remove(query)
        if reason != "done" and not self.unreachable and query.address == self.address:
            self.unreachable = True
            self.event_loop.log("discovery_lost", why=reason, follow=query.follow)
        if query.follow:
            self._watch_closed(query, reason)
        elif reason not in ("done", "moved"):
            self._request_list_after(self.event_loop.limits.discovery_retry_ms)

    def version_check_closed(self, reason: str) -> None:
        """A check by version has ended; consecutive failures cause a request for the complete list.

        A single failure has no effect, since the watches are independent of it.
        """
        self.version_check = None
        if reason == "moved":
            return
        self.failed_checks = 0 if reason == "done" else self.failed_checks + 1
        if self.failed_checks >= MAX_FAILED_VERSION_CHECKS:
            self.failed_checks = 0
            self.check_complete_list()

    def handle_complete_list(self, query: ListQuery, body: memoryview) -> None:
        """Handles the response to a query for the complete list.

        Raises `FieldError` if it is malformed. Unchanged bytes at the known version cause no
        reconciliation.
        """
        if not body:
            raise FieldError("the list is empty")
        digest = blake2b(body, digest_size=DIGEST_SIZE).digest()
        if self._last_list == (self.version, digest):
            self.event_loop.count("list_unchanged")
            self.pace.record_list(len(body), self.event_loop.now())
            return
        update = parse_object(body)
        all_valid = self.handle_update(query, update)
        # Not remembered if its version is lower: it is ignored now, but may be current once no
        # watch is left.
        if update["rev"] == self.version:
            self._last_list = (self.version, digest)
            self.pace.record_list(len(body), self.event_loop.now())
            if not all_valid:
                self.pace.expire()

    def handle_update(self, query: ListQuery, update: dict[str, Any]) -> bool:
        """Handles a complete list or changes, unless they are known; raises `FieldError`.

        Returns whether all of its entries are valid.
        """
        received, all_valid = self._decode_update(update)
        event, version = received.event, received.version
        restarted = self._reveals_restart(query, event, version)
        query.may_reveal_restart = False
        is_check = isinstance(query, VersionCheck)
        by_watch = query.follow and not is_check
        self._watch_progress.record(version, by_watch, restarted)
        # Each watch brings every update; those that a faster one has brought are ignored.
        same_version = not query.follow and version == self.version
        if version > self.version or restarted or same_version:
            self._apply(query, received)
            if is_check:
                self._watch_progress.checked_version = version
                self._settle_timer.start(self.event_loop.limits.discovery_settle_ms)
        else:
            self.event_loop.count("list_already_known")
        return all_valid

    def _decode_update(self, update: dict[str, Any]) -> tuple[ReceivedList, bool]:
        """The update, and whether all of its entries are valid."""
        bad_entries: list[FieldError] = []
        received = self._peer_codecs.endpoint_list.decode(
            update, on_invalid_entry=bad_entries.append
        )
        for error in bad_entries:
            self.event_loop.count("bad_entries")
            self.event_loop.log("bad_entry", field=str(error)[:MAX_LOGGED_FIELD_CHARS])
        if bad_entries:
            # The complete list repeats what the invalid entry states, such as a drain.
            self._request_list_after(self._backoff.next())
        elif received.event.scope == ListScope.COMPLETE:
            self._backoff.reset()
        return received, not bad_entries

    # Open queries

    def _watches(self) -> list[ListQuery]:
        return [q for q in self.queries if q.follow and q.address == self.address]

    def _pending_list_queries(self) -> list[ListQuery]:
        """The queries for the complete list that are not answered yet."""
        return [
            q for q in self.queries if q.address == self.address and not q.follow and not q.answered
        ]

    def _list_requested(self) -> bool:
        """Whether the complete list is requested, or will be after a delay."""
        return self._request_timer.running or bool(self._pending_list_queries())

    def _has_established_watch(self) -> bool:
        """Whether a watch at the present address is established."""
        return any(watch.established for watch in self._watches())

    def _open_query(self, follow: bool, may_reveal_restart: bool = True) -> bool:
        """Returns whether a slot was free."""
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
        if self._has_established_watch():
            for query in [q for q in self.queries if q.address != self.address]:
                query.close("moved")

    def _open_watches_after(self, delay_ms: float) -> None:
        if not self._watch_timer.running or not delay_ms:
            self._watch_timer.start(delay_ms)

    def _request_list_after(self, delay_ms: float) -> None:
        """Requests the complete list once, however many reasons there are."""
        for query in self._pending_list_queries():
            # Discovery may have restarted since the query began, so its list may reveal that.
            query.may_reveal_restart = True
        if not self._list_requested():
            self._request_timer.start(delay_ms)

    def _request_list(self) -> None:
        if not self._open_query(follow=False):
            self._request_list_after(self.event_loop.limits.discovery_retry_ms)

    def _watch_closed(self, watch: ListQuery, reason: str) -> None:
        delay_ms = self.event_loop.limits.discovery_retry_ms
        if reason != "moved" and not self._has_established_watch():
            # Discovery may have restarted. With a different list at the same version it would send
            # nothing on a watch.
            self._request_list_after(delay_ms)
        # No delay after a silent watch, whose timeout was long enough, or after one that brought an
        # update, as more may follow. Any other watch that discovery ends at once is reopened with a
        # delay, or discovery would be polled without pause.
        at_once = reason == "silent" or (reason == "done" and watch.brought_new_version)
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
        self._notify(self._peer_codecs.endpoint_list.accept(received))

    @staticmethod
    def _reveals_restart(query: ListQuery, event: EndpointListUpdate, version: int) -> bool:
        """Whether the version is lower because discovery has restarted."""
        complete = event.scope == ListScope.COMPLETE
        return query.may_reveal_restart and complete and version < query.since

    def _compare_with_watches(self) -> None:
        """Requests the complete list if no watch has brought the version that a check brought."""
        progress = self._watch_progress
        version = progress.checked_version
        superseded = progress.watched_version >= version or self.version < version
        if superseded or not self._has_established_watch():
            return
        self.event_loop.count("watches_stale")
        if not progress.logged_stale:
            progress.logged_stale = True
            self.event_loop.log("watches_stale", version=version)
        self.check_complete_list()
