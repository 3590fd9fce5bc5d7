"""Steps for the reports of a node's load."""

import asyncio
import types
from typing import Any

import behave
from behave import runner

from rhubarblead import routing_table
from rhubarblead.requests import link_load
from rhubarblead.requests import nested_calls
from rhubarblead.requests import waiting
from rhubarblead.router import directory
from rhubarblead.router import load_reports
from rhubarblead.router import state_broadcaster
from rhubarblead.router import wire
from tests import router_doubles


def _read_load(text: str) -> wire.ServerLoad:
    load = wire.ServerLoad()
    for word in text.split():
        name, _, value = word.partition("=")
        if name.startswith("r"):
            load.service_ms[name] = int(value)
        else:
            setattr(load, name, int(value))
    return load


@behave.given('a load report with "{text}"')
def set_previous(context: runner.Context, text: str) -> None:
    context.previous = _read_load(text)


@behave.when('the load is "{text}"')
def set_now(context: runner.Context, text: str) -> None:
    context.is_worth_sending = load_reports.is_worth_sending(
        context.previous, _read_load(text)
    )


def _read_calls(text: str) -> wire.ServerLoad:
    pairs = (word.partition("=")[::2] for word in text.split())
    return wire.ServerLoad(
        nested_calls={service: float(count) for service, count in pairs}
    )


@behave.given('runs were reported to make "{text}" calls')
@behave.given('runs were reported to make "" calls')
def set_previous_calls(context: runner.Context, text: str = "") -> None:
    context.previous = _read_calls(text)


@behave.when('they make "{text}" calls')
def set_calls(context: runner.Context, text: str) -> None:
    context.have_changed = load_reports.have_calls_changed(
        context.previous, _read_calls(text)
    )


@behave.then("that {outcome} worth telling all nodes")
def check_calls(context: runner.Context, outcome: str) -> None:
    assert context.have_changed == (outcome == "is")


@behave.then("a report {outcome} worth sending")
def check(context: runner.Context, outcome: str) -> None:
    assert context.is_worth_sending == (outcome == "is")


@behave.then(
    "the longest interval between two reports to all nodes is shorter than"
    " {most:d} ms"
)
def check_interval(context: runner.Context, most: int) -> None:
    del context
    interval_s = (
        state_broadcaster.LOADS_PER_KEEPALIVE
        * state_broadcaster.REPORTS_PER_LOAD
        * state_broadcaster.REPORT_INTERVAL_S
    )
    assert most == directory.STATE_VALID_MS
    assert interval_s * 1_000 < most


class _Links:
    """Links that record which nodes are sent something."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Records a message to one node."""
        assert isinstance(message, wire.Load), message
        self.told.append(node_id)
        return True

    def broadcast(self, message: wire.Message) -> None:
        """Passes over messages to all nodes."""


class _Upstream:
    """A local server with the rates that the test has set."""

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.wait_queue = waiting.WaitQueue(slot_count=6)
        self.link_load = link_load.LinkLoad(
            bytes_per_ms=1_250, min_bytes=8_000, find_queued_bytes=lambda: 0
        )
        self.crashes = self
        self.statements = self
        self.is_serving = True
        self.nested_calls = nested_calls.NestedCalls()

    def compute_digest(self) -> int:
        """Returns the digest of no crashes."""
        return 0

    def make_statement(self) -> None:
        """Returns that the server states nothing."""

    def find_capacity_per_s(self) -> float:
        """Returns a fixed capacity."""
        return 30.0

    def find_rates(self) -> dict[int, float]:
        """Returns the rate of the only key."""
        return {7: self.rate_per_s}


@behave.given(
    "a node of a {kind:w} service with {count:d} other nodes, and one of"
    " another"
)
def make_broadcaster(context: runner.Context, kind: str, count: int) -> None:
    cluster_directory = directory.Directory(
        own_state=router_doubles.make_state("n0", "s")
    )
    for number in range(count):
        cluster_directory.update_state(
            router_doubles.make_state(f"n{number + 1}", "s"), 0
        )
    cluster_directory.update_state(router_doubles.make_state("m", "t"), 0)
    cluster_directory.table = routing_table.RoutingTable(
        version=1,
        routes=(),
        services=(routing_table.Service(name="s", is_keyed=kind == "keyed"),),
        limits=routing_table.ClientLimits(),
    )
    links: Any = _Links()
    local_upstream: Any = _Upstream()
    part: Any = types.SimpleNamespace(server=None, version=1, is_working=True)
    context.links, context.local_upstream = links, local_upstream
    context.broadcaster = state_broadcaster.StateBroadcaster(
        cluster_directory=cluster_directory,
        links=links,
        local_upstream=local_upstream,
        key_ownership=part,
        config=part,
        client=part,
        now_ms=lambda: 0,
    )


@behave.when("its load changes and 0.6 s pass")
def change_load(context: runner.Context) -> None:
    async def pass_time() -> None:
        running = asyncio.create_task(context.broadcaster.run())
        await asyncio.sleep(0.1)
        context.local_upstream.rate_per_s = 20.0
        await asyncio.sleep(0.5)
        running.cancel()

    asyncio.run(pass_time())


@behave.then("{count:d} nodes were told of it")
def check_told(context: runner.Context, count: int) -> None:
    assert len(context.links.told) == count, context.links.told
