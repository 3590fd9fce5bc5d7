"""One event as it stands in the time line and in the logs."""

from collections.abc import Sequence
from typing import TypeAlias

import msgspec

Value: TypeAlias = str | int | float | bool | None | Sequence[str | int]


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """An event with its place in the order of events.

    `lamport`, a hybrid logical clock, orders events of different processes,
    `sequence` those of one process. `wall_ms` and `monotonic_ms` are for people
    only: clocks differ between instances.
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
    """Encodes records as a JSON list."""
    return _ENCODER.encode(records)


def decode_records(text: bytes) -> list[Record]:
    """Decodes a JSON list of records.

    Raises:
        msgspec.DecodeError: The text is not such a list.
    """
    return _LIST_DECODER.decode(text)


def decode_line(line: bytes | str) -> Record:
    """Decodes one line of a log.

    Raises:
        msgspec.DecodeError: The line holds no record.
    """
    return _DECODER.decode(line)
