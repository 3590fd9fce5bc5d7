"""Copies of other members' ledgers, kept by their granters."""

import collections
import threading

from rhubarblead import messages
from rhubarblead.node import change as changes

_Key = tuple[str, int, str]


class _Copy:
    """The entries of one owner, oldest write first.

    `is_complete` is False while entries written before this node was named
    as granter are missing, or after entries were dropped for want of room.
    """

    __slots__ = ("entries", "is_complete")

    def __init__(self, *, is_complete: bool) -> None:
        self.entries: collections.OrderedDict[_Key, messages.LedgerEntry] = (
            collections.OrderedDict()
        )
        self.is_complete = is_complete


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
                if member.member_id not in self._copies:
                    self._copies[member.member_id] = _Copy(
                        is_complete=member.granters_epoch == 0
                    )

    def write(self, message: messages.LedgerWrite) -> messages.LedgerAnswer:
        """Keeps copies of entries.

        Args:
            message: The entries; `is_all` says that they are all that the
                owner has.

        Returns:
            The acknowledgement.
        """
        with self._lock:
            copy = self._copies.setdefault(
                message.owner, _Copy(is_complete=False)
            )
            self._copies.move_to_end(message.owner)
            for entry in message.entries:
                self._put(copy, entry)
            copy.is_complete = copy.is_complete or message.is_all
            self._make_room()
        return messages.LedgerAnswer(
            request_id=message.request_id, is_complete=True
        )

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
                    request_id=message.request_id, is_complete=False
                )
            return messages.LedgerAnswer(
                request_id=message.request_id,
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
        elif _is_outdated(entry, known):
            return
        copy.entries[key] = entry
        copy.entries.move_to_end(key)

    def _make_room(self) -> None:
        while self._count > self._capacity:
            copy = next(c for c in self._copies.values() if c.entries)
            copy.entries.popitem(last=False)
            copy.is_complete = False
            self._count -= 1


def _is_outdated(
    entry: messages.LedgerEntry, known: messages.LedgerEntry
) -> bool:
    """Tells whether a write came late, after one that knows more."""
    return entry.state == "started" and known.state != "started"
