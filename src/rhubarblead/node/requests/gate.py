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

    def replace(self, shard_handover: handover.Handover | None) -> None:
        """Replaces the handover when the node's member ID changes.

        Args:
            shard_handover: The handover of the new member; None for a node that
                is not a member.
        """
        with self._lock:
            self._handover = shard_handover

    def enter(self, shard: int) -> contextlib.ExitStack | None:
        """Counts a request as in progress.

        Args:
            shard: The shard of the request.

        Returns:
            A stack that ends the count when it is closed; None when the shard
            admits no requests.
        """
        with self._lock:
            shard_handover = self._handover
            if shard_handover is None or not shard_handover.is_admitting(shard):
                return None
            shard_handover.begin_request(shard)
        stack = contextlib.ExitStack()
        stack.callback(self._leave, shard_handover, shard)
        return stack

    def call_with_handover(
        self, function: Callable[[handover.Handover], _T]
    ) -> _T | None:
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

    def _leave(self, shard_handover: handover.Handover, shard: int) -> None:
        with self._lock:
            shard_handover.end_request(shard)
