"""Plans of which member should own which shard."""

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
    """Bounds within which the planner leaves owners alone.

    All loads are in thousandths of the mean over the eligible members. A member
    above `high_per_mille` gives shards away until it is at most at
    `relief_per_mille`; one below `low_per_mille` gets some until it is at least
    at `refill_per_mille`. The distance between each two is the hysteresis.
    `idle_rps` is a rate of the whole pool below which differences in the rates
    of shards hardly count. `floor_per_mille` is the part of the mean that a
    shard without any requests weighs. `max_moves` bounds one plan, apart from
    the shards of members that aren't eligible.
    """

    high_per_mille: int = 1_150
    relief_per_mille: int = 1_050
    low_per_mille: int = 700
    refill_per_mille: int = 900
    idle_rps: float = 100.0
    floor_per_mille: int = 250
    max_moves: int = 4_096


@dataclasses.dataclass(slots=True, kw_only=True)
class _Server:
    """What one eligible member would own; `order` breaks ties."""

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
    """Plans new owners for the shards that have none or a lost one.

    Args:
        state: The state before the lost members are removed.
        pool: The pool whose shards are planned.
        lost: Members that are being removed.
        eligible: Members that may own shards of the pool.

    Returns:
        A move for each such shard, to the member with the fewest shards; ties
        go round the failure domains. Without eligible members the shards of
        the lost go to nobody.
    """
    assignment = state.assignments[pool]
    left = tuple(name for name in eligible if name not in lost)
    servers = _list_servers(state, left)
    orphans = []
    for shard in _list_shards(assignment):
        owner = assignment.owners[shard]
        if owner in servers:
            servers[owner].load += 1
        elif owner in lost or owner not in state.members:
            orphans.append(shard)
    if not servers:
        return _disown(assignment, orphans)
    return _spread_evenly(orphans, servers)


def plan_rebalance(
    *,
    state: ownership.State,
    pool: str,
    eligible: tuple[str, ...],
    loads: Mapping[int, float],
    limits: Limits,
) -> tuple[membership.ShardMove, ...]:
    """Plans which shards their owners should hand over, and to whom.

    Shards stay where they are, or where they are already wanted, as long as
    the loads are within the limits.

    Args:
        state: The present state.
        pool: The pool whose shards are planned.
        eligible: Members that may own shards of the pool; a leaving member is
            not among them.
        loads: Requests per second of shards; may be empty.
        limits: When to move, and how much.

    Returns:
        All wishes, which replace the earlier ones, in order of the shards.
    """
    assignment = state.assignments[pool]
    servers = _list_servers(state, eligible)
    if not servers:
        return ()
    shards = _list_shards(assignment)
    weights = _weigh_shards(shards, loads, limits)
    homeless = _place(state, assignment, shards, weights, servers)
    _house(homeless, weights, servers)
    budget = limits.max_moves
    budget -= _relieve(servers, weights, limits, budget)
    _refill(servers, weights, limits, budget)
    return _list_moves(assignment, servers.values())


def _list_servers(
    state: ownership.State, eligible: tuple[str, ...]
) -> dict[str, _Server]:
    """Orders members so that neighbours are in different failure domains."""
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
    """Lists the hashed shards, and those of split keys that are in use."""
    split = sorted(assignment.splits.values())
    return [*range(assignment.shard_count), *split]


def _disown(
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
    """Weighs shards by their rates, so that the mean weight is 1."""
    if not loads:
        return dict.fromkeys(shards, 1.0)
    count = len(shards)
    mean = sum(loads.get(shard, 0.0) for shard in shards) / count
    floor = max(limits.idle_rps / count, mean * limits.floor_per_mille / _MILLE)
    unit = floor + mean
    return {shard: (floor + loads.get(shard, 0.0)) / unit for shard in shards}


def _place(
    state: ownership.State,
    assignment: ownership.Assignment,
    shards: list[int],
    weights: dict[int, float],
    servers: dict[str, _Server],
) -> list[int]:
    """Places shards where they are or are wanted; lists those that can't be."""
    homeless = []
    for shard in shards:
        owner = assignment.owners[shard]
        if owner not in state.members:
            continue
        server = servers.get(assignment.wanted.get(shard, owner))
        server = server or servers.get(owner)
        if server is None:
            homeless.append(shard)
            continue
        server.load += weights[shard]
        server.shards.append(shard)
    return homeless


def _house(
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


def _relieve(
    servers: dict[str, _Server],
    weights: dict[int, float],
    limits: Limits,
    budget: int,
) -> int:
    """Moves shards off overloaded servers; returns how many."""
    mean = _find_mean(servers)
    high = mean * limits.high_per_mille / _MILLE
    relief = mean * limits.relief_per_mille / _MILLE
    heap = [(s.load, s.order, s.member_id) for s in servers.values()]
    heapq.heapify(heap)
    moved = 0
    overloaded = [server for server in servers.values() if server.load > high]
    for server in sorted(overloaded, key=lambda s: (-s.load, s.order)):
        moved += _relieve_one(
            server, servers, heap, weights, relief, budget - moved
        )
    return moved


def _relieve_one(
    server: _Server,
    servers: dict[str, _Server],
    heap: list[tuple[float, int, str]],
    weights: dict[int, float],
    relief: float,
    budget: int,
) -> int:
    moved = 0
    kept = []
    for shard in sorted(server.shards, key=lambda s: (-weights[s], s)):
        weight = weights[shard]
        target = servers[heap[0][2]]
        is_needed = server.load > relief and moved < budget
        room = max(relief, server.load - weight)
        is_better = target is not server and target.load + weight <= room
        if not (is_needed and is_better):
            kept.append(shard)
            continue
        _move(shard, weight, server, target)
        heapq.heapreplace(heap, (target.load, target.order, target.member_id))
        moved += 1
    server.shards = kept
    return moved


def _refill(
    servers: dict[str, _Server],
    weights: dict[int, float],
    limits: Limits,
    budget: int,
) -> None:
    """Moves shards to servers that have too few."""
    mean = _find_mean(servers)
    low = mean * limits.low_per_mille / _MILLE
    refill = mean * limits.refill_per_mille / _MILLE
    needy = [server for server in servers.values() if server.load < low]
    if not needy:
        return
    heap = [(-s.load, s.order, s.member_id) for s in servers.values()]
    heapq.heapify(heap)
    sorted_ids: set[str] = set()
    for server in sorted(needy, key=lambda s: (s.load, s.order)):
        while server.load < refill and budget > 0:
            _, order, member_id = heap[0]
            source = servers[member_id]
            if member_id not in sorted_ids:
                source.shards.sort(key=lambda s: (weights[s], s))
                sorted_ids.add(member_id)
            if not _pull(source, server, weights, mean, refill):
                break
            heapq.heapreplace(heap, (-source.load, order, member_id))
            budget -= 1


def _pull(
    source: _Server,
    target: _Server,
    weights: dict[int, float],
    mean: float,
    refill: float,
) -> bool:
    """Moves the heaviest shard that leaves both servers well."""
    room = min(mean - target.load, source.load - refill)
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
