"""The state that the request path reads: an immutable view set by control."""

import dataclasses
import threading

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import tables
from rhubarblead.transport import links


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """A snapshot of the stored state that this node has received.

    `member` is the node's own record, None while it is not a member.
    `is_leaving` says that the node is handing over its shards.
    """

    state: ownership.State
    tables: tables.Tables
    tables_revision: int
    member: membership.Member | None
    tables_digest: str = ""
    is_leaving: bool = False

    @property
    def member_id(self) -> str:
        """The node's own member ID; empty while it is not a member."""
        return self.member.member_id if self.member else ""


EMPTY_VIEW = View(
    state=ownership.State(),
    tables=tables.Tables(),
    tables_revision=0,
    member=None,
)


class SharedView:
    """The newest view and the end of the node's lease, shared by threads.

    The control and probe tasks write, all other threads read.
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
        """Replaces the view and wakes the threads that wait for a change."""
        with self._changed:
            self._view = view
            self._changed.notify_all()

    def extend_lease(self, *, member_id: str, end_ms: int) -> None:
        """Sets the end of a member ID's lease, on the monotonic clock."""
        self._lease = (member_id, end_ms)

    def cap_grants(self, *, is_capped: bool) -> None:
        """Stops the end of grants from advancing while probes fail.

        The grants given before the first failed probe have nearly ended by the
        time the upstream counts as silent.

        Args:
            is_capped: Whether the last probe of the upstream failed.
        """
        if not is_capped:
            self._grant_limit_ms = None
        elif self._grant_limit_ms is None:
            self._grant_limit_ms = clock.read_monotonic_ms() + self._grant_ms

    def stop_extending(self, member_id: str) -> int:
        """Stops extending a member's grants at the upstream.

        Args:
            member_id: The member whose upstream is silent.

        Returns:
            The end of the latest grant that may have been given.
        """
        self._unextended_member_id = member_id
        return self.find_grant_end_ms(member_id)

    def find_grant_extension(self) -> tuple[str, int] | None:
        """Finds the member whose grants are to be extended, and their new end.

        Returns:
            The member ID and the end on the monotonic clock; None without a
            lease, or after `stop_extending` for its member.
        """
        holder, _ = self._lease
        if not holder or holder == self._unextended_member_id:
            return None
        return holder, self.find_grant_end_ms(holder)

    def find_grant_end_ms(self, member_id: str) -> int:
        """Finds the time until which the upstream may run a request sent now.

        A grant is shorter than the lease, so that the shards of a silent
        upstream can be reassigned soon.

        Args:
            member_id: The member that owns the shard.

        Returns:
            A time on the monotonic clock; 0 without a lease.
        """
        end_ms = self.find_lease_end_ms(member_id)
        grant_end_ms = clock.read_monotonic_ms() + self._grant_ms
        grant_limit_ms = self._grant_limit_ms
        if grant_limit_ms is not None:
            grant_end_ms = min(grant_end_ms, grant_limit_ms)
        return min(end_ms, grant_end_ms)

    def find_lease_end_ms(self, member_id: str) -> int:
        """Finds the end of the lease of a member ID; 0 without a lease."""
        holder, end_ms = self._lease
        return end_ms if member_id and holder == member_id else 0

    def is_lease_held(self, member_id: str) -> bool:
        """Checks whether the lease of a member ID is valid now."""
        return clock.read_monotonic_ms() < self.find_lease_end_ms(member_id)

    def wait_for_change(self, *, seen: View, timeout_ms: int) -> View:
        """Waits until a view other than `seen` is published.

        Args:
            seen: The view that the caller has.
            timeout_ms: The longest wait.

        Returns:
            The newest view; `seen` itself after a timeout.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._view is not seen, timeout_ms / 1000
            )
            return self._view


def find_data_address(member: membership.Member) -> links.Address:
    """Returns the address at which a member serves calls of other nodes."""
    return links.Address(member.ip_address, member.data_port)


def find_control_address(member: membership.Member) -> links.Address:
    """Returns the address at which a member receives control messages."""
    return links.Address(member.ip_address, member.control_port)


def find_http_authority(member: membership.Member) -> str:
    """Returns the `ip:port` at which a member serves callers."""
    return f"{member.ip_address}:{member.http_port}"
