"""One machine's assigner over several starts, in simulated time: its folder, its clocks, the
relay's store."""

from .. import config
from ..net.assigner import Assigner
from ..recovery.durable_state import DurableState, StateOptions
from ..recovery.timestamps import Timestamp
from .disk import InlineWriter, SimulatedDisk, Storage
from .peers import Simulation


class AssignerHost:
    """One folder over several runs of an assigner; `wall` is the machine's clock (Unix ms). `raw`
    is the platform's configuration, `entries` discovery's list by uid; each slice begins on one
    server, in turn."""

    def __init__(self, raw: dict, entries: dict):
        self.raw = raw
        self.storage, self.wall, self.boot, self.entries = Storage(), 1.7e12, 1, dict(entries)
        names, count = list(entries), raw["settings"]["familyInfo"]["keyRanges"]
        self.store = {k: {names[k % len(names)]: 1.0} for k in range(count)}
        self.since = 5000.0

    def start(self, disk=None, discovery=True, proxies=range(6), persist=True, **entries):
        """A run; the store and discovery's list go on from the last one."""
        self.storage.crash("all")
        self.entries |= entries

        def make(hub):
            began, wall, boot, since = hub.time, self.wall, f"boot-{self.boot}", self.since
            clock = lambda: Timestamp(wall + hub.time - began, boot, since + hub.time - began)  # noqa: E731
            hub.wall = lambda: began - wall
            self.durable = DurableState(
                StateOptions("/"), hub.log, disk or SimulatedDisk(self.storage), clock, InlineWriter
            )
            return Assigner(
                config.read_config(self.raw, {}), hub, self.durable if persist else None
            )

        w = Simulation(make, self.store, self.entries, proxies)
        w.discovery.down = not discovery
        w.assigner.start()
        self.simulation = w
        return w

    def crash(self, later, same_boot=False):
        """Power is gone; the machine comes back so much later by its wall clock."""
        self.wall += self.simulation.event_loop.time - 1000.0 + later
        self.since = (
            self.since + self.simulation.event_loop.time - 1000.0 + later if same_boot else 5000.0
        )
        self.boot += not same_boot
