"""Timeout of calls to the store that grows while it is slow.

Answers a store that is slow for all nodes, in which the writes of a mass
restart queue up: it goes on with those that were given up, so that nodes that
repeat them too soon prolong the queue that they wait in.
"""

MIN_TIMEOUT_MS = 700
"""The store answers in 4 ms, and in 60 times as long when it is slow."""

MAX_TIMEOUT_MS = 2_800
"""Limits for how long a silent connection goes unnoticed."""

LATENCY_FACTOR = 2
"""Timeout by latency; calls that queue at the same time vary as much."""

LATENCY_DECAY = 0.7
"""What remains of a high latency at the next answer."""


class AdaptiveTimeout:
    """A multiple of the recent latency; a timeout counts as its lower bound."""

    __slots__ = ("_latency_ms",)

    def __init__(self) -> None:
        self._latency_ms = 0.0

    def find_ms(self) -> int:
        """Returns the timeout of the next call in milliseconds."""
        wanted_ms = int(LATENCY_FACTOR * self._latency_ms)
        return max(MIN_TIMEOUT_MS, min(MAX_TIMEOUT_MS, wanted_ms))

    def record_answer(self, took_ms: int) -> None:
        """Records that the store has answered a call."""
        self._latency_ms = max(float(took_ms), LATENCY_DECAY * self._latency_ms)

    def record_timeout(self, timeout_ms: int) -> None:
        """Records that a call had no answer within its timeout."""
        self._latency_ms = max(self._latency_ms, float(timeout_ms))
