"""The registry of log events: their fields and descriptions.

The service does not import this module, so that logging needs no lookup. A test compares the
logging calls in the source with the registry; `docs/operators/events.md` is generated from it.
"""

from typing import NamedTuple


class LogEvent(NamedTuple):
    """The fields and the description of a log event."""

    fields: tuple[str, ...]
    description: str


_DEFINITIONS: dict[str, tuple[tuple[str, ...], str]] = {
    "start": (("name", "listen", "limits"), "the program begins; limits are MB and descriptors"),
    "listening": ((), "connections of collectors and liveness checks are accepted"),
    "listen_failed": (("cause",), "the address is taken or not there; tried again"),
    "reloaded": (
        ("relay", "discovery", "after_restart"),
        "SIGHUP was carried out; what waits for a restart is named",
    ),
    "reload_refused": (("cause",), "SIGHUP changed nothing: a file is wrong"),
    "fleet_summary": (
        (
            "servers",
            "ejected",
            "warming_up",
            "slices",
            "without_endpoint",
            "unpublished",
            "migrated",
            "max_load_share",
            "conditions",
            "slow",
            "admission_limit",
            "queue_share",
            "success_age_ms",
        ),
        "once a second: servers by health; ejected ones; warming up, and those in use of them; "
        "slices by their primary's health; slices without a published endpoint that can serve; "
        "slices whose published table is not the desired one; slices migrated since the last "
        "line, by their source's health; the highest load, as a share of a server's capacity; "
        "conditions of the fleet; servers over the latency objective, by health; the admission "
        "limit; the share of the push channel's limit that waits, at its slowest pace; the age of "
        "the last success, at the median server",
    ),
    "server_warming_up": (
        (
            "server",
            "age_ms",
            "start",
            "slices",
            "load",
            "admissible_load",
            "unanswered_checks",
            "attempts",
        ),
        "the slices of a server that warms up have changed, at most once a second: its age; "
        "whether its start is listed, assumed of a cached list, or presumed of a lost zone; the "
        "slices; their load and the load that it may keep, in units of an average slice's demand; "
        "health checks in a row without an answer; recent attempts that succeeded and failed",
    ),
    "push": (
        ("orders", "nonce"),
        "orders for the relay, with the nonce that asks for acknowledgements",
    ),
    "relay_unavailable": (
        ("why", "waiting"),
        "orders do not leave: the relay is unavailable, or the outcome of a call unknown",
    ),
    "relay_available": (("after",), "orders leave again"),
    "call_unknown": (("why", "orders"), "a call ended without a readable reply"),
    "call_compared": (
        ("matching", "tables", "complete"),
        "how many tables that the call changes a snapshot shows changed; a complete one has all",
    ),
    "call_acknowledged": (("nonce",), "an acknowledgement proves that it was carried out"),
    "call_unreadable": (
        ("error", "orders"),
        "the relay cannot read a call; it is retried in halves",
    ),
    "order_rejected": (("order",), "the relay cannot use an order; it is dropped"),
    "order_without_form": (("order",), "the decisions ordered what the protocol cannot express"),
    "watch_synchronised": (
        ("streams", "proxies", "slices"),
        "a stream of the relay watch has brought everything that stands",
    ),
    "watch_lost": (("why", "left"), "such a stream ended; so many are left"),
    "snapshot_differs": (
        ("slice", "snapshot", "known"),
        "the published table is not the one that was known; it is taken over",
    ),
    "bad_acknowledgement": (("field",), "a malformed acknowledgement is ignored"),
    "endpoint_list": (
        ("scope", "version", "entries"),
        "discovery sent the endpoint list, or changes of it",
    ),
    "watches_stale": (
        ("version",),
        "a check brought a version that no watch has; the complete list is asked for; logged once "
        "until a watch brings a newer version",
    ),
    "bad_entry": (
        ("field",),
        "an entry of the list cannot be read; the others count, the complete list is asked for",
    ),
    "discovery_lost": (("why", "follow"), "a connection to discovery ended early"),
    "discovery_back": ((), "discovery answers again"),
    "collector_connected": (("zone",), "a collector has named its zone"),
    "collector_disconnected": (("zone", "why"), "its connection ended"),
    "bad_report": (("zone", "field"), "one malformed message of a collector is left out"),
    "client_rejected": (
        ("zone", "field"),
        "a client that named no zone sent something else; it was told so and closed",
    ),
    "bad_message": (("peer", "field"), "a peer sent what cannot be read; its connection ends"),
    "health_check": (
        ("server", "outcome", "why", "ms"),
        "the outcome of a server's health checks changed",
    ),
    "health_checks_queued": (
        ("limit", "slots"),
        "more health checks at once than connections for them; they wait; logged once a start",
    ),
    "reconciliation_failed": (
        ("cause", "at_line", "events"),
        "a defect in the decisions; the events are reconciled again one by one",
    ),
    "failure": (("peer", "cause"), "a defect in the adapter; one connection ends"),
    "stream_closed": (
        ("stream", "why"),
        "an xDS stream was closed: its reader stalled, or it refused a drain",
    ),
    "stream_refused": (
        ("stream", "field"),
        "an xDS client said what cannot be read; its stream ends with the reason",
    ),
    "state_directory": (
        ("finding",),
        "what a start found in the state's directory, or what was wrong with it",
    ),
    "state_recovered": (
        ("servers", "unconfirmed", "tombstones"),
        "the start uses the persisted state; so many ready servers are not fully trusted",
    ),
    "state_not_persisted": (
        ("cause", "retry_in_ms"),
        "a commit failed, or the directory cannot be used; the assigner goes on without",
    ),
    "state_persisted_again": ((), "commits succeed again"),
}


EVENTS = {name: LogEvent(*definition) for name, definition in _DEFINITIONS.items()}

# Logged in normal operation; every other event is a warning and described in `docs/oncall.md`.
ROUTINE_EVENTS = frozenset(
    {
        "start",
        "listening",
        "reloaded",
        "fleet_summary",
        "server_warming_up",
        "push",
        "relay_available",
        "call_compared",
        "call_acknowledged",
        "watch_synchronised",
        "endpoint_list",
        "discovery_back",
        "collector_connected",
        "state_directory",
        "state_recovered",
        "state_persisted_again",
    }
)


def render_page() -> str:
    """Renders the operators' page of all events."""
    lines = [
        "# Events of the log",
        "",
        "Made of `havendyke/events.py` by `havendyke events --page`; do not edit.",
        "",
        "One JSON line an event on standard error: `at` (ms of the machine's clock), `event`, and "
        "the fields below.",
        "",
        "| event | fields | what |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| `{name}` | {', '.join(event.fields) or '-'} | {event.description} |"
        for name, event in EVENTS.items()
    ]
    return "\n".join(lines) + "\n"
