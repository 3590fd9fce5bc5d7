"""Tells which process of the local server lives, by its heartbeats.

A later start proves the end of the process before, and a lower sequence number
that a call was delayed. Both are statements of whoever has sent the call: one
call of another writer would shut the server out for good. A process that goes
on sending heartbeats, while the one that is taken to live has ceased to, is the
one that lives.

A heartbeat may have been sent before an exit that was announced to an earlier
process of the node, and that nobody remembers. When it arrives shows nothing of
that: heartbeats that were held up together arrive as spaced as they were sent.
While the node's process is young, a server must show that it has not left: by
sending a heartbeat to the address that only replies of this process name, or by
sending them for longer than any heartbeat is late. Its health check says the
same sooner; it counts while the heartbeats have come without a gap since the
node's process or the server began, as those of a server that lives do. The
start that a heartbeat names proves nothing: clocks are set, and another writer
may have changed it.
"""

import dataclasses
import enum
from typing import TypeVar

from rhubarblead.platform import heartbeats

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

MAX_SILENT_INTERVALS = 1.6
"""Heartbeat intervals after which the known process may be a mistaken one."""

MIN_SPACING_INTERVALS = 0.5
"""Delayed heartbeats arrive together; those of a live process, apart."""

MAX_LATE_MS = 10_000
"""Bound on the delay of a heartbeat; the platform's is "seconds"."""

MAX_DEPARTED_COUNT = 64
"""Processes remembered as leaving; an instance has one server at a time."""


class Standing(enum.Enum):
    """What a heartbeat says of its sender."""

    NEXT = enum.auto()
    """It is the next one of the known process."""
    NEW = enum.auto()
    """It is of a process that takes the place of the known one."""
    LATE = enum.auto()
    """It is of the known process, but was sent before its newest one."""
    EARLIER = enum.auto()
    """It is of another process that has ended, as far as is known."""


class Proof(enum.Enum):
    """Why a server process can't have left before the node's process began."""

    EXITS_KNOWN = "exits known"
    REPLY_READ = "reply read"
    OUTLASTED = "outlasted"
    """No heartbeat is delayed for as long as the node's process runs."""
    HEALTHY = "healthy"


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """State of the local server process by its latest heartbeat.

    `has_read_reply` is set if it has sent a heartbeat to the address that only
    replies of the node's process name, and `is_healthy` if its health check has
    said that it isn't leaving. `has_gap` is set if its heartbeats have not
    arrived at their interval since it or the node's process began.
    """

    server_id: str
    born_ms: int
    sequence: int
    last_heartbeat_at_ms: int
    is_leaving: bool = False
    is_silent: bool = False
    has_read_reply: bool = False
    is_healthy: bool = False
    has_gap: bool = False
    heartbeat_count: int = 0
    first_heartbeat_at_ms: int = 0

    @property
    def may_hold(self) -> bool:
        """Whether the server may keep its keys."""
        return not (self.is_leaving or self.is_silent)

    def is_of(self, server_id: str, born_ms: int) -> bool:
        """Returns whether this is the process with an id and a start."""
        return (self.server_id, self.born_ms) == (server_id, born_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Unexpected:
    """A heartbeat that had no effect when it arrived."""

    server_id: str
    born_ms: int
    sequence: int
    arrived_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Deregistration:
    """A deregistration that doesn't say which process of the id has sent it.

    `before_ms` is the Unix time before which that process has started.
    """

    before_ms: int
    arrived_at_ms: int


class ServerTracker:
    """Judges the heartbeats that arrive, and remembers which servers leave.

    `current` is the process that is taken to live, None before its first
    heartbeat.
    """

    __slots__ = (
        "_deregistered",
        "_interval_ms",
        "_leaving",
        "_seen",
        "_started_at_ms",
        "_unattributed",
        "current",
        "knows_earlier_exits",
    )

    def __init__(
        self, *, interval_ms: int, started_at_ms: int, is_first_start: bool
    ) -> None:
        """Creates a tracker that knows no server.

        Args:
            interval_ms: Interval of the heartbeats.
            started_at_ms: When the node's process has started.
            is_first_start: Whether there was no process before it.
        """
        self._interval_ms = interval_ms
        self._started_at_ms = started_at_ms
        # Whether all exits that earlier processes have acknowledged are known.
        self.knows_earlier_exits = is_first_start
        # A heartbeat that the known process can't have sent in that order.
        self._seen: _Unexpected | None = None
        # Processes that have said that they leave, the oldest first.
        self._leaving: dict[tuple[str, int], None] = {}
        # The latest start of a process that has deregistered, by its id.
        self._deregistered: dict[str, int] = {}
        # The latest one that names no start, by the id of its sender.
        self._unattributed: dict[str, _Deregistration] = {}
        self.current: ServerState | None = None

    def judge(self, heartbeat: heartbeats.Heartbeat, now_ms: int) -> Standing:
        """Judges a heartbeat.

        Args:
            heartbeat: The heartbeat.
            now_ms: When it has arrived.
        """
        current = self.current
        if current is None:
            return Standing.NEW
        is_same = current.is_of(heartbeat.server_id, heartbeat.born_ms)
        if is_same and heartbeat.sequence > current.sequence:
            self._seen = None
            return Standing.NEXT
        if heartbeat.born_ms > current.born_ms:
            self._seen = None
            return Standing.NEW
        if self._shows_life(heartbeat, current, now_ms):
            self._seen = None
            return Standing.NEW
        return Standing.LATE if is_same else Standing.EARLIER

    def begin(
        self, heartbeat: heartbeats.Heartbeat, now_ms: int, wall_ms: int
    ) -> ServerState:
        """Makes the sender of a heartbeat the process that lives.

        Args:
            heartbeat: The heartbeat.
            now_ms: When it has arrived.
            wall_ms: The Unix time of that.
        """
        waited_ms = min(
            wall_ms - heartbeat.born_ms, now_ms - self._started_at_ms
        )
        self.current = ServerState(
            server_id=heartbeat.server_id,
            born_ms=heartbeat.born_ms,
            sequence=-1,
            last_heartbeat_at_ms=now_ms,
            first_heartbeat_at_ms=now_ms,
            has_gap=waited_ms > MAX_SILENT_INTERVALS * self._interval_ms,
        )
        return self.current

    @property
    def proof(self) -> Proof | None:
        """Why the known process can't have left before the node's began."""
        current = self.current
        if current is None:
            return None
        if self.knows_earlier_exits:
            return Proof.EXITS_KNOWN
        if current.has_read_reply:
            return Proof.REPLY_READ
        lasted_ms = current.last_heartbeat_at_ms - self._started_at_ms
        if lasted_ms >= MAX_LATE_MS:
            return Proof.OUTLASTED
        if current.is_healthy and not current.has_gap:
            return Proof.HEALTHY
        return None

    def watch_gap(self, now_ms: int) -> None:
        """Records whether the known process's next heartbeat is overdue."""
        current = self.current
        if current is None:
            return
        silent_ms = now_ms - current.last_heartbeat_at_ms
        if silent_ms > MAX_SILENT_INTERVALS * self._interval_ms:
            current.has_gap = True

    def record_leaving(self, server_id: str, born_ms: int) -> bool:
        """Remembers that a process has said that it leaves.

        Returns:
            Whether that wasn't known.
        """
        is_news = not self.has_left(server_id, born_ms)
        _remember(self._leaving, (server_id, born_ms), None)
        return is_news

    def record_deregistration(self, server_id: str, born_ms: int) -> bool:
        """Remembers that a process has deregistered; those before it ended.

        Returns:
            Whether that wasn't known.
        """
        is_news = not self.has_left(server_id, born_ms)
        latest_ms = max(born_ms, self._deregistered.get(server_id, 0))
        _remember(self._deregistered, server_id, latest_ms)
        return is_news

    def record_unattributed(
        self, server_id: str, before_ms: int, now_ms: int
    ) -> None:
        """Remembers that some process under an id has deregistered.

        Args:
            server_id: The id.
            before_ms: The Unix time before which that process has started.
            now_ms: When the call has arrived.
        """
        call = _Deregistration(before_ms=before_ms, arrived_at_ms=now_ms)
        _remember(self._unattributed, server_id, call)

    @property
    def is_doubtful(self) -> bool:
        """Whether the known process may be one that has deregistered.

        Then it sends no more heartbeats; only delayed ones arrive for a time.
        """
        current = self.current
        if current is None:
            return False
        call = self._unattributed.get(current.server_id)
        if call is None or current.born_ms > call.before_ms:
            return False
        return current.last_heartbeat_at_ms < call.arrived_at_ms + MAX_LATE_MS

    def has_left(self, server_id: str, born_ms: int) -> bool:
        """Returns whether a process has announced its exit."""
        return (
            born_ms <= self._deregistered.get(server_id, -1)
            or (server_id, born_ms) in self._leaving
        )

    def _shows_life(
        self,
        heartbeat: heartbeats.Heartbeat,
        current: ServerState,
        now_ms: int,
    ) -> bool:
        """Returns whether the sender lives although it should not."""
        seen = self._seen
        is_next = (
            seen is not None
            and seen.arrived_at_ms > current.last_heartbeat_at_ms
            and (seen.server_id, seen.born_ms)
            == (heartbeat.server_id, heartbeat.born_ms)
            and seen.sequence < heartbeat.sequence
        )
        if seen is None or not is_next:
            self._seen = _Unexpected(
                server_id=heartbeat.server_id,
                born_ms=heartbeat.born_ms,
                sequence=heartbeat.sequence,
                arrived_at_ms=now_ms,
            )
            return False
        silent_ms = now_ms - current.last_heartbeat_at_ms
        spacing_ms = now_ms - seen.arrived_at_ms
        return (
            silent_ms >= MAX_SILENT_INTERVALS * self._interval_ms
            and spacing_ms >= MIN_SPACING_INTERVALS * self._interval_ms
        )


def _remember(memory: dict[_Key, _Value], key: _Key, value: _Value) -> None:
    """Adds an entry as the newest one; drops the oldest if there are many."""
    memory.pop(key, None)
    memory[key] = value
    if len(memory) > MAX_DEPARTED_COUNT:
        del memory[next(iter(memory))]
