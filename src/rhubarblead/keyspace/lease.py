"""Leases on the store's clock, which bound how long a server may hold keys.

A node's row in the store contains the store time at which its lease ends. The
node checks expiry against an upper bound of the store's time, so that it has
stopped before another node can read that time from the store and take over its
keys.
"""

import dataclasses

DURATION_MS = 13_000
"""Covers a store outage of 9 s, even if it begins just before a renewal."""

RENEW_AFTER_MS = 4_000
"""Interval between renewals; 9 s of the lease are left when one fails."""

RETRY_AFTER_MS = 1_000
"""Delay before a failed renewal is retried."""

TAKEOVER_MARGIN_MS = 250
"""Added by other nodes before takeover; allows for timers that fire late."""

MAX_AHEAD_MS = DURATION_MS + 10_000
"""No lease ends later than this after it is read.

A node takes the store's time for later than it is by the time of a call, which
a slow store makes long.
"""

DRIFT_PER_MILLE = 2
"""Assumed upper bound of the drift of a monotonic clock."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClockReading:
    """The store's time in a response.

    `sent_at_ms` is the local time at which the call was sent.
    """

    sent_at_ms: int
    store_ms: int


class StoreClock:
    """Derives an upper bound of the store's time from its responses."""

    __slots__ = ("_sent_at_ms", "_store_ms")

    def __init__(self) -> None:
        self._sent_at_ms = 0
        self._store_ms: int | None = None

    def reset(self) -> None:
        """Forgets all responses, as the store's time may have changed."""
        self._store_ms = None

    @property
    def is_known(self) -> bool:
        """Whether any response of the store was observed."""
        return self._store_ms is not None

    def observe(self, *, sent_at_ms: int, store_ms: int) -> None:
        """Records a response of the store.

        Args:
            sent_at_ms: The local time at which the request was sent.
            store_ms: The store's time in the response.
        """
        self._sent_at_ms = sent_at_ms
        self._store_ms = store_ms

    def estimate(self, now_ms: int) -> int:
        """Returns the store's current time, late by a call's duration at most.

        Raises:
            ValueError: No response of the store was observed.
        """
        if self._store_ms is None:
            raise ValueError("store time unknown: no response observed")
        return self._store_ms + now_ms - self._sent_at_ms

    def find_latest(self, now_ms: int) -> int:
        """Returns the upper bound of the store's current time.

        Raises:
            ValueError: No response of the store was observed.
        """
        elapsed_ms = now_ms - self._sent_at_ms
        drift_ms = elapsed_ms * DRIFT_PER_MILLE // 1_000 + 1
        return self.estimate(now_ms) + drift_ms


class Lease:
    """The lease of one node.

    Times are in milliseconds of a monotonic clock that includes the time in
    which the instance is suspended.
    """

    __slots__ = (
        "_clock",
        "_ends_store_ms",
        "_minimum_end_ms",
        "_previous_era_end_ms",
        "_renew_at_ms",
    )

    def __init__(self, *, store_clock: StoreClock) -> None:
        self._clock = store_clock
        self._previous_era_end_ms: int | None = None
        self._ends_store_ms: int | None = None
        self._renew_at_ms = 0
        self._minimum_end_ms = 0

    def begin_era(self, now_ms: int) -> None:
        """Keeps only what is left of the lease when the store was restored.

        The store's time may have changed, so that the end is kept in local
        time. Renewals count once `end_recovery` was called.
        """
        left_ms = self.find_remaining_ms(now_ms)
        drift_ms = left_ms * DRIFT_PER_MILLE // 1_000 + 1
        self._previous_era_end_ms = now_ms + max(0, left_ms - drift_ms)
        self._ends_store_ms = None
        self._minimum_end_ms = 0
        self._renew_at_ms = 0
        self._clock.reset()

    def drop_previous_era(self) -> None:
        """Gives up what is left of the lease of the era before."""
        self._previous_era_end_ms = 0

    def end_recovery(self) -> None:
        """Makes the renewals since the last restore of the store count."""
        self._previous_era_end_ms = None

    @property
    def is_recovering(self) -> bool:
        """Whether renewals don't count yet, after a restore of the store."""
        return self._previous_era_end_ms is not None

    def set_minimum_end(self, ends_store_ms: int, now_ms: int) -> None:
        """Sets the lease end that an earlier process of this node has written.

        The server may hold keys granted by that process until then, so no
        renewal may write an earlier end. An end that no lease has may be
        another writer's.
        """
        if self._clock.is_known:
            latest_ms = self._clock.find_latest(now_ms) + MAX_AHEAD_MS
            ends_store_ms = min(ends_store_ms, latest_ms)
        self._minimum_end_ms = max(self._minimum_end_ms, ends_store_ms)

    def find_end(self, now_ms: int) -> int:
        """Returns the lease end, in store time, for a renewal sent now.

        While the store's time is unknown, this is the end that an earlier
        process has written, or 0; such a lease grants this process nothing.
        """
        if not self._clock.is_known:
            return self._minimum_end_ms
        ends_ms = self._clock.find_latest(now_ms) + DURATION_MS
        return max(ends_ms, self._minimum_end_ms)

    def record_renewal(self, *, ends_store_ms: int, sent_at_ms: int) -> None:
        """Records that the store has acknowledged a renewal."""
        if not self._clock.is_known or not ends_store_ms:
            self._renew_at_ms = sent_at_ms
            return
        self._ends_store_ms = ends_store_ms
        # An end written by an earlier process may be near.
        left_ms = ends_store_ms - self._clock.find_latest(sent_at_ms)
        elapsed_ms = max(0, DURATION_MS - left_ms)
        self._renew_at_ms = sent_at_ms + max(0, RENEW_AFTER_MS - elapsed_ms)

    def record_failure(self, now_ms: int) -> None:
        """Records that a renewal was not acknowledged; schedules a retry."""
        self._renew_at_ms = now_ms + RETRY_AFTER_MS

    def record_loss(self) -> None:
        """Records that another node has taken over this node's row."""
        self._ends_store_ms = None

    def schedule_renewal_now(self) -> None:
        """Makes the next renewal due immediately."""
        self._renew_at_ms = 0

    @property
    def is_held(self) -> bool:
        """Whether a renewal was acknowledged and the row not lost since."""
        return self._ends_store_ms is not None

    def is_due(self, now_ms: int) -> bool:
        """Tells whether the next renewal is due."""
        return now_ms >= self._renew_at_ms

    def find_remaining_ms(self, now_ms: int) -> int:
        """Returns the guaranteed remaining time, 0 once the lease has ended."""
        if self._previous_era_end_ms is not None:
            return max(0, self._previous_era_end_ms - now_ms)
        if self._ends_store_ms is None:
            return 0
        return max(0, self._ends_store_ms - self._clock.find_latest(now_ms))


def is_expired(*, ends_store_ms: int, store_ms: int) -> bool:
    """Tells whether other nodes may take over the keys of the lease's node.

    Args:
        ends_store_ms: The lease end in the node's row.
        store_ms: The store's time in the response that contained the row.
    """
    return store_ms >= ends_store_ms + TAKEOVER_MARGIN_MS
