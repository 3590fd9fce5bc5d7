"""What the request path knows: one immutable view, published by control."""

import dataclasses
import threading

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import tables
from rhubarblead.transport import links


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """Stored facts as far as this node has heard of them.

    `member` is the node's own record, None while it is not a member.
    `is_leaving` says that it hands over what it owns.
    """

    state: ownership.State
    tables: tables.Tables
    tables_revision: int
    member: membership.Member | None
    tables_digest: str = ""
    is_leaving: bool = False

    @property
    def member_id(self) -> str:
        """The node's own member id; empty while it is not a member."""
        return self.member.member_id if self.member else ""


EMPTY_VIEW = View(
    state=ownership.State(),
    tables=tables.Tables(),
    tables_revision=0,
    member=None,
)


class SharedView:
    """The newest view and the end of the node's lease.

    Control writes, all other threads read.
    """

    __slots__ = (
        "_changed",
        "_unextended_member_id",
        "_grant_ms",
        "_grant_limit_ms",
        "_lease",
        "_view",
    )

    def __init__(self, *, grant_ms: int) -> None:
        self._grant_ms = grant_ms
        self._view = EMPTY_VIEW
        self._lease: tuple[str, int] = ("", 0)
        self._unextended_member_id = ""
        self._grant_limit_ms: int | None = None
        self._changed = threading.Condition()

    def read(self) -> View:
        """Reads the newest view."""
        return self._view

    def publish(self, view: View) -> None:
        """Replaces the view and wakes those that wait for a change."""
        with self._changed:
            self._view = view
            self._changed.notify_all()

    def extend_lease(self, *, member_id: str, end_ms: int) -> None:
        """Sets the end of the lease of one member id, monotonic."""
        self._lease = (member_id, end_ms)

    def cap_grants(self, *, is_capped: bool) -> None:
        """Lets no grant reach further while the upstream may be silent.

        Args:
            is_capped: Whether a probe of the upstream has just failed; what was
                granted by then has nearly ended when it counts as silent.
        """
        if not is_capped:
            self._grant_limit_ms = None
        elif self._grant_limit_ms is None:
            self._grant_limit_ms = clock.read_monotonic_ms() + self._grant_ms

    def stop_extending(self, member_id: str) -> int:
        """Ends the extension of a member's grants at the upstream.

        Args:
            member_id: The member, whose upstream has gone silent.

        Returns:
            The end of the latest grant that may have been given.
        """
        self._unextended_member_id = member_id
        return self.find_grant_end_ms(member_id)

    def find_grant_extension(self) -> tuple[str, int] | None:
        """Finds the member whose grants go on, and their new end."""
        holder, _ = self._lease
        if not holder or holder == self._unextended_member_id:
            return None
        return holder, self.find_grant_end_ms(holder)

    def find_grant_end_ms(self, member_id: str) -> int:
        """Finds until when the upstream may run what it is sent now.

        A grant is shorter than the lease, so that the shards of an upstream
        that has gone silent are free soon.

        Args:
            member_id: The member that owns the shard.

        Returns:
            A moment on the monotonic clock; 0 without a lease.
        """
        end_ms = self.find_lease_end_ms(member_id)
        grant_end_ms = clock.read_monotonic_ms() + self._grant_ms
        grant_limit_ms = self._grant_limit_ms
        if grant_limit_ms is not None:
            grant_end_ms = min(grant_end_ms, grant_limit_ms)
        return min(end_ms, grant_end_ms)

    def find_lease_end_ms(self, member_id: str) -> int:
        """Finds the end of the lease of a member id; 0 without a lease."""
        holder, end_ms = self._lease
        return end_ms if member_id and holder == member_id else 0

    def is_lease_held(self, member_id: str) -> bool:
        """Tells whether the lease of a member id holds now."""
        return clock.read_monotonic_ms() < self.find_lease_end_ms(member_id)

    def wait_for_change(self, *, seen: View, timeout_ms: int) -> View:
        """Waits until there is another view than the one seen.

        Args:
            seen: The view that the caller has.
            timeout_ms: How long to wait at most.

        Returns:
            The newest view, which may be the one seen.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._view is not seen, timeout_ms / 1000
            )
            return self._view


def find_data_address(member: membership.Member) -> links.Address:
    """Returns where a member serves calls from other nodes."""
    return links.Address(member.ip_address, member.data_port)


def find_control_address(member: membership.Member) -> links.Address:
    """Returns where a member takes control messages."""
    return links.Address(member.ip_address, member.control_port)


def find_http_authority(member: membership.Member) -> str:
    """Returns `ip:port` of a member's address for callers."""
    return f"{member.ip_address}:{member.http_port}"
