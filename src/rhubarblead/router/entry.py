"""Takes callers' requests, and has each one run where it belongs."""

import asyncio
from collections.abc import Callable
import dataclasses
import http
import random

from rhubarblead import routing_table
from rhubarblead.events import catalog
from rhubarblead.keyspace import promises
from rhubarblead.platform import heads
from rhubarblead.requests import allowance
from rhubarblead.requests import placement
from rhubarblead.router import directory
from rhubarblead.router import http_server
from rhubarblead.router import journal
from rhubarblead.router import peers
from rhubarblead.router import upstream
from rhubarblead.router import wire

ANSWER_MARGIN_MS = 15
"""Before the caller's deadline, for the way back to the caller."""

SERVER_MARGIN_MS = 8
"""Before the own deadline, so that the server's answer comes first."""

PARK_MS = 1_000
"""A key's owner is back within it after a restart, or has another owner."""

POISON_RETRY_MS = 5_000
"""For a request that has crashed several servers; it earns nothing."""

PARK_CHECK_S = 0.05
PARK_RETRY_MS = 250
"""Between tries at the same node; hundreds may wait for one that restarts."""

SHED_PAUSE_S = 0.03
"""Before a request goes again to a server that has turned it away."""

MAX_BOUNCES = 24
"""Sendings of one request that reached no server."""

_UNKNOWN_PATH = "-"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One request of a caller, until it is answered.

    `sent_count` counts arrivals at servers. `number` names the outstanding
    sending, 0 while there is none.
    """

    exchange: http_server.Exchange
    head: heads.RequestHead
    route: routing_table.Route
    service: str
    is_keyed: bool
    started_at_ms: int
    deadline_at_ms: int
    forwarded: bytes
    number: int = 0
    node_id: str = ""
    job: upstream.Job | None = None
    timer: asyncio.TimerHandle | None = None
    sent_count: int = 0
    bounce_count: int = 0
    parked_at_ms: int | None = None
    retry_at_ms: int = 0
    may_have_run: bool = False
    is_ended: bool = False
    refused_waits: dict[str, int] = dataclasses.field(default_factory=dict)
    excluded: set[str] = dataclasses.field(default_factory=set)


class Entry:
    """The requests of the callers on this instance."""

    __slots__ = (
        "_allowance",
        "_directory",
        "_journal",
        "_links",
        "_loop",
        "_next_number",
        "_now_ms",
        "_outstanding",
        "_own_id",
        "_own_ip",
        "_own_service",
        "_parked",
        "_park_timer",
        "_random",
        "_shares",
        "_upstream",
        "is_closed",
        "observe",
    )

    def __init__(
        self,
        *,
        known: directory.Directory,
        links: peers.Links,
        local: upstream.Upstream,
        retries: allowance.RetryAllowance,
        events: journal.Journal,
        now_ms: Callable[[], int],
        own_ip: str,
        random_source: random.Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._directory = known
        self._links = links
        self._upstream = local
        self._allowance = retries
        self._journal = events
        self._now_ms = now_ms
        self._own_ip = own_ip
        self._own_id = known.own_state.node_id
        self._own_service = known.own_state.service
        self._random = random_source
        self._outstanding: dict[int, Attempt] = {}
        self._parked: list[Attempt] = []
        self._park_timer: asyncio.TimerHandle | None = None
        self._shares: dict[str, dict[str, float]] = {}
        self._next_number = 0
        self.is_closed = False
        self.observe: Callable[[str, int, int], None] | None = None

    def handle(self, exchange: http_server.Exchange) -> None:
        """Takes one request of a caller."""
        now_ms = self._now_ms()
        table = self._directory.table
        if self.is_closed:
            self._refuse_closed(exchange)
            return
        try:
            head = heads.read_request(exchange.fields)
        except heads.CannotRead as error:
            self._answer_early(exchange, 400, "", str(error))
            return
        if table is None:
            self._answer_early(exchange, 503, head.request_id, "no config")
            return
        path = http_server.read_path(exchange.target)
        route = table.find_route(head.host, path)
        if route is None:
            self._answer_early(exchange, 404, head.request_id, "no route")
            return
        service = self._choose_service(route)
        attempt = Attempt(
            exchange=exchange,
            head=head,
            route=route,
            service=service,
            is_keyed=table.is_keyed(service),
            started_at_ms=now_ms,
            deadline_at_ms=now_ms
            + min(head.deadline_ms - ANSWER_MARGIN_MS, route.timeout_ms),
            forwarded=heads.encode_forwarded(
                exchange.fields, self._own_service
            ),
        )
        if attempt.is_keyed and head.key is None:
            self._answer_early(exchange, 400, head.request_id, "no key")
            return
        self._allowance.take_request(service, now_ms)
        exchange.on_gone = lambda: self._leave(attempt)
        attempt.timer = self._loop.call_later(
            max(0, attempt.deadline_at_ms - now_ms) / 1_000,
            self._run_out,
            attempt,
        )
        self._dispatch(attempt)

    def take_outcome(self, node_id: str, outcome: wire.Outcome) -> None:
        """Takes what became of a request at a node."""
        attempt = self._outstanding.get(outcome.number)
        if attempt is not None and attempt.node_id == node_id:
            self._take(attempt, outcome)

    def lose_node(self, node_id: str) -> int:
        """Ends the wait for a node; returns how many requests were there."""
        lost = [a for a in self._outstanding.values() if a.node_id == node_id]
        for attempt in lost:
            self._take(
                attempt,
                wire.Outcome(
                    number=attempt.number,
                    verdict=wire.Verdict.MAY_HAVE_RUN,
                    reason=wire.Reason.LINK_LOST,
                    has_arrived=True,
                ),
            )
        return len(lost)

    def wake_parked(self, node_id: str = "") -> None:
        """Tries again what waits for a node or an owner, and has a chance.

        Args:
            node_id: A node that is in reach again, or has told of a change.
        """
        now_ms = self._now_ms()
        parked, self._parked = self._parked, []
        for attempt in parked:
            if attempt.is_ended:
                continue
            if self._has_chance(attempt, node_id, now_ms):
                self._dispatch(attempt)
            else:
                self._parked.append(attempt)

    def _has_chance(self, attempt: Attempt, node_id: str, now_ms: int) -> bool:
        """Tells whether a parked request may fare better than before."""
        if now_ms >= attempt.retry_at_ms or not attempt.is_keyed:
            return True
        assert attempt.head.key is not None
        owner = self._directory.find_owner(attempt.service, attempt.head.key)
        return bool(owner) and (owner == node_id or owner != attempt.node_id)

    def forget_shares(self) -> None:
        """Begins the split of traffic anew, after a change of the config."""
        self._shares.clear()

    def count_pending(self) -> int:
        """Counts the requests that wait for an outcome."""
        return len(self._outstanding) + len(self._parked)

    def end_all(self) -> None:
        """Ends all requests, as the process ends."""
        for attempt in [*self._parked, *self._outstanding.values()]:
            if not attempt.is_ended:
                self._run_out(attempt)

    def _refuse_closed(self, exchange: http_server.Exchange) -> None:
        request_id = http_server.find_field(exchange.fields, heads.REQUEST_ID)
        self._answer_early(
            exchange, 503, request_id.decode("latin-1"), "node stops"
        )

    def _choose_service(self, route: routing_table.Route) -> str:
        """Takes the services of a route in turn, by their weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        turns = self._shares.get(route.name)
        if turns is None:
            # Nodes that all began with the same part would tip the split.
            turns = {
                share.service: self._random.random() * share.weight
                for share in route.shares
            }
            self._shares[route.name] = turns
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            turns[share.service] += share.weight
        chosen = max(turns, key=turns.__getitem__)
        turns[chosen] -= total
        return chosen

    def _dispatch(self, attempt: Attempt) -> None:
        if attempt.is_keyed:
            self._dispatch_keyed(attempt)
        else:
            self._dispatch_unkeyed(attempt)

    def _dispatch_keyed(self, attempt: Attempt) -> None:
        assert attempt.head.key is not None
        node_id = self._directory.find_owner(attempt.service, attempt.head.key)
        if node_id and self._send(attempt, node_id, may_wait=True):
            return
        # For the log: where the request would have gone.
        attempt.node_id = node_id
        absence_ms = self._directory.find_absence_ms(node_id, self._now_ms())
        if absence_ms > PARK_MS:
            # Its keys come back when its promises have ended, not before.
            left_ms = max(0, promises.PROMISE_MS + PARK_MS - absence_ms)
            self._give_up(attempt, "owner away", left_ms)
            return
        self._park(attempt)

    def _dispatch_unkeyed(self, attempt: Attempt) -> None:
        now_ms = self._now_ms()
        while attempt.bounce_count < MAX_BOUNCES:
            choice = placement.choose(
                places=self._directory.list_places(
                    attempt.service, attempt.route.name, now_ms
                ),
                refused_waits=attempt.refused_waits,
                excluded=attempt.excluded,
                is_download=attempt.route.kind is routing_table.Kind.DOWNLOAD,
                random_share=self._random.random(),
            )
            if choice is None:
                break
            attempt.bounce_count += 1
            if self._send(attempt, choice.node_id, may_wait=choice.may_wait):
                return
            attempt.excluded.add(choice.node_id)
        if attempt.sent_count or attempt.refused_waits:
            self._give_up(attempt, "no server left", 0)
            return
        attempt.excluded.clear()
        self._park(attempt)

    def _send(self, attempt: Attempt, node_id: str, *, may_wait: bool) -> bool:
        """Sends a request to a node; returns False where it can't be."""
        self._next_number += 1
        number = self._next_number
        state = self._directory.find_state(node_id)
        if state is None:
            return False
        work = self._make_work(attempt, number, state, may_wait)
        attempt.number = number
        attempt.node_id = node_id
        self._outstanding[number] = attempt
        if node_id == self._own_id:
            attempt.job = self._upstream.submit(
                work, lambda outcome: self._take_own(attempt, outcome)
            )
            return True
        attempt.job = None
        if self._links.send(node_id, work):
            return True
        del self._outstanding[number]
        attempt.number = 0
        return False

    def _make_work(
        self,
        attempt: Attempt,
        number: int,
        state: wire.State,
        may_wait: bool,
    ) -> wire.Work:
        now_ms = self._now_ms()
        exchange = attempt.exchange
        key = attempt.head.key if attempt.is_keyed else None
        target_at_ms = attempt.started_at_ms + attempt.route.target_ms
        return wire.Work(
            origin=self._directory.own_state.incarnation,
            number=number,
            target_incarnation=state.incarnation,
            request_id=attempt.head.request_id,
            service=attempt.service,
            route=attempt.route.name,
            priority=attempt.route.priority,
            is_call=exchange.peer_ip == self._own_ip,
            is_once=not attempt.route.kind.is_repeatable,
            key=wire.NO_KEY if key is None else key,
            target_ms=target_at_ms - now_ms,
            deadline_ms=attempt.deadline_at_ms - now_ms - SERVER_MARGIN_MS,
            may_wait=may_wait,
            method=exchange.method,
            target=exchange.target,
            head=attempt.forwarded,
            body=exchange.body,
        )

    def _take_own(self, attempt: Attempt, outcome: wire.Outcome) -> None:
        # A reply during the sending must not be handled within it.
        self._loop.call_soon(self.take_outcome, self._own_id, outcome)
        del attempt

    def _take(self, attempt: Attempt, outcome: wire.Outcome) -> None:
        self._outstanding.pop(outcome.number, None)
        if attempt.is_ended or attempt.number != outcome.number:
            return
        attempt.number = 0
        attempt.job = None
        attempt.sent_count += outcome.has_arrived
        match outcome.verdict:
            case wire.Verdict.RAN:
                self._return_answer(attempt, outcome)
            case wire.Verdict.NOT_RUN:
                self._take_not_run(attempt, outcome)
            case _:
                attempt.may_have_run = True
                self._take_doubt(attempt, outcome)

    def _take_not_run(self, attempt: Attempt, outcome: wire.Outcome) -> None:
        node_id = attempt.node_id
        match outcome.reason:
            case wire.Reason.BUSY:
                attempt.refused_waits[node_id] = outcome.wait_ms
                self._dispatch(attempt)
            case wire.Reason.NOT_OWNER if outcome.has_arrived:
                # The server itself has refused; each arrival counts.
                self._take_shed(attempt)
            case wire.Reason.NOT_OWNER:
                self._follow_owner(attempt)
            case wire.Reason.LEAVING | wire.Reason.SERVER_GONE:
                attempt.excluded.add(node_id)
                if not attempt.is_keyed:
                    self._dispatch(attempt)
                elif outcome.reason == wire.Reason.SERVER_GONE:
                    self._give_up(attempt, "server gone", PARK_MS)
                else:
                    self._park(attempt)
            case wire.Reason.SHED:
                self._take_shed(attempt)
            case wire.Reason.POISON:
                self._give_up(attempt, "poison", POISON_RETRY_MS)
            case _:
                cause = wire.Reason(outcome.reason).name.lower()
                self._give_up(attempt, cause, outcome.wait_ms)

    def _follow_owner(self, attempt: Attempt) -> None:
        """Sends a request to the owner that is known by now."""
        assert attempt.head.key is not None
        node_id = self._directory.find_owner(attempt.service, attempt.head.key)
        if node_id == attempt.node_id or attempt.bounce_count >= MAX_BOUNCES:
            self._park(attempt)
            return
        attempt.bounce_count += 1
        self._dispatch(attempt)

    def _take_shed(self, attempt: Attempt) -> None:
        if not self._may_send_again(attempt):
            self._give_up(attempt, "shed", 0)
            return
        self._report_again(attempt, "shed")
        if attempt.is_keyed:
            self._loop.call_later(SHED_PAUSE_S, self._dispatch_later, attempt)
            return
        attempt.excluded.add(attempt.node_id)
        self._dispatch(attempt)

    def _dispatch_later(self, attempt: Attempt) -> None:
        if not attempt.is_ended:
            self._dispatch(attempt)

    def _take_doubt(self, attempt: Attempt, outcome: wire.Outcome) -> None:
        cause = wire.Reason(outcome.reason).name.lower()
        is_repeatable = attempt.route.kind.is_repeatable
        if outcome.reason == wire.Reason.TOO_LATE:
            self._fail(attempt, http.HTTPStatus.GATEWAY_TIMEOUT, cause)
            return
        if not is_repeatable or not self._may_send_again(attempt):
            self._fail(attempt, http.HTTPStatus.BAD_GATEWAY, cause)
            return
        self._report_again(attempt, cause)
        if not attempt.is_keyed:
            attempt.excluded.add(attempt.node_id)
        self._dispatch(attempt)

    def _may_send_again(self, attempt: Attempt) -> bool:
        if attempt.sent_count >= attempt.route.max_attempts:
            return False
        return self._allowance.take_retry(
            attempt.service, self._now_ms(), self._directory.count_nodes()
        )

    def _park(self, attempt: Attempt) -> None:
        """Keeps a request until its owner is known and in reach."""
        now_ms = self._now_ms()
        if attempt.parked_at_ms is None:
            attempt.parked_at_ms = now_ms
        if now_ms - attempt.parked_at_ms > PARK_MS:
            self._give_up(attempt, "no owner in reach", PARK_MS // 2)
            return
        attempt.retry_at_ms = now_ms + PARK_RETRY_MS
        self._parked.append(attempt)
        if self._park_timer is None:
            self._park_timer = self._loop.call_later(
                PARK_CHECK_S, self._check_parked
            )

    def _check_parked(self) -> None:
        self._park_timer = None
        self.wake_parked()
        if self._parked and self._park_timer is None:
            self._park_timer = self._loop.call_later(
                PARK_CHECK_S, self._check_parked
            )

    def _run_out(self, attempt: Attempt) -> None:
        """Ends a request at its deadline."""
        if attempt.is_ended:
            return
        is_waiting_only = not attempt.number and not attempt.may_have_run
        self._withdraw(attempt)
        if is_waiting_only:
            self._give_up(attempt, "deadline", 0)
            return
        self._fail(attempt, http.HTTPStatus.GATEWAY_TIMEOUT, "deadline")

    def _leave(self, attempt: Attempt) -> None:
        """Drops a request whose caller has gone."""
        if attempt.is_ended:
            return
        self._withdraw(attempt)
        self._end(attempt)
        self._journal.emit(
            catalog.Event.CALLER_GONE,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            node_id=attempt.node_id,
            took_ms=self._now_ms() - attempt.started_at_ms,
        )

    def _withdraw(self, attempt: Attempt) -> None:
        """Has the node that works on a request drop it."""
        if not attempt.number:
            return
        self._outstanding.pop(attempt.number, None)
        if attempt.job is not None:
            self._upstream.cancel(attempt.job)
        elif attempt.node_id != self._own_id:
            self._links.send(
                attempt.node_id,
                wire.Cancel(
                    origin=self._directory.own_state.incarnation,
                    number=attempt.number,
                ),
            )
        attempt.number = 0

    def _end(self, attempt: Attempt) -> None:
        attempt.is_ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()

    def _return_answer(self, attempt: Attempt, outcome: wire.Outcome) -> None:
        self._end(attempt)
        attempt.exchange.finish(
            http_server.Answer(
                status=outcome.status,
                reason=outcome.phrase,
                fields=outcome.head,
                body=outcome.body,
            )
        )
        took_ms = self._now_ms() - attempt.started_at_ms
        self._journal.emit(
            catalog.Event.ANSWER_RETURNED,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            status=outcome.status,
            node_id=attempt.node_id,
            sent_count=attempt.sent_count,
            took_ms=took_ms,
            config_version=self._get_version(),
        )
        self._count(attempt, outcome.status, took_ms)

    def _give_up(
        self, attempt: Attempt, cause: str, retry_after_ms: int
    ) -> None:
        """Ends a request that has not run, or says that it may have."""
        if attempt.may_have_run:
            self._fail(attempt, http.HTTPStatus.BAD_GATEWAY, cause)
            return
        # Callers that were refused together don't come back together.
        after_ms = max(50, retry_after_ms) * (
            0.75 + 0.5 * self._random.random()
        )
        self._end(attempt)
        attempt.exchange.finish(
            _make_own_answer(
                503, attempt.head.request_id, retry_after_ms=int(after_ms)
            )
        )
        self._report_own(attempt, 503, cause, int(after_ms))

    def _fail(
        self, attempt: Attempt, status: http.HTTPStatus, cause: str
    ) -> None:
        self._end(attempt)
        attempt.exchange.finish(
            _make_own_answer(status, attempt.head.request_id)
        )
        self._report_own(attempt, status, cause)

    def _answer_early(
        self,
        exchange: http_server.Exchange,
        status: int,
        request_id: str,
        cause: str,
    ) -> None:
        after_ms = 500 if status == 503 else 0
        exchange.finish(
            _make_own_answer(status, request_id, retry_after_ms=after_ms)
        )
        self._journal.emit(
            catalog.Event.ANSWER_OWN,
            request_id=request_id,
            route=_UNKNOWN_PATH,
            status=status,
            cause=cause,
            config_version=self._get_version(),
        )

    def _report_own(
        self,
        attempt: Attempt,
        status: int,
        cause: str,
        retry_after_ms: int = 0,
    ) -> None:
        took_ms = self._now_ms() - attempt.started_at_ms
        _, revision = self._directory.get_assignment(attempt.service)
        self._journal.emit(
            catalog.Event.ANSWER_OWN,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            status=int(status),
            cause=cause,
            node_id=attempt.node_id,
            sent_count=attempt.sent_count,
            took_ms=took_ms,
            retry_after_ms=retry_after_ms,
            config_version=self._get_version(),
            assignment_revision=revision,
        )
        self._count(attempt, int(status), took_ms)

    def _count(self, attempt: Attempt, status: int, took_ms: int) -> None:
        if self.observe is not None:
            self.observe(attempt.route.name, status, took_ms)

    def _get_version(self) -> int:
        table = self._directory.table
        return table.version if table is not None else 0

    def _report_again(self, attempt: Attempt, cause: str) -> None:
        self._journal.emit(
            catalog.Event.REQUEST_SENT_AGAIN,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            node_id=attempt.node_id,
            cause=cause,
            sent_count=attempt.sent_count,
        )


def _make_own_answer(
    status: int, request_id: str, *, retry_after_ms: int = 0
) -> http_server.Answer:
    fields = heads.encode_own_answer(request_id) if request_id else b""
    if retry_after_ms:
        fields += b"retry-after: %.3f\r\n" % (retry_after_ms / 1_000)
    return http_server.Answer(status=status, fields=fields)
