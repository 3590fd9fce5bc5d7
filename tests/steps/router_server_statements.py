"""Steps for what a server states about itself in its responses."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import resource
import time
from typing import Any

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.platform import headers
from rhubarblead.platform import settings
from rhubarblead.requests import link_load
from rhubarblead.requests import rate_limit
from rhubarblead.router import server_statements
from rhubarblead.router import upstream
from rhubarblead.router import wire
from tests import router_doubles
from tests import stating_server
from tests.rhubarblead.router import simulated_cluster

_IP = "127.0.0.1"
_SLOTS = 18
_WINDOW_S = 4.0
_DEADLINE_MS = 4_000
_LEAVING_SERVER_COUNT = 2


def _read_now_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def _make_upstream(port: int) -> upstream.Upstream:
    event_log: Any = router_doubles.SilentEventLog()
    made = upstream.Upstream(
        address=settings.Address(ip=_IP, port=port),
        events=event_log,
        now_ms=_read_now_ms,
        is_held=lambda key: True,
        is_owned=lambda key: True,
        link=link_load.LinkLoad(
            bytes_per_ms=1_250, min_bytes=8_000, find_queued_bytes=lambda: 0
        ),
        count_servers=lambda: 1,
        broadcast=lambda message: None,
    )
    made.set_server("i-1", _SLOTS, born_ms=1)
    made.set_serving(True, cause="test")
    return made


def _make_work(number: int) -> wire.Work:
    return wire.Work(
        origin="o",
        number=number,
        target_incarnation="i",
        request_id=f"r{number}",
        service="s",
        route="r",
        priority=1,
        is_call=False,
        is_once=False,
        key=wire.NO_KEY,
        target_ms=600,
        deadline_ms=_DEADLINE_MS,
        may_wait=True,
        method=b"GET",
        target=b"/",
        head=b"x-rhubarblead-request-id: r%d\r\n" % number,
        body=b"",
    )


@contextlib.asynccontextmanager
async def _serving(
    server: stating_server.StatingServer,
) -> AsyncIterator[upstream.Upstream]:
    async with server.listen(_IP) as port:
        made = _make_upstream(port)
        try:
            yield made
        finally:
            made.close()


async def _drive(
    server: stating_server.StatingServer, rate: int, length_s: float
) -> set[bytes]:
    """Sends requests at random times.

    Returns:
        The ids of those that were submitted after the server had left.
    """
    random_source = random.Random(1)
    late_ids: set[bytes] = set()
    async with _serving(server) as made:

        def leave() -> None:
            made.refuse_all(wire.Reason.LEAVING)

        made.statements.on_leaving = leave
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        end_s = at_s + length_s
        number = 0
        while at_s < end_s:
            at_s += random_source.expovariate(rate)
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            number += 1
            if not made.is_serving:
                late_ids.add(b"r%d" % number)
            made.submit(_make_work(number), lambda outcome: None)
    return late_ids


@behave.given('servers that state limits of "{limits}" requests per second')
def state_limits(context: runner.Context, limits: str) -> None:
    context.limits = limits.split()
    context.servers = [
        stating_server.StatingServer(
            state=lambda number, limit=limit: (
                b"server-limit: %b\r\n" % limit.encode()
            )
        )
        for limit in context.limits
    ]


@behave.given("servers that state that they leave")
def state_leaving(context: runner.Context) -> None:
    context.servers = [
        stating_server.StatingServer(
            state=lambda number: b"server-leaving: 1\r\n"
        )
        for _ in range(_LEAVING_SERVER_COUNT)
    ]


@behave.when("each gets {rate:d} requests per second for {length:d} s")
def drive(context: runner.Context, rate: int, length: int) -> None:
    async def run() -> None:
        context.late_ids = await asyncio.gather(
            *(_drive(server, rate, length) for server in context.servers)
        )

    asyncio.run(run())


def _count_most(times_s: list[float]) -> int:
    """Counts the most times in any window."""
    return max(
        sum(start <= at < start + _WINDOW_S for at in times_s)
        for start in times_s
    )


@behave.then(
    "none gets more in 4 s than {factor:g} times its limit and {extra:d}"
)
def check_limits(context: runner.Context, factor: float, extra: int) -> None:
    found = []
    for limit, server in zip(context.limits, context.servers, strict=True):
        first_s = server.answered_at_s[0]
        told = [at for at in server.arrived_at_s if at > first_s + 0.5]
        allowed = factor * _WINDOW_S * float(limit) + extra
        found.append((limit, _count_most(told or [0.0]), allowed))
    assert all(count <= allowed for _, count, allowed in found), found


@behave.then("none gets a request that arrived after its first response")
def check_left(context: runner.Context) -> None:
    for server, late_ids in zip(context.servers, context.late_ids, strict=True):
        assert late_ids, "the server was never taken out"
        assert not late_ids & set(server.request_ids), late_ids


@behave.given("a server whose limit of {limit:g} is known")
def make_limited(context: runner.Context, limit: float) -> None:
    context.now_ms = 10_000
    context.events = simulated_cluster.RecordingEventLog()
    context.limit = rate_limit.RateLimit()
    event_log: Any = context.events
    context.statements = server_statements.ServerStatements(
        limit=context.limit, events=event_log, now_ms=lambda: context.now_ms
    )
    context.statements.set_server("i-1@2")
    context.limit.set(limit, context.now_ms)


@behave.when('a response {kind} states "{fields}"')
def receive_response(context: runner.Context, kind: str, fields: str) -> None:
    context.fields = [
        (name.encode(), value.encode())
        for name, value in (part.split(": ") for part in fields.split("; "))
    ]
    own = [(headers.REQUEST_ID, b"r1"), (headers.SIGNATURE, b"s")]
    match kind:
        case "without a seal":
            own.pop()
        case "without an id":
            own.pop(0)
    head = headers.read_response(own + context.fields)
    server = "i-1@1" if kind == "of an earlier process" else "i-1@2"
    for _ in range(9 if kind.endswith("times") else 1):
        context.statements.record_response(server, head)
        context.now_ms += 100


@behave.when("it starts again")
def start_again(context: runner.Context) -> None:
    context.statements.set_server("i-1@3")


@behave.then("the limit is {limit}")
def check_limit_value(context: runner.Context, limit: str) -> None:
    expected = None if limit == "none" else float(limit)
    found = context.limit.limit_per_s
    assert found == expected, found


@behave.then("the response goes to the caller with the same fields")
def check_forwarded(context: runner.Context) -> None:
    expected = b"".join(b"%b: %b\r\n" % field for field in context.fields)
    assert headers.encode_response(context.fields) == expected


@behave.then("{count:d} malformed limits are reported")
def check_reported(context: runner.Context, count: int) -> None:
    name = catalog.Event.SERVER_LIMIT_MALFORMED.name
    found = [event for event, _ in context.events.events if event == name]
    assert len(found) == count, found


@behave.given("a server that sends {kind} without end")
def state_endless(context: runner.Context, kind: str) -> None:
    context.kind = kind


@behave.when("it gets a request")
def send_to_endless(context: runner.Context) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await stating_server.send_endlessly(context.kind, writer)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, _IP, 0)
        made = _make_upstream(server.sockets[0].getsockname()[1])
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        ended = asyncio.Event()

        def finish(outcome: wire.Outcome) -> None:
            context.outcome = outcome
            context.taken_s = loop.time() - started_at_s
            ended.set()

        made.submit(_make_work(1), finish)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(8):
                await ended.wait()
        made.close()
        server.close()
        # The server notices the close and ends its task.
        await asyncio.sleep(0.1)

    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    context.outcome = None
    asyncio.run(run())
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    context.grown_kb = after_kb - before_kb


@behave.then("the request ends within {length:d} s as one that may have run")
def check_ended(context: runner.Context, length: int) -> None:
    assert context.outcome is not None
    assert context.outcome.verdict == wire.Verdict.MAY_HAVE_RUN
    assert context.taken_s < length, context.taken_s


@behave.then("the process has grown by less than {most:d} MB")
def check_grown(context: runner.Context, most: int) -> None:
    assert context.grown_kb < most * 1_024, context.grown_kb
