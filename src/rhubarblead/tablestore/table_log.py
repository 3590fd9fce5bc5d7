"""The operators' tables in the table service, with their history.

The row holds the tables in force and the description of their version. Earlier
descriptions are objects, each of which has the digest of its predecessor.
"""

from collections.abc import Callable
import dataclasses

import msgspec
import pydantic
import result

from rhubarblead import clock
from rhubarblead import decoding
from rhubarblead import tables
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_changes
from rhubarblead.tablestore import table_versions

ROW_NAME = "tables"
_RESOLVE_ATTEMPTS = 3


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    version: table_versions.Version
    tables: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Write:
    write_id: str
    expected_revision: int
    author: str
    comment: str
    tables: tables.Tables

    @property
    def revision(self) -> int:
        return self.expected_revision + 1


class TableLog:
    """Reads and changes the tables; safe to use from any thread."""

    __slots__ = ("_read_wall_ms", "_store")

    def __init__(
        self,
        *,
        store: store.Store,
        read_wall_ms: Callable[[], int] = clock.read_wall_ms,
    ) -> None:
        """Initializes the log without reading it.

        Args:
            store: The client of the platform's services.
            read_wall_ms: The wall clock for the timestamps of versions.
        """
        self._store = store
        self._read_wall_ms = read_wall_ms

    def read_tables(
        self, known_revision: int | None = None
    ) -> result.Result[
        table_versions.Reading | store.NotModified, store.StoreError
    ]:
        """Reads the tables in force.

        Args:
            known_revision: The revision that the reader has, or None.

        Returns:
            The tables, or `NotModified` if they still have the known revision;
            or an error.
        """
        response = self._store.read_row(
            name=ROW_NAME, known_revision=known_revision
        )
        match response:
            case result.Ok(store.Row() as row):
                return _decode_row(row)
            case result.Err(error):
                return result.Err(error)
        return result.Ok(store.NotModified())

    def read_history(
        self, limit: int
    ) -> result.Result[
        tuple[table_versions.HistoryEntry, ...], store.StoreError
    ]:
        """Reads the newest changes.

        Args:
            limit: The maximum number of changes.

        Returns:
            The changes, newest first; or an error.
        """
        response = self._read_current()
        if isinstance(response, result.Err):
            return response
        newest = response.ok_value.version
        # One more version is read, as it has the tables that the oldest
        # change replaced.
        listed = self._list_versions(
            newest, max(0, newest.revision - limit - 1)
        )
        if isinstance(listed, result.Err):
            return listed
        older = [*listed.ok_value[1:], table_versions.Version()]
        pairs = zip(listed.ok_value, older, strict=True)
        entries = tuple(
            table_versions.HistoryEntry(
                version=version, before_digest=before.tables_digest
            )
            for version, before in pairs
        )
        return result.Ok(entries[:limit])

    def read_document(
        self, digest: str
    ) -> result.Result[tables.Tables, store.StoreError]:
        """Reads the tables of an earlier version.

        Args:
            digest: The version's `tables_digest`; empty for no tables.

        Returns:
            The tables, or an error.
        """
        if not digest:
            return result.Ok(tables.Tables())
        return self._store.read_object(digest=digest).and_then(_decode_tables)

    def apply(
        self,
        *,
        tables: tables.Tables,
        expected_revision: int,
        author: str,
        comment: str,
        write_id: str,
    ) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
        """Replaces the tables, and tries to resolve a lost answer.

        A repeated call with the same id determines the outcome of a change in
        doubt.

        Args:
            tables: All routes and pools.
            expected_revision: The revision from which they were edited.
            author: The author of the change.
            comment: The reason for the change.
            write_id: An id that no other change has.

        Returns:
            The new version, or why there is none, or that the change is in
            doubt.
        """
        write = _Write(
            write_id=write_id,
            expected_revision=expected_revision,
            author=author,
            comment=comment,
            tables=tables,
        )
        outcome = self._attempt(write)
        for _ in range(_RESOLVE_ATTEMPTS):
            match outcome:
                case result.Err(store.InDoubt()):
                    outcome = _keep_in_doubt(self._attempt(write))
        return outcome

    def _attempt(
        self, write: _Write
    ) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
        response = self._read_current()
        if isinstance(response, result.Err):
            return result.Err(_make_not_done(response.err_value))
        reading = response.ok_value
        if reading.revision < write.expected_revision:
            return result.Err(
                table_versions.NotDone(
                    explanation=f"the tables are still at {reading.revision}"
                )
            )
        if reading.revision > write.expected_revision:
            return self._decide_outcome(reading, write)
        if reading.tables == write.tables:
            return result.Ok(
                table_versions.Applied(
                    version=reading.version, is_changed=False
                )
            )
        found = table_changes.check_change(reading.tables, write.tables)
        if found:
            return result.Err(table_versions.Refused(faults=found))
        return self._commit(reading, write)

    def _commit(
        self, current: table_versions.Reading, write: _Write
    ) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
        stored = self._store_version(current, write)
        if isinstance(stored, result.Err):
            return result.Err(_make_not_done(stored.err_value))
        version = stored.ok_value
        row = _Row(
            version=version,
            tables=msgspec.Raw(encode_tables(write.tables)),
        )
        put = store.Put(
            name=ROW_NAME,
            expected_revision=write.expected_revision,
            value=msgspec.json.encode(row),
        )
        response = self._store.commit(
            transaction=store.Transaction(write_id=write.write_id, puts=(put,))
        )
        match response:
            case result.Ok():
                return result.Ok(table_versions.Applied(version=version))
            case result.Err(store.Conflict()):
                return self._read_outcome(write)
            case result.Err(store.InDoubt() as error):
                return result.Err(error)
            case result.Err(error):
                return result.Err(_make_not_done(error))

    def _store_version(
        self, before: table_versions.Reading, write: _Write
    ) -> result.Result[table_versions.Version, store.StoreError]:
        """Stores the objects of a new version, and returns the version."""
        document = self._store.put_object(content=encode_tables(write.tables))
        if isinstance(document, result.Err):
            return document
        previous: result.Result[str, store.StoreError] = result.Ok("")
        if before.revision:
            content = msgspec.json.encode(before.version)
            previous = self._store.put_object(content=content)
        return previous.map(
            lambda digest: table_versions.Version(
                revision=write.revision,
                write_id=write.write_id,
                author=write.author,
                written_at_ms=self._read_wall_ms(),
                comment=write.comment,
                tables_digest=document.ok_value,
                previous_digest=digest,
            )
        )

    def _read_outcome(
        self, write: _Write
    ) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
        response = self._read_current()
        if isinstance(response, result.Err):
            return result.Err(_make_in_doubt(response.err_value))
        return self._decide_outcome(response.ok_value, write)

    def _decide_outcome(
        self, current: table_versions.Reading, write: _Write
    ) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
        """Determines whether this write followed the expected revision."""
        newest = current.version
        listed = self._list_versions(newest, write.expected_revision)
        if isinstance(listed, result.Err):
            return result.Err(_make_in_doubt(listed.err_value))
        versions = listed.ok_value
        following = versions[-1]
        if following.write_id == write.write_id:
            return result.Ok(table_versions.Applied(version=following))
        return self._describe_conflict(current, write, versions)

    def _describe_conflict(
        self,
        current: table_versions.Reading,
        write: _Write,
        versions: tuple[table_versions.Version, ...],
    ) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
        base = self._read_base(versions[-1])
        if isinstance(base, result.Err):
            return result.Err(_make_not_done(base.err_value))
        common = base.ok_value
        return result.Err(
            table_versions.TablesConflict(
                revision=current.revision,
                changed_by=versions,
                yours=table_changes.find_differences(common, write.tables),
                theirs=table_changes.find_differences(common, current.tables),
            )
        )

    def _read_base(
        self, following: table_versions.Version
    ) -> result.Result[tables.Tables, store.StoreError]:
        if not following.previous_digest:
            return result.Ok(tables.Tables())
        return self._read_version(following.previous_digest).and_then(
            lambda version: self.read_document(version.tables_digest)
        )

    def _list_versions(
        self, newest: table_versions.Version, revision: int
    ) -> result.Result[tuple[table_versions.Version, ...], store.StoreError]:
        """Lists the versions after a revision, newest first."""
        versions = []
        version = newest
        while version.revision > revision:
            versions.append(version)
            if version.revision == revision + 1:
                break
            response = self._read_version(version.previous_digest)
            if isinstance(response, result.Err):
                return response
            version = response.ok_value
        return result.Ok(tuple(versions))

    def _read_version(
        self, digest: str
    ) -> result.Result[table_versions.Version, store.StoreError]:
        return self._store.read_object(digest=digest).and_then(_decode_version)

    def _read_current(
        self,
    ) -> result.Result[table_versions.Reading, store.StoreError]:
        match self._store.read_row(name=ROW_NAME):
            case result.Ok(store.Row() as row):
                return _decode_row(row)
            case result.Err(error):
                return result.Err(error)
        return result.Err(
            store.Corrupt(explanation="the service returned no row")
        )


def encode_tables(document: tables.Tables) -> bytes:
    """Encodes tables as JSON; equal tables give equal bytes."""
    return document.model_dump_json().encode()


def _decode_row(
    row: store.Row,
) -> result.Result[table_versions.Reading, store.StoreError]:
    if not row.revision:
        empty = tables.Tables()
        return result.Ok(
            table_versions.Reading(
                version=table_versions.Version(),
                tables=empty,
                document=encode_tables(empty),
            )
        )
    try:
        decoded = decoding.decode_json(row.value, _Row)
    except msgspec.DecodeError as error:
        return result.Err(store.Corrupt(explanation=f"tables row: {error}"))
    if decoded.version.revision != row.revision:
        return result.Err(
            store.Corrupt(
                explanation="tables row and its version differ in revision"
            )
        )
    document = bytes(decoded.tables)
    return _decode_tables(document).map(
        lambda found: table_versions.Reading(
            version=decoded.version, tables=found, document=document
        )
    )


def _decode_tables(
    document: bytes,
) -> result.Result[tables.Tables, store.StoreError]:
    # Tables from an older release may violate rules that were added later.
    try:
        return result.Ok(tables.Tables.model_validate_json(document))
    except pydantic.ValidationError as error:
        return result.Err(store.Corrupt(explanation=f"tables: {error}"))


def _decode_version(
    content: bytes,
) -> result.Result[table_versions.Version, store.StoreError]:
    try:
        return result.Ok(decoding.decode_json(content, table_versions.Version))
    except msgspec.DecodeError as error:
        return result.Err(store.Corrupt(explanation=f"version: {error}"))


def _keep_in_doubt(
    outcome: result.Result[table_versions.Applied, table_versions.ApplyError],
) -> result.Result[table_versions.Applied, table_versions.ApplyError]:
    # A failed repetition says nothing about the outcome of the first try.
    match outcome:
        case result.Err(table_versions.NotDone(explanation=explanation)):
            return result.Err(store.InDoubt(explanation=explanation))
    return outcome


def _make_not_done(error: store.StoreError) -> table_versions.NotDone:
    return table_versions.NotDone(explanation=store.describe_error(error))


def _make_in_doubt(error: store.StoreError) -> store.InDoubt:
    return store.InDoubt(explanation=store.describe_error(error))
