"""Sends admitted requests to the upstream and counts those in progress."""

from collections.abc import Callable
import threading
from typing import TypeAlias

import result

from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.node import outcome as outcomes
from rhubarblead.upstream import client

Send: TypeAlias = Callable[
    [], result.Result[client.UpstreamAnswer, client.UpstreamFailure]
]


class Execution:
    """Turns what the upstream did into outcomes; called from many threads."""

    __slots__ = ("_count", "_instance", "_lock")

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self._count = 0
        self._lock = threading.Lock()

    def count_in_flight(self) -> int:
        """Counts the requests in progress at the upstream."""
        return self._count

    def run(self, send: Send) -> outcomes.Outcome:
        """Runs a request.

        Args:
            send: Sends it to the upstream.

        Returns:
            The upstream's answer, or a refusal with its verdict.
        """
        self._add(1)
        try:
            sent = send()
        finally:
            self._add(-1)
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

    def _add(self, change: int) -> None:
        with self._lock:
            self._count += change
