"""Decides whether and when to retry a request."""

import dataclasses
from typing import TypeAlias

from rhubarblead import refusal
from rhubarblead import verdict

MAX_ATTEMPTS = 8
BACKOFF_MS = 25
MAX_BACKOFF_MS = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Responded:
    """An upstream responded."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A node refused the request.

    `retry_after_ms` is 0 if the node gave no delay.
    """

    refusal: str
    verdict: verdict.Verdict
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoResponse:
    """No response; with `has_sent`, the request may have arrived."""

    has_sent: bool


AttemptResult: TypeAlias = Responded | Refused | NoResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """The request is not retried; the caller gets the outcome."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """The request is retried after `delay_ms`."""

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
    """Decides whether to retry a request after an attempt.

    Args:
        attempt: The result of the attempt.
        is_repeatable: Whether the request may run more than once.
        attempt_count: Attempts so far, including this one.
        remaining_ms: Time until the deadline of the request.
        jitter: A random number between 0 and 1.

    Returns:
        The decision; a request that may have run and is not repeatable is
        never retried.
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
    """Whether a node refused only because another node owns the key."""
    match attempt:
        case Refused(refusal=refusal.Refusal.NOT_OWNER.value):
            return True
    return False


def find_verdict(attempt: AttemptResult) -> verdict.Verdict:
    """Returns whether one attempt ran, or may have run, the request."""
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
