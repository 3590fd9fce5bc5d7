"""The routing client: sends each request directly to the owner's node."""

from collections.abc import Callable
import dataclasses
import http
import random
import secrets
import threading
import time
import urllib.parse

import msgspec
import result

from rhubarblead import clock
from rhubarblead import decoding
from rhubarblead import status
from rhubarblead import verdict
from rhubarblead.client import connections
from rhubarblead.client import decision
from rhubarblead.client import exchange
from rhubarblead.client import routes
from rhubarblead.requests import idempotency
from rhubarblead.requests import retries

_MS_PER_S = 1_000
_AVOID_MS = 1_000
_KEY_BYTES = 10
_VERDICTS = {item.value: item for item in verdict.Verdict}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of a routing client.

    The shard map is refreshed when it is older than `refresh_ms`, or when it
    is known to be stale and older than `min_refresh_ms`. `attempt_timeout_ms`
    is the timeout of one attempt. Retries, other than redirects to the owner
    of a key, are limited to `retry_per_mille` of the requests.
    """

    refresh_ms: int = 5_000
    min_refresh_ms: int = 200
    attempt_timeout_ms: int = 1_500
    retry_per_mille: int = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class _RequestProgress:
    """The state of one request; the verdict combines those of all attempts."""

    request: exchange.Request
    deadline_ms: int
    attempt_count: int = 0
    combined_verdict: verdict.Verdict = verdict.Verdict.NOT_RUN


class RoutingClient:
    """Sends requests for the keys of one pool. It is thread-safe."""

    __slots__ = (
        "_retry_budget",
        "_random",
        "_connections",
        "_fetched_at_ms",
        "_is_map_stale",
        "_lock",
        "_options",
        "_pool",
        "_read_ms",
        "_routes",
        "_sleep_ms",
    )

    def __init__(
        self,
        *,
        pool: str,
        nodes: tuple[str, ...],
        options: Options | None = None,
        random_source: random.Random | None = None,
        read_ms: Callable[[], int] = clock.read_monotonic_ms,
        sleep_ms: Callable[[int], None] | None = None,
    ) -> None:
        """Creates a client; it sends nothing before the first request.

        Args:
            pool: The pool that owns the keys.
            nodes: Seed nodes, as `ip:port`; the others are discovered.
            options: Routing options.
            random_source: Source of idempotency keys and of jitter.
            read_ms: Returns the monotonic time in milliseconds.
            sleep_ms: Sleeps for a number of milliseconds.
        """
        self._pool = pool
        self._options = options or Options()
        self._random = random_source or secrets.SystemRandom()
        self._read_ms = read_ms
        self._sleep_ms = sleep_ms or _sleep_ms
        self._retry_budget = retries.SharedRetryBudget(
            per_mille=self._options.retry_per_mille
        )
        self._lock = threading.Lock()
        self._connections = connections.ConnectionPool()
        self._routes = routes.KeyRoutes(nodes=nodes, random_source=self._random)
        self._fetched_at_ms: int | None = None
        self._is_map_stale = False

    def __enter__(self) -> "RoutingClient":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes all connections."""
        self._connections.close()

    def send(
        self, request: exchange.Request
    ) -> result.Result[exchange.Response, exchange.Failure]:
        """Sends a request, with retries where that is safe.

        Args:
            request: The request; its `timeout_ms` limits all attempts.

        Returns:
            The upstream's response, or why there is none.
        """
        self._retry_budget.record_request()
        keyed_request = self._add_key(request)
        progress = _RequestProgress(
            request=keyed_request,
            deadline_ms=self._read_ms() + request.timeout_ms,
        )
        while True:
            outcome = self._attempt(progress)
            if isinstance(outcome, result.Ok):
                return outcome
            next_step = outcome.err_value
            if isinstance(next_step, exchange.Failure):
                return result.Err(next_step)
            self._sleep_ms(next_step.delay_ms)

    def _attempt(
        self, progress: _RequestProgress
    ) -> result.Result[exchange.Response, exchange.Failure | decision.Retry]:
        self._refresh()
        progress.attempt_count += 1
        request = progress.request
        authority = self._choose(progress)
        remaining_ms = max(1, progress.deadline_ms - self._read_ms())
        outcome = self._connections.send(
            authority,
            request,
            _list_headers(request, remaining_ms),
            min(remaining_ms, self._options.attempt_timeout_ms),
        )
        attempt = _classify(outcome)
        self._update_routes(request.key, authority, outcome)
        progress.combined_verdict = verdict.join_verdicts(
            progress.combined_verdict, decision.find_verdict(attempt)
        )
        if isinstance(attempt, decision.Responded):
            return result.Ok(_make_response(outcome.unwrap(), progress))
        decided = decision.decide(
            attempt,
            is_repeatable=request.is_repeatable,
            attempt_count=progress.attempt_count,
            remaining_ms=progress.deadline_ms - self._read_ms(),
            jitter=self._random.random(),
        )
        if isinstance(decided, decision.Retry) and (
            decision.is_redirect(attempt) or self._retry_budget.take_retry()
        ):
            return result.Err(decided)
        return result.Err(_make_failure(attempt, outcome, progress))

    def _add_key(self, request: exchange.Request) -> exchange.Request:
        if request.is_repeatable or request.idempotency_key:
            return request
        key = idempotency.make_key(
            random=self._random.randbytes(_KEY_BYTES),
            wall_ms=clock.read_wall_ms(),
        )
        return dataclasses.replace(request, idempotency_key=key)

    def _choose(self, progress: _RequestProgress) -> str:
        with self._lock:
            return self._routes.choose(progress.request.key, self._read_ms())

    def _refresh(self) -> None:
        now_ms = self._read_ms()
        with self._lock:
            if not self._is_refresh_due(now_ms):
                return
            self._fetched_at_ms = now_ms
            self._is_map_stale = False
            authority = self._routes.choose_any(now_ms)
        fetched_map = self._fetch_map(authority)
        with self._lock:
            if fetched_map is not None:
                self._routes.replace_map(fetched_map)
                return
            self._is_map_stale = True
            self._routes.avoid(authority, now_ms + _AVOID_MS)

    def _is_refresh_due(self, now_ms: int) -> bool:
        if self._fetched_at_ms is None:
            return True
        age_ms = now_ms - self._fetched_at_ms
        if self._is_map_stale:
            return age_ms >= self._options.min_refresh_ms
        return age_ms >= self._options.refresh_ms

    def _fetch_map(self, authority: str) -> status.ShardMap | None:
        query = urllib.parse.urlencode({"pool": self._pool})
        request = exchange.Request(
            method="GET", path=f"/-/map?{query}", key="", is_repeatable=True
        )
        response = self._connections.send(
            authority, request, (), self._options.attempt_timeout_ms
        ).ok()
        if response is None or response.status != http.HTTPStatus.OK:
            return None
        try:
            return status.decode(response.body, status.ShardMap)
        except msgspec.DecodeError:
            return None

    def _update_routes(
        self,
        key: str,
        authority: str,
        outcome: result.Result[
            connections.RawResponse, connections.SendFailure
        ],
    ) -> None:
        with self._lock:
            match outcome:
                case result.Err():
                    self._is_map_stale = True
                    until_ms = self._read_ms() + _AVOID_MS
                    self._routes.avoid(authority, until_ms)
                case result.Ok(response):
                    self._record_owner(
                        key, authority, response.get_header("Rhubarb-Owner")
                    )

    def _record_owner(self, key: str, authority: str, owner: str) -> None:
        if owner and owner != self._routes.find_owner(key):
            self._is_map_stale = True
            self._routes.record_owner(key, owner)


def _list_headers(
    request: exchange.Request, remaining_ms: int
) -> exchange.Headers:
    client_headers = [("Rhubarb-Timeout-Ms", str(remaining_ms))]
    if request.idempotency_key:
        client_headers.append(("Idempotency-Key", request.idempotency_key))
    return (*request.headers, *client_headers)


def _classify(
    outcome: result.Result[connections.RawResponse, connections.SendFailure],
) -> decision.AttemptResult:
    match outcome:
        case result.Err(failure):
            return decision.NoResponse(has_sent=failure.has_sent)
        case result.Ok(response):
            pass
    refused = response.get_header("Rhubarb-Refusal")
    if not refused:
        return decision.Responded()
    reported_verdict = _VERDICTS.get(response.get_header("Rhubarb-Verdict"))
    retry_after = response.get_header("Rhubarb-Retry-After-Ms")
    return decision.Refused(
        refusal=refused,
        verdict=reported_verdict or verdict.Verdict.MAY_HAVE_RUN,
        retry_after_ms=_read_delay_ms(
            retry_after, response.get_header("Retry-After")
        ),
    )


def _read_delay_ms(milliseconds: str, seconds: str) -> int:
    if milliseconds.isdecimal():
        return int(milliseconds)
    return int(seconds) * _MS_PER_S if seconds.isdecimal() else 0


def _make_response(
    response: connections.RawResponse, progress: _RequestProgress
) -> exchange.Response:
    return exchange.Response(
        status=response.status,
        headers=response.headers,
        body=response.body,
        server=response.get_header("Rhubarb-Server"),
        request_id=response.get_header("Rhubarb-Request-Id"),
        attempt_count=progress.attempt_count,
    )


def _make_failure(
    attempt: decision.AttemptResult,
    outcome: result.Result[connections.RawResponse, connections.SendFailure],
    progress: _RequestProgress,
) -> exchange.Failure:
    refused = attempt if isinstance(attempt, decision.Refused) else None
    return exchange.Failure(
        verdict=progress.combined_verdict,
        refusal=refused.refusal if refused else "",
        explanation=_explain(outcome),
        retry_after_ms=refused.retry_after_ms if refused else 0,
        idempotency_key=progress.request.idempotency_key,
        attempt_count=progress.attempt_count,
    )


def _explain(
    outcome: result.Result[connections.RawResponse, connections.SendFailure],
) -> str:
    match outcome:
        case result.Err(failure):
            return failure.reason
        case result.Ok(response):
            pass
    try:
        body = decoding.decode_json(response.body, dict[str, object])
    except msgspec.DecodeError:
        return f"status {response.status}"
    return str(body.get("explanation", f"status {response.status}"))


def _sleep_ms(duration_ms: int) -> None:
    time.sleep(duration_ms / _MS_PER_S)
