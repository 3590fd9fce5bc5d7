"""A budget that keeps retries to a share of the requests."""

import threading

_PER_MILLE = 1000
_RESERVE_RETRIES = 10


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    A small reserve lets a quiet node retry.
    """

    __slots__ = ("_capacity", "_per_mille", "_tokens")

    def __init__(self, *, per_mille: int) -> None:
        self._per_mille = per_mille
        self._capacity = _RESERVE_RETRIES * _PER_MILLE
        self._tokens = self._capacity if per_mille else 0

    def record_request(self) -> None:
        """Adds a request's share of a retry."""
        self._tokens = min(self._capacity, self._tokens + self._per_mille)

    def take_retry(self) -> bool:
        """Takes one retry; returns whether there was one."""
        if self._tokens < _PER_MILLE:
            return False
        self._tokens -= _PER_MILLE
        return True


class SharedRetryBudget:
    """A retry budget for many threads."""

    __slots__ = ("_budget", "_lock")

    def __init__(self, *, per_mille: int) -> None:
        self._budget = RetryBudget(per_mille=per_mille)
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Adds a request's share of a retry."""
        with self._lock:
            self._budget.record_request()

    def take_retry(self) -> bool:
        """Takes one retry; returns whether there was one."""
        with self._lock:
            return self._budget.take_retry()
