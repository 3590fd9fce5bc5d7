"""What nodes tell each other of themselves, and of what others have missed."""

import asyncio
from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.router import config_feed
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import ownership
from rhubarblead.router import peers
from rhubarblead.router import wire

CATCH_UP_DELAY_S = 0.4
"""Before a node asks another for what it may still get by itself."""


class StateSync:
    """Keeps this node's knowledge as new as that of the others."""

    __slots__ = (
        "_now_ms",
        "_config",
        "_directory",
        "_events",
        "_links",
        "_loop",
        "_on_peer_state",
        "_owner",
        "_state",
    )

    def __init__(
        self,
        *,
        known: directory.Directory,
        links: peers.Links,
        config: config_feed.ConfigFeed,
        owner: ownership.Ownership,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        on_peer_state: Callable[[str], None],
    ) -> None:
        """Makes the part.

        Args:
            known: What this node knows.
            links: Links to the other nodes.
            config: The configuration.
            owner: Decides on keys.
            events: The journal.
            now_ms: The clock.
            on_peer_state: Called when another node's state has come.
        """
        self._loop = asyncio.get_running_loop()
        self._directory = known
        self._state = known.own_state
        self._links = links
        self._config = config
        self._owner = owner
        self._events = events
        self._now_ms = now_ms
        self._on_peer_state = on_peer_state

    def handle_state(self, state: wire.State) -> None:
        """Takes what another node tells of itself."""
        if state.node_id == self._state.node_id:
            return
        self._links.connect(state.node_id, state.address)
        # It is kept also while the own link isn't up yet: it isn't sent again
        # soon, and what can't be sent over the link certainly isn't.
        self._directory.take_state(state, self._now_ms())
        self._schedule_catch_up(state)
        self._on_peer_state(state.node_id)

    def handle_load(self, message: wire.Load) -> None:
        """Takes the newest load of another node."""
        state = self._directory.take_load(message, self._now_ms())
        if state is not None:
            self._schedule_catch_up(state)

    def _schedule_catch_up(self, state: wire.State) -> None:
        """Asks later for what another node has and this one hasn't."""
        mine = self._directory.list_revisions()
        is_behind = state.load.config_version > self._config.version or any(
            revision > mine.get(service, 0)
            for service, revision in state.assignments.items()
        )
        if is_behind:
            self._loop.call_later(CATCH_UP_DELAY_S, self._request_missed, state)

    def _request_missed(self, state: wire.State) -> None:
        if state.load.config_version > self._config.version:
            self._links.send(state.node_id, wire.SnapshotRequest(service=""))
        mine = self._directory.list_revisions()
        for service, revision in state.assignments.items():
            if revision > mine.get(service, 0):
                self._links.send(
                    state.node_id, wire.SnapshotRequest(service=service)
                )

    def send_snapshot(
        self, service: str, reply: Callable[[wire.Message], None]
    ) -> None:
        """Replies with a whole assignment, or the configuration."""
        if not service:
            if self._config.content:
                reply(
                    wire.Snapshot(
                        service="",
                        revision=self._config.version,
                        content=self._config.content,
                    )
                )
            return
        value, revision = self._directory.get_assignment(service)
        if revision:
            reply(
                wire.Snapshot(
                    service=service, revision=revision, content=value.encode()
                )
            )

    def handle(
        self,
        message: wire.AssignmentChange | wire.SnapshotRequest | wire.Snapshot,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Takes what another node tells or asks of the shared values."""
        match message:
            case wire.AssignmentChange():
                if not self._owner.assignments.take_changed(message):
                    reply(wire.SnapshotRequest(service=message.service))
            case wire.SnapshotRequest():
                self.send_snapshot(message.service, reply)
            case wire.Snapshot():
                self.apply_snapshot(message)

    def send_snapshot_to(self, node_id: str, service: str) -> None:
        """Sends a node what it has asked for in a reply."""
        self.send_snapshot(
            service, lambda whole: self._send_or_report(node_id, whole)
        )

    def _send_or_report(self, node_id: str, message: wire.Message) -> None:
        if not self._links.send(node_id, message):
            self._report_refusal(node_id, "link is down")

    def apply_snapshot(self, message: wire.Snapshot) -> None:
        """Takes what this node had missed."""
        if not message.service:
            self._config.apply(message.content, "node")
            return
        self._owner.assignments.take_whole(
            message.service, message.content, message.revision
        )

    def _report_refusal(self, source: str, reason: str) -> None:
        self._events.emit(
            catalog.Event.MESSAGE_REFUSED, source=source, error=reason
        )
