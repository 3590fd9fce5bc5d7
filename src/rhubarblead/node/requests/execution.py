"""Runs requests at the upstream, limited to the number of its slots."""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

import result

from rhubarblead import clock
from rhubarblead import rates
from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node.requests import crashes
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import work as works
from rhubarblead.requests import admission
from rhubarblead.requests import poison
from rhubarblead.requests import slots
from rhubarblead.upstream import client

_MAX_LOGGED_CHARACTERS = 80

SendResult: TypeAlias = result.Result[
    client.UpstreamResponse, client.UpstreamFailure
]
MALFORMED_REPORT_MS = 10_000
"""Interval of the reports of malformed limits, which come in each response."""

Send: TypeAlias = Callable[[], SendResult]


class Execution:
    """Admits requests and turns the results of the upstream into outcomes.

    Thread-safe. `detect_crash` returns the ID of the upstream process that has
    just ended, otherwise an empty string.
    """

    __slots__ = (
        "_crashes",
        "_events",
        "_detect_crash",
        "_instance",
        "_malformed_at_ms",
        "_slot_queue",
    )

    def __init__(
        self,
        *,
        instance: str,
        slot_queue: slots.SlotQueue,
        crash_detector: crashes.CrashDetector,
        detect_crash: Callable[[], str],
        events: log.EventLog,
    ) -> None:
        self._instance = instance
        self._slot_queue = slot_queue
        self._crashes = crash_detector
        self._detect_crash = detect_crash
        self._events = events
        self._malformed_at_ms = -MALFORMED_REPORT_MS

    def count_in_flight(self) -> int:
        """Counts the requests that run or wait for a slot."""
        return (
            self._slot_queue.count_running() + self._slot_queue.count_waiting()
        )

    def run(self, work: works.Work, send: Send) -> outcomes.Outcome:
        """Runs a request.

        Args:
            work: The request.
            send: Sends the request to the upstream.

        Returns:
            The upstream's response, or a refusal with its verdict.
        """
        run_mode = self._crashes.classify(work)
        if run_mode is poison.RunMode.BLOCKED:
            return self._refuse_blocked(work)
        ticket = admission.Ticket(
            request_id=work.forward.call_id,
            key=work.forward.key,
            deadline_ms=work.deadline_ms,
            is_exclusive=run_mode is poison.RunMode.ISOLATED,
        )
        entered = self._slot_queue.acquire(ticket)
        if isinstance(entered, result.Err):
            return outcomes.refuse(entered.err_value)
        with self._slot_queue.releasing(ticket.request_id):
            return self._run_admitted(work, send)

    def _run_admitted(self, work: works.Work, send: Send) -> outcomes.Outcome:
        self._crashes.begin(work)
        is_answered = False
        try:
            sent = send()
            is_answered = sent.is_ok()
            if isinstance(sent, result.Ok):
                self._record_limit(sent.ok_value.rate_limit)
            return self._build_outcome(sent)
        finally:
            self._crashes.end(work, is_answered=is_answered)

    def _record_limit(self, text: str) -> None:
        """Records the limit that a response states.

        A malformed one changes nothing.
        """
        limit_per_s = rates.parse_rate(text) if text else None
        if text and limit_per_s is None:
            self._report_malformed(text)
            return
        if self._slot_queue.record_limit(limit_per_s):
            self._events.emit(
                catalog.Event.UPSTREAM_LIMIT_CHANGED,
                server=self._instance,
                limit_per_s=limit_per_s,
            )

    def _report_malformed(self, text: str) -> None:
        now_ms = clock.read_monotonic_ms()
        if now_ms - self._malformed_at_ms < MALFORMED_REPORT_MS:
            return
        self._malformed_at_ms = now_ms
        self._events.emit(
            catalog.Event.UPSTREAM_LIMIT_MALFORMED,
            server=self._instance,
            value=text[:_MAX_LOGGED_CHARACTERS],
        )

    def _build_outcome(self, sent: SendResult) -> outcomes.Outcome:
        match sent:
            case result.Ok(response):
                return outcomes.Outcome(
                    verdict=verdicts.Verdict.RAN,
                    status=response.status,
                    reason=response.reason,
                    headers=response.headers,
                    body=response.body,
                    server=self._instance,
                    in_flight_count=self._slot_queue.count_running(),
                    slots_count=self._slot_queue.count_slots(),
                )
            case result.Err(failure):
                return self._build_refusal(failure)

    def _build_refusal(
        self, failure: client.UpstreamFailure
    ) -> outcomes.Outcome:
        crash_id = self._detect_crash() if failure.is_crash_suspected else ""
        if crash_id:
            self._crashes.record_crash(crash_id)
        refused = outcomes.refuse(
            refusals.Refused(
                refusal=failure.refusal,
                explanation=failure.explanation,
                retry_after_ms=failure.retry_after_ms,
            ),
            failure.verdict,
        )
        return dataclasses.replace(refused, is_suspect=bool(crash_id))

    def _refuse_blocked(self, work: works.Work) -> outcomes.Outcome:
        self._events.emit(
            catalog.Event.REQUEST_CONDEMNED,
            fingerprint=poison.format_fingerprints(
                crashes.compute_fingerprints(work)
            ),
            pool=work.forward.pool,
            route=work.forward.route,
        )
        return outcomes.refuse(
            refusals.Refused(
                refusal=refusals.Refusal.POISON,
                explanation="this request crashes the servers that run it",
            )
        )
