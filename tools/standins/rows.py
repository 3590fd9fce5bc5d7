"""Rows of the platform's store, as specified by the platform, kept in memory.

Times are passed in. Tables, parts and keys are strings. A single counter
numbers the transactions, and each row has the number of its last change.
"""

import base64
import binascii
from collections.abc import Iterator
import dataclasses
import http
from typing import Any
from typing import TypeAlias

import msgspec

MAX_NAME_BYTES = 200
MAX_ENTRIES = 100
MAX_REPLY_ROWS = 500
"""Limits of one call, from the platform's specification."""

READ_ONLY_TABLES = frozenset({"op", "servers"})

_Name: TypeAlias = tuple[str, str, str]


class _Entry(msgspec.Struct, rename="camel"):
    table: str
    key: str
    part: str = ""
    value: str = ""
    revision_number: int = 0


class _Transaction(msgspec.Struct):
    expect: list[_Entry] = msgspec.field(default_factory=list)
    put: list[_Entry] = msgspec.field(default_factory=list)
    remove: list[_Entry] = msgspec.field(default_factory=list)
    across: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A reply of the store; `body` is sent as JSON."""

    status: http.HTTPStatus
    body: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Row:
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Change:
    name: _Name
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """The rows at one time."""

    rows: dict[_Name, _Row]
    revision: int


class RowStore:
    """All rows, and the history of changes since it was last dropped."""

    __slots__ = (
        "_changes",
        "_dropped_revision",
        "_revision",
        "_row_bytes",
        "_rows",
    )

    def __init__(self, *, row_bytes: int) -> None:
        """Makes an empty store.

        Args:
            row_bytes: The size limit of a value, in bytes.
        """
        self._row_bytes = row_bytes
        self._rows: dict[_Name, _Row] = {}
        self._changes: list[_Change] = []
        self._revision = 1
        self._dropped_revision = 0

    @property
    def revision(self) -> int:
        """The number of the newest transaction."""
        return self._revision

    def copy(self) -> "Copy":
        """Takes a copy of the rows."""
        return Copy(rows=dict(self._rows), revision=self._revision)

    def restore(self, copy: "Copy") -> dict[str, bytes]:
        """Replaces the rows by a copy; revisions since are given out again.

        Returns:
            The lost values of read-only tables' rows, which their writers
            write again, by table and key.
        """
        lost = {
            f"{name[0]}/{name[2]}": row.value
            for name, row in self._rows.items()
            if name[0] in READ_ONLY_TABLES and copy.rows.get(name) != row
        }
        self._rows = dict(copy.rows)
        self._revision = copy.revision
        self._changes = [
            change
            for change in self._changes
            if change.revision <= copy.revision
        ]
        return lost

    def write_operator(self, table: str, key: str, value: bytes) -> None:
        """Writes a row of a table that only the operator may write."""
        self._revision += 1
        self._apply((table, "", key), value)

    def transact(self, content: bytes, now_ms: int) -> Reply:
        """Applies a transaction atomically.

        Args:
            content: The body of the call.
            now_ms: The time on the store's clock.
        """
        try:
            transaction = msgspec.json.decode(content, type=_Transaction)
            puts = [(entry, _decode(entry.value)) for entry in transaction.put]
        except (msgspec.MsgspecError, binascii.Error) as error:
            return _refuse(http.HTTPStatus.BAD_REQUEST, str(error))
        refusal = self._find_refusal(transaction, [value for _, value in puts])
        if refusal is not None:
            return refusal
        if not all(self._is_expected(entry) for entry in transaction.expect):
            rows = [
                self._describe(_make_name(entry))
                for entry in transaction.expect
            ]
            return Reply(
                status=http.HTTPStatus.PRECONDITION_FAILED,
                body=self._make_body(rows, now_ms),
            )
        self._revision += 1
        for entry, value in puts:
            self._apply(_make_name(entry), value)
        for entry in transaction.remove:
            self._apply(_make_name(entry), None)
        return Reply(
            status=http.HTTPStatus.OK, body=self._make_body([], now_ms)
        )

    def read(self, query: dict[str, str], now_ms: int) -> Reply:
        """Reads rows of one part of a table, in the order of their keys.

        Args:
            query: The query parameters of the call.
            now_ms: The time on the store's clock.
        """
        if "table" not in query:
            return _refuse(http.HTTPStatus.BAD_REQUEST, "no table is named")
        first = query.get("from", "").encode()
        end = query["to"].encode() if "to" in query else None
        limit = min(int(query.get("limit", MAX_REPLY_ROWS)), MAX_REPLY_ROWS)
        names = [
            name
            for name in self._list_names(query["table"], query.get("part", ""))
            if name[2].encode() >= first
            and (end is None or name[2].encode() < end)
        ]
        rows = [self._describe(name) for name in names[:limit]]
        return Reply(
            status=http.HTTPStatus.OK,
            body={
                **self._make_body(rows, now_ms),
                "hasMore": len(names) > limit,
            },
        )

    def list_parts(self, query: dict[str, str], now_ms: int) -> Reply:
        """Lists the parts of a table."""
        table = query.get("table", "")
        after = query.get("after", "")
        parts = sorted(
            {p for t, p, _ in self._rows if t == table and p > after}
        )
        return Reply(
            status=http.HTTPStatus.OK,
            body={**self._make_body([], now_ms), "parts": parts[:1_000]},
        )

    def read_changes(self, query: dict[str, str], now_ms: int) -> Reply | None:
        """Reads the changes of a table since a revision.

        Returns:
            The changes, a refusal (410) if they were dropped from the history,
            or None if there are none yet.
        """
        after = int(query.get("after", "0"))
        if not self._dropped_revision <= after <= self._revision:
            return _refuse(http.HTTPStatus.GONE, "history is forgotten")
        rows = [
            _describe_change(change)
            for change in self._changes
            if change.revision > after and change.name[0] == query.get("table")
        ]
        if not rows:
            return None
        return Reply(
            status=http.HTTPStatus.OK, body=self._make_body(rows, now_ms)
        )

    def make_empty_reply(self, now_ms: int) -> Reply:
        """Makes the reply to a wait during which nothing has changed."""
        return Reply(
            status=http.HTTPStatus.OK, body=self._make_body([], now_ms)
        )

    def drop_history(self) -> None:
        """Drops the history of changes; the rows stay."""
        self._dropped_revision = self._revision
        self._changes.clear()

    def _find_refusal(
        self, transaction: _Transaction, values: list[bytes]
    ) -> Reply | None:
        """Refuses a transaction that violates the platform's specification."""
        changed = [*transaction.put, *transaction.remove]
        entries = [*transaction.expect, *changed]
        if len(entries) > MAX_ENTRIES:
            return _refuse(http.HTTPStatus.BAD_REQUEST, "too many entries")
        if any(not _has_valid_name(entry) for entry in entries):
            return _refuse(http.HTTPStatus.BAD_REQUEST, "name too long")
        if any(len(value) > self._row_bytes for value in values):
            return _refuse(http.HTTPStatus.BAD_REQUEST, "value too long")
        if any(entry.table in READ_ONLY_TABLES for entry in changed):
            return _refuse(http.HTTPStatus.FORBIDDEN, "the operator's table")
        if (
            len({entry.part for entry in entries}) > 1
            and not transaction.across
        ):
            return _refuse(http.HTTPStatus.BAD_REQUEST, "several parts")
        return None

    def _is_expected(self, entry: _Entry) -> bool:
        row = self._rows.get(_make_name(entry))
        return (row.revision if row else 0) == entry.revision_number

    def _apply(self, name: _Name, value: bytes | None) -> None:
        if value is None:
            if self._rows.pop(name, None) is None:
                return
        else:
            self._rows[name] = _Row(value=value, revision=self._revision)
        self._changes.append(
            _Change(name=name, revision=self._revision, value=value)
        )

    def _list_names(self, table: str, part: str) -> Iterator[_Name]:
        found = [name for name in self._rows if name[:2] == (table, part)]
        yield from sorted(found, key=lambda name: name[2].encode())

    def _describe(self, name: _Name) -> dict[str, Any]:
        row = self._rows.get(name)
        return _describe_change(
            _Change(
                name=name,
                revision=row.revision if row else 0,
                value=row.value if row else None,
            )
        )

    def _make_body(
        self, rows: list[dict[str, Any]], now_ms: int
    ) -> dict[str, Any]:
        return {
            "rows": rows,
            "revisionNumber": self._revision,
            "nowMs": now_ms,
        }


def _make_name(entry: _Entry) -> _Name:
    return (entry.table, entry.part, entry.key)


def _has_valid_name(entry: _Entry) -> bool:
    return all(
        len(text.encode()) <= MAX_NAME_BYTES
        for text in (entry.table, entry.part, entry.key)
    )


def _decode(value: str) -> bytes:
    return base64.b64decode(value, validate=True)


def _refuse(status: http.HTTPStatus, reason: str) -> Reply:
    return Reply(status=status, body={"error": reason})


def _describe_change(change: _Change) -> dict[str, Any]:
    table, part, key = change.name
    described = {
        "table": table,
        "part": part,
        "key": key,
        "revisionNumber": change.revision,
    }
    if change.value is None:
        return {**described, "removed": True}
    return {
        **described,
        "value": base64.b64encode(change.value).decode("ascii"),
    }
