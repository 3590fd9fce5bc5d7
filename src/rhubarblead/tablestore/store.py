"""Client of the platform's table service and object store."""

from collections.abc import Mapping
import dataclasses
import hashlib
import http
from typing import TypeAlias

import msgspec
import result

from rhubarblead import decoding
from rhubarblead import settings
from rhubarblead.tablestore import link

_ABSENT_VALUE = b"null"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row; `value` is its JSON text. An absent row has revision 0."""

    name: str
    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotModified:
    """The row still has the revision that the reader has."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A new value (JSON text) for a row that has the expected revision."""

    name: str
    expected_revision: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Puts that are applied atomically."""

    write_id: str
    puts: tuple[Put, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """The transaction took effect; `revisions` has each row's new revision."""

    revisions: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """The call failed; if it was a transaction, it has no effect."""

    explanation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InDoubt:
    """The transaction was sent; it may have taken effect or may still do so."""

    explanation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A row has an unexpected revision; `rows` are the current rows."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TooBusy:
    """The service rejected the call because its budget is used up."""

    explanation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Corrupt:
    """Stored data is missing or differs from what was written."""

    explanation: str


StoreError: TypeAlias = Unavailable | InDoubt | Conflict | TooBusy | Corrupt


def describe_error(error: StoreError) -> str:
    """Describes an error in one line for logs and operators."""
    match error:
        case Conflict(rows=rows):
            found = ", ".join(f"{row.name} at {row.revision}" for row in rows)
            return f"conflict: {found}"
        case Unavailable(explanation=explanation):
            return f"unavailable: {explanation}"
        case InDoubt(explanation=explanation):
            return f"in doubt: {explanation}"
        case TooBusy(explanation=explanation):
            return f"too busy: {explanation}"
        case Corrupt(explanation=explanation):
            return f"corrupt: {explanation}"


class _RowReply(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    value: msgspec.Raw


class _NamedRow(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    revision: int
    value: msgspec.Raw


class _ConflictReply(msgspec.Struct, frozen=True, kw_only=True):
    rows: tuple[_NamedRow, ...]


class _CommitReply(msgspec.Struct, frozen=True, kw_only=True):
    revisions: dict[str, int]


class _PutBody(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    expected_revision: int
    value: msgspec.Raw


class _TransactionBody(msgspec.Struct, frozen=True, kw_only=True):
    write_id: str
    puts: tuple[_PutBody, ...]


class Store:
    """Client of both services; safe to use from any thread.

    Each call ends within the configured timeout. Reads and object calls use
    one connection per thread, which is closed after any error; each commit
    uses a new connection.
    """

    __slots__ = ("_objects", "_rows")

    def __init__(self, *, platform: settings.Platform, instance: str) -> None:
        """Initializes the client, which connects on the first call.

        Args:
            platform: The addresses of the services and the call timeout.
            instance: The name of the instance, sent with each call.
        """
        self._rows = link.Link(
            address=platform.table_service,
            timeout_ms=platform.timeout_ms,
            instance=instance,
        )
        self._objects = link.Link(
            address=platform.object_store,
            timeout_ms=platform.timeout_ms,
            instance=instance,
        )

    def __enter__(self) -> "Store":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes the connections of all threads."""
        self._rows.close()
        self._objects.close()

    def read_row(
        self, *, name: str, known_revision: int | None = None
    ) -> result.Result[Row | NotModified, StoreError]:
        """Reads one row.

        Args:
            name: The row's name.
            known_revision: The revision that the reader has, or None.

        Returns:
            The row, or `NotModified` if it still has the known revision; or an
            error.
        """
        headers = {}
        if known_revision is not None:
            headers["If-None-Match"] = f'"{known_revision}"'
        request = link.Request(
            method="GET", path=f"/rows/{name}", headers=headers
        )
        reply = _map_to_unavailable(self._rows.call(request))
        if isinstance(reply, result.Err):
            return reply
        match reply.ok_value.status:
            case http.HTTPStatus.NOT_MODIFIED:
                return result.Ok(NotModified())
            case http.HTTPStatus.NOT_FOUND:
                return result.Ok(
                    Row(name=name, revision=0, value=_ABSENT_VALUE)
                )
            case http.HTTPStatus.OK:
                return _decode_row(name, reply.ok_value)
        return result.Err(_make_status_error(reply.ok_value))

    def commit(
        self, *, transaction: Transaction
    ) -> result.Result[Committed, StoreError]:
        """Commits a transaction.

        Args:
            transaction: The puts, with their expected revisions.

        Returns:
            The new revisions; or `Unavailable`, `TooBusy` or `Conflict` if the
            transaction definitely has no effect, and `InDoubt` otherwise.
        """
        request = link.Request(
            method="POST",
            path="/transactions",
            body=_encode_transaction(transaction),
        )
        reply = _map_commit_failure(self._rows.call_on_new_connection(request))
        if isinstance(reply, result.Err):
            return reply
        return _decode_commit(reply.ok_value)

    def put_object(self, *, content: bytes) -> result.Result[str, StoreError]:
        """Stores an object; the call is idempotent.

        Args:
            content: The bytes.

        Returns:
            The digest by which the object can be read, or an error.
        """
        digest = compute_digest(content)
        request = link.Request(
            method="PUT", path=f"/objects/{digest}", body=content
        )
        reply = _map_to_unavailable(self._objects.call(request))
        if isinstance(reply, result.Err):
            return reply
        if not reply.ok_value.is_success:
            return result.Err(_make_status_error(reply.ok_value))
        return result.Ok(digest)

    def read_object(self, *, digest: str) -> result.Result[bytes, StoreError]:
        """Reads an object and verifies its digest.

        Args:
            digest: The digest that `put_object` returned.

        Returns:
            The bytes, or an error; `Corrupt` if they are missing or don't match
            the digest.
        """
        request = link.Request(method="GET", path=f"/objects/{digest}")
        reply = _map_to_unavailable(self._objects.call(request))
        if isinstance(reply, result.Err):
            return reply
        if reply.ok_value.status == http.HTTPStatus.NOT_FOUND:
            return result.Err(
                Corrupt(explanation=f"object {digest} is missing")
            )
        if reply.ok_value.status != http.HTTPStatus.OK:
            return result.Err(_make_status_error(reply.ok_value))
        if compute_digest(reply.ok_value.body) != digest:
            return result.Err(
                Corrupt(
                    explanation=f"object {digest} does not match its digest"
                )
            )
        return result.Ok(reply.ok_value.body)


def compute_digest(content: bytes) -> str:
    """Computes the SHA-256 digest that identifies an object, in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def _map_to_unavailable(
    reply: result.Result[link.Reply, link.Failure],
) -> result.Result[link.Reply, StoreError]:
    # An idempotent call can be repeated, so its outcome is never in doubt.
    return reply.map_err(
        lambda failure: Unavailable(explanation=failure.explanation)
    )


def _map_commit_failure(
    reply: result.Result[link.Reply, link.Failure],
) -> result.Result[link.Reply, StoreError]:
    return reply.map_err(_classify_failure)


def _classify_failure(failure: link.Failure) -> StoreError:
    if failure.is_sent:
        return InDoubt(explanation=failure.explanation)
    return Unavailable(explanation=failure.explanation)


def _make_status_error(reply: link.Reply) -> StoreError:
    if reply.is_rate_limited:
        return TooBusy(explanation="the budget of the service is used up")
    return Unavailable(explanation=f"answered {reply.status}")


def _decode_row(
    name: str, reply: link.Reply
) -> result.Result[Row | NotModified, StoreError]:
    try:
        row = decoding.decode_json(reply.body, _RowReply)
    except msgspec.DecodeError as error:
        return result.Err(Unavailable(explanation=f"malformed answer: {error}"))
    return result.Ok(
        Row(name=name, revision=row.revision, value=bytes(row.value))
    )


def _decode_commit(reply: link.Reply) -> result.Result[Committed, StoreError]:
    try:
        if reply.status == http.HTTPStatus.OK:
            committed = decoding.decode_json(reply.body, _CommitReply)
            return result.Ok(Committed(revisions=committed.revisions))
        if reply.status == http.HTTPStatus.CONFLICT:
            return result.Err(_decode_conflict(reply))
    except msgspec.DecodeError as error:
        return result.Err(InDoubt(explanation=f"malformed answer: {error}"))
    if reply.is_client_error:
        return result.Err(_make_status_error(reply))
    return result.Err(InDoubt(explanation=f"answered {reply.status}"))


def _decode_conflict(reply: link.Reply) -> Conflict:
    conflict = decoding.decode_json(reply.body, _ConflictReply)
    return Conflict(
        rows=tuple(
            Row(name=row.name, revision=row.revision, value=bytes(row.value))
            for row in conflict.rows
        )
    )


def _encode_transaction(transaction: Transaction) -> bytes:
    return msgspec.json.encode(
        _TransactionBody(
            write_id=transaction.write_id,
            puts=tuple(
                _PutBody(
                    name=put.name,
                    expected_revision=put.expected_revision,
                    value=msgspec.Raw(put.value),
                )
                for put in transaction.puts
            ),
        )
    )
