"""Selects a server of a balanced pool for each request."""

from collections.abc import Iterator
import contextlib
import random
import threading

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import refusal as refusals
from rhubarblead import tables as tables_lib
from rhubarblead.node import view as views
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.requests import balance

_SHEDDING = frozenset({refusals.Refusal.SHED, refusals.Refusal.OVERLOADED})
_FAILING = frozenset(
    {
        refusals.Refusal.POOL_DOWN,
        refusals.Refusal.DRAINING,
        refusals.Refusal.DEADLINE,
        refusals.Refusal.PEER_LOST,
        refusals.Refusal.UPSTREAM_FAILED,
        refusals.Refusal.ANSWER_BROKEN,
    }
)


class Observation:
    """The outcome of one request at one server, if there is one yet."""

    __slots__ = ("outcome",)

    def __init__(self) -> None:
        self.outcome: outcomes.Outcome | None = None

    def record(self, outcome: outcomes.Outcome) -> None:
        """Records the outcome."""
        self.outcome = outcome

    @property
    def balance_outcome(self) -> balance.Outcome:
        """How the request ended, as the balancer classifies it."""
        if self.outcome is None:
            return balance.Outcome.CANCELLED
        if self.outcome.refusal is None:
            return balance.Outcome.ANSWERED
        if self.outcome.refusal in _SHEDDING:
            return balance.Outcome.SHED
        if self.outcome.refusal in _FAILING:
            return balance.Outcome.FAILED
        return balance.Outcome.CANCELLED


class ServerSelector:
    """A thread-safe balancer for all balanced pools."""

    __slots__ = ("_balancer", "_lock", "_members_by_pool")

    def __init__(self, *, generator: random.Random) -> None:
        self._balancer = balance.Balancer(random_source=generator)
        self._lock = threading.Lock()
        self._members_by_pool: dict[str, frozenset[str]] = {}

    def choose(
        self, *, view: views.View, pool: tables_lib.Pool, excluded: set[str]
    ) -> membership.Member | None:
        """Chooses the member whose upstream is to run a request.

        Args:
            view: The view with the members of the pool.
            pool: The balanced pool.
            excluded: The IDs of members that were already tried.

        Returns:
            A member; None when none is left, or all of them shed load.
        """
        members = {
            member.member_id: member
            for member in view.state.list_pool_members(pool.name)
            if pool.matches(member.instance)
        }
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            self._update_members(pool, frozenset(members), now_ms)
            chosen = self._balancer.choose(
                [name for name in members if name not in excluded], now_ms
            )
        return members[chosen] if chosen else None

    @contextlib.contextmanager
    def observe(self, member: membership.Member) -> Iterator[Observation]:
        """Counts a request as in progress at a member, and records its end."""
        name = member.member_id
        observation = Observation()
        began_ms = clock.read_monotonic_ms()
        with self._lock:
            self._balancer.begin(name, began_ms)
        try:
            yield observation
        finally:
            now_ms = clock.read_monotonic_ms()
            outcome = observation.outcome
            with self._lock:
                self._balancer.finish(
                    name,
                    outcome=observation.balance_outcome,
                    latency_ms=now_ms - began_ms,
                    now_ms=now_ms,
                    retry_after_ms=outcome.retry_after_ms if outcome else 0,
                )
                if outcome is not None and outcome.slots_count:
                    self._balancer.record_report(
                        name,
                        in_flight=outcome.in_flight_count,
                        slots=outcome.slots_count,
                        now_ms=now_ms,
                    )

    def _update_members(
        self, pool: tables_lib.Pool, members: frozenset[str], now_ms: int
    ) -> None:
        """Starts the cold-start period of members that have joined."""
        previous = self._members_by_pool.get(pool.name)
        if previous == members:
            return
        self._members_by_pool[pool.name] = members
        if previous is None:
            return
        for member_id in members - previous:
            self._balancer.record_start(
                member_id, cold_start_ms=pool.cold_start_ms, now_ms=now_ms
            )
        known = frozenset().union(*self._members_by_pool.values())
        self._balancer.retain(sorted(known))
