"""Copies of other members' ledgers, kept by their granters."""

import collections
from collections.abc import Iterator
import threading

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.node.ownership import change as changes
from rhubarblead.requests import idempotency
from rhubarblead.requests import ledger

_Shard = tuple[str, int]
_Key = tuple[str, int, str]


class _Copy:
    """The entries of one owner, oldest write first.

    `has_all` says that this node was sent all that the owner wrote before
    `granters_epoch`, and was a granter ever since. `lost_before_ms` is the
    wall time before which keys of a shard may have been dropped for want of
    room. Markers are never dropped.
    """

    __slots__ = (
        "entries",
        "granters_epoch",
        "has_all",
        "lost_before_ms",
        "markers",
    )

    def __init__(self) -> None:
        self.entries: collections.OrderedDict[_Key, messages.LedgerEntry] = (
            collections.OrderedDict()
        )
        self.markers: dict[_Shard, messages.LedgerEntry] = {}
        self.lost_before_ms: dict[_Shard, int] = {}
        self.granters_epoch = 0
        self.has_all = False

    def follow_epoch(self, *, granters_epoch: int, is_granter: bool) -> None:
        """Follows a change of the owner's granters."""
        if granters_epoch <= self.granters_epoch:
            return
        self.granters_epoch = granters_epoch
        self.has_all = self.has_all and is_granter

    def put_marker(self, entry: messages.LedgerEntry) -> None:
        """Keeps the marker of a shard, unless it has a newer one."""
        shard = (entry.pool, entry.shard)
        known = self.markers.get(shard)
        if known is None or entry.sequence >= known.sequence:
            self.markers[shard] = entry

    def drop_oldest(self) -> None:
        """Drops an entry, and remembers that keys of its time may be gone."""
        _, entry = self.entries.popitem(last=False)
        shard = (entry.pool, entry.shard)
        known_ms = self.lost_before_ms.get(shard, 0)
        try:
            issued_ms = idempotency.read_issued_ms(entry.idempotency_key)
        except idempotency.CannotReadKey:
            self.has_all = False
            return
        self.lost_before_ms[shard] = max(known_ms, issued_ms + 1)

    def list_markers(
        self, pool: str, shards: frozenset[int]
    ) -> Iterator[messages.LedgerEntry]:
        """Lists the markers of shards, with what was dropped here."""
        for shard in sorted(shards):
            lost_before_ms = self.lost_before_ms.get((pool, shard), 0)
            marker = self.markers.get((pool, shard))
            if marker is None and not lost_before_ms:
                continue
            # Without a fence it is no proof that the owner adopted the shard.
            marker = marker or messages.LedgerEntry(
                pool=pool,
                shard=shard,
                idempotency_key="",
                state=ledger.ADOPTED,
                sequence=0,
            )
            yield msgspec.structs.replace(
                marker,
                lost_before_ms=max(marker.lost_before_ms, lost_before_ms),
            )


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
        the member ever wrote. One that was named later has to be sent it, also
        when it was a granter before in between.
        """
        with self._lock:
            if change.is_gapless:
                self._follow_entries(change)
            for member in change.after.members.values():
                self._follow_record(
                    member, is_granter=change.member_id in member.granters
                )

    def write(self, message: messages.LedgerWrite) -> messages.LedgerResponse:
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
            is_late = message.granters_epoch < copy.granters_epoch
            if message.is_all and not is_late:
                copy.granters_epoch = message.granters_epoch
                copy.has_all = True
            self._make_room()
        return messages.LedgerResponse(
            call_id=message.call_id, is_complete=True
        )

    def read(self, message: messages.LedgerRead) -> messages.LedgerResponse:
        """Returns the entries of some shards of a previous owner.

        Args:
            message: The shards, and who owned them.

        Returns:
            The entries, and whether all are there that this node should have
            as a granter of the epoch asked for.
        """
        shards = frozenset(message.shards)
        with self._lock:
            copy = self._copies.get(message.previous_owner)
            if copy is None:
                return messages.LedgerResponse(
                    call_id=message.call_id, is_complete=False
                )
            is_current = copy.granters_epoch == message.granters_epoch
            return messages.LedgerResponse(
                call_id=message.call_id,
                is_complete=copy.has_all and is_current,
                entries=(
                    *copy.list_markers(message.pool, shards),
                    *(
                        entry
                        for entry in copy.entries.values()
                        if entry.pool == message.pool and entry.shard in shards
                    ),
                ),
            )

    def count(self) -> int:
        """Counts the entries kept."""
        return self._count

    def _follow_entries(self, change: changes.StateChange) -> None:
        for entry in change.entries:
            for item in entry.changes:
                match item:
                    case membership.MemberJoined(member=member):
                        self._follow_record(
                            member,
                            is_granter=change.member_id in member.granters,
                        )
                    case membership.GrantersChanged():
                        self._follow_granters(item, change.member_id)

    def _follow_granters(
        self, item: membership.GrantersChanged, member_id: str
    ) -> None:
        copy = self._copies.get(item.member_id)
        if copy is not None:
            copy.follow_epoch(
                granters_epoch=item.granters_epoch,
                is_granter=member_id in item.granters,
            )

    def _follow_record(
        self, member: membership.Member, *, is_granter: bool
    ) -> None:
        if not is_granter and member.member_id not in self._copies:
            return
        copy = self._copies.setdefault(member.member_id, _Copy())
        # A newer epoch here means that the entries before it are not known.
        copy.follow_epoch(
            granters_epoch=member.granters_epoch, is_granter=False
        )
        if is_granter and member.granters_epoch == 0:
            copy.has_all = True

    def _put(self, copy: _Copy, entry: messages.LedgerEntry) -> None:
        if entry.state == ledger.ADOPTED:
            copy.put_marker(entry)
            return
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
            copy.drop_oldest()
            self._count -= 1
