"""Steps for simulated members whose leases are subject to faults."""

import itertools

import behave
from behave import runner

from rhubarblead import settings
from tests.rhubarblead.leases import broken
from tests.rhubarblead.leases import simulation

_SHARD_COUNT = 32
_SETTLED_MS = 2_500


@behave.given(
    "a lease simulation of {servers:d} servers in {domains:d} failure domains"
)
def given_simulation(
    context: runner.Context, servers: int, domains: int
) -> None:
    context.sizes = (servers, domains)
    context.factories = simulation.Factories()


@behave.given("lease decisions broken so that {fault}")
def given_fault(context: runner.Context, fault: str) -> None:
    context.factories = broken.VARIANTS[fault]


@behave.when("these lease faults happen: {events}")
def apply_events(context: runner.Context, events: str) -> None:
    servers, domains = context.sizes
    simulated = simulation.Simulation(
        seed=1,
        lease=settings.Lease(),
        factories=context.factories,
        shard_count=_SHARD_COUNT,
    )
    for number in range(servers):
        simulated.join(f"m{number}", f"d{number % domains}")
    simulated.run(_SETTLED_MS)
    simulated.assign_unowned()
    simulated.run(500)
    context.simulated = simulated
    context.names = _choose_names(simulated)
    context.violation = None
    try:
        for event in events.split(","):
            _apply_event(context, event.split())
    except simulation.TwoOwners as error:
        context.violation = error


def _choose_names(simulated: simulation.Simulation) -> dict[str, str]:
    [owner] = simulated.list_serving(0)
    granters = simulated.store.state.members[owner].granters
    names = {f"g{number}": g for number, g in enumerate(granters, start=1)}
    return {"owner": owner, **names}


def _list_named(context: runner.Context, name: str) -> list[str]:
    if name == "*":
        return list(context.simulated.nodes)
    return [context.names.get(name, name)]


def _list_links(
    context: runner.Context, first: str, second: str
) -> list[tuple[str, str]]:
    sources = _list_named(context, first)
    targets = _list_named(context, second)
    return [pair for pair in itertools.product(sources, targets)]


def _apply_event(context: runner.Context, event: list[str]) -> None:
    simulated = context.simulated
    match event:
        case ["run", duration]:
            simulated.run(int(duration))
        case ["degrade_network", per_mille]:
            simulated.disturbed_per_mille = int(per_mille)
        case ["no_delays"]:
            simulated.factories = broken.VARIANTS["evictors have no delays"]
        case ["pause", name]:
            simulated.paused |= set(_list_named(context, name))
        case ["resume", name]:
            simulated.resume(context.names.get(name, name))
        case _:
            _change_members(context, event)


def _change_members(context: runner.Context, event: list[str]) -> None:
    simulated = context.simulated
    match event:
        case ["lose", "domain"]:
            _lose_domain(context)
        case ["lose", name]:
            simulated.lose(context.names[name])
        case ["restart", name]:
            _restart(context, context.names[name])
        case ["add", name]:
            simulated.join(name, "added")
        case ["leave", name]:
            node = simulated.nodes[context.names[name]]
            node.leave(simulated.read_clock(node.member_id))
        case ["request_move", shard, name]:
            simulated.want(int(shard), context.names[name])
        case _:
            _change_links(context, event)


def _change_links(context: runner.Context, event: list[str]) -> None:
    simulated = context.simulated
    everyone = {*simulated.nodes, simulation.STORE}
    match event:
        case ["cut", first, second]:
            simulated.cut_links |= set(_list_links(context, first, second))
        case ["uncut", first, second]:
            simulated.cut_links -= set(_list_links(context, first, second))
        case ["slow", first, second, extra]:
            for link in _list_links(context, first, second):
                simulated.extra_delay_ms[link] = float(extra)
        case ["isolate" | "partition", *names]:
            inner = {context.names[name] for name in names}
            for pair in itertools.product(inner, everyone - inner):
                simulated.cut_links |= {pair, pair[::-1]}
        case ["reconnect", "*"]:
            simulated.cut_links.clear()
        case ["reconnect", name]:
            joined = context.names[name]
            simulated.cut_links = {
                link for link in simulated.cut_links if joined not in link
            }
        case _:
            _change_store(context, event)


def _change_store(context: runner.Context, event: list[str]) -> None:
    simulated = context.simulated
    everyone = list(simulated.nodes)
    match event:
        case ["store", "down"]:
            simulated.cut_links |= set(
                itertools.product(everyone, [simulation.STORE])
            )
        case ["store", "up"]:
            simulated.cut_links -= set(
                itertools.product(everyone, [simulation.STORE])
            )
        case ["cut", "store", "except", "to", "one"]:
            _cut_store_answers(context)
        case _:
            raise ValueError(event)


def _cut_store_answers(context: runner.Context) -> None:
    """Cuts the store answers to all members but one.

    This one is not related to the owner, g1 and g2: it is none of them nor
    their granters, and has neither g1 nor g2 as granter.
    """
    simulated = context.simulated
    members = simulated.store.state.members
    related = {context.names[name] for name in ("owner", "g1", "g2")}
    for name in list(related):
        related |= set(members[name].granters)
    leaving = {context.names["g1"], context.names["g2"]}
    reader = next(
        name
        for name in simulated.nodes
        if name not in related and not leaving & set(members[name].granters)
    )
    others = set(simulated.nodes) - {reader}
    simulated.cut_links |= set(itertools.product([simulation.STORE], others))


def _lose_domain(context: runner.Context) -> None:
    simulated = context.simulated
    domain = simulated.domains[context.names["owner"]]
    for name in list(simulated.nodes):
        if simulated.domains[name] == domain:
            simulated.lose(name)


def _restart(context: runner.Context, name: str) -> None:
    simulated = context.simulated
    simulated.lose(name)
    simulated.join(f"{name}-again", simulated.domains[name])


@behave.then("no shard ever had two owners")
def check_safe(context: runner.Context) -> None:
    assert context.violation is None, context.violation


@behave.then("a shard had two owners")
def check_broken(context: runner.Context) -> None:
    assert context.violation is not None


@behave.then("within {within:d} ms every shard has an owner")
def check_served(context: runner.Context, within: int) -> None:
    simulated = context.simulated
    end_ms = simulated.now_ms + within
    while simulated.now_ms < end_ms and _list_unserved(simulated):
        simulated.run(1)
    assert not _list_unserved(simulated), _list_unserved(simulated)


def _list_unserved(simulated: simulation.Simulation) -> list[int]:
    shards = range(_SHARD_COUNT)
    return [shard for shard in shards if not simulated.list_serving(shard)]


@behave.then("the first owner is then {status}")
def check_status(context: runner.Context, status: str) -> None:
    is_member = context.names["owner"] in context.simulated.store.state.members
    assert status == "any" or is_member == (status == "member"), status


@behave.then("the first shard has {count:d} owners")
def check_count(context: runner.Context, count: int) -> None:
    found = context.simulated.list_serving(0)
    assert len(found) == count, found
