"""When a node may let its server hold keys, by the store's clock.

A node's row names the store time at which its lease ends. The node stops by an
upper bound of the store's time, so that it has stopped before any other reads
that time from the store and takes its keys.
"""

DURATION_MS = 13_000
"""Bridges outages of the store of 9 s after the latest renewal but one."""

RENEW_AFTER_MS = 4_000
"""Between renewals; a lost one leaves 9 s."""

RETRY_AFTER_MS = 1_000
"""After a renewal that failed."""

TAKEOVER_MARGIN_MS = 250
"""Added by others, for timers that fire late."""

DRIFT_PER_MILLE = 2
"""Most by which a steady clock is taken to run wrong."""


class StoreClock:
    """Bounds the store's time from its answers. Times in milliseconds."""

    __slots__ = ("_asked_at_ms", "_store_ms")

    def __init__(self) -> None:
        self._asked_at_ms = 0
        self._store_ms: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether any answer was seen."""
        return self._store_ms is not None

    def observe(self, *, asked_at_ms: int, store_ms: int) -> None:
        """Takes an answer's time, and when its question was sent."""
        self._asked_at_ms = asked_at_ms
        self._store_ms = store_ms

    def find_latest(self, now_ms: int) -> int:
        """Finds the latest that the store's clock can show now."""
        if self._store_ms is None:
            raise ValueError("no answer of the store was seen")
        elapsed_ms = now_ms - self._asked_at_ms
        drift_ms = elapsed_ms * DRIFT_PER_MILLE // 1_000 + 1
        return self._store_ms + elapsed_ms + drift_ms


class Lease:
    """The lease of one node. Times in milliseconds of a clock that goes on.

    The clock must also count the time in which the instance is suspended.
    """

    __slots__ = ("_clock", "_minimum_end_ms", "_ends_store_ms", "_renew_at_ms")

    def __init__(self, *, store_clock: StoreClock) -> None:
        self._clock = store_clock
        self._ends_store_ms: int | None = None
        self._renew_at_ms = 0
        self._minimum_end_ms = 0

    def set_minimum_end(self, ends_store_ms: int) -> None:
        """Takes the end that an earlier process of this node has named.

        The server may hold keys until then by what that process has granted,
        so that no renewal may name an earlier end.
        """
        self._minimum_end_ms = max(self._minimum_end_ms, ends_store_ms)

    def find_end(self, now_ms: int) -> int:
        """Finds the store time that a renewal that is sent now may name.

        While the store's time isn't known, it is that of an earlier process,
        or 0: such a lease gives this process no right.
        """
        if not self._clock.is_known:
            return self._minimum_end_ms
        ends_ms = self._clock.find_latest(now_ms) + DURATION_MS
        return max(ends_ms, self._minimum_end_ms)

    def record_renewal(self, *, ends_store_ms: int, sent_at_ms: int) -> None:
        """Takes note that the store has acknowledged a renewal."""
        if not self._clock.is_known or not ends_store_ms:
            self._renew_at_ms = sent_at_ms
            return
        self._ends_store_ms = ends_store_ms
        # The end of an earlier process may be near.
        left_ms = ends_store_ms - self._clock.find_latest(sent_at_ms)
        elapsed_ms = max(0, DURATION_MS - left_ms)
        self._renew_at_ms = sent_at_ms + max(0, RENEW_AFTER_MS - elapsed_ms)

    def record_failure(self, now_ms: int) -> None:
        """Takes note that a renewal was not acknowledged."""
        self._renew_at_ms = now_ms + RETRY_AFTER_MS

    def record_loss(self) -> None:
        """Takes note that the row was taken by another."""
        self._ends_store_ms = None

    def schedule_renewal_now(self) -> None:
        """Makes a renewal due at once."""
        self._renew_at_ms = 0

    @property
    def is_held(self) -> bool:
        """Whether a renewal was ever acknowledged and not taken away."""
        return self._ends_store_ms is not None

    def is_due(self, now_ms: int) -> bool:
        """Tells whether it is time to renew."""
        return now_ms >= self._renew_at_ms

    def find_remaining_ms(self, now_ms: int) -> int:
        """Finds how long the lease certainly lasts, 0 when it has ended."""
        if self._ends_store_ms is None:
            return 0
        return max(0, self._ends_store_ms - self._clock.find_latest(now_ms))


def is_expired(*, ends_store_ms: int, store_ms: int) -> bool:
    """Tells whether others may take the keys of a lease's node.

    Args:
        ends_store_ms: What the node's row names.
        store_ms: The store's time in the answer that showed the row.
    """
    return store_ms >= ends_store_ms + TAKEOVER_MARGIN_MS
