"""Keeps slots of one server for the calls that other servers make.

Answers calls of 60 ms that come while all slots are taken by runs of a second:
the request that made the call holds a slot of its own meanwhile, and fails when
the call comes too late.
"""

import math

WINDOW_MS = 3_000.0
"""Over which the load of calls is taken; bursts last about as long."""

ROUNDING = 0.5
"""From half a slot on, one is kept."""


class CallLoad:
    """The slots that calls have used lately, on the average."""

    __slots__ = ("_at_ms", "_load")

    def __init__(self) -> None:
        self._at_ms = 0
        self._load = 0.0

    def add(self, taken_ms: float, now_ms: int) -> None:
        """Takes note of a call that has ended.

        Args:
            taken_ms: How long it held a slot.
            now_ms: The present moment.
        """
        self._load = self._find(now_ms) + taken_ms / WINDOW_MS
        self._at_ms = now_ms

    def find_slots(self, now_ms: int) -> int:
        """Finds how many slots to keep for calls."""
        return int(self._find(now_ms) + ROUNDING)

    def _find(self, now_ms: int) -> float:
        return self._load * math.exp((self._at_ms - now_ms) / WINDOW_MS)
