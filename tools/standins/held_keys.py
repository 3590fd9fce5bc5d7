"""The keys that one keyed server holds, as granted by heartbeat replies.

Times are passed in, in milliseconds of a clock that all processes share.
"""

import dataclasses
from typing import Any

MAX_CLOCK_SLOWDOWN = 1.02
"""The platform specifies that the clock of a hold runs up to 2 % slow."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldRange:
    """The keys from `first` to `last`, held until `until_ms`."""

    first: int
    last: int
    fence: int
    until_ms: float


class HeldKeys:
    """The keys of one server process."""

    __slots__ = (
        "_fences",
        "_releases",
        "_held",
        "_token_count",
        "_running_keys",
    )

    def __init__(self) -> None:
        self._held: list[HeldRange] = []
        self._releases: list[tuple[HeldRange, str]] = []
        self._fences: dict[int, int] = {}
        self._running_keys: dict[str, int] = {}
        self._token_count = 0

    def is_held(self, key: int, now_ms: float) -> bool:
        """Tells whether a key is held."""
        return any(h.first <= key <= h.last for h in self.list_held(now_ms))

    def list_held(self, now_ms: float) -> list[HeldRange]:
        """Lists the ranges that are held now."""
        return [item for item in self._held if item.until_ms > now_ms]

    def begin(self, request_id: str, key: int) -> None:
        """Records that a request for a key has started."""
        self._running_keys[request_id] = key

    def end(self, request_id: str) -> None:
        """Records that a request has ended."""
        self._running_keys.pop(request_id, None)

    def apply_grants(
        self, rows: list[list[Any]], hold_ms: float, sent_at_ms: float
    ) -> None:
        """Applies the grants of a heartbeat reply.

        Grants with a fence below a known one are ignored. Held ranges that are
        not granted again are to be released.

        Args:
            rows: First key, last key, fence and token of each granted range.
            hold_ms: How long the grants hold, counted from the heartbeat.
            sent_at_ms: When the heartbeat was sent.
        """
        until_ms = sent_at_ms + hold_ms * MAX_CLOCK_SLOWDOWN
        kept = [
            HeldRange(
                first=row[0], last=row[1], fence=row[2], until_ms=until_ms
            )
            for row in rows
            if self._is_fence_current(row)
        ]
        for item in kept:
            self._fences[item.first] = item.fence
            self._fences[item.last] = item.fence
        for old in self.list_held(sent_at_ms):
            for first, last in subtract(old, kept):
                self._token_count += 1
                part = dataclasses.replace(old, first=first, last=last)
                self._releases.append((part, f"t{self._token_count}"))
        self._held = kept

    def list_reported(self, now_ms: float) -> list[HeldRange]:
        """Lists the ranges that a heartbeat reports: held or being released."""
        return [*self.list_held(now_ms), *(part for part, _ in self._releases)]

    def take_ready_releases(self) -> list[tuple[HeldRange, str]]:
        """Takes the releases, with tokens, that no running request blocks."""
        ready = [item for item in self._releases if self._is_idle(item[0])]
        self._releases = [i for i in self._releases if i not in ready]
        return ready

    def restore_releases(self, released: list[tuple[HeldRange, str]]) -> None:
        """Restores the releases of a heartbeat that got no reply."""
        self._releases = [*released, *self._releases]

    @property
    def is_releasing(self) -> bool:
        """Whether there are releases that were not reported yet."""
        return bool(self._releases)

    def _is_idle(self, part: HeldRange) -> bool:
        keys = self._running_keys.values()
        return not any(part.first <= key <= part.last for key in keys)

    def _is_fence_current(self, row: list[Any]) -> bool:
        first, last, fence = row[:3]
        return all(
            fence >= known
            for key, known in self._fences.items()
            if first <= key <= last
        )


def subtract(old: HeldRange, kept: list[HeldRange]) -> list[tuple[int, int]]:
    """Lists the parts of a range that no kept range covers."""
    parts = []
    position = old.first
    for item in sorted(kept, key=_get_first):
        if item.last < position or item.first > old.last:
            continue
        if item.first > position:
            parts.append((position, item.first - 1))
        position = max(position, item.last + 1)
    if position <= old.last:
        parts.append((position, old.last))
    return parts


def _get_first(item: HeldRange) -> int:
    return item.first
