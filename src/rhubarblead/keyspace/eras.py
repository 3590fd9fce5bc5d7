"""Eras of the store: it may come back from a copy, without its last writes.

Each restore begins an era. Fences contain the era, so that those of an era are
above all that any server has seen before. A range with a fence of an earlier
era is unconfirmed: its owner in the store may be out of date, so that only who
has held it without a gap may go on, and others wait for
`CONFIRMATION_TIMEOUT_MS`.
"""

from collections.abc import Iterable

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import lease

_COUNTER_BITS = 32

CONFIRMATION_TIMEOUT_MS = (
    lease.DURATION_MS
    + lease.DURATION_MS * lease.DRIFT_PER_MILLE // 1_000
    + lease.TAKEOVER_MARGIN_MS
)
"""Time in which all leases of the era before have ended."""


def find_lowest_fence(era: int) -> int:
    """Returns a fence below all of an era, and above all of earlier ones."""
    return era << _COUNTER_BITS


def is_confirmed(item: assignment.KeyRange, era: int) -> bool:
    """Returns whether a range was assigned in an era."""
    return item.fence >= find_lowest_fence(era)


def list_unconfirmed(
    ranges: Iterable[assignment.KeyRange], era: int
) -> list[assignment.KeyRange]:
    """Lists the ranges that have an owner of an earlier era."""
    return [
        item for item in ranges if item.owner and not is_confirmed(item, era)
    ]


def merge(
    known: assignment.Assignment, stored: assignment.Assignment, era: int
) -> assignment.Assignment:
    """Merges an assignment with the one known before.

    The store may have lost changes that this node knows of, so that only the
    ranges that were assigned in the present era are taken from it.
    """
    confirmed = [item for item in stored.ranges if is_confirmed(item, era)]
    return known.replace(confirmed, fence=max(known.fence, stored.fence))


def intersect(
    ranges: Iterable[assignment.KeyRange],
    spans: Iterable[tuple[int, int]],
    owner: str,
) -> list[assignment.Transfer]:
    """Lists transfers of the parts of ranges that lie in spans to an owner."""
    spans = list(spans)
    return [
        assignment.Transfer(
            first=max(item.first, first),
            last=min(item.last, last),
            owner=owner,
        )
        for item in ranges
        for first, last in spans
        if item.first <= last and first <= item.last
    ]
