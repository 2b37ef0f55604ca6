"""Drawn scenarios with several controllers: zone outages, sparse reports, restarts and
reassignments of slices, checked against the rules together."""

from havendyke import interface as core
from havendyke.lab.controllers import ControllerGroup
from havendyke.lab.rules import Bounds
from havendyke.lab.server_load import Sampling
from havendyke.state import LinearCongruentialGenerator

from ..draw import Draw
from ..registry import check, register

HEADER_BYTES = 8  # determine the deployment; each step after them has four bytes
MAX_DURATION_MS = 30_000.0
MIN_STEP_MS = 100.0  # between steps; 200 ms more per unit of the upper four bits
# Between outages and drains: with shorter intervals the rules may be impossible to keep.
DISTURBANCE_INTERVAL_MS = 7000.0
SERVER_REQUESTS_PER_S = 100.0
ZONES = 3
LEASE_MS = 800.0
MAX_WRITE_IN_FLIGHT_MS = 800.0
MAX_EMPTY_TABLE_MS = 9000.0


class JointScenario:
    """A deployment of two to five controllers with drawn steps; a step does nothing where the rules
    could not be kept after it."""

    def __init__(self, draw: Draw):
        count = 2 + draw.below(4)
        servers = ZONES * (3 + draw.below(3))
        proxies = 2 + draw.below(5)
        slices = servers * (3 + draw.below(3))
        self.exclusive_ownership = draw.flag()
        sampling = draw.choice((Sampling(zones=ZONES), Sampling(2000.0, 6000.0, ZONES, 300.0)))
        load = draw.choice((0.35, 0.45, 0.55))
        seed = draw.byte()
        limit = 4.0 * proxies * (8 + 6 + 1.6 * slices)
        settings = core.Settings(
            request_classes=[
                core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT),
                core.RequestClass(2000.0, 6000.0, core.Idempotency.NON_IDEMPOTENT),
            ],
            zone_count=ZONES,
            slice_count=slices,
            exclusive_ownership=self.exclusive_ownership,
            lease_ms=LEASE_MS if self.exclusive_ownership else 0.0,
            max_write_in_flight_ms=MAX_WRITE_IN_FLIGHT_MS if self.exclusive_ownership else 0.0,
            max_empty_table_ms=MAX_EMPTY_TABLE_MS if self.exclusive_ownership else 0.0,
            channel_queue_limit=limit,
            channel_rate_per_s=limit / 1.2,
            message_overhead=8.0,
            push_delay_ms=100.0,
            warm_up_ms=12_000.0,
            initial_capacity_share=0.16,
            warm_up_overload_factor=3.0,
            load_shedding=core.LoadShedding.BY_SHARE,
            sizes_stated=True,
        )
        random_numbers = LinearCongruentialGenerator(seed)
        weights = [0.4 + random_numbers.draw() for _ in range(slices)]
        demand = {
            slice_id: SERVER_REQUESTS_PER_S * servers * load * weight / sum(weights)
            for slice_id, weight in enumerate(weights)
        }
        bounds = Bounds(empty_table_ms=MAX_EMPTY_TABLE_MS) if self.exclusive_ownership else Bounds()
        self.group = ControllerGroup(
            settings, count, servers, demand, proxies, bounds, SERVER_REQUESTS_PER_S, sampling, seed
        )
        self.started_ms = self.group.now
        self.proxies = proxies
        self.undisturbed_from_ms = 0.0
        self.disconnected = set()
        self.run_for(2000.0)

    def begin_disturbance(self) -> bool:
        """Returns whether no outage or drain is recent, and if so records one now."""
        allowed = self.group.now >= self.undisturbed_from_ms
        if allowed:
            self.undisturbed_from_ms = self.group.now + DISTURBANCE_INTERVAL_MS
        return allowed

    # Steps

    def wait(self, a, b, c):
        pass

    def restart_zone(self, a, b, c):
        """Restarts all servers of a zone; the controllers are notified shortly afterwards."""
        if self.begin_disturbance():
            self.lose_zone(a % ZONES, 100.0 + b, lambda: self.group.random_numbers.draw() * c)

    def lose_zone_for_seconds(self, a, b, c):
        """Restarts a zone after an outage; the controllers are notified of the starts late."""
        if self.begin_disturbance():
            outage_ms = 2000.0 + b * 16.0
            self.undisturbed_from_ms += outage_ms
            self.lose_zone(
                a % ZONES, outage_ms, lambda: 1000.0 + self.group.random_numbers.draw() * c * 4.0
            )

    def lose_zone(self, zone, outage_ms, list_delay):
        names = [machine.name for machine in self.group.servers.values() if machine.zone == zone]
        for name in names:
            self.group.stop(name)
        self.group.after(outage_ms, lambda: self.restart_servers(names, list_delay))

    def restart_servers(self, names, list_delay):
        for name in names:
            self.group.start(name)
        self.group.send_list_to_all(
            core.ListScope.CHANGES, [self.group.list_entry(name) for name in names], list_delay
        )

    def drain(self, a, b, c):
        """Drains one server, which restarts after it is drained."""
        if self.begin_disturbance():
            name = list(self.group.servers)[a % len(self.group.servers)]
            self.group.send_list_to_all(
                core.ListScope.CHANGES, [self.group.list_entry(name, "draining")]
            )
            self.group.after(
                5000.0,
                lambda: self.restart_servers([name], lambda: self.group.random_numbers.draw() * c),
            )

    def restart_proxy(self, a, b, c):
        number = a % self.proxies
        if number not in self.disconnected and len(self.disconnected) < self.proxies - 1:
            self.disconnected.add(number)
            self.group.disconnect_proxy(number)
            self.group.after(200.0 + b * 8.0, lambda: self.reconnect_proxy(number, bool(c & 1)))

    def reconnect_proxy(self, number, restarted):
        self.disconnected.discard(number)
        self.group.connect_proxy(number, restarted)

    def reassign_slices(self, a, b, c):
        running = self.group.running()
        for k in range(1 + b % 4):
            number = (a + k) % len(self.group.demand)
            self.group.reassign_slice(number, running[(c + k) % len(running)])

    def lose_controller(self, a, b, c):
        running = self.group.running()
        if len(running) > 1:
            self.group.lose_controller(running[a % len(running)])

    def repeat_list(self, a, b, c):
        self.group.send_list_to_all(core.ListScope.FAILED, [], lambda: c * 4.0)

    STEPS = (
        wait,
        restart_zone,
        lose_zone_for_seconds,
        drain,
        restart_proxy,
        reassign_slices,
        lose_controller,
        repeat_list,
        restart_proxy,
        restart_zone,
    )

    def run_for(self, duration_ms):
        self.group.run_for(duration_ms)
        violations = self.group.violations
        check(not violations, "rule violated:", *[str(violation) for violation in violations[:1]])


def run_joint_scenario(data) -> JointScenario:
    scenario = JointScenario(Draw(data[:HEADER_BYTES].ljust(HEADER_BYTES, b"\0")))
    for begin in range(HEADER_BYTES, len(data), 4):
        if scenario.group.now - scenario.started_ms > MAX_DURATION_MS:
            break
        step, a, b, c = data[begin : begin + 4].ljust(4, b"\0")
        JointScenario.STEPS[step % len(JointScenario.STEPS)](scenario, a, b, c)
        scenario.run_for(MIN_STEP_MS + 200.0 * (step >> 4))
    scenario.run_for(4000.0)
    return scenario


def joint_seeds() -> list:
    """Each step by itself, with and without exclusive ownership, and combinations."""
    count = len(JointScenario.STEPS)
    single_steps = [
        bytes([k % 4, k % 3, k % 5, 1, exclusive, k % 2, 2, k])
        + bytes([240 + k if 240 + k < 250 else k, 9 * k, 60, k])
        for k in range(count)
        for exclusive in (0, 1)
    ]
    # A proxy disconnects while a migration of a drain waits for its acknowledgement.
    during_drain = [
        bytes([0, 0, 4, 1, 1, 0, 1, seed, 3, 0, 0, 0, step, proxy, 200, 1])
        for seed in (1, 2)
        for step in (4, 8)
        for proxy in (0, 3)
    ]
    # The servers of a zone restart while they serve all their slices.
    with_slices = [bytes([count, 0, 2, 2, 0, 1, 2, 5, 1, 0, 0, 50]) for count in (0, 3)]
    return single_steps + during_drain + with_slices


@register(
    name="joint_days",
    description="drawn scenarios with several controllers against the five rules, checked together",
    seeds=joint_seeds,
    covers=("policy", "state"),
    engine="hypothesis",
    step_size=4,
    header_size=HEADER_BYTES,
    max_size=HEADER_BYTES + 48,
)
def run_target(data):
    run_joint_scenario(data)
