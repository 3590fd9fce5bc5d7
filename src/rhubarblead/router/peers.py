"""Links to the other nodes over ZeroMQ sockets.

Each node binds one ROUTER socket and connects a DEALER socket to each other
node. A node sends requests on its DEALER socket and receives the replies on the
same socket. All sockets are used from the event loop's thread only.
"""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Protocol

import zmq
from zmq.utils import monitor

from rhubarblead.platform import settings
from rhubarblead.router import link_traffic
from rhubarblead.router import loop_share
from rhubarblead.router import wire

HEARTBEAT_INTERVAL_MS = 1_000
"""Interval of ZMTP heartbeats on an idle link."""

HEARTBEAT_TIMEOUT_MS = 2_500
"""Silence after which a link is lost; tolerates the loss of two heartbeats."""

KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBE_COUNT = 2
"""Silent connections on which no heartbeat ever came end after 15 s."""

MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 800
"""Range of the reconnect interval; a node restarts in about a second."""

READ_BATCH_COUNT = 16
"""Messages that are handled on one link before others have their turn."""

CLOSE_LINGER_MS = 200
"""Time to send pending messages when the process ends.

A link of 10 Mbit/s sends 250 KB in it; larger replies are acknowledged before.
"""

_MONITOR_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
)


class Receiver(Protocol):
    """Receives messages and connection changes from the links."""

    def handle_request(
        self, message: wire.Message, reply: Callable[[wire.Message], None]
    ) -> None:
        """Handles a request or notification from another node.

        Args:
            message: The message.
            reply: Sends a reply to that node.
        """

    def handle_reply(self, node_id: str, message: wire.Message) -> None:
        """Handles a reply to a message of this node."""

    def link_up(self, node_id: str) -> None:
        """Handles a new connection to a node."""

    def link_down(self, node_id: str) -> None:
        """Handles the loss of a connection; pending replies won't arrive."""

    def refuse_message(self, source: str, reason: str) -> None:
        """Reports a message that can't be decoded or sent.

        Args:
            source: The node's id, or what failed where the node is unknown.
            reason: Description of the failure.
        """


class Links:
    """The links of this node to all others."""

    __slots__ = (
        "_context",
        "_links",
        "_loop",
        "_reader",
        "_receiver",
        "_router",
        "_share",
        "traffic",
    )

    def __init__(self, *, receiver: Receiver, ip: str, port: int) -> None:
        """Binds the socket for messages from other nodes.

        Args:
            receiver: Handles messages and connection changes.
            ip: IP address of this node.
            port: Port that other nodes connect to.
        """
        self._receiver = receiver
        self.traffic = link_traffic.LinkTraffic()
        self._loop = asyncio.get_running_loop()
        self._context = zmq.Context(io_threads=1)
        self._router = self._context.socket(zmq.ROUTER)
        _set_options(self._router)
        # For connections that go silent before their first heartbeat.
        self._router.setsockopt(zmq.TCP_KEEPALIVE, 1)
        self._router.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_INTERVAL_S)
        self._router.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
        self._router.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBE_COUNT)
        self._router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._router.bind(f"tcp://{ip}:{port}")
        self._links: dict[str, _Link] = {}
        self._share = loop_share.LoopShare(loop=self._loop)
        self._reader = _Reader(share=self._share, read_one=self._read_one)
        self._loop.add_reader(_get_descriptor(self._router), self._reader.read)
        self._loop.call_soon(self._reader.read)

    def connect(self, node_id: str, address: str) -> None:
        """Connects to a node, or reconnects if its address has changed."""
        found = self._links.get(node_id)
        if found is not None and found.address == address:
            return
        try:
            settings.read_address(address)
        except ValueError as error:
            self._receiver.refuse_message(node_id, str(error))
            return
        self.drop(node_id)
        self._links[node_id] = _Link(
            node_id=node_id,
            address=address,
            context=self._context,
            receiver=self._receiver,
            traffic=self.traffic,
            share=self._share,
        )

    def drop(self, node_id: str, *, linger_ms: int = 0) -> None:
        """Closes the link to a node.

        Args:
            node_id: The node.
            linger_ms: How long queued messages may still be sent.
        """
        found = self._links.pop(node_id, None)
        if found is not None:
            found.close(linger_ms=linger_ms)

    def count_known(self) -> int:
        """Counts the nodes to which links were made, and this one."""
        return len(self._links) + 1

    def is_up(self, node_id: str) -> bool:
        """Returns whether the link to a node is known to be connected."""
        found = self._links.get(node_id)
        return found is not None and found.is_up

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Sends a message to a node.

        Returns:
            Whether the message was queued on a connected link. If not, it is
            certain not to reach the node.
        """
        found = self._links.get(node_id)
        return found is not None and self._send(found, message)

    def broadcast(self, message: wire.Message) -> None:
        """Sends a message over all connected links."""
        content = wire.encode(message)
        for link in self._links.values():
            if link.send(content):
                self._record_sent(message, content)

    def _send(self, link: "_Link", message: wire.Message) -> bool:
        content = wire.encode(message)
        is_queued = link.send(content)
        if is_queued:
            self._record_sent(message, content)
        return is_queued

    def _record_sent(self, message: wire.Message, content: bytes) -> None:
        self.traffic.record_sent(type(message).__name__, len(content))

    def close(self) -> None:
        """Closes all sockets."""
        for node_id in list(self._links):
            self.drop(node_id, linger_ms=CLOSE_LINGER_MS)
        self._loop.remove_reader(_get_descriptor(self._router))
        # Lingers so that the last messages still reach their nodes.
        self._context.destroy(linger=CLOSE_LINGER_MS)

    def _read_one(self) -> bool:
        """Handles the next message; returns whether there was one."""
        if self._router.closed:
            return False
        try:
            identity, content = self._router.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return False
        except ValueError as error:
            self._receiver.refuse_message("frames", str(error))
            return True
        try:
            message = wire.decode(content)
        except wire.CannotDecode as error:
            self._receiver.refuse_message("message", str(error))
            return True
        self.traffic.record_received(type(message).__name__, len(content))
        self._receiver.handle_request(message, self._make_reply(identity))
        return True

    def _make_reply(self, identity: bytes) -> Callable[[wire.Message], None]:
        def reply(message: wire.Message) -> None:
            content = wire.encode(message)
            try:
                self._router.send_multipart([identity, content], zmq.NOBLOCK)
                self._record_sent(message, content)
            except zmq.ZMQError as error:
                self._receiver.refuse_message("reply", str(error))
            self._loop.call_soon(self._reader.read)

        return reply


class _Reader:
    """Reads the messages of a socket in batches.

    The descriptor of a ZeroMQ socket is edge-triggered, so that all messages
    must be read.
    """

    __slots__ = ("_is_queued", "_read_one", "_share")

    def __init__(
        self, *, share: loop_share.LoopShare, read_one: Callable[[], bool]
    ) -> None:
        """Creates a reader.

        Args:
            share: The share of the event loop for all links.
            read_one: Handles the next message; returns whether there was one.
        """
        self._is_queued = False
        self._read_one = read_one
        self._share = share

    def read(self) -> None:
        """Begins to read what has arrived."""
        if not self._is_queued:
            self._is_queued = True
            self._share.run(self._read_batch, used_s=0.0)

    def read_all(self) -> None:
        """Reads all that has arrived."""
        while self._read_one():
            pass

    def _read_batch(self) -> None:
        has_more = True
        try:
            for _ in range(READ_BATCH_COUNT):
                has_more = self._read_one()
                if not has_more:
                    return
        finally:
            # A message that can't be handled doesn't hold up those behind it.
            self._is_queued = has_more
            if has_more:
                self._share.defer(self._read_batch, used_s=0.0)


class _Link:
    """The DEALER socket to one node and its monitor."""

    __slots__ = (
        "_loop",
        "_monitor",
        "_node_id",
        "_reader",
        "_receiver",
        "_socket",
        "_traffic",
        "address",
        "is_up",
    )

    def __init__(
        self,
        *,
        node_id: str,
        address: str,
        context: zmq.Context[zmq.Socket[bytes]],
        receiver: Receiver,
        traffic: link_traffic.LinkTraffic,
        share: loop_share.LoopShare,
    ) -> None:
        self._reader = _Reader(share=share, read_one=self._read_one)
        self._loop = asyncio.get_running_loop()
        self._traffic = traffic
        self._node_id = node_id
        self._receiver = receiver
        self.address = address
        self.is_up = False
        self._socket = context.socket(zmq.DEALER)
        _set_options(self._socket)
        # Only this end sends heartbeats; they tell the other one when to give
        # the connection up.
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
        # Messages are queued only on established connections, so that a
        # message whose sending fails is certain not to be delivered.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        self._socket.setsockopt(zmq.CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._monitor = self._socket.get_monitor_socket(_MONITOR_EVENTS)
        self._loop.add_reader(
            _get_descriptor(self._monitor), self._read_monitor
        )
        self._loop.add_reader(_get_descriptor(self._socket), self._reader.read)
        self._socket.connect(f"tcp://{address}")
        self._loop.call_soon(self._read_monitor)

    def send(self, content: bytes) -> bool:
        """Sends a message; returns whether a connection has queued it."""
        try:
            self._socket.send(content, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._loop.call_soon(self._reader.read)
        return True

    def close(self, *, linger_ms: int) -> None:
        """Closes the link; queued messages may still be sent for a time."""
        self._loop.remove_reader(_get_descriptor(self._monitor))
        self._loop.remove_reader(_get_descriptor(self._socket))
        self._socket.disable_monitor()
        self._monitor.close(linger=0)
        self._socket.close(linger=linger_ms)
        if self.is_up:
            self.is_up = False
            self._receiver.link_down(self._node_id)

    def _read_one(self) -> bool:
        """Handles the next message; returns whether there was one."""
        if self._socket.closed:
            return False
        try:
            content = self._socket.recv(zmq.NOBLOCK)
        except zmq.Again:
            return False
        try:
            message = wire.decode(content)
        except wire.CannotDecode as error:
            self._receiver.refuse_message(self._node_id, str(error))
            return True
        self._traffic.record_received(type(message).__name__, len(content))
        self._receiver.handle_reply(self._node_id, message)
        return True

    def _read_monitor(self) -> None:
        while not self._monitor.closed:
            try:
                event = monitor.recv_monitor_message(
                    self._monitor, zmq.NOBLOCK
                )["event"]
            except zmq.Again:
                return
            if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                self.is_up = True
                self._receiver.link_up(self._node_id)
            elif self.is_up:
                self._reader.read_all()
                self.is_up = False
                self._receiver.link_down(self._node_id)


def _get_descriptor(socket: zmq.Socket[bytes]) -> int:
    descriptor = socket.getsockopt(zmq.FD)
    assert isinstance(descriptor, int)
    return descriptor


def _set_options(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    # Queues are unbounded: on a full queue the library stops reading, and it
    # fails if the connection breaks then. Requests are limited elsewhere.
    socket.setsockopt(zmq.RCVHWM, 0)
    socket.setsockopt(zmq.SNDHWM, 0)
    with contextlib.suppress(zmq.ZMQError):
        socket.setsockopt(zmq.TCP_MAXRT, HEARTBEAT_TIMEOUT_MS)
