"""Schedules a node's reads of the stored rows."""

from rhubarblead import settings

_TABLES_INTERVAL_MS = 1_000
_CONTACT_TIMEOUT_MS = 2_000
_READ_TIMEOUT_MS = 10_000


class ReadSchedule:
    """Limits a node to one read of each row at a time, and to few reads.

    Pollers read at a fixed interval. Other members get updates from their
    granters and pollers, and read only after a period without any contact.
    """

    __slots__ = (
        "_is_request_in_progress",
        "_is_requested",
        "_last_contact_ms",
        "_ownership_due_ms",
        "_platform",
        "_reading_ownership_ms",
        "_reading_tables_ms",
        "_request_due_ms",
        "_tables_due_ms",
    )

    def __init__(self, *, platform: settings.Platform) -> None:
        self._platform = platform
        self._last_contact_ms = 0
        self._is_requested = True
        self._is_request_in_progress = False
        self._request_due_ms = 0
        self._ownership_due_ms = 0
        self._tables_due_ms = 0
        self._reading_ownership_ms = 0
        self._reading_tables_ms = 0

    def record_contact(self, now_ms: int) -> None:
        """Records that another node has sent its revisions."""
        self._last_contact_ms = now_ms

    def request_ownership(self) -> None:
        """Requests a read of the ownership row as soon as possible."""
        self._is_requested = True

    def begin_ownership(self, *, now_ms: int, is_poller: bool) -> bool:
        """Decides whether to read the ownership row now.

        Args:
            now_ms: The monotonic time.
            is_poller: Whether this node reads on behalf of others too.

        Returns:
            Whether to read; if True, the read counts as started.
        """
        if self._is_in_progress(self._reading_ownership_ms, now_ms):
            return False
        is_due = now_ms >= self._ownership_due_ms and (
            is_poller or self._has_lost_contact(now_ms)
        )
        is_request_due = self._is_requested and now_ms >= self._request_due_ms
        if not is_due and not is_request_due:
            return False
        self._is_request_in_progress = self._is_requested
        self._is_requested = False
        self._request_due_ms = now_ms + self._platform.poll_ms
        self._reading_ownership_ms = now_ms
        self._ownership_due_ms = now_ms + self._platform.poll_ms
        return True

    def begin_tables(self, *, now_ms: int, is_poller: bool) -> bool:
        """Decides, like `begin_ownership`, whether to read the tables row."""
        if self._is_in_progress(self._reading_tables_ms, now_ms):
            return False
        if now_ms < self._tables_due_ms:
            return False
        if not is_poller and not self._has_lost_contact(now_ms):
            return False
        self._reading_tables_ms = now_ms
        self._tables_due_ms = now_ms + _TABLES_INTERVAL_MS
        return True

    def end_ownership(self, *, is_successful: bool) -> None:
        """Records that a read of the ownership row has ended.

        Args:
            is_successful: Whether it succeeded; if False, a request for it
                remains pending.
        """
        self._reading_ownership_ms = 0
        if is_successful:
            self._request_due_ms = 0
        elif self._is_request_in_progress:
            self._is_requested = True

    def end_tables(self) -> None:
        """Records that a read of the tables row has ended."""
        self._reading_tables_ms = 0

    def _has_lost_contact(self, now_ms: int) -> bool:
        return now_ms - self._last_contact_ms >= _CONTACT_TIMEOUT_MS

    def _is_in_progress(self, since_ms: int, now_ms: int) -> bool:
        return since_ms > 0 and now_ms - since_ms < _READ_TIMEOUT_MS
