"""Jobs that plan shard assignments outside the control thread."""

from collections.abc import Callable
import dataclasses

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import tables as tables_lib
from rhubarblead.node import jobs
from rhubarblead.node.ownership import proposals

_CHANGED_INTERVAL_MS = 250
_UNCHANGED_INTERVAL_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlanResult:
    """The plan for one pool, based on one state; may have no changes."""

    pool: str
    state: ownership.State
    changes: tuple[membership.Change, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class _LastPlan:
    """The inputs and the time of the last plan for a pool."""

    revision: int
    tables: tables_lib.Tables
    at_ms: int


class PlanJobs:
    """Runs at most one plan at a time, and only if its inputs may differ."""

    __slots__ = ("_is_running", "_last", "_post", "_runner")

    def __init__(
        self,
        *,
        runner: jobs.JobRunner,
        post: Callable[[PlanResult], None],
    ) -> None:
        self._runner = runner
        self._post = post
        self._last: dict[str, _LastPlan] = {}
        self._is_running = False

    def is_due(
        self,
        *,
        pool: str,
        state: ownership.State,
        tables: tables_lib.Tables,
        now_ms: int,
    ) -> bool:
        """Tells whether a plan for a pool is due.

        Args:
            pool: The pool.
            state: The newest state.
            tables: The tables in force.
            now_ms: The monotonic time.

        Returns:
            True if no plan is running and either the state or the tables have
            changed since the last one, or it is old enough for the loads to
            have changed.
        """
        if self._is_running:
            return False
        last = self._last.get(pool)
        if last is None:
            return True
        passed_ms = now_ms - last.at_ms
        is_same = last.revision == state.revision and last.tables is tables
        return passed_ms >= (
            _UNCHANGED_INTERVAL_MS if is_same else _CHANGED_INTERVAL_MS
        )

    def start(
        self,
        *,
        pool: str,
        state: ownership.State,
        tables: tables_lib.Tables,
        loads: dict[int, float],
        now_ms: int,
    ) -> None:
        """Starts a plan, whose result is posted."""
        self._is_running = True
        self._last[pool] = _LastPlan(
            revision=state.revision, tables=tables, at_ms=now_ms
        )
        self._runner.submit(
            lambda: self._plan(pool, state, tables, loads),
            lambda _: self._post(
                PlanResult(pool=pool, state=state, changes=())
            ),
        )

    def end(self) -> None:
        """Records that the posted result was received."""
        self._is_running = False

    def _plan(
        self,
        pool: str,
        state: ownership.State,
        tables: tables_lib.Tables,
        loads: dict[int, float],
    ) -> None:
        changes = proposals.propose_assignment(
            state=state, tables=tables, pool_name=pool, loads=loads
        )
        self._post(PlanResult(pool=pool, state=state, changes=changes))
