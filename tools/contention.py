"""Measures the contention of writers that change one row concurrently.

Each writer commits once by compare-and-set on an in-memory row, with a network
round trip on a simulated clock. Without `is_spread`, all writers start at once
and retry as soon as they have lost. With it, each writer first waits for the
spread delay of its member and backs off longer after each loss, as a node does.

Usage: python -m tools.contention [--output FILE]
"""

import argparse
import dataclasses
import heapq
import json
import pathlib
import random

from rhubarblead.node.ownership import member_session
from rhubarblead.node.ownership import writing

_CASES = ((13, 3), (1_800, 225))
_ROUND_TRIP_MS = 20
_TICK_MS = 50
_SEED = 1
_PURPOSE = writing.Purpose.GRANTERS


@dataclasses.dataclass(slots=True, kw_only=True)
class Writer:
    """A member that has one change to commit."""

    backoff: writing.ConflictBackoff
    begin_ms: int
    phase_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """Conflicts and time until all writers had committed."""

    member_count: int
    writer_count: int
    is_spread: bool
    conflict_count: int
    done_after_ms: int


def measure(
    *, member_count: int, writer_count: int, is_spread: bool
) -> Measurement:
    """Simulates writers of one row until all have committed.

    Args:
        member_count: Number of members.
        writer_count: Number of members that write.
        is_spread: Whether writers spread their writes over time.

    Returns:
        The number of conflicts and the time taken.
    """
    rng = random.Random(_SEED)
    writers = [
        Writer(
            backoff=writing.ConflictBackoff(rng=random.Random(f"{number}")),
            begin_ms=(
                member_session.find_jitter_ms(
                    member_id=f"m{number}",
                    granters_epoch=0,
                    member_count=member_count,
                )
                if is_spread
                else 0
            ),
            phase_ms=rng.randrange(_TICK_MS),
        )
        for number in range(writer_count)
    ]
    conflict_count, done_ms = _simulate(writers, is_spread=is_spread)
    return Measurement(
        member_count=member_count,
        writer_count=writer_count,
        is_spread=is_spread,
        conflict_count=conflict_count,
        done_after_ms=done_ms,
    )


def _simulate(writers: list[Writer], *, is_spread: bool) -> tuple[int, int]:
    """Returns the number of conflicts and the end of the last commit in ms."""
    revision = 0
    conflict_count = 0
    done_ms = 0
    one_way_ms = _ROUND_TRIP_MS // 2
    # Arrivals at the row: time, writer number and expected revision. An
    # expected revision of -1 stands for the revision of the row one round trip
    # before the arrival, the latest that the writer can have known.
    arrivals = [
        (_find_next_tick(writer, writer.begin_ms) + one_way_ms, number, -1)
        for number, writer in enumerate(writers)
    ]
    heapq.heapify(arrivals)
    committed_ms = [0]
    while arrivals:
        now_ms, number, expected = heapq.heappop(arrivals)
        if expected < 0:
            expected = _count_commits(committed_ms, now_ms - _ROUND_TRIP_MS)
        writer = writers[number]
        answered_ms = now_ms + one_way_ms
        if expected == revision:
            revision += 1
            committed_ms.append(now_ms)
            done_ms = answered_ms
            continue
        conflict_count += 1
        due_ms = answered_ms
        if is_spread:
            writer.backoff.record_conflict(_PURPOSE, answered_ms)
            while not writer.backoff.is_due(_PURPOSE, due_ms):
                due_ms += 1
        # The answer to a conflict holds the row. A writer that waits also
        # learns of later commits.
        sent_ms = _find_next_tick(writer, due_ms)
        known = -1 if sent_ms - answered_ms >= one_way_ms else revision
        heapq.heappush(arrivals, (sent_ms + one_way_ms, number, known))
    return conflict_count, done_ms


def _count_commits(committed_ms: list[int], as_of_ms: int) -> int:
    return sum(1 for at_ms in committed_ms[1:] if at_ms <= as_of_ms)


def _find_next_tick(writer: Writer, due_ms: int) -> int:
    """Returns the first tick of a writer's node at or after a time."""
    return due_ms + (writer.phase_ms - due_ms) % _TICK_MS


def main(arguments: list[str] | None = None) -> None:
    """Measures all cases and prints the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args(arguments)
    measurements = [
        dataclasses.asdict(
            measure(
                member_count=members, writer_count=writers, is_spread=is_spread
            )
        )
        for members, writers in _CASES
        for is_spread in (False, True)
    ]
    text = json.dumps(measurements, indent=2)
    if options.output:
        options.output.write_text(f"{text}\n", encoding="utf-8")
    print(text)


if __name__ == "__main__":
    main()
