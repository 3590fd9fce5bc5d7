"""Which server holds which keys, as one value with rising fences."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

KEY_COUNT = 65_536
NO_OWNER = ""


class CannotDecode(Exception):
    """The bytes are no assignment."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """Keys from `first` to `last`, both included, and who is to hold them.

    `owner` is one life of a server (see `format_owner`), or `NO_OWNER`.
    `handover` is the token of the last holder, empty where there is none.
    """

    first: int
    last: int
    owner: str
    fence: int
    handover: str = ""

    @property
    def key_count(self) -> int:
        """How many keys the range has."""
        return self.last - self.first + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transfer:
    """A change: a range of keys gets another owner."""

    first: int
    last: int
    owner: str
    handover: str = ""


def format_owner(node_id: str, born_ms: int) -> str:
    """Names one life of the server beside a node."""
    return f"{node_id}/{born_ms}"


def parse_node_id(owner: str) -> str:
    """Finds the node beside the server of an owner's name."""
    return owner.rpartition("/")[0]


class Assignment:
    """All keys of one service. Values are never changed in place.

    A change gives its ranges a fence above all earlier ones, as the counter is
    part of the value and each write replaces the value that was read.
    """

    __slots__ = ("_starts", "fence", "ranges")

    def __init__(self, *, fence: int, ranges: tuple[KeyRange, ...]) -> None:
        self.fence = fence
        self.ranges = ranges
        self._starts = [item.first for item in ranges]

    def find(self, key: int) -> KeyRange:
        """Finds the range of a key."""
        return self.ranges[bisect.bisect_right(self._starts, key) - 1]

    def list_overlapping(self, first: int, last: int) -> Iterator[KeyRange]:
        """Lists the ranges that share a key with a span of keys."""
        index = bisect.bisect_right(self._starts, first) - 1
        while index < len(self.ranges) and self.ranges[index].first <= last:
            yield self.ranges[index]
            index += 1

    def list_owned(self, owner: str) -> tuple[KeyRange, ...]:
        """Lists the ranges of one owner."""
        return tuple(item for item in self.ranges if item.owner == owner)

    def list_owned_by_node(self, node_id: str) -> tuple[KeyRange, ...]:
        """Lists the ranges of all lives of the server beside a node."""
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

    def apply(self, transfers: Iterable[Transfer]) -> "Assignment":
        """Makes the assignment that follows from a change.

        Args:
            transfers: Ranges that don't overlap; each gets the new fence.

        Returns:
            The new value.

        Raises:
            ValueError: The ranges overlap.
        """
        fence = self.fence + 1
        ranges: list[KeyRange] = []
        ordered = sorted(transfers, key=_get_first)
        position = 0
        for transfer in ordered:
            if transfer.first < position:
                raise ValueError(f"two changes of key {transfer.first}")
            ranges.extend(self._clip(position, transfer.first - 1))
            ranges.append(
                KeyRange(
                    first=transfer.first,
                    last=transfer.last,
                    owner=transfer.owner,
                    fence=fence,
                    handover=transfer.handover,
                )
            )
            position = transfer.last + 1
        ranges.extend(self._clip(position, KEY_COUNT - 1))
        return Assignment(fence=fence, ranges=tuple(_merge(ranges)))

    def encode(self) -> bytes:
        """Encodes the value for the store."""
        owners = sorted({item.owner for item in self.ranges})
        index = {owner: number for number, owner in enumerate(owners)}
        rows = [
            (item.first, index[item.owner], item.fence, item.handover)
            for item in self.ranges
        ]
        return msgspec.msgpack.encode((self.fence, owners, rows))

    def _clip(self, first: int, last: int) -> Iterator[KeyRange]:
        if last < first:
            return
        for item in self.list_overlapping(first, last):
            yield dataclasses.replace(
                item, first=max(first, item.first), last=min(last, item.last)
            )


def make_empty() -> Assignment:
    """Makes the assignment in which nobody owns a key."""
    whole = KeyRange(first=0, last=KEY_COUNT - 1, owner=NO_OWNER, fence=0)
    return Assignment(fence=0, ranges=(whole,))


def decode(content: bytes) -> Assignment:
    """Decodes a value from the store.

    Raises:
        CannotDecode: It is malformed.
    """
    try:
        fence, owners, rows = msgspec.msgpack.decode(
            content,
            type=tuple[int, list[str], list[tuple[int, int, int, str]]],
        )
        starts = [row[0] for row in rows]
        if starts != sorted(set(starts)) or starts[:1] != [0]:
            raise CannotDecode("the ranges are out of order")
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


def _get_first(transfer: Transfer) -> int:
    return transfer.first


def _merge(ranges: list[KeyRange]) -> Iterator[KeyRange]:
    """Joins neighbours that differ in nothing and have no token."""
    pending: KeyRange | None = None
    for item in ranges:
        if pending is not None and _can_merge(pending, item):
            pending = dataclasses.replace(pending, last=item.last)
            continue
        if pending is not None:
            yield pending
        pending = item
    if pending is not None:
        yield pending


def _can_merge(left: KeyRange, right: KeyRange) -> bool:
    return (
        left.owner == right.owner
        and left.fence == right.fence
        and not left.handover
        and not right.handover
    )
