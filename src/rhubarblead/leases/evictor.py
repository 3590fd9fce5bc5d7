"""Decides which members to evict after lapses of their leases, and when."""

from collections.abc import Callable
from typing import TypeAlias

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import quorum
from rhubarblead.leases import selection

_RANK_DELAYS_MS = (0, 150, 300)
_UNRANKED_DELAY_MS = 1_000

_TimesByGranter: TypeAlias = dict[tuple[str, int], dict[str, int]]


class Evictor:
    """Collects lapses and decides which members this one should evict.

    Ranks and delays only reduce conflicts between evictors. Safety rests on
    the lapses and on the compare-and-set of the transaction that evicts.
    """

    __slots__ = (
        "_absent_at_ms",
        "_absence_timeout_ms",
        "_lapsed_at_ms",
        "_member_id",
        "_ranks",
        "_without_granters_since_ms",
        "_state",
    )

    def __init__(self, *, member_id: str, lease: settings.Lease) -> None:
        self._member_id = member_id
        self._absence_timeout_ms = quorum.add_drift_allowance(
            duration_ms=lease.authority_ms + lease.duration_ms, lease=lease
        )
        self._state = ownership.State()
        self._lapsed_at_ms: _TimesByGranter = {}
        self._absent_at_ms: _TimesByGranter = {}
        self._without_granters_since_ms: dict[str, int] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Updates the members and the removed granters from a state.

        A granter counts as absent from when this evictor first saw a record
        that names it without the granter being a member. A process that has
        just started therefore counts from its own start.

        Args:
            state: The newest state; a state older than the last is ignored.
            now_ms: The current time.
        """
        if state.revision < self._state.revision:
            return
        self._state = state
        self._ranks = {}
        keys = {
            (member.member_id, member.granters_epoch)
            for member in state.members.values()
        }
        self._lapsed_at_ms = {
            key: lapsed
            for key, lapsed in self._lapsed_at_ms.items()
            if key in keys or self._is_newer_epoch(key)
        }
        self._absent_at_ms = self._find_absent(now_ms)
        self._without_granters_since_ms = {
            member.member_id: self._without_granters_since_ms.get(
                member.member_id, now_ms
            )
            for member in state.members.values()
            if not member.granters
        }

    def record_lapse(self, *, lapse: messages.LapseNotice, now_ms: int) -> None:
        """Records a granter's statement that its promise has lapsed.

        A lapse of an unknown member is dropped, as granters repeat their
        lapses.

        Args:
            lapse: The lapse.
            now_ms: The current time.
        """
        if lapse.granter_id == lapse.member_id:
            return
        key = (lapse.member_id, lapse.granters_epoch)
        member = self._state.members.get(lapse.member_id)
        if member is None or lapse.granters_epoch < member.granters_epoch:
            return
        self._lapsed_at_ms.setdefault(key, {}).setdefault(
            lapse.granter_id, now_ms
        )

    def list_evictions(
        self,
        *,
        now_ms: int,
        settle_ms: Callable[[membership.Member], int],
    ) -> list[membership.MemberEvicted]:
        """Lists the members that this one should evict now.

        The transaction must be conditional on the revision of the state last
        passed to `follow_state`, and thereby on the epoch of each member.

        Args:
            now_ms: The current time.
            settle_ms: Returns how long to wait, after the lapse that completed
                the quorum became known, before a member's shards may be
                reassigned.

        Returns:
            An eviction for each such member, ordered by member id.
        """
        keys = self._lapsed_at_ms.keys() | self._absent_at_ms.keys()
        evictions = (
            self._evict(member_id, granters_epoch, now_ms, settle_ms)
            for member_id, granters_epoch in sorted(keys)
        )
        return [eviction for eviction in evictions if eviction is not None]

    def list_suspects(self) -> frozenset[str]:
        """Returns the members for which a granter has stated a lapse."""
        return frozenset(
            member_id
            for member_id, granters_epoch in self._lapsed_at_ms
            if member_id in self._state.members
            and self._state.members[member_id].granters_epoch == granters_epoch
        )

    def list_missing_granters(
        self, *, now_ms: int
    ) -> list[membership.GrantersChanged]:
        """Lists changes that assign granters to members without any.

        A member without granters can't be evicted, because no other member can
        know when its lease ends. Once it has granters, it can be evicted like
        any other. The member itself assigns them at once, other members after
        a delay that depends on their rank.

        Args:
            now_ms: The current time.

        Returns:
            A change for each member without granters for which there are
            candidates.
        """
        changes = []
        for member_id, since_ms in self._without_granters_since_ms.items():
            member = self._state.members[member_id]
            if now_ms - since_ms < self._find_delay_ms(member):
                continue
            granters = selection.choose_granters(
                state=self._state, member=member
            )
            if granters:
                changes.append(
                    membership.GrantersChanged(
                        member_id=member_id,
                        granters=granters,
                        granters_epoch=member.granters_epoch + 1,
                    )
                )
        return changes

    def _evict(
        self,
        member_id: str,
        granters_epoch: int,
        now_ms: int,
        settle_ms: Callable[[membership.Member], int],
    ) -> membership.MemberEvicted | None:
        member = self._state.members.get(member_id)
        if member is None or member_id == self._member_id:
            return None
        if member.granters_epoch != granters_epoch or not member.granters:
            return None
        counted = self._count_lapses(member)
        needed = quorum.count_needed_lapses(len(member.granters))
        if len(counted) < needed:
            return None
        decided_at_ms = sorted(counted.values())[needed - 1]
        wait_ms = settle_ms(member) + self._find_delay_ms(member)
        if now_ms < decided_at_ms + wait_ms:
            return None
        return membership.MemberEvicted(
            member_id=member_id,
            granters_epoch=granters_epoch,
            lapsed_by=tuple(
                granter_id
                for granter_id in member.granters
                if counted.get(granter_id, now_ms + 1) <= now_ms
            ),
        )

    def _count_lapses(self, member: membership.Member) -> dict[str, int]:
        key = (member.member_id, member.granters_epoch)
        lapsed = self._lapsed_at_ms.get(key, {})
        counted = {
            granter_id: at_ms
            for granter_id, at_ms in lapsed.items()
            if granter_id in member.granters
        }
        for granter_id, at_ms in self._absent_at_ms.get(key, {}).items():
            counted.setdefault(granter_id, at_ms + self._absence_timeout_ms)
        return counted

    def _find_absent(self, now_ms: int) -> _TimesByGranter:
        members = self._state.members
        found: _TimesByGranter = {}
        for member in members.values():
            for granter_id in member.granters:
                if granter_id in members:
                    continue
                key = (member.member_id, member.granters_epoch)
                before = self._absent_at_ms.get(key, {})
                found.setdefault(key, {})[granter_id] = before.get(
                    granter_id, now_ms
                )
        return found

    def _find_delay_ms(self, member: membership.Member) -> int:
        if member.member_id == self._member_id:
            return 0
        domain = member.failure_domain
        if domain not in self._ranks:
            self._ranks[domain] = selection.rank_evictors(
                state=self._state, member=member
            )
        ranks = self._ranks[domain]
        if self._member_id not in ranks:
            return _UNRANKED_DELAY_MS
        return _RANK_DELAYS_MS[ranks.index(self._member_id)]

    def _is_newer_epoch(self, key: tuple[str, int]) -> bool:
        member_id, granters_epoch = key
        member = self._state.members.get(member_id)
        return member is not None and granters_epoch > member.granters_epoch
