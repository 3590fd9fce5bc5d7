"""Load balancing within a pool, by power of two random choices.

Of two random servers, the one with the lower expected wait is chosen: requests
in flight from this balancer, times the observed latency. Load that servers
report adjusts this by a weight that falls while reports contradict the observed
latency.
"""

from collections.abc import Sequence
import enum
import math
import random

INITIAL_LATENCY_MS = 5.0
MIN_LATENCY_MS = 0.5
RISE_WEIGHT = 0.3
FALL_WEIGHT = 0.1
LATENCY_HALF_LIFE_MS = 5_000
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
INITIAL_SHED_BACK_OFF_MS = 2
MAX_SHED_BACK_OFF_MS = 16
MIN_RAMP = 0.1
READMISSION_RAMP_MS = 1_000
REPORT_WEIGHT = 0.5
MAX_REPORT_AGE_MS = 2_000
BUSY_SHARE = 0.8
IDLE_SHARE = 0.3
BUSY_LATENCY_RATIO = 2.0
IDLE_LATENCY_RATIO = 1.3
TRUST_GAIN = 0.1
TRUST_LOSS = 0.5

_CHOICES = 2


class Outcome(enum.Enum):
    """How a request to a server ended."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class _Server:
    """Observed and reported state of one server."""

    __slots__ = (
        "back_off_ms",
        "back_off_until_ms",
        "ejected_until_ms",
        "ejection_ms",
        "failure_count",
        "updated_at_ms",
        "in_flight_count",
        "is_probing",
        "latency_ms",
        "lowest_latency_ms",
        "ramp_from_ms",
        "ramp_length_ms",
        "reported_at_ms",
        "reported_share",
        "trust",
    )

    def __init__(self) -> None:
        self.in_flight_count = 0
        self.latency_ms = INITIAL_LATENCY_MS
        self.lowest_latency_ms = 0.0
        self.updated_at_ms = 0
        self.failure_count = 0
        self.ejection_ms = 0
        self.ejected_until_ms = 0
        self.is_probing = False
        self.back_off_ms = 0
        self.back_off_until_ms = 0
        self.ramp_from_ms = 0
        self.ramp_length_ms = 0
        self.reported_share = 0.0
        self.reported_at_ms = -MAX_REPORT_AGE_MS
        self.trust = 1.0

    def find_latency_ms(self, now_ms: int) -> float:
        """Finds the latency, which decays while there are no responses."""
        idle_ms = max(0, now_ms - self.updated_at_ms)
        decay = math.pow(0.5, idle_ms / LATENCY_HALF_LIFE_MS)
        return max(MIN_LATENCY_MS, self.latency_ms * decay)

    def find_ramp(self, now_ms: int) -> float:
        """Finds the share of the full load during slow start, up to 1."""
        if not self.ramp_length_ms:
            return 1.0
        age_ms = now_ms - self.ramp_from_ms
        return min(1.0, max(MIN_RAMP, age_ms / self.ramp_length_ms))

    def find_cost(self, now_ms: int) -> float:
        """Estimates the wait of one more request, in milliseconds."""
        cost = (self.in_flight_count + 1) * self.find_latency_ms(now_ms)
        if now_ms - self.reported_at_ms <= MAX_REPORT_AGE_MS:
            cost *= 1 + REPORT_WEIGHT * self.trust * self.reported_share
        return cost / self.find_ramp(now_ms)


class Balancer:
    """Chooses among the servers of one pool. Not thread-safe."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._servers: dict[str, _Server] = {}

    def choose(self, servers: Sequence[str], now_ms: int) -> str | None:
        """Chooses a server; the caller must then call `begin`.

        Args:
            servers: The servers to choose from.
            now_ms: Current time in milliseconds.

        Returns:
            A server, or None if all back off after shedding load. If all that
            do not back off are ejected, an ejected server is returned.
        """
        available = [s for s in servers if self._is_available(s, now_ms)]
        if not available:
            available = [
                s for s in servers if not self._is_backing_off(s, now_ms)
            ]
        if not available:
            return None
        drawn = self._random.sample(available, min(_CHOICES, len(available)))
        return min(drawn, key=lambda s: self._find(s).find_cost(now_ms))

    def begin(self, name: str, now_ms: int) -> None:
        """Records the start of a request to a server."""
        server = self._find(name)
        server.in_flight_count += 1
        if server.ejection_ms and now_ms >= server.ejected_until_ms:
            server.is_probing = True

    def finish(
        self,
        name: str,
        *,
        outcome: Outcome,
        latency_ms: float,
        now_ms: int,
        retry_after_ms: int = 0,
    ) -> None:
        """Records the end of a request to a server.

        Args:
            name: The server.
            outcome: How the request ended.
            latency_ms: Time since `begin`.
            now_ms: Current time in milliseconds.
            retry_after_ms: Upper bound of the back-off, as sent by a server
                that shed the request.
        """
        server = self._find(name)
        server.in_flight_count -= 1
        server.is_probing = False
        match outcome:
            case Outcome.ANSWERED:
                self._record_response(server, latency_ms, now_ms)
            case Outcome.SHED:
                self._record_shed(server, retry_after_ms, now_ms)
            case Outcome.FAILED:
                self._record_failure(server, now_ms)
            case Outcome.CANCELLED:
                pass

    def record_report(
        self, name: str, *, in_flight: int, slots: int, now_ms: int
    ) -> None:
        """Records the load that a server reports, which is only a hint."""
        server = self._find(name)
        share = min(1.0, in_flight / max(1, slots))
        server.reported_share = share
        server.reported_at_ms = now_ms
        if not server.lowest_latency_ms:
            return
        ratio = server.find_latency_ms(now_ms) / server.lowest_latency_ms
        is_overstated = share > BUSY_SHARE and ratio < IDLE_LATENCY_RATIO
        is_understated = share < IDLE_SHARE and ratio > BUSY_LATENCY_RATIO
        if is_overstated or is_understated:
            server.trust *= TRUST_LOSS
        else:
            server.trust += TRUST_GAIN * (1 - server.trust)

    def record_start(
        self, name: str, *, cold_start_ms: int, now_ms: int
    ) -> None:
        """Records the start of a server, which needs a slow start."""
        server = _Server()
        server.in_flight_count = self._find(name).in_flight_count
        server.ramp_from_ms = now_ms
        server.ramp_length_ms = cold_start_ms
        server.updated_at_ms = now_ms
        self._servers[name] = server

    def retain(self, servers: Sequence[str]) -> None:
        """Drops the state of all other servers."""
        kept = set(servers)
        for name in [n for n in self._servers if n not in kept]:
            del self._servers[name]

    def is_ejected(self, name: str, now_ms: int) -> bool:
        """Returns whether a server is ejected because of its failures."""
        server = self._find(name)
        return server.is_probing or now_ms < server.ejected_until_ms

    def find_trust(self, name: str) -> float:
        """Finds the weight of a server's reports, from 0 to 1."""
        return self._find(name).trust

    def _find(self, name: str) -> _Server:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _Server()
        return server

    def _is_available(self, name: str, now_ms: int) -> bool:
        is_ejected = self.is_ejected(name, now_ms)
        return not is_ejected and not self._is_backing_off(name, now_ms)

    def _is_backing_off(self, name: str, now_ms: int) -> bool:
        return now_ms < self._find(name).back_off_until_ms

    def _record_response(
        self, server: _Server, latency_ms: float, now_ms: int
    ) -> None:
        if server.ejection_ms:
            server.ejection_ms = 0
            server.ramp_from_ms = now_ms
            server.ramp_length_ms = READMISSION_RAMP_MS
        server.failure_count = 0
        server.back_off_ms = 0
        before_ms = server.find_latency_ms(now_ms)
        is_rising = latency_ms > before_ms
        weight = RISE_WEIGHT if is_rising else FALL_WEIGHT
        if not server.lowest_latency_ms:
            weight = 1.0
            server.lowest_latency_ms = latency_ms
        server.latency_ms = before_ms + (latency_ms - before_ms) * weight
        server.lowest_latency_ms = min(
            server.lowest_latency_ms, server.latency_ms
        )
        server.updated_at_ms = now_ms

    def _record_shed(
        self, server: _Server, retry_after_ms: int, now_ms: int
    ) -> None:
        doubled_ms = max(INITIAL_SHED_BACK_OFF_MS, 2 * server.back_off_ms)
        # Servers state Retry-After in seconds, which is far longer than it
        # takes to free some slots.
        longest_ms = min(MAX_SHED_BACK_OFF_MS, retry_after_ms)
        server.back_off_ms = min(doubled_ms, longest_ms)
        spread_ms = self._random.randint(0, server.back_off_ms // 2)
        server.back_off_until_ms = now_ms + server.back_off_ms + spread_ms

    def _record_failure(self, server: _Server, now_ms: int) -> None:
        server.failure_count += 1
        is_readmission = server.ejection_ms > 0
        if server.failure_count < FAILURES_TO_EJECT and not is_readmission:
            return
        doubled_ms = max(INITIAL_EJECTION_MS, 2 * server.ejection_ms)
        server.ejection_ms = min(doubled_ms, MAX_EJECTION_MS)
        server.ejected_until_ms = now_ms + server.ejection_ms
