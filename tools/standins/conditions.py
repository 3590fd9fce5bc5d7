"""Faults, request budget and counters of the platform's stand-in."""

import http
import threading
import time
from typing import Literal

import msgspec

from tools.standins import exchange


class Mode(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The fault that the services show.

    "down" drops each connection without an answer, "refusing" answers 503.
    "slow" waits `delay_ms` before a request takes effect. "answer-lost" applies
    a transaction and then drops the connection; "late" drops the connection at
    once and applies the transaction `delay_ms` later, or on `POST /-/deliver`
    if `delay_ms` is 0. `count` is the number of requests (transactions for the
    last two) that the fault affects; without it the fault stays. If `instances`
    is set, only requests of these instances are affected.
    """

    mode: Literal["up", "down", "refusing", "slow", "answer-lost", "late"] = (
        "up"
    )
    delay_ms: int = 0
    count: int | None = None
    instances: tuple[str, ...] = ()


class Budget(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Requests per second that the services accept, in bursts of one second."""

    reads_per_s: int = 2_000
    writes_per_s: int = 400


class Counts(msgspec.Struct, kw_only=True):
    """Counters of the requests since the start.

    `reads` includes `not_modified`; `writes` counts the transactions and
    objects that took effect, `refused` the requests above the budget. The bytes
    are those of bodies.
    """

    reads: int = 0
    not_modified: int = 0
    writes: int = 0
    conflicts: int = 0
    refused: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0


class _TokenBucket:
    """A token bucket with the capacity of one second."""

    __slots__ = ("_refilled_at_s", "_rate_per_s", "_tokens")

    def __init__(self, *, rate_per_s: int, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = float(rate_per_s)
        self._refilled_at_s = now_s

    def take(self, *, now_s: float) -> bool:
        """Takes one token; tells whether one was available."""
        refill = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(float(self._rate_per_s), self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Conditions:
    """The current fault, budget and counters, shared by all threads."""

    __slots__ = ("_counts", "_lock", "_mode", "_reads", "_writes")

    def __init__(self, *, budget: Budget) -> None:
        self._lock = threading.Lock()
        self._mode = Mode()
        self._counts = Counts()
        self.set_budget(budget)

    def set_mode(self, mode: Mode) -> None:
        """Replaces the fault."""
        with self._lock:
            self._mode = mode

    def set_budget(self, budget: Budget) -> None:
        """Replaces the budget; its token buckets start full."""
        now_s = time.monotonic()
        with self._lock:
            self._reads = _TokenBucket(
                rate_per_s=budget.reads_per_s, now_s=now_s
            )
            self._writes = _TokenBucket(
                rate_per_s=budget.writes_per_s, now_s=now_s
            )

    def consume_mode(self, request: exchange.Request) -> Mode:
        """Returns the fault that affects a request, and counts it down."""
        with self._lock:
            mode = self._mode
            if not self._affects(request) or mode.count == 0:
                return Mode()
            if mode.count is not None:
                self._mode = msgspec.structs.replace(mode, count=mode.count - 1)
            return mode

    def consume_budget(self, request: exchange.Request) -> bool:
        """Counts a request against the budget; tells whether it is accepted."""
        with self._lock:
            is_read = request.method == "GET"
            bucket = self._reads if is_read else self._writes
            if bucket.take(now_s=time.monotonic()):
                return True
            self._counts.refused += 1
            return False

    def count(self, request: exchange.Request, reply: exchange.Reply) -> None:
        """Counts a request that was served."""
        with self._lock:
            counts = self._counts
            counts.received_bytes += len(request.body)
            counts.sent_bytes += len(reply.body)
            if request.method == "GET":
                counts.reads += 1
                is_not_modified = reply.status is http.HTTPStatus.NOT_MODIFIED
                counts.not_modified += is_not_modified
            elif reply.status is http.HTTPStatus.CONFLICT:
                counts.conflicts += 1
            elif reply.status < http.HTTPStatus.BAD_REQUEST:
                counts.writes += 1

    def encode_counts(self) -> bytes:
        """Encodes the counts as JSON."""
        with self._lock:
            return msgspec.json.encode(self._counts)

    def _affects(self, request: exchange.Request) -> bool:
        mode = self._mode
        if mode.instances and request.instance not in mode.instances:
            return False
        is_transaction_fault = mode.mode in ("answer-lost", "late")
        return request.is_transaction or not is_transaction_fault
