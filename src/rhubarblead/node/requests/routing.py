"""Routes callers' requests to the nodes that run them."""

import dataclasses
import threading

import msgspec
import result

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import refusal as refusals
from rhubarblead import settings
from rhubarblead import verdict as verdicts
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node import jobs
from rhubarblead.node import view as views
from rhubarblead.node.requests import intake
from rhubarblead.node.requests import local
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import server_selection
from rhubarblead.node.requests import work as works
from rhubarblead.requests import retries
from rhubarblead.transport import exchange

_OWNER_WAIT_MS = 100
_LAGGING_OWNER_WAIT_MS = 25
_RETRY_AFTER_MS = 500
_WAITING_DIVISOR = 2

# The request did not run where it was sent, so the next owner may run it.
_AWAITING_OWNER = frozenset(
    {
        refusals.Refusal.NOT_OWNER,
        refusals.Refusal.NO_OWNER,
        refusals.Refusal.FENCED,
        refusals.Refusal.DRAINING,
        refusals.Refusal.PEER_LOST,
    }
)
_TRY_ELSEWHERE = frozenset(
    {
        refusals.Refusal.POOL_DOWN,
        refusals.Refusal.DRAINING,
        refusals.Refusal.SHED,
        refusals.Refusal.OVERLOADED,
        refusals.Refusal.PEER_LOST,
        refusals.Refusal.UPSTREAM_FAILED,
        refusals.Refusal.ANSWER_BROKEN,
    }
)


@dataclasses.dataclass(slots=True, kw_only=True)
class _RoutingState:
    """A request and the results of its earlier attempts."""

    accepted: intake.Accepted
    deadline_ms: int
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    is_suspect: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)

    def record(self, outcome: outcomes.Outcome) -> None:
        self.verdict = verdicts.join_verdicts(self.verdict, outcome.verdict)
        self.is_suspect = self.is_suspect or outcome.is_suspect

    def find_remaining_ms(self) -> int:
        return self.deadline_ms - clock.read_monotonic_ms()


class Router:
    """Routes callers' requests. Thread-safe."""

    __slots__ = (
        "_shared_view",
        "_retry_budget",
        "_server_selector",
        "_events",
        "_peer_exchange",
        "_local",
        "_waiting",
    )

    def __init__(
        self,
        *,
        shared_view: views.SharedView,
        local_server: local.LocalServer,
        peer_exchange: exchange.PeerExchange,
        server_selector: server_selection.ServerSelector,
        retry_budget: retries.SharedRetryBudget,
        limits: settings.Limits,
        events: log.EventLog,
    ) -> None:
        self._shared_view = shared_view
        self._local = local_server
        self._peer_exchange = peer_exchange
        self._server_selector = server_selector
        self._retry_budget = retry_budget
        self._events = events
        # Requests that wait for an owner must not occupy all threads.
        self._waiting = threading.BoundedSemaphore(
            max(1, limits.threads // _WAITING_DIVISOR)
        )

    def handle(self, request: intake.CallerRequest) -> outcomes.Outcome:
        """Routes a caller's request.

        Args:
            request: The request.

        Returns:
            The upstream's response or a refusal, with the combined verdict of
            all attempts.
        """
        started_at_ms = clock.read_monotonic_ms()
        accepted = intake.accept(request, self._shared_view.read().tables)
        try:
            if isinstance(accepted, result.Err):
                outcome = outcomes.refuse(accepted.err_value)
            else:
                outcome = self._route(accepted.ok_value, started_at_ms)
        except Exception as error:
            outcome = _refuse_internal(self._events, error)
        self._report(request, accepted, outcome, started_at_ms)
        return outcome

    def _route(
        self, accepted: intake.Accepted, started_at_ms: int
    ) -> outcomes.Outcome:
        self._retry_budget.record_request()
        state = _RoutingState(
            accepted=accepted,
            deadline_ms=started_at_ms + accepted.timeout_ms,
        )
        if accepted.pool.kind == "keyed":
            outcome = self._route_keyed(state)
        else:
            outcome = self._route_balanced(state)
        return outcomes.replace_verdict(
            outcome, verdicts.join_verdicts(state.verdict, outcome.verdict)
        )

    def _route_keyed(self, state: _RoutingState) -> outcomes.Outcome:
        while True:
            view = self._shared_view.read()
            outcome = self._try_owner(view, state)
            if not self._is_owner_awaited(state, outcome):
                return outcome
            state.record(outcome)
            if not self._wait_for_owner(view, state, outcome):
                return outcome

    def _is_owner_awaited(
        self, state: _RoutingState, outcome: outcomes.Outcome
    ) -> bool:
        if outcome.refusal not in _AWAITING_OWNER:
            return False
        if state.find_remaining_ms() <= 0:
            return False
        # An unrepeatable request that may have run is safe to send again: the
        # owner's ledger admits it at most once, or returns its outcome.
        return (
            outcome.verdict.is_safe_to_repeat
            or state.accepted.is_repeatable
            or state.accepted.is_protected
        )

    def _wait_for_owner(
        self, view: views.View, state: _RoutingState, outcome: outcomes.Outcome
    ) -> bool:
        if not self._waiting.acquire(blocking=False):
            return False
        is_lagging = outcome.ownership_revision < view.state.revision
        wait_ms = _LAGGING_OWNER_WAIT_MS if is_lagging else _OWNER_WAIT_MS
        try:
            remaining_ms = state.find_remaining_ms()
            self._shared_view.wait_for_change(
                seen=view, timeout_ms=min(wait_ms, remaining_ms)
            )
        finally:
            self._waiting.release()
        return state.find_remaining_ms() > 0

    def _try_owner(
        self, view: views.View, state: _RoutingState
    ) -> outcomes.Outcome:
        accepted = state.accepted
        assignment = view.state.assignments.get(accepted.pool.name)
        if assignment is None:
            return _refuse(refusals.Refusal.POOL_DOWN, "the pool has no member")
        shard = assignment.find_shard(accepted.key)
        owner = view.state.members.get(assignment.owners[shard])
        if owner is None:
            return _refuse_unowned(view, accepted.pool.name)
        outcome = self._try_member(view, owner, state, shard)
        if outcome.refusal is refusals.Refusal.NOT_OWNER:
            return dataclasses.replace(outcome, owner="")
        return dataclasses.replace(
            outcome, owner=views.find_http_authority(owner)
        )

    def _route_balanced(self, state: _RoutingState) -> outcomes.Outcome:
        while True:
            view = self._shared_view.read()
            member = self._server_selector.choose(
                view=view, pool=state.accepted.pool, excluded=state.tried
            )
            if member is None:
                return _refuse(
                    refusals.Refusal.POOL_DOWN, "no server of the pool is up"
                )
            state.tried.add(member.member_id)
            with self._server_selector.observe(member) as observation:
                outcome = self._try_member(view, member, state, -1)
                observation.record(outcome)
            if not self._may_try_elsewhere(state, outcome):
                return outcome
            state.record(outcome)

    def _may_try_elsewhere(
        self, state: _RoutingState, outcome: outcomes.Outcome
    ) -> bool:
        if outcome.refusal not in _TRY_ELSEWHERE:
            return False
        # Two servers have crashed while running this request. A third might not
        # refuse it, since a retry is faster than the propagation of suspects.
        if state.is_suspect and outcome.is_suspect:
            return False
        if not (
            outcome.verdict.is_safe_to_repeat or state.accepted.is_repeatable
        ):
            return False
        if (
            state.find_remaining_ms() <= 0
            or not self._retry_budget.take_retry()
        ):
            return False
        self._events.emit(
            catalog.Event.REQUEST_RETRIED,
            request_id=state.accepted.request.request_id,
            reason=outcome.refusal.value,
        )
        return True

    def _try_member(
        self,
        view: views.View,
        member: membership.Member,
        state: _RoutingState,
        shard: int,
    ) -> outcomes.Outcome:
        remaining_ms = state.find_remaining_ms()
        if remaining_ms <= 0:
            return _refuse(refusals.Refusal.DEADLINE, "no time is left")
        forward = state.accepted.build_forward(
            shard=shard,
            remaining_ms=remaining_ms,
            ownership_revision=view.state.revision,
            is_suspect=state.is_suspect,
        )
        body = state.accepted.request.body
        if member.member_id == view.member_id:
            return self._local.execute(
                works.Work(
                    forward=forward, body=body, deadline_ms=state.deadline_ms
                )
            )
        return self._forward(member, forward, body, state.deadline_ms)

    def _forward(
        self,
        member: membership.Member,
        forward: messages.Forward,
        body: bytes,
        deadline_ms: int,
    ) -> outcomes.Outcome:
        message = msgspec.structs.replace(
            forward,
            body_digest=exchange.digest_body(body),
            lamport=self._events.tick(),
        )
        future = self._peer_exchange.call(
            address=views.find_data_address(member),
            message=message,
            body=body,
            deadline_ms=deadline_ms,
        )
        match future.result():
            case exchange.Reply(
                message=messages.Response() as response, body=response_body
            ):
                self._events.observe(response.lamport)
                return outcomes.decode_reply(response, response_body)
            case exchange.NoReply(is_sent=True):
                return _refuse_lost_peer(
                    verdicts.Verdict.MAY_HAVE_RUN, deadline_ms
                )
            case _:
                return _refuse_lost_peer(verdicts.Verdict.NOT_RUN, deadline_ms)

    def _report(
        self,
        request: intake.CallerRequest,
        accepted: result.Result[intake.Accepted, refusals.Refused],
        outcome: outcomes.Outcome,
        started_at_ms: int,
    ) -> None:
        key = ""
        route = ""
        if isinstance(accepted, result.Ok):
            key = accepted.ok_value.key
            route = accepted.ok_value.route.name
        duration_ms = clock.read_monotonic_ms() - started_at_ms
        if outcome.refusal is None:
            self._events.emit(
                catalog.Event.REQUEST_ANSWERED,
                request_id=request.request_id,
                key=key,
                route=route,
                server=outcome.server,
                verdict=outcome.verdict.value,
                status=outcome.status,
                duration_ms=duration_ms,
            )
            return
        self._events.emit(
            catalog.Event.REQUEST_REFUSED,
            request_id=request.request_id,
            key=key,
            route=route,
            refusal=outcome.refusal.value,
            verdict=outcome.verdict.value,
            status=outcome.status,
            duration_ms=duration_ms,
        )


class PeerServer:
    """Runs the requests that other nodes forward to this one."""

    __slots__ = ("_events", "_local")

    def __init__(
        self, *, local_server: local.LocalServer, events: log.EventLog
    ) -> None:
        self._local = local_server
        self._events = events

    def serve(self, forward: messages.Forward, body: bytes) -> exchange.Reply:
        """Runs a forwarded request.

        Args:
            forward: The request.
            body: The body of the request.

        Returns:
            The reply to the node that forwarded it.
        """
        self._events.observe(forward.lamport)
        now_ms = clock.read_monotonic_ms()
        work = works.Work(
            forward=forward,
            body=body,
            deadline_ms=now_ms + forward.remaining_ms,
        )
        try:
            outcome = self._local.execute(work)
        except Exception as error:
            outcome = _refuse_internal(self._events, error)
        return outcomes.encode_reply(
            forward.call_id, outcome, lamport=self._events.tick()
        )


def _refuse_internal(
    events: log.EventLog, error: Exception
) -> outcomes.Outcome:
    """Reports an unexpected exception and refuses the request.

    The request may have run, since the exception may have occurred at any
    point.
    """
    jobs.report_error(events, "request", error)
    return outcomes.refuse(
        refusals.Refused(
            refusal=refusals.Refusal.INTERNAL,
            explanation="the node has failed at this request",
        ),
        verdicts.Verdict.MAY_HAVE_RUN,
    )


def refuse_call(forward: messages.Forward) -> exchange.Reply:
    """Refuses a forwarded request that would wait too long for a thread."""
    refused = _refuse(
        refusals.Refusal.OVERLOADED, "too many requests are in progress"
    )
    return outcomes.encode_reply(forward.call_id, refused)


def refuse_overload(request: intake.CallerRequest) -> outcomes.Outcome:
    """Refuses a caller's request while too many requests wait for a thread."""
    del request
    return _refuse(
        refusals.Refusal.OVERLOADED, "too many requests are in progress"
    )


def _refuse_unowned(view: views.View, pool: str) -> outcomes.Outcome:
    if not view.state.list_pool_members(pool):
        return _refuse(
            refusals.Refusal.POOL_DOWN, "no server of the pool is up"
        )
    return _refuse(refusals.Refusal.NO_OWNER, "nobody owns the key now")


def _refuse_lost_peer(
    verdict: verdicts.Verdict, deadline_ms: int
) -> outcomes.Outcome:
    is_over = clock.read_monotonic_ms() >= deadline_ms
    return outcomes.refuse(
        refusals.Refused(
            refusal=(
                refusals.Refusal.DEADLINE
                if is_over
                else refusals.Refusal.PEER_LOST
            ),
            explanation="the node beside the server did not answer",
            retry_after_ms=_RETRY_AFTER_MS,
        ),
        verdict,
    )


def _refuse(refusal: refusals.Refusal, explanation: str) -> outcomes.Outcome:
    return outcomes.refuse(
        refusals.Refused(
            refusal=refusal,
            explanation=explanation,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    )
