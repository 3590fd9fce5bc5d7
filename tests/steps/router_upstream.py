"""Steps for requests at the node beside their server."""

import asyncio
from typing import Any

import behave
from behave import runner

from rhubarblead.platform import settings
from rhubarblead.router import upstream
from rhubarblead.router import wire

# Nothing listens on the discard port here.
_NOWHERE = settings.Address(ip="127.0.0.1", port=9)
_DEADLINE_MS = 2_000


class SilentEventLog:
    """Takes events and forgets them."""

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Takes one event."""


@behave.given(
    "a node whose server is to hold keys 0-{last:d} and holds 0-{held:d}"
)
def make(context: runner.Context, last: int, held: int) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.last = last
    context.held = held
    context.asked_count = 0
    context.now_ms = 0
    context.outcomes = []
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    def is_held(key: int) -> bool:
        context.asked_count += 1
        return key <= context.held

    journal: Any = SilentEventLog()
    context.upstream = upstream.Upstream(
        address=_NOWHERE,
        events=journal,
        now_ms=lambda: context.now_ms,
        is_held=is_held,
        is_owned=lambda key: key <= context.last,
        broadcast=lambda message: None,
    )
    context.upstream.set_server("i-1", 18)
    context.upstream.is_serving = True


def _make_work(number: int, key: int) -> wire.Work:
    return wire.Work(
        origin="o",
        number=number,
        target_incarnation="i",
        request_id=f"r{number}",
        service="s",
        route="r",
        priority=1,
        is_call=False,
        is_once=True,
        key=key,
        target_ms=60_000,
        deadline_ms=_DEADLINE_MS,
        may_wait=True,
        method=b"GET",
        target=b"/",
        head=b"",
        body=b"",
    )


async def _submit(context: runner.Context, count: int, key: int) -> None:
    for number in range(count):
        context.upstream.submit(
            _make_work(number, key), context.outcomes.append
        )
    await asyncio.sleep(0.02)


@behave.when("a request for key {key:d} comes")
def submit(context: runner.Context, key: int) -> None:
    context.loop.run_until_complete(_submit(context, 1, key))


@behave.when("{count:d} requests for key {key:d} come")
def submit_many(context: runner.Context, count: int, key: int) -> None:
    context.loop.run_until_complete(_submit(context, count, key))


@behave.when("the server is to hold keys 0-{last:d} only")
def move(context: runner.Context, last: int) -> None:
    context.last = last
    context.upstream.turn_away_foreign()


@behave.when("the server leaves")
def leave(context: runner.Context) -> None:
    context.upstream.turn_away_all(wire.Reason.LEAVING)


@behave.when("their time is over")
def expire(context: runner.Context) -> None:
    context.now_ms += _DEADLINE_MS
    context.asked_count = 0
    context.upstream.pump()


@behave.then("it waits")
def check_waits(context: runner.Context) -> None:
    assert not context.outcomes
    assert context.upstream.room.waiting_count == 1


@behave.then("it is sent back as {reason:w}, not run")
def check_refused(context: runner.Context, reason: str) -> None:
    _check(context, reason, 1)


@behave.then("{count:d} of them are sent back as {reason:w}, not run")
def check_all_refused(context: runner.Context, count: int, reason: str) -> None:
    _check(context, reason, count)
    context.outcomes.clear()


@behave.when("the count of questions begins anew")
def forget_questions(context: runner.Context) -> None:
    context.asked_count = 0


def _check(context: runner.Context, reason: str, count: int) -> None:
    found = [(o.verdict, o.reason) for o in context.outcomes]
    assert found == [(wire.Verdict.NOT_RUN, wire.Reason[reason])] * count, found


@behave.then("the server's keys were asked for less than {count:d} times")
def check_cost(context: runner.Context, count: int) -> None:
    assert context.asked_count < count, context.asked_count
