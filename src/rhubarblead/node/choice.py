"""Chooses the server of a balanced pool for a request."""

from collections.abc import Iterator
import contextlib
import random
import threading

from rhubarblead import membership
from rhubarblead import tables as tables_lib
from rhubarblead.node import outcome as outcomes
from rhubarblead.node import view as views

_CHOICES = 2


class ServerChoice:
    """Chooses the less busy of two random servers, by own requests."""

    __slots__ = ("_in_flight", "_lock", "_random")

    def __init__(self, *, generator: random.Random) -> None:
        self._in_flight: dict[str, int] = {}
        self._lock = threading.Lock()
        self._random = generator

    def choose(
        self, *, view: views.View, pool: tables_lib.Pool, excluded: set[str]
    ) -> membership.Member | None:
        """Chooses a member whose upstream should run a request.

        Args:
            view: The members.
            pool: The balanced pool.
            excluded: Members that were tried.

        Returns:
            A member; None when there is none left.
        """
        able = [
            member
            for member in view.state.list_pool(pool.name)
            if member.member_id not in excluded
            and pool.is_naming(member.instance)
        ]
        if not able:
            return None
        with self._lock:
            drawn = self._random.sample(able, min(_CHOICES, len(able)))
            return min(drawn, key=lambda m: self._in_flight.get(m.member_id, 0))

    @contextlib.contextmanager
    def observe(self, member: membership.Member) -> Iterator["Observation"]:
        """Counts a request in progress at a member."""
        self._add(member.member_id, 1)
        try:
            yield Observation()
        finally:
            self._add(member.member_id, -1)

    def _add(self, member_id: str, change: int) -> None:
        with self._lock:
            count = self._in_flight.get(member_id, 0) + change
            if count:
                self._in_flight[member_id] = count
            else:
                self._in_flight.pop(member_id, None)


class Observation:
    """Takes the outcome of one request at one server."""

    __slots__ = ()

    def take(self, outcome: outcomes.Outcome) -> None:
        """Takes the outcome."""
        del outcome
