"""Keeps requests from a server whose responses all fail.

Answers a server that accepts connections and breaks each of them off. It fails
faster than others serve, so that it looks free and attracts requests.
"""

OPEN_AFTER_COUNT = 4
"""Failures one after the other; single responses are lost for other reasons."""

TRIAL_INTERVAL_MS = 500
"""Interval of the requests by which a failing server is tried again."""


class CircuitBreaker:
    """Counts the failures of one server since its last good response."""

    __slots__ = ("_failed_at_ms", "_failure_count", "_next_trial_ms")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forgets all failures, as after the start of a new server process."""
        self._failure_count = 0
        self._failed_at_ms = 0
        self._next_trial_ms = 0

    @property
    def is_open(self) -> bool:
        """Whether the server counts as failing."""
        return self._failure_count >= OPEN_AFTER_COUNT

    def record_failure(self, sent_at_ms: int, now_ms: int) -> None:
        """Records a response that broke off or is unusable.

        Args:
            sent_at_ms: When the request was sent. Requests that fail together,
                as when all connections are reset, count once.
            now_ms: Current time in milliseconds.
        """
        if self._failure_count and sent_at_ms < self._failed_at_ms:
            return
        self._failure_count += 1
        self._failed_at_ms = now_ms
        if self.is_open:
            self._next_trial_ms = now_ms + TRIAL_INTERVAL_MS

    def try_acquire(self, now_ms: int, *, is_once: bool) -> bool:
        """Returns whether a request may be sent to the server.

        Args:
            now_ms: Current time in milliseconds.
            is_once: Whether the request must not run twice. Such a one isn't
                used to try a failing server.
        """
        if not self.is_open:
            return True
        if is_once or now_ms < self._next_trial_ms:
            return False
        self._next_trial_ms = now_ms + TRIAL_INTERVAL_MS
        return True
