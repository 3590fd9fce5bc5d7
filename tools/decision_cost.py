"""Measures the processor time of lease decisions, in microseconds.

Sockets and encoding are excluded.

Usage: python -m tools.decision_cost
"""

from collections.abc import Callable
import json
import time

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import evictor
from rhubarblead.leases import granter
from rhubarblead.leases import holder
from rhubarblead.leases import selection

_SIZES = ((13, 4), (200, 4), (1_800, 24))
_PAIR_ROUNDS = 4_000
_STATE_ROUNDS = 50
_NS_PER_US = 1_000
_REVISIONS = messages.Revisions(ownership=1, tables=1)


def make_state(member_count: int, domain_count: int) -> ownership.State:
    """Creates a state whose members have chosen their granters."""
    state = ownership.State(revision=1)
    for number in range(member_count):
        member_id = f"dispatch-{number}.0190a5d27c4e"
        state.members[member_id] = membership.Member(
            member_id=member_id,
            instance=f"dispatch-{number}",
            incarnation="0190a5d27c4e",
            failure_domain=f"domain-{number % domain_count}",
            region="region",
            pool=f"pool-{number % 2}",
            ip_address="127.0.0.1",
            http_port=1,
            data_port=2,
            control_port=3,
        )
    for member in list(state.members.values()):
        state.members[member.member_id] = msgspec.structs.replace(
            member,
            granters=selection.choose_granters(state=state, member=member),
            granters_epoch=1,
        )
    return state


def measure(action: Callable[[], object], rounds: int) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    action()
    start_ns = time.process_time_ns()
    for _ in range(rounds):
        action()
    elapsed_ns = time.process_time_ns() - start_ns
    return round(elapsed_ns / rounds / _NS_PER_US, 2)


class HeartbeatExchange:
    """Exchanges heartbeats and promises between a member and its granters."""

    def __init__(self, *, state: ownership.State) -> None:
        lease = settings.Lease()
        member = next(iter(state.members.values()))
        self._now_ms = 1_000
        self._step_ms = lease.heartbeat_ms
        self._granters = {
            granter_id: granter.Granter(member_id=granter_id, lease=lease)
            for granter_id in member.granters
        }
        self.holder = holder.Holder(
            member_id=member.member_id,
            granters=member.granters,
            granters_epoch=member.granters_epoch,
            lease=lease,
        )
        for lease_granter in self._granters.values():
            lease_granter.follow_state(state=state, now_ms=self._now_ms)

    def exchange(self) -> None:
        """Sends the heartbeats that are due and processes the promises."""
        self._now_ms += self._step_ms
        due = self.holder.list_heartbeats(
            now_ms=self._now_ms, revisions=_REVISIONS
        )
        for granter_id, heartbeat in due:
            lease_granter = self._granters[granter_id]
            lease_granter.confirm_membership(as_of_ms=self._now_ms)
            promise = lease_granter.handle_heartbeat(
                heartbeat=heartbeat, now_ms=self._now_ms, revisions=_REVISIONS
            )
            self.holder.record_promise(promise=promise, now_ms=self._now_ms)

    def is_held(self) -> bool:
        """Returns whether the lease is held; if not, results are invalid."""
        return self.holder.is_held(now_ms=self._now_ms)


def measure_size(member_count: int, domain_count: int) -> dict[str, object]:
    """Measures all decisions in a system of one size."""
    state = make_state(member_count, domain_count)
    member = next(iter(state.members.values()))
    lease = settings.Lease()
    heartbeats = HeartbeatExchange(state=state)
    round_us = measure(heartbeats.exchange, _PAIR_ROUNDS)
    assert heartbeats.is_held()
    lease_granter = granter.Granter(member_id=member.member_id, lease=lease)
    lease_evictor = evictor.Evictor(member_id=member.member_id, lease=lease)
    lease_granter.follow_state(state=state, now_ms=0)
    lease_evictor.follow_state(state=state, now_ms=0)
    return {
        "members": member_count,
        "pair_us": round(round_us / len(member.granters), 2),
        "list_lapses_us": measure(
            lambda: lease_granter.list_lapses(now_ms=0), _PAIR_ROUNDS
        ),
        "list_evictions_us": measure(
            lambda: lease_evictor.list_evictions(
                now_ms=0, settle_ms=lambda _: 0
            ),
            _PAIR_ROUNDS,
        ),
        "granter_follow_state_us": measure(
            lambda: lease_granter.follow_state(state=state, now_ms=0),
            _STATE_ROUNDS,
        ),
        "taker_follow_state_us": measure(
            lambda: lease_evictor.follow_state(state=state, now_ms=0),
            _STATE_ROUNDS,
        ),
        "improve_granters_us": measure(
            lambda: selection.improve_granters(
                state=state, member=member, silent=frozenset()
            ),
            _STATE_ROUNDS,
        ),
        "choose_granters_us": measure(
            lambda: selection.choose_granters(state=state, member=member),
            _STATE_ROUNDS,
        ),
        "rank_takers_us": measure(
            lambda: selection.rank_evictors(state=state, member=member),
            _STATE_ROUNDS,
        ),
    }


if __name__ == "__main__":
    print(json.dumps([measure_size(*size) for size in _SIZES], indent=2))
