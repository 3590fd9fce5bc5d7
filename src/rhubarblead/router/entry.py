"""Takes callers' requests, and has each one run where it belongs."""

import asyncio
from collections.abc import Callable
import http
import random

from rhubarblead import routing_table
from rhubarblead.keyspace import promises
from rhubarblead.platform import heads
from rhubarblead.requests import allowance
from rhubarblead.requests import placement
from rhubarblead.router import answering
from rhubarblead.router import attempt as attempts
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

MIN_RETRY_AFTER_MS = 50
"""A way to a caller and back takes 6 ms; sooner would find nothing new."""

SHED_PAUSE_S = 0.03
"""Before a request goes again to a server that has turned it away."""

MAX_BOUNCES = 24
"""Sendings of one request that reached no server."""


class Entry:
    """The requests of the callers on this instance."""

    __slots__ = (
        "_allowance",
        "_directory",
        "_answers",
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
        self._answers = answering.Answering(
            known=known, events=events, now_ms=now_ms
        )
        self._now_ms = now_ms
        self._own_ip = own_ip
        self._own_id = known.own_state.node_id
        self._own_service = known.own_state.service
        self._random = random_source
        self._outstanding: dict[int, attempts.Attempt] = {}
        self._parked: list[attempts.Attempt] = []
        self._park_timer: asyncio.TimerHandle | None = None
        self._shares: dict[str, dict[str, float]] = {}
        self._next_number = 0
        self.is_closed = False

    @property
    def answers(self) -> answering.Answering:
        """Gives the answers, and counts them."""
        return self._answers

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
            self._answers.refuse_early(exchange, 400, "", str(error))
            return
        if table is None:
            self._answers.refuse_early(
                exchange, 503, head.request_id, "no config"
            )
            return
        path = http_server.read_path(exchange.target)
        route = table.find_route(head.host, path)
        if route is None:
            self._answers.refuse_early(
                exchange, 404, head.request_id, "no route"
            )
            return
        service = self._choose_service(route)
        attempt = attempts.Attempt(
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
            self._answers.refuse_early(exchange, 400, head.request_id, "no key")
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

    def _has_chance(
        self, attempt: attempts.Attempt, node_id: str, now_ms: int
    ) -> bool:
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
        self._answers.refuse_early(
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

    def _is_call(self, attempt: attempts.Attempt) -> bool:
        """Tells whether the server beside this node has sent a request."""
        return attempt.exchange.peer_ip == self._own_ip

    def _dispatch(self, attempt: attempts.Attempt) -> None:
        if attempt.is_keyed:
            self._dispatch_keyed(attempt)
        else:
            self._dispatch_unkeyed(attempt)

    def _dispatch_keyed(self, attempt: attempts.Attempt) -> None:
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

    def _dispatch_unkeyed(self, attempt: attempts.Attempt) -> None:
        now_ms = self._now_ms()
        while attempt.bounce_count < MAX_BOUNCES:
            choice = placement.choose(
                places=self._directory.list_places(
                    attempt.service,
                    attempt.route.name,
                    now_ms,
                    is_call=self._is_call(attempt),
                ),
                refused_waits=attempt.refused_waits,
                excluded=attempt.excluded,
                is_download=attempt.route.kind
                is routing_table.RouteKind.DOWNLOAD,
                random_source=self._random,
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

    def _send(
        self, attempt: attempts.Attempt, node_id: str, *, may_wait: bool
    ) -> bool:
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
        attempt: attempts.Attempt,
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
            is_call=self._is_call(attempt),
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

    def _take_own(
        self, attempt: attempts.Attempt, outcome: wire.Outcome
    ) -> None:
        # A reply during the sending must not be handled within it.
        self._loop.call_soon(self.take_outcome, self._own_id, outcome)
        del attempt

    def _take(self, attempt: attempts.Attempt, outcome: wire.Outcome) -> None:
        self._outstanding.pop(outcome.number, None)
        if attempt.is_ended or attempt.number != outcome.number:
            return
        attempt.number = 0
        attempt.job = None
        attempt.sent_count += outcome.has_arrived
        match outcome.verdict:
            case wire.Verdict.RAN:
                self._answers.pass_on(attempt, outcome)
            case wire.Verdict.NOT_RUN:
                self._take_not_run(attempt, outcome)
            case _:
                attempt.may_have_run = True
                self._take_doubt(attempt, outcome)

    def _take_not_run(
        self, attempt: attempts.Attempt, outcome: wire.Outcome
    ) -> None:
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

    def _follow_owner(self, attempt: attempts.Attempt) -> None:
        """Sends a request to the owner that is known by now."""
        assert attempt.head.key is not None
        node_id = self._directory.find_owner(attempt.service, attempt.head.key)
        if node_id == attempt.node_id or attempt.bounce_count >= MAX_BOUNCES:
            self._park(attempt)
            return
        attempt.bounce_count += 1
        self._dispatch(attempt)

    def _take_shed(self, attempt: attempts.Attempt) -> None:
        if not self._may_send_again(attempt):
            self._give_up(attempt, "shed", 0)
            return
        self._answers.report_again(attempt, "shed")
        if attempt.is_keyed:
            self._loop.call_later(SHED_PAUSE_S, self._dispatch_later, attempt)
            return
        attempt.excluded.add(attempt.node_id)
        self._dispatch(attempt)

    def _dispatch_later(self, attempt: attempts.Attempt) -> None:
        if not attempt.is_ended:
            self._dispatch(attempt)

    def _take_doubt(
        self, attempt: attempts.Attempt, outcome: wire.Outcome
    ) -> None:
        cause = wire.Reason(outcome.reason).name.lower()
        is_repeatable = attempt.route.kind.is_repeatable
        if outcome.reason == wire.Reason.TOO_LATE:
            self._answers.fail(attempt, http.HTTPStatus.GATEWAY_TIMEOUT, cause)
            return
        if not is_repeatable or not self._may_send_again(attempt):
            self._answers.fail(attempt, http.HTTPStatus.BAD_GATEWAY, cause)
            return
        self._answers.report_again(attempt, cause)
        if not attempt.is_keyed:
            attempt.excluded.add(attempt.node_id)
        self._dispatch(attempt)

    def _may_send_again(self, attempt: attempts.Attempt) -> bool:
        if attempt.sent_count >= attempt.route.max_attempts:
            return False
        return self._allowance.take_retry(
            attempt.service, self._now_ms(), self._directory.count_nodes()
        )

    def _park(self, attempt: attempts.Attempt) -> None:
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

    def _run_out(self, attempt: attempts.Attempt) -> None:
        """Ends a request at its deadline."""
        if attempt.is_ended:
            return
        is_waiting_only = not attempt.number and not attempt.may_have_run
        self._withdraw(attempt)
        if is_waiting_only:
            self._give_up(attempt, "deadline", 0)
            return
        self._answers.fail(attempt, http.HTTPStatus.GATEWAY_TIMEOUT, "deadline")

    def _leave(self, attempt: attempts.Attempt) -> None:
        """Drops a request whose caller has gone."""
        if attempt.is_ended:
            return
        self._withdraw(attempt)
        attempt.end()
        self._answers.report_gone(attempt)

    def _withdraw(self, attempt: attempts.Attempt) -> None:
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

    def _give_up(
        self, attempt: attempts.Attempt, cause: str, retry_after_ms: int
    ) -> None:
        """Ends a request that has not run, or says that it may have."""
        if attempt.may_have_run:
            self._answers.fail(attempt, http.HTTPStatus.BAD_GATEWAY, cause)
            return
        # Callers that were refused together don't come back together.
        spread = 0.75 + 0.5 * self._random.random()
        after_ms = max(MIN_RETRY_AFTER_MS, retry_after_ms) * spread
        self._answers.refuse(attempt, cause, int(after_ms))
