"""Steps for the request rates of keys and for keys handed over lately."""

import behave
from behave import runner

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import recent_shifts
from rhubarblead.keyspace import traffic

_STEP_MS = 100
_TOLERANCE = 1.5


def _parse_spans(text: str) -> list[tuple[int, int]]:
    pairs = [word.split("-") for word in text.split()]
    return [(int(first), int(last)) for first, last in pairs]


@behave.given('a server that owns keys "{spans}"')
def make_server(context: runner.Context, spans: str) -> None:
    context.now_ms = 100_000
    context.traffic = traffic.KeyTraffic()
    context.traffic.set_owned(_parse_spans(spans), context.now_ms)


@behave.when('the server owns keys "{spans}"')
def set_owned(context: runner.Context, spans: str) -> None:
    context.traffic.set_owned(_parse_spans(spans), context.now_ms)


@behave.when('for {length:d} ms keys "{keys}" get 10 requests per second each')
def request_keys(context: runner.Context, length: int, keys: str) -> None:
    for _ in range(length // _STEP_MS):
        context.now_ms += _STEP_MS
        for key in keys.split():
            context.traffic.add(int(key), context.now_ms)


@behave.then('the requests per second are "{rates}"')
def check_rates(context: runner.Context, rates: str) -> None:
    wanted = dict(word.split(":") for word in rates.split())
    found = context.traffic.find_rates(context.now_ms)
    assert {str(key) for key in found} == wanted.keys(), found
    for key, rate_per_s in found.items():
        assert abs(rate_per_s - float(wanted[str(key)])) < _TOLERANCE, found


@behave.given(
    "{rate:d} requests per second were handed over to {owner:w} at {at:d} ms"
)
def record_shift(
    context: runner.Context, rate: int, owner: str, at: int
) -> None:
    context.shifts = recent_shifts.RecentShifts()
    transfer = assignment.Transfer(first=0, last=99, owner=owner)
    context.shifts.record([transfer], {7: rate, 100: 9.0}, at)


@behave.when(
    "{owner:w} of {capacity:d} requests per second reports a load of"
    " {load:g} at {at:d} ms"
)
def report(
    context: runner.Context, owner: str, capacity: int, load: float, at: int
) -> None:
    context.report = (owner, capacity, load, at)


@behave.then("its load at {now:d} ms counts as {load:g}")
def check_load(context: runner.Context, now: int, load: float) -> None:
    owner, capacity, reported, at = context.report
    candidate = planning.Candidate(
        owner=owner,
        load=reported,
        capacity_per_s=capacity,
        report_age_ms=now - at,
    )
    (found,) = context.shifts.add_to([candidate], now)
    assert abs(found.load - load) < 0.01, found
