"""Persisted state and its recovery: damaged files, crashes during commits, changes of the clock,
and the operator's file."""

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
EVIDENCE_SOURCES = (
    EvidenceSource.HEALTH_CHECK,
    EvidenceSource.LOAD_REPORT,
    EvidenceSource.SNAPSHOT,
)
RECORD_FILE = records.encode_header() + b"".join(
    records.encode_frame(k, kind, fields)
    for k, (kind, fields) in enumerate(
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
    description="record files damaged anywhere: only records that were written are read",
    max_size=400,
    covers=("recovery/records", "recovery/codec", "recovery/changes", "recovery/state"),
    dictionary=(records.MAGIC, b"\0\2", b"\0\1", b"[0,", b'"entry"', b"{}]"),
    seeds=lambda: [
        RECORD_FILE,
        RECORD_FILE[:-1],
        RECORD_FILE[:9],
        b"",
        records.encode_header(1) + records.encode_frame(0, "entry", {}, 1),
        records.encode_header() + b"\xff" * 20,
        RECORD_FILE + RECORD_FILE[8:],
        records.encode_header() + records.encode_frame(7, "x", {}),
    ],
)
def record_files(data):
    try:
        schema_, file_records, damage = records.read_records(data)
    except records.RecordFileError as error:
        check("\n" not in str(error), "not one line:", str(error))
        return
    # The accepted records would be written with the same bytes.
    encoded = records.encode_header(schema_)
    for serial, kind, fields in file_records:
        offset = len(encoded)
        size = int.from_bytes(data[offset : offset + 4], "big")
        check(
            data[offset + 4 : offset + 12]
            == records.checksum(
                data[offset : offset + 4], data[offset + 12 : offset + 12 + size], schema_
            ),
            "a checksum",
        )
        encoded += data[offset : offset + 12 + size]
    check(
        damage is None and len(encoded) == len(data) or damage and damage.offset == len(encoded),
        "read to",
        len(encoded),
        damage,
    )
    state = PersistedState()
    for _, kind, fields in file_records:
        try:
            codec.decode(kind, fields, schema_).apply(state)
        except codec.RecordError:
            pass
    check(changes.snapshot(state) is not None, "no state")


def change_state(state: PersistedState, draw):
    """A state with one drawn change."""
    changed_state, uid = deepcopy(state), f"s{draw.below(4)}"
    kind = draw.below(4)
    if kind == 0:
        changed_state.servers[uid] = ServerRecord(
            state=draw.choice(LISTED_STATES),
            started_ms=float(draw.below(9)),
            list_version=draw.below(9),
        )
    elif kind == 1:
        changed_state.servers.pop(uid, None)
        changed_state.tombstones[uid] = Tombstone(0.0, ServerState.GONE, draw.below(9), None)
    elif kind == 2:
        changed_state.slices[draw.below(3)] = SliceTable({uid: draw.fraction()}, draw.flag())
    else:
        changed_state.ejected.pop(uid, None) if draw.flag() else changed_state.ejected.setdefault(
            uid
        )
    return changed_state


@register(
    name="folder",
    description=(
        "commits, new generations, crashes at any call, flipped bits: recovers a committed state"
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
def state_directories(data):
    storage, current_state = Storage(), PersistedState()
    committed, flipped = [deepcopy(current_state)], False
    directory = StateDirectory(SimulatedDisk(storage), 400)
    directory.open()
    for begin in range(0, len(data), 4):
        draw = Draw(data[begin : begin + 4])
        kind, a = draw.below(5), draw.byte()
        target_state = change_state(current_state, draw)
        try:
            if kind < 2:
                difference = changes.difference(current_state, target_state)
                if difference:
                    directory.commit(difference, target_state)
                    current_state = target_state
                    committed.append(deepcopy(current_state))
                continue
            if kind == 2:
                # The process dies during the commit: either state may be the recovered one.
                directory.disk.die_at_call = directory.disk.calls + 1 + a % 9
                committed.append(deepcopy(target_state))
                directory.commit(changes.difference(current_state, target_state), target_state)
                current_state = target_state
        except ProcessDied:
            pass
        storage.crash(("all", "none", "half")[a % 3])
        if kind == 4 and storage.live:
            name = sorted(storage.live)[a % len(storage.live)]
            if storage.live[name]:
                storage.live[name][a * 7 % len(storage.live[name])] ^= 1 << a % 8
                flipped = True
        directory = StateDirectory(SimulatedDisk(storage), 400)
        opened = directory.open()
        check(
            opened.state in committed,
            "recovered a state that was never committed:",
            opened.findings,
        )
        # Without damage no acknowledged commit is lost.
        check(
            flipped or opened.state in (current_state, committed[-1]),
            "recovered a state older than the acknowledged one:",
            opened.findings,
        )
        current_state = opened.state
        committed.append(deepcopy(current_state))
    check(
        sum(n.startswith("damaged") for n in storage.live) <= 5, "too many damaged files are kept"
    )


WARM_UP_MS = 16_000.0


@register(
    name="beliefs",
    description="lists, evidence, restarts and clock changes: drains persist, trust needs evidence",
    covers=("recovery/trust", "recovery/reconciliation", "recovery/timestamps"),
    engine="hypothesis",
    step_size=4,
    max_size=120,
    seeds=lambda: [bytes([k, a, 40, 3] * 4) for k in range(7) for a in (0, 9)],
)
def server_beliefs(data):
    wall_ms, boot_number, uptime_ms = 1.7e12, 1, 50_000.0
    now = lambda: Timestamp(wall_ms, f"boot-{boot_number}", uptime_ms)  # noqa: E731
    persisted = PersistedState()
    reconciler, drained, list_version = ServerReconciler(persisted, now(), WARM_UP_MS), {}, 0
    for begin in range(0, len(data), 4):
        draw = Draw(data[begin : begin + 4])
        kind, a, b, c = draw.below(7), draw.byte(), draw.byte(), draw.byte()
        uid = f"s{a % 3}"
        if kind == 0:
            wall_ms, uptime_ms = wall_ms + b * 1000.0, uptime_ms + b * 1000.0
        elif kind == 1:
            wall_ms += (b - 128) * 3_600_000.0  # the wall clock is set
        elif kind == 2:  # a restart of the process, or of the machine
            if c & 1:
                boot_number, uptime_ms = boot_number + 1, 1000.0 + b
                wall_ms += b * b * 1000.0
            reconciler = ServerReconciler(persisted, now(), WARM_UP_MS)
            for assessment in reconciler.assessments:
                check(
                    0.0 <= assessment.trust <= 1.0 and math.isfinite(assessment.started_ms),
                    "trust of",
                    assessment.trust,
                )
                check(
                    assessment.state != "ready" or assessment.uid not in drained,
                    "a drained server is ready:",
                    assessment,
                )
        elif kind == 3:
            list_version += 1
            state = ServerState.DRAINING if c & 1 else ServerState.GONE
            reconciler.apply_listed(
                uid,
                ServerRecord(state=state, started_ms=float(b % 3), list_version=list_version),
                now(),
            )
            drained[uid] = b % 3
        elif kind == 4:
            list_version += 1
            listed = reconciler.apply_listed(
                uid, ServerRecord(started_ms=float(b % 3), list_version=list_version), now()
            )
            check(listed.state == "ready", "the newest list is not applied to", uid)
            drained.pop(uid, None)
        elif kind == 5:
            assessment = reconciler.apply_evidence(uid, EVIDENCE_SOURCES[b % 3], now())
            check(assessment is None or uid not in drained, "evidence cancels a drain:", assessment)
            check(
                assessment is None or 0.0 < assessment.trust < 1.0,
                "evidence leads to a trust of",
                assessment,
            )
        else:
            reconciler.apply_unlisted(uid, now())
            if uid in persisted.tombstones:
                drained[uid] = 0
        for name, record in persisted.servers.items():
            check(record.state in LISTED_STATES, name, "is", record.state)
        check(len(persisted.tombstones) <= MAX_TOMBSTONES, "too many tombstones")
        copy = PersistedState()
        for change in changes.snapshot(persisted):
            codec.decode(*codec.encode(change)).apply(copy)
        check(copy == persisted, "a snapshot decodes to another state")


@register(
    name="operator",
    description="the operator's file: accepted, or rejected in one line with its position",
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
def operator_files(data):
    def load(path):
        check(path.startswith("/"), "a relative path is loaded:", path)
        if path != "/etc/main":
            raise reader.OperatorFileError(f"{path}: No such file or directory")
        try:
            return data.decode()
        except UnicodeDecodeError:
            raise reader.OperatorFileError(f"{path}:1:1: not UTF-8") from None

    try:
        file = reader.load_files("/etc/main", load)
        sections = {name: reader.resolve(file, name) for name in file.sections}
    except reader.OperatorFileError as error:
        check(
            "\n" not in str(error) and str(error).startswith("/"),
            "not one line with its position:",
            str(error),
        )
        return
    for name, values in sections.items():
        for key, value in values.items():
            setting = schema.keys_of(name)[key]
            check(
                not setting.kind.is_number or setting.minimum <= value <= setting.maximum,
                key,
                "is",
                value,
            )
