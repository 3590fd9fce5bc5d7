"""Retry budget: limits retries to a share of the requests."""

import threading

_PER_MILLE = 1000
_RESERVE_RETRIES = 10


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    A small initial reserve allows retries on a node with few requests.
    """

    __slots__ = ("_capacity", "_per_mille", "_tokens")

    def __init__(self, *, per_mille: int) -> None:
        self._per_mille = per_mille
        self._capacity = _RESERVE_RETRIES * _PER_MILLE
        self._tokens = self._capacity if per_mille else 0

    def record_request(self) -> None:
        """Adds the share of a retry that a request earns."""
        self._tokens = min(self._capacity, self._tokens + self._per_mille)

    def take_retry(self) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        if self._tokens < _PER_MILLE:
            return False
        self._tokens -= _PER_MILLE
        return True


class SharedRetryBudget:
    """A thread-safe retry budget."""

    __slots__ = ("_budget", "_lock")

    def __init__(self, *, per_mille: int) -> None:
        self._budget = RetryBudget(per_mille=per_mille)
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Adds the share of a retry that a request earns."""
        with self._lock:
            self._budget.record_request()

    def take_retry(self) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        with self._lock:
            return self._budget.take_retry()
