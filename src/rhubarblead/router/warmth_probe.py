"""Asks the local server whether it is cold, when that must be known."""

import asyncio
from collections.abc import Callable

from rhubarblead import routing_table
from rhubarblead.events import catalog
from rhubarblead.platform import headers
from rhubarblead.requests import cold_start
from rhubarblead.requests import rate_limit
from rhubarblead.router import event_log
from rhubarblead.router import health_check
from rhubarblead.router import tasks

RETRY_INTERVAL_S = 0.1
"""Between probes while the server hasn't proved that it is warm."""


def _discard() -> None:
    """Does nothing; stands for a callback that isn't set."""


class WarmthProbe:
    """Keeps the limit of a cold server, with the probes that this takes.

    `on_change` is called when requests may be sent that had to wait,
    `on_report` when other nodes should know of it.
    """

    __slots__ = (
        "_cold_start",
        "_events",
        "_health_check",
        "_is_probing",
        "_is_reported_cold",
        "_is_wanted",
        "_loop",
        "_now_ms",
        "_probe_count",
        "_server_id",
        "_timer",
        "on_change",
        "on_report",
    )

    def __init__(
        self,
        *,
        limit: rate_limit.RateLimit,
        check: health_check.HealthCheck,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        is_wanted: Callable[[], bool],
    ) -> None:
        """Creates a probe of a server that isn't known yet.

        Args:
            limit: The limit that the server's queue keeps.
            check: Sends the probes.
            events: The event log.
            now_ms: The clock.
            is_wanted: Tells whether the server gets requests; one that doesn't
                isn't probed either.
        """
        self._loop = asyncio.get_running_loop()
        self._cold_start = cold_start.ColdStart(limit=limit)
        self._health_check = check
        self._events = events
        self._now_ms = now_ms
        self._is_wanted = is_wanted
        self._server_id = ""
        self._is_probing = False
        self._is_reported_cold = False
        self._probe_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self.on_change: Callable[[], None] = _discard
        self.on_report: Callable[[], None] = _discard

    @property
    def is_cold(self) -> bool:
        """Whether the server counts as cold."""
        return self._cold_start.warmth is cold_start.Warmth.COLD

    @property
    def probe_count(self) -> int:
        """Number of probes since the process began."""
        return self._probe_count

    def set_service(
        self,
        service: routing_table.Service | None,
        bounds: cold_start.WarmupBounds,
    ) -> None:
        """Sets what the configuration says of the server's service."""
        warmup = None
        if service is not None and service.warmup_per_s:
            warmup = bounds.make_warmup(service.warmup_per_s)
        self._health_check.path = service.health_path if service else ""
        self._cold_start.set_warmup(warmup, self._now_ms())
        self._check()

    def set_server(self, server_id: str, *, is_new: bool) -> None:
        """Sets the server that runs; a new process may be cold."""
        self._server_id = server_id
        if is_new:
            self._cold_start.reset(self._now_ms())

    def record_heartbeat(self, remaining_ms: float) -> None:
        """Records how long a heartbeat says that the server stays cold."""
        self._record(remaining_ms, cold_start.Source.HEARTBEAT)

    def record_send(self) -> None:
        """Records that a request is sent to the server."""
        self._cold_start.record_send(self._now_ms())
        self._check()

    def doubt(self) -> None:
        """Records a sign that the server may have started again."""
        self._cold_start.doubt()
        self._check()

    def hold(self) -> None:
        """Holds all requests until the server has said whether it is cold."""
        self._cold_start.hold(self._now_ms())
        self._check()

    def close(self) -> None:
        """Stops the probes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        """Sends a probe if one is due, and sees to the next check."""
        now_ms = self._now_ms()
        self._cold_start.advance(now_ms)
        self._report("no proof")
        if not (self._is_wanted() and self._cold_start.must_probe(now_ms)):
            return
        if self._server_id and self._health_check.path and not self._is_probing:
            self._is_probing = True
            tasks.start(self._probe(), name="warmth probe", events=self._events)
        if self._timer is None:
            self._timer = self._loop.call_later(
                RETRY_INTERVAL_S, self._check_later
            )

    def _check_later(self) -> None:
        self._timer = None
        self._check()

    async def _probe(self) -> None:
        self._probe_count += 1
        response = await self._health_check.send(self._server_id)
        self._is_probing = False
        # Without an answer, the server stays unproved.
        if response is not None:
            self._record(
                headers.read_health(response.fields).cold_remaining_ms,
                cold_start.Source.PROBE,
            )

    def _record(self, remaining_ms: float, source: cold_start.Source) -> None:
        before = self._cold_start.warmth
        self._cold_start.record_statement(remaining_ms, source, self._now_ms())
        self._report(source.value, remaining_ms)
        if self._cold_start.warmth is not before:
            self.on_change()
        self._check()

    def _report(self, source: str, remaining_ms: float = 0.0) -> None:
        """Reports a server that has turned cold or warm."""
        if self.is_cold == self._is_reported_cold:
            return
        self._is_reported_cold = self.is_cold
        self._events.emit(
            catalog.Event.SERVER_WARMTH_CHANGED,
            server_id=self._server_id,
            is_cold=self.is_cold,
            remaining_ms=int(remaining_ms),
            source=source,
        )
        self.on_report()
