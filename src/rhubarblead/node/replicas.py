"""Copies of other members' ledgers, kept by their granters."""

import collections
import threading

from rhubarblead import messages
from rhubarblead.node import change as changes

_Key = tuple[str, int, str]


class _Copy:
    """The entries of one owner, oldest write first.

    `has_all` is False while entries written before this node was named as
    granter are missing; `has_dropped` is True after entries were dropped for
    want of room.
    """

    __slots__ = ("entries", "has_all", "has_dropped")

    def __init__(self) -> None:
        self.entries: collections.OrderedDict[_Key, messages.LedgerEntry] = (
            collections.OrderedDict()
        )
        self.has_all = False
        self.has_dropped = False

    @property
    def is_complete(self) -> bool:
        """Whether nothing that the owner wrote can be missing here."""
        return self.has_all and not self.has_dropped


class ReplicaBook:
    """Holds and returns copies; called from several threads.

    A copy outlives its owner for as long as there is room, so that the next
    owner of its shards can read it.
    """

    __slots__ = ("_capacity", "_copies", "_count", "_lock")

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._copies: collections.OrderedDict[str, _Copy] = (
            collections.OrderedDict()
        )
        self._count = 0
        self._lock = threading.Lock()

    def follow(self, change: changes.StateChange) -> None:
        """Follows who names this node as granter.

        A granter that a member named when it joined has been sent all that
        the member ever wrote. One that was named later has to be sent it.
        """
        with self._lock:
            for member in change.after.members.values():
                if change.member_id not in member.granters:
                    continue
                copy = self._copies.setdefault(member.member_id, _Copy())
                if member.granters_epoch == 0:
                    copy.has_all = True

    def write(self, message: messages.LedgerWrite) -> messages.LedgerAnswer:
        """Keeps copies of entries.

        Args:
            message: The entries; `is_all` says that they are all that the
                owner has.

        Returns:
            The acknowledgement.
        """
        with self._lock:
            copy = self._copies.setdefault(message.owner, _Copy())
            self._copies.move_to_end(message.owner)
            for entry in message.entries:
                self._put(copy, entry)
            if message.is_all:
                copy.has_all = True
                copy.has_dropped = False
            self._make_room()
        return messages.LedgerAnswer(call_id=message.call_id, is_complete=True)

    def read(self, message: messages.LedgerRead) -> messages.LedgerAnswer:
        """Returns the entries of some shards of a previous owner.

        Args:
            message: The shards, and who owned them.

        Returns:
            The entries, and whether all are there.
        """
        shards = frozenset(message.shards)
        with self._lock:
            copy = self._copies.get(message.previous_owner)
            if copy is None:
                return messages.LedgerAnswer(
                    call_id=message.call_id, is_complete=False
                )
            return messages.LedgerAnswer(
                call_id=message.call_id,
                is_complete=copy.is_complete,
                entries=tuple(
                    entry
                    for entry in copy.entries.values()
                    if entry.pool == message.pool and entry.shard in shards
                ),
            )

    def count(self) -> int:
        """Counts the entries kept."""
        return self._count

    def _put(self, copy: _Copy, entry: messages.LedgerEntry) -> None:
        key = (entry.pool, entry.shard, entry.idempotency_key)
        known = copy.entries.get(key)
        if known is None:
            self._count += 1
        elif entry.sequence < known.sequence:
            return
        copy.entries[key] = entry
        copy.entries.move_to_end(key)

    def _make_room(self) -> None:
        while self._count > self._capacity:
            copy = next(c for c in self._copies.values() if c.entries)
            copy.entries.popitem(last=False)
            copy.has_dropped = True
            self._count -= 1
