"""Connections to one upstream, and the bounded pool of idle ones."""

import http.client
import io
import socket
import struct
import threading
import time
from typing import Any

from rhubarblead.upstream import answers

BUFFER_BYTES = 16_384
# A connection that was idle for longer may have gone silent unnoticed; a new
# one costs about 1 ms.
MAX_IDLE_NS = 1_000_000_000

_NS_PER_S = 1_000_000_000
_TOLERANCE_NS = 1_000_000


class CannotConnect(Exception):
    """No connection could be opened, so that nothing was sent."""


class NoConnectionLeft(Exception):
    """All connections that the upstream allows are in use."""


class _Timeout:
    """One of the kernel's timeouts of a blocking socket.

    A timeout set in Python costs a poll before each call; the kernel's own
    costs nothing, and mostly still fits the next request.
    """

    __slots__ = ("_option", "_set_ns", "_sock")

    def __init__(self, *, sock: socket.socket, option: int) -> None:
        self._sock = sock
        self._option = option
        self._set_ns = 0

    def apply_deadline(self, deadline_ns: int) -> None:
        """Lets calls end at a moment, or up to an eighth of the time before.

        Raises:
            TimeoutError: The moment has passed.
        """
        remaining_ns = deadline_ns - time.monotonic_ns()
        if remaining_ns <= 0:
            raise TimeoutError("the time is over")
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
    """Reads from a socket until a moment, however slowly bytes drip in."""

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
            deadline_ns: Monotonic moment to give up.

        Raises:
            CannotConnect: It was refused or timed out.
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
        """Sends a whole request."""
        self._socket_reader.received_bytes = 0
        try:
            self._send(head, body, deadline_ns)
        except BlockingIOError as error:
            raise TimeoutError("the upstream doesn't read") from error

    def open_answer(
        self, method: str, first_byte_ns: int, deadline_ns: int
    ) -> answers.Answer:
        """Reads the head of an answer.

        Args:
            method: The method that it answers.
            first_byte_ns: Monotonic moment until which it must have begun.
            deadline_ns: Monotonic moment until which it must be read.

        Returns:
            The answer, whose body is still to be read.
        """
        self._socket_reader.deadline_ns = first_byte_ns
        answer = answers.Answer(reader=self._reader, method=method)
        self._reader.peek(1)
        self._socket_reader.deadline_ns = deadline_ns
        answer.begin()
        return answer

    @property
    def has_received(self) -> bool:
        """Tells whether any byte came since the last sending."""
        return self._socket_reader.received_bytes > 0

    def is_reusable(self) -> bool:
        """Tells whether it is open and holds no surplus byte."""
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

    Safe between threads.
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
        """Opens a fresh connection.

        Raises:
            CannotConnect: It was refused or timed out.
            NoConnectionLeft: All are in use.
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

    def take(self) -> Connection | None:
        """Takes the idle connection that was used last, if it is good."""
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

    def give_back(self, connection: Connection) -> None:
        """Keeps a connection for reuse, after a whole answer."""
        connection.idle_since_ns = time.monotonic_ns()
        with self._lock:
            if not self._is_closed:
                self._idle.append(connection)
                return
        self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection for good."""
        connection.close()
        with self._lock:
            self._open_count -= 1

    def discard_idle(self) -> None:
        """Closes all idle connections, as one of them was silent."""
        with self._lock:
            dropped, self._idle = self._idle, []
        for connection in dropped:
            self.discard(connection)

    def close(self) -> None:
        """Closes idle connections now, and the others when given back."""
        with self._lock:
            self._is_closed = True
        self.discard_idle()

    def _reserve(self) -> None:
        """Makes room for a fresh connection.

        It takes the place of the one that was idle longest: were that one kept
        too, requests that always take a fresh connection would use up all that
        the upstream allows, and leave none for its probes.
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
    """Finds the seconds until a monotonic moment.

    Raises:
        TimeoutError: The moment has passed.
    """
    remaining_ns = deadline_ns - time.monotonic_ns()
    if remaining_ns <= 0:
        raise TimeoutError("the time is over")
    return remaining_ns / _NS_PER_S
