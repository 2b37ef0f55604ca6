"""Limits of the protocols, and the part of them that the configuration sets."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import cached_property
from typing import Any, ClassVar

from ..fields import read_field, read_integer, read_ms, read_number

MIN_MEMORY_MB = 8.0
MAX_MEMORY_MB = 1e7
MAX_SOCKETS = 10**7  # file descriptors
BUFFER_BYTES_PER_MEMORY_MB = 0.25e6  # buffers may take a quarter of the memory
MAX_RESERVED_SOCKETS_DIVISOR = 3  # at most a third of all descriptors is reserved
MIN_CONNECT_TIMEOUT_MS = 1.0
MAX_CONNECT_TIMEOUT_MS = 60_000.0


@dataclass(frozen=True)
class ConnectionLimits:
    """What one connection may cost in memory, and in one turn of the event loop."""

    initial_buffer_bytes: int
    max_read_bytes: int
    max_write_buffer_bytes: int
    max_turn_ms: float
    max_messages_per_turn: int


@dataclass(frozen=True)
class Limits:
    """Sizes, counts and times of the protocols, read once at startup.

    Those that no deployment differs in are class variables.
    """

    # Process.

    # Memory that the process may use; the budget of the buffers is derived from it.
    memory_mb: float = 192.0
    # File descriptors.
    sockets: int = 1024
    # Descriptors reserved for files and the listener; at most a third of all.
    reserved_sockets: int = 64
    # The smallest number of descriptors with which the assigner starts.
    min_sockets: int = 48
    # Concurrent connections of all kinds.
    max_connections: int = 4096

    # Each connection.

    max_message_bytes: int = 1 << 20
    initial_buffer_bytes: int = 1 << 14
    # Growth of all buffers together beyond their initial sizes.
    buffer_budget_bytes: float = 48e6
    # Bytes read at a time.
    max_read_bytes: ClassVar[int] = 1 << 14
    # Written bytes that the peer has not read yet.
    max_write_buffer_bytes: int = 1 << 16
    # One turn of a connection whose input has arrived; then all others have theirs.
    max_turn_ms: ClassVar[float] = 2.0
    max_messages_per_turn: ClassVar[int] = 64
    # All lines of an HTTP head; also the body of the response to a health check.
    max_header_bytes: int = 1 << 14

    # Outgoing connections and clients.

    connect_timeout_ms: float = 250.0
    # Time for a client to name its zone. A new client beyond `max_clients` closes the unidentified
    # one that was silent for longest at once.
    identify_timeout_ms: float = 1500.0
    # One message of a client that has not named its zone.
    max_unidentified_message_bytes: int = 1 << 12
    # Parts of one message; reports have 15 at most.
    max_message_parts: ClassVar[int] = 64
    # Initial buffer of a client's connection.
    initial_client_buffer_bytes: int = 1 << 12
    # Answers that a client has not read yet.
    max_client_write_buffer_bytes: ClassVar[int] = 1 << 13
    # One turn of a client; those of `max_clients` together take a tenth of a second.
    max_client_turn_ms: ClassVar[float] = 0.1
    # Time for which a closing connection lingers, so that the peer can read our last message.
    linger_ms: float = 200.0
    # Connections that linger at a time; beyond that, connections are aborted.
    max_lingering_connections: int = 32

    # Load reports.

    # Time without a message after which a collector's connection is closed.
    collector_silence_timeout_ms: float = 20_000.0
    # Requests in one report.
    max_report_requests: int = 1_000_000
    # Any other number in a report, times included.
    max_reported_value: float = 1e6

    # Relay.

    # Orders of one call; the relay accepts 60,000 bytes.
    max_call_bytes: int = 59_000
    # Time to wait for the reply to a call; the relay replies within 50 ms or never.
    call_timeout_ms: float = 100.0
    # Time after which an idle connection is closed. The relay closes it later, and the outcome of a
    # call that crosses this would be unknown.
    call_idle_timeout_ms: float = 1500.0
    # First backoff while the relay is unavailable or rejects calls.
    min_relay_backoff_ms: float = 50.0
    # Longest backoff of everything that is retried.
    max_backoff_ms: float = 500.0
    # Time until a snapshot of the published tables must be complete.
    snapshot_timeout_ms: float = 500.0
    # Time after the assignment of a slice in which late entries still belong to its table.
    late_entry_window_ms: float = 1000.0
    # Time within which at least one proxy usually acknowledges a push that was carried out.
    push_ack_wait_ms: float = 700.0
    # Connections that carry the relay's watch events.
    relay_watch_count: int = 2
    # Silence after which a watch is closed: two missed pings.
    relay_watch_silence_timeout_ms: float = 2300.0
    # Silence after which a watch no longer proves that another one lost nothing: one missed ping.
    relay_watch_overdue_ms: float = 1300.0
    # Time without a further message after which received tables count as complete, and without a
    # new proxy after which the channel is available again.
    relay_settle_ms: float = 60.0
    # Longest time for which an unavailable channel waits until no more proxies connect.
    max_proxy_connect_wait_ms: float = 1500.0

    # Discovery.

    # Concurrent watches.
    discovery_watch_count: int = 2
    # Silence after which a watch is closed.
    discovery_silence_timeout_ms: float = 2600.0
    # Delay before a failed request is retried.
    discovery_retry_ms: float = 300.0
    # Time between checks of the endpoint list: half of the time after which all entries expire.
    discovery_check_interval_ms: float = 3000.0
    # Budget for complete lists. Where one at each check would exceed it, checks request the changes
    # since the known version instead.
    discovery_bytes_per_s: float = 13_000.0
    # Time in which the watches must bring an update that a check by version brought first.
    discovery_settle_ms: float = 100.0
    # Time for which connections at an old address stay open once one at the new address works.
    address_overlap_ms: float = 500.0

    # Health checks.

    health_check_timeout_ms: float = 500.0
    # The settings' value takes precedence.
    health_check_connect_timeout_ms: float = 250.0
    # Concurrent health checks, at most a quarter of the slots; others are queued.
    max_health_checks: int = 1024

    # Listener.

    # Concurrent connections of clients.
    max_clients: int = 1024
    # Connections that wait to be accepted.
    listen_backlog: int = 1024
    # Connections accepted at once: more would hold descriptors before any is released.
    accept_batch_size: int = 16

    # Event loop.

    # Lateness of a deadline beyond which deadlines are postponed once, so that pending input is
    # read first.
    stall_threshold_ms: float = 100.0
    # Delay of the deadlines after such a stall.
    catch_up_ms: float = 30.0
    max_log_lines_per_s: int = 200
    max_log_lines_per_event_per_s: int = 40
    # Delay before the listener is retried.
    listen_retry_ms: float = 100.0
    # Time between searches for servers that have left for good.
    departed_sweep_interval_ms: float = 5000.0
    # Ids of departed servers that are remembered as ejected.
    max_remembered_ejections: int = 8192
    # Delay of the reconciliation after a failed one.
    reconcile_retry_ms: float = 250.0
    # Time between log lines that summarize the fleet.
    summary_interval_ms: float = 1000.0

    @cached_property
    def outgoing_connection(self) -> ConnectionLimits:
        """The limits of a connection that the assigner opens."""
        return ConnectionLimits(
            initial_buffer_bytes=self.initial_buffer_bytes,
            max_read_bytes=self.max_read_bytes,
            max_write_buffer_bytes=self.max_write_buffer_bytes,
            max_turn_ms=self.max_turn_ms,
            max_messages_per_turn=self.max_messages_per_turn,
        )

    @cached_property
    def client_connection(self) -> ConnectionLimits:
        """The limits of a client's connection."""
        return replace(
            self.outgoing_connection,
            initial_buffer_bytes=self.initial_client_buffer_bytes,
            max_write_buffer_bytes=self.max_client_write_buffer_bytes,
            max_turn_ms=self.max_client_turn_ms,
        )


def read_limits(raw: object, settings: Mapping[str, Any]) -> Limits:
    """The limits by the configuration's section `limits` and its settings; raises `FieldError`."""
    sockets = read_integer(raw, "sockets", Limits.sockets, Limits.min_sockets, MAX_SOCKETS)
    memory_mb = float(read_number(raw, "memory_mb", Limits.memory_mb, MIN_MEMORY_MB, MAX_MEMORY_MB))
    reserved_sockets = min(Limits.reserved_sockets, sockets // MAX_RESERVED_SOCKETS_DIVISOR)
    max_connections = min(Limits.max_connections, sockets - reserved_sockets)
    return Limits(
        memory_mb=memory_mb,
        sockets=sockets,
        max_connections=max_connections,
        buffer_budget_bytes=memory_mb * BUFFER_BYTES_PER_MEMORY_MB,
        max_clients=min(Limits.max_clients, max_connections // 2),
        accept_batch_size=min(Limits.accept_batch_size, max_connections // 8),
        max_health_checks=min(Limits.max_health_checks, max_connections // 4),
        health_check_connect_timeout_ms=read_ms(
            read_field(settings, "limits", dict, {}),
            "connectTimeout",
            Limits.health_check_connect_timeout_ms,
            MIN_CONNECT_TIMEOUT_MS,
            MAX_CONNECT_TIMEOUT_MS,
        ),
    )
