"""Tracks which keys a node's server holds, and which it is granted next.

Keeps keys from having two holders while they move: a server is taken to hold
a granted range until it reports its release, or until its hold has expired by
any clock within the assumed bounds.
"""

import bisect
from collections.abc import Iterable
import dataclasses

from rhubarblead.keyspace import assignment

HOLD_HEARTBEATS = 3.5
"""Duration of a hold in heartbeat intervals; tolerates two lost heartbeats."""

MAX_CLOCK_SLOWDOWN = 1.03
"""The platform specifies that server clocks run up to 2 % slow; adds margin."""

MAX_GRANTED_RANGES = 150
MAX_TOKENS = 20
"""Ranges, and handover tokens of new ranges, that fit into a 4 KiB reply."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The reply to a heartbeat.

    `ranges` are the granted ranges; None grants and renews nothing. `hold_ms`
    is the duration of the hold.
    """

    ranges: tuple[assignment.KeyRange, ...] | None
    hold_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Release:
    """A pending release of one range by the server."""

    target: str
    hold_ends_ms: int
    requested_sequence: int | None = None
    handover: str = ""
    is_complete: bool = False


class Holdings:
    """The keys granted to one process of a node's server.

    Times are in milliseconds of a monotonic clock that includes the time in
    which the instance is suspended.
    """

    __slots__ = (
        "_granted",
        "_granted_firsts",
        "_granted_lasts",
        "_granted_until_ms",
        "_last_sequence",
        "_owned",
        "_releases",
    )

    def __init__(self, *, held_until_ms: int) -> None:
        """Initializes holdings without owned or granted ranges.

        Args:
            held_until_ms: Until when the server may hold ranges granted by
                an earlier process of this node.
        """
        self._owned: dict[tuple[int, int], assignment.KeyRange] = {}
        self._granted: set[tuple[int, int, int]] = set()
        self._granted_firsts: list[int] = []
        self._granted_lasts: list[int] = []
        self._granted_until_ms = held_until_ms
        self._releases: dict[tuple[int, int], _Release] = {}
        self._last_sequence = -1

    @property
    def granted_until_ms(self) -> int:
        """The latest time until which the server may hold any key."""
        return self._granted_until_ms

    def update_owned(self, owned: Iterable[assignment.KeyRange]) -> None:
        """Sets the ranges that the server owns in the newest assignment."""
        self._owned = {(item.first, item.last): item for item in owned}
        for span in list(self._releases):
            if not any(_overlap(span, other) for other in self._owned):
                del self._releases[span]
                continue
            self._split_owned(span)

    def record_heartbeat(
        self,
        *,
        sequence: int,
        held: Iterable[tuple[int, int, int]],
        freed: Iterable[tuple[int, int, str]],
        now_ms: int,
    ) -> None:
        """Records what the server reports as held and as released.

        Args:
            sequence: The sequence number of the heartbeat.
            held: First key, last key and fence of each range that the server
                holds or still processes requests for.
            freed: First key, last key and handover token of each released
                range.
            now_ms: The current time.
        """
        spans = [(first, last) for first, last, _ in held]
        for span, release in self._releases.items():
            for first, last, token in freed:
                if first <= span[0] and span[1] <= last:
                    release.handover = token
            was_requested = (
                release.requested_sequence is not None
                and sequence > release.requested_sequence
            )
            if was_requested and not any(
                _overlap(span, other) for other in spans
            ):
                release.is_complete = True
        self._last_sequence = max(self._last_sequence, sequence)
        self.expire_releases(now_ms)

    def make_reply(
        self,
        *,
        heartbeat_ms: int,
        lease_ms: int,
        now_ms: int,
        max_hold_ms: int,
        min_hold_ms: int = 0,
    ) -> Reply:
        """Makes the reply to the last recorded heartbeat.

        Args:
            heartbeat_ms: The interval between heartbeats.
            lease_ms: The remaining time of the node's own lease.
            now_ms: The current time.
            max_hold_ms: The longest hold that servers accept.
            min_hold_ms: Lengthens the usual hold up to this, to cover a
                restart of the node; the limits above still apply.
        """
        hold_ms = min(
            max(int(heartbeat_ms * HOLD_HEARTBEATS), min_hold_ms),
            int(lease_ms / MAX_CLOCK_SLOWDOWN) - 1,
            max_hold_ms,
        )
        if hold_ms <= 0:
            return Reply(ranges=None, hold_ms=0)
        for release in self._releases.values():
            if release.requested_sequence is None:
                release.requested_sequence = self._last_sequence
        ranges = self._list_granted()
        self._granted = {(r.first, r.last, r.fence) for r in ranges}
        # `is_held` runs for each waiting request, so it bisects sorted keys.
        self._granted_firsts = [item.first for item in ranges]
        self._granted_lasts = [item.last for item in ranges]
        self._granted_until_ms = max(
            self._granted_until_ms,
            now_ms + int(hold_ms * MAX_CLOCK_SLOWDOWN) + 1,
        )
        return Reply(ranges=ranges, hold_ms=hold_ms)

    def _list_granted(self) -> tuple[assignment.KeyRange, ...]:
        """Lists the ranges to grant; only new ranges carry their token."""
        granted: list[assignment.KeyRange] = []
        token_count = 0
        for span, item in sorted(self._owned.items()):
            if self._is_releasing(span):
                continue
            is_new = (item.first, item.last, item.fence) not in self._granted
            if item.handover and is_new:
                token_count += 1
            if not is_new or token_count > MAX_TOKENS:
                item = dataclasses.replace(item, handover="")
            granted.append(item)
        return tuple(granted[:MAX_GRANTED_RANGES])

    def is_held(self, key: int, now_ms: int) -> bool:
        """Tells whether the server holds a key and may go on using it."""
        if now_ms >= self._granted_until_ms:
            return False
        index = bisect.bisect_right(self._granted_firsts, key) - 1
        if index < 0 or key > self._granted_lasts[index]:
            return False
        # The server may use the key until a reply has requested its release.
        return not any(
            first <= key <= last and release.requested_sequence is not None
            for (first, last), release in self._releases.items()
        )

    def is_releasing(self, key: int) -> bool:
        """Tells whether a release of the key is pending."""
        return any(first <= key <= last for first, last in self._releases)

    def start_release(self, transfers: Iterable[assignment.Transfer]) -> None:
        """Starts the release of ranges for transfer to other owners."""
        for transfer in transfers:
            span = (transfer.first, transfer.last)
            if any(_overlap(span, other) for other in self._releases):
                continue
            self._releases[span] = _Release(
                target=transfer.owner, hold_ends_ms=self._granted_until_ms
            )
            self._split_owned(span)

    def set_previous_hold_end(self, held_until_ms: int) -> None:
        """Sets when the hold granted by an earlier process ends."""
        if not self._granted:
            self._granted_until_ms = held_until_ms

    def cancel_releases(self) -> None:
        """Cancels all pending releases; the server keeps the ranges."""
        self._releases.clear()

    def expire_releases(self, now_ms: int) -> None:
        """Completes the releases whose hold has expired."""
        for release in self._releases.values():
            if now_ms >= release.hold_ends_ms:
                release.is_complete = True

    def list_released(self) -> list[assignment.Transfer]:
        """Lists transfers of the ranges that the server no longer holds."""
        return [
            assignment.Transfer(
                first=first,
                last=last,
                owner=release.target,
                handover=release.handover,
            )
            for (first, last), release in self._releases.items()
            if release.is_complete
        ]

    @property
    def has_releases(self) -> bool:
        """Whether any release is pending."""
        return bool(self._releases)

    def count_granted(self) -> int:
        """Counts the keys that the last reply granted."""
        return sum(last - first + 1 for first, last, _ in self._granted)

    def _is_releasing(self, span: tuple[int, int]) -> bool:
        return any(_overlap(span, other) for other in self._releases)

    def _split_owned(self, span: tuple[int, int]) -> None:
        """Splits the owned ranges at both ends of a span."""
        for own, item in list(self._owned.items()):
            if not _overlap(own, span):
                continue
            del self._owned[own]
            cuts = [
                (item.first, min(item.last, span[0] - 1)),
                (max(item.first, span[0]), min(item.last, span[1])),
                (max(item.first, span[1] + 1), item.last),
            ]
            for first, last in cuts:
                if first <= last:
                    self._owned[(first, last)] = dataclasses.replace(
                        item, first=first, last=last
                    )


def _overlap(left: tuple[int, int], right: tuple[int, int]) -> bool:
    return left[0] <= right[1] and right[0] <= left[1]
