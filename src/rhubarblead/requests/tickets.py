"""Requests that wait for a slot, ordered so that counting them is cheap.

Requests that differ only in their times form a group, sorted by target and by
deadline. What depends on the time, as whether a request is late, then splits
each group at one position.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math
from typing import TypeAlias

from rhubarblead.requests import slot_use


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request that needs a slot; times are in milliseconds.

    `is_call` marks nested calls from other servers. `may_wait` is false if the
    request should go to another server rather than wait. `key` is None for
    requests that any server of the service may run. `transfer_wait_ms` is the
    expected wait of its response for the instance's link.
    """

    number: int
    route: str
    priority: int
    is_call: bool
    target_at_ms: int
    deadline_at_ms: int
    may_wait: bool = True
    key: int | None = None
    transfer_wait_ms: float = 0.0


Rank: TypeAlias = tuple[bool, bool, int, int]
"""Not a call, late, priority, target; the least goes first."""

FindServiceMs: TypeAlias = Callable[[str], float]

_GroupKey: TypeAlias = tuple[bool, int, str]


def find_rank(ticket: Ticket, service_ms: float, now_ms: int) -> Rank:
    """Finds the rank of a request.

    Args:
        ticket: The request.
        service_ms: Mean service time of its route.
        now_ms: Current time in milliseconds.
    """
    return (
        not ticket.is_call,
        now_ms + service_ms > ticket.target_at_ms,
        ticket.priority,
        ticket.target_at_ms,
    )


class _Group:
    """Tickets of one route and priority, as pairs of a time and a number."""

    __slots__ = ("by_deadline", "by_target", "is_call", "priority", "route")

    def __init__(self, *, key: _GroupKey) -> None:
        self.is_call, self.priority, self.route = key
        self.by_target: list[tuple[int, int]] = []
        self.by_deadline: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self.by_target)

    def list_parts(
        self, late_count: int
    ) -> tuple[tuple[slot_use.RankClass, int, int], ...]:
        """Lists the late and the other tickets, as ranges of `by_target`."""
        count = len(self.by_target)
        return (
            ((not self.is_call, False, self.priority), late_count, count),
            ((not self.is_call, True, self.priority), 0, late_count),
        )


class WaitingTickets:
    """The tickets of one server that wait for a slot."""

    __slots__ = ("_find_service_ms", "_groups", "_tickets")

    def __init__(
        self, *, find_service_ms: FindServiceMs, tickets: Iterable[Ticket] = ()
    ) -> None:
        """Creates the collection.

        Args:
            find_service_ms: Returns the mean service time of a route.
            tickets: The first tickets.
        """
        self._find_service_ms = find_service_ms
        self._tickets: dict[int, Ticket] = {}
        self._groups: dict[_GroupKey, _Group] = {}
        for ticket in tickets:
            self.add(ticket)

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._tickets.values())

    def add(self, ticket: Ticket) -> None:
        """Adds a ticket."""
        key = (ticket.is_call, ticket.priority, ticket.route)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(key=key)
        self._tickets[ticket.number] = ticket
        bisect.insort(group.by_target, (ticket.target_at_ms, ticket.number))
        bisect.insort(group.by_deadline, (ticket.deadline_at_ms, ticket.number))

    def remove(self, number: int) -> Ticket | None:
        """Removes a ticket; returns None if there is none of that number."""
        ticket = self._tickets.pop(number, None)
        if ticket is None:
            return None
        key = (ticket.is_call, ticket.priority, ticket.route)
        group = self._groups[key]
        for times, at_ms in (
            (group.by_target, ticket.target_at_ms),
            (group.by_deadline, ticket.deadline_at_ms),
        ):
            del times[bisect.bisect_left(times, (at_ms, number))]
        if not group.by_target:
            del self._groups[key]
        return ticket

    def count_ahead(self, rank: Rank, now_ms: int) -> list[tuple[str, int]]:
        """Counts the tickets that go before a rank, or have the same one.

        Returns:
            Routes and counts; a route may occur more than once.
        """
        return [
            (group.route, end - start)
            for group, start, end in self._list_ahead(rank, now_ms)
        ]

    def count_late(
        self, start_ms: float, now_ms: int, rank: Rank | None = None
    ) -> int:
        """Counts the tickets that miss their target if sent at a time.

        Args:
            start_ms: The time.
            now_ms: Current time in milliseconds.
            rank: Counts only those that `count_ahead` counts; None for all.
        """
        parts = (
            self._list_ahead(rank, now_ms)
            if rank is not None
            else ((group, 0, len(group)) for group in self._groups.values())
        )
        return sum(
            max(0, min(end, self._count_late_in(group, start_ms)) - start)
            for group, start, end in parts
        )

    def list_too_late(self, share: float, now_ms: int) -> list[Ticket]:
        """Lists the tickets that can't end before their deadline.

        Args:
            share: Share of the mean service time that must fit.
            now_ms: Current time in milliseconds.
        """
        found = []
        for group in self._groups.values():
            service_ms = self._find_service_ms(group.route)
            count = bisect.bisect_left(
                group.by_deadline, (now_ms + service_ms * share,)
            )
            found += [
                self._tickets[number] for _, number in group.by_deadline[:count]
            ]
        return found

    def find_first(
        self, is_wanted: Callable[[Ticket], bool], now_ms: int
    ) -> Ticket | None:
        """Finds the wanted ticket that goes first, None if there is none."""
        best: tuple[slot_use.RankClass, int, int] | None = None
        for group in self._groups.values():
            for rank_class, start, end in group.list_parts(
                self._count_late_in(group, now_ms)
            ):
                if best is not None and best[0] < rank_class:
                    continue
                for at_ms, number in group.by_target[start:end]:
                    if best is not None and best < (rank_class, at_ms, number):
                        break
                    if is_wanted(self._tickets[number]):
                        best = (rank_class, at_ms, number)
                        break
        return None if best is None else self._tickets[best[2]]

    def find_last_class(self) -> slot_use.RankClass | None:
        """Finds the class that would go last if all were late, if any."""
        return max(
            (
                (not group.is_call, True, group.priority)
                for group in self._groups.values()
            ),
            default=None,
        )

    def list_in_order(
        self, now_ms: int
    ) -> list[tuple[slot_use.RankClass, Ticket]]:
        """Lists the tickets in the order of their ranks, with their classes."""
        parts: dict[slot_use.RankClass, list[tuple[int, int]]] = {}
        for group in self._groups.values():
            for rank_class, start, end in group.list_parts(
                self._count_late_in(group, now_ms)
            ):
                parts.setdefault(rank_class, []).extend(
                    group.by_target[start:end]
                )
        return [
            (rank_class, self._tickets[number])
            for rank_class in sorted(parts)
            for _, number in sorted(parts[rank_class])
        ]

    def _count_late_in(self, group: _Group, at_ms: float) -> int:
        """Counts the tickets that miss their target if sent at a time."""
        return bisect.bisect_left(
            group.by_target, (at_ms + self._find_service_ms(group.route),)
        )

    def _list_ahead(
        self, rank: Rank, now_ms: int
    ) -> Iterator[tuple[_Group, int, int]]:
        """Lists what goes before a rank, as ranges of the groups' targets."""
        rank_class, target_at_ms = rank[:3], rank[3]
        for group in self._groups.values():
            parts = group.list_parts(self._count_late_in(group, now_ms))
            for other_class, start, end in parts:
                if other_class > rank_class:
                    continue
                if other_class == rank_class:
                    end = min(
                        end,
                        bisect.bisect_right(
                            group.by_target, (target_at_ms, math.inf)
                        ),
                    )
                if start < end:
                    yield group, start, end
