"""Keeps this node's own row in the store, which is its lease."""

from collections.abc import Callable

import msgspec

from rhubarblead.events import catalog
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import members
from rhubarblead.platform import store
from rhubarblead.router import event_log
from rhubarblead.router import promising
from rhubarblead.router import store_access

FIRST_HEARTBEAT_MS = 1_500
"""From the start until a node registers without having heard its server."""

GRANTER_EVERY_MS = 1_000
"""Between two choices of a granter, so that a storm costs few writes."""


class Registration:
    """The node's row: lease, granter and the life of its server.

    Each write of the node expects this row at the revision that this process
    has written. `is_in_doubt` is set while an earlier write of another row may
    still take effect; the next write of this row bars it.
    """

    __slots__ = (
        "_access",
        "_granter_at_ms",
        "_events",
        "_lease",
        "_now_ms",
        "_on_earlier",
        "_promising",
        "_started_at_ms",
        "_term",
        "is_in_doubt",
        "is_registered",
        "member",
        "revision",
    )

    def __init__(
        self,
        *,
        member: members.Member,
        access: store_access.StoreAccess,
        promises: promising.Promising,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        on_earlier: Callable[[members.Member], None],
    ) -> None:
        """Makes a registration that has not been written.

        Args:
            member: This node, as the store is to know it.
            access: The store.
            promises: Exchanges short promises with other nodes.
            events: The journal.
            now_ms: The clock.
            on_earlier: Called with the row of an earlier process of the node.
        """
        self.member = member
        self._access = access
        self._promising = promises
        self._events = events
        self._now_ms = now_ms
        self._lease = lease.Lease(store_clock=access.clock)
        self._started_at_ms = now_ms()
        self._granter_at_ms = 0
        self._term = 0
        self._on_earlier = on_earlier
        self.revision = 0
        self.is_registered = False
        self.is_in_doubt = False

    def find_lease_ms(self) -> int:
        """Finds how long the lease certainly lasts."""
        return self._lease.find_remaining_ms(self._now_ms())

    def find_right_ms(self) -> int:
        """Finds how long this node may let its server hold keys."""
        return self._promising.holder.find_remaining_ms(
            self.find_lease_ms(), self._now_ms()
        )

    def compare(self, rows: tuple[store.Row, ...]) -> None:
        """Makes the next write due when the row has changed unseen."""
        key = store_access.make_member_key(self.member.node_id)
        if not any(r.key == key and r.revision == self.revision for r in rows):
            self.renew_soon()

    def renew_soon(self) -> None:
        """Makes the next write due at once."""
        self._lease.expire_renewal()

    def is_due(
        self, *, is_keyed: bool, has_server: bool, is_loaded: bool
    ) -> bool:
        """Tells whether the row is to be written.

        Args:
            is_keyed: Whether the node's service is divided by key.
            has_server: Whether the server beside it has been heard.
            is_loaded: Whether the other nodes are known.
        """
        now_ms = self._now_ms()
        if self.is_registered and not is_keyed:
            return False
        if not self.is_registered and not has_server:
            has_waited = now_ms - self._started_at_ms > FIRST_HEARTBEAT_MS
            return has_waited and self._lease.is_due(now_ms)
        if self._lease.is_due(now_ms):
            return True
        if not (is_loaded and self._lease.is_held):
            return False
        return now_ms >= self._granter_at_ms and self._promising.needs_other()

    async def write(
        self, *, is_keyed: bool, is_loaded: bool, born_ms: int, hold_ms: int
    ) -> bool:
        """Writes the row.

        Args:
            hold_ms: The longest hold that the server is to have from now on.
            is_keyed: Whether the row is a lease.
            is_loaded: Whether the other nodes are known.
            born_ms: The start of the server's life, 0 where it isn't known.

        Returns:
            False when the row was taken by another, and all begins anew.
        """
        sent_at_ms = self._now_ms()
        ends_ms = self._lease.find_end(sent_at_ms) if is_keyed else 0
        member = msgspec.structs.replace(
            self.member,
            ends_store_ms=ends_ms,
            born_ms=born_ms,
            hold_ms=hold_ms,
        )
        if is_keyed and is_loaded:
            member = self._choose_granter(member)
        key = store_access.make_member_key(member.node_id)
        outcome = await self._access.write(
            "renew",
            expected=(store.Expected(key=key, revision=self.revision),),
            puts=(store.Put(key=key, value=members.encode(member)),),
        )
        match outcome:
            case store.Applied(revision=revision):
                self._take_written(member, revision, sent_at_ms)
            case store.Conflict(rows=rows):
                return self._take_conflict(rows)
            case _:
                self._lease.failed(self._now_ms())
        return True

    def _take_written(
        self, member: members.Member, revision: int, sent_at_ms: int
    ) -> None:
        was_held = self._lease.is_held
        self.revision = revision
        self.member = member
        self.is_registered = True
        self.is_in_doubt = False
        self._promising.begin_term(member.granter, member.term)
        self._lease.renewed(
            ends_store_ms=member.ends_store_ms, sent_at_ms=sent_at_ms
        )
        if self._lease.is_held and not was_held:
            self._events.emit(
                catalog.Event.LEASE_RENEWED_FIRST,
                born_ms=member.born_ms,
                remaining_ms=self.find_lease_ms(),
            )

    def _choose_granter(self, member: members.Member) -> members.Member:
        """Names another granter where the present one is out of reach."""
        if not self._promising.needs_other():
            return member
        self._granter_at_ms = self._now_ms() + GRANTER_EVERY_MS
        return msgspec.structs.replace(
            member, granter=self._promising.choose(), term=self._next_term()
        )

    def _next_term(self) -> int:
        self._term += 1
        return self._term

    def _take_conflict(self, rows: tuple[store.Row, ...]) -> bool:
        """Finds out who has written the row; tells whether it is still ours."""
        key = store_access.make_member_key(self.member.node_id)
        row = next((r for r in rows if r.key == key and r.revision), None)
        present = self._access.decode_member(row) if row is not None else None
        self.revision = row.revision if row is not None else 0
        if present is not None:
            self._lease.follow_earlier(present.ends_store_ms)
            if present.incarnation == self.member.incarnation:
                # A write whose answer was lost.
                return True
        if not self.is_registered:
            # The row of an earlier process, which this one now replaces.
            if present is not None:
                self._on_earlier(present)
            return True
        self._lose()
        return False

    def _lose(self) -> None:
        self.is_registered = False
        self._lease.lost()
        self.member = msgspec.structs.replace(self.member, granter="")
        self._promising.begin_term("", self._next_term())
        self._events.emit(catalog.Event.LEASE_TAKEN, revision=self.revision)
