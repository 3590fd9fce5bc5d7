"""Steps for the dispatch of callers' requests, without sockets."""

import asyncio
import random
from typing import Any

import behave
from behave import runner

from rhubarblead import routing_table
from rhubarblead.keyspace import assignment
from rhubarblead.platform import headers
from rhubarblead.requests import cluster_retry_budget
from rhubarblead.requests import nested_calls
from rhubarblead.requests import waiting
from rhubarblead.router import directory
from rhubarblead.router import dispatcher
from rhubarblead.router import http_server
from rhubarblead.router import peer_watch
from rhubarblead.router import wire
from tests import router_doubles

_HOST = b"one.example"
_OWN_IP = "127.0.0.8"
_BUSY_REQUEST_COUNT = 20
_WINDOW_MS = 10_000
_KINDS = {
    "repeatable": routing_table.RouteKind.REPEATABLE,
    "once": routing_table.RouteKind.ONCE,
}


class _Links:
    """Links that record the messages to other nodes."""

    def __init__(self) -> None:
        self.sent: list[wire.Message] = []
        self.targets: list[str] = []

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Records a message."""
        self.sent.append(message)
        self.targets.append(node_id)
        return True

    def list_work(self) -> list[wire.Work]:
        """Returns the requests that were sent."""
        return [m for m in self.sent if isinstance(m, wire.Work)]


class _Connection:
    """A caller's connection that writes no responses."""

    def __init__(self, *, peer_ip: str) -> None:
        self.peer_ip = peer_ip

    def flush(self) -> None:
        """Does nothing."""


class _Crashes:
    """A detector that blocks the requests for some targets."""

    def __init__(self) -> None:
        self.blocked_targets: set[bytes] = set()

    def is_blocked(self, work: wire.Work) -> bool:
        """Returns whether the target is blocked."""
        return work.target in self.blocked_targets


class _Upstream:
    """A local server that gets no requests."""

    def __init__(self) -> None:
        self.left_ms = 0
        self.crashes = _Crashes()
        self.wait_queue = waiting.WaitQueue(slot_count=1)
        self.nested_calls = nested_calls.NestedCalls()

    def find_left_ms(self) -> int:
        """Returns what the test has set."""
        return self.left_ms


class _Config:
    """The configuration feed; `age_s` is the age of its confirmation."""

    def __init__(self) -> None:
        self.age_s = 0.0
        self.check_count = 0

    def find_age_s(self) -> float:
        """Returns what the test has set."""
        return self.age_s

    def check(self) -> None:
        """Counts the checks."""
        self.check_count += 1


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


def _make_table(*, also: str = "") -> routing_table.RoutingTable:
    added = [_make_route(also, _KINDS["repeatable"], ("keyed", 1.0))]
    return routing_table.RoutingTable(
        version=1,
        routes=(
            _make_route("repeatable", _KINDS["repeatable"], ("keyed", 1.0)),
            _make_route("once", _KINDS["once"], ("keyed", 1.0)),
            _make_route(
                "split", _KINDS["repeatable"], ("p1", 90.0), ("p2", 10.0)
            ),
            *(added if also else ()),
        ),
        services=tuple(
            routing_table.Service(name=name, is_keyed=name == "keyed")
            for name in ("keyed", "p1", "p2")
        ),
        limits=routing_table.ClientLimits(),
    )


@behave.given("a dispatcher without a configuration")
def open_dispatcher(context: runner.Context) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.links = _Links()
    context.now_ms = 0
    cluster_directory = directory.Directory(
        own_state=router_doubles.make_state("n1", "other")
    )
    for number, service in enumerate(("keyed", "p1", "p2"), start=2):
        cluster_directory.update_state(
            router_doubles.make_state(f"n{number}", service), 0
        )
    all_keys = assignment.Transfer(first=0, last=65_535, owner="n2/1")
    cluster_directory.set_assignment(
        "keyed", assignment.make_empty().apply([all_keys]), 1
    )
    context.directory = cluster_directory
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    links: Any = context.links
    local_upstream: Any = _Upstream()
    context.local_upstream = local_upstream
    config: Any = _Config()
    context.config_feed = config
    silent_event_log: Any = router_doubles.SilentEventLog()
    context.watch = peer_watch.PeerWatch(
        links=links,
        events=silent_event_log,
        now_ms=lambda: context.now_ms,
        on_silent=lambda node_id: context.dispatcher.handle_silent(node_id),
    )
    context.add_cleanup(context.watch.close)
    context.retry_budget = cluster_retry_budget.ClusterRetryBudget(
        ratio=0.2,
        window_ms=_WINDOW_MS,
        extra_count=62,
        started_at_ms=-_WINDOW_MS,
    )
    context.dispatcher = dispatcher.RequestDispatcher(
        cluster_directory=context.directory,
        links=links,
        local_upstream=local_upstream,
        watch=context.watch,
        retry_budget=context.retry_budget,
        count_members=lambda: 4,
        config=config,
        events=silent_event_log,
        now_ms=lambda: context.now_ms,
        own_ip=_OWN_IP,
        random_source=random.Random(1),
    )


@behave.given("a dispatcher whose keys are owned by node n2")
@behave.given("a dispatcher with a route that is split 90 to 10")
def open_configured(context: runner.Context) -> None:
    open_dispatcher(context)
    context.directory.table = _make_table()


async def _receive(
    context: runner.Context,
    target: str,
    *omitted: bytes,
    deadline_ms: int = 30_000,
    peer_ip: str = "127.0.0.9",
    body: bytes = b"",
) -> http_server.Exchange:
    fields = [
        (b"host", _HOST),
        (headers.REQUEST_ID, b"r1"),
        (headers.DEADLINE, b"%d" % deadline_ms),
        (headers.KEY, b"7"),
    ]
    connection: Any = _Connection(peer_ip=peer_ip)
    exchange = http_server.Exchange(
        connection=connection,
        method=b"GET",
        target=target.encode(),
        fields=[field for field in fields if field[0] not in omitted],
        received_at_s=context.loop.time(),
    )
    exchange.body = body
    context.dispatcher.handle(exchange)
    return exchange


def _make_outcome(outcome: str, number: int) -> wire.Outcome:
    verdict, reason, has_arrived = {
        "ran": (wire.Verdict.RAN, wire.Reason.NONE, True),
        "shed": (wire.Verdict.NOT_RUN, wire.Reason.SHED, True),
        "full": (wire.Verdict.NOT_RUN, wire.Reason.OVERLOADED, False),
        "gone": (wire.Verdict.NOT_RUN, wire.Reason.SERVER_GONE, False),
        "busy": (wire.Verdict.NOT_RUN, wire.Reason.BUSY, False),
        "unknown": (wire.Verdict.MAY_HAVE_RUN, wire.Reason.BROKEN, True),
        "late": (wire.Verdict.MAY_HAVE_RUN, wire.Reason.TOO_LATE, True),
    }[outcome]
    return wire.Outcome(
        number=number,
        verdict=verdict,
        reason=reason,
        has_arrived=has_arrived,
        status=200 if outcome == "ran" else 0,
    )


async def _send_request(
    context: runner.Context, kind: str, outcomes: list[str]
) -> None:
    context.exchange = await _receive(context, f"/{kind}/x")
    for outcome in outcomes:
        work = context.links.list_work()[-1]
        context.dispatcher.handle_outcome(
            "n2", _make_outcome(outcome, work.number)
        )
        # A refused request is sent again after a delay.
        await asyncio.sleep(dispatcher.SHED_RETRY_DELAY_S * 2)


@behave.when('a {kind:w} request arrives and its sends end with "{outcomes}"')
def send_request(context: runner.Context, kind: str, outcomes: str) -> None:
    context.loop.run_until_complete(
        _send_request(context, kind, outcomes.split())
    )


@behave.when(
    "a {kind:w} request arrives, is refused by its server, and the process ends"
)
def send_before_end(context: runner.Context, kind: str) -> None:
    async def send() -> None:
        context.exchange = await _receive(context, f"/{kind}/x")
        work = context.links.list_work()[-1]
        context.dispatcher.handle_outcome(
            "n2", _make_outcome("shed", work.number)
        )
        assert context.dispatcher.count_pending() == 1
        context.dispatcher.expire_all()
        await asyncio.sleep(dispatcher.SHED_RETRY_DELAY_S * 2)

    context.loop.run_until_complete(send())


@behave.when('a {kind:w} request arrives and its sends end with ""')
def send_unanswered(context: runner.Context, kind: str) -> None:
    context.loop.run_until_complete(_send_request(context, kind, []))


@behave.given("the store has confirmed the configuration {age_s:g} s ago")
def set_config_age(context: runner.Context, age_s: float) -> None:
    context.config_feed.age_s = age_s


@behave.when("a check of the configuration {result}")
def end_check(context: runner.Context, result: str) -> None:
    async def handle() -> None:
        context.dispatcher.handle_config_checked()

    match result:
        case "finds the route":
            context.directory.table = _make_table(also="added")
            context.config_feed.age_s = 0.0
        case "finds no change":
            context.config_feed.age_s = 0.0
    context.loop.run_until_complete(handle())


@behave.when("{passed_s:g} s pass without an answer of the store")
def pass_time(context: runner.Context, passed_s: float) -> None:
    context.loop.run_until_complete(asyncio.sleep(passed_s))


@behave.then("the request waits, and the configuration is checked")
def check_waits(context: runner.Context) -> None:
    assert context.exchange.response is None
    assert context.config_feed.check_count == 1


@behave.when("a request arrives that {fault}")
def send_faulty(context: runner.Context, fault: str) -> None:
    target, omitted = {
        "has no id": ("/once/x", headers.REQUEST_ID),
        "has no key": ("/once/x", headers.KEY),
        "has no route": ("/nowhere/x", b""),
        "has a route added later": ("/added/x", b""),
    }[fault]
    context.exchange = context.loop.run_until_complete(
        _receive(context, target, omitted)
    )


@behave.when(
    "{count:d} requests with a deadline of {deadline:d} ms arrive from the"
    " instance's own address"
)
def send_many(context: runner.Context, count: int, deadline: int) -> None:
    for _ in range(count):
        context.loop.run_until_complete(
            _receive(
                context,
                "/repeatable/x",
                deadline_ms=deadline,
                peer_ip=_OWN_IP,
            )
        )


@behave.then("{count:g} retries are allowed to their service")
def check_budget(context: runner.Context, count: float) -> None:
    use = context.dispatcher.find_retry_use().get("keyed")
    if use is None:
        use = context.retry_budget.find_use("keyed", context.now_ms, 4)
    assert round(use.left_count, 3) == count, use


@behave.given('runs at n2 make {count:g} calls to "{service}" each')
def set_calls(context: runner.Context, count: float, service: str) -> None:
    state = context.directory.find_state("n2")
    state.load.nested_calls = {service: count}


@behave.when("{passed:d} ms later a request for {target:S} arrives")
def send_later(context: runner.Context, passed: int, target: str) -> None:
    context.now_ms += passed
    context.loop.run_until_complete(_receive(context, target))


@behave.then("it is sent as {kind}, with {left:d} ms to its target")
def check_return(context: runner.Context, kind: str, left: int) -> None:
    work = context.links.list_work()[-1]
    assert work.is_return == (kind == "a return"), work
    assert work.target_ms == left, work


async def _pass_time(context: runner.Context, passed: int) -> None:
    for _ in range(passed // peer_watch.CHECK_INTERVAL_MS):
        context.now_ms += peer_watch.CHECK_INTERVAL_MS
        await asyncio.sleep(1.1 * peer_watch.CHECK_INTERVAL_MS / 1_000)


@behave.when("{passed:d} ms pass without a reply")
def pass_time(context: runner.Context, passed: int) -> None:
    context.loop.run_until_complete(_pass_time(context, passed))


@behave.when("another {kind:w} request arrives")
def send_another(context: runner.Context, kind: str) -> None:
    context.exchange = context.loop.run_until_complete(
        _receive(context, f"/{kind}/y")
    )


@behave.when("{node:w} replies to its probe")
def reply_to_probe(context: runner.Context, node: str) -> None:
    assert wire.Probe() in context.links.sent
    assert context.watch.record_reply(node, wire.ProbeReply())
    context.dispatcher.retry_parked(node)


@behave.when("the link to {node:w} is lost")
def lose_link(context: runner.Context, node: str) -> None:
    context.dispatcher.handle_link_lost(node)


@behave.when("its caller disconnects")
def disconnect(context: runner.Context) -> None:
    context.exchange.on_disconnect()


@behave.when("the process ends")
def end_process(context: runner.Context) -> None:
    context.dispatcher.expire_all()


@behave.given("{count:d} nodes beside servers of its first service")
def add_nodes(context: runner.Context, count: int) -> None:
    for number in range(count - 1):
        context.directory.update_state(
            router_doubles.make_state(f"n1{number}", "p1"), 0
        )


async def _refuse_all(context: runner.Context) -> None:
    context.exchange = await _receive(context, "/split/x")
    refused = 0
    while refused < len(context.links.list_work()):
        refused = len(context.links.list_work())
        work = context.links.list_work()[-1]
        context.dispatcher.handle_outcome(
            context.links.targets[-1], _make_outcome("full", work.number)
        )


@behave.when("a request for it arrives, and the queues of all nodes refuse it")
def refuse_everywhere(context: runner.Context) -> None:
    context.loop.run_until_complete(_refuse_all(context))


@behave.then("it was sent {count:d} times, each time to another node")
def check_targets(context: runner.Context, count: int) -> None:
    assert len(context.links.targets) == count, context.links.targets
    assert len(set(context.links.targets)) == count, context.links.targets


@behave.when("{count:d} requests arrive on that route")
def send_split(context: runner.Context, count: int) -> None:
    for _ in range(count):
        context.loop.run_until_complete(_receive(context, "/split/x"))


@behave.then("{count:d} of them were sent to the first service")
def check_split(context: runner.Context, count: int) -> None:
    first = [w for w in context.links.list_work() if w.service == "p1"]
    assert len(first) == count, len(first)


@behave.then("it was sent {count:d} times")
def check_sent(context: runner.Context, count: int) -> None:
    assert len(context.links.list_work()) == count


@behave.then("the caller has no response yet")
def check_unanswered(context: runner.Context) -> None:
    assert context.exchange.response is None, context.exchange.response


@behave.then("the caller receives the status {status:d}")
def check_status(context: runner.Context, status: int) -> None:
    response = context.exchange.response
    assert response is not None
    assert response.status == status, response


@behave.then("node {node:w} receives a request to cancel it")
def check_cancelled(context: runner.Context, node: str) -> None:
    del node
    work = context.links.list_work()[-1]
    assert context.links.sent[-1] == wire.Cancel(
        origin="i", number=work.number, request_id="r1"
    )


@behave.given("requests for {target} are known to crash servers")
def block_target(context: runner.Context, target: str) -> None:
    context.local_upstream.crashes.blocked_targets.add(target.encode())


@behave.given("a local server whose longest run has {left:d} ms left")
def set_left(context: runner.Context, left: int) -> None:
    context.local_upstream.left_ms = left


@behave.when(
    "a request with a deadline of {deadline:d} ms arrives from the instance's"
    " own address"
)
def send_locally(context: runner.Context, deadline: int) -> None:
    context.loop.run_until_complete(
        _receive(
            context, "/repeatable/x", deadline_ms=deadline, peer_ip=_OWN_IP
        )
    )


@behave.then("it is sent as {kind}")
def check_kind(context: runner.Context, kind: str) -> None:
    assert context.links.list_work()[-1].is_call == (kind == "a call")


@behave.given("{count:d} nodes beside servers that all are busy")
def make_busy(context: runner.Context, count: int) -> None:
    add_nodes(context, count)
    for node_id in ("n3", *(f"n1{number}" for number in range(count - 1))):
        context.directory.find_state(node_id).requests_bodies = True
    for _ in range(_BUSY_REQUEST_COUNT):
        context.loop.run_until_complete(_receive(context, "/split/x"))
        while _answer_last(context, "busy"):
            pass
        _answer_last(context, "ran")
    context.links.sent.clear()
    context.links.targets.clear()


def _answer_last(context: runner.Context, outcome: str) -> bool:
    """Answers the last send; returns whether the request may be refused."""
    work = context.links.list_work()[-1]
    if outcome == "busy" and work.may_wait:
        return False
    answer = _make_outcome(outcome, work.number)
    answer.wait_ms = 100
    context.dispatcher.handle_outcome(context.links.targets[-1], answer)
    return True


@behave.when("a request with a body of {size:d} bytes arrives for them")
def send_with_body(context: runner.Context, size: int) -> None:
    context.exchange = context.loop.run_until_complete(
        _receive(context, "/split/x", body=b"b" * size)
    )


@behave.when("the node that got it requests its body")
def request_body(context: runner.Context) -> None:
    work = context.links.list_work()[-1]
    context.dispatcher.send_body(context.links.targets[-1], work.number)


@behave.when("the node that got it {fate}")
def lose_node(context: runner.Context, fate: str) -> None:
    node_id = context.links.targets[-1]
    context.lost = node_id, context.links.list_work()[-1].number
    if fate == "falls silent":
        context.dispatcher.handle_silent(node_id)
    else:
        assert fate == "is lost", fate
        context.dispatcher.handle_link_lost(node_id)


@behave.when("that node requests its body late")
def request_body_late(context: runner.Context) -> None:
    context.dispatcher.send_body(*context.lost)


@behave.then("it was sent {with_body:w} its body")
def check_withheld(context: runner.Context, with_body: str) -> None:
    work = context.links.list_work()[-1]
    assert bool(work.body) == (with_body == "with"), work
    assert bool(work.withheld_bytes) == (with_body == "without"), work


@behave.then("{count:d} bodies were sent")
def check_bodies(context: runner.Context, count: int) -> None:
    sent = [m for m in context.links.sent if isinstance(m, wire.Body)]
    assert len(sent) == count, sent
    assert all(m.body == context.exchange.body for m in sent)


@behave.then("it was offered to {count:d} nodes before it waited at one")
def check_offers(context: runner.Context, count: int) -> None:
    while _answer_last(context, "busy"):
        pass
    assert len(context.links.targets) == count + 1, context.links.targets
