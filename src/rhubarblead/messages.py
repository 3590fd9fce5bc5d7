"""Messages between nodes.

Every message is one msgpack frame. A request or an answer is followed by a
second frame, its body, whose size and digest the first frame states.
"""

from typing import TypeAlias

import msgspec

from rhubarblead import membership
from rhubarblead import verdict


class Forward(msgspec.Struct, frozen=True, kw_only=True, tag="fwd"):
    """A request on its way to the node beside its upstream.

    `remaining_ms` is how long the caller still waits, counted from the
    sending. `shard` is -1 for a balanced pool. `ownership_revision` is the
    revision by which the sender chose the receiver. The receiver runs a call
    once, however often it arrives; a try anew of the same request is another
    call. `is_protected` says that the request runs at most once,
    `is_repeatable` that it may run any number of times, and `is_suspect` that
    a server crashed while it ran the request.
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
    """The receiver has the request and will answer it."""

    call_id: str


class Answer(msgspec.Struct, frozen=True, kw_only=True, tag="ans"):
    """The outcome of a forwarded request.

    `refusal` is empty when the upstream answered. `owner` names the member
    that the receiver believes to own the shard, when it does not itself.
    `in_flight_count` and `slots_count` tell the load of a server that answered.
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
    """The newest revisions that a node has of what is stored.

    `lamport` is the sender's logical time, which orders the events of nodes.
    """

    ownership: int
    tables: int
    lamport: int = 0


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="hb"):
    """A member asks one of its granters to extend its lease.

    `sent_at_ms` is on the sender's monotonic clock and only echoed.
    `heard_sequence` is that of the newest answer which the sender had from this
    granter, so that a granter whose answers are lost notices.
    """

    member_id: str
    granters_epoch: int
    sequence: int
    sent_at_ms: int
    revisions: Revisions
    heard_sequence: int = 0


class Promise(msgspec.Struct, frozen=True, kw_only=True, tag="pr"):
    """The answer to a heartbeat.

    With `is_granted` the granter will not call the lease lapsed for
    `duration_ms` after it sent this.
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
    """A granter states that its promise to a member is over for good.

    It will not promise to this member under this epoch again.
    """

    granter_id: str
    member_id: str
    granters_epoch: int


class StateUpdateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ask"):
    """A node asks another for what was committed after its revisions."""

    revisions: Revisions


class StateUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="news"):
    """Committed ownership entries, and the tables when they are newer.

    `lamport` is the sender's logical time.

    `entries` follow one another without a gap. `snapshot_digest` names an
    object to read first when the entries don't reach back far enough.
    """

    entries: tuple[membership.Entry, ...]
    snapshot_digest: str = ""
    tables_revision: int = 0
    tables: bytes = b""
    lamport: int = 0


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True, tag="led"):
    """What is remembered of one unrepeatable request, or of one shard.

    `state` is one of the states in `rhubarblead.requests.ledger`. A finished
    entry keeps the answer's status and, when small, its headers and body. The
    marker that a shard was adopted has no key and carries the wall time before
    which its memory may have holes. Of two entries of one owner with the same
    key, the one with the higher `sequence` counts. A marker's `fence` is that
    under which the owner adopted the shard.
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
    """An owner asks another node to keep copies of entries.

    `is_all` says that these are all the entries that the owner has, for the
    granters of `granters_epoch`.
    """

    call_id: str
    owner: str
    entries: tuple[LedgerEntry, ...]
    is_all: bool = False
    granters_epoch: int = 0


class LedgerRead(msgspec.Struct, frozen=True, kw_only=True, tag="ledr"):
    """A new owner asks for the entries of shards that it took over.

    `granters_epoch` is that of the previous owner's last record.
    """

    call_id: str
    pool: str
    shards: tuple[int, ...]
    previous_owner: str
    granters_epoch: int = 0


class LedgerResponse(msgspec.Struct, frozen=True, kw_only=True, tag="leda"):
    """The answer to a ledger write or read.

    `is_complete` says that every entry written by the previous owner since it
    became owner is among them.
    """

    call_id: str
    is_complete: bool
    entries: tuple[LedgerEntry, ...] = ()


class ShardLoads(msgspec.Struct, frozen=True, kw_only=True, tag="loads"):
    """The rates of an owner's shards, for whoever plans for the pool.

    `rates_rps` belong to `shards` one by one; each other shard of the owner
    has about `rest_rps`.
    """

    member_id: str
    pool: str
    shards: tuple[int, ...]
    rates_rps: tuple[float, ...]
    rest_rps: float


class SuspectReport(msgspec.Struct, frozen=True, kw_only=True, tag="sus"):
    """Requests that were running when an upstream crashed.

    `is_alone` says that nothing else ran there.
    """

    crash_id: str
    fingerprints: tuple[int, ...]
    is_alone: bool


Message: TypeAlias = (
    Forward
    | Ack
    | Answer
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
        frame: What `encode` returned.

    Returns:
        The message.

    Raises:
        msgspec.DecodeError: The frame holds no known message.
    """
    return _DECODER.decode(frame)
