"""Steps for the exchange of state between nodes."""

import asyncio
from typing import Any

import behave
from behave import runner

from rhubarblead.router import directory
from rhubarblead.router import state_sync
from rhubarblead.router import wire
from tests import router_doubles
from tools import config_storm


class _Links:
    """Links that record what is sent."""

    def __init__(self) -> None:
        self.requested: list[str] = []
        self.sent: list[wire.Message] = []

    def connect(self, node_id: str, address: str) -> None:
        """Records a requested link."""
        del address
        self.requested.append(node_id)

    def is_up(self, node_id: str) -> bool:
        """Returns that no link is up."""
        del node_id
        return False

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Records the message, and returns that it was sent."""
        del node_id
        self.sent.append(message)
        return True


class _Config:
    """A configuration, at first newer than that of any other node."""

    def __init__(self) -> None:
        self.version = 1_000
        self.check_count = 0

    def check_missed(self) -> None:
        """Counts the checks for a missed version."""
        self.check_count += 1


class _Ownership:
    """Ownership whose assignment fits no change."""

    def __init__(self) -> None:
        self.assignments = self

    def apply_change(self, change: wire.AssignmentChange) -> bool:
        """Returns that the change couldn't be applied."""
        del change
        return False


def _make_state(node_id: str) -> wire.State:
    return router_doubles.make_state(node_id, "s", incarnation=f"{node_id}-b")


@behave.given("a node that receives states of other nodes")
def make(context: runner.Context) -> None:
    context.loop = config_storm.VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.links = _Links()
    context.cluster_directory = directory.Directory(own_state=_make_state("n1"))
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    unused: Any = None
    links: Any = context.links
    context.own_config = _Config()
    config: Any = context.own_config
    key_ownership: Any = _Ownership()
    context.is_store_working = True
    context.state_sync = state_sync.StateSync(
        cluster_directory=context.cluster_directory,
        links=links,
        config=config,
        key_ownership=key_ownership,
        events=unused,
        now_ms=lambda: int(context.loop.time() * 1_000),
        on_peer_state=lambda node_id: None,
        is_store_working=lambda: context.is_store_working,
    )


@behave.when("the state of node {name:w} arrives while the link to it is down")
def receive_state(context: runner.Context, name: str) -> None:
    context.state_sync.handle_state(_make_state(name))


@behave.when("the link to {name:w} is lost, and its state arrives again")
def lose_link(context: runner.Context, name: str) -> None:
    context.cluster_directory.mark_lost(name, 0)
    receive_state(context, name)


@behave.when("the link to {name:w} is up again")
def restore_link(context: runner.Context, name: str) -> None:
    context.cluster_directory.mark_linked(name, 0)


@behave.given(
    "its store {works}, so that it is {lag:d} ms behind the configuration"
)
def set_lag(context: runner.Context, works: str, lag: int) -> None:
    context.is_store_working = works == "answers"
    context.lag_ms = lag


@behave.when("61 nodes report a new version each {gap:d} ms for {length:d} s")
def report_versions(context: runner.Context, gap: int, length: int) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        context.own_config.version = 0
        for number in range(61):
            context.state_sync.handle_state(_make_state(f"p{number}"))
        while (elapsed_ms := (loop.time() - started_at_s) * 1_000) < (
            length * 1_000
        ):
            version = 1 + int(elapsed_ms / gap)
            behind = 1 + int((elapsed_ms - context.lag_ms) / gap)
            context.own_config.version = max(0, behind)
            # Each node reports its load every 1.5 s.
            for number in range(61):
                if int(elapsed_ms / 25) % 60 == number % 60:
                    context.state_sync.handle_load(
                        wire.Load(
                            incarnation=f"p{number}-b",
                            load=wire.ServerLoad(config_version=version),
                        )
                    )
            await asyncio.sleep(0.025)

    context.loop.run_until_complete(run())


@behave.then("it has asked for a configuration {least:d} to {most:d} times")
def check_config_requests(
    context: runner.Context, least: int, most: int
) -> None:
    found = context.links.sent.count(wire.SnapshotRequest(service=""))
    assert least <= found <= most, found


@behave.when(
    "{count:d} changes of an assignment arrive within {length:d} ms that don't"
    " fit its own"
)
def receive_changes(context: runner.Context, count: int, length: int) -> None:
    async def run() -> None:
        for number in range(count):
            context.state_sync.handle(
                wire.AssignmentChange(
                    service="s",
                    base_revision=number + 5,
                    revision=number + 6,
                    transfers=wire.RangeTransfers(owners=[], rows=[]),
                ),
                context.links.sent.append,
            )
            await asyncio.sleep(length / count / 1_000)

    context.loop.run_until_complete(run())


@behave.then("it has asked for an assignment {count:d} times")
def check_requests(context: runner.Context, count: int) -> None:
    found = context.links.sent.count(wire.SnapshotRequest(service="s"))
    assert found == count, found


@behave.then("node {name:w} is not known")
def check_unknown(context: runner.Context, name: str) -> None:
    assert context.cluster_directory.find_state(name) is None


@behave.when("a load of {load:d} arrives from its process")
def receive_load(context: runner.Context, load: int) -> None:
    _receive_load(context, "n2-b", load)


@behave.when("a load of {load:d} arrives from an earlier process of n2")
def receive_earlier_load(context: runner.Context, load: int) -> None:
    _receive_load(context, "n2-a", load)


def _receive_load(context: runner.Context, incarnation: str, load: int) -> None:
    context.state_sync.handle_load(
        wire.Load(
            incarnation=incarnation, load=wire.ServerLoad(load_per_mille=load)
        )
    )


@behave.then("node {name:w} is known")
def check_known(context: runner.Context, name: str) -> None:
    assert context.cluster_directory.find_state(name) is not None


@behave.then("a link to {name:w} is requested")
def check_requested(context: runner.Context, name: str) -> None:
    assert context.links.requested == [name]


@behave.then("the load of {name:w} is {load:d}")
def check_load(context: runner.Context, name: str, load: int) -> None:
    assert (
        context.cluster_directory.find_state(name).load.load_per_mille == load
    )
