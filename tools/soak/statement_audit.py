"""Checks that servers got what they had stated that they take.

Only nodes that have passed on a statement are bound by it; what happened to a
node's router since then releases the node.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any

from tools.soak import callers

WINDOW_MS = 4_000
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""The platform's rule allows so many times the limit and so many more."""

TOLD_MS = 500
"""Time from the answer that a node has passed on until it is bound by it."""

DRAIN_MS = 2_000
"""The same for an answer of a server that leaves."""

_ARRIVALS = frozenset({"run", "overfull", "turned_away"})

Told = Mapping[tuple[str, str], list[float]]
"""Times of answers with a statement, by server and node."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Period:
    """A time in which a server stated one limit."""

    server: str
    from_ms: float
    to_ms: float
    limit_per_s: float


def find_excesses(
    outcomes: list[callers.Outcome],
    records: list[dict[str, Any]],
    disturbed_ms: Mapping[str, list[float]],
) -> Iterator[str]:
    """Finds servers that got more requests than their limit allows.

    Args:
        outcomes: Outcomes of the callers' requests.
        records: Records that the servers wrote, sorted by time.
        disturbed_ms: Times of the disturbances of each node's router.
    """
    told = _find_told(item for item in outcomes if item.limit)
    arrivals = _list_arrivals(outcomes, records)
    for period in _list_periods(records):
        counted = [
            at_ms
            for at_ms, outcome in arrivals[period.server]
            if period.from_ms <= at_ms < period.to_ms
            and _is_bound(
                [
                    told_ms
                    for told_ms in told.get((period.server, outcome.node), ())
                    if period.from_ms <= told_ms <= at_ms - TOLD_MS
                ],
                disturbed_ms.get(outcome.node, []),
                at_ms,
            )
        ]
        allowed = (
            LIMIT_FACTOR * period.limit_per_s * WINDOW_MS / 1_000 + LIMIT_EXTRA
        )
        found = _count_most(counted)
        if found > allowed:
            yield f"{period}: {found} in {WINDOW_MS} ms, allowed {allowed:g}"


def find_late_sends(
    outcomes: list[callers.Outcome],
    records: list[dict[str, Any]],
    disturbed_ms: Mapping[str, list[float]],
) -> Iterator[str]:
    """Finds requests that reached a server after it had stated that it leaves.

    Args:
        outcomes: Outcomes of the callers' requests.
        records: Records that the servers wrote, sorted by time.
        disturbed_ms: Times of the disturbances of each node's router.
    """
    told = _find_told(item for item in outcomes if item.is_leaving)
    for server, arrived in _list_arrivals(outcomes, records).items():
        for at_ms, outcome in arrived:
            bound = [
                told_ms
                for told_ms in told.get((server, outcome.node), ())
                if told_ms + DRAIN_MS < outcome.sent_ms
            ]
            disturbances = disturbed_ms.get(outcome.node, [])
            if _is_bound(bound, disturbances, at_ms):
                yield f"{outcome} reached {server} at {at_ms:.0f} ms"


def _find_told(outcomes: Iterable[callers.Outcome]) -> Told:
    told: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for outcome in outcomes:
        told[outcome.server, outcome.node].append(outcome.ended_ms)
    return told


def _list_arrivals(
    outcomes: list[callers.Outcome], records: list[dict[str, Any]]
) -> dict[str, list[tuple[float, callers.Outcome]]]:
    """Lists when which requests reached each server."""
    outcomes_by_id = {item.request_id: item for item in outcomes}
    arrivals: dict[str, list[tuple[float, callers.Outcome]]] = (
        collections.defaultdict(list)
    )
    for record in records:
        outcome = outcomes_by_id.get(record.get("request_id", ""))
        if record["kind"] in _ARRIVALS and outcome is not None:
            arrivals[record["server"]].append((record["at_ms"], outcome))
    return arrivals


def _list_periods(records: list[dict[str, Any]]) -> Iterator[_Period]:
    changes = collections.defaultdict(list)
    for record in records:
        if record["kind"] == "statement":
            changes[record["server"]].append((record["at_ms"], record["limit"]))
    for server, found in changes.items():
        ends_ms = [at_ms for at_ms, _ in found[1:]] + [float("inf")]
        for (from_ms, limit), to_ms in zip(found, ends_ms, strict=True):
            if limit is not None:
                yield _Period(
                    server=server,
                    from_ms=from_ms,
                    to_ms=to_ms,
                    limit_per_s=float(limit),
                )


def _is_bound(
    told_ms: list[float], disturbances_ms: list[float], at_ms: float
) -> bool:
    """Returns whether a node was told, and not disturbed since."""
    return any(
        not any(told <= other <= at_ms for other in disturbances_ms)
        for told in told_ms
    )


def _count_most(times_ms: list[float]) -> int:
    """Counts the most times in any window; the times are sorted."""
    return max(
        (
            bisect.bisect_left(times_ms, start_ms + WINDOW_MS) - number
            for number, start_ms in enumerate(times_ms)
        ),
        default=0,
    )
