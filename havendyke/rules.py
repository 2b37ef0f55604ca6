"""havendyke's decisions, all of them, and every tuned value.

A front makes a `Controller(settings, seed)` at each start, gets the objects for its ids from `server`,
`slice` and `proxy`, and calls `turn(now, events)`; the orders that come back take effect at `now`. Events,
orders and settings: `interface.py`; times are milliseconds. `docs/design.md`: what departs from the design.
"""
from math import log, log2

from . import interface as core
from . import state
from .state import Proxy, Push, Server, Slice, Tally, added, answered_by, hashed, middle_of, turned, users_of

SLOWEST, URGENT = 8.0, 0.26  # times slower the channel may be; of half its limit, on top of it for drains
TICK, PROBE_EVERY, PUSH_GAP = 250.0, 500.0, 1000.0  # looks without news; the design's one push a second
BURST = 1.5           # times the usual traffic: whose connections would fill all tables, fills some by itself
PROBED = 5.0          # questions a second at one server, of all instances together
DEAD_PROBES, MUTE_PROBES, JAM = 2, 3, 5  # in a row: connects refused; no answer, times so many when full
NEWS, MISSED = 1.6, 2.0  # report periods since a good report, and answers missed, till silence counts
BAD_SHARE, BAD_TRIES, ZONE_HEARD = 0.3, 6.0, 3  # of tries, at least so many; servers that tell of their zone
BUSY, STRAIN, CALM = 0.06, 0.06, 0.02  # bad part of all tries; of the middle server's; what ends either
SORE = 0.4            # of the shortest quoted time: failing beside slower answers is taken for overload
ILL_REST, ILL_MOST = 5000.0, 20000.0  # so long an ill server rests at first, and at most
HALF_LIFE, HEARD, BINS = 2500.0, 3750.0, 24  # between halvings; till a tally is full; 3 a doubling, from 8 ms
SPARE, LEAST = 0.02, 1e-6  # weight of a slice's spare line, against its owner's; what is too small to divide
LEVEL_EVERY = 2500.0  # while the fleet is full, LEVEL_AIM of what it answered of all that came is let in
LEVEL_AIM, LEVEL_LEAST, LEVEL_UP = 0.9, 0.25, 1.5  # the last a step, once hardly any try fails
COLD_PART, WARY = (0.75, 0.4), 12000.0  # of what fells a cold server, in usual parts: calm; strained or new
FILL = 5000.0         # a server's period as giver and as receiver: news of a move takes that long to show
FILL_REPORTS, FILL_REST = 2, 8000.0  # reports that a gap must hold; a slice's rest after a move
FULL, CROWDED, GAP = 1.25, 1.5, 1.6  # of its fair part: a receiver's; a giver's; latency against the median
ASK_AGAIN = 3000.0    # with sole owners, after which a mark that somebody has not answered is set anew
HANDOVERS = 3.0       # that the rule on empty tables must leave time for, where one is a choice
CROSSED = 100.0       # a call takes effect within 50 ms: who joined before that may be told as long after it
SETTLED = 0.75        # of the proxies' traffic must have answered before a slice moves again

CLOSED, ILL, COLD, WARM = range(4)


class Controller:
    def __init__(self, settings, seed):
        s = settings
        self.chance, self.phase = state.Chance(seed), state.Chance(seed + 1)
        self.sore = 3 * log2(max(SORE * min(c.quoted for c in s.classes), 9.0) / 8.0)
        self.work = [c.quoted for c in s.classes]  # work is told nowhere; a longer quoted time suggests more
        self.sliced, self.one_owner, self.instances, self.place = s.slices, s.one_owner, s.instances, s.place
        self.connections, self.rest, self.counted, self.filled = s.connections, s.connection_rest, None, 0.0
        self.lease, self.lingers, self.delay = s.lease, s.lingers, s.push_delay
        # A sole owner's slice is bare in a hand-over; its controller may end in it, and another begin anew.
        self.may_bare = not s.one_owner or s.bare > HANDOVERS * (s.lease + s.lingers)
        self.queue_half, self.pace, self.head = s.queue_limit / 2, s.channel_rate / 1000 / SLOWEST, s.overhead
        self.gap = max(PUSH_GAP, 1.1 * s.message_span / s.message_cap if s.message_cap else 0.0)
        self.early = self.gap if s.message_cap else self.gap / 2
        self.cold, self.cold_from, self.overload = s.cold, s.cold_from, min(s.overload, 3.0)
        self.probes, self.sized, self.report_period = s.probes, s.sized, s.report_period
        # Where the list states no sizes, a quick server may be a small one: its coolness counts for less.
        self.spans = (0.5, 1.6) if s.sized else (0.75, 1.35)
        self.ask_again, self.ask_at = s.ask_within / 4, -1e9 if s.ask else 1e18
        # A repeat may take effect twice, but not of safe classes, or where all servers drop it long enough.
        again = [c.repeat == "safe" or c.repeat == "keyed" and c.group == "all" and c.window >= c.patience
                 for c in s.classes]
        self.repeatable = sum(1 << k for k, yes in enumerate(again) if yes)
        self.all_classes, self.level = (1 << len(s.classes)) - 1, 1e6 if s.levels == "rate" else 1.0
        self.sheds, self.levelled_at, self.levels = s.levels == "share", -1e9, []
        self.tried, self.came, self.queued, self.queued_at = Tally(2), 0.0, 0.0, 0.0
        self.servers, self.slices, self.proxies, self.pushes, self.serial = [], [], [], [], 0
        self.good_at = self.now = self.halved_at = self.reported_at = self.next_push = self.soon = -1e9
        self.listed, self.booted_at, self.urgent, self.away, self.parted_at = False, None, True, False, -1e9
        self.strained = self.busy = self.jammed = self.crammed = self.drowned = self.rejoined = False
        self.fleet, self.settled_push, self.moves, self.sharers, self.fair = state.Fleet(), 0, 9.0, 1.0, 1e9
        self.own_zone = sum(1 << k for k, c in enumerate(s.classes) if c.own_zone)
        if not self.sliced:
            for number in range(1 + (s.zones if self.own_zone else 0)):
                table = self.slice(number)
                table.held, table.zone = True, number - 1 if number else None

    def server(self, ident):
        made = added(self.servers, Server(ident, BINS))
        made.turn = turned(made, self.place, self.instances) if self.sliced else None
        return made

    def slice(self, ident):
        return added(self.slices, Slice(ident, len(self.work)))

    def proxy(self, ident):
        return added(self.proxies, Proxy(ident))

    def turn(self, now, events):
        self.now = now
        rung = [event.tag for event in events if type(event) is core.Reminder]
        orders = [core.Timer(0, TICK)] if self.booted_at is None or 0 in rung else []
        if self.booted_at is None:
            self.booted_at = self.parted_at = now  # whoever was joined before us lost its stream
        for event in events:
            if take := self.TAKES.get(type(event)):
                take(self, event)
        if self.urgent or orders or rung:
            self.urgent = False
            self.recall()
            self.judge()
            self.shed()
            (self.plan if self.sliced else self.spread)()
            pushed = self.emit()
            # The next push is not left to the tick: a drain's grace is a few pushes long.
            orders += pushed + ([core.Timer(1, self.gap)] if pushed else []) + self.ask_around()
        return orders

    def members(self, event):
        if event.scope == "failed":
            self.ask_at = self.now + self.ask_again
            return
        self.listed = self.listed or event.scope != "stale"
        named = [e.server for e in event.entries]
        for server in self.servers if event.scope != "changes" else ():
            server.state = server.state and (server.state if server in named else "gone")
        for e in event.entries:
            server = e.server
            started = e.started if e.started is not None else -1e12
            anew = server.started is None or started > server.started + 1
            if anew or server.assumed:
                server.started, server.assumed = started, not e.sure
                if anew and self.now - started < self.cold:
                    server.forget()  # what was heard before its start says nothing of it
            server.state, server.zone = e.state, e.zone
            server.size = e.size if self.sized and e.size > 0 else 1.0
        self.urgent = True

    def joined(self, event):
        p = event.proxy
        p.joined, p.rate, p.zone, p.answered, p.bound = True, event.rate, event.zone, 0, False
        for push in self.pushes if self.one_owner else ():
            if self.now - push.at <= CROSSED:
                push.add(p)
        self.urgent, self.rejoined = self.urgent or not self.sliced, True

    def recall(self):
        # A proxy that was away missed what was shut and opened, and holds what it held before. Once a look,
        # for all of a fleet join in one.
        for server in self.servers if self.rejoined else ():
            server.doubt = server.doubt or server.shut_once
        self.rejoined = False

    def parted(self, event):
        event.proxy.joined, event.proxy.answered, self.parted_at = False, 0, self.now
        for push in self.pushes:
            push.settle(event.proxy, self.now + self.lease)

    def custody(self, event):
        piece = event.slice
        piece.given_at = piece.given_at if piece.held else self.now
        # Without a line in the store, the owner before us may have been taken off it just now.
        piece.held, piece.present, piece.wanted, piece.push = event.given, {}, {}, None
        piece.cleared = Push(0, 0, set(), self.now, max(self.now, self.parted_at + self.lease))
        self.urgent = True

    def stored(self, event):
        event.slice.present[event.server] = event.slice.wanted[event.server] = event.weight
        event.slice.cleared = None
        # Spares in the store at the start were laid by one before us, who may have left servers shut.
        for server in event.slice.present if self.serial == 0 and len(event.slice.present) > 1 else ():
            server.doubt = True
        self.urgent = True

    def server_report(self, event):
        server = event.server
        if event.tries > event.bad and event.latency > 0:
            server.latency.add(3 * log2(max(event.latency, 8.0) / 8.0), event.tries - event.bad)
        server.reports[event.zone] = state.Heard(self.now, event.bad / max(event.tries, 1))
        self.told(event)
        for tally in (server.outcomes, self.tried):
            tally.add(0, event.tries - event.bad)
            tally.add(1, event.bad)
        if event.tries > event.bad:
            server.mute, server.good_at, self.good_at = 0, self.now, self.now

    def told(self, event):
        if "held" in event.load:
            event.server.held.add(3 * log2(1.0 + max(event.load["held"], 0.0)), 1.0)

    def slice_report(self, event):
        event.slice.heat.add(event.operation, event.count)
        self.came += event.count

    def probed(self, event):
        server = event.server
        server.probing = False
        self.told(event)
        kept = event.outcome != "answered"
        server.streak = kept * server.streak + (event.outcome in ("refused", "reset"))
        server.mute = kept * server.mute + (event.outcome in ("overdue", "error"))
        # A look at once where one more may change what is believed: hundreds that came late each had its own,
        # and a core was spent on looks.
        self.urgent = self.urgent or kept and server.ill_till is None and (
            server.streak == DEAD_PROBES or server.mute in (MUTE_PROBES, MUTE_PROBES * JAM))

    def caught_up(self, event):
        p = event.proxy
        met = [push.serial for push in self.pushes if push.serial % 65536 == event.mark and p in push.waits]
        p.answered = max([p.answered] + met)
        for push in self.pushes:
            if push.serial <= p.answered:
                push.settle(p, self.now)

    def reached(self, event):
        # What cannot leave would pile up unseen and then overfill the channel, which has not emptied either.
        self.away, self.queued_at, self.urgent = not event.yes, self.now, True
        for push in [p for p in self.pushes if p.serial % 65536 in event.unsent]:
            self.queued, push.waits = self.queued - push.each * push.count, set()  # none will answer it

    TAKES = {core.Members: members, core.Joined: joined, core.Parted: parted, core.Custody: custody,
             core.Stored: stored, core.ServerReport: server_report, core.SliceReport: slice_report,
             core.Probed: probed, core.Answered: caught_up, core.Reached: reached}

    def judge(self):
        self.settled_push = answered_by(self.proxies, SETTLED)
        if self.now >= self.halved_at + HALF_LIFE:
            self.halved_at = self.now
            for kept in self.servers + self.slices:
                kept.halve()
            self.fleet.largest *= 0.98
        ready, suspects = [s for s in self.servers if s.state == "ready"], []
        self.usual_held = middle_of([s.held.middle() or 0.0 for s in ready], 0.0)
        # Where the middle server fails too, all are full or we are cut off: emptying one drowns the next.
        middle = middle_of([s.outcomes.bins[1] / max(1.0, sum(s.outcomes.bins)) for s in ready], 0.0)
        self.strained = middle > (CALM if self.strained else STRAIN)
        slow = [s.latency.middle() or 0.0 for s in ready if s.outcomes.bins[0]]
        self.jammed = middle_of(slow, self.sore) >= self.sore
        good, bad = (sum(s.outcomes.bins[k] for s in ready) for k in (0, 1))
        self.busy = bad > (CALM if self.busy else BUSY) * (good + bad)
        self.drowned = self.jammed and bad > BAD_SHARE * (good + bad)
        if not self.probes and not self.strained:
            # A lost zone comes back cold, told so seconds later; its servers are heard too seldom one by one.
            state.mark_lost_zones(ready, self.now, NEWS * self.report_period, BAD_SHARE, ZONE_HEARD, self.cold)
        for server in ready:
            good, bad = server.outcomes.bins
            # A full server fails too, but beside slow answers: emptying it would only drown the next. So does
            # one whose connections are all taken, and those of what it loses are opened at the next.
            server.failing = good + bad >= BAD_TRIES and bad > BAD_SHARE * (good + bad)
            slow, held = (server.latency.middle() or 0.0) >= self.sore, server.held.middle()
            # Unanswered probes count only while good news of others flows: the silence may be ours. Full ones
            # answer late; so do far ones, but those hold no more than others.
            missed = server.outcomes.bins[0] * (self.now - server.good_at) / (1.5 * HALF_LIFE)
            full = self.strained or missed < MISSED or slow and (held is None or held > self.usual_held + 2)
            silent = server.mute >= MUTE_PROBES * (JAM if full else 1)
            mute = silent and self.now - self.good_at < NEWS * self.report_period < self.now - server.good_at
            if server.ill_till and self.now > server.ill_till and not server.streak + server.mute:
                server.ill_till, server.returning = None, True
            elif server.ill_till or server.streak >= DEAD_PROBES or mute or (
                    server.failing and (not slow or server.lost_at == self.now)
                    and not self.strained and not self.crammed):
                suspects.append(server)
        # More than half ill at once is more likely our own cut, a stall or overload.
        for server in suspects if 2 * len(suspects) <= len(ready) else ():
            if server.ill_till is None:
                # Each time it falls ill again it rests twice as long, for it was let back too early.
                server.rest = min(max(2 * server.rest, ILL_REST), ILL_MOST)
                server.ill_till, server.outcomes = self.now + server.rest, Tally(2)
        median = middle_of([m for s in ready if (m := s.latency.middle()) is not None], None)
        # A stale list at a start may lack what the store's lines name; the new one comes soon after.
        listed = self.listed or self.now - self.booted_at > 3000.0
        for server in self.servers:
            at = server.latency.middle()
            server.heat = 2 ** ((at - median) / 3) if at is not None and median is not None else 1.0
            warmth = server.warmth(self.now, self.cold, self.cold_from)
            # Beside a jammed fleet a cold server is heard to be cool: what it surely can do leaves that out.
            # One slow by the median or by quoted times, though the bounds let it have more, is near its fall.
            server.capacity = server.size * warmth / max(self.spans[0], min(self.spans[1], server.heat))
            slow = max(server.heat, 2 ** ((at - self.sore) / 3) if at is not None else 0.0)
            server.sure = server.size * warmth / max(1.0, min(3.0, slow))
            server.grade = (CLOSED if server.state != "ready" and (server.state or listed)
                            else ILL if server.ill_till is not None else COLD if warmth < 1 else WARM)

    def shed(self):
        # A full fleet works on what clients gave up; only letting less in ends it. Few bad ones are no jam,
        # nor are quick failures of all: connections that servers refuse cost no work, and turned away none is
        # freed.
        if not self.sheds or self.now < self.levelled_at + LEVEL_EVERY:
            return
        self.levelled_at, (good, bad), came = self.now, self.tried.bins, self.came
        self.tried, self.came = Tally(2), 0.0
        if self.strained and self.jammed and bad > 2 * BUSY * (good + bad):
            self.level = max(LEVEL_LEAST, min(self.level, LEVEL_AIM * good / max(came, 1.0)))
            self.levelled_at += LEVEL_EVERY  # what was let in before must drain first
        elif not (self.strained and self.jammed):
            self.level = min(1.0, LEVEL_UP * self.level)

    def plan(self):
        self.fill_up()
        mine = [p for p in self.slices if p.held]
        self.weigh(mine)
        lost = [p for p in mine if (o := p.owner()) is None or o.grade <= ILL]
        for server in [s for s in self.servers if s.grade == COLD and not s.assumed]:
            # A cold server with slices from before its start is cut to what it can do, or it falls over. One
            # that only an old list makes cold keeps what stands: cut, a well fleet would lose its tables.
            over = server.load - 1.25 * self.bearable(server)
            for piece in sorted(server.owned, key=lambda p: -p.demand):
                lost += [piece] if over > 0 else []
                over -= piece.demand
        for piece in sorted(lost, key=lambda p: -p.demand):
            owner = piece.owner()
            to = self.choose(piece, [s for s in self.servers if s is not owner and not s.out])
            # From one ill server to another is no rescue, only churn.
            if owner is None or owner.grade in (CLOSED, COLD) or to and to.grade > ILL:
                self.move(piece, to)
        # Moves of choice only as far as a push has room: planned beyond it, they would crowd out spares.
        room = self.queue_half / max(1, sum(p.joined for p in self.proxies)) - self.head - 4
        self.moves = max(room / 8, room / 2 - sum(not p.laid() for p in mine))
        if not self.one_owner:
            self.take_back(mine)
            self.refill(mine)
        if self.may_bare:
            self.fill(mine)
        for piece in () if self.one_owner else mine:
            self.spare(piece)

    def fill_up(self):
        # The part of the smallest server's connections that stands open when all is even and nothing moves: a
        # proxy keeps one for a while after its last operation there.
        joined, ready = sum(p.joined for p in self.proxies), sum(s.state == "ready" for s in self.servers)
        if (joined, ready) != self.counted:
            self.counted, held = (joined, ready), state.connections_held(self.proxies, ready, self.rest)
            self.filled = held / self.connections if self.connections else 0.0
            self.crammed = BURST * self.filled > 1.0
            # So many controllers hold slices of one server.
            self.sharers = min(self.instances, max(1.0, self.sliced / max(ready, 1)))

    def weigh(self, mine):
        # What was not yet heard of a slice counts as the mean: one just given is not light.
        heard = [max(0.0, min(1.0, (self.now - p.given_at) / HEARD)) for p in mine]
        raw = [sum(w * b for w, b in zip(self.work, p.heat.bins)) for p in mine]
        mean, self.heard = sum(raw) / max(1.0, sum(heard)), sum(raw) > 0
        for server in self.servers:
            server.load, server.owned = 0.0, []
        for piece, heat, part in zip(mine, raw, heard):
            piece.demand = 0.1 + 0.9 * (heat / mean + 1 - part) if mean else 1.0
            if owner := piece.owner():
                owner.load, owner.owned = owner.load + piece.demand, owner.owned + [piece]
        total = sum(p.demand for p in mine)
        usable = sum(s.capacity for s in self.servers if s.grade >= COLD)
        self.fair = total / usable if usable else 1e9
        # A cold server's part goes by the fleet at its largest: with many lost, a fair part would fell it.
        self.fleet.count([s for s in self.servers if s.state == "ready"], COLD)
        # After a start neither demand nor strain is known. Where the middle server is slow and all fail as
        # one that fails does, they are full: newcomers not heard yet make the middle one look well.
        wary = self.strained or self.drowned or self.now - self.booted_at < WARY
        self.usual = COLD_PART[wary] * self.overload * total / max(self.fleet.largest, 1e-6)

    def bearable(self, server, part=FULL):
        # A part of a server is a slice or less for each of several controllers: held to it, all kept two on
        # each warm server and gave cold ones nothing. So whole slices; each rounds up in its turn.
        room = self.usual * server.sure if server.grade == COLD else part * self.fair * server.capacity
        return room if server.turn is None else int(room + server.turn)

    def fits(self, server, demand, part):
        return server.grade >= COLD and server.load + demand <= self.bearable(server, part)

    def alone(self, server, demand, part):
        # One slice may be more than any server's part: held to that, all would choose the same largest one.
        return server.grade == WARM and not server.owned and self.fair * server.capacity < demand

    def score(self, piece, server):
        return -max(server.capacity, 1e-6) / log(hashed(piece, server))

    def choose(self, piece, pool):
        spares = [s for s in piece.wanted if s in pool and s.grade == WARM]
        owner = piece.owner()
        # Whatever made the owner ill may have its whole zone, of which others' servers are unheard here.
        away = [s for s in pool if owner and owner.grade == ILL and s.zone != owner.zone]
        for may in (self.fits, self.alone):
            for some in (spares, away, pool):
                if fit := [s for s in some if may(s, piece.demand, FULL)]:
                    return max(fit, key=lambda s: self.score(piece, s))
        # Never a cold one beyond its part: with all cold, a bare slice is refused, a felled server is lost.
        for some in ([s for s in pool if s.grade == WARM], [s for s in pool if s.grade == COLD and s.assumed],
                     [s for s in pool if s.grade == ILL]):
            if some:
                return min(some, key=lambda s: self.part(s, piece.demand))
        return None

    def move(self, piece, to):
        self.moves -= 1
        old, weight = piece.owner(), piece.wanted.get(to, piece.present.get(to, 0.0))
        # A spare that takes over keeps its weight: each line saved covers another slice before the next loss.
        weight = weight if weight > LEAST else 1.0
        piece.wanted = {s: w for s, w in piece.wanted.items() if to and s is not to and w < weight
                        and (s is not old or to.out and s.grade == WARM)}
        if to:
            piece.wanted[to] = weight
            to.load += piece.demand
            to.owned.append(piece)
            to.got_at, piece.moved_at, piece.push = self.now, self.now, None
        if old:
            old.load -= piece.demand
            old.owned.remove(piece)

    def settled(self, piece):
        return piece.wanted == piece.present if piece.push is None else piece.push <= self.settled_push

    def take_back(self, mine):
        # A shut server that is well again opens with what it can carry of its lines: all anew take too long.
        for server in [s for s in self.servers if s.out and s.grade >= COLD]:
            for piece in [p for p in mine if p.pull(server) > 0.9 and p.owner() is not server]:
                if self.fits(server, piece.demand, FULL):
                    self.move(piece, server)

    def refill(self, mine):
        # One slice a push for each server that came back: the filler would take the rest of the day.
        back = [s for s in self.servers if s.returning and s.grade >= COLD and not s.out]
        for server in back:
            server.returning = server.grade == COLD or self.part(server) < 0.8
        back = sorted([s for s in back if self.now - s.got_at >= PUSH_GAP], key=self.part)
        # Who may give is sought once a look: for 72 servers anew it cost half of all looks. Not cold ones:
        # plan() cuts them to what they bear, and from one to the next a slice only finds its keys cold again.
        give = back and sorted((p for p in mine if (o := p.owner()) and o.grade != COLD
                                and self.settled(p) and self.spares(o, p)),
                               key=lambda p: (-self.part(p.owner()), -p.demand))
        for server in back:
            for piece in give if self.moves > 0 else ():
                o = piece.owner()
                if o is not server and self.fits(server, piece.demand, 0.9) and self.spares(o, piece):
                    self.move(piece, server)
                    give.remove(piece)
                    break

    def spares(self, owner, piece):
        return owner.load - piece.demand >= self.bearable(owner, 1.05 if owner.turn is None else 1.0)

    def fill(self, mine):
        if self.now >= self.reported_at + self.report_period:
            self.reported_at = self.now
            for server in self.servers:
                # Demand shows a crowded server seconds before its latency does, and where latency is silent.
                # Where the list states no sizes, a part of the demand tells nothing of fullness.
                crowded = self.sized and server.heat > 0.9 and self.part(server) > CROWDED
                server.hot = server.hot + 1 if server.grade >= COLD and (crowded or server.heat > GAP) else 0
        if not self.heard or self.now - self.good_at > 2 * NEWS * self.report_period:
            return  # with no news, heat is of the past
        # A server that this controller hardly uses is unheard, yet may be full of others' slices.
        # One that is jammed beside a fleet that is not gives a slice a push: it works on what was given up.
        # One that is only slower than others, not by quoted times, keeps what it has: a moved slice finds its
        # keys cold, and its connections stand twice until the giver's have rested.
        # A period is that of all holders of a server: five that each gave and chose made 100 moves a second.
        hot = [s for s in self.servers if s.hot >= FILL_REPORTS and (s.latency.middle() or 0.0) >= self.sore
               and self.now - s.gave_at > self.sharers * (
                   PUSH_GAP - 1 if s.failing and not self.strained else FILL)]
        cool = [s for s in self.servers if s.grade == WARM and not s.out and s.heat < 1.1
                and (s.held.middle() or 0.0) <= self.usual_held
                and self.now - max(s.gave_at, s.got_at) > FILL * self.sharers]
        for giver in sorted(hot, key=lambda s: -max(s.heat, self.part(s))):
            for piece in sorted(giver.owned, key=lambda p: -p.demand):
                if self.now - piece.moved_at <= FILL_REST or not self.settled(piece) or self.moves <= 0:
                    continue
                fit = [s for s in cool if s is not giver and s.heat < giver.heat
                       and self.fits(s, piece.demand, FULL)
                       and (not self.sized or self.part(s, piece.demand) < self.part(giver))]
                if fit:
                    fit.sort(key=lambda s: self.part(s, piece.demand) * (1.0 if self.sized else s.heat))
                    # Chance among the best, two for each controller: the others see the same coolest servers.
                    to = fit[int(min(2 * self.instances, len(fit)) * self.chance.draw())]
                    self.move(piece, to)
                    cool = [s for s in cool if s is not to and s is not giver]
                    giver.gave_at = self.now
                    break

    def part(self, server, more=0.0):
        return (server.load + more) / max(self.fair * server.capacity, 1e-6)

    def spare(self, piece):
        owner = piece.owner()
        def steady(s):
            return s.grade == WARM or s.grade == COLD and s.assumed
        if owner is None or [steady(s) for s in piece.wanted if s is not owner] == [True]:
            return
        good = [s for s in self.servers if steady(s) and s is not owner and not s.out]
        away = [s for s in good if s.zone != owner.zone] or good  # whatever takes the owner may take its zone
        piece.wanted = {owner: piece.wanted[owner]}
        if away:
            piece.wanted[max(away, key=lambda s: self.score(piece, s))] = SPARE * piece.wanted[owner]

    def spread(self):
        # Without slices: one table of all that may be used, by capacity in coarse steps; cold ones join late.
        for table in self.slices:
            zoned = [s for s in self.servers if s.grade > CLOSED and table.zone in (None, s.zone)]
            use = [s for s in zoned if s.grade == WARM or s.grade == COLD and s.sure > 0.3 * s.size] or zoned
            table.wanted = {s: max(1, round(8 * s.capacity / s.size)) / 8 * s.size for s in use}

    def waiting(self):
        self.pushes = [push for push in self.pushes if push.waits]
        # Messages leave one after the other: an answer to a push says that all before it have left.
        left = max((p.answered for p in self.proxies), default=0)
        unanswered = sum(push.left(self.now, self.delay) for push in self.pushes if push.serial >= left)
        # Proxies that stand still do not answer; the channel empties all the same, at its slowest at least.
        past, self.queued_at = self.now - self.queued_at, self.now
        self.queued = max(0.0, self.queued - past * self.pace)
        return min(unanswered, self.queued)

    def emit(self):
        """The one place where the difference between wanted and present becomes orders."""
        if self.now < self.soon or self.away:
            return []
        joined = [p for p in self.proxies if p.joined]
        # Early goes only what a drain's grace or the rule on empty tables cannot leave to the second's push.
        early = self.now < self.next_push
        changed = [p for p in self.slices if p.held and p.wanted != p.present
                   and (not early or self.pressing(p)[0] <= CLOSED)]
        each, waiting = max(1, len(joined)), self.waiting()
        easy = (self.queue_half - waiting) / each - self.head - 4
        # Beyond half the limit only for the rules: a drain's grace is short, and slices must not be bare.
        room = easy + URGENT * self.queue_half / each
        pressed = early or any(self.pressing(p)[0] <= CLOSED for p in changed)
        if (room if pressed else easy) < min(self.head, 1 + len(changed)) or early and not changed:
            return []  # a full channel is not spent on the heads of messages that bring a line each
        push = Push(self.serial + 1, 0, set(joined), self.now, max(self.now, self.parted_at + self.lease))
        orders = []
        if joined and (levels := self.tries()) != self.levels and easy > len(levels):
            orders += [level for level in levels if level not in self.levels]
            self.levels = levels
        bare = [p for p in changed if self.pressing(p)[0] <= ILL and not self.covered(p)]
        for stage in (bare, changed):
            orders += self.shutters(room - len(orders), easy - len(orders), stage is changed)
            for piece in sorted(stage, key=self.pressing):
                lines, left = self.difference(piece)
                if lines and len(orders) + len(lines) <= (room if self.pressing(piece)[0] <= ILL else easy):
                    orders += lines
                    piece.present = left
                    # A new choice of its next owner forgets `push`, but not which one cleared its line.
                    piece.push, piece.cleared = push.serial, None if left else push
        for p in () if self.sliced else joined:
            if not p.bound and len(orders) + 2 + sum(len(t.wanted) for t in self.slices) <= easy:
                p.bound = True
                own = self.slices[1 + p.zone:2 + p.zone] if self.own_zone else []
                orders += [core.Bind(p, self.slices[0], 0)] + [core.Bind(p, t, self.own_zone) for t in own]
        # A proxy that joined anew holds the store's lines, but only a mark tells: unasked, it pins slices.
        # A sole owner's slice waits for every answer: one that was lost is asked for again.
        late = self.now - ASK_AGAIN if self.one_owner else -1e9
        asked = {p for push in self.pushes if push.at > late for p in push.waits}
        silent = any(p.answered < self.serial and p not in asked for p in joined)
        if not orders and not silent:
            return []
        self.serial, push.each = push.serial, len(orders) + 1 + self.head + len(self.levels)
        self.pushes.append(push)
        self.queued += push.each * len(joined)
        self.soon, self.next_push = self.now + self.early, self.next_push if early else self.now + self.gap
        return orders + [core.Mark(self.serial % 65536, silent)]

    def tries(self):
        # Further tries after any failure help against single servers, and drown a fleet that is full.
        # A connection that is refused costs nothing, and the next server may have one free.
        cheap = self.crammed and not self.jammed
        keen = 0 if (self.strained or self.busy) and not cheap else self.repeatable
        rest = (self.all_classes & ~keen, 0 if self.strained and not cheap else 1)
        return [core.Tries(mask, self.level, further) for mask, further in (rest, (keen, 2)) if mask]

    def covered(self, piece):
        return any(not s.out and s.grade >= (COLD if s is piece.owner() else WARM) for s in piece.present)

    def shutters(self, room, easy, again):
        # One line shuts a server out of all slices: theirs, times the proxies, outlast a drain's grace. Only
        # where each has another line that works, for the rules on empty tables and cold servers.
        users, orders = users_of(self.slices), []
        for s in sorted(self.servers if self.sliced and not self.one_owner else (), key=lambda s: s.grade):
            if s.grade <= ILL:
                shut = s.out or bool(users[s]) and all(self.covered(p) for p in users[s])
            else:
                # A cold one must not get all of its past at once.
                shut = s.out and not all(p.owner() is s or p.pull(s) < 0.1 for p in users[s])
            # Told again only after what is new, and where a table names it: many may have joined at once.
            tell = shut != s.out or again and s.doubt and users[s]
            if tell and len(orders) < (room if s.grade <= ILL else easy):
                s.out, s.shut_once, s.doubt = shut, s.shut_once or shut, False
                orders.append(core.Withdraw(s, shut))
        return orders

    def pressing(self, piece):
        open_to = {s: w for s, w in piece.present.items() if not s.out}
        gone = [s.grade for s, w in open_to.items() if s not in piece.wanted
                and (s.grade <= ILL or s.grade == COLD and w == max(open_to.values()))]
        # A slice with one line that works comes before moves: whatever takes that server leaves it bare.
        rank = CLOSED - 1 if not open_to else min(gone, default=WARM)
        if rank == WARM and any(s.out and s.grade >= COLD and s not in piece.wanted for s in piece.present):
            rank = COLD
        elif rank == WARM and sum(s.grade >= COLD for s in open_to) > 1:
            rank += 2 if piece.laid() else 0
        return rank, -(piece.demand or 0.0)

    def difference(self, piece):
        if piece.wanted == piece.present:
            return [], piece.present  # a sole owner's line, just set, was cleared by the push's second look
        if self.one_owner and piece.present:
            return [core.Clear(piece)], {}
        # A sole owner's writes must have ended everywhere before the next owner's begin: each proxy that had
        # its line has answered the push that cleared it, or its lease has ended, and what it had in hand has.
        if self.one_owner and (push := piece.cleared):
            if push.waits or self.now - max(push.settled_at, piece.given_at + self.lease) < self.lingers:
                return [], {}
        # Out of a server that must go comes only the new owner's line, for one more shuts it; spares wait. So
        # do those of slices with no line left: taken over by the dozen, they kept a withdrawal past its
        # grace.
        bare = all(s.out for s in piece.present)
        hurry, owner = bare or any(s.grade <= ILL and not s.out for s in piece.present), piece.owner()
        if hurry and owner and piece.present.get(owner) != piece.wanted[owner]:
            out = {**piece.present, owner: piece.wanted[owner]}
        else:
            out = {s: w for s, w in piece.wanted.items() if not hurry or s is owner or s in piece.present}
        # Lines that are shut out or weigh little do no harm: they leave once nothing else is to be changed.
        if not piece.laid():
            light = SPARE * piece.wanted.get(owner, 0.0)
            out |= {s: w for s, w in piece.present.items() if s not in out
                    and (s.grade <= ILL if s.out else not hurry and w <= light)}
        lines = [core.Line(piece, s, w) for s, w in out.items() if piece.present.get(s) != w]
        return lines + [core.Line(piece, s, 0.0) for s in piece.present if s not in out], out

    def ask_around(self):
        orders = [core.Follow()] if self.now >= self.ask_at else []
        self.ask_at = 1e18 if orders else self.ask_at
        ready = [s for s in self.servers if s.state == "ready"] if self.probes else []
        # A server is asked PROBED times a second whoever asks: by those whose lines name it, owner and spare
        # of each slice, and as often again by the others together. 230 that asked twice a second each filled
        # it.
        users = min(self.instances, 2.0 * self.sharers if self.sliced else self.instances)
        named = {s for p in self.slices if p.held for s in p.wanted}
        for server in ready:
            every = max(PROBE_EVERY, 1000.0 * (users if server in named else self.instances) / PROBED)
            if server.probed_at is None:
                server.probed_at = self.now - every * self.phase.draw()  # or all are asked at one moment
            # One that failed is asked again at once; an answer that never came is not waited for forever.
            soon = max(TICK, every / 2) if server.streak + server.mute else every
            if self.now - server.probed_at > (max(every, 4 * PROBE_EVERY) if server.probing else soon) - 1:
                server.probed_at, server.probing = self.now, True
                orders.append(core.Probe(server))
        return orders
