"""Connections to one upstream, and the bounded pool of idle ones."""

import http.client
import io
import socket
import threading
import time
from typing import Any

from rhubarblead.upstream import answers

BUFFER_BYTES = 16_384
# A connection that was idle for longer may have gone silent unnoticed; a new
# one costs about 1 ms.
MAX_IDLE_NS = 1_000_000_000

_NS_PER_S = 1_000_000_000


class CannotConnect(Exception):
    """No connection could be opened, so that nothing was sent."""


class NoConnectionLeft(Exception):
    """All connections that the upstream allows are in use."""


class _Wire(io.RawIOBase):
    """Reads from a socket until a moment, however slowly bytes drip in."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self.deadline_ns = 0
        self.received_bytes = 0
        self.is_at_end = False
        self.is_polling = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:  # noqa: ANN401
        if self.is_polling:
            self._sock.settimeout(0)
        else:
            self._sock.settimeout(find_remaining_s(self.deadline_ns))
        try:
            count = self._sock.recv_into(buffer)
        except BlockingIOError:
            return None
        self.received_bytes += count
        self.is_at_end = not count
        return count


class Connection:
    """One open connection, used by one thread at a time."""

    __slots__ = ("_http", "_reader", "_wire", "idle_since_ns")

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
        self._wire = _Wire(self._http.sock)
        self._reader: io.BufferedReader = io.BufferedReader(
            self._wire, BUFFER_BYTES
        )
        self.idle_since_ns = 0

    def send(self, head: bytes, body: bytes, deadline_ns: int) -> None:
        """Sends a whole request."""
        self._wire.received_bytes = 0
        sock = self._http.sock
        sock.settimeout(find_remaining_s(deadline_ns))
        if len(body) <= BUFFER_BYTES:
            sock.sendall(head + body)
            return
        sock.sendall(head)
        sock.settimeout(find_remaining_s(deadline_ns))
        sock.sendall(body)

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
        self._wire.deadline_ns = first_byte_ns
        answer = answers.Answer(reader=self._reader, method=method)
        self._reader.peek(1)
        self._wire.deadline_ns = deadline_ns
        answer.begin()
        return answer

    @property
    def has_received(self) -> bool:
        """Tells whether any byte came since the last sending."""
        return self._wire.received_bytes > 0

    def is_clean(self) -> bool:
        """Tells whether it is open and holds no surplus byte."""
        self._wire.is_polling = True
        try:
            return not self._reader.peek(1) and not self._wire.is_at_end
        except OSError:
            return False
        finally:
            self._wire.is_polling = False

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()


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
            if is_recent and connection.is_clean():
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
        with self._lock:
            if self._open_count < self._capacity:
                self._open_count += 1
                return
            if not self._idle:
                raise NoConnectionLeft(f"{self._capacity} are in use")
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
