"""One assigner: its door, its peers, and the turns between them."""
import gc
import os
import resource
import time

from .. import interface as core
from ..config import Config
from ..door import Door
from .collectors import Collectors
from .discovery import Discovery
from .messages import Messages
from .probes import Probes
from .relay import Relay


class Assigner:
    def __init__(self, config: Config, hub):
        self.hub, self.door = hub, Door(config.settings, config.seed)
        self.messages = Messages(config, self.door, hub.wall)
        self.relay = Relay(hub, config.relay, self.messages, self.tell)
        version = -1
        if config.known:
            event, version = self.messages.members(config.known, "stale")
            self.door.inbox.append(event)
        self.discovery = Discovery(hub, config.discovery, self.messages, self.tell, version)
        self.collectors = Collectors(hub, self.messages, self.tell)
        self.probes = Probes(hub, self.messages, self.tell, "/stats" if config.words["reports"] else "/health/live")
        self.due = False

    def start(self):
        self.turn()
        self.relay.news.start()
        self.discovery.start()

    def tell(self, event):
        """What one look of the loop brings makes one turn."""
        self.door.inbox.append(event)
        if not self.due:
            self.due = True
            self.hub.soon(self.turn)

    def turn(self):
        self.due = False
        events, began = self.door.inbox, self.hub.now()
        for event in events:
            self.hub.count(f"events_{type(event).__name__}")
        try:
            orders = self.door.turn(began)
        except Exception as error:
            self.hub.count("failed_turns")
            self.hub.log("decision_failed", cause=f"{type(error).__name__}: {error}",
                         at_line=error.__traceback__.tb_next and where(error), events=len(events))
            # Its reminders must ring on, or it would never look again without news.
            orders = [core.Timer(e.tag, self.hub.limits.turn_again) for e in events
                      if type(e) is core.Reminder]
        self.carry_out(orders)
        self.hub.count("turns")
        took = self.hub.now() - began
        self.hub.counters["turn_longest_ms"] = max(self.hub.counters.get("turn_longest_ms", 0.0), round(took, 2))
        self.hub.counters["turn_total_ms"] = round(self.hub.counters.get("turn_total_ms", 0.0) + took, 2)

    def carry_out(self, orders):
        calls = []
        for order in orders:
            if type(order) is core.Timer:
                self.hub.after(order.after, lambda tag=order.tag: self.tell(core.Reminder(tag)))
            elif type(order) is core.Probe:
                self.probes.ask(order.server)
            elif type(order) is core.Note:
                self.hub.log("note", text=order.text)
            elif (made := self.messages.order(order)) is not None:
                calls.append(made)
            elif type(order) is not core.Follow:  # discovery is always followed
                self.hub.count("orders_without_form")
                self.hub.log("order_without_form", order=type(order).__name__)
        if calls:
            self.hub.log("push", orders=len(calls), mark=calls[-1][1].get("nonce_out"))
            self.relay.order(calls)

    def counters(self) -> dict:
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm") as file:
            pages = int(file.read().split()[1])
        return {**self.hub.counters, "memory_mb": round(pages * resource.getpagesize() / 2**20, 1),
                "memory_most_mb": round(used.ru_maxrss / 1024, 1),
                "descriptors": len(os.listdir("/proc/self/fd")), "log_dropped": self.hub.log.dropped,
                "cpu_s": round(used.ru_utime + used.ru_stime, 3), "slots": len(self.hub.slots),
                "slots_most": self.hub.slots.most, "collections": sum(g["collections"] for g in gc.get_stats()),
                "up_s": round(time.monotonic() - self.hub.born, 3)}


def where(error) -> str:
    last = error.__traceback__
    while last.tb_next:
        last = last.tb_next
    return f"{last.tb_frame.f_code.co_name}:{last.tb_lineno}"
