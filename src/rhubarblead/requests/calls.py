"""Reserves slots of one server for nested calls from other servers.

Without reserved slots, calls of 60 ms wait while runs of a second take all
slots. The request that made the call holds a slot of its own meanwhile, and
fails if the call is answered too late.
"""

import math

WINDOW_MS = 3_000.0
"""Time constant of the load average; bursts last about as long."""

ROUNDING = 0.5
"""Rounds half a slot up, so that a slot is reserved from 0.5 on."""


class CallLoad:
    """Moving average of the slots in use by calls."""

    __slots__ = ("_at_ms", "_load")

    def __init__(self) -> None:
        self._at_ms = 0
        self._load = 0.0

    def add(self, taken_ms: float, now_ms: int) -> None:
        """Records a call that has ended.

        Args:
            taken_ms: How long the call held a slot.
            now_ms: Current time in milliseconds.
        """
        self._load = self._find(now_ms) + taken_ms / WINDOW_MS
        self._at_ms = now_ms

    def find_slots(self, now_ms: int) -> int:
        """Finds the number of slots to reserve for calls."""
        return int(self._find(now_ms) + ROUNDING)

    def _find(self, now_ms: int) -> float:
        return self._load * math.exp((self._at_ms - now_ms) / WINDOW_MS)
