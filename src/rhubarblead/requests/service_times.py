"""Estimates service times at one server, and when its slots become free.

Service times vary widely: a run that has exceeded the mean of its route isn't
necessarily about to end, and calls of 60 ms wait behind runs of 900 ms.
"""

from collections.abc import Iterable
import math

INITIAL_SERVICE_MS = 250.0
"""Assumed for routes that have not run yet; real runs take 55 to 880 ms."""

VALID_MS = 4_000
"""Age at which a route's mean expires, so that the server is tried again."""

NEWEST_WEIGHT = 0.1
"""Weight of the newest run in the moving averages."""

NORMAL_DEVIATION = 1.25
"""Standard deviation over mean absolute deviation of a normal distribution."""

MIN_SHAPE = 1.0
MAX_SHAPE = 8.0
"""Shapes of a Weibull distribution: 1 is memoryless, 8 is nearly constant."""


class ServiceTimes:
    """Moving averages of the service times of each route at one server."""

    __slots__ = (
        "_deviation_ms",
        "_mean_ms",
        "_overall_deviation_ms",
        "_ran_at_ms",
        "overall_ms",
    )

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._deviation_ms: dict[str, float] = {}
        self._ran_at_ms: dict[str, int] = {}
        # Moving average over the runs of all routes.
        self.overall_ms = INITIAL_SERVICE_MS
        self._overall_deviation_ms = 0.0

    def add(self, route: str, taken_ms: float, now_ms: int) -> None:
        """Records a run that has ended; `taken_ms` is its duration."""
        self._ran_at_ms[route] = now_ms
        overall_error_ms = taken_ms - self.overall_ms
        self.overall_ms += NEWEST_WEIGHT * overall_error_ms
        self._overall_deviation_ms += NEWEST_WEIGHT * (
            abs(overall_error_ms) - self._overall_deviation_ms
        )
        mean_ms = self._mean_ms.get(route)
        if mean_ms is None:
            self._mean_ms[route] = taken_ms
            self._deviation_ms[route] = 0.0
            return
        error_ms = taken_ms - mean_ms
        self._mean_ms[route] = mean_ms + NEWEST_WEIGHT * error_ms
        deviation_ms = self._deviation_ms[route]
        self._deviation_ms[route] = deviation_ms + NEWEST_WEIGHT * (
            abs(error_ms) - deviation_ms
        )

    def find_ms(self, route: str) -> float:
        """Finds the mean service time of a route, in milliseconds."""
        found = self._mean_ms.get(route)
        if found is not None:
            return found
        known = self._mean_ms.values()
        return sum(known) / len(known) if known else INITIAL_SERVICE_MS

    def list_valid(self, now_ms: int) -> dict[str, int]:
        """Lists the mean service time of each route that ran recently.

        An outdated mean would keep requests away from a server that was slow
        once.
        """
        return {
            route: int(ms)
            for route, ms in self._mean_ms.items()
            if now_ms - self._ran_at_ms[route] <= VALID_MS
        }

    def estimate_first_free_ms(
        self, running: Iterable[tuple[str, int]], now_ms: int
    ) -> float:
        """Estimates the time in milliseconds until the first run ends.

        The more service times vary, the sooner the first of several runs ends.

        Args:
            running: Route and start time of each run.
            now_ms: Current time in milliseconds.
        """
        remaining_ms = []
        shapes = []
        for route, started_ms in running:
            left_ms = self._estimate_left_ms(route, now_ms - started_ms)
            if left_ms <= 0:
                return 0.0
            remaining_ms.append(left_ms)
            shapes.append(self._find_shape(route))
        if not remaining_ms:
            return 0.0
        shape = sum(shapes) / len(shapes)
        shortest_ms = min(remaining_ms)
        weight_sum = sum((shortest_ms / ms) ** shape for ms in remaining_ms)
        if shape >= MAX_SHAPE:
            return shortest_ms
        return float(shortest_ms / weight_sum ** (1 / shape))

    def estimate_queue_ms(
        self,
        ahead: Iterable[tuple[str, int]],
        running: Iterable[tuple[str, int]],
        slot_count: int,
    ) -> float:
        """Estimates the queueing time in milliseconds once a slot is free.

        Args:
            ahead: Routes and counts of the requests ahead in the queue.
            running: Route and start time of each run.
            slot_count: Number of slots of the server.
        """
        ends_per_ms = sum(1 / max(1.0, self.find_ms(r)) for r, _ in running)
        others_per_ms = ends_per_ms * (slot_count - 1) / slot_count
        # The next free slot is the one taken last, or one of the others.
        return sum(
            count / (1 / max(1.0, self.find_ms(route)) + others_per_ms)
            for route, count in ahead
        )

    def estimate_queue_deviation_ms(
        self, wait_ms: float, stretch: float, slot_count: int
    ) -> float:
        """Estimates the standard deviation of a wait, in milliseconds.

        Args:
            wait_ms: Expected wait if no other request arrives.
            stretch: Factor by which requests that overtake prolong it.
            slot_count: Number of slots of the server.
        """
        slot_ms = self.overall_ms / slot_count
        variation = (
            NORMAL_DEVIATION * self._overall_deviation_ms / self.overall_ms
        )
        # How long the known requests run varies; of those that overtake, the
        # number varies as well.
        overtaken_ms = wait_ms * (stretch - 1)
        variance = slot_ms * (
            wait_ms * variation**2 + overtaken_ms * (1 + variation**2)
        )
        return stretch * math.sqrt(variance)

    def _estimate_left_ms(self, route: str, elapsed_ms: int) -> float:
        mean_ms = self.find_ms(route)
        deviation_ms = self._deviation_ms.get(route, 0.0)
        return max(mean_ms - elapsed_ms, deviation_ms)

    def _find_shape(self, route: str) -> float:
        mean_ms = self._mean_ms.get(route, 0.0)
        deviation_ms = self._deviation_ms.get(route, 0.0)
        if deviation_ms * MAX_SHAPE * NORMAL_DEVIATION <= mean_ms:
            return MAX_SHAPE
        # The root accounts for staggered starts: such runs end more evenly than
        # runs that started at the same time.
        shape = math.sqrt(mean_ms / (NORMAL_DEVIATION * deviation_ms))
        return max(MIN_SHAPE, shape)
