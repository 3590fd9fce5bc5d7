"""Shards that a member acquired, and their previous owners."""

from collections.abc import Iterator
import dataclasses

import msgspec

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.node.ownership import state_change as changes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Acquisition:
    """Shards of one pool acquired from one previous owner.

    `previous` is the previous owner's last member record. It is None if the
    shards never had an owner (`is_new`) or if the owner of their ledger
    entries is unknown. `fences` are those of the acquired shards,
    `previous_fences` those of the previous owner, as far as they are known.
    """

    pool: str
    fences: dict[int, int]
    previous_fences: dict[int, int]
    previous: membership.Member | None
    is_new: bool

    @property
    def shards(self) -> tuple[int, ...]:
        """The shards in ascending order."""
        return tuple(sorted(self.fences))


@dataclasses.dataclass(slots=True, kw_only=True)
class _Origin:
    owner: str
    is_new: bool
    previous_fence: int = 0
    fence: int = 0


_UNKNOWN = _Origin(owner=ownership.NO_OWNER, is_new=False)


class _OwnershipReplay:
    """Replays entries to find the previous owner of each acquired shard."""

    def __init__(self, change: changes.StateChange) -> None:
        self._member_id = change.member_id
        self._before = change.before
        self._after = change.after
        self._last_owners: dict[tuple[str, int], _Origin] = {}
        self._new_pools: set[str] = set()
        self.records = dict(change.before.members)
        self.origins: dict[tuple[str, int], _Origin] = {}

    def apply(self, item: membership.Change, revision: int) -> None:
        match item:
            case membership.MemberJoined(member=member):
                self.records[member.member_id] = member
            case membership.GrantersChanged(member_id=member_id):
                self.records[member_id] = msgspec.structs.replace(
                    self.records[member_id],
                    granters=item.granters,
                    granters_epoch=item.granters_epoch,
                )
            case membership.PoolSharded(pool=pool):
                self._new_pools.add(pool)
            case membership.ShardsMoved(pool=pool, moves=moves):
                for move in moves:
                    origin = self._find_origin(pool, move.shard)
                    self._move(pool, move.shard, move.owner, revision, origin)
            case membership.KeySplit(pool=pool, shard=shard, owner=owner):
                self._move(pool, shard, owner, revision, _UNKNOWN)
            case membership.KeyMerged(pool=pool, key=key, shard=shard):
                self._move(pool, shard, ownership.NO_OWNER, revision, _UNKNOWN)
                self._merge(pool, key)

    def _move(
        self, pool: str, shard: int, owner: str, fence: int, origin: _Origin
    ) -> None:
        location = (pool, shard)
        if owner == self._member_id:
            self.origins[location] = dataclasses.replace(origin, fence=fence)
        else:
            self.origins.pop(location, None)
        self._last_owners[location] = _Origin(
            owner=owner, is_new=False, previous_fence=fence
        )

    def _merge(self, pool: str, key: str) -> None:
        # The ledger of the split key's own shard is not merged into the shard
        # that the key hashes to.
        assignment = self._after.assignments[pool]
        shard = ownership.hash_key(key) & (assignment.shard_count - 1)
        if assignment.owners[shard] == self._member_id:
            self.origins[pool, shard] = dataclasses.replace(
                _UNKNOWN, fence=assignment.fences[shard]
            )

    def _find_origin(self, pool: str, shard: int) -> _Origin:
        moved = self._last_owners.get((pool, shard))
        if moved is not None:
            return moved
        if pool in self._new_pools:
            return _Origin(owner=ownership.NO_OWNER, is_new=True)
        assignment = self._before.assignments[pool]
        if shard >= len(assignment.owners):
            return _UNKNOWN
        fence = assignment.fences[shard]
        return _Origin(
            owner=assignment.owners[shard],
            is_new=fence == assignment.sharded_revision,
            previous_fence=fence,
        )


def list_acquisitions(change: changes.StateChange) -> list[Acquisition]:
    """Lists the shards that the node acquired, by previous owner.

    Args:
        change: The change of state; if entries are missing, the previous
            owners of all acquired shards count as unknown.

    Returns:
        Acquisitions that contain each acquired shard once.
    """
    if not change.is_gapless:
        return list(_list_unknown(change))
    replay = _OwnershipReplay(change)
    for entry in change.entries:
        for item in entry.changes:
            replay.apply(item, entry.revision)
    groups: dict[tuple[str, str, bool], dict[int, _Origin]] = {}
    for (pool, shard), origin in replay.origins.items():
        group = (pool, origin.owner, origin.is_new)
        groups.setdefault(group, {})[shard] = origin
    return [
        Acquisition(
            pool=pool,
            fences={shard: o.fence for shard, o in origins.items()},
            previous_fences={
                shard: o.previous_fence for shard, o in origins.items()
            },
            previous=replay.records.get(owner),
            is_new=is_new,
        )
        for (pool, owner, is_new), origins in sorted(groups.items())
    ]


def _list_unknown(change: changes.StateChange) -> Iterator[Acquisition]:
    for pool, assignment in change.after.assignments.items():
        fences = {
            shard: assignment.fences[shard]
            for shard in assignment.list_shards(change.member_id)
            if not _has_kept_ownership(change, pool, shard)
        }
        if fences:
            yield Acquisition(
                pool=pool,
                fences=fences,
                previous_fences={},
                previous=None,
                is_new=False,
            )


def _has_kept_ownership(
    change: changes.StateChange, pool: str, shard: int
) -> bool:
    """Tells whether the node has owned a shard without interruption."""
    before = change.before.assignments.get(pool)
    if before is None or shard >= len(before.owners):
        return False
    after = change.after.assignments[pool]
    return (
        before.owners[shard] == change.member_id
        and before.fences[shard] == after.fences[shard]
    )


def list_gained(change: changes.StateChange) -> dict[str, set[int]]:
    """Lists the shards that the node owns after the change only, by pool."""
    return _subtract(change.after, change.before, change.member_id)


def list_lost(change: changes.StateChange) -> dict[str, set[int]]:
    """Lists the shards that the node owns before the change only, by pool."""
    return _subtract(change.before, change.after, change.member_id)


def _subtract(
    state: ownership.State, other: ownership.State, member_id: str
) -> dict[str, set[int]]:
    found = {}
    for pool, assignment in state.assignments.items():
        shards = set(assignment.list_shards(member_id))
        elsewhere = other.assignments.get(pool)
        if elsewhere is not None:
            shards -= set(elsewhere.list_shards(member_id))
        if shards:
            found[pool] = shards
    return found
