"""Counters, latencies and gauges of one process in Prometheus text format."""

from collections.abc import Callable
import enum
import http
from typing import Any

from hdrh import histogram

from rhubarblead.router import event_log
from rhubarblead.router import http_server

PATH = "/metrics"
PREFIX = "rhubarblead_"


class Gauge(enum.StrEnum):
    """Current values; each name ends in its unit."""

    RUNNING = "running_requests"
    WAITING = "waiting_requests"
    PENDING = "pending_requests"
    SLOTS = "slots"
    CONFIG_VERSION = "config_version"
    HELD_KEYS = "held_keys"
    LEASE_LEFT = "right_left_ms"
    KNOWN_NODES = "known_nodes"


GAUGE_DESCRIPTIONS = {
    Gauge.RUNNING: "requests that the local server is running",
    Gauge.WAITING: "requests that wait for a slot or a key at the local server",
    Gauge.PENDING: "requests received from callers and not answered yet",
    Gauge.SLOTS: "requests that the local server can run concurrently",
    Gauge.CONFIG_VERSION: "configuration version in force, -1 if there is none",
    Gauge.HELD_KEYS: "keys in the latest grant to the local server",
    Gauge.LEASE_LEFT: "time for which this node may still grant keys",
    Gauge.KNOWN_NODES: "nodes known to this one, including itself",
}
SERIES_DESCRIPTIONS = {
    'answers_total{route="NAME",status="CODE"}': "answers to callers",
    'latency_ms{route="NAME",quantile="SHARE"}': (
        "time from a complete request to its answer, 1 ms to 60 s, 2 digits"
    ),
    'latency_ms_count{route="NAME"}': "answers included in the quantiles",
    'events_total{event="NAME"}': "events, including those not logged",
}
"""Series that accumulate from the start of the process."""

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_TEXT = b"content-type: text/plain; version=0.0.4\r\n"


class MetricsExporter:
    """Counts answered requests and renders all metrics.

    Events are counted by the event log.
    """

    __slots__ = ("_events", "_gauges", "_latencies", "_statuses")

    def __init__(
        self,
        *,
        events: event_log.EventLog,
        gauges: Callable[[], dict[Gauge, float]],
    ) -> None:
        """Initializes the exporter without observations.

        Args:
            events: The event log, which counts events by name.
            gauges: Returns the current values of the gauges.
        """
        self._events = events
        self._gauges = gauges
        self._latencies: dict[str, Any] = {}
        self._statuses: dict[tuple[str, int], int] = {}

    def observe(self, route: str, status: int, took_ms: int) -> None:
        """Records an answered request and its latency in milliseconds."""
        key = (route, status)
        self._statuses[key] = self._statuses.get(key, 0) + 1
        latencies = self._latencies.get(route)
        if latencies is None:
            latencies = histogram.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
            self._latencies[route] = latencies
        latencies.record_value(min(_HIGHEST_MS, max(_LOWEST_MS, took_ms)))

    def handle(self, exchange: http_server.Exchange) -> None:
        """Handles an HTTP request for the metrics."""
        if http_server.read_path(exchange.target) != PATH:
            exchange.finish(
                http_server.Response(status=http.HTTPStatus.NOT_FOUND)
            )
            return
        exchange.finish(
            http_server.Response(
                status=http.HTTPStatus.OK,
                fields=_TEXT,
                body=self.render().encode(),
            )
        )

    def render(self) -> str:
        """Renders all metrics, one per line."""
        lines = [
            f'{PREFIX}answers_total{{route="{route}",status="{status}"}}'
            f" {count}"
            for (route, status), count in sorted(self._statuses.items())
        ]
        for route, latencies in sorted(self._latencies.items()):
            lines.extend(_render_latencies(route, latencies))
        lines.extend(
            f'{PREFIX}events_total{{event="{name}"}} {count}'
            for name, count in sorted(self._events.counts.items())
        )
        lines.extend(
            f"{PREFIX}{name} {value:g}"
            for name, value in sorted(self._gauges().items())
        )
        return "\n".join(lines) + "\n"


def _render_latencies(route: str, latencies: Any) -> list[str]:  # noqa: ANN401
    name = f"{PREFIX}latency_ms"
    lines = [
        f'{name}{{route="{route}",quantile="{percentile / 100:g}"}}'
        f" {latencies.get_value_at_percentile(percentile)}"
        for percentile in _PERCENTILES
    ]
    lines.append(f'{name}_count{{route="{route}"}} {latencies.total_count}')
    return lines
