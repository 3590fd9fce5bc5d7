"""Steps for the upstream client, with the stand-in and scripted servers."""

from collections.abc import Iterator
import concurrent.futures
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import behave
from behave import runner
import result
import xxhash

from rhubarblead import clock
from rhubarblead.upstream import client

TIMEOUT_MS = 8_000
SHORT_TIMEOUT_MS = 400
DEAD_CONNECTION_TIMEOUT_MS = 1_600
SLOTS = 2
FIRST_FENCE = 5
SHARD = 7
MAX_ANSWER_BYTES = 1_000
POLL_ATTEMPTS = 500
PORT_ATTEMPTS = 5

_ids = itertools.count()


class StandIn:
    """The process of one stand-in upstream."""

    def __init__(self) -> None:
        handle, name = tempfile.mkstemp(suffix=".jsonl")
        os.close(handle)
        self.records = pathlib.Path(name)
        self.port = find_port()
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tools.standins.upstream",
                "--server=dispatch-1",
                f"--port={self.port}",
                f"--slots={SLOTS}",
                f"--records={self.records}",
            ]
        )

    def stop(self) -> None:
        """Kills the process, even if it is stopped by SIGSTOP."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.records.unlink(missing_ok=True)

    def count_commits(self, request_id: str) -> int:
        """Counts the committed runs of a request."""
        runs = map(json.loads, self.records.read_text().splitlines())
        return sum(
            run["request_id"] == request_id and run["is_committed"]
            for run in runs
        )

    def wait_for_run(self, upstream: client.UpstreamClient) -> None:
        """Waits until the process runs a request."""
        for _ in range(POLL_ATTEMPTS):
            report = upstream.probe("/-/load", TIMEOUT_MS)
            if report.is_ok() and json.loads(report.unwrap())["in_flight"]:
                return
            time.sleep(0.01)
        raise AssertionError("the stand-in did not start any request")


class ScriptedServer:
    """A server that answers each request with given bytes."""

    def __init__(
        self, connections: list[list[bytes]], *, is_byte_by_byte: bool = False
    ) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.connection_count = 0
        self._connections = connections
        self._is_byte_by_byte = is_byte_by_byte
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        for replies in self._connections:
            with contextlib.suppress(OSError):
                connection, _ = self.listener.accept()
                self.connection_count += 1
                with connection:
                    self._reply(connection, replies)

    def _reply(self, connection: socket.socket, replies: list[bytes]) -> None:
        for reply in replies:
            text = connection.recv(65_536)
            request_id = _find_request_id(text)
            for part in self._split(reply.replace(b"ID", request_id)):
                connection.sendall(part)

    def _split(self, reply: bytes) -> Iterator[bytes]:
        if not self._is_byte_by_byte:
            yield reply
            return
        for value in reply:
            time.sleep(0.02)
            yield bytes([value])


def find_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


def _find_request_id(text: bytes) -> bytes:
    for line in text.split(b"\r\n"):
        if line.startswith(b"Rhubarb-Request-Id"):
            return line
    return b""


def decode_message(text: str) -> bytes:
    return text.replace("~", "\r\n").encode()


def make_request(
    *,
    method: str = "POST",
    target: str = "/confirm",
    headers: tuple[tuple[str, str], ...] = (),
    is_repeatable: bool = False,
    timeout_ms: int = TIMEOUT_MS,
    body: bytes = b"drop",
) -> client.UpstreamRequest:
    return client.UpstreamRequest(
        method=method,
        target=target,
        headers=headers,
        body=body,
        request_id=f"request-{next(_ids)}",
        timeout_ms=timeout_ms,
        is_repeatable=is_repeatable,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )


def send(context: runner.Context, request: client.UpstreamRequest) -> None:
    context.request = request
    context.outcome = context.client.send(request)


def send_in_background(
    context: runner.Context, request: client.UpstreamRequest
) -> "concurrent.futures.Future[result.Result[object, object]]":
    executor = concurrent.futures.ThreadPoolExecutor(SLOTS)
    context.add_cleanup(executor.shutdown)
    return executor.submit(context.client.send, request)


def open_client(context: runner.Context, port: int, count: int = 10) -> None:
    context.timeout_ms = TIMEOUT_MS
    context.client = client.UpstreamClient(
        ip_address="127.0.0.1", port=port, connections=count
    )
    context.add_cleanup(context.client.close)


def is_started(context: runner.Context) -> bool:
    """Starts a stand-in; returns whether it could bind its port."""
    context.stand_in = StandIn()
    context.add_cleanup(context.stand_in.stop)
    open_client(context, context.stand_in.port)
    for _ in range(POLL_ATTEMPTS):
        if context.stand_in.process.poll() is not None:
            return False
        if context.client.probe("/-/health", TIMEOUT_MS).is_ok():
            return True
        time.sleep(0.01)
    return False


@behave.given("a stand-in upstream")
def start_stand_in(context: runner.Context) -> None:
    context.has_dead_connections = False
    # Another process may take the free port before the stand-in binds it.
    assert any(is_started(context) for _ in range(PORT_ATTEMPTS))
    grant = (("Rhubarb-Shard", str(SHARD)), ("Rhubarb-Fence", str(FIRST_FENCE)))
    assert context.client.send(make_request(headers=grant)).is_ok()


@behave.given('an upstream that answers with "{text}"')
def start_script(context: runner.Context, text: str) -> None:
    connect_to_script(context, ScriptedServer([[decode_message(text)]]))


@behave.given('an upstream that sends "{text}" one byte at a time')
def start_byte_by_byte(context: runner.Context, text: str) -> None:
    connect_to_script(
        context, ScriptedServer([[decode_message(text)]], is_byte_by_byte=True)
    )
    context.timeout_ms = SHORT_TIMEOUT_MS


@behave.given(
    "an upstream that closes its first connection on the second request"
)
def start_ending(context: runner.Context) -> None:
    good = decode_message("HTTP/1.1 200 OK~ID~Content-Length: 4~~body")
    connect_to_script(context, ScriptedServer([[good, b""], [good]]))


def connect_to_script(context: runner.Context, script: ScriptedServer) -> None:
    context.script = script
    context.add_cleanup(script.listener.close)
    open_client(context, script.port)


@behave.given("an upstream that reads nothing")
def start_not_reading(context: runner.Context) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    open_client(context, listener.getsockname()[1])


@behave.when("the client sends a request with a body of {size:d} bytes to it")
def send_large(context: runner.Context, size: int) -> None:
    request = make_request(body=bytes(size), timeout_ms=SHORT_TIMEOUT_MS)
    send(context, request)


@behave.given("no upstream")
def start_no_upstream(context: runner.Context) -> None:
    open_client(context, find_port())


@behave.given("all pooled connections of the client are dead")
def kill_pooled_connections(context: runner.Context) -> None:
    context.has_dead_connections = True
    for _ in range(2):
        send(context, make_request(is_repeatable=True))
    set_mode(context, is_black_holing=True)


def set_mode(context: runner.Context, **mode: bool) -> None:
    """Sets the fault mode of the stand-in."""
    connection = http.client.HTTPConnection("127.0.0.1", context.stand_in.port)
    with contextlib.closing(connection):
        connection.request("PUT", "/-/mode", json.dumps(mode))
        assert connection.getresponse().status == http.HTTPStatus.NO_CONTENT


def find_timeout_ms(context: runner.Context, fault: str) -> int:
    """Chooses a short timeout only if the fault leads to a timeout."""
    if fault in ("hang", "late"):
        return SHORT_TIMEOUT_MS
    return (
        DEAD_CONNECTION_TIMEOUT_MS
        if context.has_dead_connections
        else TIMEOUT_MS
    )


@behave.when(
    'the client sends a request with {kind}, fault "{fault}" and headers'
    ' "{headers}"'
)
@behave.when(
    'the client sends a request with {kind}, fault "" and headers "{headers}"'
)
@behave.when(
    'the client sends a request with {kind}, fault "{fault}" and headers ""'
)
@behave.when('the client sends a request with {kind}, fault "" and headers ""')
def send_fault(
    context: runner.Context, kind: str, fault: str = "", headers: str = ""
) -> None:
    pairs = [tuple(pair.split(":")) for pair in headers.split()]
    if fault:
        pairs.append(("Standin-Fault", fault))
    request = make_request(
        headers=tuple((name, value) for name, value in pairs),
        is_repeatable=kind == "repeatable",
        timeout_ms=find_timeout_ms(context, fault),
    )
    send(context, request)
    if fault == "crash":
        assert context.stand_in.process.wait(5) != 0


@behave.when("the client sends a request to it")
def send_one(context: runner.Context) -> None:
    send(context, make_request(timeout_ms=context.timeout_ms))


@behave.when("the client sends {count:d} repeatable requests to it")
def send_repeatable(context: runner.Context, count: int) -> None:
    for _ in range(count):
        send(context, make_request(is_repeatable=True))


@behave.when(
    'the client sends {method} "{target}" with the header value "{value}"'
)
def send_malformed(
    context: runner.Context, method: str, target: str, value: str
) -> None:
    request = make_request(
        method=method.replace("~", "\r\n"),
        target=target.replace("~", "\r\n"),
        headers=(("Depot", value.replace("~", "\r\n")),),
    )
    send(context, request)


@behave.when(
    "a request waits in the stand-in's socket until its grant has expired"
)
def send_frozen(context: runner.Context) -> None:
    context.stand_in.process.send_signal(signal.SIGSTOP)
    expires_ms = clock.read_monotonic_ms() + 50
    context.request = make_request(
        headers=(
            ("Rhubarb-Shard", str(SHARD)),
            ("Rhubarb-Fence", str(FIRST_FENCE)),
            ("Rhubarb-Expires-Ms", str(expires_ms)),
        ),
        timeout_ms=5_000,
    )
    sent = send_in_background(context, context.request)
    while clock.read_monotonic_ms() <= expires_ms:
        time.sleep(0.01)
    context.stand_in.process.send_signal(signal.SIGCONT)
    context.outcome = sent.result()


def start_run(
    context: runner.Context, service_ms: int
) -> "concurrent.futures.Future[result.Result[object, object]]":
    request = make_request(
        headers=(("Standin-Service-Ms", str(service_ms)),), timeout_ms=9_000
    )
    running = send_in_background(context, request)
    context.stand_in.wait_for_run(context.client)
    context.request = request
    return running


@behave.when("a running request is cancelled")
def cancel(context: runner.Context) -> None:
    running = start_run(context, 8_000)
    assert context.client.cancel(context.request.request_id)
    context.outcome = running.result()


@behave.when("a request is sent to a stand-in whose slots are in use")
def send_beyond_slots(context: runner.Context) -> None:
    running = [start_run(context, 8_000) for _ in range(SLOTS)]
    for _ in range(POLL_ATTEMPTS):
        load = json.loads(context.client.probe("/-/load", TIMEOUT_MS).unwrap())
        if load["in_flight"] == SLOTS:
            break
        time.sleep(0.01)
    send(context, make_request())
    context.stand_in.stop()
    assert all(run.result().is_err() for run in running)


@behave.when(
    "a request is sent to a draining stand-in with one run in progress"
)
def send_to_draining(context: runner.Context) -> None:
    # The run is held until released, independent of the load of the machine.
    set_mode(context, is_holding_runs=True)
    context.running = start_run(context, 0)
    context.stand_in.process.terminate()
    for _ in range(POLL_ATTEMPTS):
        health = context.client.probe("/-/health", TIMEOUT_MS).unwrap()
        if json.loads(health)["state"] == "draining":
            break
    send(context, make_request())
    set_mode(context, is_holding_runs=False)


@behave.when("a request is sent while the client's only connection is in use")
def send_beyond_connections(context: runner.Context) -> None:
    observer = context.client
    open_client(context, context.stand_in.port, count=1)
    request = make_request(
        headers=(("Standin-Service-Ms", "8000"),), timeout_ms=9_000
    )
    send_in_background(context, request)
    context.stand_in.wait_for_run(observer)
    send(context, make_request())
    observer.cancel(request.request_id)


@behave.when("{count:d} unrepeatable requests are sent in sequence")
def send_many(context: runner.Context, count: int) -> None:
    open_client(context, context.stand_in.port, count=count)
    context.outcomes = [
        context.client.send(make_request()) for _ in range(count)
    ]


@behave.then("the client has a response to each request")
def check_all_answered(context: runner.Context) -> None:
    assert all(outcome.is_ok() for outcome in context.outcomes)


@behave.then('the client reports "{outcome}" and verdict "{verdict}"')
def check_outcome(context: runner.Context, outcome: str, verdict: str) -> None:
    if outcome == "answered":
        response = context.outcome.unwrap()
        document = json.loads(response.body)
        assert document["digest"] == xxhash.xxh3_64_hexdigest(b"drop")
        assert verdict == "ran"
        return
    failure = context.outcome.unwrap_err()
    found = (failure.refusal.value, failure.verdict.value)
    assert found == (outcome, verdict), failure


@behave.then("the client suspects a crash: {expected}")
def check_crash(context: runner.Context, expected: str) -> None:
    outcome = context.outcome
    is_suspected = outcome.is_err() and outcome.err_value.is_crash_suspected
    assert is_suspected == (expected == "yes"), outcome


@behave.then("the stand-in committed the request {count:d} times")
def check_commits(context: runner.Context, count: int) -> None:
    found = context.stand_in.count_commits(context.request.request_id)
    assert found == count, found


@behave.then("the next response of the stand-in is complete")
def check_next(context: runner.Context) -> None:
    if context.stand_in.process.poll() is not None:
        return
    request = make_request(
        method="GET", target="/map?bytes=900", is_repeatable=True
    )
    response = context.client.send(request).unwrap()
    digest = dict(response.headers)["Standin-Digest"]
    assert digest == xxhash.xxh3_64_hexdigest(response.body)
    assert len(response.body) == 900


@behave.then('the client has the response "{body}"')
def check_body(context: runner.Context, body: str) -> None:
    assert context.outcome.unwrap().body == body.encode()


@behave.then("the upstream saw {count:d} connections")
def check_connections(context: runner.Context, count: int) -> None:
    assert context.script.connection_count == count


@behave.then("the client gets a retry time of {retry_after_ms:d} ms")
def check_retry_after(context: runner.Context, retry_after_ms: int) -> None:
    assert context.outcome.unwrap_err().retry_after_ms == retry_after_ms


@behave.then("the run in progress was answered")
def check_running(context: runner.Context) -> None:
    assert context.running.result().is_ok()


@behave.then("the stand-in has exited")
def check_exited(context: runner.Context) -> None:
    assert context.stand_in.process.wait(5) == 0
