"""Messages between the nodes, in msgpack."""

import enum
from typing import TypeAlias

import msgspec

NO_KEY = -1


class CannotDecode(Exception):
    """The bytes are no message of this system."""


class Verdict(enum.IntEnum):
    """Whether a request may have run; the number goes over the wire."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


class Reason(enum.IntEnum):
    """Why there is no answer of the server, and what may help."""

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
    """A request that goes to the node beside a server.

    `origin` names the process that sends it. Times are what is left when the
    message is sent. `key` is `NO_KEY` where
    any server of the service may run it. `head` holds the forwarded fields.
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


class Outcome(msgspec.Struct, tag=2, array_like=True, kw_only=True):
    """What became of a request at the node beside a server.

    `has_arrived` tells whether the server got it. `wait_ms` is how long it
    would have to wait, where the reason is that the server is busy.
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


class Cancel(msgspec.Struct, tag=3, array_like=True, kw_only=True):
    """The caller of a request has gone, or its time is over."""

    origin: str
    number: int


class ServerLoad(msgspec.Struct, array_like=True, kw_only=True):
    """How busy a node's server is, and how well the node is connected.

    `service_ms` holds the mean time of its runs by route, empty for servers
    that are chosen by key. `load_per_mille` is the part of its slots that the
    requests for its keys would use, and `capacity_per_s` how many of them it
    can run. `wait_ms` is how long an urgent request would wait there for a
    slot, `call_wait_ms` a call of another server. `has_store` tells whether the
    store answers the node.
    """

    wait_ms: int = 0
    call_wait_ms: int = 0
    service_ms: dict[str, int] = msgspec.field(default_factory=dict)
    load_per_mille: int = 0
    capacity_per_s: int = 0
    has_store: bool = False
    config_version: int = -1


class State(msgspec.Struct, tag=4, array_like=True, kw_only=True):
    """What a node tells the others of itself, on change and now and then.

    `is_serving` tells whether its server takes requests; `is_stopping`
    whether the node itself ends soon. `born_ms` tells lives of the server
    apart, 0 while it isn't known.
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


class Load(msgspec.Struct, tag=15, array_like=True, kw_only=True):
    """The newest load of a process whose state is known."""

    incarnation: str
    load: ServerLoad


class RangeTransfers(msgspec.Struct, array_like=True, kw_only=True):
    """Ranges that change hands: first key, last key, owner, handover token.

    Owners are told once and named by their place: the first assignment of 33
    owners goes to 62 nodes over links of 5 Mbit/s.
    """

    owners: list[str]
    rows: list[tuple[int, int, int, str]]

    def __post_init__(self) -> None:
        """Refuses a range whose owner isn't told.

        Raises:
            ValueError: There is one.
        """
        if any(not 0 <= row[2] < len(self.owners) for row in self.rows):
            raise ValueError("a range names an owner that isn't told")


class AssignmentChange(msgspec.Struct, tag=5, array_like=True, kw_only=True):
    """A change of an assignment that is in the store.

    Whoever is at `base_revision` comes to `revision` by it.
    """

    service: str
    base_revision: int
    revision: int
    transfers: RangeTransfers


class SnapshotRequest(msgspec.Struct, tag=6, array_like=True, kw_only=True):
    """A node asks for what it has missed; empty `service` for the config."""

    service: str


class Snapshot(msgspec.Struct, tag=7, array_like=True, kw_only=True):
    """A whole assignment, or the config where `service` is empty."""

    service: str
    revision: int
    content: bytes


class CrashSuspects(msgspec.Struct, tag=8, array_like=True, kw_only=True):
    """The requests that ran when a server crashed, by fingerprint."""

    crash_id: str
    fingerprints: list[int]


class LeaseHeartbeat(msgspec.Struct, tag=9, array_like=True, kw_only=True):
    """A node asks its granter for a promise (see `keyspace.promises`).

    `row_revision` is the revision of the node's row in the store.
    """

    node_id: str
    incarnation: str
    term: int
    sequence: int
    row_revision: int
    is_bound: bool


class Promise(msgspec.Struct, tag=10, array_like=True, kw_only=True):
    """A granter promises, counted from the heartbeat with this number."""

    term: int
    sequence: int


class LeaseLeave(msgspec.Struct, tag=11, array_like=True, kw_only=True):
    """A node restarts, and asks its granter not to take its keys."""

    node_id: str
    incarnation: str
    term: int


class Release(msgspec.Struct, tag=12, array_like=True, kw_only=True):
    """A granter takes no keys in this term."""

    term: int


class StoreCall(msgspec.Struct, tag=13, array_like=True, kw_only=True):
    """A call to the store that this node is to make for another."""

    number: int
    method: str
    target: str
    body: bytes


class StoreReply(msgspec.Struct, tag=14, array_like=True, kw_only=True):
    """What came of a call; `status` is 0 where no answer came."""

    number: int
    status: int
    is_sent: bool
    body: bytes


class WriteResult(enum.IntEnum):
    """What became of a write; the number goes over the wire."""

    APPLIED = 0
    CONFLICT = 1
    NOT_DONE = 2
    IN_DOUBT = 3


class DelegatedWrite(msgspec.Struct, tag=16, array_like=True, kw_only=True):
    """A node has another one write changes of keys that it owns.

    The write expects the node's own row at `row_revision`.
    """

    number: int
    service: str
    row_key: str
    row_revision: int
    transfers: RangeTransfers


class DelegatedWriteReply(
    msgspec.Struct, tag=17, array_like=True, kw_only=True
):
    """What became of such a write.

    Where it was applied, `change` is what was written, also for other nodes.
    `now_ms` is the store's clock.
    """

    number: int
    result: int
    now_ms: int = 0
    reason: str = ""
    change: AssignmentChange | None = None


Message: TypeAlias = (
    Work
    | Outcome
    | Cancel
    | State
    | AssignmentChange
    | SnapshotRequest
    | Snapshot
    | CrashSuspects
    | LeaseHeartbeat
    | Promise
    | LeaseLeave
    | Release
    | StoreCall
    | StoreReply
    | Load
    | DelegatedWrite
    | DelegatedWriteReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return _ENCODER.encode(message)


def decode(content: bytes) -> Message:
    """Decodes a message.

    Raises:
        CannotDecode: It is malformed.
    """
    try:
        return _DECODER.decode(content)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
