"""Wait queue of one server: run, queue or refuse a request.

When load exceeds the slots of the server, requests that can still meet their
target run before late ones, and urgent ones before others. A request that can't
be served before its deadline is refused on arrival, with a time to retry after.
The limit on its requests per second that the server states applies as well.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from rhubarblead.requests import rate_limit
from rhubarblead.requests import service_times
from rhubarblead.requests import slot_use
from rhubarblead.requests import tickets

FINISH_SHARE = 0.8
"""Share of the mean service time that must fit before the deadline."""


MAX_LATE_PER_SLOT = 0.5
"""Limit per slot of waiting requests that will miss their target."""

MIN_HOPELESS_STRETCH = 10.0
"""More urgent requests leave a tenth of the slots to late ones, or less.

In a short burst they leave more, and late requests are served after it.
"""

MAX_PARKED_PER_SLOT = 3
"""Limit per slot of requests that wait for keys; more are rarely served."""

PARKED_RETRY_MS = 700
"""Time until moving keys have arrived: one heartbeat of the server."""

REVIEW_INTERVAL_MS = 50
"""Between reviews of all waiting requests, whose averages change slowly."""

_DISTANT_MS = 60_000

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 2_000


Ticket: TypeAlias = tickets.Ticket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """The request runs now."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The request waits for a slot or, without an expected wait, for a key."""

    wait_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Busy:
    """The request would have to wait, and should go to another server."""

    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The request can't be served before its deadline.

    `wait_ms` is the expected wait for a slot; None for a request that was to
    wait for a key.
    """

    retry_after_ms: int
    wait_ms: int | None = None


Offer: TypeAlias = Start | Queued | Busy | Refuse
IsReady: TypeAlias = Callable[[Ticket], bool]


def accept_all(ticket: Ticket) -> bool:
    """Accepts any request as ready to run."""
    del ticket
    return True


class WaitQueue:
    """Slots of one server and the requests that wait for them."""

    __slots__ = (
        "_calls",
        "_is_ready",
        "_parked",
        "_rank_classes",
        "_rate_limit",
        "_reviewed_at_ms",
        "_running",
        "_slot_count",
        "_slot_use",
        "_tickets",
        "_times",
    )

    def __init__(
        self, *, slot_count: int, is_ready: IsReady = accept_all
    ) -> None:
        """Creates a queue with free slots.

        Args:
            slot_count: Number of requests that run concurrently.
            is_ready: Returns whether the server holds the key of a request;
                requests for other keys wait without blocking the queue.
        """
        self._is_ready = is_ready
        self._slot_count = slot_count
        self._parked: dict[int, Ticket] = {}
        self._running: dict[int, tuple[str, int]] = {}
        self._rank_classes: dict[int, slot_use.RankClass] = {}
        self._times = service_times.ServiceTimes()
        self._tickets = tickets.WaitingTickets(
            find_service_ms=self._times.find_ms
        )
        self._reviewed_at_ms: int | None = None
        self._rate_limit = rate_limit.RateLimit()
        self._calls: set[int] = set()
        self._slot_use = slot_use.SlotUse()

    @property
    def slot_count(self) -> int:
        """Number of requests that may run concurrently."""
        return self._slot_count

    @slot_count.setter
    def slot_count(self, count: int) -> None:
        self._slot_count = max(1, count)

    @property
    def running_count(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def call_count(self) -> int:
        """Number of running requests that are calls from other servers."""
        return len(self._calls)

    def count_reserved(self, now_ms: int) -> int:
        """Counts the slots that are reserved for calls from other servers."""
        return self._slot_count - self._count_unreserved(now_ms)

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._tickets) + len(self._parked)

    def list_waiting(self) -> list[Ticket]:
        """Lists the waiting requests."""
        return [*self._tickets, *self._parked.values()]

    @property
    def times(self) -> service_times.ServiceTimes:
        """Service times at this server."""
        return self._times

    @property
    def rate_limit(self) -> rate_limit.RateLimit:
        """Limit on the rate of requests to this server."""
        return self._rate_limit

    def find_wait_ms(self, ticket: Ticket, now_ms: int) -> float:
        """Estimates the wait of a request to be sent, in milliseconds."""
        ahead = self._tickets.count_ahead(self._rank(ticket, now_ms), now_ms)
        free_ms, open_count = self._estimate_free(
            now_ms, is_call=ticket.is_call
        )
        queue_ms = self._estimate_queue_ms(
            ahead, now_ms, is_call=ticket.is_call
        )
        ahead_count = sum(count for _, count in ahead)
        return self._find_total_wait_ms(
            free_ms, open_count, ahead_count, queue_ms, now_ms
        )

    def _estimate_free(
        self, now_ms: int, *, is_call: bool
    ) -> tuple[float, int]:
        """Estimates the time until a slot is free, and counts the free ones."""
        open_count = self._count_open(now_ms, is_call=is_call)
        if open_count:
            return 0.0, open_count
        running = self._list_blocking(now_ms, is_call=is_call)
        return self._times.estimate_first_free_ms(running, now_ms), 0

    def _estimate_queue_ms(
        self, ahead: list[tuple[str, int]], now_ms: int, *, is_call: bool
    ) -> float:
        """Estimates how long requests take up the slots before another one.

        Args:
            ahead: Their routes and counts.
            now_ms: Current time in milliseconds.
            is_call: Whether the other one is a call.
        """
        running = self._list_blocking(now_ms, is_call=is_call)
        return self._times.estimate_queue_ms(ahead, running, self._slot_count)

    def _find_total_wait_ms(
        self,
        free_ms: float,
        open_count: int,
        ahead_count: int,
        queue_ms: float,
        now_ms: int,
    ) -> float:
        """Estimates the wait of a request for a slot and the rate limit.

        Args:
            free_ms: Time until a slot is free.
            open_count: Number of free slots.
            ahead_count: Number of requests ahead of it.
            queue_ms: How long these take up the slots.
            now_ms: Current time in milliseconds.
        """
        if open_count and ahead_count:
            # Requests that wait for the rate limit only take the open slots.
            queue_ms *= max(0, ahead_count - open_count) / ahead_count
        limit_wait_ms = self._rate_limit.find_wait_ms(ahead_count, now_ms)
        return max(free_ms + queue_ms, limit_wait_ms)

    def estimate_wait_ms(self, now_ms: int, *, is_call: bool) -> float:
        """Estimates the wait of an urgent request for a slot.

        Args:
            now_ms: Current time in milliseconds.
            is_call: Whether the request is a call from another server.
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
        """Decides on an arriving request.

        Args:
            ticket: The request.
            now_ms: Current time in milliseconds.
        """
        if not self._is_ready(ticket):
            return self._park(ticket)
        send_wait_ms = self.find_wait_ms(ticket, now_ms)
        wait_ms = max(send_wait_ms, ticket.transfer_wait_ms)
        may_start = send_wait_ms <= 0 and self._has_slot(
            now_ms, is_call=ticket.is_call
        )
        if may_start and wait_ms <= 0:
            self._start(ticket, now_ms)
            return Start()
        if not ticket.may_wait:
            return Busy(wait_ms=int(wait_ms) + 1)
        longest_ms = self._find_longest_wait_ms(ticket, send_wait_ms, now_ms)
        start_ms = now_ms + max(wait_ms, longest_ms)
        rank = None
        if self._rate_limit.find_rate_per_s(now_ms) is not None:
            # Those that it overtakes are withdrawn if there are too many.
            rank = self._rank(ticket, now_ms)
        if self._is_too_late(ticket, start_ms) or (
            self._are_too_many_late(
                ticket, start_ms, self._tickets, now_ms, rank
            )
        ):
            return self._refuse(wait_ms, now_ms)
        if may_start:
            self._start(ticket, now_ms)
            return Start()
        self._tickets.add(ticket)
        return Queued(wait_ms=int(wait_ms))

    def take_next(self, now_ms: int) -> tuple[Ticket | None, list[Ticket]]:
        """Starts the next request if a slot is free.

        Args:
            now_ms: Current time in milliseconds.

        Returns:
            The started request, if any, and the requests that are withdrawn
            as they can't be served before their deadline.
        """
        self._unpark()
        expired = self._tickets.list_too_late(FINISH_SHARE, now_ms)
        expired += [
            ticket
            for ticket in self._parked.values()
            if self._is_too_late(ticket, now_ms)
        ]
        for ticket in expired:
            self.withdraw(ticket.number)
        if self._is_review_due(now_ms):
            expired += self._withdraw_over_limit(now_ms)
            expired += self._withdraw_hopeless(now_ms)
        if self._rate_limit.find_wait_ms(0, now_ms) > 0:
            return None, expired
        open_to = {
            is_call
            for is_call in (True, False)
            if self._has_slot(now_ms, is_call=is_call)
        }
        if not open_to:
            return None, expired
        # A request stays queued if its key has left the server meanwhile.
        chosen = self._tickets.find_first(
            lambda ticket: ticket.is_call in open_to and self._is_ready(ticket),
            now_ms,
        )
        if chosen is None:
            return None, expired
        self._tickets.remove(chosen.number)
        self._start(chosen, now_ms)
        return chosen, expired

    def _is_review_due(self, now_ms: int) -> bool:
        """Tells whether to look at each waiting request now."""
        reviewed_at_ms = self._reviewed_at_ms
        if (
            reviewed_at_ms is not None
            and now_ms - reviewed_at_ms < REVIEW_INTERVAL_MS
        ):
            return False
        self._reviewed_at_ms = now_ms
        return True

    def withdraw(self, number: int) -> Ticket | None:
        """Removes a waiting request; returns None if it isn't waiting."""
        parked = self._parked.pop(number, None)
        return parked or self._tickets.remove(number)

    def finish(self, number: int, now_ms: int, *, is_complete: bool) -> None:
        """Frees the slot of a request.

        Args:
            number: The request.
            now_ms: Current time in milliseconds.
            is_complete: Whether it ran to completion, so that its time counts.
        """
        found = self._running.pop(number, None)
        self._calls.discard(number)
        if found is None:
            return
        route, started_ms = found
        rank_class = self._rank_classes.pop(number)
        self._slot_use.add(rank_class, now_ms - started_ms, now_ms)
        if not is_complete:
            return
        self._times.add(route, float(now_ms - started_ms), now_ms)

    def find_retry_after_ms(self, wait_ms: float, now_ms: int) -> int:
        """Finds when the caller of a refused request may come back.

        Under a rate limit, callers come back one after another at its rate.

        Args:
            wait_ms: Time until there is room for the request.
            now_ms: Current time in milliseconds.
        """
        planned_ms = self._rate_limit.plan_return_ms(wait_ms, now_ms)
        after_ms = wait_ms if planned_ms is None else planned_ms
        return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, after_ms)))

    def _refuse(self, wait_ms: float, now_ms: int) -> Refuse:
        return Refuse(
            retry_after_ms=self.find_retry_after_ms(wait_ms, now_ms),
            wait_ms=int(wait_ms),
        )

    def _withdraw_over_limit(self, now_ms: int) -> list[Ticket]:
        """Withdraws what the rate limit leaves no time for.

        The limit may have been lowered since the requests arrived, and more
        urgent ones may have followed.
        """
        if self._rate_limit.find_rate_per_s(now_ms) is None:
            return []
        kept = tickets.WaitingTickets(find_service_ms=self._times.find_ms)
        withdrawn = []
        for _, ticket in self._tickets.list_in_order(now_ms):
            start_ms = now_ms + self._find_longest_limit_wait_ms(
                ticket, self._rate_limit.find_wait_ms(len(kept), now_ms), now_ms
            )
            if self._is_too_late(ticket, start_ms) or (
                self._are_too_many_late(ticket, start_ms, kept, now_ms)
            ):
                withdrawn.append(ticket)
            else:
                kept.add(ticket)
        for ticket in withdrawn:
            self._tickets.remove(ticket.number)
        return withdrawn

    def _withdraw_hopeless(self, now_ms: int) -> list[Ticket]:
        """Withdraws late requests that others will overtake until too late.

        Answers an overload that lasts: slots go to requests that can still
        meet their target, so that one that no longer can would only wait for
        its deadline.
        """
        withdrawn: list[Ticket] = []
        if not self._has_hopeless_class(now_ms):
            return withdrawn
        stretches: dict[slot_use.RankClass, float] = {}
        slot_ms: dict[str, float] = {}
        free_ms, open_count = self._estimate_free(now_ms, is_call=False)
        count = 0
        queue_ms = 0.0
        for rank_class, ticket in self._tickets.list_in_order(now_ms):
            if rank_class not in stretches:
                stretches[rank_class] = self._find_overtaken_stretch(
                    rank_class, now_ms
                )
            if ticket.route not in slot_ms:
                slot_ms[ticket.route] = self._estimate_queue_ms(
                    [(ticket.route, 1)], now_ms, is_call=False
                )
            count += 1
            queue_ms += slot_ms[ticket.route]
            stretch = stretches[rank_class]
            if stretch < MIN_HOPELESS_STRETCH:
                continue
            wait_ms = self._find_total_wait_ms(
                free_ms, open_count, count, queue_ms, now_ms
            )
            if self._is_too_late(ticket, now_ms + int(wait_ms * stretch)):
                withdrawn.append(ticket)
                count -= 1
                queue_ms -= slot_ms[ticket.route]
        for ticket in withdrawn:
            self._tickets.remove(ticket.number)
        return withdrawn

    def _find_overtaken_stretch(
        self, rank_class: slot_use.RankClass, now_ms: int
    ) -> float:
        """Finds the stretch of a class of late requests, 1 for the others."""
        is_no_call, is_late, _ = rank_class
        if not is_no_call or not is_late:
            return 1.0
        return self._slot_use.find_stretch(rank_class, self._slot_count, now_ms)

    def _has_hopeless_class(self, now_ms: int) -> bool:
        """Tells whether others may overtake late requests until too late."""
        last_class = self._tickets.find_last_class()
        if last_class is None:
            return False
        stretch = self._slot_use.find_stretch(
            last_class, self._slot_count, now_ms
        )
        return stretch >= MIN_HOPELESS_STRETCH

    def _park(self, ticket: Ticket) -> Offer:
        """Queues a request apart until the server holds its key."""
        if len(self._parked) >= MAX_PARKED_PER_SLOT * self._slot_count:
            return Refuse(retry_after_ms=PARKED_RETRY_MS)
        self._parked[ticket.number] = ticket
        return Queued()

    def _unpark(self) -> None:
        """Queues the parked requests whose keys the server now holds."""
        for ticket in list(self._parked.values()):
            if self._is_ready(ticket):
                del self._parked[ticket.number]
                self._tickets.add(ticket)

    def _start(self, ticket: Ticket, now_ms: int) -> None:
        rank_class = self._rank(ticket, now_ms)[:3]
        self._running[ticket.number] = (ticket.route, now_ms)
        self._rank_classes[ticket.number] = rank_class
        self._rate_limit.record_send(rank_class, now_ms)
        if ticket.is_call:
            self._calls.add(ticket.number)

    def _count_unreserved(self, now_ms: int) -> int:
        """Counts the slots that are not reserved for calls."""
        reserved = min(
            self._slot_use.count_calls(now_ms), self._slot_count // 2
        )
        return self._slot_count - reserved

    def _count_open(self, now_ms: int, *, is_call: bool) -> int:
        """Counts the free slots that are open to calls, or to others."""
        free_count = max(0, self._slot_count - len(self._running))
        if is_call or not free_count:
            return free_count
        others_count = len(self._running) - len(self._calls)
        open_count = self._count_unreserved(now_ms) - others_count
        return max(0, min(free_count, open_count))

    def _has_slot(self, now_ms: int, *, is_call: bool) -> bool:
        """Returns whether a free slot is open to calls, or to others."""
        return self._count_open(now_ms, is_call=is_call) > 0

    def _list_blocking(
        self, now_ms: int, *, is_call: bool
    ) -> list[tuple[str, int]]:
        """Lists the runs of which one must end before a request can start."""
        others_count = len(self._running) - len(self._calls)
        if is_call or others_count < self._count_unreserved(now_ms):
            return list(self._running.values())
        return [
            run
            for number, run in self._running.items()
            if number not in self._calls
        ]

    def _rank(self, ticket: Ticket, now_ms: int) -> tickets.Rank:
        return tickets.find_rank(
            ticket, self._times.find_ms(ticket.route), now_ms
        )

    def _find_longest_wait_ms(
        self, ticket: Ticket, wait_ms: float, now_ms: int
    ) -> float:
        """Estimates the wait of a request that is unlikely to be exceeded.

        Args:
            ticket: The request.
            wait_ms: Expected wait if no other request arrives.
            now_ms: Current time in milliseconds.
        """
        limit_ms = self._find_longest_limit_wait_ms(ticket, wait_ms, now_ms)
        rank_class = self._rank(ticket, now_ms)[:3]
        stretch = self._slot_use.find_stretch(
            rank_class, self._slot_count, now_ms
        )
        deviation_ms = self._times.estimate_queue_deviation_ms(
            wait_ms, stretch, self._slot_count
        )
        return max(
            limit_ms, wait_ms * stretch + rate_limit.DEVIATIONS * deviation_ms
        )

    def _find_longest_limit_wait_ms(
        self, ticket: Ticket, wait_ms: float, now_ms: int
    ) -> float:
        rank_class = self._rank(ticket, now_ms)[:3]
        return self._rate_limit.find_longest_wait_ms(
            rank_class, wait_ms, now_ms
        )

    def _count_usable_slots(self, now_ms: int) -> float:
        """Counts the slots that the rate limit leaves in use."""
        rate_per_s = self._rate_limit.find_rate_per_s(now_ms)
        if rate_per_s is None:
            return self._slot_count
        in_use = rate_per_s * self._times.overall_ms / 1_000
        return min(self._slot_count, in_use)

    def _are_too_many_late(
        self,
        ticket: Ticket,
        start_ms: float,
        others: tickets.WaitingTickets,
        now_ms: int,
        rank: tickets.Rank | None = None,
    ) -> bool:
        """Returns whether a request would be late, as too many others are.

        Args:
            ticket: The request.
            start_ms: Time at which it will be sent.
            others: The requests that wait besides it.
            now_ms: Current time in milliseconds.
            rank: Of the others only those count that go before this rank.
        """
        service_ms = self._times.find_ms(ticket.route)
        if ticket.is_call or start_ms + service_ms <= ticket.target_at_ms:
            # Refusing a call fails the request that made it, which has mostly
            # run by then.
            return False
        late_count = others.count_late(start_ms, now_ms, rank)
        usable_count = self._count_usable_slots(now_ms)
        return late_count >= MAX_LATE_PER_SLOT * usable_count

    def _is_too_late(self, ticket: Ticket, start_ms: float) -> bool:
        service_ms = self._times.find_ms(ticket.route)
        return start_ms + service_ms * FINISH_SHARE > ticket.deadline_at_ms
