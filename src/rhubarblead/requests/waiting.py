"""Decides which requests run, wait or are turned away beside one server.

Answers load beyond the server's slots: requests that can still meet their
target go before late ones, urgent ones before others, and what can't be served
in its time is turned away when it comes, with the time to come back after.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from rhubarblead.requests import calls
from rhubarblead.requests import service_times

FINISH_SHARE = 0.8
"""Part of the mean run that must fit before the deadline."""

MAX_LATE_PER_SLOT = 0.5
"""Waiting requests for each slot that will miss their target."""

MAX_PARKED_PER_SLOT = 3
"""Requests for each slot that wait for keys; more could hardly be served."""

PARKED_RETRY_MS = 700
"""Until keys that move have arrived: a heartbeat of the server."""

_DISTANT_MS = 60_000

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request that asks for a slot; moments are in milliseconds.

    `is_call` is set for the calls that servers make. `may_wait` is unset where
    the request goes elsewhere rather than wait. `key` is None for requests
    that any server of the service may run.
    """

    number: int
    route: str
    priority: int
    is_call: bool
    target_at_ms: int
    deadline_at_ms: int
    may_wait: bool = True
    key: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """The request runs now."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The request waits for a slot."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Busy:
    """The request would have to wait, and is to go elsewhere."""

    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The request can't be served in its time."""

    retry_after_ms: int


Offer: TypeAlias = Start | Queued | Busy | Refuse
IsReady: TypeAlias = Callable[[Ticket], bool]


def accept_all(ticket: Ticket) -> bool:
    """Takes each request for one that may run."""
    del ticket
    return True


class WaitQueue:
    """Slots of one server, and the requests that wait for them."""

    __slots__ = (
        "_call_load",
        "_calls",
        "_is_ready",
        "_parked",
        "_running",
        "_slot_count",
        "_tickets",
        "_times",
    )

    def __init__(
        self, *, slot_count: int, is_ready: IsReady = accept_all
    ) -> None:
        """Makes a room with free slots.

        Args:
            slot_count: How many requests run at a time.
            is_ready: Tells whether the server holds a request's key; others
                wait without being in anybody's way.
        """
        self._is_ready = is_ready
        self._slot_count = slot_count
        self._tickets: dict[int, Ticket] = {}
        self._parked: dict[int, Ticket] = {}
        self._running: dict[int, tuple[str, int]] = {}
        self._times = service_times.ServiceTimes()
        self._calls: set[int] = set()
        self._call_load = calls.CallLoad()

    @property
    def slot_count(self) -> int:
        """How many requests may run at a time."""
        return self._slot_count

    @slot_count.setter
    def slot_count(self, count: int) -> None:
        self._slot_count = max(1, count)

    @property
    def running_count(self) -> int:
        """How many requests run."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._tickets) + len(self._parked)

    def list_waiting(self) -> list[Ticket]:
        """Lists the requests that wait."""
        return [*self._tickets.values(), *self._parked.values()]

    @property
    def times(self) -> service_times.ServiceTimes:
        """How long runs take at this server."""
        return self._times

    def find_wait_ms(self, ticket: Ticket, now_ms: int) -> float:
        """Estimates how long a request would wait for a slot."""
        rank = self._rank(ticket, now_ms)
        ahead = [
            other.route
            for other in self._tickets.values()
            if self._rank(other, now_ms) <= rank
        ]
        running = self._list_blocking(ticket, now_ms)
        first_free_ms = 0.0
        if not self._has_slot(ticket, now_ms):
            first_free_ms = self._times.estimate_first_free_ms(running, now_ms)
        return first_free_ms + self._times.estimate_queue_ms(
            ahead, running, self._slot_count
        )

    def estimate_wait_ms(self, now_ms: int, *, is_call: bool) -> float:
        """Estimates how long an urgent request would wait for a slot.

        Args:
            now_ms: The present moment.
            is_call: Whether it is a call of another server.
        """
        probe = Ticket(
            number=0,
            route="",
            priority=0,
            is_call=is_call,
            target_at_ms=now_ms + _DISTANT_MS,
            deadline_at_ms=now_ms + _DISTANT_MS,
        )
        return self.find_wait_ms(probe, now_ms)

    def offer(self, ticket: Ticket, now_ms: int) -> Offer:
        """Decides on a request that has just come.

        Args:
            ticket: The request.
            now_ms: The present moment.
        """
        if not self._is_ready(ticket):
            return self._park(ticket)
        wait_ms = self.find_wait_ms(ticket, now_ms)
        if wait_ms <= 0 and self._has_slot(ticket, now_ms):
            self._start(ticket, now_ms)
            return Start()
        if not ticket.may_wait:
            return Busy(wait_ms=int(wait_ms) + 1)
        if self._is_infeasible(ticket, now_ms + wait_ms):
            return self.refuse(wait_ms)
        self._tickets[ticket.number] = ticket
        return Queued()

    def take_next(self, now_ms: int) -> tuple[Ticket | None, list[Ticket]]:
        """Takes the request that runs next, if a slot is free.

        Args:
            now_ms: The present moment.

        Returns:
            The request, if any, and those that can't be served any more.
        """
        self._unpark()
        expired = [
            ticket
            for ticket in self.list_waiting()
            if self._is_too_late(ticket, now_ms)
        ]
        for ticket in expired:
            self.withdraw(ticket.number)
        # A key that has left the server meanwhile waits for its next owner.
        ready = [
            ticket
            for ticket in self._tickets.values()
            if self._has_slot(ticket, now_ms) and self._is_ready(ticket)
        ]
        if not ready:
            return None, expired
        chosen = min(ready, key=lambda ticket: self._rank(ticket, now_ms))
        del self._tickets[chosen.number]
        self._start(chosen, now_ms)
        return chosen, expired

    def withdraw(self, number: int) -> Ticket | None:
        """Removes a waiting request; returns None when it doesn't wait."""
        parked = self._parked.pop(number, None)
        return parked or self._tickets.pop(number, None)

    def finish(self, number: int, now_ms: int, *, is_whole: bool) -> None:
        """Frees the slot of a request.

        Args:
            number: The request.
            now_ms: The present moment.
            is_whole: Whether it ran to its end, so that its time counts.
        """
        found = self._running.pop(number, None)
        is_call = number in self._calls
        self._calls.discard(number)
        if found is None:
            return
        route, started_ms = found
        if is_call:
            self._call_load.add(now_ms - started_ms, now_ms)
        if not is_whole:
            return
        self._times.add(route, float(now_ms - started_ms), now_ms)

    def refuse(self, wait_ms: float) -> Refuse:
        """Makes the answer for a request that can't be served in its time."""
        after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return Refuse(retry_after_ms=int(after_ms))

    def _park(self, ticket: Ticket) -> Offer:
        """Has a request wait for its key, in nobody's way."""
        if len(self._parked) >= MAX_PARKED_PER_SLOT * self._slot_count:
            return self.refuse(PARKED_RETRY_MS)
        self._parked[ticket.number] = ticket
        return Queued()

    def _unpark(self) -> None:
        """Lets the requests queue whose keys the server holds by now."""
        for ticket in list(self._parked.values()):
            if self._is_ready(ticket):
                del self._parked[ticket.number]
                self._tickets[ticket.number] = ticket

    def _start(self, ticket: Ticket, now_ms: int) -> None:
        self._running[ticket.number] = (ticket.route, now_ms)
        if ticket.is_call:
            self._calls.add(ticket.number)

    def _count_unreserved(self, now_ms: int) -> int:
        """Counts the slots that others than calls may take."""
        reserved = min(
            self._call_load.find_slots(now_ms), self._slot_count // 2
        )
        return self._slot_count - reserved

    def _has_slot(self, ticket: Ticket, now_ms: int) -> bool:
        """Tells whether a slot is free that a request may take."""
        if len(self._running) >= self._slot_count:
            return False
        if ticket.is_call:
            return True
        others_count = len(self._running) - len(self._calls)
        return others_count < self._count_unreserved(now_ms)

    def _list_blocking(
        self, ticket: Ticket, now_ms: int
    ) -> list[tuple[str, int]]:
        """Lists the runs one of which has to end before a request starts."""
        others_count = len(self._running) - len(self._calls)
        if ticket.is_call or others_count < self._count_unreserved(now_ms):
            return list(self._running.values())
        return [
            run
            for number, run in self._running.items()
            if number not in self._calls
        ]

    def _rank(self, ticket: Ticket, now_ms: int) -> tuple[bool, bool, int, int]:
        service_ms = self._times.find_ms(ticket.route)
        is_late = now_ms + service_ms > ticket.target_at_ms
        return (
            not ticket.is_call,
            is_late,
            ticket.priority,
            ticket.target_at_ms,
        )

    def _is_infeasible(self, ticket: Ticket, start_ms: float) -> bool:
        service_ms = self._times.find_ms(ticket.route)
        if start_ms + service_ms * FINISH_SHARE > ticket.deadline_at_ms:
            return True
        if ticket.is_call or start_ms + service_ms <= ticket.target_at_ms:
            # The request that made a call has run for the most part, and
            # fails with it.
            return False
        late_count = sum(
            start_ms + self._times.find_ms(other.route) > other.target_at_ms
            for other in self._tickets.values()
        )
        return late_count >= MAX_LATE_PER_SLOT * self._slot_count

    def _is_too_late(self, ticket: Ticket, now_ms: int) -> bool:
        service_ms = self._times.find_ms(ticket.route)
        return now_ms + service_ms * FINISH_SHARE > ticket.deadline_at_ms
