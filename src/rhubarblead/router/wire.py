"""Messages between the nodes, encoded in msgpack."""

import enum
from typing import TypeAlias

import msgspec

from rhubarblead import decoding
from rhubarblead.keyspace import assignment
from rhubarblead.requests import crash_reports

NO_KEY = -1
"""Key of a request that isn't routed by key."""


class CannotDecode(Exception):
    """The bytes aren't a valid message."""


class Verdict(enum.IntEnum):
    """Whether a request may have run; messages carry the number."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


class Reason(enum.IntEnum):
    """Why there is no answer from the server, which decides about a retry."""

    NONE = 0
    NOT_OWNER = 1
    BUSY = 2
    OVERLOADED = 3
    LEAVING = 4
    SHED = 5
    TOO_LATE = 6
    BROKEN = 7
    LINK_LOST = 8
    POISON = 9
    SERVER_GONE = 10


class Work(msgspec.Struct, tag=1, array_like=True, kw_only=True):
    """A request forwarded to the node beside a server.

    `origin` is the incarnation of the sending process. Times are the remaining
    milliseconds when the message is sent. `is_call` is set if the server
    beside the sender may have made the request. `key` is `NO_KEY` if any
    server of the service may run the request. `is_once` is set if it must not
    run twice. `head` holds the forwarded header fields. `accepts_chunks` is
    set if the sender assembles outcomes that arrive as `Chunk` messages.
    `host` is the host that the caller addressed. `is_return` is set if the
    caller was refused before, so that the request was counted already.
    `withheld_bytes` is the size of a body that follows on `BodyRequest`; it is
    set only for nodes whose state says that they request bodies.
    """

    origin: str
    number: int
    target_incarnation: str
    request_id: str
    service: str
    route: str
    priority: int
    is_call: bool
    is_once: bool
    key: int
    target_ms: int
    deadline_ms: int
    may_wait: bool
    method: bytes
    target: bytes
    head: bytes
    body: bytes
    accepts_chunks: bool = False
    host: str = ""
    is_return: bool = False
    withheld_bytes: int = 0


class ServerStatement(
    msgspec.Struct, array_like=True, kw_only=True, frozen=True
):
    """What a server has stated about itself in a response.

    `server` names its process. `limit_per_s` is the limit on its requests per
    second, None if there is none. `is_leaving` is set if it is shutting down.
    """

    server: str
    limit_per_s: float | None = None
    is_leaving: bool = False


class ServerNotice(msgspec.Struct, tag=21, array_like=True, kw_only=True):
    """Tells a node what its server stated in a response passed on elsewhere."""

    statement: ServerStatement


class Outcome(msgspec.Struct, tag=2, array_like=True, kw_only=True):
    """The outcome of a request at the node beside a server.

    `has_arrived` is set if the request reached the server. `wait_ms` is the
    expected wait if the reason is `BUSY`. `phrase` is the HTTP reason phrase.
    `queued_ms` is the time that the request waited there for a slot or a key,
    `ran_ms` the time that it held a slot. `statement` is what the server has
    stated about itself, None if that is nothing.
    """

    number: int
    verdict: int
    reason: int = Reason.NONE
    has_arrived: bool = False
    wait_ms: int = 0
    status: int = 0
    phrase: bytes = b""
    head: bytes = b""
    body: bytes = b""
    queued_ms: int = 0
    ran_ms: int = 0
    statement: ServerStatement | None = None


class BodyRequest(msgspec.Struct, tag=24, array_like=True, kw_only=True):
    """Accepts a request, and requests its body."""

    number: int


class Body(msgspec.Struct, tag=25, array_like=True, kw_only=True):
    """The body of a request that was accepted.

    `origin` is the incarnation of the sending process.
    """

    origin: str
    number: int
    body: bytes


class Cancel(msgspec.Struct, tag=3, array_like=True, kw_only=True):
    """Cancels a request whose caller has left or whose deadline has passed."""

    origin: str
    number: int
    request_id: str = ""


class Chunk(msgspec.Struct, tag=18, array_like=True, kw_only=True):
    """A part of a message that is too large to be sent at once.

    `number` identifies the message at its sender, `start` is the position of
    `data` in it. No more chunks of the message follow if `is_aborted` is set.
    """

    number: int
    start: int
    data: bytes
    is_last: bool
    is_aborted: bool = False


class ChunkAck(msgspec.Struct, tag=19, array_like=True, kw_only=True):
    """Acknowledges a chunk; chunks arrive in the order of sending."""

    number: int


class ServerLoad(msgspec.Struct, array_like=True, kw_only=True):
    """The load of a node's server and the connectivity of the node.

    `service_ms` holds the mean service time by route; it is empty for servers
    that are chosen by key. `load_per_mille` is the share of the server's slots
    that the requests for its keys occupy, and `capacity_per_s` the rate of such
    requests that it can run. `wait_ms` is the expected wait of an urgent
    request for a slot, `call_wait_ms` that of a call from another server.
    `has_store` is set if the store answers the node. `link_backlog_ms` is the
    time that the node's link needs for the large responses that are queued or
    expected. `nested_calls` holds how many calls a run at the server makes on
    average, by called service.
    """

    wait_ms: int = 0
    call_wait_ms: int = 0
    service_ms: dict[str, int] = msgspec.field(default_factory=dict)
    load_per_mille: int = 0
    capacity_per_s: int = 0
    has_store: bool = False
    config_version: int = -1
    link_backlog_ms: int = 0
    nested_calls: dict[str, float] = msgspec.field(default_factory=dict)


class State(msgspec.Struct, tag=4, array_like=True, kw_only=True):
    """The state of a node, sent on every change and periodically.

    `is_serving` is set if the node's server accepts requests, `is_stopping` if
    the node itself is shutting down. `born_ms` is the Unix time at which the
    server started, which identifies its incarnation; it is 0 while unknown.
    `crash_digest` identifies the crashes on record, 0 if there are none.
    `requests_bodies` is set if the node can accept requests before their body.
    `statement` is what the server has stated about itself, None if that is
    nothing.
    """

    node_id: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    born_ms: int
    is_serving: bool
    is_stopping: bool
    slot_count: int
    assignments: dict[str, int]
    load: ServerLoad
    crash_digest: int = 0
    requests_bodies: bool = False
    statement: ServerStatement | None = None


class Load(msgspec.Struct, tag=15, array_like=True, kw_only=True):
    """The current load of a process whose state was sent before."""

    incarnation: str
    load: ServerLoad


class RangeTransfers(msgspec.Struct, array_like=True, kw_only=True):
    """Key ranges with new owners.

    Each row holds the first key, the last key, the index of the owner in
    `owners` and the handover token. Owners are listed once to keep messages
    small: the first assignment of 33 owners goes to 62 nodes over links of
    5 Mbit/s.
    """

    owners: list[str]
    rows: list[tuple[int, int, int, str]]

    def __post_init__(self) -> None:
        """Checks the keys and the owner indexes.

        Raises:
            ValueError: A key or an owner index is out of range.
        """
        if any(not 0 <= row[2] < len(self.owners) for row in self.rows):
            raise ValueError("owner index of a range is out of bounds")
        if any(not 0 <= r[0] <= r[1] < assignment.KEY_COUNT for r in self.rows):
            raise ValueError("keys of a range are out of bounds")


class AssignmentChange(msgspec.Struct, tag=5, array_like=True, kw_only=True):
    """A committed change of an assignment.

    It leads from `base_revision` to `revision`.
    """

    service: str
    base_revision: int
    revision: int
    transfers: RangeTransfers


class SnapshotRequest(msgspec.Struct, tag=6, array_like=True, kw_only=True):
    """Requests an assignment, or the configuration if `service` is empty."""

    service: str


class Snapshot(msgspec.Struct, tag=7, array_like=True, kw_only=True):
    """A whole assignment, or the configuration if `service` is empty."""

    service: str
    revision: int
    content: bytes


class CrashSuspects(
    crash_reports.CrashReport, frozen=True, tag=8, array_like=True
):
    """The requests that were running when a server crashed."""


class CrashListRequest(msgspec.Struct, tag=20, array_like=True):
    """Requests the reports of all crashes that the receiver has on record."""


class LeaseHeartbeat(msgspec.Struct, tag=9, array_like=True, kw_only=True):
    """A node's request to its granter for a promise.

    `row_revision` is the revision of the node's row in the store. `granter` is
    the process that the row names, empty from earlier versions. See
    `keyspace.promises` for the protocol.
    """

    node_id: str
    incarnation: str
    term: int
    sequence: int
    row_revision: int
    is_bound: bool
    granter: str = ""


class Promise(msgspec.Struct, tag=10, array_like=True, kw_only=True):
    """A granter's promise, which runs from the heartbeat with this number."""

    term: int
    sequence: int


class LeaseLeave(msgspec.Struct, tag=11, array_like=True, kw_only=True):
    """A restarting node's request to its granter not to take its keys."""

    node_id: str
    incarnation: str
    term: int
    granter: str = ""


class Release(msgspec.Struct, tag=12, array_like=True, kw_only=True):
    """A granter's commitment not to take keys in this term."""

    term: int


class StoreCall(msgspec.Struct, tag=13, array_like=True, kw_only=True):
    """A request to call the store on behalf of the sender."""

    number: int
    method: str
    target: str
    body: bytes


class StoreReply(msgspec.Struct, tag=14, array_like=True, kw_only=True):
    """The result of a store call; `status` is 0 if there was no answer.

    `era` counts how often the store came back from a copy.
    """

    number: int
    status: int
    is_sent: bool
    body: bytes
    era: int = 0


class WriteResult(enum.IntEnum):
    """The result of a write; messages carry the number."""

    APPLIED = 0
    CONFLICT = 1
    NOT_DONE = 2
    IN_DOUBT = 3


class DelegatedWrite(msgspec.Struct, tag=16, array_like=True, kw_only=True):
    """A request to write ownership changes of keys that the sender owns.

    The write expects the sender's row, `row_key`, at `row_revision`.
    """

    number: int
    service: str
    row_key: str
    row_revision: int
    transfers: RangeTransfers


class DelegatedWriteReply(
    msgspec.Struct, tag=17, array_like=True, kw_only=True
):
    """The result of a delegated write.

    If it was applied, `change` is the whole change that was written, which may
    include changes of other nodes. `now_ms` is the store's clock.
    """

    number: int
    result: int
    now_ms: int = 0
    reason: str = ""
    change: AssignmentChange | None = None


class Probe(msgspec.Struct, tag=22, array_like=True, kw_only=True):
    """Asks a node for a reply at once, to tell whether it still runs."""


class ProbeReply(msgspec.Struct, tag=23, array_like=True, kw_only=True):
    """The reply to a probe."""


Message: TypeAlias = (
    Work
    | Outcome
    | Cancel
    | State
    | AssignmentChange
    | SnapshotRequest
    | Snapshot
    | CrashSuspects
    | CrashListRequest
    | LeaseHeartbeat
    | Promise
    | LeaseLeave
    | Release
    | StoreCall
    | StoreReply
    | Load
    | DelegatedWrite
    | DelegatedWriteReply
    | Chunk
    | ChunkAck
    | ServerNotice
    | Probe
    | ProbeReply
    | BodyRequest
    | Body
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return _ENCODER.encode(message)


def decode(content: bytes) -> Message:
    """Decodes a message.

    Raises:
        CannotDecode: The bytes aren't a valid message.
    """
    try:
        return decoding.decode_typed(_DECODER, content)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
