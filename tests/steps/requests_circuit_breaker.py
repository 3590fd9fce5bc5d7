"""Steps for keeping requests from a failing server."""

import behave
from behave import runner

from rhubarblead.requests import circuit_breaker

_RUN_MS = 20


@behave.given(
    'a server with the results "{results}", each of a request of its own'
)
def record_results(context: runner.Context, results: str) -> None:
    context.breaker = circuit_breaker.CircuitBreaker()
    context.now_ms = 1_000
    for word in results.split():
        sent_at_ms = context.now_ms
        context.now_ms += _RUN_MS
        if word == "ok":
            context.breaker.record_success()
        else:
            context.breaker.record_failure(sent_at_ms, context.now_ms)


@behave.given("a server at which {count:d} requests fail together")
def fail_together(context: runner.Context, count: int) -> None:
    context.breaker = circuit_breaker.CircuitBreaker()
    context.now_ms = 1_000
    for _ in range(count):
        context.breaker.record_failure(context.now_ms - _RUN_MS, context.now_ms)


@behave.when("{passed:d} ms pass for the breaker")
def pass_time(context: runner.Context, passed: int) -> None:
    context.now_ms += passed


@behave.then("a new request {may} be sent to it")
def check(context: runner.Context, may: str) -> None:
    is_allowed = context.breaker.try_acquire(context.now_ms, is_once=False)
    assert is_allowed == (may == "may")


@behave.then("a request that may not run twice {may} be sent to it")
def check_once(context: runner.Context, may: str) -> None:
    is_allowed = context.breaker.try_acquire(context.now_ms, is_once=True)
    assert is_allowed == (may == "may")
