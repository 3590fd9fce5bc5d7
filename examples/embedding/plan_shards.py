"""Assigns shards to servers with the planner alone.

Usage: python -m examples.embedding.plan_shards
"""

import collections

from examples.embedding import hold_lease
from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.assignment import planner

_POOL = "dispatch"
_SERVERS = ("server-1", "server-2", "server-3")
_SHARD_COUNT = 64


def make_state() -> ownership.State:
    """Creates a state with three members and unassigned shards."""
    members = [hold_lease.make_member(name) for name in _SERVERS]
    changes: list[membership.Change] = [
        membership.MemberJoined(member=member) for member in members
    ]
    changes.append(membership.PoolSharded(pool=_POOL, shard_count=_SHARD_COUNT))
    return apply_changes(ownership.State(), changes)


def apply_changes(
    state: ownership.State, changes: list[membership.Change]
) -> ownership.State:
    """Applies changes; a real program commits them to a store first."""
    entry = membership.Entry(
        revision=state.revision + 1,
        write_id=str(state.revision + 1),
        author="example",
        written_at_ms=0,
        changes=tuple(changes),
    )
    return ownership.apply_entries(state, [entry])


def count_owned(state: ownership.State) -> dict[str, int]:
    """Counts the shards that each member owns."""
    owners = state.assignments[_POOL].owners
    return dict(sorted(collections.Counter(owners).items()))


def run() -> list[str]:
    """Assigns all shards, then reassigns those of a lost server.

    Returns:
        One line for each step.
    """
    state = make_state()
    lines = []
    lost: frozenset[str] = frozenset()
    for eligible in (_SERVERS, _SERVERS[1:]):
        lost = frozenset(_SERVERS) - frozenset(eligible)
        moves = planner.plan_takeover(
            state=state, pool=_POOL, lost=lost, eligible=eligible
        )
        state = apply_changes(
            state, [membership.ShardsMoved(pool=_POOL, moves=moves)]
        )
        lines.append(f"{len(moves)} moves: {count_owned(state)}")
    return lines


if __name__ == "__main__":
    print("\n".join(run()))
