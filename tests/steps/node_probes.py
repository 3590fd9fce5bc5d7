"""Steps for health checks of an upstream, over real sockets."""

import contextlib
import itertools
import json
import socket
import threading
import time
from typing import Any

import behave
from behave import runner

from rhubarblead import settings
from rhubarblead.node.requests import probes
from rhubarblead.node.requests import unresolved
from rhubarblead.upstream import monitor

_WAIT_S = 5.0
_PIECE_BYTES = 16_384
_HEALTH = {
    "server": "s",
    "incarnation": "i",
    "state": "serving",
    "clock_ms": 5,
}
# What is sent behind the status line, and then again and again.
_ENDLESS = {
    "a byte each 50 ms": ("content-length: 1000\r\n\r\n", " "),
    "a body up to the close": ("\r\n", "x" * _PIECE_BYTES),
    "a body with a length": (
        "content-length: 999999999\r\n\r\n",
        "x" * _PIECE_BYTES,
    ),
    "chunks": (
        "transfer-encoding: chunked\r\n\r\n",
        f"{_PIECE_BYTES:x}\r\n{'x' * _PIECE_BYTES}\r\n",
    ),
    "fields": ("", "a: b\r\n" * 1_000),
}


class _Events:
    """An event log that drops all."""

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Drops an event."""


class _Server:
    """Answers each request with the same bytes."""

    def __init__(self, first: bytes, repeated: bytes, pause_s: float) -> None:
        self._first = first
        self._repeated = repeated
        self._pause_s = pause_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while not self._is_closed:
                connection, _ = self._listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.recv(65_536)
                    self._respond(connection)

    def _respond(self, connection: socket.socket) -> None:
        connection.sendall(self._first)
        for _ in itertools.count():
            if self._is_closed or not self._repeated:
                return
            connection.send(self._repeated)
            time.sleep(self._pause_s)

    def close(self) -> None:
        """Stops to answer."""
        self._is_closed = True
        self._listener.close()


def _decode(text: str) -> bytes:
    return text.encode().decode("unicode_escape").encode("latin-1")


def _start(context: runner.Context, first: bytes, rest: str = "") -> None:
    pause_s = 0.05 if len(rest) == 1 else 0.0
    context.server = _Server(first, rest.encode(), pause_s)
    context.add_cleanup(context.server.close)


@behave.given(
    'an upstream that answers health checks with "{start}" and its state'
)
def start_whole(context: runner.Context, start: str) -> None:
    body = json.dumps(_HEALTH).encode()
    head = _decode(start) + b"\r\ncontent-length: %d\r\n\r\n" % len(body)
    _start(context, head + body)


@behave.given(
    'an upstream that answers health checks with "{start}" and, without end,'
    " {what}"
)
def start_endless(context: runner.Context, start: str, what: str) -> None:
    first, rest = _ENDLESS[what]
    _start(context, _decode(start) + b"\r\n" + first.encode(), rest)


@behave.when("its health is checked")
def check_health(context: runner.Context) -> None:
    events: Any = _Events()
    context.probe = probes.UpstreamProbe(
        upstream=settings.Upstream(),
        events=events,
        find_grant_extension=lambda: ("m", 1),
        cap_grants=lambda is_capped: None,
        unresolved_runs=unresolved.UnresolvedRuns(),
        find_settle_ms=lambda: 0,
        on_change=lambda: None,
    )
    context.probe.record_announcement(
        monitor.Announcement(
            server="s",
            ip_address="127.0.0.1",
            port=context.server.port,
            incarnation="i",
            slots=1,
            connections=4,
            is_fenced=True,
            state="serving",
        )
    )
    thread = threading.Thread(target=context.probe.check, daemon=True)
    started_s = time.monotonic()
    thread.start()
    thread.join(_WAIT_S)
    context.took_s = time.monotonic() - started_s


@behave.then("the upstream is {state} service")
def check_service(context: runner.Context, state: str) -> None:
    view = context.probe.read()
    assert view is not None
    assert view.is_serving == (state == "in"), view


@behave.then("the check has ended within {most_s:g} s")
def check_end(context: runner.Context, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s
