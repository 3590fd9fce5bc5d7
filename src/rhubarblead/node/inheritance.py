"""From whom a member got its shards."""

from collections.abc import Iterator
import dataclasses

import msgspec

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.node import change as changes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Inheritance:
    """Shards of one pool that came from one owner.

    `previous` is the owner's last record. Without one the shards never had an
    owner (`is_new`), or it isn't known what was remembered of them.
    """

    pool: str
    shards: tuple[int, ...]
    previous: membership.Member | None
    is_new: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Origin:
    owner: str
    is_new: bool


class _Walk:
    """Follows the owners of shards through entries, one change at a time."""

    def __init__(self, change: changes.StateChange) -> None:
        self._member_id = change.member_id
        self._before = change.before
        self._owners: dict[tuple[str, int], str] = {}
        self._sharded: set[str] = set()
        self.records = dict(change.before.members)
        self.origins: dict[tuple[str, int], _Origin] = {}

    def take(self, item: membership.Change) -> None:
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
                self._sharded.add(pool)
            case membership.ShardsMoved(pool=pool, moves=moves):
                for move in moves:
                    self._move(pool, move)

    def _move(self, pool: str, move: membership.ShardMove) -> None:
        place = (pool, move.shard)
        if move.owner == self._member_id:
            self.origins[place] = self._find_origin(pool, move.shard)
        else:
            self.origins.pop(place, None)
        self._owners[place] = move.owner

    def _find_origin(self, pool: str, shard: int) -> _Origin:
        owner = self._owners.get((pool, shard))
        if owner is not None:
            return _Origin(owner=owner, is_new=False)
        if pool in self._sharded:
            return _Origin(owner=ownership.NOBODY, is_new=True)
        assignment = self._before.assignments[pool]
        return _Origin(
            owner=assignment.owners[shard],
            is_new=assignment.fences[shard] == assignment.sharded_revision,
        )


def list_inheritances(change: changes.StateChange) -> list[Inheritance]:
    """Lists the shards that the node gained, by their previous owners.

    Args:
        change: The change of state; where entries are missing, the previous
            owners of all gained shards count as unknown.

    Returns:
        The gained shards, each once.
    """
    is_gapless = (
        change.before.revision + len(change.entries) == change.after.revision
    )
    if not is_gapless:
        return list(_list_unknown(change))
    walk = _Walk(change)
    for entry in change.entries:
        for item in entry.changes:
            walk.take(item)
    groups: dict[tuple[str, str, bool], list[int]] = {}
    for (pool, shard), origin in walk.origins.items():
        group = (pool, origin.owner, origin.is_new)
        groups.setdefault(group, []).append(shard)
    return [
        Inheritance(
            pool=pool,
            shards=tuple(sorted(shards)),
            previous=walk.records.get(owner),
            is_new=is_new,
        )
        for (pool, owner, is_new), shards in sorted(groups.items())
    ]


def _list_unknown(change: changes.StateChange) -> Iterator[Inheritance]:
    for pool, shards in list_gained(change).items():
        yield Inheritance(
            pool=pool,
            shards=tuple(sorted(shards)),
            previous=None,
            is_new=False,
        )


def list_gained(change: changes.StateChange) -> dict[str, set[int]]:
    """Lists the shards that the node owns now and did not before."""
    return _subtract(change.after, change.before, change.member_id)


def list_lost(change: changes.StateChange) -> dict[str, set[int]]:
    """Lists the shards that the node owned before and does not now."""
    return _subtract(change.before, change.after, change.member_id)


def _subtract(
    one: ownership.State, other: ownership.State, member_id: str
) -> dict[str, set[int]]:
    found = {}
    for pool, assignment in one.assignments.items():
        shards = set(assignment.list_shards(member_id))
        elsewhere = other.assignments.get(pool)
        if elsewhere is not None:
            shards -= set(elsewhere.list_shards(member_id))
        if shards:
            found[pool] = shards
    return found
