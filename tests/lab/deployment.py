"""A deployment with several controllers: settings with room for the migrations of a lost zone, and
skewed demand."""

from controller_harness import LONG_AGO_MS, ControllerHarness, LinearCongruentialGenerator

from havendyke import interface as core
from havendyke.lab.controllers import ControllerGroup
from havendyke.lab.server_load import Sampling

SERVERS, PROXIES, BASELINE_RATE = 60, 4, 100.0  # requests per second that a warm server can serve
MANY_CONTROLLERS = 30  # above it a step is twice as long
SLICES_PER_SERVER, SLICES_PER_CONTROLLER = 6, 1.2
SKEW, FIRST_RANK = 0.6, 10  # demand is proportional to (rank + FIRST_RANK) ** -SKEW
SPARSE = Sampling(period_ms=2000.0, span_ms=6000.0, zones=3, delay_ms=300.0)


def settings(slices, proxies=PROXIES, **changes):
    """Settings whose channel has room for changes of all slices at once.

    In a full fleet, it has room for the slices of a lost zone.
    """
    limit = 4.0 * proxies * (8 + 6 + 1.6 * slices)
    defaults = {
        "request_classes": [
            core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT),
            core.RequestClass(2000.0, 6000.0, core.Idempotency.NON_IDEMPOTENT),
        ],
        "zone_count": 3,
        "slice_count": slices,
        "channel_queue_limit": limit,
        "channel_rate_per_s": limit / 1.2,
        "message_overhead": 8.0,
        "push_delay_ms": 300.0,
        "report_interval_ms": 1000.0,
        "warm_up_ms": 16_000.0,
        "initial_capacity_share": 0.16,
        "warm_up_overload_factor": 3.0,
        "load_shedding": core.LoadShedding.BY_SHARE,
        "sizes_stated": True,
    }
    return core.Settings(**defaults | changes)


def skewed(count, total, seed):
    """Requests per second by slice, whose sum is `total`."""
    random_numbers = LinearCongruentialGenerator(seed)
    ranked = sorted(range(count), key=lambda number: random_numbers.draw())
    raw = {number: (rank + FIRST_RANK) ** -SKEW for rank, number in enumerate(ranked)}
    return {number: total * part / sum(raw.values()) for number, part in sorted(raw.items())}


def deployment(count, seed=1, servers=SERVERS, load=0.59, proxies=PROXIES, group=None, **changes):
    """Returns a `ControllerGroup` whose controllers and servers started long ago.

    `group`: further arguments of `ControllerGroup`.
    """
    slices = max(servers * SLICES_PER_SERVER, int(SLICES_PER_CONTROLLER * count))
    demand = skewed(slices, load * BASELINE_RATE * servers, seed)
    controllers = ControllerGroup(
        settings(slices, proxies, **changes),
        count,
        servers,
        demand,
        proxies=proxies,
        warm_capacity=BASELINE_RATE,
        seed=seed,
        **{"sampling": SPARSE, "step_ms": 100.0 if count > MANY_CONTROLLERS else 50.0}
        | (group or {}),
    )
    controllers.run_for(500.0)
    for replica in controllers.replicas:
        harness = ControllerHarness.wrap(replica.registry.controller)
        harness.set_started_long_ago()
        for slice_ in harness.slices:
            harness.set_assigned_at(slice_, LONG_AGO_MS)
    controllers.run_for(3000.0)
    return controllers
