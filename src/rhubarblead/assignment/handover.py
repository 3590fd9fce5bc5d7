"""Handing shards over to other members without cutting off a request."""

from collections.abc import Iterable
import dataclasses
import enum

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.charts import chart

_BATCH_COUNT = 1_024
_MAX_BACKOFF_FACTOR = 16

_CHART = chart.load_chart("shard")


class Outcome(enum.Enum):
    """What is known of a transaction that releases shards."""

    DONE = "done"
    NOT_DONE = "not_done"
    IN_DOUBT = "in_doubt"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Closing:
    """One shard that admits no requests."""

    phase: str
    fence: int
    deadline_ms: int

    def take(self, event: str) -> None:
        """Follows the chart of shards."""
        self.phase = _CHART.follow(self.phase, event)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Backoff:
    """When a handover that was given up may be tried again."""

    factor: int
    retry_at_ms: int


class Handover:
    """Which shards of one member admit requests, and which may be released.

    The caller serialises all calls. `begin_request` and `end_request` are the
    only ones on the path of a request.
    """

    __slots__ = (
        "_backoffs",
        "_closings",
        "_drain_ms",
        "_fences",
        "_is_leaving",
        "_member_id",
        "_revision",
        "_running",
        "_targets",
        "_void_at_ms",
    )

    def __init__(self, *, member_id: str, limits: settings.Limits) -> None:
        self._member_id = member_id
        self._drain_ms = limits.drain_ms
        self._is_leaving = False
        self._void_at_ms: int | None = None
        self._revision = 0
        self._fences: dict[int, int] = {}
        self._targets: dict[int, str] = {}
        self._closings: dict[int, _Closing] = {}
        self._backoffs: dict[int, _Backoff] = {}
        self._running: dict[int, int] = {}

    def begin_leaving(self, *, void_at_ms: int | None = None) -> None:
        """Closes every shard that this member owns.

        A shard that no member is to have is released to nobody; whoever
        commits the release may name an owner for it.

        Args:
            void_at_ms: From when on requests in progress can't take effect
                any more, as the upstream refuses what they were granted; their
                shards are ready then. None where that is not known.
        """
        self._void_at_ms = void_at_ms
        if self._is_leaving:
            return
        self._is_leaving = True
        self._add_leaving_targets()

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Follows which shards this member owns, and who is to have them.

        Args:
            state: The newest state; an older one than before is ignored.
            now_ms: The current time.
        """
        del now_ms
        if state.revision < self._revision:
            return
        self._revision = state.revision
        self._fences = self._find_fences(state)
        self._targets = self._find_targets(state)
        self._add_leaving_targets()
        for shard, closing in list(self._closings.items()):
            self._follow_shard(shard, closing)
        self._backoffs = {
            shard: backoff
            for shard, backoff in self._backoffs.items()
            if shard in self._targets
        }

    def is_admitting(self, shard: int) -> bool:
        """Tells whether requests for a shard may begin, if the lease holds."""
        return shard in self._fences and shard not in self._closings

    def begin_request(self, shard: int) -> bool:
        """Counts a request as running, if its shard admits it.

        Args:
            shard: The shard of the request's key.

        Returns:
            Whether the request may run; only then `end_request` must follow.
        """
        if shard in self._closings or shard not in self._fences:
            return False
        self._running[shard] = self._running.get(shard, 0) + 1
        return True

    def end_request(self, shard: int) -> None:
        """Counts a request as ended."""
        count = self._running[shard] - 1
        if count:
            self._running[shard] = count
        else:
            del self._running[shard]

    def list_ready(self, now_ms: int) -> tuple[membership.ShardMove, ...]:
        """Closes shards that are wanted elsewhere, and lists the drained ones.

        A shard that was closed for `drain_ms` without its release being under
        way is opened again, and closed again later.

        Args:
            now_ms: The current time.

        Returns:
            Moves to commit in one transaction, after `mark_committing`.
        """
        self._give_up(now_ms)
        self._close(now_ms)
        return tuple(
            membership.ShardMove(shard=shard, owner=self._targets[shard])
            for shard, closing in sorted(self._closings.items())
            if closing.phase == "draining"
            and (shard not in self._running or self._is_void(now_ms))
        )

    def mark_committing(self, *, moves: Iterable[membership.ShardMove]) -> None:
        """Takes note that the transaction with these moves is being sent.

        Args:
            moves: What `list_ready` returned.

        Raises:
            chart.CannotHappen: A shard is not drained, or already committing.
        """
        for move in moves:
            self._closings[move.shard].take("commit")

    def resolve(
        self,
        *,
        moves: Iterable[membership.ShardMove],
        outcome: Outcome,
        now_ms: int,
    ) -> None:
        """Takes note of what became of a transaction.

        Shards in doubt stay closed. Shards that were certainly not moved are
        ready again, or opened when nobody wants them any more.

        Args:
            moves: What `mark_committing` was called with.
            outcome: What is known.
            now_ms: The current time.
        """
        del now_ms
        for move in moves:
            closing = self._closings.get(move.shard)
            if closing is None or closing.phase != "committing":
                continue
            closing.take(outcome.value)
            if move.shard not in self._targets:
                self._reopen_unwanted(move.shard, closing)

    def count_running(self) -> int:
        """Counts the requests that run."""
        return sum(self._running.values())

    def has_shards(self) -> bool:
        """Tells whether this member still owns shards, or may do so."""
        return any(
            closing is None or closing.phase != "released"
            for closing in map(self._closings.get, self._fences)
        )

    def _find_fences(self, state: ownership.State) -> dict[int, int]:
        assignment = self._find_assignment(state)
        if assignment is None:
            return {}
        return {
            shard: assignment.fences[shard]
            for shard in assignment.list_shards(self._member_id)
        }

    def _find_targets(self, state: ownership.State) -> dict[int, str]:
        assignment = self._find_assignment(state)
        if assignment is None:
            return {}
        return {
            shard: target
            for shard, target in assignment.wanted.items()
            if shard in self._fences
            and target != self._member_id
            and target in state.members
        }

    def _add_leaving_targets(self) -> None:
        if not self._is_leaving:
            return
        for shard in self._fences:
            self._targets.setdefault(shard, ownership.NO_OWNER)

    def _find_assignment(
        self, state: ownership.State
    ) -> ownership.Assignment | None:
        member = state.members.get(self._member_id)
        if member is None:
            return None
        return state.assignments.get(member.pool)

    def _follow_shard(self, shard: int, closing: _Closing) -> None:
        fence = self._fences.get(shard)
        if fence is None or fence > closing.fence:
            del self._closings[shard]
            return
        if shard not in self._targets:
            self._reopen_unwanted(shard, closing)

    def _reopen_unwanted(self, shard: int, closing: _Closing) -> None:
        if closing.phase == "draining":
            closing.take("reopen")
            del self._closings[shard]

    def _is_void(self, now_ms: int) -> bool:
        return self._void_at_ms is not None and now_ms >= self._void_at_ms

    def _give_up(self, now_ms: int) -> None:
        for shard, closing in list(self._closings.items()):
            if closing.phase != "draining" or now_ms < closing.deadline_ms:
                continue
            closing.take("reopen")
            del self._closings[shard]
            before = self._backoffs.get(shard)
            factor = (
                min(before.factor * 2, _MAX_BACKOFF_FACTOR) if before else 1
            )
            self._backoffs[shard] = _Backoff(
                factor=factor, retry_at_ms=now_ms + factor * self._drain_ms
            )

    def _close(self, now_ms: int) -> None:
        free_count = _BATCH_COUNT - len(self._closings)
        for shard in self._targets:
            if free_count <= 0:
                return
            if shard in self._closings or self._is_backing_off(shard, now_ms):
                continue
            closing = _Closing(
                phase=_CHART.initial,
                fence=self._fences[shard],
                deadline_ms=now_ms + self._drain_ms,
            )
            closing.take("close")
            self._closings[shard] = closing
            free_count -= 1

    def _is_backing_off(self, shard: int, now_ms: int) -> bool:
        backoff = self._backoffs.get(shard)
        return backoff is not None and now_ms < backoff.retry_at_ms
