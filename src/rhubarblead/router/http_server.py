"""HTTP/1.1 server for callers: pipelining, limits and connection closing."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http
from typing import TypeAlias

import httptools

from rhubarblead import routing_table
from rhubarblead.router import body_buffer
from rhubarblead.router import loop_share
from rhubarblead.router import request_budget

MAX_PIPELINED = 64
"""Reading pauses while a connection has this many pending requests."""

MAX_PIPELINED_BYTES = 262_144
"""Reading pauses while pending requests of a connection take up so much."""

MAX_OVERHEAD_RATIO = 32
"""Limit on the framing of a body; a chunk of one byte takes 6."""

REFUSED_RETRY_S = 1
"""Time after which a request that found no memory may come back."""

READ_BYTES = 16_384
"""Bytes that are read at a time, and may wait on a connection to be parsed."""

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""Between checks for connections that are idle or slow."""

LINGER_S = 1.0
"""How long a caller may still send after the last response on a connection.

Closing a connection while bytes are unread resets it, and the response with it.
"""

_NO_BODY_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A response to a caller.

    `fields` holds encoded header fields without `content-length` and
    `connection`, which `encode` adds.
    """

    status: int
    reason: bytes = b""
    fields: bytes = b""
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerWork:
    """What callers have sent since the process started."""

    received_bytes: int = 0
    request_count: int = 0


class Exchange:
    """One request of a caller, until its response is written."""

    __slots__ = (
        "_response",
        "_connection",
        "body",
        "fields",
        "held_bytes",
        "is_last",
        "method",
        "on_disconnect",
        "received_at_s",
        "reserved_bytes",
        "target",
    )

    def __init__(
        self,
        *,
        connection: "CallerConnection",
        method: bytes,
        target: bytes,
        fields: list[tuple[bytes, bytes]],
        received_at_s: float,
    ) -> None:
        self._connection = connection
        self._response: Response | None = None
        self.method = method
        self.target = target
        self.fields = fields
        self.body = b""
        # Memory that it takes up, and how much of it is reserved.
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.received_at_s = received_at_s
        self.is_last = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def response(self) -> Response | None:
        """The response, or None while there is none."""
        return self._response

    @property
    def peer_ip(self) -> str:
        """The IP address of the caller."""
        return self._connection.peer_ip

    def finish(self, response: Response) -> None:
        """Sets the response; it is written after those of earlier requests."""
        if self._response is not None:
            return
        self._response = response
        self.on_disconnect = None
        self._connection.flush()


Handler: TypeAlias = Callable[[Exchange], None]


class Server:
    """A listening address and its connections."""

    __slots__ = (
        "_handler",
        "_is_closing",
        "_limits",
        "_listener",
        "_max_connection_count",
        "_timeout_timer",
        "budget",
        "connections",
        "read_buffer",
        "received_bytes",
        "request_count",
        "share",
    )

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], routing_table.ClientLimits],
        budget: request_budget.RequestBudget,
        max_connection_count: int,
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            handler: Called with each complete request.
            limits: Returns the limits in force.
            budget: Limits the memory of the requests of all connections.
            max_connection_count: How many connections may be open.
        """
        self._handler = handler
        self._limits = limits
        self.budget = budget
        self._max_connection_count = max_connection_count
        self._is_closing = False
        self._listener: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        # In the order in which they were opened.
        self.connections: dict[CallerConnection, None] = {}
        self.received_bytes = 0
        self.request_count = 0
        # All connections read into it, and copy what they have read at once.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.share = loop_share.LoopShare(loop=asyncio.get_running_loop())

    async def listen(self, ip: str, port: int) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CallerConnection(server=self), ip, port, backlog=512
        )
        self._check_timeouts()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    @property
    def limits(self) -> routing_table.ClientLimits:
        """The limits in force."""
        return self._limits()

    @property
    def work(self) -> CallerWork:
        """What callers have sent since the start."""
        return CallerWork(
            received_bytes=self.received_bytes,
            request_count=self.request_count,
        )

    @property
    def is_closing(self) -> bool:
        """Whether the connections accept no requests behind pending ones."""
        return self._is_closing

    def handle(self, exchange: Exchange) -> None:
        """Passes a complete request to the handler."""
        self.request_count += 1
        self._handler(exchange)

    def add(self, connection: "CallerConnection") -> None:
        """Adds a connection; the first one that serves nobody makes room."""
        if len(self.connections) >= self._max_connection_count:
            for other in self.connections:
                if other.is_idle or other.has_stalled():
                    other.abort()
                    break
            else:
                connection.abort()
        self.connections[connection] = None

    def close_after_responses(self) -> None:
        """Makes each connection close once its pending requests are answered.

        An idle connection closes after the response to its next request.
        """
        self._is_closing = True

    def close_idle(self) -> None:
        """Closes the connections without a pending request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or pending, and no response unsent."""
        return not any(
            connection.is_busy or connection.unsent_bytes
            for connection in self.connections
        )

    def count_unsent_bytes(self) -> int:
        """Counts the bytes of responses that wait for their callers to read."""
        return sum(c.unsent_bytes for c in self.connections)

    def count_pending(self) -> int:
        """Counts the requests without a response."""
        return sum(c.pending_count for c in self.connections)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close()

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self.connections):
            connection.check_timeouts(loop.time())
        self._timeout_timer = loop.call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts
        )


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller."""

    __slots__ = (
        "_body",
        "_fields",
        "_header_bytes",
        "_header_started_s",
        "_idle_since_s",
        "_is_ended",
        "_is_lingering",
        "_is_queued",
        "_is_reading_request",
        "_is_rejected",
        "_is_paused",
        "_loop",
        "_memory",
        "_message_started_s",
        "_overhead_bytes",
        "_parser",
        "_pending",
        "_pending_bytes",
        "_read_at_s",
        "_received",
        "_server",
        "_target",
        "_transport",
        "_used_s",
        "peer_ip",
    )

    def __init__(self, *, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[Exchange] = collections.deque()
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = body_buffer.BodyBuffer()
        self._header_bytes = 0
        self._header_started_s: float | None = None
        self._idle_since_s = self._loop.time()
        self._is_reading_request = False
        # Whether a request was refused; nothing behind it is read.
        self._is_rejected = False
        self._is_ended = False
        self._is_lingering = False
        self._is_paused = False
        # What was read, and waits to be parsed if it is queued.
        self._received = b""
        self._read_at_s = 0.0
        self._is_queued = False
        # Time that the request which is being read has taken up so far.
        self._used_s = 0.0
        # Of the request that is being read: its memory, the bytes that aren't
        # body, and when it began.
        self._memory = request_budget.RequestMemory(
            budget=server.budget, holder=self
        )
        self._overhead_bytes = 0
        self._message_started_s = self._loop.time()
        # Memory that the pending requests take up.
        self._pending_bytes = 0
        self.peer_ip = ""

    @property
    def is_busy(self) -> bool:
        """Whether a request is pending or being read."""
        is_reading = self._is_reading_request or self._is_queued
        return bool(self._pending) or (is_reading and not self._is_ended)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open for the next request."""
        return not self.is_busy and not self._is_ended

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of responses the system's buffers haven't taken."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def pending_count(self) -> int:
        """How many requests have no response yet."""
        return len(self._pending)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.peer_ip = peer[0] if peer else ""
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies all pending requests that their caller disconnected."""
        del exc
        self._is_ended = True
        self._server.connections.pop(self, None)
        self._drop_message()
        for exchange in self._pending:
            self._release(exchange)
        pending, self._pending = self._pending, collections.deque()
        for exchange in pending:
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def eof_received(self) -> bool:
        """Closes the connection: the caller reads no more responses."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where to put the next bytes."""
        del sizehint
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes, or queues them while callers send too much."""
        self._server.received_bytes += nbytes
        if self._is_ended:
            return
        self._received = bytes(self._server.read_buffer[:nbytes])
        self._read_at_s = self._loop.time()
        self._is_queued = True
        self._server.share.run(self._parse, used_s=self._used_s)
        self._update_reading()

    def _parse(self) -> None:
        self._is_queued = False
        data, self._received = self._received, b""
        started_s = self._loop.time()
        if not self._is_ended:
            body_bytes = self._body.size_bytes
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade:
                self._reject(http.HTTPStatus.BAD_REQUEST)
            except httptools.HttpParserError:
                self._reject(http.HTTPStatus.BAD_REQUEST)
            except Exception:
                if self._transport is not None:
                    self._transport.abort()
                raise
            self._check_overhead(len(data), body_bytes)
        self._used_s += self._loop.time() - started_s
        self._update_reading()

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._is_reading_request = True
        self._header_started_s = self._loop.time()
        self._message_started_s = self._header_started_s
        self._memory.begin(is_ahead=bool(self._pending))
        self._target = b""
        self._fields = []
        self._body.clear()
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collects a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Collects a header field, without the whitespace around its value."""
        value = (value or b"").strip(b" \t")
        self._count_header_bytes(len(name) + len(value) + 4)
        if self._header_started_s is None or self._is_rejected:
            return
        self._fields.append((name.lower(), value))
        self._hold(request_budget.FIELD_BYTES + len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Ends the header, and asks for the body where that is expected."""
        self._header_started_s = None
        if not self._reserve_body():
            return
        has_expectation = any(name == b"expect" for name, _ in self._fields)
        if has_expectation and not self._is_ended:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        if self._is_rejected:
            return
        body_bytes = self._body.size_bytes + len(body)
        if body_bytes > self._server.limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if self._hold(len(body)):
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Passes on a complete request."""
        self._is_reading_request = False
        if self._is_ended or self._is_rejected or self._is_next_behind_last():
            return
        exchange = Exchange(
            connection=self,
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            received_at_s=self._read_at_s,
        )
        self._used_s = 0.0
        self._overhead_bytes = 0
        exchange.held_bytes, exchange.reserved_bytes = self._memory.complete()
        self._pending_bytes += exchange.held_bytes
        exchange.body = self._body.join()
        exchange.is_last = not self._parser.should_keep_alive()
        self._body.clear()
        self._pending.append(exchange)
        self._update_reading()
        self._server.handle(exchange)

    def flush(self) -> None:
        """Writes the responses that are next in request order."""
        while self._pending and not self._is_ended:
            exchange = self._pending[0]
            response = exchange.response
            if response is None:
                return
            self._pending.popleft()
            self._release(exchange)
            is_last = exchange.is_last or (
                self._server.is_closing and not self._pending
            )
            self._write(encode(response, exchange.method, is_last=is_last))
            self._idle_since_s = self._loop.time()
            if is_last:
                self._close_after_last(is_caller_done=exchange.is_last)
        self._update_reading()

    def close(self) -> None:
        """Closes the connection after all written data has been sent."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.close()

    def _close_after_last(self, *, is_caller_done: bool = False) -> None:
        """Sends what is written, and reads on until the caller has closed.

        Args:
            is_caller_done: Whether the caller has said that it sends no more.
        """
        self._is_ended = True
        if self._transport is None or self._transport.is_closing():
            return
        if is_caller_done and not self._is_paused:
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has left unnoticed; connection_lost tells its requests.
            self._transport.abort()
            return
        self._is_lingering = True
        self._update_reading()

    def _is_next_behind_last(self) -> bool:
        """Whether the next request counts as not read.

        The connection closes after the response to one before it.
        """
        if not self._pending:
            return False
        return self._server.is_closing or self._pending[-1].is_last

    def check_timeouts(self, now_s: float) -> None:
        """Ends the connection if its header is late or it is idle too long."""
        if self._is_ended:
            lingered_s = now_s - self._idle_since_s
            if self._is_lingering and lingered_s > LINGER_S:
                self.close()
            return
        limits = self._server.limits
        started_s = self._header_started_s
        if self._is_queued:
            return
        if started_s is not None:
            if now_s - started_s > limits.header_timeout_ms / 1_000:
                self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
            return
        if self._is_reading_request:
            if now_s - self._read_at_s > limits.idle_timeout_ms / 1_000:
                self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
            return
        if self._pending:
            return
        if now_s - self._idle_since_s > limits.idle_timeout_ms / 1_000:
            self.close()

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def has_stalled(self) -> bool:
        """Whether a request is incomplete, and its caller sends too slowly."""
        if self._is_ended or self._is_queued or not self._is_reading_request:
            return False
        now_s = self._loop.time()
        if now_s - self._read_at_s > request_budget.STALL_S:
            return True
        taken_s = now_s - self._message_started_s
        if taken_s <= request_budget.STALL_S:
            return False
        rate = self._memory.held_bytes / taken_s
        return rate < request_budget.MIN_RATE_BYTES_PER_S

    def drop_request(self) -> None:
        """Refuses the incomplete request, which has not run."""
        self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def abort(self) -> None:
        """Closes the connection at once."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def _reserve_body(self) -> bool:
        """Reserves memory for the body; returns whether the request goes on."""
        length = find_field(self._fields, b"content-length")
        if self._is_rejected or not length.isdigit():
            return not self._is_rejected
        body_bytes = int(length)
        if body_bytes > self._server.limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return False
        if self._memory.reserve(body_bytes):
            return True
        self.drop_request()
        return False

    def _hold(self, count_bytes: int) -> bool:
        """Counts what the request takes up; refuses it without memory."""
        if self._memory.add(count_bytes):
            return True
        self.drop_request()
        return False

    def _release(self, exchange: Exchange) -> None:
        """Releases the memory of a request that has ended."""
        self._pending_bytes -= exchange.held_bytes
        self._server.budget.release(self, exchange.reserved_bytes)
        exchange.reserved_bytes = 0

    def _drop_message(self) -> None:
        """Drops the request that is being read, and its memory."""
        self._fields = []
        self._body.clear()
        self._memory.drop()

    def _check_overhead(self, count_bytes: int, body_bytes: int) -> None:
        """Refuses what sends more framing than a request can need.

        Args:
            count_bytes: Number of bytes that were parsed.
            body_bytes: Size of the body before.
        """
        received_bytes = max(0, self._body.size_bytes - body_bytes)
        self._overhead_bytes += max(0, count_bytes - received_bytes)
        most_bytes = (
            self._server.limits.max_header_bytes
            + 2 * READ_BYTES
            + MAX_OVERHEAD_RATIO * self._body.size_bytes
        )
        if self._overhead_bytes <= most_bytes:
            return
        if not self._is_reading_request:
            # There is no request that a response could belong to.
            self.abort()
            return
        self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _reject(self, status: http.HTTPStatus) -> None:
        """Responds to a malformed or too large request, and closes."""
        if self._is_ended or self._transport is None:
            return
        self._is_rejected = True
        self._drop_message()
        if self._pending:
            # Earlier requests get their responses; the last one closes.
            self._pending[-1].is_last = True
            self._update_reading()
            return
        fields = b""
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            fields = b"retry-after: %d\r\n" % REFUSED_RETRY_S
        response = Response(
            status=status, reason=status.phrase.encode(), fields=fields
        )
        self._write(encode(response, b"GET", is_last=True))
        self._idle_since_s = self._loop.time()
        self._close_after_last()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _update_reading(self) -> None:
        """Pauses reading while received bytes or too many requests wait."""
        if self._transport is None or self._transport.is_closing():
            return
        is_full = (
            self._is_rejected
            or len(self._pending) >= MAX_PIPELINED
            or self._pending_bytes >= MAX_PIPELINED_BYTES
        )
        must_pause = self._is_queued or (is_full and not self._is_ended)
        if must_pause and not self._is_paused:
            self._transport.pause_reading()
        elif self._is_paused and not must_pause:
            self._transport.resume_reading()
        self._is_paused = must_pause


def encode(response: Response, method: bytes, *, is_last: bool) -> bytes:
    """Encodes a response with its length.

    Args:
        response: The response.
        method: The method of its request; HEAD leaves out the body.
        is_last: Whether the connection closes after it.
    """
    reason = response.reason or _get_reason_phrase(response.status)
    parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason), response.fields]
    if response.status not in _NO_BODY_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if is_last:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if method != b"HEAD" and response.status not in _NO_BODY_STATUSES:
        parts.append(response.body)
    return b"".join(parts)


def read_path(target: bytes) -> str:
    """Returns the path of a request target, without its query."""
    return target.partition(b"?")[0].decode("latin-1")


def find_field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a header field, empty if absent."""
    return next((value for key, value in fields if key == name), b"")


def _get_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
