"""A few members with their own clocks, and a store, all in memory.

Decisions are those of the package; the tasks around them, the network and the
store are the smallest that can delay, lose, repeat and reorder.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
from typing import TypeAlias

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.assignment import handover
from rhubarblead.assignment import planner
from rhubarblead.leases import granter
from rhubarblead.leases import holder
from rhubarblead.leases import selection
from rhubarblead.leases import taker
from tests.rhubarblead import fixtures

STORE = "store"
_STEP_MS = 20
_POLL_MS = 200
_RETRY_MS = 300


class TwoOwners(AssertionError):
    """Two members believe at once that they own a shard."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A transaction on its way to the store."""

    write_id: str
    expected_revision: int
    changes: tuple[membership.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """The store's answer to a transaction."""

    write_id: str
    is_done: bool
    state: ownership.State


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """A read of the store, with when it was sent."""

    sent_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WasRead:
    """The store's answer to a read; a push of news has `sent_at_ms` -1."""

    sent_at_ms: int
    state: ownership.State


Payload: TypeAlias = (
    Write
    | Written
    | Read
    | WasRead
    | messages.Heartbeat
    | messages.Promise
    | messages.LapseNotice
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The decisions that the members are made of."""

    make_holder: Callable[..., holder.Holder] = holder.Holder
    make_granter: Callable[..., granter.Granter] = granter.Granter
    make_taker: Callable[..., taker.Taker] = taker.Taker


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """A message on its way."""

    due_ms: float
    source: str
    target: str
    payload: Payload


class Store:
    """One row with compare-and-set."""

    def __init__(self) -> None:
        self.state = ownership.State()
        self._done: set[str] = set()

    def write(self, write: Write) -> bool:
        """Commits a transaction once; tells whether it took effect."""
        if write.write_id in self._done:
            return True
        if write.expected_revision != self.state.revision:
            return False
        entry = membership.Entry(
            revision=self.state.revision + 1,
            write_id=write.write_id,
            author="",
            written_at_ms=0,
            changes=write.changes,
        )
        before = self.state
        self.state = ownership.apply_entries(before, [entry])
        self._done.add(write.write_id)
        for name, assignment in before.assignments.items():
            fences = self.state.assignments[name].fences
            assert fences == list(map(max, assignment.fences, fences))
        return True


class Node:
    """One member: its decisions, its view, and its transaction in flight."""

    def __init__(
        self,
        *,
        member_id: str,
        state: ownership.State,
        now_ms: int,
        lease: settings.Lease,
        parts: Parts,
    ) -> None:
        record = state.members[member_id]
        self.member_id = member_id
        self.holder = parts.make_holder(
            member_id=member_id,
            granters=record.granters,
            granters_epoch=record.granters_epoch,
            lease=lease,
        )
        self.granter = parts.make_granter(member_id=member_id, lease=lease)
        self.taker = parts.make_taker(member_id=member_id, lease=lease)
        self.handover = handover.Handover(
            member_id=member_id, limits=settings.Limits(drain_ms=500)
        )
        self.view = ownership.State()
        self.outbox: list[tuple[str, Payload]] = []
        self.is_leaving = False
        self._patience_ms = lease.duration_ms
        self._write: Write | None = None
        self._moves: tuple[membership.ShardMove, ...] = ()
        self._write_count = 0
        self._settled_revision = -1
        self._sent_at_ms = now_ms
        self._read_at_ms = now_ms - _POLL_MS
        self._follow(state, now_ms)

    def believes(self, shard: int, now_ms: int) -> bool:
        """Tells whether this member would run a request for a shard now."""
        is_admitting = self.handover.is_admitting(shard)
        return is_admitting and self.is_serving(now_ms)

    def is_serving(self, now_ms: int) -> bool:
        """Tells whether this member would run requests now."""
        return not self.is_leaving and self.holder.is_held(now_ms=now_ms)

    def list_admitted(self, shards: Iterable[int]) -> list[int]:
        """Lists the shards of those given that admit requests."""
        is_admitting = self.handover.is_admitting
        return [shard for shard in shards if is_admitting(shard)]

    def leave(self, now_ms: int) -> None:
        """Stops to admit, and gives everything up."""
        self.is_leaving = True
        self.granter.retire()
        self._tick_store(now_ms)

    def tick(self, now_ms: int) -> None:
        """Does what is due."""
        if self.holder.is_held(now_ms=now_ms):
            self.granter.confirm_membership(as_of_ms=now_ms)
        self.outbox += self.holder.list_heartbeats(
            now_ms=now_ms, revisions=self._revisions()
        )
        for lapse in self.granter.list_lapses(
            now_ms=now_ms, own_lease_end_ms=self._find_own_end_ms()
        ):
            self.taker.take_lapse(lapse=lapse, now_ms=now_ms)
            self._send_all(lapse)
        self._tick_store(now_ms)

    def take(self, payload: Payload, now_ms: int) -> None:
        """Takes a message."""
        match payload:
            case messages.Heartbeat():
                promise = self.granter.take_heartbeat(
                    heartbeat=payload,
                    now_ms=now_ms,
                    revisions=self._revisions(),
                )
                self.outbox.append((payload.member_id, promise))
            case messages.Promise():
                self.holder.take_promise(promise=payload, now_ms=now_ms)
            case messages.LapseNotice():
                self.taker.take_lapse(lapse=payload, now_ms=now_ms)
            case WasRead():
                self._take_read(payload, now_ms)
            case Written():
                self._take_written(payload, now_ms)

    def _find_own_end_ms(self) -> int | None:
        if len(self.holder.granters) < selection.GRANTER_COUNT:
            return None
        return self.holder.find_lease_end_ms()

    def _take_read(self, answer: WasRead, now_ms: int) -> None:
        self._follow(answer.state, now_ms)
        record = answer.state.members.get(self.member_id)
        if answer.sent_at_ms < 0 or record is None:
            return
        self.granter.confirm_membership(as_of_ms=answer.sent_at_ms)
        if not record.granters:
            self.holder.confirm_by_store(read_sent_at_ms=answer.sent_at_ms)

    def _take_written(self, answer: Written, now_ms: int) -> None:
        if self._write is None or self._write.write_id != answer.write_id:
            return
        changes = self._write.changes
        self._write = None
        self._follow(answer.state, now_ms)
        is_own = any(
            isinstance(change, membership.GrantersChanged)
            and change.member_id == self.member_id
            for change in changes
        )
        if is_own and not answer.is_done:
            self.holder.abandon_change()
        done, not_done = handover.Outcome.DONE, handover.Outcome.NOT_DONE
        self.handover.resolve(
            moves=self._moves,
            outcome=done if answer.is_done else not_done,
            now_ms=now_ms,
        )
        self._moves = ()
        if answer.is_done:
            self._send_all(WasRead(sent_at_ms=-1, state=answer.state))

    def _follow(self, state: ownership.State, now_ms: int) -> None:
        if state.revision <= self.view.revision:
            return
        self.view = state
        self.granter.follow_state(state=state, now_ms=now_ms)
        self.taker.follow_state(state=state, now_ms=now_ms)
        self.handover.follow_state(state=state, now_ms=now_ms)
        self.holder.follow_record(record=state.members.get(self.member_id))

    def _tick_store(self, now_ms: int) -> None:
        if self.member_id not in self.view.members:
            return
        if now_ms - self._read_at_ms >= _POLL_MS:
            self._read_at_ms = now_ms
            self.outbox.append((STORE, Read(sent_at_ms=now_ms)))
        if self._write is None:
            self._begin(self._list_changes(now_ms))
        elif now_ms - self._sent_at_ms >= _RETRY_MS:
            self._sent_at_ms = now_ms
            self.outbox.append((STORE, self._write))

    def _begin(self, changes: tuple[membership.Change, ...]) -> None:
        if not changes:
            return
        self._write_count += 1
        self._write = Write(
            write_id=f"{self.member_id}/{self._write_count}",
            expected_revision=self.view.revision,
            changes=changes,
        )
        self.outbox.append((STORE, self._write))

    def _list_changes(self, now_ms: int) -> tuple[membership.Change, ...]:
        return (
            self._list_leave()
            or self._list_evictions(now_ms)
            or tuple(self.taker.list_missing_granters(now_ms=now_ms))
            or self._list_handover(now_ms)
            or self._list_granters(now_ms)
        )

    def _list_leave(self) -> tuple[membership.Change, ...]:
        if not self.is_leaving:
            return ()
        moves = self._plan(frozenset({self.member_id}))
        left = membership.MemberLeft(member_id=self.member_id)
        return (membership.ShardsMoved(pool=fixtures.POOL, moves=moves), left)

    def _list_evictions(self, now_ms: int) -> tuple[membership.Change, ...]:
        evictions = self.taker.list_evictions(
            now_ms=now_ms, settle_ms=lambda _: 0
        )
        if not evictions:
            return ()
        moves = self._plan(frozenset(e.member_id for e in evictions))
        moved = membership.ShardsMoved(pool=fixtures.POOL, moves=moves)
        return (moved, *evictions)

    def _plan(self, lost: frozenset[str]) -> tuple[membership.ShardMove, ...]:
        return planner.plan_takeover(
            state=self.view,
            pool=fixtures.POOL,
            lost=lost,
            eligible=tuple(self.view.members),
        )

    def _list_handover(self, now_ms: int) -> tuple[membership.Change, ...]:
        moves = self.handover.list_ready(now_ms)
        if not moves or not self.holder.is_held(now_ms=now_ms):
            return ()
        self._moves = moves
        self.handover.mark_committing(moves=moves)
        return (membership.ShardsMoved(pool=fixtures.POOL, moves=moves),)

    def _list_granters(self, now_ms: int) -> tuple[membership.Change, ...]:
        record = self.view.members[self.member_id]
        silent = self.holder.list_silent_granters(
            now_ms=now_ms, patience_ms=self._patience_ms
        )
        is_settled = self._settled_revision == self.view.revision
        if is_settled and not silent:
            return ()
        if not self.holder.may_change_granters(now_ms=now_ms):
            return ()
        granters = selection.improve_granters(
            state=self.view, member=record, silent=frozenset(silent)
        )
        if granters == record.granters:
            self._settled_revision = self.view.revision
            return ()
        epoch = self.holder.find_next_epoch()
        self.holder.change_granters(granters=granters, granters_epoch=epoch)
        return (
            membership.GrantersChanged(
                member_id=self.member_id,
                granters=granters,
                granters_epoch=epoch,
            ),
        )

    def _send_all(self, payload: Payload) -> None:
        self.outbox += [
            (member_id, payload)
            for member_id in self.view.members
            if member_id != self.member_id
        ]

    def _revisions(self) -> messages.Revisions:
        return messages.Revisions(ownership=self.view.revision, tables=0)


class World:
    """Members, store and network in true time; checks for two owners."""

    def __init__(
        self,
        *,
        seed: int,
        lease: settings.Lease,
        parts: Parts,
        shard_count: int,
    ) -> None:
        self.random = random.Random(seed)
        self.lease = lease
        self.parts = parts
        self.shard_count = shard_count
        self.now_ms = 0.0
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.paused: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.extra_ms: dict[tuple[str, str], float] = collections.defaultdict(
            float
        )
        self.chaos_per_mille = 0
        self.domains: dict[str, str] = {}
        self._clocks: dict[str, tuple[float, float]] = {}
        self._wires: list[Envelope] = []
        self._commit(
            membership.PoolSharded(pool=fixtures.POOL, shard_count=shard_count)
        )

    def join(self, member_id: str, failure_domain: str) -> None:
        """Adds a member with a clock of its own."""
        record = _make_record(self.store.state, member_id, failure_domain)
        self._commit(membership.MemberJoined(member=record))
        fastest = 1 + self.lease.drift_per_mille / 1_000
        self._clocks[member_id] = (
            self.random.uniform(0, 10_000),
            self.random.choice([1.0, fastest]),
        )
        self.domains[member_id] = failure_domain
        self.nodes[member_id] = Node(
            member_id=member_id,
            state=self.store.state,
            now_ms=self.read_clock(member_id),
            lease=self.lease,
            parts=self.parts,
        )

    def share_out(self) -> None:
        """Gives the shards that nobody owns to the members."""
        state = self.store.state
        moves = planner.plan_takeover(
            state=state,
            pool=fixtures.POOL,
            lost=frozenset(),
            eligible=tuple(state.members),
        )
        self._commit(membership.ShardsMoved(pool=fixtures.POOL, moves=moves))

    def want(self, shard: int, member_id: str) -> None:
        """Wants a shard at a member."""
        move = membership.ShardMove(shard=shard, owner=member_id)
        self._commit(
            membership.MovesRequested(pool=fixtures.POOL, moves=(move,))
        )

    def lose(self, member_id: str) -> None:
        """Ends a member's process for good."""
        del self.nodes[member_id]
        self.paused.discard(member_id)

    def read_clock(self, member_id: str) -> int:
        """Reads the monotonic clock of a member."""
        offset_ms, rate = self._clocks[member_id]
        return int(offset_ms + self.now_ms * rate)

    def run(self, duration_ms: int) -> None:
        """Lets time pass, in steps; checks after each."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            self._step()

    def resume(self, member_id: str) -> None:
        """Lets a paused member go on; it acts before it reads its messages."""
        self.paused.discard(member_id)
        self._check()
        self._act(self.nodes[member_id].tick, member_id)

    def list_believers(self, shard: int) -> list[str]:
        """Lists the members that believe that they own a shard."""
        return [
            member_id
            for member_id, node in self.nodes.items()
            if node.believes(shard, self.read_clock(member_id))
        ]

    def _commit(self, change: membership.Change) -> None:
        revision = self.store.state.revision
        assert self.store.write(
            Write(
                write_id=f"test/{revision}",
                expected_revision=revision,
                changes=(change,),
            )
        )

    def _step(self) -> None:
        due = [wire for wire in self._wires if self._is_due(wire)]
        self._wires = [wire for wire in self._wires if not self._is_due(wire)]
        for wire in sorted(due, key=lambda wire: wire.due_ms):
            self._deliver(wire)
        for member_id, node in self.nodes.items():
            if member_id not in self.paused:
                self._act(node.tick, member_id)
        self._check()

    def _is_due(self, wire: Envelope) -> bool:
        return wire.due_ms <= self.now_ms and wire.target not in self.paused

    def _deliver(self, wire: Envelope) -> None:
        if wire.target == STORE:
            self._serve(wire.source, wire.payload)
        elif wire.target in self.nodes:
            node = self.nodes[wire.target]
            self._act(node.take, wire.target, wire.payload)

    def _serve(self, source: str, payload: Payload) -> None:
        match payload:
            case Write():
                is_done = self.store.write(payload)
                answer: Payload = Written(
                    write_id=payload.write_id,
                    is_done=is_done,
                    state=self.store.state,
                )
            case Read():
                answer = WasRead(
                    sent_at_ms=payload.sent_at_ms, state=self.store.state
                )
        self._send(STORE, source, answer)

    def _act(
        self,
        action: Callable[..., None],
        member_id: str,
        *arguments: Payload,
    ) -> None:
        action(*arguments, now_ms=self.read_clock(member_id))
        node = self.nodes[member_id]
        for target, payload in node.outbox:
            self._send(member_id, target, payload)
        node.outbox.clear()

    def _send(self, source: str, target: str, payload: Payload) -> None:
        if (source, target) in self.cut:
            return
        extra_ms = self.extra_ms.get((source, target), 0.0)
        for delay_ms in self._draw_delays():
            envelope = Envelope(
                due_ms=self.now_ms + delay_ms + extra_ms,
                source=source,
                target=target,
                payload=payload,
            )
            self._wires.append(envelope)

    def _draw_delays(self) -> list[float]:
        if self.random.randrange(1_000) >= self.chaos_per_mille:
            return [1.0]
        count = self.random.choice([0, 1, 1, 2])
        longest_ms = 2.0 * self.lease.duration_ms
        return [self.random.uniform(1.0, longest_ms) for _ in range(count)]

    def _check(self) -> None:
        shards = range(self.shard_count)
        believed: dict[int, str] = {}
        for member_id, node in self.nodes.items():
            if not node.is_serving(self.read_clock(member_id)):
                continue
            for shard in node.list_admitted(shards):
                other = believed.setdefault(shard, member_id)
                if other != member_id:
                    raise TwoOwners(f"{other} and {member_id} own {shard}")


def _make_record(
    state: ownership.State, member_id: str, failure_domain: str
) -> membership.Member:
    record = fixtures.make_member(member_id, failure_domain)
    return msgspec.structs.replace(
        record,
        granters=selection.choose_granters(state=state, member=record),
        granters_epoch=1,
    )
