"""What control tells other parts of a node about newer facts."""

import dataclasses
from typing import Protocol

from rhubarblead import membership
from rhubarblead import ownership


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StateChange:
    """The ownership state before and after newer entries.

    `entries` are those between, as far as they are known. `member_id` is the
    node's own after the change, empty while it is no member.
    """

    before: ownership.State
    after: ownership.State
    entries: tuple[membership.Entry, ...]
    member_id: str

    @property
    def is_gapless(self) -> bool:
        """Whether `entries` are all that lie between the two states."""
        passed_count = self.after.revision - self.before.revision
        return len(self.entries) == passed_count


class StateListener(Protocol):
    """A part of the node that follows the ownership state."""

    def on_state_change(self, change: StateChange) -> None:
        """Takes note of a change; called by control, and must not block."""
