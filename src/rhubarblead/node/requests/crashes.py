"""Crashes of the upstream, and the requests that are suspected of them."""

from collections.abc import Callable
import threading

from rhubarblead import clock
from rhubarblead import messages
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node.requests import work as works
from rhubarblead.requests import poison


class CrashWatch:
    """Keeps what runs at the upstream, and judges what may run.

    Called from many threads; suspects go to the other nodes of the pool by
    the callback.
    """

    __slots__ = ("_events", "_finder", "_lock", "_running", "_spread")

    def __init__(
        self,
        *,
        events: log.EventLog,
        spread: Callable[[messages.SuspectReport], None],
    ) -> None:
        self._events = events
        self._spread = spread
        self._finder = poison.PoisonFinder()
        self._lock = threading.Lock()
        self._running: dict[str, works.Work] = {}

    def judge(self, work: works.Work) -> poison.Judgement:
        """Judges how a request may run now.

        Args:
            work: The request; a sender may have marked it as suspect before
                this node has heard of the crash.

        Returns:
            Whether it may run, alone, or not at all.
        """
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            if not self._finder.has_suspects():
                judgement = poison.Judgement.FREE
            else:
                judgement = self._finder.judge(identify(work), now_ms)
        if judgement is poison.Judgement.FREE and work.forward.is_suspect:
            return poison.Judgement.ALONE
        return judgement

    def begin(self, work: works.Work) -> None:
        """Notes that a request is being sent to the upstream."""
        with self._lock:
            self._running[work.forward.call_id] = work

    def end(self, work: works.Work, *, is_answered: bool) -> None:
        """Notes that a request is over at the upstream."""
        with self._lock:
            self._running.pop(work.forward.call_id, None)
            if is_answered and self._finder.has_suspects():
                self._finder.take_answer(identify(work))

    def count_running(self) -> int:
        """Counts the requests at the upstream."""
        return len(self._running)

    def take_crash(self, crash_id: str) -> None:
        """Makes suspects of all that runs, once for each crash.

        Args:
            crash_id: Names the run of the upstream that crashed.
        """
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            if self._finder.is_known(crash_id):
                return
            fingerprints = [identify(w) for w in self._running.values()]
            suspect = self._finder.take_crash(
                crash_id=crash_id, fingerprints=fingerprints, now_ms=now_ms
            )
        self._events.emit(
            catalog.Event.REQUEST_SUSPECTED,
            crash_id=crash_id,
            fingerprint=",".join(f"{f:016x}" for f in suspect.fingerprints),
            is_alone=suspect.is_alone,
        )
        self._events.emit(
            catalog.Event.UPSTREAM_CRASHED,
            crash_id=crash_id,
            in_flight_count=len(fingerprints),
        )
        self._spread(suspect)

    def take_suspect(self, suspect: messages.SuspectReport) -> None:
        """Takes what another node reports of a crash."""
        with self._lock:
            self._finder.take_suspect(suspect, clock.read_monotonic_ms())


def identify(work: works.Work) -> int:
    """Finds what a request has in common with its repetitions."""
    forward = work.forward
    return poison.find_fingerprint(forward.method, forward.target, work.body)
