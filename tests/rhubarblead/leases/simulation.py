"""An in-memory simulation of members with their own clocks, and a store.

The members use the package's own lease decisions. The tasks around them, the
network and the store are minimal ones that can delay, lose, duplicate and
reorder messages.
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
from rhubarblead.leases import evictor
from rhubarblead.leases import granter
from rhubarblead.leases import holder
from rhubarblead.leases import selection
from tests.rhubarblead import fixtures

STORE = "store"
_STEP_MS = 20
_POLL_MS = 200
_RETRY_MS = 300


class TwoOwners(AssertionError):
    """Two members would run requests for the same shard at the same time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRequest:
    """A transaction sent to the store."""

    write_id: str
    expected_revision: int
    changes: tuple[membership.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteReply:
    """The store's answer to a transaction."""

    write_id: str
    is_done: bool
    state: ownership.State


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRequest:
    """A read of the store, with the time at which it was sent."""

    sent_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadReply:
    """The store's answer to a read.

    A member that pushes a newer state to others sets `sent_at_ms` to -1.
    """

    sent_at_ms: int
    state: ownership.State


Payload: TypeAlias = (
    WriteRequest
    | WriteReply
    | ReadRequest
    | ReadReply
    | messages.Heartbeat
    | messages.Promise
    | messages.LapseNotice
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Factories:
    """The classes of the lease decisions that members use."""

    make_holder: Callable[..., holder.Holder] = holder.Holder
    make_granter: Callable[..., granter.Granter] = granter.Granter
    make_evictor: Callable[..., evictor.Evictor] = evictor.Evictor


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """A message in flight."""

    due_ms: float
    source: str
    target: str
    payload: Payload


class Store:
    """A store of one row with compare-and-set."""

    def __init__(self) -> None:
        self.state = ownership.State()
        self._done: set[str] = set()

    def write(self, write: WriteRequest) -> bool:
        """Commits a transaction once and returns whether it took effect."""
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
    """A member with its lease decisions, known state and pending write."""

    def __init__(
        self,
        *,
        member_id: str,
        state: ownership.State,
        now_ms: int,
        lease: settings.Lease,
        factories: Factories,
    ) -> None:
        record = state.members[member_id]
        self.member_id = member_id
        self.holder = factories.make_holder(
            member_id=member_id,
            granters=record.granters,
            granters_epoch=record.granters_epoch,
            lease=lease,
        )
        self.granter = factories.make_granter(member_id=member_id, lease=lease)
        self.evictor = factories.make_evictor(member_id=member_id, lease=lease)
        self.handover = handover.Handover(
            member_id=member_id, limits=settings.Limits(drain_ms=500)
        )
        self.view = ownership.State()
        self.outbox: list[tuple[str, Payload]] = []
        self.is_leaving = False
        self._silence_timeout_ms = lease.duration_ms
        self._write: WriteRequest | None = None
        self._moves: tuple[membership.ShardMove, ...] = ()
        self._write_count = 0
        self._settled_revision = -1
        self._sent_at_ms = now_ms
        self._read_at_ms = now_ms - _POLL_MS
        self._follow(state, now_ms)

    def would_serve(self, shard: int, now_ms: int) -> bool:
        """Returns whether this member would run a request for a shard now."""
        is_admitting = self.handover.is_admitting(shard)
        return is_admitting and self.is_serving(now_ms)

    def is_serving(self, now_ms: int) -> bool:
        """Returns whether this member would run requests now."""
        return not self.is_leaving and self.holder.is_held(now_ms=now_ms)

    def list_admitted(self, shards: Iterable[int]) -> list[int]:
        """Lists the given shards that admit requests."""
        is_admitting = self.handover.is_admitting
        return [shard for shard in shards if is_admitting(shard)]

    def leave(self, now_ms: int) -> None:
        """Stops admitting requests and leaves."""
        self.is_leaving = True
        self.granter.retire()
        self._tick_store(now_ms)

    def tick(self, now_ms: int) -> None:
        """Sends due heartbeats, lapses, reads and transactions."""
        if self.holder.is_held(now_ms=now_ms):
            self.granter.confirm_membership(as_of_ms=now_ms)
        self.outbox += self.holder.list_heartbeats(
            now_ms=now_ms, revisions=self._revisions()
        )
        for lapse in self.granter.list_lapses(
            now_ms=now_ms, own_lease_end_ms=self._find_own_lease_end_ms()
        ):
            self.evictor.record_lapse(lapse=lapse, now_ms=now_ms)
            self._send_all(lapse)
        self._tick_store(now_ms)

    def receive(self, payload: Payload, now_ms: int) -> None:
        """Handles a message."""
        match payload:
            case messages.Heartbeat():
                promise = self.granter.handle_heartbeat(
                    heartbeat=payload,
                    now_ms=now_ms,
                    revisions=self._revisions(),
                )
                self.outbox.append((payload.member_id, promise))
            case messages.Promise():
                self.holder.record_promise(promise=payload, now_ms=now_ms)
            case messages.LapseNotice():
                self.evictor.record_lapse(lapse=payload, now_ms=now_ms)
            case ReadReply():
                self._handle_read(payload, now_ms)
            case WriteReply():
                self._handle_written(payload, now_ms)

    def _find_own_lease_end_ms(self) -> int | None:
        if len(self.holder.granters) < selection.GRANTER_COUNT:
            return None
        return self.holder.find_lease_end_ms()

    def _handle_read(self, answer: ReadReply, now_ms: int) -> None:
        self._follow(answer.state, now_ms)
        record = answer.state.members.get(self.member_id)
        if answer.sent_at_ms < 0 or record is None:
            return
        self.granter.confirm_membership(as_of_ms=answer.sent_at_ms)
        if not record.granters:
            self.holder.confirm_by_store(read_sent_at_ms=answer.sent_at_ms)

    def _handle_written(self, answer: WriteReply, now_ms: int) -> None:
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
            self._send_all(ReadReply(sent_at_ms=-1, state=answer.state))

    def _follow(self, state: ownership.State, now_ms: int) -> None:
        if state.revision <= self.view.revision:
            return
        self.view = state
        self.granter.follow_state(state=state, now_ms=now_ms)
        self.evictor.follow_state(state=state, now_ms=now_ms)
        self.handover.follow_state(state=state, now_ms=now_ms)
        self.holder.follow_record(record=state.members.get(self.member_id))

    def _tick_store(self, now_ms: int) -> None:
        if self.member_id not in self.view.members:
            return
        if now_ms - self._read_at_ms >= _POLL_MS:
            self._read_at_ms = now_ms
            self.outbox.append((STORE, ReadRequest(sent_at_ms=now_ms)))
        if self._write is None:
            self._begin_write(self._list_changes(now_ms))
        elif now_ms - self._sent_at_ms >= _RETRY_MS:
            self._sent_at_ms = now_ms
            self.outbox.append((STORE, self._write))

    def _begin_write(self, changes: tuple[membership.Change, ...]) -> None:
        if not changes:
            return
        self._write_count += 1
        self._write = WriteRequest(
            write_id=f"{self.member_id}/{self._write_count}",
            expected_revision=self.view.revision,
            changes=changes,
        )
        self.outbox.append((STORE, self._write))

    def _list_changes(self, now_ms: int) -> tuple[membership.Change, ...]:
        return (
            self._list_leave()
            or self._list_evictions(now_ms)
            or tuple(self.evictor.list_missing_granters(now_ms=now_ms))
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
        evictions = self.evictor.list_evictions(
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
            now_ms=now_ms, timeout_ms=self._silence_timeout_ms
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


class Simulation:
    """Simulates members, store and network, and checks for two owners.

    `now_ms` is the true time; each member's clock has an offset and a rate.
    """

    def __init__(
        self,
        *,
        seed: int,
        lease: settings.Lease,
        factories: Factories,
        shard_count: int,
    ) -> None:
        self.random = random.Random(seed)
        self.lease = lease
        self.factories = factories
        self.shard_count = shard_count
        self.now_ms = 0.0
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.paused: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.extra_delay_ms: dict[tuple[str, str], float] = (
            collections.defaultdict(float)
        )
        self.disturbed_per_mille = 0
        self.domains: dict[str, str] = {}
        self._clocks: dict[str, tuple[float, float]] = {}
        self._in_flight: list[Envelope] = []
        self._commit(
            membership.PoolSharded(pool=fixtures.POOL, shard_count=shard_count)
        )

    def join(self, member_id: str, failure_domain: str) -> None:
        """Adds a member with its own clock."""
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
            factories=self.factories,
        )

    def assign_unowned(self) -> None:
        """Assigns the unowned shards to the members."""
        state = self.store.state
        moves = planner.plan_takeover(
            state=state,
            pool=fixtures.POOL,
            lost=frozenset(),
            eligible=tuple(state.members),
        )
        self._commit(membership.ShardsMoved(pool=fixtures.POOL, moves=moves))

    def want(self, shard: int, member_id: str) -> None:
        """Sets the target owner of a shard."""
        move = membership.ShardMove(shard=shard, owner=member_id)
        self._commit(
            membership.MovesRequested(pool=fixtures.POOL, moves=(move,))
        )

    def lose(self, member_id: str) -> None:
        """Ends a member's process permanently."""
        del self.nodes[member_id]
        self.paused.discard(member_id)

    def read_clock(self, member_id: str) -> int:
        """Reads the monotonic clock of a member."""
        offset_ms, rate = self._clocks[member_id]
        return int(offset_ms + self.now_ms * rate)

    def run(self, duration_ms: int) -> None:
        """Advances the time in steps and checks for two owners after each."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            self._step()

    def resume(self, member_id: str) -> None:
        """Resumes a paused member, which acts before it reads its messages."""
        self.paused.discard(member_id)
        self._check()
        self._run_node(self.nodes[member_id].tick, member_id)

    def list_serving(self, shard: int) -> list[str]:
        """Lists the members that would run a request for a shard now."""
        return [
            member_id
            for member_id, node in self.nodes.items()
            if node.would_serve(shard, self.read_clock(member_id))
        ]

    def _commit(self, change: membership.Change) -> None:
        revision = self.store.state.revision
        assert self.store.write(
            WriteRequest(
                write_id=f"test/{revision}",
                expected_revision=revision,
                changes=(change,),
            )
        )

    def _step(self) -> None:
        due = [
            envelope for envelope in self._in_flight if self._is_due(envelope)
        ]
        self._in_flight = [
            envelope
            for envelope in self._in_flight
            if not self._is_due(envelope)
        ]
        for envelope in sorted(due, key=lambda envelope: envelope.due_ms):
            self._deliver(envelope)
        for member_id, node in self.nodes.items():
            if member_id not in self.paused:
                self._run_node(node.tick, member_id)
        self._check()

    def _is_due(self, envelope: Envelope) -> bool:
        return (
            envelope.due_ms <= self.now_ms
            and envelope.target not in self.paused
        )

    def _deliver(self, envelope: Envelope) -> None:
        if envelope.target == STORE:
            self._handle_store_request(envelope.source, envelope.payload)
        elif envelope.target in self.nodes:
            node = self.nodes[envelope.target]
            self._run_node(node.receive, envelope.target, envelope.payload)

    def _handle_store_request(self, source: str, payload: Payload) -> None:
        match payload:
            case WriteRequest():
                is_done = self.store.write(payload)
                answer: Payload = WriteReply(
                    write_id=payload.write_id,
                    is_done=is_done,
                    state=self.store.state,
                )
            case ReadRequest():
                answer = ReadReply(
                    sent_at_ms=payload.sent_at_ms, state=self.store.state
                )
        self._send(STORE, source, answer)

    def _run_node(
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
        if (source, target) in self.cut_links:
            return
        extra_delay_ms = self.extra_delay_ms.get((source, target), 0.0)
        for delay_ms in self._draw_delays():
            envelope = Envelope(
                due_ms=self.now_ms + delay_ms + extra_delay_ms,
                source=source,
                target=target,
                payload=payload,
            )
            self._in_flight.append(envelope)

    def _draw_delays(self) -> list[float]:
        if self.random.randrange(1_000) >= self.disturbed_per_mille:
            return [1.0]
        count = self.random.choice([0, 1, 1, 2])
        longest_ms = 2.0 * self.lease.duration_ms
        return [self.random.uniform(1.0, longest_ms) for _ in range(count)]

    def _check(self) -> None:
        shards = range(self.shard_count)
        serving: dict[int, str] = {}
        for member_id, node in self.nodes.items():
            if not node.is_serving(self.read_clock(member_id)):
                continue
            for shard in node.list_admitted(shards):
                other = serving.setdefault(shard, member_id)
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
