"""Detects crashes of the local server and the requests that cause them.

Guards against a request that crashes each server that runs it and is sent again
after each crash. The nodes share the fingerprints of the requests that were
running at a crash.

A crash shows in closed connections and a refused new one. If the server falls
silent, or is back before this node looks, it shows in the first heartbeat of
the next incarnation. All runs without a response since the last sign of life
are suspects, also those whose caller has left.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import xxhash

from rhubarblead.events import catalog
from rhubarblead.requests import crash_reports
from rhubarblead.requests import poison
from rhubarblead.requests import run_shares
from rhubarblead.router import event_log
from rhubarblead.router import http_client
from rhubarblead.router import tasks
from rhubarblead.router import wire

RESET_WINDOW_S = 0.02
"""All connections of a crashed server are closed within this time."""

PROBE_TIMEOUT_S = 0.1
"""The server runs on the same instance; the failed requests wait meanwhile."""

RECENT_MS = 500
"""A run that was given up so shortly before may still end the server."""

MAX_ENDED_RUNS = 256
"""Bound on the runs without a response that are remembered."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    """A request that the local server runs or has run.

    `incarnation` identifies the server process. `ended_at_ms` is None while
    the request is running.
    """

    request_id: str
    fingerprints: tuple[int, ...]
    is_keyed: bool
    started_at_ms: int
    incarnation: str
    ended_at_ms: int | None = None


class CrashDetector:
    """Tracks crashes at all nodes and the requests suspected of them."""

    __slots__ = (
        "_broadcast",
        "_node_id",
        "_count_servers",
        "_ended_runs",
        "_incarnation",
        "_is_exit_expected",
        "_last_response_at_ms",
        "_poison_detector",
        "_events",
        "_now_ms",
        "_on_blocked",
        "_on_checked",
        "_pool",
        "_run_shares",
        "_runs",
        "on_reported",
    )

    def __init__(
        self,
        *,
        node_id: str,
        pool: http_client.Pool,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        count_servers: Callable[[], int],
        broadcast: Callable[[wire.Message], None],
        on_blocked: Callable[[], None],
    ) -> None:
        """Creates a detector without suspects.

        Args:
            node_id: This node.
            pool: Connections to the local server.
            events: The event log.
            now_ms: The clock, in milliseconds.
            count_servers: Counts the servers of the local server's service.
            broadcast: Sends a message to all nodes.
            on_blocked: Called when further requests are blocked.
        """
        self._node_id = node_id
        self._pool = pool
        self._events = events
        self._now_ms = now_ms
        self._count_servers = count_servers
        self._broadcast = broadcast
        self._on_blocked = on_blocked
        self._poison_detector = poison.PoisonDetector()
        self._run_shares = run_shares.RunShares()
        self._runs: dict[int, _Run] = {}
        self._ended_runs: collections.deque[_Run] = collections.deque(
            maxlen=MAX_ENDED_RUNS
        )
        self._incarnation = ""
        self._is_exit_expected = False
        self._last_response_at_ms = now_ms()
        self._on_checked: list[Callable[[], None]] = []
        # Called with each crash that this node has reported, also those that
        # an earlier process has.
        self.on_reported: Callable[[poison.Crash], None] = lambda crash: None

    def set_server(self, incarnation: str) -> None:
        """Sets the server process that runs requests from now on.

        The one before it has crashed, unless its exit was expected.

        Args:
            incarnation: Identifies the process on all nodes.
        """
        if incarnation == self._incarnation:
            return
        if self._incarnation and not self._is_exit_expected:
            self._report_crash(None)
        self._incarnation = incarnation
        self._is_exit_expected = False
        self._last_response_at_ms = self._now_ms()

    def expect_exit(self) -> None:
        """Records that the server has deregistered, and will exit."""
        self._is_exit_expected = True

    def is_blocked(self, work: wire.Work) -> bool:
        """Returns whether a request has crashed several servers."""
        if not self._poison_detector.has_blocks():
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

    def must_run_alone(self, work: wire.Work) -> bool:
        """Returns whether an equal request must end before this one may run.

        Answers a request that ends its server and comes again several times at
        once: until an equal request has had a response since the crash, only
        one of them is sent, so that the next crash takes no more along.
        """
        if not self._poison_detector.has_suspects():
            return False
        fingerprints = compute_fingerprints(work)
        if not any(
            set(fingerprints) & set(run.fingerprints)
            for run in self._runs.values()
        ):
            return False
        run_mode = self._poison_detector.classify(fingerprints, self._now_ms())
        return run_mode is poison.RunMode.ISOLATED

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
            incarnation=self._incarnation,
        )

    def record_refusal(self, number: int) -> None:
        """Records that the server has not run a request."""
        del self._runs[number]
        self._last_response_at_ms = self._now_ms()

    def record_response(self, number: int) -> None:
        """Records that the server has answered a request."""
        run = self._runs.pop(number)
        now_ms = self._now_ms()
        self._last_response_at_ms = now_ms
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

    def record_reset(self, number: int, on_checked: Callable[[], None]) -> None:
        """Records that the connection of a running request was closed.

        Args:
            number: The run.
            on_checked: Called once it is known whether the server has crashed
                and the other nodes have been told, so that they know before
                the request can be sent again.
        """
        self.end(number)
        if not self._on_checked:
            tasks.start(self._check_server(), name="crash", events=self._events)
        self._on_checked.append(on_checked)

    def end(self, number: int) -> None:
        """Records that a request has ended, with or without a response."""
        run = self._runs.pop(number, None)
        if run is not None:
            self._ended_runs.append(
                dataclasses.replace(run, ended_at_ms=self._now_ms())
            )

    def record_remote_crash(self, message: wire.CrashSuspects) -> None:
        """Records a crash that another node has reported."""
        now_ms = self._now_ms()
        crash = crash_reports.decode(message, now_ms)
        self._record(crash, now_ms)
        if crash.reporter == self._node_id:
            self.on_reported(crash)
        self._events.emit(
            catalog.Event.CRASH_REPORT_RECEIVED,
            crash_id=message.crash_id,
            suspect_count=len(message.fingerprints),
            crash_count=len(self._poison_detector.list_crashes()),
        )

    def record_stored(self, crashes: Iterable[poison.Crash]) -> None:
        """Records the crashes that the nodes have stored."""
        now_ms = self._now_ms()
        for crash in crashes:
            self._record(crash, now_ms)

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
        """Reports a crash if the server refuses connections."""
        closed_at_ms = self._now_ms()
        incarnation = self._incarnation
        try:
            await asyncio.sleep(RESET_WINDOW_S)
            probe = await self._pool.probe(PROBE_TIMEOUT_S)
            if incarnation == self._incarnation:
                self._handle_probe(probe, closed_at_ms)
        finally:
            on_checked, self._on_checked = self._on_checked, []
            for callback in on_checked:
                callback()

    def _handle_probe(
        self, probe: http_client.Probe, closed_at_ms: int
    ) -> None:
        if probe is http_client.Probe.REFUSED and not self._is_exit_expected:
            self._report_crash(closed_at_ms)
            return
        self._events.emit(
            catalog.Event.CONNECTIONS_RESET,
            reset_count=len(self._on_checked),
            probe=probe.value,
        )

    def _report_crash(self, happened_at_ms: int | None) -> None:
        """Records a crash of the server, and reports it to the other nodes.

        Args:
            happened_at_ms: Its time; None if only its earliest time is known.
        """
        crash_id = xxhash.xxh3_64_hexdigest(self._incarnation.encode())
        runs = self._list_unanswered()
        if not runs or self._poison_detector.is_known(crash_id):
            return
        if happened_at_ms is None:
            started_at_ms = min(run.started_at_ms for run in runs)
            happened_at_ms = max(self._last_response_at_ms, started_at_ms)
        now_ms = self._now_ms()
        crash = poison.Crash(
            crash_id=crash_id,
            happened_at_ms=happened_at_ms,
            suspects=self._make_suspects(runs, now_ms),
            is_alone=len(runs) == 1,
            reporter=self._node_id,
        )
        self._broadcast(
            wire.CrashSuspects(**crash_reports.encode(crash, now_ms))
        )
        self._log_crash(crash, runs)
        self._record(crash, now_ms)
        self.on_reported(crash)

    def _record(self, crash: poison.Crash, now_ms: int) -> None:
        if self._poison_detector.record_crash(crash, now_ms):
            self._on_blocked()

    def _list_unanswered(self) -> list[_Run]:
        """Lists the runs that may have ended the server."""
        since_ms = self._last_response_at_ms - RECENT_MS
        return [
            run
            for run in (*self._ended_runs, *self._runs.values())
            if run.incarnation == self._incarnation
            and (run.ended_at_ms is None or run.ended_at_ms >= since_ms)
        ]

    def _make_suspects(
        self, runs: Iterable[_Run], now_ms: int
    ) -> tuple[poison.Suspect, ...]:
        latest = {f: run for run in runs for f in run.fingerprints}
        return tuple(
            poison.Suspect(
                fingerprint=fingerprint,
                started_at_ms=run.started_at_ms,
                commonness=self._estimate_commonness(
                    fingerprint, now_ms, is_keyed=run.is_keyed
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
