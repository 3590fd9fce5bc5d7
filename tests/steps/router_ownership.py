"""Steps for ownership in a small world."""

import random

import behave
from behave import runner

from rhubarblead.keyspace import assignment
from rhubarblead.router import wire
from tests.rhubarblead.router import world

_SETTLE_MS = 9_000
_CALM_MS = 24_000
_DEPARTURE_SHARE = 0.4
_DRAIN_LEAD_MS = 900


@behave.given("a world of {count:d} nodes")
def make(context: runner.Context, count: int) -> None:
    context.world = world.World(node_count=count, seed=1)
    context.add_cleanup(context.world.close)


@behave.given("a world of {count:d} nodes that has settled")
def make_settled(context: runner.Context, count: int) -> None:
    make(context, count)
    context.world.run(_SETTLE_MS)
    assert context.world.count_held() == world.KEY_COUNT


@behave.when("{passed:d} ms go by in the world")
def run(context: runner.Context, passed: int) -> None:
    context.world.run(passed)


@behave.when("{failure} fails in the world")
def fail(context: runner.Context, failure: str) -> None:
    _fail(context.world, failure)


def _fail(here: world.World, failure: str) -> None:
    one = here.nodes["n1"]
    match failure:
        case "an instance":
            _lose(one)
        case "two instances":
            _lose(one)
            _lose(here.nodes["n4"])
        case "a server for good":
            one.server.is_up = False
        case "a server that comes back":
            one.server.is_up = False
            here.run(1_000)
            one.server.start()
        case "a node that comes back":
            _restart(one)
        case "a planned restart":
            _restart_as_planned(one)
        case "a server whose node restarts":
            one.server.is_up = False
            _restart(one)
        case "a draining server":
            one.server.is_draining = True
        case _:
            assert failure == "everything at once"
            _restart_all(here)


def _restart(node: world.Node) -> None:
    node.stop()
    node.world.run(800)
    node.start()


def _restart_as_planned(node: world.Node) -> None:
    node.owner.is_stopping = True
    node.promising.holder.leave()
    node.promising._send_leave()
    node.world.run(3_000)
    _restart(node)


def _restart_all(here: world.World) -> None:
    for node in here.nodes.values():
        _lose(node)
    here.run(1_000)
    for node in here.nodes.values():
        node.server.start()
        node.start()


def _lose(node: world.Node) -> None:
    node.stop()
    node.server.is_up = False


@behave.when("the store is down in the world")
def stop_store(context: runner.Context) -> None:
    context.world.is_store_up = False


@behave.when("node {name:w} is cut from the store")
def cut_store(context: runner.Context, name: str) -> None:
    context.world.nodes[name].has_store = False


@behave.when("node {name:w} is cut from all nodes")
def cut_links(context: runner.Context, name: str) -> None:
    _cut_links(context.world, name)


def _cut_links(here: world.World, name: str) -> None:
    for other in here.nodes:
        if other != name:
            here.cut_links.add(frozenset((name, other)))


@behave.when("node {name:w} restarts while the others can't hear it")
def restart_unheard(context: runner.Context, name: str) -> None:
    here = context.world
    node = here.nodes[name]
    node.stop()
    here.run(200)
    node.start()
    _cut_links(here, name)


@behave.when("the servers of {count:d} nodes drain at once")
def drain_many(context: runner.Context, count: int) -> None:
    here = context.world
    here.conflict_count = 0
    for name in sorted(here.nodes, reverse=True)[:count]:
        here.nodes[name].server.is_draining = True


@behave.when(
    "the servers of {count:d} nodes drain at once, as node {name:w} is lost"
)
def drain_and_lose(context: runner.Context, count: int, name: str) -> None:
    drain_many(context, count)
    # The first of them have sent their keys by then, and have no answer.
    context.world.run(_DRAIN_LEAD_MS)
    _lose(context.world.nodes[name])


@behave.when("node {name:w} sends a change of its own keys twice at once")
def send_twice(context: runner.Context, name: str) -> None:
    _send_change(context, name, name, times=2)


@behave.when("node {name:w} sends a change of {owner:w}'s keys once")
def send_foreign(context: runner.Context, name: str, owner: str) -> None:
    _send_change(context, name, owner, times=1)


def _send_change(
    context: runner.Context, name: str, owner: str, times: int
) -> None:
    """Sends a change to the node that writes, past the node's own plans."""
    here: world.World = context.world
    giver, writer = here.nodes[name], here.nodes["n0"]
    value, _ = giver.owner.assignments.get()
    target = value.list_of_node("n5")[0].owner
    first = value.list_of_node(owner)[0]
    context.told = []
    for number in range(times):
        writer.owner.gathering.take(
            wire.DelegatedWrite(
                number=number,
                service=world.SERVICE,
                row_key=f"m/{name}",
                row_revision=giver.owner.get_own_revision(),
                transfers=wire.RangeTransfers(
                    owners=[target], rows=[(first.first, first.last, 0, "")]
                ),
            ),
            context.told.append,
        )


@behave.then("all nodes know the same assignment, with each key once")
def check_same(context: runner.Context) -> None:
    found = {
        node.owner.assignments.get()[0].encode()
        for node in context.world.nodes.values()
    }
    assert len(found) == 1, len(found)
    # It refuses ranges that are out of order.
    value = assignment.decode(found.pop())
    assert sum(value.count_keys().values()) == world.KEY_COUNT


@behave.then('{name:w} was told "{one}" and "{two}"')
def check_told_both(
    context: runner.Context, name: str, one: str, two: str
) -> None:
    del name
    assert _list_told(context) == sorted([one, two]), context.told


@behave.then('{name:w} was told "{one}"')
def check_told(context: runner.Context, name: str, one: str) -> None:
    del name
    assert _list_told(context) == [one], context.told


def _list_told(context: runner.Context) -> list[str]:
    words = {
        wire.WriteResult.APPLIED: "Applied",
        wire.WriteResult.CONFLICT: "Conflict",
    }
    return sorted(words[message.result] for message in context.told)


@behave.then("the store refused {count:d} writes at the most")
def check_conflicts(context: runner.Context, count: int) -> None:
    found = context.world.conflict_count
    assert found <= count, found


@behave.then("all keys are held")
def check_held(context: runner.Context) -> None:
    assert (
        context.world.count_held() == world.KEY_COUNT
    ), context.world.count_held()


@behave.then("{name:w}'s server holds keys")
def check_holds(context: runner.Context, name: str) -> None:
    assert context.world.nodes[name].server.list_held()


@behave.then("{name:w}'s server holds no keys")
def check_holds_nothing(context: runner.Context, name: str) -> None:
    assert not context.world.nodes[name].server.list_held()


@behave.then("no key had two holders")
def check_one_holder(context: runner.Context) -> None:
    assert not context.world.faults, context.world.faults[:5]


@behave.then(
    "{count:d} random stories of a world with seed {seed:d} keep every rule"
)
def check_stories(context: runner.Context, count: int, seed: int) -> None:
    del context
    for number in range(count):
        _check_story(seed * 1_000 + number)


@behave.then(
    "{count:d} random stories with departures and seed {seed:d} keep every rule"
)
def check_departures(context: runner.Context, count: int, seed: int) -> None:
    del context
    for number in range(count):
        _check_story(seed * 1_000 + number, has_departures=True)


def _check_story(seed: int, *, has_departures: bool = False) -> None:
    """Lets things fail at random; at the end all recovers."""
    source = random.Random(seed)
    here = world.World(node_count=5, seed=seed)
    here.run(_SETTLE_MS)
    for _ in range(14):
        if has_departures and source.random() < _DEPARTURE_SHARE:
            _drain(source.choice(sorted(here.nodes.values(), key=_get_name)))
        _disturb(here, source)
        here.run(source.choice([100, 300, 900, 2_500]))
        assert not here.faults, (seed, here.faults[:3])
    here.is_store_up = True
    here.lost_share = 0.0
    here.cut_links.clear()
    for node in here.nodes.values():
        node.has_store = node.is_hearing = True
        node.is_frozen = False
        if not node.server.is_up or node.server.is_draining:
            # What has said that it leaves doesn't come back in that life.
            node.server.is_draining = False
            node.server.start()
        if not node.is_running:
            node.start()
    here.run(_CALM_MS)
    assert not here.faults, (seed, here.faults[:3])
    assert here.count_held() == world.KEY_COUNT, (seed, here.count_held())
    here.close()


def _get_name(node: world.Node) -> str:
    return node.node_id


def _drain(node: world.Node) -> None:
    """Has a server leave; a new life of it may come back later."""
    node.server.is_draining = True


def _disturb(here: world.World, source: random.Random) -> None:
    name = source.choice(sorted(here.nodes))
    node = here.nodes[name]
    match source.randrange(12):
        case 0:
            here.is_store_up = not here.is_store_up
        case 1:
            here.lost_share = source.choice([0.0, 0.5])
        case 2:
            node.has_store = not node.has_store
        case 3 | 4 | 5:
            _toggle_node(node)
        case 6:
            node.is_frozen = not node.is_frozen
        case 7 | 8:
            _toggle_server(node.server)
        case 9:
            other = source.choice(sorted(set(here.nodes) - {name}))
            here.cut_links ^= {frozenset((name, other))}
        case 10:
            _cut_links(here, name)
        case _:
            node.is_hearing = not node.is_hearing


def _toggle_node(node: world.Node) -> None:
    if node.is_running:
        node.stop()
    else:
        node.start()


def _toggle_server(server: world.Server) -> None:
    if server.is_up:
        server.is_up = False
    else:
        server.is_draining = False
        server.start()
