"""Gauges of a node's own state, which are set once a second."""

from collections.abc import Callable
import pathlib
import resource

from rhubarblead import clock
from rhubarblead import metrics
from rhubarblead.node import view as views

REPORTED = frozenset(metrics.Gauge) - {metrics.Gauge.UPSTREAM_LOAD}
_STATM = pathlib.Path("/proc/self/statm")
_RESIDENT_FIELD = 1


class Gauges:
    """Sets the gauges of one node, which `REPORTED` lists."""

    __slots__ = (
        "_shared_view",
        "_count_entries",
        "_count_in_flight",
        "_metrics",
    )

    def __init__(
        self,
        *,
        sink: metrics.Metrics,
        shared_view: views.SharedView,
        count_in_flight: Callable[[], int],
        count_entries: Callable[[], int],
    ) -> None:
        self._metrics = sink
        self._shared_view = shared_view
        self._count_in_flight = count_in_flight
        self._count_entries = count_entries

    def measure(self) -> None:
        """Sets all gauges to their current values."""
        view = self._shared_view.read()
        left_ms = (
            self._shared_view.find_lease_end_ms(view.member_id)
            - clock.read_monotonic_ms()
        )
        for gauge, value in (
            (metrics.Gauge.REQUESTS_IN_FLIGHT, self._count_in_flight()),
            (
                metrics.Gauge.SHARDS_OWNED,
                view.state.count_shards(view.member_id),
            ),
            (metrics.Gauge.LEASE_LEFT, max(0, left_ms)),
            (metrics.Gauge.MEMBERS, len(view.state.members)),
            (metrics.Gauge.OWNERSHIP_REVISION, view.state.revision),
            (metrics.Gauge.TABLES_REVISION, view.tables_revision),
            (metrics.Gauge.LEDGER_ENTRIES, self._count_entries()),
            (metrics.Gauge.MEMORY, read_resident_bytes()),
        ):
            self._metrics.set_gauge(gauge, value)


def read_resident_bytes() -> int:
    """Reads the resident set size of this process, in bytes."""
    pages = int(_STATM.read_text(encoding="ascii").split()[_RESIDENT_FIELD])
    return pages * resource.getpagesize()
