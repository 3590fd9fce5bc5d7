"""The routing client: sends each request straight to the owner's node."""

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
    """How a client routes.

    The map is fetched again when it is older than `refresh_ms`, and at once,
    though not within `min_refresh_ms`, when it proved wrong. One try waits at
    most `try_timeout_ms`. Tries after the first, but for those that follow a
    key to its owner, are at most `retry_per_mille` of the requests.
    """

    refresh_ms: int = 5_000
    min_refresh_ms: int = 200
    try_timeout_ms: int = 1_500
    retry_per_mille: int = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class _Progress:
    """How far one request has come; `known` is the verdict on all tries."""

    request: exchange.Request
    deadline_ms: int
    tries_count: int = 0
    known: verdict.Verdict = verdict.Verdict.NOT_RUN


class RoutingClient:
    """Sends requests for the keys of one pool; any thread may use it."""

    __slots__ = (
        "_budget",
        "_chance",
        "_connections",
        "_fetched_at_ms",
        "_is_map_wrong",
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
        chance: random.Random | None = None,
        read_ms: Callable[[], int] = clock.read_monotonic_ms,
        sleep_ms: Callable[[int], None] | None = None,
    ) -> None:
        """Makes a client; nothing is sent before the first request.

        Args:
            pool: The pool whose keys it asks for.
            nodes: Some nodes, as `ip:port`; the others are learnt.
            options: How to route.
            chance: Source of idempotency keys and of jitter.
            read_ms: The monotonic clock.
            sleep_ms: Waits for some milliseconds.
        """
        self._pool = pool
        self._options = options or Options()
        self._chance = chance or secrets.SystemRandom()
        self._read_ms = read_ms
        self._sleep_ms = sleep_ms or _sleep_ms
        self._budget = retries.SharedRetryBudget(
            per_mille=self._options.retry_per_mille
        )
        self._lock = threading.Lock()
        self._connections = connections.Connections()
        self._routes = routes.KeyRoutes(nodes=nodes, chance=self._chance)
        self._fetched_at_ms: int | None = None
        self._is_map_wrong = False

    def __enter__(self) -> "RoutingClient":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes all connections."""
        self._connections.close()

    def send(
        self, request: exchange.Request
    ) -> result.Result[exchange.Answer, exchange.Failure]:
        """Sends a request, again where that is safe, until its deadline.

        Args:
            request: The request.

        Returns:
            The upstream's answer, or why there is none.
        """
        self._budget.record_request()
        whole = self._add_key(request)
        progress = _Progress(
            request=whole, deadline_ms=self._read_ms() + request.timeout_ms
        )
        while True:
            outcome = self._try(progress)
            if isinstance(outcome, result.Ok):
                return outcome
            wait = outcome.err_value
            if isinstance(wait, exchange.Failure):
                return result.Err(wait)
            self._sleep_ms(wait.after_ms)

    def _try(
        self, progress: _Progress
    ) -> result.Result[exchange.Answer, exchange.Failure | decision.SendAgain]:
        self._refresh()
        progress.tries_count += 1
        request = progress.request
        authority = self._choose(progress)
        remaining_ms = max(1, progress.deadline_ms - self._read_ms())
        reply = self._connections.send(
            authority,
            request,
            _list_headers(request, remaining_ms),
            min(remaining_ms, self._options.try_timeout_ms),
        )
        attempt = _classify(reply)
        self._learn(request.key, authority, reply)
        progress.known = verdict.join_verdicts(
            progress.known, decision.find_verdict(attempt)
        )
        if isinstance(attempt, decision.Answered):
            return result.Ok(_make_answer(reply.unwrap(), progress))
        decided = decision.decide(
            attempt,
            is_repeatable=request.is_repeatable,
            tries_count=progress.tries_count,
            remaining_ms=progress.deadline_ms - self._read_ms(),
            jitter=self._chance.random(),
        )
        if isinstance(decided, decision.SendAgain) and (
            decision.is_redirect(attempt) or self._budget.take_retry()
        ):
            return result.Err(decided)
        return result.Err(_make_failure(attempt, reply, progress))

    def _add_key(self, request: exchange.Request) -> exchange.Request:
        if request.is_repeatable or request.idempotency_key:
            return request
        key = idempotency.make_key(
            random=self._chance.randbytes(_KEY_BYTES),
            wall_ms=clock.read_wall_ms(),
        )
        return dataclasses.replace(request, idempotency_key=key)

    def _choose(self, progress: _Progress) -> str:
        with self._lock:
            return self._routes.choose(progress.request.key, self._read_ms())

    def _refresh(self) -> None:
        now_ms = self._read_ms()
        with self._lock:
            if not self._is_refresh_due(now_ms):
                return
            self._fetched_at_ms = now_ms
            self._is_map_wrong = False
            authority = self._routes.choose_any(now_ms)
        newer = self._fetch_map(authority)
        with self._lock:
            if newer is not None:
                self._routes.replace_map(newer)
                return
            self._is_map_wrong = True
            self._routes.avoid(authority, now_ms + _AVOID_MS)

    def _is_refresh_due(self, now_ms: int) -> bool:
        if self._fetched_at_ms is None:
            return True
        age_ms = now_ms - self._fetched_at_ms
        if self._is_map_wrong:
            return age_ms >= self._options.min_refresh_ms
        return age_ms >= self._options.refresh_ms

    def _fetch_map(self, authority: str) -> status.ShardMap | None:
        query = urllib.parse.urlencode({"pool": self._pool})
        request = exchange.Request(
            method="GET", path=f"/-/map?{query}", key="", is_repeatable=True
        )
        reply = self._connections.send(
            authority, request, (), self._options.try_timeout_ms
        ).ok()
        if reply is None or reply.status != http.HTTPStatus.OK:
            return None
        try:
            return status.decode(reply.body, status.ShardMap)
        except msgspec.DecodeError:
            return None

    def _learn(
        self,
        key: str,
        authority: str,
        reply: result.Result[connections.Reply, connections.NoReply],
    ) -> None:
        with self._lock:
            match reply:
                case result.Err():
                    self._is_map_wrong = True
                    until_ms = self._read_ms() + _AVOID_MS
                    self._routes.avoid(authority, until_ms)
                case result.Ok(found):
                    self._learn_owner(
                        key, authority, found.get("Rhubarb-Owner")
                    )

    def _learn_owner(self, key: str, authority: str, owner: str) -> None:
        if owner and owner != self._routes.find_owner(key):
            self._is_map_wrong = True
            self._routes.learn_owner(key, owner)


def _list_headers(
    request: exchange.Request, remaining_ms: int
) -> exchange.Headers:
    own = [("Rhubarb-Timeout-Ms", str(remaining_ms))]
    if request.idempotency_key:
        own.append(("Idempotency-Key", request.idempotency_key))
    return (*request.headers, *own)


def _classify(
    reply: result.Result[connections.Reply, connections.NoReply],
) -> decision.Attempt:
    match reply:
        case result.Err(silence):
            return decision.Silent(has_sent=silence.has_sent)
        case result.Ok(found):
            pass
    refused = found.get("Rhubarb-Refusal")
    if not refused:
        return decision.Answered()
    stated = _VERDICTS.get(found.get("Rhubarb-Verdict"))
    wanted = found.get("Rhubarb-Retry-After-Ms")
    return decision.Refused(
        refusal=refused,
        verdict=stated or verdict.Verdict.MAY_HAVE_RUN,
        retry_after_ms=_read_delay_ms(wanted, found.get("Retry-After")),
    )


def _read_delay_ms(milliseconds: str, seconds: str) -> int:
    if milliseconds.isdecimal():
        return int(milliseconds)
    return int(seconds) * _MS_PER_S if seconds.isdecimal() else 0


def _make_answer(
    found: connections.Reply, progress: _Progress
) -> exchange.Answer:
    return exchange.Answer(
        status=found.status,
        headers=found.headers,
        body=found.body,
        server=found.get("Rhubarb-Server"),
        request_id=found.get("Rhubarb-Request-Id"),
        tries_count=progress.tries_count,
    )


def _make_failure(
    attempt: decision.Attempt,
    reply: result.Result[connections.Reply, connections.NoReply],
    progress: _Progress,
) -> exchange.Failure:
    refused = attempt if isinstance(attempt, decision.Refused) else None
    return exchange.Failure(
        verdict=progress.known,
        refusal=refused.refusal if refused else "",
        explanation=_explain(reply),
        retry_after_ms=refused.retry_after_ms if refused else 0,
        idempotency_key=progress.request.idempotency_key,
        tries_count=progress.tries_count,
    )


def _explain(
    reply: result.Result[connections.Reply, connections.NoReply],
) -> str:
    match reply:
        case result.Err(silence):
            return silence.reason
        case result.Ok(found):
            pass
    try:
        body = msgspec.json.decode(found.body, type=dict[str, object])
    except msgspec.DecodeError:
        return f"status {found.status}"
    return str(body.get("explanation", f"status {found.status}"))


def _sleep_ms(duration_ms: int) -> None:
    time.sleep(duration_ms / _MS_PER_S)
