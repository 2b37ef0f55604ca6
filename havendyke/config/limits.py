"""Sizes, counts and times of the protocols, and the part of them that the configuration sets."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..fields import read_field, read_integer, read_ms, read_number

MIN_MEMORY_MB = 8.0
MAX_MEMORY_MB = 1e7
MAX_SOCKETS = 10**7  # file descriptors
BUFFER_BYTES_PER_MEMORY_MB = 0.25e6  # a quarter of the memory
MAX_RESERVED_SOCKETS_DIVISOR = 3  # a third of all descriptors is reserved at most
MIN_CONNECT_TIMEOUT_MS = 1.0
MAX_CONNECT_TIMEOUT_MS = 60_000.0


@dataclass(frozen=True)
class Limits:
    """Limits of the protocols, read once at the start. Times are in milliseconds."""

    # Of the process.

    # MB of memory that the process may use; the buffers' part follows from it.
    memory_mb: float = 192.0
    # File descriptors.
    sockets: int = 1024
    # Descriptors for files and the listener; a third of all where that is less.
    reserved_sockets: int = 64
    # The fewest descriptors with which the assigner starts.
    min_sockets: int = 48
    # Connections of all kinds at a time.
    max_connections: int = 4096

    # Of a connection, in bytes.

    # One complete message.
    max_message_bytes: int = 1 << 20
    # A connection's buffer at first.
    initial_buffer_bytes: int = 1 << 14
    # What all buffers together may grow by beyond their first size.
    buffer_budget_bytes: float = 48e6
    # Written bytes that the peer has not read yet.
    max_write_buffer_bytes: int = 1 << 16
    # The head of an HTTP message.
    max_header_bytes: int = 1 << 14

    # Of connections to and from others.

    # ms until a connection must be up.
    connect_timeout_ms: float = 250.0
    # ms until a caller that names no zone is closed; with all slots taken, the oldest is at once.
    identify_timeout_ms: float = 1500.0
    # Bytes of a message before the caller has named its zone.
    max_unidentified_message_bytes: int = 1 << 12
    # Bytes of a caller's buffer at first.
    initial_client_buffer_bytes: int = 1 << 12
    # ms for which the peer may go on after our last message to it.
    linger_ms: float = 200.0
    # Connections that linger at a time; others are cut off.
    max_lingering_connections: int = 32

    # Of load reports.

    # ms without a message after which a collector's connection is closed.
    collector_silence_timeout_ms: float = 20_000.0
    # Requests in one report.
    max_report_requests: int = 1_000_000
    # Any other figure in a report, times among them.
    max_reported_value: float = 1e6

    # Of the relay.

    # Bytes of the orders in one call; the relay takes 60,000.
    max_call_bytes: int = 59_000
    # ms to wait for a call's answer; the relay answers within 50 ms or never.
    call_timeout_ms: float = 100.0
    # ms after which an idle connection is closed, before the relay closes it under a call.
    call_idle_timeout_ms: float = 1500.0
    # ms of the first backoff, while the relay is away or rejects calls.
    min_relay_backoff_ms: float = 50.0
    # ms of the longest backoff, of everything that is retried.
    max_backoff_ms: float = 500.0
    # ms until the published tables must have been read back.
    snapshot_timeout_ms: float = 500.0
    # ms after the assignment of a slice in which late entries of its table still belong to it.
    late_entry_window_ms: float = 1000.0
    # ms in which, as a rule, some proxy acknowledges a push that was carried out.
    push_ack_wait_ms: float = 700.0
    # Connections that carry the relay's watch events.
    relay_watch_count: int = 2
    # ms of silence after which a watch is closed: two pings missed.
    relay_watch_silence_timeout_ms: float = 2300.0
    # ms of silence after which a watch is no proof that nothing was lost on another: one missed.
    relay_watch_overdue_ms: float = 1300.0
    # ms for which a slice's watch events wait for its entries, and orders for proxies that connect.
    relay_settle_ms: float = 60.0
    # ms for which orders wait at most for proxies that connect.
    max_proxy_connect_wait_ms: float = 1500.0

    # Of discovery.

    # Watches at a time.
    discovery_watch_count: int = 2
    # ms of silence after which a watch is closed.
    discovery_silence_timeout_ms: float = 2600.0
    # ms until a failed request is retried.
    discovery_retry_ms: float = 300.0
    # ms between checks of the complete list, half of the time after which all entries are expired.
    discovery_check_interval_ms: float = 3000.0
    # Where complete lists would cost more, checks ask for what changed since the cached version.
    discovery_bytes_per_s: float = 13_000.0
    # ms in which the watches must report what a check by version reported before them.
    discovery_settle_ms: float = 100.0
    # ms for which streams at an old address go on beside the first at the new one.
    address_overlap_ms: float = 500.0

    # Of health checks.

    # ms until an answer is overdue.
    health_check_timeout_ms: float = 500.0
    # ms until the connection must be up; the settings' own figure, where they state one.
    health_check_connect_timeout_ms: float = 250.0
    # Health checks at a time, or a quarter of the slots; others wait.
    max_health_checks: int = 1024

    # Of the listener.

    # Connections from others at a time.
    max_clients: int = 1024
    # Connections that wait to be accepted.
    listen_backlog: int = 1024
    # Connections accepted at once: more would hold descriptors before any is released.
    accept_batch_size: int = 16

    # Of the event loop.

    # ms by which a deadline may be late; beyond, it waits once more, so that input goes first.
    stall_threshold_ms: float = 100.0
    # ms for which it then waits.
    catch_up_ms: float = 30.0
    # Lines of the log in a second.
    max_log_lines_per_s: int = 200
    # Of these, lines of one event.
    max_log_lines_per_event_per_s: int = 40
    # ms until the listener is retried.
    listen_retry_ms: float = 100.0
    # ms between searches for servers that have left for good.
    departed_sweep_interval_ms: float = 5000.0
    # Ids of departed servers that are remembered as ejected.
    max_remembered_ejections: int = 8192
    # ms until a reconciliation after a failed one.
    reconcile_retry_ms: float = 250.0
    # ms between log lines with what the controller observes.
    summary_interval_ms: float = 1000.0


def read_limits(raw: object, settings: Mapping[str, Any]) -> Limits:
    """The limits of the configuration's own section and of its settings."""
    sockets = read_integer(raw, "sockets", Limits.sockets, Limits.min_sockets, MAX_SOCKETS)
    memory_mb = float(read_number(raw, "memory_mb", Limits.memory_mb, MIN_MEMORY_MB, MAX_MEMORY_MB))
    reserve = min(Limits.reserved_sockets, sockets // MAX_RESERVED_SOCKETS_DIVISOR)
    slots = min(Limits.max_connections, sockets - reserve)
    return Limits(
        memory_mb=memory_mb,
        sockets=sockets,
        max_connections=slots,
        buffer_budget_bytes=memory_mb * BUFFER_BYTES_PER_MEMORY_MB,
        max_clients=min(Limits.max_clients, slots // 2),
        accept_batch_size=min(Limits.accept_batch_size, slots // 8),
        max_health_checks=min(Limits.max_health_checks, slots // 4),
        health_check_connect_timeout_ms=read_ms(
            read_field(settings, "limits", dict, {}),
            "connectTimeout",
            Limits.health_check_connect_timeout_ms,
            MIN_CONNECT_TIMEOUT_MS,
            MAX_CONNECT_TIMEOUT_MS,
        ),
    )
