"""Serves HTTP/1.1 to callers: parsing, order of answers, limits, closing."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http
from typing import TypeAlias

import httptools

from rhubarblead import routing_table

MAX_PIPELINED = 64
"""Unanswered requests of one connection before it is read no further."""

SWEEP_S = 0.5
"""Between looks for connections that are idle or slow."""

_NO_BODY_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer to a caller; `fields` is encoded, without length or closing."""

    status: int
    reason: bytes = b""
    fields: bytes = b""
    body: bytes = b""


class Exchange:
    """One request of a caller, until its answer is written."""

    __slots__ = (
        "_answer",
        "_connection",
        "body",
        "fields",
        "is_last",
        "method",
        "on_gone",
        "received_at_s",
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
        self._answer: Answer | None = None
        self.method = method
        self.target = target
        self.fields = fields
        self.body = b""
        self.received_at_s = received_at_s
        self.is_last = False
        self.on_gone: Callable[[], None] | None = None

    @property
    def answer(self) -> Answer | None:
        """The answer, once there is one."""
        return self._answer

    @property
    def peer_ip(self) -> str:
        """The address of the caller."""
        return self._connection.peer_ip

    def finish(self, answer: Answer) -> None:
        """Gives the answer, which is written when its turn has come."""
        if self._answer is not None:
            return
        self._answer = answer
        self.on_gone = None
        self._connection.flush()


Handler: TypeAlias = Callable[[Exchange], None]


class Server:
    """The connections of one listening address."""

    __slots__ = (
        "_handler",
        "_is_closing",
        "_limits",
        "_listener",
        "_sweeper",
        "connections",
    )

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], routing_table.ClientLimits],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_closing = False
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self.connections: set[CallerConnection] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Opens the address.

        Raises:
            OSError: The address can't be used.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CallerConnection(server=self), ip, port, backlog=512
        )
        self._sweep()

    @property
    def limits(self) -> routing_table.ClientLimits:
        """The limits that are in force."""
        return self._limits()

    @property
    def is_closing(self) -> bool:
        """Whether each answer is the last of its connection."""
        return self._is_closing

    def handle(self, exchange: Exchange) -> None:
        """Hands a whole request to the handler."""
        self._handler(exchange)

    def close_gracefully(self) -> None:
        """Ends each connection with its next answer."""
        self._is_closing = True

    def close_idle(self) -> None:
        """Closes the connections on which nothing waits."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    def count_pending(self) -> int:
        """Counts the requests that wait for their answer."""
        return sum(c.pending_count for c in self.connections)

    def close(self) -> None:
        """Closes the address and all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self.connections):
            connection.check_times(loop.time())
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_fields",
        "_head_bytes",
        "_head_started_s",
        "_idle_since_s",
        "_is_ended",
        "_is_in_message",
        "_is_paused",
        "_loop",
        "_parser",
        "_pending",
        "_server",
        "_target",
        "_transport",
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
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_started_s: float | None = None
        self._idle_since_s = self._loop.time()
        self._is_in_message = False
        self._is_ended = False
        self._is_paused = False
        self.peer_ip = ""

    @property
    def is_busy(self) -> bool:
        """Whether a request waits for its answer, or is being read."""
        return bool(self._pending) or self._is_in_message

    @property
    def pending_count(self) -> int:
        """How many requests wait for their answer."""
        return len(self._pending)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.peer_ip = peer[0] if peer else ""
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells all that wait that their caller has gone."""
        del exc
        self._is_ended = True
        self._server.connections.discard(self)
        pending, self._pending = self._pending, collections.deque()
        for exchange in pending:
            if exchange.on_gone is not None:
                exchange.on_gone()

    def eof_received(self) -> bool:
        """Takes the caller's close; nobody reads the answers any more."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses what the caller has sent."""
        if self._is_ended:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._is_in_message = True
        self._head_started_s = self._loop.time()
        self._target = b""
        self._fields = []
        self._body = []
        self._body_bytes = 0
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Takes a header field."""
        value = value or b""
        self._count_head(len(name) + len(value) + 4)
        if self._head_started_s is not None:
            self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Ends the header."""
        self._head_started_s = None
        if any(name == b"expect" for name, _ in self._fields):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands over a whole request."""
        self._is_in_message = False
        if self._is_ended:
            return
        exchange = Exchange(
            connection=self,
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            received_at_s=self._loop.time(),
        )
        exchange.body = b"".join(self._body)
        exchange.is_last = not self._parser.should_keep_alive()
        self._body = []
        self._pending.append(exchange)
        self._limit_reading()
        self._server.handle(exchange)

    def flush(self) -> None:
        """Writes the answers whose turn has come."""
        while self._pending and not self._is_ended:
            exchange = self._pending[0]
            answer = exchange.answer
            if answer is None:
                return
            self._pending.popleft()
            is_last = exchange.is_last or self._server.is_closing
            self._write(encode(answer, exchange.method, is_last=is_last))
            self._idle_since_s = self._loop.time()
            if is_last:
                self.close()
        self._limit_reading()

    def close(self) -> None:
        """Closes the connection after what is written."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.close()

    def check_times(self, now_s: float) -> None:
        """Ends the connection when a header takes too long, or it is idle."""
        limits = self._server.limits
        started_s = self._head_started_s
        if started_s is not None:
            if now_s - started_s > limits.header_timeout_ms / 1_000:
                self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
            return
        if self.is_busy:
            return
        if now_s - self._idle_since_s > limits.idle_timeout_ms / 1_000:
            self.close()

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _reject(self, status: http.HTTPStatus) -> None:
        """Answers what can't be read, after all that was read before."""
        if self._is_ended or self._transport is None:
            return
        if self._pending:
            # The earlier requests get their answers; the last one closes.
            self._pending[-1].is_last = True
            self._transport.pause_reading()
            self._is_paused = True
            return
        answer = Answer(status=status, reason=status.phrase.encode())
        self._write(encode(answer, b"GET", is_last=True))
        self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _limit_reading(self) -> None:
        """Reads no further while too much waits."""
        if self._transport is None or self._transport.is_closing():
            return
        is_full = len(self._pending) >= MAX_PIPELINED
        if is_full and not self._is_paused:
            self._transport.pause_reading()
            self._is_paused = True
        elif self._is_paused and not is_full and not self._is_ended:
            self._transport.resume_reading()
            self._is_paused = False


def encode(answer: Answer, method: bytes, *, is_last: bool) -> bytes:
    """Encodes an answer with its length.

    Args:
        answer: The answer.
        method: The method of its request.
        is_last: Whether the connection closes after it.
    """
    reason = answer.reason or _find_reason(answer.status)
    parts = [b"HTTP/1.1 %d %b\r\n" % (answer.status, reason), answer.fields]
    if answer.status not in _NO_BODY_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    if is_last:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if method != b"HEAD" and answer.status not in _NO_BODY_STATUSES:
        parts.append(answer.body)
    return b"".join(parts)


def read_path(target: bytes) -> str:
    """Reads the path of a request target, without its query."""
    return target.partition(b"?")[0].decode("latin-1")


def find_field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Finds the first value of a header field, empty where there is none."""
    return next((value for key, value in fields if key == name), b"")


def _find_reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
