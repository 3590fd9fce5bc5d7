"""Steps for the cluster retry budget."""

import behave
from behave import runner

from rhubarblead.requests import cluster_retry_budget


@behave.given(
    "a cluster retry budget of {ratio:g} per request and {extra:d} extra"
    " retries per {window:d} ms"
)
def make(
    context: runner.Context, ratio: float, extra: int, window: int
) -> None:
    context.now_ms = 1_000
    context.cluster_retry_budget = cluster_retry_budget.ClusterRetryBudget(
        ratio=ratio, window_ms=window, extra_count=extra
    )


@behave.when(
    "{requests:d} requests arrive and {attempts:d} retries are attempted, with"
    " {nodes:d} nodes"
)
def attempt_retries(
    context: runner.Context, requests: int, attempts: int, nodes: int
) -> None:
    for _ in range(requests):
        context.cluster_retry_budget.record_request("s", context.now_ms)
    context.allowed = sum(
        context.cluster_retry_budget.take_retry("s", context.now_ms, nodes)
        for _ in range(attempts)
    )


@behave.when("{passed:d} ms elapse")
def advance_time(context: runner.Context, passed: int) -> None:
    context.now_ms += passed


@behave.then("{count:d} retries are allowed")
def check(context: runner.Context, count: int) -> None:
    assert context.allowed == count, context.allowed
