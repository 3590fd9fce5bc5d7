"""The record of an event in the time line and in the logs."""

from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from rhubarblead import decoding

Value: TypeAlias = str | int | float | bool | None | Sequence[str | int]


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """An event and its position in the order of events.

    `lamport`, a hybrid logical clock, orders events of different processes;
    `sequence` orders those of one process. `wall_ms` and `monotonic_ms` are
    informational only, because clocks differ between instances.
    """

    number: int
    name: str
    level: str
    instance: str
    incarnation: str
    sequence: int
    lamport: int
    wall_ms: int
    monotonic_ms: int
    fields: dict[str, Value] = msgspec.field(default_factory=dict)


_ENCODER = msgspec.json.Encoder()
_LIST_DECODER = msgspec.json.Decoder(list[Record])
_DECODER = msgspec.json.Decoder(Record)


def encode_records(records: list[Record]) -> bytes:
    """Encodes records as a JSON array."""
    return _ENCODER.encode(records)


def decode_records(text: bytes) -> list[Record]:
    """Decodes a JSON array of records.

    Raises:
        msgspec.DecodeError: The text is not an array of records.
    """
    return decoding.decode_typed(_LIST_DECODER, text)


def decode_line(line: bytes | str) -> Record:
    """Decodes one log line.

    Raises:
        msgspec.DecodeError: The line is not a record.
    """
    return decoding.decode_typed(_DECODER, line)
