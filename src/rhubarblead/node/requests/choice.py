"""Chooses the server of a balanced pool for a request."""

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
    """The outcome of one request at one server, as far as it has come."""

    __slots__ = ("outcome",)

    def __init__(self) -> None:
        self.outcome: outcomes.Outcome | None = None

    def take(self, outcome: outcomes.Outcome) -> None:
        """Takes the outcome."""
        self.outcome = outcome

    @property
    def ending(self) -> balance.Ending:
        """How the request ended, as far as balance is concerned."""
        if self.outcome is None:
            return balance.Ending.CANCELLED
        if self.outcome.refusal is None:
            return balance.Ending.ANSWERED
        if self.outcome.refusal in _SHEDDING:
            return balance.Ending.SHED
        if self.outcome.refusal in _FAILING:
            return balance.Ending.FAILED
        return balance.Ending.CANCELLED


class ServerChoice:
    """A balancer for all balanced pools, called from many threads."""

    __slots__ = ("_balancer", "_lock", "_seen")

    def __init__(self, *, generator: random.Random) -> None:
        self._balancer = balance.Balancer(random_source=generator)
        self._lock = threading.Lock()
        self._seen: dict[str, frozenset[str]] = {}

    def choose(
        self, *, view: views.View, pool: tables_lib.Pool, excluded: set[str]
    ) -> membership.Member | None:
        """Chooses a member whose upstream should run a request.

        Args:
            view: The members.
            pool: The balanced pool.
            excluded: Members that were tried.

        Returns:
            A member; None when there is none left, or all shed load.
        """
        members = {
            member.member_id: member
            for member in view.state.list_pool_members(pool.name)
            if pool.matches(member.instance)
        }
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            self._follow(pool, frozenset(members), now_ms)
            chosen = self._balancer.choose(
                [name for name in members if name not in excluded], now_ms
            )
        return members[chosen] if chosen else None

    @contextlib.contextmanager
    def observe(self, member: membership.Member) -> Iterator[Observation]:
        """Counts a request in progress at a member, and notes its end."""
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
                    ending=observation.ending,
                    latency_ms=now_ms - began_ms,
                    now_ms=now_ms,
                    retry_after_ms=outcome.retry_after_ms if outcome else 0,
                )
                if outcome is not None and outcome.slots_count:
                    self._balancer.take_report(
                        name,
                        in_flight=outcome.in_flight_count,
                        slots=outcome.slots_count,
                        now_ms=now_ms,
                    )

    def _follow(
        self, pool: tables_lib.Pool, members: frozenset[str], now_ms: int
    ) -> None:
        """Lets members that joined later warm up."""
        seen = self._seen.get(pool.name)
        if seen == members:
            return
        self._seen[pool.name] = members
        if seen is None:
            return
        for member_id in members - seen:
            self._balancer.take_start(
                member_id, cold_start_ms=pool.cold_start_ms, now_ms=now_ms
            )
        known = frozenset().union(*self._seen.values())
        self._balancer.keep(sorted(known))
