"""Steps for requests at the upstream beside the node."""

import contextlib
import time
import types
from typing import Any

import behave
from behave import runner
import result

from rhubarblead import clock
from rhubarblead import messages
from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.node.requests import execution
from rhubarblead.node.requests import local
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import work as works
from rhubarblead.upstream import client

_MEMBER_ID = "n1"
_POOL = "dispatch"
_EXPIRY = "Rhubarb-Expires-Ms"
_DEADLINE = "Rhubarb-Deadline-Ms"


class _SlowExecution:
    """Sends each request after a wait."""

    def __init__(self, wait_ms: int) -> None:
        self._wait_ms = wait_ms

    def run(self, work: works.Work, send: execution.Send) -> outcomes.Outcome:
        """Waits, then sends the request."""
        del work
        time.sleep(self._wait_ms / 1_000)
        sent = send()
        if isinstance(sent, result.Err):
            failure = sent.err_value
            return outcomes.refuse(
                refusals.Refused(
                    refusal=failure.refusal, explanation=failure.explanation
                ),
                failure.verdict,
            )
        return outcomes.Outcome(
            verdict=verdicts.Verdict.RAN, status=200, reason="OK"
        )


class _Client:
    """An upstream that records what it gets."""

    def __init__(self) -> None:
        self.requests: list[client.UpstreamRequest] = []

    def send(
        self, request: client.UpstreamRequest
    ) -> result.Result[client.UpstreamResponse, client.UpstreamFailure]:
        """Records a request, and answers it."""
        self.requests.append(request)
        return result.Ok(
            client.UpstreamResponse(
                status=200, reason="OK", headers=(), body=b""
            )
        )


def _make_view() -> types.SimpleNamespace:
    owned = types.SimpleNamespace(owners=[_MEMBER_ID], fences=[1])
    return types.SimpleNamespace(
        member_id=_MEMBER_ID,
        state=types.SimpleNamespace(assignments={_POOL: owned}, revision=1),
        tables=types.SimpleNamespace(find_pool=lambda pool: None),
    )


@behave.given("a node whose grants end {length:d} ms after they are made")
def make(context: runner.Context, length: int) -> None:
    context.length_ms = length
    context.client = _Client()
    context.probe = types.SimpleNamespace(
        read=lambda: types.SimpleNamespace(
            is_serving=True, client=context.client
        ),
        find_expiry_ms=lambda end_ms: end_ms,
        record_response=lambda: None,
    )
    context.shared_view = types.SimpleNamespace(
        read=_make_view,
        is_lease_held=lambda member_id: True,
        find_grant_end_ms=lambda member_id: clock.read_monotonic_ms() + length,
    )


@behave.when("a request with {left:d} ms left waits {wait:d} ms for a slot")
def execute(context: runner.Context, left: int, wait: int) -> None:
    stubs: dict[str, Any] = {
        "shared_view": context.shared_view,
        "shard_gate": types.SimpleNamespace(
            enter=lambda shard: contextlib.ExitStack()
        ),
        "upstream": context.probe,
        "request_ledger": None,
        "request_execution": _SlowExecution(wait),
        "shard_traffic": types.SimpleNamespace(count=lambda shard: None),
        "unresolved_runs": None,
        "background": None,
        "events": None,
    }
    context.wait_end_ms = clock.read_monotonic_ms() + wait
    context.outcome = local.LocalServer(**stubs).execute(
        works.Work(
            forward=messages.Forward(
                call_id="c",
                request_id="r",
                pool=_POOL,
                route="route",
                shard=0,
                key="k",
                method="GET",
                target="/",
                headers=(),
                idempotency_key="",
                is_protected=False,
                is_repeatable=True,
                remaining_ms=left,
                max_answer_bytes=1_000,
                ownership_revision=1,
                body_size=0,
                body_digest=0,
            ),
            body=b"",
            deadline_ms=clock.read_monotonic_ms() + left,
        )
    )


@behave.then("its grant was made after the wait")
def check_grant(context: runner.Context) -> None:
    sent = dict(context.client.requests[0].headers)
    assert int(sent[_EXPIRY]) >= context.wait_end_ms + context.length_ms, sent


@behave.then("the upstream was told of at most {most:d} ms")
def check_deadline(context: runner.Context, most: int) -> None:
    sent = dict(context.client.requests[0].headers)
    assert int(sent[_DEADLINE]) <= most, sent


@behave.then('it is not sent, and its verdict is "{verdict}"')
def check_unsent(context: runner.Context, verdict: str) -> None:
    assert not context.client.requests
    assert context.outcome.verdict.value == verdict
