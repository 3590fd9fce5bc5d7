"""State of one caller's request until it has its response."""

import asyncio
import dataclasses

from rhubarblead import routing_table
from rhubarblead.platform import headers
from rhubarblead.router import http_server
from rhubarblead.router import upstream


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PendingRequest:
    """One caller's request until it has its response.

    `number` identifies the outstanding send, and is 0 while there is none.
    `sent_count` counts the sends that reached a server. `reroute_count` counts
    the nodes that were chosen for a request without a key, and the changes of
    owner that were followed for one with a key. `refused_waits` holds the wait
    in milliseconds that each busy node reported. `excluded` holds the nodes
    that are not chosen again.
    """

    exchange: http_server.Exchange
    head: headers.RequestHead
    route: routing_table.Route
    service: str
    is_keyed: bool
    started_at_ms: int
    deadline_at_ms: int
    forwarded: bytes
    number: int = 0
    node_id: str = ""
    job: upstream.Job | None = None
    timer: asyncio.TimerHandle | None = None
    sent_count: int = 0
    reroute_count: int = 0
    parked_at_ms: int | None = None
    retry_at_ms: int = 0
    may_have_run: bool = False
    is_ended: bool = False
    refused_waits: dict[str, int] = dataclasses.field(default_factory=dict)
    excluded: set[str] = dataclasses.field(default_factory=set)

    def end(self) -> None:
        """Marks the request as ended and cancels its timer."""
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
