"""Catches up on crashes whose reports a node has missed.

Reports are sent once, over the links that are up. Each state carries a digest
of the crashes that its node has on record; a node whose own digest differs asks
for the list. Two nodes that each lack a crash ask each other.
"""

import asyncio
from collections.abc import Callable

from rhubarblead.router import crashes
from rhubarblead.router import peers
from rhubarblead.router import wire

CATCH_UP_DELAY_S = 0.3
"""Delay before a list is requested; a report may still be on its way."""

MAX_ATTEMPTS = 10
"""A node that has started opens its links within this many delays."""


class CrashSync:
    """Keeps the crashes on record at this node complete."""

    __slots__ = ("_crashes", "_links", "_loop", "_timer")

    def __init__(
        self, *, crash_detector: crashes.CrashDetector, links: peers.Links
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._crashes = crash_detector
        self._links = links
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Drops a request that is due."""
        if self._timer is not None:
            self._timer.cancel()

    def handle_state(self, state: wire.State) -> None:
        """Schedules a request if a node has other crashes on record.

        One request at a time is enough: what one node doesn't know of, the next
        state of another shows.
        """
        if self._timer is None and self._is_different(state):
            self._schedule(state, MAX_ATTEMPTS)

    def handle_request(self, reply: Callable[[wire.Message], None]) -> None:
        """Replies with all crashes on record."""
        for report in self._crashes.list_reports():
            reply(report)

    def _schedule(self, state: wire.State, attempts_left: int) -> None:
        self._timer = self._loop.call_later(
            CATCH_UP_DELAY_S, self._request, state, attempts_left - 1
        )

    def _request(self, state: wire.State, attempts_left: int) -> None:
        self._timer = None
        if not self._is_different(state):
            return
        is_sent = self._links.send(state.node_id, wire.CrashListRequest())
        if not is_sent and attempts_left:
            self._schedule(state, attempts_left)

    def _is_different(self, state: wire.State) -> bool:
        digest = state.crash_digest
        return digest not in (0, self._crashes.compute_digest())
