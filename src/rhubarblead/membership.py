"""Members of the system and the recorded changes of who owns what.

The structures here are stored in the platform's table service and sent between
nodes. `rhubarblead.ownership` folds changes into a state.
"""

from typing import TypeAlias

import msgspec


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One node process together with the upstream beside it.

    A process that starts again is a new member, with a new incarnation, also
    when it keeps its address. `granters` names the members that grant leases
    to this one; only the member itself changes them, which raises
    `granters_epoch`.
    """

    member_id: str
    instance: str
    incarnation: str
    failure_domain: str
    region: str
    pool: str
    ip_address: str
    http_port: int
    data_port: int
    control_port: int
    granters: tuple[str, ...] = ()
    granters_epoch: int = 0


class MemberJoined(msgspec.Struct, frozen=True, kw_only=True, tag="joined"):
    """A member was added."""

    member: Member


class MemberLeft(msgspec.Struct, frozen=True, kw_only=True, tag="left"):
    """A member removed itself, after it gave up its shards."""

    member_id: str


class MemberEvicted(msgspec.Struct, frozen=True, kw_only=True, tag="evicted"):
    """A member was removed by others after its lease had lapsed.

    `lapsed_by` names the granters whose statements the eviction rests on.
    """

    member_id: str
    granters_epoch: int
    lapsed_by: tuple[str, ...]


class GrantersChanged(
    msgspec.Struct, frozen=True, kw_only=True, tag="granters"
):
    """A member chose other granters for itself."""

    member_id: str
    granters: tuple[str, ...]
    granters_epoch: int


class PoolSharded(msgspec.Struct, frozen=True, kw_only=True, tag="sharded"):
    """A keyed pool got its fixed number of shards, all without an owner."""

    pool: str
    shard_count: int


class ShardMove(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """One shard gets an owner; an empty `owner` means that nobody owns it."""

    shard: int
    owner: str


class ShardsMoved(msgspec.Struct, frozen=True, kw_only=True, tag="moved"):
    """Shards of one pool changed owner; the fence of each rises."""

    pool: str
    moves: tuple[ShardMove, ...]


class MovesRequested(msgspec.Struct, frozen=True, kw_only=True, tag="wanted"):
    """Owners are asked to hand shards over; replaces the earlier wishes."""

    pool: str
    moves: tuple[ShardMove, ...]


class KeySplit(msgspec.Struct, frozen=True, kw_only=True, tag="split"):
    """A hot key leaves its hashed shard for a shard of its own.

    `shard` is a number at or above the pool's `shard_count`. The owner of the
    hashed shard writes this change and is the first owner of the new one.
    """

    pool: str
    key: str
    shard: int
    owner: str


class KeyMerged(msgspec.Struct, frozen=True, kw_only=True, tag="merged"):
    """A split key returns to its hashed shard; both had the same owner."""

    pool: str
    key: str
    shard: int


Change: TypeAlias = (
    MemberJoined
    | MemberLeft
    | MemberEvicted
    | GrantersChanged
    | PoolSharded
    | ShardsMoved
    | MovesRequested
    | KeySplit
    | KeyMerged
)


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """The changes of one committed transaction.

    `revision` is that of the ownership row after the transaction, and the
    fence of every shard that the transaction moved.
    """

    revision: int
    write_id: str
    author: str
    written_at_ms: int
    changes: tuple[Change, ...]
