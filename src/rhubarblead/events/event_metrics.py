"""Metrics derived from events."""

import dataclasses

from rhubarblead import metrics
from rhubarblead.events import catalog
from rhubarblead.events import record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EventMetric:
    """The metrics that one kind of event updates.

    `increment_field` names the field whose value is added to `counter`; if it
    is empty, 1 is added. `duration_field` names the field with the duration in
    milliseconds for `timer`.
    """

    counter: metrics.Counter
    increment_field: str = ""
    timer: metrics.Timer | None = None
    duration_field: str = "duration_ms"


EVENT_METRICS: dict[catalog.Event, EventMetric] = {
    catalog.Event.REQUEST_ANSWERED: EventMetric(
        counter=metrics.Counter.REQUESTS_ANSWERED,
        timer=metrics.Timer.REQUEST,
    ),
    catalog.Event.REQUEST_REFUSED: EventMetric(
        counter=metrics.Counter.REQUESTS_REFUSED
    ),
    catalog.Event.REQUEST_RETRIED: EventMetric(
        counter=metrics.Counter.REQUESTS_RETRIED
    ),
    catalog.Event.LEASE_LAPSED: EventMetric(
        counter=metrics.Counter.LEASES_LAPSED
    ),
    catalog.Event.MEMBER_EVICTED: EventMetric(
        counter=metrics.Counter.EVICTIONS
    ),
    catalog.Event.SHARDS_GAINED: EventMetric(
        counter=metrics.Counter.SHARDS_GAINED, increment_field="shard_count"
    ),
    catalog.Event.SHARDS_LOST: EventMetric(
        counter=metrics.Counter.SHARDS_LOST, increment_field="shard_count"
    ),
    catalog.Event.STORE_UNAVAILABLE: EventMetric(
        counter=metrics.Counter.STORE_FAILURES
    ),
    catalog.Event.STORE_CONFLICT: EventMetric(
        counter=metrics.Counter.STORE_CONFLICTS
    ),
    catalog.Event.PEER_LINK_RESET: EventMetric(
        counter=metrics.Counter.LINK_RESETS
    ),
    catalog.Event.INTERNAL_ERROR: EventMetric(
        counter=metrics.Counter.INTERNAL_ERRORS
    ),
}


def record_event(
    process_metrics: metrics.Metrics,
    event: catalog.Event,
    fields: dict[str, record.Value],
) -> None:
    """Updates the metrics for an event.

    Args:
        process_metrics: The metrics of the process.
        event: The kind of event.
        fields: The fields of the event.
    """
    event_metric = EVENT_METRICS.get(event)
    if event_metric is None:
        return
    increment = fields.get(event_metric.increment_field, 1)
    process_metrics.count(
        event_metric.counter, increment if isinstance(increment, int) else 1
    )
    duration_ms = fields.get(event_metric.duration_field)
    if event_metric.timer and isinstance(duration_ms, int | float):
        process_metrics.record_duration(event_metric.timer, duration_ms)
