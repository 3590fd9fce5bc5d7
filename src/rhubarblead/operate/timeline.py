"""The time line of all processes, merged in causal order.

Wall clocks of instances differ, so they order nothing. Lamport times do: an
event that could have caused another has the lower one.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

from rhubarblead.events import catalog
from rhubarblead.events import record

_OWNER_EVENTS = frozenset(
    {catalog.Event.SHARDS_GAINED.name, catalog.Event.KEY_SPLIT.name}
)
_ANSWER_EVENTS = frozenset(
    {catalog.Event.REQUEST_ANSWERED.name, catalog.Event.REQUEST_REFUSED.name}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gap:
    """Events of one process that the time line lacks, and why."""

    instance: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Events in causal order, and what is missing among them."""

    records: tuple[record.Record, ...]
    gaps: tuple[Gap, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tenure:
    """One owner of a key, from the revision at which it became that."""

    owner: str
    revision: int
    fence: int
    wall_ms: int
    until_revision: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFate:
    """What became of a request.

    `starts_count` says how often an upstream was given the request, as far as
    the events tell. `verdict` is empty when no answer to the caller is among
    the events.
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
    lost: Sequence[Gap] = (),
    is_complete: bool = False,
) -> Timeline:
    """Merges the events of all processes.

    Args:
        records: Events in any order; the same one may come several times.
        lost: Processes whose events could not be had.
        is_complete: Whether each process gave all events that it keeps, so
            that a missing sequence number is a gap.

    Returns:
        The events in causal order, and the gaps.
    """
    unique = {_identify(item): item for item in records}
    ordered = sorted(unique.values(), key=_order)
    holes = _find_holes(ordered) if is_complete else []
    return Timeline(
        records=tuple(ordered),
        gaps=(*lost, *_find_silent(ordered, lost), *holes),
    )


def list_tenures(
    records: Iterable[record.Record],
) -> tuple[Tenure, ...]:
    """Lists who owned a shard when.

    Args:
        records: Events about one shard or key.

    Returns:
        The owners by rising revision, which is the order of the store.
    """
    gains: dict[int, record.Record] = {}
    for item in records:
        if item.name in _OWNER_EVENTS and _get_int(item, "revision"):
            gains.setdefault(_get_int(item, "revision"), item)
    revisions = sorted(gains)
    following = [*revisions[1:], None]
    return tuple(
        Tenure(
            owner=gains[revision].instance,
            revision=revision,
            fence=_get_int(gains[revision], "fence") or revision,
            wall_ms=gains[revision].wall_ms,
            until_revision=until,
        )
        for revision, until in zip(revisions, following, strict=True)
    )


def find_fate(request_id: str, records: Iterable[record.Record]) -> RequestFate:
    """Finds what became of a request.

    Args:
        request_id: The request.
        records: Events in causal order.

    Returns:
        The last answer to the caller, and the starts at upstreams.
    """
    own = [r for r in records if r.fields.get("request_id") == request_id]
    starts = [r for r in own if r.name == catalog.Event.REQUEST_STARTED.name]
    answers = [r for r in own if r.name in _ANSWER_EVENTS]
    last = answers[-1] if answers else None
    return RequestFate(
        request_id=request_id,
        starts_count=len(starts),
        verdict=_get_text(last, "verdict"),
        status=_get_int(last, "status"),
        refusal=_get_text(last, "refusal"),
        servers=tuple(
            dict.fromkeys(_get_text(item, "server") for item in starts)
        ),
    )


def _identify(item: record.Record) -> tuple[str, str, int]:
    return item.instance, item.incarnation, item.sequence


def _order(item: record.Record) -> tuple[int, str, str, int]:
    return item.lamport, item.instance, item.incarnation, item.sequence


def _find_holes(ordered: Iterable[record.Record]) -> list[Gap]:
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


def _find_silent(
    ordered: Sequence[record.Record], lost: Sequence[Gap]
) -> list[Gap]:
    heard = {item.instance for item in ordered}
    heard.update(gap.instance for gap in lost)
    evicted = {
        _get_text(item, "member_instance")
        for item in ordered
        if item.name == catalog.Event.MEMBER_EVICTED.name
    }
    return [
        Gap(instance=instance, reason="evicted; its own events are lost")
        for instance in sorted(evicted - heard - {""})
    ]


def _get_text(item: record.Record | None, field: str) -> str:
    value = item.fields.get(field) if item else None
    return value if isinstance(value, str) else ""


def _get_int(item: record.Record | None, field: str) -> int:
    value = item.fields.get(field) if item else None
    return value if isinstance(value, int) else 0
