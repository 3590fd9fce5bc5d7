"""Keeps one node to its part of the retries that all nodes may make.

Answers failing servers: without a bound, retries add to the load that makes
them fail. The nodes share the bound without talking, each by its own requests
and an equal part of what is allowed besides.
"""

import collections

SAFETY_FACTOR = 0.8
"""Part of the bound that is used, as nodes come and go and windows slide."""


class RetryAllowance:
    """Counts requests and retries of one node by service in a window."""

    __slots__ = (
        "_extra_count",
        "_ratio",
        "_requests",
        "_retries",
        "_window_ms",
    )

    def __init__(
        self, *, ratio: float, window_ms: int, extra_count: float
    ) -> None:
        """Makes an allowance that has used nothing.

        Args:
            ratio: Retries for each request.
            window_ms: Length of the window.
            extra_count: Retries of all nodes together in a window besides.
        """
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra_count = extra_count
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Takes note of a caller's request."""
        self._add(self._requests, service, now_ms)

    def take_retry(self, service: str, now_ms: int, node_count: int) -> bool:
        """Takes one retry, if it is within the allowance.

        Args:
            service: The service at which the request arrives again.
            now_ms: The present moment.
            node_count: How many nodes share the bound.

        Returns:
            Whether the request may be sent again.
        """
        requests = self._count(self._requests, service, now_ms)
        retries = self._count(self._retries, service, now_ms)
        allowed = SAFETY_FACTOR * (
            self._ratio * requests + self._extra_count / max(1, node_count)
        )
        if retries + 1 > allowed:
            return False
        self._add(self._retries, service, now_ms)
        return True

    def _add(
        self,
        moments: dict[str, collections.deque[int]],
        service: str,
        now_ms: int,
    ) -> None:
        moments.setdefault(service, collections.deque()).append(now_ms)

    def _count(
        self,
        moments: dict[str, collections.deque[int]],
        service: str,
        now_ms: int,
    ) -> int:
        found = moments.get(service)
        if found is None:
            return 0
        while found and found[0] <= now_ms - self._window_ms:
            found.popleft()
        return len(found)
