"""The monotonic and wall clocks, in milliseconds."""

import time

_NS_PER_MS = 1_000_000


def read_monotonic_ms() -> int:
    """Returns the monotonic time, in milliseconds since an arbitrary origin."""
    return time.monotonic_ns() // _NS_PER_MS


def read_wall_ms() -> int:
    """Returns the wall time, in milliseconds since the Unix epoch."""
    return time.time_ns() // _NS_PER_MS
