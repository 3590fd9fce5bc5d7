"""Exchanges state between nodes and catches up on missed values.

The shared values are the configuration and the assignment of each service.
"""

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
"""Delay before a missed value is requested; it may still arrive on its own."""

CHECK_DELAY_S = 0.3
"""Delay before the store is asked for a version that another node has.

A call that waits for changes delivers it within milliseconds.
"""

FEED_DELAY_S = 1.1
"""Delay before another node is asked for it while the store answers this one.

A new version is read from the store within about 0.8 s.
"""

REQUEST_INTERVAL_MS = 600
"""Time between two requests for a value; a large one takes 0.2 s to arrive."""

CONFIG = ""
"""Name of the configuration among the values; others are names of services."""


class StateSync:
    """Keeps the shared values of this node as recent as those of its peers.

    Values are large, and all other nodes report theirs at the same time, so
    that at most one check and one request of each value is under way.
    """

    __slots__ = (
        "_checked",
        "_config",
        "_directory",
        "_events",
        "_is_store_working",
        "_links",
        "_loop",
        "_now_ms",
        "_on_peer_state",
        "_ownership",
        "_requested_at_ms",
        "_state",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        links: peers.Links,
        config: config_feed.ConfigFeed,
        key_ownership: ownership.Ownership,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        on_peer_state: Callable[[str], None],
        is_store_working: Callable[[], bool],
    ) -> None:
        """Initializes the synchronization.

        Args:
            cluster_directory: State of the known nodes, and the assignments.
            links: Links to the other nodes.
            config: The configuration feed.
            key_ownership: Ownership of keys.
            events: The event log.
            now_ms: Returns the current time in milliseconds.
            on_peer_state: Called with a node's id after its state was received.
            is_store_working: Tells whether the store answers this node.
        """
        self._loop = asyncio.get_running_loop()
        self._directory = cluster_directory
        self._state = cluster_directory.own_state
        self._links = links
        self._config = config
        self._ownership = key_ownership
        self._events = events
        self._now_ms = now_ms
        self._on_peer_state = on_peer_state
        self._is_store_working = is_store_working
        self._checked: set[str] = set()
        self._requested_at_ms: dict[str, int] = {}

    def handle_state(self, state: wire.State) -> None:
        """Handles the state of another node."""
        if state.node_id == self._state.node_id:
            return
        self._links.connect(state.node_id, state.address)
        # The state is stored even if the link to the node isn't up yet: it
        # isn't sent again soon, and a message that can't be sent over the link
        # is certain not to be delivered.
        self._directory.update_state(state, self._now_ms())
        self._schedule_catch_up(state)
        self._on_peer_state(state.node_id)

    def handle_load(self, message: wire.Load) -> None:
        """Handles the newest load of another node."""
        state = self._directory.update_load(message, self._now_ms())
        if state is not None:
            self._schedule_catch_up(state)

    def _schedule_catch_up(self, state: wire.State) -> None:
        """Schedules a check of the values that are newer at another node."""
        for value, revision in self._list_newer(state):
            if value in self._checked:
                continue
            self._checked.add(value)
            delay_s = CATCH_UP_DELAY_S
            if value == CONFIG and self._is_store_working():
                delay_s = FEED_DELAY_S
                self._loop.call_later(
                    CHECK_DELAY_S, self._check_store, revision
                )
            self._loop.call_later(
                delay_s, self._check_missed, state.node_id, value, revision
            )

    def _check_store(self, version: int) -> None:
        """Asks the store for a version that hasn't arrived since."""
        if version > self._find_revision(CONFIG):
            self._config.check_missed()

    def _list_newer(self, state: wire.State) -> list[tuple[str, int]]:
        """Lists the values that are newer at another node, with revisions."""
        newer = [
            (service, revision)
            for service, revision in state.assignments.items()
            if revision > self._find_revision(service)
        ]
        version = state.load.config_version
        if version > self._find_revision(CONFIG):
            newer.append((CONFIG, version))
        return newer

    def _find_revision(self, value: str) -> int:
        """Returns the revision of a value that this node has."""
        if value == CONFIG:
            return self._config.version
        return self._directory.list_revisions().get(value, 0)

    def _check_missed(self, node_id: str, value: str, revision: int) -> None:
        """Requests a value if what was newer then hasn't arrived since."""
        self._checked.discard(value)
        if revision <= self._find_revision(value):
            return
        if not self._may_request(value):
            return
        if not self._links.send(node_id, wire.SnapshotRequest(service=value)):
            # Another node may be asked at once.
            del self._requested_at_ms[value]

    def _may_request(self, value: str) -> bool:
        """Returns whether to request a value, and counts it as requested."""
        now_ms = self._now_ms()
        requested_at_ms = self._requested_at_ms.get(value)
        if (
            requested_at_ms is not None
            and now_ms - requested_at_ms < REQUEST_INTERVAL_MS
        ):
            return False
        self._requested_at_ms[value] = now_ms
        return True

    def send_snapshot(
        self, service: str, reply: Callable[[wire.Message], None]
    ) -> None:
        """Replies with the assignment of a service, or the configuration.

        Args:
            service: The service, empty for the configuration.
            reply: Sends a message to the node that asked.
        """
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
        key_assignment, revision = self._directory.get_assignment(service)
        if revision:
            reply(
                wire.Snapshot(
                    service=service,
                    revision=revision,
                    content=key_assignment.encode(),
                )
            )

    def handle(
        self,
        message: wire.AssignmentChange | wire.SnapshotRequest | wire.Snapshot,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Handles a message about the shared values."""
        match message:
            case wire.AssignmentChange():
                is_missed = not self._ownership.assignments.apply_change(
                    message
                )
                if is_missed and self._may_request(message.service):
                    reply(wire.SnapshotRequest(service=message.service))
            case wire.SnapshotRequest():
                self.send_snapshot(message.service, reply)
            case wire.Snapshot():
                self.apply_snapshot(message)

    def send_snapshot_to(self, node_id: str, service: str) -> None:
        """Sends a snapshot that a node requested in a reply."""
        self.send_snapshot(
            service, lambda snapshot: self._send_or_report(node_id, snapshot)
        )

    def _send_or_report(self, node_id: str, message: wire.Message) -> None:
        if not self._links.send(node_id, message):
            self._report_refusal(node_id, "link is down")

    def apply_snapshot(self, message: wire.Snapshot) -> None:
        """Applies a snapshot that this node requested."""
        if not message.service:
            self._config.apply(message.content, "node")
            return
        self._ownership.assignments.apply_snapshot(
            message.service, message.content, message.revision
        )

    def _report_refusal(self, source: str, reason: str) -> None:
        self._events.emit(
            catalog.Event.MESSAGE_REFUSED, source=source, error=reason
        )
