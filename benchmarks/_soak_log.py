"""What the log of one life may not show."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from havendyke.events import EVENTS

DEFECT_EVENTS = ("failure", "reconciliation_failed", "order_without_form")
# Events by which a peer is away, and by which it is back.
PEER_LOST = {"relay_unavailable": "relay", "discovery_lost": "discovery"}
PEER_RECOVERED = {"relay_available": "relay", "discovery_back": "discovery"}
# Fields of the last summary that must be 0 at rest.
ZERO_WHEN_SETTLED = ("without_endpoint", "unpublished")
MAX_QUOTED_CHARS = 300


def log_faults(text: str) -> list[str]:
    """What is wrong in a log that ends at rest: defects, unknown events, what has not healed."""
    faults = []
    logged: list[dict[str, Any]] = []
    for line in text.splitlines():
        try:
            logged.append(json.loads(line))
        except ValueError:
            faults.append(f"standard error: {line[:MAX_QUOTED_CHARS]}")
    names = [entry["event"] for entry in logged]
    faults += [f"an event that the register lacks: {name}" for name in set(names) - set(EVENTS)]
    faults += [f"a defect: {entry}"[:MAX_QUOTED_CHARS] for entry in logged if is_defect(entry)]
    faults += [f"at rest the {peer} is away" for peer in unavailable_peers(names)]
    return faults + nonzero_summary_fields(logged)


def is_defect(entry: dict[str, Any]) -> bool:
    """Whether the on-call page calls the event a defect of the program."""
    return entry["event"] in DEFECT_EVENTS


def unavailable_peers(names: Iterable[str]) -> set[str]:
    """The peers that were lost last and did not come back."""
    away: set[str] = set()
    for name in names:
        away |= {PEER_LOST[name]} if name in PEER_LOST else set()
        away -= {PEER_RECOVERED[name]} if name in PEER_RECOVERED else set()
    return away


def nonzero_summary_fields(logged: Sequence[dict[str, Any]]) -> list[str]:
    """What the last summary of the fleet still counts."""
    summaries = [entry for entry in logged if entry["event"] == "fleet_summary"]
    last = summaries[-1] if summaries else {}
    return [f"at rest {name} is {last[name]}" for name in ZERO_WHEN_SETTLED if last.get(name)]
