"""Plans of shard ownership: takeover of unowned shards and rebalancing."""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq

from rhubarblead import membership
from rhubarblead import ownership

_MILLE = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Load bounds within which the planner moves no shards.

    The load bounds are in thousandths of the mean load of the eligible members.
    A member above `high_per_mille` gives shards away until its load is at most
    `high_target_per_mille`; a member below `low_per_mille` receives shards
    until its load is at least `low_target_per_mille`. The gap between each
    bound and its target provides hysteresis.

    A shard weighs its request rate plus a base weight, so that a shard without
    requests has a weight too. The base weight is `base_weight_per_mille` of the
    mean rate of a shard, and at least an equal share of `idle_rps`, a request
    rate of the whole pool below which differences between shards hardly count.

    `max_moves` bounds the moves of one plan, apart from those of shards whose
    owners are not eligible.
    """

    high_per_mille: int = 1_150
    high_target_per_mille: int = 1_050
    low_per_mille: int = 700
    low_target_per_mille: int = 900
    idle_rps: float = 100.0
    base_weight_per_mille: int = 250
    max_moves: int = 4_096


@dataclasses.dataclass(slots=True, kw_only=True)
class _Server:
    """The planned shards and load of one eligible member.

    `order` breaks ties between equal loads.
    """

    member_id: str
    order: int
    load: float = 0.0
    shards: list[int] = dataclasses.field(default_factory=list)


def plan_takeover(
    *,
    state: ownership.State,
    pool: str,
    lost: frozenset[str],
    eligible: tuple[str, ...],
) -> tuple[membership.ShardMove, ...]:
    """Plans owners for the shards without an owner or with a lost one.

    Args:
        state: The state before the lost members are removed.
        pool: The pool whose shards are planned.
        lost: The members that are being removed.
        eligible: The members that may own shards of the pool.

    Returns:
        A move of each such shard to the member with the fewest shards; ties
        rotate through the failure domains. If no eligible member remains, the
        shards of the lost members are released to nobody.
    """
    assignment = state.assignments[pool]
    remaining = tuple(name for name in eligible if name not in lost)
    servers = _list_servers(state, remaining)
    unowned = []
    for shard in _list_shards(assignment):
        owner = assignment.owners[shard]
        if owner in servers:
            servers[owner].load += 1
        elif owner in lost or owner not in state.members:
            unowned.append(shard)
    if not servers:
        return _release_to_nobody(assignment, unowned)
    return _spread_evenly(unowned, servers)


def plan_rebalance(
    *,
    state: ownership.State,
    pool: str,
    eligible: tuple[str, ...],
    loads: Mapping[int, float],
    limits: Limits,
) -> tuple[membership.ShardMove, ...]:
    """Plans which shards their owners should hand over, and to whom.

    As long as the loads are within the limits, a shard stays with its owner or
    with the member to which an earlier plan moves it.

    Args:
        state: The current state.
        pool: The pool whose shards are planned.
        eligible: The members that may own shards of the pool, without the
            members that are leaving.
        loads: The request rates by shard, per second; may be empty.
        limits: The load bounds and the maximum number of moves.

    Returns:
        All wanted moves, ordered by shard. They replace those of earlier
        plans.
    """
    assignment = state.assignments[pool]
    servers = _list_servers(state, eligible)
    if not servers:
        return ()
    shards = _list_shards(assignment)
    weights = _weigh_shards(shards, loads, limits)
    unplaced = _place(state, assignment, shards, weights, servers)
    _place_remaining(unplaced, weights, servers)
    remaining_moves = limits.max_moves
    remaining_moves -= _unload_overloaded(
        servers, weights, limits, remaining_moves
    )
    _load_underloaded(servers, weights, limits, remaining_moves)
    return _list_moves(assignment, servers.values())


def _list_servers(
    state: ownership.State, eligible: tuple[str, ...]
) -> dict[str, _Server]:
    """Returns the servers by member, alternating between failure domains."""
    seen: dict[str, int] = {}
    ranked = []
    for member_id in sorted(eligible):
        member = state.members.get(member_id)
        if member is None:
            continue
        domain = member.failure_domain
        seen[domain] = seen.get(domain, 0) + 1
        ranked.append((seen[domain], domain, member_id))
    return {
        member_id: _Server(member_id=member_id, order=order)
        for order, (_, _, member_id) in enumerate(sorted(ranked))
    }


def _list_shards(assignment: ownership.Assignment) -> list[int]:
    """Lists the hashed shards and the shards of split keys."""
    split = sorted(assignment.splits.values())
    return [*range(assignment.shard_count), *split]


def _release_to_nobody(
    assignment: ownership.Assignment, shards: list[int]
) -> tuple[membership.ShardMove, ...]:
    return tuple(
        membership.ShardMove(shard=shard, owner=ownership.NO_OWNER)
        for shard in shards
        if assignment.owners[shard] != ownership.NO_OWNER
    )


def _spread_evenly(
    shards: list[int], servers: dict[str, _Server]
) -> tuple[membership.ShardMove, ...]:
    heap = [(s.load, s.order, s.member_id) for s in servers.values()]
    heapq.heapify(heap)
    moves = []
    for shard in shards:
        load, order, member_id = heap[0]
        moves.append(membership.ShardMove(shard=shard, owner=member_id))
        heapq.heapreplace(heap, (load + 1, order, member_id))
    return tuple(moves)


def _weigh_shards(
    shards: list[int], loads: Mapping[int, float], limits: Limits
) -> dict[int, float]:
    """Returns weights by shard from the request rates, with a mean of 1."""
    if not loads:
        return dict.fromkeys(shards, 1.0)
    count = len(shards)
    mean = sum(loads.get(shard, 0.0) for shard in shards) / count
    base_weight = max(
        limits.idle_rps / count, mean * limits.base_weight_per_mille / _MILLE
    )
    unit = base_weight + mean
    return {
        shard: (base_weight + loads.get(shard, 0.0)) / unit for shard in shards
    }


def _place(
    state: ownership.State,
    assignment: ownership.Assignment,
    shards: list[int],
    weights: dict[int, float],
    servers: dict[str, _Server],
) -> list[int]:
    """Adds shards to their target or current owners; skips unowned shards.

    Returns:
        The shards of which neither the target nor the owner is eligible.
    """
    unplaced = []
    for shard in shards:
        owner = assignment.owners[shard]
        if owner not in state.members:
            continue
        server = servers.get(assignment.wanted.get(shard, owner))
        server = server or servers.get(owner)
        if server is None:
            unplaced.append(shard)
            continue
        server.load += weights[shard]
        server.shards.append(shard)
    return unplaced


def _place_remaining(
    shards: list[int], weights: dict[int, float], servers: dict[str, _Server]
) -> None:
    heap = [(s.load, s.order, s.member_id) for s in servers.values()]
    heapq.heapify(heap)
    for shard in sorted(shards, key=lambda s: (-weights[s], s)):
        _, order, member_id = heap[0]
        server = servers[member_id]
        server.load += weights[shard]
        server.shards.append(shard)
        heapq.heapreplace(heap, (server.load, order, member_id))


def _unload_overloaded(
    servers: dict[str, _Server],
    weights: dict[int, float],
    limits: Limits,
    remaining_moves: int,
) -> int:
    """Moves shards off overloaded servers and returns the number of moves."""
    mean = _find_mean(servers)
    high = mean * limits.high_per_mille / _MILLE
    high_target = mean * limits.high_target_per_mille / _MILLE
    heap = [(s.load, s.order, s.member_id) for s in servers.values()]
    heapq.heapify(heap)
    moved = 0
    overloaded = [server for server in servers.values() if server.load > high]
    for server in sorted(overloaded, key=lambda s: (-s.load, s.order)):
        moved += _unload(
            server, servers, heap, weights, high_target, remaining_moves - moved
        )
    return moved


def _unload(
    server: _Server,
    servers: dict[str, _Server],
    heap: list[tuple[float, int, str]],
    weights: dict[int, float],
    high_target: float,
    remaining_moves: int,
) -> int:
    moved = 0
    kept = []
    for shard in sorted(server.shards, key=lambda s: (-weights[s], s)):
        weight = weights[shard]
        target = servers[heap[0][2]]
        is_needed = server.load > high_target and moved < remaining_moves
        room = max(high_target, server.load - weight)
        is_better = target is not server and target.load + weight <= room
        if not (is_needed and is_better):
            kept.append(shard)
            continue
        _move(shard, weight, server, target)
        heapq.heapreplace(heap, (target.load, target.order, target.member_id))
        moved += 1
    server.shards = kept
    return moved


def _load_underloaded(
    servers: dict[str, _Server],
    weights: dict[int, float],
    limits: Limits,
    remaining_moves: int,
) -> None:
    """Moves shards to underloaded servers."""
    mean = _find_mean(servers)
    low = mean * limits.low_per_mille / _MILLE
    low_target = mean * limits.low_target_per_mille / _MILLE
    underloaded = [server for server in servers.values() if server.load < low]
    if not underloaded:
        return
    heap = [(-s.load, s.order, s.member_id) for s in servers.values()]
    heapq.heapify(heap)
    sorted_ids: set[str] = set()
    for server in sorted(underloaded, key=lambda s: (s.load, s.order)):
        while server.load < low_target and remaining_moves > 0:
            _, order, member_id = heap[0]
            source = servers[member_id]
            if member_id not in sorted_ids:
                source.shards.sort(key=lambda s: (weights[s], s))
                sorted_ids.add(member_id)
            if not _move_one(source, server, weights, mean, low_target):
                break
            heapq.heapreplace(heap, (-source.load, order, member_id))
            remaining_moves -= 1


def _move_one(
    source: _Server,
    target: _Server,
    weights: dict[int, float],
    mean: float,
    low_target: float,
) -> bool:
    """Moves the heaviest shard that keeps both servers within their bounds.

    The target stays at or below the mean, and the source at or above
    `low_target`.

    Returns:
        Whether a shard was moved.
    """
    room = min(mean - target.load, source.load - low_target)
    if source is target or room <= 0:
        return False
    position = bisect.bisect_right(
        source.shards, room, key=lambda shard: weights[shard]
    )
    if position == 0:
        return False
    shard = source.shards.pop(position - 1)
    _move(shard, weights[shard], source, target)
    return True


def _move(shard: int, weight: float, source: _Server, target: _Server) -> None:
    source.load -= weight
    target.load += weight
    target.shards.append(shard)


def _find_mean(servers: dict[str, _Server]) -> float:
    return sum(server.load for server in servers.values()) / len(servers)


def _list_moves(
    assignment: ownership.Assignment, servers: Iterable[_Server]
) -> tuple[membership.ShardMove, ...]:
    moves = [
        membership.ShardMove(shard=shard, owner=server.member_id)
        for server in servers
        for shard in server.shards
        if assignment.owners[shard] != server.member_id
    ]
    return tuple(sorted(moves, key=lambda move: move.shard))
