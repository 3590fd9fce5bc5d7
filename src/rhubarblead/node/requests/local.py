"""Runs requests at the upstream on the node's instance."""

from collections.abc import Callable
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
from rhubarblead.node.requests import replicated_ledger
from rhubarblead.node.requests import traffic
from rhubarblead.node.requests import unresolved
from rhubarblead.node.requests import work as works
from rhubarblead.upstream import client

_RETRY_AFTER_MS = 200
_NOT_RUN = verdicts.Verdict.NOT_RUN


class LocalServer:
    """Runs requests for the node's own shards or for its balanced pool.

    All preconditions of a request are checked here, no matter which node sent
    it.
    """

    __slots__ = (
        "_background",
        "_shared_view",
        "_events",
        "_execution",
        "_gate",
        "_request_ledger",
        "_traffic",
        "_unresolved",
        "_upstream",
    )

    def __init__(
        self,
        *,
        shared_view: views.SharedView,
        shard_gate: gate.ShardGate,
        upstream: probes.UpstreamProbe,
        request_ledger: replicated_ledger.ReplicatedLedger,
        request_execution: execution.Execution,
        shard_traffic: traffic.ShardTraffic,
        unresolved_runs: unresolved.UnresolvedRuns,
        background: futures.Executor,
        events: log.EventLog,
    ) -> None:
        self._shared_view = shared_view
        self._gate = shard_gate
        self._upstream = upstream
        self._request_ledger = request_ledger
        self._execution = request_execution
        self._traffic = shard_traffic
        self._unresolved = unresolved_runs
        self._background = background
        self._events = events

    def execute(self, work: works.Work) -> outcomes.Outcome:
        """Runs one request, or refuses it.

        Args:
            work: The request. It is refused after its deadline.

        Returns:
            The upstream's response, or a refusal with its verdict.
        """
        if work.find_remaining_ms() <= 0:
            return _refuse(refusals.Refusal.DEADLINE, "no time is left")
        if not work.is_keyed:
            return self._run(work, build_headers=tuple)
        view = self._shared_view.read()
        refused = self._check_owner(view, work)
        if refused is not None:
            return refused
        gate_entry = self._gate.enter(work.forward.shard)
        if gate_entry is None:
            return _refuse(
                refusals.Refusal.NO_OWNER, "the shard is being handed over"
            )
        self._traffic.count(work.forward.shard)
        with gate_entry:
            outcome = self._run_owned(work)
            self._keep_unresolved(view, work, outcome, gate_entry)
            return outcome

    def _keep_unresolved(
        self,
        view: views.View,
        work: works.Work,
        outcome: outcomes.Outcome,
        gate_entry: contextlib.ExitStack,
    ) -> None:
        """Blocks a handover of the shard while the request may still run.

        A server that checks grants refuses the request after a takeover. A
        server that doesn't check them would run it.
        """
        upstream = self._upstream.read()
        pool = view.tables.find_pool(work.forward.pool)
        if upstream is None or pool is None:
            return
        if pool.is_fenced and upstream.announcement.is_fenced:
            return
        if outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._unresolved.add(
                gate_entry=gate_entry.pop_all(),
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
        if not self._shared_view.is_lease_held(view.member_id):
            return _refuse(
                refusals.Refusal.NO_OWNER, "the owner holds no lease now"
            )
        return None

    def _run_owned(self, work: works.Work) -> outcomes.Outcome:
        # The view is read again, since the shard may have been handed over and
        # its requests drained between the first check and the gate.
        view = self._shared_view.read()
        refused = self._check_owner(view, work)
        if refused is not None:
            return refused
        if not work.forward.is_protected:
            return self._run(
                work, build_headers=lambda: self._build_grant(view, work)
            )
        prior_outcome = self._request_ledger.begin(view, work)
        if prior_outcome is not None:
            return prior_outcome
        self._report_start(view, work)
        # The lease may have lapsed while the ledger entry was being copied.
        outcome = self._check_owner(view, work) or self._run(
            work, build_headers=lambda: self._build_grant(view, work)
        )
        self._request_ledger.finish(view, work, outcome)
        return outcome

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
        end_ms = self._shared_view.find_grant_end_ms(view.member_id)
        expiry_ms = self._upstream.find_expiry_ms(end_ms)
        return (
            ("Rhubarb-Shard", str(forward.shard)),
            ("Rhubarb-Key", forward.key),
            ("Rhubarb-Grant", view.member_id),
            ("Rhubarb-Fence", str(fence)),
            ("Rhubarb-Expires-Ms", str(expiry_ms)),
        )

    def _run(
        self,
        work: works.Work,
        build_headers: Callable[[], tuple[tuple[str, str], ...]],
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
        if work.find_remaining_ms() <= 0:
            return _refuse(refusals.Refusal.DEADLINE, "no time is left")
        # The grant and the time left are those after the wait for a slot.
        outcome = self._execution.run(
            work, lambda: self._send(upstream, work, build_headers())
        )
        if outcome.refusal is None:
            self._upstream.record_response()
        return outcome

    def _send(
        self,
        upstream: probes.UpstreamView,
        work: works.Work,
        headers: tuple[tuple[str, str], ...],
    ) -> result.Result[client.UpstreamResponse, client.UpstreamFailure]:
        forward = work.forward
        remaining_ms = work.find_remaining_ms()
        if remaining_ms <= 0:
            return result.Err(
                client.UpstreamFailure(
                    verdict=_NOT_RUN,
                    refusal=refusals.Refusal.DEADLINE,
                    explanation="no time was left after the wait for a slot",
                )
            )
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
            # The caller no longer waits for it: the slot may be freed.
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
