"""A queue that wakes a zmq poll loop in another thread."""

import collections
import contextlib
import socket
from typing import Generic
from typing import TypeVar

import zmq

_T = TypeVar("_T")

_WAKE_BYTE = b"\0"
_DRAIN_BYTES = 4096


class Inbox(Generic[_T]):
    """Messages for one task; any thread may put, but only the task may take.

    The task polls `fileno` for reading together with its own sockets.
    """

    __slots__ = ("_is_signalled", "_items", "_reader", "_writer")

    def __init__(self) -> None:
        self._items: collections.deque[_T] = collections.deque()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._is_signalled = False

    def fileno(self) -> int:
        """Returns the descriptor that is readable while items are waiting."""
        return self._reader.fileno()

    def put(self, item: _T) -> None:
        """Appends an item and wakes the task."""
        self._items.append(item)
        if self._is_signalled:
            return
        self._is_signalled = True
        try:
            self._writer.send(_WAKE_BYTE)
        except (BlockingIOError, OSError):
            # A full pipe already wakes the reader; a closed one has no reader.
            return

    def take_all(self) -> list[_T]:
        """Takes all waiting items, oldest first."""
        with contextlib.suppress(BlockingIOError, OSError):
            self._reader.recv(_DRAIN_BYTES)
        # The flag is cleared after the pipe is drained and before the items
        # are read, so that an item added meanwhile is read here or signals
        # again.
        self._is_signalled = False
        taken = []
        while self._items:
            taken.append(self._items.popleft())
        return taken

    def register(self, poller: zmq.Poller) -> None:
        """Adds the inbox to a poll loop."""
        poller.register(self._reader, zmq.POLLIN)

    def close(self) -> None:
        """Closes the descriptors."""
        self._writer.close()
        self._reader.close()
