"""Thread-safe queue in which worker threads wait for an upstream slot."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading

import result

from rhubarblead import clock
from rhubarblead import refusal
from rhubarblead.requests import admission

LIMIT_CHECK_MS = 50
"""Interval in which waiting threads check a limit on the request rate."""

_MS_PER_S = 1_000


class _Waiter:
    """A thread that waits for a decision on its request."""

    __slots__ = ("is_decided", "is_refused", "is_woken")

    def __init__(self) -> None:
        # Set when there is a decision, or a limit has been stated.
        self.is_woken = threading.Event()
        self.is_decided = False
        self.is_refused = False


class SlotQueue:
    """A thread-safe wrapper of an admission.

    Use:
        acquired = queue.acquire(ticket)
        if acquired.is_ok():
            with queue.releasing(ticket.request_id):
                ...
    """

    def __init__(
        self,
        *,
        decisions: admission.Admission,
        read_ms: Callable[[], int] = clock.read_monotonic_ms,
    ) -> None:
        self._admission = decisions
        self._read_ms = read_ms
        self._lock = threading.Lock()
        self._waiters: dict[str, _Waiter] = {}

    def acquire(
        self, ticket: admission.Ticket
    ) -> result.Result[None, refusal.Refused]:
        """Waits for a slot, at most until the request's deadline.

        Args:
            ticket: The request.

        Returns:
            Ok if the request may run; `release` must follow. Otherwise the
            refusal.
        """
        with self._lock:
            offer = self._admission.offer(ticket, self._read_ms())
            match offer:
                case admission.Start():
                    return result.Ok(None)
                case admission.Refuse(refused=refused):
                    return result.Err(refused)
                case _:
                    waiter = _Waiter()
                    self._waiters[ticket.request_id] = waiter
        self._wait(ticket, waiter)
        return self._end_wait(ticket, waiter)

    def release(self, request_id: str) -> None:
        """Frees the slot of a request."""
        with self._lock:
            self._apply(self._admission.finish(request_id, self._read_ms()))

    @contextlib.contextmanager
    def releasing(self, request_id: str) -> Iterator[None]:
        """Context manager that frees the slot of a request on exit."""
        try:
            yield
        finally:
            self.release(request_id)

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots."""
        with self._lock:
            self._apply(self._admission.set_slots(slots, self._read_ms()))

    def record_limit(self, limit_per_s: float | None) -> bool:
        """Records the limit on the request rate that a response states.

        Args:
            limit_per_s: The limit, None if the response states none.

        Returns:
            Whether a limit has begun or ended.
        """
        with self._lock:
            now_ms = self._read_ms()
            limit = self._admission.rate_limit
            was_limited = limit.limit_per_s is not None
            if limit_per_s is None:
                limit.lift(now_ms)
            else:
                limit.set(limit_per_s, now_ms)
            is_limited = limit_per_s is not None
            if is_limited != was_limited:
                for waiter in self._waiters.values():
                    waiter.is_woken.set()
            return is_limited != was_limited

    def clear_limit(self) -> None:
        """Forgets the limit, as the upstream has been replaced."""
        with self._lock:
            self._admission.rate_limit.clear()
            self._apply(self._admission.advance(self._read_ms()))

    def count_slots(self) -> int:
        """Returns the number of slots."""
        return self._admission.slot_count

    def count_running(self) -> int:
        """Returns the number of running requests."""
        with self._lock:
            return self._admission.running_count

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        with self._lock:
            return self._admission.waiting_count

    def _wait(self, ticket: admission.Ticket, waiter: _Waiter) -> None:
        """Waits for a decision, at most until the request's deadline."""
        while True:
            with self._lock:
                now_ms = self._read_ms()
                limit = self._admission.rate_limit
                is_limited = limit.find_rate_per_s(now_ms) is not None
                if is_limited:
                    self._apply(self._admission.advance(now_ms))
                remaining_ms = ticket.deadline_ms - now_ms
                if waiter.is_decided or remaining_ms <= 0:
                    return
                waiter.is_woken.clear()
            if is_limited:
                remaining_ms = min(remaining_ms, LIMIT_CHECK_MS)
            waiter.is_woken.wait(remaining_ms / _MS_PER_S)

    def _end_wait(
        self, ticket: admission.Ticket, waiter: _Waiter
    ) -> result.Result[None, refusal.Refused]:
        with self._lock:
            self._waiters.pop(ticket.request_id, None)
            if waiter.is_decided and not waiter.is_refused:
                return result.Ok(None)
            if not waiter.is_decided:
                self._apply(
                    self._admission.withdraw(ticket.request_id, self._read_ms())
                )
            return result.Err(
                refusal.Refused(
                    refusal=refusal.Refusal.OVERLOADED,
                    explanation="no slot was free in time",
                    retry_after_ms=admission.MIN_RETRY_AFTER_MS,
                )
            )

    def _apply(self, dispatch: admission.Dispatch) -> None:
        for request_id in dispatch.started:
            self._decide(request_id, is_refused=False)
        for request_id in dispatch.refused:
            self._decide(request_id, is_refused=True)

    def _decide(self, request_id: str, *, is_refused: bool) -> None:
        waiter = self._waiters[request_id]
        waiter.is_refused = is_refused
        waiter.is_decided = True
        waiter.is_woken.set()
