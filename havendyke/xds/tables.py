"""Tables of slices as resources: which resource a change of the controller's orders touches. No
I/O, no wire form.

A server is a cluster of its own with one endpoint; a slice is a virtual host that spreads its
operations over clusters by weight. A line changes one virtual host; a withdrawal changes one
endpoint's health, whatever number of slices name it, as the controller's own orders do. `encode` of
the front turns the plain bodies made here into the wire's."""

import orjson

from .. import interface as core
from .resources import CLUSTER, ENDPOINTS, VIRTUAL_HOSTS, Snapshot, make_resource

SORTED = orjson.OPT_SORT_KEYS


class Tables:
    """The store of one controller's slices, as orders leave it. `addresses(uid)` gives
    host:port."""

    def __init__(self, addresses):
        self.addresses, self.snapshot = addresses, Snapshot()
        self.lines, self.out = {}, set()  # by slice {uid: weight}; servers that are shut out

    def host(self, piece):
        """A slice's virtual host: weights in thousandths, the smallest kept above 0, for a spare is
        a line too."""
        lines = {uid: w for uid, w in self.lines.get(piece, {}).items() if w > 0}
        total = sum(lines.values())
        body = {uid: max(1, round(1000 * w / total)) for uid, w in lines.items()}
        return VIRTUAL_HOSTS, make_resource(
            f"slice/{piece}",
            orjson.dumps(body, option=SORTED),
            [(CLUSTER, uid) for uid in sorted(body)],
        )

    def server(self, uid):
        """A server's cluster and its endpoint; out of the way is told by health, not by taking it
        out of tables."""
        health = "draining" if uid in self.out else "healthy"
        return [
            (CLUSTER, make_resource(uid, b"cluster")),
            (
                ENDPOINTS,
                make_resource(uid, orjson.dumps([self.addresses(uid), health]), [(CLUSTER, uid)]),
            ),
        ]

    def used(self) -> set:
        return {uid for lines in self.lines.values() for uid, w in lines.items() if w > 0}

    def given(self, piece, lines: dict, mark: int) -> Snapshot:
        self.lines[piece] = dict(lines)
        return self.changed({piece}, set(), mark)

    def order(self, orders: list) -> Snapshot:
        """The snapshot that a turn's orders make; its mark is theirs, or the last one's."""
        pieces, servers, mark = set(), set(), self.snapshot.push_nonce
        for o in orders:
            match o:
                case core.SetEndpointWeight():
                    lines = self.lines.setdefault(o.slice.id, {})
                    lines[o.server.id] = o.weight
                    if not o.weight:
                        del lines[o.server.id]
                    pieces.add(o.slice.id)
                case core.ClearTable():
                    self.lines[o.slice.id] = {}
                    pieces.add(o.slice.id)
                case core.SetEjection():
                    (self.out.add if o.ejected else self.out.discard)(o.server.id)
                    servers.add(o.server.id)
                case core.RequestAcknowledgement():
                    mark = o.nonce
        return self.changed(pieces, servers, mark)

    def changed(self, pieces, servers, mark) -> Snapshot:
        """Only what the pieces and servers touch is made anew; clusters that nothing names any more
        are dropped."""
        used, there = self.used(), set(self.snapshot.names(CLUSTER))
        put = [
            item for uid in sorted((used - there) | (servers & used)) for item in self.server(uid)
        ]
        put += [self.host(piece) for piece in sorted(pieces)]
        drop = [(kind, uid) for uid in sorted(there - used) for kind in (ENDPOINTS, CLUSTER)]
        self.snapshot = self.snapshot.with_changes(mark, put, drop)
        return self.snapshot
