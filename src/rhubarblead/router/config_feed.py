"""Keeps up with changes of the operator's configuration in the store."""

import asyncio
from collections.abc import Callable
import random
import time

from rhubarblead import routing_table
from rhubarblead.events import catalog
from rhubarblead.keyspace import revisions
from rhubarblead.platform import configuration
from rhubarblead.platform import store
from rhubarblead.router import config_polling
from rhubarblead.router import event_log
from rhubarblead.router import store_client
from rhubarblead.router import tasks

POLL_INTERVAL_S = 0.5
"""Pause after a change, which limits the calls made in a burst of changes.

A version is then in force within 0.8 s; the bound is 2 to 3 s.
"""

KEEP_MISSING_S = 6.0
"""How long evacuations are kept that the restored store doesn't have.

The operator writes again what was lost; what is still missing was withdrawn.
"""

RETRY_DELAY_S = 0.8
"""Pause after a failed call; changes must take effect within 2 s.

There is none after the first call in doubt, whose connection may just have
been closed. Reads beside a call that may be silent are as far apart.
"""

MIN_MISSED_S = 0.2
"""Time after which a waiting call would have delivered a known version."""

_STORE = "store"


class ConfigFeed:
    """The newest valid configuration, and the evacuated failure domains."""

    __slots__ = (
        "_check_task",
        "_confirmed_at_s",
        "_count_nodes",
        "_decoder",
        "_evacuated",
        "_events",
        "_has_failed",
        "_has_wait_failed",
        "_is_wait_superseded",
        "_keep_missing_until_s",
        "_last_revision",
        "_on_checked",
        "_on_evacuated",
        "_on_read",
        "_on_table",
        "_random",
        "_revision",
        "_store",
        "_waiting_since_s",
        "content",
        "table",
    )

    def __init__(
        self,
        *,
        client: store_client.StoreClient,
        events: event_log.EventLog,
        on_table: Callable[[routing_table.RoutingTable], None],
        on_evacuated: Callable[[frozenset[str], str], None],
        on_checked: Callable[[], None],
        on_read: Callable[[int], None],
        count_nodes: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        """Creates a feed that has read nothing yet.

        Args:
            client: The client of the store.
            events: The event log.
            on_table: Called with each version that comes into force.
            on_evacuated: Called with the evacuated failure domains, and where
                they were read, after each read.
            on_checked: Called after each check that `check` has started.
            on_read: Called with each version from the store that comes into
                force.
            count_nodes: Counts the nodes that read from the store.
            random_source: Spreads the calls of the nodes.
        """
        self._store = client
        self._on_checked = on_checked
        self._on_read = on_read
        self._count_nodes = count_nodes
        self._random = random_source
        self._check_task: asyncio.Task[None] | None = None
        self._confirmed_at_s: float | None = None
        self._waiting_since_s = 0.0
        self._has_failed = False
        # Whether no call that waits has succeeded since the last failed one.
        self._has_wait_failed = False
        # Whether a check has ended the call that waits.
        self._is_wait_superseded = False
        self._decoder = configuration.Decoder()
        self._events = events
        self._on_table = on_table
        self._on_evacuated = on_evacuated
        self._evacuated: frozenset[str] = frozenset()
        # Set after a restore until the rows are read once more.
        self._keep_missing_until_s: float | None = None
        self._last_revision: int | None = None
        self._revision: int | None = None
        self.content = b""
        self.table: routing_table.RoutingTable | None = None

    @property
    def version(self) -> int:
        """The version in force, or -1 if no configuration was applied yet."""
        return self.table.version if self.table is not None else -1

    def find_age_s(self) -> float | None:
        """Returns how long ago the store has confirmed the version, if ever."""
        if self._confirmed_at_s is None:
            return None
        return time.monotonic() - self._confirmed_at_s

    def apply(self, content: bytes, source: str) -> bool:
        """Applies a configuration if it is valid and newer than the last.

        Args:
            content: The configuration as the operator wrote it.
            source: Where the configuration comes from, for the log.

        Returns:
            Whether it is valid.
        """
        started_at_s = time.monotonic()
        age_s = self.find_age_s()
        try:
            table = self._decoder.decode(content)
        except configuration.CannotDecode as error:
            self._events.emit(
                catalog.Event.CONFIG_UNUSABLE, source=source, error=str(error)
            )
            return False
        if table.version <= self.version:
            return True
        self._events.emit(
            catalog.Event.CONFIG_IN_FORCE,
            version=table.version,
            previous_version=self.version,
            source=source,
            route_count=len(table.routes),
            took_ms=int((time.monotonic() - started_at_s) * 1_000),
            previous_age_ms=None if age_s is None else int(age_s * 1_000),
        )
        self.content = content
        self.table = table
        self._on_table(table)
        if source == _STORE:
            self._on_read(table.version)
        return True

    async def run(self) -> None:
        """Applies changes until cancelled."""
        while True:
            if self._must_read():
                self._revision = None
                delay_s = await self._read()
            elif self._has_failed:
                # The store may serve reads and refuse or lose this call only.
                delay_s = await self._read()
            elif self._has_wait_failed:
                reads = tasks.start(
                    self._read_repeatedly(),
                    name="configuration reads",
                    events=self._events,
                )
                try:
                    delay_s = await self._wait()
                finally:
                    reads.cancel()
            else:
                delay_s = await self._wait()
            await asyncio.sleep(delay_s)

    async def _read(self) -> float:
        """Reads all rows; returns the pause before the next call."""
        asked_at_s = time.monotonic()
        outcome = await self._store.read(configuration.TABLE)
        return self._handle_outcome(outcome, asked_at_s, is_complete=True)

    async def _wait(self) -> float:
        """Waits for changes; returns the pause before the next call."""
        assert self._revision is not None
        self._waiting_since_s = time.monotonic()
        wait_ms = self._find_wait_ms()
        outcome = await self._store.wait_for_changes(
            configuration.TABLE, self._revision, wait_ms
        )
        if self._is_wait_superseded:
            self._is_wait_superseded = False
            return 0.0
        asked_at_s = self._waiting_since_s
        if isinstance(outcome, store.Rows):
            self._has_wait_failed = False
            if not outcome.rows:
                # The store has looked again at the end of the wait.
                asked_at_s += wait_ms / 1_000
        else:
            self._has_wait_failed = True
        return self._handle_outcome(outcome, asked_at_s, is_complete=False)

    async def _read_repeatedly(self) -> None:
        """Reads all rows beside a call that waits."""
        while True:
            await asyncio.sleep(RETRY_DELAY_S)
            await self._check_by_read()

    def check(self) -> None:
        """Starts to ask the store for changes, beside the call that waits."""
        if self._check_task is None:
            self._check_task = tasks.start(
                self._check(), name="configuration check", events=self._events
            )

    def check_missed(self) -> None:
        """Checks for a version that another node has and this one doesn't.

        While no call waits, the next one brings it.
        """
        waited_s = time.monotonic() - self._waiting_since_s
        if self._store.is_waiting and waited_s >= MIN_MISSED_S:
            self.check()

    async def _check(self) -> None:
        revision = self._revision
        try:
            if revision is None:
                return
            asked_at_s = time.monotonic()
            outcome = await self._store.read_changes(
                configuration.TABLE, revision
            )
            if isinstance(outcome, store.NotDone | store.InDoubt):
                self._report_failure("config check", outcome)
                await self._check_by_read()
            else:
                self._handle_check(outcome, asked_at_s, is_complete=False)
        finally:
            self._check_task = None
            self._on_checked()

    async def _check_by_read(self) -> None:
        asked_at_s = time.monotonic()
        self._handle_check(
            await self._store.read(configuration.TABLE),
            asked_at_s,
            is_complete=True,
        )

    def _handle_check(
        self,
        outcome: store.ReadOutcome,
        asked_at_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Applies what a check has found; a new era is left to the reads."""
        match outcome:
            case store.Rows() if self._is_same_era(outcome.revision):
                is_news = outcome.revision > (self._revision or 0) and any(
                    row.revision > (self._revision or 0) for row in outcome.rows
                )
                if is_news and self._store.is_waiting:
                    self._report_silent()
                self._apply_rows(outcome.rows, is_complete=is_complete)
                self._confirm(asked_at_s)
                if is_news:
                    self._revision = outcome.revision
                    self._supersede_wait()
            case store.Rows() | store.HistoryGone():
                self._supersede_wait()
            case _:
                self._report_failure("config check", outcome)

    def _supersede_wait(self) -> None:
        if self._store.is_waiting:
            self._is_wait_superseded = True
            self._store.abandon_wait()

    def _confirm(self, asked_at_s: float) -> None:
        """Records that the version in force was the newest one at a time.

        Args:
            asked_at_s: When the store was asked; its response may have been on
                its way for long.
        """
        now_s = time.monotonic()
        last_s = self._confirmed_at_s
        self._confirmed_at_s = min(
            now_s, asked_at_s if last_s is None else max(last_s, asked_at_s)
        )

    def _is_same_era(self, revision: int) -> bool:
        if self._revision is None or self._last_revision is None:
            return False
        return revisions.is_same_era(revision, self._last_revision)

    def _report_silent(self) -> None:
        waited_s = time.monotonic() - self._waiting_since_s
        self._events.emit(
            catalog.Event.CONFIG_FEED_SILENT,
            version=self.version,
            waited_ms=int(waited_s * 1_000),
        )

    def _report_failure(
        self, call: str, outcome: store.NotDone | store.InDoubt
    ) -> None:
        self._events.emit(
            catalog.Event.STORE_CALL_FAILED,
            call=call,
            outcome=type(outcome).__name__,
            reason=outcome.reason,
        )

    def _must_read(self) -> bool:
        """Tells whether all rows must be read, not only the changes."""
        if self._keep_missing_until_s is not None:
            return time.monotonic() >= self._keep_missing_until_s or (
                self._revision is None
            )
        return self._revision is None

    def _find_wait_ms(self) -> int:
        """Returns how long to wait for a change."""
        wait_ms = config_polling.find_wait_ms(self._count_nodes(), self._random)
        if self._keep_missing_until_s is None:
            return wait_ms
        left_s = max(0.0, self._keep_missing_until_s - time.monotonic())
        return min(wait_ms, int(left_s * 1_000))

    def _handle_outcome(
        self,
        outcome: store.ReadOutcome,
        asked_at_s: float,
        *,
        is_complete: bool,
    ) -> float:
        """Handles the store's reply.

        Args:
            outcome: The reply.
            asked_at_s: When the store had surely not looked yet.
            is_complete: Whether all rows were read, not only the changes.

        Returns:
            The pause before the next call, in seconds.
        """
        is_first_failure, self._has_failed = not self._has_failed, False
        match outcome:
            case store.Rows():
                is_restored = self._record_era(outcome.revision)
                self._apply_rows(outcome.rows, is_complete=is_complete)
                self._confirm(asked_at_s)
                if is_restored and not is_complete:
                    # Changes since the copy was taken may be missing.
                    self._revision = None
                    return 0.0
                self._revision = max(self._revision or 0, outcome.revision)
                has_changed = bool(outcome.rows) and not is_complete
                return POLL_INTERVAL_S if has_changed else 0.0
            case store.HistoryGone():
                self._revision = None
                return 0.0
            case _:
                self._has_failed = True
                self._report_failure("config", outcome)
                if is_first_failure and isinstance(outcome, store.InDoubt):
                    return 0.0
                return RETRY_DELAY_S

    def _apply_rows(
        self, rows: tuple[store.Row, ...], *, is_complete: bool
    ) -> None:
        """Applies all rows or the changes of them."""
        self._apply_evacuations(rows, is_complete=is_complete)
        self._apply_newest(rows)

    def _apply_newest(self, rows: tuple[store.Row, ...]) -> None:
        """Applies the last valid one of the versions that changes contain."""
        for row in reversed(rows):
            is_config = row.key == configuration.KEY and not row.is_removed
            if is_config and self.apply(row.value, _STORE):
                return

    def _apply_evacuations(
        self, rows: tuple[store.Row, ...], *, is_complete: bool
    ) -> None:
        """Applies the changes that rows contain, or all rows after a read."""
        found = dict.fromkeys(self._evacuated, True)
        if is_complete and self._has_reread():
            found = {}
        for row in rows:
            failure_domain = configuration.read_evacuated(row.key)
            if failure_domain:
                found[failure_domain] = not row.is_removed
        self._evacuated = frozenset(
            name for name, is_evacuated in found.items() if is_evacuated
        )
        self._on_evacuated(self._evacuated, _STORE)

    def _has_reread(self) -> bool:
        """Tells whether rows that are missing in a read were withdrawn."""
        until_s = self._keep_missing_until_s
        if until_s is None:
            return True
        if time.monotonic() < until_s:
            return False
        self._keep_missing_until_s = None
        return True

    def _record_era(self, revision: int) -> bool:
        """Returns whether the store was restored since the last revision."""
        last, self._last_revision = self._last_revision, revision
        if last is None or revisions.is_same_era(revision, last):
            return False
        self._keep_missing_until_s = time.monotonic() + KEEP_MISSING_S
        return True
