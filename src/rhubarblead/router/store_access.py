"""Store access of the ownership task: clock, failures and back-off."""

from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import members
from rhubarblead.platform import store
from rhubarblead.router import event_log
from rhubarblead.router import store_client

MEMBER_PREFIX = "m/"
ASSIGNMENT_PREFIX = "a/"

RETRY_DELAY_MS = 500
"""Pause after a failed call to the store."""


class StoreAccess:
    """Makes the store calls of the ownership task, one at a time."""

    __slots__ = (
        "_client",
        "_events",
        "_has_failed",
        "_now_ms",
        "_retry_at_ms",
        "clock",
    )

    def __init__(
        self,
        *,
        client: store_client.StoreClient,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
    ) -> None:
        self._client = client
        self._events = events
        self._now_ms = now_ms
        self._has_failed = False
        self._retry_at_ms = 0
        self.clock = lease.StoreClock()

    @property
    def is_backing_off(self) -> bool:
        """Whether the next call must wait because the last one failed."""
        return self._now_ms() < self._retry_at_ms

    @property
    def is_working(self) -> bool:
        """Whether the last calls succeeded, whether direct or relayed."""
        return self._client.is_working and not self._has_failed

    async def read(self, purpose: str) -> store.Rows | None:
        """Reads all rows of the system.

        Args:
            purpose: Reason for the call, for the log.

        Returns:
            The rows, or None if the call failed.
        """
        sent_at_ms = self._now_ms()
        outcome = await self._client.read(store.TABLE)
        if not isinstance(outcome, store.Rows):
            self._fail(purpose, outcome)
            return None
        self._succeed(purpose)
        self.clock.observe(sent_at_ms=sent_at_ms, store_ms=outcome.now_ms)
        return outcome

    async def write(
        self,
        purpose: str,
        *,
        expected: tuple[store.Expected, ...],
        puts: tuple[store.Put, ...],
        removed_keys: tuple[str, ...] = (),
    ) -> store.WriteOutcome:
        """Applies a transaction.

        Args:
            purpose: Reason for the call, for the log.
            expected: Rows that must be at the given revisions.
            puts: Rows to write.
            removed_keys: Keys of rows to remove.

        Returns:
            What became of the transaction.
        """
        sent_at_ms = self._now_ms()
        outcome = await self._client.write(
            expected=expected, puts=puts, removed_keys=removed_keys
        )
        match outcome:
            case store.Applied():
                self._succeed(purpose)
                self.clock.observe(
                    sent_at_ms=sent_at_ms, store_ms=outcome.now_ms
                )
            case store.Conflict():
                self._succeed(purpose)
            case _:
                self._fail(purpose, outcome)
        return outcome

    def decode_member(self, row: store.Row) -> members.Member | None:
        """Decodes a node's row.

        Returns:
            The member, or None if the row is malformed, which is logged.
        """
        try:
            return members.decode(row.value)
        except members.CannotDecode as error:
            self._events.emit(
                catalog.Event.MESSAGE_REFUSED, source=row.key, error=str(error)
            )
            return None

    def _fail(
        self, purpose: str, outcome: store.WriteOutcome | store.ReadOutcome
    ) -> None:
        self._retry_at_ms = self._now_ms() + RETRY_DELAY_MS
        self._has_failed = True
        self._events.emit(
            catalog.Event.STORE_CALL_FAILED,
            call=purpose,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )

    def _succeed(self, purpose: str) -> None:
        if self._has_failed:
            self._has_failed = False
            self._events.emit(catalog.Event.STORE_CALLS_RESUMED, call=purpose)


def make_member_key(node_id: str) -> str:
    """Makes the key of a node's row."""
    return MEMBER_PREFIX + node_id


def parse_member_key(key: str) -> str:
    """Extracts the node id from the key of a node's row."""
    return key.removeprefix(MEMBER_PREFIX)


def make_assignment_key(service: str) -> str:
    """Makes the key of the row that holds a service's assignment."""
    return ASSIGNMENT_PREFIX + service
