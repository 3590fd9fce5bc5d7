"""Stand-ins for the product's own table service and its object store."""

import http
import threading

import msgspec

from tools.standins import exchange


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    value: msgspec.Raw


class _NamedRow(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    revision: int
    value: msgspec.Raw


class _Put(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    expected_revision: int
    value: msgspec.Raw


class _Transaction(msgspec.Struct, frozen=True, kw_only=True):
    write_id: str
    puts: tuple[_Put, ...]


class _Committed(msgspec.Struct, frozen=True, kw_only=True):
    revisions: dict[str, int]


class _Conflict(msgspec.Struct, frozen=True, kw_only=True):
    rows: tuple[_NamedRow, ...]


_ABSENT = _Row(revision=0, value=msgspec.Raw(b"null"))


class TableService:
    """Rows with revisions, and transactions over them."""

    __slots__ = ("_lock", "_rows")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[str, _Row] = {}

    def read(self, *, name: str, known_revision: str) -> exchange.Reply:
        """Reads one row; answers 304 if the reader has its revision."""
        row = self._rows.get(name)
        if row is None:
            return exchange.Reply(status=http.HTTPStatus.NOT_FOUND)
        if known_revision == str(row.revision):
            return exchange.Reply(
                status=http.HTTPStatus.NOT_MODIFIED, revision=row.revision
            )
        return exchange.Reply(
            status=http.HTTPStatus.OK,
            body=msgspec.json.encode(row),
            revision=row.revision,
        )

    def commit(self, *, body: bytes) -> exchange.Reply:
        """Applies the puts of a transaction atomically."""
        try:
            transaction = msgspec.json.decode(body, type=_Transaction)
        except msgspec.DecodeError as error:
            return exchange.Reply(
                status=http.HTTPStatus.BAD_REQUEST, body=str(error).encode()
            )
        with self._lock:
            if all(self._is_current(put) for put in transaction.puts):
                return self._apply(transaction)
            return self._refuse(transaction)

    def _is_current(self, put: _Put) -> bool:
        row = self._rows.get(put.name, _ABSENT)
        return row.revision == put.expected_revision

    def _apply(self, transaction: _Transaction) -> exchange.Reply:
        revisions = {}
        for put in transaction.puts:
            revisions[put.name] = put.expected_revision + 1
            self._rows[put.name] = _Row(
                revision=put.expected_revision + 1,
                value=msgspec.Raw(bytes(put.value)),
            )
        return exchange.Reply(
            status=http.HTTPStatus.OK,
            body=msgspec.json.encode(_Committed(revisions=revisions)),
        )

    def _refuse(self, transaction: _Transaction) -> exchange.Reply:
        names = dict.fromkeys(put.name for put in transaction.puts)
        current = {name: self._rows.get(name, _ABSENT) for name in names}
        conflict = _Conflict(
            rows=tuple(
                _NamedRow(name=name, revision=row.revision, value=row.value)
                for name, row in current.items()
            )
        )
        return exchange.Reply(
            status=http.HTTPStatus.CONFLICT, body=msgspec.json.encode(conflict)
        )


class ObjectStore:
    """Immutable objects, stored under the digests that their writers name."""

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def read(self, *, digest: str) -> exchange.Reply:
        """Reads one object."""
        content = self._objects.get(digest)
        if content is None:
            return exchange.Reply(status=http.HTTPStatus.NOT_FOUND)
        return exchange.Reply(status=http.HTTPStatus.OK, body=content)

    def write(self, *, digest: str, body: bytes) -> exchange.Reply:
        """Stores an object, unless one is stored under its digest already."""
        self._objects.setdefault(digest, body)
        return exchange.Reply(status=http.HTTPStatus.NO_CONTENT)
