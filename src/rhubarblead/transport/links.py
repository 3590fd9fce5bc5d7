"""The zmq sockets of one task: one that listens, and one link per peer."""

import contextlib
import types
from typing import NamedTuple

import zmq

_LINGER_MS = 0
_BACKLOG = 512
_QUEUE_MESSAGES = 10_000
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 500
_CONNECT_TIMEOUT_MS = 500
_FRAME_BYTES_MAX = 2**29


class Address(NamedTuple):
    """Where a peer listens."""

    ip_address: str
    port: int


class Received(NamedTuple):
    """Frames from a peer; `sender` is the identity to reply to."""

    sender: bytes
    frames: list[bytes]


class Links:
    """Sockets owned by one thread.

    Every message is a list of frames. A reply to a received message goes back
    over the connection on which the sender last reached this task.
    """

    __slots__ = (
        "_context",
        "_identity",
        "_links",
        "_listener",
        "_poller",
        "_stack",
    )

    def __init__(
        self, *, context: zmq.Context[zmq.Socket[bytes]], identity: str
    ) -> None:
        self._context = context
        self._identity = identity.encode()
        self._links: dict[Address, zmq.Socket[bytes]] = {}
        self._poller = zmq.Poller()
        self._stack = contextlib.ExitStack()
        self._listener = self._stack.enter_context(context.socket(zmq.ROUTER))

    def __enter__(self) -> "Links":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    @property
    def poller(self) -> zmq.Poller:
        """The poller with all sockets of the task."""
        return self._poller

    def listen(self, address: Address) -> None:
        """Binds the listening socket.

        Args:
            address: The address of this task.

        Raises:
            zmq.ZMQError: The address can't be bound.
        """
        _configure(self._listener)
        # A peer that opens a new connection takes its identity along.
        self._listener.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._listener.setsockopt(zmq.BACKLOG, _BACKLOG)
        self._listener.bind(f"tcp://{address.ip_address}:{address.port}")
        self._poller.register(self._listener, zmq.POLLIN)

    def send(self, address: Address, frames: list[bytes]) -> bool:
        """Queues a message to a peer, opening a link when there is none.

        Args:
            address: The peer's listening address.
            frames: The message.

        Returns:
            Whether the message was queued; if not, it certainly was not sent.
        """
        link = self._links.get(address)
        if link is None:
            link = self._open(address)
        try:
            link.send_multipart(frames, zmq.DONTWAIT, copy=True)
        except zmq.ZMQError:
            return False
        return True

    def reply(self, receiver: bytes, frames: list[bytes]) -> bool:
        """Queues a message to a peer that has sent to this task.

        Args:
            receiver: The identity that came with the peer's message.
            frames: The message.

        Returns:
            Whether the message was queued.
        """
        try:
            self._listener.send_multipart([receiver, *frames], zmq.DONTWAIT)
        except zmq.ZMQError:
            return False
        return True

    def reset(self, address: Address) -> None:
        """Closes the link to a peer; the next send opens a new connection."""
        link = self._links.pop(address, None)
        if link is None:
            return
        self._poller.unregister(link)
        link.close(linger=_LINGER_MS)

    def receive(
        self, ready: dict[object, int]
    ) -> tuple[list[Received], list[tuple[Address, list[bytes]]]]:
        """Reads what has arrived.

        Args:
            ready: The result of polling, by socket.

        Returns:
            Messages to the listening socket, and messages from peers that
            this task has links to.
        """
        incoming = []
        if self._listener in ready:
            for frames in _read_all(self._listener):
                incoming.append(Received(frames[0], frames[1:]))
        answers: list[tuple[Address, list[bytes]]] = []
        for address, link in list(self._links.items()):
            if link in ready:
                answers.extend((address, f) for f in _read_all(link))
        return incoming, answers

    def close(self) -> None:
        """Closes all sockets; unsent messages are dropped."""
        for address in list(self._links):
            self.reset(address)
        self._listener.close(linger=_LINGER_MS)
        self._stack.close()

    def _open(self, address: Address) -> zmq.Socket[bytes]:
        link: zmq.Socket[bytes] = self._context.socket(zmq.DEALER)
        _configure(link)
        link.setsockopt(zmq.IDENTITY, self._identity)
        link.connect(f"tcp://{address.ip_address}:{address.port}")
        self._links[address] = link
        self._poller.register(link, zmq.POLLIN)
        return link


def _configure(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.LINGER, _LINGER_MS)
    socket.setsockopt(zmq.SNDHWM, _QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, _QUEUE_MESSAGES)
    socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.MAXMSGSIZE, _FRAME_BYTES_MAX)


def _read_all(socket: zmq.Socket[bytes]) -> list[list[bytes]]:
    messages = []
    while True:
        try:
            messages.append(socket.recv_multipart(zmq.DONTWAIT))
        except zmq.Again:
            return messages
