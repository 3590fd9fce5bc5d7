"""Measures the recent request rate of each key that a server owns.

Answers moves of hot keys: counted over whole windows, keys that have left would
still count, and those that have come would hardly do so. Both servers would go
on moving keys after the load is even.
"""

import bisect
from collections.abc import Iterable
import dataclasses

from rhubarblead.keyspace import assignment

WINDOW_MS = 1_500
"""Short, as hot keys change within seconds; about 60 requests per server."""

MIN_MEASURED_MS = 300
"""Least time for which a new range's requests are taken to have come.

Five requests of a key that gets 15 per second; less would be mostly chance.
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _OwnedRange:
    """A range of keys, and since when its requests are counted."""

    first: int
    last: int
    since_ms: int


class KeyTraffic:
    """Request rates of one server's keys over the last two windows.

    All keys count as owned until `set_owned` tells otherwise.
    """

    __slots__ = (
        "_window_start_ms",
        "_counts",
        "_firsts",
        "_previous_counts",
        "_has_previous_window",
        "_owned",
        "_spans",
    )

    def __init__(self) -> None:
        self._window_start_ms = 0
        self._counts: dict[int, int] = {}
        self._previous_counts: dict[int, int] = {}
        self._has_previous_window = False
        self._spans: tuple[tuple[int, int], ...] = (
            (0, assignment.KEY_COUNT - 1),
        )
        self._owned = [
            _OwnedRange(first=first, last=last, since_ms=0)
            for first, last in self._spans
        ]
        self._firsts = [item.first for item in self._owned]

    def add(self, key: int, now_ms: int) -> None:
        """Counts one request."""
        self._advance(now_ms)
        self._counts[key] = self._counts.get(key, 0) + 1

    def set_owned(self, spans: Iterable[tuple[int, int]], now_ms: int) -> None:
        """Sets the keys that the server owns.

        Args:
            spans: First and last key of each range, in ascending order.
            now_ms: Current time, from which new ranges are measured.
        """
        spans = tuple(spans)
        if spans == self._spans:
            return
        owned: list[_OwnedRange] = []
        for first, last in spans:
            owned += self._list_pieces(first, last, now_ms)
        # A range that comes back is measured anew.
        for item in owned:
            if item.since_ms == now_ms:
                self._forget(item)
        self._spans = spans
        self._owned = owned
        self._firsts = [item.first for item in owned]

    def find_rates(self, now_ms: int) -> dict[int, float]:
        """Returns requests per second of each owned key requested lately."""
        self._advance(now_ms)
        elapsed_ms = now_ms - self._window_start_ms
        duration_ms = elapsed_ms + (
            WINDOW_MS if self._has_previous_window else 0
        )
        if duration_ms <= 0:
            return {}
        total = dict(self._previous_counts)
        for key, count in self._counts.items():
            total[key] = total.get(key, 0) + count
        rates = {}
        for key, count in total.items():
            owned = self._find(key)
            if owned is None:
                continue
            owned_ms = max(MIN_MEASURED_MS, now_ms - owned.since_ms)
            rates[key] = count * 1_000 / min(duration_ms, owned_ms)
        return rates

    def _list_pieces(
        self, first: int, last: int, now_ms: int
    ) -> list[_OwnedRange]:
        """Divides a range into what was owned before and what is new."""
        pieces = []
        index = max(0, bisect.bisect_right(self._firsts, first) - 1)
        for known in self._owned[index:]:
            if known.first > last:
                break
            if known.last < first:
                continue
            if known.first > first:
                pieces.append(
                    _OwnedRange(
                        first=first, last=known.first - 1, since_ms=now_ms
                    )
                )
            begin = max(first, known.first)
            first = min(last, known.last) + 1
            pieces.append(
                _OwnedRange(
                    first=begin, last=first - 1, since_ms=known.since_ms
                )
            )
        if first <= last:
            pieces.append(_OwnedRange(first=first, last=last, since_ms=now_ms))
        return pieces

    def _forget(self, owned: _OwnedRange) -> None:
        for counts in (self._counts, self._previous_counts):
            for key in [k for k in counts if owned.first <= k <= owned.last]:
                del counts[key]

    def _find(self, key: int) -> _OwnedRange | None:
        index = bisect.bisect_right(self._firsts, key) - 1
        if index < 0 or key > self._owned[index].last:
            return None
        return self._owned[index]

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
