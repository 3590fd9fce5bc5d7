"""A small world of nodes, keyed servers and the store, with its own time.

The nodes' real parts for ownership and promises run in it; store, links and
servers are stand-ins that keep the platform's rules and fail to order.
"""

import asyncio
from collections.abc import Callable
import json
import random
from typing import Any

from rhubarblead import routing_table
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import members
from rhubarblead.platform import heartbeats
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import ownership
from rhubarblead.router import promising
from rhubarblead.router import wire
from tools.standins import keyed_holds

TICK_MS = 50
SETTLE_STEPS = 8
HEARTBEAT_MS = 870
RELEASE_HEARTBEAT_MS = 100
MAX_HOLD_MS = 10_000
SERVICE = "s"
_DOMAINS = ("a", "b", "c")


class SilentJournal:
    """Keeps the events of one node."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Takes one event."""
        self.events.append((event.name, fields))


class _WorldLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the world's."""

    def __init__(self, world: "World") -> None:
        self._world = world
        super().__init__()

    def time(self) -> float:
        """Tells the world's time in seconds."""
        return self._world.now_ms / 1_000

    def settle(self) -> None:
        """Runs all that can run at this moment."""
        self.run_until_complete(_yield_often())


async def _yield_often() -> None:
    for _ in range(SETTLE_STEPS):
        await asyncio.sleep(0)


class World:
    """All nodes, their servers and the store."""

    def __init__(self, *, node_count: int, seed: int) -> None:
        self.now_ms = 100_000
        self.loop = _WorldLoop(self)
        self.random = random.Random(seed)
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.revision = 10
        self.is_store_up = True
        self.write_count = 0
        self.conflict_count = 0
        self.lost_share = 0.0
        self.late_writes: list[tuple[int, Callable[[], None]]] = []
        self.cut_links: set[frozenset[str]] = set()
        self.fences: dict[int, tuple[int, str]] = {}
        self.faults: list[str] = []
        self.nodes = {
            f"n{number}": Node(world=self, number=number)
            for number in range(node_count)
        }

    def apply(
        self,
        expected: tuple[store.Expected, ...],
        puts: tuple[store.Put, ...],
        removed_keys: tuple[str, ...],
    ) -> bool:
        """Applies a transaction of the store, all or nothing."""
        for row in expected:
            if self.rows.get(row.key, (b"", 0))[1] != row.revision:
                return False
        self.revision += 1
        for put in puts:
            self.rows[put.key] = (put.value, self.revision)
        for key in removed_keys:
            self.rows.pop(key, None)
        return True

    def close(self) -> None:
        """Ends all that still waits."""
        for node in self.nodes.values():
            node.stop()
        self.loop.settle()
        self.loop.close()

    def run(self, for_ms: int) -> None:
        """Lets time pass, and checks what must always hold."""
        for _ in range(for_ms // TICK_MS):
            self.now_ms += TICK_MS
            due = [item for item in self.late_writes if item[0] <= self.now_ms]
            for item in due:
                self.late_writes.remove(item)
                item[1]()
            for node in self.nodes.values():
                node.tick()
            self.check()

    def check(self) -> None:
        """Finds keys that two servers hold at once."""
        spans: list[tuple[int, int, str]] = []
        for node in self.nodes.values():
            server = node.server
            if server.is_up:
                spans += [
                    (held.first, held.last, server.server_id)
                    for held in server.list_held()
                ]
        spans.sort()
        reached = (-1, "")
        for first, last, name in spans:
            if first <= reached[0] and name != reached[1]:
                self.faults.append(
                    f"{self.now_ms}: {name} and {reached[1]} hold {first}"
                )
            if last > reached[0]:
                reached = (last, name)

    def count_held(self) -> int:
        """Counts the keys that some server holds."""
        return sum(
            held.last - held.first + 1
            for node in self.nodes.values()
            if node.server.is_up
            for held in node.server.list_held()
        )

    def is_linked(self, one: str, other: str) -> bool:
        """Tells whether messages pass between two nodes."""
        if not (self.nodes[one].is_running and self.nodes[other].is_running):
            return False
        return frozenset((one, other)) not in self.cut_links


class _Store:
    """The store as one node reaches it."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._world = node.world

    @property
    def is_working(self) -> bool:
        """Whether the store answers this node."""
        return self._world.is_store_up and self._node.has_store

    async def write(
        self,
        *,
        expected: tuple[store.Expected, ...],
        puts: tuple[store.Put, ...],
        removed_keys: tuple[str, ...] = (),
    ) -> store.WriteOutcome:
        """Applies, loses or delays a transaction."""
        world = self._world
        if not world.is_store_up or not self._node.has_store:
            return store.NotDone(reason="status 503")
        if world.random.random() < world.lost_share:
            delay_ms = world.random.choice([0, 0, 1_500, 5_000])
            world.late_writes.append(
                (
                    world.now_ms + delay_ms,
                    lambda: world.apply(expected, puts, removed_keys) and None,
                )
            )
            return store.InDoubt(reason="no answer")
        world.write_count += 1
        if world.apply(expected, puts, removed_keys):
            return store.Applied(revision=world.revision, now_ms=world.now_ms)
        world.conflict_count += 1
        return store.Conflict(rows=self._list({row.key for row in expected}))

    async def read(self, table: str) -> store.ReadOutcome:
        """Reads all rows."""
        del table
        world = self._world
        if not world.is_store_up or not self._node.has_store:
            return store.NotDone(reason="status 503")
        return store.Rows(
            rows=self._list(set(world.rows)),
            revision=world.revision,
            now_ms=world.now_ms,
            has_more=False,
        )

    def _list(self, keys: set[str]) -> tuple[store.Row, ...]:
        return tuple(
            store.Row(
                table=store.TABLE,
                key=key,
                value=self._world.rows.get(key, (b"", 0))[0],
                revision=self._world.rows.get(key, (b"", 0))[1],
            )
            for key in sorted(keys)
        )


class _Links:
    """The links of one node."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def connect(self, node_id: str, address: str) -> None:
        """Links to a node; all nodes of the world can be linked."""
        del address
        self._node.linked.add(node_id)

    def is_up(self, node_id: str) -> bool:
        """Tells whether a link works."""
        return self._node.world.is_linked(self._node.node_id, node_id)

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Hands a message to another node."""
        if not self.is_up(node_id):
            return False
        target = self._node.world.nodes[node_id]
        # No message arrives within the tick in which it was sent.
        now_ms = self._node.world.now_ms
        target.inbox.append((now_ms, self._node.node_id, message))
        return True

    def broadcast(self, message: wire.Message) -> None:
        """Hands a message to all nodes."""
        for node_id in self._node.linked:
            self.send(node_id, message)


class Server:
    """A server that holds keys by the answers to its heartbeats."""

    def __init__(self, *, world: World, name: str) -> None:
        self._world = world
        self._name = name
        self.is_up = False
        self.is_draining = False
        self.start()

    def start(self) -> None:
        """Begins a new life that holds nothing."""
        self.is_up = True
        self.born_ms = self._world.now_ms
        self.server_id = f"{self._name}-{self.born_ms}"
        self.sequence = 0
        self.held: list[keyed_holds.Held] = []
        self.freed: list[tuple[int, int, str]] = []
        self.beat_at_ms = self._world.now_ms + self._world.random.randrange(
            HEARTBEAT_MS
        )
        self.slowness = self._world.random.uniform(1.0, 1.02)

    def list_held(self) -> list[keyed_holds.Held]:
        """Lists what the server holds now."""
        return [h for h in self.held if h.until_ms > self._world.now_ms]

    def beat(self, node: "Node") -> None:
        """Sends a heartbeat, and takes the answer."""
        world = self._world
        self.beat_at_ms = world.now_ms + HEARTBEAT_MS
        if not (node.is_running and node.is_hearing):
            return
        self.sequence += 1
        beat = heartbeats.Heartbeat(
            server_id=self.server_id,
            born_ms=self.born_ms,
            service=SERVICE,
            sequence=self.sequence,
            slots=9,
            is_draining=self.is_draining,
            held=tuple(
                heartbeats.Grant(first=h.first, last=h.last, fence=h.fence)
                for h in self.list_held()
            ),
            freed=tuple(
                heartbeats.FreedRange(first=a, last=b, handover=token)
                for a, b, token in self.freed
            ),
        )
        self.freed = []
        if not node.owner.take_heartbeat(beat):
            return
        answer = json.loads(node.owner.make_reply())
        if "holds" in answer:
            self._take(answer["holds"], answer["holdMs"])

    def _take(self, rows: list[list[Any]], hold_ms: int) -> None:
        world = self._world
        assert hold_ms <= MAX_HOLD_MS
        kept = []
        for first, last, fence, _token in rows:
            self._note_fence(first, last, fence)
            kept.append(
                keyed_holds.Held(
                    first=first,
                    last=last,
                    fence=fence,
                    until_ms=world.now_ms + hold_ms * self.slowness,
                )
            )
        for old in self.list_held():
            for first, last in keyed_holds.subtract(old, kept):
                self.freed.append((first, last, f"t{world.now_ms}"))
        if self.freed:
            self.beat_at_ms = world.now_ms + RELEASE_HEARTBEAT_MS
        self.held = kept

    def _note_fence(self, first: int, last: int, fence: int) -> None:
        for key in (first, last):
            highest, holder = self._world.fences.get(key, (0, ""))
            if holder not in ("", self.server_id) and fence <= highest:
                self._world.faults.append(
                    f"{self._world.now_ms}: {self.server_id} got {key} with"
                    f" fence {fence}, {holder} had it with {highest}"
                )
            if fence >= highest:
                self._world.fences[key] = (fence, self.server_id)


class Node:
    """One node with its real parts for ownership."""

    def __init__(self, *, world: World, number: int) -> None:
        self.world = world
        self.node_id = f"n{number}"
        self.domain = _DOMAINS[number % len(_DOMAINS)]
        self.server = Server(world=world, name=f"srv{number}")
        self.life_number = 0
        self.stepping: asyncio.Task[None] | None = None
        self.is_running = False
        self.is_frozen = False
        self.is_hearing = True
        self.has_store = True
        self.start()

    def start(self) -> None:
        """Starts a process that knows nothing."""
        self.stop()
        self.life_number += 1
        self.is_running = True
        self.is_frozen = False
        self.linked: set[str] = set()
        self.inbox: list[tuple[int, str, wire.Message]] = []
        self.up: set[str] = set()
        self.state = wire.State(
            node_id=self.node_id,
            incarnation=f"i{self.life_number}",
            address=f"{self.node_id}:1",
            failure_domain=self.domain,
            service=SERVICE,
            born_ms=0,
            is_serving=False,
            is_stopping=False,
            slot_count=9,
            assignments={},
            load=wire.ServerLoad(capacity_per_s=10, has_store=True),
        )
        known = directory.Directory(own_state=self.state)
        known.table = routing_table.RoutingTable(
            version=1,
            routes=(),
            services=(routing_table.Service(name=SERVICE, is_keyed=True),),
            limits=routing_table.ClientLimits(),
        )
        self.known = known
        self.links: Any = _Links(self)
        self.journal: Any = SilentJournal()
        self.promising = promising.Promising(
            known=known, links=self.links, now_ms=self._read_ms
        )
        client: Any = _Store(self)
        self.owner = ownership.Ownership(
            member=members.Member(
                node_id=self.node_id,
                incarnation=self.state.incarnation,
                address=self.state.address,
                failure_domain=self.domain,
                service=SERVICE,
            ),
            known=known,
            client=client,
            events=self.journal,
            now_ms=self._read_ms,
            heartbeat_ms=HEARTBEAT_MS,
            max_hold_ms=MAX_HOLD_MS,
            links=self.links,
            on_change=lambda: None,
            find_rates=dict,
            promises=self.promising,
        )

    def stop(self) -> None:
        """Ends the process without a word."""
        self.is_running = False
        if self.stepping is not None:
            self.stepping.cancel()
            self.stepping = None

    def tick(self) -> None:
        """Does what is due."""
        world = self.world
        is_due = world.now_ms >= self.server.beat_at_ms
        if self.server.is_up and is_due and not self.is_frozen:
            self.server.beat(self)
        if not self.is_running or self.is_frozen:
            return
        self._follow_links()
        due = [item for item in self.inbox if item[0] < world.now_ms]
        self.inbox = self.inbox[len(due) :]
        for _, sender, message in due:
            self._take(sender, message)
        if world.now_ms % 400 == 0:
            self._tell()
        if world.now_ms % 100 == 0:
            self._step()

    def _step(self) -> None:
        """Goes on with what is most urgent; one thing after the other."""
        loop = self.world.loop
        if self.stepping is None:
            self.stepping = loop.create_task(self.owner.step())
        loop.settle()
        if self.stepping.done():
            self.stepping.result()
            self.stepping = None

    def _read_ms(self) -> int:
        return self.world.now_ms

    def _tell(self) -> None:
        life = self.owner.life
        self.state.born_ms = life.born_ms if life is not None else 0
        self.state.is_serving = (
            life is not None and not life.is_leaving and not life.is_silent
        )
        self.state.assignments = self.known.list_revisions()
        self.links.broadcast(_copy(self.state))
        holder = self.promising.holder
        if holder.granter and not holder.is_leaving:
            self.promising._send_heartbeat(self.owner.get_own_revision())

    def _follow_links(self) -> None:
        for node_id in self.linked:
            is_up = self.links.is_up(node_id)
            if is_up and node_id not in self.up:
                self.up.add(node_id)
                self.owner.takeover.note_link(node_id, is_up=True)
                self.links.send(node_id, _copy(self.state))
            elif not is_up and node_id in self.up:
                self.up.discard(node_id)
                self.known.lose(node_id, self.world.now_ms)
                self.owner.takeover.note_link(node_id, is_up=False)

    def _take(self, sender: str, message: wire.Message) -> None:
        def reply(answer: wire.Message) -> None:
            self.links.send(sender, answer)

        match message:
            case wire.State():
                self._take_state(message, reply)
            case wire.Changed():
                if not self.owner.assignments.take_changed(message):
                    reply(wire.Wanted(service=message.service))
            case wire.Wanted():
                self._send_whole(message.service, reply)
            case wire.Whole():
                self.owner.assignments.take_whole(
                    message.service, message.content, message.revision
                )
            case wire.Giving():
                self.owner.gathering.take(message, reply)
            case wire.Given():
                self.owner.gathering.take_reply(message)
            case wire.LeaseHeartbeat() | wire.LeaseLeave():
                self.promising.take(message, reply)
            case _:
                self._take_promise(message)

    def _take_promise(self, message: wire.Message) -> None:
        match message:
            case wire.Promise():
                self.promising.holder.take_promise(
                    message.term, message.sequence
                )
            case wire.Release():
                self.promising.take_release(message)

    def _take_state(
        self, state: wire.State, reply: Callable[[wire.Message], None]
    ) -> None:
        self.linked.add(state.node_id)
        self.known.take_state(state, self.world.now_ms)
        mine = self.known.list_revisions()
        for service, revision in state.assignments.items():
            if revision > mine.get(service, 0):
                reply(wire.Wanted(service=service))

    def _send_whole(
        self, service: str, reply: Callable[[wire.Message], None]
    ) -> None:
        value, revision = self.known.get_assignment(service)
        reply(
            wire.Whole(
                service=service, revision=revision, content=value.encode()
            )
        )


def _copy(state: wire.State) -> wire.Message:
    return wire.decode(wire.encode(state))


KEY_COUNT = assignment.KEY_COUNT
