"""Admission of requests to shards, shared by request threads and control."""

from collections.abc import Callable
import contextlib
import threading
from typing import TypeVar

from rhubarblead.assignment import handover

_T = TypeVar("_T")


class ShardGate:
    """A lock around the state of the handover.

    A shard that is being handed over admits no new requests. The requests in
    progress on each shard are counted.
    """

    __slots__ = ("_handover", "_lock")

    def __init__(self) -> None:
        self._handover: handover.Handover | None = None
        self._lock = threading.Lock()

    def replace(self, decision: handover.Handover | None) -> None:
        """Replaces the handover when the node's member ID changes.

        Args:
            decision: The handover of the new member; None for a node that is
                not a member.
        """
        with self._lock:
            self._handover = decision

    def enter(self, shard: int) -> contextlib.ExitStack | None:
        """Counts a request as in progress.

        Args:
            shard: The shard of the request.

        Returns:
            A stack that ends the count when it is closed; None when the shard
            admits no requests.
        """
        with self._lock:
            decision = self._handover
            if decision is None or not decision.is_admitting(shard):
                return None
            decision.begin_request(shard)
        stack = contextlib.ExitStack()
        stack.callback(self._leave, decision, shard)
        return stack

    def decide(self, function: Callable[[handover.Handover], _T]) -> _T | None:
        """Calls a function with the handover, under the lock.

        Args:
            function: The function to call.

        Returns:
            Its result; None while the node is not a member.
        """
        with self._lock:
            if self._handover is None:
                return None
            return function(self._handover)

    def _leave(self, decision: handover.Handover, shard: int) -> None:
        with self._lock:
            decision.end_request(shard)
