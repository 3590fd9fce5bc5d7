"""Steps for the estimate of nested calls."""

import behave
from behave import runner

from rhubarblead.requests import nested_calls


@behave.given("{runs:d} runs at a server, with {calls:d} calls to s each")
def record_runs(context: runner.Context, runs: int, calls: int) -> None:
    if not hasattr(context, "nested_calls"):
        context.nested_calls = nested_calls.NestedCalls()
    for _ in range(runs):
        context.nested_calls.record_run()
        for _ in range(calls):
            context.nested_calls.record_call("s")


@behave.then("a run makes {estimate:w} calls to s")
def check_estimate(context: runner.Context, estimate: str) -> None:
    found = context.nested_calls.find_per_run().get("s")
    assert found == (None if estimate == "no" else float(estimate)), found


@behave.then("a run makes fewer than {most:g} calls to s")
def check_below(context: runner.Context, most: float) -> None:
    found = context.nested_calls.find_per_run()["s"]
    assert found < most, found
