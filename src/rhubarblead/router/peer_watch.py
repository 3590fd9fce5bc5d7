"""Probes nodes that owe replies, and reports those that fall silent."""

import asyncio
from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.requests import peer_silence
from rhubarblead.router import event_log
from rhubarblead.router import peers
from rhubarblead.router import wire

CHECK_INTERVAL_MS = 50


class PeerWatch:
    """Watches the nodes to which this one has sent requests."""

    __slots__ = (
        "_due_at_ms",
        "_events",
        "_links",
        "_loop",
        "_now_ms",
        "_on_silent",
        "_silence",
        "_timer",
    )

    def __init__(
        self,
        *,
        links: peers.Links,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        on_silent: Callable[[str], None],
    ) -> None:
        """Creates a watch that runs only while replies are due.

        Args:
            links: The links to the other nodes.
            events: The event log.
            now_ms: A clock in milliseconds that also advances while the
                instance is suspended.
            on_silent: Called with each node that falls silent.
        """
        self._loop = asyncio.get_running_loop()
        self._links = links
        self._events = events
        self._now_ms = now_ms
        self._on_silent = on_silent
        self._silence = peer_silence.PeerSilence()
        self._due_at_ms = 0
        self._timer: asyncio.TimerHandle | None = None

    def record_sent(self, node_id: str) -> None:
        """Records a request that was sent to a node."""
        self._silence.record_sent(node_id, self._now_ms())
        self._schedule()

    def record_reply(self, node_id: str, message: wire.Message) -> bool:
        """Records a reply of a node.

        Returns:
            Whether the node was silent until now.
        """
        was_silent = self._silence.record_reply(
            node_id,
            self._now_ms(),
            is_to_probe=isinstance(message, wire.ProbeReply),
        )
        if was_silent:
            self._events.emit(catalog.Event.PEER_REPLIES, node_id=node_id)
        return was_silent

    def record_link_lost(self, node_id: str) -> None:
        """Forgets a node; the loss of its link tells more than its silence."""
        self._silence.forget(node_id)

    def is_silent(self, node_id: str) -> bool:
        """Returns whether a node owes a reply to a probe."""
        return self._silence.is_silent(node_id)

    def find_silent_ms(self, node_id: str) -> int:
        """Returns for how long a silent node has not replied, else 0."""
        return self._silence.find_silent_ms(node_id, self._now_ms())

    def close(self) -> None:
        """Stops the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        self._due_at_ms = self._now_ms() + CHECK_INTERVAL_MS
        self._timer = self._loop.call_later(
            CHECK_INTERVAL_MS / 1_000, self._check
        )

    def _check(self) -> None:
        self._timer = None
        now_ms = self._now_ms()
        found = self._silence.check(now_ms, late_ms=now_ms - self._due_at_ms)
        for node_id in found.to_probe:
            self._links.send(node_id, wire.Probe())
        for node_id in found.silent:
            self._events.emit(
                catalog.Event.PEER_SILENT,
                node_id=node_id,
                silent_ms=self._silence.find_silent_ms(node_id, now_ms),
            )
            self._on_silent(node_id)
        if self._silence.is_reply_due:
            self._schedule()
