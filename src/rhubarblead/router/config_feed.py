"""Keeps up with changes of the operator's configuration in the store."""

import asyncio
from collections.abc import Callable
import time

from rhubarblead import routing_table
from rhubarblead.events import catalog
from rhubarblead.keyspace import revisions
from rhubarblead.platform import configuration
from rhubarblead.platform import store
from rhubarblead.router import event_log
from rhubarblead.router import store_client

LONG_POLL_MS = 29_000
"""Below the store's limit of 30 s for a long poll."""

POLL_INTERVAL_S = 0.5
"""Pause after a change, which limits the calls made in a burst of changes.

A version is then in force within 0.8 s; the bound is 2 to 3 s.
"""

RETRY_DELAY_S = 0.8
"""Pause after a failed call; changes must take effect within 2 s."""


class ConfigFeed:
    """The newest valid configuration and its encoded content."""

    __slots__ = (
        "_decoder",
        "_events",
        "_on_table",
        "_revision",
        "_store",
        "content",
        "table",
    )

    def __init__(
        self,
        *,
        client: store_client.StoreClient,
        events: event_log.EventLog,
        on_table: Callable[[routing_table.RoutingTable], None],
    ) -> None:
        self._store = client
        self._decoder = configuration.Decoder()
        self._events = events
        self._on_table = on_table
        self._revision: int | None = None
        self.content = b""
        self.table: routing_table.RoutingTable | None = None

    @property
    def version(self) -> int:
        """The version in force, or -1 if no configuration was applied yet."""
        return self.table.version if self.table is not None else -1

    def apply(self, content: bytes, source: str) -> bool:
        """Applies a configuration if it is valid and newer than the last.

        Args:
            content: The configuration as the operator wrote it.
            source: Where the configuration comes from, for the log.

        Returns:
            Whether it is valid.
        """
        started_at_s = time.monotonic()
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
        )
        self.content = content
        self.table = table
        self._on_table(table)
        return True

    async def run(self) -> None:
        """Applies changes until cancelled."""
        while True:
            if self._revision is None:
                outcome = await self._store.read(configuration.TABLE)
            else:
                outcome = await self._store.wait_for_changes(
                    configuration.TABLE, self._revision, LONG_POLL_MS
                )
            await asyncio.sleep(self._handle_outcome(outcome))

    def _handle_outcome(self, outcome: store.ReadOutcome) -> float:
        """Handles the store's reply; returns the pause before the next call."""
        match outcome:
            case store.Rows():
                self._apply_newest(outcome.rows)
                if self._is_restored(outcome.revision):
                    # Changes since the copy was taken may be missing.
                    self._revision = None
                    return 0.0
                self._revision = max(self._revision or 0, outcome.revision)
                return POLL_INTERVAL_S if outcome.rows else 0.0
            case store.HistoryGone():
                self._revision = None
                return 0.0
            case _:
                self._events.emit(
                    catalog.Event.STORE_CALL_FAILED,
                    call="config",
                    outcome=type(outcome).__name__,
                    reason=outcome.reason,
                )
                return RETRY_DELAY_S

    def _apply_newest(self, rows: tuple[store.Row, ...]) -> None:
        """Applies the last valid one of the versions that changes contain."""
        for row in reversed(rows):
            is_config = row.key == configuration.KEY and not row.is_removed
            if is_config and self.apply(row.value, "store"):
                return

    def _is_restored(self, revision: int) -> bool:
        """Tells whether the store was restored since the last revision."""
        return self._revision is not None and not revisions.is_same_era(
            revision, self._revision
        )
