"""Ends a process without cutting off what is in progress."""

import asyncio
from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.router import control
from rhubarblead.router import entry
from rhubarblead.router import http_server
from rhubarblead.router import journal
from rhubarblead.router import ownership
from rhubarblead.router import promising
from rhubarblead.router import upstream
from rhubarblead.router import wire

REFUSE_AFTER_S = 2.9
"""From the stop on; what comes later could be cut off by the end."""

LEAVE_AFTER_S = 2.6
"""Callers stay away after two failed checks, which are a second apart."""

GRACE_MARGIN_S = 0.5
"""Before the platform kills a process that was asked to stop."""

_STEP_S = 0.05


class Stopping:
    """The steps of a planned stop."""

    __slots__ = (
        "_callers",
        "_control",
        "_entry",
        "_grace_s",
        "_journal",
        "_loop",
        "_owner",
        "_promising",
        "_tell_state",
        "_upstream",
    )

    def __init__(
        self,
        *,
        callers: http_server.Server,
        requests: entry.Entry,
        local: upstream.Upstream,
        heartbeats: control.Control,
        owner: ownership.Ownership,
        promises: promising.Promising,
        events: journal.Journal,
        grace_ms: int,
        tell_state: Callable[[], None],
    ) -> None:
        """Prepares a stop.

        Args:
            callers: The connections of callers.
            requests: The requests of callers.
            local: The server beside this node.
            heartbeats: Takes the server's heartbeats.
            owner: Decides on keys.
            promises: Short promises with other nodes.
            events: The journal.
            grace_ms: From the stop until the platform kills the process.
            tell_state: Tells the other nodes of a change.
        """
        self._loop = asyncio.get_running_loop()
        self._callers = callers
        self._entry = requests
        self._upstream = local
        self._control = heartbeats
        self._owner = owner
        self._promising = promises
        self._journal = events
        self._grace_s = grace_ms / 1_000
        self._tell_state = tell_state

    async def run(self) -> None:
        """Finishes what is in progress, within the platform's time."""
        began_s = self._loop.time()
        callers = self._callers
        self._journal.emit(
            catalog.Event.ROUTER_STOPPING,
            pending_count=callers.count_pending(),
            running_count=self._upstream.room.running_count,
        )
        self._owner.is_stopping = True
        callers.close_gracefully()
        self._tell_state()
        await self._promising.leave()
        await self._owner.renew_before_stop()
        await self._drain(began_s)
        self._entry.end_all()
        self._journal.emit(
            catalog.Event.ROUTER_STOPPED,
            pending_count=callers.count_pending(),
            waited_ms=int((self._loop.time() - began_s) * 1_000),
        )

    async def _drain(self, began_s: float) -> None:
        last_s = began_s + self._grace_s - GRACE_MARGIN_S
        while self._loop.time() < last_s:
            waited_s = self._loop.time() - began_s
            if waited_s >= LEAVE_AFTER_S:
                self._stop_serving()
                self._callers.close_idle()
                if self._is_idle():
                    return
            if waited_s >= REFUSE_AFTER_S:
                self._entry.is_closed = True
            await asyncio.sleep(_STEP_S)

    def _is_idle(self) -> bool:
        running_count = self._upstream.room.running_count
        return not self._callers.count_pending() and not running_count

    def _stop_serving(self) -> None:
        """Takes no more requests for the server beside this node."""
        self._control.is_stopping = True
        if self._upstream.is_serving:
            self._upstream.turn_away_all(wire.Reason.LEAVING)
            self._tell_state()
