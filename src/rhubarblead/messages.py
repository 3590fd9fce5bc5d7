"""Messages between nodes.

Every message is one msgpack frame. A request or response is followed by a
second frame with its body; the first frame contains the size and digest of the
body.
"""

from typing import TypeAlias

import msgspec

from rhubarblead import decoding
from rhubarblead import membership
from rhubarblead import verdict
from rhubarblead.requests import crash_reports


class Forward(msgspec.Struct, frozen=True, kw_only=True, tag="fwd"):
    """A request forwarded to the node of its upstream.

    `remaining_ms` is the time until the caller's deadline when the message was
    sent. `shard` is -1 for a balanced pool. `ownership_revision` is the
    revision with which the sender selected the receiver. The receiver runs
    each call once, even if the message arrives several times; a retry of the
    request is a new call. `is_protected` means that the request runs at most
    once, `is_repeatable` that it may run any number of times, and `is_suspect`
    that a server crashed while it ran the request.
    """

    call_id: str
    request_id: str
    pool: str
    route: str
    shard: int
    key: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    idempotency_key: str
    is_protected: bool
    is_repeatable: bool
    remaining_ms: int
    max_answer_bytes: int
    ownership_revision: int
    body_size: int
    body_digest: int
    is_suspect: bool = False
    lamport: int = 0


class Ack(msgspec.Struct, frozen=True, kw_only=True, tag="ack"):
    """The receiver has the request and will respond to it."""

    call_id: str


class Response(msgspec.Struct, frozen=True, kw_only=True, tag="ans"):
    """The outcome of a forwarded request.

    `refusal` is empty if the upstream responded. If the receiver doesn't own
    the shard, `owner` is the member that it believes does. `in_flight_count`
    and `slots_count` are the load of a server that responded.
    """

    call_id: str
    verdict: verdict.Verdict
    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    refusal: str = ""
    retry_after_ms: int = 0
    owner: str = ""
    ownership_revision: int = 0
    server: str = ""
    is_suspect: bool = False
    in_flight_count: int = 0
    slots_count: int = 0
    lamport: int = 0
    body_size: int = 0
    body_digest: int = 0


class Revisions(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """The newest revisions of stored state that a node has.

    `lamport` is the sender's logical time, which orders events across nodes.
    """

    ownership: int
    tables: int
    lamport: int = 0


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="hb"):
    """A member asks one of its granters to extend its lease.

    `sent_at_ms` is on the sender's monotonic clock; the granter only echoes it.
    `heard_sequence` is the sequence of the latest promise that the sender
    received from this granter, so that the granter can detect lost promises.
    """

    member_id: str
    granters_epoch: int
    sequence: int
    sent_at_ms: int
    revisions: Revisions
    heard_sequence: int = 0


class Promise(msgspec.Struct, frozen=True, kw_only=True, tag="pr"):
    """The response to a heartbeat.

    With `is_granted`, the granter will not report the lease as expired for
    `duration_ms` after sending this message.
    """

    granter_id: str
    member_id: str
    granters_epoch: int
    sequence: int
    sent_at_ms: int
    is_granted: bool
    duration_ms: int
    revisions: Revisions


class LapseNotice(msgspec.Struct, frozen=True, kw_only=True, tag="lapse"):
    """A granter reports that its promise to a member has expired.

    The granter makes no further promises to the member for this epoch.
    """

    granter_id: str
    member_id: str
    granters_epoch: int


class StateUpdateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ask"):
    """A node asks another for changes committed after its revisions."""

    revisions: Revisions


class StateUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="news"):
    """Committed ownership entries, and the tables if they are newer.

    `lamport` is the sender's logical time.

    `entries` are consecutive. `snapshot_digest` names the stored object to read
    first if the entries don't go back far enough.
    """

    entries: tuple[membership.Entry, ...]
    snapshot_digest: str = ""
    tables_revision: int = 0
    tables: bytes = b""
    lamport: int = 0


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True, tag="led"):
    """The ledger's record of one unrepeatable request, or of one shard.

    `state` is one of the states in `rhubarblead.requests.ledger`. A finished
    entry contains the status of the response and, if small, its headers and
    body. The marker entry for an adopted shard has no key; its
    `lost_before_ms` is the wall time before which entries may be missing, and
    its `fence` is the one with which the owner adopted the shard. Of two
    entries of one owner with the same key, the one with the higher `sequence`
    is current.
    """

    pool: str
    shard: int
    idempotency_key: str
    state: str
    sequence: int
    request_digest: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = False
    lost_before_ms: int = 0
    fence: int = 0


class LedgerWrite(msgspec.Struct, frozen=True, kw_only=True, tag="ledw"):
    """An owner replicates entries to another node.

    `is_all` means that these are all entries of the owner, for the granters of
    `granters_epoch`.
    """

    call_id: str
    owner: str
    entries: tuple[LedgerEntry, ...]
    is_all: bool = False
    granters_epoch: int = 0


class LedgerRead(msgspec.Struct, frozen=True, kw_only=True, tag="ledr"):
    """A new owner requests the entries of shards that it took over.

    `granters_epoch` is the epoch in the previous owner's last member record.
    """

    call_id: str
    pool: str
    shards: tuple[int, ...]
    previous_owner: str
    granters_epoch: int = 0


class LedgerResponse(msgspec.Struct, frozen=True, kw_only=True, tag="leda"):
    """The response to a ledger write or read.

    `is_complete` means that `entries` includes every entry that the previous
    owner has written since it became the owner.
    """

    call_id: str
    is_complete: bool
    entries: tuple[LedgerEntry, ...] = ()


class ShardLoads(msgspec.Struct, frozen=True, kw_only=True, tag="loads"):
    """The request rates of an owner's shards, for the planner of the pool.

    `rates_rps` has one item for each item of `shards`; the rate of each other
    shard of the owner is about `rest_rps`.
    """

    member_id: str
    pool: str
    shards: tuple[int, ...]
    rates_rps: tuple[float, ...]
    rest_rps: float


class SuspectReport(crash_reports.CrashReport, frozen=True, tag="sus"):
    """The requests that were running when an upstream crashed."""


Message: TypeAlias = (
    Forward
    | Ack
    | Response
    | Heartbeat
    | Promise
    | LapseNotice
    | StateUpdateRequest
    | StateUpdate
    | LedgerWrite
    | LedgerRead
    | LedgerResponse
    | ShardLoads
    | SuspectReport
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes one message as a frame."""
    return _ENCODER.encode(message)


def decode(frame: bytes) -> Message:
    """Decodes one frame.

    Args:
        frame: A frame encoded by `encode`.

    Returns:
        The message.

    Raises:
        msgspec.DecodeError: The frame is not a known message.
    """
    return decoding.decode_typed(_DECODER, frame)
