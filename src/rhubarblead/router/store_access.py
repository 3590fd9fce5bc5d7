"""Store access of the ownership task: clock, eras, failures and back-off.

In a store that counts its eras, each transaction expects a row that is written
once in each era, and that removes those of earlier ones. So a transaction of an
earlier era that arrives late has no effect, even if the revisions of all other
rows that it expects were given out again.
"""

from collections.abc import Awaitable
from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.keyspace import adaptive_timeout
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import members
from rhubarblead.platform import store
from rhubarblead.router import event_log
from rhubarblead.router import store_client

MEMBER_PREFIX = "m/"
ASSIGNMENT_PREFIX = "a/"
ERA_PREFIX = "e/"
CRASH_PREFIX = "c/"

RETRY_DELAY_MS = 500
"""Pause after a failed call to the store."""


OUTAGE_TOLD_MS = 3_000
"""Two intervals of full load reports, by which an outage for all is known."""


class StoreAccess:
    """Makes the store calls of the ownership task, one at a time."""

    __slots__ = (
        "_client",
        "_era_revision",
        "_events",
        "_has_failed",
        "_now_ms",
        "_retry_at_ms",
        "clock",
        "era",
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
        self._era_revision = 0
        self.clock = lease.StoreClock()
        # The era that the ownership task has adapted to.
        self.era = 0

    @property
    def has_new_era(self) -> bool:
        """Whether the store has begun an era that `era` doesn't show yet."""
        return (self._client.era or 0) != self.era

    def begin_era(self) -> None:
        """Adapts to the era of the store; earlier revisions are void."""
        self.era = self._client.era or 0
        self._era_revision = 0
        self._retry_at_ms = 0
        self.clock.reset()

    @property
    def is_backing_off(self) -> bool:
        """Whether the next call must wait because the last one failed."""
        return self._now_ms() < self._retry_at_ms

    @property
    def is_working(self) -> bool:
        """Whether the last calls succeeded, all of them directly."""
        return self._client.is_working and not self._has_failed

    @property
    def is_cut_off(self) -> bool:
        """Whether direct calls fail, for so long that others would tell.

        Their last reports would say so if they couldn't reach the store either.
        """
        is_settled = self._client.failing_ms >= OUTAGE_TOLD_MS
        return is_settled and not self._has_failed

    @property
    def is_slow(self) -> bool:
        """Whether the last calls to the store have timed out."""
        return self._client.timeout_ms > adaptive_timeout.MIN_TIMEOUT_MS

    async def read(self, purpose: str) -> store.Rows | None:
        """Reads all rows of the system.

        Args:
            purpose: Reason for the call, for the log.

        Returns:
            The rows, or None if the call failed.
        """
        found = await self._read(purpose, self._client.read(store.TABLE))
        if found is not None:
            self._find_era_row(found.rows)
        return found

    async def read_row(self, purpose: str, key: str) -> store.Rows | None:
        """Reads one row of the system.

        Args:
            purpose: Reason for the call, for the log.
            key: The key of the row.

        Returns:
            The row, if there is one, or None if the call failed.
        """
        call = self._client.read_row(store.TABLE, key)
        return await self._read(purpose, call)

    async def _read(
        self, purpose: str, call: Awaitable[store.ReadOutcome]
    ) -> store.Rows | None:
        sent_at_ms = self._now_ms()
        outcome = await call
        if not isinstance(outcome, store.Rows):
            self._fail(purpose, outcome)
            return None
        self._succeed(purpose)
        if self.has_new_era:
            return None
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
        self._read_clock()
        if self.era:
            key = _make_era_key(self.era)
            expected = (
                *expected,
                store.Expected(key=key, revision=self._era_revision),
            )
            if not self._era_revision:
                puts = (*puts, store.Put(key=key, value=b""))
                earlier = map(_make_era_key, range(1, self.era))
                removed_keys = (*removed_keys, *earlier)
        outcome = await self._client.write(
            expected=expected, puts=puts, removed_keys=removed_keys
        )
        match outcome:
            case store.Applied():
                self._succeed(purpose)
                self.clock.observe(
                    sent_at_ms=sent_at_ms, store_ms=outcome.now_ms
                )
                self._era_revision = self._era_revision or outcome.revision
            case store.Conflict(rows=rows, now_ms=store_ms):
                self._succeed(purpose)
                self._find_era_row(rows)
                if store_ms:
                    self.clock.observe(sent_at_ms=sent_at_ms, store_ms=store_ms)
            case _:
                self._fail(purpose, outcome)
        return outcome

    def _read_clock(self) -> None:
        """Takes the store's time from the reading of the configuration.

        Without it, the first write of a lease couldn't name its end.
        """
        reading = self._client.clock_reading
        if reading is None or self.clock.is_known:
            return
        self.clock.observe(
            sent_at_ms=reading.sent_at_ms, store_ms=reading.store_ms
        )

    def _find_era_row(self, rows: tuple[store.Row, ...]) -> None:
        """Records the revision of the row that marks the present era."""
        if not self.era:
            return
        key = _make_era_key(self.era)
        self._era_revision = next(
            (row.revision for row in rows if row.key == key), 0
        )

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


def _make_era_key(era: int) -> str:
    return f"{ERA_PREFIX}{era}"


def make_member_key(node_id: str) -> str:
    """Makes the key of a node's row."""
    return MEMBER_PREFIX + node_id


def parse_member_key(key: str) -> str:
    """Extracts the node id from the key of a node's row."""
    return key.removeprefix(MEMBER_PREFIX)


def make_crash_key(node_id: str) -> str:
    """Makes the key of the row that holds the crashes at a node."""
    return CRASH_PREFIX + node_id


def make_assignment_key(service: str) -> str:
    """Makes the key of the row that holds a service's assignment."""
    return ASSIGNMENT_PREFIX + service
