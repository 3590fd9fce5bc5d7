"""Immutable assignment of keys to servers, with increasing fence tokens."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

from rhubarblead import decoding

KEY_COUNT = 65_536
NO_OWNER = ""


class CannotDecode(Exception):
    """The bytes are not a valid assignment."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """A range of keys and its assigned owner.

    `first` and `last` are both inclusive. `owner` identifies one process of a
    server (see `format_owner`), or is `NO_OWNER`. `handover` is the token that
    the previous holder issued on release, empty if there is none.
    """

    first: int
    last: int
    owner: str
    fence: int
    handover: str = ""

    @property
    def key_count(self) -> int:
        """The number of keys in the range."""
        return self.last - self.first + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transfer:
    """The transfer of a range of keys to another owner."""

    first: int
    last: int
    owner: str
    handover: str = ""


def format_owner(node_id: str, born_ms: int) -> str:
    """Formats the identifier of one process of a node's server."""
    return f"{node_id}/{born_ms}"


def parse_node_id(owner: str) -> str:
    """Extracts the node ID from an owner's identifier."""
    return owner.rpartition("/")[0]


class Assignment:
    """The assignment of all keys of one service; immutable.

    Transferred ranges get a fence above all earlier ones: the fence counter is
    part of the value, and each write to the store replaces exactly the value
    that was read.
    """

    __slots__ = ("_starts", "fence", "ranges")

    def __init__(self, *, fence: int, ranges: tuple[KeyRange, ...]) -> None:
        self.fence = fence
        self.ranges = ranges
        self._starts = [item.first for item in ranges]

    def find(self, key: int) -> KeyRange:
        """Finds the range that contains a key."""
        return self.ranges[bisect.bisect_right(self._starts, key) - 1]

    def list_overlapping(self, first: int, last: int) -> Iterator[KeyRange]:
        """Yields the ranges that overlap a span of keys, in order."""
        index = bisect.bisect_right(self._starts, first) - 1
        while index < len(self.ranges) and self.ranges[index].first <= last:
            yield self.ranges[index]
            index += 1

    def list_owned(self, owner: str) -> tuple[KeyRange, ...]:
        """Lists the ranges of one owner."""
        return tuple(item for item in self.ranges if item.owner == owner)

    def list_owned_by_node(self, node_id: str) -> tuple[KeyRange, ...]:
        """Lists the ranges owned by any process of a node's server."""
        return tuple(
            item
            for item in self.ranges
            if item.owner and parse_node_id(item.owner) == node_id
        )

    def count_keys(self) -> dict[str, int]:
        """Counts the keys of each owner."""
        counts: dict[str, int] = {}
        for item in self.ranges:
            counts[item.owner] = counts.get(item.owner, 0) + item.key_count
        return counts

    def apply(
        self, transfers: Iterable[Transfer], *, lowest_fence: int = 0
    ) -> "Assignment":
        """Returns the assignment that results from transfers.

        Args:
            transfers: Transfers of disjoint ranges; each gets the new fence.
            lowest_fence: The new fence is above this one, too.

        Returns:
            The new assignment.

        Raises:
            ValueError: Two transfers overlap.
        """
        fence = max(self.fence, lowest_fence) + 1
        moved = [
            KeyRange(
                first=transfer.first,
                last=transfer.last,
                owner=transfer.owner,
                fence=fence,
                handover=transfer.handover,
            )
            for transfer in transfers
        ]
        return self.replace(moved, fence=fence)

    def replace(
        self, replacements: Iterable[KeyRange], *, fence: int
    ) -> "Assignment":
        """Returns the assignment in which ranges are replaced by others.

        Args:
            replacements: Disjoint ranges.
            fence: The fence counter of the result.

        Raises:
            ValueError: Two of the ranges overlap.
        """
        ranges: list[KeyRange] = []
        position = 0
        for item in sorted(replacements, key=_get_first):
            if item.first < position:
                raise ValueError(f"overlapping transfers of key {item.first}")
            _extend(ranges, self._clip(position, item.first - 1))
            _extend(ranges, [item])
            position = item.last + 1
        _extend(ranges, self._clip(position, KEY_COUNT - 1))
        return Assignment(fence=fence, ranges=tuple(ranges))

    def encode(self) -> bytes:
        """Encodes the assignment for the store."""
        owners = sorted({item.owner for item in self.ranges})
        index = {owner: number for number, owner in enumerate(owners)}
        rows = [
            (item.first, index[item.owner], item.fence, item.handover)
            for item in self.ranges
        ]
        return msgspec.msgpack.encode((self.fence, owners, rows))

    def _clip(self, first: int, last: int) -> list[KeyRange]:
        """Lists the ranges of a span of keys, cut off at its ends."""
        if last < first:
            return []
        begin = bisect.bisect_right(self._starts, first) - 1
        end = bisect.bisect_right(self._starts, last)
        found = list(self.ranges[begin:end])
        if found[0].first < first:
            found[0] = dataclasses.replace(found[0], first=first)
        if found[-1].last > last:
            found[-1] = dataclasses.replace(found[-1], last=last)
        return found


def make_empty() -> Assignment:
    """Returns the assignment in which no key has an owner."""
    whole = KeyRange(first=0, last=KEY_COUNT - 1, owner=NO_OWNER, fence=0)
    return Assignment(fence=0, ranges=(whole,))


def decode(content: bytes) -> Assignment:
    """Decodes an assignment from the store.

    Raises:
        CannotDecode: The content is malformed.
    """
    try:
        fence, owners, rows = decoding.decode_msgpack(
            content,
            tuple[int, list[str], list[tuple[int, int, int, str]]],
        )
        starts = [row[0] for row in rows]
        if starts != sorted(set(starts)) or starts[:1] != [0]:
            raise CannotDecode(
                "key ranges are out of order or don't start at 0"
            )
        if starts[-1] >= KEY_COUNT:
            raise CannotDecode(f"{starts[-1]} is no key")
        lasts = [start - 1 for start in starts[1:]] + [KEY_COUNT - 1]
        return Assignment(
            fence=fence,
            ranges=tuple(
                KeyRange(
                    first=row[0],
                    last=last,
                    owner=owners[row[1]],
                    fence=row[2],
                    handover=row[3],
                )
                for row, last in zip(rows, lasts, strict=True)
            ),
        )
    except (msgspec.MsgspecError, IndexError) as error:
        raise CannotDecode(str(error)) from error


def _get_first(item: KeyRange) -> int:
    return item.first


def _extend(ranges: list[KeyRange], items: list[KeyRange]) -> None:
    """Appends ranges, and merges the first with the last one if they match."""
    if ranges and items and _can_merge(ranges[-1], items[0]):
        ranges[-1] = dataclasses.replace(ranges[-1], last=items[0].last)
        items = items[1:]
    ranges.extend(items)


def _can_merge(left: KeyRange, right: KeyRange) -> bool:
    """Returns whether ranges have equal owners and fences, and no token."""
    return (
        left.owner == right.owner
        and left.fence == right.fence
        and not left.handover
        and not right.handover
    )
