"""Steps for the promises that nodes exchange."""

import asyncio
from typing import Any
from unittest import mock

import behave
from behave import runner

from rhubarblead.router import directory
from rhubarblead.router import promise_exchange
from rhubarblead.router import wire
from tests import router_doubles


def _make(node_id: str, incarnation: str) -> promise_exchange.PromiseExchange:
    state = router_doubles.make_state(node_id, "s", incarnation=incarnation)
    return promise_exchange.PromiseExchange(
        cluster_directory=directory.Directory(own_state=state),
        links=mock.MagicMock(),
        now_ms=lambda: 0,
    )


def _name(incarnation: str) -> str:
    if not incarnation:
        return ""
    return promise_exchange.name_process("g", incarnation)


@behave.given('a granter whose process is "{incarnation}"')
def make_granter(context: runner.Context, incarnation: str) -> None:
    context.exchange = _make("g", incarnation)


@behave.when('a node that has chosen process "{chosen}" sends a {message:w}')
def receive(context: runner.Context, chosen: str, message: str) -> None:
    fields: dict[str, Any] = {
        "node_id": "n",
        "incarnation": "i",
        "term": 1,
        "granter": _name(chosen),
    }
    request: wire.LeaseHeartbeat | wire.LeaseLeave
    if message == "leave":
        request = wire.LeaseLeave(**fields)
    else:
        request = wire.LeaseHeartbeat(
            **fields, sequence=1, row_revision=1, is_bound=False
        )
    context.replies = []
    context.exchange.handle_request(request, context.replies.append)


@behave.when('a node that has chosen process "" sends a {message:w}')
def receive_unnamed(context: runner.Context, message: str) -> None:
    receive(context, "", message)


@behave.then("the granter answers {count:d} times")
def check_replies(context: runner.Context, count: int) -> None:
    assert len(context.replies) == count, context.replies


@behave.given('a node that has chosen process "{chosen}" of a granter')
def make_holder(context: runner.Context, chosen: str) -> None:
    context.sent = []
    context.exchange = _make("n", "i")
    context.exchange.begin_term(_name(chosen), 1)
    links: Any = mock.MagicMock()
    links.send = lambda node_id, message: context.sent.append(message)
    context.exchange._links = links


@behave.when("it sends a heartbeat and leaves")
def send_both(context: runner.Context) -> None:
    async def send() -> None:
        heartbeats = asyncio.create_task(
            context.exchange.run_heartbeats(lambda: 1)
        )
        await asyncio.sleep(0)
        heartbeats.cancel()
        await context.exchange.leave()

    asyncio.run(send())


@behave.then('both messages name process "{chosen}"')
def check_named(context: runner.Context, chosen: str) -> None:
    kinds = [type(message) for message in context.sent]
    assert kinds == [wire.LeaseHeartbeat, wire.LeaseLeave], kinds
    assert {m.granter for m in context.sent} == {_name(chosen)}
