"""Steps for the detection and the splits of hot keys."""

import random

import behave
from behave import runner

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.assignment import hotkeys

_HALF_LIFE_MS = 10_000
_SERVER_RPS = 1_000.0


@behave.given("a hot key counter of {capacity:d} keys")
def given_counter(context: runner.Context, capacity: int) -> None:
    context.random = random.Random(5)
    context.now_ms = 0
    context.counter = hotkeys.Counter(
        capacity=capacity, half_life_ms=_HALF_LIFE_MS, now_ms=0
    )


def _send(
    context: runner.Context, prefix: str, seconds: int, hot: int, cold: int
) -> None:
    context.traffic = (seconds, hot, cold)
    for _ in range(seconds):
        keys = [f"{prefix}{number}" for number in range(20)] * hot
        keys += [str(context.random.random()) for _ in range(cold)]
        context.random.shuffle(keys)
        for key in keys:
            context.counter.count(key)
        context.now_ms += 1_000
        context.counter.advance(now_ms=context.now_ms)


@behave.when(
    "{seconds:d} s of traffic have 20 keys at {hot:d} requests/s and {cold:d}"
    " other keys/s"
)
def send(context: runner.Context, seconds: int, hot: int, cold: int) -> None:
    _send(context, "first", seconds, hot, cold)


@behave.then(
    "the hot key counter reports just these 20 keys above {limit:d} requests/s"
)
def check_reported(context: runner.Context, limit: int) -> None:
    context.limit = limit
    _check(context, "first")


def _check(context: runner.Context, prefix: str) -> None:
    top = context.counter.list_top(count=100)
    reported = {rate.key for rate in top if rate.rps > context.limit}
    assert reported == {f"{prefix}{number}" for number in range(20)}, reported


@behave.then("20 new hot keys are reported instead after {seconds:d} s more")
def check_change(context: runner.Context, seconds: int) -> None:
    _, hot, cold = context.traffic
    _send(context, "second", seconds, hot, cold)
    _check(context, "second")


@behave.given("a member that may split hot keys")
def given_splitter(context: runner.Context) -> None:
    context.splitter = hotkeys.Splitter(member_id="m0", limits=hotkeys.Limits())
    context.assignment = ownership.Assignment(
        shard_count=4, owners=["m0"] * 4, fences=[1] * 4
    )


@behave.given('the hashed shard of split key "{key}" has another owner')
def given_split_ownership(context: runner.Context, key: str) -> None:
    assignment = context.assignment
    assignment.owners[hotkeys.find_hashed_shard(key, assignment)] = "m1"
    assignment.owners.append("m0")
    assignment.fences.append(1)
    assignment.splits[key] = 4


@behave.when('key "{key}" has these rates at these seconds: {rates}')
def follow_rates(context: runner.Context, key: str, rates: str) -> None:
    context.changes = []
    context.wanted_moves = ()
    for item in rates.split():
        second, rps = item.split(":")
        _follow(context, int(second), hotkeys.KeyRate(key=key, rps=float(rps)))


def _follow(
    context: runner.Context, second: int, rate: hotkeys.KeyRate
) -> None:
    arguments = {
        "pool": "p",
        "assignment": context.assignment,
        "rates": [rate],
        "server_rps": _SERVER_RPS,
        "now_ms": second * 1_000,
    }
    splits = context.splitter.plan_splits(**arguments)
    planned = context.splitter.plan_merges(**arguments)
    context.wanted_moves = planned.wanted_moves
    context.changes += [f"split@{second}" for _ in splits]
    context.changes += [f"merge@{second}" for _ in planned.merges]
    state = ownership.State(assignments={"p": context.assignment})
    entry = membership.Entry(
        revision=1,
        write_id="w",
        author="m0",
        written_at_ms=0,
        changes=splits + planned.merges,
    )
    after = ownership.apply_entries(state, [entry])
    context.assignment = after.assignments["p"]


@behave.then("the splits and merges of hot keys are: {changes}")
def check_changes(context: runner.Context, changes: str) -> None:
    expected = changes.replace("none", "")
    assert " ".join(context.changes) == expected, context.changes


@behave.then("the shard of the key is to move to the owner of its hashed shard")
def check_wanted_moves(context: runner.Context) -> None:
    assert context.wanted_moves == (membership.ShardMove(shard=4, owner="m1"),)
