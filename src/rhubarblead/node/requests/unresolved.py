"""Requests whose fate an upstream that checks no grants still holds."""

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
    """Keeps shards closed to a handover while a request may still run.

    A request that was sent to a server which then went silent may run when the
    server comes back, whoever owns the shard by then. It counts as in progress
    until that server has ended, or has answered probes for a while again.
    Called from many threads.
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
        """Keeps a request counted.

        Args:
            gate_entry: Counts the request out when it is closed.
            incarnation: The run of the upstream that it was sent to.
            now_ms: The monotonic time.
        """
        run = _Run(
            incarnation=incarnation, failed_at_ms=now_ms, gate_entry=gate_entry
        )
        with self._lock:
            self._runs.append(run)

    def count(self) -> int:
        """Counts the requests that are kept."""
        return len(self._runs)

    def record_end(self, incarnation: str) -> None:
        """Takes note that a run of the upstream has ended."""
        self._release(lambda run: run.incarnation == incarnation)

    def record_probe(
        self, *, incarnation: str, is_healthy: bool, settle_ms: int, now_ms: int
    ) -> None:
        """Takes the outcome of a probe.

        Args:
            incarnation: The run of the upstream that was probed.
            is_healthy: Whether it answered.
            settle_ms: How long after its return a server may still run what
                it had been sent.
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

    def _release(self, is_over: Callable[[_Run], bool]) -> None:
        with self._lock:
            over = [run for run in self._runs if is_over(run)]
            self._runs = [run for run in self._runs if not is_over(run)]
        for run in over:
            run.gate_entry.close()
