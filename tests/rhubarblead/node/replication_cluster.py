"""Simulated cluster of ledger owners and granters, with fault injection."""

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
from rhubarblead.node.ownership import ledger_replication
from rhubarblead.node.ownership import replicas
from rhubarblead.node.ownership import state_change as changes
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import replicated_ledger
from rhubarblead.node.requests import work as works
from rhubarblead.requests import idempotency
from rhubarblead.transport import exchange
from rhubarblead.transport import links
from tests.rhubarblead import fixtures

_T = TypeVar("_T")
_Message: TypeAlias = messages.LedgerWrite | messages.LedgerRead
_RAN_VERDICT = verdicts.Verdict.RAN
_NOT_RUN_VERDICT = verdicts.Verdict.NOT_RUN
_WALL_MS = 1_000_000_000
_TABLES = tables.Tables(
    pools=(tables.Pool(name=fixtures.POOL, kind="keyed", servers=("*",)),)
)


class RanTwice(Exception):
    """A request ran twice, or was reported as not run though it ran."""


class _NullEventLog(log.EventLog):

    def emit(self, event: catalog.Event, **fields: record.Value) -> None:
        """Discards an event."""


class ManualExecutor(futures.Executor):
    """An executor that runs its jobs only on demand."""

    def __init__(self) -> None:
        self.jobs: collections.deque[Callable[[], object]] = collections.deque()

    def submit(
        self, fn: Callable[..., _T], /, *args: object, **kwargs: object
    ) -> futures.Future[_T]:
        """Queues a job."""
        self.jobs.append(lambda: fn(*args, **kwargs))
        return futures.Future()

    def run_all(self) -> None:
        """Runs the queued jobs, and those that they submit."""
        while self.jobs:
            with contextlib.suppress(OSError):
                self.jobs.popleft()()


class FakePeerExchange:
    """Fake of one node's exchange, which answers or fails immediately."""

    def __init__(self, cluster: "Cluster", name: str) -> None:
        self._cluster = cluster
        self._name = name

    def call(
        self,
        *,
        address: links.Address,
        message: _Message,
        body: bytes,
        deadline_ms: int,
    ) -> futures.Future[exchange.Outcome]:
        """Sends a message to another node, subject to the injected faults."""
        del body, deadline_ms
        if self._name in self._cluster.broken_exchanges:
            raise OSError("simulated failure of the exchange")
        future: futures.Future[exchange.Outcome] = futures.Future()
        answer = self._cluster.transmit(self._name, address.ip_address, message)
        future.set_result(
            exchange.Reply(message=answer, body=b"")
            if answer
            else exchange.NoReply(is_sent=True)
        )
        return future


class Node:
    """One member: its known state, its ledger and the replicas it stores."""

    def __init__(self, cluster: "Cluster", name: str, capacity: int) -> None:
        self.name = name
        self.state = ownership.State()
        self.view = views.EMPTY_VIEW
        self.closed_shards: set[int] = set()
        self.is_lagging = False
        self.is_deferring_jobs = False
        self.executor = ManualExecutor()
        self.replica_store = replicas.ReplicaStore(capacity=capacity)
        self.replicated_ledger = replicated_ledger.ReplicatedLedger(
            capacity=1_000,
            replicator=ledger_replication.LedgerReplicator(
                peer_exchange=FakePeerExchange(cluster, name)
            ),
            executor=self.executor,
            events=_NullEventLog(
                instance=name, incarnation="", timeline_capacity=2
            ),
        )

    def publish(self, state: ownership.State) -> ownership.State:
        """Publishes a newer state to requests; returns the previous one."""
        before, self.state = self.state, state
        self.view = views.View(
            state=state,
            tables=_TABLES,
            tables_revision=1,
            member=state.members.get(self.name),
        )
        self.closed_shards.clear()
        return before


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestAttempt:
    """One attempt at a request, and its progress."""

    node: Node
    work: works.Work
    view: views.View
    is_begun: bool = False


class Cluster:
    """The store, the nodes, the links between them and the runs so far."""

    def __init__(self, *, capacity: int = 1_000, shard_count: int = 1) -> None:
        self.capacity = capacity
        self.wall_ms = _WALL_MS
        self.nodes: dict[str, Node] = {}
        self.entries: list[membership.Entry] = []
        self.state = ownership.State()
        self.cut_links: set[tuple[str, str]] = set()
        self.answer_loss_links: set[tuple[str, str]] = set()
        self.slow_links: set[tuple[str, str]] = set()
        self.broken_exchanges: set[str] = set()
        self.delayed_messages: list[tuple[str, str, _Message]] = []
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.keys: dict[str, str] = {}
        self.attempts: list[RequestAttempt] = []
        self.commit(
            membership.PoolSharded(pool=fixtures.POOL, shard_count=shard_count)
        )

    def read_wall_ms(self) -> int:
        """Reads the simulated wall clock, shared by all nodes."""
        return self.wall_ms

    def patch_clock(self) -> "mock._patch[Callable[[], int]]":
        """Makes the nodes read the simulated clock."""
        return mock.patch.object(clock, "read_wall_ms", self.read_wall_ms)

    # Membership.

    def commit(self, *items: membership.Change) -> None:
        """Commits one entry; all nodes that are not lagging catch up."""
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
            if not node.is_lagging:
                self.catch_up(node)

    def catch_up(self, node: Node, *, is_snapshot: bool = False) -> None:
        """Brings a node up to the newest state."""
        self.follow(node, node.publish(self.state), is_snapshot=is_snapshot)

    def follow(
        self, node: Node, before: ownership.State, *, is_snapshot: bool = False
    ) -> None:
        """Applies the state published to a node's requests to its ledger."""
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
        node.replica_store.on_state_change(change)
        node.replicated_ledger.on_state_change(change)
        if not node.is_deferring_jobs:
            node.executor.run_all()

    def join(self, name: str, granters: tuple[str, ...] = ()) -> None:
        """Adds a member that is not lagging."""
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
        """Ends a node's process, and with it its attempts."""
        del self.nodes[name]
        self.attempts = [s for s in self.attempts if s.node.name != name]

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
        """Changes the granters of a member."""
        record = self.state.members[name]
        self.commit(
            membership.GrantersChanged(
                member_id=name,
                granters=granters,
                granters_epoch=record.granters_epoch + 1,
            )
        )

    # Messages.

    def transmit(
        self, sender: str, receiver: str, message: _Message
    ) -> messages.LedgerResponse | None:
        """Delivers, delays or loses a message, or loses its answer."""
        link = (sender, receiver)
        if sender not in self.nodes or receiver not in self.nodes:
            return None
        if link in self.slow_links and isinstance(
            message, messages.LedgerWrite
        ):
            self.delayed_messages.append((sender, receiver, message))
            return None
        if link in self.cut_links:
            return None
        answer = self._deliver(receiver, message)
        return None if link in self.answer_loss_links else answer

    def deliver_delayed(self, index: int) -> None:
        """Delivers a delayed message; its answer is discarded as too late."""
        _, receiver, message = self.delayed_messages.pop(index)
        if receiver in self.nodes:
            self._deliver(receiver, message)

    def _deliver(
        self, receiver: str, message: _Message
    ) -> messages.LedgerResponse:
        replica_store = self.nodes[receiver].replica_store
        if isinstance(message, messages.LedgerWrite):
            return replica_store.write(message)
        return replica_store.read(message)

    # Requests.

    def find_owner(self, shard: int) -> Node | None:
        """Finds the node that owns a shard, if it is running."""
        owner = self.state.assignments[fixtures.POOL].owners[shard]
        return self.nodes.get(owner)

    def open(self, key: str, node: Node, shard: int) -> RequestAttempt | None:
        """Makes a node admit an attempt under its current view, if it may."""
        assignment = node.view.state.assignments.get(fixtures.POOL)
        if not assignment or assignment.owners[shard] != node.name:
            return None
        if shard in node.closed_shards or not self._is_lease_held(node):
            return None
        attempt = RequestAttempt(
            node=node, work=self._make_work(key, shard), view=node.view
        )
        self.attempts.append(attempt)
        return attempt

    def begin(self, attempt: RequestAttempt) -> outcomes.Outcome | None:
        """Asks the ledger; returns None if the request may run."""
        refused = attempt.node.replicated_ledger.begin(
            attempt.view, attempt.work
        )
        if not attempt.node.is_deferring_jobs:
            attempt.node.executor.run_all()
        if refused is None:
            attempt.is_begun = True
            return None
        self.attempts.remove(attempt)
        key = attempt.work.forward.idempotency_key
        is_known = refused.refusal is None or "ledger" not in str(
            refused.refusal.value
        )
        if (
            is_known
            and refused.verdict is _NOT_RUN_VERDICT
            and self.run_counts[key]
        ):
            raise RanTwice(f"{refused} for a request that ran")
        return refused

    def run(self, attempt: RequestAttempt) -> bool:
        """Runs a request if the lease is still held."""
        if not self._is_lease_held(attempt.node):
            self.end(attempt, _make_answer(_NOT_RUN_VERDICT))
            return False
        key = attempt.work.forward.idempotency_key
        self.run_counts[key] += 1
        if self.run_counts[key] > 1:
            raise RanTwice(f"{key} ran twice")
        return True

    def end(self, attempt: RequestAttempt, done: outcomes.Outcome) -> None:
        """Records the outcome of a request."""
        self.attempts.remove(attempt)
        attempt.node.replicated_ledger.finish(attempt.view, attempt.work, done)

    def finish(self, attempt: RequestAttempt) -> None:
        """Records that a request ran, with its answer."""
        self.end(attempt, _make_answer(_RAN_VERDICT))

    def send(self, key: str, shard: int = 0) -> str:
        """Sends a request to the owner; returns the outcome in one word."""
        node = self.find_owner(shard)
        attempt = self.open(key, node, shard) if node else None
        if attempt is None:
            return "no-owner"
        refused = self.begin(attempt)
        if refused is not None:
            return refused.refusal.value if refused.refusal else "replay"
        if not self.run(attempt):
            return "lapsed"
        self.finish(attempt)
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
