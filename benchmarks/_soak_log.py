"""Checks of the log of one run of the program."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from havendyke.events import EVENTS

DEFECT_EVENTS = ("failure", "reconciliation_failed", "order_without_form")
# Events that report a peer as unavailable and as available again.
PEER_LOST = {"relay_unavailable": "relay", "discovery_lost": "discovery"}
PEER_RECOVERED = {"relay_available": "relay", "discovery_back": "discovery"}
# Fields of the last fleet summary that must be 0 when the program has recovered.
ZERO_WHEN_SETTLED = ("without_endpoint", "unpublished")
MAX_QUOTED_CHARS = 300


def log_faults(text: str) -> list[str]:
    """Faults in the log of a run that should have recovered by its end.

    These are lines that are not JSON, unregistered events, defects, peers that are still
    unavailable, and fields of the last summary that are not 0."""
    faults = []
    logged: list[dict[str, Any]] = []
    for line in text.splitlines():
        try:
            logged.append(json.loads(line))
        except ValueError:
            faults.append(f"standard error: {line[:MAX_QUOTED_CHARS]}")
    names = [entry["event"] for entry in logged]
    faults += [f"unregistered event: {name}" for name in set(names) - set(EVENTS)]
    faults += [f"defect: {entry}"[:MAX_QUOTED_CHARS] for entry in logged if is_defect(entry)]
    faults += [f"after settling, {peer} is unavailable" for peer in unavailable_peers(names)]
    return faults + nonzero_summary_fields(logged)


def is_defect(entry: dict[str, Any]) -> bool:
    """Whether the on-call documentation calls the event a defect of the program."""
    return entry["event"] in DEFECT_EVENTS


def unavailable_peers(names: Iterable[str]) -> set[str]:
    """The peers that became unavailable and did not recover."""
    unavailable: set[str] = set()
    for name in names:
        unavailable |= {PEER_LOST[name]} if name in PEER_LOST else set()
        unavailable -= {PEER_RECOVERED[name]} if name in PEER_RECOVERED else set()
    return unavailable


def nonzero_summary_fields(logged: Sequence[dict[str, Any]]) -> list[str]:
    """The fields of the last fleet summary that should be 0 and are not."""
    summaries = [entry for entry in logged if entry["event"] == "fleet_summary"]
    last = summaries[-1] if summaries else {}
    return [
        f"after settling, {name} is {last[name]}" for name in ZERO_WHEN_SETTLED if last.get(name)
    ]
