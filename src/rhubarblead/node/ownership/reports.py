"""Reports of how many requests the shards get, to the member that plans."""

from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead.node.requests import traffic

_INTERVAL_MS = 5_000
_MS_PER_MEMBER = 20


class LoadReports:
    """The own report, when it is due, and those that others have sent."""

    __slots__ = ("_book", "_due_ms", "_traffic")

    def __init__(self, *, shard_traffic: traffic.ShardTraffic) -> None:
        """Makes an empty book.

        Args:
            shard_traffic: Counts the requests of this node.
        """
        self._book = traffic.LoadBook()
        self._traffic = shard_traffic
        self._due_ms = 0

    def take(self, report: messages.ShardLoads, now_ms: int) -> None:
        """Takes a report, of this node or another."""
        self._book.take(report, now_ms)

    def find_report(
        self, *, state: ownership.State, member_id: str, now_ms: int
    ) -> tuple[str, messages.ShardLoads] | None:
        """Makes the own report when it is due.

        Returns:
            The member that plans, and the report; nothing when it isn't due.
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
            rates=self._traffic.take_rates(now_ms=now_ms),
            owned_count=owned,
        )
        return pool[0].member_id, report

    def find_loads(
        self, *, pool: str, state: ownership.State, now_ms: int
    ) -> dict[int, float]:
        """Finds the load of each shard of a pool, by the reports."""
        return self._book.find_loads(
            pool=pool, owners=state.assignments[pool].owners, now_ms=now_ms
        )
