"""Counters, latencies and gauges of one process in Prometheus text format."""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import http
from typing import Any

from hdrh import histogram

from rhubarblead.requests import cluster_retry_budget
from rhubarblead.router import event_log
from rhubarblead.router import http_server
from rhubarblead.router import link_traffic

PATH = "/metrics"
PREFIX = "rhubarblead_"


class Gauge(enum.StrEnum):
    """Current values; each name ends in its unit."""

    RUNNING = "running_requests"
    RUNNING_CALLS = "running_calls"
    RESERVED_SLOTS = "reserved_slots"
    WAITING = "waiting_requests"
    PENDING = "pending_requests"
    SLOTS = "slots"
    LIMIT = "server_limit_per_s"
    LIMITED = "server_limited_ms"
    LIMIT_REFUSALS = "limit_refused_requests"
    COLD = "server_is_cold"
    WARMTH_PROBES = "warmth_probes"
    EVACUATED = "server_is_evacuated"
    CONFIG_VERSION = "config_version"
    CONFIG_AGE = "config_age_ms"
    HELD_KEYS = "held_keys"
    LEASE_LEFT = "right_left_ms"
    KNOWN_NODES = "known_nodes"
    LONGEST_DELAY = "longest_timer_delay_ms"
    REQUEST_MEMORY = "request_memory_reserved_bytes"
    CONNECTIONS = "caller_connections"


GAUGE_DESCRIPTIONS = {
    Gauge.RUNNING: "requests that the local server is running",
    Gauge.RUNNING_CALLS: "running requests that are calls from other servers",
    Gauge.RESERVED_SLOTS: "slots that are reserved for such calls",
    Gauge.WAITING: "requests that wait for a slot or a key at the local server",
    Gauge.PENDING: "requests received from callers and not answered yet",
    Gauge.SLOTS: "requests that the local server can run concurrently",
    Gauge.LIMIT: (
        "limit on its requests per second that the local server states, -1 if"
        " there is none"
    ),
    Gauge.LIMITED: "time for which the local server has stated a limit",
    Gauge.LIMIT_REFUSALS: (
        "requests refused by the local server's queue while there was a limit"
    ),
    Gauge.COLD: "1 while the local server counts as cold",
    Gauge.WARMTH_PROBES: "probes whether the local server is cold",
    Gauge.EVACUATED: (
        "1 while the local server gets no requests as its failure domain is"
        " evacuated"
    ),
    Gauge.CONFIG_VERSION: "configuration version in force, -1 if there is none",
    Gauge.CONFIG_AGE: (
        "time since the store has confirmed the configuration, -1 before that"
    ),
    Gauge.HELD_KEYS: "keys in the latest grant to the local server",
    Gauge.LEASE_LEFT: "time for which this node may still grant keys",
    Gauge.KNOWN_NODES: "nodes known to this one, including itself",
    Gauge.REQUEST_MEMORY: "memory reserved for large requests of callers",
    Gauge.CONNECTIONS: "open connections of callers",
    Gauge.LONGEST_DELAY: "longest delay of a timer since the process started",
}
SERIES_DESCRIPTIONS = {
    'answers_total{route="NAME",status="CODE"}': "answers to callers",
    'latency_ms{route="NAME",quantile="SHARE"}': (
        "time from a complete request to its answer, 1 ms to 60 s, 2 digits"
    ),
    'latency_ms_count{route="NAME"}': "answers included in the quantiles",
    'queued_ms{route="NAME",quantile="SHARE"}': (
        "time that requests of this node's callers waited for a slot or a key"
    ),
    'transit_ms{route="NAME",quantile="SHARE"}': (
        "time from sending a request to another node to receiving its outcome,"
        " without the time that it waited or ran there"
    ),
    'retry_budget_left_requests{service="NAME"}': (
        "retries to the service that this node may still send in the window"
    ),
    'events_total{event="NAME"}': "events, including those not logged",
    'link_bytes_total{kind="NAME",direction="NAME"}': (
        "bytes sent to and received from other nodes and the store, by kind of"
        " message"
    ),
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

    __slots__ = (
        "_events",
        "_gauges",
        "_histograms",
        "_retry_use",
        "_statuses",
        "_traffic",
    )

    def __init__(
        self,
        *,
        events: event_log.EventLog,
        gauges: Callable[[], dict[Gauge, float]],
        traffic: link_traffic.LinkTraffic | None = None,
        retry_use: Callable[[], Mapping[str, cluster_retry_budget.Use]] = dict,
    ) -> None:
        """Initializes the exporter without observations.

        Args:
            events: The event log, which counts events by name.
            gauges: Returns the current values of the gauges.
            traffic: Counts the bytes on the links.
            retry_use: Returns the use of the retry budget by service.
        """
        self._retry_use = retry_use
        self._traffic = traffic or link_traffic.LinkTraffic()
        self._events = events
        self._gauges = gauges
        self._histograms: dict[tuple[str, str], Any] = {}
        self._statuses: dict[tuple[str, int], int] = {}

    def observe(self, route: str, status: int, took_ms: int) -> None:
        """Records an answered request and its latency in milliseconds."""
        key = (route, status)
        self._statuses[key] = self._statuses.get(key, 0) + 1
        self._record("latency_ms", route, took_ms)

    def observe_delays(
        self, route: str, queued_ms: int, transit_ms: int
    ) -> None:
        """Records the delays of a request, in milliseconds.

        Args:
            route: Name of the route.
            queued_ms: How long the request waited at the node of its server.
            transit_ms: How long the request and its outcome were on their way.
        """
        self._record("queued_ms", route, queued_ms)
        self._record("transit_ms", route, transit_ms)

    def _record(self, name: str, route: str, value_ms: int) -> None:
        found = self._histograms.get((name, route))
        if found is None:
            found = histogram.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
            self._histograms[name, route] = found
        found.record_value(min(_HIGHEST_MS, max(_LOWEST_MS, value_ms)))

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
        for name, route in sorted(self._histograms):
            lines.extend(
                _render_quantiles(name, route, self._histograms[name, route])
            )
        lines.extend(
            f'{PREFIX}events_total{{event="{name}"}} {count}'
            for name, count in sorted(self._events.counts.items())
        )
        for direction, bytes_by_kind in (
            ("sent", self._traffic.sent_bytes),
            ("received", self._traffic.received_bytes),
        ):
            lines.extend(
                f'{PREFIX}link_bytes_total{{kind="{kind}",'
                f'direction="{direction}"}} {count}'
                for kind, count in sorted(bytes_by_kind.items())
            )
        lines.extend(
            f'{PREFIX}retry_budget_left_requests{{service="{service}"}}'
            f" {use.left_count:g}"
            for service, use in sorted(self._retry_use().items())
        )
        lines.extend(
            f"{PREFIX}{name} {value:g}"
            for name, value in sorted(self._gauges().items())
        )
        return "\n".join(lines) + "\n"


def _render_quantiles(
    name: str,
    route: str,
    values: Any,  # noqa: ANN401
) -> list[str]:
    lines = [
        f'{PREFIX}{name}{{route="{route}",quantile="{percentile / 100:g}"}}'
        f" {values.get_value_at_percentile(percentile)}"
        for percentile in _PERCENTILES
    ]
    lines.append(
        f'{PREFIX}{name}_count{{route="{route}"}} {values.total_count}'
    )
    return lines
