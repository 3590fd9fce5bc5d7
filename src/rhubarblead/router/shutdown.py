"""Shuts a process down gracefully, so that requests in progress complete."""

import asyncio
from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.router import dispatcher
from rhubarblead.router import event_log
from rhubarblead.router import heartbeat_handler
from rhubarblead.router import http_server
from rhubarblead.router import ownership
from rhubarblead.router import promise_exchange
from rhubarblead.router import response_sender
from rhubarblead.router import tasks
from rhubarblead.router import upstream
from rhubarblead.router import wire

CLOSE_DISPATCHER_AFTER_S = 2.9
"""Time from the stop until new requests are refused.

Requests that arrive later might not complete before the process ends.
"""

STOP_SERVING_AFTER_S = 2.6
"""Time from the stop until the node stops serving and drops idle callers.

Callers leave after two failed readiness checks, which are a second apart.
"""

MAX_ACCEPTING_SHARE = 0.5
"""Limits both times to a share of the grace, so that requests can complete."""

GRACE_MARGIN_S = 0.5
"""Margin before the platform kills a process that was asked to stop."""

FLUSH_S = 0.2
"""Time to send the final responses to requests that are cut by the stop."""

_POLL_INTERVAL_S = 0.05


class Shutdown:
    """Performs the steps of a planned stop."""

    __slots__ = (
        "_broadcast_state",
        "_callers",
        "_heartbeat_handler",
        "_dispatcher",
        "_events",
        "_grace_s",
        "_loop",
        "_ownership",
        "_promise_exchange",
        "_sender",
        "_upstream",
    )

    def __init__(
        self,
        *,
        callers: http_server.Server,
        requests: dispatcher.RequestDispatcher,
        local_upstream: upstream.Upstream,
        sender: response_sender.ResponseSender,
        heartbeat_handler: heartbeat_handler.HeartbeatHandler,
        key_ownership: ownership.Ownership,
        promise_exchange: promise_exchange.PromiseExchange,
        events: event_log.EventLog,
        grace_ms: int,
        broadcast_state: Callable[[], None],
    ) -> None:
        """Initializes the shutdown without starting it.

        Args:
            callers: HTTP server for callers.
            requests: The dispatcher of the requests of callers.
            local_upstream: The local server.
            sender: Sends outcomes to other nodes.
            heartbeat_handler: Handler of the server's heartbeats.
            key_ownership: Ownership of keys.
            promise_exchange: Short-term leases exchanged with other nodes.
            events: The event log.
            grace_ms: Time from the stop until the platform kills the process.
            broadcast_state: Sends this node's state to the other nodes.
        """
        self._loop = asyncio.get_running_loop()
        self._callers = callers
        self._dispatcher = requests
        self._upstream = local_upstream
        self._sender = sender
        self._heartbeat_handler = heartbeat_handler
        self._ownership = key_ownership
        self._promise_exchange = promise_exchange
        self._events = events
        self._grace_s = grace_ms / 1_000
        self._broadcast_state = broadcast_state

    async def run(self) -> None:
        """Completes requests in progress within the platform's grace period."""
        started_at_s = self._loop.time()
        callers = self._callers
        self._events.emit(
            catalog.Event.ROUTER_STOPPING,
            pending_count=callers.count_pending(),
            running_count=self._upstream.wait_queue.running_count,
        )
        self._ownership.is_stopping = True
        callers.close_after_responses()
        self._broadcast_state()
        # Runs beside the drain: without the store it takes seconds.
        renewal = tasks.start(
            self._renew(), name="renewal before the stop", events=self._events
        )
        await self._drain(started_at_s, renewal)
        renewal.cancel()
        self._dispatcher.expire_all()
        await self._flush(self._loop.time() + FLUSH_S)
        self._events.emit(
            catalog.Event.ROUTER_STOPPED,
            pending_count=callers.count_pending(),
            unsent_bytes=callers.count_unsent_bytes(),
            waited_ms=int((self._loop.time() - started_at_s) * 1_000),
        )

    async def _renew(self) -> None:
        """Makes the lease outlast the restart of this process."""
        await self._promise_exchange.leave()
        await self._ownership.renew_before_stop()

    async def _drain(
        self, started_at_s: float, renewal: "asyncio.Task[None]"
    ) -> None:
        longest_s = self._grace_s * MAX_ACCEPTING_SHARE
        stop_after_s = min(STOP_SERVING_AFTER_S, longest_s)
        close_after_s = min(CLOSE_DISPATCHER_AFTER_S, longest_s)
        deadline_s = started_at_s + self._grace_s - GRACE_MARGIN_S
        while self._loop.time() < deadline_s:
            waited_s = self._loop.time() - started_at_s
            if waited_s >= stop_after_s:
                self._stop_serving()
                self._callers.close_idle()
                if self._is_idle() and renewal.done():
                    return
            if waited_s >= close_after_s:
                self._dispatcher.is_closed = True
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        running_count = self._upstream.wait_queue.running_count
        return (
            self._callers.is_idle and not running_count and self._sender.is_idle
        )

    async def _flush(self, due_at_s: float) -> None:
        """Waits until the written responses have been sent, or it is due."""
        while self._callers.count_unsent_bytes():
            if self._loop.time() >= due_at_s:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _stop_serving(self) -> None:
        """Accepts no more requests for the local server."""
        self._heartbeat_handler.is_stopping = True
        if self._upstream.is_serving:
            self._upstream.refuse_all(wire.Reason.LEAVING)
            self._broadcast_state()
