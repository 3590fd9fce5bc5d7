"""Steps for the wait queue of a server."""

import heapq
import math
import random

import behave
from behave import runner

from rhubarblead.requests import calls
from rhubarblead.requests import waiting

_TARGET_MS = 2_000
_DEADLINE_MS = 4_000
DISTANT_MS = 10**9
FIRST_RUN_NUMBER = 10**6
WARM_UP_MS = 5_000


def _make_ticket(
    context: runner.Context,
    name: str,
    *,
    kind: str = "normal",
    left_ms: int = _DEADLINE_MS,
    may_wait: bool = True,
    key: int | None = None,
) -> waiting.Ticket:
    target_ms = 0 if kind.startswith("late") else _TARGET_MS
    return waiting.Ticket(
        number=ord(name),
        route="r",
        priority=0 if kind == "urgent" else 1,
        is_call=kind.endswith("call"),
        target_at_ms=context.now_ms + target_ms,
        deadline_at_ms=context.now_ms + left_ms,
        may_wait=may_wait,
        key=key,
    )


def _offer(context: runner.Context, ticket: waiting.Ticket) -> None:
    offer = context.queue.offer(ticket, context.now_ms)
    context.offers[chr(ticket.number)] = offer
    if isinstance(offer, waiting.Start):
        context.running.append(chr(ticket.number))


def _take_next(context: runner.Context) -> None:
    chosen, expired = context.queue.take_next(context.now_ms)
    context.expired += [chr(ticket.number) for ticket in expired]
    if chosen is not None:
        context.running.append(chr(chosen.number))


@behave.given("{slots:d} slots and a service time of {service:d} ms")
def make(context: runner.Context, slots: int, service: int) -> None:
    context.now_ms = 10_000
    context.service_ms = service
    context.queue = waiting.WaitQueue(
        slot_count=slots, is_ready=lambda ticket: ticket.key is None
    )
    context.offers = {}
    context.running = []
    context.expired = []
    first = _make_ticket(context, "0")
    context.queue.offer(first, context.now_ms - service)
    context.queue.finish(first.number, context.now_ms, is_complete=True)


@behave.when("requests {names} arrive")
def arrive(context: runner.Context, names: str) -> None:
    for name in names.split(" and "):
        _offer(context, _make_ticket(context, name))


@behave.when("request {name:w} arrives as {kind:S}")
def arrive_as(context: runner.Context, name: str, kind: str) -> None:
    _offer(context, _make_ticket(context, name, kind=kind))


@behave.when("{count:d} late requests arrive")
def arrive_late(context: runner.Context, count: int) -> None:
    for number in range(count):
        name = chr(ord("A") + number)
        _offer(context, _make_ticket(context, name, kind="late"))


@behave.when("request {name:w} arrives and may not wait")
def arrive_without_waiting(context: runner.Context, name: str) -> None:
    _offer(context, _make_ticket(context, name, may_wait=False))


@behave.when("request {name:w} arrives with {left:d} ms left")
def arrive_with(context: runner.Context, name: str, left: int) -> None:
    _offer(context, _make_ticket(context, name, left_ms=left))


@behave.when("request {name:w} arrives for a key that is not held")
def arrive_for_key(context: runner.Context, name: str) -> None:
    _offer(context, _make_ticket(context, name, key=7))


@behave.when("{count:d} requests arrive for keys that are not held")
def arrive_for_keys(context: runner.Context, count: int) -> None:
    for number in range(count):
        name = chr(ord("A") + number)
        _offer(context, _make_ticket(context, name, key=number))


@behave.when("request {name:w} ends after {passed:d} ms")
def end(context: runner.Context, name: str, passed: int) -> None:
    context.now_ms += passed
    context.queue.finish(ord(name), context.now_ms, is_complete=True)
    _take_next(context)


@behave.when("{passed:d} ms elapse in the queue")
def wait(context: runner.Context, passed: int) -> None:
    context.now_ms += passed
    _take_next(context)


@behave.when("the next request is taken")
def take_next(context: runner.Context) -> None:
    _take_next(context)


@behave.when(
    "{rate:d} requests per second arrive for {length:d} s with a target of"
    " {target:d} ms"
)
def simulate_burst(
    context: runner.Context, length: int, rate: int, target: int
) -> None:
    """Simulates arrivals and runs in virtual time, without sockets."""
    queue: waiting.WaitQueue = context.queue
    ends: list[tuple[int, int, int]] = []
    targets: dict[int, int] = {}
    begin_ms = context.now_ms
    context.in_time = 0
    context.started_count = 0
    arrivals = [
        begin_ms + 1_000 * number // rate for number in range(length * rate)
    ]
    for number, now_ms in enumerate([*arrivals, begin_ms + 20_000], start=1):
        while ends and ends[0][0] <= now_ms:
            ended_ms, ended, _ = heapq.heappop(ends)
            queue.finish(ended, ended_ms, is_complete=True)
            context.in_time += ended_ms <= targets[ended]
            chosen, _expired = queue.take_next(ended_ms)
            if chosen is not None:
                heapq.heappush(
                    ends,
                    (ended_ms + context.service_ms, chosen.number, 0),
                )
                context.started_count += 1
        if number > len(arrivals):
            break
        targets[number] = now_ms + target
        ticket = waiting.Ticket(
            number=number,
            route="r",
            priority=1,
            is_call=False,
            target_at_ms=now_ms + target,
            deadline_at_ms=now_ms + _DEADLINE_MS,
        )
        if isinstance(queue.offer(ticket, now_ms), waiting.Start):
            heapq.heappush(ends, (now_ms + context.service_ms, number, 0))
            context.started_count += 1
    context.capacity = length * 1_000 * queue.slot_count / context.service_ms


@behave.given(
    "a server with {slots:d} slots, kept busy by log-normal runs with a mean"
    " of {mean:d} ms and a sigma of {spread:f}"
)
def keep_busy(
    context: runner.Context, slots: int, mean: int, spread: float
) -> None:
    context.queue = waiting.WaitQueue(slot_count=slots)
    context.mean_ms = mean
    context.spread = spread


class _BusyServer:
    """A server whose slots are always in use, with arriving calls."""

    def __init__(
        self, *, queue: waiting.WaitQueue, mean_ms: int, spread: float
    ) -> None:
        self.queue = queue
        self.estimated_ms: dict[int, float] = {}
        self.actual_ms: dict[int, float] = {}
        self.calls: dict[int, int] = {}
        self._random = random.Random(7)
        self._mean_log = math.log(mean_ms) - spread**2 / 2
        self._spread = spread
        self._ends: list[tuple[int, int]] = []
        self._arrivals: list[tuple[int, int]] = []

    def simulate(self, rate: int, call_ms: int, length_s: int) -> None:
        """Simulates calls with random arrival times until all have ended."""
        last_ms = length_s * 1_000
        self.calls = {
            number: self._random.randrange(last_ms)
            for number in range(rate * length_s)
        }
        # Long runs are always queued behind the calls, so that no slot is free.
        self._arrivals = [
            (0, FIRST_RUN_NUMBER + number)
            for number in range(2 * self.queue.slot_count)
        ] + sorted((at_ms, number) for number, at_ms in self.calls.items())
        while self._arrivals or self._ends:
            if self._is_arrival_next():
                started, now_ms = self._arrive()
            else:
                started, now_ms = self._end()
            if started is None:
                continue
            self._start(started, now_ms, call_ms)
            if started not in self.calls and now_ms < last_ms:
                self._arrivals.insert(0, (now_ms, started + FIRST_RUN_NUMBER))

    def _is_arrival_next(self) -> bool:
        if not self._arrivals or not self._ends:
            return bool(self._arrivals)
        return self._arrivals[0][0] <= self._ends[0][0]

    def _arrive(self) -> tuple[int | None, int]:
        now_ms, number = self._arrivals.pop(0)
        is_call = number in self.calls
        ticket = waiting.Ticket(
            number=number,
            route="call" if is_call else "run",
            priority=0,
            is_call=is_call,
            target_at_ms=DISTANT_MS,
            deadline_at_ms=DISTANT_MS,
        )
        if is_call:
            self.estimated_ms[number] = self.queue.find_wait_ms(ticket, now_ms)
        is_started = isinstance(self.queue.offer(ticket, now_ms), waiting.Start)
        return (number if is_started else None), now_ms

    def _end(self) -> tuple[int | None, int]:
        now_ms, number = heapq.heappop(self._ends)
        self.queue.finish(number, now_ms, is_complete=True)
        chosen, _ = self.queue.take_next(now_ms)
        return (None if chosen is None else chosen.number), now_ms

    def _start(self, number: int, now_ms: int, call_ms: int) -> None:
        taken_ms = call_ms
        if number in self.calls:
            self.actual_ms[number] = now_ms - self.calls[number]
        else:
            drawn_ms = self._random.lognormvariate(self._mean_log, self._spread)
            taken_ms = int(drawn_ms) + 1
        heapq.heappush(self._ends, (now_ms + taken_ms, number))


@behave.when("{rate:d} calls per second of {call:d} ms arrive for {length:d} s")
def simulate_calls(
    context: runner.Context, rate: int, call: int, length: int
) -> None:
    """Simulates calls; the first seconds train the service times."""
    server = _BusyServer(
        queue=context.queue, mean_ms=context.mean_ms, spread=context.spread
    )
    server.simulate(rate, call, length)
    measured = [n for n, at_ms in server.calls.items() if at_ms > WARM_UP_MS]
    context.estimated_ms = sum(server.estimated_ms[n] for n in measured) / len(
        measured
    )
    context.actual_ms = sum(server.actual_ms[n] for n in measured) / len(
        measured
    )


@behave.then(
    "the estimated waits are between {low:d} and {high:d} per cent of the"
    " actual ones"
)
def check_estimates(context: runner.Context, low: int, high: int) -> None:
    share = 100 * context.estimated_ms / context.actual_ms
    assert low <= share <= high, (context.estimated_ms, context.actual_ms)


@behave.then(
    "at least {share:d} per cent of the slot capacity completes in time"
)
def check_burst(context: runner.Context, share: int) -> None:
    assert context.in_time >= context.capacity * share / 100, (
        context.in_time,
        context.capacity,
    )


@behave.then("the requests {names} run immediately")
def check_all_run(context: runner.Context, names: str) -> None:
    assert sorted(context.running) == names.split(" and "), context.running


@behave.then("request {name:w} runs next")
def check_runs(context: runner.Context, name: str) -> None:
    assert context.running[-1] == name, context.running


@behave.then("the calls wait at most {most:d} ms on average")
def check_calls(context: runner.Context, most: int) -> None:
    assert context.actual_ms <= most, context.actual_ms


@behave.then("request {name:w} waits")
def check_waits(context: runner.Context, name: str) -> None:
    assert isinstance(context.offers[name], waiting.Queued)


@behave.then("request {name:w} is refused")
def check_refused(context: runner.Context, name: str) -> None:
    assert isinstance(context.offers[name], waiting.Refuse)


@behave.then("request {name:w} has expired")
def check_expired(context: runner.Context, name: str) -> None:
    assert context.expired == [name], context.expired


@behave.then(
    "request {name:w} gets a busy reply with an expected wait of {low:d} to"
    " {high:d} ms"
)
def check_busy(context: runner.Context, name: str, low: int, high: int) -> None:
    offer = context.offers[name]
    assert isinstance(offer, waiting.Busy), offer
    assert low <= offer.wait_ms <= high, offer


@behave.when("{count:d} of 100 requests for a route may be calls")
def record_calls(context: runner.Context, count: int) -> None:
    context.called_routes = calls.CalledRoutes()
    for number in range(100):
        # Spread evenly over the requests.
        is_possible = (number + 1) * count // 100 > number * count // 100
        context.called_routes.record("r", is_possible)


@behave.then("a request for it that may be one is treated as {kind}")
def check_route(context: runner.Context, kind: str) -> None:
    assert context.called_routes.record("r", True) == (kind == "a call")
