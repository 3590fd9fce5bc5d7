"""Records that a node returns to operators and routing clients."""

from typing import TypeVar

import msgspec

from rhubarblead import decoding
from rhubarblead import ownership

_T = TypeVar("_T")

_ENCODER = msgspec.json.Encoder()


class GranterView(msgspec.Struct, frozen=True, kw_only=True):
    """A granter and the age of its last promise; -1 if unknown."""

    member_id: str
    promise_age_ms: int


class UpstreamView(msgspec.Struct, frozen=True, kw_only=True):
    """The local upstream of a node; `state` is empty before it registers."""

    server: str = ""
    state: str = ""
    incarnation: str = ""
    in_flight_count: int = 0
    slots_count: int = 0
    queued_count: int = 0


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one node.

    `lease_left_ms` is 0 if the node holds no lease. `state` is the lifecycle
    state of the node, such as "serving" or "draining".
    """

    member_id: str
    instance: str
    incarnation: str = ""
    failure_domain: str
    region: str
    pool: str
    state: str
    lease_left_ms: int
    granters: tuple[GranterView, ...] = ()
    granters_epoch: int = 0
    ownership_revision: int = 0
    tables_revision: int = 0
    tables_digest: str = ""
    shards_owned_count: int = 0
    in_flight_count: int = 0
    upstream: UpstreamView = UpstreamView()
    uptime_ms: int = 0
    rss_bytes: int = 0
    is_store_reachable: bool = True


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """A member in the ownership state."""

    member_id: str
    instance: str
    failure_domain: str
    region: str
    pool: str
    ip_address: str
    http_port: int
    granters: tuple[str, ...] = ()
    granters_epoch: int = 0
    shards_owned_count: int = 0


class Members(msgspec.Struct, frozen=True, kw_only=True):
    """The members in one revision of the ownership state."""

    ownership_revision: int
    members: tuple[MemberView, ...]


class OwnerView(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a key, with the reason.

    `owner` is the owner's instance and `authority` the `ip:port` of its node
    for HTTP; both are empty if the shard has no owner.
    """

    pool: str
    key: str
    shard: int
    owner: str
    authority: str
    fence: int
    ownership_revision: int
    why: str


class ShardMap(msgspec.Struct, frozen=True, kw_only=True):
    """The owners of all shards of a pool.

    `owners` has one item per shard: an index into `nodes` (`ip:port` for
    HTTP), or -1 for no owner. Shards numbered `shard_count` or higher belong
    to the split keys in `splits`.
    """

    pool: str
    revision: int
    shard_count: int
    nodes: tuple[str, ...]
    owners: tuple[int, ...]
    splits: dict[str, int] = msgspec.field(default_factory=dict)


def list_members(state: ownership.State) -> Members:
    """Converts the members of a state to the records for operators."""
    return Members(
        ownership_revision=state.revision,
        members=tuple(
            MemberView(
                member_id=member.member_id,
                instance=member.instance,
                failure_domain=member.failure_domain,
                region=member.region,
                pool=member.pool,
                ip_address=member.ip_address,
                http_port=member.http_port,
                granters=member.granters,
                granters_epoch=member.granters_epoch,
                shards_owned_count=state.count_shards(member.member_id),
            )
            for member in sorted(
                state.members.values(), key=lambda member: member.member_id
            )
        ),
    )


def encode(record: msgspec.Struct) -> bytes:
    """Encodes a record as JSON."""
    return _ENCODER.encode(record)


def decode(text: bytes, record_type: type[_T]) -> _T:
    """Decodes a record from JSON.

    Args:
        text: A record encoded by `encode`.
        record_type: The class of the record.

    Returns:
        The record.

    Raises:
        msgspec.DecodeError: The text is not a record of that class.
    """
    return decoding.decode_json(text, record_type)
