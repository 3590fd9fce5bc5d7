"""Steps for a local server that is full although the node sees free slots."""

import asyncio
import contextlib
from typing import Any

import behave
from behave import runner

from rhubarblead.platform import headers
from rhubarblead.platform import settings
from rhubarblead.requests import link_load
from rhubarblead.router import upstream
from rhubarblead.router import wire
from tests import full_server
from tests import router_doubles

_WAYS = {
    "hang": "hang",
    "hangs": "hang",
    "reset": "reset",
    "resets": "reset",
    "refuse": "refuse",
}


@behave.given("a node whose server has one slot and, when full, {way:w}")
def open_node(context: runner.Context, way: str) -> None:
    context.loop = asyncio.new_event_loop()
    context.stack = contextlib.ExitStack()
    context.add_cleanup(context.loop.close)
    context.add_cleanup(context.stack.close)
    context.outcomes = {}
    # Lets the server's tasks end once the connections are closed.
    context.stack.callback(
        lambda: context.loop.run_until_complete(asyncio.sleep(0.01))
    )
    context.loop.run_until_complete(_open(context, _WAYS[way]))


async def _open(context: runner.Context, way: str) -> None:
    context.server = full_server.FullServer(way=way)
    await context.server.listen()
    context.stack.callback(context.server.close)
    event_log: Any = router_doubles.SilentEventLog()
    loop = asyncio.get_running_loop()
    context.upstream = upstream.Upstream(
        address=settings.Address(ip="127.0.0.1", port=context.server.port),
        events=event_log,
        now_ms=lambda: int(loop.time() * 1_000),
        is_held=lambda key: True,
        is_owned=lambda key: True,
        link=link_load.LinkLoad(
            bytes_per_ms=1_250, min_bytes=8_000, find_queued_bytes=lambda: 0
        ),
        count_servers=lambda: 1,
        broadcast=lambda message: None,
    )
    context.stack.callback(context.upstream.close)
    context.upstream.set_server("i-1", 1, born_ms=1)
    context.upstream.set_serving(True, cause="test")


@behave.given("somebody else takes the server's slot")
def occupy(context: runner.Context) -> None:
    context.server.occupy()


@behave.when("the server's slot is free again")
def free(context: runner.Context) -> None:
    context.server.free()


@behave.when("{name:w} is submitted with {left:d} ms left")
def submit(context: runner.Context, name: str, left: int) -> None:
    context.loop.run_until_complete(_submit(context, name, left))


@behave.when(
    "{name:w} is submitted with {left:d} ms left, and the server leaves at once"
)
def submit_while_leaving(context: runner.Context, name: str, left: int) -> None:
    async def submit_and_leave() -> None:
        submitted = asyncio.create_task(_submit(context, name, left))
        # The request is submitted, and its connection isn't open yet.
        await asyncio.sleep(0)
        context.upstream.refuse_all(wire.Reason.LEAVING)
        await submitted

    context.loop.run_until_complete(submit_and_leave())


async def _submit(context: runner.Context, name: str, left_ms: int) -> None:
    context.name = name
    work = wire.Work(
        origin="o",
        number=len(context.outcomes),
        target_incarnation="i",
        request_id=name,
        service="s",
        route="r",
        priority=1,
        is_call=False,
        is_once=True,
        key=wire.NO_KEY,
        target_ms=left_ms,
        deadline_ms=left_ms,
        may_wait=True,
        method=b"GET",
        target=b"/",
        head=headers.encode_forwarded(
            [(headers.REQUEST_ID, name.encode())], "s"
        ),
        body=b"",
    )
    future = asyncio.get_running_loop().create_future()
    context.outcomes[name] = future
    context.upstream.submit(work, future.set_result)
    await asyncio.sleep(0.01)


async def _submit_and_wait(context: runner.Context, name: str) -> None:
    await _submit(context, name, 400)
    async with asyncio.timeout(1):
        await context.outcomes[name]


@behave.when("{count:d} requests are submitted, one after the other")
def submit_many(context: runner.Context, count: int) -> None:
    for number in range(count):
        context.loop.run_until_complete(
            _submit_and_wait(context, f"r{number + 1}")
        )


@behave.then("each had the outcome {verdict:w}")
def check_all(context: runner.Context, verdict: str) -> None:
    found = [future.result().verdict for future in context.outcomes.values()]
    assert set(found) == {wire.Verdict[verdict]}, found


@behave.when("its process starts anew")
def restart(context: runner.Context) -> None:
    context.upstream.set_server("i-1", 1, born_ms=2)


@behave.then("its outcome is {verdict:w} within {most:d} ms")
def check_outcome(context: runner.Context, verdict: str, most: int) -> None:
    async def wait() -> wire.Outcome:
        async with asyncio.timeout(most / 1_000):
            outcome: wire.Outcome = await context.outcomes[context.name]
        return outcome

    outcome = context.loop.run_until_complete(wait())
    assert outcome.verdict == wire.Verdict[verdict], outcome


@behave.then("no connection has carried a request behind an unanswered one")
def check_connections(context: runner.Context) -> None:
    served = context.server.served_by_connection
    sent = context.server.requests_by_connection
    assert all(a <= b + 1 for a, b in zip(sent, served, strict=True)), (
        sent,
        served,
    )


@behave.then("that server has run no request")
def check_nothing_run(context: runner.Context) -> None:
    assert not context.server.run_ids, context.server.run_ids


@behave.then("the server has run only {name:w}")
def check_run(context: runner.Context, name: str) -> None:
    assert context.server.run_ids == [name], context.server.run_ids
