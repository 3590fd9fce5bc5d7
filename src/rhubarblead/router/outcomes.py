"""Makes the outcomes that a node reports of the requests for its server."""

from rhubarblead.platform import headers
from rhubarblead.router import http_client
from rhubarblead.router import wire


def make_refusal(
    work: wire.Work, reason: wire.Reason, wait_ms: int = 0
) -> wire.Outcome:
    """Makes the outcome of a request that hasn't run, and never will.

    Args:
        work: The request.
        reason: Why it hasn't run.
        wait_ms: When there may be room for it.
    """
    return wire.Outcome(
        number=work.number,
        verdict=wire.Verdict.NOT_RUN,
        reason=reason,
        wait_ms=wait_ms,
    )


def make_doubtful(
    work: wire.Work, reason: wire.Reason = wire.Reason.BROKEN
) -> wire.Outcome:
    """Makes the outcome of a request that was sent and may have run."""
    return wire.Outcome(
        number=work.number,
        verdict=wire.Verdict.MAY_HAVE_RUN,
        reason=reason,
        has_arrived=True,
    )


def make_server_refusal(
    work: wire.Work, response: http_client.Response
) -> wire.Outcome:
    """Makes the outcome of a request that the server itself refused."""
    reason = wire.Reason.SHED
    if response.status == 421:
        reason = wire.Reason.NOT_OWNER
    outcome = make_refusal(work, reason)
    outcome.has_arrived = True
    return outcome


def make_success(
    work: wire.Work, response: http_client.Response
) -> wire.Outcome:
    """Makes the outcome of a request that the server has answered."""
    return wire.Outcome(
        number=work.number,
        verdict=wire.Verdict.RAN,
        has_arrived=True,
        status=response.status,
        phrase=response.reason,
        head=headers.encode_response(response.fields),
        body=response.body,
    )


def match_response(
    fields: list[tuple[bytes, bytes]], expected_id: bytes
) -> http_client.Match:
    """Tells by the echoed id whether a response belongs to a request."""
    found_id = dict(fields).get(headers.REQUEST_ID)
    if found_id is None:
        return http_client.Match.UNKNOWN
    if found_id == expected_id:
        return http_client.Match.EXPECTED
    return http_client.Match.FOREIGN


def is_refused(
    response: http_client.Response, head: headers.ResponseHead
) -> bool:
    """Returns whether the server states that the request hasn't run."""
    return head.is_not_run or response.status == 421


def find_defect(
    response: http_client.Response, head: headers.ResponseHead
) -> str:
    """Returns why a response can't be forwarded, empty if it can."""
    if not head.request_id:
        return "no request id"
    if not head.has_signature:
        return "no signature"
    if head.is_encoded:
        return "encoded body"
    if response.status in (408, 429, 503):
        # Callers take the status to mean that the request hasn't run.
        return f"status {response.status} without not-executed field"
    return ""
