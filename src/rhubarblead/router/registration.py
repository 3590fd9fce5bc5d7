"""Maintains the row of this node in the store, which is its lease."""

from collections.abc import Callable

import msgspec

from rhubarblead.events import catalog
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import members
from rhubarblead.platform import store
from rhubarblead.router import event_log
from rhubarblead.router import promise_exchange
from rhubarblead.router import store_access

FIRST_HEARTBEAT_TIMEOUT_MS = 1_500
"""Time after the start until a node registers without a server heartbeat."""

GRANTER_CHOICE_INTERVAL_MS = 1_000
"""Limits the writes when granters are lost in quick succession."""


class Registration:
    """The row of this node: its lease, granter, server process and its exit.

    Each write of the node expects this row at the revision that this process
    wrote last. `is_in_doubt` is set while an earlier write to another row may
    still take effect; the next write of this row invalidates it.
    """

    __slots__ = (
        "_access",
        "_departures",
        "_granter_choice_at_ms",
        "_events",
        "_lease",
        "_now_ms",
        "_on_previous_process",
        "_promise_exchange",
        "_started_at_ms",
        "_term",
        "_has_promised",
        "has_read",
        "is_in_doubt",
        "is_registered",
        "member",
        "must_read",
        "must_store_exits",
        "revision",
    )

    def __init__(
        self,
        *,
        member: members.Member,
        access: store_access.StoreAccess,
        promise_exchange: promise_exchange.PromiseExchange,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        on_previous_process: Callable[[members.Member, bool], None],
        is_first_start: bool,
    ) -> None:
        """Initializes a registration that has not been written yet.

        Args:
            member: The row of this node as it is to be stored.
            access: Access to the store.
            promise_exchange: Exchanges promises with the granter.
            events: The event log.
            now_ms: The clock.
            on_previous_process: Called with the row that a previous process
                of this node wrote, and whether it names each last exit that
                was acknowledged.
            is_first_start: Whether there can't be an earlier process.
        """
        self.member = member
        self._access = access
        self._promise_exchange = promise_exchange
        self._events = events
        self._now_ms = now_ms
        self._lease = lease.Lease(store_clock=access.clock)
        self._started_at_ms = now_ms()
        self._granter_choice_at_ms = 0
        self._term = 0
        self._departures: tuple[members.Departure, ...] = ()
        self._on_previous_process = on_previous_process
        self.revision = 0
        self.is_registered = False
        self.is_in_doubt = False
        # Whether the row may differ from what is known of it. Reading it is
        # faster than a write that fails: a slow store processes writes one
        # after another.
        self.must_read = not is_first_start
        # Whether the row of an earlier process, if there is one, is known.
        self.has_read = is_first_start
        # Whether a row that promises to store each exit may stand, of whichever
        # process of this node.
        self.must_store_exits = not is_first_start
        self._has_promised = False

    def find_lease_ms(self) -> int:
        """Returns how long the lease is valid at least."""
        return self._lease.find_remaining_ms(self._now_ms())

    def find_effective_lease_ms(self) -> int:
        """Returns how long this node may let its server hold keys.

        It ends with the lease, or with the last promise of the granter while
        the node depends on that.
        """
        return self._promise_exchange.holder.find_effective_lease_ms(
            self.find_lease_ms(), self._now_ms()
        )

    def record_departure(self, departure: members.Departure) -> None:
        """Makes the next write, due immediately, store a server's exit."""
        departures = members.add_departure(self._departures, departure)
        if departures != self._departures:
            self._departures = departures
            self.renew_soon()

    @property
    def has_unsaved_departure(self) -> bool:
        """Whether an exit isn't known to be stored."""
        return self._departures != self.member.departures

    def begin_era(self) -> None:
        """Makes this node register again, as the store was restored."""
        self._lease.begin_era(self._now_ms())
        self.revision = 0
        self.is_registered = False
        self.is_in_doubt = False

    def drop_lease(self) -> None:
        """Gives up what is left of an earlier era's lease."""
        self._lease.drop_previous_era()

    def end_recovery(self) -> None:
        """Makes the lease of the present era count."""
        self._lease.end_recovery()

    @property
    def is_recovering(self) -> bool:
        """Whether only what is left of an earlier era's lease counts."""
        return self._lease.is_recovering

    def check_row(self, rows: tuple[store.Row, ...]) -> None:
        """Makes the next write due if the rows show another own revision."""
        key = store_access.make_member_key(self.member.node_id)
        if not any(r.key == key and r.revision == self.revision for r in rows):
            self.renew_soon()

    def renew_soon(self) -> None:
        """Makes the next write due immediately."""
        self._lease.schedule_renewal_now()

    def is_due(
        self, *, is_keyed: bool, has_server: bool, is_loaded: bool
    ) -> bool:
        """Tells whether the row must be written now.

        Args:
            is_keyed: Whether the service of this node is sharded by key.
            has_server: Whether a heartbeat of the local server has arrived.
            is_loaded: Whether the rows of the other nodes have been read.
        """
        now_ms = self._now_ms()
        if self.has_unsaved_departure:
            return self._lease.is_due(now_ms)
        if self.is_registered and not is_keyed:
            return False
        if not self.is_registered and not has_server:
            has_waited = (
                now_ms - self._started_at_ms > FIRST_HEARTBEAT_TIMEOUT_MS
            )
            return has_waited and self._lease.is_due(now_ms)
        if self._lease.is_due(now_ms):
            return True
        if not (is_loaded and self._lease.is_held) or self._access.is_slow:
            return False
        if not self._term:
            # The first one is chosen by the first renewal, which saves a write.
            return False
        return (
            now_ms >= self._granter_choice_at_ms
            and self._promise_exchange.needs_new_granter()
        )

    async def write(
        self,
        *,
        is_keyed: bool,
        is_loaded: bool,
        born_ms: int,
        hold_ms: int,
        stores_exits: bool,
    ) -> bool:
        """Writes the row.

        Args:
            hold_ms: The longest hold that the server may get from now on.
            is_keyed: Whether the service is sharded by key; the row is then a
                lease.
            is_loaded: Whether the rows of the other nodes have been read.
            born_ms: The start time of the server process, 0 if unknown.
            stores_exits: Whether to promise that exits are acknowledged only
                when they are stored.

        Returns:
            False if another node has removed or replaced the row, so that this
            node must register again.
        """
        sent_at_ms = self._now_ms()
        ends_ms = self._lease.find_end(sent_at_ms) if is_keyed else 0
        member = msgspec.structs.replace(
            self.member,
            ends_store_ms=ends_ms,
            born_ms=born_ms,
            hold_ms=hold_ms,
            era=self._access.era,
            stores_exits=stores_exits,
        ).replace_departures(self._departures)
        if stores_exits:
            self.must_store_exits = self._has_promised = True
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
                self._handle_written(member, revision, sent_at_ms)
            case store.Conflict(rows=rows):
                return self._handle_conflict(rows, sent_at_ms)
            case _:
                self._lease.record_failure(self._now_ms())
                self.must_read = isinstance(outcome, store.InDoubt)
        return True

    def _handle_written(
        self, member: members.Member, revision: int, sent_at_ms: int
    ) -> None:
        was_held = self._lease.is_held
        self.has_read = True
        self.revision = revision
        self.member = member
        self.must_store_exits = member.stores_exits
        self.is_registered = True
        self.is_in_doubt = False
        self._promise_exchange.begin_term(member.granter, member.term)
        self._lease.record_renewal(
            ends_store_ms=member.ends_store_ms, sent_at_ms=sent_at_ms
        )
        if self.has_unsaved_departure:
            self.renew_soon()
        if self._lease.is_held and not was_held:
            self._events.emit(
                catalog.Event.LEASE_RENEWED_FIRST,
                born_ms=member.born_ms,
                remaining_ms=self.find_lease_ms(),
            )

    def _choose_granter(self, member: members.Member) -> members.Member:
        """Returns the row with a new granter if the present one is unusable."""
        if not self._promise_exchange.needs_new_granter():
            return member
        self._granter_choice_at_ms = self._now_ms() + GRANTER_CHOICE_INTERVAL_MS
        return msgspec.structs.replace(
            member,
            granter=self._promise_exchange.choose_granter(),
            term=self._next_term(),
        )

    def _next_term(self) -> int:
        self._term += 1
        return self._term

    async def read(self) -> bool:
        """Reads the row, which this or an earlier process has written.

        Returns:
            False if another node has removed or replaced the row.
        """
        sent_at_ms = self._now_ms()
        key = store_access.make_member_key(self.member.node_id)
        found = await self._access.read_row("own row", key)
        if found is None:
            return True
        self.must_read = False
        self.has_read = True
        if any(row.revision == self.revision for row in found.rows):
            # A write in doubt has had no effect so far.
            return True
        return self._handle_conflict(found.rows, sent_at_ms)

    def _handle_conflict(
        self, rows: tuple[store.Row, ...], sent_at_ms: int
    ) -> bool:
        """Adopts the stored revision; tells whether the row is still ours."""
        key = store_access.make_member_key(self.member.node_id)
        row = next((r for r in rows if r.key == key and r.revision), None)
        present = self._access.decode_member(row) if row is not None else None
        self.revision = row.revision if row is not None else 0
        if present is not None:
            is_current = present.era == self._access.era
            if is_current:
                self._lease.set_minimum_end(present.ends_store_ms, sent_at_ms)
            if present.incarnation == self.member.incarnation:
                # A write of this process took effect; its response was lost.
                # A slow store may take as long to do it again. A row from a
                # copy of the store says nothing of the newest term.
                if is_current and row is not None:
                    self._handle_written(present, row.revision, sent_at_ms)
                return True
        if not self.is_registered:
            # A previous process wrote the row, which this one replaces.
            if present is not None:
                self._adopt_departures(present.departures)
                self.must_store_exits = present.stores_exits
                # A copy of the store may lack the newest exit.
                is_complete = (
                    present.stores_exits and present.era == self._access.era
                )
                self._on_previous_process(present, is_complete)
            elif row is None:
                # A write of this process that is in doubt may follow.
                self.must_store_exits = self._has_promised
            return True
        self._reset()
        return False

    def _adopt_departures(self, stored: tuple[members.Departure, ...]) -> None:
        """Keeps what the process before has stored, beside what came since."""
        self.member = self.member.replace_departures(stored)
        departures = stored
        for departure in reversed(self._departures):
            departures = members.add_departure(departures, departure)
        self._departures = departures

    def _reset(self) -> None:
        self.is_registered = False
        self._lease.record_loss()
        self.member = msgspec.structs.replace(self.member, granter="")
        self._promise_exchange.begin_term("", self._next_term())
        self._events.emit(catalog.Event.LEASE_TAKEN, revision=self.revision)
