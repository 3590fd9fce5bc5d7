"""Steps for outcomes of requests."""

import json

import behave
from behave import runner

from rhubarblead import refusal
from rhubarblead import verdict
from rhubarblead.node.requests import outcome
from rhubarblead.transport import exchange


@behave.given('an outcome with verdict "{last}" that is {kind}')
def given_outcome(context: runner.Context, last: str, kind: str) -> None:
    if kind == "a refusal":
        refused = refusal.Refused(
            refusal=refusal.Refusal.NO_OWNER, explanation="nobody"
        )
        context.outcome = outcome.refuse(refused, verdict.Verdict(last))
        return
    context.outcome = outcome.Outcome(
        verdict=verdict.Verdict(last), status=200, reason="OK", body=b"whole"
    )


@behave.when('the outcome gets the verdict "{name}" of all attempts')
def when_replaced(context: runner.Context, name: str) -> None:
    context.outcome = outcome.replace_verdict(
        context.outcome, verdict.Verdict(name)
    )


@behave.when("the outcome is encoded and decoded as a reply between nodes")
def when_encoded(context: runner.Context) -> None:
    reply = outcome.encode_reply("call", context.outcome)
    assert exchange.has_valid_body(reply.message, reply.body)
    context.outcome = outcome.decode_reply(reply.message, reply.body)


@behave.then('every verdict in the outcome is "{name}"')
def then_says(context: runner.Context, name: str) -> None:
    found = context.outcome
    assert found.verdict.value == name, found
    if found.refusal is not None:
        assert json.loads(found.body)["verdict"] == name, found.body
    else:
        assert found.body == b"whole"
