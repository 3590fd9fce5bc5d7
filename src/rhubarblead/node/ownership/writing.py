"""State of a node's writes to the ownership row."""

import dataclasses
import enum
import random

from rhubarblead import membership
from rhubarblead import ownership

_RETRY_DELAY_MS = 100
_BASE_BACKOFF_MS = 50
_MAX_DOUBLINGS = 6


class Purpose(enum.Enum):
    """The purpose of a proposal."""

    JOIN = "join"
    EVICT = "evict"
    GRANTERS = "granters"
    RELEASE = "release"
    LEAVE = "leave"
    PLAN = "plan"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """Changes to commit on top of one state."""

    write_id: str
    purpose: Purpose
    state: ownership.State
    changes: tuple[membership.Change, ...]


class ConflictBackoff:
    """Delays writes after conflicts, for each purpose on its own."""

    __slots__ = ("_conflict_counts", "_due_ms", "_rng")

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._due_ms: dict[Purpose, int] = {}
        self._conflict_counts: dict[Purpose, int] = {}

    def is_due(self, purpose: Purpose, now_ms: int) -> bool:
        """Tells whether a write for a purpose may be tried now."""
        return now_ms >= self._due_ms.get(purpose, now_ms)

    def record_conflict(self, purpose: Purpose, now_ms: int) -> None:
        """Records a write that was not committed; delays the next one more."""
        count = self._conflict_counts.get(purpose, 0)
        self._conflict_counts[purpose] = min(count + 1, _MAX_DOUBLINGS)
        wait_ms = self._rng.randrange(_BASE_BACKOFF_MS << count)
        self._due_ms[purpose] = now_ms + wait_ms

    def record_success(self, purpose: Purpose) -> None:
        """Records a committed write and resets the delay."""
        self._conflict_counts.pop(purpose, None)
        self._due_ms.pop(purpose, None)


class WriteState:
    """Limits a node to one write at a time and tracks writes in doubt.

    A write in doubt is never abandoned: its outcome is queried until it is
    known whether the write took effect.
    """

    __slots__ = ("_due_ms", "_is_in_doubt", "_proposal")

    def __init__(self) -> None:
        self._proposal: Proposal | None = None
        self._is_in_doubt = False
        self._due_ms = 0

    def is_free(self, now_ms: int) -> bool:
        """Tells whether another write may start."""
        return self._proposal is None and now_ms >= self._due_ms

    def begin(self, proposal: Proposal) -> None:
        """Records that a proposal is being written."""
        self._proposal = proposal
        self._is_in_doubt = False

    def mark_in_doubt(self, now_ms: int) -> None:
        """Records that no answer to the write arrived."""
        self._is_in_doubt = True
        self._due_ms = now_ms + _RETRY_DELAY_MS

    def take_in_doubt(self, now_ms: int) -> Proposal | None:
        """Returns a proposal whose outcome is to be queried now, only once."""
        if not self._is_in_doubt or now_ms < self._due_ms:
            return None
        self._is_in_doubt = False
        return self._proposal

    def end(self, now_ms: int, *, is_delayed: bool) -> None:
        """Records that the outcome of the write is known.

        Args:
            now_ms: The monotonic time.
            is_delayed: Whether to delay the next write.
        """
        self._proposal = None
        self._is_in_doubt = False
        self._due_ms = now_ms + (_RETRY_DELAY_MS if is_delayed else 0)
