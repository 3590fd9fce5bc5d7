"""Steps for the allowance of retries."""

import behave
from behave import runner

from rhubarblead.requests import allowance


@behave.given(
    "a retry allowance of {ratio:g} for each request and {extra:d} besides,"
    " in {window:d} ms"
)
def make(
    context: runner.Context, ratio: float, extra: int, window: int
) -> None:
    context.now_ms = 1_000
    context.allowance = allowance.RetryAllowance(
        ratio=ratio, window_ms=window, extra_count=extra
    )


@behave.when(
    "{requests:d} requests come and {tries:d} retries are asked for, among"
    " {nodes:d} nodes"
)
def ask(context: runner.Context, requests: int, tries: int, nodes: int) -> None:
    for _ in range(requests):
        context.allowance.record_request("s", context.now_ms)
    context.granted = sum(
        context.allowance.take_retry("s", context.now_ms, nodes)
        for _ in range(tries)
    )


@behave.when("{passed:d} ms go by")
def pass_by(context: runner.Context, passed: int) -> None:
    context.now_ms += passed


@behave.then("{count:d} retries are granted")
def check(context: runner.Context, count: int) -> None:
    assert context.granted == count, context.granted
