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

ASK_AGAIN_S = 0.4
"""Before a node asks another for what it may still get by itself."""


class StateSync:
    """Keeps this node's knowledge as new as that of the others."""

    __slots__ = (
        "_clock_ms",
        "_config",
        "_directory",
        "_events",
        "_links",
        "_loop",
        "_on_news",
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
        on_news: Callable[[str], None],
    ) -> None:
        """Makes the part.

        Args:
            known: What this node knows.
            links: Links to the other nodes.
            config: The configuration.
            owner: Decides on keys.
            events: The journal.
            now_ms: The clock.
            on_news: Called when another node's state has come.
        """
        self._loop = asyncio.get_running_loop()
        self._directory = known
        self._state = known.own_state
        self._links = links
        self._config = config
        self._owner = owner
        self._events = events
        self._clock_ms = now_ms
        self._on_news = on_news

    def take_state(self, state: wire.State) -> None:
        """Takes what another node tells of itself."""
        if state.node_id == self._state.node_id:
            return
        self._links.connect(state.node_id, state.address)
        # It is kept also while the own link isn't up yet: it isn't sent again
        # soon, and what can't be sent over the link certainly isn't.
        self._directory.take_state(state, self._clock_ms())
        self._compare(state)
        self._on_news(state.node_id)

    def take_load(self, message: wire.Load) -> None:
        """Takes the newest load of another node."""
        state = self._directory.take_load(message, self._clock_ms())
        if state is not None:
            self._compare(state)

    def _compare(self, state: wire.State) -> None:
        """Asks later for what another node has and this one hasn't."""
        mine = self._directory.list_revisions()
        is_behind = state.load.config_version > self._config.version or any(
            revision > mine.get(service, 0)
            for service, revision in state.assignments.items()
        )
        if is_behind:
            self._loop.call_later(ASK_AGAIN_S, self._ask_missed, state)

    def _ask_missed(self, state: wire.State) -> None:
        if state.load.config_version > self._config.version:
            self._links.send(state.node_id, wire.Wanted(service=""))
        mine = self._directory.list_revisions()
        for service, revision in state.assignments.items():
            if revision > mine.get(service, 0):
                self._links.send(state.node_id, wire.Wanted(service=service))

    def send_wanted(
        self, service: str, reply: Callable[[wire.Message], None]
    ) -> None:
        """Replies with a whole assignment, or the configuration."""
        if not service:
            if self._config.content:
                reply(
                    wire.Whole(
                        service="",
                        revision=self._config.version,
                        content=self._config.content,
                    )
                )
            return
        value, revision = self._directory.get_assignment(service)
        if revision:
            reply(
                wire.Whole(
                    service=service, revision=revision, content=value.encode()
                )
            )

    def take(
        self,
        message: wire.Changed | wire.Wanted | wire.Whole,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Takes what another node tells or asks of the shared values."""
        match message:
            case wire.Changed():
                if not self._owner.assignments.take_changed(message):
                    reply(wire.Wanted(service=message.service))
            case wire.Wanted():
                self.send_wanted(message.service, reply)
            case wire.Whole():
                self.take_whole(message)

    def answer(self, node_id: str, service: str) -> None:
        """Sends a node what it has asked for in a reply."""
        self.send_wanted(
            service, lambda whole: self._reply_quietly(node_id, whole)
        )

    def _reply_quietly(self, node_id: str, message: wire.Message) -> None:
        if not self._links.send(node_id, message):
            self._report(node_id, "link is down")

    def take_whole(self, message: wire.Whole) -> None:
        """Takes what this node had missed."""
        if not message.service:
            self._config.apply(message.content, "node")
            return
        self._owner.assignments.take_whole(
            message.service, message.content, message.revision
        )

    def _report(self, what: str, reason: str) -> None:
        self._events.emit(
            catalog.Event.MESSAGE_REFUSED, source=what, error=reason
        )
