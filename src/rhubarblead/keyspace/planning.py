"""Plans which servers get which keys."""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq

from rhubarblead.keyspace import assignment

MAX_RANGES = 1_200
"""Ranges of a fresh assignment; some 30 KB in the store's row of 64 KB."""

MAX_RANGES_PER_OWNER = 30
"""A heartbeat's answer holds 150 ranges; four of five owners may be lost."""

MAX_RANGES_PER_TARGET = 110
"""A server with more gets no further ones, whose split may be needed."""

NEW_SERVER_SHARE = 0.25
"""Of a fair share of the keys, below which a server counts as new."""

NEW_SERVER_MAX_LOAD = 0.4
"""A server with few keys and more load than this is slow, not new."""

NEW_SERVER_TARGET_SHARE = 0.4
"""Of a fair share, up to which a new server gets keys by their number."""

OVERLOAD_THRESHOLD = 0.6
"""Part of its slots that a server may use before its keys move."""

LOAD_HYSTERESIS = 0.15
"""Above the mean load, below which keys stay where they are."""

SHIFT_SHARE = 0.7
"""Part of the excess that moves at a time, as rates are estimates."""

MIN_PIECE_SHARE = 0.15
MAX_PIECE_SHARE = 1.3
"""Parts of the wanted rate; smaller pieces aren't worth a move."""

MAX_COUNTED_LOAD = 1.2
"""Load of one server that counts for the mean of all."""

HOT_KEY_SHARE = 0.5
"""Of what its server can run, from which on one key counts as too hot."""

MIN_SPEEDUP = 1.25
"""By which a server must be faster to get a key that is too hot."""

MAX_TRANSFERS = 16
"""Ranges of one shift."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that may get keys.

    `load` is the part of its slots that the requests for its keys would use,
    which may be above 1. `capacity_per_s` is how many requests a second it can
    run.
    """

    owner: str
    load: float = 0.0
    capacity_per_s: float = 0.0


def plan_initial(candidates: Iterable[Candidate]) -> list[assignment.Transfer]:
    """Plans an assignment in which neighbouring keys have many owners.

    Busy keys stand close to one another, so that each owner gets many small
    ranges in turn.

    Args:
        candidates: The servers, at least one.

    Returns:
        Gifts that cover all keys.
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


def plan_redistribution(
    *,
    present: assignment.Assignment,
    ranges: Iterable[assignment.KeyRange],
    candidates: Iterable[Candidate],
    tokens: Mapping[tuple[int, int], str] | None = None,
) -> list[assignment.Transfer]:
    """Plans new owners for ranges, so that all end with a fair share.

    Args:
        present: The present assignment.
        ranges: What is to be given away.
        candidates: Who may get it.
        tokens: Handover tokens by first and last key.

    Returns:
        A gift for each range; to nobody where there are no candidates.
    """
    counts = present.count_keys()
    free_ranges = {
        item.owner: MAX_RANGES_PER_TARGET - len(present.list_owned(item.owner))
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
    present: assignment.Assignment,
    own: str,
    candidates: Iterable[Candidate],
) -> list[assignment.Transfer]:
    """Plans what one owner hands to servers that have hardly any keys.

    Args:
        present: The present assignment.
        own: The owner that plans.
        candidates: All servers that may have keys, `own` among them.

    Returns:
        Gifts of own ranges; none while all have enough keys to be judged by
        their load.
    """
    servers = {item.owner: item for item in candidates}
    if own not in servers:
        return []
    counts = present.count_keys()
    fair_count = assignment.KEY_COUNT / len(servers)
    surplus = counts.get(own, 0) - fair_count
    shortfalls = {
        owner: fair_count * NEW_SERVER_TARGET_SHARE - counts.get(owner, 0)
        for owner, item in servers.items()
        if counts.get(owner, 0) < fair_count * NEW_SERVER_SHARE
        and item.load < NEW_SERVER_MAX_LOAD
    }
    if surplus <= 0 or not shortfalls:
        return []
    # Those with most give first, so that few give much and the rest nothing.
    rank = (-counts[own], own)
    covered = sum(
        max(0.0, counts.get(owner, 0) - fair_count)
        for owner in servers
        if (-counts.get(owner, 0), owner) < rank
    )
    return _cover_shortfalls(
        present.list_owned(own), shortfalls, covered, surplus
    )


def plan_shift(
    *,
    present: assignment.Assignment,
    own: str,
    rates: Mapping[int, float],
    candidates: Iterable[Candidate],
) -> list[assignment.Transfer]:
    """Plans what an overloaded owner hands to others, by the load of keys.

    Each overloaded owner gives a part of its excess to each other in
    proportion to what that one can take, so that several owners that plan at
    the same time don't fill the same server.

    Args:
        present: The present assignment.
        own: The owner that plans.
        rates: Requests a second of its keys.
        candidates: All servers that may have keys, `own` among them.

    Returns:
        Gifts of own ranges or parts of them; none while the load is bearable
        or alike.
    """
    servers = {item.owner: item for item in candidates}
    source = servers.get(own)
    capacity = sum(item.capacity_per_s for item in servers.values())
    if source is None or not capacity:
        return []
    # Callers that were refused come back, and would count more than once.
    mean_load = (
        sum(
            min(i.load, MAX_COUNTED_LOAD) * i.capacity_per_s
            for i in servers.values()
        )
        / capacity
    )
    hot_key_transfers = _plan_hot_key(present, source, rates, servers)
    if hot_key_transfers:
        return hot_key_transfers
    if source.load < max(OVERLOAD_THRESHOLD, mean_load + LOAD_HYSTERESIS):
        return []
    spares = {
        owner: (mean_load - item.load) * item.capacity_per_s
        for owner, item in servers.items()
        if item.load < mean_load
        and len(present.list_owned(owner)) < MAX_RANGES_PER_TARGET
    }
    total = sum(spares.values())
    excess = (source.load - mean_load) * source.capacity_per_s * SHIFT_SHARE
    pool = _SpanPool(ranges=present.list_owned(own), rates=rates)
    transfers = []
    for owner, spare in sorted(spares.items(), key=_get_spare, reverse=True):
        for first, last in pool.take(excess * spare / total):
            transfers.append(
                assignment.Transfer(first=first, last=last, owner=owner)
            )
    return transfers[:MAX_TRANSFERS]


def _plan_hot_key(
    present: assignment.Assignment,
    source: Candidate,
    rates: Mapping[int, float],
    servers: Mapping[str, Candidate],
) -> list[assignment.Transfer]:
    """Plans to give a key that is too hot for its server to a faster one."""
    if source.load < 1 or not rates:
        return []
    key = max(rates, key=rates.__getitem__)
    if rates[key] < source.capacity_per_s * HOT_KEY_SHARE:
        return []
    fastest = max(servers.values(), key=_get_capacity)
    if fastest.capacity_per_s < source.capacity_per_s * MIN_SPEEDUP:
        return []
    if present.find(key).owner != source.owner:
        return []
    return [assignment.Transfer(first=key, last=key, owner=fastest.owner)]


def _get_capacity(candidate: Candidate) -> float:
    return candidate.capacity_per_s


class _SpanPool:
    """Ranges of an overloaded owner, which are given away piece by piece."""

    __slots__ = ("_rates", "_spans")

    def __init__(
        self,
        *,
        ranges: Iterable[assignment.KeyRange],
        rates: Mapping[int, float],
    ) -> None:
        self._rates = rates
        keys = sorted(rates)
        self._spans: list[tuple[float, int, int]] = []
        for item in ranges:
            begin = bisect.bisect_left(keys, item.first)
            end = bisect.bisect_right(keys, item.last)
            rate = sum(rates[key] for key in keys[begin:end])
            if rate > 0:
                self._spans.append((rate, item.first, item.last))
        self._spans.sort(reverse=True)

    def take(self, wanted: float) -> list[tuple[int, int]]:
        """Takes spans of keys with about the wanted rate together."""
        taken: list[tuple[int, int]] = []
        smallest = wanted * MIN_PIECE_SHARE
        while wanted > smallest and wanted > 0:
            index = self._find_fitting(wanted)
            if index is None:
                taken.extend(self._split(wanted))
                break
            rate, first, last = self._spans.pop(index)
            taken.append((first, last))
            wanted -= rate
        return taken

    def _find_fitting(self, wanted: float) -> int | None:
        for index, (rate, _, _) in enumerate(self._spans):
            if rate <= wanted:
                is_large_enough = rate >= wanted * MIN_PIECE_SHARE
                return index if is_large_enough else None
        return None

    def _split(self, wanted: float) -> list[tuple[int, int]]:
        """Cuts the hottest span after as many keys as are wanted."""
        if not self._spans:
            return []
        rate, first, last = self._spans[0]
        keys = sorted(key for key in self._rates if first <= key <= last)
        cut_rate = 0.0
        for key in keys:
            if cut_rate + self._rates[key] > wanted * MAX_PIECE_SHARE:
                if not cut_rate:
                    return []
                self._spans[0] = (rate - cut_rate, key, last)
                return [(first, key - 1)]
            cut_rate += self._rates[key]
        del self._spans[0]
        return [(first, last)]


def _cover_shortfalls(
    owned: tuple[assignment.KeyRange, ...],
    shortfalls: Mapping[str, float],
    covered: float,
    surplus: float,
) -> list[assignment.Transfer]:
    """Takes ranges for those that lack keys, after what others give them.

    Args:
        owned: The own ranges.
        shortfalls: How many keys each is to get, in the order of their names.
        covered: How many of these keys others give.
        surplus: How many this owner can give.
    """
    transfers: list[assignment.Transfer] = []
    # Ranges are taken evenly from all over the keys.
    remaining = list(owned[::2]) + list(owned[1::2])
    for owner, shortfall in sorted(shortfalls.items()):
        wanted = shortfall - covered
        covered = max(0.0, covered - shortfall)
        while remaining and wanted >= 1 and surplus >= 1:
            item = remaining.pop()
            # Whole, one that holds all keys would go round without an end.
            last = min(item.last, item.first + int(min(wanted, surplus)) - 1)
            transfers.append(
                assignment.Transfer(first=item.first, last=last, owner=owner)
            )
            if last < item.last:
                remaining.append(dataclasses.replace(item, first=last + 1))
            wanted -= last - item.first + 1
            surplus -= last - item.first + 1
    return transfers


def _get_spare(item: tuple[str, float]) -> float:
    return item[1]


def _get_size(item: assignment.KeyRange) -> int:
    return item.key_count
