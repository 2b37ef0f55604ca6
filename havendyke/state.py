"""What a controller keeps of servers, slices and proxies, and how it counts. No rule and no tuned value here."""


class Tally:
    """A histogram of a few coarse bins that forgets by halving."""

    def __init__(self, bins):
        self.bins = [0.0] * bins

    def add(self, at, count):
        self.bins[max(0, min(len(self.bins) - 1, int(at)))] += count

    def halve(self):
        self.bins = [b / 2 if b > 0.1 else 0.0 for b in self.bins]

    def middle(self):
        left = sum(self.bins) / 2
        for at, count in enumerate(self.bins):
            if count >= left and count:
                return at + left / count
            left -= count
        return None


def middle_of(values, default):
    return sorted(values)[len(values) // 2] if values else default


class Chance:
    """A linear congruential generator; its low bits repeat too soon to be used."""

    def __init__(self, seed):
        self.now = seed % (1 << 64)

    def draw(self):
        self.now = (self.now * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.now >> 33) / (1 << 31)


class Push:
    def __init__(self, serial, each, waits):
        self.serial, self.each, self.waits = serial, each, waits  # lines a proxy; proxies that have not answered


class Server:
    def __init__(self, ident, bins):
        self.id = ident
        self.state, self.started = None, None      # state None: in a line of the store, in no list yet
        self.zone, self.size, self.grade, self.heat, self.hot = 0, 1.0, 0, 1.0, 0
        self.latency, self.outcomes, self.held = Tally(bins), Tally(2), Tally(bins)
        self.streak, self.mute, self.probing, self.returning = 0, 0, False, False
        # Shut out at the proxies; ever so; whether some proxies may not know which holds now.
        self.out, self.shut_once, self.doubt, self.owned = False, False, False, []
        self.ill_till, self.rest = None, 0.0
        self.load = self.capacity = self.sure = self.warmth = 0.0
        self.probed_at = self.got_at = self.gave_at = -1e9


class Slice:
    def __init__(self, ident, classes):
        self.id = ident
        self.held, self.zone = False, None         # zone: a bound table for classes kept in their zone
        self.present, self.wanted = {}, {}
        self.heat = Tally(classes)
        self.demand, self.moved_at, self.push, self.freed_at = None, -1e9, None, None

    def owner(self):
        return max(self.wanted, key=self.wanted.get) if self.wanted else None


class Proxy:
    def __init__(self, ident):
        self.id = ident
        self.joined, self.rate, self.zone, self.answered, self.bound = False, 1.0, 0, 0, False
