"""Maps changes to stored records and back; defines all record kinds and field keys.

A stored record is a kind and its fields. `encode` writes the current schema; `decode` also reads
earlier ones. Timestamps are stored as `[wall_ms, boot_id, uptime_ms]`.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Any, TypeAlias

from ..interface import ServerState
from .changes import (
    Change,
    EjectServer,
    RemoveEstimate,
    RemoveServer,
    RemoveSlice,
    RemoveTombstone,
    SetEstimate,
    SetLastAlive,
    SetListVersion,
    SetPush,
    SetServer,
    SetSlice,
    SetTombstone,
    UnejectServer,
)
from .records import SCHEMA_VERSION
from .state import (
    Estimate,
    EvidenceSource,
    PersistedState,
    PushProgress,
    ServerRecord,
    SliceTable,
    Tombstone,
)
from .timestamps import Timestamp

Fields: TypeAlias = Mapping[str, Any]
StoredRecord: TypeAlias = tuple[str, dict[str, Any]]

TOMBSTONE_KIND = "tomb"
# Bounds of stored numbers, in the unit of their field; a record that exceeds one is rejected.
MAX_NUMBER = 1e18
MAX_CELL = 1e9
MAX_WEIGHT = 1e9
MAX_SLICE_NUMBER = 65_535
MAX_ACKNOWLEDGEMENTS = 1e9
MAX_ERROR_LENGTH = 120  # characters
SERVER_STATES = frozenset(state.value for state in ServerState)
TOMBSTONE_STATES = SERVER_STATES - {ServerState.READY.value}
SOURCES = frozenset(source.value for source in EvidenceSource)


class RecordError(ValueError):
    """A record with an unknown kind or an invalid field; the text names it."""


def decode(kind: str, fields: Fields, schema: int = SCHEMA_VERSION) -> Change:
    """Returns the change that a stored record describes.

    Raises `RecordError`, also for an unknown kind: skipping the record would yield a wrong state.
    """
    if schema == 1:
        fields = _from_schema_1(kind, fields)
    decoder = _DECODERS.get(kind) if isinstance(kind, str) else None
    if decoder is None:
        raise RecordError(f"a change of the kind {kind!r}"[:MAX_ERROR_LENGTH])
    return decoder(fields)


def apply_record(
    state: PersistedState, kind: str, fields: Fields, schema: int = SCHEMA_VERSION
) -> None:
    """Applies a stored record to a state; raises `RecordError`.

    A tombstone that cannot be decoded still removes the previous tombstone of its server.
    """
    try:
        change = decode(kind, fields, schema)
    except RecordError:
        if kind == TOMBSTONE_KIND and isinstance(uid := fields.get("uid"), str):
            state.tombstones.pop(uid, None)
        raise
    change.apply(state)


def encode(change: Change) -> StoredRecord:
    """Returns the stored record of a change."""
    return _ENCODERS[type(change)](change)


def _from_schema_1(kind: str, fields: Fields) -> Fields:
    """Converts schema 1, which has confirmations in Unix seconds and without their source."""
    if kind != "entry":
        return fields
    confirmed_s: Any = fields.get("confirmed")
    timestamp = [confirmed_s * 1000.0, "", 0.0] if type(confirmed_s) in (int, float) else None
    return {**fields, "confirmed": timestamp, "by": fields.get("by", EvidenceSource.DISK.value)}


# Fields


def _number(
    fields: Fields,
    name: str,
    minimum: float = 0.0,
    maximum: float = MAX_NUMBER,
    kinds: tuple[type, ...] = (int, float),
) -> Any:
    value: Any = fields.get(name)
    if type(value) not in kinds or not minimum <= value <= maximum:
        raise _field_error(name, value)
    return value


def _integer(fields: Fields, name: str, minimum: float = 0, maximum: float = MAX_NUMBER) -> int:
    number: int = _number(fields, name, minimum, maximum, (int,))
    return number


def _string(fields: Fields, name: str, allowed: Collection[str] = ()) -> str:
    value = fields.get(name)
    if type(value) is not str or (allowed and value not in allowed):
        raise _field_error(name, value)
    return value


def _field_error(name: str, value: object) -> RecordError:
    return RecordError(f"'{name}' is {value!r}"[:MAX_ERROR_LENGTH])


def _timestamp(stored: Any) -> Timestamp | None:
    if stored is None:
        return None
    if (
        type(stored) is not list
        or len(stored) != 3
        or type(stored[1]) is not str
        or not all(type(stored[index]) in (int, float) for index in (0, 2))
    ):
        raise RecordError(f"a stamp is {stored!r}"[:MAX_ERROR_LENGTH])
    return Timestamp(float(stored[0]), stored[1], float(stored[2]))


def _stored_timestamp(timestamp: Timestamp | None) -> list[float | str] | None:
    if timestamp is None:
        return None
    return [timestamp.wall_ms, timestamp.boot_id, timestamp.uptime_ms]


# Decoding


def _decode_server(fields: Fields) -> SetServer:
    record = ServerRecord(
        endpoint=_string(fields, "endpoint"),
        zone=_string(fields, "zone"),
        machine_kind=_string(fields, "model"),
        cell=_integer(fields, "cell", -MAX_CELL, MAX_CELL),
        state=ServerState(_string(fields, "state", SERVER_STATES)),
        size=_number(fields, "size"),
        started_ms=_number(fields, "boot"),
        list_version=_integer(fields, "lists", -1),
        confirmed_at=_timestamp(fields.get("confirmed")),
        source=EvidenceSource(_string(fields, "by", SOURCES)),
        assumed_start_ms=_number(fields, "assumed"),
    )
    return SetServer(_string(fields, "uid"), record)


def _decode_tombstone(fields: Fields) -> SetTombstone:
    return SetTombstone(
        _string(fields, "uid"),
        Tombstone(
            started_ms=_number(fields, "boot"),
            state=ServerState(_string(fields, "state", TOMBSTONE_STATES)),
            list_version=_integer(fields, "lists", -1),
            recorded_at=_timestamp(fields.get("at")),
        ),
    )


def _decode_weights(fields: Fields) -> dict[str, float]:
    weights = fields.get("lines")
    if type(weights) is not dict or not all(
        type(weight) in (int, float) and 0 <= weight <= MAX_WEIGHT for weight in weights.values()
    ):
        raise _field_error("lines", weights)
    return weights


def _decode_slice(fields: Fields) -> SetSlice:
    table = SliceTable(_decode_weights(fields), bool(fields.get("held")))
    return SetSlice(_integer(fields, "number", 0, MAX_SLICE_NUMBER), table)


def _decode_push(fields: Fields) -> SetPush:
    return SetPush(
        PushProgress(
            nonce=_integer(fields, "last"),
            acknowledgements=_integer(fields, "answered", 0, MAX_ACKNOWLEDGEMENTS),
        )
    )


def _decode_estimate(fields: Fields) -> SetEstimate:
    estimate = Estimate(_number(fields, "figure"), _timestamp(fields.get("at")))
    return SetEstimate(_string(fields, "what"), estimate)


_DECODERS: dict[str, Callable[[Fields], Change]] = {
    "lists": lambda fields: SetListVersion(_integer(fields, "version", -1)),
    "alive": lambda fields: SetLastAlive(_timestamp(fields.get("at"))),
    "entry": _decode_server,
    "drop": lambda fields: RemoveServer(_string(fields, "uid")),
    TOMBSTONE_KIND: _decode_tombstone,
    "lift": lambda fields: RemoveTombstone(_string(fields, "uid")),
    "shut": lambda fields: EjectServer(_string(fields, "uid")),
    "open": lambda fields: UnejectServer(_string(fields, "uid")),
    "slice": _decode_slice,
    "unslice": lambda fields: RemoveSlice(_integer(fields, "number", 0, MAX_SLICE_NUMBER)),
    "marks": _decode_push,
    "learned": _decode_estimate,
    "forget": lambda fields: RemoveEstimate(_string(fields, "what")),
}


# Encoding


def _encode_server(change: SetServer) -> StoredRecord:
    record = change.record
    return "entry", {
        "uid": change.uid,
        "endpoint": record.endpoint,
        "zone": record.zone,
        "model": record.machine_kind,
        "cell": record.cell,
        "state": record.state.value,
        "size": record.size,
        "boot": record.started_ms,
        "lists": record.list_version,
        "by": record.source.value,
        "assumed": record.assumed_start_ms,
        "confirmed": _stored_timestamp(record.confirmed_at),
    }


def _encode_tombstone(change: SetTombstone) -> StoredRecord:
    tombstone = change.tombstone
    return TOMBSTONE_KIND, {
        "uid": change.uid,
        "boot": tombstone.started_ms,
        "state": tombstone.state.value,
        "lists": tombstone.list_version,
        "at": _stored_timestamp(tombstone.recorded_at),
    }


def _encode_slice(change: SetSlice) -> StoredRecord:
    table = change.table
    return "slice", {"number": change.number, "lines": table.weights, "held": table.assigned}


def _encode_push(change: SetPush) -> StoredRecord:
    push = change.push
    return "marks", {"last": push.nonce, "answered": push.acknowledgements}


def _encode_estimate(change: SetEstimate) -> StoredRecord:
    estimate = change.estimate
    return "learned", {
        "what": change.name,
        "figure": estimate.value,
        "at": _stored_timestamp(estimate.observed_at),
    }


_ENCODERS: dict[type, Callable[[Any], StoredRecord]] = {
    SetListVersion: lambda change: ("lists", {"version": change.version}),
    SetLastAlive: lambda change: ("alive", {"at": _stored_timestamp(change.at)}),
    SetServer: _encode_server,
    RemoveServer: lambda change: ("drop", {"uid": change.uid}),
    SetTombstone: _encode_tombstone,
    RemoveTombstone: lambda change: ("lift", {"uid": change.uid}),
    EjectServer: lambda change: ("shut", {"uid": change.uid}),
    UnejectServer: lambda change: ("open", {"uid": change.uid}),
    SetSlice: _encode_slice,
    RemoveSlice: lambda change: ("unslice", {"number": change.number}),
    SetPush: _encode_push,
    SetEstimate: _encode_estimate,
    RemoveEstimate: lambda change: ("forget", {"what": change.name}),
}
