"""Changes of the ownership state, as the control task reports them."""

import dataclasses
from typing import Protocol

from rhubarblead import membership
from rhubarblead import ownership


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StateChange:
    """The ownership state before and after newer entries.

    `entries` are the known entries between the two states. `member_id` is the
    node's own id after the change, empty if it is not a member.
    """

    before: ownership.State
    after: ownership.State
    entries: tuple[membership.Entry, ...]
    member_id: str

    @property
    def is_gapless(self) -> bool:
        """Whether `entries` has every entry between the two states."""
        passed_count = self.after.revision - self.before.revision
        return len(self.entries) == passed_count


class StateListener(Protocol):
    """Receives changes of the ownership state."""

    def on_state_change(self, change: StateChange) -> None:
        """Handles a change; called by the control task, and must not block."""
