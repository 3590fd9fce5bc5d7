"""Steps for callers that come back after a refusal."""

import behave
from behave import runner

from rhubarblead.requests import returns


@behave.given("request {name:w} was refused at {at:d} ms with {left:d} ms left")
def refuse(context: runner.Context, name: str, at: int, left: int) -> None:
    context.returning_callers = returns.ReturningCallers()
    context.returning_callers.record_refusal(
        ord(name), first_at_ms=at, deadline_at_ms=at + left
    )


@behave.when("{count:d} other requests are refused")
def refuse_others(context: runner.Context, count: int) -> None:
    for number in range(count):
        context.returning_callers.record_refusal(
            1_000 + number, first_at_ms=0, deadline_at_ms=1_000
        )


@behave.when("request {name:w} arrives at {at:d} ms")
def arrive(context: runner.Context, name: str, at: int) -> None:
    context.first_at_ms = context.returning_callers.claim(ord(name), at)


@behave.then("it is a return")
def check_return(context: runner.Context) -> None:
    assert context.first_at_ms == 0, context.first_at_ms


@behave.then("it is a new one")
def check_new(context: runner.Context) -> None:
    assert context.first_at_ms is None, context.first_at_ms
