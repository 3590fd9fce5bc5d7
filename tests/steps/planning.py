"""Steps for shard plans."""

import collections

import behave
from behave import runner
import msgspec

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.assignment import planner
from tests.rhubarblead import fixtures

_POOL = fixtures.POOL


def _move(
    state: ownership.State, moves: tuple[membership.ShardMove, ...]
) -> ownership.State:
    entry = membership.Entry(
        revision=state.revision + 1,
        write_id="w",
        author="m0",
        written_at_ms=0,
        changes=(membership.ShardsMoved(pool=_POOL, moves=moves),),
    )
    return ownership.apply_entries(state, [entry])


@behave.given(
    "an assignment plan of {shards:d} shards over {servers:d} servers in"
    " {domains:d} failure domains"
)
def given_plan(
    context: runner.Context, shards: int, servers: int, domains: int
) -> None:
    members = [
        fixtures.make_member(f"m{number}", f"d{number % domains}")
        for number in range(servers)
    ]
    state = ownership.State(
        members={member.member_id: member for member in members}
    )
    state.assignments[_POOL] = ownership.Assignment(
        shard_count=shards, owners=[""] * shards, fences=[0] * shards
    )
    context.eligible = tuple(state.members)
    context.moves = planner.plan_takeover(
        state=state, pool=_POOL, lost=frozenset(), eligible=context.eligible
    )
    context.state = _move(state, context.moves)
    context.loads = {}


@behave.when("the assignment loses {what}")
def lose(context: runner.Context, what: str) -> None:
    members = context.state.members
    if what == "a failure domain":
        lost = {m for m in members if members[m].failure_domain == "d0"}
    else:
        lost = {f"m{number}" for number in range(int(what.split()[0]))}
    context.lost = frozenset(lost)
    context.moves = planner.plan_takeover(
        state=context.state,
        pool=_POOL,
        lost=context.lost,
        eligible=context.eligible,
    )
    context.before = context.state
    context.state = _move(context.state, context.moves)


@behave.then("{count:d} shards get an owner")
def check_moved(context: runner.Context, count: int) -> None:
    assert len(context.moves) == count, len(context.moves)
    owners = set(context.state.assignments[_POOL].owners)
    assert not owners & (context.lost | {""})


@behave.then("no server of the plan has more than {most:d} shards")
def check_most(context: runner.Context, most: int) -> None:
    counts = collections.Counter(context.state.assignments[_POOL].owners)
    assert max(counts.values()) <= most, max(counts.values())


@behave.then("the plan moved no shard of the remaining servers")
def check_others(context: runner.Context) -> None:
    owners = context.before.assignments[_POOL].owners
    assert all(owners[move.shard] in context.lost for move in context.moves)


@behave.then(
    "the moved shards are spread over at least {count:d} failure domains"
)
def check_spread(context: runner.Context, count: int) -> None:
    members = context.state.members
    domains = {members[m.owner].failure_domain for m in context.moves}
    assert len(domains) >= count, len(domains)


@behave.then("all shards of the plan have no owner")
def check_unowned(context: runner.Context) -> None:
    assert set(context.state.assignments[_POOL].owners) == {""}


@behave.when("nothing changes in the assignment")
def change_nothing(context: runner.Context) -> None:
    _rebalance(context)


@behave.when("{count:d} servers join the assignment")
def join(context: runner.Context, count: int) -> None:
    for number in range(count):
        member = fixtures.make_member(f"n{number}", "d0")
        context.state.members[member.member_id] = member
    context.eligible = tuple(context.state.members)
    _rebalance(context)


@behave.when("{count:d} servers leave the assignment")
def leave(context: runner.Context, count: int) -> None:
    context.eligible = context.eligible[count:]
    _rebalance(context)


@behave.when("20 shards of one server take all its load")
def concentrate_load(context: runner.Context) -> None:
    assignment = context.state.assignments[_POOL]
    context.loads = dict.fromkeys(range(assignment.shard_count), 1.0)
    for shard in assignment.list_shards("m0")[:20]:
        context.loads[shard] = 100.0
    _rebalance(context)


@behave.when("the assignment idles at 3 requests/s")
def idle(context: runner.Context) -> None:
    context.loads = {1: 1.0, 2: 1.0, 3: 1.0}
    _rebalance(context)


def _rebalance(context: runner.Context) -> None:
    context.moves = _plan(context)
    context.before = context.state
    context.state = _move(context.state, context.moves)


def _plan(context: runner.Context) -> tuple[membership.ShardMove, ...]:
    return planner.plan_rebalance(
        state=context.state,
        pool=_POOL,
        eligible=context.eligible,
        loads=context.loads,
        limits=planner.Limits(),
    )


@behave.then("at most {count:d} shards get a new target owner")
def check_targets(context: runner.Context, count: int) -> None:
    assert len(context.moves) <= count, len(context.moves)


@behave.then(
    "the highest load of the plan is at most {highest:f} times the mean"
)
def check_loads(context: runner.Context, highest: float) -> None:
    loads: collections.Counter[str] = collections.Counter()
    for shard, owner in enumerate(context.state.assignments[_POOL].owners):
        loads[owner] += (
            context.loads.get(shard, 0.0)
            if sum(context.loads.values()) > 100
            else 1.0
        )
    mean = sum(loads.values()) / len(context.eligible)
    assert max(loads.values()) <= mean * highest, max(loads.values()) / mean


@behave.then("a second assignment plan is the same")
def check_stable(context: runner.Context) -> None:
    assert _plan(context) == ()
    with_targets = msgspec.structs.replace(context.before)
    context.state = with_targets.copy()
    context.state.assignments[_POOL].wanted = {
        move.shard: move.owner for move in context.moves
    }
    assert _plan(context) == context.moves
