"""What lies on disk and what is believed of it: damaged files, crashed commits, clocks that were
set, the operator's file."""

import math
from copy import deepcopy

from havendyke.interface import ServerState
from havendyke.lab.disk import ProcessDied, SimulatedDisk, Storage
from havendyke.recovery import changes, codec, records
from havendyke.recovery.directory import StateDirectory
from havendyke.recovery.reconciliation import MAX_TOMBSTONES, ServerReconciler
from havendyke.recovery.state import (
    EvidenceSource,
    PersistedState,
    ServerRecord,
    SliceTable,
    Tombstone,
)
from havendyke.recovery.timestamps import Timestamp
from havendyke.settings import reader, schema

from ..draw import Draw
from ..registry import check, register

LISTED_STATES = (ServerState.READY, ServerState.DRAINING)
EVIDENCE = (EvidenceSource.HEALTH_CHECK, EvidenceSource.LOAD_REPORT, EvidenceSource.SNAPSHOT)
FRAMES = records.encode_header() + b"".join(
    records.encode_frame(k, kind, told)
    for k, (kind, told) in enumerate(
        [
            ("begin", {"generation": 1}),
            ("lists", {"version": 5}),
            ("shut", {"uid": "s1"}),
            ("end", {}),
        ]
    )
)


@register(
    name="records",
    description="files of records, damaged anywhere: only what was written comes out",
    max_size=400,
    covers=("recovery/records", "recovery/codec", "recovery/changes", "recovery/state"),
    dictionary=(records.MAGIC, b"\0\2", b"\0\1", b"[0,", b'"entry"', b"{}]"),
    seeds=lambda: [
        FRAMES,
        FRAMES[:-1],
        FRAMES[:9],
        b"",
        records.encode_header(1) + records.encode_frame(0, "entry", {}, 1),
        records.encode_header() + b"\xff" * 20,
        FRAMES + FRAMES[8:],
        records.encode_header() + records.encode_frame(7, "x", {}),
    ],
)
def read(data):
    try:
        schema_, made, damage = records.read_records(data)
    except records.RecordFileError as error:
        check("\n" not in str(error), "not one line:", str(error))
        return
    # What was accepted is, byte for byte, what would be written.
    again = records.encode_header(schema_)
    for serial, kind, fields in made:
        at = len(again)
        size = int.from_bytes(data[at : at + 4], "big")
        check(
            data[at + 4 : at + 12]
            == records.checksum(data[at : at + 4], data[at + 12 : at + 12 + size], schema_),
            "a checksum",
        )
        again += data[at : at + 12 + size]
    check(
        damage is None and len(again) == len(data) or damage and damage.offset == len(again),
        "read to",
        len(again),
        damage,
    )
    made_of = PersistedState()
    for _, kind, fields in made:
        try:
            codec.decode(kind, fields, schema_).apply(made_of)
        except codec.RecordError:
            pass
    check(changes.snapshot(made_of) is not None, "no state")


def changed(kept: PersistedState, draw):
    """A state with one drawn change."""
    made, uid = deepcopy(kept), f"s{draw.below(4)}"
    kind = draw.below(4)
    if kind == 0:
        made.servers[uid] = ServerRecord(
            state=draw.choice(LISTED_STATES),
            started_ms=float(draw.below(9)),
            list_version=draw.below(9),
        )
    elif kind == 1:
        made.servers.pop(uid, None)
        made.tombstones[uid] = Tombstone(0.0, ServerState.GONE, draw.below(9), None)
    elif kind == 2:
        made.slices[draw.below(3)] = SliceTable({uid: draw.fraction()}, draw.flag())
    else:
        made.ejected.pop(uid, None) if draw.flag() else made.ejected.setdefault(uid)
    return made


@register(
    name="folder",
    description=(
        "commits, new generations, crashes at any call, bits flipped: one of the states that were"
    ),
    covers=(
        "recovery/directory",
        "recovery/generations",
        "recovery/codec",
        "recovery/changes",
    ),
    engine="hypothesis",
    step_size=4,
    max_size=80,
    seeds=lambda: [
        bytes([0, k, 0, 0, 1, k, 9, 0, 2, k, 3, 0, 3, k, 7, 1, 0, 5, 5, 0])
        for k in (0, 7, 40, 90, 255)
    ],
)
def folder(data):
    memory, present = Storage(), PersistedState()
    committed, flipped = [deepcopy(present)], False
    made = StateDirectory(SimulatedDisk(memory), 400)
    made.open()
    for begin in range(0, len(data), 4):
        draw = Draw(data[begin : begin + 4])
        kind, a = draw.below(5), draw.byte()
        wanted = changed(present, draw)
        try:
            if kind < 2:
                difference = changes.difference(present, wanted)
                if difference:
                    made.commit(difference, wanted)
                    present = wanted
                    committed.append(deepcopy(present))
                continue
            if kind == 2:
                # It dies at a call of the commit: this state may have been kept, or not.
                made.disk.die_at_call = made.disk.calls + 1 + a % 9
                committed.append(deepcopy(wanted))
                made.commit(changes.difference(present, wanted), wanted)
                present = wanted
        except ProcessDied:
            pass
        memory.crash(("all", "none", "half")[a % 3])
        if kind == 4 and memory.live:
            name = sorted(memory.live)[a % len(memory.live)]
            if memory.live[name]:
                memory.live[name][a * 7 % len(memory.live[name])] ^= 1 << a % 8
                flipped = True
        made = StateDirectory(SimulatedDisk(memory), 400)
        found = made.open()
        check(found.state in committed, "a state that never was:", found.findings)
        # Without damage nothing that was acknowledged is lost.
        check(
            flipped or found.state in (present, committed[-1]),
            "older than what was acknowledged:",
            found.findings,
        )
        present = found.state
        committed.append(deepcopy(present))
    check(
        sum(n.startswith("damaged") for n in memory.live) <= 5, "more damaged files than are kept"
    )


COLD = 16_000.0


@register(
    name="beliefs",
    description="lists, evidence, restarts and set clocks: drains hold, trust is earned",
    covers=("recovery/trust", "recovery/reconciliation", "recovery/timestamps"),
    engine="hypothesis",
    step_size=4,
    max_size=120,
    seeds=lambda: [bytes([k, a, 40, 3] * 4) for k in range(7) for a in (0, 9)],
)
def beliefs(data):
    wall, boot, since = 1.7e12, 1, 50_000.0
    now = lambda: Timestamp(wall, f"boot-{boot}", since)  # noqa: E731
    kept = PersistedState()
    made, drained, last = ServerReconciler(kept, now(), COLD), {}, 0
    for begin in range(0, len(data), 4):
        draw = Draw(data[begin : begin + 4])
        kind, a, b, c = draw.below(7), draw.byte(), draw.byte(), draw.byte()
        uid = f"s{a % 3}"
        if kind == 0:
            wall, since = wall + b * 1000.0, since + b * 1000.0
        elif kind == 1:
            wall += (b - 128) * 3_600_000.0  # somebody sets the clock
        elif kind == 2:  # a start: of the program, or of the machine
            if c & 1:
                boot, since = boot + 1, 1000.0 + b
                wall += b * b * 1000.0
            made = ServerReconciler(kept, now(), COLD)
            for one in made.assessments:
                check(
                    0.0 <= one.trust <= 1.0 and math.isfinite(one.started_ms),
                    "a trust of",
                    one.trust,
                )
                check(
                    one.state != "ready" or one.uid not in drained,
                    "a drained server is ready:",
                    one,
                )
        elif kind == 3:
            last += 1
            state = ServerState.DRAINING if c & 1 else ServerState.GONE
            made.apply_listed(
                uid,
                ServerRecord(state=state, started_ms=float(b % 3), list_version=last),
                now(),
            )
            drained[uid] = b % 3
        elif kind == 4:
            last += 1
            told = made.apply_listed(
                uid, ServerRecord(started_ms=float(b % 3), list_version=last), now()
            )
            check(told.state == "ready", "the newest list is not believed of", uid)
            drained.pop(uid, None)
        elif kind == 5:
            one = made.apply_evidence(uid, EVIDENCE[b % 3], now())
            check(one is None or uid not in drained, "evidence lifts a drain:", one)
            check(one is None or 0.0 < one.trust < 1.0, "evidence makes a trust of", one)
        else:
            made.apply_unlisted(uid, now())
            if uid in kept.tombstones:
                drained[uid] = 0
        for name, row in kept.servers.items():
            check(row.state in LISTED_STATES, name, "is", row.state)
        check(len(kept.tombstones) <= MAX_TOMBSTONES, "tombstones without bound")
        copy = PersistedState()
        for change in changes.snapshot(kept):
            codec.decode(*codec.encode(change)).apply(copy)
        check(copy == kept, "a snapshot leads elsewhere")


@register(
    name="operator",
    description="the operator's file as text: read, or refused in one line with its place",
    max_size=300,
    covers=("settings/reader", "settings/grammar", "settings/schema", "settings/values"),
    dictionary=(
        b"[state]\n",
        b"folder /x\n",
        b"gather 5ms\n",
        b"include ",
        b"#",
        b'"',
        b"\r\n",
        b"log-most 8MB\n",
        b"yes",
    ),
    seeds=lambda: [
        b"[state]\nfolder /x\n",
        b'[state]\nfolder "/a b"\ngather 20ms # x\nlog-most 64MB\n',
        b"",
        b"include main",
        b"[state]\npending 99\n",
        b"[x]\n",
        b"folder",
        b"[state]\nfolder /x /y\n",
        b"\xff",
        b"[state]\nfolder x\n",
        b"[state]\r\nfolder /x\r\nagain 0.5s",
        b"include include\n",
        b"[state]\nfolder /x\nagain 1d\n",
    ],
)
def operator(data):
    def load(path):
        check(path.startswith("/"), "looked at", path)
        if path != "/etc/main":
            raise reader.OperatorFileError(f"{path}: No such file or directory")
        try:
            return data.decode()
        except UnicodeDecodeError:
            raise reader.OperatorFileError(f"{path}:1:1: not UTF-8") from None

    try:
        file = reader.load_files("/etc/main", load)
        made = {name: reader.resolve(file, name) for name in file.sections}
    except reader.OperatorFileError as error:
        check(
            "\n" not in str(error) and str(error).startswith("/"),
            "not one line with its place:",
            str(error),
        )
        return
    for name, values in made.items():
        for key, value in values.items():
            of = schema.keys_of(name)[key]
            check(
                not of.kind.is_number or of.minimum <= value <= of.maximum,
                key,
                "is",
                value,
            )
