"""Steps for the routing client, with stub nodes."""

import contextlib
import dataclasses
import http.server
import io
import json
import random
import threading

import behave
from behave import runner
import result

from examples.embedding import route_requests
from rhubarblead import status
from rhubarblead.client import exchange
from rhubarblead.client import routing

_ATTEMPT_TIMEOUT_MS = 150
_REFUSALS = {
    "not-owner": ("not-run", 0),
    "no-owner": ("not-run", 5),
    "poison": ("not-run", 0),
}


@dataclasses.dataclass(slots=True, kw_only=True)
class RoutedNode:
    """A stub for a node and its local upstream."""

    name: str
    fault: str = "none"
    faults_left: int = 0
    run_count: int = 0
    attempt_count: int = 0
    idempotency_keys: set[str] = dataclasses.field(default_factory=set)
    shard_map: status.ShardMap | None = None
    owner: str = ""
    authority: str = ""
    sockets: list[object] = dataclasses.field(default_factory=list)
    stop_event: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def pop_fault(self) -> str:
        """Returns the fault to inject for the next request."""
        if not self.faults_left:
            return "none"
        self.faults_left -= 1
        return self.fault


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles the requests to one stub node."""

    protocol_version = "HTTP/1.1"
    node: RoutedNode

    def setup(self) -> None:
        """Records the connection."""
        super().setup()
        self.node.sockets.append(self.connection)

    def do_GET(self) -> None:  # noqa: N802
        """Responds with the shard map."""
        assert self.node.shard_map is not None
        self._send(200, status.encode(self.node.shard_map), {})

    def do_POST(self) -> None:  # noqa: N802
        """Handles a request, or injects the fault."""
        self.rfile.read(int(self.headers["Content-Length"] or 0))
        self.node.idempotency_keys.add(self.headers["Idempotency-Key"])
        self.node.attempt_count += 1
        fault = self.node.pop_fault()
        if fault in _REFUSALS:
            self._refuse(fault)
            return
        self.node.run_count += fault not in ("disconnect", "no response")
        match fault:
            case "none":
                self._send(200, b"done", {"Rhubarb-Server": self.node.name})
            case "truncate the body":
                self._send(200, b"done", {"Content-Length": "9"})
                self.close_connection = True
            case "no length":
                self.wfile.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
                self.close_connection = True
            case "no response":
                self.node.stop_event.wait(10)
                self.close_connection = True
            case _:
                self.close_connection = True

    def _refuse(self, name: str) -> None:
        verdict_value, delay_ms = _REFUSALS[name]
        headers = {"Rhubarb-Refusal": name, "Rhubarb-Verdict": verdict_value}
        if delay_ms:
            headers["Rhubarb-Retry-After-Ms"] = str(delay_ms)
        if name == "not-owner":
            headers["Rhubarb-Owner"] = self.node.owner
        body = json.dumps({"explanation": name}).encode()
        self._send(503, body, headers)

    def _send(self, code: int, body: bytes, headers: dict) -> None:
        self.send_response(code)
        length = {"Content-Length": str(len(body))}
        for name, value in {**length, **headers}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Suppresses the log output."""


def _start(context: runner.Context, node: RoutedNode) -> None:
    handler = type("NodeHandler", (Handler,), {"node": node})
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    thread = threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": 0.01}
    )
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.add_cleanup(node.stop_event.set)
    node.authority = f"127.0.0.1:{server.server_address[1]}"
    context.servers[node.name] = server


@behave.given(
    'two routed nodes "{first}" and "{second}" of which "{owner}" owns all keys'
)
def given_nodes(
    context: runner.Context, first: str, second: str, owner: str
) -> None:
    context.servers = {}
    context.routed = {n: RoutedNode(name=n) for n in (first, second)}
    for node in context.routed.values():
        _start(context, node)
    nodes = tuple(node.authority for node in context.routed.values())
    index = list(context.routed).index(owner)
    for node in context.routed.values():
        node.owner = nodes[1 - index]
        node.shard_map = status.ShardMap(
            pool="p",
            revision=1,
            shard_count=4,
            nodes=nodes,
            owners=(index,) * 4,
        )
    context.client = routing.RoutingClient(
        pool="p",
        nodes=(nodes[1 - index],),
        options=routing.Options(attempt_timeout_ms=_ATTEMPT_TIMEOUT_MS),
        random_source=random.Random(1),
    )
    context.add_cleanup(context.client.close)


@behave.given(
    'the routed node "{name}" has the fault "{fault}" for {times:d} requests'
)
def given_fault(
    context: runner.Context, name: str, fault: str, times: int
) -> None:
    context.routed[name].fault = fault
    context.routed[name].faults_left = times


@behave.given('the routed node "{name}" is stopped')
def given_stopped(context: runner.Context, name: str) -> None:
    context.servers[name].shutdown()
    context.servers[name].server_close()


@behave.when('the routed node "{name}" closes its idle connections')
def close_idle(context: runner.Context, name: str) -> None:
    for sock in context.routed[name].sockets:
        sock.shutdown(2)


@behave.when("a {kind} routed request is sent")
def send(context: runner.Context, kind: str) -> None:
    context.outcome = context.client.send(
        exchange.Request(
            method="POST",
            path="/drops/depot-7",
            key="depot-7",
            body=b"drop",
            is_repeatable=kind == "repeatable",
        )
    )


@behave.when("{count:d} unrepeatable routed requests are sent")
def send_many(context: runner.Context, count: int) -> None:
    for _ in range(count):
        send(context, "unrepeatable")


@behave.then("the routed nodes received {count:d} attempts")
def check_attempts(context: runner.Context, count: int) -> None:
    found = sum(node.attempt_count for node in context.routed.values())
    assert found == count, found


@behave.then(
    "the routed request is answered by {server:w} after {attempt_count:d}"
    " attempts"
)
def check_answer(
    context: runner.Context, server: str, attempt_count: int
) -> None:
    match context.outcome:
        case result.Ok(answer):
            found = (answer.server, answer.attempt_count, answer.body)
            assert found == (server, attempt_count, b"done"), answer
        case failure:
            raise AssertionError(failure)


@behave.then("the routed request is {verdict} after {attempt_count:d} attempts")
def check_failure(
    context: runner.Context, verdict: str, attempt_count: int
) -> None:
    failure = context.outcome.unwrap_err()
    found = (failure.verdict.value, failure.attempt_count)
    assert found == (verdict, attempt_count), failure


@behave.then("the upstreams of the routed nodes ran it {count:d} times")
def check_runs(context: runner.Context, count: int) -> None:
    found = sum(node.run_count for node in context.routed.values())
    assert found == count, found


@behave.then("the routed nodes received {count:d} idempotency key")
def check_key_count(context: runner.Context, count: int) -> None:
    seen = set().union(
        *(node.idempotency_keys for node in context.routed.values())
    )
    assert len(seen) == count, seen


@behave.when("the embedding example sends a routed request")
def run_example(context: runner.Context) -> None:
    nodes = [node.authority for node in context.routed.values()]
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        context.code = route_requests.main(["p", "depot-7", "/drops", *nodes])
    context.example_text = printed.getvalue()


@behave.then('the embedding example prints "{text}" and ends with {code:d}')
def check_example(context: runner.Context, text: str, code: int) -> None:
    found = context.example_text
    assert (text in found, context.code) == (True, code), found
