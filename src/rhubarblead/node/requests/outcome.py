"""The outcome of a request, as returned to its caller."""

import dataclasses
import http

import msgspec

from rhubarblead import decoding
from rhubarblead import messages
from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.transport import exchange


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """A response of the upstream, or a refusal.

    `server` is the instance that responded and `owner` the `ip:port` at which
    the owner's node serves callers; both are empty if unknown. `is_suspect`
    says that the server crashed while running the request. `in_flight_count`
    and `slots_count` are the load of a server that responded.
    """

    verdict: verdicts.Verdict
    status: int
    reason: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    refusal: refusals.Refusal | None = None
    retry_after_ms: int = 0
    server: str = ""
    owner: str = ""
    ownership_revision: int = 0
    is_suspect: bool = False
    in_flight_count: int = 0
    slots_count: int = 0


class _RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    refusal: str
    verdict: str
    explanation: str


def refuse(
    refused: refusals.Refused,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    *,
    owner: str = "",
    ownership_revision: int = 0,
) -> Outcome:
    """Builds the outcome of a refused request.

    Args:
        refused: The reason, and when to retry.
        verdict: Whether the request may have run.
        owner: The owner's member ID, if another node owns the key.
        ownership_revision: The revision by which the owner was found.

    Returns:
        The outcome, with a JSON body.
    """
    status = refusals.find_status(refused.refusal)
    body = _RefusalBody(
        refusal=refused.refusal.value,
        verdict=verdict.value,
        explanation=refused.explanation,
    )
    return Outcome(
        verdict=verdict,
        status=status.value,
        reason=status.phrase,
        headers=(("Content-Type", "application/json"),),
        body=msgspec.json.encode(body),
        refusal=refused.refusal,
        retry_after_ms=refused.retry_after_ms,
        owner=owner,
        ownership_revision=ownership_revision,
    )


def replace_verdict(outcome: Outcome, verdict: verdicts.Verdict) -> Outcome:
    """Copies an outcome with the combined verdict of all attempts.

    Args:
        outcome: The outcome of the last attempt.
        verdict: The combined verdict of all attempts.

    Returns:
        The outcome. The body of a refusal has the new verdict, too.
    """
    if verdict is outcome.verdict:
        return outcome
    body = outcome.body
    if outcome.refusal is not None:
        refusal_body = decoding.decode_json(body, _RefusalBody)
        body = msgspec.json.encode(
            msgspec.structs.replace(refusal_body, verdict=verdict.value)
        )
    return dataclasses.replace(outcome, verdict=verdict, body=body)


def find_reason_phrase(status: int) -> str:
    """Finds the standard reason phrase of an HTTP status; empty if unknown."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ""


def encode_reply(
    call_id: str, outcome: Outcome, *, lamport: int = 0
) -> exchange.Reply:
    """Encodes an outcome as the reply to the node that forwarded the request.

    Args:
        call_id: The ID of the call to reply to.
        outcome: The outcome of the request.
        lamport: This node's Lamport time.

    Returns:
        The reply.
    """
    message = messages.Response(
        call_id=call_id,
        verdict=outcome.verdict,
        status=outcome.status,
        reason=outcome.reason,
        headers=outcome.headers,
        refusal=outcome.refusal.value if outcome.refusal else "",
        retry_after_ms=outcome.retry_after_ms,
        owner=outcome.owner,
        ownership_revision=outcome.ownership_revision,
        server=outcome.server,
        is_suspect=outcome.is_suspect,
        in_flight_count=outcome.in_flight_count,
        slots_count=outcome.slots_count,
        lamport=lamport,
        body_size=len(outcome.body),
        body_digest=exchange.digest_body(outcome.body),
    )
    return exchange.Reply(message=message, body=outcome.body)


def decode_reply(response: messages.Response, body: bytes) -> Outcome:
    """Decodes the outcome from a peer's reply."""
    return Outcome(
        verdict=response.verdict,
        status=response.status,
        reason=response.reason,
        headers=response.headers,
        body=body,
        refusal=refusals.Refusal(response.refusal)
        if response.refusal
        else None,
        retry_after_ms=response.retry_after_ms,
        server=response.server,
        owner=response.owner,
        ownership_revision=response.ownership_revision,
        is_suspect=response.is_suspect,
        in_flight_count=response.in_flight_count,
        slots_count=response.slots_count,
    )
