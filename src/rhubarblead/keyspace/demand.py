"""Counts the requests for each key in the last seconds."""

WINDOW_MS = 1_500
"""Hot keys change within seconds; a server gets some 60 requests in it."""


class Demand:
    """Rates of the keys that one server is asked for, over two windows."""

    __slots__ = ("_began_ms", "_counts", "_earlier", "_is_whole")

    def __init__(self) -> None:
        self._began_ms = 0
        self._counts: dict[int, int] = {}
        self._earlier: dict[int, int] = {}
        self._is_whole = False

    def add(self, key: int, now_ms: int) -> None:
        """Counts one request."""
        self._advance(now_ms)
        self._counts[key] = self._counts.get(key, 0) + 1

    def find_rates(self, now_ms: int) -> dict[int, float]:
        """Finds the requests a second of each key that was asked for."""
        self._advance(now_ms)
        passed_ms = now_ms - self._began_ms
        length_s = (passed_ms + (WINDOW_MS if self._is_whole else 0)) / 1_000
        if length_s <= 0:
            return {}
        total = dict(self._earlier)
        for key, count in self._counts.items():
            total[key] = total.get(key, 0) + count
        return {key: count / length_s for key, count in total.items()}

    def _advance(self, now_ms: int) -> None:
        passed_ms = now_ms - self._began_ms
        if passed_ms < WINDOW_MS:
            return
        self._is_whole = self._began_ms > 0
        self._earlier = self._counts if passed_ms < 2 * WINDOW_MS else {}
        self._counts = {}
        self._began_ms = now_ms
