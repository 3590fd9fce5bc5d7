"""Shows from the logs of a day how the slots of each server were used.

Slots that are free while others refuse requests are lost by decisions; if all
are in use, by a lack of servers.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any

from tools.bench import log_lines

SECOND_MS = log_lines.SECOND_MS


@dataclasses.dataclass(slots=True, kw_only=True)
class Window:
    """What one server did in one window of time.

    `busy_ms` is the time for which its slots were in use, summed over them.
    """

    busy_ms: float = 0.0
    run_count: int = 0
    refused_count: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Usage:
    """Windows by node, and the service of the server beside each node."""

    window_ms: int
    services: dict[str, str] = dataclasses.field(default_factory=dict)
    windows: dict[tuple[str, int], Window] = dataclasses.field(
        default_factory=dict
    )

    def get_window(self, node: str, number: int) -> Window:
        """Returns the window of a node with that number."""
        return self.windows.setdefault((node, number), Window())


def read(lines: Iterable[str], *, window_ms: int = 2 * SECOND_MS) -> Usage:
    """Reads the use of the slots from the printed logs of a day.

    Args:
        lines: Printed logs of all nodes of a day.
        window_ms: Length of a window.
    """
    usage = Usage(window_ms=window_ms)
    for at_ms, _, event in log_lines.read(lines):
        _add(usage, event, at_ms)
    return usage


def _add(usage: Usage, event: dict[str, Any], at_ms: float) -> None:
    node = str(event.get("node_id", "")).partition("@")[0]
    number = int(at_ms // usage.window_ms)
    match event.get("event"):
        case "ROUTER_STARTED":
            usage.services[event["instance"]] = event["service"]
        case "ANSWER_RETURNED" if event.get("ran_ms"):
            usage.get_window(node, number).run_count += 1
            _add_busy(usage, node, at_ms - event["ran_ms"], at_ms)
        case "ANSWER_OWN" if node and event.get("status") == 503:
            usage.get_window(node, number).refused_count += 1


def _add_busy(usage: Usage, node: str, begin_ms: float, end_ms: float) -> None:
    number = int(begin_ms // usage.window_ms)
    while number * usage.window_ms < end_ms:
        first_ms = max(begin_ms, number * usage.window_ms)
        last_ms = min(end_ms, (number + 1) * usage.window_ms)
        usage.get_window(node, number).busy_ms += last_ms - first_ms
        number += 1


def format_service(usage: Usage, service: str) -> list[str]:
    """Formats a table of one service: a line a window, a column a server."""
    nodes = sorted(
        {
            node
            for node, _ in usage.windows
            if usage.services.get(node) == service
        }
    )
    numbers = sorted({n for node, n in usage.windows if node in nodes})
    lines = [
        "second | " + " | ".join(nodes) + "  (slots in use, runs, refused)"
    ]
    for number in numbers:
        cells = []
        for node in nodes:
            window = usage.windows.get((node, number), Window())
            cells.append(
                f"{window.busy_ms / usage.window_ms:5.2f}"
                f" {window.run_count:4d} {window.refused_count:4d}"
            )
        second = number * usage.window_ms // SECOND_MS
        lines.append(f"{second:6d} | " + " | ".join(cells))
    return lines
