"""The event log of one process: a bounded time line and JSON log lines."""

import collections
from collections.abc import Callable
import logging
import secrets
import sys
import threading
from typing import TypeAlias

from pythonjsonlogger import json as json_logger

from rhubarblead import clock
from rhubarblead import metrics
from rhubarblead.events import catalog
from rhubarblead.events import event_metrics
from rhubarblead.events import filters
from rhubarblead.events import record

LOGGER_NAME = "rhubarblead"

_INCARNATION_BYTES = 6
_COUNTER_BITS = 16
"""Low bits of a Lamport time: the counter within one millisecond."""

_Fields: TypeAlias = dict[str, record.Value]
_Row: TypeAlias = tuple[catalog.Event, int, int, int, int, _Fields]


_MATCH_ALL = filters.Filter()


class EventLog:
    """Records the events of one process. It is thread-safe.

    Request events have a separate ring buffer, so that they don't displace
    less frequent events from the time line. The Lamport clock is a hybrid
    logical clock: it follows the wall clock and never goes back, so that
    events of processes that haven't exchanged messages are ordered by their
    wall clocks.
    """

    __slots__ = (
        "_incarnation",
        "_instance",
        "_lamport",
        "_lock",
        "_logger",
        "_metrics",
        "_other_events",
        "_read_monotonic_ms",
        "_read_wall_ms",
        "_request_events",
        "_sequence",
    )

    def __init__(
        self,
        *,
        instance: str,
        timeline_capacity: int,
        incarnation: str = "",
        process_metrics: metrics.Metrics | None = None,
        read_wall_ms: Callable[[], int] = clock.read_wall_ms,
        read_monotonic_ms: Callable[[], int] = clock.read_monotonic_ms,
    ) -> None:
        """Creates an empty log.

        Args:
            instance: Name of the instance that the process runs on.
            timeline_capacity: Capacity of the time line in events; half of it
                is for request events.
            incarnation: Identifies this run of the process; random if empty.
            process_metrics: Metrics that events update.
            read_wall_ms: Returns the wall time in milliseconds.
            read_monotonic_ms: Returns the monotonic time in milliseconds.
        """
        self._instance = instance
        # Distinguishes records of two runs that have the same sequence number.
        self._incarnation = incarnation or secrets.token_hex(_INCARNATION_BYTES)
        self._metrics = process_metrics
        self._read_wall_ms = read_wall_ms
        self._read_monotonic_ms = read_monotonic_ms
        ring_capacity = max(1, timeline_capacity // 2)
        self._request_events: collections.deque[_Row] = collections.deque(
            maxlen=ring_capacity
        )
        self._other_events: collections.deque[_Row] = collections.deque(
            maxlen=ring_capacity
        )
        self._lock = threading.Lock()
        self._sequence = 0
        self._lamport = 0
        self._logger = logging.getLogger(LOGGER_NAME)

    def emit(self, event: catalog.Event, **fields: record.Value) -> None:
        """Records one event, and logs it if its level is enabled.

        Args:
            event: The kind of event.
            **fields: Fields from the definition of the event.
        """
        ring = (
            self._request_events if event.is_per_request else self._other_events
        )
        wall_ms = self._read_wall_ms()
        monotonic_ms = self._read_monotonic_ms()
        with self._lock:
            self._sequence += 1
            self._lamport = max(self._lamport + 1, wall_ms << _COUNTER_BITS)
            row = (
                event,
                self._sequence,
                self._lamport,
                wall_ms,
                monotonic_ms,
                fields,
            )
            ring.append(row)
        if self._metrics is not None:
            event_metrics.record_event(self._metrics, event, fields)
        if self._logger.isEnabledFor(event.level):
            self._logger.log(event.level, self._to_dict(row))

    def tick(self) -> int:
        """Advances the Lamport clock and returns the time for a message."""
        wall_ms = self._read_wall_ms()
        with self._lock:
            self._lamport = max(self._lamport + 1, wall_ms << _COUNTER_BITS)
            return self._lamport

    def observe(self, lamport: int) -> None:
        """Updates the Lamport clock with the time of a received message."""
        with self._lock:
            self._lamport = max(self._lamport, lamport)

    def list_events(
        self, event_filter: filters.Filter = _MATCH_ALL
    ) -> list[record.Record]:
        """Lists the retained events that match a filter, oldest first."""
        with self._lock:
            rows = [*self._request_events, *self._other_events]
        rows.sort(key=_get_sequence)
        return event_filter.select([self._make_record(row) for row in rows])

    def _make_record(self, row: _Row) -> record.Record:
        event, sequence, lamport, wall_ms, monotonic_ms, fields = row
        return record.Record(
            number=event.number,
            name=event.name,
            level=logging.getLevelName(event.level),
            instance=self._instance,
            incarnation=self._incarnation,
            sequence=sequence,
            lamport=lamport,
            wall_ms=wall_ms,
            monotonic_ms=monotonic_ms,
            fields=fields,
        )

    def _to_dict(self, row: _Row) -> dict[str, object]:
        item = self._make_record(row)
        return {name: getattr(item, name) for name in item.__struct_fields__}


def configure_logging(level: str) -> None:
    """Sends the logs of this process to stderr, one JSON object per line.

    Args:
        level: The minimum level to log, such as "INFO".
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(json_logger.JsonFormatter(""))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(level)


def _get_sequence(row: _Row) -> int:
    return row[1]
