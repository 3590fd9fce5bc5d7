"""Counters and latencies of one process, served as text."""

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
    """Values of the present moment; each name ends in its unit."""

    RUNNING = "running_requests"
    WAITING = "waiting_requests"
    PENDING = "pending_requests"
    SLOTS = "slots"
    CONFIG_VERSION = "config_version"
    HELD_KEYS = "held_keys"
    LEASE_LEFT = "right_left_ms"
    KNOWN_NODES = "known_nodes"


GAUGE_DESCRIPTIONS = {
    Gauge.RUNNING: "requests that run at the server beside this node",
    Gauge.WAITING: "requests that wait for a slot or a key beside it",
    Gauge.PENDING: "requests of callers here that have no answer yet",
    Gauge.SLOTS: "requests that the server runs at a time",
    Gauge.CONFIG_VERSION: "the configuration in force, -1 before there is one",
    Gauge.HELD_KEYS: "keys that the server was granted last",
    Gauge.LEASE_LEFT: "how long this node may still let it hold keys",
    Gauge.KNOWN_NODES: "nodes that this one knows, itself among them",
}
SERIES_DESCRIPTIONS = {
    'answers_total{route="NAME",status="CODE"}': "answers to callers",
    'latency_ms{route="NAME",quantile="SHARE"}': (
        "time from a whole request to its answer, 1 ms to 60 s, 2 digits"
    ),
    'latency_ms_count{route="NAME"}': "answers behind these quantiles",
    'events_total{event="NAME"}': "events, those without a line among them",
}
"""Counts since the start of the process."""

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_TEXT = b"content-type: text/plain; version=0.0.4\r\n"


class MetricsExporter:
    """What is counted of requests; events are counted by the journal."""

    __slots__ = ("_events", "_gauges", "_latencies", "_statuses")

    def __init__(
        self,
        *,
        events: event_log.EventLog,
        gauges: Callable[[], dict[Gauge, float]],
    ) -> None:
        """Makes empty measures.

        Args:
            events: Counts events by their names.
            gauges: Finds the present values.
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
