"""HTTP client with which a node sends requests to its upstream."""

import contextlib
import dataclasses
import http.client
import time

import result

from rhubarblead import refusal
from rhubarblead import verdict
from rhubarblead.upstream import connections
from rhubarblead.upstream import headers
from rhubarblead.upstream import responses

CANCEL_TIMEOUT_MS = 250
CONTROL_PREFIX = "/-/"
MAX_PROBE_BYTES = 65_536

_NS_PER_MS = 1_000_000
_REFUSING_STATUSES = frozenset({409, 503})
_REFUSALS = {
    "shed": refusal.Refusal.SHED,
    "draining": refusal.Refusal.DRAINING,
    "fence": refusal.Refusal.FENCED,
    "expired": refusal.Refusal.FENCED,
    "deadline": refusal.Refusal.DEADLINE,
    "cancelled": refusal.Refusal.CANCELLED,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """A request to the upstream.

    `headers` are forwarded, except for hop-by-hop headers; the client adds the
    request id and the deadline. `Rhubarb-` headers from the caller must be
    removed before, as the upstream trusts them.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    timeout_ms: int
    is_repeatable: bool
    max_answer_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponse:
    """A complete response, with validated framing and request id.

    `rate_limit` is the limit that the upstream states on its requests per
    second, empty if it states none.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rate_limit: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailure:
    """Why there is no complete response, and whether the request may have run.

    `is_crash_suspected` is set if the upstream closed the connection while the
    request was running.
    """

    verdict: verdict.Verdict
    refusal: refusal.Refusal
    explanation: str
    is_crash_suspected: bool = False
    retry_after_ms: int = 0


class UpstreamClient:
    """Sends requests to one upstream. Thread-safe.

    An unrepeatable request always uses a new connection, as a pooled connection
    may turn out to be dead only after the request was sent.
    """

    def __init__(self, *, ip_address: str, port: int, connections: int) -> None:
        self._ip_address = ip_address
        self._port = port
        self._authority = f"{ip_address}:{port}"
        self._pool = _open_pool(ip_address, port, connections)

    def send(
        self, request: UpstreamRequest
    ) -> result.Result[UpstreamResponse, UpstreamFailure]:
        """Sends a request and reads its complete response.

        Args:
            request: The request; its timeout starts now.

        Returns:
            The response, or the failure with its verdict.
        """
        deadline_ns = time.monotonic_ns() + request.timeout_ms * _NS_PER_MS
        try:
            if not request.is_repeatable:
                return self._send_new(request, deadline_ns)
            pooled = self._pool.acquire()
            if pooled is None:
                return self._send_new(request, deadline_ns)
            return self._send_pooled(request, pooled, deadline_ns)
        except headers.CannotWrite as error:
            return result.Err(
                _fail_unsent(refusal.Refusal.MALFORMED, str(error))
            )

    def cancel(self, request_id: str) -> bool:
        """Tells the upstream that the caller of a request has disconnected.

        Args:
            request_id: The id of the request that was sent.

        Returns:
            Whether the upstream accepted the cancellation.
        """
        sent = self.send(
            UpstreamRequest(
                method="POST",
                target="/-/cancel",
                headers=(),
                body=b"",
                request_id=request_id,
                timeout_ms=CANCEL_TIMEOUT_MS,
                is_repeatable=False,
                max_answer_bytes=MAX_PROBE_BYTES,
            )
        )
        return sent.is_ok()

    def probe(
        self, path: str, timeout_ms: int
    ) -> result.Result[bytes, UpstreamFailure]:
        """Reads a report of the upstream over a new connection.

        Args:
            path: `/-/health` or `/-/load`.
            timeout_ms: Time limit in milliseconds.

        Returns:
            The body of the report, or the failure.
        """
        sent = self.send(
            UpstreamRequest(
                method="GET",
                target=path,
                headers=(),
                body=b"",
                request_id="",
                timeout_ms=timeout_ms,
                is_repeatable=False,
                max_answer_bytes=MAX_PROBE_BYTES,
            )
        )
        return sent.map(lambda response: response.body)

    def close_idle(self) -> None:
        """Closes the idle connections; the pool stays open."""
        self._pool.close_idle()

    def close(self) -> None:
        """Closes idle connections now, and the others after their response."""
        self._pool.close()

    def _send_new(
        self, request: UpstreamRequest, deadline_ns: int
    ) -> result.Result[UpstreamResponse, UpstreamFailure]:
        try:
            connection = self._pool.open(deadline_ns)
        except connections.CannotConnect as error:
            return result.Err(
                _fail_unsent(refusal.Refusal.UPSTREAM_FAILED, str(error))
            )
        except connections.NoConnectionLeft as error:
            return result.Err(
                _fail_unsent(refusal.Refusal.OVERLOADED, str(error))
            )
        return self._exchange(request, connection, deadline_ns, deadline_ns)

    def _send_pooled(
        self,
        request: UpstreamRequest,
        connection: connections.Connection,
        deadline_ns: int,
    ) -> result.Result[UpstreamResponse, UpstreamFailure]:
        # Half of the remaining time is reserved for a second attempt, in case
        # this connection is dead.
        now_ns = time.monotonic_ns()
        first_byte_ns = now_ns + (deadline_ns - now_ns) // 2
        first = self._exchange(request, connection, first_byte_ns, deadline_ns)
        if first.is_ok() or connection.has_received:
            return first
        self._pool.close_idle()
        second = self._send_new(request, deadline_ns)
        return second.map_err(lambda failure: _join(first, failure))

    def _exchange(
        self,
        request: UpstreamRequest,
        connection: connections.Connection,
        first_byte_ns: int,
        deadline_ns: int,
    ) -> result.Result[UpstreamResponse, UpstreamFailure]:
        with contextlib.ExitStack() as stack:
            stack.callback(self._pool.discard, connection)
            remaining_ms = (deadline_ns - time.monotonic_ns()) // _NS_PER_MS
            if remaining_ms <= 0:
                return result.Err(
                    _fail_unsent(refusal.Refusal.DEADLINE, "the time is over")
                )
            head = self._write_head(request, remaining_ms)
            try:
                connection.send(head, request.body, first_byte_ns)
                response = connection.open_response(
                    request.method, first_byte_ns, deadline_ns
                )
                body = response.read_body(request.max_answer_bytes)
            except (
                OSError,
                http.client.HTTPException,
                headers.CannotRead,
                responses.ResponseTooLarge,
            ) as error:
                return result.Err(_explain(error))
            checked = _check(request, response, body)
            if _is_echoed(request, response) and not response.will_close:
                stack.pop_all()
                self._pool.release(connection)
            return checked

    def _write_head(self, request: UpstreamRequest, remaining_ms: int) -> bytes:
        return headers.write_head(
            method=request.method,
            target=request.target,
            authority=self._authority,
            headers=request.headers,
            request_id=request.request_id,
            remaining_ms=remaining_ms,
            body_size=len(request.body),
        )


def _open_pool(
    ip_address: str, port: int, capacity: int
) -> connections.ConnectionPool:
    return connections.ConnectionPool(
        ip_address=ip_address, port=port, capacity=capacity
    )


def _is_echoed(request: UpstreamRequest, response: responses.Response) -> bool:
    """Returns whether a response echoes the id of its request.

    Reports and cancellations need no echo, as they never use a pooled
    connection.
    """
    is_control = request.target.startswith(CONTROL_PREFIX)
    return is_control or response.fields.request_id == request.request_id


def _check(
    request: UpstreamRequest, response: responses.Response, body: bytes
) -> result.Result[UpstreamResponse, UpstreamFailure]:
    fields = response.fields
    if not _is_echoed(request, response):
        return result.Err(
            _fail_sent(
                refusal.Refusal.ANSWER_BROKEN,
                "the answer does not echo the request id",
            )
        )
    if fields.refused and response.status in _REFUSING_STATUSES:
        return result.Err(_read_refusal(fields))
    return result.Ok(
        UpstreamResponse(
            status=response.status,
            reason=response.reason,
            headers=fields.forwarded,
            body=body,
            rate_limit=fields.rate_limit,
        )
    )


def _read_refusal(fields: headers.ResponseHead) -> UpstreamFailure:
    known = _REFUSALS.get(fields.refused)
    if known is None:
        return _fail_sent(
            refusal.Refusal.UPSTREAM_FAILED,
            f"the upstream refused for an unknown reason {fields.refused!r}",
        )
    return UpstreamFailure(
        verdict=verdict.Verdict.NOT_RUN,
        refusal=known,
        explanation=f"the upstream refused: {fields.refused}",
        retry_after_ms=fields.retry_after_ms,
    )


def _explain(error: Exception) -> UpstreamFailure:
    match error:
        case TimeoutError():
            return _fail_sent(refusal.Refusal.DEADLINE, "no answer in time")
        case responses.ResponseTooLarge():
            return _fail_sent(
                refusal.Refusal.ANSWER_TOO_LARGE, f"the answer has {error}"
            )
        case (
            http.client.IncompleteRead()
            | http.client.RemoteDisconnected()
            | OSError()
        ):
            return _fail_sent(
                refusal.Refusal.UPSTREAM_FAILED,
                f"the connection ended: {error}",
                is_crash_suspected=True,
            )
        case _:
            return _fail_sent(refusal.Refusal.ANSWER_BROKEN, str(error))


def _fail_unsent(reason: refusal.Refusal, explanation: str) -> UpstreamFailure:
    return UpstreamFailure(
        verdict=verdict.Verdict.NOT_RUN,
        refusal=reason,
        explanation=explanation,
    )


def _fail_sent(
    reason: refusal.Refusal,
    explanation: str,
    *,
    is_crash_suspected: bool = False,
) -> UpstreamFailure:
    return UpstreamFailure(
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        refusal=reason,
        explanation=explanation,
        is_crash_suspected=is_crash_suspected,
    )


def _join(
    first: result.Result[UpstreamResponse, UpstreamFailure],
    second: UpstreamFailure,
) -> UpstreamFailure:
    """Joins the failures of both attempts of one request."""
    earlier = first.unwrap_err()
    return dataclasses.replace(
        second,
        verdict=verdict.join_verdicts(earlier.verdict, second.verdict),
        is_crash_suspected=(
            earlier.is_crash_suspected or second.is_crash_suspected
        ),
    )
