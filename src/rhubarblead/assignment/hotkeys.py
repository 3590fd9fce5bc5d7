"""Finds hot keys in bounded memory, and decides which get a shard alone."""

from collections.abc import Iterable
import dataclasses
import heapq
import math

from rhubarblead import membership
from rhubarblead import ownership

_MILLE = 1_000
_MS_PER_S = 1_000
_MAX_INCREMENT = 2.0**40


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRate:
    """How often a key was asked for, at least."""

    key: str
    rps: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """When a key gets a shard of its own, and when it loses it.

    Rates are compared with thousandths of the mean rate of the pool's servers,
    and with `split_rps` at least. A key must be hot for `split_after_ms`, or
    cool for `merge_after_ms`.
    """

    split_per_mille: int = 100
    merge_per_mille: int = 30
    split_rps: float = 20.0
    split_after_ms: int = 5_000
    merge_after_ms: int = 60_000
    max_splits: int = 64


class Counter:
    """A space-saving counter whose counts decay exponentially.

    A key that is new takes the place, and the count, of the least counted one,
    so that a frequent key is never missed. The count that it took over is its
    error; only what was counted since is reported.
    """

    __slots__ = (
        "_capacity",
        "_counts",
        "_errors",
        "_half_life_ms",
        "_heap",
        "_increment",
        "_landmark_ms",
    )

    def __init__(
        self, *, capacity: int, half_life_ms: int, now_ms: int
    ) -> None:
        self._capacity = capacity
        self._half_life_ms = half_life_ms
        self._landmark_ms = now_ms
        self._increment = 1.0
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def advance(self, *, now_ms: int) -> None:
        """Lets the counts decay up to now.

        Args:
            now_ms: The current time; call it a few times per half-life.
        """
        passed_ms = now_ms - self._landmark_ms
        exponent = passed_ms / self._half_life_ms
        if exponent < math.log2(_MAX_INCREMENT):
            self._increment = 2.0**exponent
            return
        self._rescale(2.0 ** -min(exponent, 1_000.0))
        self._landmark_ms = now_ms
        self._increment = 1.0

    def count(self, key: str) -> None:
        """Counts one request for a key."""
        counts = self._counts
        count = counts.get(key)
        if count is not None:
            counts[key] = count + self._increment
            return
        least = self._remove_least() if len(counts) >= self._capacity else 0.0
        counts[key] = least + self._increment
        self._errors[key] = least
        heapq.heappush(self._heap, (counts[key], key))

    def list_top(self, *, count: int) -> list[KeyRate]:
        """Lists the keys asked for most, the hottest first."""
        sure = (
            (total - self._errors[key], key)
            for key, total in self._counts.items()
        )
        ranked = sorted(sure, key=lambda item: (-item[0], item[1]))
        per_count = math.log(2) * _MS_PER_S / self._half_life_ms
        return [
            KeyRate(key=key, rps=total / self._increment * per_count)
            for total, key in ranked[:count]
        ]

    def _remove_least(self) -> float:
        """Removes the least counted key; the heap may hold older counts."""
        heap = self._heap
        while True:
            count, key = heap[0]
            current = self._counts[key]
            if current == count:
                heapq.heappop(heap)
                del self._counts[key]
                del self._errors[key]
                return current
            heapq.heapreplace(heap, (current, key))

    def _rescale(self, factor: float) -> None:
        for key in self._counts:
            self._counts[key] *= factor
            self._errors[key] *= factor
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Merges:
    """Keys to merge now, and shards that must first be moved together."""

    merges: tuple[membership.KeyMerged, ...]
    wishes: tuple[membership.ShardMove, ...]


class Splitter:
    """Decides for one member which of its keys are split out or merged."""

    __slots__ = ("_cool_since_ms", "_hot_since_ms", "_limits", "_member_id")

    def __init__(self, *, member_id: str, limits: Limits) -> None:
        self._member_id = member_id
        self._limits = limits
        self._hot_since_ms: dict[str, int] = {}
        self._cool_since_ms: dict[str, int] = {}

    def plan_splits(
        self,
        *,
        pool: str,
        assignment: ownership.Assignment,
        rates: Iterable[KeyRate],
        server_rps: float,
        now_ms: int,
    ) -> tuple[membership.KeySplit, ...]:
        """Plans which keys get a shard of their own.

        Args:
            pool: The pool of the assignment.
            assignment: The present owners and splits.
            rates: The member's hottest keys, the hottest first.
            server_rps: Mean rate of one server of the pool.
            now_ms: The current time.

        Returns:
            A split for each key that was hot for long enough and whose shard
            this member owns; the member stays its owner until a rebalance.
        """
        threshold = max(
            self._limits.split_rps,
            server_rps * self._limits.split_per_mille / _MILLE,
        )
        hot = [
            rate.key
            for rate in rates
            if rate.rps >= threshold and self._may_split(rate.key, assignment)
        ]
        self._hot_since_ms = {
            key: self._hot_since_ms.get(key, now_ms) for key in hot
        }
        due = [
            key
            for key in hot
            if now_ms - self._hot_since_ms[key] >= self._limits.split_after_ms
        ]
        room = max(0, self._limits.max_splits - len(assignment.splits))
        free = _list_free_shards(assignment, len(due[:room]))
        return tuple(
            membership.KeySplit(
                pool=pool, key=key, shard=shard, owner=self._member_id
            )
            for key, shard in zip(due, free, strict=False)
        )

    def plan_merges(
        self,
        *,
        pool: str,
        assignment: ownership.Assignment,
        rates: Iterable[KeyRate],
        server_rps: float,
        now_ms: int,
    ) -> Merges:
        """Plans which split keys return to their hashed shard.

        Args:
            pool: The pool of the assignment.
            assignment: The present owners and splits.
            rates: The member's hottest keys; a key that is missing is cool.
            server_rps: Mean rate of one server of the pool.
            now_ms: The current time.

        Returns:
            Merges of cool keys whose two shards this member owns, and wishes
            to move the shard of a cool key to the owner of its hashed shard.
        """
        threshold = max(
            self._limits.split_rps
            * self._limits.merge_per_mille
            / self._limits.split_per_mille,
            server_rps * self._limits.merge_per_mille / _MILLE,
        )
        warm = {rate.key for rate in rates if rate.rps >= threshold}
        cool = [
            key
            for key, shard in sorted(assignment.splits.items())
            if key not in warm and assignment.owners[shard] == self._member_id
        ]
        self._cool_since_ms = {
            key: self._cool_since_ms.get(key, now_ms) for key in cool
        }
        due = [
            key
            for key in cool
            if now_ms - self._cool_since_ms[key] >= self._limits.merge_after_ms
        ]
        return self._sort_merges(pool, assignment, due)

    def _may_split(self, key: str, assignment: ownership.Assignment) -> bool:
        if key in assignment.splits:
            return False
        return assignment.owners[assignment.find_shard(key)] == self._member_id

    def _sort_merges(
        self, pool: str, assignment: ownership.Assignment, due: list[str]
    ) -> Merges:
        merges = []
        wishes = []
        for key in due:
            shard = assignment.splits[key]
            owner = assignment.owners[find_hashed_shard(key, assignment)]
            if owner == self._member_id:
                merges.append(
                    membership.KeyMerged(pool=pool, key=key, shard=shard)
                )
            elif owner != ownership.NO_OWNER:
                wishes.append(membership.ShardMove(shard=shard, owner=owner))
        return Merges(merges=tuple(merges), wishes=tuple(wishes))


def find_hashed_shard(key: str, assignment: ownership.Assignment) -> int:
    """Finds the shard that a key has when it isn't split out."""
    return ownership.hash_key(key) & (assignment.shard_count - 1)


def _list_free_shards(
    assignment: ownership.Assignment, count: int
) -> list[int]:
    used = set(assignment.splits.values())
    free: list[int] = []
    shard = assignment.shard_count
    while len(free) < count:
        if shard not in used:
            free.append(shard)
        shard += 1
    return free
