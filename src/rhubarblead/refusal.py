"""Reasons why the system refuses a request."""

import dataclasses
import enum
import http


class Refusal(enum.Enum):
    """Why a request got no response from an upstream.

    Each value is sent to the caller in the `Rhubarb-Refusal` header.
    """

    NO_ROUTE = "no-route"
    MALFORMED = "malformed"
    MISSING_KEY = "missing-key"
    MISSING_IDEMPOTENCY_KEY = "missing-idempotency-key"
    TOO_LARGE = "too-large"
    POOL_DOWN = "pool-down"
    NO_OWNER = "no-owner"
    NOT_OWNER = "not-owner"
    OVERLOADED = "overloaded"
    SHED = "shed"
    DRAINING = "draining"
    FENCED = "fenced"
    DEADLINE = "deadline"
    IN_PROGRESS = "in-progress"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    MEMORY_LOST = "memory-lost"
    KEY_REUSED = "idempotency-key-reused"
    POISON = "poison"
    UPSTREAM_FAILED = "upstream-failed"
    ANSWER_TOO_LARGE = "answer-too-large"
    ANSWER_BROKEN = "answer-broken"
    PEER_LOST = "peer-lost"
    CANCELLED = "cancelled"
    INTERNAL = "internal-error"


_STATUS = {
    Refusal.NO_ROUTE: http.HTTPStatus.NOT_FOUND,
    Refusal.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    Refusal.MISSING_KEY: http.HTTPStatus.BAD_REQUEST,
    Refusal.MISSING_IDEMPOTENCY_KEY: http.HTTPStatus.BAD_REQUEST,
    Refusal.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Refusal.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
    Refusal.IN_PROGRESS: http.HTTPStatus.CONFLICT,
    Refusal.MEMORY_LOST: http.HTTPStatus.CONFLICT,
    Refusal.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Refusal.POISON: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Refusal.UPSTREAM_FAILED: http.HTTPStatus.BAD_GATEWAY,
    Refusal.ANSWER_TOO_LARGE: http.HTTPStatus.BAD_GATEWAY,
    Refusal.ANSWER_BROKEN: http.HTTPStatus.BAD_GATEWAY,
    Refusal.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
    Refusal.PEER_LOST: http.HTTPStatus.BAD_GATEWAY,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A refusal with details for the caller.

    `retry_after_ms` is 0 if a retry is not useful.
    """

    refusal: Refusal
    explanation: str
    retry_after_ms: int = 0


def find_status(refusal: Refusal) -> http.HTTPStatus:
    """Returns the HTTP status for a refusal."""
    return _STATUS.get(refusal, http.HTTPStatus.SERVICE_UNAVAILABLE)
