"""Sends outcomes to other nodes, large ones in chunks, and assembles those."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from rhubarblead.events import catalog
from rhubarblead.requests import transfers
from rhubarblead.router import event_log
from rhubarblead.router import wire

CHECK_INTERVAL_S = 0.1
"""Between checks for chunks that aren't acknowledged."""

Reply: TypeAlias = Callable[[wire.Message], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Pending:
    """An encoded outcome that is being sent, and where to."""

    content: bytes
    reply: Reply
    request_id: str


class ResponseSender:
    """Sends outcomes to the nodes that asked for them."""

    __slots__ = (
        "_events",
        "_loop",
        "_next_number",
        "_now_ms",
        "_pending",
        "_queue",
        "_timer",
    )

    def __init__(
        self,
        *,
        queue: transfers.TransferQueue,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
    ) -> None:
        """Creates a sender.

        Args:
            queue: Decides when which chunk is sent.
            events: The event log.
            now_ms: The clock, in milliseconds.
        """
        self._loop = asyncio.get_running_loop()
        self._queue = queue
        self._events = events
        self._now_ms = now_ms
        self._pending: dict[int, _Pending] = {}
        self._next_number = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether all outcomes have been sent and received."""
        return self._queue.is_empty

    def send(
        self, request_id: str, outcome: wire.Outcome, reply: Reply
    ) -> int | None:
        """Sends an outcome, at once if it is small.

        Returns:
            The number of the transfer, None if it is complete.
        """
        content = wire.encode(outcome)
        if len(content) <= self._queue.chunk_bytes:
            reply(outcome)
            return None
        self._next_number += 1
        number = self._next_number
        self._pending[number] = _Pending(
            content=content, reply=reply, request_id=request_id
        )
        self._queue.add(number, len(content))
        self._advance()
        return number

    def acknowledge(self, message: wire.ChunkAck) -> None:
        """Handles the arrival of a chunk at the other node."""
        if self._queue.acknowledge(message.number):
            del self._pending[message.number]
        self._advance()

    def cancel(self, number: int) -> None:
        """Stops a transfer whose receiver no longer waits for it."""
        if not self._queue.remove(number):
            return
        pending = self._pending.pop(number)
        pending.reply(
            wire.Chunk(
                number=number, start=0, data=b"", is_last=True, is_aborted=True
            )
        )
        self._advance()

    def close(self) -> None:
        """Stops the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _advance(self) -> None:
        """Sends the chunks for which there is room on the link."""
        while True:
            chunk = self._queue.take_next(self._now_ms())
            if chunk is None:
                break
            pending = self._pending[chunk.number]
            pending.reply(
                wire.Chunk(
                    number=chunk.number,
                    start=chunk.start,
                    data=pending.content[chunk.start : chunk.end],
                    is_last=chunk.is_last,
                )
            )
        if self._timer is None and not self._queue.is_empty:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Abandons transfers to silent nodes, and sends those behind them."""
        self._timer = None
        for number in self._queue.list_abandoned(self._now_ms()):
            self._queue.remove(number)
            pending = self._pending.pop(number)
            self._events.emit(
                catalog.Event.TRANSFER_ABANDONED,
                request_id=pending.request_id,
                size_bytes=len(pending.content),
            )
        self._advance()


class ChunkAssembler:
    """Assembles the messages that other nodes send in chunks."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], bytearray] = {}

    def add(self, node_id: str, chunk: wire.Chunk) -> bytes | None:
        """Adds a chunk of a node.

        Returns:
            The whole message after its last chunk, None before that and if a
            part of it is missing.
        """
        key = (node_id, chunk.number)
        if chunk.start == 0:
            self._parts[key] = bytearray()
        content = self._parts.get(key)
        is_next = content is not None and len(content) == chunk.start
        if content is None or not is_next or chunk.is_aborted:
            self._parts.pop(key, None)
            return None
        content += chunk.data
        if not chunk.is_last:
            return None
        del self._parts[key]
        return bytes(content)

    def drop_node(self, node_id: str) -> None:
        """Drops the incomplete messages of a node whose link is lost."""
        for key in [key for key in self._parts if key[0] == node_id]:
            del self._parts[key]
