"""Admission to shards, shared by the request threads and control."""

from collections.abc import Callable
import contextlib
import threading
from typing import TypeVar

from rhubarblead.assignment import handover

_T = TypeVar("_T")


class ShardGate:
    """A handover decision behind a lock.

    A shard that is being handed over admits no new request; the requests in
    progress on it are counted.
    """

    __slots__ = ("_handover", "_lock")

    def __init__(self) -> None:
        self._handover: handover.Handover | None = None
        self._lock = threading.Lock()

    def replace(self, decision: handover.Handover | None) -> None:
        """Starts anew for another member id, or for none."""
        with self._lock:
            self._handover = decision

    def enter(self, shard: int) -> contextlib.ExitStack | None:
        """Counts a request in.

        Args:
            shard: The shard of the request.

        Returns:
            A stack whose close counts the request out; None when the shard
            admits no request.
        """
        with self._lock:
            decision = self._handover
            if decision is None or not decision.is_admitting(shard):
                return None
            decision.begin_request(shard)
        stack = contextlib.ExitStack()
        stack.callback(self._leave, decision, shard)
        return stack

    def decide(self, ask: Callable[[handover.Handover], _T]) -> _T | None:
        """Asks the handover decision something, under the lock.

        Args:
            ask: What to ask.

        Returns:
            The answer; None while the node is no member.
        """
        with self._lock:
            if self._handover is None:
                return None
            return ask(self._handover)

    def _leave(self, decision: handover.Handover, shard: int) -> None:
        with self._lock:
            decision.end_request(shard)
