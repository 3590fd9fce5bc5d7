"""An event loop for waitress whose cost is independent of idle connections.

The loop of waitress polls the state of every connection in each iteration. This
one keeps the connections registered with the operating system's selector, and
updates a registration only when the state of its connection has changed.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import selectors
import threading
from typing import Any

from waitress import wasyncore

_SELECT_TIMEOUT_S = 1.0


class EventLoop:
    """Runs one server, whose channels report changes of their state.

    A channel is a connection of the server, or one of its own sockets.
    `mark_changed`, `serving`, `close_after_responses` and `stop` may be called
    from any thread.
    """

    __slots__ = (
        "_is_closing",
        "_is_stopping",
        "_selector",
        "_current",
        "_server",
        "_changed",
        "_wake",
    )

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._changed: collections.deque[Any] = collections.deque()
        self._is_closing = threading.Event()
        self._is_stopping = threading.Event()
        self._current = threading.local()
        self._server: Any = None
        self._wake: Callable[[], None] = lambda: None

    def attach(self, server: Any) -> None:  # noqa: ANN401
        """Replaces the loop of a server; must be called before `run`.

        Args:
            server: A waitress server whose channels report to this loop.
        """
        self._server = server
        self._wake = server.pull_trigger
        server.event_loop = self
        # Worker threads pull the trigger after they changed the state of a
        # channel. The wrapper records which channel that was.
        server.pull_trigger = self._pull_trigger

    @contextlib.contextmanager
    def serving(self, channel: Any) -> Iterator[None]:  # noqa: ANN401
        """Marks the channel that the calling thread serves during a block."""
        self._current.channel = channel
        try:
            yield
        finally:
            self._current.channel = None

    def _pull_trigger(self) -> None:
        channel = getattr(self._current, "channel", None)
        if channel is not None:
            self._changed.append(channel)
        self._wake()

    def mark_changed(self, channel: Any) -> None:  # noqa: ANN401
        """Schedules an update of a channel's registration."""
        self._changed.append(channel)

    @property
    def is_closing(self) -> bool:
        """Whether connections are closed after their next response."""
        return self._is_closing.is_set()

    def close_after_responses(self) -> None:
        """Accepts no connections, and closes each after its next response.

        A caller whose connection is closed without notice can't tell whether
        its request was read. With `Connection: close` in the last response, it
        sends the next request elsewhere.
        """
        self._is_closing.set()
        self._wake()

    def count_connections(self) -> int:
        """Counts the open connections."""
        return len(self._server.active_channels)

    def unwatch(self, descriptor: int) -> None:
        """Unregisters a descriptor that is about to be closed."""
        try:
            self._selector.unregister(descriptor)
        except (KeyError, ValueError):
            return

    def run(self) -> None:
        """Runs the attached server until `stop`."""
        server = self._server
        for channel in list(server._map.values()):
            self._update(channel)
        while not self._is_stopping.is_set():
            self._run_once(server)
        server.task_dispatcher.shutdown()
        self._selector.close()

    def stop(self) -> None:
        """Makes `run` return."""
        self._is_stopping.set()
        self._wake()

    def _run_once(self, server: Any) -> None:  # noqa: ANN401
        if self._is_closing.is_set() and server._fileno is not None:
            self.unwatch(server._fileno)
            wasyncore.dispatcher.close(server)
        cleanup_before = server.next_channel_cleanup
        self._update(server)
        if server.next_channel_cleanup != cleanup_before:
            self._changed.extend(server.active_channels.values())
        self._update_changed()
        for key, events in self._selector.select(_SELECT_TIMEOUT_S):
            self._handle(key.data, events & key.events)
        self._update_changed()

    def _update_changed(self) -> None:
        while self._changed:
            self._update(self._changed.popleft())

    def _handle(self, channel: Any, events: int) -> None:  # noqa: ANN401
        if events & selectors.EVENT_READ:
            wasyncore.read(channel)
        # The read may have closed the channel.
        if events & selectors.EVENT_WRITE and channel._fileno is not None:
            wasyncore.write(channel)
        self._update(channel)

    def _update(self, channel: Any) -> None:  # noqa: ANN401
        descriptor = channel._fileno
        if descriptor is None:
            return
        events = _find_events(channel)
        watched = self._selector.get_map().get(descriptor)
        if watched is None:
            if events:
                self._selector.register(descriptor, events, channel)
        elif not events:
            self._selector.unregister(descriptor)
        elif events != watched.events or watched.data is not channel:
            self._selector.modify(descriptor, events, channel)


def _find_events(channel: Any) -> int:  # noqa: ANN401
    events = 0
    if channel.readable():
        events |= selectors.EVENT_READ
    if channel.writable():
        events |= selectors.EVENT_WRITE
    return events
