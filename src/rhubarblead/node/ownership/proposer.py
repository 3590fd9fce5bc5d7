"""Derives a node's next write to the ownership row and tracks its outcome."""

import random
import secrets

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead import tables as tables_lib
from rhubarblead.assignment import handover
from rhubarblead.node.ownership import member_session as sessions
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import proposals
from rhubarblead.node.ownership import state_cache as state_caches
from rhubarblead.node.ownership import writing
from rhubarblead.node.requests import gate

_WRITE_ID_BYTES = 12
_GRANTER_SILENCE_MS = 3_000


class Proposer:
    """Derives the next write to the ownership row from the newest state.

    `session` is None while the node is not a member. `is_upstream_serving`
    tells whether the upstream serves, `is_draining` whether an operator has
    asked the node to stop.
    """

    __slots__ = (
        "_backoff",
        "_gate",
        "_has_started_leaving",
        "_is_forced_to_leave",
        "_joining_member",
        "_node",
        "_pending_plan",
        "_grants_end_ms",
        "is_draining",
        "is_upstream_serving",
        "session",
    )

    def __init__(
        self,
        *,
        node: settings.Settings,
        shard_gate: gate.ShardGate,
        rng: random.Random | None = None,
    ) -> None:
        """Creates the proposer of a node that is not a member.

        Args:
            node: The node's settings.
            shard_gate: Tells which shards admit requests.
            rng: Randomizes the delay after a write conflict; seeded with the
                instance name by default.
        """
        self._node = node
        self._backoff = writing.ConflictBackoff(
            rng=rng or random.Random(node.instance)
        )
        self._has_started_leaving = False
        self._gate = shard_gate
        self._joining_member: membership.Member | None = None
        self._pending_plan: planning.PlanResult | None = None
        self.session: sessions.MemberSession | None = None
        self._grants_end_ms: int | None = None
        self._is_forced_to_leave = False
        self.is_upstream_serving = False
        self.is_draining = False

    def is_leaving(self, cache: state_caches.StateCache) -> bool:
        """Tells whether the node should end its current membership."""
        if self.session is None:
            return False
        record = cache.state.members.get(self.session.member_id)
        pool = cache.tables.find_pool_of(self._node.instance)
        is_moved = record is not None and (
            pool is None or pool.name != record.pool
        )
        # Shards closed for leaving reopen only under a new member id.
        must_leave = self._is_forced_to_leave or self._has_started_leaving
        is_unfit = must_leave or not self.is_upstream_serving
        return self.is_draining or is_unfit or is_moved

    def begin_forced_leave(self, *, grants_end_ms: int | None) -> None:
        """Makes the member leave, because its upstream stopped responding.

        The member leaves even if the upstream recovers in the meantime:
        requests sent to it before must not take effect under an extended
        grant.

        Args:
            grants_end_ms: When the last grant given to the upstream ends; None
                if the upstream does not check grants.
        """
        if self.session is None or self._is_forced_to_leave:
            return
        self._is_forced_to_leave = True
        self._grants_end_ms = grants_end_ms

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Applies the newest state; starts or ends the member session.

        Args:
            state: The newest state.
            now_ms: The monotonic time.
        """
        joining_member = self._joining_member
        if (
            joining_member is not None
            and joining_member.member_id in state.members
        ):
            self._begin_session(state.members[joining_member.member_id])
        session = self.session
        if session is None:
            return
        session.follow_state(state=state, now_ms=now_ms)
        if session.member_id not in state.members:
            self.session = None
            self._is_forced_to_leave = False
            self._has_started_leaving = False
            self._grants_end_ms = None
            self._gate.replace(None)
            return
        self._gate.call_with_handover(
            lambda shard_handover: shard_handover.follow_state(
                state=state, now_ms=now_ms
            )
        )

    def record_plan(self, planned: planning.PlanResult) -> None:
        """Stores a plan, which is proposed if its state is still the newest."""
        self._pending_plan = planned

    def list_planned_pools(self, state: ownership.State) -> list[str]:
        """Lists the keyed pools whose assignments this member plans."""
        session = self.session
        if session is None:
            return []
        return [
            name
            for name in sorted(state.assignments)
            if proposals.is_planner(
                state=state, member_id=session.member_id, pool_name=name
            )
        ]

    def find_proposal(
        self, *, cache: state_caches.StateCache, now_ms: int
    ) -> writing.Proposal | None:
        """Finds the most urgent write.

        Args:
            cache: The newest known state and tables.
            now_ms: The monotonic time.

        Returns:
            A proposal based on the newest state; None if nothing has to change.
        """
        if self.session is None:
            return self._propose_join(cache, now_ms)
        return (
            self._propose_evictions(cache, self.session, now_ms)
            or self._propose_granters(cache, self.session, now_ms)
            or self._propose_release(cache, self.session, now_ms)
            or self._propose_plan(cache, now_ms)
        )

    def begin(self, proposal: writing.Proposal) -> None:
        """Prepares for sending a proposal."""
        if self.session is None:
            return
        for change in proposal.changes:
            match change:
                case membership.GrantersChanged(member_id=member_id) if (
                    member_id == self.session.member_id
                ):
                    self.session.begin_granters_change(change)
                case membership.MemberLeft():
                    # While its own lease lasts, the member would otherwise
                    # keep granting promises after it has left.
                    self.session.granter.retire()
        moves = _list_released(proposal)
        if moves:
            self._gate.call_with_handover(
                lambda shard_handover: shard_handover.mark_committing(
                    moves=moves
                )
            )

    def end(
        self, proposal: writing.Proposal, *, is_committed: bool, now_ms: int
    ) -> None:
        """Records the outcome of a proposal.

        Args:
            proposal: The proposal that was sent.
            is_committed: Whether it took effect; if False, it never will.
            now_ms: The monotonic time.
        """
        if is_committed:
            self._backoff.record_success(proposal.purpose)
        else:
            self._backoff.record_conflict(proposal.purpose, now_ms)
        if proposal.purpose is writing.Purpose.JOIN and not is_committed:
            self._joining_member = None
        if self.session is None:
            return
        if not is_committed and _is_changing_granters(
            proposal, self.session.member_id
        ):
            self.session.holder.abandon_change()
        if not is_committed:
            self.session.granter.reinstate()
        moves = _list_released(proposal)
        outcome = (
            handover.Outcome.DONE if is_committed else handover.Outcome.NOT_DONE
        )
        if moves:
            self._gate.call_with_handover(
                lambda shard_handover: shard_handover.resolve(
                    moves=moves, outcome=outcome, now_ms=now_ms
                )
            )

    def _begin_session(self, member: membership.Member) -> None:
        self._joining_member = None
        self.session = sessions.MemberSession(
            member=member, lease=self._node.lease
        )
        self._gate.replace(
            handover.Handover(
                member_id=member.member_id,
                limits=self._node.limits,
            )
        )

    def _propose_join(
        self, cache: state_caches.StateCache, now_ms: int
    ) -> writing.Proposal | None:
        if not self._backoff.is_due(writing.Purpose.JOIN, now_ms):
            return None
        pool = cache.tables.find_pool_of(self._node.instance)
        if pool is None or not self.is_upstream_serving or self.is_draining:
            return None
        self._joining_member = sessions.make_member(
            self._node, pool=pool.name, state=cache.state
        )
        return _propose(
            writing.Purpose.JOIN,
            cache,
            proposals.propose_join(
                state=cache.state, pool=pool, member=self._joining_member
            ),
        )

    def _propose_evictions(
        self,
        cache: state_caches.StateCache,
        session: sessions.MemberSession,
        now_ms: int,
    ) -> writing.Proposal | None:
        tables = cache.tables
        evictions = session.evictor.list_evictions(
            now_ms=now_ms,
            settle_ms=lambda member: _find_settle_ms(tables, member),
        )
        if not evictions:
            return None
        return _propose(
            writing.Purpose.EVICT,
            cache,
            proposals.propose_evictions(
                state=cache.state,
                tables=tables,
                evictions=evictions,
                suspects=session.evictor.list_suspects(),
            ),
        )

    def _propose_granters(
        self,
        cache: state_caches.StateCache,
        session: sessions.MemberSession,
        now_ms: int,
    ) -> writing.Proposal | None:
        is_urgent = session.is_short_of_granters(
            state=cache.state,
            now_ms=now_ms,
            silence_ms=_GRANTER_SILENCE_MS,
        )
        if not is_urgent and not self._backoff.is_due(
            writing.Purpose.GRANTERS, now_ms
        ):
            return None
        missing = session.evictor.list_missing_granters(now_ms=now_ms)
        changes: tuple[membership.Change, ...] = tuple(missing)
        if not changes:
            change = session.find_granters_change(
                state=cache.state,
                now_ms=now_ms,
                silence_ms=_GRANTER_SILENCE_MS,
            )
            changes = (change,) if change else ()
        return _propose(writing.Purpose.GRANTERS, cache, changes)

    def _propose_release(
        self,
        cache: state_caches.StateCache,
        session: sessions.MemberSession,
        now_ms: int,
    ) -> writing.Proposal | None:
        if self.is_leaving(cache):
            self._has_started_leaving = True
            grants_end_ms = self._grants_end_ms
            self._gate.call_with_handover(
                lambda shard_handover: shard_handover.begin_leaving(
                    grants_end_ms=grants_end_ms
                )
            )
        ready = self._gate.call_with_handover(
            lambda shard_handover: shard_handover.list_ready(now_ms)
        )
        if self.is_leaving(cache):
            changes = proposals.propose_leave(
                state=cache.state,
                tables=cache.tables,
                member_id=session.member_id,
                shards=frozenset(move.shard for move in ready or ()),
            )
        else:
            changes = proposals.propose_release(
                state=cache.state,
                member_id=session.member_id,
                moves=tuple(ready or ()),
            )
        return _propose(writing.Purpose.RELEASE, cache, changes)

    def _propose_plan(
        self, cache: state_caches.StateCache, now_ms: int
    ) -> writing.Proposal | None:
        if not self._backoff.is_due(writing.Purpose.PLAN, now_ms):
            return None
        planned, self._pending_plan = self._pending_plan, None
        if planned is None or planned.state is not cache.state:
            return None
        return _propose(writing.Purpose.PLAN, cache, planned.changes)


def _propose(
    purpose: writing.Purpose,
    cache: state_caches.StateCache,
    changes: tuple[membership.Change, ...],
) -> writing.Proposal | None:
    if not changes:
        return None
    return writing.Proposal(
        write_id=secrets.token_hex(_WRITE_ID_BYTES),
        purpose=purpose,
        state=cache.state,
        changes=changes,
    )


def _is_changing_granters(proposal: writing.Proposal, member_id: str) -> bool:
    """Tells whether a proposal changes a member's granters."""
    return any(
        isinstance(change, membership.GrantersChanged)
        and change.member_id == member_id
        for change in proposal.changes
    )


def _list_released(
    proposal: writing.Proposal,
) -> tuple[membership.ShardMove, ...]:
    if proposal.purpose is not writing.Purpose.RELEASE:
        return ()
    return tuple(
        move
        for change in proposal.changes
        if isinstance(change, membership.ShardsMoved)
        for move in change.moves
    )


def _find_settle_ms(
    tables: tables_lib.Tables, member: membership.Member
) -> int:
    pool = tables.find_pool(member.pool)
    if pool is None or pool.is_fenced or pool.kind == "balanced":
        return 0
    return pool.settle_ms
