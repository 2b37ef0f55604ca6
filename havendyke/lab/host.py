"""The host of one assigner over several starts, in simulated time: its state directory, its clocks
and the relay's store."""

from .. import config
from ..net.assigner import Assigner
from ..recovery.durable_state import DurableState, StateOptions
from ..recovery.timestamps import Timestamp
from .disk import InlineWriter, SimulatedDisk, Storage
from .peers import Simulation


class AssignerHost:
    """A host that starts an assigner again and again with one state directory.

    `raw`: the platform's configuration. `entries`: discovery's list by uid; in the store, each
    slice starts with one of these servers, in turn. `wall`: the host's clock (Unix ms); `since`: ms
    since its boot."""

    def __init__(self, raw: dict, entries: dict):
        self.raw = raw
        self.storage = Storage()
        self.wall = 1.7e12
        self.boot = 1
        self.entries = dict(entries)
        names = list(entries)
        count = raw["settings"]["familyInfo"]["keyRanges"]
        self.store = {k: {names[k % len(names)]: 1.0} for k in range(count)}
        self.since = 5000.0

    def start(self, disk=None, discovery=True, proxies=range(6), persist=True, **entries):
        """Starts the assigner and returns the simulation.

        The store and discovery's list are as the last run left them. `entries`: changes of the
        list. `discovery`: whether it is up. `persist`: whether the assigner has a state directory.
        """
        self.storage.crash("all")
        self.entries |= entries

        def make(event_loop):
            began = event_loop.time
            wall = self.wall
            boot = f"boot-{self.boot}"
            since = self.since
            clock = lambda: Timestamp(  # noqa: E731
                wall + event_loop.time - began, boot, since + event_loop.time - began
            )
            event_loop.wall_offset_ms = lambda: began - wall
            self.durable = DurableState(
                StateOptions("/"),
                event_loop.log,
                disk or SimulatedDisk(self.storage),
                clock,
                InlineWriter,
            )
            return Assigner(
                config.read_config(self.raw, {}), event_loop, self.durable if persist else None
            )

        simulation = Simulation(make, self.store, self.entries, proxies)
        simulation.discovery.down = not discovery
        simulation.assigner.start()
        self.simulation = simulation
        return simulation

    def crash(self, downtime_ms, same_boot=False):
        """Ends the run; the next start is `downtime_ms` later by the wall clock.

        `same_boot`: only the process crashed, not the host."""
        self.wall += self.simulation.event_loop.time - 1000.0 + downtime_ms
        self.since = (
            self.since + self.simulation.event_loop.time - 1000.0 + downtime_ms
            if same_boot
            else 5000.0
        )
        self.boot += not same_boot
