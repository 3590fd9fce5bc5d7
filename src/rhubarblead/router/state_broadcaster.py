"""Broadcasts the state of this node on change, and its load periodically."""

import asyncio
from collections.abc import Callable

from rhubarblead.router import config_feed
from rhubarblead.router import directory
from rhubarblead.router import load_reports
from rhubarblead.router import ownership
from rhubarblead.router import peers
from rhubarblead.router import store_client
from rhubarblead.router import upstream
from rhubarblead.router import wire

REPORT_INTERVAL_S = 0.5
"""Interval of checks for a changed load, by which hot keys move."""

REPORTS_PER_LOAD = 3
"""Checks between full load reports, in which waits count as well."""

MAX_FAST_PEERS = 40
"""Nodes of a keyed service up to which changes are told at each check.

At two checks a second, a node sends them at most 80 messages a second.
"""

LOADS_PER_KEEPALIVE = 4
"""Full load reports after which all nodes hear of this one at the latest.

A node that isn't heard of for 8 s counts as gone.
"""

KEEPALIVES_PER_STATE = 2
"""Every second one is the full state, which repairs missed state changes."""


class StateBroadcaster:
    """Maintains the state of this node, and sends it to the other nodes."""

    __slots__ = (
        "_client",
        "_config",
        "_directory",
        "_links",
        "_now_ms",
        "_ownership",
        "_sent_load",
        "_state",
        "_upstream",
        "is_stopping",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        links: peers.Links,
        local_upstream: upstream.Upstream,
        key_ownership: ownership.Ownership,
        config: config_feed.ConfigFeed,
        client: store_client.StoreClient,
        now_ms: Callable[[], int],
    ) -> None:
        """Initializes the broadcaster.

        Args:
            cluster_directory: The local view of the cluster, with the state of
                this node.
            links: The links to the other nodes.
            local_upstream: The server beside this node.
            key_ownership: Manages key ownership, and knows the server process.
            config: The configuration, whose version is reported.
            client: The client of the store.
            now_ms: The clock.
        """
        self._directory = cluster_directory
        self._state = cluster_directory.own_state
        self._links = links
        self._upstream = local_upstream
        self._ownership = key_ownership
        self._config = config
        self._client = client
        self._now_ms = now_ms
        self._sent_load = self._state.load
        self.is_stopping = False

    def refresh(self) -> wire.State:
        """Updates the state of this node, and returns it."""
        state = self._state
        server = self._ownership.server
        state.born_ms = server.born_ms if server is not None else 0
        state.is_serving = self._upstream.is_serving
        state.is_stopping = self.is_stopping
        state.slot_count = self._upstream.wait_queue.slot_count
        state.assignments = self._directory.list_revisions()
        state.load = self._measure_load()
        state.statement = self._upstream.statements.make_statement()
        state.crash_digest = self._upstream.crashes.compute_digest()
        return state

    def broadcast(self) -> None:
        """Sends the updated state to all nodes."""
        self._links.broadcast(self.refresh())
        self._sent_load = self._state.load

    def notify_version(self, version: int) -> None:
        """Tells all nodes of a configuration, unless another node has.

        Args:
            version: The version that this node has read from the store.
        """
        is_known = version < self._config.version or any(
            state.load.config_version >= version
            for state in self._directory.list_states()
        )
        if is_known:
            return
        self._sent_load = self.refresh().load
        self._links.broadcast(self._make_message(self._sent_load))

    async def run(self) -> None:
        """Sends changes of the load, and a sign of life every few times."""
        count = 0
        while True:
            if count % REPORTS_PER_LOAD:
                self._report_change()
            else:
                self._report(count // REPORTS_PER_LOAD)
            count += 1
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _report_change(self) -> None:
        """Tells the nodes that may give or take keys of a changed load."""
        peer_count = self._directory.count_servers(self._state.service) - 1
        if not self._is_keyed() or not 0 < peer_count <= MAX_FAST_PEERS:
            return
        load = self.refresh().load
        if load_reports.has_load_changed(self._sent_load, load):
            self._send_load(load)

    def _report(self, count: int) -> None:
        """Sends what is due at the `count`th full report."""
        if count % (LOADS_PER_KEEPALIVE * KEEPALIVES_PER_STATE) == 0:
            self.broadcast()
            return
        load = self.refresh().load
        # All nodes need the nested calls, which change seldom.
        is_keepalive = (
            count % LOADS_PER_KEEPALIVE == 0
            or load_reports.have_calls_changed(self._sent_load, load)
        )
        if not is_keepalive and not load_reports.is_worth_sending(
            self._sent_load, load
        ):
            return
        if is_keepalive:
            self._sent_load = load
            self._links.broadcast(self._make_message(load))
            return
        self._send_load(load)

    def _make_message(self, load: wire.ServerLoad) -> wire.Load:
        return wire.Load(incarnation=self._state.incarnation, load=load)

    def _send_load(self, load: wire.ServerLoad) -> None:
        self._sent_load = load
        message = self._make_message(load)
        # Requests to a sharded service are routed by key, so that its load
        # matters only to rebalancing between nodes of the same service.
        for state in self._directory.list_states():
            if not self._is_keyed() or state.service == self._state.service:
                self._links.send(state.node_id, message)

    def _is_keyed(self) -> bool:
        table = self._directory.table
        return table is not None and table.is_keyed(self._state.service)

    def _measure_load(self) -> wire.ServerLoad:
        wait_queue = self._upstream.wait_queue
        now_ms = self._now_ms()
        capacity_per_s = self._upstream.find_capacity_per_s()
        rate = sum(self._upstream.find_rates().values())
        return wire.ServerLoad(
            wait_ms=int(wait_queue.estimate_wait_ms(now_ms, is_call=False)),
            call_wait_ms=int(wait_queue.estimate_wait_ms(now_ms, is_call=True)),
            service_ms={}
            if self._is_keyed()
            else wait_queue.times.list_valid(now_ms),
            load_per_mille=int(1_000 * rate / capacity_per_s),
            # At least 1, as the loads of servers are weighted by it.
            capacity_per_s=max(1, round(capacity_per_s)),
            has_store=self._client.is_working,
            config_version=self._config.version,
            link_backlog_ms=int(self._upstream.link_load.find_backlog_ms()),
            nested_calls=self._upstream.nested_calls.find_per_run(),
        )
