"""Timeline of all processes, merged in causal order.

Events are ordered by Lamport time, because the wall clocks of instances
differ. An event that could have caused another has the lower Lamport time, as
far as the messages between processes carry it.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

from rhubarblead.events import catalog
from rhubarblead.events import record

_GAIN_EVENTS = frozenset(
    {catalog.Event.SHARDS_GAINED.name, catalog.Event.KEY_SPLIT.name}
)
UNKNOWN_OWNER = "nobody, or an owner whose events are lost"
"""Shown as the owner of a period for which no event names one."""

_ANSWER_EVENTS = frozenset(
    {catalog.Event.REQUEST_ANSWERED.name, catalog.Event.REQUEST_REFUSED.name}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gap:
    """Events of one process missing from the timeline, and the reason."""

    instance: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Events in causal order, and the gaps among them."""

    records: tuple[record.Record, ...]
    gaps: tuple[Gap, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tenure:
    """The period during which one instance owned a key.

    It begins at `revision`. `wall_ms` is 0 if no event of the owner records
    the beginning.
    """

    owner: str
    revision: int
    fence: int
    wall_ms: int
    until_revision: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestSummary:
    """How a request was processed and answered.

    `starts_count` is how often the request was started at an upstream,
    according to the events. `verdict` is empty if the events contain no answer
    to the caller.
    """

    request_id: str
    starts_count: int
    verdict: str
    status: int
    refusal: str
    servers: tuple[str, ...]


_Process: TypeAlias = tuple[str, str]


def merge(
    records: Iterable[record.Record],
    *,
    unreachable: Sequence[Gap] = (),
    is_complete: bool = False,
) -> Timeline:
    """Merges the events of all processes.

    Args:
        records: Events in any order, possibly with duplicates.
        unreachable: Processes whose events could not be fetched.
        is_complete: Whether the records include all events that each process
            keeps, so that a missing sequence number is a gap.

    Returns:
        The events in causal order, and the gaps.
    """
    unique = {_make_event_id(item): item for item in records}
    ordered = sorted(unique.values(), key=_make_sort_key)
    sequence_gaps = _find_sequence_gaps(ordered) if is_complete else []
    return Timeline(
        records=tuple(ordered),
        gaps=(
            *unreachable,
            *_find_evicted_without_events(ordered, unreachable),
            *sequence_gaps,
        ),
    )


def list_tenures(
    records: Iterable[record.Record],
) -> tuple[Tenure, ...]:
    """Lists the owners of a shard over time.

    Args:
        records: Events about one shard or key.

    Returns:
        The tenures in ascending order of revision, which is the order of the
        store. A tenure whose owner's events are missing names it as lost or
        unknown.
    """
    items = list(records)
    gains = _index_by_revision(items, _GAIN_EVENTS)
    losses = _index_losses(items)
    tenures = []
    revisions = sorted(gains)
    for revision, until in zip(revisions, [*revisions[1:], None], strict=True):
        gain = gains[revision]
        lost_at = _find_loss(losses, gain.instance, revision, until)
        tenures.append(_make_tenure(gain, lost_at or until))
        if lost_at and lost_at != until:
            successor = _find_successor(items, until)
            tenures.append(_make_unknown_tenure(successor, lost_at, until))
    return tuple(tenures)


def summarize_request(
    request_id: str, records: Iterable[record.Record]
) -> RequestSummary:
    """Summarizes how a request was processed and answered.

    Args:
        request_id: The id of the request.
        records: Events in causal order.

    Returns:
        The last answer to the caller, and the starts at upstreams.
    """
    matching = [r for r in records if r.fields.get("request_id") == request_id]
    starts = [
        r for r in matching if r.name == catalog.Event.REQUEST_STARTED.name
    ]
    answers = [r for r in matching if r.name in _ANSWER_EVENTS]
    last = answers[-1] if answers else None
    return RequestSummary(
        request_id=request_id,
        starts_count=len(starts),
        verdict=_get_text(last, "verdict"),
        status=_get_int(last, "status"),
        refusal=_get_text(last, "refusal"),
        servers=tuple(
            dict.fromkeys(_get_text(item, "server") for item in starts)
        ),
    )


def _index_by_revision(
    items: Iterable[record.Record], names: frozenset[str]
) -> dict[int, record.Record]:
    found: dict[int, record.Record] = {}
    for item in items:
        if item.name in names and _get_int(item, "revision"):
            found.setdefault(_get_int(item, "revision"), item)
    return found


def _index_losses(items: Iterable[record.Record]) -> set[tuple[str, int]]:
    losses = set()
    for item in items:
        if item.name == catalog.Event.SHARDS_LOST.name:
            losses.add((item.instance, _get_int(item, "revision")))
        if item.name == catalog.Event.MEMBER_EVICTED.name:
            losses.add(
                (_find_evicted_instance(item), _get_int(item, "revision"))
            )
    return losses


def _find_loss(
    losses: set[tuple[str, int]], owner: str, since: int, until: int | None
) -> int | None:
    """Finds the first revision after `since` at which an owner lost a shard."""
    return min(
        (
            revision
            for instance, revision in losses
            if instance == owner
            and revision > since
            and (until is None or revision <= until)
        ),
        default=None,
    )


def _find_successor(
    items: Iterable[record.Record], revision: int | None
) -> record.Record | None:
    """Finds the event in which the next owner names the previous one."""
    adoptions = [
        item
        for item in items
        if item.name == catalog.Event.LEDGER_ADOPTED.name
        and _get_text(item, "previous_owner")
    ]
    gains = [
        item
        for item in items
        if item.name == catalog.Event.SHARDS_GAINED.name
        and _get_int(item, "revision") == revision
    ]
    return next(
        (
            item
            for gain in gains
            for item in adoptions
            if item.instance == gain.instance and item.sequence > gain.sequence
        ),
        None,
    )


def _make_tenure(gain: record.Record, until: int | None) -> Tenure:
    revision = _get_int(gain, "revision")
    return Tenure(
        owner=gain.instance,
        revision=revision,
        fence=_get_int(gain, "fence") or revision,
        wall_ms=gain.wall_ms,
        until_revision=until,
    )


def _make_unknown_tenure(
    successor: record.Record | None, since: int, until: int | None
) -> Tenure:
    named = _get_text(successor, "previous_owner")
    return Tenure(
        owner=f"{named} (its own events are lost)" if named else UNKNOWN_OWNER,
        revision=since,
        fence=since,
        wall_ms=0,
        until_revision=until,
    )


def _make_event_id(item: record.Record) -> tuple[str, str, int]:
    return item.instance, item.incarnation, item.sequence


def _make_sort_key(item: record.Record) -> tuple[int, str, str, int]:
    return item.lamport, item.instance, item.incarnation, item.sequence


def _find_sequence_gaps(ordered: Iterable[record.Record]) -> list[Gap]:
    sequences: dict[_Process, list[int]] = {}
    for item in ordered:
        process = (item.instance, item.incarnation)
        sequences.setdefault(process, []).append(item.sequence)
    return [
        Gap(
            instance=process[0],
            reason=f"{numbers[-1] - len(numbers)} events are no longer kept",
        )
        for process, numbers in sequences.items()
        if numbers[-1] > len(numbers)
    ]


def _find_evicted_without_events(
    ordered: Sequence[record.Record], unreachable: Sequence[Gap]
) -> list[Gap]:
    instances_seen = {item.instance for item in ordered}
    instances_seen.update(gap.instance for gap in unreachable)
    evicted = {
        _find_evicted_instance(item)
        for item in ordered
        if item.name == catalog.Event.MEMBER_EVICTED.name
    }
    return [
        Gap(instance=instance, reason="evicted; its own events are lost")
        for instance in sorted(evicted - instances_seen - {""})
    ]


def _find_evicted_instance(item: record.Record) -> str:
    """Finds the instance of an evicted member; member ids begin with it."""
    named = _get_text(item, "member_instance")
    return named or _get_text(item, "member_id").rpartition(".")[0]


def _get_text(item: record.Record | None, field: str) -> str:
    value = item.fields.get(field) if item else None
    return value if isinstance(value, str) else ""


def _get_int(item: record.Record | None, field: str) -> int:
    value = item.fields.get(field) if item else None
    return value if isinstance(value, int) else 0
