"""Use of one server's slots by class of request.

A request waits not only for those that are ahead of it when it arrives, but
also for the more urgent ones that arrive while it waits.
"""

import math
from typing import TypeAlias

WINDOW_MS = 3_000.0
"""Time constant of the averages; bursts last about as long."""

MAX_SHARE = 0.95
"""Upper limit of the share of the slots that more urgent requests use."""

RankClass: TypeAlias = tuple[bool, bool, int]
"""Start of a request's rank: not a call, late, priority; least goes first."""


class _Load:
    """Moving average of the slots in use."""

    __slots__ = ("_at_ms", "_load")

    def __init__(self) -> None:
        self._at_ms = 0
        self._load = 0.0

    def add(self, taken_ms: float, now_ms: int) -> None:
        """Records that a slot was in use."""
        self._load = self.find(now_ms) + taken_ms / WINDOW_MS
        self._at_ms = now_ms

    def find(self, now_ms: int) -> float:
        """Finds the number of slots in use."""
        return self._load * math.exp((self._at_ms - now_ms) / WINDOW_MS)


class SlotUse:
    """Slots in use by each class of requests."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[RankClass, _Load] = {}

    def add(self, rank_class: RankClass, taken_ms: float, now_ms: int) -> None:
        """Records a run that has ended.

        Args:
            rank_class: The class that the request had when it started.
            taken_ms: How long it held a slot.
            now_ms: Current time in milliseconds.
        """
        self._loads.setdefault(rank_class, _Load()).add(taken_ms, now_ms)

    def count_calls(self, now_ms: int) -> int:
        """Counts the slots in use by calls, rounded to the nearest."""
        in_use = sum(
            load.find(now_ms)
            for (is_no_call, _, _), load in self._loads.items()
            if not is_no_call
        )
        return int(in_use + 0.5)

    def find_stretch(
        self, rank_class: RankClass, slot_count: float, now_ms: int
    ) -> float:
        """Finds the factor by which more urgent requests stretch a wait.

        In a queue with priorities, the mean wait of a class grows by the
        inverse of the share of the slots that more urgent classes leave to it.
        """
        in_use = sum(
            load.find(now_ms)
            for other_class, load in self._loads.items()
            if other_class < rank_class
        )
        return 1.0 / (1.0 - min(MAX_SHARE, in_use / slot_count))
