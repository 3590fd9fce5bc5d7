"""Admission control for one upstream: run, queue or refuse a request."""

import collections
import dataclasses
import math
from typing import TypeAlias

from rhubarblead import refusal
from rhubarblead.requests import rate_limit

KEY_SHARE_PER_MILLE = 250
INITIAL_SERVICE_MS = 5.0
SERVICE_WEIGHT = 0.1
MIN_RETRY_AFTER_MS = 20
EXCLUSIVE_GAP_MS = 500
MAX_LIMIT_WAIT_SHARE = 0.5
"""Share of its time that a request may wait for the limit on the request rate.

Waiting longer would leave its caller no time to try again.
"""

_RANK_CLASS = (True, False, 0)
"""Requests have no ranks here."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request that needs a slot.

    `key` is empty for requests without a key; these are bounded by the length
    of the queue only. `deadline_ms` is on the monotonic clock. A request with
    `is_exclusive` runs only while no other request does.
    """

    request_id: str
    key: str
    deadline_ms: int
    is_exclusive: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """The request runs now."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The request waits for a slot."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The request is refused and has not run."""

    refused: refusal.Refused


Offer: TypeAlias = Start | Queued | Refuse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Waiting requests that start now, and those past their deadline."""

    started: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class Admission:
    """Slots and a bounded queue that is fair among keys.

    Keys are served round-robin, and one key may fill only a share of the
    queue. A limit on the rate of requests holds besides the slots. Not
    thread-safe.
    """

    def __init__(
        self,
        *,
        slots: int,
        queue_length: int,
        key_share_per_mille: int = KEY_SHARE_PER_MILLE,
    ) -> None:
        """Creates an admission with free slots and an empty queue.

        Args:
            slots: Number of requests that run concurrently.
            queue_length: Maximum number of waiting requests.
            key_share_per_mille: Largest share of the queue for one key.
        """
        self._slots = slots
        self._queue_length = queue_length
        self._key_limit = max(1, queue_length * key_share_per_mille // 1_000)
        self._queues: collections.OrderedDict[
            str, collections.deque[Ticket]
        ] = collections.OrderedDict()
        self._waiting_count = 0
        self._running: dict[str, int] = {}
        self._service_ms = INITIAL_SERVICE_MS
        self._exclusive_id = ""
        self._exclusive_waiting: Ticket | None = None
        self._exclusive_after_ms = 0
        self._rate_limit = rate_limit.RateLimit()

    @property
    def rate_limit(self) -> rate_limit.RateLimit:
        """Limit on the rate of requests to the upstream."""
        return self._rate_limit

    @property
    def slot_count(self) -> int:
        """Number of requests that may run concurrently."""
        return self._slots

    @property
    def running_count(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return self._waiting_count + (self._exclusive_waiting is not None)

    @property
    def service_ms(self) -> float:
        """Moving average of the service time, in milliseconds."""
        return self._service_ms

    def set_slots(self, slots: int, now_ms: int) -> Dispatch:
        """Sets the number of slots, at least one."""
        self._slots = max(1, slots)
        return self.advance(now_ms)

    def offer(self, ticket: Ticket, now_ms: int) -> Offer:
        """Decides on an arriving request.

        Args:
            ticket: The request.
            now_ms: Current time in milliseconds.

        Returns:
            Whether the request runs, waits or is refused.
        """
        if ticket.is_exclusive:
            return self._offer_exclusive(ticket, now_ms)
        if self._is_free(now_ms) and not self._waiting_count:
            self._start(ticket, now_ms)
            return Start()
        waiting = self._queues.get(ticket.key, ())
        if self._waiting_count >= self._queue_length:
            return self._refuse("the queue is full", now_ms)
        if ticket.key and len(waiting) >= self._key_limit:
            return self._refuse("too many requests wait for this key", now_ms)
        if not self._is_feasible(ticket, len(waiting), now_ms):
            return self._refuse("it can't be served in time", now_ms)
        self._queues.setdefault(ticket.key, collections.deque()).append(ticket)
        self._waiting_count += 1
        return Queued()

    def finish(self, request_id: str, now_ms: int) -> Dispatch:
        """Frees the slot of a request that has run.

        Args:
            request_id: The request.
            now_ms: Current time in milliseconds.

        Returns:
            The waiting requests that start or are refused.
        """
        started_at_ms = self._running.pop(request_id, None)
        if started_at_ms is None:
            return Dispatch()
        taken_ms = now_ms - started_at_ms
        self._service_ms += (taken_ms - self._service_ms) * SERVICE_WEIGHT
        if request_id == self._exclusive_id:
            self._exclusive_id = ""
            self._exclusive_after_ms = now_ms + EXCLUSIVE_GAP_MS
        return self.advance(now_ms)

    def withdraw(self, request_id: str, now_ms: int) -> Dispatch:
        """Removes a waiting request whose caller has disconnected."""
        exclusive = self._exclusive_waiting
        if exclusive is not None and exclusive.request_id == request_id:
            self._exclusive_waiting = None
            return self.advance(now_ms)
        for key, waiting in self._queues.items():
            for ticket in waiting:
                if ticket.request_id == request_id:
                    waiting.remove(ticket)
                    self._waiting_count -= 1
                    if not waiting:
                        del self._queues[key]
                    return Dispatch()
        return Dispatch()

    def _offer_exclusive(self, ticket: Ticket, now_ms: int) -> Offer:
        # All other requests wait meanwhile; the gap limits how often.
        is_busy = self._exclusive_id or self._exclusive_waiting is not None
        if is_busy or now_ms < self._exclusive_after_ms:
            return self._refuse(
                "another suspect runs alone", now_ms, EXCLUSIVE_GAP_MS
            )
        if not self._running and self._is_allowed(now_ms):
            self._exclusive_id = ticket.request_id
            self._start(ticket, now_ms)
            return Start()
        self._exclusive_waiting = ticket
        return Queued()

    def _is_free(self, now_ms: int) -> bool:
        if self._exclusive_id or self._exclusive_waiting is not None:
            return False
        has_slot = len(self._running) < self._slots
        return has_slot and self._is_allowed(now_ms)

    def _is_allowed(self, now_ms: int) -> bool:
        return self._rate_limit.find_wait_ms(0, now_ms) <= 0

    def _start(self, ticket: Ticket, now_ms: int) -> None:
        self._running[ticket.request_id] = now_ms
        self._rate_limit.record_send(_RANK_CLASS, now_ms)

    def advance(self, now_ms: int) -> Dispatch:
        """Starts what the slots and the limit allow by now."""
        started: list[str] = []
        refused: list[str] = []
        self._advance_exclusive(now_ms, started, refused)
        while self._waiting_count and self._is_free(now_ms):
            ticket = self._take_next()
            if now_ms >= ticket.deadline_ms:
                refused.append(ticket.request_id)
                continue
            self._start(ticket, now_ms)
            started.append(ticket.request_id)
        return Dispatch(started=tuple(started), refused=tuple(refused))

    def _advance_exclusive(
        self, now_ms: int, started: list[str], refused: list[str]
    ) -> None:
        ticket = self._exclusive_waiting
        if ticket is None:
            return
        if now_ms >= ticket.deadline_ms:
            self._exclusive_waiting = None
            refused.append(ticket.request_id)
            return
        if not self._running and self._is_allowed(now_ms):
            self._exclusive_waiting = None
            self._exclusive_id = ticket.request_id
            self._start(ticket, now_ms)
            started.append(ticket.request_id)

    def _take_next(self) -> Ticket:
        key, waiting = self._queues.popitem(last=False)
        ticket = waiting.popleft()
        if waiting:
            self._queues[key] = waiting
        self._waiting_count -= 1
        return ticket

    def _is_feasible(
        self, ticket: Ticket, ahead_of_key: int, now_ms: int
    ) -> bool:
        left_ms = ticket.deadline_ms - now_ms
        limit_wait_ms = self._rate_limit.find_wait_ms(
            self._waiting_count, now_ms
        )
        if limit_wait_ms > MAX_LIMIT_WAIT_SHARE * left_ms:
            return False
        return self._find_wait_ms(ahead_of_key) + self._service_ms <= left_ms

    def _find_wait_ms(self, ahead_of_key: int) -> float:
        """Estimates the wait behind `ahead_of_key` requests of the same key."""
        rounds = ahead_of_key + 1
        ahead = sum(min(len(q), rounds) for q in self._queues.values())
        return (ahead + 1) * self._service_ms / self._slots

    def _refuse(
        self, explanation: str, now_ms: int, retry_after_ms: int = 0
    ) -> Refuse:
        drained_ms = self._waiting_count * self._service_ms / self._slots
        limited_ms = self._rate_limit.plan_return_ms(
            self._rate_limit.find_wait_ms(self._waiting_count, now_ms), now_ms
        )
        drained_ms = max(drained_ms, limited_ms or 0.0)
        return Refuse(
            refused=refusal.Refused(
                refusal=refusal.Refusal.OVERLOADED,
                explanation=explanation,
                retry_after_ms=max(
                    MIN_RETRY_AFTER_MS, retry_after_ms, math.ceil(drained_ms)
                ),
            )
        )
