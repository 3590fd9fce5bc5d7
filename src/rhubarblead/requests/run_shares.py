"""Estimates how probable it is that a kind of request is running.

A request that runs all the time is running at each crash, also at those that it
didn't cause; the detection of poison requests weighs crashes by this.
"""

import collections
import math

WINDOW_MS = 10_000
"""Time constant of the average over past runs."""

MIN_OBSERVED_MS = 1_000
"""A shorter observation counts as one of this length."""

MAX_FINGERPRINTS = 4_096
"""Bound on memory; the requests that were answered longest ago are dropped."""


class RunShares:
    """Decaying run times by fingerprint. Not thread-safe."""

    __slots__ = ("_busy", "_first_at_ms")

    def __init__(self) -> None:
        self._busy: collections.OrderedDict[int, tuple[float, int]] = (
            collections.OrderedDict()
        )
        self._first_at_ms: int | None = None

    def record(self, fingerprint: int, run_ms: int, now_ms: int) -> None:
        """Records that a request has run.

        Args:
            fingerprint: Fingerprint of the request.
            run_ms: How long it ran, in milliseconds.
            now_ms: Current time in milliseconds.
        """
        if self._first_at_ms is None:
            self._first_at_ms = now_ms - run_ms
        busy_ms = self._find_busy_ms(fingerprint, now_ms) + run_ms
        self._busy[fingerprint] = (busy_ms, now_ms)
        self._busy.move_to_end(fingerprint)
        if len(self._busy) > MAX_FINGERPRINTS:
            self._busy.popitem(last=False)

    def estimate(self, fingerprint: int, now_ms: int) -> float:
        """Estimates the probability that a request is running at any moment.

        Returns:
            The probability that at least one request with the fingerprint is
            running; 0 if none has ended lately.
        """
        if self._first_at_ms is None:
            return 0.0
        observed_ms = max(MIN_OBSERVED_MS, now_ms - self._first_at_ms)
        weight_ms = WINDOW_MS * (1 - math.exp(-observed_ms / WINDOW_MS))
        running_count = self._find_busy_ms(fingerprint, now_ms) / weight_ms
        return 1 - math.exp(-running_count)

    def _find_busy_ms(self, fingerprint: int, now_ms: int) -> float:
        busy_ms, at_ms = self._busy.get(fingerprint, (0.0, now_ms))
        return busy_ms * math.exp((at_ms - now_ms) / WINDOW_MS)
