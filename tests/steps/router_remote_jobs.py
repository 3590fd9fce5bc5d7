"""Steps for the outcomes of other nodes' requests, over a simulated link."""

from collections.abc import Callable
import heapq
from typing import Any

import behave
from behave import runner

from rhubarblead.router import remote_jobs
from rhubarblead.router import upstream
from rhubarblead.router import wire

_BITS_PER_BYTE = 8
_ONE_WAY_MS = 1.0
_CALL_NUMBER = 1_000
_CALL_BYTES = 400
_INCARNATION = "i"
_SERVICE = "s"


class _SilentEventLog:
    """An event log that discards all events."""

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Discards an event."""


class _Upstream:
    """A local server whose requests end when the test says so."""

    def __init__(self) -> None:
        self.replies: dict[int, Callable[[wire.Outcome], None]] = {}

    def submit(
        self, work: wire.Work, reply: Callable[[wire.Outcome], None]
    ) -> upstream.Job | None:
        """Accepts a request."""
        self.replies[work.number] = reply
        return None


class _Link:
    """The outgoing link of an instance: one queue for all destinations."""

    def __init__(self, *, bytes_per_ms: float) -> None:
        self._bytes_per_ms = bytes_per_ms
        self._free_at_ms = 0.0
        self._on_way: list[tuple[float, int, str, wire.Message]] = []
        self.now_ms = 0.0
        self.arrived_ms: dict[int, float] = {}

    def send(self, node_id: str, message: wire.Message) -> None:
        """Queues a message for a node."""
        start_ms = max(self.now_ms, self._free_at_ms)
        taken_ms = len(wire.encode(message)) / self._bytes_per_ms
        self._free_at_ms = start_ms + taken_ms
        heapq.heappush(
            self._on_way,
            (
                self._free_at_ms + _ONE_WAY_MS,
                len(self._on_way) + int(self._free_at_ms * 1_000),
                node_id,
                message,
            ),
        )

    def deliver_all(self) -> None:
        """Delivers messages until none is on its way."""
        while self._on_way:
            self.now_ms, _, _, message = heapq.heappop(self._on_way)
            if isinstance(message, wire.Outcome):
                self.arrived_ms[message.number] = self.now_ms


def _make_work(number: int) -> wire.Work:
    return wire.Work(
        origin="o",
        number=number,
        target_incarnation=_INCARNATION,
        request_id=f"r{number}",
        service=_SERVICE,
        route="r",
        priority=1,
        is_call=False,
        is_once=False,
        key=wire.NO_KEY,
        target_ms=1_000,
        deadline_ms=5_000,
        may_wait=True,
        method=b"GET",
        target=b"/",
        head=b"",
        body=b"",
    )


def _make_outcome(number: int, size: int) -> wire.Outcome:
    return wire.Outcome(
        number=number,
        verdict=wire.Verdict.RAN,
        has_arrived=True,
        status=200,
        body=bytes(size),
    )


@behave.given("a node whose link carries {rate:d} Mbit per second")
def make(context: runner.Context, rate: int) -> None:
    bytes_per_ms = rate * 1_000 / _BITS_PER_BYTE
    context.link = _Link(bytes_per_ms=bytes_per_ms)
    context.local = _Upstream()
    state = wire.State(
        node_id="n1",
        incarnation=_INCARNATION,
        address="127.0.0.1:1",
        failure_domain="d",
        service=_SERVICE,
        born_ms=1,
        is_serving=True,
        is_stopping=False,
        slot_count=9,
        assignments={},
        load=wire.ServerLoad(),
    )
    local: Any = context.local
    silent_event_log: Any = _SilentEventLog()
    context.jobs = remote_jobs.RemoteJobs(
        state=state, local_upstream=local, events=silent_event_log
    )


def _submit(context: runner.Context, number: int, node_id: str) -> None:
    context.jobs.submit(
        _make_work(number), lambda message: context.link.send(node_id, message)
    )


@behave.when(
    "its server responds to {count:d} downloads of {size:d} bytes from"
    " {nodes:d} nodes, and then to a call"
)
def respond(context: runner.Context, count: int, size: int, nodes: int) -> None:
    context.download_numbers = range(count)
    for number in context.download_numbers:
        _submit(context, number, f"n{2 + number % nodes}")
    _submit(context, _CALL_NUMBER, "n2")
    for number in context.download_numbers:
        context.local.replies[number](_make_outcome(number, size))
    context.local.replies[_CALL_NUMBER](
        _make_outcome(_CALL_NUMBER, _CALL_BYTES)
    )
    context.link.deliver_all()


@behave.then("the response to the call arrives within {most:d} ms")
def check_call(context: runner.Context, most: int) -> None:
    arrived_ms = context.link.arrived_ms[_CALL_NUMBER]
    assert arrived_ms <= most, arrived_ms


@behave.then("the last download arrives within {most:d} ms")
def check_downloads(context: runner.Context, most: int) -> None:
    arrived_ms = max(
        context.link.arrived_ms[number] for number in context.download_numbers
    )
    assert arrived_ms <= most, arrived_ms
