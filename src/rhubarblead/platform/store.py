"""Encodes calls to the platform's store, and decodes its responses."""

import base64
from collections.abc import Iterable
import dataclasses
from typing import Annotated
from typing import TypeAlias
import urllib.parse

import msgspec

from rhubarblead import decoding
from rhubarblead.keyspace import revisions

_MAX_ERA_DIGITS = 6
"""The era rises by one when the store is restored."""

ERA_FIELD = b"store-era"
"""Response field that counts how often the store came back from a copy."""

TABLE = "rhubarblead"
"""The table that holds all rows of this system."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One HTTP call to the store."""

    method: str
    target: str
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row; `is_removed` is set only in a change feed."""

    table: str
    key: str
    value: bytes
    revision: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expected:
    """The revision that a row must have; 0 means that it must be absent."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A new value for a row of this system."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The transaction took effect; `now_ms` is the store's monotonic clock."""

    revision: int
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """The transaction had no effect, because a row has another revision.

    `now_ms` is the store's monotonic clock, 0 if it is unknown.
    """

    rows: tuple[Row, ...]
    now_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotDone:
    """The store rejected the call, which has no effect now or later."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InDoubt:
    """The outcome is unknown: the call may have taken effect, or may later."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """Rows as of one point in time, or the changes since a revision."""

    rows: tuple[Row, ...]
    revision: int
    now_ms: int
    has_more: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryGone:
    """The store no longer has the requested changes."""


WriteOutcome: TypeAlias = Applied | Conflict | NotDone | InDoubt
ReadOutcome: TypeAlias = Rows | HistoryGone | NotDone | InDoubt


class CannotDecode(Exception):
    """A response has no valid era."""


_Number = Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_NUMBER)]
_Time = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Row(msgspec.Struct, rename="camel"):
    table: str
    key: str
    value: str = ""
    revision_number: _Number = 0
    removed: bool = False


class _Response(msgspec.Struct, rename="camel"):
    rows: list[_Row] = msgspec.field(default_factory=list)
    has_more: bool = False
    revision_number: _Number = 0
    now_ms: _Time = 0


def encode_transaction(
    *,
    expected: tuple[Expected, ...],
    puts: tuple[Put, ...],
    removed_keys: tuple[str, ...] = (),
) -> Call:
    """Encodes an atomic change of rows of this system."""
    body = {
        "expect": [
            {
                **_make_row_id(row.key),
                "revisionNumber": revisions.find_number(row.revision),
            }
            for row in expected
        ],
        "put": [
            {
                **_make_row_id(put.key),
                "value": base64.b64encode(put.value).decode("ascii"),
            }
            for put in puts
        ],
        "remove": [_make_row_id(key) for key in removed_keys],
    }
    return Call(
        method="POST", target="/rows-tx", body=msgspec.json.encode(body)
    )


def encode_read(table: str, first_key: str = "", end_key: str = "") -> Call:
    """Encodes a read of the rows of a table, ordered by key.

    Args:
        table: The table.
        first_key: The lowest key; empty for all keys from the first one.
        end_key: The key before which the read ends; empty for all others.
    """
    query = {"table": table, "part": ""}
    if first_key:
        query["from"] = first_key
    if end_key:
        query["to"] = end_key
    return Call(
        method="GET", target=f"/rows-get?{urllib.parse.urlencode(query)}"
    )


def encode_feed(table: str, after_revision: int, wait_ms: int) -> Call:
    """Encodes a long poll for changes of a table."""
    query = {
        "table": table,
        "after": revisions.find_number(after_revision),
        "waitMs": wait_ms,
    }
    return Call(
        method="GET", target=f"/rows-feed?{urllib.parse.urlencode(query)}"
    )


def read_era(fields: Iterable[tuple[bytes, bytes]]) -> int:
    """Reads the era of the store from a response; 0 if it has none.

    Raises:
        CannotDecode: The era isn't a number.
    """
    value = dict(fields).get(ERA_FIELD, b"0").strip()
    if not value.isdigit() or len(value) > _MAX_ERA_DIGITS:
        raise CannotDecode(f"the store's era is {value[:40]!r}")
    return int(value)


def encode_era(era: int) -> list[tuple[bytes, bytes]]:
    """Encodes the fields of a response that was relayed by another node."""
    return [(ERA_FIELD, b"%d" % era)] if era else []


def decode_write(status: int, body: bytes, era: int = 0) -> WriteOutcome:
    """Decodes the response to a transaction."""
    if status in (429, 503):
        return NotDone(reason=f"status {status}")
    if status not in (200, 412):
        return InDoubt(reason=f"status {status}")
    try:
        response = decoding.decode_json(body, _Response)
        if status == 200:
            return Applied(
                revision=revisions.make_revision(era, response.revision_number),
                now_ms=response.now_ms,
            )
        return Conflict(
            rows=_decode_rows(response.rows, era), now_ms=response.now_ms
        )
    except (msgspec.MsgspecError, ValueError) as error:
        return InDoubt(reason=f"malformed answer: {error}")


def decode_read(status: int, body: bytes, era: int = 0) -> ReadOutcome:
    """Decodes the response to a read or to a long poll for changes."""
    if status == 410:
        return HistoryGone()
    if status != 200:
        return NotDone(reason=f"status {status}")
    try:
        response = decoding.decode_json(body, _Response)
        return Rows(
            rows=_decode_rows(response.rows, era),
            revision=revisions.make_revision(era, response.revision_number),
            now_ms=response.now_ms,
            has_more=response.has_more,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        return NotDone(reason=f"malformed answer: {error}")


def _make_row_id(key: str) -> dict[str, str]:
    return {"table": TABLE, "part": "", "key": key}


def _decode_rows(rows: list[_Row], era: int) -> tuple[Row, ...]:
    return tuple(
        Row(
            table=row.table,
            key=row.key,
            value=base64.b64decode(row.value),
            revision=revisions.make_revision(era, row.revision_number)
            if row.revision_number
            else 0,
            is_removed=row.removed,
        )
        for row in rows
    )
