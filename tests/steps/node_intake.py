"""Steps for the validation of callers' requests."""

import json
import urllib.parse

import behave
from behave import runner

from rhubarblead import tables
from rhubarblead.node.requests import intake

_TABLES = {
    "pools": [
        {
            "name": "dispatch",
            "kind": "keyed",
            "servers": ["dispatch-*"],
            "shard_count": 8,
        },
        {"name": "routing", "kind": "balanced", "servers": ["routing-*"]},
    ],
    "routes": [
        {
            "name": "dispatch",
            "prefix": "/dispatch",
            "pool": "dispatch",
            "key": {"source": "header", "name": "Key"},
            "unrepeatable_methods": ["POST"],
            "timeout_ms": 1500,
            "max_request_bytes": 100,
        },
        {"name": "maps", "prefix": "/maps", "pool": "routing"},
    ],
}


@behave.given("the intake tables of a keyed and a balanced pool")
def given_tables(context: runner.Context) -> None:
    context.tables = tables.read_tables(json.dumps(_TABLES))


@behave.when(
    'the intake gets "{method} {target}" with headers "{headers}" and'
    " {size:d} bytes"
)
@behave.when(
    'the intake gets "{method} {target}" with headers "" and {size:d} bytes'
)
def when_gets(
    context: runner.Context,
    method: str,
    target: str,
    size: int,
    headers: str = "",
) -> None:
    pairs = [pair.partition("=") for pair in headers.split(",") if pair]
    request = intake.CallerRequest(
        request_id="r",
        method=method,
        target=target,
        headers=tuple((n, urllib.parse.unquote(v)) for n, _, v in pairs),
        body=b"x" * size,
    )
    context.accepted = intake.accept(request, context.tables)


@behave.then('the intake refuses it as "{refusal}"')
def then_refused(context: runner.Context, refusal: str) -> None:
    assert context.accepted.err_value.refusal.value == refusal


@behave.then(
    'the intake accepts it for pool "{pool}" with key "{key}" and'
    " {timeout:d} ms, repeatable {repeatable}"
)
@behave.then(
    'the intake accepts it for pool "{pool}" with key "" and {timeout:d} ms,'
    " repeatable {repeatable}"
)
def then_accepted(
    context: runner.Context,
    pool: str,
    timeout: int,
    repeatable: str,
    key: str = "",
) -> None:
    found = context.accepted.ok_value
    assert (found.pool.name, found.key) == (pool, key), found
    assert found.timeout_ms == timeout, found
    assert str(found.is_repeatable) == repeatable, found
