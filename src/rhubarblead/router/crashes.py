"""Detects crashes of the local server and the requests that cause them.

Guards against a request that crashes each server that runs it and is sent again
after each crash. The nodes share the fingerprints of the requests that were
running at a crash.
"""

import asyncio
from collections.abc import Callable
import secrets

from rhubarblead import messages
from rhubarblead.events import catalog
from rhubarblead.requests import poison
from rhubarblead.router import event_log
from rhubarblead.router import http_client
from rhubarblead.router import tasks
from rhubarblead.router import wire

RESET_WINDOW_S = 0.1
"""All connections of a crashed server are reset within this time."""


class CrashDetector:
    """Tracks crashes at all nodes and the requests suspected of them."""

    __slots__ = (
        "_broadcast",
        "_poison_detector",
        "_events",
        "_now_ms",
        "_pool",
        "_reset_requests",
    )

    def __init__(
        self,
        *,
        pool: http_client.Pool,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        broadcast: Callable[[wire.Message], None],
    ) -> None:
        """Creates a detector without suspects.

        Args:
            pool: Connections to the local server.
            events: The event log.
            now_ms: The clock, in milliseconds.
            broadcast: Sends a message to all nodes.
        """
        self._pool = pool
        self._events = events
        self._now_ms = now_ms
        self._broadcast = broadcast
        self._poison_detector = poison.PoisonDetector()
        self._reset_requests: dict[str, int] = {}

    def is_blocked(self, work: wire.Work) -> bool:
        """Returns whether a request has crashed several servers."""
        if not self._poison_detector.has_suspects():
            return False
        fingerprint = compute_fingerprint(work)
        run_mode = self._poison_detector.classify(fingerprint, self._now_ms())
        if run_mode is not poison.RunMode.BLOCKED:
            return False
        self._events.emit(
            catalog.Event.REQUEST_CONDEMNED,
            request_id=work.request_id,
            fingerprint=_format(fingerprint),
            route=work.route,
        )
        return True

    def record_response(self, work: wire.Work) -> None:
        """Clears a request of suspicion after a response of the server."""
        if not self._poison_detector.has_suspects():
            return
        fingerprint = compute_fingerprint(work)
        if self._poison_detector.record_response(fingerprint):
            self._events.emit(
                catalog.Event.REQUEST_CLEARED,
                request_id=work.request_id,
                fingerprint=_format(fingerprint),
                reason="response",
            )

    def record_reset(self, work: wire.Work) -> None:
        """Records that the connection of a running request was closed."""
        if not self._reset_requests:
            tasks.start(self._check_server(), name="crash", events=self._events)
        self._reset_requests[work.request_id] = compute_fingerprint(work)

    def record_remote_crash(self, message: wire.CrashSuspects) -> None:
        """Records a crash that another node has reported."""
        self._poison_detector.record_report(
            messages.SuspectReport(
                crash_id=message.crash_id,
                fingerprints=tuple(message.fingerprints),
                is_alone=len(message.fingerprints) == 1,
            ),
            self._now_ms(),
        )
        self._events.emit(
            catalog.Event.CRASH_REPORT_RECEIVED,
            crash_id=message.crash_id,
            suspect_count=len(message.fingerprints),
            crash_count=self._poison_detector.count_crashes(),
        )

    async def _check_server(self) -> None:
        """Reports a crash, unless the server still accepts connections."""
        await asyncio.sleep(RESET_WINDOW_S)
        requests, self._reset_requests = self._reset_requests, {}
        connection = await self._pool.open()
        if connection is not None:
            self._pool.release(connection)
            self._events.emit(
                catalog.Event.CONNECTIONS_RESET, reset_count=len(requests)
            )
            return
        self._report_crash(requests)

    def _report_crash(self, requests: dict[str, int]) -> None:
        """Reports a crash with the running requests and their fingerprints."""
        crash_id = secrets.token_hex(8)
        report = self._poison_detector.record_crash(
            crash_id=crash_id,
            fingerprints=set(requests.values()),
            now_ms=self._now_ms(),
        )
        self._events.emit(
            catalog.Event.SERVER_CRASHED,
            crash_id=crash_id,
            running_count=len(requests),
        )
        for request_id, fingerprint in requests.items():
            self._events.emit(
                catalog.Event.REQUEST_SUSPECTED,
                request_id=request_id,
                fingerprint=_format(fingerprint),
                crash_id=crash_id,
                is_alone=report.is_alone,
            )
        self._broadcast(
            wire.CrashSuspects(
                crash_id=crash_id, fingerprints=list(report.fingerprints)
            )
        )


def _format(fingerprint: int) -> str:
    return f"{fingerprint:016x}"


def compute_fingerprint(work: wire.Work) -> int:
    """Computes a hash that a request shares with its repetitions."""
    return poison.compute_fingerprint(
        work.method.decode("latin-1"), work.target.decode("latin-1"), work.body
    )
