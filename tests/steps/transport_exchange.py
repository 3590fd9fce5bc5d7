"""Steps for calls between two nodes over loopback sockets."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import socket
import threading

import behave
from behave import runner
import zmq

from rhubarblead import clock
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead import verdict
from rhubarblead.transport import exchange
from rhubarblead.transport import links

_SHORT_MS = 600
_LONG_MS = 20_000


def _find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def _make_forward(call_id: str, body: bytes) -> messages.Forward:
    return messages.Forward(
        call_id=call_id,
        request_id="r",
        pool="p",
        route="p",
        shard=1,
        key="k",
        method="GET",
        target="/",
        headers=(),
        idempotency_key="",
        is_protected=False,
        is_repeatable=True,
        remaining_ms=_LONG_MS,
        max_answer_bytes=2**20,
        ownership_revision=1,
        body_size=len(body),
        body_digest=exchange.digest_body(body),
    )


class _Server:
    """Answers each call with its body; "slow" calls wait until released."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.released = threading.Event()

    def serve(
        self, message: exchange.CallMessage, body: bytes
    ) -> exchange.Reply:
        self.ran.append(message.call_id)
        if message.call_id.startswith("slow"):
            self.released.wait()
        response = messages.Response(
            call_id=message.call_id,
            verdict=verdict.Verdict.RAN,
            status=200,
            reason="OK",
            headers=(),
            body_size=len(body),
            body_digest=exchange.digest_body(body),
        )
        return exchange.Reply(message=response, body=body)


def _refuse(forward: messages.Forward) -> exchange.Reply:
    response = messages.Response(
        call_id=forward.call_id,
        verdict=verdict.Verdict.NOT_RUN,
        status=503,
        reason="",
        headers=(),
        refusal="overloaded",
        body_digest=exchange.digest_body(b""),
    )
    return exchange.Reply(message=response, body=b"")


def _start(
    stack: contextlib.ExitStack, name: str, serve: exchange.Serve
) -> tuple[exchange.PeerExchange, links.Address]:
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    stack.callback(context.term)
    pool = stack.enter_context(futures.ThreadPoolExecutor(4))
    made = exchange.PeerExchange(
        context=context,
        identity=name,
        limits=settings.Limits(
            ack_timeout_ms=50, peer_threads=2, queue_length=1
        ),
        executor=pool,
        serve=serve,
        refuse=_refuse,
        report_reset=lambda address: None,
    )
    address = links.Address("127.0.0.1", _find_free_port())
    made.listen(address)
    task = pool.submit(made.run)
    stack.callback(task.result)
    stack.callback(made.stop)
    return made, address


@behave.given("an exchange that calls and an exchange that serves")
def given_two(context: runner.Context) -> None:
    context.server = _Server()
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.caller, _ = _start(stack, "caller", context.server.serve)
    _, context.address = _start(stack, "server", context.server.serve)
    stack.callback(context.server.released.set)
    context.outcome = None
    context.body = b""


def _call(
    context: runner.Context,
    address: links.Address,
    message: messages.Forward,
    body: bytes,
    timeout_ms: int,
) -> futures.Future[exchange.Outcome]:
    context.body = body
    future: futures.Future[exchange.Outcome] = context.caller.call(
        address=address,
        message=message,
        body=body,
        deadline_ms=clock.read_monotonic_ms() + timeout_ms,
    )
    return future


@behave.when('the exchange calls "{name}" with a body of {size:d} bytes')
def when_called(context: runner.Context, name: str, size: int) -> None:
    body = b"x" * size
    message = _make_forward(name, body)
    future = _call(context, context.address, message, body, _LONG_MS)
    context.outcome = future.result()


@behave.when(
    'the exchange sends "{name}" with a body that was changed in transit'
)
def when_changed(context: runner.Context, name: str) -> None:
    message = _make_forward(name, b"sent")
    future = _call(context, context.address, message, b"came", _SHORT_MS)
    context.outcome = future.result()


@behave.when('the exchange calls "{name}" at a port without a listener')
def when_no_listener(context: runner.Context, name: str) -> None:
    no_listener = links.Address("127.0.0.1", _find_free_port())
    message = _make_forward(name, b"")
    context.outcome = _call(
        context, no_listener, message, b"", _SHORT_MS
    ).result()


@behave.when('the exchange calls "{name}" and the peer is declared lost')
def when_lost(context: runner.Context, name: str) -> None:
    message = _make_forward(name, b"")
    future = _call(context, context.address, message, b"", _LONG_MS)
    _wait(lambda: bool(context.server.ran))
    context.caller.drop_peer(context.address)
    context.outcome = future.result()


def _wait(is_done: Callable[[], bool]) -> None:
    pause = threading.Event()
    while not is_done():
        pause.wait(0.005)


@behave.when('the exchange has stopped and is asked to call "{name}"')
def when_stopped(context: runner.Context, name: str) -> None:
    context.caller.stop()
    _wait(lambda: context.caller._is_stopped)
    message = _make_forward(name, b"")
    future = _call(context, context.address, message, b"", _LONG_MS)
    context.outcome = future.result(_LONG_MS / 1000)


@behave.then('the exchange reports that "{name}" was not sent')
def then_not_sent(context: runner.Context, name: str) -> None:
    del name
    assert context.outcome == exchange.NoReply(is_sent=False), context.outcome


@behave.then('the exchange gets "{name}" back with its body')
def then_answered(context: runner.Context, name: str) -> None:
    assert isinstance(context.outcome, exchange.Reply), context.outcome
    assert context.outcome.message.call_id == name
    assert context.outcome.body == context.body


@behave.then('the exchange reports that "{name}" may have been received')
def then_possibly(context: runner.Context, name: str) -> None:
    del name
    assert context.outcome == exchange.NoReply(is_sent=True), context.outcome


@behave.then("the serving exchange ran {count:d} call")
@behave.then("the serving exchange ran {count:d} calls")
def then_ran(context: runner.Context, count: int) -> None:
    assert len(context.server.ran) == count, context.server.ran


@behave.when('the exchange calls "slow" {count:d} times at once, then "{name}"')
def when_overloaded(context: runner.Context, count: int, name: str) -> None:
    for number in range(count):
        message = _make_forward(f"slow{number}", b"")
        _call(context, context.address, message, b"", _LONG_MS)
    message = _make_forward(name, b"")
    future = _call(context, context.address, message, b"", _LONG_MS)
    context.outcome = future.result()


@behave.then('the exchange gets "{name}" refused as overloaded')
def then_overloaded(context: runner.Context, name: str) -> None:
    response = context.outcome.message
    assert response.call_id == name
    assert response.refusal == "overloaded", response
    assert response.verdict is verdict.Verdict.NOT_RUN
