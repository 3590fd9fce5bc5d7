"""Handover of shards to other members without interrupting requests."""

from collections.abc import Iterable
import dataclasses
import enum

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.charts import chart

_MAX_CLOSED_COUNT = 1_024
_MAX_BACKOFF_FACTOR = 16

_CHART = chart.load_chart("shard")


class Outcome(enum.Enum):
    """Known result of a transaction that releases shards."""

    DONE = "done"
    NOT_DONE = "not_done"
    IN_DOUBT = "in_doubt"


@dataclasses.dataclass(slots=True, kw_only=True)
class _ClosedShard:
    """A shard that admits no new requests because it is being handed over."""

    phase: str
    fence: int
    deadline_ms: int

    def apply_event(self, event: str) -> None:
        """Moves to the phase that the shard state chart gives for an event."""
        self.phase = _CHART.follow(self.phase, event)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Backoff:
    """When a handover that was given up may be retried."""

    factor: int
    retry_at_ms: int


class Handover:
    """Tracks which shards of one member admit requests or may be released.

    Not thread-safe: the caller serialises all calls. Of the methods, only
    `begin_request` and `end_request` are called on the request path.
    """

    __slots__ = (
        "_backoffs",
        "_closed_shards",
        "_drain_ms",
        "_fences",
        "_is_leaving",
        "_member_id",
        "_revision",
        "_running_counts",
        "_targets",
        "_grants_end_ms",
    )

    def __init__(self, *, member_id: str, limits: settings.Limits) -> None:
        self._member_id = member_id
        self._drain_ms = limits.drain_ms
        self._is_leaving = False
        self._grants_end_ms: int | None = None
        self._revision = 0
        self._fences: dict[int, int] = {}
        self._targets: dict[int, str] = {}
        self._closed_shards: dict[int, _ClosedShard] = {}
        self._backoffs: dict[int, _Backoff] = {}
        self._running_counts: dict[int, int] = {}

    def begin_leaving(self, *, grants_end_ms: int | None = None) -> None:
        """Marks every shard that this member owns for release.

        A shard without a target owner is released to nobody; the committer
        of the release may set an owner for it.

        Args:
            grants_end_ms: The time from which requests in progress can no
                longer take effect, because the upstream rejects their grants.
                Their shards may be released from then on. None if unknown.
        """
        self._grants_end_ms = grants_end_ms
        if self._is_leaving:
            return
        self._is_leaving = True
        self._add_leaving_targets()

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Updates the owned shards and their target owners from a state.

        Args:
            state: The newest state; a state older than the last is ignored.
            now_ms: The current time.
        """
        del now_ms
        if state.revision < self._revision:
            return
        self._revision = state.revision
        self._fences = self._find_fences(state)
        self._targets = self._find_targets(state)
        self._add_leaving_targets()
        for shard, closed_shard in list(self._closed_shards.items()):
            self._follow_shard(shard, closed_shard)
        self._backoffs = {
            shard: backoff
            for shard, backoff in self._backoffs.items()
            if shard in self._targets
        }

    def is_admitting(self, shard: int) -> bool:
        """Returns whether a shard admits new requests while the lease holds."""
        return shard in self._fences and shard not in self._closed_shards

    def begin_request(self, shard: int) -> bool:
        """Counts a request as running if its shard admits new requests.

        Args:
            shard: The shard of the request's key.

        Returns:
            Whether the request may run. If so, the caller must call
            `end_request` when it ends.
        """
        if shard in self._closed_shards or shard not in self._fences:
            return False
        self._running_counts[shard] = self._running_counts.get(shard, 0) + 1
        return True

    def end_request(self, shard: int) -> None:
        """Removes an ended request from the count of running requests."""
        count = self._running_counts[shard] - 1
        if count:
            self._running_counts[shard] = count
        else:
            del self._running_counts[shard]

    def list_ready(self, now_ms: int) -> tuple[membership.ShardMove, ...]:
        """Closes shards that have a target owner and lists the drained ones.

        A shard whose release has not been sent within `drain_ms` is reopened.
        It is closed again after a delay of `drain_ms`, which doubles with each
        further attempt up to `_MAX_BACKOFF_FACTOR` times `drain_ms`.

        Args:
            now_ms: The current time.

        Returns:
            Moves to commit in one transaction, after a call of
            `mark_committing`.
        """
        self._reopen_overdue(now_ms)
        self._close_wanted(now_ms)
        return tuple(
            membership.ShardMove(shard=shard, owner=self._targets[shard])
            for shard, closed_shard in sorted(self._closed_shards.items())
            if closed_shard.phase == "draining"
            and (
                shard not in self._running_counts
                or self._have_grants_ended(now_ms)
            )
        )

    def mark_committing(self, *, moves: Iterable[membership.ShardMove]) -> None:
        """Records that the transaction with these moves is being sent.

        Args:
            moves: What `list_ready` returned.

        Raises:
            chart.InvalidTransition: A shard is not draining, for instance
                because its release is already being committed.
        """
        for move in moves:
            self._closed_shards[move.shard].apply_event("commit")

    def resolve(
        self,
        *,
        moves: Iterable[membership.ShardMove],
        outcome: Outcome,
        now_ms: int,
    ) -> None:
        """Records the outcome of a transaction.

        Shards whose outcome is in doubt stay closed. Shards that were
        definitely not moved can be released again, or are reopened if they no
        longer have a target owner.

        Args:
            moves: The moves passed to `mark_committing`.
            outcome: The outcome as far as it is known.
            now_ms: The current time.
        """
        del now_ms
        for move in moves:
            closed_shard = self._closed_shards.get(move.shard)
            if closed_shard is None or closed_shard.phase != "committing":
                continue
            closed_shard.apply_event(outcome.value)
            if move.shard not in self._targets:
                self._reopen_unwanted(move.shard, closed_shard)

    def count_running(self) -> int:
        """Returns the number of running requests."""
        return sum(self._running_counts.values())

    def has_shards(self) -> bool:
        """Returns whether this member owns shards that are not yet released."""
        return any(
            closed_shard is None or closed_shard.phase != "released"
            for closed_shard in map(self._closed_shards.get, self._fences)
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

    def _follow_shard(self, shard: int, closed_shard: _ClosedShard) -> None:
        fence = self._fences.get(shard)
        if fence is None or fence > closed_shard.fence:
            del self._closed_shards[shard]
            return
        if shard not in self._targets:
            self._reopen_unwanted(shard, closed_shard)

    def _reopen_unwanted(self, shard: int, closed_shard: _ClosedShard) -> None:
        if closed_shard.phase == "draining":
            closed_shard.apply_event("reopen")
            del self._closed_shards[shard]

    def _have_grants_ended(self, now_ms: int) -> bool:
        return self._grants_end_ms is not None and now_ms >= self._grants_end_ms

    def _reopen_overdue(self, now_ms: int) -> None:
        for shard, closed_shard in list(self._closed_shards.items()):
            if (
                closed_shard.phase != "draining"
                or now_ms < closed_shard.deadline_ms
            ):
                continue
            closed_shard.apply_event("reopen")
            del self._closed_shards[shard]
            before = self._backoffs.get(shard)
            factor = (
                min(before.factor * 2, _MAX_BACKOFF_FACTOR) if before else 1
            )
            self._backoffs[shard] = _Backoff(
                factor=factor, retry_at_ms=now_ms + factor * self._drain_ms
            )

    def _close_wanted(self, now_ms: int) -> None:
        free_count = _MAX_CLOSED_COUNT - len(self._closed_shards)
        for shard in self._targets:
            if free_count <= 0:
                return
            if shard in self._closed_shards or self._is_backing_off(
                shard, now_ms
            ):
                continue
            closed_shard = _ClosedShard(
                phase=_CHART.initial,
                fence=self._fences[shard],
                deadline_ms=now_ms + self._drain_ms,
            )
            closed_shard.apply_event("close")
            self._closed_shards[shard] = closed_shard
            free_count -= 1

    def _is_backing_off(self, shard: int, now_ms: int) -> bool:
        backoff = self._backoffs.get(shard)
        return backoff is not None and now_ms < backoff.retry_at_ms
