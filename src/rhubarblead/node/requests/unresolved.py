"""Requests that an upstream without grant checks may still run."""

from collections.abc import Callable
import contextlib
import dataclasses
import threading


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    incarnation: str
    failed_at_ms: int
    gate_entry: contextlib.ExitStack


class UnresolvedRuns:
    """Blocks the handover of shards while a request may still run.

    A request that was sent to a server before the server went silent may run
    when the server resumes, no matter who owns the shard by then. It counts as
    in progress until that server process has ended, or has answered probes
    again for the settle time. Thread-safe.
    """

    __slots__ = ("_healthy_since_ms", "_lock", "_runs")

    def __init__(self) -> None:
        self._runs: list[_Run] = []
        self._healthy_since_ms = 0
        self._lock = threading.Lock()

    def add(
        self,
        *,
        gate_entry: contextlib.ExitStack,
        incarnation: str,
        now_ms: int,
    ) -> None:
        """Keeps a request counted as in progress.

        Args:
            gate_entry: The request's entry at the gate, closed on its release.
            incarnation: The incarnation of the upstream that it was sent to.
            now_ms: The monotonic time.
        """
        run = _Run(
            incarnation=incarnation, failed_at_ms=now_ms, gate_entry=gate_entry
        )
        with self._lock:
            self._runs.append(run)

    def count(self) -> int:
        """Counts the unresolved requests."""
        return len(self._runs)

    def record_end(self, incarnation: str) -> None:
        """Records that a process of the upstream has ended."""
        self._release(lambda run: run.incarnation == incarnation)

    def record_probe(
        self, *, incarnation: str, is_healthy: bool, settle_ms: int, now_ms: int
    ) -> None:
        """Records the result of a probe.

        Args:
            incarnation: The incarnation of the upstream that was probed.
            is_healthy: Whether the upstream answered.
            settle_ms: How long a server that has resumed may still run requests
                sent to it before.
            now_ms: The monotonic time.
        """
        if not is_healthy:
            self._healthy_since_ms = 0
            return
        if not self._healthy_since_ms:
            self._healthy_since_ms = now_ms
        since_ms = self._healthy_since_ms
        self._release(
            lambda run: run.incarnation != incarnation
            or now_ms - max(since_ms, run.failed_at_ms) >= settle_ms
        )

    def _release(self, is_ended: Callable[[_Run], bool]) -> None:
        with self._lock:
            ended = [run for run in self._runs if is_ended(run)]
            self._runs = [run for run in self._runs if not is_ended(run)]
        for run in ended:
            run.gate_entry.close()
