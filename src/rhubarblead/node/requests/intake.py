"""Validates callers' requests and builds the messages that forward them."""

import dataclasses
import re
import secrets
import urllib.parse

import result

from rhubarblead import messages
from rhubarblead import refusal as refusals
from rhubarblead import tables as tables_lib
from rhubarblead.requests import idempotency

_REQUEST_ID_BYTES = 12
_KEY_BYTES_MAX = 512
_KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
_IDEMPOTENCY_HEADER = "Idempotency-Key"
_TIMEOUT_HEADER = "Rhubarb-Timeout-Ms"
_REPEATABLE_METHODS = frozenset({"GET", "HEAD"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request as received from a caller.

    `target` is the path with its query, as sent. `headers` excludes the
    hop-by-hop headers.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str:
        """Finds the value of a header; empty if the request lacks it."""
        wanted = name.lower()
        return next(
            (value for key, value in self.headers if key.lower() == wanted), ""
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """A valid request with everything that routing needs.

    `key` is empty for a balanced pool. `is_protected` says that the request
    runs at most once, `is_repeatable` that it may be sent again whatever the
    outcome of earlier attempts.
    """

    request: CallerRequest
    route: tables_lib.Route
    pool: tables_lib.Pool
    key: str
    idempotency_key: str
    is_protected: bool
    is_repeatable: bool
    timeout_ms: int

    def build_forward(
        self,
        *,
        shard: int,
        remaining_ms: int,
        ownership_revision: int,
        is_suspect: bool,
    ) -> messages.Forward:
        """Builds the message that carries the request to a node.

        Args:
            shard: The key's shard; -1 for a balanced pool.
            remaining_ms: The time until the caller's deadline.
            ownership_revision: The revision by which the node was chosen.
            is_suspect: Whether a server crashed while running the request.

        Returns:
            The message, without the digest of its body.
        """
        return messages.Forward(
            call_id=make_request_id(),
            request_id=self.request.request_id,
            pool=self.pool.name,
            route=self.route.name,
            shard=shard,
            key=self.key,
            method=self.request.method,
            target=self.request.target,
            headers=self.request.headers,
            idempotency_key=self.idempotency_key,
            is_protected=self.is_protected,
            is_repeatable=self.is_repeatable,
            remaining_ms=remaining_ms,
            max_answer_bytes=self.route.max_answer_bytes,
            ownership_revision=ownership_revision,
            body_size=len(self.request.body),
            body_digest=0,
            is_suspect=is_suspect,
        )


def make_request_id() -> str:
    """Makes a random ID for a request or a call."""
    return secrets.token_hex(_REQUEST_ID_BYTES)


def accept(
    request: CallerRequest, tables: tables_lib.Tables
) -> result.Result[Accepted, refusals.Refused]:
    """Checks a request against the tables in force.

    Args:
        request: The caller's request.
        tables: The tables in force.

    Returns:
        The request with its route, pool and key, or the reason for refusing
        it. A refused request has not run.
    """
    route = tables.find_route(request.path)
    pool = tables.find_pool(route.pool) if route else None
    if route is None or pool is None:
        return _refuse(
            refusals.Refusal.NO_ROUTE, f"no route covers {request.path}"
        )
    if len(request.body) > route.max_request_bytes:
        return _refuse(
            refusals.Refusal.TOO_LARGE,
            f"route {route.name} takes {route.max_request_bytes} bytes",
        )
    key = ""
    if pool.kind == "keyed" and route.key is not None:
        found = _find_key(request, route.key)
        if isinstance(found, result.Err):
            return found
        key = found.ok_value
    return _accept_method(request, route, pool, key)


def _accept_method(
    request: CallerRequest,
    route: tables_lib.Route,
    pool: tables_lib.Pool,
    key: str,
) -> result.Result[Accepted, refusals.Refused]:
    is_protected = request.method in route.unrepeatable_methods
    idempotency_key = request.find_header(_IDEMPOTENCY_HEADER)
    if is_protected:
        try:
            idempotency.read_issued_ms(idempotency_key)
        except idempotency.CannotReadKey as error:
            return _refuse(
                refusals.Refusal.MISSING_IDEMPOTENCY_KEY,
                f"{request.method} on route {route.name} needs an"
                f" Idempotency-Key that is a UUID of version 7: {error}",
            )
    timeout = _find_timeout_ms(request, route)
    if isinstance(timeout, result.Err):
        return timeout
    is_repeatable = not is_protected and request.method in _REPEATABLE_METHODS
    return result.Ok(
        Accepted(
            request=request,
            route=route,
            pool=pool,
            key=key,
            idempotency_key=idempotency_key,
            is_protected=is_protected,
            is_repeatable=is_repeatable,
            timeout_ms=timeout.ok_value,
        )
    )


def _find_timeout_ms(
    request: CallerRequest, route: tables_lib.Route
) -> result.Result[int, refusals.Refused]:
    text = request.find_header(_TIMEOUT_HEADER)
    if not text:
        return result.Ok(route.timeout_ms)
    if not text.isdecimal() or int(text) == 0:
        return _refuse(
            refusals.Refusal.MALFORMED,
            f"{_TIMEOUT_HEADER} must be a whole number above 0",
        )
    return result.Ok(min(int(text), route.timeout_ms))


def _find_key(
    request: CallerRequest, source: tables_lib.KeySource
) -> result.Result[str, refusals.Refused]:
    match source:
        case tables_lib.HeaderKey(name=name):
            key = request.find_header(name)
            place = f"header {name}"
        case tables_lib.PathKey(segment=segment):
            segments = request.path.split("/")[1:]
            key = segments[segment] if segment < len(segments) else ""
            place = f"segment {segment} of the path"
        case tables_lib.QueryKey(name=name):
            query = urllib.parse.urlsplit(request.target).query
            key = urllib.parse.parse_qs(query).get(name, [""])[0]
            place = f"query parameter {name}"
    if not key:
        return _refuse(refusals.Refusal.MISSING_KEY, f"no key in {place}")
    if len(key) > _KEY_BYTES_MAX or not _KEY_PATTERN.fullmatch(key):
        return _refuse(
            refusals.Refusal.MALFORMED,
            f"the key in {place} must be at most {_KEY_BYTES_MAX} visible"
            " ASCII characters",
        )
    return result.Ok(key)


def _refuse(
    refusal: refusals.Refusal, explanation: str
) -> result.Err[refusals.Refused]:
    return result.Err(
        refusals.Refused(refusal=refusal, explanation=explanation)
    )
