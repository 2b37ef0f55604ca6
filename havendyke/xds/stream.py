"""One stream of a forwarder, delta form: what it holds, what is under way, what it refused. No I/O,
no clock.

The caller hands in what the forwarder says (`ask`) and each new snapshot (`offer`); both give the
responses to send, in order. `told` gathers what the controller's account needs: answered marks and
refusals.

Per type there is at most one response under way; what changes meanwhile is gathered behind it.
Additions go out in the order of references and wait until what they refer to is acknowledged;
removals wait until nothing that was acknowledged refers to them. What was refused is not sent again
until its content changes, and holds nobody else back: the forwarder's account keeps its last
accepted version.

States of a type: idle, under way (`sent` is a Sent). An answer with a nonce that is not the one
under way is stale and changes nothing but what it subscribes to."""

from dataclasses import dataclass, field

from .resources import DEPENDENCY_ORDER, Snapshot

WILDCARD = "*"


class InvalidRequestError(ValueError):
    """The forwarder said what the protocol has no meaning for; its stream ends with this text."""


@dataclass(frozen=True, slots=True)
class DeltaRequest:
    """A delta request: what it subscribes to and leaves, what it held when the stream began (by
    name, versions), and its answer to a response (`nonce`), refused where `error` says why."""

    resource_type: str
    subscribe: tuple = ()
    unsubscribe: tuple = ()
    initial_versions: dict | None = None
    nonce: str = ""
    error: str | None = None


@dataclass(frozen=True, slots=True)
class DeltaResponse:
    resource_type: str
    nonce: str
    resources: tuple  # Resources
    removed: tuple  # names
    push_nonce: int


@dataclass(frozen=True, slots=True)
class SnapshotAcknowledged:
    """The forwarder holds all of a mark's resources that it asked for, but those it refused."""

    push_nonce: int


@dataclass(frozen=True, slots=True)
class ResourcesRejected:
    resource_type: str
    names: tuple
    error: str


@dataclass(slots=True)
class Sent:
    nonce: str
    resources: dict  # Resource by name
    removed: tuple
    size: int


@dataclass(slots=True)
class Kind:
    """One type on one stream. `held` is what was acknowledged, by name the version; `needs` what
    that refers to."""

    wildcard: bool = False
    names: set = field(default_factory=set)  # subscribed by name
    held: dict = field(default_factory=dict)
    references: dict = field(default_factory=dict)
    refused: dict = field(default_factory=dict)  # by name the version that was refused
    suspect: dict = field(
        default_factory=dict
    )  # those refused together with others: each is tried alone
    absent: set = field(default_factory=set)  # names that were told not to be there
    asked: bool = False  # it has spoken of this type at all
    sent: Sent | None = None


class DeltaStream:
    """`most` bytes of a response's resources; a larger difference goes in several, one after the
    other is answered."""

    def __init__(self, snapshot: Snapshot, max_response_bytes: int = 1 << 20):
        self.snapshot, self.max_response_bytes, self.serial = snapshot, max_response_bytes, 0
        self.kinds, self.events, self.answered = {kind: Kind() for kind in DEPENDENCY_ORDER}, [], 0
        self.begun = False  # all types that it will ask for at once have been asked for
        self.counts = {"responses": 0, "acks": 0, "nacks": 0, "stale": 0}

    # What comes in

    def handle_request(self, ask: DeltaRequest) -> list:
        if ask.resource_type not in self.kinds:
            raise InvalidRequestError(f"type '{ask.resource_type[:60]}' is not served")
        kind = self.kinds[ask.resource_type]
        if ask.nonce:
            self.answer(ask, kind)
        elif ask.error is not None:
            raise InvalidRequestError("an error without a nonce")
        if ask.initial_versions is not None:
            if kind.asked:
                raise InvalidRequestError("versions held are for the first request of a type")
            kind.held = dict(ask.initial_versions)
            # What a version of before refers to only that one could tell; of the present one it is
            # known.
            for name, version in ask.initial_versions.items():
                one = self.snapshot.get(ask.resource_type, name)
                if one is not None and one.version == version:
                    kind.references[name] = one.references
        first, kind.asked = not kind.asked, True
        if first and not ask.subscribe and not ask.nonce:
            kind.wildcard = True  # of old, a first request that names nothing asks for all
        for name in ask.subscribe:
            if name == WILDCARD:
                kind.wildcard = True
            else:
                kind.names.add(name)
                kind.absent.discard(name)
                # Asked for by name it is told, also where nothing of it changed.
                if name in kind.held and not first:
                    del kind.held[name]
        for name in ask.unsubscribe:
            if name == WILDCARD:
                kind.wildcard = False
            kind.names.discard(name)
            kind.absent.discard(name)
        self.forget(kind)
        return self.flow()

    def answer(self, ask, kind):
        if kind.sent is None or ask.nonce != kind.sent.nonce:
            self.counts["stale"] += 1
            return
        sent, kind.sent = kind.sent, None
        if ask.error is not None:
            self.counts["nacks"] += 1
            if sent.removed:
                # A removal is no content to refuse: it has been told, and is not taken for holding
                # it any longer.
                self.dropped(kind, sent.removed)
            versions = {name: one.version for name, one in sent.resources.items()}
            if len(versions) > 1:
                # Which of them it cannot use it does not say; the good ones must not be held back.
                kind.suspect |= versions
                return
            kind.refused |= versions
            self.events.append(
                ResourcesRejected(
                    ask.resource_type,
                    tuple(sorted(sent.resources) or sent.removed),
                    ask.error[:300],
                )
            )
            return
        self.counts["acks"] += 1
        for name, one in sent.resources.items():
            kind.held[name], kind.references[name] = one.version, one.references
            kind.refused.pop(name, None)
            kind.suspect.pop(name, None)
        self.dropped(kind, sent.removed)

    @staticmethod
    def dropped(kind, names):
        for name in names:
            kind.held.pop(name, None)
            kind.references.pop(name, None)
            kind.refused.pop(name, None)
            kind.suspect.pop(name, None)

    @staticmethod
    def forget(kind):
        """What it no longer asks for it need not be told of."""
        if not kind.wildcard:
            for name in [n for n in kind.held if n not in kind.names]:
                kind.held.pop(name)
                kind.references.pop(name, None)
            for told in (kind.refused, kind.suspect):
                for name in [n for n in told if n not in kind.names]:
                    del told[name]

    def update_snapshot(self, snapshot: Snapshot) -> list:
        self.snapshot = snapshot
        return self.flow()

    def begin(self) -> list:
        """For the caller, a moment after the stream began: types that it has not asked for by now
        it does not hold."""
        self.begun = True
        return self.flow()

    # What goes out

    def flow(self) -> list:
        """The one place where the difference between wanted and held becomes responses."""
        made = []
        for kind in DEPENDENCY_ORDER:
            if response := self.additions(kind):
                made.append(response)
        for kind in reversed(DEPENDENCY_ORDER):
            if response := self.removals(kind):
                made.append(response)
        if (
            not made
            and all(k.sent is None for k in self.kinds.values())
            and self.snapshot.push_nonce != self.answered
            and any(k.asked for k in self.kinds.values())
        ):
            self.answered = self.snapshot.push_nonce
            self.events.append(SnapshotAcknowledged(self.answered))
        return made

    def wanted(self, kind: Kind, name: str):
        """The names it asks for that are there."""
        there = self.snapshot.by_type[name]
        return there.keys() if kind.wildcard else [n for n in sorted(kind.names) if n in there]

    def additions(self, name) -> DeltaResponse | None:
        kind = self.kinds[name]
        if not kind.asked or kind.sent is not None:
            return None
        put, size, alone = {}, 0, None
        for n in self.wanted(kind, name):
            one = self.snapshot.get(name, n)
            if (
                kind.held.get(n) == one.version
                or kind.refused.get(n) == one.version
                or not self.ready(one)
            ):
                continue
            if kind.suspect.get(n) == one.version:
                alone = alone or one
                continue
            if put and size + len(one.body) > self.max_response_bytes:
                break
            put[n], size = one, size + len(one.body)
        if not put and alone is not None:
            put, size = {alone.name: alone}, len(alone.body)
        absent = tuple(
            n
            for n in sorted(kind.names)
            if n not in self.snapshot.by_type[name] and n not in kind.absent and n not in kind.held
        )
        kind.absent.update(absent)
        return self.send(name, put, absent, size) if put or absent else None

    def ready(self, one) -> bool:
        """Whether the forwarder holds what this refers to, as far as it asks for that type at all.
        What is being removed it holds no longer, though that was not answered yet."""
        return all(
            not self.kinds[k].asked
            or n in self.kinds[k].held
            and not (self.kinds[k].sent and n in self.kinds[k].sent.removed)
            for k, n in one.references
        )

    def removals(self, name) -> DeltaResponse | None:
        kind = self.kinds[name]
        if not kind.asked or kind.sent is not None:
            return None
        later = [self.kinds[k] for k in DEPENDENCY_ORDER[DEPENDENCY_ORDER.index(name) + 1 :]]
        # After a return it may hold what refers to anything, told or not yet: that is renewed or
        # removed first.
        if (
            any(n not in k.references for k in later for n in k.held)
            or not self.begun
            and not all(k.asked for k in later)
        ):
            return None
        used = {
            need for k in self.kinds.values() for needs in k.references.values() for need in needs
        }
        used |= {
            need
            for k in self.kinds.values()
            if k.sent
            for one in k.sent.resources.values()
            for need in one.references
        }
        drop = tuple(
            n
            for n in sorted(kind.held)
            if n not in self.snapshot.by_type[name] and (name, n) not in used
        )
        return self.send(name, {}, drop, 0) if drop else None

    def send(self, name, put, drop, size) -> DeltaResponse:
        self.serial += 1
        self.counts["responses"] += 1
        self.kinds[name].sent = Sent(f"{self.serial:x}", put, drop, size)
        return DeltaResponse(
            name, f"{self.serial:x}", tuple(put.values()), drop, self.snapshot.push_nonce
        )

    def unacknowledged_bytes(self) -> int:
        """Bytes that wait for an answer: what a reader that stalls costs."""
        return sum(k.sent.size for k in self.kinds.values() if k.sent)
