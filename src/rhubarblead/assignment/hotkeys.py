"""Detection of hot keys in bounded memory, and planning of key splits."""

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
    """A lower bound of the request rate of a key."""

    key: str
    rps: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Thresholds for splitting a key into its own shard and merging it back.

    The `_per_mille` thresholds are in thousandths of the mean request rate of
    one server of the pool. A key is hot at `split_per_mille` of it, and at no
    less than `split_rps`; it is cool below `merge_per_mille` of it, where
    `split_rps` is reduced in the same proportion. A key must stay hot for
    `split_after_ms` to be split, or cool for `merge_after_ms` to be merged.
    """

    split_per_mille: int = 100
    merge_per_mille: int = 30
    split_rps: float = 20.0
    split_after_ms: int = 5_000
    merge_after_ms: int = 60_000
    max_splits: int = 64


class Counter:
    """A space-saving counter with exponentially decaying counts.

    When the counter is full, a new key replaces the key with the lowest count
    and inherits that count, so that a frequent key is never missed. The
    inherited count is the maximum error of the new key and is subtracted from
    its reported rate. Counts decay forward: the increment grows instead, and
    all counts are rescaled once it reaches `_MAX_INCREMENT`.
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
        """Applies the decay of the counts up to now.

        Call this a few times per half-life.

        Args:
            now_ms: The current time.
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
        min_count = self._remove_min() if len(counts) >= self._capacity else 0.0
        counts[key] = min_count + self._increment
        self._errors[key] = min_count
        heapq.heappush(self._heap, (counts[key], key))

    def list_top(self, *, count: int) -> list[KeyRate]:
        """Returns the most requested keys, the hottest first."""
        certain_counts = (
            (total - self._errors[key], key)
            for key, total in self._counts.items()
        )
        ranked = sorted(certain_counts, key=lambda item: (-item[0], item[1]))
        rate_per_count = math.log(2) * _MS_PER_S / self._half_life_ms
        return [
            KeyRate(key=key, rps=total / self._increment * rate_per_count)
            for total, key in ranked[:count]
        ]

    def _remove_min(self) -> float:
        """Removes the key with the lowest count and returns that count.

        Heap entries may be out of date, as increments do not update the heap;
        such entries are replaced by the current count.
        """
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
class MergePlan:
    """Keys to merge now, and shard moves needed before other keys can merge."""

    merges: tuple[membership.KeyMerged, ...]
    wanted_moves: tuple[membership.ShardMove, ...]


class Splitter:
    """Decides for one member which of its keys to split or merge."""

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
            pool: The pool that the assignment belongs to.
            assignment: The current owners and splits.
            rates: The hottest keys of the member, the hottest first.
            server_rps: The mean request rate of one server of the pool.
            now_ms: The current time.

        Returns:
            A split for each key that was hot for `split_after_ms` and whose
            shard this member owns, within `max_splits`. This member also owns
            the new shard until a rebalance moves it.
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
    ) -> MergePlan:
        """Plans which split keys return to their hashed shard.

        Args:
            pool: The pool that the assignment belongs to.
            assignment: The current owners and splits.
            rates: The hottest keys of the member; a missing key is cool.
            server_rps: The mean request rate of one server of the pool.
            now_ms: The current time.

        Returns:
            Merges of cool keys whose two shards this member owns, and wanted
            moves of the shards of other cool keys to the owners of their
            hashed shards.
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
        return self._plan_due_merges(pool, assignment, due)

    def _may_split(self, key: str, assignment: ownership.Assignment) -> bool:
        if key in assignment.splits:
            return False
        return assignment.owners[assignment.find_shard(key)] == self._member_id

    def _plan_due_merges(
        self, pool: str, assignment: ownership.Assignment, due: list[str]
    ) -> MergePlan:
        merges = []
        wanted_moves = []
        for key in due:
            shard = assignment.splits[key]
            owner = assignment.owners[find_hashed_shard(key, assignment)]
            if owner == self._member_id:
                merges.append(
                    membership.KeyMerged(pool=pool, key=key, shard=shard)
                )
            elif owner != ownership.NO_OWNER:
                wanted_moves.append(
                    membership.ShardMove(shard=shard, owner=owner)
                )
        return MergePlan(merges=tuple(merges), wanted_moves=tuple(wanted_moves))


def find_hashed_shard(key: str, assignment: ownership.Assignment) -> int:
    """Returns the shard that a key hashes to when it is not split."""
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
