"""Counts of promises and lapses that decide, and the allowance for drift."""

from rhubarblead import settings

_MILLE = 1_000
_CLOCK_RESOLUTION_MS = 1


def count_needed_promises(granter_count: int) -> int:
    """Counts the promises that a lease needs: a majority of the granters."""
    return granter_count // 2 + 1


def count_needed_lapses(granter_count: int) -> int:
    """Counts the lapses that leave too few granters for a lease."""
    return granter_count - count_needed_promises(granter_count) + 1


def add_drift_allowance(*, duration_ms: int, lease: settings.Lease) -> int:
    """Lengthens a time so that it has passed on every clock within the drift.

    Args:
        duration_ms: The time on somebody else's clock.
        lease: Holds the bound on the drift.

    Returns:
        The time to wait on the own clock: rounded up, and one step of the
        clock more, as a reading may be almost a step old.
    """
    stretched = duration_ms * (_MILLE + lease.drift_per_mille)
    return -(-stretched // _MILLE) + _CLOCK_RESOLUTION_MS
