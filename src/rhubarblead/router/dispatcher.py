"""Dispatches callers' requests to the nodes whose servers run them."""

import asyncio
from collections.abc import Callable
import http
import random

import msgspec

from rhubarblead import routing_table
from rhubarblead.keyspace import promises
from rhubarblead.platform import headers
from rhubarblead.requests import calls
from rhubarblead.requests import cluster_retry_budget
from rhubarblead.requests import offer_history
from rhubarblead.requests import placement
from rhubarblead.requests import returns
from rhubarblead.router import config_feed
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import http_server
from rhubarblead.router import peer_watch
from rhubarblead.router import peers
from rhubarblead.router import pending_request
from rhubarblead.router import responder
from rhubarblead.router import unknown_routes
from rhubarblead.router import upstream
from rhubarblead.router import wire

RESPONSE_MARGIN_MS = 15
"""Reserved before the caller's deadline for the response's way back."""

SERVER_MARGIN_MS = 8
"""The server's deadline is this much earlier, so it responds in time."""

MAX_PARK_MS = 1_000
"""A restarted owner is back, or a key has a new owner, within this time."""

POISON_RETRY_MS = 5_000
"""For requests that have crashed several servers; retries gain nothing."""

PARK_CHECK_INTERVAL_S = 0.05
PARK_RETRY_INTERVAL_MS = 250
"""Between sends to one node; hundreds may be parked while it restarts."""

MIN_RETRY_AFTER_MS = 50
"""A round trip to a caller takes 6 ms; an earlier retry finds no change."""

SHED_RETRY_DELAY_S = 0.03
"""Delay before a request is sent again to the server that refused it."""

MAX_REROUTES = 24
"""Nodes chosen, or changes of owner followed, for one request."""


class RequestDispatcher:
    """Dispatches the requests that callers send to this instance."""

    __slots__ = (
        "_retry_budget",
        "_returning_callers",
        "_called_routes",
        "_count_members",
        "_delayed",
        "_directory",
        "_responder",
        "_links",
        "_loop",
        "_next_number",
        "_now_ms",
        "_offers",
        "_outstanding",
        "_own_id",
        "_own_ip",
        "_own_service",
        "_parked",
        "_peer_watch",
        "_park_timer",
        "_random",
        "_split_credits",
        "_unknown_routes",
        "_upstream",
        "is_closed",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        links: peers.Links,
        local_upstream: upstream.Upstream,
        watch: peer_watch.PeerWatch,
        retry_budget: cluster_retry_budget.ClusterRetryBudget,
        count_members: Callable[[], int | None],
        config: config_feed.ConfigFeed,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        own_ip: str,
        random_source: random.Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._directory = cluster_directory
        self._links = links
        self._upstream = local_upstream
        self._peer_watch = watch
        self._retry_budget = retry_budget
        self._count_members = count_members
        self._called_routes = calls.CalledRoutes()
        self._returning_callers = returns.ReturningCallers()
        self._offers = offer_history.OfferHistory()
        self._responder = responder.Responder(
            cluster_directory=cluster_directory, events=events, now_ms=now_ms
        )
        self._now_ms = now_ms
        self._own_ip = own_ip
        self._own_id = cluster_directory.own_state.node_id
        self._own_service = cluster_directory.own_state.service
        self._random = random_source
        self._unknown_routes = unknown_routes.UnknownRoutes(
            config=config, refuse=self._refuse, dispatch=self.handle
        )
        self._outstanding: dict[int, pending_request.PendingRequest] = {}
        self._parked: list[pending_request.PendingRequest] = []
        # Refused by their server, and sent again after a delay.
        self._delayed: dict[int, pending_request.PendingRequest] = {}
        self._park_timer: asyncio.TimerHandle | None = None
        self._split_credits: dict[str, dict[str, float]] = {}
        self._next_number = 0
        self.is_closed = False

    @property
    def responder(self) -> responder.Responder:
        """Writes and counts the responses."""
        return self._responder

    def handle(self, exchange: http_server.Exchange) -> None:
        """Validates one request of a caller and dispatches it."""
        waited_s = self._loop.time() - exchange.received_at_s
        now_ms = self._now_ms() - int(waited_s * 1_000)
        table = self._directory.table
        if self.is_closed:
            self._refuse(
                exchange, http.HTTPStatus.SERVICE_UNAVAILABLE, "node stopping"
            )
            return
        try:
            head = headers.read_request(exchange.fields)
        except headers.CannotRead as error:
            self._refuse(exchange, http.HTTPStatus.BAD_REQUEST, str(error))
            return
        if table is None:
            self._refuse(
                exchange,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "no configuration",
            )
            return
        path = http_server.read_path(exchange.target)
        route = table.find_route(head.host, path)
        if route is None:
            self._unknown_routes.handle(exchange)
            return
        service = self._choose_service(route)
        request = pending_request.PendingRequest(
            exchange=exchange,
            head=head,
            route=route,
            service=service,
            is_keyed=table.is_keyed(service),
            may_be_call=self._may_be_call(exchange, head.deadline_ms),
            started_at_ms=now_ms,
            first_at_ms=now_ms,
            deadline_at_ms=now_ms
            + min(head.deadline_ms - RESPONSE_MARGIN_MS, route.timeout_ms),
            forwarded=headers.encode_forwarded(
                exchange.fields, self._own_service
            ),
        )
        if request.is_keyed and head.key is None:
            self._refuse(exchange, http.HTTPStatus.BAD_REQUEST, "no key")
            return
        self._recognize_return(request)
        self._record_request(request)
        exchange.on_disconnect = lambda: self._handle_disconnect(request)
        request.timer = self._loop.call_later(
            max(0, request.deadline_at_ms - self._now_ms()) / 1_000,
            self._expire,
            request,
        )
        self._dispatch(request)

    def _record_request(self, request: pending_request.PendingRequest) -> None:
        """Counts a request for the retry budget, or as a nested call."""
        route = request.route.name
        if self._called_routes.record(route, request.may_be_call):
            self._upstream.nested_calls.record_call(request.service)
        if not self._called_routes.is_called(route):
            self._retry_budget.record_request(
                request.service, request.started_at_ms
            )

    def _recognize_return(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Finds the first attempt of a caller that was refused before."""
        if self._returning_callers.is_empty:
            return
        first_at_ms = self._returning_callers.claim(
            request.compute_fingerprint(), request.started_at_ms
        )
        if first_at_ms is not None:
            request.first_at_ms = first_at_ms

    def handle_outcome(self, node_id: str, outcome: wire.Outcome) -> None:
        """Handles the outcome that a node reports for a request."""
        request = self._outstanding.get(outcome.number)
        if request is not None and request.node_id == node_id:
            self._apply_outcome(request, outcome)

    def handle_link_lost(self, node_id: str) -> int:
        """Ends the requests sent to a node whose link is lost.

        Returns:
            How many requests the node had not reported on.
        """
        self._withdraw_withheld(node_id)
        lost = [r for r in self._outstanding.values() if r.node_id == node_id]
        for request in lost:
            self._apply_outcome(
                request,
                wire.Outcome(
                    number=request.number,
                    verdict=wire.Verdict.MAY_HAVE_RUN,
                    reason=wire.Reason.LINK_LOST,
                    has_arrived=True,
                ),
            )
        return len(lost)

    def handle_silent(self, node_id: str) -> None:
        """Sends requests elsewhere that a silent node can't run yet."""
        self._withdraw_withheld(node_id)

    def send_body(self, node_id: str, number: int) -> None:
        """Sends the body of a request that a node has accepted.

        A request that was withdrawn meanwhile can't run there.
        """
        request = self._outstanding.get(number)
        if request is None or request.node_id != node_id:
            return
        request.is_body_withheld = False
        self._links.send(
            node_id,
            wire.Body(
                origin=self._directory.own_state.incarnation,
                number=number,
                body=request.exchange.body,
            ),
        )

    def _withdraw_withheld(self, node_id: str) -> None:
        """Sends requests elsewhere whose bodies a node hasn't got."""
        withheld = [
            request
            for request in self._outstanding.values()
            if request.node_id == node_id and request.is_body_withheld
        ]
        for request in withheld:
            self._cancel_outstanding(request)
            request.excluded.add(node_id)
            self._dispatch(request)

    def retry_parked(self, node_id: str = "") -> None:
        """Sends parked requests again where the outcome may differ by now.

        Args:
            node_id: A node that is reachable again or has published a change;
                empty when there is none.
        """
        now_ms = self._now_ms()
        parked, self._parked = self._parked, []
        for request in parked:
            if request.is_ended:
                continue
            if self._should_retry(request, node_id, now_ms):
                self._dispatch(request)
            else:
                self._parked.append(request)

    def _should_retry(
        self, request: pending_request.PendingRequest, node_id: str, now_ms: int
    ) -> bool:
        """Returns whether a parked request may succeed now."""
        if now_ms >= request.retry_at_ms or not request.is_keyed:
            return True
        assert request.head.key is not None
        owner = self._directory.find_owner(request.service, request.head.key)
        return bool(owner) and (owner == node_id or owner != request.node_id)

    def reset_traffic_split(self) -> None:
        """Resets the traffic split after a change of the configuration."""
        self._split_credits.clear()

    def count_pending(self) -> int:
        """Counts the requests that wait for an outcome."""
        return len(self._outstanding) + len(self._parked) + len(self._delayed)

    def expire_all(self) -> None:
        """Ends all requests when the process ends."""
        for request in (
            *self._parked,
            *self._delayed.values(),
            *self._outstanding.values(),
        ):
            self._expire(request)

    def handle_config_checked(self) -> None:
        """Handles the requests that wait for a confirmed configuration."""
        self._unknown_routes.handle_checked()

    def _refuse(
        self,
        exchange: http_server.Exchange,
        status: http.HTTPStatus,
        cause: str,
    ) -> None:
        """Responds to a request that isn't dispatched."""
        request_id = headers.read_request_id(exchange.fields)
        self._responder.refuse_undispatched(exchange, status, request_id, cause)

    def _choose_service(self, route: routing_table.Route) -> str:
        """Chooses a route's service by smooth weighted round-robin."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._split_credits.get(route.name)
        if credit is None:
            # Random start: nodes that all start alike would skew the split.
            credit = {
                share.service: self._random.random() * share.weight
                for share in route.shares
            }
            self._split_credits[route.name] = credit
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credit[share.service] += share.weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= total
        return chosen

    def _may_be_call(
        self, exchange: http_server.Exchange, deadline_ms: int
    ) -> bool:
        """Returns whether the local server may have sent a request."""
        return exchange.peer_ip == self._own_ip and calls.may_be_call(
            deadline_ms, self._upstream.find_left_ms()
        )

    def _dispatch(self, request: pending_request.PendingRequest) -> None:
        if request.is_keyed:
            self._dispatch_keyed(request)
        else:
            self._dispatch_unkeyed(request)

    def _dispatch_keyed(self, request: pending_request.PendingRequest) -> None:
        assert request.head.key is not None
        node_id = self._directory.find_owner(request.service, request.head.key)
        if node_id and self._send(request, node_id, may_wait=True):
            return
        # Logged as the node to which the request would have been sent.
        request.node_id = node_id
        absence_ms = max(
            self._directory.find_absence_ms(node_id, self._now_ms()),
            self._peer_watch.find_silent_ms(node_id),
        )
        if absence_ms > MAX_PARK_MS:
            # Its keys are served again only after its promises have expired.
            left_ms = max(0, promises.PROMISE_MS + MAX_PARK_MS - absence_ms)
            self._finish_unserved(request, "owner unreachable", left_ms)
            return
        self._park(request)

    def _dispatch_unkeyed(
        self, request: pending_request.PendingRequest
    ) -> None:
        now_ms = self._now_ms()
        while request.reroute_count < MAX_REROUTES:
            choice = placement.choose(
                candidates=self._directory.list_placement_candidates(
                    request.service,
                    request.route.name,
                    now_ms,
                    is_call=request.may_be_call,
                ),
                refused_waits=request.refused_waits,
                excluded=request.excluded,
                is_download=request.route.kind
                is routing_table.RouteKind.DOWNLOAD,
                target_ms=request.route.target_ms,
                random_source=self._random,
            )
            if choice is None:
                break
            request.reroute_count += 1
            if self._send(request, choice.node_id, may_wait=choice.may_wait):
                return
            request.excluded.add(choice.node_id)
        if request.retry_delays_ms:
            self._finish_overloaded(request)
            return
        if request.sent_count or request.refused_waits:
            self._finish_unserved(request, "no server available", 0)
            return
        request.excluded.clear()
        self._park(request)

    def _send(
        self,
        request: pending_request.PendingRequest,
        node_id: str,
        *,
        may_wait: bool,
    ) -> bool:
        """Sends a request to a node; returns whether it could be sent."""
        if self._peer_watch.is_silent(node_id):
            return False
        self._next_number += 1
        number = self._next_number
        state = self._directory.find_state(node_id)
        if state is None:
            return False
        work = self._make_work(request, number, state, may_wait)
        request.is_body_withheld = False
        # The other node may have started after the crashes.
        is_remote = node_id != self._own_id
        if is_remote and self._upstream.crashes.is_blocked(work):
            self._finish_unserved(request, "poison", POISON_RETRY_MS)
            return True
        request.number = number
        request.node_id = node_id
        request.sent_at_ms = self._now_ms()
        request.queued_ms = request.ran_ms = request.transit_ms = None
        self._outstanding[number] = request
        if node_id == self._own_id:
            request.job = self._upstream.submit(
                work,
                lambda outcome: self._handle_local_outcome(request, outcome),
            )
            return True
        request.job = None
        body_bytes = len(work.body)
        if (
            not request.is_keyed
            and state.requests_bodies
            and self._offers.should_withhold(body_bytes)
        ):
            work = msgspec.structs.replace(
                work, body=b"", withheld_bytes=body_bytes
            )
            request.is_body_withheld = True
        if self._links.send(node_id, work):
            self._peer_watch.record_sent(node_id)
            return True
        del self._outstanding[number]
        request.number = 0
        return False

    def _make_work(
        self,
        request: pending_request.PendingRequest,
        number: int,
        state: wire.State,
        may_wait: bool,
    ) -> wire.Work:
        now_ms = self._now_ms()
        exchange = request.exchange
        key = request.head.key if request.is_keyed else None
        target_at_ms = request.first_at_ms + request.route.target_ms
        return wire.Work(
            origin=self._directory.own_state.incarnation,
            number=number,
            target_incarnation=state.incarnation,
            request_id=request.head.request_id,
            service=request.service,
            route=request.route.name,
            priority=request.route.priority,
            is_call=request.may_be_call,
            is_once=not request.route.kind.is_repeatable,
            key=wire.NO_KEY if key is None else key,
            target_ms=target_at_ms - now_ms,
            deadline_ms=request.deadline_at_ms - now_ms - SERVER_MARGIN_MS,
            may_wait=may_wait,
            method=exchange.method,
            target=exchange.target,
            head=request.forwarded,
            body=exchange.body,
            accepts_chunks=True,
            host=request.head.host,
            is_return=request.is_return,
        )

    def _handle_local_outcome(
        self, request: pending_request.PendingRequest, outcome: wire.Outcome
    ) -> None:
        # Deferred: the upstream may reply before submit() returns.
        self._loop.call_soon(self.handle_outcome, self._own_id, outcome)
        del request

    def _apply_outcome(
        self, request: pending_request.PendingRequest, outcome: wire.Outcome
    ) -> None:
        self._outstanding.pop(outcome.number, None)
        if request.is_ended or request.number != outcome.number:
            return
        request.number = 0
        request.job = None
        if not request.is_keyed and request.node_id != self._own_id:
            self._offers.record(
                is_refused=outcome.reason
                in (wire.Reason.BUSY, wire.Reason.OVERLOADED)
            )
        request.sent_count += outcome.has_arrived
        if outcome.reason != wire.Reason.LINK_LOST:
            request.record_times(outcome, self._now_ms())
        match outcome.verdict:
            case wire.Verdict.RAN:
                self._responder.forward(request, outcome)
            case wire.Verdict.NOT_RUN:
                self._handle_not_run(request, outcome)
            case _:
                request.may_have_run = True
                self._handle_may_have_run(request, outcome)

    def _handle_not_run(
        self, request: pending_request.PendingRequest, outcome: wire.Outcome
    ) -> None:
        node_id = request.node_id
        match outcome.reason:
            case wire.Reason.BUSY:
                self._responder.log_refused_offer(request, outcome.wait_ms)
                request.refused_waits[node_id] = outcome.wait_ms
                self._dispatch(request)
            case wire.Reason.NOT_OWNER if outcome.has_arrived:
                # The server itself refused, so the send counts as an attempt.
                self._handle_shed(request)
            case wire.Reason.NOT_OWNER:
                self._reroute_to_owner(request)
            case wire.Reason.LEAVING | wire.Reason.SERVER_GONE:
                request.excluded.add(node_id)
                if not request.is_keyed:
                    self._dispatch(request)
                elif outcome.reason == wire.Reason.SERVER_GONE:
                    self._finish_unserved(request, "server gone", MAX_PARK_MS)
                else:
                    self._park(request)
            case wire.Reason.SHED:
                self._handle_shed(request)
            case wire.Reason.OVERLOADED if not request.is_keyed:
                self._offer_elsewhere(request, outcome.wait_ms)
            case wire.Reason.POISON:
                self._finish_unserved(request, "poison", POISON_RETRY_MS)
            case _:
                cause = wire.Reason(outcome.reason).name.lower()
                self._finish_unserved(request, cause, outcome.wait_ms)

    def _offer_elsewhere(
        self, request: pending_request.PendingRequest, retry_delay_ms: int
    ) -> None:
        """Offers a request to other servers after the queue of one refused."""
        request.retry_delays_ms.append(retry_delay_ms)
        request.excluded.add(request.node_id)
        if len(request.retry_delays_ms) < placement.MAX_REFUSALS:
            self._dispatch(request)
            return
        self._finish_overloaded(request)

    def _finish_overloaded(
        self, request: pending_request.PendingRequest
    ) -> None:
        cause = wire.Reason.OVERLOADED.name.lower()
        self._finish_unserved(request, cause, min(request.retry_delays_ms))

    def _reroute_to_owner(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Sends a request to the current owner of its key."""
        assert request.head.key is not None
        node_id = self._directory.find_owner(request.service, request.head.key)
        if node_id == request.node_id or request.reroute_count >= MAX_REROUTES:
            self._park(request)
            return
        request.reroute_count += 1
        self._dispatch(request)

    def _handle_shed(self, request: pending_request.PendingRequest) -> None:
        if not self._may_send_again(request):
            self._finish_unserved(request, "shed", 0)
            return
        self._log_resend(request, "shed")
        if request.is_keyed:
            self._delayed[id(request)] = request
            self._loop.call_later(
                SHED_RETRY_DELAY_S, self._dispatch_after_delay, request
            )
            return
        request.excluded.add(request.node_id)
        self._dispatch(request)

    def _dispatch_after_delay(
        self, request: pending_request.PendingRequest
    ) -> None:
        del self._delayed[id(request)]
        if not request.is_ended:
            self._dispatch(request)

    def _handle_may_have_run(
        self, request: pending_request.PendingRequest, outcome: wire.Outcome
    ) -> None:
        cause = wire.Reason(outcome.reason).name.lower()
        is_repeatable = request.route.kind.is_repeatable
        if outcome.reason == wire.Reason.TOO_LATE:
            self._responder.fail(
                request, http.HTTPStatus.GATEWAY_TIMEOUT, cause
            )
            return
        if not is_repeatable or not self._may_send_again(request):
            self._responder.fail(request, http.HTTPStatus.BAD_GATEWAY, cause)
            return
        self._log_resend(request, cause)
        if not request.is_keyed:
            request.excluded.add(request.node_id)
        self._dispatch(request)

    def _may_send_again(self, request: pending_request.PendingRequest) -> bool:
        if request.sent_count >= request.route.max_attempts:
            return False
        retry = self._retry_budget.take_retry(
            request.service,
            self._now_ms(),
            self._count_members(),
            self._directory.find_nested_calls(request.service),
        )
        if retry is None:
            return False
        request.retries.append(retry)
        return True

    def _log_resend(
        self, request: pending_request.PendingRequest, cause: str
    ) -> None:
        use = self._retry_budget.find_use(
            request.service, self._now_ms(), self._count_members()
        )
        self._responder.log_resend(request, cause, use)

    def find_retry_use(self) -> dict[str, cluster_retry_budget.Use]:
        """Returns the use of the retry budget by service."""
        return {
            service: self._retry_budget.find_use(
                service, self._now_ms(), self._count_members()
            )
            for service in self._retry_budget.list_services()
        }

    def _park(self, request: pending_request.PendingRequest) -> None:
        """Holds a request until a node that may run it is reachable."""
        now_ms = self._now_ms()
        if request.parked_at_ms is None:
            request.parked_at_ms = now_ms
        if now_ms - request.parked_at_ms > MAX_PARK_MS:
            self._finish_unserved(
                request, "no owner reachable", MAX_PARK_MS // 2
            )
            return
        request.retry_at_ms = now_ms + PARK_RETRY_INTERVAL_MS
        self._parked.append(request)
        if self._park_timer is None:
            self._park_timer = self._loop.call_later(
                PARK_CHECK_INTERVAL_S, self._check_parked
            )

    def _check_parked(self) -> None:
        self._park_timer = None
        self.retry_parked()
        if self._parked and self._park_timer is None:
            self._park_timer = self._loop.call_later(
                PARK_CHECK_INTERVAL_S, self._check_parked
            )

    def _expire(self, request: pending_request.PendingRequest) -> None:
        """Ends a request at its deadline."""
        if request.is_ended:
            return
        is_waiting_only = not request.may_have_run and (
            not request.number or request.is_body_withheld
        )
        self._cancel_outstanding(request)
        if is_waiting_only:
            self._finish_unserved(request, "deadline", 0)
            return
        self._responder.fail(
            request, http.HTTPStatus.GATEWAY_TIMEOUT, "deadline"
        )

    def _handle_disconnect(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Cancels a request whose caller has disconnected."""
        if request.is_ended:
            return
        self._cancel_outstanding(request)
        request.end(self._now_ms())
        self._responder.log_disconnect(request)

    def _cancel_outstanding(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Cancels a request at the node to which it was sent."""
        if not request.number:
            return
        self._outstanding.pop(request.number, None)
        if request.job is not None:
            self._upstream.cancel(request.job)
        elif request.node_id != self._own_id:
            self._links.send(
                request.node_id,
                wire.Cancel(
                    origin=self._directory.own_state.incarnation,
                    number=request.number,
                    request_id=request.head.request_id,
                ),
            )
        request.number = 0

    def _finish_unserved(
        self,
        request: pending_request.PendingRequest,
        cause: str,
        retry_after_ms: int,
    ) -> None:
        """Ends a request that has no response of a server.

        The caller gets 503 with a retry delay, or 502 if the request may have
        run.
        """
        if request.may_have_run:
            self._responder.fail(request, http.HTTPStatus.BAD_GATEWAY, cause)
            return
        self._returning_callers.record_refusal(
            request.compute_fingerprint(),
            first_at_ms=request.first_at_ms,
            deadline_at_ms=request.deadline_at_ms,
        )
        # Jitter, so that callers refused together do not retry together.
        jitter = 0.75 + 0.5 * self._random.random()
        after_ms = max(MIN_RETRY_AFTER_MS, retry_after_ms) * jitter
        self._responder.refuse(request, cause, int(after_ms))
