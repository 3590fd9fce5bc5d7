"""Tells whether a server is cold, and limits the requests that it gets then.

A server is cold for some seconds after its start, and may become so again
without notice. A cold server crashes under its ordinary load. So a server
counts as warm only for the few requests that even a cold one takes; by then it
must have said again that it is warm.
"""

import dataclasses
import enum
import math

from rhubarblead.requests import rate_limit

PROBE_SHARE = 0.7
"""Share of the allowance after which the server is asked.

The rest is sent while its answer is on the way, so that nothing waits for it.
"""

MIN_ALLOWANCE_COUNT = 2
"""Requests between two proofs that a server is warm, if the bound is tight."""

HOLD_MS = 150
"""How long requests are held for a proof before the server counts as cold."""

HEARTBEATS_AFTER_DOUBT = 2
"""Heartbeats that prove that a server in doubt is warm.

A single one may have been delayed, and be of before the doubt.
"""


class Source(enum.Enum):
    """Where a statement of the server comes from."""

    HEARTBEAT = "heartbeat"
    PROBE = "probe"


class Warmth(enum.Enum):
    """What is known of a server."""

    WARM = "warm"
    HELD = "held"
    COLD = "cold"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Warmup:
    """What the cold servers of a service take.

    `rate_per_s` is the rate of requests that one tolerates, `most_count` the
    number of requests in any second that it must not get.
    """

    rate_per_s: float
    most_count: float

    @property
    def allowance_count(self) -> int:
        """Requests that may be sent between two proofs of warmth.

        In the second in which the server turns cold it gets these, and then
        those that the rate allows.
        """
        spare_count = math.ceil(self.most_count - self.rate_per_s) - 2
        return max(MIN_ALLOWANCE_COUNT, spare_count)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WarmupBounds:
    """How many requests a cold server may get beyond what it tolerates.

    In one second it must not get more than `overage` times the tolerated rate
    and `slack_count`.
    """

    overage: float = 1.5
    slack_count: float = 5.0

    def make_warmup(self, rate_per_s: float) -> Warmup:
        """Makes the bound of a service whose cold servers tolerate a rate."""
        most_count = rate_per_s * self.overage + self.slack_count
        return Warmup(rate_per_s=rate_per_s, most_count=most_count)


class ColdStart:
    """Whether one server is cold; applies the limit while it may be."""

    __slots__ = (
        "_cold_until_ms",
        "_doubt_heartbeat_count",
        "_held_at_ms",
        "_is_in_doubt",
        "_limit",
        "_unproven_count",
        "_warmth",
        "_warmup",
    )

    def __init__(self, *, limit: rate_limit.RateLimit) -> None:
        """Creates the state of a server of which nothing is known.

        Args:
            limit: The limit to apply.
        """
        self._limit = limit
        self._warmup: Warmup | None = None
        self._warmth = Warmth.COLD
        self._cold_until_ms: int | None = None
        self._held_at_ms = 0
        self._unproven_count = 0
        self._is_in_doubt = False
        self._doubt_heartbeat_count = 0

    @property
    def warmth(self) -> Warmth:
        """What is known of the server; `WARM` if its service has no bound."""
        return Warmth.WARM if self._warmup is None else self._warmth

    def set_warmup(self, warmup: Warmup | None, now_ms: int) -> None:
        """Sets what cold servers take; None if that has no bound."""
        if warmup == self._warmup:
            return
        self._warmup = warmup
        self._apply(now_ms)

    def reset(self, now_ms: int) -> None:
        """Begins with a new server process, of which nothing is known."""
        self._is_in_doubt = False
        self._cold_until_ms = None
        self._set(Warmth.COLD, now_ms)

    def doubt(self) -> None:
        """Records a sign that the server may have started again.

        The requests that it may get until it is proved warm are not more for
        that: it has got those that were sent since the last proof.
        """
        self._is_in_doubt = True
        self._doubt_heartbeat_count = 0

    def hold(self, now_ms: int) -> None:
        """Holds all requests until the server has said whether it is cold."""
        self.doubt()
        if self._warmth is Warmth.WARM:
            self._held_at_ms = now_ms
            self._set(Warmth.HELD, now_ms)

    def record_statement(
        self, remaining_ms: float, source: Source, now_ms: int
    ) -> None:
        """Records how long the server says that it stays cold.

        Args:
            remaining_ms: The time in milliseconds, 0 if it is warm.
            source: Where it says so.
            now_ms: Current time in milliseconds.
        """
        if remaining_ms > 0:
            self._is_in_doubt = False
            self._cold_until_ms = now_ms + math.ceil(remaining_ms)
            self._set(Warmth.COLD, now_ms)
            return
        if source is Source.HEARTBEAT and self._is_in_doubt:
            self._doubt_heartbeat_count += 1
            if self._doubt_heartbeat_count < HEARTBEATS_AFTER_DOUBT:
                return
        self._is_in_doubt = False
        self._unproven_count = 0
        self._cold_until_ms = None
        self._set(Warmth.WARM, now_ms)

    def record_send(self, now_ms: int) -> None:
        """Records that a request is sent to the server."""
        if self._warmup is None or self._warmth is not Warmth.WARM:
            return
        self._unproven_count += 1
        if self._unproven_count >= self._warmup.allowance_count:
            self._held_at_ms = now_ms
            self._set(Warmth.HELD, now_ms)

    def advance(self, now_ms: int) -> None:
        """Takes a server for cold that hasn't proved the contrary in time."""
        is_held = self._warmth is Warmth.HELD
        if is_held and now_ms - self._held_at_ms >= HOLD_MS:
            self._set(Warmth.COLD, now_ms)

    def must_probe(self, now_ms: int) -> bool:
        """Returns whether the server should be asked whether it is cold."""
        if self._warmup is None:
            return False
        if self._is_in_doubt or self._warmth is Warmth.HELD:
            return True
        if self._warmth is Warmth.COLD:
            until_ms = self._cold_until_ms
            return until_ms is None or now_ms >= until_ms
        probed_count = PROBE_SHARE * self._warmup.allowance_count
        return self._unproven_count >= probed_count

    def _set(self, warmth: Warmth, now_ms: int) -> None:
        self._warmth = warmth
        self._apply(now_ms)

    def _apply(self, now_ms: int) -> None:
        """Applies the limit that follows from what is known."""
        warmup = self._warmup
        self._limit.is_held = self.warmth is Warmth.HELD
        if warmup is not None and self._warmth is Warmth.COLD:
            self._limit.begin_warmup(warmup.rate_per_s, now_ms)
        else:
            self._limit.end_warmup(now_ms)
