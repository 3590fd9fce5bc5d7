"""Quorum sizes of promises and lapses, and the allowance for clock drift."""

from rhubarblead import settings

_MILLE = 1_000
_CLOCK_RESOLUTION_MS = 1


def count_needed_promises(granter_count: int) -> int:
    """Returns how many promises a lease needs: a majority of the granters."""
    return granter_count // 2 + 1


def count_needed_lapses(granter_count: int) -> int:
    """Returns how many lapses leave too few granters for a lease."""
    return granter_count - count_needed_promises(granter_count) + 1


def add_drift_allowance(*, duration_ms: int, lease: settings.Lease) -> int:
    """Extends a duration so that it has passed on every clock within the drift.

    Args:
        duration_ms: The duration on another member's clock.
        lease: The lease settings with the bound on clock drift.

    Returns:
        The duration to wait on the local clock, rounded up. It includes one
        unit of clock resolution, as a reading may be almost that old.
    """
    stretched = duration_ms * (_MILLE + lease.drift_per_mille)
    return -(-stretched // _MILLE) + _CLOCK_RESOLUTION_MS
