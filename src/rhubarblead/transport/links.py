"""The zmq sockets of one task: one listens, and one connects to peers."""

import contextlib
import itertools
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
    """The listening address of a peer."""

    ip_address: str
    port: int

    @property
    def endpoint(self) -> str:
        """The address as a zmq endpoint."""
        return f"tcp://{self.ip_address}:{self.port}"


class Received(NamedTuple):
    """Frames from a peer; `sender` is the identity to reply to."""

    sender: bytes
    frames: list[bytes]


class Links:
    """Sockets owned by one thread.

    Every message is a list of frames. A reply to a received message is sent
    over the connection on which the sender last reached this task. All links
    share one socket, so that a poll costs the same for any number of peers.
    """

    __slots__ = (
        "_addresses",
        "_caller",
        "_identities",
        "_listener",
        "_numbers",
        "_poller",
        "_stack",
    )

    def __init__(
        self, *, context: zmq.Context[zmq.Socket[bytes]], identity: str
    ) -> None:
        self._identities: dict[Address, bytes] = {}
        self._addresses: dict[bytes, Address] = {}
        self._numbers = itertools.count()
        self._stack = contextlib.ExitStack()
        self._listener = self._stack.enter_context(context.socket(zmq.ROUTER))
        self._caller = self._stack.enter_context(context.socket(zmq.ROUTER))
        _configure(self._listener)
        _configure(self._caller)
        self._caller.setsockopt(zmq.IDENTITY, identity.encode())
        # A message that can't be queued raises an error instead of being
        # dropped silently.
        self._caller.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._poller = zmq.Poller()
        self._poller.register(self._caller, zmq.POLLIN)

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
        # When a peer opens a new connection, its identity moves there.
        self._listener.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._listener.setsockopt(zmq.BACKLOG, _BACKLOG)
        self._listener.bind(address.endpoint)
        self._poller.register(self._listener, zmq.POLLIN)

    def send(self, address: Address, frames: list[bytes]) -> bool:
        """Queues a message to a peer, and opens a link if there is none.

        Args:
            address: The peer's listening address.
            frames: The message.

        Returns:
            Whether the message was queued; if not, it was definitely not sent.
        """
        try:
            identity = self._identities.get(address) or self._open(address)
            self._caller.send_multipart([identity, *frames], zmq.DONTWAIT)
        except zmq.ZMQError:
            return False
        return True

    def reply(self, receiver: bytes, frames: list[bytes]) -> bool:
        """Queues a message to a peer that has sent one to this task.

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
        identity = self._identities.pop(address, None)
        if identity is None:
            return
        del self._addresses[identity]
        # The connection may already be closed.
        with contextlib.suppress(zmq.ZMQError):
            self._caller.disconnect(address.endpoint)

    def receive(
        self, ready: dict[object, int]
    ) -> tuple[list[Received], list[tuple[Address, list[bytes]]]]:
        """Reads the messages that have arrived.

        Args:
            ready: The result of polling, by socket.

        Returns:
            Messages to the listening socket, and messages from peers to which
            this task has links. Messages over a link that was reset are
            dropped.
        """
        incoming = []
        if self._listener in ready:
            for frames in _read_all(self._listener):
                incoming.append(Received(frames[0], frames[1:]))
        replies: list[tuple[Address, list[bytes]]] = []
        if self._caller in ready:
            for frames in _read_all(self._caller):
                address = self._addresses.get(frames[0])
                if address is not None:
                    replies.append((address, frames[1:]))
        return incoming, replies

    def close(self) -> None:
        """Closes all sockets; unsent messages are dropped."""
        self._stack.close()

    def _open(self, address: Address) -> bytes:
        # A unique number distinguishes a new link from one that is closing.
        identity = f"{address.endpoint}/{next(self._numbers)}".encode()
        self._caller.setsockopt(zmq.CONNECT_ROUTING_ID, identity)
        self._caller.connect(address.endpoint)
        self._identities[address] = identity
        self._addresses[identity] = address
        return identity


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
