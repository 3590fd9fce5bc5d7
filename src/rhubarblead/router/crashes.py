"""Detects crashes of the local server and the requests that cause them.

Guards against a request that crashes each server that runs it and is sent again
after each crash. The nodes share the fingerprints of the requests that were
running at a crash.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import secrets

from rhubarblead.events import catalog
from rhubarblead.requests import crash_reports
from rhubarblead.requests import poison
from rhubarblead.requests import run_shares
from rhubarblead.router import event_log
from rhubarblead.router import http_client
from rhubarblead.router import tasks
from rhubarblead.router import wire

RESET_WINDOW_S = 0.1
"""All connections of a crashed server are reset within this time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    """A request that the local server is running."""

    request_id: str
    fingerprints: tuple[int, ...]
    is_keyed: bool
    started_at_ms: int


class CrashDetector:
    """Tracks crashes at all nodes and the requests suspected of them."""

    __slots__ = (
        "_broadcast",
        "_count_servers",
        "_poison_detector",
        "_events",
        "_now_ms",
        "_pool",
        "_reset_runs",
        "_run_shares",
        "_runs",
    )

    def __init__(
        self,
        *,
        pool: http_client.Pool,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        count_servers: Callable[[], int],
        broadcast: Callable[[wire.Message], None],
    ) -> None:
        """Creates a detector without suspects.

        Args:
            pool: Connections to the local server.
            events: The event log.
            now_ms: The clock, in milliseconds.
            count_servers: Counts the servers of the local server's service.
            broadcast: Sends a message to all nodes.
        """
        self._pool = pool
        self._events = events
        self._now_ms = now_ms
        self._count_servers = count_servers
        self._broadcast = broadcast
        self._poison_detector = poison.PoisonDetector()
        self._run_shares = run_shares.RunShares()
        self._runs: dict[int, _Run] = {}
        self._reset_runs: list[_Run] = []

    def is_blocked(self, work: wire.Work) -> bool:
        """Returns whether a request has crashed several servers."""
        if not self._poison_detector.has_suspects():
            return False
        fingerprints = compute_fingerprints(work)
        run_mode = self._poison_detector.classify(fingerprints, self._now_ms())
        if run_mode is not poison.RunMode.BLOCKED:
            return False
        self._events.emit(
            catalog.Event.REQUEST_CONDEMNED,
            request_id=work.request_id,
            fingerprint=poison.format_fingerprints(fingerprints),
            crash_count=max(
                self._poison_detector.count_crashes(fingerprint)
                for fingerprint in fingerprints
            ),
            route=work.route,
        )
        return True

    def begin(self, number: int, work: wire.Work) -> None:
        """Records that a request is sent to the server.

        Args:
            number: Identifies the run at this node.
            work: The request.
        """
        self._runs[number] = _Run(
            request_id=work.request_id,
            fingerprints=compute_fingerprints(work),
            is_keyed=work.key != wire.NO_KEY,
            started_at_ms=self._now_ms(),
        )

    def record_response(self, number: int) -> None:
        """Records that the server has answered a request."""
        run = self._runs.pop(number)
        now_ms = self._now_ms()
        was_isolated = False
        for fingerprint in run.fingerprints:
            self._run_shares.record(
                fingerprint, now_ms - run.started_at_ms, now_ms
            )
            was_isolated |= self._poison_detector.record_response(fingerprint)
        if was_isolated:
            self._events.emit(
                catalog.Event.REQUEST_CLEARED,
                request_id=run.request_id,
                fingerprint=poison.format_fingerprints(run.fingerprints),
                reason="response",
            )

    def record_reset(self, number: int) -> None:
        """Records that the connection of a running request was closed."""
        if not self._reset_runs:
            tasks.start(self._check_server(), name="crash", events=self._events)
        self._reset_runs.append(self._runs.pop(number))

    def end(self, number: int) -> None:
        """Records that a request has ended, however it did."""
        self._runs.pop(number, None)

    def record_remote_crash(self, message: wire.CrashSuspects) -> None:
        """Records a crash that another node has reported."""
        now_ms = self._now_ms()
        self._poison_detector.record_crash(
            crash_reports.decode(message, now_ms), now_ms
        )
        self._events.emit(
            catalog.Event.CRASH_REPORT_RECEIVED,
            crash_id=message.crash_id,
            suspect_count=len(message.fingerprints),
            crash_count=len(self._poison_detector.list_crashes()),
        )

    def compute_digest(self) -> int:
        """Computes a number that differs if other crashes are on record."""
        return self._poison_detector.compute_digest(self._now_ms())

    def list_reports(self) -> list[wire.CrashSuspects]:
        """Lists the reports of all crashes on record."""
        now_ms = self._now_ms()
        return [
            wire.CrashSuspects(**crash_reports.encode(crash, now_ms))
            for crash in self._poison_detector.list_crashes()
        ]

    async def _check_server(self) -> None:
        """Reports a crash, unless the server still accepts connections."""
        happened_at_ms = self._now_ms()
        await asyncio.sleep(RESET_WINDOW_S)
        runs, self._reset_runs = self._reset_runs, []
        connection = await self._pool.open()
        if connection is not None:
            self._pool.release(connection)
            self._events.emit(
                catalog.Event.CONNECTIONS_RESET, reset_count=len(runs)
            )
            return
        self._report_crash(runs, happened_at_ms)

    def _report_crash(self, runs: list[_Run], happened_at_ms: int) -> None:
        """Records a crash, and reports it to the other nodes."""
        now_ms = self._now_ms()
        crash = poison.Crash(
            crash_id=secrets.token_hex(8),
            happened_at_ms=happened_at_ms,
            suspects=self._make_suspects(runs, happened_at_ms),
            is_alone=len(runs) == 1,
        )
        self._poison_detector.record_crash(crash, now_ms)
        self._broadcast(
            wire.CrashSuspects(**crash_reports.encode(crash, now_ms))
        )
        self._log_crash(crash, runs)

    def _make_suspects(
        self, runs: Iterable[_Run], happened_at_ms: int
    ) -> tuple[poison.Suspect, ...]:
        latest = {f: run for run in runs for f in run.fingerprints}
        return tuple(
            poison.Suspect(
                fingerprint=fingerprint,
                started_at_ms=run.started_at_ms,
                commonness=self._estimate_commonness(
                    fingerprint, happened_at_ms, is_keyed=run.is_keyed
                ),
            )
            for fingerprint, run in latest.items()
        )

    def _estimate_commonness(
        self, fingerprint: int, now_ms: int, *, is_keyed: bool
    ) -> float:
        """Estimates how probably such a request runs at a crash by chance.

        A request that is routed by key runs at one server of its service, and
        another one may crash as well.
        """
        share = self._run_shares.estimate(fingerprint, now_ms)
        return share / max(1, self._count_servers()) if is_keyed else share

    def _log_crash(self, crash: poison.Crash, runs: list[_Run]) -> None:
        self._events.emit(
            catalog.Event.SERVER_CRASHED,
            crash_id=crash.crash_id,
            running_count=len(runs),
        )
        commonness = {s.fingerprint: s.commonness for s in crash.suspects}
        for run in runs:
            self._events.emit(
                catalog.Event.REQUEST_SUSPECTED,
                request_id=run.request_id,
                fingerprint=poison.format_fingerprints(run.fingerprints),
                crash_id=crash.crash_id,
                is_alone=crash.is_alone,
                commonness=round(commonness[run.fingerprints[0]], 3),
            )


def compute_fingerprints(work: wire.Work) -> tuple[int, ...]:
    """Computes the hashes that a request shares with its repetitions."""
    return poison.compute_fingerprints(
        method=work.method.decode("latin-1"),
        scope=work.host,
        target=work.target.decode("latin-1"),
        body=work.body,
    )
