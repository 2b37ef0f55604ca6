"""The load of each role at the operators' target size, from the models of one assigner and named
assumptions."""

from dataclasses import dataclass

# From the operators' requirements of 2026-12-02.
ASSIGNERS, TASKS, ROUTES, ZONES, CONTROL_MACHINES = 780, 6_200, 8_800, 7, 6
BYTES_BUDGET, CPU_BUDGET_MS = 13_000.0, 40.0  # of an assigner, per second
MEMORY_BUDGET_MB = 128.0  # of an assigner, at any time
RESTARTS_PER_DAY = 2_300
MINUTES_PER_DAY = 1_440
CURRENT_SIZE = {"tasks": 200, "assigners": 5}  # the largest fleet in the benchmarks

SITUATIONS = {
    "calm": "calm",
    "peak": "at the peak",
    "release": "a rack in 7 s",
    "zone": "a zone lost",
    "region": "a region lost",
    "start": "whole restart",
}


@dataclass(frozen=True)
class Assumption:
    """A figure that the requirements leave open: the value used, and its possible range."""

    name: str
    value: float
    minimum: float
    maximum: float
    reason: str


PROXIES = Assumption(
    "proxies joined to each assigner",
    780,
    100,
    6_200,
    "one beside each assigner; one beside each task at most",
)
SLICES = Assumption(
    "slices held by an assigner",
    ROUTES / ASSIGNERS,
    11,
    34,
    "one a route, held by one assigner; by three at most",
)
CLASSES = Assumption("classes of requests", 2, 1, 8, "as the sites played have them")
REPORTS = Assumption(
    "lines of collectors a second at an assigner",
    SLICES.value * (2 * ZONES + CLASSES.value),
    40,
    800,
    "each second, a line a slice and class, and one a zone for each task that a line names (owner "
    "and spare)",
)
LIST_ENTRY_BYTES = Assumption(
    "bytes of an entry of the list", 139, 100, 300, "as our stand-in writes the protocol's fields"
)
TABLE_ENTRY_BYTES = Assumption(
    "bytes of a line at a proxy", 80, 60, 200, "as the relay's call words it"
)
ENTRIES_PER_TABLE = Assumption("lines of a table", 2, 1, 4, "an owner and a spare")
RACK_TASKS = Assumption("tasks of a rack", 40, 20, 80, "6,200 tasks in some 155 racks")
REGION_ZONES = Assumption("zones of a lost region", 3, 2, 3, "7 zones in 3 regions")
CALM_DEMAND = Assumption(
    "part of the peak's requests on an ordinary hour", 1 / 3, 0.2, 0.6, "no figure in the letter"
)
ASSUMPTIONS = (
    PROXIES,
    SLICES,
    CLASSES,
    REPORTS,
    LIST_ENTRY_BYTES,
    TABLE_ENTRY_BYTES,
    ENTRIES_PER_TABLE,
    RACK_TASKS,
    REGION_ZONES,
    CALM_DEMAND,
)


def target_size() -> dict:
    """The size in the requirements, by the axes of a run."""
    return {
        "tasks": TASKS,
        "slices": SLICES.value,
        "proxies": PROXIES.value,
        "assigners": ASSIGNERS,
        "zones": ZONES,
        "classes": CLASSES.value,
        "changes": RESTARTS_PER_DAY / MINUTES_PER_DAY,
        "reports": REPORTS.value,
    }


def size_between(progress: float) -> dict:
    """A size between the current one (0) and the target (1), with geometric interpolation of the
    tasks and assigners."""
    size = target_size()
    for axis, current in CURRENT_SIZE.items():
        size[axis] = current * (size[axis] / current) ** progress
    return size


@dataclass(frozen=True)
class Load:
    """The load of a role in one situation; `cpu_ms` is None for roles other than the assigner."""

    role: str
    situation: str
    messages: float
    bytes: float
    cpu_ms: float | None


class Capacity:
    """Predicts loads at any size from the models of a hollow assigner.

    Processor times are scaled by the ratio of real to hollow assigners."""

    def __init__(self, models: dict, records: list):
        self.models, self.records = models, records
        with_real = [r for r in records if "real" in r]
        largest = max(with_real, key=lambda r: r["size"]["tasks"] * r["size"]["proxies"])
        self.cpu_ratio = largest["real"]["cpu_real_over_hollow"]
        self.memory_mb = largest["real"]["memory_mb"]
        self.memory_point = largest["point"]

    def predict(self, metric: str, size: dict) -> float:
        return self.models[metric].predict(size)

    def real_cpu_ms(self, phase: str, size: dict) -> float:
        """Processor time of a real assigner, ms per second."""
        return self.cpu_ratio * self.predict(f"{phase}/cpu", size)

    def assigner(self, phase: str, size: dict) -> Load:
        return Load(
            "assigner",
            phase,
            self.predict(f"{phase}/messages", size),
            self.predict(f"{phase}/bytes", size),
            self.real_cpu_ms(phase, size),
        )

    def traffic(self, phase: str, kind: str, unit: str, size: dict) -> float:
        return self.predict(f"{phase}/{kind}/{unit}", size)

    def other_roles(self, phase: str, size: dict) -> list:
        """The loads of the other roles in one situation, caused by all assigners together."""
        count = size["assigners"]
        pushes = count * self.predict(f"{phase}/calls/sent", size)
        orders = count * self.predict(f"{phase}/orders", size)

        def total(unit, *kinds):
            return sum(self.traffic(phase, kind, unit, size) for kind in kinds)

        proxy = Load("proxy", phase, pushes, orders * TABLE_ENTRY_BYTES.value, None)
        relay = Load(
            "relay and store",
            phase,
            count * total("messages", "news", "calls") + pushes * size["proxies"],
            count * total("bytes", "news", "calls") + size["proxies"] * proxy.bytes,
            None,
        )
        agent = Load(
            "discovery's agent",
            phase,
            total("messages", "list", "watch"),
            total("bytes", "list", "watch"),
            None,
        )
        discovery = Load(
            "discovery",
            phase,
            count * self.traffic(phase, "watch", "messages", size) / 2,
            count * (self.traffic(phase, "watch", "bytes", size) / 2),
            None,
        )
        collector = Load(
            "collector",
            phase,
            count * total("messages", "reports") / size["zones"],
            count * total("bytes", "reports") / size["zones"],
            None,
        )
        control = Load(
            "control machine",
            phase,
            (relay.messages + discovery.messages) / CONTROL_MACHINES,
            (relay.bytes + discovery.bytes) / CONTROL_MACHINES,
            None,
        )
        tools = Load(
            "operator's tools",
            phase,
            count * self.predict(f"{phase}/log_lines", size),
            count * self.predict(f"{phase}/log_bytes", size),
            None,
        )
        task = Load(
            "task",
            phase,
            count * total("messages", "probes") / size["tasks"],
            count * total("bytes", "probes") / size["tasks"],
            None,
        )
        return [proxy, relay, discovery, agent, collector, task, control, tools]


@dataclass(frozen=True)
class Candidate:
    """A possible improvement: the metrics that it would reduce, and their budget.

    `harm`: what the present cost leads to; `mechanism`: what the improvement would do."""

    name: str
    phase: str
    metrics: tuple
    budget: float
    unit: str  # "bytes", or "ms" of a real assigner
    time_share: float  # share of the time for which the situation lasts
    harm: str
    mechanism: str

    def weight(self, capacity: Capacity, size: dict) -> float:
        """The share of the budget, weighted by the share of the time."""
        return self.time_share * self.share(capacity, size)

    def value(self, capacity: Capacity, size: dict) -> float:
        """The cost per second, in `unit`."""
        value = sum(capacity.predict(metric, size) for metric in self.metrics)
        return value * (capacity.cpu_ratio if self.unit == "ms" else 1.0)

    def share(self, capacity: Capacity, size: dict) -> float:
        return self.value(capacity, size) / self.budget

    def exhausted_at(self, capacity: Capacity, steps: int = 400):
        """The smallest size between the current one and the target at which the cost reaches the
        whole budget, as (assigners, tasks); None if there is none."""
        for step in range(steps + 1):
            size = size_between(step / steps)
            if self.share(capacity, size) >= 1.0:
                return size["assigners"], size["tasks"]
        return None


ALL_THE_TIME = 1.0
MINUTE_PER_WEEK = 1 / (7 * MINUTES_PER_DAY)
TWO_MINUTES_PER_YEAR = 2 / (365 * MINUTES_PER_DAY)  # twice a year, a minute each
RECONCILIATION_METRICS = tuple(
    f"calm/cpu/{activity}" for activity in ("judge", "shed", "plan", "emit", "ask", "turn")
)
CANDIDATES = (
    Candidate(
        "list",
        "calm",
        ("calm/list/bytes",),
        BYTES_BUDGET,
        "bytes",
        ALL_THE_TIME,
        "the whole budget many times over, at each assigner; the agent has to hand out all of it",
        "a look at what changed, in place of the whole list each 3 s",
    ),
    Candidate(
        "turns",
        "calm",
        RECONCILIATION_METRICS,
        CPU_BUDGET_MS,
        "ms",
        ALL_THE_TIME,
        "looks come late, and drains with them",
        "looks at what changed (dirty sets, timers) in place of all tasks",
    ),
    Candidate(
        "reports",
        "calm",
        ("calm/reports/bytes",),
        BYTES_BUDGET,
        "bytes",
        ALL_THE_TIME,
        "collectors send each line to each that names a task",
        "sampling with known weight, or sums by the collectors",
    ),
    Candidate(
        "probes",
        "calm",
        ("calm/probes/bytes",),
        BYTES_BUDGET,
        "bytes",
        ALL_THE_TIME,
        "connections beside the bytes; a task is asked 5 times a second",
        "fewer probes of tasks that no line names",
    ),
    Candidate(
        "answers",
        "zone",
        ("zone/news/bytes",),
        BYTES_BUDGET,
        "bytes",
        TWO_MINUTES_PER_YEAR,
        "the relay's watches fall behind and are cut off",
        "answers summed up by the relay, once and not on each watch",
    ),
    Candidate(
        "answers in a release",
        "release",
        ("release/news/bytes",),
        BYTES_BUDGET,
        "bytes",
        MINUTE_PER_WEEK,
        "as above",
        "as above",
    ),
    Candidate(
        "start",
        "start",
        ("start/bytes",),
        BYTES_BUDGET,
        "bytes",
        TWO_MINUTES_PER_YEAR,
        "the list comes three times: once whole, and on both watches",
        "resumption: what is kept on disk, then what changed since",
    ),
)
