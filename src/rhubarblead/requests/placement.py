"""Chooses the instance whose server runs a request that has no key.

To even out load, the instance with the lowest expected completion time is asked
to run the request at once. If it can't, it returns its expected wait and the
next instance is asked. Downloads stay in the failure domain of their caller
unless the wait there is long.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import random

DOMAIN_CROSSING_MS = 4.0
"""Round trip of a request and its answer between failure domains."""

DOWNLOAD_CROSSING_MS = 500.0
"""Longest wait in the caller's failure domain that avoids a large transfer."""

SAMPLE_SIZE = 5
"""Candidates compared per choice.

All nodes see the same reports, so comparing all candidates would send their
requests to the same server.
"""

MAX_REFUSALS = 3
"""Servers whose queue refuses a request before it is refused altogether.

A slower one may have free slots; asking all of many would add to an overload.
"""

REPORT_HALF_LIFE_MS = 1_500.0
"""Time in which the weight of a reported wait halves."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An instance that may run a request, with its reported load.

    `wait_ms` was reported `age_ms` ago, and is 0 if a slot was free.
    `service_ms` is the mean service time of the request's route at its server,
    None before the first run. `link_backlog_ms` is the time that its link needs
    for the large responses that are queued or expected there.
    """

    node_id: str
    is_same_domain: bool
    wait_ms: float
    age_ms: float
    service_ms: int | None = None
    link_backlog_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The instance to send a request to, and whether it may wait there."""

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
    """Chooses an instance for a request.

    Args:
        candidates: All instances with a server of the request's service.
        refused_waits: Waits in milliseconds that instances have returned when
            they refused this request, by node.
        excluded: Nodes at which this request has failed.
        is_download: Whether the answer is large.
        random_source: Samples the candidates and breaks ties.

    Returns:
        The choice, or None if there is no candidate.
    """
    best: tuple[float, Candidate] | None = None
    allowed = [
        candidate
        for candidate in candidates
        if candidate.node_id not in excluded
    ]
    known_ms = [p.service_ms for p in allowed if p.service_ms is not None]
    # A server without any run yet is assumed to be of average speed.
    mean_ms = sum(known_ms) / len(known_ms) if known_ms else 0.0
    sample = _draw(allowed, refused_waits, is_download, random_source)
    rotation = random_source.random()
    for number, candidate in enumerate(sample):
        cost_ms = _find_cost_ms(candidate, refused_waits, mean_ms, is_download)
        # Rotation spreads requests among candidates of equal cost.
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
    """Samples the candidates to compare, with those that were asked before."""
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
    service_ms = (
        mean_ms if candidate.service_ms is None else candidate.service_ms
    )
    wait_ms: float | None = refused_waits.get(candidate.node_id)
    if wait_ms is None:
        decay = 0.5 ** (candidate.age_ms / REPORT_HALF_LIFE_MS)
        wait_ms = candidate.wait_ms * decay
        if is_download:
            # The link sends other responses while this one is made.
            backlog_ms = candidate.link_backlog_ms * decay
            wait_ms = max(wait_ms, backlog_ms - service_ms)
    cost_ms = wait_ms + service_ms
    if not candidate.is_same_domain:
        cost_ms += DOWNLOAD_CROSSING_MS if is_download else DOMAIN_CROSSING_MS
    return cost_ms
