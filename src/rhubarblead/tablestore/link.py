"""HTTP connections to one service of the platform, and outcomes of calls."""

from collections.abc import Mapping
import contextlib
import dataclasses
import http
import http.client
import threading
from typing import Any
import weakref

import result

from rhubarblead import clock
from rhubarblead import settings

_MS_PER_S = 1_000
_CHUNK_BYTES = 2**18
_INSTANCE_HEADER = "Rhubarb-Instance"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """A call without an answer; if it was sent, it may have taken effect."""

    explanation: str
    is_sent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One call; if `body` is None, only the header is sent."""

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The answer to a call."""

    status: int
    body: bytes

    @property
    def is_rate_limited(self) -> bool:
        """Whether the call was rejected because the budget is used up."""
        return self.status == http.HTTPStatus.TOO_MANY_REQUESTS

    @property
    def is_success(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300

    @property
    def is_client_error(self) -> bool:
        """Whether the call was rejected, and so has no effect."""
        return 400 <= self.status < 500


class Link:
    """Connections to one service; each thread keeps at most one open."""

    __slots__ = (
        "_address",
        "_connections",
        "_headers",
        "_local",
        "_timeout_ms",
    )

    def __init__(
        self, *, address: settings.Address, timeout_ms: int, instance: str
    ) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        self._headers = {_INSTANCE_HEADER: instance}
        self._local = threading.local()
        self._connections: weakref.WeakSet[http.client.HTTPConnection] = (
            weakref.WeakSet()
        )

    def close(self) -> None:
        """Closes the connections of all threads."""
        for connection in list(self._connections):
            connection.close()

    def call(self, request: Request) -> result.Result[Reply, Failure]:
        """Makes an idempotent call, which may be sent twice."""
        connection = self._get_connection()
        is_reused = connection.sock is not None
        started_at_ms = clock.read_monotonic_ms()
        reply = self._exchange(connection, request)
        is_timed_out = (
            clock.read_monotonic_ms() - started_at_ms >= self._timeout_ms
        )
        if isinstance(reply, result.Ok) or not is_reused or is_timed_out:
            return reply
        # The service may close an idle connection just as it is reused.
        return self._exchange(connection, request)

    def call_on_new_connection(
        self, request: Request
    ) -> result.Result[Reply, Failure]:
        """Makes a call that is sent only once, on a new connection."""
        with contextlib.closing(self._make_connection()) as connection:
            return self._exchange(connection, request)

    def _get_connection(self) -> http.client.HTTPConnection:
        cached: Any = getattr(self._local, "connection", None)
        if cached is None:
            cached = self._make_connection()
            self._local.connection = cached
            self._connections.add(cached)
        connection: http.client.HTTPConnection = cached
        return connection

    def _make_connection(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(
            str(self._address.ip_address), self._address.port
        )

    def _exchange(
        self, connection: http.client.HTTPConnection, request: Request
    ) -> result.Result[Reply, Failure]:
        deadline_ms = clock.read_monotonic_ms() + self._timeout_ms
        try:
            _connect(connection, deadline_ms)
        except OSError as error:
            connection.close()
            return self._make_failure(error, is_sent=False)
        try:
            return result.Ok(self._send(connection, request, deadline_ms))
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return self._make_failure(error, is_sent=True)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        request: Request,
        deadline_ms: int,
    ) -> Reply:
        connection.request(
            request.method,
            request.path,
            body=request.body,
            headers={**self._headers, **request.headers},
        )
        # If the service closes the connection, http.client hands the socket
        # over to the response.
        sock = connection.sock
        sock.settimeout(_compute_timeout_s(deadline_ms))
        with connection.getresponse() as response:
            chunks = []
            while chunk := response.read(_CHUNK_BYTES):
                chunks.append(chunk)
                sock.settimeout(_compute_timeout_s(deadline_ms))
            return Reply(status=response.status, body=b"".join(chunks))

    def _make_failure(
        self, error: Exception, *, is_sent: bool
    ) -> result.Result[Reply, Failure]:
        kind = type(error).__name__
        text = f"{self._address.authority}: {kind}: {error}"
        return result.Err(Failure(explanation=text, is_sent=is_sent))


def _connect(connection: http.client.HTTPConnection, deadline_ms: int) -> None:
    if connection.sock is None:
        connection.timeout = _compute_timeout_s(deadline_ms)
        connection.connect()
    connection.sock.settimeout(_compute_timeout_s(deadline_ms))


def _compute_timeout_s(deadline_ms: int) -> float:
    remaining_ms = deadline_ms - clock.read_monotonic_ms()
    if remaining_ms <= 0:
        raise TimeoutError("the call exceeded its timeout")
    return remaining_ms / _MS_PER_S
