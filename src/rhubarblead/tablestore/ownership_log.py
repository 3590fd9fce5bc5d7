"""The ownership row: a log of entries since a snapshot in the object store.

Each transaction writes exactly one entry, so the row's revision is that of its
last entry. A writer whose entry would exceed the limits of the row first stores
a snapshot, and keeps only the newest entries, so that readers that are slightly
behind need no snapshot.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

import result

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.tablestore import ownership_row
from rhubarblead.tablestore import store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """The result of a read.

    `entries` lead to `state` from the snapshot, or from the reader's state if
    there is no snapshot. `snapshot_digest` is empty if none was needed.
    """

    state: ownership.State
    entries: tuple[membership.Entry, ...] = ()
    snapshot_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Appended:
    """The entry is in the log."""

    entry: membership.Entry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Superseded:
    """Another entry has the revision; this one will never be in the log.

    The caller must read and plan again. `revision` is that of the row.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotDone:
    """The entry was definitely not written; the caller may try again."""

    explanation: str


AppendError: TypeAlias = Superseded | NotDone | store.InDoubt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Write:
    write_id: str
    expected_revision: int
    changes: tuple[membership.Change, ...]

    @property
    def revision(self) -> int:
        return self.expected_revision + 1


class OwnershipLog:
    """Reads and extends the log; safe to use from any thread."""

    __slots__ = ("_author", "_read_wall_ms", "_row", "_store")

    def __init__(
        self,
        *,
        store: store.Store,
        author: str,
        read_wall_ms: Callable[[], int] = clock.read_wall_ms,
    ) -> None:
        """Initializes the log without reading it.

        Args:
            store: The client of the platform's services.
            author: The author recorded in entries.
            read_wall_ms: The wall clock for the timestamps of entries.
        """
        self._store = store
        self._author = author
        self._read_wall_ms = read_wall_ms
        # The last known row. It is replaced as a whole, so that threads need
        # no lock, and its revision is checked before each use.
        self._row = ownership_row.Row()

    def read(
        self, *, state: ownership.State
    ) -> result.Result[Reading, store.StoreError]:
        """Reads the entries written after a state.

        Args:
            state: The reader's state.

        Returns:
            The newest state and the entries that lead to it, or an error.
        """
        response = self._store.read_row(
            name=ownership_row.NAME, known_revision=state.revision
        )
        match response:
            case result.Err():
                return response
            case result.Ok(store.Row() as row):
                return _decode_row(row).and_then(
                    lambda row: self._catch_up(row, state)
                )
        return result.Ok(Reading(state=state))

    def read_snapshot(
        self, *, digest: str
    ) -> result.Result[ownership.State, store.StoreError]:
        """Reads the state in a snapshot.

        Args:
            digest: The digest of the snapshot.

        Returns:
            The state, or an error.
        """
        return self._load(digest).map(
            lambda snapshot: ownership.State(
                revision=snapshot.revision,
                members=snapshot.members,
                assignments=snapshot.assignments,
            )
        )

    def cache_entries(self, *, entries: Sequence[membership.Entry]) -> None:
        """Adds committed entries from another source to the cached row.

        The next append then does not have to read the row first.

        Args:
            entries: Entries with consecutive revisions.
        """
        row = self._row
        for entry in entries:
            if entry.revision == row.revision + 1:
                row = ownership_row.extend_row(row, entry)
        is_bounded = len(row.entries) <= ownership_row.MAX_ENTRIES
        self._row = row if is_bounded else ownership_row.Row()

    def append(
        self,
        *,
        state: ownership.State,
        changes: Sequence[membership.Change],
        write_id: str,
    ) -> result.Result[Appended, AppendError]:
        """Appends one entry that is based on a state.

        Args:
            state: The state for which the changes were planned.
            changes: The changes of the entry.
            write_id: An id that no other write has used.

        Returns:
            The entry, or why it isn't known to be in the log. A write in
            doubt must be completed with `resolve`.

        Raises:
            ownership.CannotApply: The changes contradict the state.
        """
        write = _Write(
            write_id=write_id,
            expected_revision=state.revision,
            changes=tuple(changes),
        )
        row = self._row
        if row.revision != state.revision:
            response = self._read_row()
            if isinstance(response, result.Err):
                return result.Err(_make_not_done(response.err_value))
            row = response.ok_value
        if row.revision > state.revision:
            return self._decide_outcome(row, write)
        if row.revision < state.revision:
            return result.Err(
                NotDone(explanation=f"the row is still at {row.revision}")
            )
        prepared = self._prepare(row, state, write)
        if isinstance(prepared, result.Err):
            return result.Err(_make_not_done(prepared.err_value))
        return self._commit(prepared.ok_value, write)

    def resolve(
        self,
        *,
        write_id: str,
        expected_revision: int,
        changes: Sequence[membership.Change],
    ) -> result.Result[Appended, AppendError]:
        """Tries once to determine the outcome of a write in doubt.

        If the row has not changed, the write is repeated, because the first
        request may still arrive.

        Args:
            write_id: The id of the write.
            expected_revision: The revision of the state that it was based on.
            changes: The changes of the entry.

        Returns:
            `Appended` or `Superseded` if the outcome is certain, else
            `InDoubt`; the caller then tries again later.

        Raises:
            ownership.CannotApply: The changes contradict the state.
        """
        write = _Write(
            write_id=write_id,
            expected_revision=expected_revision,
            changes=tuple(changes),
        )
        response = self._read_row()
        if isinstance(response, result.Err):
            return result.Err(_make_in_doubt(response.err_value))
        row = response.ok_value
        if row.revision == expected_revision:
            return self._retry(row, write)
        return self._decide_outcome(row, write)

    def _retry(
        self, row: ownership_row.Row, write: _Write
    ) -> result.Result[Appended, AppendError]:
        reading = self._catch_up(row, ownership.State())
        if isinstance(reading, result.Err):
            return result.Err(_make_in_doubt(reading.err_value))
        prepared = self._prepare(row, reading.ok_value.state, write)
        if isinstance(prepared, result.Err):
            return result.Err(_make_in_doubt(prepared.err_value))
        outcome = self._commit(prepared.ok_value, write)
        match outcome:
            case result.Err(NotDone(explanation=explanation)):
                # Only the repetition is known not to have taken effect.
                return result.Err(store.InDoubt(explanation=explanation))
        return outcome

    def _read_row(self) -> result.Result[ownership_row.Row, store.StoreError]:
        match self._store.read_row(name=ownership_row.NAME):
            case result.Ok(store.Row() as row):
                return _decode_row(row)
            case result.Err(error):
                return result.Err(error)
        return result.Err(
            store.Corrupt(explanation="the service returned no row")
        )

    def _catch_up(
        self, row: ownership_row.Row, state: ownership.State
    ) -> result.Result[Reading, store.StoreError]:
        if row.revision < state.revision:
            return result.Err(
                store.Corrupt(
                    explanation=f"the revision fell from {state.revision} to"
                    f" {row.revision}"
                )
            )
        self._row = row
        if row.revision == state.revision:
            return result.Ok(Reading(state=state))
        if row.has_entries_after(state.revision):
            return _apply(row.entries, state, "")
        digest = row.base_digest
        return self.read_snapshot(digest=digest).and_then(
            lambda base: _apply(row.entries, base, digest)
        )

    def _prepare(
        self, row: ownership_row.Row, state: ownership.State, write: _Write
    ) -> result.Result[ownership_row.Row, store.StoreError]:
        """Builds the row after a write; stores a snapshot if it is full."""
        entry = self._make_entry(write)
        after = ownership.apply_entries(state, (entry,))
        extended = ownership_row.extend_row(row, entry)
        if extended.is_within_limits():
            return result.Ok(extended)
        content = ownership_row.encode_snapshot(extended, after)
        return self._store.put_object(content=content).map(
            lambda digest: ownership_row.compact_row(extended, digest=digest)
        )

    def _commit(
        self, after: ownership_row.Row, write: _Write
    ) -> result.Result[Appended, AppendError]:
        put = store.Put(
            name=ownership_row.NAME,
            expected_revision=write.expected_revision,
            value=ownership_row.encode_row(after),
        )
        response = self._store.commit(
            transaction=store.Transaction(write_id=write.write_id, puts=(put,))
        )
        match response:
            case result.Ok():
                return self._decide_outcome(after, write)
            case result.Err(store.Conflict(rows=rows)):
                return self._decide_conflict(rows, write)
            case result.Err(store.InDoubt() as error):
                return result.Err(error)
            case result.Err(error):
                return result.Err(_make_not_done(error))

    def _decide_conflict(
        self, rows: tuple[store.Row, ...], write: _Write
    ) -> result.Result[Appended, AppendError]:
        for row in rows:
            if row.name == ownership_row.NAME:
                decoded = _decode_row(row).map_err(_make_in_doubt)
                return decoded.and_then(
                    lambda row: self._decide_outcome(row, write)
                )
        return result.Err(
            store.InDoubt(explanation="the conflict omits the ownership row")
        )

    def _decide_outcome(
        self, row: ownership_row.Row, write: _Write
    ) -> result.Result[Appended, AppendError]:
        """Determines whether the entry at a write's revision is its own."""
        if row.revision < write.revision:
            return result.Err(
                store.InDoubt(explanation=f"the row is still at {row.revision}")
            )
        self._row = row
        match self._find_write_id(row, write.revision):
            case result.Err(error):
                return result.Err(_make_in_doubt(error))
            case result.Ok(write_id) if write_id != write.write_id:
                return result.Err(Superseded(revision=row.revision))
        entry = row.find_entry(write.revision) or self._make_entry(write)
        return result.Ok(Appended(entry=entry))

    def _find_write_id(
        self, row: ownership_row.Row, revision: int
    ) -> result.Result[str, store.StoreError]:
        found = row.find_write_id(revision)
        digest = row.base_digest
        while found is None:
            loaded = self._load(digest)
            if isinstance(loaded, result.Err):
                return loaded
            snapshot = loaded.ok_value
            found = snapshot.find_write_id(revision)
            digest = snapshot.previous_digest
        return result.Ok(found)

    def _make_entry(self, write: _Write) -> membership.Entry:
        return membership.Entry(
            revision=write.revision,
            write_id=write.write_id,
            author=self._author,
            written_at_ms=self._read_wall_ms(),
            changes=write.changes,
        )

    def _load(
        self, digest: str
    ) -> result.Result[ownership_row.Snapshot, store.StoreError]:
        if not digest:
            return result.Err(
                store.Corrupt(
                    explanation="entries are missing, without a snapshot"
                )
            )
        response = self._store.read_object(digest=digest)
        if isinstance(response, result.Err):
            return response
        try:
            snapshot = ownership_row.decode_snapshot(response.ok_value)
        except ownership_row.CannotDecode as error:
            return result.Err(store.Corrupt(explanation=str(error)))
        return result.Ok(snapshot)


def _decode_row(
    row: store.Row,
) -> result.Result[ownership_row.Row, store.StoreError]:
    try:
        decoded = ownership_row.decode_row(row.value, revision=row.revision)
    except ownership_row.CannotDecode as error:
        return result.Err(store.Corrupt(explanation=str(error)))
    return result.Ok(decoded)


def _apply(
    entries: tuple[membership.Entry, ...],
    state: ownership.State,
    digest: str,
) -> result.Result[Reading, store.StoreError]:
    newer = tuple(e for e in entries if e.revision > state.revision)
    try:
        after = ownership.apply_entries(state, newer)
    except (ownership.CannotApply, IndexError) as error:
        return result.Err(store.Corrupt(explanation=f"entries: {error}"))
    return result.Ok(
        Reading(state=after, entries=newer, snapshot_digest=digest)
    )


def _make_not_done(error: store.StoreError) -> NotDone:
    return NotDone(explanation=store.describe_error(error))


def _make_in_doubt(error: store.StoreError) -> AppendError:
    return store.InDoubt(explanation=store.describe_error(error))
