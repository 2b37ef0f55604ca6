"""Encodes records as framed bytes with checksums, and decodes them.

A file consists of an 8-byte header (6 bytes of magic, 2 of schema version) and frames. A frame
consists of a 4-byte length and an 8-byte checksum, both big-endian, and the payload, a JSON array
`[serial, kind, fields]`. The checksum (64-bit xxHash, seeded with the schema version) covers length
and payload, and detects truncated or altered frames. Serials increase by one within a file, so that
missing and repeated frames are detected.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson
import xxhash

MAGIC = b"HVDYKE"
SCHEMA_VERSION = 2  # of written files; versions from 1 on can be read
HEADER_BYTES = 8
LENGTH_BYTES = 4
FRAME_HEADER_BYTES = 12  # length and checksum
MAX_PAYLOAD_BYTES = 1 << 20  # a greater length means that the frame is damaged

# Kinds of marker records, which delimit commits; the kinds of changes are in `codec`.
BEGIN = "begin"
END = "end"


class RecordSizeError(ValueError):
    """A record that exceeds `MAX_PAYLOAD_BYTES`."""


class RecordFileError(ValueError):
    """A file with an invalid header or an unsupported schema version."""


class Record(NamedTuple):
    """A record that was read from a file."""

    serial: int
    kind: str
    fields: dict[str, Any]

    @property
    def is_marker(self) -> bool:
        """Whether the record delimits commits and is not a change."""
        return self.kind in (BEGIN, END)


@dataclass(frozen=True, slots=True)
class Damage:
    """Where and why reading stopped before the end of the file."""

    offset: int  # in bytes, from the start of the file
    reason: str


class RecordFile(NamedTuple):
    """The records of a file up to the first damaged one; `damage` is None if there is none."""

    schema: int
    records: list[Record]
    damage: Damage | None


class _FrameError(ValueError):
    """A frame that is truncated, altered or malformed."""


def encode_header(schema: int = SCHEMA_VERSION) -> bytes:
    """Returns the header of a file."""
    return MAGIC + schema.to_bytes(HEADER_BYTES - len(MAGIC), "big")


def read_header(data: bytes) -> int:
    """Returns the schema version of a file; raises `RecordFileError`."""
    if len(data) < HEADER_BYTES or data[: len(MAGIC)] != MAGIC:
        raise RecordFileError("the file does not begin as ours do" if data else "the file is empty")
    schema = int.from_bytes(data[len(MAGIC) : HEADER_BYTES], "big")
    if not 1 <= schema <= SCHEMA_VERSION:
        raise RecordFileError(
            f"the file is of schema {schema}, this program reads 1 to {SCHEMA_VERSION}"
        )
    return schema


def checksum(length: bytes, payload: bytes, schema: int) -> bytes:
    """Computes the checksum of a frame."""
    return xxhash.xxh64_digest(length + payload, seed=schema)


def encode_frame(
    serial: int, kind: str, fields: Mapping[str, Any], schema: int = SCHEMA_VERSION
) -> bytes:
    """Returns the frame of a record; raises `RecordSizeError` if it is too large."""
    payload = orjson.dumps([serial, kind, fields], option=orjson.OPT_NON_STR_KEYS)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordSizeError(f"a record of {len(payload)} bytes")
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    return length + checksum(length, payload, schema) + payload


def read_records(data: bytes) -> RecordFile:
    """Decodes the records of a file; raises `RecordFileError` only for an invalid header.

    Stops at the first damaged frame and reports it as `damage`.
    """
    schema = read_header(data)
    records: list[Record] = []
    offset = HEADER_BYTES
    while offset < len(data):
        try:
            payload = _read_payload(data, offset, schema)
            record = _decode_payload(payload)
            if records and record.serial != records[-1].serial + 1:
                raise _FrameError(f"record {record.serial} follows {records[-1].serial}")
        except _FrameError as error:
            return RecordFile(schema, records, Damage(offset, str(error)))
        records.append(record)
        offset += FRAME_HEADER_BYTES + len(payload)
    return RecordFile(schema, records, None)


def _read_payload(data: bytes, offset: int, schema: int) -> bytes:
    if len(data) - offset < FRAME_HEADER_BYTES:
        raise _FrameError("a record's head is torn")
    length = data[offset : offset + LENGTH_BYTES]
    size = int.from_bytes(length, "big")
    if size > MAX_PAYLOAD_BYTES:
        raise _FrameError(f"a record claims {size} bytes")
    start = offset + FRAME_HEADER_BYTES
    payload = data[start : start + size]
    if len(payload) < size:
        raise _FrameError("a record is torn")
    if checksum(length, payload, schema) != data[offset + LENGTH_BYTES : start]:
        raise _FrameError("a record's checksum differs")
    return payload


def _decode_payload(payload: bytes) -> Record:
    try:
        serial, kind, fields = orjson.loads(payload)
    except (ValueError, TypeError):
        raise _FrameError("a record is no array of three") from None
    if type(serial) is not int or type(kind) is not str or type(fields) is not dict:
        raise _FrameError("a record's parts are of other types")
    return Record(serial, kind, fields)
