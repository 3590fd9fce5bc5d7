"""Detects poison requests, which crash each upstream that runs them.

All requests that are running at a crash become suspects, which then run in
isolation. A request is blocked if it is the only common suspect of several
crashes: `block_after` of them if it ran alone in one, otherwise one more, as a
frequent request may be in flight at several crashes that it did not cause. A
response clears a suspect, so that a harmless request in flight at a crash runs
normally after its next response.
"""

import collections
from collections.abc import Iterable
import enum

import xxhash

from rhubarblead import messages

TTL_MS = 600_000
BLOCK_AFTER_CRASHES = 2
MAX_CRASHES = 256


class RunMode(enum.Enum):
    """How a request may run."""

    NORMAL = "free"
    ISOLATED = "alone"
    BLOCKED = "condemned"


class _Crash:
    """One crash and its remaining suspects."""

    __slots__ = ("happened_at_ms", "is_alone", "suspects")

    def __init__(
        self, *, happened_at_ms: int, suspects: set[int], is_alone: bool
    ) -> None:
        self.happened_at_ms = happened_at_ms
        self.is_alone = is_alone
        self.suspects = suspects


class PoisonDetector:
    """Classifies requests by the crashes at this node and at others.

    Not thread-safe.
    """

    def __init__(
        self,
        *,
        ttl_ms: int = TTL_MS,
        block_after: int = BLOCK_AFTER_CRASHES,
        max_crashes: int = MAX_CRASHES,
    ) -> None:
        """Creates a detector without suspects.

        Args:
            ttl_ms: How long crashes and blocks last, in milliseconds.
            block_after: Number of crashes after which their only common
                suspect is blocked, if it ran alone in one.
            max_crashes: Maximum number of crashes, and of blocked requests.
        """
        self._ttl_ms = ttl_ms
        self._block_after = block_after
        self._max_crashes = max_crashes
        self._crashes: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        self._blocked: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def record_crash(
        self, *, crash_id: str, fingerprints: Iterable[int], now_ms: int
    ) -> messages.SuspectReport:
        """Records a crash of the upstream of this node.

        Args:
            crash_id: Identifies the crash on all nodes.
            fingerprints: Fingerprints of the requests that were running.
            now_ms: Current time in milliseconds.

        Returns:
            The message to send to the other nodes of the pool.
        """
        running = tuple(fingerprints)
        report = messages.SuspectReport(
            crash_id=crash_id,
            fingerprints=tuple(sorted(set(running))),
            is_alone=len(running) == 1,
        )
        self.record_report(report, now_ms)
        return report

    def record_report(
        self, report: messages.SuspectReport, now_ms: int
    ) -> None:
        """Records a crash that this or another node reports.

        A crash that is already known is ignored.
        """
        self._expire(now_ms)
        if report.crash_id in self._crashes or not report.fingerprints:
            return
        self._crashes[report.crash_id] = _Crash(
            happened_at_ms=now_ms,
            suspects=set(report.fingerprints),
            is_alone=report.is_alone,
        )
        for fingerprint in report.fingerprints:
            if self._is_proven(fingerprint):
                self._blocked[fingerprint] = now_ms
        self._expire(now_ms)

    def has_suspects(self) -> bool:
        """Returns whether any request might be suspected or blocked."""
        return bool(self._crashes or self._blocked)

    def is_known(self, crash_id: str) -> bool:
        """Returns whether a crash is recorded and has not expired."""
        return crash_id in self._crashes

    def record_response(self, fingerprint: int) -> bool:
        """Clears a request of suspicion after its response.

        Returns:
            Whether it was a suspect.
        """
        crashes = self._list_crashes(fingerprint)
        for crash in crashes:
            crash.suspects.remove(fingerprint)
        return bool(crashes)

    def count_crashes(self) -> int:
        """Counts the recorded crashes."""
        return len(self._crashes)

    def classify(self, fingerprint: int, now_ms: int) -> RunMode:
        """Returns how a request may run now."""
        if not self.has_suspects():
            return RunMode.NORMAL
        self._expire(now_ms)
        if fingerprint in self._blocked:
            return RunMode.BLOCKED
        if self._list_crashes(fingerprint):
            return RunMode.ISOLATED
        return RunMode.NORMAL

    def _list_crashes(self, fingerprint: int) -> list[_Crash]:
        return [
            crash
            for crash in self._crashes.values()
            if fingerprint in crash.suspects
        ]

    def _is_proven(self, fingerprint: int) -> bool:
        crashes = self._list_crashes(fingerprint)
        was_alone = any(crash.is_alone for crash in crashes)
        if len(crashes) < self._block_after + (not was_alone):
            return False
        common = set.intersection(*(crash.suspects for crash in crashes))
        return common == {fingerprint}

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._ttl_ms
        while self._crashes:
            first = next(iter(self._crashes.values()))
            is_over = len(self._crashes) > self._max_crashes
            if first.happened_at_ms >= oldest_ms and not is_over:
                break
            self._crashes.popitem(last=False)
        while self._blocked:
            blocked_at_ms = next(iter(self._blocked.values()))
            is_over = len(self._blocked) > self._max_crashes
            if blocked_at_ms >= oldest_ms and not is_over:
                break
            self._blocked.popitem(last=False)


def compute_fingerprint(method: str, target: str, body: bytes) -> int:
    """Hashes the parts of a request that are the same when it is repeated.

    The idempotency key is left out, as a caller may repeat a request with
    another key.
    """
    digest = xxhash.xxh3_64(f"{method} {target}\n".encode())
    digest.update(body)
    return int(digest.intdigest())
