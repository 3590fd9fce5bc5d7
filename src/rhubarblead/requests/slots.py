"""Thread-safe queue in which worker threads wait for an upstream slot."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading

import result

from rhubarblead import clock
from rhubarblead import refusal
from rhubarblead.requests import admission

_MS_PER_S = 1_000


class _Waiter:
    """A thread that waits for a decision on its request."""

    __slots__ = ("is_refused", "is_decided")

    def __init__(self) -> None:
        self.is_decided = threading.Event()
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
        remaining_ms = ticket.deadline_ms - self._read_ms()
        waiter.is_decided.wait(max(0, remaining_ms) / _MS_PER_S)
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

    def _end_wait(
        self, ticket: admission.Ticket, waiter: _Waiter
    ) -> result.Result[None, refusal.Refused]:
        with self._lock:
            self._waiters.pop(ticket.request_id, None)
            if waiter.is_decided.is_set() and not waiter.is_refused:
                return result.Ok(None)
            if not waiter.is_decided.is_set():
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
            self._waiters[request_id].is_decided.set()
        for request_id in dispatch.refused:
            waiter = self._waiters[request_id]
            waiter.is_refused = True
            waiter.is_decided.set()
