"""Chooses which member sends a committed entry to which others."""

import zlib

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import selection


def list_recipients(
    *,
    state: ownership.State,
    member_id: str,
    entries: tuple[membership.Entry, ...],
    is_author: bool,
    platform: settings.Platform,
) -> list[str]:
    """Lists the members to which a node sends newly received entries.

    The author sends them to the new owners and to the pollers of every failure
    domain; the other members of a failure domain are divided among its pollers.

    Args:
        state: The state after the entries.
        member_id: The sending member.
        entries: The new entries.
        is_author: Whether the node committed the entries itself.
        platform: Settings with the count of pollers in a failure domain.

    Returns:
        Member ids in ascending order, without the sender.
    """
    recipients: set[str] = set()
    if is_author:
        recipients.update(_list_new_owners(entries))
        recipients.update(_list_all_pollers(state, platform))
    recipients.update(_list_assigned_members(state, member_id, platform))
    recipients.discard(member_id)
    return sorted(recipients & state.members.keys())


def _list_new_owners(entries: tuple[membership.Entry, ...]) -> set[str]:
    return {
        move.owner
        for entry in entries
        for change in entry.changes
        if isinstance(change, membership.ShardsMoved)
        for move in change.moves
    }


def _list_all_pollers(
    state: ownership.State, platform: settings.Platform
) -> set[str]:
    domains = {m.failure_domain for m in state.members.values()}
    return {
        poller
        for domain in domains
        for poller in _list_pollers(state, domain, platform)
    }


def _list_pollers(
    state: ownership.State, failure_domain: str, platform: settings.Platform
) -> tuple[str, ...]:
    return selection.list_pollers(
        state=state,
        failure_domain=failure_domain,
        count=platform.pollers_per_domain,
    )


def _list_assigned_members(
    state: ownership.State, member_id: str, platform: settings.Platform
) -> set[str]:
    member = state.members.get(member_id)
    if member is None:
        return set()
    pollers = _list_pollers(state, member.failure_domain, platform)
    if member_id not in pollers:
        return set()
    rank = pollers.index(member_id)
    return {
        other.member_id
        for other in state.members.values()
        if other.failure_domain == member.failure_domain
        and other.member_id not in pollers
        and zlib.crc32(other.member_id.encode()) % len(pollers) == rank
    }
