"""A request at the node beside its server, from its arrival to its outcome."""

import asyncio
from collections.abc import Callable
import dataclasses

from rhubarblead.requests import waiting
from rhubarblead.router import http_client
from rhubarblead.router import wire


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One request at this node, waiting or running."""

    work: wire.Work
    reply: Callable[[wire.Outcome], None]
    ticket: waiting.Ticket
    server: str = ""
    connection: http_client.Connection | None = None
    timer: asyncio.TimerHandle | None = None
    is_ended: bool = False
    is_sent: bool = False
    submitted_at_ms: int = 0
    expected_wait_ms: int | None = None
    started_at_ms: int | None = None
    is_body_missing: bool = False

    def find_queued_ms(self, now_ms: int) -> int:
        """Returns how long the request has waited for a slot or a key."""
        until_ms = now_ms if self.started_at_ms is None else self.started_at_ms
        return until_ms - self.submitted_at_ms

    def find_ran_ms(self, now_ms: int) -> int:
        """Returns how long the request has held a slot."""
        return 0 if self.started_at_ms is None else now_ms - self.started_at_ms
