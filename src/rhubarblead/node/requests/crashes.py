"""Crashes of the upstream, and the requests suspected of causing them."""

from collections.abc import Callable
import dataclasses
import threading

from rhubarblead import clock
from rhubarblead import messages
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node.requests import work as works
from rhubarblead.requests import crash_reports
from rhubarblead.requests import poison
from rhubarblead.requests import run_shares


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    fingerprints: tuple[int, ...]
    started_at_ms: int


class CrashDetector:
    """Tracks the requests at the upstream, and classifies which may run.

    Thread-safe. `broadcast` sends suspects to the other nodes of the pool.
    """

    __slots__ = (
        "_events",
        "_poison_detector",
        "_lock",
        "_run_shares",
        "_running",
        "_broadcast",
    )

    def __init__(
        self,
        *,
        events: log.EventLog,
        broadcast: Callable[[messages.SuspectReport], None],
    ) -> None:
        self._events = events
        self._broadcast = broadcast
        self._poison_detector = poison.PoisonDetector()
        self._lock = threading.Lock()
        self._run_shares = run_shares.RunShares()
        self._running: dict[str, _Run] = {}

    def classify(self, work: works.Work) -> poison.RunMode:
        """Classifies whether a request may run now.

        Args:
            work: The request. Its sender may have marked it as suspect before
                this node was notified of the crash.

        Returns:
            Whether the request may run freely, only alone, or not at all.
        """
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            if not self._poison_detector.has_suspects():
                run_mode = poison.RunMode.NORMAL
            else:
                run_mode = self._poison_detector.classify(
                    compute_fingerprints(work), now_ms
                )
        if run_mode is poison.RunMode.NORMAL and work.forward.is_suspect:
            return poison.RunMode.ISOLATED
        return run_mode

    def begin(self, work: works.Work) -> None:
        """Records that a request is being sent to the upstream."""
        run = _Run(
            fingerprints=compute_fingerprints(work),
            started_at_ms=clock.read_monotonic_ms(),
        )
        with self._lock:
            self._running[work.forward.call_id] = run

    def end(self, work: works.Work, *, is_answered: bool) -> None:
        """Records that a request has ended at the upstream."""
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            run = self._running.pop(work.forward.call_id, None)
            if run is None or not is_answered:
                return
            for fingerprint in run.fingerprints:
                self._run_shares.record(
                    fingerprint, now_ms - run.started_at_ms, now_ms
                )
                self._poison_detector.record_response(fingerprint)

    def count_running(self) -> int:
        """Counts the requests in progress at the upstream."""
        return len(self._running)

    def record_crash(self, crash_id: str) -> None:
        """Marks all requests in progress as suspects, once for each crash.

        Args:
            crash_id: Identifies the upstream process that crashed.
        """
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            if self._poison_detector.is_known(crash_id):
                return
            crash = self._make_crash(crash_id, now_ms)
            self._poison_detector.record_crash(crash, now_ms)
        report = messages.SuspectReport(**crash_reports.encode(crash, now_ms))
        self._events.emit(
            catalog.Event.REQUEST_SUSPECTED,
            crash_id=crash_id,
            fingerprint=poison.format_fingerprints(report.fingerprints),
            is_alone=report.is_alone,
        )
        self._events.emit(
            catalog.Event.UPSTREAM_CRASHED,
            crash_id=crash_id,
            in_flight_count=len(self._running),
        )
        self._broadcast(report)

    def record_remote_crash(self, report: messages.SuspectReport) -> None:
        """Records the suspects of a crash that another node reports."""
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            self._poison_detector.record_crash(
                crash_reports.decode(report, now_ms), now_ms
            )

    def _make_crash(self, crash_id: str, now_ms: int) -> poison.Crash:
        runs = {
            f: run for run in self._running.values() for f in run.fingerprints
        }
        return poison.Crash(
            crash_id=crash_id,
            happened_at_ms=now_ms,
            suspects=tuple(
                poison.Suspect(
                    fingerprint=fingerprint,
                    started_at_ms=run.started_at_ms,
                    commonness=self._run_shares.estimate(fingerprint, now_ms),
                )
                for fingerprint, run in runs.items()
            ),
            is_alone=len(self._running) == 1,
        )


def compute_fingerprints(work: works.Work) -> tuple[int, ...]:
    """Computes the fingerprints that repetitions of a request share."""
    forward = work.forward
    return poison.compute_fingerprints(
        method=forward.method,
        scope=forward.pool,
        target=forward.target,
        body=work.body,
    )
