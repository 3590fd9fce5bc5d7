"""Requests of callers and their outcomes."""

import dataclasses
from typing import TypeAlias

from rhubarblead import verdict

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request for the owner of a key.

    The path and headers must contain the key where the route expects it; `key`
    only selects the node. A request that is not `is_repeatable` runs at most
    once; if it has no `idempotency_key`, the client generates one.
    `timeout_ms` limits all attempts together.
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
    """The response of an upstream.

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
    """Why there is no response, and whether the request may have run.

    `refusal` is empty if no node responded. The caller may retry with the same
    `idempotency_key` after `retry_after_ms`, unless that is 0.
    """

    verdict: verdict.Verdict
    refusal: str
    explanation: str
    retry_after_ms: int
    idempotency_key: str
    attempt_count: int
