"""Runs requests at the upstream beside the node."""

from concurrent import futures
import contextlib

import result

from rhubarblead import clock
from rhubarblead import ownership
from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node import view as views
from rhubarblead.node.requests import execution
from rhubarblead.node.requests import gate
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import probes
from rhubarblead.node.requests import protection
from rhubarblead.node.requests import traffic
from rhubarblead.node.requests import unresolved
from rhubarblead.node.requests import work as works
from rhubarblead.upstream import client

_RETRY_AFTER_MS = 200
_NOT_RUN = verdicts.Verdict.NOT_RUN


class LocalServer:
    """Runs work that belongs here: owned shards, or a balanced pool.

    Everything that must hold for the work to run is checked here, whoever
    sent it.
    """

    __slots__ = (
        "_background",
        "_board",
        "_events",
        "_execution",
        "_gate",
        "_protection",
        "_traffic",
        "_unresolved",
        "_upstream",
    )

    def __init__(
        self,
        *,
        board: views.ViewBoard,
        shard_gate: gate.ShardGate,
        upstream: probes.UpstreamProbe,
        guard: protection.Protection,
        runner: execution.Execution,
        shard_traffic: traffic.ShardTraffic,
        unresolved_runs: unresolved.UnresolvedRuns,
        background: futures.Executor,
        events: log.EventLog,
    ) -> None:
        self._board = board
        self._gate = shard_gate
        self._upstream = upstream
        self._protection = guard
        self._execution = runner
        self._traffic = shard_traffic
        self._unresolved = unresolved_runs
        self._background = background
        self._events = events

    def execute(self, work: works.Work) -> outcomes.Outcome:
        """Runs one request, or refuses it.

        Args:
            work: The request; its deadline is checked.

        Returns:
            The upstream's answer, or a refusal with its verdict.
        """
        if work.find_remaining_ms() <= 0:
            return _refuse(refusals.Refusal.DEADLINE, "no time is left")
        if not work.is_keyed:
            return self._run(work, headers=())
        view = self._board.read()
        refused = self._check_owner(view, work)
        if refused is not None:
            return refused
        counted = self._gate.enter(work.forward.shard)
        if counted is None:
            return _refuse(
                refusals.Refusal.NO_OWNER, "the shard is being handed over"
            )
        self._traffic.count(work.forward.shard)
        with counted:
            outcome = self._run_owned(work)
            self._keep_unresolved(view, work, outcome, counted)
            return outcome

    def _keep_unresolved(
        self,
        view: views.View,
        work: works.Work,
        outcome: outcomes.Outcome,
        counted: contextlib.ExitStack,
    ) -> None:
        """Keeps the shard closed to a handover while the request may run.

        A server that checks grants refuses it after a takeover; another one
        would run it.
        """
        upstream = self._upstream.read()
        pool = view.tables.find_pool(work.forward.pool)
        if upstream is None or pool is None:
            return
        if pool.is_fenced and upstream.announcement.is_fenced:
            return
        if outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._unresolved.add(
                counted=counted.pop_all(),
                incarnation=upstream.announcement.incarnation,
                now_ms=clock.read_monotonic_ms(),
            )

    def _check_owner(
        self, view: views.View, work: works.Work
    ) -> outcomes.Outcome | None:
        forward = work.forward
        assignment = view.state.assignments.get(forward.pool)
        owner = ownership.NO_OWNER
        if assignment is not None and forward.shard < len(assignment.owners):
            owner = assignment.owners[forward.shard]
        if not view.member_id or owner != view.member_id:
            return outcomes.refuse(
                refusals.Refused(
                    refusal=refusals.Refusal.NOT_OWNER,
                    explanation="another node owns the key",
                    retry_after_ms=_RETRY_AFTER_MS,
                ),
                owner=owner,
                ownership_revision=view.state.revision,
            )
        if not self._board.is_lease_held(view.member_id):
            return _refuse(
                refusals.Refusal.NO_OWNER, "the owner holds no lease now"
            )
        return None

    def _run_owned(self, work: works.Work) -> outcomes.Outcome:
        # Read again: the shard may have been handed over and its requests
        # drained between the first check and the entry to the gate.
        view = self._board.read()
        refused = self._check_owner(view, work)
        if refused is not None:
            return refused
        if not work.forward.is_protected:
            return self._run(work, headers=self._build_grant(view, work))
        begun = self._protection.begin(view, work)
        if begun is not None:
            return begun
        self._report_start(view, work)
        # The lease may have lapsed while the request was being noted.
        done = self._check_owner(view, work) or self._run(
            work, headers=self._build_grant(view, work)
        )
        self._protection.finish(view, work, done)
        return done

    def _report_start(self, view: views.View, work: works.Work) -> None:
        forward = work.forward
        assignment = view.state.assignments[forward.pool]
        self._events.emit(
            catalog.Event.REQUEST_STARTED,
            request_id=forward.request_id,
            key=forward.key,
            pool=forward.pool,
            shard=forward.shard,
            fence=assignment.fences[forward.shard],
        )

    def _build_grant(
        self, view: views.View, work: works.Work
    ) -> tuple[tuple[str, str], ...]:
        forward = work.forward
        fence = view.state.assignments[forward.pool].fences[forward.shard]
        end_ms = self._board.find_grant_end_ms(view.member_id)
        expiry_ms = self._upstream.find_expiry_ms(end_ms)
        return (
            ("Rhubarb-Shard", str(forward.shard)),
            ("Rhubarb-Key", forward.key),
            ("Rhubarb-Grant", view.member_id),
            ("Rhubarb-Fence", str(fence)),
            ("Rhubarb-Expires-Ms", str(expiry_ms)),
        )

    def _run(
        self, work: works.Work, headers: tuple[tuple[str, str], ...]
    ) -> outcomes.Outcome:
        upstream = self._upstream.read()
        if upstream is None or not upstream.is_serving:
            return _refuse(
                (
                    refusals.Refusal.NO_OWNER
                    if work.is_keyed
                    else refusals.Refusal.POOL_DOWN
                ),
                "the server beside this node is not serving",
            )
        remaining_ms = work.find_remaining_ms()
        if remaining_ms <= 0:
            return _refuse(refusals.Refusal.DEADLINE, "no time is left")
        outcome = self._execution.run(
            work, lambda: self._send(upstream, work, headers, remaining_ms)
        )
        if outcome.refusal is None:
            self._upstream.take_answer()
        return outcome

    def _send(
        self,
        upstream: probes.UpstreamView,
        work: works.Work,
        headers: tuple[tuple[str, str], ...],
        remaining_ms: int,
    ) -> result.Result[client.UpstreamAnswer, client.UpstreamFailure]:
        forward = work.forward
        sent = upstream.client.send(
            client.UpstreamRequest(
                method=forward.method,
                target=forward.target,
                headers=(
                    *forward.headers,
                    *headers,
                    ("Rhubarb-Deadline-Ms", str(remaining_ms)),
                ),
                body=work.body,
                request_id=forward.request_id,
                timeout_ms=remaining_ms,
                is_repeatable=forward.is_repeatable,
                max_answer_bytes=forward.max_answer_bytes,
            )
        )
        is_late = (
            isinstance(sent, result.Err)
            and sent.err_value.refusal is refusals.Refusal.DEADLINE
            and not sent.err_value.verdict.is_safe_to_repeat
        )
        if is_late:
            # Nobody waits for the answer any more: the slot may be freed.
            self._background.submit(upstream.client.cancel, forward.request_id)
        return sent


def _refuse(refusal: refusals.Refusal, explanation: str) -> outcomes.Outcome:
    return outcomes.refuse(
        refusals.Refused(
            refusal=refusal,
            explanation=explanation,
            retry_after_ms=_RETRY_AFTER_MS,
        ),
        _NOT_RUN,
    )
