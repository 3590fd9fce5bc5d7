"""Steps for the requests of callers, without sockets."""

import asyncio
import random
from typing import Any

import behave
from behave import runner

from rhubarblead import routing_table
from rhubarblead.keyspace import assignment
from rhubarblead.platform import heads
from rhubarblead.requests import allowance
from rhubarblead.requests import waiting
from rhubarblead.router import directory
from rhubarblead.router import entry
from rhubarblead.router import http_server
from rhubarblead.router import wire

_HOST = b"one.example"
_KINDS = {
    "repeatable": routing_table.RouteKind.REPEATABLE,
    "once": routing_table.RouteKind.ONCE,
}


class _Silent:
    """Takes events and forgets them."""

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Takes one event."""


class _Links:
    """Keeps what is sent to other nodes."""

    def __init__(self) -> None:
        self.sent: list[wire.Message] = []

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Keeps a message."""
        del node_id
        self.sent.append(message)
        return True

    def list_work(self) -> list[wire.Work]:
        """Lists the requests that were sent."""
        return [m for m in self.sent if isinstance(m, wire.Work)]


class _Connection:
    """A caller's connection that keeps what is answered."""

    peer_ip = "127.0.0.9"

    def flush(self) -> None:
        """Takes note of nothing."""


class _Upstream:
    """A server beside the entry's node that is never used."""

    def __init__(self) -> None:
        self.room = waiting.WaitingRoom(slot_count=1)


def _make_state(node_id: str, service: str) -> wire.State:
    return wire.State(
        node_id=node_id,
        incarnation="i",
        address="127.0.0.1:1",
        failure_domain="d",
        service=service,
        born_ms=1,
        is_serving=True,
        is_stopping=False,
        slot_count=9,
        assignments={},
        load=wire.ServerLoad(),
    )


def _make_route(
    name: str, kind: routing_table.RouteKind, *shares: tuple[str, float]
) -> routing_table.Route:
    return routing_table.Route(
        name=name,
        host=_HOST.decode(),
        prefix=f"/{name}/",
        kind=kind,
        timeout_ms=60_000,
        target_ms=600,
        priority=1,
        max_attempts=2,
        shares=tuple(
            routing_table.TrafficShare(service=service, weight=weight)
            for service, weight in shares
        ),
    )


def _make_table() -> routing_table.RoutingTable:
    return routing_table.RoutingTable(
        version=1,
        routes=(
            _make_route("repeatable", _KINDS["repeatable"], ("keyed", 1.0)),
            _make_route("once", _KINDS["once"], ("keyed", 1.0)),
            _make_route(
                "split", _KINDS["repeatable"], ("p1", 90.0), ("p2", 10.0)
            ),
        ),
        services=tuple(
            routing_table.Service(name=name, is_keyed=name == "keyed")
            for name in ("keyed", "p1", "p2")
        ),
        limits=routing_table.ClientLimits(),
    )


@behave.given("an entry without a configuration")
def make(context: runner.Context) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.links = _Links()
    known = directory.Directory(own_state=_make_state("n1", "other"))
    for number, service in enumerate(("keyed", "p1", "p2"), start=2):
        known.take_state(_make_state(f"n{number}", service), 0)
    whole = assignment.Gift(first=0, last=65_535, owner="n2/1")
    known.set_assignment("keyed", assignment.make_empty().give([whole]), 1)
    context.known = known
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    links: Any = context.links
    local: Any = _Upstream()
    silent: Any = _Silent()
    context.entry = entry.Entry(
        known=context.known,
        links=links,
        local=local,
        retries=allowance.RetryAllowance(
            ratio=0.2, window_ms=10_000, extra_count=62
        ),
        events=silent,
        now_ms=lambda: 0,
        own_ip="127.0.0.8",
        random_source=random.Random(1),
    )


@behave.given("an entry whose keys belong to node n2")
@behave.given("an entry with a route that is split 90 to 10")
def make_configured(context: runner.Context) -> None:
    make(context)
    context.known.table = _make_table()


async def _take(
    context: runner.Context, target: str, *left_out: bytes
) -> http_server.Exchange:
    fields = [
        (b"host", _HOST),
        (heads.REQUEST_ID, b"r1"),
        (heads.DEADLINE, b"30000"),
        (heads.KEY, b"7"),
    ]
    connection: Any = _Connection()
    exchange = http_server.Exchange(
        connection=connection,
        method=b"GET",
        target=target.encode(),
        fields=[field for field in fields if field[0] not in left_out],
        received_at_s=0.0,
    )
    context.entry.handle(exchange)
    return exchange


def _make_outcome(word: str, number: int) -> wire.Outcome:
    verdict, reason, has_arrived = {
        "ran": (wire.Verdict.RAN, wire.Reason.NONE, True),
        "shed": (wire.Verdict.NOT_RUN, wire.Reason.SHED, True),
        "full": (wire.Verdict.NOT_RUN, wire.Reason.OVERLOADED, False),
        "gone": (wire.Verdict.NOT_RUN, wire.Reason.SERVER_GONE, False),
        "doubt": (wire.Verdict.MAY_HAVE_RUN, wire.Reason.BROKEN, True),
        "late": (wire.Verdict.MAY_HAVE_RUN, wire.Reason.TOO_LATE, True),
    }[word]
    return wire.Outcome(
        number=number,
        verdict=verdict,
        reason=reason,
        has_arrived=has_arrived,
        status=200 if word == "ran" else 0,
    )


async def _play(context: runner.Context, kind: str, words: list[str]) -> None:
    context.exchange = await _take(context, f"/{kind}/x")
    for word in words:
        work = context.links.list_work()[-1]
        context.entry.take_outcome("n2", _make_outcome(word, work.number))
        # A request that was turned away goes again after a pause.
        await asyncio.sleep(entry.SHED_PAUSE_S * 2)


@behave.when('a {kind:w} request comes, and its sendings end with "{outcomes}"')
def play(context: runner.Context, kind: str, outcomes: str) -> None:
    context.loop.run_until_complete(_play(context, kind, outcomes.split()))


@behave.when('a {kind:w} request comes, and its sendings end with ""')
def play_nothing(context: runner.Context, kind: str) -> None:
    context.loop.run_until_complete(_play(context, kind, []))


@behave.when("a request comes that {fault}")
def play_fault(context: runner.Context, fault: str) -> None:
    target, left_out = {
        "has no id": ("/once/x", heads.REQUEST_ID),
        "has no key": ("/once/x", heads.KEY),
        "has no route": ("/nowhere/x", b""),
    }[fault]
    context.exchange = context.loop.run_until_complete(
        _take(context, target, left_out)
    )


@behave.when("the link to {node:w} is lost")
def lose(context: runner.Context, node: str) -> None:
    context.entry.lose_node(node)


@behave.when("its caller leaves")
def leave(context: runner.Context) -> None:
    context.exchange.on_gone()


@behave.when("the process ends")
def end(context: runner.Context) -> None:
    context.entry.end_all()


@behave.when("{count:d} requests come on that route")
def send_split(context: runner.Context, count: int) -> None:
    for _ in range(count):
        context.loop.run_until_complete(_take(context, "/split/x"))


@behave.then("{count:d} of them went to the first service")
def check_split(context: runner.Context, count: int) -> None:
    first = [w for w in context.links.list_work() if w.service == "p1"]
    assert len(first) == count, len(first)


@behave.then("it was sent {count:d} times")
def check_sent(context: runner.Context, count: int) -> None:
    assert len(context.links.list_work()) == count


@behave.then("the caller has the status {status:d}")
def check_status(context: runner.Context, status: int) -> None:
    answer = context.exchange.answer
    assert answer is not None
    assert answer.status == status, answer


@behave.then("the node {node:w} was told to drop it")
def check_dropped(context: runner.Context, node: str) -> None:
    del node
    work = context.links.list_work()[-1]
    assert context.links.sent[-1] == wire.Cancel(origin="i", number=work.number)
