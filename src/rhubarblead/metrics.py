"""Metrics of one process, sent by the statsd protocol over UDP.

Values are gathered in the process and sent when `flush` is called, so that a
request costs no system call for its metrics.
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
"""Timings kept of one timer between two flushes; further ones only count."""


class Counter(enum.Enum):
    """What is counted; each value is the name that follows the prefix."""

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
    """What is timed, in milliseconds."""

    REQUEST = "requests.duration"
    UPSTREAM = "upstream.duration"
    FORWARD = "requests.forward_duration"
    STORE_READ = "store.read_duration"
    STORE_WRITE = "store.write_duration"
    HANDOVER = "assignment.handover_duration"
    PROMISE = "lease.promise_duration"
    LEDGER_WRITE = "ledger.write_duration"


class Gauge(enum.Enum):
    """What is measured at the moment of a flush."""

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
    Counter.REQUESTS_ANSWERED: "Requests that got an upstream's answer.",
    Counter.REQUESTS_REFUSED: "Requests that the system itself refused.",
    Counter.REQUESTS_RETRIED: "Sends after the first of a request.",
    Counter.REQUESTS_FORWARDED: "Requests sent to another node.",
    Counter.REQUESTS_IN_DOUBT: "Answers with the verdict may-have-run.",
    Counter.UPSTREAM_FAILURES: "Calls to the upstream that failed.",
    Counter.HEARTBEATS_SENT: "Heartbeats sent to granters.",
    Counter.PROMISES_GIVEN: "Promises given to members.",
    Counter.LEASES_LAPSED: "Times that this node lost its lease.",
    Counter.EVICTIONS: "Evictions of members that this node learnt of.",
    Counter.SHARDS_GAINED: "Shards that this node became the owner of.",
    Counter.SHARDS_LOST: "Shards that this node ceased to own.",
    Counter.HANDOVERS_GIVEN_UP: "Handovers that were not committed.",
    Counter.STORE_READS: "Reads sent to the platform's store.",
    Counter.STORE_WRITES: "Transactions sent to the platform's store.",
    Counter.STORE_CONFLICTS: "Transactions that another writer forestalled.",
    Counter.STORE_FAILURES: "Times that the store ceased to answer.",
    Counter.LINK_RESETS: "Connections to nodes opened anew after silence.",
    Counter.LEDGER_WRITES: "Writes of ledger entries to replicas.",
    Counter.INTERNAL_ERRORS: "Faults of the system itself.",
    Counter.TIMINGS_DROPPED: "Timings left out because a flush was overdue.",
    Timer.REQUEST: "From the whole request to its answer, at the first node.",
    Timer.UPSTREAM: "Time that the upstream took.",
    Timer.FORWARD: "Time between two nodes, there and back, with the work.",
    Timer.STORE_READ: "One read of the store.",
    Timer.STORE_WRITE: "One transaction of the store.",
    Timer.HANDOVER: "From holding a shard's requests back to its new owner.",
    Timer.PROMISE: "From a heartbeat to its promise.",
    Timer.LEDGER_WRITE: "From a ledger write to the last replica's answer.",
    Gauge.REQUESTS_IN_FLIGHT: "Requests in progress at this node.",
    Gauge.SHARDS_OWNED: "Shards that this node owns.",
    Gauge.LEASE_LEFT: "Time for which the lease holds without renewal.",
    Gauge.MEMBERS: "Members that this node knows.",
    Gauge.OWNERSHIP_REVISION: "Revision of the ownership state in force.",
    Gauge.TABLES_REVISION: "Revision of the operators' tables in force.",
    Gauge.LEDGER_ENTRIES: "Entries in the ledger, own and for others.",
    Gauge.MEMORY: "Resident memory of the process.",
    Gauge.UPSTREAM_LOAD: "Share of the upstream's slots in use.",
}


class Pipeline(Protocol):
    """The part of a statsd pipeline that metrics use."""

    def incr(self, stat: str, count: int) -> None:
        """Adds to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Adds a time in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""

    def send(self) -> None:
        """Sends all that was added."""


class Client(Protocol):
    """The part of a statsd client that metrics use."""

    def pipeline(self) -> Pipeline:
        """Begins a batch."""

    def close(self) -> None:
        """Closes the socket."""


class Metrics:
    """Gathers metrics; any thread may use it.

    Without a client nothing is gathered and nothing sent.
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
        """Adds one duration to a timer."""
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
        """Sends what was gathered since the last flush."""
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
        """Sends what is left and closes the socket."""
        if self._client is None:
            return
        self.flush()
        self._client.close()

    def _add(self, counter: Counter, increment: int) -> None:
        self._counts[counter] = self._counts.get(counter, 0) + increment


def open_metrics(metrics_settings: settings.Metrics | None) -> Metrics:
    """Opens the metrics that the settings ask for.

    Args:
        metrics_settings: Where metrics go; None for nowhere.

    Returns:
        Metrics that the caller flushes every second, and closes.
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
