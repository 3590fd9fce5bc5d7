"""Chooses the instance whose server runs a request that has no key.

To even out load, the instance with the lowest expected completion time is asked
to run the request at once. If it can't, it returns its expected wait and the
next instance is asked. A request stays in the failure domain of its caller
unless the wait there takes a good part of the time until its target: traffic
between failure domains is dear, and fills the links of both instances.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import random

CROSSING_TARGET_SHARE = 0.2
"""Share of its target that a request may wait to stay in its failure domain.

What is left covers the run, and the wait if the estimate is too low.
"""

DOWNLOAD_CROSSING_MS = 500.0
"""Longest wait in the caller's failure domain that avoids a large transfer."""

SAMPLE_SIZE = 5
"""Candidates compared per choice.

All nodes see the same reports, so comparing all candidates would send their
requests to the same server.
"""

FITTING_TARGET_SHARE = 0.7
"""Share of the target within which a response is expected to be in time."""

SERVICE_WEIGHT = 0.1
"""Weight of the service time among servers that will respond in time.

A free slot of a slow server costs nothing; a wait at a fast one delays others.
"""

NEAR_SAMPLE_SIZE = 3
"""Those of them in the failure domain of the caller, if it has so many."""

MAX_OFFERS = 3
"""Busy servers to which a request is offered before it waits at one of them.

An offer takes a round trip, and most carry the whole request. Under overload
all servers are busy, and offers to all of them would fill their links.
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
    target_ms: int,
    random_source: random.Random,
) -> Choice | None:
    """Chooses an instance for a request.

    Args:
        candidates: All instances with a server of the request's service.
        refused_waits: Waits in milliseconds that instances have returned when
            they refused this request, by node.
        excluded: Nodes at which this request has failed.
        is_download: Whether the answer is large.
        target_ms: The latency that callers expect of the request's route.
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
    crossing_ms = (
        DOWNLOAD_CROSSING_MS
        if is_download
        else CROSSING_TARGET_SHARE * target_ms
    )
    known_ms = [p.service_ms for p in allowed if p.service_ms is not None]
    # A server without any run yet is assumed to be of average speed.
    mean_ms = sum(known_ms) / len(known_ms) if known_ms else 0.0
    sample = _draw(allowed, refused_waits, is_download, random_source)
    asked = [item for item in sample if item.node_id in refused_waits]
    if len(asked) >= MAX_OFFERS:
        sample = asked
    rotation = random_source.random()
    for number, candidate in enumerate(sample):
        cost_ms = _find_cost_ms(
            candidate, refused_waits, mean_ms, is_download, target_ms
        )
        if not candidate.is_same_domain:
            cost_ms += crossing_ms
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
    near = [n for n, item in enumerate(candidates) if item.is_same_domain]
    drawn = set(random_source.sample(near, min(NEAR_SAMPLE_SIZE, len(near))))
    others = [n for n in range(len(candidates)) if n not in drawn]
    drawn.update(random_source.sample(others, SAMPLE_SIZE - len(drawn)))
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
    target_ms: int,
) -> float:
    """Finds what a candidate costs, without crossing to another domain.

    Returns:
        The expected completion time in milliseconds. If the response will be in
        time, the service time counts less.
    """
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
    if wait_ms + service_ms > FITTING_TARGET_SHARE * target_ms:
        return wait_ms + service_ms
    return wait_ms + SERVICE_WEIGHT * service_ms
