"""A pool of persistent connections to nodes."""

import collections
import dataclasses
import http.client
import select
import threading

import result

from rhubarblead import clock
from rhubarblead.client import exchange

_MS_PER_S = 1_000
_MAX_IDLE_MS = 2_000
_MAX_IDLE_COUNT = 8
_MIN_TIMEOUT_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawResponse:
    """An HTTP response from a node."""

    status: int
    headers: exchange.Headers
    body: bytes

    def get_header(self, name: str) -> str:
        """Returns the first value of a header; empty if it is absent."""
        wanted = name.lower()
        return next(
            (value for key, value in self.headers if key.lower() == wanted), ""
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFailure:
    """Why there is no response, and whether the request may have arrived."""

    has_sent: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _IdleConnection:
    connection: http.client.HTTPConnection
    idle_since_ms: int


class ConnectionPool:
    """Sends requests over pooled connections. It is thread-safe."""

    __slots__ = ("_idle", "_is_closed", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._is_closed = False
        self._idle: dict[str, collections.deque[_IdleConnection]] = (
            collections.defaultdict(collections.deque)
        )

    def send(
        self,
        authority: str,
        request: exchange.Request,
        headers: exchange.Headers,
        timeout_ms: int,
    ) -> result.Result[RawResponse, SendFailure]:
        """Sends one request and waits for the response.

        Args:
            authority: The node as `ip:port`.
            request: The request.
            headers: All headers to send.
            timeout_ms: Timeout for each socket operation.

        Returns:
            The response, or why there is none.
        """
        timeout_s = max(_MIN_TIMEOUT_S, timeout_ms / _MS_PER_S)
        connection = self._acquire(authority)
        has_sent = False
        try:
            _prepare(connection, timeout_s)
            has_sent = True
            connection.request(
                request.method, request.path, request.body, dict(headers)
            )
            response = connection.getresponse()
            reply = RawResponse(
                status=response.status,
                headers=tuple(response.getheaders()),
                body=_read_body(response),
            )
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            reason = str(error) or type(error).__name__
            return result.Err(SendFailure(has_sent=has_sent, reason=reason))
        self._release(authority, connection, response.will_close)
        return result.Ok(reply)

    def close(self) -> None:
        """Closes idle connections; connections in use are closed on release."""
        with self._lock:
            self._is_closed = True
            idle = [item for items in self._idle.values() for item in items]
            self._idle.clear()
        for item in idle:
            item.connection.close()

    def _acquire(self, authority: str) -> http.client.HTTPConnection:
        oldest_ms = clock.read_monotonic_ms() - _MAX_IDLE_MS
        while True:
            with self._lock:
                items = self._idle[authority]
                item = items.pop() if items else None
            if item is None:
                return http.client.HTTPConnection(authority)
            if item.idle_since_ms >= oldest_ms and _is_reusable(
                item.connection
            ):
                return item.connection
            item.connection.close()

    def _release(
        self,
        authority: str,
        connection: http.client.HTTPConnection,
        will_close: bool,
    ) -> None:
        item = _IdleConnection(
            connection=connection, idle_since_ms=clock.read_monotonic_ms()
        )
        with self._lock:
            items = self._idle[authority]
            is_kept = not (
                will_close or self._is_closed or len(items) >= _MAX_IDLE_COUNT
            )
            if is_kept:
                items.append(item)
        if not is_kept:
            connection.close()


def _prepare(connection: http.client.HTTPConnection, timeout_s: float) -> None:
    connection.timeout = timeout_s
    if connection.sock is None:
        connection.connect()
    else:
        connection.sock.settimeout(timeout_s)


def _read_body(response: http.client.HTTPResponse) -> bytes:
    """Reads a body; without a length, truncation would go unnoticed."""
    if response.length is None and not response.chunked:
        raise http.client.HTTPException("the answer states no length")
    return response.read()


def _is_reusable(connection: http.client.HTTPConnection) -> bool:
    """Whether the peer has neither closed the connection nor sent data."""
    if connection.sock is None:
        return False
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return not poller.poll(0)
