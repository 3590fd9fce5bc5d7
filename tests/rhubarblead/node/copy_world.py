"""Owners, granters and their ledgers in one process, with faults to order."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import contextlib
import dataclasses
from typing import TypeAlias
from typing import TypeVar
from unittest import mock

import msgspec

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import tables
from rhubarblead import verdict as verdicts
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.events import record
from rhubarblead.node import view as views
from rhubarblead.node.ownership import change as changes
from rhubarblead.node.ownership import copies
from rhubarblead.node.ownership import replicas
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import protection
from rhubarblead.node.requests import work as works
from rhubarblead.requests import idempotency
from rhubarblead.transport import exchange
from rhubarblead.transport import links
from tests.rhubarblead import fixtures

_T = TypeVar("_T")
_Message: TypeAlias = messages.LedgerWrite | messages.LedgerRead
_RUN = verdicts.Verdict.RAN
_NOT_RUN = verdicts.Verdict.NOT_RUN
_WALL_MS = 1_000_000_000
_TABLES = tables.Tables(
    pools=(tables.Pool(name=fixtures.POOL, kind="keyed", servers=("*",)),)
)


class RanTwice(Exception):
    """A request ran twice, or one that ran was said not to have run."""


class _NoEvents(log.EventLog):

    def emit(self, event: catalog.Event, **fields: record.Value) -> None:
        """Drops an event."""


class Later(futures.Executor):
    """An executor whose jobs run when the test says so."""

    def __init__(self) -> None:
        self.jobs: collections.deque[Callable[[], object]] = collections.deque()

    def submit(
        self, fn: Callable[..., _T], /, *args: object, **kwargs: object
    ) -> futures.Future[_T]:
        """Keeps a job."""
        self.jobs.append(lambda: fn(*args, **kwargs))
        return futures.Future()

    def run_all(self) -> None:
        """Runs the jobs kept, and those that they submit."""
        while self.jobs:
            with contextlib.suppress(OSError):
                self.jobs.popleft()()


class Wire:
    """Stands in for the exchange of one node; answers or loses at once."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._name = name

    def call(
        self,
        *,
        address: links.Address,
        message: _Message,
        body: bytes,
        deadline_ms: int,
    ) -> futures.Future[exchange.Outcome]:
        """Carries a message to another node, as the faults have it."""
        del body, deadline_ms
        if self._name in self._world.broken:
            raise OSError("the exchange is broken")
        future: futures.Future[exchange.Outcome] = futures.Future()
        answer = self._world.carry(self._name, address.ip_address, message)
        future.set_result(
            exchange.Reply(message=answer, body=b"")
            if answer
            else exchange.NoReply(is_sent=True)
        )
        return future


class Node:
    """One member: its replicas, its protection and what it has heard."""

    def __init__(self, world: "World", name: str, capacity: int) -> None:
        self.name = name
        self.state = ownership.State()
        self.view = views.EMPTY_VIEW
        self.closed: set[int] = set()
        self.is_holding = False
        self.is_deferring = False
        self.executor = Later()
        self.book = replicas.ReplicaBook(capacity=capacity)
        self.guard = protection.Protection(
            capacity=1_000,
            keeper=copies.CopyKeeper(peers=Wire(world, name)),
            executor=self.executor,
            events=_NoEvents(
                instance=name, incarnation="", timeline_capacity=2
            ),
        )

    def publish(self, state: ownership.State) -> ownership.State:
        """Publishes a newer state to requests; returns the one before."""
        before, self.state = self.state, state
        self.view = views.View(
            state=state,
            tables=_TABLES,
            tables_revision=1,
            member=state.members.get(self.name),
        )
        self.closed.clear()
        return before


@dataclasses.dataclass(slots=True, kw_only=True)
class Sending:
    """One send of a request, and how far it has come."""

    node: Node
    work: works.Work
    view: views.View
    is_begun: bool = False


class World:
    """The store, the nodes, the links between them, and what has run."""

    def __init__(self, *, capacity: int = 1_000, shard_count: int = 1) -> None:
        self.capacity = capacity
        self.wall_ms = _WALL_MS
        self.nodes: dict[str, Node] = {}
        self.entries: list[membership.Entry] = []
        self.state = ownership.State()
        self.cut: set[tuple[str, str]] = set()
        self.mute: set[tuple[str, str]] = set()
        self.slow: set[tuple[str, str]] = set()
        self.broken: set[str] = set()
        self.late: list[tuple[str, str, _Message]] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.keys: dict[str, str] = {}
        self.sendings: list[Sending] = []
        self.commit(
            membership.PoolSharded(pool=fixtures.POOL, shard_count=shard_count)
        )

    def read_wall_ms(self) -> int:
        """Reads the wall clock of all nodes."""
        return self.wall_ms

    def patch_clock(self) -> "mock._patch[Callable[[], int]]":
        """Makes the nodes read the clock of this world."""
        return mock.patch.object(clock, "read_wall_ms", self.read_wall_ms)

    # Membership.

    def commit(self, *items: membership.Change) -> None:
        """Commits one entry, and tells all nodes that don't hold back."""
        entry = membership.Entry(
            revision=self.state.revision + 1,
            write_id="",
            author="",
            written_at_ms=0,
            changes=items,
        )
        self.entries.append(entry)
        self.state = ownership.apply_entries(self.state, [entry])
        for node in self.nodes.values():
            if not node.is_holding:
                self.tell(node)

    def tell(self, node: Node, *, is_snapshot: bool = False) -> None:
        """Lets a node hear all that is stored."""
        self.follow(node, node.publish(self.state), is_snapshot=is_snapshot)

    def follow(
        self, node: Node, before: ownership.State, *, is_snapshot: bool = False
    ) -> None:
        """Lets the ledger of a node follow what was published to requests."""
        if before.revision == node.state.revision:
            return
        change = changes.StateChange(
            before=before,
            after=node.state,
            entries=(
                ()
                if is_snapshot
                else tuple(self.entries[before.revision : node.state.revision])
            ),
            member_id=node.name if node.name in node.state.members else "",
        )
        node.book.follow(change)
        node.guard.follow(change)
        if not node.is_deferring:
            node.executor.run_all()

    def join(self, name: str, granters: tuple[str, ...] = ()) -> None:
        """Adds a member that hears all at once."""
        record = fixtures.make_member(name, name)
        self.nodes[name] = Node(self, name, self.capacity)
        self.commit(
            membership.MemberJoined(
                member=msgspec.structs.replace(
                    record, ip_address=name, granters=granters
                )
            )
        )

    def lose(self, name: str) -> None:
        """Ends a node's process; its sends end where they are."""
        del self.nodes[name]
        self.sendings = [s for s in self.sendings if s.node.name != name]

    def move(self, shard: int, owner: str, *lost: str) -> None:
        """Evicts members and moves a shard, in one entry."""
        self.evict(lost, {shard: owner})

    def evict(self, lost: Iterable[str], moves: dict[int, str]) -> None:
        """Evicts members and moves shards, in one entry."""
        evicted = (
            membership.MemberEvicted(
                member_id=name, granters_epoch=0, lapsed_by=()
            )
            for name in lost
        )
        moved = membership.ShardsMoved(
            pool=fixtures.POOL,
            moves=tuple(
                membership.ShardMove(shard=shard, owner=owner)
                for shard, owner in moves.items()
            ),
        )
        self.commit(*evicted, moved)

    def change_granters(self, name: str, granters: tuple[str, ...]) -> None:
        """Gives a member other granters."""
        record = self.state.members[name]
        self.commit(
            membership.GrantersChanged(
                member_id=name,
                granters=granters,
                granters_epoch=record.granters_epoch + 1,
            )
        )

    # Messages.

    def carry(
        self, sender: str, receiver: str, message: _Message
    ) -> messages.LedgerResponse | None:
        """Carries a message, or loses it or its answer."""
        link = (sender, receiver)
        if sender not in self.nodes or receiver not in self.nodes:
            return None
        if link in self.slow and isinstance(message, messages.LedgerWrite):
            self.late.append((sender, receiver, message))
            return None
        if link in self.cut:
            return None
        answer = self._deliver(receiver, message)
        return None if link in self.mute else answer

    def deliver_late(self, index: int) -> None:
        """Delivers a message that was slow; its answer comes too late."""
        _, receiver, message = self.late.pop(index)
        if receiver in self.nodes:
            self._deliver(receiver, message)

    def _deliver(
        self, receiver: str, message: _Message
    ) -> messages.LedgerResponse:
        book = self.nodes[receiver].book
        if isinstance(message, messages.LedgerWrite):
            return book.write(message)
        return book.read(message)

    # Requests.

    def find_owner(self, shard: int) -> Node | None:
        """Finds the node that owns a shard, if it lives."""
        owner = self.state.assignments[fixtures.POOL].owners[shard]
        return self.nodes.get(owner)

    def open(self, key: str, node: Node, shard: int) -> Sending | None:
        """Lets a node admit a send by the view it has now."""
        assignment = node.view.state.assignments.get(fixtures.POOL)
        if not assignment or assignment.owners[shard] != node.name:
            return None
        if shard in node.closed or not self._is_lease_held(node):
            return None
        sending = Sending(
            node=node, work=self._make_work(key, shard), view=node.view
        )
        self.sendings.append(sending)
        return sending

    def begin(self, sending: Sending) -> outcomes.Outcome | None:
        """Asks the ledger; None when the request may run."""
        refused = sending.node.guard.begin(sending.view, sending.work)
        if not sending.node.is_deferring:
            sending.node.executor.run_all()
        if refused is None:
            sending.is_begun = True
            return None
        self.sendings.remove(sending)
        key = sending.work.forward.idempotency_key
        is_known = refused.refusal is None or "ledger" not in str(
            refused.refusal.value
        )
        if is_known and refused.verdict is _NOT_RUN and self.runs[key]:
            raise RanTwice(f"{refused} for a request that ran")
        return refused

    def run(self, sending: Sending) -> bool:
        """Runs a request if the lease still holds."""
        if not self._is_lease_held(sending.node):
            self.end(sending, _make_answer(_NOT_RUN))
            return False
        key = sending.work.forward.idempotency_key
        self.runs[key] += 1
        if self.runs[key] > 1:
            raise RanTwice(f"{key} ran twice")
        return True

    def end(self, sending: Sending, done: outcomes.Outcome) -> None:
        """Notes the outcome of a request."""
        self.sendings.remove(sending)
        sending.node.guard.finish(sending.view, sending.work, done)

    def finish(self, sending: Sending) -> None:
        """Notes that a request ran, with its answer."""
        self.end(sending, _make_answer(_RUN))

    def send(self, key: str, shard: int = 0) -> str:
        """Sends a request to the owner; says what came of it in a word."""
        node = self.find_owner(shard)
        sending = self.open(key, node, shard) if node else None
        if sending is None:
            return "no-owner"
        refused = self.begin(sending)
        if refused is not None:
            return refused.refusal.value if refused.refusal else "replay"
        if not self.run(sending):
            return "lapsed"
        self.finish(sending)
        return "ran"

    def _is_lease_held(self, node: Node) -> bool:
        return node.name in self.nodes and node.name in self.state.members

    def _make_work(self, key: str, shard: int) -> works.Work:
        if key not in self.keys:
            random = len(self.keys).to_bytes(10, "big")
            self.keys[key] = idempotency.make_key(
                random=random, wall_ms=self.wall_ms
            )
        forward = messages.Forward(
            call_id="",
            request_id="",
            pool=fixtures.POOL,
            route="",
            shard=shard,
            key="",
            method="POST",
            target="/",
            headers=(),
            idempotency_key=self.keys[key],
            is_protected=True,
            is_repeatable=False,
            remaining_ms=1,
            max_answer_bytes=1,
            ownership_revision=1,
            body_size=0,
            body_digest=0,
        )
        return works.Work(forward=forward, body=b"", deadline_ms=1)


def _make_answer(verdict: verdicts.Verdict) -> outcomes.Outcome:
    return outcomes.Outcome(verdict=verdict, status=200, reason="OK")
