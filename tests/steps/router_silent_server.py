"""Steps for requests at a server whose heartbeats stay away."""

import asyncio
import contextlib

import behave
from behave import runner

from rhubarblead.router import directory
from rhubarblead.router import wire
from tests import router_doubles
from tests import stating_server

_IP = "127.0.0.1"
_WAIT_S = 2.0


@behave.given("a node whose server needs {run_ms:d} ms for each request")
def open_node(context: runner.Context, run_ms: int) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.stack = contextlib.AsyncExitStack()
    context.loop.run_until_complete(_open(context, run_ms))
    context.add_cleanup(
        lambda: context.loop.run_until_complete(_close(context))
    )


async def _close(context: runner.Context) -> None:
    await context.stack.aclose()
    # Lets the server's runs end.
    await asyncio.sleep(0.25)


async def _open(context: runner.Context, run_ms: int) -> None:
    server = stating_server.StatingServer(
        state=lambda number: b"", run_s=run_ms / 1_000
    )
    port = await context.stack.enter_async_context(server.listen(_IP))
    context.upstream = router_doubles.open_upstream(_IP, port)
    context.stack.callback(context.upstream.close)


@behave.given('the node "{stopping}" is being stopped')
def stop_node(context: runner.Context, stopping: str) -> None:
    states = {
        name: router_doubles.make_state(name, "s", incarnation=f"{name}-a")
        for name in ("n1", "n2", "n3")
    }
    if stopping in states:
        states[stopping].is_stopping = True
    context.directory = directory.Directory(own_state=states["n1"])
    for name in ("n2", "n3"):
        context.directory.update_state(states[name], 0)


@behave.when('a {kind:w} request of node "{origin}" is at work')
def submit(context: runner.Context, kind: str, origin: str) -> None:
    context.loop.run_until_complete(_submit(context, kind == "once", origin))


async def _submit(context: runner.Context, is_once: bool, origin: str) -> None:
    context.outcome = context.loop.create_future()
    context.upstream.submit(
        router_doubles.make_work("r1", origin=f"{origin}-a", is_once=is_once),
        context.outcome.set_result,
    )
    await asyncio.sleep(0.05)


@behave.when("the server is taken for gone")
def stop_serving(context: runner.Context) -> None:
    context.upstream.stop_serving(
        wire.Reason.SERVER_GONE, context.directory.list_stopping()
    )


@behave.then("the outcome of the request is {verdict:w}")
def check_outcome(context: runner.Context, verdict: str) -> None:
    waiting = asyncio.wait_for(context.outcome, _WAIT_S)
    outcome = context.loop.run_until_complete(waiting)
    assert wire.Verdict(outcome.verdict).name == verdict, outcome
