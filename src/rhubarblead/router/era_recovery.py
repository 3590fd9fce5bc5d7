"""Recovers the ownership of keys when the store came back from a copy.

The store may have lost which keys this node's server got or released, and
shows leases as they were. A node that has held its lease throughout knows its
keys, and writes them again. Any other node claims only what its server reports
to hold, in a heartbeat that was sent after the restore: nobody else can hold
that. All other keys wait until the leases of the earlier era have ended.
"""

from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import eras
from rhubarblead.keyspace import revisions
from rhubarblead.router import assignment_repository
from rhubarblead.router import event_log
from rhubarblead.router import registration
from rhubarblead.router import store_access

FRESH_HEARTBEATS = 2
"""The first heartbeat may have been sent before the restore."""

HEARTBEAT_TIMEOUT_MS = 3_000
"""Wait for heartbeats; after it, a server that holds keys is silent."""


class EraRecovery:
    """The recovery of one node, and what it knows of its server's keys."""

    __slots__ = (
        "_access",
        "_assignments",
        "_began_at_ms",
        "_events",
        "_has_earlier_rows",
        "_has_seen_store",
        "_heartbeat_count",
        "_is_continuous",
        "_now_ms",
        "_registration",
        "_reported",
    )

    def __init__(
        self,
        *,
        access: store_access.StoreAccess,
        assignments: assignment_repository.AssignmentRepository,
        own_registration: registration.Registration,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
    ) -> None:
        """Initializes the recovery; none is in progress.

        Args:
            access: Access to the store.
            assignments: Keeps the assignment of the service.
            own_registration: The registration of this node.
            events: The event log.
            now_ms: The clock.
        """
        self._access = access
        self._assignments = assignments
        self._registration = own_registration
        self._events = events
        self._now_ms = now_ms
        self._began_at_ms = now_ms()
        self._has_earlier_rows = False
        self._has_seen_store = False
        self._heartbeat_count = 0
        self._is_continuous = False
        self._reported: list[tuple[int, int]] = []

    @property
    def is_continuous(self) -> bool:
        """Whether this node may go on with its keys of the earlier era."""
        return self._is_continuous and self._registration.find_lease_ms() > 0

    def record_store_seen(self) -> None:
        """Records that a later era is a restore, not the first one seen."""
        self._has_seen_store = True

    def record_heartbeat(self, held: list[tuple[int, int]]) -> None:
        """Records the ranges that the server reports to hold."""
        self._heartbeat_count += 1
        self._reported = held

    def record_earlier_row(self, era: int) -> None:
        """Records the era in which a row of the store was written."""
        if era < self._access.era:
            self._has_earlier_rows = True

    def begin(self, *, has_released: bool) -> None:
        """Begins a recovery in the present era of the store.

        Args:
            has_released: Whether the server has released keys whose new owner
                isn't written yet.
        """
        previous_era = self._access.era
        _, previous_revision = self._assignments.get()
        # A write in doubt may have given the released keys to another node.
        is_in_doubt = self._registration.is_in_doubt and has_released
        self._registration.begin_era()
        self._access.begin_era()
        self._began_at_ms = self._now_ms()
        self._heartbeat_count = 0
        self._has_earlier_rows = False
        lease_left_ms = self._registration.find_lease_ms()
        self._is_continuous = lease_left_ms > 0 and not is_in_doubt
        if not self._is_continuous:
            self._registration.drop_lease()
        if self._has_seen_store:
            self._events.emit(
                catalog.Event.STORE_RESTORED,
                era=self._access.era,
                previous_era=previous_era,
                previous_revision=revisions.find_number(previous_revision),
                lease_left_ms=lease_left_ms,
                is_continuous=self._is_continuous,
            )
        self._has_seen_store = True

    def find_claims(
        self, node_id: str, own_owner: str
    ) -> list[assignment.Transfer] | None:
        """Finds what this node is to write again.

        Args:
            node_id: This node.
            own_owner: Name of the server process, empty if none may hold keys.

        Returns:
            The ranges with their owner, or None if a heartbeat must be awaited.
        """
        unconfirmed = self._assignments.list_unconfirmed()
        if not unconfirmed:
            return []
        if self.is_continuous:
            return [
                assignment.Transfer(
                    first=item.first,
                    last=item.last,
                    owner=own_owner or item.owner,
                )
                for item in unconfirmed
                if assignment.parse_node_id(item.owner) == node_id
            ]
        waited_ms = self._now_ms() - self._began_at_ms
        is_fresh = self._heartbeat_count >= FRESH_HEARTBEATS
        if not is_fresh and waited_ms < HEARTBEAT_TIMEOUT_MS:
            return None
        if not own_owner or not is_fresh:
            return []
        return eras.intersect(unconfirmed, self._reported, own_owner)

    def end(self) -> None:
        """Ends the recovery; the lease of the present era counts from now."""
        was_continuous = self.is_continuous
        self._is_continuous = False
        self._registration.end_recovery()
        self._events.emit(
            catalog.Event.STORE_RECOVERED,
            era=self._access.era,
            took_ms=self._now_ms() - self._began_at_ms,
            was_continuous=was_continuous,
            given_up_count=sum(
                item.key_count for item in self._assignments.list_unconfirmed()
            ),
        )

    def list_free(self) -> list[assignment.KeyRange]:
        """Lists unconfirmed ranges that nobody can hold any more."""
        return (
            self._assignments.list_unconfirmed() if self._is_timed_out() else []
        )

    def may_assign_all(self) -> bool:
        """Tells whether keys may be assigned where no assignment is known.

        Servers may hold keys if the store has lost the whole assignment.
        """
        has_lost_rows = self._has_earlier_rows or bool(self._reported)
        return not (self._access.era and has_lost_rows) or self._is_timed_out()

    def _is_timed_out(self) -> bool:
        elapsed_ms = self._now_ms() - self._began_at_ms
        return elapsed_ms >= eras.CONFIRMATION_TIMEOUT_MS
