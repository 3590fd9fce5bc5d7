"""Evictions: which members have lapsed, and whose turn it is to say so."""

from collections.abc import Callable
from typing import TypeAlias

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import quorum
from rhubarblead.leases import selection

_RANK_DELAYS_MS = (0, 150, 300)
_OTHERS_DELAY_MS = 1_000

_Times: TypeAlias = dict[tuple[str, int], dict[str, int]]


class Taker:
    """Collects lapses and decides which members this one should evict.

    Ranks and delays only keep takers out of one another's way. Safety rests on
    the lapses, and on the compare-and-set of the transaction that evicts.
    """

    __slots__ = (
        "_absent_at_ms",
        "_fallback_ms",
        "_lapsed_at_ms",
        "_member_id",
        "_ranks",
        "_seen_at_ms",
        "_state",
    )

    def __init__(self, *, member_id: str, lease: settings.Lease) -> None:
        self._member_id = member_id
        self._fallback_ms = quorum.stretch(
            duration_ms=lease.authority_ms + lease.duration_ms, lease=lease
        )
        self._state = ownership.State()
        self._lapsed_at_ms: _Times = {}
        self._absent_at_ms: _Times = {}
        self._seen_at_ms: dict[str, int] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Follows the members, and which named granters are gone.

        The time of an absence is when this taker first saw it together with
        the record that names the granter, so that a process that has just
        started counts from its start.

        Args:
            state: The newest state; an older one than before is ignored.
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
            if key in keys or self._is_ahead(key)
        }
        self._absent_at_ms = self._find_absent(now_ms)
        self._seen_at_ms = {
            member.member_id: self._seen_at_ms.get(member.member_id, now_ms)
            for member in state.members.values()
            if not member.granters
        }

    def take_lapse(self, *, lapse: messages.LapseNotice, now_ms: int) -> None:
        """Takes a granter's statement that its promise is over.

        A lapse for a member that isn't known here is dropped; granters repeat
        theirs.

        Args:
            lapse: The statement.
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

        The transaction must be conditional on the state that was followed: on
        the revision of its row, and thereby on each member's epoch.

        Args:
            now_ms: The current time.
            settle_ms: Tells how much longer to wait, from when the decisive
                lapse was known, before a member's shards may be given away.

        Returns:
            An eviction for each such member, by member id.
        """
        keys = self._lapsed_at_ms.keys() | self._absent_at_ms.keys()
        evictions = (
            self._evict(member_id, granters_epoch, now_ms, settle_ms)
            for member_id, granters_epoch in sorted(keys)
        )
        return [eviction for eviction in evictions if eviction is not None]

    def list_suspects(self) -> frozenset[str]:
        """Lists the members that a granter has stated a lapse for."""
        return frozenset(
            member_id
            for member_id, granters_epoch in self._lapsed_at_ms
            if member_id in self._state.members
            and self._state.members[member_id].granters_epoch == granters_epoch
        )

    def list_missing_granters(
        self, *, now_ms: int
    ) -> list[membership.GrantersChanged]:
        """Lists granters to give to members that have none.

        A member without granters can't be evicted, as nobody could know when
        its lease ends. Whoever gives it granters makes the rules of all others
        apply to it. The member itself does so at once, others by rank.

        Args:
            now_ms: The current time.

        Returns:
            A change for each member that lacks granters and could have some.
        """
        changes = []
        for member_id, seen_at_ms in self._seen_at_ms.items():
            member = self._state.members[member_id]
            if now_ms - seen_at_ms < self._find_delay_ms(member):
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
            counted.setdefault(granter_id, at_ms + self._fallback_ms)
        return counted

    def _find_absent(self, now_ms: int) -> _Times:
        members = self._state.members
        found: _Times = {}
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
            self._ranks[domain] = selection.rank_takers(
                state=self._state, member=member
            )
        ranks = self._ranks[domain]
        if self._member_id not in ranks:
            return _OTHERS_DELAY_MS
        return _RANK_DELAYS_MS[ranks.index(self._member_id)]

    def _is_ahead(self, key: tuple[str, int]) -> bool:
        member_id, granters_epoch = key
        member = self._state.members.get(member_id)
        return member is not None and granters_epoch > member.granters_epoch
