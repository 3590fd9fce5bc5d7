"""Counters and latencies of one process, served as text."""

from collections.abc import Callable
import http
from typing import Any

from hdrh import histogram

from rhubarblead.router import http_server
from rhubarblead.router import journal

PATH = "/metrics"

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_TEXT = b"content-type: text/plain; version=0.0.4\r\n"


class Measures:
    """What is counted of requests; events are counted by the journal."""

    __slots__ = ("_events", "_gauges", "_latencies", "_statuses")

    def __init__(
        self,
        *,
        events: journal.Journal,
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        """Makes empty measures.

        Args:
            events: Counts events by their names.
            gauges: Finds present values by name; each name ends in its unit.
        """
        self._events = events
        self._gauges = gauges
        self._latencies: dict[str, Any] = {}
        self._statuses: dict[tuple[str, int], int] = {}

    def observe(self, route: str, status: int, took_ms: int) -> None:
        """Counts one answered request."""
        key = (route, status)
        self._statuses[key] = self._statuses.get(key, 0) + 1
        latencies = self._latencies.get(route)
        if latencies is None:
            latencies = histogram.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
            self._latencies[route] = latencies
        latencies.record_value(min(_HIGHEST_MS, max(_LOWEST_MS, took_ms)))

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answers a question for the measures."""
        if http_server.read_path(exchange.target) != PATH:
            exchange.finish(
                http_server.Answer(status=http.HTTPStatus.NOT_FOUND)
            )
            return
        exchange.finish(
            http_server.Answer(
                status=http.HTTPStatus.OK,
                fields=_TEXT,
                body=self.render().encode(),
            )
        )

    def render(self) -> str:
        """Writes all measures, one a line."""
        lines = [
            f'rhubarblead_answers_total{{route="{route}",status="{status}"}}'
            f" {count}"
            for (route, status), count in sorted(self._statuses.items())
        ]
        for route, latencies in sorted(self._latencies.items()):
            lines.extend(_render_latencies(route, latencies))
        lines.extend(
            f'rhubarblead_events_total{{event="{name}"}} {count}'
            for name, count in sorted(self._events.counts.items())
        )
        lines.extend(
            f"rhubarblead_{name} {value:g}"
            for name, value in sorted(self._gauges().items())
        )
        return "\n".join(lines) + "\n"


def _render_latencies(route: str, latencies: Any) -> list[str]:  # noqa: ANN401
    name = "rhubarblead_latency_ms"
    lines = [
        f'{name}{{route="{route}",quantile="{percentile / 100:g}"}}'
        f" {latencies.get_value_at_percentile(percentile)}"
        for percentile in _PERCENTILES
    ]
    lines.append(f'{name}_count{{route="{route}"}} {latencies.total_count}')
    return lines
