"""Request rates of the shards of a pool."""

from collections.abc import Mapping
import threading

from rhubarblead import messages

_MS_PER_S = 1_000
_REPORTED_SHARDS = 32
_STALE_MS = 120_000
_RATE_VALID_MS = 60_000


class ShardTraffic:
    """Counts the requests to a node's own shards. Thread-safe."""

    __slots__ = ("_counts", "_lock", "_since_ms")

    def __init__(self, *, now_ms: int) -> None:
        self._counts: dict[int, int] = {}
        self._lock = threading.Lock()
        self._since_ms = now_ms

    def count(self, shard: int) -> None:
        """Counts one request to a shard."""
        with self._lock:
            self._counts[shard] = self._counts.get(shard, 0) + 1

    def collect_rates(self, *, now_ms: int) -> dict[int, float]:
        """Returns the rates since the last call, and resets the counts.

        Args:
            now_ms: The monotonic time.

        Returns:
            Requests per second by shard.
        """
        with self._lock:
            counts, self._counts = self._counts, {}
            elapsed_ms, self._since_ms = now_ms - self._since_ms, now_ms
        if elapsed_ms <= 0:
            return {}
        return {
            shard: count * _MS_PER_S / elapsed_ms
            for shard, count in counts.items()
        }


def make_report(
    *, member_id: str, pool: str, rates: Mapping[int, float], owned_count: int
) -> messages.ShardLoads:
    """Builds a bounded report of the busiest shards and the mean of the rest.

    Args:
        member_id: The member ID of the owner.
        pool: The pool of the shards.
        rates: Requests per second of the shards that had any requests.
        owned_count: The number of shards that the owner has.

    Returns:
        The report for the node that plans the pool's assignment.
    """
    ranked = sorted(rates.items(), key=lambda item: (-item[1], item[0]))
    listed = ranked[:_REPORTED_SHARDS]
    rest = ranked[_REPORTED_SHARDS:]
    rest_count = max(1, owned_count - len(listed))
    return messages.ShardLoads(
        member_id=member_id,
        pool=pool,
        shards=tuple(shard for shard, _ in listed),
        rates_rps=tuple(rate for _, rate in listed),
        rest_rps=sum(rate for _, rate in rest) / rest_count,
    )


class LoadReports:
    """The newest load reports of the owners of a pool, for a planner.

    A shard that has just moved is not yet in the report of its new owner. Until
    then, the rate from the old owner's report is used: if the shard counted as
    idle, the planner would assign further shards to the new owner.
    """

    __slots__ = ("_rates", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, tuple[int, messages.ShardLoads]] = {}
        self._rates: dict[tuple[str, int], tuple[int, float]] = {}

    def record(self, report: messages.ShardLoads, now_ms: int) -> None:
        """Replaces the owner's earlier report."""
        self._reports[report.member_id] = (now_ms, report)
        for shard, rate in zip(report.shards, report.rates_rps, strict=True):
            self._rates[report.pool, shard] = (now_ms, rate)

    def find_loads(
        self, *, pool: str, owners: list[str], now_ms: int
    ) -> dict[int, float]:
        """Finds the known rates of a pool's shards.

        Args:
            pool: The pool.
            owners: The owner of each shard, by shard number.
            now_ms: The monotonic time, by which stale reports are dropped.

        Returns:
            Requests per second by shard.
        """
        self._drop_old(now_ms)
        loads = {}
        for shard, owner in enumerate(owners):
            known = self._rates.get((pool, shard))
            reported = self._reports.get(owner)
            if known is not None and now_ms - known[0] < _RATE_VALID_MS:
                loads[shard] = known[1]
            elif reported is not None and reported[1].pool == pool:
                loads[shard] = reported[1].rest_rps
        return loads

    def _drop_old(self, now_ms: int) -> None:
        self._reports = {
            member_id: (at_ms, report)
            for member_id, (at_ms, report) in self._reports.items()
            if now_ms - at_ms < _STALE_MS
        }
        self._rates = {
            pool_and_shard: (at_ms, rate)
            for pool_and_shard, (at_ms, rate) in self._rates.items()
            if now_ms - at_ms < _STALE_MS
        }
