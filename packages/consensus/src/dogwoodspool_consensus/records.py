"""Framing of records in files: length, checksum and one line of JSON."""

import json
import zlib
from dataclasses import dataclass
from typing import Any, Final

from .errors import StorageCorruptError

HEADER_LENGTH: Final = len("00000000 00000000 ")
LINE_END: Final = b"\n"


@dataclass(frozen=True, slots=True)
class ScannedRecords:
    """The valid records of a file and their end offsets.

    Attributes:
        ends: offset right after each record.
        is_torn: whether the last record is followed by bytes that are not a record.
    """

    records: tuple[dict[str, Any], ...]
    ends: tuple[int, ...]
    is_torn: bool


def encode_record(content: dict[str, Any]) -> bytes:
    """Encode one record.

    Encoded JSON contains no raw newline, so a newline always ends a record and a
    scan finds the next record after a damaged one.
    """
    text = json.dumps(content, separators=(",", ":")).encode()
    return b"%08x %08x %s\n" % (len(text), zlib.crc32(text), text)


def decode_record(line: bytes) -> dict[str, Any] | None:
    """Return the record in a line without its newline; None if it is damaged."""
    text = line[HEADER_LENGTH:]
    if line[:HEADER_LENGTH] != b"%08x %08x " % (len(text), zlib.crc32(text)):
        return None
    content = json.loads(text)
    return content if isinstance(content, dict) else None


def scan_records(content: bytes) -> ScannedRecords:
    """Decode the records in a file's content.

    A crash during an append leaves a damaged tail that was never synced and hence
    never acknowledged: it is reported as torn. A damaged record before a valid one is
    no such tail: entries that this node has acknowledged are lost, and it must not
    vote with a log without them.

    Raises:
        StorageCorruptError: a damaged record precedes a valid one.
    """
    records: list[dict[str, Any]] = []
    ends: list[int] = []
    offset, damaged_at = 0, None
    while offset < len(content):
        end = content.find(LINE_END, offset)
        line = content[offset : end if end >= 0 else len(content)]
        record = decode_record(line) if end >= 0 else None
        next_offset = end + 1 if end >= 0 else len(content)
        if record is None:
            damaged_at = offset if damaged_at is None else damaged_at
        elif damaged_at is not None:
            raise StorageCorruptError(f"damaged record at byte {damaged_at}")
        else:
            records.append(record)
            ends.append(next_offset)
        offset = next_offset
    return ScannedRecords(tuple(records), tuple(ends), damaged_at is not None)
