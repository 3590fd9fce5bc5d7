"""A request for the upstream on the node's instance."""

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
        """Whether the request belongs to a shard of a keyed pool."""
        return self.forward.shard >= 0

    def find_remaining_ms(self) -> int:
        """Finds the time until the deadline; 0 or less after it."""
        return self.deadline_ms - clock.read_monotonic_ms()
