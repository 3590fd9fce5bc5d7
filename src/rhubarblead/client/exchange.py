"""What a caller sends and what becomes of it."""

import dataclasses
from typing import TypeAlias

from rhubarblead import verdict

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request for the owner of a key.

    The path and headers must name the key the way that the route asks for;
    `key` only chooses the node. A request that is not `is_repeatable` runs at
    most once; without an `idempotency_key` it gets one. `timeout_ms` bounds
    all tries together.
    """

    method: str
    path: str
    key: str
    headers: Headers = ()
    body: bytes = b""
    is_repeatable: bool = False
    idempotency_key: str = ""
    timeout_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """An upstream's answer.

    `server` is the instance that ran the request.
    """

    status: int
    headers: Headers
    body: bytes
    server: str
    request_id: str
    attempt_count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Why there is no answer, and whether the request may have run.

    `refusal` is empty when no node answered. Sending again, with the same
    `idempotency_key`, makes sense after `retry_after_ms` unless that is 0.
    """

    verdict: verdict.Verdict
    refusal: str
    explanation: str
    retry_after_ms: int
    idempotency_key: str
    attempt_count: int
