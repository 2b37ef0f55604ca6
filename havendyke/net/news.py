"""The relay's news: what stands, then changes, on two connections or more; each change is told once."""
from .. import interface as core
from ..fields import NUMBER, FieldError, flag, take, word
from .lines import Lines, value
from .messages import call


def alike(one: dict, other: dict) -> bool:
    """Whether two tables are the same, but for what a store may round."""
    return one.keys() == other.keys() and all(abs(w - other[k]) <= 1e-4 * abs(w) for k, w in one.items())


class Stream:
    """One connection with news. Proxies and slices are counted in turns: joined or given while odd."""

    name = "news"

    def __init__(self, news, then=None):
        self.news, self.hub, self.then = news, news.hub, then
        self.lines, self.silence, self.settling = None, None, None
        self.sound, self.settled = False, False   # the watch was granted; what stands has been told
        self.proxies, self.slices, self.last = {}, {}, {}
        self.rows = {}                            # tables whose lines are still coming
        self.asked_at = self.hub.now()
        self.connection = self.hub.connect(news.address, self)
        self.listen()

    def opened(self, connection):
        self.lines = Lines(connection.buffer, self.hub.limits.message)
        self.asked_at = self.hub.now()
        connection.write(call(self.news.number(), "relay.watch"))

    def listen(self):
        self.hub.drop(self.silence)
        self.silence = self.hub.after(self.hub.limits.news_silence, lambda: self.connection.close("silent"))

    def received(self, connection):
        while (line := self.lines.next()) is not None:
            if line:
                self.take(value(line))
        self.listen()

    def closed(self, connection, why):
        for deadline in (self.silence, self.settling):
            self.hub.drop(deadline)
        self.news.lost(self, why)

    def take(self, told):
        kind = told.get("method")
        if kind is None:
            if told.get("result") is not True:
                raise FieldError(f"field 'result': {str(told)[:100]}")
            self.sound = True
            self.settle_soon()
            return
        params = told.get("params", {})
        if kind != "ping":
            self.news.hub.count(f"news_{kind.lower()[:12]}")
        if kind == "SUBSCRIBE":
            self.join(self.news.messages.proxy(params), params)
        elif kind == "CLOSED":
            self.part(self.news.messages.proxy(params))
        elif kind == "ACK":
            self.news.answer(self, self.news.messages.proxy(params), take(params, "version", int),
                             take(params, "lag_ms", NUMBER, 0.0))
        elif kind == "GRANT":
            self.grant(self.news.messages.piece(params), flag(params, "yes"))
        elif kind == "ROW":
            table = self.rows.get(self.news.messages.piece(params))
            host, weight = take(params, "host", str), take(params, "share", NUMBER)
            if table is not None:
                table[host] = weight
                self.settle_soon()
        elif kind != "ping":
            raise FieldError(f"field 'method' is unknown: {str(kind)[:40]}")
        if not self.settled and not self.rows:
            self.settle_soon()

    def join(self, proxy, params):
        word(params, "az", self.news.messages.zones)
        take(params, "share", NUMBER, 1.0)
        self.last[proxy] = params
        told, mine = self.news.proxies.get(proxy, 0), self.proxies.get(proxy)
        # At first sight it is the stream that was told, if one was; joined twice in a row, an end was lost.
        mine = told | 1 if mine is None else mine + (2 if mine & 1 else 1)
        self.proxies[proxy] = mine
        self.news.settle_proxy(proxy, self)

    def part(self, proxy):
        mine = self.proxies.get(proxy, self.news.proxies.get(proxy, 0))
        self.proxies[proxy] = mine + (mine & 1)
        self.news.settle_proxy(proxy, self)

    def grant(self, piece, yes):
        told, mine = self.news.slices.get(piece, 0), self.slices.get(piece)
        if yes:
            mine = told | 1 if mine is None else mine + (2 if mine & 1 else 1)
            self.rows[piece] = {}
            self.settle_soon()
        else:
            mine = told if mine is None else mine
            mine += mine & 1
            self.rows.pop(piece, None)
        self.slices[piece] = mine
        if not yes and mine > told:
            self.news.take_away(piece, mine)

    def settle_soon(self):
        # The end of a table's lines is not marked: they are told once nothing of them came for a moment.
        self.hub.drop(self.settling)
        self.settling = self.hub.after(self.hub.limits.news_settle, self.settle)

    def settle(self):
        if not self.sound:
            return
        rows, self.rows = self.rows, {}
        if self.then is not None:
            self.connection.close("done")
            self.then(rows)
            return
        self.news.settle(self, rows)


class News:
    def __init__(self, hub, address, messages, tell, calls_quiet):
        """`tell(event)` takes events; `calls_quiet(since)` says whether no call ran since then."""
        self.hub, self.address, self.messages, self.tell, self.quiet = hub, address, messages, tell, calls_quiet
        self.streams, self.serial = [], 0
        self.proxies, self.slices, self.acks = {}, {}, {}  # as told
        self.store = {}                                    # the given slices' lines, as far as known
        self.gap, self.after_gap = False, lambda: None

    def number(self):
        self.serial += 1
        return self.serial

    def start(self):
        while len(self.streams) < self.hub.limits.news_streams:
            stream = Stream(self)
            if stream.connection is None:
                self.hub.after(self.hub.limits.call_again, self.start)
                return
            self.streams.append(stream)

    def ask(self, then):
        """Calls `then(rows)` with the store's lines as they are now, by slice; `then(None)` if that fails."""
        stream = Stream(self, then)
        if stream.connection is None:
            self.hub.after(self.hub.limits.call_again, lambda: then(None))

    def sound(self):
        return [s for s in self.streams if s.settled]

    def lost(self, stream, why):
        if stream.then is not None:
            if why != "done":
                self.hub.after(self.hub.limits.call_again, lambda: stream.then(None))
            return
        if stream in self.streams:
            self.streams.remove(stream)
        if stream.sound:
            self.hub.log("news_lost", why=why, left=len(self.sound()))
        if stream.settled and not self.sound():
            self.gap = True
        for other in self.sound():
            # What only the lost one had told, or was behind with.
            for proxy in set(self.proxies) | set(other.proxies):
                self.agree(proxy, other)
        # One that told what stands is replaced at once; one that failed before is tried again a little later.
        self.hub.after(0.0 if stream.settled else self.hub.limits.call_again, self.start)

    def settle_proxy(self, proxy, stream):
        """Tells what this stream knows of a proxy beyond what was told."""
        told, mine = self.proxies.get(proxy, 0), stream.proxies[proxy]
        if mine <= told:
            return
        self.proxies[proxy] = mine
        if told & 1:
            self.tell(core.Parted(self.messages.door.proxy(proxy)))
        if mine & 1:
            params = stream.last[proxy]
            self.tell(core.Joined(self.messages.door.proxy(proxy), self.messages.zones[params["az"]],
                                  take(params, "share", NUMBER, 1.0),
                                  flag(params, "standing", False)))

    def agree(self, proxy, stream):
        """Makes what was told of a proxy what this stream says, where the two differ."""
        told, mine = self.proxies.get(proxy, 0), stream.proxies.get(proxy, 0)
        stream.proxies[proxy] = told + ((told ^ mine) & 1)
        self.settle_proxy(proxy, stream)

    def settle(self, stream, rows):
        first = not stream.settled
        alone = first and not self.sound()
        stream.settled = True
        if alone and self.gap:
            # Streams may have broken and come again unseen, and answers were lost: nothing of before holds.
            for proxy, count in list(self.proxies.items()):
                if count & 1:
                    self.proxies[proxy] = count + 1
                    self.tell(core.Parted(self.messages.door.proxy(proxy)))
            for piece, count in list(self.slices.items()):
                if count & 1 and piece not in rows:
                    self.take_away(piece, count + 1)
        if alone:
            for proxy in set(self.proxies) | set(stream.proxies):
                self.agree(proxy, stream)
        for piece, lines in rows.items():
            told, mine = self.slices.get(piece, 0), stream.slices[piece]
            # A second look at what stands renews what is known of it only where no call of ours was under way.
            if mine > told or first and self.quiet(stream.asked_at) and not alike(lines, self.store.get(piece, {})):
                if mine <= told:
                    self.hub.count("rows_differ")
                    self.hub.log("rows_differ", slice=piece, store=lines, known=self.store.get(piece))
                self.give(piece, max(mine, told), lines)
        if first:
            self.hub.log("news", streams=len(self.sound()), proxies=sum(c & 1 for c in stream.proxies.values()),
                         slices=len(rows))
        if alone and self.gap:
            self.gap = False

    def give(self, piece, count, lines):
        self.slices[piece], self.store[piece] = count, dict(lines)
        made = self.messages.door.slice(piece)
        self.tell(core.Custody(made, True))
        for host, weight in lines.items():
            self.tell(core.Stored(made, self.messages.door.server(host), weight))

    def take_away(self, piece, count):
        self.slices[piece] = count
        self.store.pop(piece, None)
        self.tell(core.Custody(self.messages.door.slice(piece), False))

    def answer(self, stream, proxy, version, lag):
        # The same answer on another connection is no news.
        if self.acks.get(proxy) != (self.proxies.get(proxy), version):
            self.acks[proxy] = (self.proxies.get(proxy), version)
            self.tell(core.Answered(self.messages.door.proxy(proxy), version, lag))
