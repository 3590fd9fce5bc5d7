"""Structured, rate-limited and non-blocking logging to standard output."""

import logging
import os
import time
from typing import TypeAlias

import msgspec

from rhubarblead.events import catalog

Value: TypeAlias = str | int | float | bool | None

MAX_LINES_PER_S = 40
"""Limit for each event type; the excess is counted and reported as dropped."""

LOGGER_NAME = "rhubarblead"


class _NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking on its reader."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.lost_count = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as lost if the write fails."""
        try:
            os.write(self._descriptor, record.getMessage().encode() + b"\n")
        except OSError:
            self.lost_count += 1


class EventLog:
    """Writes the numbered events of one process as JSON lines."""

    __slots__ = (
        "_dropped",
        "_handler",
        "_instance",
        "_line_counts",
        "_logger",
        "_second",
        "counts",
    )

    def __init__(self, *, instance: str, descriptor: int = 1) -> None:
        """Initializes the log.

        Args:
            instance: Name of the instance, part of each line.
            descriptor: File descriptor to write to; standard output by default.
        """
        self._instance = instance
        self._logger = logging.getLogger(LOGGER_NAME)
        self._logger.setLevel(logging.INFO)
        self._logger.propagate = False
        self._handler = _NonBlockingHandler(descriptor=descriptor)
        self._logger.handlers[:] = [self._handler]
        self._second = 0
        self._line_counts: dict[int, int] = {}
        self._dropped: dict[str, int] = {}
        self.counts: dict[str, int] = {}

    def emit(self, event: catalog.Event, **fields: Value) -> None:
        """Writes one event, subject to the log level and the rate limit."""
        definition = event.value
        self.counts[event.name] = self.counts.get(event.name, 0) + 1
        if not self._logger.isEnabledFor(definition.level):
            return
        now_s = time.time()
        self._begin_second(int(now_s))
        count = self._line_counts.get(definition.number, 0) + 1
        self._line_counts[definition.number] = count
        if count > MAX_LINES_PER_S:
            self._dropped[event.name] = self._dropped.get(event.name, 0) + 1
            return
        self._write(event.name, definition.number, definition.level, fields)

    def _begin_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._line_counts.clear()
        if self._dropped or self._handler.lost_count:
            dropped, self._dropped = self._dropped, {}
            lost, self._handler.lost_count = self._handler.lost_count, 0
            event = catalog.Event.LINES_DROPPED
            self._write(
                event.name,
                event.value.number,
                event.value.level,
                {**dropped, "lost_count": lost},
            )

    def _write(
        self, name: str, number: int, level: int, fields: dict[str, Value]
    ) -> None:
        line = {
            "wall_ms": int(time.time() * 1_000),
            "instance": self._instance,
            "number": number,
            "event": name,
            **fields,
        }
        self._logger.log(level, "%s", msgspec.json.encode(line).decode("utf-8"))
