"""The monotonic clock, in the unit that the system counts in."""

import time

_NS_PER_MS = 1_000_000


def read_monotonic_ms() -> int:
    """Reads the monotonic clock, in milliseconds since some fixed moment."""
    return time.monotonic_ns() // _NS_PER_MS


def read_wall_ms() -> int:
    """Reads the wall clock, in milliseconds since 1970 (UTC)."""
    return time.time_ns() // _NS_PER_MS
