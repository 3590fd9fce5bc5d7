"""Limit on the request rate of one server.

A token bucket, which also estimates waits and tells refused callers when to
come back. There are two reasons for a limit, of which the lower one holds: the
server states it, or the server is cold. A server that states a limit of 0 still
gets a request now and then: only its responses tell when the limit has ended.
"""

import math

from rhubarblead.requests import slot_use

MIN_RATE_PER_S = 1 / 1.5
"""Rate of requests that find out whether a limit has ended."""

BURST_COUNT = 1.0
BURST_S = 0.25
"""Size of the bucket: one request, and what the limit allows in a run."""

RESUME_DOUBLING_MS = 200.0
"""Time in which the rate doubles after a limit has ended.

A run takes about as long, so the next responses show in time whether the limit
is stated again.
"""

RESUME_MS = 1_600
"""Time after which an ended limit has no effect; the rate doubles 8 times."""

MAX_RETURN_MS = 2_000.0
"""Longest time until a refused caller is told to come back."""

DEVIATIONS = 1.3
"""Standard deviations above the mean; nine in ten waits are shorter."""

HOLD_WAIT_MS = 10.0
"""Wait told while requests are held; a server answers a probe in 1 to 6 ms."""


class RateLimit:
    """The limit in force and the requests sent under it.

    A stated limit holds from the moment at which it is set. After it is lifted,
    the rate grows exponentially until the limit has no effect. The limit of a
    cold server ends at once. `is_held` stops all requests for a moment.
    """

    __slots__ = (
        "_credit_count",
        "_credited_at_ms",
        "_lifted_at_ms",
        "_limit_per_s",
        "_return_at_ms",
        "_sent",
        "_warmup_per_s",
        "is_held",
    )

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        self._lifted_at_ms: int | None = None
        self._credit_count = 0.0
        self._credited_at_ms = 0
        self._return_at_ms = 0.0
        self._sent = slot_use.SlotUse()
        self._warmup_per_s: float | None = None
        self.is_held = False

    @property
    def limit_per_s(self) -> float | None:
        """The stated limit in requests per second, None if there is none."""
        return None if self._lifted_at_ms is not None else self._limit_per_s

    @property
    def in_force_per_s(self) -> float | None:
        """The lower of the limits, None if there is none."""
        return _find_lower(self.limit_per_s, self._warmup_per_s)

    def begin_warmup(self, rate_per_s: float, now_ms: int) -> None:
        """Limits the rate to what the cold server tolerates.

        Args:
            rate_per_s: Requests per second.
            now_ms: Current time in milliseconds.
        """
        self._update_credit(now_ms)
        self._warmup_per_s = rate_per_s
        self._cap_credit(now_ms)

    def end_warmup(self, now_ms: int) -> None:
        """Ends the limit of a cold server."""
        self._update_credit(now_ms)
        self._warmup_per_s = None

    def set(self, limit_per_s: float, now_ms: int) -> None:
        """Sets the limit.

        Args:
            limit_per_s: The limit in requests per second, 0 or more.
            now_ms: Current time in milliseconds.
        """
        self._update_credit(now_ms)
        self._limit_per_s = limit_per_s
        self._lifted_at_ms = None
        self._cap_credit(now_ms)

    def lift(self, now_ms: int) -> None:
        """Ends the limit; has no effect if there is none."""
        if self.limit_per_s is not None:
            self._update_credit(now_ms)
            self._lifted_at_ms = now_ms

    def clear(self) -> None:
        """Forgets the stated limit, as the server has been replaced."""
        self._limit_per_s = None
        self._lifted_at_ms = None
        self._credit_count = 0.0

    def find_rate_per_s(self, now_ms: int) -> float | None:
        """Finds the rate at which requests are sent, None if it is unlimited.

        Args:
            now_ms: Current time in milliseconds.
        """
        return _find_lower(self._find_stated_per_s(now_ms), self._warmup_per_s)

    def _find_stated_per_s(self, now_ms: int) -> float | None:
        if self._limit_per_s is None:
            return None
        rate_per_s = max(MIN_RATE_PER_S, self._limit_per_s)
        if self._lifted_at_ms is None:
            return rate_per_s
        elapsed_ms = now_ms - self._lifted_at_ms
        if elapsed_ms >= RESUME_MS:
            return None
        return rate_per_s * math.pow(2.0, elapsed_ms / RESUME_DOUBLING_MS)

    def find_wait_ms(self, ahead_count: int, now_ms: int) -> float:
        """Finds how long a request must wait for the limit.

        Args:
            ahead_count: Number of requests that are sent before it.
            now_ms: Current time in milliseconds.

        Returns:
            The time in milliseconds, 0 if it may be sent now.
        """
        hold_ms = HOLD_WAIT_MS if self.is_held else 0.0
        rate_per_s = self.find_rate_per_s(now_ms)
        if rate_per_s is None:
            return hold_ms
        self._update_credit(now_ms)
        missing_count = ahead_count + 1 - self._credit_count
        return max(hold_ms, 1_000 * missing_count / rate_per_s)

    def find_longest_wait_ms(
        self, rank_class: slot_use.RankClass, wait_ms: float, now_ms: int
    ) -> float:
        """Estimates a wait for the limit that is unlikely to be exceeded.

        Args:
            rank_class: Class of the request; more urgent ones overtake it.
            wait_ms: Its wait if no other request arrives.
            now_ms: Current time in milliseconds.
        """
        rate_per_s = self.find_rate_per_s(now_ms)
        if rate_per_s is None:
            return 0.0
        stretch = self._sent.find_stretch(
            rank_class, rate_per_s / 1_000, now_ms
        )
        overtaken_ms = wait_ms * (stretch - 1)
        deviation_ms = math.sqrt(overtaken_ms * 1_000 / rate_per_s)
        return stretch * (wait_ms + DEVIATIONS * deviation_ms)

    def record_send(self, rank_class: slot_use.RankClass, now_ms: int) -> None:
        """Records that a request was sent, also while there is no limit.

        Args:
            rank_class: Class of the request.
            now_ms: Current time in milliseconds.
        """
        # Each counts as 1 ms of a slot, so that the use is in sends per ms.
        self._sent.add(rank_class, 1.0, now_ms)
        self._update_credit(now_ms)
        self._credit_count = max(0.0, self._credit_count - 1)

    def plan_return_ms(self, wait_ms: float, now_ms: int) -> float | None:
        """Plans when a refused caller may come back, at the rate of the limit.

        Args:
            wait_ms: When there will be room for it at the earliest.
            now_ms: Current time in milliseconds.

        Returns:
            The time until then in milliseconds, None if there is no limit.
        """
        rate_per_s = self.find_rate_per_s(now_ms)
        if rate_per_s is None:
            return None
        latest_ms = now_ms + MAX_RETURN_MS
        return_at_ms = max(self._return_at_ms, now_ms + wait_ms)
        self._return_at_ms = min(latest_ms, return_at_ms + 1_000 / rate_per_s)
        return self._return_at_ms - now_ms

    def _update_credit(self, now_ms: int) -> None:
        rate_per_s = self.find_rate_per_s(now_ms)
        if rate_per_s is not None:
            elapsed_ms = now_ms - self._credited_at_ms
            self._credit_count += rate_per_s * elapsed_ms / 1_000
            self._cap_credit(now_ms)
        else:
            self._credit_count = 0.0
        self._credited_at_ms = now_ms

    def _cap_credit(self, now_ms: int) -> None:
        rate_per_s = self.find_rate_per_s(now_ms)
        if rate_per_s is not None:
            most_count = BURST_COUNT + BURST_S * rate_per_s
            self._credit_count = min(self._credit_count, most_count)


def _find_lower(first: float | None, second: float | None) -> float | None:
    """Returns the lower one of two rates, of which either may be missing."""
    return min((r for r in (first, second) if r is not None), default=None)
