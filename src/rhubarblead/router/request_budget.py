"""Bounds the memory that the requests of all callers take up together.

Each connection has an allowance that ordinary requests don't exceed. What goes
beyond is reserved in one budget, so that large requests can't take up the
memory of the process, and small ones get through beside them.
"""

from collections.abc import Callable
from typing import Protocol

ALLOWANCE_BYTES = 8_192
"""Of a connection, without a reservation; ordinary requests take up 3 KB."""

FIELD_BYTES = 200
"""Memory of a header field besides its text: a pair of byte strings."""

RESERVED_BYTES = 60_000_000
"""For the process itself, and for the allowances of its connections."""

COPY_COUNT = 4
"""A body exists in parts, joined, as sent, and unsent on its connection."""

RESERVE_STEP_BYTES = 16_384
"""Reserved ahead for a request of unknown length."""

STALL_S = 1.0
"""Time without progress after which a request may have to make room."""

MIN_RATE_BYTES_PER_S = 16_384
"""Rate below which a request makes no progress."""


class Holder(Protocol):
    """A connection that holds reservations."""

    def has_stalled(self) -> bool:
        """Returns whether its request is incomplete and makes no progress."""

    def drop_request(self) -> None:
        """Refuses its incomplete request, and releases what that holds."""


def find_max_bytes(memory_bytes: int) -> int:
    """Finds the budget of a process.

    Args:
        memory_bytes: The memory of the process.
    """
    left_bytes = max(0, memory_bytes - RESERVED_BYTES)
    return left_bytes // COPY_COUNT


class RequestBudget:
    """The bytes that are reserved for requests."""

    __slots__ = ("_held_bytes", "_max_bytes", "on_drop", "reserved_bytes")

    def __init__(self, *, max_bytes: int) -> None:
        """Creates a budget of which nothing is reserved.

        Args:
            max_bytes: The limit. A request that is alone may exceed it, as the
                operator's limits allow it.
        """
        self._max_bytes = max_bytes
        # By holder, in the order of their first reservations.
        self._held_bytes: dict[Holder, int] = {}
        self.reserved_bytes = 0
        # Called with the cause and the bytes of each request that is refused.
        self.on_drop: Callable[[str, int], None] | None = None

    def reserve(self, holder: Holder, count_bytes: int) -> bool:
        """Reserves bytes; others that have stalled make room for them.

        Args:
            holder: The connection for which they are reserved.
            count_bytes: Number of bytes.

        Returns:
            Whether they are reserved.
        """
        if not self._fits(holder, count_bytes):
            self._drop_stalled(holder, count_bytes)
        if not self._fits(holder, count_bytes):
            self._report("full", count_bytes)
            return False
        held_bytes = self._held_bytes.get(holder, 0)
        self._held_bytes[holder] = held_bytes + count_bytes
        self.reserved_bytes += count_bytes
        return True

    def release(self, holder: Holder, count_bytes: int) -> None:
        """Releases reserved bytes."""
        if not count_bytes:
            return
        held_bytes = self._held_bytes.get(holder, 0) - count_bytes
        self.reserved_bytes -= count_bytes
        if held_bytes > 0:
            self._held_bytes[holder] = held_bytes
        else:
            self._held_bytes.pop(holder, None)

    def _fits(self, holder: Holder, count_bytes: int) -> bool:
        if self.reserved_bytes + count_bytes <= self._max_bytes:
            return True
        return self.reserved_bytes == self._held_bytes.get(holder, 0)

    def _drop_stalled(self, holder: Holder, count_bytes: int) -> None:
        """Drops stalled requests, oldest first, until the bytes fit."""
        for other in list(self._held_bytes):
            if self._fits(holder, count_bytes):
                return
            if other is not holder and other.has_stalled():
                self._report("stalled", self._held_bytes[other])
                other.drop_request()

    def _report(self, cause: str, count_bytes: int) -> None:
        if self.on_drop is not None:
            self.on_drop(cause, count_bytes)


class RequestMemory:
    """The memory of the request that a connection is reading."""

    __slots__ = (
        "_allowance_bytes",
        "_budget",
        "_holder",
        "held_bytes",
        "reserved_bytes",
    )

    def __init__(self, *, budget: RequestBudget, holder: Holder) -> None:
        """Creates the account of a connection that has sent nothing.

        Args:
            budget: The budget of all connections.
            holder: The connection.
        """
        self._budget = budget
        self._holder = holder
        self._allowance_bytes = ALLOWANCE_BYTES
        self.held_bytes = 0
        self.reserved_bytes = 0

    def begin(self, *, is_ahead: bool) -> None:
        """Begins a request.

        Args:
            is_ahead: Whether others of the connection aren't answered yet,
                which have used up its allowance.
        """
        self._allowance_bytes = 0 if is_ahead else ALLOWANCE_BYTES

    def add(self, count_bytes: int) -> bool:
        """Counts what was received; returns whether there is memory for it."""
        self.held_bytes += count_bytes
        return self._find_missing_bytes() <= 0 or self.reserve(
            RESERVE_STEP_BYTES
        )

    def reserve(self, ahead_bytes: int) -> bool:
        """Reserves memory for what was received and what is to come.

        Args:
            ahead_bytes: Bytes that are to come.

        Returns:
            Whether there is memory.
        """
        count_bytes = self._find_missing_bytes() + ahead_bytes
        if count_bytes <= 0:
            return True
        if not self._budget.reserve(self._holder, count_bytes):
            return False
        self.reserved_bytes += count_bytes
        return True

    def complete(self) -> tuple[int, int]:
        """Ends a request that is complete.

        Returns:
            The bytes that it takes up, and those of them that stay reserved.
        """
        surplus_bytes = min(-self._find_missing_bytes(), self.reserved_bytes)
        self._budget.release(self._holder, surplus_bytes)
        kept = (self.held_bytes, self.reserved_bytes - surplus_bytes)
        self.held_bytes = self.reserved_bytes = 0
        return kept

    def drop(self) -> None:
        """Ends a request of which nothing is kept."""
        self._budget.release(self._holder, self.reserved_bytes)
        self.held_bytes = self.reserved_bytes = 0

    def _find_missing_bytes(self) -> int:
        return self.held_bytes - self._allowance_bytes - self.reserved_bytes
