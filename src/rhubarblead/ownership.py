"""Membership and shard ownership as a state built from recorded changes."""

from collections.abc import Iterable

import msgspec
import xxhash

from rhubarblead import membership

NO_OWNER = ""


class Assignment(msgspec.Struct, kw_only=True):
    """Owners and fences of the shards of one keyed pool.

    `owners` and `fences` have one item per shard; shards numbered `shard_count`
    or higher belong to split keys (`splits` maps a key to its shard). `wanted`
    maps a shard to the member that it should be handed over to. A shard whose
    fence is `sharded_revision` never had an owner.
    """

    shard_count: int
    sharded_revision: int = 0
    owners: list[str]
    fences: list[int]
    wanted: dict[int, str] = msgspec.field(default_factory=dict)
    splits: dict[str, int] = msgspec.field(default_factory=dict)

    def find_shard(self, key: str) -> int:
        """Returns the shard of a key."""
        split = self.splits.get(key) if self.splits else None
        if split is not None:
            return split
        return hash_key(key) & (self.shard_count - 1)

    def list_shards(self, owner: str) -> list[int]:
        """Lists the shards that a member owns."""
        return [
            shard for shard, name in enumerate(self.owners) if name == owner
        ]


class State(msgspec.Struct, kw_only=True):
    """Members and assignments after the entry with `revision`."""

    revision: int = 0
    members: dict[str, membership.Member] = msgspec.field(default_factory=dict)
    assignments: dict[str, Assignment] = msgspec.field(default_factory=dict)

    def copy(self) -> "State":
        """Returns a copy that can be changed independently."""
        return State(
            revision=self.revision,
            members=dict(self.members),
            assignments={
                name: Assignment(
                    shard_count=assignment.shard_count,
                    sharded_revision=assignment.sharded_revision,
                    owners=list(assignment.owners),
                    fences=list(assignment.fences),
                    wanted=dict(assignment.wanted),
                    splits=dict(assignment.splits),
                )
                for name, assignment in self.assignments.items()
            },
        )

    def count_shards(self, member_id: str) -> int:
        """Counts the shards that a member owns, in all pools."""
        if member_id == NO_OWNER:
            return 0
        return sum(
            assignment.owners.count(member_id)
            for assignment in self.assignments.values()
        )

    def list_pool_members(self, pool: str) -> list[membership.Member]:
        """Lists the members of one pool, sorted by member ID."""
        return sorted(
            (m for m in self.members.values() if m.pool == pool),
            key=lambda member: member.member_id,
        )


class CannotApply(Exception):
    """A change is inconsistent with the state."""


def hash_key(key: str) -> int:
    """Hashes a key to 64 bits, with the same result on every machine."""
    return xxhash.xxh3_64_intdigest(key.encode())


def apply_entries(state: State, entries: Iterable[membership.Entry]) -> State:
    """Applies entries to a copy of a state.

    Args:
        state: The initial state; it isn't modified.
        entries: Entries in order; those not newer than the state are skipped.

    Returns:
        The state after the last entry.

    Raises:
        CannotApply: An entry is missing or inconsistent with the state.
    """
    new_state = state.copy()
    for entry in entries:
        if entry.revision <= new_state.revision:
            continue
        if entry.revision != new_state.revision + 1:
            raise CannotApply(
                f"entry {entry.revision} does not follow {new_state.revision}"
            )
        for change in entry.changes:
            _apply_change(new_state, change, entry.revision)
        new_state.revision = entry.revision
    return new_state


def _apply_change(
    state: State, change: membership.Change, revision: int
) -> None:
    match change:
        case membership.MemberJoined(member=member):
            state.members[member.member_id] = member
        case membership.MemberLeft(member_id=member_id):
            _remove_member(state, member_id)
        case membership.MemberEvicted(member_id=member_id):
            _remove_member(state, member_id)
        case membership.GrantersChanged():
            _change_granters(state, change)
        case membership.PoolSharded(pool=pool, shard_count=count):
            state.assignments[pool] = Assignment(
                shard_count=count,
                sharded_revision=revision,
                owners=[NO_OWNER] * count,
                fences=[revision] * count,
            )
        case membership.ShardsMoved(pool=pool, moves=moves):
            _move_shards(_find_assignment(state, pool), moves, revision)
        case membership.MovesRequested(pool=pool, moves=moves):
            _find_assignment(state, pool).wanted = {
                m.shard: m.owner for m in moves
            }
        case membership.KeySplit():
            _split_key(_find_assignment(state, change.pool), change, revision)
        case membership.KeyMerged(pool=pool, key=key, shard=shard):
            assignment = _find_assignment(state, pool)
            assignment.splits.pop(key, None)
            assignment.owners[shard] = NO_OWNER
            assignment.fences[shard] = revision


def _find_assignment(state: State, pool: str) -> Assignment:
    assignment = state.assignments.get(pool)
    if assignment is None:
        raise CannotApply(f"pool {pool!r} has no shards")
    return assignment


def _remove_member(state: State, member_id: str) -> None:
    if state.members.pop(member_id, None) is None:
        raise CannotApply(f"{member_id!r} is no member")


def _change_granters(state: State, change: membership.GrantersChanged) -> None:
    member = state.members.get(change.member_id)
    if member is None:
        raise CannotApply(f"{change.member_id!r} is no member")
    state.members[change.member_id] = msgspec.structs.replace(
        member,
        granters=change.granters,
        granters_epoch=change.granters_epoch,
    )


def _move_shards(
    assignment: Assignment,
    moves: tuple[membership.ShardMove, ...],
    revision: int,
) -> None:
    for move in moves:
        assignment.owners[move.shard] = move.owner
        assignment.fences[move.shard] = revision
        assignment.wanted.pop(move.shard, None)


def _split_key(
    assignment: Assignment, change: membership.KeySplit, revision: int
) -> None:
    missing = change.shard + 1 - len(assignment.owners)
    assignment.owners.extend([NO_OWNER] * missing)
    assignment.fences.extend([revision] * missing)
    assignment.owners[change.shard] = change.owner
    assignment.fences[change.shard] = revision
    assignment.splits[change.key] = change.shard
