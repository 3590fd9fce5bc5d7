"""Runs requests of other nodes at the local server."""

from collections.abc import Callable

from rhubarblead.router import upstream
from rhubarblead.router import wire


class RemoteJobs:
    """Waiting and running requests of other nodes, which may cancel them."""

    __slots__ = ("_jobs", "_state", "_upstream")

    def __init__(
        self, *, state: wire.State, local_upstream: upstream.Upstream
    ) -> None:
        """Creates a tracker without jobs.

        Args:
            state: The state that this node publishes.
            local_upstream: The local server.
        """
        self._state = state
        self._upstream = local_upstream
        self._jobs: dict[tuple[str, int], upstream.Job] = {}

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
            reply(outcome)

        job = self._upstream.submit(work, finish)
        if job is not None and not job.is_ended:
            self._jobs[job_id] = job

    def cancel(self, message: wire.Cancel) -> None:
        """Cancels a request whose caller no longer waits."""
        job = self._jobs.pop((message.origin, message.number), None)
        if job is not None:
            self._upstream.cancel(job)
