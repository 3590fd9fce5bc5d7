"""Steps for the short promises of a granter."""

import random

import behave
from behave import runner

from rhubarblead.keyspace import promises

_TERM = promises.Term(node_id="n", incarnation="i", number=1)


def _exchange(
    holder: promises.Holder,
    granter: promises.Granter,
    *,
    sent_at_ms: int,
    received_at_ms: int,
) -> int | None:
    """Delivers a heartbeat; returns its sequence number if promised."""
    sequence, is_bound = holder.make_heartbeat(sent_at_ms)
    is_promised = granter.handle_heartbeat(
        _TERM, row_revision=5, is_bound=is_bound, now_ms=received_at_ms
    )
    return sequence if is_promised else None


@behave.given("a node with a granter and a lease of {lease:d} ms")
def make(context: runner.Context, lease: int) -> None:
    context.now_ms = 1_000
    context.lease_ends_ms = context.now_ms + lease
    context.holder = promises.Holder()
    context.holder.begin_term("g#1", 1, context.now_ms)
    context.granter = promises.Granter()


@behave.when('the promise events are "{events}"')
def run_events(context: runner.Context, events: str) -> None:
    holder, granter = context.holder, context.granter
    for word in events.split():
        match word:
            case "h" | "l":
                sequence = _exchange(
                    holder,
                    granter,
                    sent_at_ms=context.now_ms,
                    received_at_ms=context.now_ms,
                )
                if word == "h" and sequence is not None:
                    holder.record_promise(1, sequence)
            case "x":
                holder.make_heartbeat(context.now_ms)
            case "u":
                holder.request_release()
                if granter.release(_TERM):
                    holder.record_release(1)
            case "k":
                context.granter = granter = promises.Granter()
            case "t":
                assert granter.list_lapsed(context.now_ms)
            case _:
                context.now_ms += int(word)


@behave.when('the promise events are ""')
def run_no_events(context: runner.Context) -> None:
    del context


@behave.then("the node's effective lease lasts {expected:d} ms")
def check_effective_lease(context: runner.Context, expected: int) -> None:
    lease_ms = max(0, context.lease_ends_ms - context.now_ms)
    if expected == 13_000:
        expected = lease_ms
    found = context.holder.find_effective_lease_ms(lease_ms, context.now_ms)
    assert found == expected, found


@behave.then("the granter takes nothing")
def check_not_taken(context: runner.Context) -> None:
    assert not context.granter.list_lapsed(context.now_ms)


@behave.then("the granter takes the keys")
def check_taken(context: runner.Context) -> None:
    assert context.granter.list_lapsed(context.now_ms) == [("n", 5)]


@behave.then("the node keeps its granter")
def check_kept(context: runner.Context) -> None:
    assert not context.holder.needs_new_granter(context.now_ms)


@behave.then("the node needs another granter")
def check_needed(context: runner.Context) -> None:
    assert context.holder.needs_new_granter(context.now_ms)


@behave.then(
    "in {count:d} random runs with seed {seed:d} no granter took over early"
)
def check_random_runs(context: runner.Context, count: int, seed: int) -> None:
    """Draws delays, losses and the rate of the granter's clock."""
    del context
    source = random.Random(seed)
    for _ in range(count):
        _check_random_run(source)


def _check_random_run(source: random.Random) -> None:
    rate = 1 + promises.DRIFT_PER_MILLE / 1_000 * source.uniform(-0.5, 0.5)
    holder = promises.Holder()
    holder.begin_term("g#1", 1, 0)
    granter = promises.Granter()
    replies: list[tuple[int, int]] = []
    now_ms = 0
    arrived_ms = 0
    for _ in range(source.randrange(2, 40)):
        now_ms += source.choice([50, 400, 400, 400, 1_500, 4_000])
        for at_ms, sequence in [r for r in replies if r[0] <= now_ms]:
            holder.record_promise(1, sequence)
            replies.remove((at_ms, sequence))
        received_ms = max(
            arrived_ms, now_ms + source.choice([1, 5, 300, 2_500])
        )
        _check_exclusive(holder, granter, now_ms, rate)
        if source.random() < 0.2:
            holder.make_heartbeat(now_ms)
            continue
        arrived_ms = received_ms
        sequence = _exchange(
            holder,
            granter,
            sent_at_ms=now_ms,
            received_at_ms=int(received_ms * rate),
        )
        if sequence is not None and source.random() > 0.2:
            answered_ms = received_ms + source.choice([1, 5, 300, 2_500])
            replies.append((answered_ms, sequence))


def _check_exclusive(
    holder: promises.Holder,
    granter: promises.Granter,
    now_ms: int,
    rate: float,
) -> None:
    if granter.list_lapsed(int(now_ms * rate)):
        assert holder.find_effective_lease_ms(60_000, now_ms) == 0
