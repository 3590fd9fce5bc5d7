"""Members of the system and the log of membership and ownership changes.

These structures are stored in the platform's table service and sent between
nodes. `rhubarblead.ownership` applies the changes to a state.
"""

from typing import TypeAlias

import msgspec


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One node process together with its local upstream.

    A restarted process is a new member with a new incarnation, even if its
    address is the same. `granters` lists the members that grant leases to this
    one; only the member itself changes them, and each change increments
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
    """A member joined."""

    member: Member


class MemberLeft(msgspec.Struct, frozen=True, kw_only=True, tag="left"):
    """A member left after it had handed over its shards."""

    member_id: str


class MemberEvicted(msgspec.Struct, frozen=True, kw_only=True, tag="evicted"):
    """A member was removed by another after its lease had expired.

    `lapsed_by` lists the granters that reported the lease as expired.
    """

    member_id: str
    granters_epoch: int
    lapsed_by: tuple[str, ...]


class GrantersChanged(
    msgspec.Struct, frozen=True, kw_only=True, tag="granters"
):
    """A member replaced its granters."""

    member_id: str
    granters: tuple[str, ...]
    granters_epoch: int


class PoolSharded(msgspec.Struct, frozen=True, kw_only=True, tag="sharded"):
    """The shards of a keyed pool were created, all without an owner."""

    pool: str
    shard_count: int


class ShardMove(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """A shard is assigned to a member; an empty `owner` unassigns it."""

    shard: int
    owner: str


class ShardsMoved(msgspec.Struct, frozen=True, kw_only=True, tag="moved"):
    """Shards of one pool changed owner; the fence of each increases."""

    pool: str
    moves: tuple[ShardMove, ...]


class MovesRequested(msgspec.Struct, frozen=True, kw_only=True, tag="wanted"):
    """Owners are asked to hand over shards; replaces earlier requests."""

    pool: str
    moves: tuple[ShardMove, ...]


class KeySplit(msgspec.Struct, frozen=True, kw_only=True, tag="split"):
    """A hot key is moved from its hashed shard to a dedicated shard.

    `shard` is a number not below the pool's `shard_count`. The owner of the
    hashed shard writes this change and is the first owner of the new shard.
    """

    pool: str
    key: str
    shard: int
    owner: str


class KeyMerged(msgspec.Struct, frozen=True, kw_only=True, tag="merged"):
    """A split key returns to its hashed shard, which has the same owner."""

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

    `revision` is the revision of the ownership row after the transaction, and
    the fence of every shard that the transaction moved.
    """

    revision: int
    write_id: str
    author: str
    written_at_ms: int
    changes: tuple[Change, ...]
