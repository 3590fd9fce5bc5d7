"""In-memory copy of the newest known ownership state and tables."""

import collections
from collections.abc import Iterable

import xxhash

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import tables

_MAX_ENTRIES = 512


class StateCache:
    """Ownership state, tables and recent entries; revisions only increase."""

    __slots__ = (
        "_entries",
        "_tables_document",
        "state",
        "tables",
        "tables_revision",
    )

    def __init__(self) -> None:
        self.state = ownership.State()
        self.tables = tables.Tables()
        self.tables_revision = 0
        self._tables_document = b""
        self._entries: collections.deque[membership.Entry] = collections.deque(
            maxlen=_MAX_ENTRIES
        )

    @property
    def tables_digest(self) -> str:
        """The digest of the tables in force; empty if there are none."""
        if not self._tables_document:
            return ""
        return xxhash.xxh3_64_hexdigest(self._tables_document)

    @property
    def revisions(self) -> messages.Revisions:
        """The revisions of the state and the tables."""
        return messages.Revisions(
            ownership=self.state.revision, tables=self.tables_revision
        )

    def is_behind(self, revisions: messages.Revisions) -> bool:
        """Tells whether another node has a newer state or newer tables."""
        return (
            revisions.ownership > self.state.revision
            or revisions.tables > self.tables_revision
        )

    def apply_entries(self, entries: Iterable[membership.Entry]) -> bool:
        """Applies entries that follow the newest state.

        Args:
            entries: Entries in order; known ones are skipped.

        Returns:
            False if an entry is missing in between; nothing is applied then.
        """
        new_entries = [e for e in entries if e.revision > self.state.revision]
        try:
            self.state = ownership.apply_entries(self.state, new_entries)
        except ownership.CannotApply:
            return False
        self._entries.extend(new_entries)
        return True

    def replace_state(
        self, state: ownership.State, entries: Iterable[membership.Entry]
    ) -> None:
        """Replaces the state with a newer one that was read as a whole.

        Args:
            state: The state read; ignored if it is not newer.
            entries: The known entries that led to it.
        """
        if state.revision <= self.state.revision:
            return
        known = list(entries)
        is_gapless = (
            bool(known) and known[0].revision <= self.state.revision + 1
        )
        if not is_gapless:
            self._entries.clear()
        newest = self._entries[-1].revision if self._entries else 0
        self._entries.extend(e for e in known if e.revision > newest)
        self.state = state

    def apply_tables(self, *, revision: int, document: bytes) -> bool:
        """Puts tables in force.

        Args:
            revision: Their revision.
            document: Their JSON document.

        Returns:
            False if they are not newer than those in force.

        Raises:
            faults.CannotAccept: The document is invalid; the tables in force
                stay.
        """
        if revision <= self.tables_revision:
            return False
        self.tables = tables.read_tables(document)
        self.tables_revision = revision
        self._tables_document = document
        return True

    def list_entries(self, after_revision: int) -> tuple[membership.Entry, ...]:
        """Lists the cached entries that are newer than a revision."""
        return tuple(e for e in self._entries if e.revision > after_revision)

    def make_state_update(
        self, revisions: messages.Revisions
    ) -> messages.StateUpdate | None:
        """Builds the update for a node with older revisions.

        Args:
            revisions: The revisions of that node.

        Returns:
            The update; None if there is none, or if the cached entries do not
            go back far enough.
        """
        entries = self.list_entries(revisions.ownership)
        is_gapless = (
            bool(entries) and entries[0].revision == revisions.ownership + 1
        )
        has_tables = self.tables_revision > revisions.tables
        if not is_gapless and not has_tables:
            return None
        return messages.StateUpdate(
            entries=entries if is_gapless else (),
            tables_revision=self.tables_revision if has_tables else 0,
            tables=self._tables_document if has_tables else b"",
        )
