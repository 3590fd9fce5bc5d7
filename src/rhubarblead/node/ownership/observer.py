"""Events and effects of what control has learnt."""

from collections.abc import Callable

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.events import shards
from rhubarblead.node import view as views
from rhubarblead.node.ownership import change as changes
from rhubarblead.node.ownership import inheritance
from rhubarblead.node.ownership import tenure as tenures
from rhubarblead.node.ownership import writing
from rhubarblead.transport import links


class Observer:
    """Turns changes of state into events, and tells tasks of lost peers."""

    __slots__ = (
        "_drop_peer",
        "_events",
        "_followers",
        "_held_by",
        "_is_store_reachable",
        "_stated",
    )

    def __init__(
        self,
        *,
        events: log.EventLog,
        drop_peer: Callable[[links.Address], None],
        followers: tuple[changes.Follower, ...],
    ) -> None:
        self._events = events
        self._followers = followers
        self._drop_peer = drop_peer
        self._held_by = ""
        self._is_store_reachable = True
        self._stated: set[tuple[str, int]] = set()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return self._is_store_reachable

    def observe_store(self, *, is_reachable: bool) -> None:
        """Reports when the store ceases or begins again to answer."""
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
        """Reports that a write of this node took effect."""
        self._events.emit(
            catalog.Event.STORE_COMMITTED,
            write_id=proposal.write_id,
            kind=proposal.purpose.value,
            change_count=len(entry.changes),
            revision=entry.revision,
        )

    def observe_conflict(self, proposal: writing.Proposal) -> None:
        """Reports that another writer came before this node."""
        self._events.emit(
            catalog.Event.STORE_CONFLICT,
            write_id=proposal.write_id,
            expected_revision=proposal.state.revision,
        )

    def observe_lease(self, tenure: tenures.Tenure | None, now_ms: int) -> None:
        """Reports when the lease is held or has lapsed."""
        is_held = tenure is not None and tenure.holder.is_held(now_ms=now_ms)
        held_by = tenure.member_id if tenure and is_held else ""
        if held_by == self._held_by:
            return
        if self._held_by:
            self._events.emit(
                catalog.Event.LEASE_LAPSED, member_id=self._held_by
            )
        if held_by:
            self._events.emit(catalog.Event.LEASE_HELD, member_id=held_by)
        self._held_by = held_by

    def list_fresh_lapses(
        self, lapses: list[messages.LapseNotice], *, is_due: bool
    ) -> list[messages.LapseNotice]:
        """Lists the lapses to send: new ones at once, old ones when due."""
        fresh = []
        stated = set()
        for lapse in lapses:
            key = (lapse.member_id, lapse.granters_epoch)
            stated.add(key)
            if key not in self._stated:
                self._events.emit(
                    catalog.Event.LAPSE_STATED,
                    member_id=lapse.member_id,
                    granters_epoch=lapse.granters_epoch,
                )
            elif not is_due:
                continue
            fresh.append(lapse)
        self._stated = stated
        return fresh

    def observe_state(self, change: changes.StateChange) -> None:
        """Reports what newer entries changed, and passes the change on."""
        for entry in change.entries:
            for item in entry.changes:
                self._report(item, entry)
        for address in _list_gone(change):
            self._drop_peer(address)
        for follower in self._followers:
            follower.follow(change)
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
        gained = inheritance.list_gained(change)
        lost = inheritance.list_lost(change)
        for event, found in (
            (catalog.Event.SHARDS_GAINED, gained),
            (catalog.Event.SHARDS_LOST, lost),
        ):
            for pool, numbers in found.items():
                self._events.emit(
                    event,
                    pool=pool,
                    shards=shards.format_shards(numbers),
                    shard_count=len(numbers),
                    revision=change.after.revision,
                )


def _list_gone(change: changes.StateChange) -> set[links.Address]:
    """Lists the data addresses that no member has any more."""
    before, after = (
        {views.find_data_address(member) for member in state.members.values()}
        for state in (change.before, change.after)
    )
    return before - after
