"""Steps for the cluster retry budget."""

import behave
from behave import runner

from rhubarblead.requests import cluster_retry_budget
from tests.rhubarblead.requests import retrying_nodes

_CALLED = "called"


@behave.given(
    "a cluster retry budget of {ratio:g} per request and {extra:d} extra"
    " retries per {window:d} ms"
)
def make(
    context: runner.Context, ratio: float, extra: int, window: int
) -> None:
    context.now_ms = 1_000
    context.limit = retrying_nodes.Limit(
        ratio=ratio, extra_count=extra, window_ms=window
    )
    context.cluster_retry_budget = context.limit.make_budget(
        context.now_ms - window
    )


@behave.given("its process has started just now")
def restart(context: runner.Context) -> None:
    context.cluster_retry_budget = context.limit.make_budget(context.now_ms)


@behave.when(
    "{requests:d} requests arrive and {attempts:d} retries are attempted, with"
    " {nodes:w} nodes"
)
def attempt_retries(
    context: runner.Context, requests: int, attempts: int, nodes: str
) -> None:
    attempt_retries_with_calls(context, requests, attempts, nodes, 0.0)


@behave.when(
    "{requests:d} requests arrive and {attempts:d} retries are attempted, with"
    " {nodes:w} nodes, each making {calls:g} calls"
)
def attempt_retries_with_calls(
    context: runner.Context,
    requests: int,
    attempts: int,
    nodes: str,
    calls: float,
) -> None:
    budget: cluster_retry_budget.ClusterRetryBudget = (
        context.cluster_retry_budget
    )
    for _ in range(requests):
        budget.record_request("s", context.now_ms)
    taken = [
        budget.take_retry(
            "s",
            context.now_ms,
            None if nodes == "unknown" else int(nodes),
            {_CALLED: calls} if calls else {},
        )
        for _ in range(attempts)
    ]
    context.retries = [retry for retry in taken if retry is not None]


@behave.when("the retries end")
def end_retries(context: runner.Context) -> None:
    for retry in context.retries:
        retry.ended_at_ms = context.now_ms


@behave.when("{passed:d} ms elapse")
def advance_time(context: runner.Context, passed: int) -> None:
    context.now_ms += passed


@behave.then("{count:d} retries are allowed")
def check(context: runner.Context, count: int) -> None:
    assert len(context.retries) == count, len(context.retries)


@behave.given(
    "{count:d} nodes that share {ratio:g} retries per request and {extra:d}"
    " extra retries per {window:d} ms"
)
def make_nodes(
    context: runner.Context, count: int, ratio: float, extra: int, window: int
) -> None:
    context.nodes = retrying_nodes.RetryingNodes(
        count=count,
        limit=retrying_nodes.Limit(
            ratio=ratio, extra_count=extra, window_ms=window
        ),
        seed=1,
    )


@behave.when(
    "they retry as often as they may for {seconds:d} s, while {trouble}"
)
def run_nodes(context: runner.Context, seconds: int, trouble: str) -> None:
    context.nodes.run(
        duration_ms=seconds * 1_000, trouble=retrying_nodes.TROUBLES[trouble]
    )


@behave.then("no window has more retries than the limit")
def check_windows(context: runner.Context) -> None:
    worst = context.nodes.find_worst()
    assert worst.retry_count <= worst.limit_count, worst
