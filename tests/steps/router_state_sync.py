"""Steps for the exchange of state between nodes."""

import asyncio
from typing import Any

import behave
from behave import runner

from rhubarblead.router import directory
from rhubarblead.router import state_sync
from rhubarblead.router import wire
from tests import router_doubles


class _Links:
    """Links that are all down."""

    def __init__(self) -> None:
        self.requested: list[str] = []

    def connect(self, node_id: str, address: str) -> None:
        """Records a requested link."""
        del address
        self.requested.append(node_id)

    def is_up(self, node_id: str) -> bool:
        """Returns that no link is up."""
        del node_id
        return False

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Returns that the message wasn't sent."""
        del node_id, message
        return False


class _Config:
    """A configuration newer than that of any other node."""

    version = 1_000


def _make_state(node_id: str) -> wire.State:
    return router_doubles.make_state(node_id, "s", incarnation=f"{node_id}-b")


@behave.given("a node that receives states of other nodes")
def make(context: runner.Context) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.links = _Links()
    context.cluster_directory = directory.Directory(own_state=_make_state("n1"))
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    unused: Any = None
    links: Any = context.links
    config: Any = _Config()
    context.state_sync = state_sync.StateSync(
        cluster_directory=context.cluster_directory,
        links=links,
        config=config,
        key_ownership=unused,
        events=unused,
        now_ms=lambda: 0,
        on_peer_state=lambda node_id: None,
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
