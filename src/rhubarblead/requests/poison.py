"""Detects poison requests, which crash each upstream that runs them.

Requests that are equal as far as callers' fields show share a fingerprint. The
evidence against a fingerprint is a series of crashes, each with a run that
started after the crash before it. It is the stronger, the less probable it is
that such a request was running by chance at so many of the crashes meanwhile:
popular requests are running at most crashes. Responses don't refute it, as
other callers may send harmless requests with the same fingerprint.

A response only ends the isolation of a request that was running at a crash.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math

import xxhash

TTL_MS = 600_000
"""How long a crash counts, and the longest block."""

FIRST_BLOCK_MS = 60_000
"""Duration of the first block; it doubles with each further crash."""

MIN_CRASHES = 3
MIN_CRASHES_IF_ALONE = 2
"""If one of them happened while no other request was running."""

MIN_EVIDENCE_BITS = 8.0
"""One in 256 requests that are running by chance has so much evidence."""

MIN_COMMONNESS = 1 / 64
"""Lower limit, as the commonness of rare requests is hardly known."""

MAX_EVIDENCE_GAP_BITS = 5.0
"""Fingerprints with less evidence than the strongest are blocked, too.

A rare request that ran beside a popular one at each crash by chance has more
evidence; beyond this, the popular one is less probable to be the cause.
"""

ORDER_TOLERANCE_MS = 10
"""The times of a report are shifted by its transit between nodes."""

MAX_CRASHES = 256


class RunMode(enum.Enum):
    """How a request may run."""

    NORMAL = "free"
    ISOLATED = "alone"
    BLOCKED = "condemned"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspect:
    """A request that was running at a crash.

    `commonness` is the estimated probability that a request with its
    fingerprint is running at a crash that it doesn't cause.
    """

    fingerprint: int
    started_at_ms: int
    commonness: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A crash of a server; `crash_id` identifies it on all nodes.

    `is_alone` is set if a single request was running. `reporter` is the node
    that has seen it, and `time_error_ms` bounds the error of the times that it
    was told, or has read.
    """

    crash_id: str
    happened_at_ms: int
    suspects: tuple[Suspect, ...]
    is_alone: bool
    reporter: str = ""
    time_error_ms: int = 0


class _Record:
    """A crash, its suspects without a response since, and its cause."""

    __slots__ = ("causes", "crash", "suspects", "unanswered")

    def __init__(self, *, crash: Crash) -> None:
        self.crash = crash
        self.suspects = {s.fingerprint: s for s in crash.suspects}
        self.unanswered = set(self.suspects)
        self.causes: set[int] = set()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Block:
    until_ms: int
    duration_ms: int


class PoisonDetector:
    """Classifies requests by the crashes at this node and at others.

    Not thread-safe.
    """

    __slots__ = ("_blocks", "_max_crashes", "_records", "_ttl_ms")

    def __init__(
        self, *, ttl_ms: int = TTL_MS, max_crashes: int = MAX_CRASHES
    ) -> None:
        """Creates a detector without suspects.

        Args:
            ttl_ms: How long crashes count, in milliseconds.
            max_crashes: Maximum number of crashes, and of blocked requests.
        """
        self._ttl_ms = ttl_ms
        self._max_crashes = max_crashes
        self._records: dict[str, _Record] = {}
        self._blocks: dict[int, _Block] = {}

    def record_crash(self, crash: Crash, now_ms: int) -> tuple[int, ...]:
        """Records a crash at this or another node, once.

        Returns:
            The fingerprints that are blocked because of it.
        """
        self._expire(now_ms)
        is_expired = crash.happened_at_ms < now_ms - self._ttl_ms
        if crash.crash_id in self._records or is_expired or not crash.suspects:
            return ()
        record = _Record(crash=crash)
        self._records[crash.crash_id] = record
        causes = self._find_causes(record)
        for fingerprint in causes:
            self._block(fingerprint, causes)
        self._expire(now_ms)
        return causes

    def list_crashes(self) -> list[Crash]:
        """Lists the recorded crashes."""
        return [record.crash for record in self._records.values()]

    def compute_digest(self, now_ms: int) -> int:
        """Computes a number that differs if other crashes are on record.

        Returns:
            A number of 64 bits, 0 if no crash is on record.
        """
        self._expire(now_ms)
        digest = 0
        for crash_id in self._records:
            digest ^= _compute_digest(crash_id.encode())
        return digest

    def has_suspects(self) -> bool:
        """Returns whether any request might be suspected or blocked."""
        return bool(self._records or self._blocks)

    def has_blocks(self) -> bool:
        """Returns whether any request might be blocked."""
        return bool(self._blocks)

    def is_known(self, crash_id: str) -> bool:
        """Returns whether a crash is recorded and has not expired."""
        return crash_id in self._records

    def count_crashes(self, fingerprint: int) -> int:
        """Counts the crashes that are evidence against a fingerprint."""
        return len(self._list_series(fingerprint))

    def record_response(self, fingerprint: int) -> bool:
        """Ends the isolation of a request after its response.

        Returns:
            Whether it was isolated.
        """
        records = self._list_unanswered(fingerprint)
        for record in records:
            record.unanswered.remove(fingerprint)
        return bool(records)

    def classify(self, fingerprints: Sequence[int], now_ms: int) -> RunMode:
        """Returns how a request with these fingerprints may run now."""
        if not self.has_suspects():
            return RunMode.NORMAL
        self._expire(now_ms)
        if any(self._is_blocked(f, now_ms) for f in fingerprints):
            return RunMode.BLOCKED
        if any(self._list_unanswered(f) for f in fingerprints):
            return RunMode.ISOLATED
        return RunMode.NORMAL

    def _is_blocked(self, fingerprint: int, now_ms: int) -> bool:
        block = self._blocks.get(fingerprint)
        return block is not None and now_ms < block.until_ms

    def _list_unanswered(self, fingerprint: int) -> list[_Record]:
        return [
            record
            for record in self._records.values()
            if fingerprint in record.unanswered
        ]

    def _list_series(self, fingerprint: int) -> list[_Record]:
        """Lists crashes that the fingerprint may have caused one by one.

        Runs at several servers at the time of one crash are those of different
        requests, and crashes of known causes are no evidence against others.
        """
        found = [
            record
            for record in self._records.values()
            if fingerprint in record.suspects
            and (not record.causes or fingerprint in record.causes)
        ]
        found.sort(key=_get_time)
        series: list[_Record] = []
        for record in found:
            if not series or _follows(record, series[-1], fingerprint):
                series.append(record)
        return series

    def _find_causes(self, record: _Record) -> tuple[int, ...]:
        """Finds the fingerprints that explain a crash best, if any does."""
        evidence = {}
        for fingerprint in record.suspects:
            series = self._list_series(fingerprint)
            bits = self._weigh(fingerprint, series)
            if _is_sufficient(series, bits):
                evidence[fingerprint] = bits
        strongest = max(evidence.values(), default=0.0) - MAX_EVIDENCE_GAP_BITS
        return tuple(f for f, bits in evidence.items() if bits >= strongest)

    def _weigh(self, fingerprint: int, series: Sequence[_Record]) -> float:
        """Returns the evidence of a series of crashes, in bits."""
        commonness = max(r.suspects[fingerprint].commonness for r in series)
        crash_count = sum(
            _get_time(series[0]) <= _get_time(record) <= _get_time(series[-1])
            for record in self._records.values()
            if not record.causes or fingerprint in record.causes
        )
        return -math.log2(
            _find_tail_probability(
                crash_count, len(series), max(MIN_COMMONNESS, commonness)
            )
        )

    def _block(self, fingerprint: int, causes: Iterable[int]) -> None:
        series = self._list_series(fingerprint)
        for record in series:
            record.causes.update(causes)
        crashed_at_ms = _get_time(series[-1])
        earlier = self._blocks.pop(fingerprint, None)
        duration_ms = FIRST_BLOCK_MS
        if earlier is not None:
            is_new = crashed_at_ms >= earlier.until_ms
            duration_ms = earlier.duration_ms * (2 if is_new else 1)
        self._blocks[fingerprint] = _Block(
            until_ms=crashed_at_ms + min(duration_ms, self._ttl_ms),
            duration_ms=duration_ms,
        )

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._ttl_ms
        expired = [
            crash_id
            for crash_id, record in self._records.items()
            if record.crash.happened_at_ms < oldest_ms
        ]
        for crash_id in expired:
            del self._records[crash_id]
        # The duration of an ended block is kept for the next one.
        ended = [f for f, b in self._blocks.items() if b.until_ms < oldest_ms]
        for fingerprint in ended:
            del self._blocks[fingerprint]
        while len(self._records) > self._max_crashes:
            del self._records[next(iter(self._records))]
        while len(self._blocks) > self._max_crashes:
            del self._blocks[next(iter(self._blocks))]


def compute_fingerprints(
    *, method: str, scope: str, target: str, body: bytes
) -> tuple[int, ...]:
    """Hashes the parts of a request that are the same when it is repeated.

    Repetitions may differ in their query, so that a request with a query has a
    second fingerprint without it. The idempotency key is left out, as a caller
    may repeat a request with another key.

    Args:
        method: The method.
        scope: What the target is relative to, as the host or the pool.
        target: The request target.
        body: The body.

    Returns:
        The fingerprint and, with a query, that of the request without it.
    """
    path, _, query = target.partition("?")
    targets = (target, path) if query else (target,)
    return tuple(
        _compute_digest(f"{method} {scope} {part}\n".encode(), body)
        for part in targets
    )


def format_fingerprints(fingerprints: Iterable[int]) -> str:
    """Formats fingerprints for the log."""
    return ",".join(f"{fingerprint:016x}" for fingerprint in fingerprints)


def _compute_digest(*parts: bytes) -> int:
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
    return int(digest.intdigest())


def _follows(record: _Record, earlier: _Record, fingerprint: int) -> bool:
    """Returns whether a suspect's run started after an earlier crash."""
    tolerance_ms = ORDER_TOLERANCE_MS + max(
        record.crash.time_error_ms, earlier.crash.time_error_ms
    )
    started_at_ms = record.suspects[fingerprint].started_at_ms
    return started_at_ms >= _get_time(earlier) - tolerance_ms


def _get_time(record: _Record) -> int:
    return record.crash.happened_at_ms


def _find_tail_probability(
    trial_count: int, hit_count: int, probability: float
) -> float:
    """Returns the probability of so many hits or more in independent trials."""
    return sum(
        math.comb(trial_count, count)
        * probability**count
        * (1 - probability) ** (trial_count - count)
        for count in range(hit_count, trial_count + 1)
    )


def _is_sufficient(series: Sequence[_Record], bits: float) -> bool:
    was_alone = any(record.crash.is_alone for record in series)
    min_count = MIN_CRASHES_IF_ALONE if was_alone else MIN_CRASHES
    return len(series) >= min_count and bits >= MIN_EVIDENCE_BITS
