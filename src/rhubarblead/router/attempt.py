"""One request of a caller, and what has become of it so far."""

import asyncio
import dataclasses

from rhubarblead import routing_table
from rhubarblead.platform import headers
from rhubarblead.router import http_server
from rhubarblead.router import upstream


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One request of a caller, until it is answered.

    `sent_count` counts arrivals at servers. `number` names the outstanding
    sending, 0 while there is none.
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
    bounce_count: int = 0
    parked_at_ms: int | None = None
    retry_at_ms: int = 0
    may_have_run: bool = False
    is_ended: bool = False
    refused_waits: dict[str, int] = dataclasses.field(default_factory=dict)
    excluded: set[str] = dataclasses.field(default_factory=set)

    def end(self) -> None:
        """Takes note that the request is over."""
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
