"""Metrics that follow from events."""

import dataclasses

from rhubarblead import metrics
from rhubarblead.events import catalog
from rhubarblead.events import record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """What one kind of event adds to the metrics.

    `increment_field` names the field with the number to add, when it isn't 1,
    and `duration_field` the one with the milliseconds for `timer`.
    """

    counter: metrics.Counter
    increment_field: str = ""
    timer: metrics.Timer | None = None
    duration_field: str = "duration_ms"


EVENT_METRICS: dict[catalog.Event, Measure] = {
    catalog.Event.REQUEST_ANSWERED: Measure(
        counter=metrics.Counter.REQUESTS_ANSWERED,
        timer=metrics.Timer.REQUEST,
    ),
    catalog.Event.REQUEST_REFUSED: Measure(
        counter=metrics.Counter.REQUESTS_REFUSED
    ),
    catalog.Event.REQUEST_RETRIED: Measure(
        counter=metrics.Counter.REQUESTS_RETRIED
    ),
    catalog.Event.LEASE_LAPSED: Measure(counter=metrics.Counter.LEASES_LAPSED),
    catalog.Event.MEMBER_EVICTED: Measure(counter=metrics.Counter.EVICTIONS),
    catalog.Event.SHARDS_GAINED: Measure(
        counter=metrics.Counter.SHARDS_GAINED, increment_field="shard_count"
    ),
    catalog.Event.SHARDS_LOST: Measure(
        counter=metrics.Counter.SHARDS_LOST, increment_field="shard_count"
    ),
    catalog.Event.STORE_UNAVAILABLE: Measure(
        counter=metrics.Counter.STORE_FAILURES
    ),
    catalog.Event.STORE_CONFLICT: Measure(
        counter=metrics.Counter.STORE_CONFLICTS
    ),
    catalog.Event.PEER_LINK_RESET: Measure(counter=metrics.Counter.LINK_RESETS),
    catalog.Event.INTERNAL_ERROR: Measure(
        counter=metrics.Counter.INTERNAL_ERRORS
    ),
}


def add_event(
    gathered: metrics.Metrics,
    event: catalog.Event,
    fields: dict[str, record.Value],
) -> None:
    """Adds what an event says to the metrics.

    Args:
        gathered: The metrics of the process.
        event: The kind of event.
        fields: Its fields.
    """
    measure = EVENT_METRICS.get(event)
    if measure is None:
        return
    increment = fields.get(measure.increment_field, 1)
    gathered.count(
        measure.counter, increment if isinstance(increment, int) else 1
    )
    duration_ms = fields.get(measure.duration_field)
    if measure.timer and isinstance(duration_ms, int | float):
        gathered.record_duration(measure.timer, duration_ms)
