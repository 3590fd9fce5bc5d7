"""Steps for key ownership in a simulated cluster."""

import random

import behave
from behave import runner
import msgspec

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import members
from rhubarblead.router import store_access
from rhubarblead.router import wire
from tests.rhubarblead.router import simulated_cluster

_SETTLE_MS = 9_000
_RECOVERY_MS = 24_000
_DRAIN_PROBABILITY = 0.4
_DRAIN_LEAD_MS = 900


@behave.given("a simulated cluster of {count:d} nodes")
def make(context: runner.Context, count: int) -> None:
    context.cluster = simulated_cluster.SimulatedCluster(
        node_count=count, seed=1
    )
    context.add_cleanup(context.cluster.close)


@behave.given("a settled simulated cluster of {count:d} nodes")
def make_settled(context: runner.Context, count: int) -> None:
    make(context, count)
    context.cluster.run(_SETTLE_MS)
    assert context.cluster.count_held() == simulated_cluster.KEY_COUNT


@behave.given("a settled simulated cluster of {count:d} nodes in era {era:d}")
def make_cluster_in_era(context: runner.Context, count: int, era: int) -> None:
    context.cluster = simulated_cluster.SimulatedCluster(
        node_count=count, seed=1, era=era
    )
    context.add_cleanup(context.cluster.close)
    context.cluster.run(_SETTLE_MS)


@behave.when("the store takes {time:d} ms for each transaction")
def slow_store(context: runner.Context, time: int) -> None:
    context.cluster.transaction_ms = time


@behave.when("a copy of the store is taken")
def copy_store(context: runner.Context) -> None:
    context.cluster.copy_store()


@behave.when("the store is away for {away:d} ms and comes back from the copy")
def restore_store(context: runner.Context, away: int) -> None:
    context.cluster.is_store_up = False
    context.cluster.run(away)
    context.cluster.restore_store()
    context.cluster.is_store_up = True


@behave.when("{passed:d} ms pass in the simulation")
def run(context: runner.Context, passed: int) -> None:
    context.cluster.run(passed)


@behave.when("{failure} occurs in the simulation")
def cause_failure(context: runner.Context, failure: str) -> None:
    _cause_failure(context.cluster, failure)


def _cause_failure(
    cluster: simulated_cluster.SimulatedCluster, failure: str
) -> None:
    node = cluster.nodes["n1"]
    match failure:
        case "loss of an instance":
            _stop_instance(node)
        case "loss of two instances":
            _stop_instance(node)
            _stop_instance(cluster.nodes["n4"])
        case "loss of a server":
            node.server.is_up = False
        case "restart of a server":
            node.server.is_up = False
            cluster.run(1_000)
            node.server.start()
        case "restart of a node":
            _restart(node)
        case "a planned restart":
            _restart_as_planned(node)
        case "loss of a server, then node restart":
            node.server.is_up = False
            _restart(node)
        case "drain of a server":
            node.server.is_draining = True
        case _:
            assert failure == "restart of all instances"
            _restart_all(cluster)


def _restart(node: simulated_cluster.Node) -> None:
    node.stop()
    node.cluster.run(800)
    node.start()


def _restart_as_planned(node: simulated_cluster.Node) -> None:
    node.ownership.is_stopping = True
    node.promise_exchange.holder.request_release()
    node.promise_exchange._send_leave()
    node.cluster.run(3_000)
    _restart(node)


def _restart_all(cluster: simulated_cluster.SimulatedCluster) -> None:
    for node in cluster.nodes.values():
        _stop_instance(node)
    cluster.run(1_000)
    for node in cluster.nodes.values():
        node.server.start()
        node.start()


def _stop_instance(node: simulated_cluster.Node) -> None:
    node.stop()
    node.server.is_up = False


@behave.when('the failure domains "{names}" are evacuated')
def evacuate(context: runner.Context, names: str) -> None:
    context.cluster.evacuate(*names.split())


@behave.when("no failure domain is evacuated any more")
def end_evacuation(context: runner.Context) -> None:
    context.cluster.evacuate()


@behave.then('servers of the failure domains "{names}" hold {share} keys')
def check_domain_holdings(
    context: runner.Context, names: str, share: str
) -> None:
    counts = {
        node.node_id: sum(
            held.last - held.first + 1 for held in node.server.list_held()
        )
        for node in context.cluster.nodes.values()
        if node.domain in names.split() and node.server.is_up
    }
    has_keys = [count > 0 for count in counts.values()]
    assert all(has_keys) if share == "some" else not any(has_keys), counts


@behave.then("some keys are unheld for at most {most:d} ms of {length:d} ms")
def check_unheld(context: runner.Context, most: int, length: int) -> None:
    unheld_ms = 0
    for _ in range(length // simulated_cluster.TICK_MS):
        context.cluster.run(simulated_cluster.TICK_MS)
        is_held = context.cluster.count_held() == simulated_cluster.KEY_COUNT
        unheld_ms = 0 if is_held else unheld_ms + simulated_cluster.TICK_MS
        assert unheld_ms <= most, unheld_ms


@behave.when("the store is down in the simulation")
def stop_store(context: runner.Context) -> None:
    context.cluster.is_store_up = False


@behave.when("node {name:w} loses its connection to the store")
def cut_store(context: runner.Context, name: str) -> None:
    context.cluster.nodes[name].has_store = False


@behave.when("node {name:w} reaches the store through other nodes only")
def cut_store_but_relay(context: runner.Context, name: str) -> None:
    cut_store(context, name)
    context.cluster.nodes[name].has_relay = True


@behave.when("the server of {name:w} is overloaded")
def overload_server(context: runner.Context, name: str) -> None:
    node = context.cluster.nodes[name]
    spans = node.ownership.list_spans()
    node.rates = {first: 20 / len(spans) for first, _ in spans}
    context.spans_before = spans


@behave.then("{name:w} has given keys away")
def check_given(context: runner.Context, name: str) -> None:
    spans = context.cluster.nodes[name].ownership.list_spans()
    assert len(spans) < len(context.spans_before), spans


@behave.then("{name:w} has kept its keys")
def check_kept(context: runner.Context, name: str) -> None:
    spans = context.cluster.nodes[name].ownership.list_spans()
    assert spans == context.spans_before, spans


@behave.when("node {name:w} loses its links to all nodes")
def cut_links(context: runner.Context, name: str) -> None:
    _cut_links(context.cluster, name)


def _cut_links(cluster: simulated_cluster.SimulatedCluster, name: str) -> None:
    for other in cluster.nodes:
        if other != name:
            cluster.cut_links.add(frozenset((name, other)))


@behave.when("node {name:w} restarts without links to the others")
def restart_unlinked(context: runner.Context, name: str) -> None:
    cluster = context.cluster
    node = cluster.nodes[name]
    node.stop()
    cluster.run(200)
    node.start()
    _cut_links(cluster, name)


@behave.when(
    "the process of {name:w} is lost for {away:d} ms, and its reads of all rows"
    " are lost then"
)
def restart_unread(context: runner.Context, name: str, away: int) -> None:
    cluster = context.cluster
    node = cluster.nodes[name]
    context.assignment_before = node.ownership.assignments.get()
    node.stop()
    cluster.run(away)
    node.can_read_rows = False
    # What other nodes know would tell it of the takeover.
    _cut_links(cluster, name)
    node.start()


@behave.when("another node sends it the assignment of before")
def send_earlier(context: runner.Context) -> None:
    cluster = context.cluster
    node = cluster.nodes["n1"]
    node.server.held = []
    key_assignment, revision = context.assignment_before
    node.ownership.assignments.apply_snapshot(
        simulated_cluster.SERVICE, key_assignment.encode(), revision
    )


@behave.then("{name:w} has registered, and its server has been granted no keys")
def check_ungranted(context: runner.Context, name: str) -> None:
    node = context.cluster.nodes[name]
    assert node.ownership.get_own_revision()
    assert node.ownership.find_effective_lease_ms() > 0
    assert not node.server.list_held()
    check_one_holder(context)


@behave.when("the reads of {name:w} are answered again")
def answer_reads(context: runner.Context, name: str) -> None:
    context.cluster.nodes[name].can_read_rows = True
    context.cluster.cut_links.clear()


@behave.when("the servers of {count:d} nodes drain at the same time")
def drain_many(context: runner.Context, count: int) -> None:
    cluster = context.cluster
    cluster.conflict_count = 0
    for name in sorted(cluster.nodes, reverse=True)[:count]:
        cluster.nodes[name].server.is_draining = True


@behave.when("the servers of {count:d} nodes drain, and node {name:w} is lost")
def drain_and_lose(context: runner.Context, count: int, name: str) -> None:
    drain_many(context, count)
    # By then the first nodes have sent their changes, but got no reply.
    context.cluster.run(_DRAIN_LEAD_MS)
    _stop_instance(context.cluster.nodes[name])


@behave.when("node {name:w} sends a change of its own keys twice")
def send_twice(context: runner.Context, name: str) -> None:
    _send_change(context, name, name, times=2)


@behave.when("node {name:w} sends a change of {owner:w}'s keys once")
def send_foreign(context: runner.Context, name: str, owner: str) -> None:
    _send_change(context, name, owner, times=1)


def _send_change(
    context: runner.Context, name: str, owner: str, times: int
) -> None:
    """Sends a change to the writer node, bypassing the sender's planning."""
    cluster: simulated_cluster.SimulatedCluster = context.cluster
    sender, writer = cluster.nodes[name], cluster.nodes["n0"]
    value, _ = sender.ownership.assignments.get()
    target = value.list_owned_by_node("n5")[0].owner
    first = value.list_owned_by_node(owner)[0]
    context.replies = []
    for number in range(times):
        writer.ownership.batcher.enqueue(
            wire.DelegatedWrite(
                number=number,
                service=simulated_cluster.SERVICE,
                row_key=f"m/{name}",
                row_revision=sender.ownership.get_own_revision(),
                transfers=wire.RangeTransfers(
                    owners=[target], rows=[(first.first, first.last, 0, "")]
                ),
            ),
            context.replies.append,
        )


@behave.then("all nodes have the same assignment, with each key once")
def check_same(context: runner.Context) -> None:
    found = {
        node.ownership.assignments.get()[0].encode()
        for node in context.cluster.nodes.values()
    }
    assert len(found) == 1, len(found)
    # Decoding refuses ranges that are out of order.
    value = assignment.decode(found.pop())
    assert sum(value.count_keys().values()) == simulated_cluster.KEY_COUNT


@behave.then('{name:w} was answered "{one}" and "{two}"')
def check_replies(
    context: runner.Context, name: str, one: str, two: str
) -> None:
    del name
    assert _list_results(context) == sorted([one, two]), context.replies


@behave.then('{name:w} was answered "{one}"')
def check_reply(context: runner.Context, name: str, one: str) -> None:
    del name
    assert _list_results(context) == [one], context.replies


def _list_results(context: runner.Context) -> list[str]:
    names = {
        wire.WriteResult.APPLIED: "Applied",
        wire.WriteResult.CONFLICT: "Conflict",
    }
    return sorted(names[message.result] for message in context.replies)


@behave.then("the store refused at most {count:d} writes")
def check_conflicts(context: runner.Context, count: int) -> None:
    found = context.cluster.conflict_count
    assert found <= count, found


@behave.then("each node has logged the restore and its recovery")
def check_logged(context: runner.Context) -> None:
    for node in context.cluster.nodes.values():
        names = [name for name, _ in node.events.events]
        assert "STORE_RESTORED" in names, (node.node_id, names)
        assert "STORE_RECOVERED" in names, (node.node_id, names)


@behave.then("all keys are held")
def check_held(context: runner.Context) -> None:
    assert (
        context.cluster.count_held() == simulated_cluster.KEY_COUNT
    ), context.cluster.count_held()


@behave.then("{name:w}'s server holds keys")
def check_holds(context: runner.Context, name: str) -> None:
    assert context.cluster.nodes[name].server.list_held()


@behave.then("{name:w}'s server holds no keys")
def check_holds_nothing(context: runner.Context, name: str) -> None:
    assert not context.cluster.nodes[name].server.list_held()


@behave.then("no key had two holders")
def check_one_holder(context: runner.Context) -> None:
    assert not context.cluster.violations, context.cluster.violations[:5]


@behave.then(
    "{count:d} random fault schedules with seed {seed:d} keep all invariants"
)
def check_fault_schedules(
    context: runner.Context, count: int, seed: int
) -> None:
    del context
    for number in range(count):
        _check_fault_schedule(seed * 1_000 + number)


@behave.then(
    "the random fault schedule with seed {seed:d} keeps all invariants"
)
def check_one_schedule(context: runner.Context, seed: int) -> None:
    del context
    _check_fault_schedule(seed)


@behave.then(
    "the random fault schedule with seed {seed:d} and drains keeps all"
    " invariants"
)
def check_one_drain_schedule(context: runner.Context, seed: int) -> None:
    del context
    _check_fault_schedule(seed, has_drains=True)


@behave.then(
    "{count:d} random fault schedules with drains and seed {seed:d} keep"
    " all invariants"
)
def check_drain_schedules(
    context: runner.Context, count: int, seed: int
) -> None:
    del context
    for number in range(count):
        _check_fault_schedule(seed * 1_000 + number, has_drains=True)


@behave.then(
    "{count:d} random fault schedules with restores and seed {seed:d} keep all"
    " invariants"
)
def check_restore_schedules(
    context: runner.Context, count: int, seed: int
) -> None:
    del context
    for number in range(count):
        _check_fault_schedule(seed * 1_000 + number, has_restores=True)


def _check_fault_schedule(
    seed: int, *, has_drains: bool = False, has_restores: bool = False
) -> None:
    """Injects random faults; all keys must be held again after their end."""
    rng = random.Random(seed)
    cluster = simulated_cluster.SimulatedCluster(
        node_count=5, seed=seed, era=seed // 2 % 2 if has_restores else 0
    )
    cluster.run(_SETTLE_MS)
    cluster.copy_store()
    for _ in range(14):
        if has_drains and rng.random() < _DRAIN_PROBABILITY:
            _drain(rng.choice(sorted(cluster.nodes.values(), key=_get_name)))
        if has_restores:
            _copy_or_restore(cluster, rng)
        _inject_fault(cluster, rng)
        cluster.run(rng.choice([100, 300, 900, 2_500]))
        assert not cluster.violations, (seed, cluster.violations[:3])
    cluster.is_store_up = True
    cluster.in_doubt_share = 0.0
    cluster.cut_links.clear()
    for node in cluster.nodes.values():
        node.has_store = node.receives_heartbeats = True
        node.is_frozen = False
        if not node.server.is_up or node.server.is_draining:
            # A server process that has announced to drain never resumes.
            node.server.is_draining = False
            node.server.start()
        if not node.is_running:
            node.start()
    cluster.run(_RECOVERY_MS)
    assert not cluster.violations, (seed, cluster.violations[:3])
    assert cluster.count_held() == simulated_cluster.KEY_COUNT, (
        seed,
        cluster.count_held(),
    )
    cluster.close()


def _copy_or_restore(
    cluster: simulated_cluster.SimulatedCluster, rng: random.Random
) -> None:
    """Takes a copy of the store, or puts the last one in its place."""
    match rng.randrange(5):
        case 0 | 1:
            cluster.copy_store()
        case 2 | 3:
            was_up = cluster.is_store_up
            cluster.is_store_up = False
            cluster.run(rng.choice([50, 400, 1_500]))
            cluster.restore_store()
            cluster.clock_shift_ms += rng.choice([0, 0, -4_000, 6_000])
            cluster.is_store_up = was_up
        case _:
            pass


def _get_name(node: simulated_cluster.Node) -> str:
    return node.node_id


def _drain(node: simulated_cluster.Node) -> None:
    """Drains a server; a new process of it may start later."""
    node.server.is_draining = True


def _inject_fault(
    cluster: simulated_cluster.SimulatedCluster, rng: random.Random
) -> None:
    name = rng.choice(sorted(cluster.nodes))
    node = cluster.nodes[name]
    match rng.randrange(12):
        case 0:
            cluster.is_store_up = not cluster.is_store_up
        case 1:
            cluster.in_doubt_share = rng.choice([0.0, 0.5])
        case 2:
            node.has_store = not node.has_store
        case 3 | 4 | 5:
            _toggle_node(node)
        case 6:
            node.is_frozen = not node.is_frozen
        case 7 | 8:
            _toggle_server(node.server)
        case 9:
            other = rng.choice(sorted(set(cluster.nodes) - {name}))
            cluster.cut_links ^= {frozenset((name, other))}
        case 10:
            _cut_links(cluster, name)
        case _:
            node.receives_heartbeats = not node.receives_heartbeats


def _toggle_node(node: simulated_cluster.Node) -> None:
    if node.is_running:
        node.stop()
    else:
        node.start()


def _toggle_server(server: simulated_cluster.Server) -> None:
    if server.is_up:
        server.is_up = False
    else:
        server.is_draining = False
        server.start()


@behave.when(
    "a heartbeat of another writer, with a {what}, says that {name:w}'s server"
    " {state}"
)
def send_foreign_heartbeat(
    context: runner.Context, what: str, name: str, state: str
) -> None:
    node = context.cluster.nodes[name]
    is_later = what == "later start"
    node.server.send_foreign(
        node,
        born_ms=node.server.born_ms + (1 if is_later else 0),
        sequence=1 if is_later else node.server.sequence + 1_000_000,
        is_draining=state == "drains",
    )


@behave.when("another writer replaces the row of {name:w} by {what}")
def replace_row(context: runner.Context, name: str, what: str) -> None:
    cluster = context.cluster
    key = store_access.make_member_key(cluster.nodes[name].node_id)
    value, _ = cluster.rows[key]
    match what:
        case "bytes that can't be read":
            value = b"\x91" * 30_000
        case "one whose lease ends in years":
            value = members.encode(
                msgspec.structs.replace(
                    members.decode(value), ends_store_ms=2**50
                )
            )
    cluster.revision += 1
    cluster.rows[key] = (value, cluster.revision)


@behave.when("node {name:w} loses the store and its links to all nodes")
def isolate(context: runner.Context, name: str) -> None:
    node = context.cluster.nodes[name]
    node.has_store = node.has_relay = False
    _cut_links(context.cluster, name)


@behave.when(
    "{name:w} chooses another granter after a copy of the store, and is"
    " suspended for {length:d} ms while the copy takes the store's place"
)
def suspend_over_restore(
    context: runner.Context, name: str, length: int
) -> None:
    cluster: simulated_cluster.SimulatedCluster = context.cluster
    node = cluster.nodes[name]
    holder = node.promise_exchange.holder
    cluster.copy_store()
    before = holder.granter
    granter = before.partition("@")[0].partition("#")[0]
    cluster.cut_links.add(frozenset((name, granter)))
    while holder.granter == before:
        cluster.run(simulated_cluster.TICK_MS)
    cluster.cut_links.clear()
    cluster.run(2_000)
    assert holder.find_effective_lease_ms(10**9, cluster.now_ms) < 10**9
    node.is_frozen = True
    cluster.run(length)
    cluster.restore_store()
    cluster.run(400)
    node.is_frozen = False
    # An earlier term isn't bound by the promises of the newest one.
    terms = [holder.term_number]
    for _ in range(1_000 // simulated_cluster.TICK_MS):
        cluster.run(simulated_cluster.TICK_MS)
        terms.append(holder.term_number)
    assert terms == sorted(terms), terms
