"""The phases of a run, one after the other; each is measured by itself or left to settle."""

from collections import Counter
from dataclasses import dataclass

from .fleet import CALM_DEMAND, Fleet, replace_some_tasks
from .hollow import HollowAssigner
from .meter import ReferenceLoop
from .size import ZONE_NAMES

STEP_MS = 250.0  # step of the fleet model; assigners run their deadlines within it
SECOND_MS = 1000.0  # between reports, and between exchanges of the load of tasks
RACK_TASKS = 40  # restarted by a release; at most a fifth of all tasks
RACK_DRAIN_MS = 7_000.0  # over which the drains of a rack are spread
REGION_ZONE_SHARE = 3 / 7  # of the zones


@dataclass(frozen=True)
class Phase:
    name: str
    seconds: int
    measured: bool = True
    demand: float = CALM_DEMAND  # of the peak


PHASES = (  # measured phases last a multiple of 3 s, the period of list requests
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
    """Runs some of a fleet's assigners through all phases.

    `exchange_load(own)` takes the load that these assigners cause and returns that of all."""

    def __init__(self, fleet: Fleet, numbers, phases=PHASES, exchange_load=None):
        self.fleet, self.phases = fleet, phases
        self.exchange_load = exchange_load or (lambda own: own)
        self.assigners, self.numbers = [], list(numbers)
        self.restarted_tasks, self.max_restarted_utilization = set(), 0.0
        self.measured, self.reference_loop = {}, ReferenceLoop()

    def run(self) -> dict:
        """Returns the measurements by phase, as sums over these assigners."""
        for phase in self.phases:
            self.start_phase(phase)
            for second in range(phase.seconds):
                self.run_second(phase, second)
            if phase.measured:
                self.measured[phase.name] = self.collect(phase)
            else:
                self.collect(phase)
        return self.measured

    def start_phase(self, phase: Phase):
        fleet, zones = self.fleet, ZONE_NAMES[: self.fleet.size.zones]
        fleet.demand = phase.demand
        if phase.name == "start":
            self.assigners = [HollowAssigner(fleet, number) for number in self.numbers]
        elif phase.name == "release":
            names = fleet.rng.sample(fleet.task_names, min(RACK_TASKS, len(fleet.task_names) // 5))
            self.restarted_tasks = set(names)
            for index, name in enumerate(names):
                fleet.schedule_change(RACK_DRAIN_MS * index / len(names), [name], "terminating")
                fleet.schedule_change(
                    RACK_DRAIN_MS * index / len(names) + SECOND_MS * 3, [name], "terminated"
                )
                fleet.schedule_change(
                    RACK_DRAIN_MS * index / len(names) + SECOND_MS * 4, [name], "in_service"
                )
        elif phase.name in ("zone", "region"):
            lost = (
                zones[:1]
                if phase.name == "zone"
                else zones[: max(1, round(len(zones) * REGION_ZONE_SHARE))]
            )
            fleet.lose_zones(lost)
            for assigner in self.assigners:
                assigner.reconnect_proxies(lost)
        elif phase.name == "healing":
            fleet.schedule_change(
                0.0,
                [n for n in fleet.task_names if fleet.entries[n]["state"] == "terminated"],
                "in_service",
            )

    def run_second(self, phase: Phase, second: int):
        fleet = self.fleet
        if phase.name in ("settling", "calm", "peak"):
            replace_some_tasks(fleet, second)
        fleet.set_offered_load(
            self.exchange_load(sum((a.requests_by_task() for a in self.assigners), Counter()))
        )
        if self.restarted_tasks and fleet.size.hollow == fleet.size.assigners:
            self.max_restarted_utilization = max(
                [self.max_restarted_utilization]
                + [
                    fleet.utilization(n)
                    for n in self.restarted_tasks
                    if fleet.entries[n]["state"] == "in_service"
                ]
            )
        for assigner in self.assigners:
            assigner.send_reports()
        for _ in range(int(SECOND_MS / STEP_MS)):
            for names, state in fleet.take_due_changes():
                for assigner in self.assigners:
                    assigner.apply_change(names, state)
            fleet.now_ms += STEP_MS
            for assigner in self.assigners:
                assigner.run_for(STEP_MS)
            self.reference_loop.run()

    def collect(self, phase: Phase) -> dict:
        """Returns the sums of the phase over these assigners, and resets them."""
        meters = [a.meter.take() for a in self.assigners]
        totals = {
            "assigners": len(meters),
            "seconds": phase.seconds,
            "traffic": {},
            "cpu_ms": Counter(),
            "calls": Counter(),
        }
        for counts in meters:
            totals["cpu_ms"].update(counts["cpu_ms"])
            totals["calls"].update(counts["calls"])
            for kind, traffic in counts["traffic"].items():
                totals["traffic"][kind] = dict(
                    Counter(totals["traffic"].get(kind, {})) + Counter(traffic)
                )
        totals["log"] = {
            "lines": sum(a.event_loop.log_lines for a in self.assigners),
            "bytes": sum(a.event_loop.log_bytes for a in self.assigners),
        }
        totals["orders"] = sum(a.relay.order_count for a in self.assigners)
        totals["taken_ms"] = [
            round(ms, 1) for a in self.assigners for ms in a.relay.removal_times_ms
        ]
        totals["unfinished"] = sum(len(a.relay.removal_started_ms) for a in self.assigners)
        totals["asked"] = dict(sum((a.health_check_counts for a in self.assigners), Counter()))
        totals["fullest_fresh"] = round(self.max_restarted_utilization, 3)
        totals["yardstick_ms"] = self.reference_loop.take()
        for a in self.assigners:
            a.event_loop.log_lines = a.event_loop.log_bytes = a.relay.order_count = 0
            a.relay.removal_times_ms, a.health_check_counts = [], Counter()
        return totals
