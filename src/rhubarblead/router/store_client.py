"""HTTP client for the platform's store; every call has a timeout."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

from rhubarblead.events import catalog
from rhubarblead.keyspace import adaptive_timeout
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import revisions
from rhubarblead.platform import settings
from rhubarblead.platform import store
from rhubarblead.router import event_log
from rhubarblead.router import http_client

PREFER_RELAY_MS = 3_000
"""Time after a failure for which calls try the relay first."""

MAX_IDLE_S = 4.0
"""Older connections may be dead; leases are renewed at about this interval."""


Relay: TypeAlias = Callable[[store.Call], Awaitable[http_client.Result]]
_OnConnection: TypeAlias = Callable[[http_client.Connection | None], None]


def _ignore(connection: http_client.Connection | None) -> None:
    del connection


class StoreClient:
    """The process's only client for the platform's store.

    `era` is the highest era of any response, None before the first one.
    """

    __slots__ = (
        "_events",
        "_failed_at_ms",
        "_failing_since_ms",
        "_host",
        "_is_wait_abandoned",
        "_now_ms",
        "_pool",
        "_refused_eras",
        "_timeout",
        "_waiting",
        "clock_reading",
        "era",
        "on_received",
        "relay",
    )

    def __init__(
        self,
        *,
        address: settings.Address,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        body_budget: http_client.BodyBudget | None = None,
    ) -> None:
        """Initializes the client without connecting.

        Args:
            address: The store's address.
            events: The event log.
            now_ms: Returns the current time in milliseconds.
            body_budget: Limits the incomplete bodies of the process.
        """
        self._events = events
        self._refused_eras: set[str] = set()
        self.era: int | None = None
        # The store's time in the newest response to a read of this era.
        self.clock_reading: lease.ClockReading | None = None
        self._timeout = adaptive_timeout.AdaptiveTimeout()
        self._host = str(address).encode()
        self._now_ms = now_ms
        self._failed_at_ms: int | None = None
        self._failing_since_ms: int | None = None
        # Carries the call that waits for changes.
        self._waiting: http_client.Connection | None = None
        self._is_wait_abandoned = False
        # Calls the store through another node; None if there is no relay.
        self.relay: Relay | None = None
        # Called with the size of each response's body.
        self.on_received: Callable[[int], None] | None = None
        self._pool = http_client.Pool(
            ip=address.ip,
            port=address.port,
            max_idle_s=MAX_IDLE_S,
            body_budget=body_budget,
        )

    async def write(
        self,
        *,
        expected: tuple[store.Expected, ...],
        puts: tuple[store.Put, ...],
        removed_keys: tuple[str, ...] = (),
    ) -> store.WriteOutcome:
        """Applies a transaction at most once.

        Args:
            expected: Rows that must be at the given revisions.
            puts: Rows to write.
            removed_keys: Keys of rows to remove.

        Returns:
            What became of the transaction.
        """
        era = self.era
        if not are_current(expected, era):
            return store.NotDone(reason="a revision of another era")
        call = store.encode_transaction(
            expected=expected, puts=puts, removed_keys=removed_keys
        )
        result = await self._call(call)
        match result:
            case http_client.Response() if era not in (None, self.era):
                # The revisions that it expected may be those of other rows.
                return store.InDoubt(reason="the store was restored")
            case http_client.Response():
                return store.decode_write(
                    result.status, result.body, self.era or 0
                )
            case http_client.NoResponse(is_sent=True):
                return store.InDoubt(reason=result.failure.value)
            case _:
                return store.NotDone(reason=result.failure.value)

    async def read(self, table: str) -> store.ReadOutcome:
        """Reads all rows of a table."""
        rows: list[store.Row] = []
        first_key = ""
        while True:
            call = store.encode_read(table, first_key)
            outcome = await self._read_once(call)
            if not isinstance(outcome, store.Rows):
                return outcome
            if rows and not revisions.is_same_era(
                rows[0].revision, outcome.revision
            ):
                return store.InDoubt(reason="the store was restored")
            rows.extend(outcome.rows)
            if not outcome.has_more or not outcome.rows:
                return store.Rows(
                    rows=tuple(rows),
                    revision=outcome.revision,
                    now_ms=outcome.now_ms,
                    has_more=False,
                )
            first_key = outcome.rows[-1].key + "\x00"

    async def read_row(self, table: str, key: str) -> store.ReadOutcome:
        """Reads one row, or none if there is no such row."""
        call = store.encode_read(table, key, key + "\x00")
        return await self._read_once(call)

    async def _read_once(self, call: store.Call) -> store.ReadOutcome:
        sent_at_ms = self._now_ms()
        outcome = self._decode(await self._call(call))
        if isinstance(outcome, store.Rows):
            self.clock_reading = lease.ClockReading(
                sent_at_ms=sent_at_ms, store_ms=outcome.now_ms
            )
        return outcome

    async def wait_for_changes(
        self, table: str, after_revision: int, wait_ms: int
    ) -> store.ReadOutcome:
        """Waits until a table has changed or the wait time has passed.

        A store that has lost the response keeps the connection open, so that
        only the timeout shows it.
        """
        call = store.encode_feed(table, after_revision, wait_ms)
        timeout_ms = self._timeout.find_ms()
        sent_at_ms = self._now_ms()
        result = await self._call_with_timeout(
            call, (wait_ms + timeout_ms) / 1_000, self._set_waiting
        )
        if self._now_ms() - sent_at_ms >= wait_ms + timeout_ms:
            self._timeout.record_timeout(timeout_ms)
        if self._is_wait_abandoned:
            self._is_wait_abandoned = False
            self._record_answered()
        return self._decode(result)

    async def read_changes(
        self, table: str, after_revision: int
    ) -> store.ReadOutcome:
        """Reads the changes of a table, also through another node."""
        call = store.encode_feed(table, after_revision, 0)
        return self._decode(await self._call(call))

    @property
    def is_waiting(self) -> bool:
        """Whether a call is waiting for changes."""
        return self._waiting is not None

    def abandon_wait(self) -> None:
        """Ends the wait for changes, as another call was answered meanwhile.

        Its outcome is then in doubt.
        """
        if self._waiting is not None:
            self._is_wait_abandoned = True
            self._waiting.close()

    def _set_waiting(self, connection: http_client.Connection | None) -> None:
        self._waiting = connection

    @property
    def is_working(self) -> bool:
        """Whether the store has answered the last direct call of this node."""
        return self._failed_at_ms is None

    @property
    def failing_ms(self) -> int:
        """How long all direct calls of this node have failed, in ms."""
        since_ms = self._failing_since_ms
        return 0 if since_ms is None else self._now_ms() - since_ms

    @property
    def timeout_ms(self) -> int:
        """Timeout of the next call; it is longer while the store is slow."""
        return self._timeout.find_ms()

    async def call_for_peer(self, call: store.Call) -> http_client.Result:
        """Makes a call on behalf of another node whose own call has failed."""
        return await self._call_directly(call)

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    def _decode(self, result: http_client.Result) -> store.ReadOutcome:
        match result:
            case http_client.Response():
                return store.decode_read(
                    result.status, result.body, store.read_era(result.fields)
                )
            case _:
                return store.InDoubt(reason=result.failure.value)

    async def _call(self, call: store.Call) -> http_client.Result:
        """Makes a call, directly or through the relay.

        If one route fails, the other is tried. Repeating a call is safe: each
        write expects the revisions of rows that the write itself changes.
        """
        failure = None
        for is_direct in self._order_routes():
            if is_direct:
                result = await self._call_directly(call)
            elif self.relay is not None:
                result = self._check_era(await self.relay(call))
            else:
                continue
            if _is_answered(result):
                return result
            if isinstance(result, http_client.NoResponse) and result.is_sent:
                failure = failure or result.failure
        if failure is not None:
            return http_client.NoResponse(failure=failure, is_sent=True)
        return result

    def _order_routes(self) -> tuple[bool, bool]:
        """Orders the routes to try; True is the direct one, False the relay."""
        failed_at_ms = self._failed_at_ms
        if failed_at_ms is None or self.relay is None:
            return (True, False)
        has_failed_lately = self._now_ms() - failed_at_ms < PREFER_RELAY_MS
        return (False, True) if has_failed_lately else (True, False)

    async def _call_directly(self, call: store.Call) -> http_client.Result:
        timeout_ms = self._timeout.find_ms()
        sent_at_ms = self._now_ms()
        result = await self._call_with_timeout(call, timeout_ms / 1_000)
        took_ms = self._now_ms() - sent_at_ms
        if isinstance(result, http_client.Response):
            self._timeout.record_answer(took_ms)
        elif took_ms >= timeout_ms:
            self._timeout.record_timeout(timeout_ms)
        return result

    async def _call_with_timeout(
        self,
        call: store.Call,
        timeout_s: float,
        on_connection: _OnConnection = _ignore,
    ) -> http_client.Result:
        result = self._check_era(
            await self._exchange(call, timeout_s, on_connection)
        )
        if _is_answered(result):
            self._record_answered()
        else:
            self._failed_at_ms = self._now_ms()
            if self._failing_since_ms is None:
                self._failing_since_ms = self._failed_at_ms
        return result

    def _record_answered(self) -> None:
        self._failed_at_ms = None
        self._failing_since_ms = None

    def _check_era(self, result: http_client.Result) -> http_client.Result:
        """Records the era of a response, and discards one that is outdated."""
        if not isinstance(result, http_client.Response):
            return result
        error = ""
        try:
            era = store.read_era(result.fields)
            if self.era is None or era >= self.era:
                if era != self.era:
                    self.clock_reading = None
                self.era = era
            else:
                error = f"era {era} after {self.era}"
        except store.CannotDecode as reason:
            error = str(reason)
        if not error:
            return result
        if error not in self._refused_eras:
            self._refused_eras.add(error)
            self._events.emit(catalog.Event.STORE_ERA_REFUSED, error=error)
        return http_client.NoResponse(
            failure=http_client.Failure.MALFORMED, is_sent=True
        )

    async def _exchange(
        self, call: store.Call, timeout_s: float, on_connection: _OnConnection
    ) -> http_client.Result:
        connection = self._pool.acquire()
        if connection is None:
            connection = await self._pool.open()
        if connection is None:
            return http_client.NoResponse(
                failure=http_client.Failure.CONNECT, is_sent=False
            )
        connection.enable_keepalive()
        done: asyncio.Future[http_client.Result] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(result: http_client.Result) -> None:
            if self.on_received is not None and isinstance(
                result, http_client.Response
            ):
                self.on_received(len(result.body))
            if not done.done():
                done.set_result(result)

        head = (
            b"%b %b HTTP/1.1\r\nhost: %b\r\n"
            b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
        ) % (
            call.method.encode(),
            call.target.encode(),
            self._host,
            len(call.body),
        )
        connection.send(
            head + call.body,
            call.method.encode(),
            http_client.accept_all,
            finish,
        )
        on_connection(connection)
        try:
            async with asyncio.timeout(timeout_s):
                return await done
        except TimeoutError:
            connection.cancel()
            return http_client.NoResponse(
                failure=http_client.Failure.TIMEOUT, is_sent=True
            )
        finally:
            on_connection(None)


def are_current(expected: tuple[store.Expected, ...], era: int | None) -> bool:
    """Returns whether all revisions are of an era, or of absent rows."""
    return era is None or all(
        not revisions.find_number(row.revision)
        or revisions.find_era(row.revision) == era
        for row in expected
    )


def _is_answered(result: http_client.Result) -> bool:
    """Returns whether the store has processed a call."""
    match result:
        case http_client.Response(status=status):
            return status not in (429, 503)
        case _:
            return False
