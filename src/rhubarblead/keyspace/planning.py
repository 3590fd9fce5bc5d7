"""Plans the distribution of keys over servers by their number."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq

from rhubarblead.keyspace import assignment

MAX_RANGES = 1_200
"""Ranges of an initial assignment; takes about 30 KB of the 64 KB store row."""

MAX_RANGES_PER_OWNER = 30
"""A heartbeat reply holds 150 ranges, so four of five owners may be lost."""

MAX_RANGES_PER_TARGET = 110
"""Servers with this many ranges are chosen last or not at all.

The rest, up to the 150 ranges of a reply, is left for splits of their ranges.
"""

NEW_SERVER_SHARE = 0.25
"""Fraction of a fair share of the keys below which a server counts as new."""

NEW_SERVER_MAX_LOAD = 0.4
"""A server with few keys and at least this load is slow rather than new."""

NEW_SERVER_TARGET_SHARE = 0.4
"""Fraction of a fair share up to which a new server gets keys by count."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that keys may be transferred to.

    `load` is the fraction of its slots that the requests for its keys would
    use, and may exceed 1. `capacity_per_s` is its capacity in requests per
    second. `report_age_ms` is the age of the report of both.
    """

    owner: str
    load: float = 0.0
    capacity_per_s: float = 0.0
    report_age_ms: int = 0


def plan_initial(candidates: Iterable[Candidate]) -> list[assignment.Transfer]:
    """Plans the initial assignment, interleaving the owners of adjacent keys.

    Hot keys tend to be close to one another, so each owner gets many small
    ranges in turn.

    Args:
        candidates: The servers, at least one.

    Returns:
        Transfers that cover all keys.
    """
    owners = sorted(item.owner for item in candidates)
    per_owner = min(MAX_RANGES_PER_OWNER, max(1, MAX_RANGES // len(owners)))
    count = per_owner * len(owners)
    return [
        assignment.Transfer(
            first=number * assignment.KEY_COUNT // count,
            last=(number + 1) * assignment.KEY_COUNT // count - 1,
            owner=owners[number % len(owners)],
        )
        for number in range(count)
    ]


def plan_return(
    *,
    current: assignment.Assignment,
    ranges: Iterable[assignment.KeyRange],
    candidates: list[Candidate],
) -> list[assignment.Transfer]:
    """Plans owners for ranges, their named ones where those are candidates."""
    owners = {item.owner for item in candidates}
    ranges = tuple(ranges)
    kept = [
        assignment.Transfer(first=item.first, last=item.last, owner=item.owner)
        for item in ranges
        if item.owner in owners
    ]
    lost = tuple(item for item in ranges if item.owner not in owners)
    if not lost:
        return kept
    return kept + plan_redistribution(
        current=current, ranges=lost, candidates=candidates
    )


def plan_redistribution(
    *,
    current: assignment.Assignment,
    ranges: Iterable[assignment.KeyRange],
    candidates: Iterable[Candidate],
    tokens: Mapping[tuple[int, int], str] | None = None,
) -> list[assignment.Transfer]:
    """Plans new owners for ranges, balancing the key counts of all owners.

    Args:
        current: The current assignment.
        ranges: The ranges to transfer.
        candidates: The possible new owners.
        tokens: Handover tokens by first and last key.

    Returns:
        A transfer for each range, to `NO_OWNER` if there are no candidates.
    """
    counts = current.count_keys()
    free_ranges = {
        item.owner: MAX_RANGES_PER_TARGET - len(current.list_owned(item.owner))
        for item in candidates
    }
    queue = [
        (free_ranges[owner] <= 0, counts.get(owner, 0), owner)
        for owner in free_ranges
    ]
    heapq.heapify(queue)
    transfers = []
    for item in sorted(ranges, key=_get_size, reverse=True):
        owner = assignment.NO_OWNER
        if queue:
            _, key_count, owner = heapq.heappop(queue)
            free_ranges[owner] -= 1
            heapq.heappush(
                queue,
                (free_ranges[owner] <= 0, key_count + item.key_count, owner),
            )
        token = (tokens or {}).get((item.first, item.last), "")
        transfers.append(
            assignment.Transfer(
                first=item.first, last=item.last, owner=owner, handover=token
            )
        )
    return transfers


def plan_new_servers(
    *,
    current: assignment.Assignment,
    own_owner: str,
    candidates: Iterable[Candidate],
) -> list[assignment.Transfer]:
    """Plans transfers from one owner to servers with few keys or none.

    Args:
        current: The current assignment.
        own_owner: The owner that transfers keys.
        candidates: All servers that may have keys, including `own_owner`.

    Returns:
        Transfers of ranges of `own_owner`; none if all servers have enough keys
        to be compared by load.
    """
    servers = {item.owner: item for item in candidates}
    if own_owner not in servers:
        return []
    counts = current.count_keys()
    fair_count = assignment.KEY_COUNT / len(servers)
    surplus = counts.get(own_owner, 0) - fair_count
    shortfalls = {
        owner: fair_count * NEW_SERVER_TARGET_SHARE - counts.get(owner, 0)
        for owner, item in servers.items()
        if counts.get(owner, 0) < fair_count * NEW_SERVER_SHARE
        and item.load < NEW_SERVER_MAX_LOAD
    }
    if surplus <= 0 or not shortfalls:
        return []
    # Owners with the most keys give first, so that few owners transfer keys.
    rank = (-counts[own_owner], own_owner)
    covered = sum(
        max(0.0, counts.get(owner, 0) - fair_count)
        for owner in servers
        if (-counts.get(owner, 0), owner) < rank
    )
    return _cover_shortfalls(
        current.list_owned(own_owner), shortfalls, covered, surplus
    )


def _cover_shortfalls(
    owned: tuple[assignment.KeyRange, ...],
    shortfalls: Mapping[str, float],
    covered: float,
    surplus: float,
) -> list[assignment.Transfer]:
    """Covers the shortfalls that remain after the transfers of other owners.

    Args:
        owned: The ranges of the transferring owner.
        shortfalls: The number of keys that each server lacks; covered in the
            order of the servers' names.
        covered: The number of these keys that other owners transfer.
        surplus: The number of keys that this owner can transfer.
    """
    transfers: list[assignment.Transfer] = []
    # Alternating the ranges takes them evenly from the whole key space.
    remaining = list(owned[::2]) + list(owned[1::2])
    for owner, shortfall in sorted(shortfalls.items()):
        wanted = shortfall - covered
        covered = max(0.0, covered - shortfall)
        while remaining and wanted >= 1 and surplus >= 1:
            item = remaining.pop()
            # Split, as a single range of all keys would be passed on forever.
            last = min(item.last, item.first + int(min(wanted, surplus)) - 1)
            transfers.append(
                assignment.Transfer(first=item.first, last=last, owner=owner)
            )
            if last < item.last:
                remaining.append(dataclasses.replace(item, first=last + 1))
            wanted -= last - item.first + 1
            surplus -= last - item.first + 1
    return transfers


def _get_size(item: assignment.KeyRange) -> int:
    return item.key_count
