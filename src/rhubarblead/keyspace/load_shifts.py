"""Plans moves of keys from overloaded servers, by the requests for them.

Answers hot keys: few ranges get much of the requests, and their servers would
refuse what others have room for.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import math

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import planning

OVERLOAD_THRESHOLD = 0.6
"""Fraction of its slots that a server may use before its keys move."""

LOAD_HYSTERESIS = 0.15
"""Excess over the mean load below which no keys move."""

SHIFT_SHARE = 0.7
"""Fraction of the excess moved at a time, as rates are estimates."""

MIN_PIECE_SHARE = 0.15
MAX_PIECE_SHARE = 1.3
"""Bounds of a piece relative to the wanted rate; less isn't worth a move."""

HOT_PIECE_SHARE = 0.9
"""Share of a server's capacity that a single key given to it may need.

It may exceed what the server has to spare, as that gives other keys away.
"""

MAX_COUNTED_LOAD = 1.2
"""Cap on the load of one server in the mean load."""

FILLED_LOAD = 0.75
"""Load up to which servers take keys of overloaded ones without waits."""

HOT_KEY_SHARE = 0.5
"""Fraction of its server's capacity from which a single key counts as hot."""

MIN_SPEEDUP = 1.25
"""Minimum capacity ratio of the target to the source of a hot key."""

MAX_TRANSFERS = 64
"""Ranges transferred by one load shift; a tenth of those in a store row."""

MAX_SPLIT_RANGES = 1_900
"""Ranges of a service beyond which load shifts split none.

With a handover token each, they take 60 KB of the 64 KB store row.
"""

MIN_FILLED_SHARE = 0.5
"""Share of a server's spare capacity that a load shift fills at least.

Filling less divides the excess over more servers, into pieces too small to be
worth a move.
"""


def plan_shift(
    *,
    current: assignment.Assignment,
    own_owner: str,
    rates: Mapping[int, float],
    candidates: Iterable[planning.Candidate],
) -> list[assignment.Transfer]:
    """Plans transfers from an overloaded owner by the request rates of keys.

    Each overloaded owner has a part of the spare capacity of the others, so
    that owners that plan concurrently don't overload the same server.

    Args:
        current: The current assignment.
        own_owner: The owner that transfers keys.
        rates: Requests per second by key of `own_owner`.
        candidates: All servers that may have keys, including `own_owner`.

    Returns:
        Transfers of ranges of `own_owner` or parts of them; none if its load is
        below the threshold or near the mean.
    """
    servers = {item.owner: item for item in candidates}
    source = servers.get(own_owner)
    capacity = sum(item.capacity_per_s for item in servers.values())
    if source is None or not capacity:
        return []
    target_load = _find_target_load(servers.values(), capacity)
    if not _is_overloaded(source, target_load):
        return []
    transfers = _plan_hot_key(current, source, rates, servers)
    moved_rate = sum(rates[transfer.first] for transfer in transfers)
    hot_keys = {transfer.first for transfer in transfers}
    pool = _SpanPool(
        ranges=_split_off(current.list_owned(own_owner), hot_keys), rates=rates
    )
    # Negative after a key that is hotter than its target's share.
    wanted = -moved_rate
    shares = _divide_spares(
        _find_spares(current, servers, target_load),
        _find_excesses(servers, target_load),
        own_owner,
    )
    for owner, share in shares:
        wanted = min(0.0, wanted) + share * SHIFT_SHARE
        most = HOT_PIECE_SHARE * servers[owner].capacity_per_s
        taken, taken_rate = pool.take(wanted, most if source.load > 1 else 0.0)
        wanted -= taken_rate
        transfers += [
            assignment.Transfer(first=first, last=last, owner=owner)
            for first, last in taken
        ]
    # A piece from the middle of a range makes three of it.
    room = max(0, MAX_SPLIT_RANGES - len(current.ranges)) // 2
    return transfers[: min(MAX_TRANSFERS, room)]


def _find_target_load(
    servers: Iterable[planning.Candidate], capacity: float
) -> float:
    """Finds the load to which the servers are evened out.

    It is the mean load, in which single high loads hardly count: what exceeds
    a server is mostly one key, which can't be divided. If they would raise it,
    other servers are filled up to `FILLED_LOAD` at most.
    """
    servers = tuple(servers)
    capped, actual = (
        sum(min(item.load, cap) * item.capacity_per_s for item in servers)
        / capacity
        for cap in (MAX_COUNTED_LOAD, math.inf)
    )
    return max(capped, min(actual, FILLED_LOAD))


def _is_overloaded(candidate: planning.Candidate, target_load: float) -> bool:
    return candidate.load >= max(
        OVERLOAD_THRESHOLD, target_load + LOAD_HYSTERESIS
    )


def _find_spares(
    current: assignment.Assignment,
    servers: Mapping[str, planning.Candidate],
    target_load: float,
) -> dict[str, float]:
    """Finds what servers can take, in requests per second."""
    return {
        owner: (target_load - item.load) * item.capacity_per_s
        for owner, item in servers.items()
        if item.load < target_load
        and len(current.list_owned(owner)) < planning.MAX_RANGES_PER_TARGET
    }


def _find_excesses(
    servers: Mapping[str, planning.Candidate], target_load: float
) -> dict[str, float]:
    """Finds what overloaded servers have too much, in requests per second."""
    return {
        owner: (item.load - target_load) * item.capacity_per_s
        for owner, item in servers.items()
        if _is_overloaded(item, target_load)
    }


def _divide_spares(
    spares: Mapping[str, float], excesses: Mapping[str, float], own_owner: str
) -> list[tuple[str, float]]:
    """Finds what an overloaded owner may transfer to each server.

    Answers hot keys on few of many servers: the spare capacity, in the order
    of the servers' names, is divided among the overloaded owners, in the order
    of theirs, so that each gives to few servers, and no two to the same one.

    Args:
        spares: Spare capacity in requests per second, by server.
        excesses: Excess in requests per second, by overloaded owner.
        own_owner: The owner that transfers keys.

    Returns:
        The servers with the rate that each is to get, the highest first.
    """
    total_excess = sum(excesses.values())
    total_spare = sum(spares.values())
    if total_spare <= 0 or total_excess <= 0:
        return []
    spare_per_excess = total_spare / total_excess
    # What is left of a server's capacity serves what its reports don't show.
    filled_share = max(MIN_FILLED_SHARE, min(1.0, 1 / spare_per_excess))
    length = min(spare_per_excess, 1 / filled_share)
    begin = length * sum(
        excess for owner, excess in excesses.items() if owner < own_owner
    )
    end = begin + length * excesses[own_owner]
    shares = []
    position = 0.0
    for owner, spare in sorted(spares.items()):
        overlap = min(end, position + spare) - max(begin, position)
        position += spare
        if overlap > 0:
            shares.append((owner, overlap * filled_share))
    return sorted(shares, key=_get_spare, reverse=True)


def _plan_hot_key(
    current: assignment.Assignment,
    source: planning.Candidate,
    rates: Mapping[int, float],
    servers: Mapping[str, planning.Candidate],
) -> list[assignment.Transfer]:
    """Plans the transfer of a key too hot for its server to a faster server."""
    if source.load < 1 or not rates:
        return []
    key = max(rates, key=rates.__getitem__)
    if rates[key] < source.capacity_per_s * HOT_KEY_SHARE:
        return []
    if current.find(key).owner != source.owner:
        return []
    faster = [
        item
        for item in servers.values()
        if item.capacity_per_s >= source.capacity_per_s * MIN_SPEEDUP
        and item.load < 1
    ]
    if not faster:
        return []
    best = max(faster, key=_find_spare_capacity)
    return [assignment.Transfer(first=key, last=key, owner=best.owner)]


def _find_spare_capacity(candidate: planning.Candidate) -> float:
    return (1 - candidate.load) * candidate.capacity_per_s


def _split_off(
    ranges: Iterable[assignment.KeyRange], keys: Set[int]
) -> list[assignment.KeyRange]:
    """Lists the ranges that are left without some of their keys."""
    left = []
    for item in ranges:
        first = item.first
        for key in sorted(keys):
            if first <= key <= item.last:
                left.append(
                    dataclasses.replace(item, first=first, last=key - 1)
                )
                first = key + 1
        left.append(dataclasses.replace(item, first=first))
    return [item for item in left if item.first <= item.last]


class _SpanPool:
    """The spans of an overloaded owner that are available for transfer."""

    __slots__ = ("_keys", "_rates", "_spans")

    def __init__(
        self,
        *,
        ranges: Iterable[assignment.KeyRange],
        rates: Mapping[int, float],
    ) -> None:
        self._rates = rates
        self._keys = sorted(rates)
        self._spans: list[tuple[float, int, int]] = []
        for item in ranges:
            rate = self._sum_rates(item.first, item.last)
            if rate > 0:
                self._spans.append((rate, item.first, item.last))
        self._spans.sort(reverse=True)

    def take(
        self, wanted: float, most_for_key: float
    ) -> tuple[list[tuple[int, int]], float]:
        """Removes spans with about the wanted total rate.

        Args:
            wanted: Requests per second.
            most_for_key: The rate up to which a single key is taken although
                it exceeds what is wanted.

        Returns:
            The spans, and their total rate.
        """
        taken: list[tuple[int, int]] = []
        taken_rate = 0.0
        smallest = wanted * MIN_PIECE_SHARE
        while wanted - taken_rate > max(0.0, smallest):
            left = wanted - taken_rate
            index = self._find_fitting(left)
            if index is not None:
                rate, first, last = self._spans.pop(index)
                taken.append((first, last))
                taken_rate += rate
                continue
            piece = self._split(left, most_for_key)
            if piece is not None:
                taken.append(piece)
                taken_rate += self._sum_rates(*piece)
            break
        return taken, taken_rate

    def _find_fitting(self, wanted: float) -> int | None:
        for index, (rate, _, _) in enumerate(self._spans):
            if rate <= wanted:
                is_large_enough = rate >= wanted * MIN_PIECE_SHARE
                return index if is_large_enough else None
        return None

    def _split(
        self, wanted: float, most_for_key: float
    ) -> tuple[int, int] | None:
        """Cuts adjacent keys with about the wanted rate off a hot span.

        Keys that are too hot stay, and their neighbors are cut off.
        """
        for index, (_, first, last) in enumerate(self._spans):
            piece = self._find_piece(first, last, wanted, most_for_key)
            if piece is None:
                continue
            del self._spans[index]
            for rest in ((first, piece[0] - 1), (piece[1] + 1, last)):
                rate = self._sum_rates(*rest)
                if rate > 0:
                    bisect.insort(self._spans, (rate, *rest), key=_negate_rate)
            return piece
        return None

    def _find_piece(
        self, first: int, last: int, wanted: float, most_for_key: float
    ) -> tuple[int, int] | None:
        """Finds a run of keys that isn't too hot, nor too cold to move.

        A single key may be hotter than wanted, unless it is the only one.
        """
        most = wanted * MAX_PIECE_SHARE
        least = wanted * MIN_PIECE_SHARE
        keys = self._list_keys(first, last)
        begin, rate = first, 0.0
        for key in keys:
            if rate + self._rates[key] > most:
                if rate >= least:
                    return begin, key - 1
                if most < self._rates[key] <= most_for_key and len(keys) > 1:
                    return key, key
                begin, rate = key, 0.0
                if self._rates[key] > most:
                    begin = key + 1
                    continue
            rate += self._rates[key]
        return (begin, last) if rate >= least else None

    def _list_keys(self, first: int, last: int) -> list[int]:
        begin = bisect.bisect_left(self._keys, first)
        return self._keys[begin : bisect.bisect_right(self._keys, last)]

    def _sum_rates(self, first: int, last: int) -> float:
        return sum(self._rates[key] for key in self._list_keys(first, last))


def _negate_rate(span: tuple[float, int, int]) -> float:
    return -span[0]


def _get_spare(item: tuple[str, float]) -> float:
    return item[1]
