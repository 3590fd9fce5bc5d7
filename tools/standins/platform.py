"""Stand-in for the platform's store, table service and object store, over HTTP.

Run as `python -m tools.standins.platform --port N [--object-port M]`. Both
ports serve all services. `PUT /-/mode` injects a fault, `PUT /-/budget` changes
the request budget, `PUT /-/operator/NAME` writes a row as the operator does,
`POST /-/forget` drops the history of changes, `POST /-/deliver` applies delayed
transactions, `POST /-/copy` takes a copy of the rows, `POST /-/restore` puts it
in their place, `PUT /-/era` sets the era, and `GET /-/counts` reads the
counters.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import http
import signal
import socket
import threading
import time
from typing import Any
from typing import TypeAlias
import urllib.parse

import msgspec
import waitress
from waitress import channel
from waitress import wasyncore

from rhubarblead import signals
from tools.standins import conditions
from tools.standins import exchange
from tools.standins import row_calls
from tools.standins import table_service

_MS_PER_S = 1_000
_LOOP_TIMEOUT_S = 0.05
_THREADS = 64
_CONNECTION_LIMIT = 4_096
_BACKLOG = 1_024
_BUFFER_BYTES = 2**27

_Environ: TypeAlias = dict[str, Any]
_StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]


class Services:
    """All services and their fault control, as one WSGI application."""

    __slots__ = ("_conditions", "_delayed", "_objects", "_rows", "_tables")

    def __init__(self, *, budget: conditions.Budget, era: str) -> None:
        self._conditions = conditions.Conditions(budget=budget)
        self._tables = table_service.TableService()
        self._objects = table_service.ObjectStore()
        self._rows = row_calls.RowCalls(era=era)
        self._delayed: list[exchange.Request] = []

    def __call__(
        self, environ: _Environ, start_response: _StartResponse
    ) -> Iterable[bytes]:
        """Answers one request, or drops its connection."""
        request = _read_request(environ)
        if request.path.startswith("/-/"):
            return _respond(self._serve_control(request), start_response)
        era = self._rows.era if row_calls.is_row_call(request) else ""
        mode = self._conditions.consume_mode(request)
        if mode.mode == "down":
            _drop_connection(environ)
        if not self._conditions.consume_budget(request):
            reply = exchange.Reply(status=http.HTTPStatus.TOO_MANY_REQUESTS)
            return _respond(reply, start_response, era)
        if mode.mode == "refusing":
            reply = exchange.Reply(status=http.HTTPStatus.SERVICE_UNAVAILABLE)
            return _respond(reply, start_response, era)
        if mode.mode == "late":
            self._serve_later(request, mode.delay_ms)
            _drop_connection(environ)
        if mode.mode == "slow":
            time.sleep(mode.delay_ms / _MS_PER_S)
        reply = self._serve(request)
        self._conditions.count(request, reply)
        if mode.mode == "answer-lost":
            _drop_connection(environ)
        if row_calls.is_row_call(request):
            era = self._rows.era
        return _respond(reply, start_response, era)

    def _serve_later(self, request: exchange.Request, delay_ms: int) -> None:
        if not delay_ms:
            self._delayed.append(request)
            return
        timer = threading.Timer(
            delay_ms / _MS_PER_S, self._serve, args=(request,)
        )
        timer.daemon = True
        timer.start()

    def _serve(self, request: exchange.Request) -> exchange.Reply:
        if row_calls.is_row_call(request):
            return self._rows.serve(request)
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
        return exchange.Reply(status=http.HTTPStatus.NOT_FOUND)

    def _serve_control(self, request: exchange.Request) -> exchange.Reply:
        try:
            match request.method, request.path:
                case "PUT", "/-/mode":
                    mode = msgspec.json.decode(
                        request.body, type=conditions.Mode
                    )
                    self._conditions.set_mode(mode)
                    return exchange.Reply(status=http.HTTPStatus.NO_CONTENT)
                case "PUT", "/-/budget":
                    budget = msgspec.json.decode(
                        request.body, type=conditions.Budget
                    )
                    self._conditions.set_budget(budget)
                    return exchange.Reply(status=http.HTTPStatus.NO_CONTENT)
                case "PUT", path if path.startswith("/-/operator/"):
                    self._rows.write_operator(
                        path.removeprefix("/-/operator/"), request.body
                    )
                    return exchange.Reply(status=http.HTTPStatus.NO_CONTENT)
                case "POST", "/-/deliver":
                    delayed, self._delayed = self._delayed, []
                    for delayed_request in delayed:
                        self._serve(delayed_request)
                    return exchange.Reply(status=http.HTTPStatus.NO_CONTENT)
                case "GET", "/-/counts":
                    return exchange.Reply(
                        status=http.HTTPStatus.OK,
                        body=self._conditions.encode_counts(),
                    )
        except msgspec.DecodeError as error:
            return exchange.Reply(
                status=http.HTTPStatus.BAD_REQUEST, body=str(error).encode()
            )
        return self._control_rows(request)

    def _control_rows(self, request: exchange.Request) -> exchange.Reply:
        match request.method, request.path:
            case "POST", "/-/copy":
                self._rows.take_copy()
            case "POST", "/-/restore":
                self._rows.restore()
            case "PUT", "/-/era":
                self._rows.era = request.body.decode()
            case "POST", "/-/forget":
                self._rows.drop_history()
            case _:
                return exchange.Reply(status=http.HTTPStatus.NOT_FOUND)
        return exchange.Reply(status=http.HTTPStatus.NO_CONTENT)


class StandIn:
    """The services on loopback ports, served from a thread of their own."""

    __slots__ = ("_is_stopping", "_map", "_server", "_thread", "ports")

    def __init__(
        self,
        *,
        port: int = 0,
        object_port: int | None = None,
        budget: conditions.Budget | None = None,
        era: str = "",
    ) -> None:
        """Binds the ports.

        Args:
            port: The port to listen on; 0 picks a free one.
            object_port: A second port, or None for a single port.
            budget: Requests per second that are accepted.
            era: The store's era in its replies, empty for none.
        """
        ports = [port] if object_port is None else [port, object_port]
        self._map: dict[int, Any] = {}
        self._server = waitress.create_server(
            Services(budget=budget or conditions.Budget(), era=era),
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


def _read_request(environ: _Environ) -> exchange.Request:
    return exchange.Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        instance=environ.get("HTTP_RHUBARB_INSTANCE", ""),
        known_revision=environ.get("HTTP_IF_NONE_MATCH", "").strip('"'),
        body=environ["wsgi.input"].read(),
    )


def _respond(
    reply: exchange.Reply, start_response: _StartResponse, era: str = ""
) -> Iterable[bytes]:
    headers = [("Content-Length", str(len(reply.body)))]
    if era:
        headers.append(("Store-Era", era))
    if reply.revision is not None:
        headers.append(("ETag", f'"{reply.revision}"'))
    start_response(f"{reply.status.value} {reply.status.phrase}", headers)
    return [reply.body]


def _drop_connection(environ: _Environ) -> None:
    # waitress exposes its channel only as the owner of this bound method.
    dropped_channel = environ["waitress.client_disconnected"].__self__
    with contextlib.suppress(OSError):
        dropped_channel.socket.shutdown(socket.SHUT_RDWR)
    raise channel.ClientDisconnected


def main() -> None:
    """Serves until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--object-port", type=int)
    parser.add_argument("--reads-per-s", type=int, default=2_000)
    parser.add_argument("--writes-per-s", type=int, default=400)
    parser.add_argument("--era", default="")
    options = parser.parse_args()
    budget = conditions.Budget(
        reads_per_s=options.reads_per_s, writes_per_s=options.writes_per_s
    )
    is_stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: is_stopping.set())
    signal.signal(signal.SIGINT, lambda *_: is_stopping.set())
    with StandIn(
        port=options.port,
        object_port=options.object_port,
        budget=budget,
        era=options.era,
    ):
        signals.wait_for(is_stopping)


if __name__ == "__main__":
    main()
