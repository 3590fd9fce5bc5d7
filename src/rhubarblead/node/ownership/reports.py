"""Reports of the load of each shard to the member that plans."""

from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead.node.requests import traffic

_INTERVAL_MS = 5_000
_MS_PER_MEMBER = 20


class LoadReporter:
    """Makes this node's reports when due, and collects those of others."""

    __slots__ = ("_load_reports", "_due_ms", "_traffic")

    def __init__(self, *, shard_traffic: traffic.ShardTraffic) -> None:
        """Starts without any reports.

        Args:
            shard_traffic: Counts the requests of this node.
        """
        self._load_reports = traffic.LoadReports()
        self._traffic = shard_traffic
        self._due_ms = 0

    def add_report(self, report: messages.ShardLoads, now_ms: int) -> None:
        """Adds a report of this node or another."""
        self._load_reports.record(report, now_ms)

    def find_report(
        self, *, state: ownership.State, member_id: str, now_ms: int
    ) -> tuple[str, messages.ShardLoads] | None:
        """Makes this node's report if it is due.

        Returns:
            The id of the planning member, and the report; None if not due.
        """
        record = state.members.get(member_id)
        if record is None or record.pool not in state.assignments:
            return None
        if now_ms < self._due_ms:
            return None
        pool = state.list_pool_members(record.pool)
        self._due_ms = now_ms + max(_INTERVAL_MS, _MS_PER_MEMBER * len(pool))
        owned = state.assignments[record.pool].owners.count(member_id)
        report = traffic.make_report(
            member_id=member_id,
            pool=record.pool,
            rates=self._traffic.collect_rates(now_ms=now_ms),
            owned_count=owned,
        )
        return pool[0].member_id, report

    def find_loads(
        self, *, pool: str, state: ownership.State, now_ms: int
    ) -> dict[int, float]:
        """Finds the load of each shard of a pool from the reports."""
        return self._load_reports.find_loads(
            pool=pool, owners=state.assignments[pool].owners, now_ms=now_ms
        )
