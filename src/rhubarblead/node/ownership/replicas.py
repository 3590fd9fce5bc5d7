"""Replicas of other members' ledgers, stored by their granters."""

import collections
from collections.abc import Iterator
import threading

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.node.ownership import state_change as changes
from rhubarblead.requests import idempotency
from rhubarblead.requests import ledger

_Shard = tuple[str, int]
_EntryKey = tuple[str, int, str]


class _Replica:
    """The replicated entries of one owner, oldest write first.

    `is_complete` tells whether the owner has sent this node every entry written
    before `granters_epoch`, and this node has been a granter ever since.
    `lost_before_ms` is the wall time before which keys of a shard may have
    been evicted for lack of capacity. Markers are never evicted.
    """

    __slots__ = (
        "entries",
        "granters_epoch",
        "is_complete",
        "lost_before_ms",
        "markers",
    )

    def __init__(self) -> None:
        self.entries: collections.OrderedDict[
            _EntryKey, messages.LedgerEntry
        ] = collections.OrderedDict()
        self.markers: dict[_Shard, messages.LedgerEntry] = {}
        self.lost_before_ms: dict[_Shard, int] = {}
        self.granters_epoch = 0
        self.is_complete = False

    def advance_epoch(self, *, granters_epoch: int, is_granter: bool) -> None:
        """Applies a change of the owner's granters."""
        if granters_epoch <= self.granters_epoch:
            return
        self.granters_epoch = granters_epoch
        self.is_complete = self.is_complete and is_granter

    def put_marker(self, entry: messages.LedgerEntry) -> None:
        """Stores the marker of a shard unless a newer one is stored."""
        shard = (entry.pool, entry.shard)
        known = self.markers.get(shard)
        if known is None or entry.sequence >= known.sequence:
            self.markers[shard] = entry

    def evict_oldest(self) -> None:
        """Evicts the oldest entry; keys up to its time count as uncertain."""
        _, entry = self.entries.popitem(last=False)
        shard = (entry.pool, entry.shard)
        known_ms = self.lost_before_ms.get(shard, 0)
        try:
            issued_ms = idempotency.read_issued_ms(entry.idempotency_key)
        except idempotency.CannotReadKey:
            self.is_complete = False
            return
        self.lost_before_ms[shard] = max(known_ms, issued_ms + 1)

    def list_markers(
        self, pool: str, shards: frozenset[int]
    ) -> Iterator[messages.LedgerEntry]:
        """Lists the markers of shards, updated for entries evicted here."""
        for shard in sorted(shards):
            lost_before_ms = self.lost_before_ms.get((pool, shard), 0)
            marker = self.markers.get((pool, shard))
            if marker is None and not lost_before_ms:
                continue
            # A marker without a fence does not prove that the owner adopted
            # the shard.
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


class ReplicaStore:
    """Stores replicas of ledgers; thread-safe.

    A replica outlives its owner as long as the capacity allows, so that the
    next owners of its shards can read it.
    """

    __slots__ = ("_capacity", "_count", "_lock", "_replicas")

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._replicas: collections.OrderedDict[str, _Replica] = (
            collections.OrderedDict()
        )
        self._count = 0
        self._lock = threading.Lock()

    def on_state_change(self, change: changes.StateChange) -> None:
        """Tracks which members have this node as granter.

        A granter named when a member joined receives every entry that the
        member writes. A granter named later is complete only after it was sent
        all entries, even if it had been a granter in an earlier epoch.
        """
        with self._lock:
            if change.is_gapless:
                self._apply_entries(change)
            for member in change.after.members.values():
                self._apply_record(
                    member, is_granter=change.member_id in member.granters
                )

    def write(self, message: messages.LedgerWrite) -> messages.LedgerResponse:
        """Stores entries of another member.

        Args:
            message: The entries; `is_all` tells whether they are all entries
                of the owner.

        Returns:
            The acknowledgement.
        """
        with self._lock:
            replica = self._replicas.setdefault(message.owner, _Replica())
            self._replicas.move_to_end(message.owner)
            for entry in message.entries:
                self._store(replica, entry)
            is_late = message.granters_epoch < replica.granters_epoch
            if message.is_all and not is_late:
                replica.granters_epoch = message.granters_epoch
                replica.is_complete = True
            self._evict_excess()
        return messages.LedgerResponse(
            call_id=message.call_id, is_complete=True
        )

    def read(self, message: messages.LedgerRead) -> messages.LedgerResponse:
        """Returns the entries of some shards of a previous owner.

        Args:
            message: The shards, and their previous owner.

        Returns:
            The entries, and whether they include all that a granter of the
            requested epoch should have.
        """
        shards = frozenset(message.shards)
        with self._lock:
            replica = self._replicas.get(message.previous_owner)
            if replica is None:
                return messages.LedgerResponse(
                    call_id=message.call_id, is_complete=False
                )
            is_current = replica.granters_epoch == message.granters_epoch
            return messages.LedgerResponse(
                call_id=message.call_id,
                is_complete=replica.is_complete and is_current,
                entries=(
                    *replica.list_markers(message.pool, shards),
                    *(
                        entry
                        for entry in replica.entries.values()
                        if entry.pool == message.pool and entry.shard in shards
                    ),
                ),
            )

    def count(self) -> int:
        """Counts the stored entries, without markers."""
        return self._count

    def _apply_entries(self, change: changes.StateChange) -> None:
        for entry in change.entries:
            for item in entry.changes:
                match item:
                    case membership.MemberJoined(member=member):
                        self._apply_record(
                            member,
                            is_granter=change.member_id in member.granters,
                        )
                    case membership.GrantersChanged():
                        self._apply_granters_change(item, change.member_id)

    def _apply_granters_change(
        self, item: membership.GrantersChanged, member_id: str
    ) -> None:
        replica = self._replicas.get(item.member_id)
        if replica is not None:
            replica.advance_epoch(
                granters_epoch=item.granters_epoch,
                is_granter=member_id in item.granters,
            )

    def _apply_record(
        self, member: membership.Member, *, is_granter: bool
    ) -> None:
        if not is_granter and member.member_id not in self._replicas:
            return
        replica = self._replicas.setdefault(member.member_id, _Replica())
        # If the epoch is newer here, the changes that led to it are unknown.
        replica.advance_epoch(
            granters_epoch=member.granters_epoch, is_granter=False
        )
        if is_granter and member.granters_epoch == 0:
            replica.is_complete = True

    def _store(self, replica: _Replica, entry: messages.LedgerEntry) -> None:
        if entry.state == ledger.ADOPTED:
            replica.put_marker(entry)
            return
        key = (entry.pool, entry.shard, entry.idempotency_key)
        known = replica.entries.get(key)
        if known is None:
            self._count += 1
        elif entry.sequence < known.sequence:
            return
        replica.entries[key] = entry
        replica.entries.move_to_end(key)

    def _evict_excess(self) -> None:
        while self._count > self._capacity:
            replica = next(
                candidate
                for candidate in self._replicas.values()
                if candidate.entries
            )
            replica.evict_oldest()
            self._count -= 1
