"""Reports changes of state to the event log and to listeners."""

from collections.abc import Callable

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.events import shards
from rhubarblead.node import view as views
from rhubarblead.node.ownership import acquisition
from rhubarblead.node.ownership import member_session as sessions
from rhubarblead.node.ownership import state_change as changes
from rhubarblead.node.ownership import writing
from rhubarblead.transport import links


class Observer:
    """Logs changes, notifies listeners and drops links to removed peers."""

    __slots__ = (
        "_drop_peer",
        "_events",
        "_is_store_reachable",
        "_lease_member_id",
        "_listeners",
        "_reported_lapses",
    )

    def __init__(
        self,
        *,
        events: log.EventLog,
        drop_peer: Callable[[links.Address], None],
        listeners: tuple[changes.StateListener, ...],
    ) -> None:
        self._events = events
        self._listeners = listeners
        self._drop_peer = drop_peer
        self._lease_member_id = ""
        self._is_store_reachable = True
        self._reported_lapses: set[tuple[str, int]] = set()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return self._is_store_reachable

    def observe_store(self, *, is_reachable: bool) -> None:
        """Logs when the store becomes unavailable or available again."""
        if is_reachable == self._is_store_reachable:
            return
        self._is_store_reachable = is_reachable
        self._events.emit(
            catalog.Event.STORE_BACK
            if is_reachable
            else catalog.Event.STORE_UNAVAILABLE
        )

    def observe_commit(
        self, proposal: writing.Proposal, entry: membership.Entry
    ) -> None:
        """Logs that a write of this node was committed."""
        self._events.emit(
            catalog.Event.STORE_COMMITTED,
            write_id=proposal.write_id,
            kind=proposal.purpose.value,
            change_count=len(entry.changes),
            revision=entry.revision,
        )

    def observe_conflict(self, proposal: writing.Proposal) -> None:
        """Logs that a write of this node lost against another writer."""
        self._events.emit(
            catalog.Event.STORE_CONFLICT,
            write_id=proposal.write_id,
            expected_revision=proposal.state.revision,
        )

    def observe_lease(
        self, session: sessions.MemberSession | None, now_ms: int
    ) -> None:
        """Logs when the lease becomes held or has lapsed."""
        is_held = session is not None and session.holder.is_held(now_ms=now_ms)
        lease_member_id = session.member_id if session and is_held else ""
        if lease_member_id == self._lease_member_id:
            return
        if self._lease_member_id:
            self._events.emit(
                catalog.Event.LEASE_LAPSED, member_id=self._lease_member_id
            )
        if lease_member_id:
            self._events.emit(
                catalog.Event.LEASE_HELD, member_id=lease_member_id
            )
        self._lease_member_id = lease_member_id

    def list_lapses_to_send(
        self, lapses: list[messages.LapseNotice], *, is_due: bool
    ) -> list[messages.LapseNotice]:
        """Lists the lapses to send: new ones at once, known ones when due."""
        to_send = []
        reported = set()
        for lapse in lapses:
            key = (lapse.member_id, lapse.granters_epoch)
            reported.add(key)
            if key not in self._reported_lapses:
                self._events.emit(
                    catalog.Event.LAPSE_STATED,
                    member_id=lapse.member_id,
                    granters_epoch=lapse.granters_epoch,
                )
            elif not is_due:
                continue
            to_send.append(lapse)
        self._reported_lapses = reported
        return to_send

    def observe_state(self, change: changes.StateChange) -> None:
        """Logs the changes in new entries and notifies the listeners."""
        for entry in change.entries:
            for item in entry.changes:
                self._report(item, entry)
        for address in _list_removed_addresses(change):
            self._drop_peer(address)
        for listener in self._listeners:
            listener.on_state_change(change)
        if change.member_id:
            self._report_shards(change)

    def _report(
        self, change: membership.Change, entry: membership.Entry
    ) -> None:
        match change:
            case membership.MemberJoined(member=member):
                self._events.emit(
                    catalog.Event.MEMBER_JOINED,
                    member_id=member.member_id,
                    pool=member.pool,
                    revision=entry.revision,
                )
            case membership.MemberEvicted(
                member_id=member_id, lapsed_by=lapsed_by
            ):
                self._events.emit(
                    catalog.Event.MEMBER_EVICTED,
                    member_id=member_id,
                    lapsed_by=",".join(lapsed_by),
                    by=entry.author,
                    revision=entry.revision,
                )
            case membership.GrantersChanged(member_id=member_id):
                self._events.emit(
                    catalog.Event.GRANTERS_CHANGED,
                    member_id=member_id,
                    granters=",".join(change.granters),
                    granters_epoch=change.granters_epoch,
                    revision=entry.revision,
                )
            case membership.PoolSharded(pool=pool, shard_count=count):
                self._events.emit(
                    catalog.Event.POOL_SHARDED,
                    pool=pool,
                    shard_count=count,
                    revision=entry.revision,
                )
            case membership.MovesRequested(pool=pool, moves=moves):
                self._events.emit(
                    catalog.Event.REBALANCE_WANTED,
                    pool=pool,
                    move_count=len(moves),
                    revision=entry.revision,
                )
            case membership.MemberLeft(member_id=member_id):
                self._events.emit(
                    catalog.Event.MEMBER_LEFT,
                    member_id=member_id,
                    revision=entry.revision,
                )

    def _report_shards(self, change: changes.StateChange) -> None:
        gained = acquisition.list_gained(change)
        lost = acquisition.list_lost(change)
        for event, shards_by_pool in (
            (catalog.Event.SHARDS_GAINED, gained),
            (catalog.Event.SHARDS_LOST, lost),
        ):
            for pool, numbers in shards_by_pool.items():
                self._events.emit(
                    event,
                    pool=pool,
                    shards=shards.format_shards(numbers),
                    shard_count=len(numbers),
                    revision=change.after.revision,
                )


def _list_removed_addresses(change: changes.StateChange) -> set[links.Address]:
    """Lists the data addresses that no longer belong to any member."""
    before, after = (
        {views.find_data_address(member) for member in state.members.values()}
        for state in (change.before, change.after)
    )
    return before - after
