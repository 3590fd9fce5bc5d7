"""Steps for the simulated detection of requests that crash servers."""

import behave
from behave import runner

from tools import poison_simulation

_CASES = {case.name: case for case in poison_simulation.CASES}
_PER_MILLE = 1_000


@behave.when(
    "traffic with {name} is simulated for {duration:d} s with {count:d} seeds"
)
def simulate(
    context: runner.Context, name: str, duration: int, count: int
) -> None:
    context.results = [
        poison_simulation.simulate(_CASES[name], seed, float(duration))
        for seed in range(count)
    ]


@behave.then("at most {count:d} servers were crashed by one request")
def check_crashes(context: runner.Context, count: int) -> None:
    found = [result.crashed_count for result in context.results]
    assert max(found) <= count, found


@behave.then(
    "fewer than {count:d} of 1000 requests for other targets were refused"
)
def check_refused(context: runner.Context, count: int) -> None:
    refused = sum(result.refused_other_count for result in context.results)
    served = sum(result.served_count for result in context.results)
    assert refused * _PER_MILLE < count * served, (refused, served)
