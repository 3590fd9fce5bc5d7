"""Runs requests of other nodes at the local server."""

import collections
from collections.abc import Callable
import dataclasses

from rhubarblead.events import catalog
from rhubarblead.router import event_log
from rhubarblead.router import jobs
from rhubarblead.router import response_sender
from rhubarblead.router import upstream
from rhubarblead.router import wire

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


class RemoteJobs:
    """Waiting and running requests of other nodes, which may cancel them."""

    __slots__ = (
        "_answered",
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
    ) -> None:
        """Creates a tracker without jobs.

        Args:
            state: The state that this node publishes.
            local_upstream: The local server.
            sender: Sends the outcomes.
            events: The event log.
        """
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

        def finish(outcome: wire.Outcome) -> None:
            self._jobs.pop(job_id, None)
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

    def _provide_body(self, message: wire.Body) -> None:
        job = self._jobs.get((message.origin, message.number))
        if job is not None:
            self._upstream.provide_body(job, message.body)

    def cancel(self, message: wire.Cancel) -> None:
        """Cancels a request whose caller no longer waits."""
        job_id = (message.origin, message.number)
        job = self._jobs.pop(job_id, None)
        if job is not None:
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
