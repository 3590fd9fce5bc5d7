"""Keeps requests from a server whose responses all fail.

Answers a server that accepts connections and breaks each of them off. It fails
faster than others serve, so that it looks free and attracts requests.
"""

OPEN_AFTER_COUNT = 4
"""Failures one after the other; single responses are lost for other reasons."""

TRIAL_INTERVAL_MS = 500
"""Interval of the repeatable requests by which a failing server is tried."""

MAX_TRIAL_GAP_MS = 2_000
"""Time without a trial after which any request is one.

A service may have no repeatable requests, and its server would be lost for
good; each trial that fails costs a caller.
"""


class CircuitBreaker:
    """Counts the failures of one server since its last good response."""

    __slots__ = ("_failed_at_ms", "_failure_count", "_tried_at_ms")

    def __init__(self) -> None:
        self._failure_count = 0
        self._failed_at_ms = 0
        self._tried_at_ms = 0

    @property
    def is_open(self) -> bool:
        """Whether the server counts as failing."""
        return self._failure_count >= OPEN_AFTER_COUNT

    def record_success(self) -> None:
        """Records a good response, or the start of a new server process."""
        self._failure_count = 0

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
        self._failed_at_ms = self._tried_at_ms = now_ms

    def try_acquire(self, now_ms: int, *, is_once: bool) -> bool:
        """Returns whether a request may be sent, which makes it the trial.

        Args:
            now_ms: Current time in milliseconds.
            is_once: Whether the request must not run twice.
        """
        if not self.is_open:
            return True
        pause_ms = MAX_TRIAL_GAP_MS if is_once else TRIAL_INTERVAL_MS
        if now_ms - self._tried_at_ms < pause_ms:
            return False
        self._tried_at_ms = now_ms
        return True
