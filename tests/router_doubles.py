"""Test doubles for the parts of a router."""

import asyncio
import time
from typing import Any

from rhubarblead.keyspace import revisions
from rhubarblead.platform import headers
from rhubarblead.platform import settings
from rhubarblead.platform import store
from rhubarblead.requests import link_load
from rhubarblead.router import upstream
from rhubarblead.router import wire


class SilentEventLog:
    """An event log that discards all events."""

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Discards an event."""


class RecordingLinks:
    """Links that record what is broadcast, and drop all else."""

    def __init__(self) -> None:
        self.broadcasts: list[wire.Message] = []

    def connect(self, node_id: str, address: str) -> None:
        """Does nothing."""

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Returns that the message wasn't sent."""
        del node_id, message
        return False

    def broadcast(self, message: wire.Message) -> None:
        """Records a message."""
        self.broadcasts.append(message)


class MemoryStore:
    """A client of a store that is kept in memory, with outages and restores."""

    def __init__(self) -> None:
        self.is_up = True
        self.loses_answers = False
        self.era = 1
        self.clock_reading = None
        self._revision = 0
        self._rows: dict[str, tuple[bytes, int]] = {}
        self._copy: dict[str, tuple[bytes, int]] = {}
        self._started_s = time.monotonic()

    def put(self, key: str, value: bytes) -> None:
        """Writes a row as another writer does."""
        self._revision += 1
        self._rows[key] = value, self._revision

    def copy(self) -> None:
        """Makes the copy that the store comes back from."""
        self._copy = dict(self._rows)

    def restore(self) -> None:
        """Comes back from the copy."""
        self._rows = dict(self._copy)
        self.era += 1

    async def read(self, table: str) -> store.ReadOutcome:
        """Reads all rows."""
        del table
        if not self.is_up:
            return store.NotDone(reason="the store is away")
        return store.Rows(
            rows=tuple(self._make_row(key) for key in sorted(self._rows)),
            revision=revisions.make_revision(self.era, self._revision),
            now_ms=self._now_ms,
            has_more=False,
        )

    async def write(
        self,
        *,
        expected: tuple[store.Expected, ...],
        puts: tuple[store.Put, ...],
        removed_keys: tuple[str, ...] = (),
    ) -> store.WriteOutcome:
        """Applies a transaction."""
        if not self.is_up:
            return store.NotDone(reason="the store is away")
        present = tuple(self._make_row(row.key) for row in expected)
        if [row.revision for row in present] != [r.revision for r in expected]:
            return store.Conflict(rows=present, now_ms=self._now_ms)
        for row in puts:
            self.put(row.key, row.value)
        for key in removed_keys:
            self._rows.pop(key, None)
        if self.loses_answers:
            return store.InDoubt(reason="the answer is lost")
        return store.Applied(
            revision=revisions.make_revision(self.era, self._revision),
            now_ms=self._now_ms,
        )

    @property
    def _now_ms(self) -> int:
        return 1_000 + int((time.monotonic() - self._started_s) * 1_000)

    def _make_row(self, key: str) -> store.Row:
        value, number = self._rows.get(key, (b"", 0))
        revision = revisions.make_revision(self.era, number) if number else 0
        return store.Row(
            table=store.TABLE, key=key, value=value, revision=revision
        )


def make_state(
    node_id: str, service: str, *, incarnation: str = "i"
) -> wire.State:
    """Makes the state of a node whose server accepts requests."""
    return wire.State(
        node_id=node_id,
        incarnation=incarnation,
        address="127.0.0.1:1",
        failure_domain="d",
        service=service,
        born_ms=1,
        is_serving=True,
        is_stopping=False,
        slot_count=9,
        assignments={},
        load=wire.ServerLoad(),
    )


def open_upstream(ip: str, port: int) -> upstream.Upstream:
    """Makes an upstream that serves and holds all keys."""
    loop = asyncio.get_running_loop()
    event_log: Any = SilentEventLog()
    opened = upstream.Upstream(
        address=settings.Address(ip=ip, port=port),
        events=event_log,
        now_ms=lambda: int(loop.time() * 1_000),
        is_held=lambda key: True,
        is_owned=lambda key: True,
        link=link_load.LinkLoad(
            bytes_per_ms=1_250, min_bytes=8_000, find_queued_bytes=lambda: 0
        ),
        count_servers=lambda: 1,
        broadcast=lambda message: None,
    )
    opened.set_server("i-1", 18, born_ms=1)
    opened.set_serving(True, cause="test")
    return opened


def make_work(
    request_id: str,
    *,
    number: int = 1,
    origin: str = "o",
    is_once: bool = True,
    deadline_ms: int = 1_000,
) -> wire.Work:
    """Makes a request without a key, as another node sends it."""
    fields = [(headers.REQUEST_ID, request_id.encode())]
    return wire.Work(
        origin=origin,
        number=number,
        target_incarnation="i",
        request_id=request_id,
        service="s",
        route="r",
        priority=1,
        is_call=False,
        is_once=is_once,
        key=wire.NO_KEY,
        target_ms=deadline_ms,
        deadline_ms=deadline_ms,
        may_wait=True,
        method=b"GET",
        target=b"/",
        head=headers.encode_forwarded(fields, "s"),
        body=b"",
    )
