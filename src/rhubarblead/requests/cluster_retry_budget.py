"""Limits the retries of one node to its share of a limit on all nodes.

Without a limit, retries add to the load that makes servers fail. The nodes
share the limit without communication: each counts its own requests, plus an
equal part of a fixed number of extra retries.
"""

import collections
import dataclasses

SAFETY_FACTOR = 0.8
"""Share of the limit in use; covers node changes and sliding windows."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """Retries to a service within the window, and how many are allowed."""

    used_count: float
    allowed_count: float


class ClusterRetryBudget:
    """Counts requests and retries per service in a sliding window."""

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
        """Creates a budget with no requests or retries counted.

        Args:
            ratio: Retries allowed per request.
            window_ms: Length of the window in milliseconds.
            extra_count: Extra retries per window, of all nodes together.
        """
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra_count = extra_count
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Counts a request from a caller."""
        self._add(self._requests, service, now_ms)

    def take_retry(self, service: str, now_ms: int, node_count: int) -> bool:
        """Counts one retry if it is within the budget.

        Args:
            service: The service that receives the retry.
            now_ms: Current time in milliseconds.
            node_count: Number of nodes that share the limit.

        Returns:
            Whether the retry is allowed.
        """
        use = self.find_use(service, now_ms, node_count)
        if use.used_count + 1 > use.allowed_count:
            return False
        self._add(self._retries, service, now_ms)
        return True

    def find_use(self, service: str, now_ms: int, node_count: int) -> Use:
        """Returns how much of the budget of a service is used.

        Args:
            service: The service.
            now_ms: Current time in milliseconds.
            node_count: Number of nodes that share the limit.
        """
        requests = self._count(self._requests, service, now_ms)
        return Use(
            used_count=self._count(self._retries, service, now_ms),
            allowed_count=SAFETY_FACTOR
            * (self._ratio * requests + self._extra_count / max(1, node_count)),
        )

    def list_services(self) -> list[str]:
        """Lists the services to which there have been requests."""
        return list(self._requests)

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
