"""Selection of granters, evictors and pollers, identical on every node.

Members are ranked by rendezvous hashing, so that a change of members changes
few selections.
"""

import collections
import itertools
import operator
from typing import TypeAlias

import xxhash

from rhubarblead import membership
from rhubarblead import ownership

GRANTER_COUNT = 3
EVICTOR_COUNT = 3
_OVERLOAD_FACTOR = 2

# Sort key of a candidate granter, lowest first: whether it is to be avoided, is
# in the member's own failure domain, is not a granter yet, is overloaded, and
# is in the same pool; then its hash and its member id.
_Rank: TypeAlias = tuple[bool, bool, bool, bool, bool, int, str]


def choose_granters(
    *,
    state: ownership.State,
    member: membership.Member,
    avoid: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Chooses the granters of a member's lease.

    As far as there are enough failure domains, the granters are in different
    ones, and the member's own failure domain comes last. Within these bounds
    current granters are preferred, then members that are not overloaded, then
    members of other pools.

    Args:
        state: The members to choose from, with their current granters.
        member: The member that needs granters. Its current ones are kept where
            possible.
        avoid: The members to choose only if there are no others.

    Returns:
        At most three member ids; none if there is no other member.
    """
    ranks = _rank_candidates(state, member, avoid)
    best: dict[str, _Rank] = {}
    for rank in ranks:
        domain = state.members[rank[-1]].failure_domain
        if domain not in best or rank < best[domain]:
            best[domain] = rank
    is_avoided = operator.itemgetter(0)
    chosen = sorted(itertools.filterfalse(is_avoided, best.values()))
    del chosen[GRANTER_COUNT:]
    if len(chosen) < GRANTER_COUNT:
        rest = sorted(set(ranks).difference(chosen))
        chosen += rest[: GRANTER_COUNT - len(chosen)]
    return tuple(rank[-1] for rank in chosen)


def improve_granters(
    *,
    state: ownership.State,
    member: membership.Member,
    silent: frozenset[str],
) -> tuple[str, ...]:
    """Chooses other granters for a member if its current ones are inadequate.

    Args:
        state: The members to choose from.
        member: The member with its current granters.
        silent: The granters that do not promise to it.

    Returns:
        The current granters if all of them are members that promise, and a new
        choice would have no more granters or failure domains. Otherwise the
        new choice, unless it has the same granters.
    """
    present = frozenset(member.granters)
    if not present & silent and _are_in_distinct_domains(state, member):
        return member.granters
    chosen = choose_granters(state=state, member=member, avoid=silent)
    if present == set(chosen):
        return member.granters
    if present & silent or not present <= state.members.keys():
        return chosen
    if len(chosen) > len(present):
        return chosen
    if _count_domains(state, chosen) > _count_domains(state, member.granters):
        return chosen
    return member.granters


def rank_evictors(
    *, state: ownership.State, member: membership.Member
) -> tuple[str, ...]:
    """Ranks the members that should evict a lost member.

    Args:
        state: The members to choose from.
        member: The lost member. Members outside its failure domain come first.

    Returns:
        At most three member ids, in order of rank.
    """
    domain = member.failure_domain
    ranked = sorted(
        (
            other.failure_domain == domain,
            _hash_pair(domain, other.member_id),
            other.member_id,
        )
        for other in state.members.values()
        if other.member_id != member.member_id
    )
    return tuple(item[-1] for item in ranked[:EVICTOR_COUNT])


def list_pollers(
    *, state: ownership.State, failure_domain: str, count: int
) -> tuple[str, ...]:
    """Lists the members that poll the store for their failure domain.

    Args:
        state: The members to choose from.
        failure_domain: The failure domain.
        count: The maximum number of members.

    Returns:
        Member ids, in order of rank.
    """
    ranked = sorted(
        (_hash_pair(failure_domain, member.member_id), member.member_id)
        for member in state.members.values()
        if member.failure_domain == failure_domain
    )
    return tuple(member_id for _, member_id in ranked[:count])


def _hash_pair(subject: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\n{candidate}".encode())


def _are_in_distinct_domains(
    state: ownership.State, member: membership.Member
) -> bool:
    """Returns whether the granters are members in distinct other domains."""
    domains = {member.failure_domain}
    for granter_id in member.granters:
        granter = state.members.get(granter_id)
        if granter is None:
            return False
        domains.add(granter.failure_domain)
    return len(domains) == GRANTER_COUNT + 1


def _count_domains(state: ownership.State, members: tuple[str, ...]) -> int:
    return len({state.members[name].failure_domain for name in members})


def _rank_candidates(
    state: ownership.State,
    member: membership.Member,
    avoid: frozenset[str],
) -> list[_Rank]:
    overloaded = _list_overloaded(state, member)
    kept = frozenset(member.granters)
    subject = member.member_id
    return [
        (
            name in avoid,
            other.failure_domain == member.failure_domain,
            name not in kept,
            name in overloaded,
            other.pool == member.pool,
            _hash_pair(subject, name),
            name,
        )
        for name, other in state.members.items()
        if name != subject
    ]


def _list_overloaded(
    state: ownership.State, member: membership.Member
) -> set[str]:
    grant_counts = collections.Counter(
        granter_id
        for other in state.members.values()
        if other.member_id != member.member_id
        for granter_id in other.granters
    )
    bound = _OVERLOAD_FACTOR * GRANTER_COUNT
    return {
        granter for granter, count in grant_counts.items() if count >= bound
    }
