"""Records that upstreams and callers write during a run."""

from collections.abc import Iterable
import pathlib
from typing import TypeVar

import msgspec

_Record = TypeVar("_Record")


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One execution of a request at an upstream stand-in.

    Times are on the machine's monotonic clock, which all processes share.
    """

    server: str
    incarnation: str
    request_id: str
    idempotency_key: str
    key: str
    shard: int
    fence: int
    method: str
    start_ns: int
    end_ns: int
    is_committed: bool


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """One send of a request, as observed by its caller.

    `fault` is empty for a correct answer or a refusal; otherwise it describes
    what was wrong. `status` is 0 if there was no answer.
    """

    node: str
    pool: str
    method: str
    key: str
    shard: int
    idempotency_key: str
    request_id: str
    attempt: int
    intended_ns: int
    sent_ns: int
    end_ns: int
    status: int
    verdict: str
    refusal: str
    server: str
    fault: str
    body_bytes: int

    @property
    def is_correct(self) -> bool:
        """Whether the caller got the correct answer."""
        return self.status == 200 and not self.fault and not self.refusal


def read_records(
    paths: Iterable[pathlib.Path], kind: type[_Record]
) -> list[_Record]:
    """Reads files of JSON lines.

    An incomplete last line, whose writer was killed, is skipped.

    Args:
        paths: The files; missing ones are skipped.
        kind: The type of each line.

    Returns:
        The records of all files, in the order of the files.
    """
    decoder = msgspec.json.Decoder(kind)
    records: list[_Record] = []
    for path in paths:
        if path.exists():
            whole, _, _ = path.read_bytes().rpartition(b"\n")
            records.extend(decoder.decode_lines(whole))
    return records


def write_records(path: pathlib.Path, records: Iterable[object]) -> None:
    """Writes records as JSON lines."""
    path.write_bytes(msgspec.json.Encoder().encode_lines(list(records)))
