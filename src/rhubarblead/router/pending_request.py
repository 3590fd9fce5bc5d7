"""State of one caller's request until it has its response."""

import asyncio
import dataclasses

from rhubarblead import routing_table
from rhubarblead.platform import headers
from rhubarblead.requests import cluster_retry_budget
from rhubarblead.requests import poison
from rhubarblead.router import http_server
from rhubarblead.router import jobs
from rhubarblead.router import wire


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PendingRequest:
    """One caller's request until it has its response.

    `may_be_call` is set if the local server may have sent it.
    `first_at_ms` is the time of the caller's first attempt, before
    `started_at_ms` if it was refused before.
    `number` identifies the outstanding send, and is 0 while there is none.
    `sent_count` counts the sends that reached a server. `sent_at_ms` is the
    time of the last send; `queued_ms`, `ran_ms` and `transit_ms` say where the
    time until its outcome went, and are None while there is no outcome.
    `reroute_count` counts the nodes that were chosen for a request without a
    key, and the changes of owner that were followed for one with a key.
    `refused_waits` holds the wait in milliseconds that each busy node reported.
    `retry_delays_ms` holds those that full queues have named for it.
    `is_body_withheld` is set while the outstanding send has gone without its
    body, so that it can't run yet.
    `excluded` holds the nodes that are not chosen again. `retries` are those
    that the budget has allowed for it.
    """

    exchange: http_server.Exchange
    head: headers.RequestHead
    route: routing_table.Route
    service: str
    is_keyed: bool
    may_be_call: bool
    started_at_ms: int
    first_at_ms: int
    deadline_at_ms: int
    forwarded: bytes
    number: int = 0
    node_id: str = ""
    job: jobs.Job | None = None
    timer: asyncio.TimerHandle | None = None
    sent_count: int = 0
    sent_at_ms: int = 0
    queued_ms: int | None = None
    ran_ms: int | None = None
    transit_ms: int | None = None
    reroute_count: int = 0
    parked_at_ms: int | None = None
    retry_at_ms: int = 0
    may_have_run: bool = False
    is_ended: bool = False
    refused_waits: dict[str, int] = dataclasses.field(default_factory=dict)
    retry_delays_ms: list[int] = dataclasses.field(default_factory=list)
    is_body_withheld: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    retries: list[cluster_retry_budget.Retry] = dataclasses.field(
        default_factory=list
    )

    @property
    def is_return(self) -> bool:
        """Whether the caller has come back after a refusal."""
        return self.first_at_ms < self.started_at_ms

    def compute_fingerprint(self) -> int:
        """Computes a hash that the caller's next attempt has, too."""
        return poison.compute_fingerprints(
            method=self.exchange.method.decode("latin-1"),
            scope=self.head.host,
            target=self.exchange.target.decode("latin-1"),
            body=self.exchange.body,
        )[0]

    def record_times(self, outcome: wire.Outcome, now_ms: int) -> None:
        """Records where the time from the last send to its outcome went."""
        self.queued_ms = outcome.queued_ms
        self.ran_ms = outcome.ran_ms
        self.transit_ms = (
            now_ms - self.sent_at_ms - outcome.queued_ms - outcome.ran_ms
        )

    def find_placed_ms(self) -> int:
        """Returns the time from the request's arrival to its last send."""
        return max(0, self.sent_at_ms - self.started_at_ms)

    def end(self, now_ms: int) -> None:
        """Marks the request as ended and cancels its timer."""
        self.is_ended = True
        for retry in self.retries:
            retry.ended_at_ms = now_ms
        if self.timer is not None:
            self.timer.cancel()
