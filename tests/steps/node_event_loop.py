"""Steps for the event loop, over loopback sockets."""

from collections.abc import Callable
import contextlib
import http.client
import socket
import threading

import behave
from behave import runner
import waitress.server

from rhubarblead import verdict
from rhubarblead.node import event_loop
from rhubarblead.node.requests import intake
from rhubarblead.node.requests import outcome
from rhubarblead.node.requests import wsgi

_TIMEOUT_S = 20
_POLL_S = 0.005


class _Server:
    """Responds to `/N` with N bytes; `/wait` blocks until `released` is set."""

    def __init__(self) -> None:
        self.waiting = threading.Event()
        self.released = threading.Event()
        application = wsgi.Application(
            route=self._answer,
            admin=self._answer,
            refuse=self._answer,
            queue_length=1_000,
        )
        self.server = waitress.server.create_server(
            application,
            host="127.0.0.1",
            port=0,
            threads=4,
            connection_limit=1_000,
        )
        self.server.channel_class = wsgi.Channel
        self.port = int(self.server.socket.getsockname()[1])
        self.loop = event_loop.EventLoop()
        self.loop.attach(self.server)
        self.thread = threading.Thread(target=self.loop.run)
        self.thread.start()

    def close(self) -> None:
        self.released.set()
        self.loop.stop()
        self.thread.join()
        self.server.close()

    def _answer(self, request: intake.CallerRequest) -> outcome.Outcome:
        name = request.path.strip("/")
        if name == "wait":
            self.waiting.set()
            self.released.wait()
        size = int(name) if name.isdecimal() else 0
        return outcome.Outcome(
            verdict=verdict.Verdict.RAN,
            status=200,
            reason="OK",
            body=b"x" * size,
        )


def _connect(context: runner.Context) -> http.client.HTTPConnection:
    made = http.client.HTTPConnection(
        "127.0.0.1", context.served.port, timeout=_TIMEOUT_S
    )
    context.add_cleanup(made.close)
    made.connect()
    return made


def _wait(is_done: Callable[[], bool]) -> None:
    pause = threading.Event()
    while not is_done():
        pause.wait(_POLL_S)


@behave.given("an event loop that serves on a loopback port")
def given_loop(context: runner.Context) -> None:
    context.served = _Server()
    context.add_cleanup(context.served.close)


@behave.given("{count:d} idle connections to the event loop")
def given_idle(context: runner.Context, count: int) -> None:
    context.idle = [_connect(context) for _ in range(count)]
    _wait(lambda: len(context.served.server.active_channels) == count)


@behave.when(
    "a caller sends the event loop {count:d} requests over one connection"
)
def when_sent(context: runner.Context, count: int) -> None:
    connection = _connect(context)
    context.wanted = list(range(1, count + 1))
    context.sizes = []
    for size in context.wanted:
        connection.request("GET", f"/{size}")
        context.sizes.append(len(connection.getresponse().read()))


@behave.when("a caller pipelines {count:d} requests to the event loop")
def when_pipelined(context: runner.Context, count: int) -> None:
    connection = _connect(context)
    context.wanted = list(range(1, count + 1))
    text = "".join(
        f"GET /{size} HTTP/1.1\r\nHost: a\r\n\r\n" for size in context.wanted
    )
    connection.sock.sendall(text.encode())
    stream = connection.sock.makefile("rb")
    context.sizes = [_read_answer(stream) for _ in context.wanted]


def _read_answer(stream: socket.SocketIO) -> int:
    size = 0
    while (line := stream.readline()) != b"\r\n":
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    return len(stream.read(size))


@behave.when(
    "a caller is slow to read a response of {size:d} bytes from the event loop"
)
def when_slow(context: runner.Context, size: int) -> None:
    connection = _connect(context)
    connection.request("GET", f"/{size}")
    channels = context.served.server.active_channels
    # The server buffers output once the send buffer of the socket is full.
    _wait(lambda: any(c.total_outbufs_len for c in channels.values()))
    context.sizes = [len(connection.getresponse().read())]


@behave.when("a caller of the event loop disconnects during its request")
def when_disconnected(context: runner.Context) -> None:
    connection = _connect(context)
    connection.request("GET", "/wait")
    context.served.waiting.wait()
    connection.close()
    context.served.released.set()


@behave.when("the connections of the event loop exceed the idle timeout")
def when_idle(context: runner.Context) -> None:
    server = context.served.server
    for channel in list(server.active_channels.values()):
        channel.last_activity = 0
    server.next_channel_cleanup = 0
    server.pull_trigger()


@behave.when("the event loop closes after responses")
def when_closing(context: runner.Context) -> None:
    context.served.loop.close_after_responses()
    server = context.served.server
    _wait(lambda: server._fileno is None)


@behave.when("a caller sends the event loop a request over its idle connection")
def when_idle_sends(context: runner.Context) -> None:
    connection = context.idle[0]
    connection.request("GET", "/5")
    context.answer = connection.getresponse()
    context.sizes = [len(context.answer.read())]


@behave.then("the response tells the caller that the connection closes")
def then_closes(context: runner.Context) -> None:
    assert context.sizes == [5], context.sizes
    assert context.answer.headers["Connection"] == "close"


@behave.then("the event loop refuses a new connection")
def then_refused_connection(context: runner.Context) -> None:
    try:
        _connect(context)
    except ConnectionRefusedError:
        return
    raise AssertionError("connected")


@behave.when('a caller sends the event loop "{text}"')
def when_malformed(context: runner.Context, text: str) -> None:
    connection = _connect(context)
    connection.sock.sendall(text.encode() + b"\r\n\r\n")
    answer = http.client.HTTPResponse(connection.sock)
    answer.begin()
    context.answer = answer


@behave.then("the event loop has answered each request of the caller")
def then_answered(context: runner.Context) -> None:
    assert context.sizes == context.wanted, context.sizes


@behave.then("the caller of the event loop has received {size:d} bytes")
def then_received(context: runner.Context, size: int) -> None:
    assert context.sizes == [size], context.sizes


@behave.then("the event loop has {count:d} open connections")
def then_open(context: runner.Context, count: int) -> None:
    _wait(lambda: len(context.served.server.active_channels) == count)


@behave.then("the idle connection to the event loop is closed")
def then_closed(context: runner.Context) -> None:
    with contextlib.suppress(ConnectionResetError):
        assert context.idle[0].sock.recv(1) == b""


@behave.then(
    'the event loop answers with status {status:d} and verdict "{name}"'
)
def then_refused(context: runner.Context, status: int, name: str) -> None:
    assert context.answer.status == status, context.answer.status
    found = context.answer.headers["Rhubarb-Verdict"]
    assert found == name, found
