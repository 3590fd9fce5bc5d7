"""Steps for leases under faults."""

import itertools

import behave
from behave import runner

from rhubarblead import settings
from tests.rhubarblead.leases import broken
from tests.rhubarblead.leases import world

_SHARD_COUNT = 32
_SETTLED_MS = 2_500


@behave.given(
    "a lease world of {servers:d} servers in {domains:d} failure domains"
)
def given_world(context: runner.Context, servers: int, domains: int) -> None:
    context.sizes = (servers, domains)
    context.parts = world.Parts()


@behave.given("lease decisions broken so that {fault}")
def given_fault(context: runner.Context, fault: str) -> None:
    context.parts = broken.VARIANTS[fault]


@behave.when("these lease faults happen: {events}")
def happen(context: runner.Context, events: str) -> None:
    servers, domains = context.sizes
    made = world.World(
        seed=1,
        lease=settings.Lease(),
        parts=context.parts,
        shard_count=_SHARD_COUNT,
    )
    for number in range(servers):
        made.join(f"m{number}", f"d{number % domains}")
    made.run(_SETTLED_MS)
    made.share_out()
    made.run(500)
    context.world = made
    context.names = _name(made)
    context.violation = None
    try:
        for event in events.split(","):
            _happen(context, event.split())
    except world.TwoOwners as error:
        context.violation = error


def _name(made: world.World) -> dict[str, str]:
    [owner] = made.list_believers(0)
    granters = made.store.state.members[owner].granters
    names = {f"g{number}": g for number, g in enumerate(granters, start=1)}
    return {"owner": owner, **names}


def _list_named(context: runner.Context, name: str) -> list[str]:
    if name == "*":
        return list(context.world.nodes)
    return [context.names.get(name, name)]


def _list_links(
    context: runner.Context, first: str, second: str
) -> list[tuple[str, str]]:
    sources = _list_named(context, first)
    targets = _list_named(context, second)
    return [pair for pair in itertools.product(sources, targets)]


def _happen(context: runner.Context, event: list[str]) -> None:
    made = context.world
    match event:
        case ["run", duration]:
            made.run(int(duration))
        case ["chaos", per_mille]:
            made.chaos_per_mille = int(per_mille)
        case ["eager"]:
            made.parts = broken.VARIANTS["takers don't wait"]
        case ["pause", name]:
            made.paused |= set(_list_named(context, name))
        case ["resume", name]:
            made.resume(context.names.get(name, name))
        case _:
            _change_members(context, event)


def _change_members(context: runner.Context, event: list[str]) -> None:
    made = context.world
    match event:
        case ["lose", "domain"]:
            _lose_domain(context)
        case ["lose", name]:
            made.lose(context.names[name])
        case ["restart", name]:
            _restart(context, context.names[name])
        case ["add", name]:
            made.join(name, "added")
        case ["leave", name]:
            node = made.nodes[context.names[name]]
            node.leave(made.read_clock(node.member_id))
        case ["want", shard, name]:
            made.want(int(shard), context.names[name])
        case _:
            _change_links(context, event)


def _change_links(context: runner.Context, event: list[str]) -> None:
    made = context.world
    everyone = {*made.nodes, world.STORE}
    match event:
        case ["cut", first, second]:
            made.cut |= set(_list_links(context, first, second))
        case ["uncut", first, second]:
            made.cut -= set(_list_links(context, first, second))
        case ["slow", first, second, extra]:
            for link in _list_links(context, first, second):
                made.extra_ms[link] = float(extra)
        case ["isolate" | "part", *names]:
            inner = {context.names[name] for name in names}
            for pair in itertools.product(inner, everyone - inner):
                made.cut |= {pair, pair[::-1]}
        case ["join", "*"]:
            made.cut.clear()
        case ["join", name]:
            joined = context.names[name]
            made.cut = {link for link in made.cut if joined not in link}
        case _:
            _change_store(context, event)


def _change_store(context: runner.Context, event: list[str]) -> None:
    made = context.world
    everyone = list(made.nodes)
    match event:
        case ["store", "down"]:
            made.cut |= set(itertools.product(everyone, [world.STORE]))
        case ["store", "up"]:
            made.cut -= set(itertools.product(everyone, [world.STORE]))
        case ["blind", "all", "but", "a", "stranger"]:
            _blind(context)
        case _:
            raise ValueError(event)


def _blind(context: runner.Context) -> None:
    """Cuts the store's answers to all but one that grants to none of these."""
    made = context.world
    members = made.store.state.members
    close = {context.names[name] for name in ("owner", "g1", "g2")}
    for name in list(close):
        close |= set(members[name].granters)
    leaving = {context.names["g1"], context.names["g2"]}
    watcher = next(
        name
        for name in made.nodes
        if name not in close and not leaving & set(members[name].granters)
    )
    others = set(made.nodes) - {watcher}
    made.cut |= set(itertools.product([world.STORE], others))


def _lose_domain(context: runner.Context) -> None:
    made = context.world
    domain = made.domains[context.names["owner"]]
    for name in list(made.nodes):
        if made.domains[name] == domain:
            made.lose(name)


def _restart(context: runner.Context, name: str) -> None:
    made = context.world
    made.lose(name)
    made.join(f"{name}-again", made.domains[name])


@behave.then("no shard ever had two owners")
def check_safe(context: runner.Context) -> None:
    assert context.violation is None, context.violation


@behave.then("a shard had two owners")
def check_broken(context: runner.Context) -> None:
    assert context.violation is not None


@behave.then("within {within:d} ms every shard has an owner")
def check_served(context: runner.Context, within: int) -> None:
    made = context.world
    end_ms = made.now_ms + within
    while made.now_ms < end_ms and _list_unserved(made):
        made.run(1)
    assert not _list_unserved(made), _list_unserved(made)


def _list_unserved(made: world.World) -> list[int]:
    shards = range(_SHARD_COUNT)
    return [shard for shard in shards if not made.list_believers(shard)]


@behave.then("the first owner is then {fate}")
def check_fate(context: runner.Context, fate: str) -> None:
    is_member = context.names["owner"] in context.world.store.state.members
    assert fate == "any" or is_member == (fate == "member"), fate


@behave.then("the first shard has {count:d} owners")
def check_count(context: runner.Context, count: int) -> None:
    found = context.world.list_believers(0)
    assert len(found) == count, found
