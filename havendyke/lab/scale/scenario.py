"""The course of a run: phases one after the other, each measured by itself or left to settle."""

from collections import Counter
from dataclasses import dataclass

from .fleet import CALM_PART, Fleet, change_some
from .hollow import HollowAssigner
from .meter import Yardstick
from .size import ZONE_NAMES

STEP_MS = 250.0  # the model's own step; assigners run on their deadlines within it
SECOND_MS = 1000.0  # between reports, and between exchanges of what tasks are sent
RACK = 40  # tasks of a rack, at most a fifth of all
RACK_MS = 7_000.0  # in which a rack is drained
REGION = 3 / 7  # of the zones


@dataclass(frozen=True)
class Phase:
    name: str
    seconds: int
    measured: bool = True
    demand: float = CALM_PART  # of the peak


PHASES = (  # spans of whole looks at the list, 3 s each, where measured
    Phase("start", 6),
    Phase("settling", 12, False),
    Phase("calm", 12),
    Phase("peak", 6, True, 1.0),
    Phase("release", 12),
    Phase("after release", 6, False),
    Phase("zone", 6),
    Phase("healing", 8, False),
    Phase("region", 6),
)
SHORT_PHASES = (
    Phase("start", 3),
    Phase("settling", 3, False),
    Phase("calm", 6),
    Phase("release", 9),
)


class Scenario:
    """Some of a fleet's assigners through all phases. `exchange(own)` gives the load of all, from
    that of these."""

    def __init__(self, fleet: Fleet, numbers, phases=PHASES, exchange=None):
        self.fleet, self.phases, self.exchange = fleet, phases, exchange or (lambda own: own)
        self.assigners, self.numbers = [], list(numbers)
        self.fresh, self.fullest, self.measured, self.yardstick = set(), 0.0, {}, Yardstick()

    def run(self) -> dict:
        """What was measured, by phase; sums over these assigners."""
        for phase in self.phases:
            self.begin(phase)
            for second in range(phase.seconds):
                self.second(phase, second)
            if phase.measured:
                self.measured[phase.name] = self.taken(phase)
            else:
                self.taken(phase)
        return self.measured

    def begin(self, phase: Phase):
        fleet, zones = self.fleet, ZONE_NAMES[: self.fleet.size.zones]
        fleet.demand = phase.demand
        if phase.name == "start":
            self.assigners = [HollowAssigner(fleet, number) for number in self.numbers]
        elif phase.name == "release":
            names = fleet.chance.sample(fleet.names, min(RACK, len(fleet.names) // 5))
            self.fresh = set(names)
            for place, name in enumerate(names):
                fleet.at(RACK_MS * place / len(names), [name], "terminating")
                fleet.at(RACK_MS * place / len(names) + SECOND_MS * 3, [name], "terminated")
                fleet.at(RACK_MS * place / len(names) + SECOND_MS * 4, [name], "in_service")
        elif phase.name in ("zone", "region"):
            lost = (
                zones[:1] if phase.name == "zone" else zones[: max(1, round(len(zones) * REGION))]
            )
            fleet.lose(lost)
            for assigner in self.assigners:
                assigner.restart_proxies(lost)
        elif phase.name == "healing":
            fleet.at(
                0.0,
                [n for n in fleet.names if fleet.entries[n]["state"] == "terminated"],
                "in_service",
            )

    def second(self, phase: Phase, second: int):
        fleet = self.fleet
        if phase.name in ("settling", "calm", "peak"):
            change_some(fleet, second)
        fleet.load(self.exchange(sum((a.offers() for a in self.assigners), Counter())))
        if self.fresh and fleet.size.hollow == fleet.size.assigners:
            self.fullest = max(
                [self.fullest]
                + [
                    fleet.fullness(n)
                    for n in self.fresh
                    if fleet.entries[n]["state"] == "in_service"
                ]
            )
        for assigner in self.assigners:
            assigner.report()
        for _ in range(int(SECOND_MS / STEP_MS)):
            for names, state in fleet.ripe():
                for assigner in self.assigners:
                    assigner.change(names, state)
            fleet.now += STEP_MS
            for assigner in self.assigners:
                assigner.run_for(STEP_MS)
            self.yardstick.lay()

    def taken(self, phase: Phase) -> dict:
        """Sums of the phase over these assigners; taken, they begin anew."""
        told = [a.meter.take() for a in self.assigners]
        made = {
            "assigners": len(told),
            "seconds": phase.seconds,
            "traffic": {},
            "cpu_ms": Counter(),
            "calls": Counter(),
        }
        for one in told:
            made["cpu_ms"].update(one["cpu_ms"])
            made["calls"].update(one["calls"])
            for kind, counts in one["traffic"].items():
                made["traffic"][kind] = dict(
                    Counter(made["traffic"].get(kind, {})) + Counter(counts)
                )
        made["log"] = {
            "lines": sum(a.event_loop.log_lines for a in self.assigners),
            "bytes": sum(a.event_loop.log_bytes for a in self.assigners),
        }
        made["orders"] = sum(a.relay.orders for a in self.assigners)
        made["taken_ms"] = [round(ms, 1) for a in self.assigners for ms in a.relay.taken_ms]
        made["unfinished"] = sum(len(a.relay.waits) for a in self.assigners)
        made["asked"] = dict(sum((a.asked for a in self.assigners), Counter()))
        made["fullest_fresh"], made["yardstick_ms"] = round(self.fullest, 3), self.yardstick.take()
        for a in self.assigners:
            a.event_loop.log_lines = a.event_loop.log_bytes = a.relay.orders = 0
            a.relay.taken_ms, a.asked = [], Counter()
        return made
