"""Steps for the decisions and the routes of the routing client."""

import random

import behave
from behave import runner

from rhubarblead import status
from rhubarblead import verdict
from rhubarblead.client import decision
from rhubarblead.client import routes

_JITTER = 0.5


def _read_attempt(text: str) -> decision.AttemptResult:
    match text:
        case "a response":
            return decision.Responded()
        case "no response before sending":
            return decision.NoResponse(has_sent=False)
        case "no response after sending":
            return decision.NoResponse(has_sent=True)
    name, verdict_value, delay_ms = text.split("/")
    return decision.Refused(
        refusal=name,
        verdict=verdict.Verdict(verdict_value),
        retry_after_ms=int(delay_ms),
    )


@behave.when(
    "the routing client evaluates {attempt} of a {kind} request on attempt"
    " {attempt_count:d} with {remaining_ms:d} ms remaining"
)
def evaluate(
    context: runner.Context,
    attempt: str,
    kind: str,
    attempt_count: int,
    remaining_ms: int,
) -> None:
    context.decision = decision.decide(
        _read_attempt(attempt),
        is_repeatable=kind == "repeatable",
        attempt_count=attempt_count,
        remaining_ms=remaining_ms,
        jitter=_JITTER,
    )


@behave.then("the routing client gives up")
def check_give_up(context: runner.Context) -> None:
    assert context.decision == decision.GiveUp(), context.decision


@behave.then("the routing client retries after {delay_ms:d} ms")
def check_retry(context: runner.Context, delay_ms: int) -> None:
    expected = decision.Retry(delay_ms=delay_ms)
    assert context.decision == expected, context.decision


def _make_map(revision: int, nodes: str, shards: int = 4) -> status.ShardMap:
    names = tuple(nodes.split())
    return status.ShardMap(
        pool="p",
        revision=revision,
        shard_count=shards,
        nodes=names,
        owners=tuple(shard % len(names) for shard in range(shards)),
    )


@behave.given(
    "a routing client's map of revision {revision:d} with {shards:d} shards"
    ' over "{nodes}"'
)
def given_map(
    context: runner.Context, revision: int, shards: int, nodes: str
) -> None:
    context.routes = routes.KeyRoutes(
        nodes=tuple(nodes.split()), random_source=random.Random(1)
    )
    context.map = _make_map(revision, nodes, shards)
    context.routes.replace_map(context.map)


@behave.when('the routing client learns that "{node}" owns key "{key}"')
def learn(context: runner.Context, key: str, node: str) -> None:
    context.routes.record_owner(key, node)


@behave.when(
    "the routing client gets a map of revision {revision:d} with owners over"
    ' "{nodes}"'
)
def get_map(context: runner.Context, revision: int, nodes: str) -> None:
    context.routes.replace_map(_make_map(revision, nodes))


@behave.when('the routing client avoids "{node}" until {until_ms:d} ms')
def avoid(context: runner.Context, node: str, until_ms: int) -> None:
    context.routes.avoid(node, until_ms)


@behave.when('the routing client\'s map splits key "{key}" to "{node}"')
def split(context: runner.Context, key: str, node: str) -> None:
    index = context.map.nodes.index(node)
    context.routes.replace_map(
        status.ShardMap(
            pool="p",
            revision=context.map.revision + 1,
            shard_count=context.map.shard_count,
            nodes=context.map.nodes,
            owners=(*context.map.owners, index),
            splits={key: len(context.map.owners)},
        )
    )


@behave.when("the routing client's map has no owners")
def remove_owners(context: runner.Context) -> None:
    context.routes.replace_map(
        status.ShardMap(
            pool="p",
            revision=context.map.revision + 1,
            shard_count=context.map.shard_count,
            nodes=context.map.nodes,
            owners=(-1,) * context.map.shard_count,
        )
    )


@behave.then('the routing client sends key "{key}" to "{node}"')
def check_node(context: runner.Context, key: str, node: str) -> None:
    found = {context.routes.choose(key, 0) for _ in range(20)}
    assert found == {node}, found


@behave.then(
    'at {now_ms:d} ms the routing client sends key "{key}" to one of "{nodes}"'
)
def check_nodes(
    context: runner.Context, now_ms: int, key: str, nodes: str
) -> None:
    found = {context.routes.choose(key, now_ms) for _ in range(50)}
    assert found == set(nodes.split()), found
