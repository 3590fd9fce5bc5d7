"""Simulates the detection of a request that crashes the servers that run it.

Usage: python -m tools.poison_simulation [--seeds 40] [--seconds 120]

Prints for each case how many servers the request crashed, and how many of the
other requests were refused: those for the same target and those for others.
There is no queue and no lost report.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics
import sys

import fire

from rhubarblead.requests import poison
from rhubarblead.requests import run_shares

RATE_PER_S = 150.0
KEY_COUNT = 2_000
RUN_MS = 220
CRASH_AFTER_MS = 40
DOWN_MS = 3_000
SLOT_COUNT = 18
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """One kind of traffic and crashes.

    `rank` is the popularity of the crashing request's target among those of
    others by Zipf's law, 0 if nobody else requests it, and None without such a
    request. `hot_share` of the requests have the most popular target.
    `other_crash_gap_s` is the mean time between crashes with another cause,
    which hit `other_crash_count` servers at once.
    """

    name: str
    rank: int | None = None
    is_keyed: bool = True
    node_count: int = 6
    hot_share: float = 0.0
    gap_s: float = 3.0
    other_crash_gap_s: float = math.inf
    other_crash_count: int = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """What one run shows; `crashed_count` counts the request's own crashes."""

    crashed_count: int = 0
    served_count: int = 0
    refused_equal_count: int = 0
    refused_other_count: int = 0


CASES = (
    Case(name="no equal requests", rank=0),
    Case(name="rank 1000", rank=1_000),
    Case(name="rank 200", rank=200),
    Case(name="rank 20", rank=20),
    Case(name="rank 2", rank=2),
    Case(name="rank 200, a hot key", rank=200, hot_share=0.35),
    Case(name="rank 2, a hot key", rank=2, hot_share=0.35),
    Case(name="rank 200, other crashes", rank=200, other_crash_gap_s=10.0),
    Case(name="no keys, rank 200", rank=200, is_keyed=False),
    Case(name="no keys, rank 20", rank=20, is_keyed=False),
    Case(name="no keys, rank 2", rank=2, is_keyed=False),
    Case(name="each 20 s", rank=20, gap_s=20.0),
    Case(name="other crashes only", other_crash_gap_s=10.0),
    Case(
        name="other crashes, a hot key", other_crash_gap_s=10.0, hot_share=0.35
    ),
    Case(name="other crashes, no keys", other_crash_gap_s=10.0, is_keyed=False),
    Case(
        name="half of the servers at once",
        other_crash_gap_s=20.0,
        other_crash_count=3,
        is_keyed=False,
    ),
)


class _Node:
    """A server and the node beside it."""

    def __init__(self) -> None:
        self.run_shares = run_shares.RunShares()
        self.runs: dict[int, tuple[int, float]] = {}
        self.down_until_ms = 0.0


class _Simulation:
    """One run of a case."""

    def __init__(self, *, case: Case, seed: int) -> None:
        self._case = case
        self._random = random.Random(seed)
        self._cumulative = list(
            itertools.accumulate(1 / rank for rank in range(1, KEY_COUNT + 1))
        )
        self._nodes = [_Node() for _ in range(case.node_count)]
        self._offset = 0
        self._detector = poison.PoisonDetector()
        self._events: list[tuple[float, int, str, tuple[int, int]]] = []
        self._numbers = itertools.count()
        self.result = Result()

    def run(self, duration_s: float) -> Result:
        """Runs for the given time."""
        self._schedule(0.0, "request")
        if self._case.rank is not None:
            self._schedule(5.0 * _MS_PER_S, "poison")
        self._schedule_other_crash(0.0)
        while self._events:
            now_ms, _, kind, run = heapq.heappop(self._events)
            if now_ms > duration_s * _MS_PER_S:
                break
            match kind:
                case "request":
                    self._handle_request(now_ms)
                case "poison":
                    self._handle_poison(now_ms)
                case "crash":
                    for _ in range(self._case.other_crash_count):
                        node = self._random.choice(self._nodes)
                        self._crash(node, now_ms)
                    self._schedule_other_crash(now_ms)
                case "end":
                    self._end(run, now_ms)
                case _:
                    self._crash(self._nodes[run[0]], now_ms, run[1])
        return self.result

    def _schedule(
        self, at_ms: float, kind: str, run: tuple[int, int] = (0, 0)
    ) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), kind, run))

    def _schedule_other_crash(self, now_ms: float) -> None:
        if math.isfinite(self._case.other_crash_gap_s):
            gap_s = self._random.expovariate(1 / self._case.other_crash_gap_s)
            self._schedule(now_ms + gap_s * _MS_PER_S, "crash")

    def _draw(self) -> int:
        if self._random.random() < self._case.hot_share:
            return 1
        (rank,) = self._random.choices(
            range(1, KEY_COUNT + 1), cum_weights=self._cumulative
        )
        return rank

    def _choose_node(self, fingerprint: int, now_ms: float) -> int | None:
        """Chooses the owner of a key, or any node without keys."""
        up = [
            number
            for number, node in enumerate(self._nodes)
            if node.down_until_ms <= now_ms
        ]
        if not up:
            return None
        if self._case.is_keyed:
            return up[(fingerprint + self._offset) % len(up)]
        return self._random.choice(up)

    def _handle_request(self, now_ms: float) -> None:
        gap_s = self._random.expovariate(RATE_PER_S)
        self._schedule(now_ms + gap_s * _MS_PER_S, "request")
        fingerprint = self._draw()
        if self._is_blocked(fingerprint, now_ms):
            if fingerprint == self._case.rank:
                self.result.refused_equal_count += 1
            else:
                self.result.refused_other_count += 1
            return
        if self._start(fingerprint, now_ms, "end", RUN_MS):
            self.result.served_count += 1

    def _handle_poison(self, now_ms: float) -> None:
        self._schedule(now_ms + self._case.gap_s * _MS_PER_S, "poison")
        assert self._case.rank is not None
        if not self._is_blocked(self._case.rank, now_ms):
            self._start(self._case.rank, now_ms, "poison crash", CRASH_AFTER_MS)

    def _is_blocked(self, fingerprint: int, now_ms: float) -> bool:
        run_mode = self._detector.classify([fingerprint], int(now_ms))
        return run_mode is poison.RunMode.BLOCKED

    def _start(
        self, fingerprint: int, now_ms: float, kind: str, run_ms: int
    ) -> bool:
        number = self._choose_node(fingerprint, now_ms)
        if number is None or len(self._nodes[number].runs) >= SLOT_COUNT:
            return False
        run = next(self._numbers)
        self._nodes[number].runs[run] = (fingerprint, now_ms)
        self._schedule(now_ms + run_ms, kind, (number, run))
        return True

    def _end(self, run: tuple[int, int], now_ms: float) -> None:
        node = self._nodes[run[0]]
        found = node.runs.pop(run[1], None)
        if found is not None:
            node.run_shares.record(found[0], RUN_MS, int(now_ms))
            self._detector.record_response(found[0])

    def _crash(self, node: _Node, now_ms: float, cause: int = -1) -> None:
        if cause >= 0:
            if cause not in node.runs:
                return
            self.result.crashed_count += 1
        divisor = len(self._nodes) if self._case.is_keyed else 1
        suspects = {
            fingerprint: poison.Suspect(
                fingerprint=fingerprint,
                started_at_ms=int(started_at_ms),
                commonness=node.run_shares.estimate(fingerprint, int(now_ms))
                / divisor,
            )
            for fingerprint, started_at_ms in node.runs.values()
        }
        self._detector.record_crash(
            poison.Crash(
                crash_id=str(next(self._numbers)),
                happened_at_ms=int(now_ms),
                suspects=tuple(suspects.values()),
                is_alone=len(node.runs) == 1,
            ),
            int(now_ms),
        )
        node.runs.clear()
        node.down_until_ms = now_ms + DOWN_MS


def simulate(case: Case, seed: int, duration_s: float) -> Result:
    """Simulates one case."""
    return _Simulation(case=case, seed=seed).run(duration_s)


def main(seeds: int = 40, seconds: float = 120.0) -> int:
    """Simulates all cases.

    Args:
        seeds: Number of runs of each case.
        seconds: Duration of each run, in simulated seconds.
    """
    print("case: servers crashed, median and most; refused per mille")
    for case in CASES:
        results = [simulate(case, seed, seconds) for seed in range(seeds)]
        crashed = collections.Counter(r.crashed_count for r in results)
        served = sum(r.served_count for r in results)
        equal = sum(r.refused_equal_count for r in results)
        other = sum(r.refused_other_count for r in results)
        print(
            f"{case.name:28} {statistics.median(crashed.elements()):.0f}"
            f" {max(crashed)}; equal {equal / served * 1_000:.2f},"
            f" others {other / served * 1_000:.2f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda code: None))
