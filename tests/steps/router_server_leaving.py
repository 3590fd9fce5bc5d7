"""Steps for servers that leave, and for what other nodes know of them."""

import http
from typing import Any

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.keyspace import members
from rhubarblead.platform import headers
from rhubarblead.router import server_notices
from rhubarblead.router import store_access
from rhubarblead.router import wire
from tests import router_doubles
from tests.rhubarblead.router import leaving_search
from tests.rhubarblead.router import simulated_cluster
from tests.rhubarblead.router import simulated_node

_SETTLE_MS = 9_000
_REGISTER_MS = 2_000
_HEARTBEAT_MS = 870
_ACKNOWLEDGED_MS = 1_000


@behave.given("a node whose server has sent a heartbeat")
def make_known(context: runner.Context) -> None:
    make_unknown(context)
    context.node.send_heartbeat("ready")
    assert context.node.upstream.is_serving


@behave.given("a node whose server has sent no heartbeat")
def make_unknown(context: runner.Context) -> None:
    context.node = simulated_node.SimulatedNode()
    context.node.read_row()
    context.add_cleanup(context.node.cluster.close)


@behave.given("a registered node of a {kind:w} service, whose server {known}")
def make_registered(context: runner.Context, kind: str, known: str) -> None:
    _register(
        context,
        simulated_node.SimulatedNode(is_keyed=kind == "keyed"),
        is_known=known == "has sent a heartbeat",
    )


@behave.given(
    "a registered node of a keyed service in a store with restores, whose"
    " server has sent a heartbeat"
)
def make_registered_with_eras(context: runner.Context) -> None:
    _register(context, simulated_node.SimulatedNode(era=1), is_known=True)


def _register(
    context: runner.Context,
    node: simulated_node.SimulatedNode,
    *,
    is_known: bool,
) -> None:
    context.node = node
    cluster = node.cluster
    context.add_cleanup(cluster.close)
    # Its heartbeats are those that the test sends.
    cluster.nodes["n1"].server.is_up = False
    if is_known:
        node.send_heartbeat("ready")
    cluster.run(_REGISTER_MS)
    context.written = _find_written(cluster)


def _find_written(cluster: simulated_cluster.SimulatedCluster) -> int:
    """Returns the revision of the last write of the node's row."""
    key = store_access.make_member_key("n1")
    return cluster.rows[key][1]


@behave.when("{passed:d} ms pass")
def wait(context: runner.Context, passed: int) -> None:
    context.node.cluster.run(passed)


@behave.when("the node restarts, and {passed:d} ms pass")
def restart_node(context: runner.Context, passed: int) -> None:
    context.node.restart()
    context.node.cluster.run(passed)


@behave.when("the node begins to stop")
def begin_stop(context: runner.Context) -> None:
    context.node.begin_stop()


@behave.when("a copy of the store is made")
def copy_store(context: runner.Context) -> None:
    context.node.cluster.copy_store()


@behave.when("the store comes back from the copy")
def restore_store(context: runner.Context) -> None:
    context.node.cluster.restore_store()


@behave.when("the store answers again")
def regain_store(context: runner.Context) -> None:
    context.node.cluster.is_store_up = True


@behave.when("its server deregisters, and another one starts under {which} id")
def replace_server(context: runner.Context, which: str) -> None:
    deregister(context)
    context.node.cluster.run(_SETTLE_MS)
    start_again(context)
    context.node.server_id = (
        simulated_node.SERVER_ID if which == "the same" else "i-9"
    )


@behave.then("the server is not used for {most:d} ms")
def check_unused_for(context: runner.Context, most: int) -> None:
    for _ in range(most // simulated_cluster.TICK_MS):
        check_unused(context)
        context.node.cluster.run(simulated_cluster.TICK_MS)
    check_unused(context)


@behave.then("the node has written 1 row since its server was registered")
def check_written(context: runner.Context) -> None:
    cluster = context.node.cluster
    assert _find_written(cluster) == cluster.revision == context.written + 1


@behave.given("a node whose server has held keys, and restarts")
def restart_server(context: runner.Context) -> None:
    make_unknown(context)
    node = context.node
    node.cluster.run(_SETTLE_MS)
    node.cluster.nodes["n1"].server.is_up = False
    node.born_ms = node.wall_ms = node.cluster.now_ms
    node.cluster.run(500)


@behave.step("the store answers none of its calls")
def stop_store(context: runner.Context) -> None:
    context.node.cluster.is_store_up = False


@behave.when("the new process sends its first heartbeat")
def send_first(context: runner.Context) -> None:
    context.node.send_heartbeat("ready")
    context.sent_at_ms = context.node.cluster.now_ms


@behave.then("the reply comes within {most:d} ms and grants {what} keys")
def check_reply(context: runner.Context, most: int, what: str) -> None:
    node = context.node
    while node.exchange.reply is None:
        node.cluster.run(simulated_cluster.TICK_MS)
        assert node.cluster.now_ms - context.sent_at_ms <= most
    has_keys = bool(node.exchange.reply.get("holds"))
    assert has_keys == (what == "its"), node.exchange.reply


@behave.when("a heartbeat says that it drains")
def send_draining(context: runner.Context) -> None:
    context.node.send_heartbeat("draining")


@behave.when("a heartbeat says that it is ready")
def send_ready(context: runner.Context) -> None:
    context.node.send_heartbeat("ready")


@behave.when("{count:d} delayed heartbeats arrive {spacing:d} ms apart")
def send_delayed(context: runner.Context, count: int, spacing: int) -> None:
    node: simulated_node.SimulatedNode = context.node
    for number in range(count):
        if number:
            check_unused_for(context, spacing)
        node.send_delayed_heartbeat()


@behave.when("{count:d} delayed heartbeats arrive, and {passed:d} ms pass")
def send_delayed_and_wait(
    context: runner.Context, count: int, passed: int
) -> None:
    node: simulated_node.SimulatedNode = context.node
    for number in range(count):
        if number:
            node.cluster.run(_HEARTBEAT_MS)
        node.send_delayed_heartbeat()
    node.cluster.run(passed)


@behave.given("the health check of {which} server succeeds")
def make_healthy(context: runner.Context, which: str) -> None:
    node: simulated_node.SimulatedNode = context.node
    node.healthy_ids = {node.server_id if which == "the" else "i-9"}


@behave.when(
    "the node's server sends {count:d} more heartbeats, it is used all the"
    " while"
)
def send_more_in_use(context: runner.Context, count: int) -> None:
    for _ in range(count):
        send_more(context, 1)
        check_used(context)


@behave.given("the server follows no address that a reply names")
def ignore_replies(context: runner.Context) -> None:
    context.node.follows_replies = False


@behave.when(
    'a heartbeat without "{fields}" of a later process says that it drains'
)
def send_incomplete(context: runner.Context, fields: str) -> None:
    body = context.node.make_heartbeat("draining") | {
        "born": simulated_node.LATER_BORN_MS
    }
    for field in fields.split():
        del body[field]
    context.node.call("heartbeat", body)


@behave.then("the server is used, as the process that it was")
def check_same_process(context: runner.Context) -> None:
    check_used(context)
    assert context.node.ownership.server.born_ms == simulated_node.BORN_MS
    assert not context.node.ownership.server.is_leaving


@behave.then("the heartbeat was refused and logged")
def check_refusal(context: runner.Context) -> None:
    status = context.node.exchange.status
    assert status == http.HTTPStatus.BAD_REQUEST, status
    name = catalog.Event.HEARTBEAT_REFUSED.name
    assert name in [event for event, _ in context.node.events.events]


@behave.when("the deregistration of the earlier process arrives")
def deregister_earlier(context: runner.Context) -> None:
    context.node.call("deregister", {"born": simulated_node.BORN_MS})


@behave.when("it states in a response that it leaves")
def state_leaving(context: runner.Context) -> None:
    node: simulated_node.SimulatedNode = context.node
    node.upstream.statements.record_response(
        node.upstream.statements.server,
        headers.read_response(
            [
                (headers.REQUEST_ID, b"r1"),
                (headers.SIGNATURE, b"s"),
                (headers.LEAVING, b"1"),
            ]
        ),
    )


@behave.when("it deregisters")
def deregister(context: runner.Context) -> None:
    node = context.node
    node.call("deregister", {"born": node.born_ms}, server_id=node.server_id)


@behave.when("it deregisters without saying when it has started")
def deregister_unborn(context: runner.Context) -> None:
    context.node.call("deregister", None)


@behave.when("it starts again under the same id")
def start_again(context: runner.Context) -> None:
    node = context.node
    node.born_ms = simulated_node.LATER_BORN_MS
    node.wall_ms = max(node.wall_ms, node.born_ms)
    node.sequence = 0


@behave.when(
    "it starts again under the same id, and {passed:d} ms pass on its clock"
)
def start_again_and_wait(context: runner.Context, passed: int) -> None:
    start_again(context)
    context.node.wall_ms = context.node.born_ms + passed


@behave.when("its clock is set ahead")
def set_clock_ahead(context: runner.Context) -> None:
    context.node.wall_ms = 2 * simulated_node.LATER_BORN_MS


@behave.when('another node tells that the server "{server}" stated "{stated}"')
def tell(context: runner.Context, server: str, stated: str) -> None:
    is_leaving = stated == "leaving"
    context.node.upstream.statements.apply_notice(
        wire.ServerNotice(
            statement=wire.ServerStatement(
                server=server,
                limit_per_s=None if is_leaving else float(stated),
                is_leaving=is_leaving,
            )
        )
    )


@behave.then("the server is not used")
def check_unused(context: runner.Context) -> None:
    assert not context.node.upstream.is_serving


@behave.then("the server is not used, and its keys are released")
def check_released(context: runner.Context) -> None:
    check_unused(context)
    assert context.node.ownership.server.is_leaving


@behave.then("its leaving was logged once")
def check_logged(context: runner.Context) -> None:
    name = catalog.Event.SERVER_LEAVING.name
    found = [event for event, _ in context.node.events.events if event == name]
    assert len(found) == 1, found


@behave.then('its exit was logged once, with the source "{source}"')
def check_exit_logged(context: runner.Context, source: str) -> None:
    node: simulated_node.SimulatedNode = context.node
    name = catalog.Event.SERVER_EXIT_RECORDED.name
    own: Any = node.cluster.nodes["n1"].events
    found = [fields for event, fields in own.events if event == name]
    assert [item["source"] for item in found] == [source], found
    assert found[0]["server_id"] == simulated_node.SERVER_ID, found


@behave.then("the server is used")
def check_used(context: runner.Context) -> None:
    assert context.node.upstream.is_serving


@behave.then("the server is used without a limit")
def check_unlimited(context: runner.Context) -> None:
    check_used(context)
    assert context.node.upstream.wait_queue.rate_limit.limit_per_s is None


@behave.then("the server is used with a limit of {limit:g}")
def check_limited(context: runner.Context, limit: float) -> None:
    check_used(context)
    assert context.node.upstream.wait_queue.rate_limit.limit_per_s == limit


class _RecordingLinks:
    """Links that record what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, wire.Message]] = []

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Records a message."""
        self.sent.append((node_id, message))
        return True


@behave.given(
    "a node that has passed on a response in which the server of"
    ' "{node_id}" stated a limit of {limit:g}'
)
def make_notices(context: runner.Context, node_id: str, limit: float) -> None:
    context.links = _RecordingLinks()
    context.notices = server_notices.ServerNotices(links=context.links)
    context.notices.record_outcome(
        node_id,
        wire.Outcome(
            number=1,
            verdict=wire.Verdict.RAN,
            statement=wire.ServerStatement(server="i-2@1", limit_per_s=limit),
        ),
    )


_LEAVING = wire.ServerStatement(server="i-2@1", is_leaving=True)


@behave.given(
    'a node that has seen the state of "{node_id}", whose server leaves'
)
def make_told_notices(context: runner.Context, node_id: str) -> None:
    context.links = _RecordingLinks()
    context.notices = server_notices.ServerNotices(links=context.links)
    state = router_doubles.make_state(
        node_id, simulated_node.SERVICE, incarnation="a"
    )
    state.statement = _LEAVING
    context.notices.handle_state(state)


@behave.then('it is logged that the proof is "{proof}"')
def check_proof(context: runner.Context, proof: str) -> None:
    name = catalog.Event.SERVER_CONFIRMED.name
    own: Any = context.node.cluster.nodes["n1"].events
    found = [fields["proof"] for event, fields in own.events if event == name]
    assert found == [proof], found


@behave.then("the server sends its heartbeats to the usual address again")
def check_usual_address(context: runner.Context) -> None:
    node: simulated_node.SimulatedNode = context.node
    assert node.named_address == str(simulated_node.USUAL_ADDRESS)


@behave.then('it has told "n2" nothing')
def check_told_nothing(context: runner.Context) -> None:
    assert not context.links.sent, context.links.sent


@behave.then('it has told "{node_id}" that its server leaves')
def check_told_leaving(context: runner.Context, node_id: str) -> None:
    notice = wire.ServerNotice(statement=_LEAVING)
    assert context.links.sent == [(node_id, notice)], context.links.sent


@behave.when('it passes on a response of "{node_id}" without a statement')
def pass_on(context: runner.Context, node_id: str) -> None:
    context.notices.record_outcome(
        node_id, wire.Outcome(number=2, verdict=wire.Verdict.RAN)
    )


@behave.when('the state of process "{process}" of "{node_id}" arrives')
def receive_state(context: runner.Context, process: str, node_id: str) -> None:
    context.notices.handle_state(
        router_doubles.make_state(
            node_id, simulated_node.SERVICE, incarnation=process
        )
    )


@behave.then('it has told "{node_id}" {count:d} times of a limit of {limit:g}')
def check_told(
    context: runner.Context, node_id: str, count: int, limit: float
) -> None:
    notice = wire.ServerNotice(
        statement=wire.ServerStatement(server="i-2@1", limit_per_s=limit)
    )
    assert context.links.sent == [(node_id, notice)] * count, context.links.sent


# What another writer changes in a copy of the server's heartbeat.
_ODD: dict[str, dict[str, Any]] = {
    "a far later start": {"born": 10**12},
    "a start beyond all numbers": {"born": 2**63},
    "another address": {"address": "127.0.0.2:9"},
    "a port out of range": {"address": "127.0.0.1:99999"},
    "another zone": {"information": {"zone": "d9"}},
    "too many slots": {"information": {"slots": 10**9}},
    "a sequence beyond all numbers": {"status": {"sequence": 2**60}},
    "a cold time of a year": {"status": {"coldRemainingMs": 3.2e10}},
    "a token without end": {"freed": [[0, 9, "x" * 5_000]]},
    # These can't be told from the server's own.
    "a later start": {"born": simulated_node.LATER_BORN_MS},
    "a far higher sequence": {"status": {"sequence": 10**9}},
    "another id, and the same start": {"id": "i-2"},
    "another id, and a later start": {
        "id": "i-2",
        "born": simulated_node.LATER_BORN_MS,
    },
}


@behave.when("a heartbeat of another writer, with {what}, says that it {state}")
def send_odd(context: runner.Context, what: str, state: str) -> None:
    node: simulated_node.SimulatedNode = context.node
    node.sequence += 1
    body = node.make_heartbeat("draining" if state == "drains" else "ready")
    changes = dict(_ODD[what])
    server_id = changes.pop("id", simulated_node.SERVER_ID)
    for name, value in changes.items():
        if isinstance(value, dict):
            body[name].update(value)
        else:
            body[name] = value
    node.call("heartbeat", body, server_id=server_id)


@behave.when("the node's server sends {count:d} more heartbeats")
def send_more(context: runner.Context, count: int) -> None:
    # Its heartbeats are those that the test sends.
    context.node.cluster.nodes["n1"].server.is_up = False
    for _ in range(count):
        context.node.cluster.run(_HEARTBEAT_MS)
        context.node.send_heartbeat("ready")


@behave.then("the call was acknowledged, and the server is not used")
def check_bound(context: runner.Context) -> None:
    check_binding(context, _ACKNOWLEDGED_MS)


def _wait_for_acknowledgement(
    node: simulated_node.SimulatedNode, most_ms: int
) -> None:
    status = _wait_for_reply(node, most_ms)
    assert status == http.HTTPStatus.OK, status


def _wait_for_reply(node: simulated_node.SimulatedNode, most_ms: int) -> int:
    ends_ms = node.cluster.now_ms + most_ms
    while not node.exchange.status and node.cluster.now_ms < ends_ms:
        node.cluster.run(simulated_cluster.TICK_MS)
    return node.exchange.status


@behave.then(
    "the call is refused within {most:d} ms, and the server is not used"
)
def check_refused(context: runner.Context, most: int) -> None:
    check_unused(context)
    status = _wait_for_reply(context.node, most)
    assert status == http.HTTPStatus.SERVICE_UNAVAILABLE, status
    check_unused(context)


@behave.then("the call is acknowledged within {most:d} ms")
def check_acknowledged(context: runner.Context, most: int) -> None:
    _wait_for_acknowledgement(context.node, most)


@behave.then("the exit is binding within {most:d} ms")
def check_binding(context: runner.Context, most: int) -> None:
    # A statement in a response binds without an acknowledgement.
    _wait_for_acknowledgement(context.node, most)
    check_unused(context)


@behave.then(
    "the call is acknowledged within {most:d} ms, and the exit is stored"
)
def check_stored(context: runner.Context, most: int) -> None:
    assert not context.node.exchange.status
    _wait_for_acknowledgement(context.node, most)
    content, _ = context.node.cluster.rows[store_access.make_member_key("n1")]
    departure = members.decode(content).departure
    assert departure is not None
    assert departure.server_id == simulated_node.SERVER_ID


@behave.then(
    "the call is acknowledged within {most:d} ms, and it is logged that the"
    " exit is not stored"
)
def check_not_stored(context: runner.Context, most: int) -> None:
    _wait_for_acknowledgement(context.node, most)
    name = catalog.Event.SERVER_EXIT_NOT_STORED.name
    assert name in [event for event, _ in context.node.events.events]


@behave.then("the call was not acknowledged")
def check_unacknowledged(context: runner.Context) -> None:
    status = context.node.exchange.status
    assert status == http.HTTPStatus.CONFLICT, status


@behave.then("the server is used again, as the process that it was")
def check_resumed(context: runner.Context) -> None:
    check_same_process(context)
    assert context.node.upstream.server_id == simulated_node.SERVER_ID


@behave.then("its keys are released to nobody for {least:d} ms")
def check_kept(context: runner.Context, least: int) -> None:
    node: simulated_node.SimulatedNode = context.node
    own = node.cluster.nodes["n1"].ownership
    before = own.list_spans()
    assert before
    ends_ms = node.cluster.now_ms + least
    while node.cluster.now_ms < ends_ms:
        node.cluster.run(simulated_cluster.TICK_MS)
        assert own.list_spans() == before, node.cluster.now_ms


@behave.when("{count:d} sequences of calls of servers are searched, {ids}")
def search(context: runner.Context, count: int, ids: str) -> None:
    try:
        leaving_search.search(count, reuses_ids=ids == "all under one id")
        context.found = None
    except (leaving_search.UsedAfterExit, leaving_search.NotUsed) as error:
        context.found = error


@behave.then("each acknowledged exit held, and a server that lived was used")
def check_search(context: runner.Context) -> None:
    assert context.found is None, repr(context.found)


@behave.when("another server starts in its place")
def start_next(context: runner.Context) -> None:
    start_again(context)
    context.node.server_id = "i-9"


@behave.then(
    "the call is acknowledged within {most:d} ms, and the exits of both are"
    " stored"
)
def check_both_stored(context: runner.Context, most: int) -> None:
    _wait_for_acknowledgement(context.node, most)
    content, _ = context.node.cluster.rows[store_access.make_member_key("n1")]
    found = {item.server_id for item in members.decode(content).departures}
    assert found == {simulated_node.SERVER_ID, "i-9"}, found


@behave.when(
    "another server starts in its place, with its clock {ahead:d} ms ahead"
)
def start_ahead(context: runner.Context, ahead: int) -> None:
    node: simulated_node.SimulatedNode = context.node
    start_next(context)
    node.born_ms = node.wall_ms + ahead


@behave.when(
    "it starts again under the same id, with its clock {back:d} ms back"
)
def start_behind(context: runner.Context, back: int) -> None:
    context.node.born_ms -= back
    context.node.sequence = 0


@behave.when("{passed:d} ms pass on its clock")
def pass_on_clock(context: runner.Context, passed: int) -> None:
    context.node.wall_ms += passed
