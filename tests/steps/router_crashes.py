"""Steps for requests that crash servers, on several nodes with sockets."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

import behave
from behave import runner
import msgspec

from rhubarblead.platform import headers
from rhubarblead.platform import settings
from rhubarblead.requests import link_load
from rhubarblead.requests import poison
from rhubarblead.requests import stored_crashes
from rhubarblead.router import crash_store
from rhubarblead.router import crash_sync
from rhubarblead.router import store_access
from rhubarblead.router import upstream
from rhubarblead.router import wire
from tests import router_doubles
from tests.rhubarblead.router import simulated_node

_IP = "127.0.0.1"
_SLOT_COUNT = 6
_RUN_S = 0.03
_CRASH_DELAY_S = 0.01
_PAUSE_S = 0.2
"""Longer than a node needs to detect a crash."""

_CATCH_UP_S = crash_sync.CATCH_UP_DELAY_S + 0.1
_COMPANION_COUNT = 3
_COUNT_BEFORE_QUEUE = 2
_KILLED_BEFORE = (3, 6)
_STORE_TICK_S = 0.02
_MAX_SPREAD_MS = 20_000
_ODD_ROWS = {
    "odd": b"\x93",
    "empty": b"",
    "no time": msgspec.msgpack.encode([-1, []]),
    "a later time": msgspec.msgpack.encode([2**60, []]),
    "no reports": msgspec.msgpack.encode([0, None]),
    "deep": b"\x91" * 10_000,
}
_CRASHING = "crashing"
_SLOW = "slow"
_SLOW_RUN_S = 0.4


def _read_now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class _Server:
    """A server that crashes while it runs a request with a certain id."""

    def __init__(self) -> None:
        self._listener: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self._is_silent = False
        self.falls_silent = False
        self.port = 0
        self.crash_count = 0
        self.poison_count = 0
        self.life_count = 0

    async def start(self) -> None:
        """Starts a new incarnation at the same address."""
        self.close()
        self._is_silent = False
        self.life_count += 1
        self._listener = await asyncio.start_server(self._serve, _IP, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends all connections, or stops answering."""
        self.crash_count += 1
        if self.falls_silent:
            self._is_silent = True
        else:
            self.close()

    def close(self) -> None:
        """Closes all sockets."""
        if self._listener is not None:
            self._listener.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        life = self.life_count
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._run(head, writer, life)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            writer.close()

    async def _run(
        self, head: bytes, writer: asyncio.StreamWriter, life: int
    ) -> None:
        name = headers.REQUEST_ID
        request_id = head.partition(name + b": ")[2].partition(b"\r\n")[0]
        is_crashing = request_id.startswith(_CRASHING.encode())
        self.poison_count += is_crashing
        is_slow = request_id.startswith(_SLOW.encode())
        run_s = _SLOW_RUN_S if is_slow else _RUN_S
        await asyncio.sleep(_CRASH_DELAY_S if is_crashing else run_s)
        if self._is_silent or life != self.life_count:
            return
        if is_crashing:
            self.crash()
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%b: %b\r\n%b: s\r\n\r\nok"
            % (name, request_id, headers.SIGNATURE)
        )


class _Node:
    """A node's server with its queue; messages to others go to the cluster."""

    def __init__(self, *, name: str, cluster: "_Cluster") -> None:
        self.name = name
        self._cluster = cluster
        self.server = _Server()
        self.upstream: Any = None
        self.crash_sync: Any = None
        self.access: Any = None
        self.crash_store: Any = None
        self.is_cut_off = False
        self._process_count = 0

    async def start(self) -> None:
        """Starts the server, and the process beside it."""
        await self.server.start()
        self.restart_process()

    def restart_process(self) -> None:
        """Replaces the process by one that knows nothing."""
        if self.upstream is not None:
            self.close()
        event_log: Any = router_doubles.SilentEventLog()
        self._process_count += 1
        process = self._process_count
        self.upstream = upstream.Upstream(
            address=settings.Address(ip=_IP, port=self.server.port),
            events=event_log,
            now_ms=_read_now_ms,
            is_held=lambda key: True,
            is_owned=lambda key: True,
            link=link_load.LinkLoad(
                bytes_per_ms=1_250, min_bytes=8_000, find_queued_bytes=int
            ),
            count_servers=lambda: len(self._cluster.nodes),
            broadcast=lambda message: self._broadcast(process, message),
            node_id=self.name,
        )
        client: Any = self._cluster.store
        self.access = store_access.StoreAccess(
            client=client, events=event_log, now_ms=_read_now_ms
        )
        self.crash_store = crash_store.CrashStore(
            node_id=self.name,
            access=self.access,
            events=event_log,
            now_ms=_read_now_ms,
            count_nodes=lambda: len(self._cluster.nodes),
            random_source=random.Random(1),
        )
        self.crash_store.on_read = self.upstream.crashes.record_stored
        self.upstream.crashes.on_reported = self.crash_store.add
        links: Any = self
        self.crash_sync = crash_sync.CrashSync(
            crash_detector=self.upstream.crashes, links=links
        )
        self.see_server()

    def _broadcast(self, process: int, message: wire.Message) -> None:
        """Sends a message to all nodes, unless its process was killed."""
        if process == self._process_count:
            self._cluster.broadcast(self, message)

    async def read_store(self) -> None:
        """Reads the rows of all nodes, if the store answers."""
        if self.access.has_new_era:
            self.access.begin_era()
            self.crash_store.begin_era()
        found = await self.access.read("load")
        if found is not None:
            self.crash_store.read(found.rows)

    async def write_store(self) -> None:
        """Writes what is due, as the ownership task does."""
        while not self.crash_store.is_saved and self._cluster.store.is_up:
            if self.crash_store.is_due:
                await self.crash_store.write()
            else:
                await asyncio.sleep(_STORE_TICK_S)

    def close(self) -> None:
        """Stops the process."""
        self.upstream.close()
        self.crash_sync.close()

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Sends a message to a node, as its links do."""
        return self._cluster.send(self, node_id, message)

    def receive(self, sender: "_Node", message: wire.Message) -> None:
        """Handles a message as the router does."""
        match wire.decode(wire.encode(message)):
            case wire.State() as state:
                self.crash_sync.handle_state(state)
            case wire.CrashListRequest():
                self.crash_sync.handle_request(
                    lambda report: sender.receive(self, report)
                )
            case wire.CrashSuspects() as report:
                self.upstream.crashes.record_remote_crash(report)

    def make_state(self) -> wire.State:
        """Makes the state that the node sends."""
        state = router_doubles.make_state(self.name, "s")
        state.crash_digest = self.upstream.crashes.compute_digest()
        return state

    def see_server(self) -> None:
        """Handles the first heartbeat of a new incarnation of the server."""
        self.upstream.set_server(
            f"{self.name}-{self.server.life_count}", _SLOT_COUNT, born_ms=1
        )
        self.upstream.set_serving(True, cause="test")

    async def restart_server(self) -> None:
        """Starts the server again."""
        await self.server.start()
        self.see_server()


class _Cluster:
    """Nodes that report crashes to one another."""

    def __init__(self) -> None:
        self.nodes = [_Node(name=f"n{i}", cluster=self) for i in range(4)]
        self.outcomes: dict[str, wire.Outcome] = {}
        self.known_counts: list[tuple[int, int]] = []
        self.store = router_doubles.MemoryStore()
        self._number = 0

    def broadcast(self, sender: _Node, message: wire.Message) -> None:
        """Sends a message to all nodes in touch."""
        for node in self.nodes:
            if node is not sender:
                self.send(sender, node.name, message)

    def send(self, sender: _Node, node_id: str, message: wire.Message) -> bool:
        """Sends a message unless one of the nodes is cut off."""
        (node,) = (node for node in self.nodes if node.name == node_id)
        if sender.is_cut_off or node.is_cut_off:
            return False
        node.receive(sender, message)
        return True

    async def restart_all(self) -> None:
        """Kills all processes at the same moment, and starts them again."""
        for node in self.nodes:
            node.restart_process()
        for node in self.nodes:
            await node.read_store()

    async def write_store(self) -> None:
        """Has all nodes write what is due."""
        for node in self.nodes:
            await node.write_store()

    async def exchange_states(self) -> None:
        """Has all nodes send their state, as they do when a link is up."""
        for node in self.nodes:
            self.broadcast(node, node.make_state())
        await asyncio.sleep(_CATCH_UP_S)

    def submit(
        self, node: _Node, request_id: str, target: str, *, key: int = 1
    ) -> Any:  # noqa: ANN401
        """Submits a request, and keeps its outcome."""
        self._number += 1
        work = wire.Work(
            origin="o",
            number=self._number,
            target_incarnation="i",
            request_id=request_id,
            service="s",
            route="r",
            priority=1,
            is_call=False,
            is_once=False,
            key=key,
            target_ms=60_000,
            deadline_ms=2_000,
            may_wait=True,
            method=b"GET",
            target=target.encode(),
            head=b"%b: %b\r\n" % (headers.REQUEST_ID, request_id.encode()),
            body=b"",
        )

        def finish(outcome: wire.Outcome) -> None:
            self.outcomes[request_id] = outcome
            if outcome.verdict == wire.Verdict.MAY_HAVE_RUN:
                known = [
                    len(other.upstream.crashes.list_reports())
                    for other in self.nodes
                ]
                self.known_counts.append((self.count_crashes(), min(known)))

        return node.upstream.submit(work, finish)

    def submit_companions(self, node: _Node, label: str) -> None:
        """Submits requests that run beside another one."""
        for number in range(_COMPANION_COUNT):
            self.submit(node, f"{label}-{number}", f"/other/{label}/{number}")

    async def close(self) -> None:
        """Closes all sockets, and ends all tasks."""
        for node in self.nodes:
            node.close()
            node.server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_crashes(self) -> int:
        """Counts the servers that crashed."""
        return sum(node.server.crash_count for node in self.nodes)

    def list_refused(self) -> list[str]:
        """Lists the ids of the requests that were refused as poison."""
        return [
            request_id
            for request_id, outcome in self.outcomes.items()
            if outcome.reason == wire.Reason.POISON
        ]


@behave.given(
    "4 nodes with a server each, and a request that crashes the servers that"
    " run it"
)
def open_cluster(context: runner.Context) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.loop.run_until_complete(_open(context))
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.cluster.close())
    )


async def _open(context: runner.Context) -> None:
    context.cluster = _Cluster()
    for node in context.cluster.nodes:
        await node.start()
        await node.read_store()


async def _send(
    cluster: _Cluster, number: int, node: _Node, target: str = "/report/7"
) -> Any:  # noqa: ANN401
    cluster.submit_companions(node, f"s{number}")
    job = cluster.submit(node, f"{_CRASHING}-{number}", target)
    await asyncio.sleep(_PAUSE_S)
    return job


async def _recover(node: _Node) -> None:
    """Starts a crashed server again, and the requests that wait for it."""
    if node.server.crash_count >= node.server.life_count:
        await node.restart_server()
        await asyncio.sleep(2 * _RUN_S)


async def _send_plain(cluster: _Cluster, number: int, node: _Node) -> None:
    await _send(cluster, number, node)


async def _send_with_twins(cluster: _Cluster, number: int, node: _Node) -> None:
    await _send(cluster, number, node)
    for other in cluster.nodes:
        if other is not node:
            cluster.submit(other, f"twin-{number}-{other.name}", "/report/7")
    await asyncio.sleep(2 * _RUN_S)


async def _send_with_query(cluster: _Cluster, number: int, node: _Node) -> None:
    await _send(cluster, number, node, f"/report/7?page={number}")


async def _send_after_restart(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    node.restart_process()
    await cluster.exchange_states()
    await _send(cluster, number, node)


async def _send_after_cut(cluster: _Cluster, number: int, node: _Node) -> None:
    for other in cluster.nodes:
        other.is_cut_off = other is not node
    await _send(cluster, number, node)
    for other in cluster.nodes:
        other.is_cut_off = False
    await cluster.exchange_states()


async def _send_and_kill(cluster: _Cluster, number: int, node: _Node) -> None:
    await _send(cluster, number, node)
    await cluster.write_store()
    await cluster.restart_all()


async def _send_and_kill_twice(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    if number in _KILLED_BEFORE:
        await cluster.write_store()
        await cluster.restart_all()
    await _send(cluster, number, node)


async def _send_and_roll(cluster: _Cluster, number: int, node: _Node) -> None:
    await _send(cluster, number, node)
    await cluster.write_store()
    for other in cluster.nodes:
        other.restart_process()
    for other in reversed(cluster.nodes):
        await other.read_store()


async def _send_in_outage(cluster: _Cluster, number: int, node: _Node) -> None:
    if number == _KILLED_BEFORE[0] - 1:
        await cluster.write_store()
        cluster.store.is_up = False
    if number in _KILLED_BEFORE:
        await cluster.write_store()
        await cluster.restart_all()
        cluster.store.is_up = True
        await cluster.restart_all()
    await _send(cluster, number, node)


async def _send_after_outage(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    cluster.store.is_up = False
    await _send(cluster, number, node)
    cluster.store.is_up = True
    await cluster.write_store()
    await cluster.restart_all()


async def _send_after_restore(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    cluster.store.copy()
    await _send(cluster, number, node)
    await cluster.write_store()
    cluster.store.restore()
    for other in cluster.nodes:
        await other.read_store()
    await cluster.write_store()
    await cluster.restart_all()


async def _send_and_lose_answers(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    cluster.store.loses_answers = True
    await _send(cluster, number, node)
    if node.crash_store.is_due:
        await node.crash_store.write()
    cluster.store.loses_answers = False
    await cluster.write_store()
    await cluster.restart_all()


async def _send_and_kill_both(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    cluster.submit_companions(node, f"s{number}")
    cluster.submit(node, f"{_CRASHING}-{number}", "/report/7")
    crash_count = node.server.crash_count
    for _ in range(int(_PAUSE_S / _STORE_TICK_S)):
        await asyncio.sleep(_STORE_TICK_S / 4)
        if node.server.crash_count > crash_count:
            break
    node.restart_process()
    await cluster.exchange_states()


async def _send_beside_odd_rows(
    cluster: _Cluster, number: int, node: _Node
) -> None:
    for name, content in _ODD_ROWS.items():
        cluster.store.put(store_access.make_crash_key(name), content)
    await _send_and_kill(cluster, number, node)


async def _send_to_silent(cluster: _Cluster, number: int, node: _Node) -> None:
    node.server.falls_silent = True
    crash_count = node.server.crash_count
    await _send(cluster, number, node)
    if node.server.crash_count > crash_count:
        node.upstream.stop_serving(wire.Reason.SERVER_GONE)


async def _send_to_quick(cluster: _Cluster, number: int, node: _Node) -> None:
    cluster.submit_companions(node, f"s{number}")
    cluster.submit(node, f"{_CRASHING}-{number}", "/report/7")
    await asyncio.sleep(_CRASH_DELAY_S + 0.005)
    if node.server.crash_count >= node.server.life_count:
        await node.server.start()
    await asyncio.sleep(_PAUSE_S)
    node.see_server()


async def _send_five(cluster: _Cluster, number: int, node: _Node) -> None:
    cluster.submit_companions(node, f"s{number}")
    for copy in range(5):
        cluster.submit(node, f"{_CRASHING}-{number}-{copy}", "/report/7")
    await asyncio.sleep(_PAUSE_S)


async def _send_and_leave(cluster: _Cluster, number: int, node: _Node) -> None:
    cluster.submit_companions(node, f"s{number}")
    job = cluster.submit(node, f"{_CRASHING}-{number}", "/report/7")
    await asyncio.sleep(_CRASH_DELAY_S / 2)
    if job is not None:
        node.upstream.cancel(job)
    await asyncio.sleep(_PAUSE_S)


async def _send_to_queue(cluster: _Cluster, number: int, node: _Node) -> None:
    last = cluster.nodes[-1]
    if number == _COUNT_BEFORE_QUEUE:
        last.upstream.set_server(f"{last.name}-1", 1, born_ms=1)
        cluster.submit(last, _SLOW, "/slow")
    if number >= _COUNT_BEFORE_QUEUE:
        cluster.submit(last, f"{_CRASHING}-{number}", "/report/7")
    if number == _COUNT_BEFORE_QUEUE:
        await _send(cluster, 9, node)
        await asyncio.sleep(_SLOW_RUN_S)
    if number < _COUNT_BEFORE_QUEUE:
        await _send(cluster, number, node)


_WAYS: dict[str, Callable[[_Cluster, int, _Node], Any]] = {
    "": _send_plain,
    ", with answers to equal requests between": _send_with_twins,
    ", with another query each time": _send_with_query,
    ", while each node is restarted before it gets it": _send_after_restart,
    ", while each node was cut off when the others crash": _send_after_cut,
    ", and the servers fall silent and start again": _send_to_silent,
    ", and the servers start again before their node looks": _send_to_quick,
    ", and its caller leaves before the server closes connections": (
        _send_and_leave
    ),
    ", five of its kind at once": _send_five,
    ", and waits while the third crash is reported": _send_to_queue,
    ", and all nodes are killed after each": _send_and_kill,
    ", and all nodes are killed twice after the third": _send_and_kill_twice,
    ", and overlapping restarts leave no node that knows": _send_and_roll,
    ", and all nodes are killed in an outage and again": _send_in_outage,
    ", each time in an outage that ends before all are killed": (
        _send_after_outage
    ),
    ", and the store comes back from a copy before all are killed": (
        _send_after_restore
    ),
    ", and the store loses answers before all are killed": (
        _send_and_lose_answers
    ),
    ", beside odd rows of another writer": _send_beside_odd_rows,
    ", and each node is killed with its server": _send_and_kill_both,
}


@behave.when("it is sent {count:d} times beside other requests")
def send(context: runner.Context, count: int) -> None:
    send_in_way(context, count, "")


@behave.when("it is sent {count:d} times beside other requests{way}")
def send_in_way(context: runner.Context, count: int, way: str) -> None:
    context.loop.run_until_complete(_send_all(context, count, _WAYS[way]))


async def _send_all(
    context: runner.Context,
    count: int,
    way: Callable[[_Cluster, int, _Node], Any],
) -> None:
    cluster = context.cluster
    for number in range(count):
        node = cluster.nodes[number % len(cluster.nodes)]
        await way(cluster, number, node)
        await _recover(node)


@behave.when(
    "servers crash {count:d} times beside a popular request, {together}"
)
def crash_servers(context: runner.Context, count: int, together: str) -> None:
    context.loop.run_until_complete(
        _crash_servers(context, count, is_at_once=together == "all at once")
    )


async def _crash_servers(
    context: runner.Context, count: int, *, is_at_once: bool
) -> None:
    cluster = context.cluster
    for number in range(count):
        if is_at_once and number:
            break
        await _serve_popular(cluster, f"a{number}", rounds=10)
        for node in cluster.nodes:
            cluster.submit_companions(node, f"b{number}-{node.name}")
            cluster.submit(node, f"c{number}-{node.name}", "/popular", key=-1)
        await asyncio.sleep(_CRASH_DELAY_S)
        crashing = cluster.nodes[:count] if is_at_once else cluster.nodes[:1]
        for node in crashing:
            node.server.crash()
        await asyncio.sleep(_PAUSE_S)
        for node in crashing:
            await node.restart_server()
    await _serve_popular(cluster, "end", rounds=2)


async def _serve_popular(cluster: _Cluster, label: str, *, rounds: int) -> None:
    """Has all nodes answer a popular request again and again."""
    for number in range(rounds):
        for node in cluster.nodes:
            cluster.submit(
                node, f"{label}-{number}-{node.name}", "/popular", key=-1
            )
        await asyncio.sleep(_RUN_S + 0.005)


@behave.then("it has crashed at most {count:d} servers")
def check_crashes(context: runner.Context, count: int) -> None:
    assert (
        context.cluster.count_crashes() <= count
    ), context.cluster.count_crashes()


@behave.then(
    "each node knew of each crash when the requests that it ended were answered"
)
def check_known(context: runner.Context) -> None:
    found = context.cluster.known_counts
    assert len(found) == 2 * (_COMPANION_COUNT + 1), found
    assert all(known == crashed for crashed, known in found), found


@behave.then("servers got it at most {count:d} times")
def check_poison_count(context: runner.Context, count: int) -> None:
    found = sum(node.server.poison_count for node in context.cluster.nodes)
    assert found <= count, found


@behave.then("no other request was refused as poison")
def check_refused(context: runner.Context) -> None:
    refused = context.cluster.list_refused()
    others = [
        request_id
        for request_id in refused
        if not request_id.startswith((_CRASHING, "twin"))
    ]
    assert not others, others


def _crash_server(node: simulated_node.SimulatedNode) -> None:
    now_ms = node.cluster.now_ms
    node.ownership.add_crash(
        poison.Crash(
            crash_id=f"crash-{now_ms}",
            happened_at_ms=now_ms,
            suspects=(poison.Suspect(fingerprint=7, started_at_ms=now_ms - 9),),
            is_alone=True,
            reporter="n1",
        )
    )


@behave.when("its server crashes")
def crash_server(context: runner.Context) -> None:
    _crash_server(context.node)


@behave.when("its server crashes {count:d} times within {duration:d} ms")
def crash_often(context: runner.Context, count: int, duration: int) -> None:
    cluster = context.node.cluster
    context.revisions = set()
    key = store_access.make_crash_key("n1")
    for _ in range(count):
        _crash_server(context.node)
        cluster.run(duration // count)
        context.revisions.add(cluster.rows.get(key, (b"", 0))[1])


@behave.then("it has written its crashes at most {most:d} times")
def check_writes(context: runner.Context, most: int) -> None:
    count = len(context.revisions - {0})
    assert 0 < count <= most, context.revisions


@behave.then("it has read {count:d} crash of its server")
@behave.then("it has read {count:d} crashes of its server")
def check_read(context: runner.Context, count: int) -> None:
    found = {crash.crash_id for crash in context.node.read_crashes}
    assert len(found) == count, found


@behave.given("the row of a node that is gone, with a crash {age:d} s ago")
def put_row(context: runner.Context, age: int) -> None:
    cluster = context.node.cluster
    happened_at_ms = cluster.now_ms - age * 1_000
    crash = poison.Crash(
        crash_id="gone",
        happened_at_ms=happened_at_ms,
        suspects=(poison.Suspect(fingerprint=7, started_at_ms=happened_at_ms),),
        is_alone=True,
        reporter="n9",
    )
    cluster.revision += 1
    content = stored_crashes.encode(
        [crash],
        now_ms=cluster.now_ms,
        store_ms=cluster.read_store_clock_ms(),
    )
    key = store_access.make_crash_key("n9")
    cluster.rows[key] = (content, cluster.revision)


@behave.when("the first of all nodes restarts, and {passed:d} ms pass")
def restart_first(context: runner.Context, passed: int) -> None:
    cluster = context.node.cluster
    cluster.nodes["n0"].start()
    cluster.run(passed)


@behave.then("the row of the node that is gone {what}")
def check_gone_row(context: runner.Context, what: str) -> None:
    key = store_access.make_crash_key("n9")
    is_kept = key in context.node.cluster.rows
    assert is_kept == (what == "is kept"), context.node.cluster.rows


@behave.given("{count:d} nodes whose servers crash at the same moment")
def crash_all(context: runner.Context, count: int) -> None:
    clock = [0]
    context.due_at_ms = {}
    stores = [
        _make_crash_store(number, count, clock) for number in range(count)
    ]
    while len(context.due_at_ms) < count and clock[0] < _MAX_SPREAD_MS:
        for number, item in enumerate(stores):
            if item.is_due:
                context.due_at_ms.setdefault(number, clock[0])
        clock[0] += 10


def _make_crash_store(
    number: int, count: int, clock: list[int]
) -> crash_store.CrashStore:
    """Makes the store of a node whose server has just crashed."""
    client: Any = router_doubles.MemoryStore()
    event_log: Any = router_doubles.SilentEventLog()
    access = store_access.StoreAccess(
        client=client, events=event_log, now_ms=lambda: clock[0]
    )
    access.clock.observe(sent_at_ms=0, store_ms=1)
    made = crash_store.CrashStore(
        node_id=f"n{number}",
        access=access,
        events=event_log,
        now_ms=lambda: clock[0],
        count_nodes=lambda: count,
        random_source=random.Random(number),
    )
    suspect = poison.Suspect(fingerprint=7, started_at_ms=0)
    made.add(
        poison.Crash(
            crash_id=f"crash-{number}",
            happened_at_ms=0,
            suspects=(suspect,),
            is_alone=True,
            reporter=f"n{number}",
        )
    )
    return made


@behave.then("at most {most:d} of them write their crashes in any second")
def check_spread(context: runner.Context, most: int) -> None:
    times = sorted(context.due_at_ms.values())
    for begin in times:
        found = sum(begin <= at_ms < begin + 1_000 for at_ms in times)
        assert found <= most, (begin, found)


@behave.then("all of them have written them after {last:d} ms")
def check_last(context: runner.Context, last: int) -> None:
    assert max(context.due_at_ms.values()) <= last
