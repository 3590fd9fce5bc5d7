"""Runs requests at the upstream and counts those in progress."""

from collections.abc import Callable
import threading

import result

from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.node import change as changes
from rhubarblead.node import outcome as outcomes
from rhubarblead.node import view as views
from rhubarblead.node import work as works
from rhubarblead.upstream import client


class Protection:
    """Stands between admitted requests and the upstream."""

    __slots__ = ("_count", "_instance", "_lock")

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self._count = 0
        self._lock = threading.Lock()

    def follow(self, change: changes.StateChange) -> None:
        """Follows the ownership state."""

    def begin(
        self, view: views.View, work: works.Work
    ) -> outcomes.Outcome | None:
        """Admits an unrepeatable request."""
        del view, work
        return None

    def finish(
        self, view: views.View, work: works.Work, done: outcomes.Outcome
    ) -> None:
        """Ends an unrepeatable request."""

    def count_in_flight(self) -> int:
        """Counts the requests in progress at the upstream."""
        return self._count

    def run(
        self,
        work: works.Work,
        send: Callable[
            [], result.Result[client.UpstreamAnswer, client.UpstreamFailure]
        ],
    ) -> outcomes.Outcome:
        """Runs a request.

        Args:
            work: The request.
            send: Sends it to the upstream.

        Returns:
            The upstream's answer, or a refusal with its verdict.
        """
        del work
        with self._lock:
            self._count += 1
        try:
            sent = send()
        finally:
            with self._lock:
                self._count -= 1
        match sent:
            case result.Ok(answer):
                return outcomes.Outcome(
                    verdict=verdicts.Verdict.RAN,
                    status=answer.status,
                    reason=answer.reason,
                    headers=answer.headers,
                    body=answer.body,
                    server=self._instance,
                )
            case result.Err(failure):
                return outcomes.refuse(
                    refusals.Refused(
                        refusal=failure.refusal,
                        explanation=failure.explanation,
                        retry_after_ms=failure.retry_after_ms,
                    ),
                    failure.verdict,
                )
