"""Paces large messages over the link of one instance.

A response of 540 KB occupies a link of 10 Mbit/s for 432 ms, and everything
sent meanwhile waits behind it. So large messages are sent in chunks, and no
more of them is in flight than the link sends in `WINDOW_MS`.
"""

import collections
import dataclasses

CHUNK_MS = 5.0
"""Time for which one chunk occupies the link."""

WINDOW_MS = 25.0
"""Link time of the chunks in flight; covers a round trip between nodes."""

MIN_CHUNK_BYTES = 4_096
"""Smaller chunks would cost more in messages than they save in waiting."""

STALLED_MS = 300
"""Age from which an unacknowledged chunk no longer counts as on the link."""

ABANDON_MS = 2_500
"""Time without an acknowledgement after which a link counts as lost."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """A part of a transfer that may be sent now."""

    number: int
    start: int
    end: int
    is_last: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Transfer:
    """A large message; `in_flight` holds size and send time of each chunk."""

    size_bytes: int
    sent_bytes: int = 0
    in_flight: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def count_in_flight(self, since_ms: int | None = None) -> int:
        """Counts the unacknowledged bytes, or those sent since a time."""
        return sum(
            size
            for size, sent_at_ms in self.in_flight
            if since_ms is None or sent_at_ms > since_ms
        )


class TransferQueue:
    """The large messages of one instance, sent in the order of arrival."""

    __slots__ = ("_transfers", "_window_bytes", "chunk_bytes")

    def __init__(self, *, link_bytes_per_ms: float) -> None:
        """Creates an empty queue.

        Args:
            link_bytes_per_ms: Rate of the instance's link.
        """
        self.chunk_bytes = max(
            MIN_CHUNK_BYTES, int(link_bytes_per_ms * CHUNK_MS)
        )
        self._window_bytes = max(
            self.chunk_bytes, int(link_bytes_per_ms * WINDOW_MS)
        )
        self._transfers: dict[int, _Transfer] = {}

    @property
    def is_empty(self) -> bool:
        """Whether all transfers have been acknowledged or removed."""
        return not self._transfers

    @property
    def queued_bytes(self) -> int:
        """Bytes that have not been sent or are on their way."""
        return sum(
            transfer.size_bytes
            - transfer.sent_bytes
            + transfer.count_in_flight()
            for transfer in self._transfers.values()
        )

    def add(self, number: int, size_bytes: int) -> None:
        """Adds a transfer."""
        self._transfers[number] = _Transfer(size_bytes=size_bytes)

    def take_next(self, now_ms: int) -> Chunk | None:
        """Returns the next chunk to send, if there is room for one.

        A transfer whose chunks aren't acknowledged doesn't hold up the others.
        """
        since_ms = now_ms - STALLED_MS
        in_flight = sum(
            transfer.count_in_flight(since_ms)
            for transfer in self._transfers.values()
        )
        if in_flight >= self._window_bytes:
            return None
        for number, transfer in self._transfers.items():
            is_sent = transfer.sent_bytes >= transfer.size_bytes
            if is_sent or transfer.count_in_flight() >= self._window_bytes:
                continue
            start = transfer.sent_bytes
            end = min(transfer.size_bytes, start + self.chunk_bytes)
            transfer.sent_bytes = end
            transfer.in_flight.append((end - start, now_ms))
            is_last = end == transfer.size_bytes
            return Chunk(number=number, start=start, end=end, is_last=is_last)
        return None

    def acknowledge(self, number: int) -> bool:
        """Records that the oldest chunk of a transfer has arrived.

        Returns:
            Whether the whole transfer has arrived.
        """
        transfer = self._transfers.get(number)
        if transfer is None or not transfer.in_flight:
            return False
        transfer.in_flight.popleft()
        if transfer.in_flight or transfer.sent_bytes < transfer.size_bytes:
            return False
        del self._transfers[number]
        return True

    def remove(self, number: int) -> bool:
        """Removes a transfer; returns whether it was there."""
        return self._transfers.pop(number, None) is not None

    def list_abandoned(self, now_ms: int) -> list[int]:
        """Lists the transfers whose receiver has fallen silent."""
        return [
            number
            for number, transfer in self._transfers.items()
            if transfer.in_flight
            and now_ms - transfer.in_flight[0][1] > ABANDON_MS
        ]
