"""Chooses the instance whose server runs a request that has no key.

Answers uneven load: the instance where the request is expected to end first is
asked to run it at once; one that can't says how long it would wait, and the
next one is asked. Downloads stay in the failure domain of their caller unless
waiting there takes long.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import random

DOMAIN_CROSSING_MS = 4.0
"""Time that a request and its answer take between failure domains."""

DOWNLOAD_CROSSING_MS = 500.0
"""Wait in the caller's failure domain that is preferred to a large transfer."""

SAMPLE_SIZE = 5
"""Places compared at a time, of many, as all nodes have the same news."""

REPORT_HALF_LIFE_MS = 1_500.0
"""After which a reported wait counts half."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An instance that may run a request, and what is known of it.

    `wait_ms` was reported `age_ms` ago, 0 with a free slot. `service_ms` is its
    server's mean time of a run of the request's route, None while there was
    none.
    """

    node_id: str
    is_same_domain: bool
    wait_ms: float
    age_ms: float
    service_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Where to send a request, and whether it may wait there."""

    node_id: str
    may_wait: bool


def choose(
    *,
    candidates: Iterable[Candidate],
    refused_waits: dict[str, int],
    excluded: Set[str],
    is_download: bool,
    random_source: random.Random,
) -> Choice | None:
    """Chooses a place for a request.

    Args:
        candidates: All instances with a server of the request's service.
        refused_waits: The waits that instances have just named for this very
            request, by node.
        excluded: Nodes that have failed this request.
        is_download: Whether the answer is large.
        random_source: Draws the places that are compared, and breaks ties.

    Returns:
        The choice, or None when there is no place.
    """
    best: tuple[float, Candidate] | None = None
    allowed = [
        candidate
        for candidate in candidates
        if candidate.node_id not in excluded
    ]
    known_ms = [p.service_ms for p in allowed if p.service_ms is not None]
    # A server without a run yet is tried like an average one.
    mean_ms = sum(known_ms) / len(known_ms) if known_ms else 0.0
    sample = _draw(allowed, refused_waits, is_download, random_source)
    rotation = random_source.random()
    for number, candidate in enumerate(sample):
        cost_ms = _find_cost_ms(candidate, refused_waits, mean_ms, is_download)
        # Rotation spreads requests among equals.
        cost_ms += ((number / len(sample) + rotation) % 1.0) * 2.0
        if best is None or cost_ms < best[0]:
            best = (cost_ms, candidate)
    if best is None:
        return None
    node_id = best[1].node_id
    return Choice(node_id=node_id, may_wait=node_id in refused_waits)


def _draw(
    candidates: list[Candidate],
    refused_waits: dict[str, int],
    is_download: bool,
    random_source: random.Random,
) -> list[Candidate]:
    """Draws the places to compare; those that were asked are among them."""
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    drawn = set(random_source.sample(range(len(candidates)), SAMPLE_SIZE))
    return [
        candidate
        for number, candidate in enumerate(candidates)
        if number in drawn
        or candidate.node_id in refused_waits
        or (is_download and candidate.is_same_domain)
    ]


def _find_cost_ms(
    candidate: Candidate,
    refused_waits: dict[str, int],
    mean_ms: float,
    is_download: bool,
) -> float:
    wait_ms: float | None = refused_waits.get(candidate.node_id)
    if wait_ms is None:
        decay = 0.5 ** (candidate.age_ms / REPORT_HALF_LIFE_MS)
        wait_ms = candidate.wait_ms * decay
    cost_ms = wait_ms + (
        mean_ms if candidate.service_ms is None else candidate.service_ms
    )
    if not candidate.is_same_domain:
        cost_ms += DOWNLOAD_CROSSING_MS if is_download else DOMAIN_CROSSING_MS
    return cost_ms
