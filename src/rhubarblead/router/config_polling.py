"""Decides how long a node waits for changes of the configuration in one call.

A call whose response is lost is never answered, and looks like one that waits.
So each call is short where few nodes make them. With more nodes, waits are
longer and differ, so that soon after the loss of all responses one node has
made a new call and can tell the others.
"""

import random

CALLS_PER_S = 8.0
"""Calls of all nodes together; the store takes thousands, at a price."""

MIN_WAIT_MS = 1_000
MIN_MEAN_WAIT_MS = 1_500
"""With a timeout of 0.7 s, a loss is noticed within `contactMs`, 3 s."""

MAX_WAIT_MS = 29_000
"""Below the store's limit of 30 s."""

MIN_NOTICE_DELAY_MS = 50
MAX_NOTICE_DELAY_MS = 500
"""Range of the delay before a node tells others of a new version.

The first notice suppresses the others, and a version must be in force within
2 s.
"""


def find_wait_ms(node_count: int, random_source: random.Random) -> int:
    """Returns how long the store may hold the next call.

    Args:
        node_count: Nodes that wait for changes, this one among them.
        random_source: Spreads the calls of the nodes.
    """
    mean_ms = max(MIN_MEAN_WAIT_MS, int(1_000 * node_count / CALLS_PER_S))
    longest_ms = min(MAX_WAIT_MS, 2 * mean_ms - MIN_WAIT_MS)
    return random_source.randint(MIN_WAIT_MS, longest_ms)


def find_notice_delay_s(random_source: random.Random) -> float:
    """Returns the delay before other nodes are told of a new version."""
    delay_ms = random_source.uniform(MIN_NOTICE_DELAY_MS, MAX_NOTICE_DELAY_MS)
    return delay_ms / 1_000
