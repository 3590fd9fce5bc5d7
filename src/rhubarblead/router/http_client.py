"""HTTP/1.1 client: pooled connections to one server, without pipelining."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import socket
from typing import TypeAlias

import httptools

from rhubarblead import response_format
from rhubarblead.router import body_buffer

CONNECT_TIMEOUT_S = 1.0
"""Both ends are on one machine or in one region."""

KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
"""A connection whose peer is silent is closed after about 3 s."""

MAX_RESPONSE_BYTES = 33_554_432
"""An eighth of a node's memory; users' largest responses are 0.5 MB."""


MAX_BUFFERED_BYTES = 67_108_864
"""Limit on the incomplete bodies of a process; a node has 200 to 300 MB."""

MAX_OVERHEAD_BYTES = 131_072
"""Limit on what isn't body in an exchange, besides a byte for each of the body.

Heads usually have less than 1 KB, and chunks more bytes than their framing.
"""

MAX_SKIPPED_RESPONSES = 8
"""Interim and foreign responses before the expected one; one is usual."""

MAX_REMEMBERED_IDS = 64
"""Requests of a connection whose late responses are still told apart."""

# The parser also reads "RTSP/1.0" and "ICE/1.0", and doesn't tell. In responses
# behind the first one HTTP/1.0 isn't accepted either.
_PROTOCOL = b"HTTP/"


class Failure(enum.Enum):
    """Why no complete response was received."""

    CONNECT = "connect"
    CLOSED = "closed"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_MANY_SKIPPED = "too_many_skipped"
    NO_MEMORY = "no_memory"


class Match(enum.Enum):
    """Whether a response belongs to the outstanding request.

    A response without an identification is delivered as UNKNOWN, and ends the
    connection.
    """

    EXPECTED = "expected"
    FOREIGN = "foreign"
    UNKNOWN = "unknown"


class Probe(enum.Enum):
    """What an attempt to open a connection shows about the server."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response, with field names in lower case."""

    status: int
    reason: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoResponse:
    """No complete response; `is_sent` tells whether the request was sent."""

    failure: Failure
    is_sent: bool


Result: TypeAlias = Response | NoResponse
Matcher: TypeAlias = Callable[[list[tuple[bytes, bytes]]], Match]


def accept_all(fields: list[tuple[bytes, bytes]]) -> Match:
    """Accepts any response as the expected one."""
    del fields
    return Match.EXPECTED


class BodyBudget:
    """Limits the bytes of all incomplete bodies of a process."""

    __slots__ = ("_max_bytes", "reserved_bytes")

    def __init__(self, *, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Creates a budget of which nothing is in use.

        Args:
            max_bytes: The limit.
        """
        self._max_bytes = max_bytes
        self.reserved_bytes = 0

    def reserve(self, count_bytes: int) -> bool:
        """Reserves bytes; returns whether the limit allows it."""
        if self.reserved_bytes + count_bytes > self._max_bytes:
            return False
        self.reserved_bytes += count_bytes
        return True

    def release(self, count_bytes: int) -> None:
        """Releases reserved bytes."""
        self.reserved_bytes -= count_bytes


class Connection(asyncio.Protocol):
    """One open connection.

    A response that belongs to another request is skipped. The connection is
    then closed after the expected response. All that a server sends is
    bounded: a faulty one may send bytes without end.
    """

    __slots__ = (
        "_body",
        "_exchange_body_bytes",
        "_fields",
        "_has_head",
        "_has_length",
        "_first_bytes",
        "_match",
        "_must_close",
        "_method",
        "_on_result",
        "_overhead_bytes",
        "_parser",
        "_pool",
        "_reason",
        "_request_ids",
        "_skipped_count",
        "_transport",
        "idle_since_s",
        "is_open",
    )

    def __init__(self, *, pool: "Pool") -> None:
        self._pool = pool
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._on_result: Callable[[Result], None] | None = None
        self._match: Matcher = accept_all
        self._method = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = body_buffer.BodyBuffer()
        # Of the exchange, with those of skipped responses.
        self._exchange_body_bytes = 0
        self._overhead_bytes = 0
        self._skipped_count = 0
        self._request_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_REMEMBERED_IDS
        )
        self._reason = b""
        self._has_head = False
        self._has_length = False
        # The first bytes of the exchange, as far as received.
        self._first_bytes = b""
        self._must_close = False
        self.idle_since_s = 0.0
        self.is_open = False

    def send(
        self,
        data: bytes,
        method: bytes,
        match: Matcher,
        on_result: Callable[[Result], None],
        request_id: str = "",
    ) -> None:
        """Sends one request.

        Args:
            data: The encoded request.
            method: Its method.
            match: Tells by its fields whether a response belongs to the
                request.
            on_result: Called once with the result, unless cancelled.
            request_id: The id by which its response is recognized, if any.
        """
        assert self._transport is not None
        self._on_result = on_result
        self._match = match
        if request_id:
            self._request_ids.append(request_id)
        self._method = method
        self._has_head = False
        self._first_bytes = b""
        self._exchange_body_bytes = 0
        self._overhead_bytes = 0
        self._skipped_count = 0
        self._transport.write(data)

    def has_carried(self, request_id: str) -> bool:
        """Whether a request with this id was sent on the connection lately.

        A late response to it couldn't be told from that to another send.
        """
        return bool(request_id) and request_id in self._request_ids

    def enable_keepalive(self) -> None:
        """Enables TCP keep-alive probes, which detect a silent peer."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT
        )

    def cancel(self) -> None:
        """Closes the connection at once, without a result."""
        self._on_result = None
        self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        self._drop_body()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the outstanding request."""
        self.is_open = False
        self._pool.discard(self)
        ends_at_close = self._has_head and not self._has_length
        if exc is None and ends_at_close and self._on_result is not None:
            self._finish_message()
        self._fail(Failure.CLOSED)
        self._drop_body()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._on_result is None:
            # No request is outstanding, so the bytes belong to none.
            self.close()
            return
        if not self._is_of_protocol(data):
            self._abandon(Failure.MALFORMED)
            return
        body_bytes = self._exchange_body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._abandon(Failure.MALFORMED)
            return
        received_bytes = self._exchange_body_bytes - body_bytes
        self._overhead_bytes += len(data) - received_bytes
        most_bytes = MAX_OVERHEAD_BYTES + self._exchange_body_bytes
        if self._overhead_bytes > most_bytes:
            self._abandon(Failure.TOO_LARGE)

    def on_message_begin(self) -> None:
        """Starts a response."""
        self._fields = []
        self._drop_body()
        self._reason = b""
        self._has_head = False
        if self._on_result is None:
            self._must_close = True

    def on_status(self, status: bytes) -> None:
        """Collects the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Collects a field of the head; checks and drops one of the trailer."""
        if self._on_result is None:
            return
        field = (name.lower(), (value or b"").strip(b" \t"))
        if not self._has_head:
            self._fields.append(field)
            if len(self._fields) > response_format.MAX_FIELD_COUNT:
                self._abandon(Failure.TOO_LARGE)
            return
        try:
            response_format.check_trailer([field])
        except response_format.CannotAccept:
            self._abandon(Failure.MALFORMED)

    def on_headers_complete(self) -> None:
        """Checks the head, and determines how the end of the body is found."""
        head = response_format.Head(
            version=self._parser.get_http_version(),
            status=self._parser.get_status_code(),
            reason=self._reason,
            fields=self._fields,
            is_first=not self._skipped_count,
        )
        try:
            framing = response_format.find_framing(head, method=self._method)
        except response_format.CannotAccept:
            self._abandon(Failure.MALFORMED)
            return
        self._has_head = True
        self._has_length = framing is not response_format.Framing.CLOSE
        if self._method == b"HEAD" and not head.is_interim:
            self._must_close = True
            self._finish_message()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._exchange_body_bytes += len(body)
        if self._on_result is None:
            return
        if self._body.size_bytes + len(body) > MAX_RESPONSE_BYTES:
            self._abandon(Failure.TOO_LARGE)
            return
        if not self._pool.body_budget.reserve(len(body)):
            self._abandon(Failure.NO_MEMORY)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Completes a response, unless it is an interim one."""
        if not self._has_head:
            return
        if self._parser.get_status_code() < response_format.FINAL_STATUS:
            self._has_head = False
            self._skip()
            return
        self._finish_message()

    def _finish_message(self) -> None:
        self._has_head = False
        if self._on_result is None:
            return
        found = self._match(self._fields)
        if found is not Match.EXPECTED:
            self._must_close = True
        if found is Match.FOREIGN:
            self._skip()
            return
        on_result, self._on_result = self._on_result, None
        response = Response(
            status=self._parser.get_status_code(),
            reason=self._reason,
            fields=self._fields,
            body=self._body.join(),
        )
        self._drop_body()
        is_reusable = (
            not self._must_close
            and self._has_length
            and self._parser.should_keep_alive()
            and self.is_open
        )
        # The remaining bytes are parsed first; they may be surplus.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._deliver, is_reusable, on_result, response)

    def _deliver(
        self,
        is_reusable: bool,
        on_result: Callable[[Result], None],
        response: Response,
    ) -> None:
        if is_reusable and not self._must_close and self.is_open:
            self._pool.release(self)
        else:
            self.close()
        on_result(response)

    def _is_of_protocol(self, data: bytes) -> bool:
        """Whether an exchange begins as a response of HTTP does, so far."""
        missing_bytes = len(_PROTOCOL) - len(self._first_bytes)
        if missing_bytes:
            self._first_bytes += data[:missing_bytes]
        return _PROTOCOL.startswith(self._first_bytes)

    def _skip(self) -> None:
        """Skips an interim response, or one to another request."""
        self._skipped_count += 1
        if self._skipped_count > MAX_SKIPPED_RESPONSES:
            self._abandon(Failure.TOO_MANY_SKIPPED)

    def _abandon(self, failure: Failure) -> None:
        self._fields = []
        self._fail(failure)
        self.close()

    def _drop_body(self) -> None:
        self._pool.body_budget.release(self._body.size_bytes)
        self._body.clear()

    def _fail(self, failure: Failure) -> None:
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            on_result(NoResponse(failure=failure, is_sent=True))


class Pool:
    """Connections to one server, opened on demand and kept for reuse."""

    __slots__ = (
        "_connections",
        "_idle",
        "_ip",
        "_loop",
        "_port",
        "body_budget",
        "max_idle_s",
    )

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        max_idle_s: float,
        body_budget: BodyBudget | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            ip: The server's address.
            port: Its port.
            max_idle_s: How long an idle connection is kept.
            body_budget: Limits the bodies; shared by the pools of a process.
        """
        self.body_budget = body_budget or BodyBudget()
        self._ip = ip
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._idle: list[Connection] = []
        self._connections: set[Connection] = set()
        self.max_idle_s = max_idle_s

    def acquire(
        self, max_idle_s: float | None = None, request_id: str = ""
    ) -> Connection | None:
        """Removes the most recently used idle connection from the pool.

        Args:
            max_idle_s: A shorter limit on the idle time.
            request_id: Connections that have carried a request with this id
                are left out.

        Returns:
            A connection, or None when none is open, recent enough and fit.
        """
        limit_s = self.max_idle_s if max_idle_s is None else max_idle_s
        now_s = self._loop.time()
        for connection in reversed(list(self._idle)):
            if now_s - connection.idle_since_s > limit_s:
                self._close_expired(now_s)
                return None
            if connection.is_open and connection.has_carried(request_id):
                continue
            self._idle.remove(connection)
            if connection.is_open:
                return connection
        return None

    async def open(self) -> Connection | None:
        """Opens a new connection; returns None when that fails."""
        try:
            return await self._open(CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None

    async def probe(self, timeout_s: float) -> Probe:
        """Tells whether the server accepts connections.

        Args:
            timeout_s: How long to wait for its answer.
        """
        try:
            self.release(await self._open(timeout_s))
        except TimeoutError:
            return Probe.NO_ANSWER
        except OSError:
            return Probe.REFUSED
        return Probe.ACCEPTED

    async def _open(self, timeout_s: float) -> Connection:
        connection = Connection(pool=self)
        async with asyncio.timeout(timeout_s):
            await self._loop.create_connection(
                lambda: connection, self._ip, self._port
            )
        self._connections.add(connection)
        return connection

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool for reuse."""
        connection.idle_since_s = self._loop.time()
        self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Removes a closed connection from the pool."""
        self._connections.discard(connection)
        with contextlib.suppress(ValueError):
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self._idle):
            connection.close()
        self._idle.clear()

    def close(self) -> None:
        """Closes all connections and drops their requests."""
        for connection in list(self._connections):
            connection.cancel()
        self._idle.clear()

    def _close_expired(self, now_s: float) -> None:
        kept = []
        for connection in self._idle:
            if now_s - connection.idle_since_s > self.max_idle_s:
                connection.close()
            else:
                kept.append(connection)
        self._idle = kept
