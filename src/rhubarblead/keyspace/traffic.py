"""Measures the recent request rate of each key."""

WINDOW_MS = 1_500
"""Short, as hot keys change within seconds; about 60 requests per server."""


class KeyTraffic:
    """Request rates of one server's keys over the last two windows."""

    __slots__ = (
        "_window_start_ms",
        "_counts",
        "_previous_counts",
        "_has_previous_window",
    )

    def __init__(self) -> None:
        self._window_start_ms = 0
        self._counts: dict[int, int] = {}
        self._previous_counts: dict[int, int] = {}
        self._has_previous_window = False

    def add(self, key: int, now_ms: int) -> None:
        """Counts one request."""
        self._advance(now_ms)
        self._counts[key] = self._counts.get(key, 0) + 1

    def find_rates(self, now_ms: int) -> dict[int, float]:
        """Returns requests per second for each key requested in the windows."""
        self._advance(now_ms)
        elapsed_ms = now_ms - self._window_start_ms
        duration_s = (
            elapsed_ms + (WINDOW_MS if self._has_previous_window else 0)
        ) / 1_000
        if duration_s <= 0:
            return {}
        total = dict(self._previous_counts)
        for key, count in self._counts.items():
            total[key] = total.get(key, 0) + count
        return {key: count / duration_s for key, count in total.items()}

    def _advance(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._has_previous_window = self._window_start_ms > 0
        self._previous_counts = (
            self._counts if elapsed_ms < 2 * WINDOW_MS else {}
        )
        self._counts = {}
        self._window_start_ms = now_ms
