"""The value of the ownership row, its limits and its snapshots."""

from typing import TypeVar

import msgspec

from rhubarblead import decoding
from rhubarblead import membership
from rhubarblead import ownership

_Item = TypeVar("_Item")

NAME = "ownership"
MAX_ENTRIES = 256
MAX_SIZE_BYTES = 2**18
MAX_WRITE_IDS = 256
_RETAINED_ENTRIES = MAX_ENTRIES // 2
_RETAINED_BYTES = MAX_SIZE_BYTES // 2


class CannotDecode(Exception):
    """The stored bytes are not a valid ownership row or snapshot."""


class Snapshot(ownership.State, kw_only=True):
    """A stored state, which can also be decoded as `ownership.State`.

    `write_ids` are those of the last entries up to `revision`, at least back
    to the previous snapshot, whose digest is `previous_digest`.
    """

    write_ids: tuple[str, ...] = ()
    previous_digest: str = ""

    def find_write_id(self, revision: int) -> str | None:
        """Finds the write id of a revision, or None if it is not kept."""
        return _find_write_id(self.write_ids, self.revision, revision)


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The value of the ownership row.

    `entries` end at the row's revision and reach back at least to the
    snapshot, whose revision is `base_revision`. `earlier_write_ids` are those
    of the entries before the first one in the row.
    """

    base_revision: int = 0
    base_digest: str = ""
    earlier_write_ids: tuple[str, ...] = ()
    entries: tuple[membership.Entry, ...] = ()

    @property
    def revision(self) -> int:
        """The revision of the last entry."""
        return self.entries[-1].revision if self.entries else self.base_revision

    def list_write_ids(self) -> tuple[str, ...]:
        """Lists the newest write ids; the last one is of the row's revision."""
        newest = tuple(entry.write_id for entry in self.entries)
        return (*self.earlier_write_ids, *newest)

    def find_write_id(self, revision: int) -> str | None:
        """Finds the write id of a revision, or None if it is not kept."""
        return _find_write_id(self.list_write_ids(), self.revision, revision)

    def find_entry(self, revision: int) -> membership.Entry | None:
        """Finds the entry with a revision, or None if it is not in the row."""
        return next((e for e in self.entries if e.revision == revision), None)

    def has_entries_after(self, revision: int) -> bool:
        """Tells whether the entries continue from a revision without a gap."""
        return bool(self.entries) and self.entries[0].revision <= revision + 1

    def is_within_limits(self) -> bool:
        """Tells whether the row is within its limits."""
        if len(self.entries) > MAX_ENTRIES:
            return False
        return len(encode_row(self)) <= MAX_SIZE_BYTES


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Row | None)
_SNAPSHOT_ENCODER = msgspec.msgpack.Encoder()
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_row(row: Row) -> bytes:
    """Encodes a row's value as JSON text."""
    return _ENCODER.encode(row)


def decode_row(value: bytes, *, revision: int) -> Row:
    """Decodes and checks a row's value.

    Args:
        value: JSON text; null means that the row was never written.
        revision: The revision of the row in the table service.

    Returns:
        The row.

    Raises:
        CannotDecode: The value is malformed or ends at another revision.
    """
    try:
        row = decoding.decode_typed(_DECODER, value) or Row()
    except msgspec.DecodeError as error:
        raise CannotDecode(f"ownership row: {error}") from error
    if row.revision != revision:
        raise CannotDecode(
            f"the ownership row at revision {revision} ends at {row.revision}"
        )
    return row


def extend_row(row: Row, entry: membership.Entry) -> Row:
    """Adds an entry to a row, which may then exceed its limits."""
    spare = MAX_WRITE_IDS - len(row.entries) - 1
    return msgspec.structs.replace(
        row,
        earlier_write_ids=_take_last(row.earlier_write_ids, spare),
        entries=(*row.entries, entry),
    )


def compact_row(row: Row, *, digest: str) -> Row:
    """Replaces all but the newest entries with a snapshot.

    Args:
        row: A row that exceeds its limits.
        digest: The digest of the snapshot of the state after the row.

    Returns:
        A row that uses at most half of its limits; with only the last entry if
        that is larger than half; or with no entry if it exceeds the limit.
    """
    kept = _select_retained(row.entries)
    dropped = row.entries[: len(row.entries) - len(kept)]
    earlier = (*row.earlier_write_ids, *(e.write_id for e in dropped))
    return Row(
        base_revision=row.revision,
        base_digest=digest,
        earlier_write_ids=_take_last(earlier, MAX_WRITE_IDS - len(kept)),
        entries=kept,
    )


def encode_snapshot(row: Row, state: ownership.State) -> bytes:
    """Encodes a snapshot of the state after a row."""
    return _SNAPSHOT_ENCODER.encode(
        Snapshot(
            revision=state.revision,
            members=state.members,
            assignments=state.assignments,
            write_ids=row.list_write_ids(),
            previous_digest=row.base_digest,
        )
    )


def decode_snapshot(content: bytes) -> Snapshot:
    """Decodes a snapshot.

    Args:
        content: The bytes that `encode_snapshot` returned.

    Returns:
        The snapshot.

    Raises:
        CannotDecode: The content is not a valid snapshot.
    """
    try:
        snapshot = decoding.decode_typed(_SNAPSHOT_DECODER, content)
    except msgspec.DecodeError as error:
        raise CannotDecode(f"snapshot: {error}") from error
    # The decoder creates a new string for each of the many owners; equal
    # names share one string instead.
    names: dict[str, str] = {}
    for assignment in snapshot.assignments.values():
        assignment.owners = [
            names.setdefault(owner, owner) for owner in assignment.owners
        ]
    return snapshot


def _select_retained(
    entries: tuple[membership.Entry, ...],
) -> tuple[membership.Entry, ...]:
    size_bytes = 0
    kept_count = 0
    for entry in reversed(entries[-_RETAINED_ENTRIES:]):
        size_bytes += len(_ENCODER.encode(entry))
        # The last entry may use the whole limit, as nearly all readers lack
        # only that one.
        limit_bytes = _RETAINED_BYTES if kept_count else MAX_SIZE_BYTES
        if size_bytes > limit_bytes:
            break
        kept_count += 1
    return _take_last(entries, kept_count)


def _take_last(items: tuple[_Item, ...], count: int) -> tuple[_Item, ...]:
    return items[max(0, len(items) - count) :] if count > 0 else ()


def _find_write_id(
    write_ids: tuple[str, ...], last_revision: int, revision: int
) -> str | None:
    distance = last_revision - revision
    if not 0 <= distance < len(write_ids):
        return None
    return write_ids[len(write_ids) - 1 - distance]
