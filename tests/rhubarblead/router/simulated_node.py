"""A simulated node with its handler of the calls of the local server."""

import json
from typing import Any

from rhubarblead.platform import settings
from rhubarblead.requests import link_load
from rhubarblead.requests import poison
from rhubarblead.router import heartbeat_handler
from rhubarblead.router import http_server
from rhubarblead.router import server_process
from rhubarblead.router import upstream
from tests.rhubarblead.router import simulated_cluster

SERVER_ID = "i-1"
START_MS = 50
BORN_MS = 100
LATER_BORN_MS = 200
WALL_MS = (BORN_MS + LATER_BORN_MS) // 2
ADDRESS = settings.Address(ip="127.0.0.1", port=9)
USUAL_ADDRESS = settings.Address(ip="127.0.0.1", port=10)
DOMAIN = "d1"
SERVICE = simulated_cluster.SERVICE


class _Exchange:
    """One call of the server."""

    def __init__(
        self, call: str, body: dict[str, Any] | None, *, server_id: str
    ) -> None:
        self.target = f"/rpc?call=instances.{call}&of={server_id}".encode()
        self.body = b"" if body is None else json.dumps(body).encode()

        self.reply: dict[str, Any] | None = None
        self.status = 0

    def finish(self, response: http_server.Response) -> None:
        """Records the reply."""
        self.status = response.status
        self.reply = json.loads(response.body or b"null")


class SimulatedNode:
    """A node with its handler of heartbeats, without sockets."""

    def __init__(self, *, is_keyed: bool = True, era: int = 0) -> None:
        # The node starts before its server.
        self.wall_ms = START_MS
        self.cluster = simulated_cluster.SimulatedCluster(
            node_count=2,
            seed=1,
            era=era,
            is_keyed=is_keyed,
            read_wall_ms=lambda: self.wall_ms,
        )
        self.events: Any = simulated_cluster.RecordingEventLog()
        self.server_id = SERVER_ID
        self.born_ms = BORN_MS
        self.sequence = 0
        # Whether the server sends heartbeats to the address of a reply.
        self.follows_replies = True
        # The servers whose health checks say that they aren't leaving.
        self.healthy_ids: set[str] = set()
        self.named_address = ""
        self.wall_ms = WALL_MS
        self.cluster.loop.run_until_complete(self._open())
        # This process has run for so long that no heartbeat that arrives was
        # sent before; those that `restart` begins have not.
        tracker = self.ownership._tracker
        tracker._started_at_ms -= server_process.MAX_LATE_MS

    def read_row(self) -> None:
        """Reads the node's row, after which heartbeats are believed."""
        self.cluster.loop.run_until_complete(self.ownership.step())

    def begin_stop(self) -> None:
        """Does what a node does with its row when it is asked to stop."""
        self.ownership.is_stopping = True
        self.cluster.loop.run_until_complete(self.ownership.renew_before_stop())

    def restart(self) -> None:
        """Starts a new process of the node, which remembers nothing."""
        self.wall_ms += 1
        self.cluster.nodes["n1"].start()
        self.cluster.loop.run_until_complete(self._open())

    async def _open(self) -> None:
        self.ownership = self.cluster.nodes["n1"].ownership
        self.read_crashes: list[poison.Crash] = []
        self.ownership.crash_store.on_read = self.read_crashes.extend
        self.upstream = upstream.Upstream(
            address=ADDRESS,
            events=self.events,
            now_ms=lambda: self.cluster.now_ms,
            is_held=lambda key: True,
            is_owned=lambda key: True,
            link=link_load.LinkLoad(
                bytes_per_ms=1_250, min_bytes=8_000, find_queued_bytes=lambda: 0
            ),
            count_servers=lambda: 1,
            broadcast=lambda message: None,
        )
        self.handler = heartbeat_handler.HeartbeatHandler(
            key_ownership=self.ownership,
            local_upstream=self.upstream,
            service=SERVICE,
            address=ADDRESS,
            usual_address=USUAL_ADDRESS,
            failure_domain=DOMAIN,
            events=self.events,
            wall_ms=lambda: self.wall_ms,
            on_change=lambda: None,
            is_healthy=self._check_health,
        )
        # Each process has an address of its own.
        self.handler.redirect_address = settings.Address(
            ip="127.0.0.1", port=1_000 + self.cluster.nodes["n1"].process_number
        )
        self.upstream.statements.on_leaving = self.handler.handle_stated_leaving
        self.ownership.on_proof_changed = self.handler.handle_proof_change

    async def _check_health(self, server_id: str) -> bool:
        return server_id in self.healthy_ids

    def call(
        self,
        name: str,
        body: dict[str, Any] | None,
        *,
        server_id: str = SERVER_ID,
        is_redirected: bool = False,
    ) -> None:
        """Handles a call of the server.

        Args:
            name: The call.
            body: Its body.
            server_id: The server that it names.
            is_redirected: Whether it arrives at the address that the replies
                of the node's present process name.
        """
        exchange: Any = _Exchange(name, body, server_id=server_id)
        self.exchange = exchange

        async def handle() -> None:
            self.handler.handle(exchange, is_redirected=is_redirected)

        self.cluster.loop.run_until_complete(handle())

    def send_heartbeat(self, state: str) -> None:
        """Handles the next heartbeat, sent where the last reply said."""
        self.sequence += 1
        self.call_at(self.named_address, self.make_heartbeat(state))

    def call_at(self, address: str, body: dict[str, Any]) -> None:
        """Handles a heartbeat that is sent to an address, and its reply.

        At the address of an earlier process it fails, and goes to the usual
        one.
        """
        self.call(
            "heartbeat",
            body,
            server_id=self.server_id,
            is_redirected=address == self.redirect_address,
        )
        reply = self.exchange.reply or {}
        if self.follows_replies:
            self.named_address = reply.get("heartbeatAddress", address)

    @property
    def redirect_address(self) -> str:
        """The address that only replies of the node's process name."""
        return str(self.handler.redirect_address)

    def send_delayed_heartbeat(self) -> None:
        """Handles one that was sent before the node's process began."""
        self.sequence += 1
        self.call(
            "heartbeat", self.make_heartbeat("ready"), server_id=self.server_id
        )

    def make_heartbeat(self, state: str) -> dict[str, Any]:
        """Makes the server's next heartbeat."""
        return {
            "address": str(ADDRESS),
            "born": self.born_ms,
            "information": {
                "service": SERVICE,
                "version": "v1",
                "zone": DOMAIN,
                "slots": 4,
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "coldRemainingMs": 0,
            },
            "holds": [],
            "freed": [],
        }
