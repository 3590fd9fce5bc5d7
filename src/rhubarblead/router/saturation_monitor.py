"""Reports when the instance's link or the event loop is saturated."""

import collections
from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.router import event_log
from rhubarblead.router import http_server
from rhubarblead.router import link_traffic

INTERVAL_MS = 1_000
"""Interval over which the use of the link is measured."""

BUSY_LINK_SHARE = 0.5
"""Share of the link's capacity from which its use is reported."""

BLOCKED_MS = 100
"""Delay of a timer from which it is reported; a hop takes a few ms."""


class SaturationMonitor:
    """Measures the use of the link by kind of message, and timer delays."""

    __slots__ = (
        "_caller_work",
        "_checked_at_ms",
        "_count_waiting",
        "_events",
        "_link_bytes_per_ms",
        "_now_ms",
        "_read_caller_work",
        "_received_bytes",
        "_sent_bytes",
        "_traffic",
        "longest_delay_ms",
    )

    def __init__(
        self,
        *,
        traffic: link_traffic.LinkTraffic,
        link_bytes_per_ms: float,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        read_caller_work: Callable[[], http_server.CallerWork],
        count_waiting: Callable[[], int],
    ) -> None:
        """Starts a measurement.

        Args:
            traffic: Counts the bytes.
            link_bytes_per_ms: Capacity of the link in each direction.
            events: The event log.
            now_ms: The clock.
            read_caller_work: Returns what callers have sent so far.
            count_waiting: Counts the requests that wait for the server.
        """
        self._read_caller_work = read_caller_work
        self._count_waiting = count_waiting
        self._caller_work = http_server.CallerWork()
        self._traffic = traffic
        self._link_bytes_per_ms = link_bytes_per_ms
        self._events = events
        self._now_ms = now_ms
        self._checked_at_ms = now_ms()
        self._sent_bytes = traffic.sent_bytes.copy()
        self._received_bytes = traffic.received_bytes.copy()
        self.longest_delay_ms = 0

    def record_timer(self, delay_ms: int) -> None:
        """Records by how much a timer of the event loop was late."""
        self.longest_delay_ms = max(self.longest_delay_ms, delay_ms)
        before, self._caller_work = self._caller_work, self._read_caller_work()
        if delay_ms >= BLOCKED_MS:
            work = self._caller_work
            self._events.emit(
                catalog.Event.LOOP_BLOCKED,
                delay_ms=delay_ms,
                received_bytes=work.received_bytes - before.received_bytes,
                request_count=work.request_count - before.request_count,
                waiting_count=self._count_waiting(),
            )
        elapsed_ms = self._now_ms() - self._checked_at_ms
        if elapsed_ms >= INTERVAL_MS:
            self._check_link(elapsed_ms)

    def _check_link(self, elapsed_ms: int) -> None:
        self._checked_at_ms += elapsed_ms
        sent = self._traffic.sent_bytes.copy()
        received = self._traffic.received_bytes.copy()
        self._report("sent", sent - self._sent_bytes, elapsed_ms)
        self._report("received", received - self._received_bytes, elapsed_ms)
        self._sent_bytes = sent
        self._received_bytes = received

    def _report(
        self,
        direction: str,
        bytes_by_kind: collections.Counter[str],
        elapsed_ms: int,
    ) -> None:
        used = bytes_by_kind.total() / (self._link_bytes_per_ms * elapsed_ms)
        if used < BUSY_LINK_SHARE:
            return
        kind, size_bytes = bytes_by_kind.most_common(1)[0]
        self._events.emit(
            catalog.Event.LINK_BUSY,
            direction=direction,
            used_per_mille=int(1_000 * used),
            largest_kind=kind,
            largest_bytes=size_bytes,
        )
