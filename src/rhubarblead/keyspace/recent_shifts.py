"""Remembers keys that were handed over lately, until load reports show them.

Answers moves of hot keys: for a second or two, the newest report of the server
that has them is older than the move, and would invite more of them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import traffic

MAX_AGE_MS = 3_500
"""Two intervals of full load reports and half a second; one may be lost."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Shift:
    owner: str
    rate_per_s: float
    at_ms: int


class RecentShifts:
    """The rates that one server has handed over to others lately."""

    __slots__ = ("_shifts",)

    def __init__(self) -> None:
        self._shifts: list[_Shift] = []

    def record(
        self,
        transfers: Iterable[assignment.Transfer],
        rates: Mapping[int, float],
        now_ms: int,
    ) -> None:
        """Records that other owners have got keys.

        Args:
            transfers: The ranges, with their new owners.
            rates: Requests per second by key, before the transfer.
            now_ms: Current time in milliseconds.
        """
        self._shifts = [
            item for item in self._shifts if now_ms - item.at_ms < MAX_AGE_MS
        ]
        for transfer in transfers:
            rate_per_s = sum(
                rate
                for key, rate in rates.items()
                if transfer.first <= key <= transfer.last
            )
            if rate_per_s:
                self._shifts.append(
                    _Shift(
                        owner=transfer.owner,
                        rate_per_s=rate_per_s,
                        at_ms=now_ms,
                    )
                )

    def add_to(
        self, candidates: Iterable[planning.Candidate], now_ms: int
    ) -> list[planning.Candidate]:
        """Adds to each load what its report doesn't show yet.

        Args:
            candidates: Servers with their reported loads.
            now_ms: Current time in milliseconds.

        Returns:
            The same servers, with the load that they are expected to have.
        """
        return [self._add(item, now_ms) for item in candidates]

    def _add(
        self, candidate: planning.Candidate, now_ms: int
    ) -> planning.Candidate:
        reported_at_ms = now_ms - candidate.report_age_ms
        hidden_per_s = sum(
            item.rate_per_s
            for item in self._shifts
            if item.owner == candidate.owner
            and now_ms - item.at_ms < MAX_AGE_MS
            and reported_at_ms < item.at_ms + traffic.MIN_MEASURED_MS
        )
        if not hidden_per_s or not candidate.capacity_per_s:
            return candidate
        return dataclasses.replace(
            candidate,
            load=candidate.load + hidden_per_s / candidate.capacity_per_s,
        )
