"""Keeps the crashes of the local server in the store.

The nodes share their records of crashes, but a loss of all processes would end
what only they know. Each node keeps a row of the crashes that it has reported;
a node that starts reads the rows of all. The row is written after the callers
have their answers: a crash that is lost with the process costs one more.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random

from rhubarblead.events import catalog
from rhubarblead.platform import store
from rhubarblead.requests import poison
from rhubarblead.requests import stored_crashes
from rhubarblead.router import event_log
from rhubarblead.router import store_access

WRITE_INTERVAL_MS = 1_000
"""Crashes in quick succession are written together."""

SPREAD_MS_PER_NODE = 3
"""All servers may end at once; the store takes some 400 writes a second."""


class CrashStore:
    """The row of this node's crashes, and the reading of all nodes' rows.

    The rows are written and read by the ownership task, like all others.
    """

    __slots__ = (
        "_access",
        "_count_nodes",
        "_crashes",
        "_due_at_ms",
        "_events",
        "_is_saved",
        "_node_id",
        "_now_ms",
        "_random",
        "_revision",
        "on_read",
    )

    def __init__(
        self,
        *,
        node_id: str,
        access: store_access.StoreAccess,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        count_nodes: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        """Creates a store without crashes.

        Args:
            node_id: This node.
            access: Access to the store.
            events: The event log.
            now_ms: The clock.
            count_nodes: Counts the nodes that may write at the same time.
            random_source: Spreads these writes.
        """
        self._node_id = node_id
        self._access = access
        self._events = events
        self._now_ms = now_ms
        self._count_nodes = count_nodes
        self._random = random_source
        self._crashes: dict[str, poison.Crash] = {}
        self._revision = 0
        self._is_saved = True
        self._due_at_ms = 0
        # Called with the crashes in the rows of all nodes, the oldest first.
        self.on_read: Callable[[tuple[poison.Crash, ...]], None] = (
            lambda crashes: None
        )

    def add(self, crash: poison.Crash) -> None:
        """Adds a crash that this node has reported, also before a restart."""
        if crash.reporter != self._node_id or crash.crash_id in self._crashes:
            return
        self._crashes[crash.crash_id] = crash
        self._schedule()

    def begin_era(self) -> None:
        """Makes the row due again, as the store may have lost it."""
        self._revision = 0
        if self._crashes:
            self._schedule()

    @property
    def is_saved(self) -> bool:
        """Whether the store has all crashes that this node has reported."""
        return self._is_saved

    @property
    def is_due(self) -> bool:
        """Whether the row must be written now."""
        if self._is_saved or not self._access.clock.is_known:
            return False
        return self._now_ms() >= self._due_at_ms

    def _schedule(self) -> None:
        """Makes a write due, apart from those of the other nodes."""
        spread_ms = self._count_nodes() * SPREAD_MS_PER_NODE
        delay_ms = int(self._random.random() * spread_ms)
        self._due_at_ms = max(self._due_at_ms, self._now_ms() + delay_ms)
        self._is_saved = False

    async def write(self) -> None:
        """Writes the row."""
        now_ms = self._now_ms()
        crashes = stored_crashes.select(self._crashes.values(), now_ms)
        self._crashes = {crash.crash_id: crash for crash in crashes}
        key = store_access.make_crash_key(self._node_id)
        content = stored_crashes.encode(
            crashes, now_ms=now_ms, store_ms=self._access.clock.estimate(now_ms)
        )
        # A crash that is added meanwhile makes the next write due.
        self._is_saved = True
        self._due_at_ms = now_ms + WRITE_INTERVAL_MS
        outcome = await self._access.write(
            "crashes",
            expected=(store.Expected(key=key, revision=self._revision),),
            puts=(store.Put(key=key, value=content),),
        )
        match outcome:
            case store.Applied(revision=revision):
                self._revision = revision
                self._events.emit(
                    catalog.Event.CRASHES_STORED,
                    crash_count=len(crashes),
                    row_bytes=len(content),
                )
            case store.Conflict(rows=rows):
                # An earlier process has written it, or a write in doubt has.
                self._is_saved = False
                self._due_at_ms = now_ms
                self.read(rows)
            case _:
                self._is_saved = False

    def read(self, rows: Iterable[store.Row]) -> tuple[store.Expected, ...]:
        """Reads the crashes in rows of the store.

        Returns:
            The rows whose crashes no longer count.
        """
        now_ms = self._now_ms()
        found: list[poison.Crash] = []
        expired: list[store.Expected] = []
        for row in rows:
            if not row.key.startswith(store_access.CRASH_PREFIX):
                continue
            is_own = row.key == store_access.make_crash_key(self._node_id)
            if is_own:
                self._revision = row.revision
            if not row.revision:
                continue
            crashes = stored_crashes.select(self._decode(row, now_ms), now_ms)
            found.extend(crashes)
            if is_own:
                # The next write must not lose them.
                self._crashes = {c.crash_id: c for c in crashes} | self._crashes
            elif not crashes:
                expired.append(
                    store.Expected(key=row.key, revision=row.revision)
                )
        if found:
            found.sort(key=lambda crash: crash.happened_at_ms)
            self._events.emit(
                catalog.Event.CRASHES_READ, crash_count=len(found)
            )
            self.on_read(tuple(found))
        return tuple(expired)

    async def remove(self, expired: tuple[store.Expected, ...]) -> None:
        """Removes rows whose crashes no longer count."""
        await self._access.write(
            "expired crashes",
            expected=expired,
            puts=(),
            removed_keys=tuple(row.key for row in expired),
        )

    def _decode(self, row: store.Row, now_ms: int) -> tuple[poison.Crash, ...]:
        try:
            return stored_crashes.decode(
                row.value,
                now_ms=now_ms,
                store_ms=self._access.clock.estimate(now_ms),
            )
        except stored_crashes.CannotDecode as error:
            self._events.emit(
                catalog.Event.MESSAGE_REFUSED, source=row.key, error=str(error)
            )
            return ()
