"""Finds requests that crash each upstream that runs them.

A crash makes suspects of all that ran then. Suspects run alone. One is
condemned by crashes of which it is the only common suspect: `condemn_after` of
them when it ran alone in one, otherwise one more, as a frequent request may be
in flight at several crashes that it did not cause. An answer clears it, so that
an innocent request in flight at a crash is free after its next run.
"""

import collections
from collections.abc import Iterable
import enum

import xxhash

from rhubarblead import messages

TTL_MS = 600_000
CONDEMN_AFTER_CRASHES = 2
MAX_CRASHES = 256


class Judgement(enum.Enum):
    """How a request may run."""

    FREE = "free"
    ALONE = "alone"
    CONDEMNED = "condemned"


class _Crash:
    """One crash and those that are still suspected of it."""

    __slots__ = ("happened_at_ms", "is_alone", "suspects")

    def __init__(
        self, *, happened_at_ms: int, suspects: set[int], is_alone: bool
    ) -> None:
        self.happened_at_ms = happened_at_ms
        self.is_alone = is_alone
        self.suspects = suspects


class PoisonFinder:
    """Judges requests by the crashes at this node and at others.

    Not safe between threads.
    """

    def __init__(
        self,
        *,
        ttl_ms: int = TTL_MS,
        condemn_after: int = CONDEMN_AFTER_CRASHES,
        max_crashes: int = MAX_CRASHES,
    ) -> None:
        """Makes a finder that suspects nothing.

        Args:
            ttl_ms: How long crashes and condemnations count.
            condemn_after: Crashes that condemn the only common suspect, if it
                ran alone in one.
            max_crashes: Most crashes, and most condemned, that are kept.
        """
        self._ttl_ms = ttl_ms
        self._condemn_after = condemn_after
        self._max_crashes = max_crashes
        self._crashes: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        self._condemned: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def take_crash(
        self, *, crash_id: str, fingerprints: Iterable[int], now_ms: int
    ) -> messages.SuspectReport:
        """Takes a crash of the upstream beside this node.

        Args:
            crash_id: Names the crash, the same for all nodes.
            fingerprints: Those of the requests that were running.
            now_ms: The present moment.

        Returns:
            The message for the other nodes of the pool.
        """
        running = tuple(fingerprints)
        suspect = messages.SuspectReport(
            crash_id=crash_id,
            fingerprints=tuple(sorted(set(running))),
            is_alone=len(running) == 1,
        )
        self.take_suspect(suspect, now_ms)
        return suspect

    def take_suspect(
        self, suspect: messages.SuspectReport, now_ms: int
    ) -> None:
        """Takes a crash that this or another node reports.

        A crash that is known already is passed over.
        """
        self._forget(now_ms)
        if suspect.crash_id in self._crashes or not suspect.fingerprints:
            return
        self._crashes[suspect.crash_id] = _Crash(
            happened_at_ms=now_ms,
            suspects=set(suspect.fingerprints),
            is_alone=suspect.is_alone,
        )
        for fingerprint in suspect.fingerprints:
            if self._is_proved(fingerprint):
                self._condemned[fingerprint] = now_ms
        self._forget(now_ms)

    def has_suspects(self) -> bool:
        """Tells whether any request might not be judged free."""
        return bool(self._crashes or self._condemned)

    def is_known(self, crash_id: str) -> bool:
        """Tells whether a crash was taken before, and still counts."""
        return crash_id in self._crashes

    def take_answer(self, fingerprint: int) -> None:
        """Clears a request that ran and was answered."""
        for crash in self._crashes.values():
            crash.suspects.discard(fingerprint)

    def judge(self, fingerprint: int, now_ms: int) -> Judgement:
        """Judges how a request may run now."""
        if not self.has_suspects():
            return Judgement.FREE
        self._forget(now_ms)
        if fingerprint in self._condemned:
            return Judgement.CONDEMNED
        if self._list_crashes(fingerprint):
            return Judgement.ALONE
        return Judgement.FREE

    def _list_crashes(self, fingerprint: int) -> list[_Crash]:
        return [
            crash
            for crash in self._crashes.values()
            if fingerprint in crash.suspects
        ]

    def _is_proved(self, fingerprint: int) -> bool:
        crashes = self._list_crashes(fingerprint)
        was_alone = any(crash.is_alone for crash in crashes)
        if len(crashes) < self._condemn_after + (not was_alone):
            return False
        common = set.intersection(*(crash.suspects for crash in crashes))
        return common == {fingerprint}

    def _forget(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._ttl_ms
        while self._crashes:
            first = next(iter(self._crashes.values()))
            is_over = len(self._crashes) > self._max_crashes
            if first.happened_at_ms >= oldest_ms and not is_over:
                break
            self._crashes.popitem(last=False)
        while self._condemned:
            condemned_at_ms = next(iter(self._condemned.values()))
            is_over = len(self._condemned) > self._max_crashes
            if condemned_at_ms >= oldest_ms and not is_over:
                break
            self._condemned.popitem(last=False)


def find_fingerprint(method: str, target: str, body: bytes) -> int:
    """Finds what a request has in common with its repetitions.

    The idempotency key is no part of it, as a caller may send the same with
    another key.
    """
    digest = xxhash.xxh3_64(f"{method} {target}\n".encode())
    digest.update(body)
    return int(digest.intdigest())
