"""Changes that a node proposes, derived from the newest state alone.

A proposal that conflicts with another write is not sent again: the next one is
derived from the state after that write.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import tables as tables_lib
from rhubarblead.assignment import planner


def list_eligible(
    *,
    state: ownership.State,
    pool: tables_lib.Pool,
    excluded: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Lists the members that may own shards of a pool.

    Args:
        state: The newest state.
        pool: The pool.
        excluded: Members that are lost, suspected or leaving.

    Returns:
        Member ids, in the order of the pool.
    """
    return tuple(
        member.member_id
        for member in state.list_pool_members(pool.name)
        if member.member_id not in excluded and pool.matches(member.instance)
    )


def propose_join(
    *,
    state: ownership.State,
    pool: tables_lib.Pool,
    member: membership.Member,
) -> tuple[membership.Change, ...]:
    """Proposes to add a member, and to shard its pool if that is not done."""
    joined = membership.MemberJoined(member=member)
    is_new = pool.kind == "keyed" and pool.name not in state.assignments
    if not is_new:
        return (joined,)
    sharded = membership.PoolSharded(
        pool=pool.name, shard_count=pool.shard_count
    )
    return (sharded, joined)


def propose_evictions(
    *,
    state: ownership.State,
    tables: tables_lib.Tables,
    evictions: Iterable[membership.MemberEvicted],
    suspects: frozenset[str],
) -> tuple[membership.Change, ...]:
    """Proposes to evict members and to reassign their shards.

    Args:
        state: The newest state.
        tables: The tables in force.
        evictions: The evictions that are due.
        suspects: Members that may be lost too and should not get shards.

    Returns:
        The evictions, and the shard moves of each pool.
    """
    changes: list[membership.Change] = list(evictions)
    lost = frozenset(
        change.member_id
        for change in changes
        if isinstance(change, membership.MemberEvicted)
    )
    for name in sorted(state.assignments):
        moves = _plan_takeover(state, tables, name, lost, suspects)
        if moves:
            changes.append(membership.ShardsMoved(pool=name, moves=moves))
    return tuple(changes)


def propose_assignment(
    *,
    state: ownership.State,
    tables: tables_lib.Tables,
    pool_name: str,
    loads: Mapping[int, float],
) -> tuple[membership.Change, ...]:
    """Proposes owners for unowned shards, or else a better balance.

    Args:
        state: The newest state.
        tables: The tables in force.
        pool_name: A keyed pool.
        loads: Requests per second by shard, as far as known.

    Returns:
        One change; none if the shards are well balanced.
    """
    moves = _plan_takeover(state, tables, pool_name, frozenset(), frozenset())
    if moves:
        return (membership.ShardsMoved(pool=pool_name, moves=moves),)
    pool = tables.find_pool(pool_name)
    assignment = state.assignments.get(pool_name)
    if pool is None or assignment is None:
        return ()
    eligible = list_eligible(state=state, pool=pool)
    if not eligible:
        return ()
    wanted = planner.plan_rebalance(
        state=state,
        pool=pool_name,
        eligible=eligible,
        loads=loads,
        limits=planner.Limits(),
    )
    if {move.shard: move.owner for move in wanted} == assignment.wanted:
        return ()
    return (membership.MovesRequested(pool=pool_name, moves=wanted),)


def propose_leave(
    *,
    state: ownership.State,
    tables: tables_lib.Tables,
    member_id: str,
    shards: frozenset[int],
) -> tuple[membership.Change, ...]:
    """Proposes to release shards, and to leave along with the last of them.

    Args:
        state: The newest state.
        tables: The tables in force.
        member_id: The leaving member.
        shards: Its shards with no requests in progress.

    Returns:
        The moves, and the departure if no shard is left.
    """
    member = state.members[member_id]
    assignment = state.assignments.get(member.pool)
    owned = frozenset(assignment.list_shards(member_id) if assignment else ())
    changes: list[membership.Change] = []
    released = owned & shards
    if released:
        planned = _plan_takeover(
            state, tables, member.pool, frozenset({member_id}), frozenset()
        )
        changes.append(
            membership.ShardsMoved(
                pool=member.pool,
                moves=tuple(move for move in planned if move.shard in released),
            )
        )
    if released == owned:
        changes.append(membership.MemberLeft(member_id=member_id))
    return tuple(changes)


def is_planner(
    *, state: ownership.State, member_id: str, pool_name: str
) -> bool:
    """Tells whether a member plans for a pool, as the first one listed does.

    Two members with different states may both plan; this is safe, as only one
    of two proposals based on the same state can be committed.
    """
    members = state.list_pool_members(pool_name)
    return bool(members) and members[0].member_id == member_id


def _plan_takeover(
    state: ownership.State,
    tables: tables_lib.Tables,
    pool_name: str,
    lost: frozenset[str],
    suspects: frozenset[str],
) -> tuple[membership.ShardMove, ...]:
    pool = tables.find_pool(pool_name)
    if pool is None:
        return _unassign_shards(state, pool_name, lost)
    # Members of the same failure domains may fail a moment later, so they get
    # shards only if no others are eligible.
    same_domain = frozenset(
        member.member_id
        for member in state.members.values()
        if member.failure_domain in _list_domains(state, lost)
    )
    for excluded in (lost | suspects | same_domain, lost | suspects, lost):
        eligible = list_eligible(state=state, pool=pool, excluded=excluded)
        if eligible:
            break
    if not eligible:
        return _unassign_shards(state, pool_name, lost)
    return planner.plan_takeover(
        state=state, pool=pool_name, lost=lost, eligible=eligible
    )


def _list_domains(
    state: ownership.State, member_ids: frozenset[str]
) -> frozenset[str]:
    return frozenset(
        state.members[member_id].failure_domain
        for member_id in member_ids
        if member_id in state.members
    )


def _unassign_shards(
    state: ownership.State, pool_name: str, lost: frozenset[str]
) -> tuple[membership.ShardMove, ...]:
    """Moves the shards of lost members to no owner."""
    assignment = state.assignments[pool_name]
    return tuple(
        membership.ShardMove(shard=shard, owner=ownership.NO_OWNER)
        for shard, owner in enumerate(assignment.owners)
        if owner in lost
    )


def propose_release(
    *,
    state: ownership.State,
    member_id: str,
    moves: tuple[membership.ShardMove, ...],
) -> tuple[membership.Change, ...]:
    """Proposes to hand over drained shards to their next owners.

    Args:
        state: The newest state.
        member_id: The owner.
        moves: The drained shards with their next owners.

    Returns:
        One change; none if no move is possible any more.
    """
    pool = state.members[member_id].pool
    assignment = state.assignments.get(pool)
    if assignment is None:
        return ()
    possible = tuple(
        move
        for move in moves
        if move.owner in state.members
        and assignment.owners[move.shard] == member_id
    )
    if not possible:
        return ()
    return (membership.ShardsMoved(pool=pool, moves=possible),)
