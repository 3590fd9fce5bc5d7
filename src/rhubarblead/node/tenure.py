"""The decisions of a node while it is one member, under one member id."""

import secrets

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import granter
from rhubarblead.leases import holder
from rhubarblead.leases import selection
from rhubarblead.leases import taker

_INCARNATION_BYTES = 6


def make_member(
    node: settings.Settings, *, pool: str, state: ownership.State
) -> membership.Member:
    """Builds the record with which a node joins.

    Args:
        node: The node's settings.
        pool: The pool that names the instance.
        state: The members to choose granters from.

    Returns:
        A record with a new incarnation.
    """
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    bare = membership.Member(
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
        bare,
        granters=selection.choose_granters(state=state, member=bare),
    )


class Tenure:
    """Lease, promises and evictions of one member."""

    __slots__ = ("granter", "holder", "lease", "member_id", "taker")

    def __init__(
        self, *, member: membership.Member, lease: settings.Lease
    ) -> None:
        self.member_id = member.member_id
        self.lease = lease
        self.holder = holder.Holder(
            member_id=member.member_id,
            granters=member.granters,
            granters_epoch=member.granters_epoch,
            lease=lease,
        )
        self.granter = granter.Granter(member_id=member.member_id, lease=lease)
        self.taker = taker.Taker(member_id=member.member_id, lease=lease)

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Follows the newest state.

        Args:
            state: The state.
            now_ms: The monotonic time.
        """
        self.holder.follow_record(record=state.members.get(self.member_id))
        self.granter.follow_state(state=state, now_ms=now_ms)
        self.taker.follow_state(state=state, now_ms=now_ms)

    def confirm_by_store(
        self, *, state: ownership.State, read_sent_at_ms: int
    ) -> None:
        """Takes note that a store read showed the member's record.

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
        """Lets the member promise to others while its own lease holds."""
        if self.holder.is_held(now_ms=now_ms):
            self.granter.confirm_membership(as_of_ms=now_ms)

    def take_promise(self, promise: messages.Promise, now_ms: int) -> None:
        """Takes a granter's answer to a heartbeat."""
        self.holder.take_promise(promise=promise, now_ms=now_ms)

    def begin_granters_change(self, change: membership.GrantersChanged) -> None:
        """Prepares for a change of the own granters, before it is sent."""
        if self.holder.granters:
            self.holder.change_granters(
                granters=change.granters, granters_epoch=change.granters_epoch
            )

    def find_granters_change(
        self, *, state: ownership.State, now_ms: int, patience_ms: int
    ) -> membership.GrantersChanged | None:
        """Finds out whether the member should have other granters.

        Args:
            state: The newest state.
            now_ms: The monotonic time.
            patience_ms: How long a granter may stay silent.

        Returns:
            The change, None when the granters are good or there are no
            better ones.
        """
        record = state.members.get(self.member_id)
        if record is None or not record.granters or self.holder.is_changing:
            return None
        silent = self.holder.list_silent_granters(
            now_ms=now_ms, patience_ms=patience_ms
        )
        kept = tuple(
            g for g in record.granters if g in state.members and g not in silent
        )
        candidates = state.copy()
        for member_id in silent:
            candidates.members.pop(member_id, None)
        chosen = selection.choose_granters(state=candidates, member=record)
        is_wider = len(chosen) > len(record.granters)
        if len(kept) == len(record.granters) and not is_wider:
            return None
        replaced = _fill(kept, chosen, candidates)
        if not replaced or set(replaced) == set(record.granters):
            return None
        return membership.GrantersChanged(
            member_id=self.member_id,
            granters=replaced,
            granters_epoch=self.holder.find_next_epoch(),
        )


def _fill(
    kept: tuple[str, ...], chosen: tuple[str, ...], state: ownership.State
) -> tuple[str, ...]:
    """Keeps the good granters, so that few promises start anew."""
    domains = {state.members[g].failure_domain for g in kept}
    fresh = [g for g in chosen if g not in kept]
    fresh.sort(key=lambda g: state.members[g].failure_domain in domains)
    return (*kept, *fresh[: len(chosen) - len(kept)])
