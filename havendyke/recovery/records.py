"""Records as bytes: a file header, and frames whose checksum shows torn or altered bytes.

A file is a header of 8 bytes (6 of magic, 2 of schema) and frames. A frame is 4 bytes of length, 8
of checksum, both big-endian, and the payload: a JSON array `[serial, kind, fields]`. The checksum
(xxHash, 64 bits, seeded with the schema) covers length and payload. Serials rise by one within a
file, so that a missing or repeated frame is found.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson
import xxhash

MAGIC = b"HVDYKE"
SCHEMA = 2  # what is written; files from schema 1 on are read
HEADER_BYTES = 8
LENGTH_BYTES = 4
FRAME_HEADER_BYTES = 12  # length and checksum
MAX_PAYLOAD_BYTES = 1 << 20  # a frame that states more has a damaged length

# Kinds of the records that enclose a file's changes; the other kinds are in `codec`.
BEGIN = "begin"
END = "end"


class RecordSizeError(ValueError):
    """A record that is too large to be stored."""


class RecordFileError(ValueError):
    """A file with a foreign header, or of a schema that this program does not read."""


class Record(NamedTuple):
    """A record as read from a file."""

    serial: int
    kind: str
    fields: dict[str, Any]

    @property
    def is_marker(self) -> bool:
        """Whether it encloses changes and is none itself."""
        return self.kind in (BEGIN, END)


@dataclass(frozen=True, slots=True)
class Damage:
    """Where reading ended before the file did, and why."""

    offset: int  # bytes from the file's start
    reason: str


class RecordFile(NamedTuple):
    """A file's records up to the first that is damaged; `damage` is None where none is."""

    schema: int
    records: list[Record]
    damage: Damage | None


class _FrameError(ValueError):
    """A frame that cannot be read."""


def encode_header(schema: int = SCHEMA) -> bytes:
    """The first bytes of a file."""
    return MAGIC + schema.to_bytes(HEADER_BYTES - len(MAGIC), "big")


def read_header(data: bytes) -> int:
    """The schema of a file; raises `RecordFileError`."""
    if len(data) < HEADER_BYTES or data[: len(MAGIC)] != MAGIC:
        raise RecordFileError("the file does not begin as ours do" if data else "the file is empty")
    schema = int.from_bytes(data[len(MAGIC) : HEADER_BYTES], "big")
    if not 1 <= schema <= SCHEMA:
        raise RecordFileError(f"the file is of schema {schema}, this program reads 1 to {SCHEMA}")
    return schema


def checksum(length: bytes, payload: bytes, schema: int) -> bytes:
    """The checksum of a frame."""
    return xxhash.xxh64_digest(length + payload, seed=schema)


def encode_frame(serial: int, kind: str, fields: Mapping[str, Any], schema: int = SCHEMA) -> bytes:
    """The bytes of a record; raises `RecordSizeError` for one over `MAX_PAYLOAD_BYTES`."""
    payload = orjson.dumps([serial, kind, fields], option=orjson.OPT_NON_STR_KEYS)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordSizeError(f"a record of {len(payload)} bytes")
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    return length + checksum(length, payload, schema) + payload


def read_records(data: bytes) -> RecordFile:
    """The records of a file's bytes; raises `RecordFileError` for the header only.

    A frame that cannot be read ends the reading and is returned as `damage`.
    """
    schema = read_header(data)
    records: list[Record] = []
    offset = HEADER_BYTES
    while offset < len(data):
        try:
            payload = _read_payload(data, offset, schema)
            record = _parse(payload)
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


def _parse(payload: bytes) -> Record:
    try:
        serial, kind, fields = orjson.loads(payload)
    except (ValueError, TypeError):
        raise _FrameError("a record is no array of three") from None
    if type(serial) is not int or type(kind) is not str or type(fields) is not dict:
        raise _FrameError("a record's parts are of other types")
    return Record(serial, kind, fields)
