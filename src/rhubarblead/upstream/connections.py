"""Connections to one upstream, and a bounded pool of idle connections."""

import http.client
import io
import socket
import struct
import threading
import time
from typing import Any

from rhubarblead.upstream import responses

BUFFER_BYTES = 16_384
# A connection that was idle for longer may be dead without notice; a new one
# takes about 1 ms to open.
MAX_IDLE_NS = 1_000_000_000

_NS_PER_S = 1_000_000_000
_TOLERANCE_NS = 1_000_000


class CannotConnect(Exception):
    """No connection could be opened, so nothing was sent."""


class NoConnectionLeft(Exception):
    """All connections that the upstream allows are in use."""


class _Timeout:
    """A kernel timeout, for sends or receives, of a blocking socket.

    With a timeout set in Python, each call is preceded by a poll. The kernel's
    own timeout adds no cost per call, and can mostly be reused for the next
    request.
    """

    __slots__ = ("_option", "_set_ns", "_sock")

    def __init__(self, *, sock: socket.socket, option: int) -> None:
        self._sock = sock
        self._option = option
        self._set_ns = 0

    def apply_deadline(self, deadline_ns: int) -> None:
        """Sets the timeout to end at a deadline, or up to 1/8 earlier.

        Raises:
            TimeoutError: The deadline has passed.
        """
        remaining_ns = deadline_ns - time.monotonic_ns()
        if remaining_ns <= 0:
            raise TimeoutError("the deadline has passed")
        earliest_ns = remaining_ns - remaining_ns // 8
        if earliest_ns <= self._set_ns <= remaining_ns + _TOLERANCE_NS:
            return
        self._set_ns = max(remaining_ns, _TOLERANCE_NS)
        seconds, rest_ns = divmod(self._set_ns, _NS_PER_S)
        self._sock.setsockopt(
            socket.SOL_SOCKET,
            self._option,
            struct.pack("@ll", seconds, rest_ns // 1_000),
        )


class _SocketReader(io.RawIOBase):
    """Reads from a socket until a deadline, even if bytes arrive slowly."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self._timeout = _Timeout(sock=sock, option=socket.SO_RCVTIMEO)
        self.deadline_ns = 0
        self.received_bytes = 0
        self.is_at_end = False
        self.is_polling = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:  # noqa: ANN401
        count = self._poll(buffer) if self.is_polling else self._wait(buffer)
        if count is not None:
            self.received_bytes += count
            self.is_at_end = not count
        return count

    def _poll(self, buffer: Any) -> int | None:  # noqa: ANN401
        try:
            return self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None

    def _wait(self, buffer: Any) -> int:  # noqa: ANN401
        while True:
            self._timeout.apply_deadline(self.deadline_ns)
            try:
                return self._sock.recv_into(buffer)
            except BlockingIOError:
                continue


class Connection:
    """One open connection, used by one thread at a time."""

    __slots__ = (
        "_http",
        "_reader",
        "_timeout",
        "_socket_reader",
        "idle_since_ns",
    )

    def __init__(self, *, ip_address: str, port: int, deadline_ns: int) -> None:
        """Opens the connection.

        Args:
            ip_address: The upstream's address.
            port: Its port.
            deadline_ns: Deadline on the monotonic clock.

        Raises:
            CannotConnect: The connection was refused or timed out.
        """
        try:
            self._http = http.client.HTTPConnection(
                ip_address, port, timeout=find_remaining_s(deadline_ns)
            )
            self._http.connect()
        except OSError as error:
            raise CannotConnect(str(error)) from error
        sock = self._http.sock
        sock.settimeout(None)
        self._timeout = _Timeout(sock=sock, option=socket.SO_SNDTIMEO)
        self._socket_reader = _SocketReader(sock)
        self._reader: io.BufferedReader = io.BufferedReader(
            self._socket_reader, BUFFER_BYTES
        )
        self.idle_since_ns = 0

    def send(self, head: bytes, body: bytes, deadline_ns: int) -> None:
        """Sends a complete request."""
        self._socket_reader.received_bytes = 0
        try:
            self._send(head, body, deadline_ns)
        except BlockingIOError as error:
            raise TimeoutError("the upstream stopped reading") from error

    def open_response(
        self, method: str, first_byte_ns: int, deadline_ns: int
    ) -> responses.Response:
        """Reads the head of a response.

        Args:
            method: The method of the request.
            first_byte_ns: Deadline of the first byte, on the monotonic clock.
            deadline_ns: Deadline of the whole response, on the monotonic clock.

        Returns:
            The response, with its body still unread.
        """
        self._socket_reader.deadline_ns = first_byte_ns
        response = responses.Response(reader=self._reader, method=method)
        self._reader.peek(1)
        self._socket_reader.deadline_ns = deadline_ns
        response.begin()
        return response

    @property
    def has_received(self) -> bool:
        """Whether any byte was received since the last send."""
        return self._socket_reader.received_bytes > 0

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and has no surplus bytes."""
        self._socket_reader.is_polling = True
        try:
            return (
                not self._reader.peek(1) and not self._socket_reader.is_at_end
            )
        except OSError:
            return False
        finally:
            self._socket_reader.is_polling = False

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()

    def _send(self, head: bytes, body: bytes, deadline_ns: int) -> None:
        sock = self._http.sock
        self._timeout.apply_deadline(deadline_ns)
        if len(body) <= BUFFER_BYTES:
            sock.sendall(head + body)
            return
        sock.sendall(head)
        self._timeout.apply_deadline(deadline_ns)
        sock.sendall(body)


class ConnectionPool:
    """Opens at most `capacity` connections and keeps idle ones for reuse.

    Thread-safe.
    """

    def __init__(self, *, ip_address: str, port: int, capacity: int) -> None:
        self._ip_address = ip_address
        self._port = port
        self._capacity = capacity
        self._lock = threading.Lock()
        self._idle: list[Connection] = []
        self._open_count = 0
        self._is_closed = False

    def open(self, deadline_ns: int) -> Connection:
        """Opens a new connection.

        Raises:
            CannotConnect: The connection was refused or timed out.
            NoConnectionLeft: All connections are in use.
        """
        self._reserve()
        try:
            return Connection(
                ip_address=self._ip_address,
                port=self._port,
                deadline_ns=deadline_ns,
            )
        except CannotConnect:
            with self._lock:
                self._open_count -= 1
            raise

    def acquire(self) -> Connection | None:
        """Takes the most recently used idle connection that is reusable."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            is_recent = (
                time.monotonic_ns() - connection.idle_since_ns <= MAX_IDLE_NS
            )
            if is_recent and connection.is_reusable():
                return connection
            self.discard(connection)

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool after a complete response."""
        connection.idle_since_ns = time.monotonic_ns()
        with self._lock:
            if not self._is_closed:
                self._idle.append(connection)
                return
        self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection and frees its place in the pool."""
        connection.close()
        with self._lock:
            self._open_count -= 1

    def close_idle(self) -> None:
        """Closes all idle connections, for example after one was found dead."""
        with self._lock:
            dropped, self._idle = self._idle, []
        for connection in dropped:
            self.discard(connection)

    def close(self) -> None:
        """Closes idle connections now, and the others on their return."""
        with self._lock:
            self._is_closed = True
        self.close_idle()

    def _reserve(self) -> None:
        """Reserves capacity for a new connection.

        The new connection replaces the one that has been idle longest.
        Otherwise requests that always use a new connection would exhaust the
        connections that the upstream allows, and leave none for probes.
        """
        with self._lock:
            if not self._idle:
                if self._open_count >= self._capacity:
                    raise NoConnectionLeft(f"{self._capacity} are in use")
                self._open_count += 1
                return
            evicted = self._idle.pop(0)
        evicted.close()


def find_remaining_s(deadline_ns: int) -> float:
    """Returns the seconds until a deadline on the monotonic clock.

    Raises:
        TimeoutError: The deadline has passed.
    """
    remaining_ns = deadline_ns - time.monotonic_ns()
    if remaining_ns <= 0:
        raise TimeoutError("the time is over")
    return remaining_ns / _NS_PER_S
