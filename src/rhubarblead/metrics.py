"""Metrics of one process, sent with the statsd protocol over UDP.

Values are aggregated in the process and sent when `flush` is called, so that
recording a metric needs no system call.
"""

from collections.abc import Sequence
import enum
import ipaddress
import threading
from typing import Protocol

import statsd

from rhubarblead import settings

_MAX_DATAGRAM_BYTES = 1_400
_MAX_TIMINGS = 1_000
"""Timings kept per timer between flushes; further ones are only counted."""


class Counter(enum.Enum):
    """Counters; each value is the metric name without the prefix."""

    REQUESTS_ANSWERED = "requests.answered"
    REQUESTS_REFUSED = "requests.refused"
    REQUESTS_RETRIED = "requests.retried"
    REQUESTS_FORWARDED = "requests.forwarded"
    REQUESTS_IN_DOUBT = "requests.in_doubt"
    UPSTREAM_FAILURES = "upstream.failures"
    HEARTBEATS_SENT = "lease.heartbeats_sent"
    PROMISES_GIVEN = "lease.promises_given"
    LEASES_LAPSED = "lease.lapsed"
    EVICTIONS = "membership.evictions"
    SHARDS_GAINED = "assignment.shards_gained"
    SHARDS_LOST = "assignment.shards_lost"
    HANDOVERS_GIVEN_UP = "assignment.handovers_given_up"
    STORE_READS = "store.reads"
    STORE_WRITES = "store.writes"
    STORE_CONFLICTS = "store.conflicts"
    STORE_FAILURES = "store.failures"
    LINK_RESETS = "peers.link_resets"
    LEDGER_WRITES = "ledger.writes"
    INTERNAL_ERRORS = "internal.errors"
    TIMINGS_DROPPED = "metrics.timings_dropped"


class Timer(enum.Enum):
    """Timers, in milliseconds."""

    REQUEST = "requests.duration"
    UPSTREAM = "upstream.duration"
    FORWARD = "requests.forward_duration"
    STORE_READ = "store.read_duration"
    STORE_WRITE = "store.write_duration"
    HANDOVER = "assignment.handover_duration"
    PROMISE = "lease.promise_duration"
    LEDGER_WRITE = "ledger.write_duration"


class Gauge(enum.Enum):
    """Gauges, sampled at each flush."""

    REQUESTS_IN_FLIGHT = "requests.in_flight"
    SHARDS_OWNED = "assignment.shards_owned"
    LEASE_LEFT = "lease.left_ms"
    MEMBERS = "membership.members"
    OWNERSHIP_REVISION = "assignment.ownership_revision"
    TABLES_REVISION = "tables.revision"
    LEDGER_ENTRIES = "ledger.entries"
    MEMORY = "process.rss_bytes"
    UPSTREAM_LOAD = "upstream.load_per_mille"


DESCRIPTIONS: dict[Counter | Timer | Gauge, str] = {
    Counter.REQUESTS_ANSWERED: "Requests with a response from an upstream.",
    Counter.REQUESTS_REFUSED: "Requests refused by the system.",
    Counter.REQUESTS_RETRIED: "Retries of requests.",
    Counter.REQUESTS_FORWARDED: "Requests forwarded to another node.",
    Counter.REQUESTS_IN_DOUBT: "Responses with the verdict may-have-run.",
    Counter.UPSTREAM_FAILURES: "Failed calls to the upstream.",
    Counter.HEARTBEATS_SENT: "Heartbeats sent to granters.",
    Counter.PROMISES_GIVEN: "Promises granted to members.",
    Counter.LEASES_LAPSED: "Times that the lease of this node expired.",
    Counter.EVICTIONS: "Evictions of members observed by this node.",
    Counter.SHARDS_GAINED: "Shards that this node gained.",
    Counter.SHARDS_LOST: "Shards that this node lost.",
    Counter.HANDOVERS_GIVEN_UP: "Handovers that were not committed.",
    Counter.STORE_READS: "Reads sent to the platform's store.",
    Counter.STORE_WRITES: "Transactions sent to the platform's store.",
    Counter.STORE_CONFLICTS: "Transactions that lost to a concurrent write.",
    Counter.STORE_FAILURES: "Times that the store became unavailable.",
    Counter.LINK_RESETS: "Connections to nodes reopened after a timeout.",
    Counter.LEDGER_WRITES: "Writes of ledger entries to replicas.",
    Counter.INTERNAL_ERRORS: "Internal errors.",
    Counter.TIMINGS_DROPPED: "Timings dropped because a flush was overdue.",
    Timer.REQUEST: "From the full request to its response, at the first node.",
    Timer.UPSTREAM: "Duration of a call to the upstream.",
    Timer.FORWARD: "Round trip to another node, including request processing.",
    Timer.STORE_READ: "Duration of a read from the store.",
    Timer.STORE_WRITE: "Duration of a transaction in the store.",
    Timer.HANDOVER: "From holding back a shard's requests to its new owner.",
    Timer.PROMISE: "From sending a heartbeat to receiving the promise.",
    Timer.LEDGER_WRITE: "From a ledger write to the last replica's response.",
    Gauge.REQUESTS_IN_FLIGHT: "Requests in progress at this node.",
    Gauge.SHARDS_OWNED: "Shards that this node owns.",
    Gauge.LEASE_LEFT: "Time until the lease expires unless renewed.",
    Gauge.MEMBERS: "Members known to this node.",
    Gauge.OWNERSHIP_REVISION: "Revision of the ownership state in force.",
    Gauge.TABLES_REVISION: "Revision of the operators' tables in force.",
    Gauge.LEDGER_ENTRIES: "Entries in the ledger, own and replicated.",
    Gauge.MEMORY: "Resident set size of the process.",
    Gauge.UPSTREAM_LOAD: "Fraction of the upstream's slots in use.",
}


class Pipeline(Protocol):
    """The part of a statsd pipeline that metrics use."""

    def incr(self, stat: str, count: int) -> None:
        """Adds to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Adds a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""

    def send(self) -> None:
        """Sends the batch."""


class Client(Protocol):
    """The part of a statsd client that metrics use."""

    def pipeline(self) -> Pipeline:
        """Creates a batch."""

    def close(self) -> None:
        """Closes the socket."""


class Metrics:
    """Aggregates metrics. It is thread-safe.

    Without a client, metrics are neither aggregated nor sent.
    """

    __slots__ = ("_client", "_counts", "_gauges", "_lock", "_timings")

    def __init__(self, *, client: Client | None) -> None:
        self._client = client
        self._lock = threading.Lock()
        self._counts: dict[Counter, int] = {}
        self._timings: dict[Timer, list[float]] = {}
        self._gauges: dict[Gauge, float] = {}

    def count(self, counter: Counter, increment: int = 1) -> None:
        """Adds to a counter."""
        if self._client is None:
            return
        with self._lock:
            self._add(counter, increment)

    def record_duration(self, timer: Timer, duration_ms: float) -> None:
        """Records one duration for a timer."""
        if self._client is None:
            return
        with self._lock:
            timings = self._timings.setdefault(timer, [])
            if len(timings) < _MAX_TIMINGS:
                timings.append(duration_ms)
            else:
                self._add(Counter.TIMINGS_DROPPED, 1)

    def set_gauge(self, gauge: Gauge, value: float) -> None:
        """Sets a gauge."""
        if self._client is None:
            return
        with self._lock:
            self._gauges[gauge] = value

    def flush(self) -> None:
        """Sends the metrics recorded since the last flush."""
        if self._client is None:
            return
        with self._lock:
            counts, self._counts = self._counts, {}
            timings, self._timings = self._timings, {}
            gauges, self._gauges = self._gauges, {}
        pipeline = self._client.pipeline()
        for counter, increment in counts.items():
            pipeline.incr(counter.value, increment)
        for timer, durations in timings.items():
            _add_timings(pipeline, timer, durations)
        for gauge, value in gauges.items():
            pipeline.gauge(gauge.value, value)
        pipeline.send()

    def close(self) -> None:
        """Sends the remaining metrics and closes the socket."""
        if self._client is None:
            return
        self.flush()
        self._client.close()

    def _add(self, counter: Counter, increment: int) -> None:
        self._counts[counter] = self._counts.get(counter, 0) + increment


def open_metrics(metrics_settings: settings.Metrics | None) -> Metrics:
    """Creates metrics according to the settings.

    Args:
        metrics_settings: The metrics settings; None disables metrics.

    Returns:
        Metrics; the caller must flush them every second and close them.
    """
    if metrics_settings is None:
        return Metrics(client=None)
    address = ipaddress.ip_address(str(metrics_settings.server.ip_address))
    client = statsd.StatsClient(
        host=str(address),
        port=metrics_settings.server.port,
        prefix=metrics_settings.prefix,
        maxudpsize=_MAX_DATAGRAM_BYTES,
        ipv6=address.version == 6,
    )
    return Metrics(client=client)


def _add_timings(
    pipeline: Pipeline, timer: Timer, durations: Sequence[float]
) -> None:
    for duration_ms in durations:
        pipeline.timing(timer.value, duration_ms)
