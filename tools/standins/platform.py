"""Stand-in for the platform's table service and object store, over HTTP.

Run as `python -m tools.standins.platform --port N [--object-port M]`. Both
ports serve both services. `PUT /-/mode` brings about faults, `PUT /-/budget`
changes the budget, and `GET /-/counts` tells what was served.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import http
import signal
import socket
import threading
import time
from typing import Any
from typing import Literal
from typing import TypeAlias

import msgspec
import waitress
from waitress import channel
from waitress import wasyncore

_MS_PER_S = 1_000
_LOOP_TIMEOUT_S = 0.05
_THREADS = 64
_CONNECTION_LIMIT = 4_096
_BACKLOG = 1_024
_BUFFER_BYTES = 2**27

_Environ: TypeAlias = dict[str, Any]
_StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]


class Mode(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Which fault the services show.

    "down" drops each connection without an answer. "slow" waits `delay_ms`
    before a request takes effect. "answer-lost" lets a transaction take
    effect and then drops the connection. `count` is the number of requests
    (transactions, for "answer-lost") after which the fault is over, without
    it the fault stays. With `instances` only their requests are affected.
    """

    mode: Literal["up", "down", "slow", "answer-lost"] = "up"
    delay_ms: int = 0
    count: int | None = None
    instances: tuple[str, ...] = ()


class Budget(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How many requests a second the services take; bursts of one second."""

    reads_per_s: int = 2_000
    writes_per_s: int = 400


class Counts(msgspec.Struct, kw_only=True):
    """What was served since the start.

    `reads` includes `not_modified`; `writes` are the transactions and objects
    that took effect. `refused` went over the budget. Bytes are bodies.
    """

    reads: int = 0
    not_modified: int = 0
    writes: int = 0
    conflicts: int = 0
    refused: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    value: msgspec.Raw


class _NamedRow(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    revision: int
    value: msgspec.Raw


class _Put(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    expected_revision: int
    value: msgspec.Raw


class _Transaction(msgspec.Struct, frozen=True, kw_only=True):
    write_id: str
    puts: tuple[_Put, ...]


class _Committed(msgspec.Struct, frozen=True, kw_only=True):
    revisions: dict[str, int]


class _Conflict(msgspec.Struct, frozen=True, kw_only=True):
    rows: tuple[_NamedRow, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Request:
    method: str
    path: str
    instance: str
    known_revision: str
    body: bytes

    @property
    def is_transaction(self) -> bool:
        return self.path == "/transactions"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    status: http.HTTPStatus
    body: bytes = b""
    revision: int | None = None


_ABSENT = _Row(revision=0, value=msgspec.Raw(b"null"))


class TableService:
    """Rows with revisions, and transactions over them."""

    __slots__ = ("_lock", "_rows")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[str, _Row] = {}

    def read(self, *, name: str, known_revision: str) -> _Reply:
        """Reads one row, unless the reader knows it."""
        row = self._rows.get(name)
        if row is None:
            return _Reply(status=http.HTTPStatus.NOT_FOUND)
        if known_revision == str(row.revision):
            return _Reply(
                status=http.HTTPStatus.NOT_MODIFIED, revision=row.revision
            )
        return _Reply(
            status=http.HTTPStatus.OK,
            body=msgspec.json.encode(row),
            revision=row.revision,
        )

    def commit(self, *, body: bytes) -> _Reply:
        """Applies all puts of a transaction, or none."""
        try:
            transaction = msgspec.json.decode(body, type=_Transaction)
        except msgspec.DecodeError as error:
            return _Reply(
                status=http.HTTPStatus.BAD_REQUEST, body=str(error).encode()
            )
        with self._lock:
            if all(self._is_current(put) for put in transaction.puts):
                return self._apply(transaction)
            return self._refuse(transaction)

    def _is_current(self, put: _Put) -> bool:
        row = self._rows.get(put.name, _ABSENT)
        return row.revision == put.expected_revision

    def _apply(self, transaction: _Transaction) -> _Reply:
        revisions = {}
        for put in transaction.puts:
            revisions[put.name] = put.expected_revision + 1
            self._rows[put.name] = _Row(
                revision=put.expected_revision + 1,
                value=msgspec.Raw(bytes(put.value)),
            )
        return _Reply(
            status=http.HTTPStatus.OK,
            body=msgspec.json.encode(_Committed(revisions=revisions)),
        )

    def _refuse(self, transaction: _Transaction) -> _Reply:
        names = dict.fromkeys(put.name for put in transaction.puts)
        current = {name: self._rows.get(name, _ABSENT) for name in names}
        conflict = _Conflict(
            rows=tuple(
                _NamedRow(name=name, revision=row.revision, value=row.value)
                for name, row in current.items()
            )
        )
        return _Reply(
            status=http.HTTPStatus.CONFLICT, body=msgspec.json.encode(conflict)
        )


class ObjectStore:
    """Immutable bytes under the digests that their writers gave them."""

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def read(self, *, digest: str) -> _Reply:
        """Reads one object."""
        content = self._objects.get(digest)
        if content is None:
            return _Reply(status=http.HTTPStatus.NOT_FOUND)
        return _Reply(status=http.HTTPStatus.OK, body=content)

    def write(self, *, digest: str, body: bytes) -> _Reply:
        """Keeps an object; the first content under a digest stays."""
        self._objects.setdefault(digest, body)
        return _Reply(status=http.HTTPStatus.NO_CONTENT)


class _Allowance:
    """A token bucket that holds what one second allows."""

    __slots__ = ("_filled_at_s", "_rate_per_s", "_tokens")

    def __init__(self, *, rate_per_s: int, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = float(rate_per_s)
        self._filled_at_s = now_s

    def take(self, *, now_s: float) -> bool:
        """Takes one token; tells whether there was one."""
        gained = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(float(self._rate_per_s), self._tokens + gained)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _Conditions:
    """The fault, budget and counts in force, shared by all threads."""

    __slots__ = ("_counts", "_lock", "_mode", "_reads", "_writes")

    def __init__(self, *, budget: Budget) -> None:
        self._lock = threading.Lock()
        self._mode = Mode()
        self._counts = Counts()
        self.set_budget(budget)

    def set_mode(self, mode: Mode) -> None:
        with self._lock:
            self._mode = mode

    def set_budget(self, budget: Budget) -> None:
        now_s = time.monotonic()
        with self._lock:
            self._reads = _Allowance(rate_per_s=budget.reads_per_s, now_s=now_s)
            self._writes = _Allowance(
                rate_per_s=budget.writes_per_s, now_s=now_s
            )

    def draw_mode(self, request: _Request) -> Mode:
        """Finds the fault that one request meets, and counts it down."""
        with self._lock:
            mode = self._mode
            if not self._is_met(request) or mode.count == 0:
                return Mode()
            if mode.count is not None:
                self._mode = msgspec.structs.replace(mode, count=mode.count - 1)
            return mode

    def take_budget(self, request: _Request) -> bool:
        """Counts a request against the budget; tells whether it fits."""
        with self._lock:
            is_read = request.method == "GET"
            allowance = self._reads if is_read else self._writes
            if allowance.take(now_s=time.monotonic()):
                return True
            self._counts.refused += 1
            return False

    def count(self, request: _Request, reply: _Reply) -> None:
        with self._lock:
            counts = self._counts
            counts.received_bytes += len(request.body)
            counts.sent_bytes += len(reply.body)
            if request.method == "GET":
                counts.reads += 1
                is_known = reply.status is http.HTTPStatus.NOT_MODIFIED
                counts.not_modified += is_known
            elif reply.status is http.HTTPStatus.CONFLICT:
                counts.conflicts += 1
            elif reply.status < http.HTTPStatus.BAD_REQUEST:
                counts.writes += 1

    def encode_counts(self) -> bytes:
        with self._lock:
            return msgspec.json.encode(self._counts)

    def _is_met(self, request: _Request) -> bool:
        mode = self._mode
        if mode.instances and request.instance not in mode.instances:
            return False
        return mode.mode != "answer-lost" or request.is_transaction


class Services:
    """Both services as one WSGI application, with control of their faults."""

    __slots__ = ("_conditions", "_objects", "_tables")

    def __init__(self, *, budget: Budget) -> None:
        self._conditions = _Conditions(budget=budget)
        self._tables = TableService()
        self._objects = ObjectStore()

    def __call__(
        self, environ: _Environ, start_response: _StartResponse
    ) -> Iterable[bytes]:
        """Answers one request, or drops its connection."""
        request = _read_request(environ)
        if request.path.startswith("/-/"):
            return _send(self._control(request), start_response)
        mode = self._conditions.draw_mode(request)
        if mode.mode == "down":
            _drop_connection(environ)
        if not self._conditions.take_budget(request):
            reply = _Reply(status=http.HTTPStatus.TOO_MANY_REQUESTS)
            return _send(reply, start_response)
        if mode.mode == "slow":
            time.sleep(mode.delay_ms / _MS_PER_S)
        reply = self._serve(request)
        self._conditions.count(request, reply)
        if mode.mode == "answer-lost":
            _drop_connection(environ)
        return _send(reply, start_response)

    def _serve(self, request: _Request) -> _Reply:
        _, _, name = request.path.lstrip("/").partition("/")
        match request.method, request.path.split("/")[1]:
            case "GET", "rows":
                return self._tables.read(
                    name=name, known_revision=request.known_revision
                )
            case "POST", "transactions":
                return self._tables.commit(body=request.body)
            case "GET", "objects":
                return self._objects.read(digest=name)
            case "PUT", "objects":
                return self._objects.write(digest=name, body=request.body)
        return _Reply(status=http.HTTPStatus.NOT_FOUND)

    def _control(self, request: _Request) -> _Reply:
        try:
            match request.method, request.path:
                case "PUT", "/-/mode":
                    mode = msgspec.json.decode(request.body, type=Mode)
                    self._conditions.set_mode(mode)
                    return _Reply(status=http.HTTPStatus.NO_CONTENT)
                case "PUT", "/-/budget":
                    budget = msgspec.json.decode(request.body, type=Budget)
                    self._conditions.set_budget(budget)
                    return _Reply(status=http.HTTPStatus.NO_CONTENT)
                case "GET", "/-/counts":
                    return _Reply(
                        status=http.HTTPStatus.OK,
                        body=self._conditions.encode_counts(),
                    )
        except msgspec.DecodeError as error:
            return _Reply(
                status=http.HTTPStatus.BAD_REQUEST, body=str(error).encode()
            )
        return _Reply(status=http.HTTPStatus.NOT_FOUND)


class StandIn:
    """The services on loopback ports, served from a thread of their own."""

    __slots__ = ("_is_stopping", "_map", "_server", "_thread", "ports")

    def __init__(
        self,
        *,
        port: int = 0,
        object_port: int | None = None,
        budget: Budget | None = None,
    ) -> None:
        """Binds the ports.

        Args:
            port: The port to listen on; 0 takes a free one.
            object_port: A second port, or None for one port only.
            budget: Requests a second that are taken.
        """
        ports = [port] if object_port is None else [port, object_port]
        self._map: dict[int, Any] = {}
        self._server = waitress.create_server(
            Services(budget=budget or Budget()),
            listen=" ".join(f"127.0.0.1:{number}" for number in ports),
            map=self._map,
            threads=_THREADS,
            connection_limit=_CONNECTION_LIMIT,
            backlog=_BACKLOG,
            inbuf_overflow=_BUFFER_BYTES,
            outbuf_overflow=_BUFFER_BYTES,
            asyncore_use_poll=True,
        )
        self.ports = self._list_ports()
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="stand-in")

    def __enter__(self) -> "StandIn":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_stopping.is_set():
            wasyncore.loop(
                timeout=_LOOP_TIMEOUT_S,
                use_poll=True,
                map=self._map,
                count=1,
            )
        self._server.task_dispatcher.shutdown()
        wasyncore.close_all(self._map)

    def _list_ports(self) -> tuple[int, ...]:
        listeners = getattr(self._server, "effective_listen", None)
        if listeners is None:
            return (int(self._server.effective_port),)
        return tuple(int(port) for _, port in listeners)


def _read_request(environ: _Environ) -> _Request:
    return _Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        instance=environ.get("HTTP_RHUBARB_INSTANCE", ""),
        known_revision=environ.get("HTTP_IF_NONE_MATCH", "").strip('"'),
        body=environ["wsgi.input"].read(),
    )


def _send(reply: _Reply, start_response: _StartResponse) -> Iterable[bytes]:
    headers = [("Content-Length", str(len(reply.body)))]
    if reply.revision is not None:
        headers.append(("ETag", f'"{reply.revision}"'))
    start_response(f"{reply.status.value} {reply.status.phrase}", headers)
    return [reply.body]


def _drop_connection(environ: _Environ) -> None:
    # waitress passes its channel only as the owner of this bound method.
    dropped = environ["waitress.client_disconnected"].__self__
    with contextlib.suppress(OSError):
        dropped.socket.shutdown(socket.SHUT_RDWR)
    raise channel.ClientDisconnected


def main() -> None:
    """Serves until the process is told to end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--object-port", type=int)
    parser.add_argument("--reads-per-s", type=int, default=2_000)
    parser.add_argument("--writes-per-s", type=int, default=400)
    options = parser.parse_args()
    budget = Budget(
        reads_per_s=options.reads_per_s, writes_per_s=options.writes_per_s
    )
    is_ending = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: is_ending.set())
    signal.signal(signal.SIGINT, lambda *_: is_ending.set())
    with StandIn(
        port=options.port, object_port=options.object_port, budget=budget
    ):
        is_ending.wait()


if __name__ == "__main__":
    main()
