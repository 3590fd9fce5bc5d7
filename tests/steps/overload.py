"""Steps for the simulation of overload."""

from typing import Any

import behave
from behave import runner

from tools.overload import __main__ as command
from tools.overload import workload


def _simulate(name: str, *, is_baseline: bool = False) -> dict[str, Any]:
    result = command.simulate(workload.find(name), [1], is_baseline=is_baseline)
    classes: dict[str, Any] = result["classes"]
    return classes


@behave.when("the workload {name:S} is simulated with seed 1")
def simulate(context: runner.Context, name: str) -> None:
    context.name = name
    context.classes = _simulate(name)


@behave.when("it is simulated again as a baseline")
def simulate_baseline(context: runner.Context) -> None:
    context.baseline = _simulate(context.name, is_baseline=True)


@behave.then("at least {least:d} per cent of {name:S} are served in time")
def check_in_time(context: runner.Context, least: int, name: str) -> None:
    context.found = context.classes[name]
    assert 100 * context.found["in_time"] >= least, context.classes


@behave.then(
    "at most {most:d} per cent of them are refused after they have come back"
)
def check_refused_again(context: runner.Context, most: int) -> None:
    assert 100 * context.found["refused_again"] <= most, context.found


@behave.then("the baseline serves less of {name:S} in time")
def check_baseline(context: runner.Context, name: str) -> None:
    present = context.classes[name]["in_time"]
    assert context.baseline[name]["in_time"] < present, context.baseline


@behave.then("there is no workload named {name:w}")
def check_missing(context: runner.Context, name: str) -> None:
    del context
    try:
        workload.find(name)
    except workload.CannotFind:
        return
    raise AssertionError(name)
