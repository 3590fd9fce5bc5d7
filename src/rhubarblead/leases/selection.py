"""Choice of members for duties, by hash, the same on every node."""

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

# What makes a possible granter better, least first: avoided, in the member's
# own failure domain, new, overloaded, of the same pool; then hash and id.
_Rank: TypeAlias = tuple[bool, bool, bool, bool, bool, int, str]


def choose_granters(
    *,
    state: ownership.State,
    member: membership.Member,
    avoid: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Chooses the members that shall grant a lease to one.

    They stand in different failure domains, the member's own last of all, as
    far as there are enough. Among these come first those to be kept, those with
    few duties and those of other pools.

    Args:
        state: The members to choose from, with their present duties.
        member: Who needs granters; its present ones are kept where they can be.
        avoid: Members to choose only when there is nobody else.

    Returns:
        At most three member ids; none when the member is alone.
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
    """Chooses other granters for a member where its present ones fall short.

    Args:
        state: The members to choose from.
        member: The member with its present granters.
        silent: Granters that don't promise to it.

    Returns:
        The present granters as long as all of them are members that promise,
        and a new choice would have no more granters or failure domains;
        otherwise the new choice, unless it names the same ones.
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
    """Ranks the members that shall take over from a lost one.

    Args:
        state: The members to choose from.
        member: The lost member. Members outside its failure domain come first.

    Returns:
        At most three member ids, the first choice first.
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
    """Lists the members of one failure domain that poll the store for it.

    Args:
        state: The members to choose from.
        failure_domain: The failure domain.
        count: How many to choose at most.

    Returns:
        Member ids, the first choice first.
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
    """Tells whether the granters are members in so many foreign domains."""
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
