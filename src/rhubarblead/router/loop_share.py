"""Bounds the share of the event loop that callers or links take up."""

import asyncio
from collections.abc import Callable
import heapq
import itertools

SLICE_S = 0.01
"""Work in one turn of the loop; a node's own duties wait for it."""

COST_WEIGHT = 50.0
"""Delay of work per time that its connection has taken up.

A small request overtakes the next part of an upload that has cost more.
"""


class LoopShare:
    """Runs work for others in slices, the cheapest connections first.

    Work that is left over at the end of a slice runs in the next turn of the
    event loop, after the timers and sockets of the node's own duties.
    """

    __slots__ = ("_is_scheduled", "_left_s", "_loop", "_numbers", "_queue")

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        """Creates a share with a full slice.

        Args:
            loop: The event loop.
        """
        self._loop = loop
        self._left_s = SLICE_S
        self._is_scheduled = False
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def run(self, work: Callable[[], None], *, used_s: float) -> None:
        """Runs work now if the slice allows it, otherwise later.

        Args:
            work: What to run.
            used_s: Time that the same connection has taken up before.
        """
        if not self._queue and self._left_s > 0:
            self._run(work)
            return
        self.defer(work, used_s=used_s)

    def defer(self, work: Callable[[], None], *, used_s: float) -> None:
        """Runs work once what is due before it has run.

        Args:
            work: What to run.
            used_s: Time that the same connection has taken up before.
        """
        due_s = self._loop.time() + used_s * COST_WEIGHT
        heapq.heappush(self._queue, (due_s, next(self._numbers), work))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._begin_slice)

    def _run(self, work: Callable[[], None]) -> None:
        self._schedule()
        started_s = self._loop.time()
        try:
            work()
        finally:
            self._left_s -= self._loop.time() - started_s

    def _begin_slice(self) -> None:
        self._is_scheduled = False
        self._left_s = SLICE_S
        while self._queue and self._left_s > 0:
            self._run(heapq.heappop(self._queue)[2])
