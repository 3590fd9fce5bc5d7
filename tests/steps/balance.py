"""Steps for load balancing among the servers of a pool."""

import random

import behave
from behave import runner

from rhubarblead.requests import balance
from tools import balancing

SLOTS = 10
COLD_START_MS = 1_000
SHED_RETRY_AFTER_MS = 100
CHOICE_COUNT = 50


@behave.given("a balancer over the servers a and b")
def make_balancer(context: runner.Context) -> None:
    context.balancer = balance.Balancer(random_source=random.Random(1))
    context.now_ms = 0


def finish(
    context: runner.Context,
    name: str,
    outcome: balance.Outcome,
    latency_ms: int = 0,
) -> None:
    context.balancer.begin(name, context.now_ms)
    context.balancer.finish(
        name,
        outcome=outcome,
        latency_ms=latency_ms,
        now_ms=context.now_ms,
        retry_after_ms=SHED_RETRY_AFTER_MS,
    )


@behave.when('the balancer receives "{events}"')
def receive_events(context: runner.Context, events: str) -> None:
    for event in events.split():
        receive_event(context, event)


def receive_event(context: runner.Context, event: str) -> None:
    if event.startswith("+"):
        context.now_ms += int(event)
        return
    name, kind, amount = event[0], event[1], event[2:]
    match kind:
        case ":":
            finish(context, name, balance.Outcome.ANSWERED, int(amount))
        case "?":
            context.balancer.begin(name, context.now_ms)
        case "#":
            finish(context, name, balance.Outcome.SHED)
        case "!":
            finish(context, name, balance.Outcome.FAILED)
        case "%":
            context.balancer.record_report(
                name,
                in_flight=int(amount),
                slots=SLOTS,
                now_ms=context.now_ms,
            )
        case _:
            context.balancer.record_start(
                name, cold_start_ms=COLD_START_MS, now_ms=context.now_ms
            )


@behave.then('the balancer\'s next choice is "{choice}"')
@behave.then('the balancer\'s next choice is ""')
def check_choice(context: runner.Context, choice: str = "") -> None:
    found = {
        context.balancer.choose(["a", "b"], context.now_ms) or ""
        for _ in range(CHOICE_COUNT)
    }
    if choice == "any":
        assert "" not in found
        return
    assert found == {choice}, found


@behave.then("the balancer's trust in a is {trust:f}")
def check_trust(context: runner.Context, trust: float) -> None:
    found = context.balancer.find_trust("a")
    assert found == trust, found


@behave.when(
    "the balancing benchmark runs with a slow server at {load:f} of the"
    " capacity"
)
def run_benchmark(context: runner.Context, load: float) -> None:
    context.summaries = {
        policy: balancing.Simulation(
            policy=policy, load=load, fault="slow", seed=1
        ).run(1_000)
        for policy in balancing.POLICIES
    }


@behave.then(
    "the balancer answers more requests in time than round-robin and random"
)
def check_benchmark(context: runner.Context) -> None:
    shares = {name: s["in_time"] for name, s in context.summaries.items()}
    balancer_share = shares.pop("balancer")
    assert all(balancer_share > share for share in shares.values()), shares
