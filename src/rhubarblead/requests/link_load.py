"""Estimates how long a large response would wait for the instance's link.

The link is a resource of a server like its slots: a server with free slots
whose link is occupied for a second can't take another download.
"""

from collections.abc import Callable
import math

NEWEST_WEIGHT = 0.1
"""Weight of the newest response in the moving average of the sizes."""


USABLE_SHARE = 0.8
"""Share of the link that responses may fill; others need the rest."""


class LinkLoad:
    """Bytes that the running requests of a server are expected to send."""

    __slots__ = (
        "_bytes_per_ms",
        "_find_queued_bytes",
        "_mean_bytes",
        "_min_bytes",
        "_overall_bytes",
        "_running",
    )

    def __init__(
        self,
        *,
        bytes_per_ms: float,
        min_bytes: int,
        find_queued_bytes: Callable[[], int],
    ) -> None:
        """Creates an estimate without known routes.

        Args:
            bytes_per_ms: Rate of the instance's link.
            min_bytes: Size up to which responses don't wait for others.
            find_queued_bytes: Returns the bytes that wait for the link.
        """
        self._bytes_per_ms = bytes_per_ms
        self._min_bytes = min_bytes
        self._find_queued_bytes = find_queued_bytes
        self._mean_bytes: dict[str, float] = {}
        self._overall_bytes: float | None = None
        self._running: dict[int, str] = {}

    def start(self, number: int, route: str) -> None:
        """Records that a request runs."""
        self._running[number] = route

    def finish(self, number: int, size_bytes: int | None) -> None:
        """Records the end of a run.

        Args:
            number: The request.
            size_bytes: Size of its response, None if there is none.
        """
        route = self._running.pop(number, None)
        if route is None or size_bytes is None:
            return
        if self._overall_bytes is None:
            self._overall_bytes = float(size_bytes)
        self._overall_bytes += NEWEST_WEIGHT * (
            size_bytes - self._overall_bytes
        )
        mean_bytes = self._mean_bytes.get(route, float(size_bytes))
        self._mean_bytes[route] = mean_bytes + NEWEST_WEIGHT * (
            size_bytes - mean_bytes
        )

    def find_capacity_per_s(self) -> float:
        """Estimates how many responses per second the link can send."""
        if not self._overall_bytes:
            return math.inf
        return USABLE_SHARE * 1_000 * self._bytes_per_ms / self._overall_bytes

    def find_backlog_ms(self) -> float:
        """Finds how long the link needs for what is queued or expected."""
        expected_bytes = sum(
            self._mean_bytes[route]
            for route in self._running.values()
            if self._is_large(route)
        )
        queued_bytes = self._find_queued_bytes() + expected_bytes
        return queued_bytes / self._bytes_per_ms

    def find_wait_ms(self, route: str, service_ms: float) -> float:
        """Estimates how long a response would wait for the link.

        Args:
            route: Route of the request.
            service_ms: Time until the response is ready.
        """
        if not self._is_large(route):
            return 0.0
        return max(0.0, self.find_backlog_ms() - service_ms)

    def _is_large(self, route: str) -> bool:
        return self._mean_bytes.get(route, 0.0) > self._min_bytes
