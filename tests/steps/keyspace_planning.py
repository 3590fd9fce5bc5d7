"""Steps for planning the distribution of keys over servers."""

import collections
import dataclasses
import random

import behave
from behave import runner

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import holdings
from rhubarblead.keyspace import load_shifts
from rhubarblead.keyspace import planning
from tests.steps import keyspace_assignment

_HOT_FIRST = 30_000


def _list_candidates(text: str) -> list[planning.Candidate]:
    found = []
    for word in text.split():
        owner, load, capacity = word.split(":")
        found.append(
            planning.Candidate(
                owner=owner, load=float(load), capacity_per_s=float(capacity)
            )
        )
    return found


@behave.when("an initial assignment is planned for {count:d} servers")
def plan_initial(context: runner.Context, count: int) -> None:
    candidates = [planning.Candidate(owner=f"s{n}") for n in range(count)]
    context.assignment = assignment.make_empty().apply(
        planning.plan_initial(candidates)
    )


@behave.when('the ranges of {owner:w} are redistributed to "{targets}"')
def plan_redistribution(
    context: runner.Context, owner: str, targets: str
) -> None:
    names = [] if targets == "-" else targets.split()
    context.transfers = planning.plan_redistribution(
        current=context.assignment,
        ranges=context.assignment.list_owned(owner),
        candidates=[planning.Candidate(owner=name) for name in names],
    )


@behave.given('loads "{loads}"')
def set_loads(context: runner.Context, loads: str) -> None:
    context.candidates = _list_candidates(loads)


@behave.given('requests per second by key "{rates}"')
def set_rates(context: runner.Context, rates: str) -> None:
    context.rates = {}
    for word in rates.split():
        key, rate = word.split(":")
        context.rates[int(key)] = float(rate)


@behave.when("{own:w} plans transfers to new servers")
def plan_new_servers(context: runner.Context, own: str) -> None:
    context.transfers = planning.plan_new_servers(
        current=context.assignment, own_owner=own, candidates=context.candidates
    )


@behave.when("{own:w} plans a load shift")
def plan_shift(context: runner.Context, own: str) -> None:
    context.transfers = load_shifts.plan_shift(
        current=context.assignment,
        own_owner=own,
        rates=context.rates,
        candidates=context.candidates,
    )


@behave.given("6 servers of 80 requests per second, one of 40")
def make_servers(context: runner.Context) -> None:
    context.capacities = {f"s{n}": 80.0 for n in range(5)}
    context.capacities["slow"] = 40.0
    plan_initial(context, 6)
    transfers = [
        assignment.Transfer(first=item.first, last=item.last, owner="slow")
        for item in context.assignment.list_owned("s5")
    ]
    context.assignment = context.assignment.apply(transfers)


@behave.given("{count:d} servers of {capacity:d} requests per second")
def make_equal_servers(
    context: runner.Context, count: int, capacity: int
) -> None:
    context.capacities = {f"s{n}": float(capacity) for n in range(count)}
    plan_initial(context, count)


@behave.given(
    "{total:d} requests per second, {share:d} per cent of them for 200"
    " adjacent keys"
)
def make_hot_spot(context: runner.Context, total: int, share: int) -> None:
    source = random.Random(3)
    hot = total * share / 100
    context.rates = {}
    for key in range(_HOT_FIRST, _HOT_FIRST + 200):
        context.rates[key] = hot / 200
    for _ in range(3_000):
        key = source.randrange(assignment.KEY_COUNT)
        rate = (total - hot) / 3_000
        context.rates[key] = context.rates.get(key, 0.0) + rate


def _find_loads(context: runner.Context) -> dict[str, float]:
    loads = dict.fromkeys(context.capacities, 0.0)
    for key, rate in context.rates.items():
        owner = context.assignment.find(key).owner
        loads[owner] += rate / context.capacities[owner]
    return loads


@behave.when(
    "the capacity of {owner:w} becomes {capacity:g} requests per second"
)
def set_capacity(context: runner.Context, owner: str, capacity: float) -> None:
    context.capacities[owner] = capacity


@behave.when("all servers plan {count:d} rounds")
def plan_rounds(context: runner.Context, count: int) -> None:
    context.moved = []
    for _ in range(count):
        loads = _find_loads(context)
        candidates = [
            planning.Candidate(
                owner=owner,
                load=loads[owner],
                capacity_per_s=context.capacities[owner],
            )
            for owner in loads
        ]
        rates: dict[str, dict[int, float]] = {owner: {} for owner in loads}
        for key, rate in context.rates.items():
            rates[context.assignment.find(key).owner][key] = rate
        transfers = []
        for own in loads:
            transfers += load_shifts.plan_shift(
                current=context.assignment,
                own_owner=own,
                rates=rates[own],
                candidates=candidates,
            )
        context.assignment = context.assignment.apply(transfers)
        context.moved.append(sum(g.last - g.first + 1 for g in transfers))


@behave.when("hot spots wander over the keys for {count:d} rounds")
def wander(context: runner.Context, count: int) -> None:
    source = random.Random(4)
    for _ in range(count):
        first = source.randrange(assignment.KEY_COUNT - 400)
        context.rates = {
            source.randrange(assignment.KEY_COUNT): 0.3 for _ in range(1_500)
        }
        for key in range(first, first + 400):
            context.rates[key] = 1.2
        plan_rounds(context, 1)


@behave.then(
    "the assignment takes less than {most:d} bytes with a token for each range"
)
def check_size(context: runner.Context, most: int) -> None:
    ranges = tuple(
        dataclasses.replace(item, handover="0123456789abcdef")
        for item in context.assignment.ranges
    )
    found = assignment.Assignment(fence=context.assignment.fence, ranges=ranges)
    assert len(found.encode()) < most, (len(ranges), len(found.encode()))


@behave.then("no server has more ranges than a reply to a heartbeat holds")
def check_range_counts(context: runner.Context) -> None:
    counts = collections.Counter(
        item.owner for item in context.assignment.ranges
    )
    assert max(counts.values()) <= holdings.MAX_GRANTED_RANGES, counts


@behave.then("no server's load is above {bound:g}")
def check_loads(context: runner.Context, bound: float) -> None:
    loads = _find_loads(context)
    assert max(loads.values()) <= bound, loads


@behave.then("at most {share:d} per cent of the keys moved in a round")
def check_moved(context: runner.Context, share: int) -> None:
    bound = assignment.KEY_COUNT * share / 100
    assert max(context.moved) <= bound, context.moved


@behave.then(
    "all keys have an owner, and key counts differ from the mean by at most"
    " 2 per cent"
)
def check_even(context: runner.Context) -> None:
    counts = context.assignment.count_keys()
    assert assignment.NO_OWNER not in counts
    mean = assignment.KEY_COUNT / len(counts)
    assert all(abs(n - mean) <= mean * 0.02 for n in counts.values()), counts


@behave.then("{span:d} adjacent keys have at least {count:d} owners")
def check_mixed(context: runner.Context, span: int, count: int) -> None:
    for first in range(0, assignment.KEY_COUNT - span, 500):
        found = context.assignment.list_overlapping(first, first + span - 1)
        assert len({item.owner for item in found}) >= count, first


@behave.when("all but one server fail, one after the other")
def lose_all_but_one(context: runner.Context) -> None:
    left = sorted(context.assignment.count_keys())
    while len(left) > 1:
        lost = left.pop()
        transfers = planning.plan_redistribution(
            current=context.assignment,
            ranges=context.assignment.list_owned(lost),
            candidates=[planning.Candidate(owner=name) for name in left],
        )
        context.assignment = context.assignment.apply(transfers)
    context.left = left[0]


@behave.then("its ranges fit into the reply to a heartbeat")
def check_fits(context: runner.Context) -> None:
    owned = context.assignment.list_owned(context.left)
    assert len(owned) <= holdings.MAX_GRANTED_RANGES, len(owned)
    assert sum(item.key_count for item in owned) == assignment.KEY_COUNT


@behave.then('the transfers are "{text}"')
def check_transfers(context: runner.Context, text: str) -> None:
    expected = sorted(keyspace_assignment.read_transfers(text), key=_get_first)
    assert (
        sorted(context.transfers, key=_get_first) == expected
    ), context.transfers


@behave.then('the transfers are ""')
def check_no_transfers(context: runner.Context) -> None:
    assert not context.transfers, context.transfers


@behave.then("it transfers {count:d} ranges to {target:w}")
def check_new_server(context: runner.Context, count: int, target: str) -> None:
    assert len(context.transfers) == count, context.transfers
    assert all(transfer.owner == target for transfer in context.transfers)


@behave.then("each of {names} gets between {low:d} and {high:d} keys")
def check_each(
    context: runner.Context, names: str, low: int, high: int
) -> None:
    for name in names.replace(" and ", ", ").split(", "):
        count = sum(
            transfer.last - transfer.first + 1
            for transfer in context.transfers
            if transfer.owner == name
        )
        assert low <= count <= high, (name, count)


@behave.then("a keeps at least {least:d} keys")
def check_kept(context: runner.Context, least: int) -> None:
    given = sum(
        transfer.last - transfer.first + 1 for transfer in context.transfers
    )
    assert assignment.KEY_COUNT - given >= least, given


def _get_first(transfer: assignment.Transfer) -> int:
    return transfer.first
