"""Recognizes callers that come back after a refusal.

Answers an overload, in which most refused callers come back. Counted as new
requests, they would make a key look several times as busy as it is, and their
targets would begin anew, so that they wait behind requests that have more time.
"""

import collections

MAX_REMEMBERED = 4_096
"""Refused requests remembered by a node; a second of the highest load."""


class ReturningCallers:
    """The refused requests of a node whose callers may come back.

    A caller that repeats a request sends the same content to the same node.
    """

    __slots__ = ("_refused",)

    def __init__(self) -> None:
        # First arrival and deadline in milliseconds, by fingerprint.
        self._refused: collections.OrderedDict[int, tuple[int, int]] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no refused request is remembered."""
        return not self._refused

    def record_refusal(
        self, fingerprint: int, *, first_at_ms: int, deadline_at_ms: int
    ) -> None:
        """Remembers a refused request until its caller's deadline.

        Args:
            fingerprint: Hash of the request's content.
            first_at_ms: When the caller sent it for the first time.
            deadline_at_ms: When the caller stops waiting for it.
        """
        self._refused.pop(fingerprint, None)
        self._refused[fingerprint] = (first_at_ms, deadline_at_ms)
        if len(self._refused) > MAX_REMEMBERED:
            self._refused.popitem(last=False)

    def claim(self, fingerprint: int, now_ms: int) -> int | None:
        """Finds when a returning caller sent its request for the first time.

        Args:
            fingerprint: Hash of the request's content.
            now_ms: Current time in milliseconds.

        Returns:
            That time, or None if the request is a new one. The refusal is
            forgotten, so that it stands for one return.
        """
        first_at_ms, deadline_at_ms = self._refused.pop(fingerprint, (0, 0))
        return first_at_ms if now_ms < deadline_at_ms else None
