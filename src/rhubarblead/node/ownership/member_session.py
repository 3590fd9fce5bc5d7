"""A node's part in the lease protocol under one member id."""

import secrets

import msgspec
import xxhash

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import evictor
from rhubarblead.leases import granter
from rhubarblead.leases import holder
from rhubarblead.leases import quorum
from rhubarblead.leases import selection

_INCARNATION_BYTES = 6
_JITTER_MS_PER_MEMBER = 20
_HASH_END = 2**64
_FULL_GRANTER_COUNT = 3


def make_member(
    node: settings.Settings, *, pool: str, state: ownership.State
) -> membership.Member:
    """Builds the member record with which a node joins.

    Args:
        node: The node's settings.
        pool: The pool whose servers include the instance.
        state: The state with the members to choose granters from.

    Returns:
        A record with a new incarnation.
    """
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    record = membership.Member(
        member_id=f"{node.instance}.{incarnation}",
        instance=node.instance,
        incarnation=incarnation,
        failure_domain=node.failure_domain,
        region=node.region,
        pool=pool,
        ip_address=str(node.ip_address),
        http_port=node.http_port,
        data_port=node.data_port,
        control_port=node.control_port,
    )
    return msgspec.structs.replace(
        record,
        granters=selection.choose_granters(state=state, member=record),
    )


class MemberSession:
    """The roles of one member: lease holder, granter and evictor."""

    __slots__ = (
        "_change_wanted_since_ms",
        "granter",
        "holder",
        "lease",
        "member_id",
        "evictor",
    )

    def __init__(
        self, *, member: membership.Member, lease: settings.Lease
    ) -> None:
        self.member_id = member.member_id
        self.lease = lease
        self._change_wanted_since_ms: int | None = None
        self.holder = holder.Holder(
            member_id=member.member_id,
            granters=member.granters,
            granters_epoch=member.granters_epoch,
            lease=lease,
        )
        self.granter = granter.Granter(member_id=member.member_id, lease=lease)
        self.evictor = evictor.Evictor(member_id=member.member_id, lease=lease)

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Applies the newest state.

        Args:
            state: The newest state.
            now_ms: The monotonic time.
        """
        self.holder.follow_record(record=state.members.get(self.member_id))
        self.granter.follow_state(state=state, now_ms=now_ms)
        self.evictor.follow_state(state=state, now_ms=now_ms)

    def confirm_by_store(
        self, *, state: ownership.State, read_sent_at_ms: int
    ) -> None:
        """Confirms the membership by a store read that shows its record.

        Args:
            state: The state that was read.
            read_sent_at_ms: When the read began.
        """
        record = state.members.get(self.member_id)
        if record is None:
            return
        self.granter.confirm_membership(as_of_ms=read_sent_at_ms)
        if not record.granters:
            self.holder.confirm_by_store(read_sent_at_ms=read_sent_at_ms)

    def confirm_by_lease(self, now_ms: int) -> None:
        """Confirms the membership while the member holds its own lease."""
        if self.holder.is_held(now_ms=now_ms):
            self.granter.confirm_membership(as_of_ms=now_ms)

    def record_promise(self, promise: messages.Promise, now_ms: int) -> None:
        """Handles a granter's answer to a heartbeat."""
        self.holder.record_promise(promise=promise, now_ms=now_ms)

    def list_lapses(self, now_ms: int) -> list[messages.LapseNotice]:
        """Lists the lapses of other members that this member reports."""
        has_all = len(self.holder.granters) >= _FULL_GRANTER_COUNT
        own_end_ms = self.holder.find_lease_end_ms() if has_all else None
        return self.granter.list_lapses(
            now_ms=now_ms, own_lease_end_ms=own_end_ms
        )

    def begin_granters_change(self, change: membership.GrantersChanged) -> None:
        """Prepares for sending a change of the member's granters."""
        if self.holder.granters:
            self.holder.change_granters(
                granters=change.granters, granters_epoch=change.granters_epoch
            )

    def find_granters_change(
        self, *, state: ownership.State, now_ms: int, silence_ms: int
    ) -> membership.GrantersChanged | None:
        """Finds a due change of the member's granters.

        Members that lost a granter at the same moment must not all write at
        once. While the other granters suffice for the lease, each member waits
        for a delay that grows with the count of members.

        Args:
            state: The newest state.
            now_ms: The monotonic time.
            silence_ms: How long a granter may stay silent.

        Returns:
            The change; None if the granters are good, there are no better
            ones, or the delay has not passed yet.
        """
        change = self._choose_granters(state, now_ms, silence_ms)
        if change is None:
            self._change_wanted_since_ms = None
            return None
        if self._change_wanted_since_ms is None:
            self._change_wanted_since_ms = now_ms
        if self.is_short_of_granters(
            state=state, now_ms=now_ms, silence_ms=silence_ms
        ):
            return change
        jitter_ms = find_jitter_ms(
            member_id=self.member_id,
            granters_epoch=state.members[self.member_id].granters_epoch,
            member_count=len(state.members),
        )
        is_due = now_ms - self._change_wanted_since_ms >= jitter_ms
        return change if is_due else None

    def is_short_of_granters(
        self, *, state: ownership.State, now_ms: int, silence_ms: int
    ) -> bool:
        """Tells whether too few granters are left for a lease quorum.

        Args:
            state: The newest state.
            now_ms: The monotonic time.
            silence_ms: How long a granter may stay silent.

        Returns:
            Whether a change of granters is urgent.
        """
        record = state.members.get(self.member_id)
        if record is None or not record.granters:
            return False
        live = self._list_live_granters(record, state, now_ms, silence_ms)
        return len(live) < quorum.count_needed_promises(len(record.granters))

    def _list_live_granters(
        self,
        record: membership.Member,
        state: ownership.State,
        now_ms: int,
        silence_ms: int,
    ) -> tuple[str, ...]:
        silent = self.holder.list_silent_granters(
            now_ms=now_ms, timeout_ms=silence_ms
        )
        return tuple(
            g for g in record.granters if g in state.members and g not in silent
        )

    def _choose_granters(
        self, state: ownership.State, now_ms: int, silence_ms: int
    ) -> membership.GrantersChanged | None:
        record = state.members.get(self.member_id)
        if record is None or not record.granters:
            return None
        if not self.holder.may_change_granters(now_ms=now_ms):
            return None
        silent = self.holder.list_silent_granters(
            now_ms=now_ms, timeout_ms=silence_ms
        )
        chosen = selection.improve_granters(
            state=state, member=record, silent=frozenset(silent)
        )
        if not chosen or set(chosen) == set(record.granters):
            return None
        return membership.GrantersChanged(
            member_id=self.member_id,
            granters=chosen,
            granters_epoch=self.holder.find_next_epoch(),
        )


def find_jitter_ms(
    *, member_id: str, granters_epoch: int, member_count: int
) -> int:
    """Finds the delay of a member's change that is not urgent.

    Args:
        member_id: The member.
        granters_epoch: The epoch of the granters to change.
        member_count: The count of members in the system.

    Returns:
        Milliseconds from 0 to 20 per member in the system, always the same for
        the same arguments.
    """
    hash_value = xxhash.xxh3_64_intdigest(
        f"{member_id}\n{granters_epoch}".encode()
    )
    return hash_value * member_count * _JITTER_MS_PER_MEMBER // _HASH_END
