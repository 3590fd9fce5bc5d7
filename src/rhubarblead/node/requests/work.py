"""A request that a node is to run at the upstream beside it."""

import dataclasses

from rhubarblead import clock
from rhubarblead import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """A forwarded request with its body.

    `deadline_ms` is on this node's monotonic clock.
    """

    forward: messages.Forward
    body: bytes
    deadline_ms: int

    @property
    def is_keyed(self) -> bool:
        """Tells whether the request belongs to a shard."""
        return self.forward.shard >= 0

    def find_remaining_ms(self) -> int:
        """Finds how long the caller still waits; 0 or less when over."""
        return self.deadline_ms - clock.read_monotonic_ms()
