"""Runs requests of other nodes at the local server."""

import collections
from collections.abc import Callable
import dataclasses

from rhubarblead.events import catalog
from rhubarblead.requests import offer_history
from rhubarblead.router import event_log
from rhubarblead.router import jobs
from rhubarblead.router import outcomes
from rhubarblead.router import request_budget
from rhubarblead.router import response_sender
from rhubarblead.router import upstream
from rhubarblead.router import wire

NO_MEMORY_RETRY_MS = 500
"""Time after which a large body may find memory; a run takes less."""

MAX_ANSWERED_COUNT = 256
"""Answered requests that are remembered to explain a late cancellation."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Answered:
    """Where an answered request's time went, and the transfer of its outcome.

    `transfer` is None if the outcome was sent at once.
    """

    queued_ms: int
    ran_ms: int
    transfer: int | None


class _Body:
    """A large body of a request of another node."""

    __slots__ = ("size_bytes",)

    def __init__(self, *, size_bytes: int) -> None:
        self.size_bytes = size_bytes

    def has_stalled(self) -> bool:
        """Returns false, as its own node drops a request that has stalled."""
        return False

    def drop_request(self) -> None:
        """Does nothing: it never has to make room."""


class RemoteJobs:
    """Waiting and running requests of other nodes, which may cancel them."""

    __slots__ = (
        "_answered",
        "_bodies",
        "_budget",
        "_events",
        "_jobs",
        "_sender",
        "_state",
        "_upstream",
    )

    def __init__(
        self,
        *,
        state: wire.State,
        local_upstream: upstream.Upstream,
        sender: response_sender.ResponseSender,
        events: event_log.EventLog,
        budget: request_budget.RequestBudget,
    ) -> None:
        """Creates a tracker without jobs.

        Args:
            state: The state that this node publishes.
            local_upstream: The local server.
            sender: Sends the outcomes.
            events: The event log.
            budget: Limits the memory of all requests of the process.
        """
        self._budget = budget
        self._bodies: dict[tuple[str, int], _Body] = {}
        self._events = events
        self._sender = sender
        self._answered: collections.OrderedDict[tuple[str, int], _Answered] = (
            collections.OrderedDict()
        )
        self._state = state
        self._upstream = local_upstream
        self._jobs: dict[tuple[str, int], jobs.Job] = {}

    def handle(
        self,
        message: wire.Work | wire.Body | wire.Cancel | wire.ChunkAck,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Handles a message about a request of another node."""
        match message:
            case wire.Work():
                self.submit(message, reply)
            case wire.Body():
                self._provide_body(message)
            case wire.Cancel():
                self.cancel(message)
            case wire.ChunkAck():
                self._sender.acknowledge(message)

    def submit(
        self, work: wire.Work, reply: Callable[[wire.Message], None]
    ) -> None:
        """Submits a request, and replies once with its outcome."""
        is_stale = work.target_incarnation != self._state.incarnation
        if is_stale or work.service != self._state.service:
            reply(
                wire.Outcome(
                    number=work.number,
                    verdict=wire.Verdict.NOT_RUN,
                    reason=wire.Reason.NOT_OWNER,
                )
            )
            return
        job_id = (work.origin, work.number)
        if not self._reserve_body(job_id, work):
            reply(
                outcomes.make_refusal(
                    work, wire.Reason.OVERLOADED, NO_MEMORY_RETRY_MS
                )
            )
            return

        def finish(outcome: wire.Outcome) -> None:
            self._jobs.pop(job_id, None)
            self._release_body(job_id)
            transfer = None
            if work.accepts_chunks:
                transfer = self._sender.send(work.request_id, outcome, reply)
            else:
                reply(outcome)
            self._record_answered(job_id, outcome, transfer)

        job = self._upstream.submit(
            work,
            finish,
            lambda: reply(wire.BodyRequest(number=work.number)),
        )
        if job is not None and not job.is_ended:
            self._jobs[job_id] = job

    def _reserve_body(self, job_id: tuple[str, int], work: wire.Work) -> bool:
        """Reserves memory for a large body; returns whether there is some."""
        body = _Body(size_bytes=work.withheld_bytes or len(work.body))
        if body.size_bytes < offer_history.LARGE_BODY_BYTES:
            return True
        if not self._budget.reserve(body, body.size_bytes):
            return False
        self._bodies[job_id] = body
        return True

    def _release_body(self, job_id: tuple[str, int]) -> None:
        body = self._bodies.pop(job_id, None)
        if body is not None:
            self._budget.release(body, body.size_bytes)

    def _provide_body(self, message: wire.Body) -> None:
        job = self._jobs.get((message.origin, message.number))
        if job is not None:
            self._upstream.provide_body(job, message.body)

    def cancel(self, message: wire.Cancel) -> None:
        """Cancels a request whose caller no longer waits."""
        job_id = (message.origin, message.number)
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._release_body(job_id)
            self._upstream.cancel(job)
            return
        answered = self._answered.get(job_id)
        if answered is not None and answered.transfer is not None:
            self._sender.cancel(answered.transfer)
        self._events.emit(
            catalog.Event.SEND_CANCELLED,
            request_id=message.request_id,
            stage="unknown" if answered is None else "answered",
            queued_ms=None if answered is None else answered.queued_ms,
            ran_ms=None if answered is None else answered.ran_ms,
        )

    def _record_answered(
        self,
        job_id: tuple[str, int],
        outcome: wire.Outcome,
        transfer: int | None,
    ) -> None:
        self._answered[job_id] = _Answered(
            queued_ms=outcome.queued_ms,
            ran_ms=outcome.ran_ms,
            transfer=transfer,
        )
        if len(self._answered) > MAX_ANSWERED_COUNT:
            self._answered.popitem(last=False)
