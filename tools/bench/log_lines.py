"""Reads the printed logs of a day."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

SECOND_MS = 1_000


def read(lines: Iterable[str]) -> Iterator[tuple[float, str, dict[str, Any]]]:
    """Reads the events of the nodes.

    Args:
        lines: Lines of a time in seconds, an instance and an event in JSON;
            others are passed over.

    Yields:
        The time in milliseconds, the instance and the event.
    """
    for line in lines:
        fields = line.split(maxsplit=2)
        if len(fields) < 3 or not fields[2].startswith("{"):
            continue
        try:
            event = msgspec.json.decode(fields[2])
            at_ms = float(fields[0]) * SECOND_MS
        except (msgspec.DecodeError, ValueError):
            # Other programs print to the same place.
            continue
        yield at_ms, fields[1], event
