"""Steps for requests that a silent upstream may still run."""

import contextlib

import behave
from behave import runner

from rhubarblead.node.requests import unresolved

_STEP_MS = 100


@behave.given(
    'an unresolved run at incarnation "{incarnation}" of an upstream that'
    " settles in {settle:d} ms"
)
def given_run(context: runner.Context, incarnation: str, settle: int) -> None:
    context.now_ms = 10_000
    context.settle_ms = settle
    context.is_released = False
    gate_entry = contextlib.ExitStack()
    gate_entry.callback(setattr, context, "is_released", True)
    context.unresolved = unresolved.UnresolvedRuns()
    context.unresolved.add(
        gate_entry=gate_entry, incarnation=incarnation, now_ms=context.now_ms
    )


@behave.when('the unresolved runs record "{events}"')
@behave.when('the unresolved runs record ""')
def when_sees(context: runner.Context, events: str = "") -> None:
    for event in events.split():
        context.now_ms += _STEP_MS
        name, _, incarnation = event.partition("-")
        incarnation = incarnation or "1"
        if name == "ended":
            context.unresolved.record_end(incarnation)
            continue
        context.unresolved.record_probe(
            incarnation=incarnation,
            is_healthy=name == "healthy",
            settle_ms=context.settle_ms,
            now_ms=context.now_ms,
        )


@behave.then("the unresolved run is {state}")
def then_is(context: runner.Context, state: str) -> None:
    assert context.is_released == (state == "released")
