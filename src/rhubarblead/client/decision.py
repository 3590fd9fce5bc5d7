"""Whether to send a request again, and when."""

import dataclasses
from typing import TypeAlias

from rhubarblead import refusal
from rhubarblead import verdict

MAX_ATTEMPTS = 8
BACKOFF_MS = 25
MAX_BACKOFF_MS = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Responded:
    """An upstream's answer came."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A node refused the request.

    `retry_after_ms` is 0 when the node named no time.
    """

    refusal: str
    verdict: verdict.Verdict
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoResponse:
    """No answer came; `has_sent` says whether the request may have arrived."""

    has_sent: bool


AttemptResult: TypeAlias = Responded | Refused | NoResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """The outcome goes to the caller as it is."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """The request is sent again after `delay_ms`."""

    delay_ms: int


Decision: TypeAlias = GiveUp | Retry


def decide(
    attempt: AttemptResult,
    *,
    is_repeatable: bool,
    attempt_count: int,
    remaining_ms: int,
    jitter: float,
) -> Decision:
    """Decides on a request after one try.

    Args:
        attempt: What became of the try.
        is_repeatable: Whether running twice does no harm.
        attempt_count: Tries so far, this one among them.
        remaining_ms: Time left for the request.
        jitter: A random number between 0 and 1.

    Returns:
        Whether to send again; never when the request may have run and is not
        repeatable.
    """
    if isinstance(attempt, Responded) or attempt_count >= MAX_ATTEMPTS:
        return GiveUp()
    if not (is_repeatable or find_verdict(attempt).is_safe_to_repeat):
        return GiveUp()
    delay_ms = _find_delay_ms(attempt, attempt_count, jitter)
    if delay_ms is None or delay_ms >= remaining_ms:
        return GiveUp()
    return Retry(delay_ms=delay_ms)


def is_redirect(attempt: AttemptResult) -> bool:
    """Tells whether a node only said that another one owns the key."""
    match attempt:
        case Refused(refusal=refusal.Refusal.NOT_OWNER.value):
            return True
    return False


def find_verdict(attempt: AttemptResult) -> verdict.Verdict:
    """Finds what one try says of the execution of the request."""
    match attempt:
        case Responded():
            return verdict.Verdict.RAN
        case Refused():
            return attempt.verdict
        case NoResponse(has_sent=True):
            return verdict.Verdict.MAY_HAVE_RUN
        case NoResponse():
            return verdict.Verdict.NOT_RUN


def _find_delay_ms(
    attempt: AttemptResult, attempt_count: int, jitter: float
) -> int | None:
    backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS << (attempt_count - 1))
    jittered_ms = int(backoff_ms * (0.5 + jitter / 2))
    match attempt:
        case Refused(retry_after_ms=requested_ms) if requested_ms:
            return requested_ms + int(jittered_ms * jitter)
        case Refused() if not is_redirect(attempt):
            return None
    return 0 if attempt_count == 1 else jittered_ms
