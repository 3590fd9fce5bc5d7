"""Steps for the requests that a node runs at its local server."""

import asyncio
from typing import Any

import behave
from behave import runner

from rhubarblead.platform import settings
from rhubarblead.requests import link_load
from rhubarblead.router import upstream
from rhubarblead.router import wire
from tests import router_doubles

# Nothing listens on the discard port here.
_UNUSED_ADDRESS = settings.Address(ip="127.0.0.1", port=9)
_DEADLINE_MS = 2_000


@behave.given(
    "a node whose server is assigned keys 0-{last:d} and holds 0-{held:d}"
)
def open_upstream(context: runner.Context, last: int, held: int) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.last = last
    context.held = held
    context.lookup_count = 0
    context.now_ms = 0
    context.outcomes = []
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    def is_held(key: int) -> bool:
        context.lookup_count += 1
        return key <= context.held

    event_log: Any = router_doubles.SilentEventLog()
    context.upstream = upstream.Upstream(
        address=_UNUSED_ADDRESS,
        events=event_log,
        now_ms=lambda: context.now_ms,
        is_held=is_held,
        is_owned=lambda key: key <= context.last,
        link=link_load.LinkLoad(
            bytes_per_ms=1_250,
            min_bytes=8_000,
            find_queued_bytes=lambda: 0,
        ),
        count_servers=lambda: 1,
        broadcast=lambda message: None,
    )
    context.upstream.set_server("i-1", 18, born_ms=1)
    context.upstream.set_serving(True, cause="test")


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


@behave.when("a request for key {key:d} arrives")
def submit(context: runner.Context, key: int) -> None:
    context.loop.run_until_complete(_submit(context, 1, key))


@behave.when("{count:d} requests for key {key:d} arrive")
def submit_many(context: runner.Context, count: int, key: int) -> None:
    context.loop.run_until_complete(_submit(context, count, key))


@behave.when("the server is assigned keys 0-{last:d} only")
def change_range(context: runner.Context, last: int) -> None:
    context.last = last
    context.upstream.refuse_unowned()


@behave.when("the server leaves")
def begin_leaving(context: runner.Context) -> None:
    context.upstream.refuse_all(wire.Reason.LEAVING)


@behave.when("their deadline passes")
def expire(context: runner.Context) -> None:
    context.now_ms += _DEADLINE_MS
    context.lookup_count = 0
    context.upstream.start_waiting()


@behave.then("it waits")
def check_waiting(context: runner.Context) -> None:
    assert not context.outcomes
    assert context.upstream.wait_queue.waiting_count == 1


@behave.then("it is refused with {reason:w} as not run")
def check_refused(context: runner.Context, reason: str) -> None:
    _check(context, reason, 1)


@behave.then("{count:d} of them are refused with {reason:w} as not run")
def check_all_refused(context: runner.Context, count: int, reason: str) -> None:
    _check(context, reason, count)
    context.outcomes.clear()


@behave.when("the count of key lookups is reset")
def reset_lookups(context: runner.Context) -> None:
    context.lookup_count = 0


def _check(context: runner.Context, reason: str, count: int) -> None:
    found = [(o.verdict, o.reason) for o in context.outcomes]
    assert found == [(wire.Verdict.NOT_RUN, wire.Reason[reason])] * count, found


@behave.then("fewer than {count:d} key lookups were made")
def check_lookups(context: runner.Context, count: int) -> None:
    assert context.lookup_count < count, context.lookup_count
