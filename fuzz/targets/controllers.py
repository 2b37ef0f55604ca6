"""Drawn days over several controllers: zones lost, sparse reports, restarts and hand-overs, judged
together."""

from havendyke import interface as core
from havendyke.lab.controllers import ControllerGroup
from havendyke.lab.rules import Bounds
from havendyke.lab.server_load import Sampling
from havendyke.state import LinearCongruentialGenerator

from ..draw import Draw
from ..registry import check, register

HEAD = 8  # bytes that draw the deployment; four a step after them
LONGEST = 30_000.0  # ms of a day
STEP_LEAST = 100.0  # ms from one step to the next; 200 more for each of the high bits' count
CALM = 7000.0  # ms that one loss or drain keeps from the next: less may leave the rules no way
USUAL, ZONES = 100.0, 3
LEASE, LINGERS, EMPTY_FOR = 800.0, 800.0, 9000.0


class JointDay:
    """A deployment of two to five controllers, and steps that are drawn; each leaves alone what
    would leave the rules no way."""

    def __init__(self, draw: Draw):
        count, servers = 2 + draw.below(4), ZONES * (3 + draw.below(3))
        proxies, slices = 2 + draw.below(5), servers * (3 + draw.below(3))
        self.one_owner = draw.flag()
        sampling = draw.choice((Sampling(zones=ZONES), Sampling(2000.0, 6000.0, ZONES, 300.0)))
        load, seed = draw.choice((0.35, 0.45, 0.55)), draw.byte()
        limit = 4.0 * proxies * (8 + 6 + 1.6 * slices)
        settings = core.Settings(
            request_classes=[
                core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT),
                core.RequestClass(2000.0, 6000.0, core.Idempotency.NON_IDEMPOTENT),
            ],
            zone_count=ZONES,
            slice_count=slices,
            exclusive_ownership=self.one_owner,
            lease_ms=LEASE if self.one_owner else 0.0,
            max_write_in_flight_ms=LINGERS if self.one_owner else 0.0,
            max_empty_table_ms=EMPTY_FOR if self.one_owner else 0.0,
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
        chance = LinearCongruentialGenerator(seed)
        raw = [0.4 + chance.draw() for _ in range(slices)]
        demand = {k: USUAL * servers * load * part / sum(raw) for k, part in enumerate(raw)}
        bounds = Bounds(empty_table_ms=EMPTY_FOR) if self.one_owner else Bounds()
        self.group = ControllerGroup(
            settings, count, servers, demand, proxies, bounds, USUAL, sampling, seed
        )
        self.begun, self.proxies, self.calm_at, self.away = self.group.now, proxies, 0.0, set()
        self.go(2000.0)

    def calm(self) -> bool:
        """Whether nothing was lost or drained lately; from now on something was."""
        yes = self.group.now >= self.calm_at
        if yes:
            self.calm_at = self.group.now + CALM
        return yes

    # Steps

    def wait(self, a, b, c):
        pass

    def restart_zone(self, a, b, c):
        """All servers of a zone start anew, each controller is told at once."""
        if self.calm():
            self.lose_zone(a % ZONES, 100.0 + b, lambda: self.group.random_numbers.draw() * c)

    def lose_zone_for_seconds(self, a, b, c):
        """Each controller is told of the starts late."""
        if self.calm():
            lost = 2000.0 + b * 16.0
            self.calm_at += lost
            self.lose_zone(
                a % ZONES, lost, lambda: 1000.0 + self.group.random_numbers.draw() * c * 4.0
            )

    def lose_zone(self, zone, span, told_after):
        names = [machine.name for machine in self.group.servers.values() if machine.zone == zone]
        for name in names:
            self.group.stop(name)
        self.group.after(span, lambda: self.come_back(names, told_after))

    def come_back(self, names, told_after):
        for name in names:
            self.group.start(name)
        self.group.send_list_to_all(
            core.ListScope.CHANGES, [self.group.list_entry(name) for name in names], told_after
        )

    def drain(self, a, b, c):
        """One server; it is back, cold, once it is empty."""
        if self.calm():
            name = list(self.group.servers)[a % len(self.group.servers)]
            self.group.send_list_to_all(
                core.ListScope.CHANGES, [self.group.list_entry(name, "draining")]
            )
            self.group.after(
                5000.0, lambda: self.come_back([name], lambda: self.group.random_numbers.draw() * c)
            )

    def restart_proxy(self, a, b, c):
        number = a % self.proxies
        if number not in self.away and len(self.away) < self.proxies - 1:
            self.away.add(number)
            self.group.disconnect_proxy(number)
            self.group.after(200.0 + b * 8.0, lambda: self.rejoin(number, bool(c & 1)))

    def rejoin(self, number, fresh):
        self.away.discard(number)
        self.group.connect_proxy(number, fresh)

    def hand_over(self, a, b, c):
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
        hand_over,
        lose_controller,
        repeat_list,
        restart_proxy,
        restart_zone,
    )

    def go(self, span):
        self.group.run_for(span)
        breaches = self.group.violations
        check(not breaches, "broken:", *[str(breach) for breach in breaches[:1]])


def play(data) -> JointDay:
    day = JointDay(Draw(data[:HEAD].ljust(HEAD, b"\0")))
    for begin in range(HEAD, len(data), 4):
        if day.group.now - day.begun > LONGEST:
            break
        op, a, b, c = data[begin : begin + 4].ljust(4, b"\0")
        JointDay.STEPS[op % len(JointDay.STEPS)](day, a, b, c)
        day.go(STEP_LEAST + 200.0 * (op >> 4))
    day.go(4000.0)
    return day


def joint_days() -> list:
    """Each step by itself, for sole owners and for others."""
    count = len(JointDay.STEPS)
    alone = [
        bytes([k % 4, k % 3, k % 5, 1, owners, k % 2, 2, k])
        + bytes([240 + k if 240 + k < 250 else k, 9 * k, 60, k])
        for k in range(count)
        for owners in (0, 1)
    ]
    # A proxy parts while a drain's hand-over waits for its answer.
    crossing = [
        bytes([0, 0, 4, 1, 1, 0, 1, seed, 3, 0, 0, 0, op, proxy, 200, 1])
        for seed in (1, 2)
        for op in (4, 8)
        for proxy in (0, 3)
    ]
    # A zone's servers start anew under all their slices.
    under = [bytes([count, 0, 2, 2, 0, 1, 2, 5, 1, 0, 0, 50]) for count in (0, 3)]
    return alone + crossing + under


@register(
    name="joint_days",
    description="drawn days over several controllers against the five rules, judged together",
    seeds=joint_days,
    covers=("policy", "state"),
    engine="hypothesis",
    step_size=4,
    header_size=HEAD,
    max_size=HEAD + 48,
)
def run_joint_day(data):
    play(data)
