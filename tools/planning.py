"""Compares the planner with two baselines: modulo and rendezvous hashing.

For each size and policy it prints, per event, the share of shards that moved
(churn) and the load of the busiest server divided by the mean (imbalance).

Usage: python -m tools.planning
"""

from collections.abc import Mapping
import dataclasses
import json
import random
import time
from typing import TypeAlias

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.assignment import planner

_POOL = "pool"
_SEED = 7
_HOT_COUNT = 20
_HOT_CHANGES = 5
_HOT_SHARE = 0.2
_HOT_SERVER_SHARE = 0.5
_SERVER_RPS = 1_000.0
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1

Owners: TypeAlias = list[str]
Loads: TypeAlias = dict[int, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """The size of a measured pool."""

    servers: int
    domains: int
    shards: int


_SIZES = (
    Size(servers=6, domains=3, shards=4_096),
    Size(servers=200, domains=4, shards=16_384),
    Size(servers=1_800, domains=24, shards=65_536),
)


class Modulo:
    """Baseline: the shard number modulo the number of servers."""

    def assign(
        self, before: Owners, servers: Mapping[str, str], loads: Loads
    ) -> Owners:
        """Assigns every shard, regardless of its owner before."""
        names = sorted(servers)
        return [names[shard % len(names)] for shard in range(len(before))]


class Rendezvous:
    """Baseline: the server with the highest hash of shard and server."""

    def __init__(self) -> None:
        self._known: set[str] = set()
        self._weights: dict[int, int] = {}

    def assign(
        self, before: Owners, servers: Mapping[str, str], loads: Loads
    ) -> Owners:
        """Assigns shards; only new and lost servers cause moves."""
        hashes = {name: ownership.hash_key(name) for name in servers}
        joined = {hashes[n]: n for n in servers if n not in self._known}
        all_servers = {value: name for name, value in hashes.items()}
        after = list(before)
        for shard, owner in enumerate(before):
            salt = ownership.hash_key(str(shard))
            candidates = joined if owner in servers else all_servers
            if not candidates:
                continue
            weight, best = max(
                (((value ^ salt) * _HASH_MULTIPLIER & _MASK) >> 8, value)
                for value in candidates
            )
            if owner in servers and weight <= self._weights[shard]:
                continue
            self._weights[shard] = weight
            after[shard] = candidates[best]
        self._known = set(servers)
        return after


class Planned:
    """The product's planner: a takeover, then a rebalance."""

    def assign(
        self, before: Owners, servers: Mapping[str, str], loads: Loads
    ) -> Owners:
        """Moves shards of lost servers, then those that the bounds require."""
        state = _build_state(before, servers)
        taken = planner.plan_takeover(
            state=state, pool=_POOL, lost=frozenset(), eligible=tuple(servers)
        )
        owners = state.assignments[_POOL].owners
        for move in taken:
            owners[move.shard] = move.owner
        moves = planner.plan_rebalance(
            state=state,
            pool=_POOL,
            eligible=tuple(servers),
            loads=loads,
            limits=planner.Limits(),
        )
        for move in moves:
            owners[move.shard] = move.owner
        return owners


Policy: TypeAlias = Modulo | Rendezvous | Planned


def measure(size: Size, policy: Policy) -> list[dict[str, object]]:
    """Applies all events to one policy and measures each."""
    servers = {
        f"server-{number}": f"domain-{number % size.domains}"
        for number in range(size.servers)
    }
    even = dict.fromkeys(
        range(size.shards), _SERVER_RPS * size.servers / size.shards
    )
    owners = policy.assign([ownership.NO_OWNER] * size.shards, servers, {})
    rows = [_report("start", owners, owners, servers, even, 0.0)]

    def change(event: str, after: Mapping[str, str], loads: Loads) -> None:
        nonlocal owners
        start = time.perf_counter()
        assigned = policy.assign(owners, after, loads)
        elapsed_ms = (time.perf_counter() - start) * 1_000
        rows.append(_report(event, owners, assigned, after, loads, elapsed_ms))
        owners = assigned

    joined = {**servers, "server-new": "domain-0"}
    change("1 server joins", joined, even)
    change("1 server leaves", servers, even)
    for number, loads in enumerate(_list_hot_loads(size, even)):
        change(f"hot keys {number}", servers, loads)
    change("hot keys end", servers, even)
    left = {name: d for name, d in servers.items() if d != "domain-0"}
    change("a failure domain is lost", left, even)
    change("the failure domain returns", servers, even)
    return rows


def _list_hot_loads(size: Size, even: Loads) -> list[Loads]:
    """Lists loads, each with a different choice of 20 hot shards."""
    rng = random.Random(_SEED)
    total = _SERVER_RPS * size.servers
    hot = min(total * _HOT_SHARE / _HOT_COUNT, _SERVER_RPS * _HOT_SERVER_SHARE)
    rest = 1 - hot * _HOT_COUNT / total
    found = []
    for _ in range(_HOT_CHANGES):
        loads = {shard: rps * rest for shard, rps in even.items()}
        for shard in rng.sample(range(size.shards), _HOT_COUNT):
            loads[shard] += hot
        found.append(loads)
    return found


def _report(
    event: str,
    before: Owners,
    after: Owners,
    servers: Mapping[str, str],
    loads: Loads,
    elapsed_ms: float,
) -> dict[str, object]:
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    sums = dict.fromkeys(servers, 0.0)
    for shard, owner in enumerate(after):
        sums[owner] += loads[shard]
    mean = sum(sums.values()) / len(sums)
    unowned_count = sum(owner not in servers for owner in before)
    return {
        "event": event,
        "moved_per_cent": round(100 * moved / len(after), 2),
        "orphaned_per_cent": round(100 * unowned_count / len(after), 2),
        "imbalance": round(max(sums.values()) / mean, 3),
        "plan_ms": round(elapsed_ms, 1),
    }


def _build_state(owners: Owners, servers: Mapping[str, str]) -> ownership.State:
    members = {
        name: membership.Member(
            member_id=name,
            instance=name,
            incarnation="1",
            failure_domain=domain,
            region="region",
            pool=_POOL,
            ip_address="127.0.0.1",
            http_port=1,
            data_port=2,
            control_port=3,
        )
        for name, domain in servers.items()
    }
    assignment = ownership.Assignment(
        shard_count=len(owners),
        owners=list(owners),
        fences=[0] * len(owners),
    )
    return ownership.State(members=members, assignments={_POOL: assignment})


def main() -> None:
    """Prints the measurements as JSON."""
    report = [
        {
            "servers": size.servers,
            "shards": size.shards,
            "policy": type(policy).__name__.lower(),
            "events": measure(size, policy),
        }
        for size in _SIZES
        for policy in (Planned(), Modulo(), Rendezvous())
    ]
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
