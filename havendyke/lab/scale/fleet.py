"""The fleet model that all assigners of a process share: tasks, their load and their latency."""

import random
from collections import Counter

from .size import ZONE_NAMES, Size

PEAK_REQUESTS_PER_SLICE = 17.0  # per second: 150,000 over 8,800 routes
CALM_DEMAND = 1 / 3  # of the peak, in an ordinary hour
PEAK_UTILIZATION = 0.5  # of a warm task at the peak, when all tasks are in service
SERVICE_TIME_MS = 60.0  # of a request at an idle task
MAX_UTILIZATION = 0.95  # the latency model does not grow beyond it
WARM_UP_MS, INITIAL_CAPACITY_SHARE = 16_000.0, 0.2
DRAIN_MS = 3_000.0  # from the start of draining to the end of the task
RESTART_DELAY_MS = 3_000.0  # from the end of a task to its restart under the same name
MEAN_PUSH_DELAY_MS = 300.0  # until a message reaches a proxy
CHANNEL_RATE_PER_PROXY = 200.0  # table entries per second


def assigner_settings(size: Size, number: int) -> dict:
    """The platform's settings of one assigner."""
    classes = [
        {
            "name": f"class{k}",
            "promise": 1e9,
            "hardLimit": 3e9,
            "repeat": "side_effect" if k % 2 else "pure",
        }
        for k in range(size.classes)
    ]
    family = {
        "keyRanges": size.slices * size.assigners,
        "dataPlaneSize": size.proxies,
        "overhead": 8.0,
        "channelRate": CHANNEL_RATE_PER_PROXY * size.proxies,
        "pendingMax": 2 * CHANNEL_RATE_PER_PROXY * size.proxies,
        "pushDelay": MEAN_PUSH_DELAY_MS * 1e6,
        "interval": 1e9,
        "throttleBy": "share",
    }
    return {
        "balancers": size.assigners,
        "me": number,
        "requestClasses": classes,
        "familyInfo": family,
        "localities": list(ZONE_NAMES[: size.zones]),
        "kinds": ["m1"],
        "weightKind": "nominal",
        "registryMode": "push",
        "limits": {"probes": True},
        "obligations": {
            "cold": WARM_UP_MS * 1e6,
            "coldFrom": INITIAL_CAPACITY_SHARE,
            "overloadFactor": 3.0,
        },
        "telemetry": {"source": "answers"},
    }


class Fleet:
    """Tasks by name, as discovery lists them. Times are in ms since the start of the model."""

    def __init__(self, size: Size, seed: int, endpoint=None):
        """`endpoint(number)` is the address at which a task answers health checks."""
        self.size, self.seed, self.now_ms, self.demand = size, seed, 0.0, CALM_DEMAND
        # Draws what all workers must agree on; every worker draws the same values.
        self.rng = random.Random(seed)
        endpoint = endpoint or (lambda k: f"10.{k >> 16}.{k >> 8 & 255}.{k & 255}:8080")
        self.task_names = [f"task-{k:05x}" for k in range(size.tasks)]
        self.entries = {
            name: {
                "uid": name,
                "endpoint": endpoint(k),
                "az": ZONE_NAMES[k % size.zones],
                "model": "m1",
                "pod_group": k % 64,
                "state": "in_service",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for k, name in enumerate(self.task_names)
        }
        self.started_ms, self.offered_load, self.scheduled_changes = {}, Counter(), []
        # The peak load of all slices, spread evenly, gives warm tasks their peak utilization.
        self.task_capacity = (
            PEAK_REQUESTS_PER_SLICE * size.slices * size.assigners / size.tasks / PEAK_UTILIZATION
        )

    def initial_tables(self, number: int) -> dict:
        """The tables in the store when an assigner starts: one entry per slice, spread evenly over
        all tasks."""
        first = number * self.size.slices
        return {
            slice_id: {self.task_names[slice_id * 7919 % len(self.task_names)]: 1.0}
            for slice_id in range(first, first + self.size.slices)
        }

    def assigner_rng(self, number: int) -> random.Random:
        """The random generator for events that concern one assigner only."""
        return random.Random(f"{self.seed}/{number}")

    def requests_per_slice(self) -> float:
        """Requests per second to each slice."""
        return PEAK_REQUESTS_PER_SLICE * self.demand

    def current_capacity(self, name: str) -> float:
        """The requests per second that a task can serve now."""
        age_ms = self.now_ms - self.started_ms.get(name, -1e12)
        return self.task_capacity * min(
            1.0, INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * age_ms / WARM_UP_MS
        )

    def utilization(self, name: str) -> float:
        return self.offered_load[name] / self.current_capacity(name)

    def mean_latency_ms(self, name: str) -> float:
        """The mean time of a request at the task."""
        return SERVICE_TIME_MS / (1.0 - min(MAX_UTILIZATION, self.utilization(name)))

    def set_offered_load(self, own: Counter):
        """Sets the load of each task.

        It is the load from the assigners that run, `own`. The load from those that do not run is
        spread evenly over the warm tasks in service."""
        others = (
            self.requests_per_slice() * self.size.slices * (self.size.assigners - self.size.hollow)
        )
        ready = [
            n
            for n in self.task_names
            if self.entries[n]["state"] == "in_service"
            and self.now_ms - self.started_ms.get(n, -1e12) >= WARM_UP_MS
        ]
        self.offered_load = Counter(own)
        for name in ready:
            self.offered_load[name] += others / len(ready)

    # Changes

    def schedule_change(self, delay_ms: float, names: list, state: str):
        self.scheduled_changes.append((self.now_ms + delay_ms, names, state))

    def replace_tasks(self, names: list):
        """Drains and ends tasks, then restarts them under the same names."""
        self.schedule_change(0.0, names, "terminating")
        self.schedule_change(DRAIN_MS, names, "terminated")
        self.schedule_change(DRAIN_MS + RESTART_DELAY_MS, names, "in_service")

    def lose_zones(self, zones: str) -> list:
        """Ends all tasks of these zones at once; returns their names."""
        names = [n for n in self.task_names if self.entries[n]["az"] in zones]
        self.schedule_change(0.0, names, "terminated")
        return names

    def take_due_changes(self) -> list:
        """Removes the changes that are due and returns them as (names, state)."""
        due = [
            (names, state)
            for due_ms, names, state in self.scheduled_changes
            if due_ms <= self.now_ms
        ]
        self.scheduled_changes = [
            change for change in self.scheduled_changes if change[0] > self.now_ms
        ]
        for names, state in due:
            for name in names if state == "in_service" else ():
                self.started_ms[name] = self.now_ms
        return due


def replace_some_tasks(fleet: Fleet, second: int):
    """Replaces the tasks of this second, so that a minute has as many changes as the size says."""
    per_second = fleet.size.changes / 60.0
    for _ in range(int(per_second * (second + 1)) - int(per_second * second)):
        fleet.replace_tasks([fleet.rng.choice(fleet.task_names)])
