"""Limits the retries of one node to its share of a limit on all nodes.

Without a limit, retries add to the load that makes servers fail. The nodes
share the limit without communication: each counts its own callers' requests,
plus an equal part of a fixed number of extra retries. The sum of the parts
holds whatever becomes of the nodes:

* All known nodes share the extra retries, also those that can't be reached, so
  that no cut makes a part larger.
* A process uses no extra retries before it has run for a whole window, as an
  earlier process of its node may have used its part of the same window.
* A retry counts until a window after it has ended, so that those that wait for
  a server count when they reach it.
* A repeated run makes its nested calls again, which count as retries to the
  services that it calls.
"""

import collections
from collections.abc import Mapping
import dataclasses

SAFETY_FACTOR = 0.8
"""Share of the limit in use; covers sliding windows, and nodes that join."""

_NO_CALLS: Mapping[str, float] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """Retries to a service within the window, and how many are allowed."""

    used_count: float
    allowed_count: float

    @property
    def left_count(self) -> float:
        """How many more retries are allowed."""
        return self.allowed_count - self.used_count


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Retry:
    """A retry that was allowed.

    `charges` holds by service how many retries it counts as. `ended_at_ms` is
    None while it may still reach a server or run there.
    """

    charges: Mapping[str, float]
    ended_at_ms: int | None = None


class ClusterRetryBudget:
    """Counts requests and retries per service in a sliding window."""

    __slots__ = (
        "_extra_count",
        "_extra_from_ms",
        "_ratio",
        "_requests",
        "_retries",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        ratio: float,
        window_ms: int,
        extra_count: float,
        started_at_ms: int,
    ) -> None:
        """Creates a budget with no requests or retries counted.

        Args:
            ratio: Retries allowed per request.
            window_ms: Length of the window in milliseconds.
            extra_count: Extra retries per window, of all nodes together.
            started_at_ms: When this process started.
        """
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra_count = extra_count
        self._extra_from_ms = started_at_ms + window_ms
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: list[Retry] = []

    def record_request(self, service: str, now_ms: int) -> None:
        """Counts a request from a caller; calls of servers don't count."""
        self._requests.setdefault(service, collections.deque()).append(now_ms)

    def take_retry(
        self,
        service: str,
        now_ms: int,
        node_count: int | None,
        calls: Mapping[str, float] = _NO_CALLS,
    ) -> Retry | None:
        """Counts one retry if it is within the budget.

        Args:
            service: The service that receives the retry.
            now_ms: Current time in milliseconds.
            node_count: Number of nodes that share the limit, None if that
                isn't known.
            calls: Nested calls that a run at the service makes on average, by
                the service that is called.

        Returns:
            The retry, whose end must be set, or None if it isn't allowed.
        """
        charges = dict(calls)
        charges[service] = charges.get(service, 0.0) + 1
        for charged, count in charges.items():
            if self.find_use(charged, now_ms, node_count).left_count < count:
                return None
        retry = Retry(charges=charges)
        self._retries.append(retry)
        return retry

    def find_use(
        self, service: str, now_ms: int, node_count: int | None
    ) -> Use:
        """Returns how much of the budget of a service is used.

        Args:
            service: The service.
            now_ms: Current time in milliseconds.
            node_count: Number of nodes that share the limit, None if that
                isn't known.
        """
        self._forget(now_ms)
        extra_count = 0.0
        if node_count is not None and now_ms >= self._extra_from_ms:
            extra_count = self._extra_count / node_count
        request_count = self._count_requests(service, now_ms)
        return Use(
            used_count=sum(
                retry.charges.get(service, 0.0) for retry in self._retries
            ),
            allowed_count=SAFETY_FACTOR
            * (self._ratio * request_count + extra_count),
        )

    def list_services(self) -> list[str]:
        """Lists the services to which there have been requests."""
        return list(self._requests)

    def _forget(self, now_ms: int) -> None:
        """Forgets the retries that ended before the window."""
        begin_ms = now_ms - self._window_ms
        self._retries = [
            retry
            for retry in self._retries
            if retry.ended_at_ms is None or retry.ended_at_ms > begin_ms
        ]

    def _count_requests(self, service: str, now_ms: int) -> int:
        found = self._requests.get(service)
        if found is None:
            return 0
        while found and found[0] <= now_ms - self._window_ms:
            found.popleft()
        return len(found)
