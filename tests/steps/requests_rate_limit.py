"""Steps for a server that states a limit on its request rate."""

import heapq
import itertools
import random

import behave
from behave import runner

from rhubarblead.requests import waiting

_SIGMA = 0.3
_CHECK_MS = 50
_WINDOW_MS = 4_000
_TARGET_MS = 650
_DEADLINE_MS = 4_000
_PRIORITIES = {"urgent": 0, "call": 1, "other": 1}
_STANDSTILL_MS = 400
_MIN_RATE_PER_S = 1 / 1.5
_UNLIMITED = "-"


class _LimitedServer:
    """Poisson arrivals at one server and its node, in virtual time."""

    def __init__(self, *, slots: int, service_ms: int) -> None:
        self._slots = slots
        self._service_ms = service_ms
        self._random = random.Random(7)
        self._events: list[tuple[int, int, str, int]] = []
        self._counter = itertools.count()
        self._queue = waiting.WaitQueue(slot_count=slots)
        self._kinds: dict[int, str] = {}
        self._arrived_ms: dict[int, int] = {}
        self._halted_until_ms = 0
        self._answered_count = 0
        self.limits: list[tuple[int, float | None]] = []
        self.is_alternating = False
        self.trouble = ""
        self.trouble_ms = 0
        self.told: float | None = None
        self.first_stated_ms: dict[int, int] = {}
        self.sent_at_ms: list[int] = []
        self.refusals: list[tuple[int, int, int]] = []
        self.withdrawals: list[tuple[int, int]] = []
        self.counts: dict[str, int] = dict.fromkeys(_PRIORITIES, 0)
        self.in_time: dict[str, int] = dict.fromkeys(_PRIORITIES, 0)

    def find_period(self, at_ms: int) -> int | None:
        """Finds the index of the statement in force at the server."""
        found = [
            i for i, (start, _) in enumerate(self.limits) if start <= at_ms
        ]
        return found[-1] if found else None

    def simulate(self, rates: dict[str, int], length_ms: int) -> None:
        """Plays the arrivals, the checks of the queue and the trouble."""
        numbers = itertools.count(1)
        for kind, rate in rates.items():
            at_ms = 0.0
            while rate and at_ms < length_ms:
                at_ms += self._random.expovariate(rate / 1_000)
                self._push(int(at_ms), kind, next(numbers))
        for at_ms in range(0, length_ms, _CHECK_MS):
            self._push(at_ms, "check", 0)
        if self.trouble:
            for at_ms in range(6_000, length_ms, self.trouble_ms):
                self._push(at_ms, self.trouble, 0)
        while self._events and self._events[0][0] < length_ms:
            now_ms, _, kind, number = heapq.heappop(self._events)
            if now_ms < self._halted_until_ms:
                # The node handles it when it goes on.
                self._push(self._halted_until_ms, kind, number)
                continue
            self._handle(kind, number, now_ms)

    def _handle(self, kind: str, number: int, now_ms: int) -> None:
        match kind:
            case "end":
                self._end(number, now_ms)
            case "check":
                self._take_all(now_ms)
            case "is restarted":
                self._queue = waiting.WaitQueue(slot_count=self._slots)
                if self.told is not None:
                    # By the nodes that have passed on what was stated.
                    self._queue.rate_limit.set(self.told, now_ms)
            case "stands still":
                self._halted_until_ms = now_ms + _STANDSTILL_MS
            case _:
                self._arrive(number, kind, now_ms)

    def _push(self, at_ms: int, kind: str, number: int) -> None:
        heapq.heappush(self._events, (at_ms, next(self._counter), kind, number))

    def _arrive(self, number: int, kind: str, now_ms: int) -> None:
        self._kinds[number] = kind
        self._arrived_ms[number] = now_ms
        self.counts[kind] += 1
        ticket = waiting.Ticket(
            number=number,
            route=kind,
            priority=_PRIORITIES[kind],
            is_call=kind == "call",
            target_at_ms=now_ms + _TARGET_MS,
            deadline_at_ms=now_ms + _DEADLINE_MS,
        )
        match self._queue.offer(ticket, now_ms):
            case waiting.Start():
                self._run(number, now_ms)
            case waiting.Refuse(retry_after_ms=after_ms):
                self.refusals.append((now_ms, 0, after_ms))

    def _take_all(self, now_ms: int) -> None:
        while True:
            chosen, expired = self._queue.take_next(now_ms)
            for ticket in expired:
                after_ms = self._queue.find_retry_after_ms(0, now_ms)
                waited_ms = now_ms - self._arrived_ms[ticket.number]
                self.refusals.append((now_ms, waited_ms, after_ms))
                self.withdrawals.append((now_ms, waited_ms))
            if chosen is None:
                return
            self._run(chosen.number, now_ms)

    def _run(self, number: int, now_ms: int) -> None:
        self.sent_at_ms.append(now_ms)
        drawn = self._random.lognormvariate(-(_SIGMA**2) / 2, _SIGMA)
        self._push(now_ms + int(self._service_ms * drawn) + 1, "end", number)

    def _end(self, number: int, now_ms: int) -> None:
        self._queue.finish(number, now_ms, is_complete=True)
        if now_ms <= self._arrived_ms[number] + _TARGET_MS:
            self.in_time[self._kinds[number]] += 1
        self._answered_count += 1
        period = self.find_period(now_ms)
        if period is not None:
            self.first_stated_ms.setdefault(period, now_ms)
            limit = self.limits[period][1]
            if self.is_alternating and self._answered_count % 2:
                limit = None
            self._state(limit, now_ms)
        self._take_all(now_ms)

    def _state(self, limit: float | None, now_ms: int) -> None:
        self.told = limit
        if limit is None:
            self._queue.rate_limit.lift(now_ms)
        else:
            self._queue.rate_limit.set(limit, now_ms)


def _parse_limits(text: str) -> list[tuple[int, float | None]]:
    limits = []
    for item in text.split():
        at_s, _, limit = item.partition(":")
        value = None if limit == _UNLIMITED else float(limit)
        limits.append((int(at_s) * 1_000, value))
    return limits


@behave.given(
    "a server with {slots:d} slots for runs of {service:d} ms that states"
    ' "{limits}"'
)
def make(
    context: runner.Context, slots: int, service: int, limits: str
) -> None:
    context.server = _LimitedServer(slots=slots, service_ms=service)
    context.server.limits = _parse_limits(limits)


@behave.given(
    "a server with {slots:d} slots for runs of {service:d} ms that states"
    ' "{limit}" in every other response'
)
def make_alternating(
    context: runner.Context, slots: int, service: int, limit: str
) -> None:
    context.server = _LimitedServer(slots=slots, service_ms=service)
    context.server.limits = [(5_000, float(limit))]
    context.server.is_alternating = True


@behave.given("its node {trouble} every {interval:d} ms from 6 s on")
def add_trouble(context: runner.Context, trouble: str, interval: int) -> None:
    context.server.trouble = trouble
    context.server.trouble_ms = interval


@behave.when("{load:d} requests per second arrive at it for {length:d} s")
def simulate(context: runner.Context, load: int, length: int) -> None:
    context.load = load
    context.length_ms = length * 1_000
    context.server.simulate({"other": load}, context.length_ms)


@behave.when(
    "{urgent:d} urgent requests, {calls:d} calls and {others:d} others per"
    " second arrive at it for {length:d} s"
)
def simulate_kinds(
    context: runner.Context, urgent: int, calls: int, others: int, length: int
) -> None:
    context.server.simulate(
        {"urgent": urgent, "call": calls, "other": others}, length * 1_000
    )


def _list_periods(
    context: runner.Context,
) -> list[tuple[int, int, float]]:
    """Lists the periods in which a limit was stated: start, end, limit."""
    server: _LimitedServer = context.server
    ends_ms = [start for start, _ in server.limits[1:]] + [context.length_ms]
    return [
        (server.first_stated_ms[number], end_ms, limit)
        for number, ((_, limit), end_ms) in enumerate(
            zip(server.limits, ends_ms, strict=True)
        )
        if limit is not None
    ]


def _count_most(times_ms: list[int], window_ms: int) -> int:
    return max(
        (
            sum(start <= at < start + window_ms for at in times_ms)
            for start in times_ms
        ),
        default=0,
    )


@behave.then(
    "in 4 s of a limit it gets at most {factor:g} times the limit and {extra:d}"
)
def check_limit(context: runner.Context, factor: float, extra: int) -> None:
    for start_ms, end_ms, limit in _list_periods(context):
        sent = [
            at for at in context.server.sent_at_ms if start_ms < at < end_ms
        ]
        found = _count_most(sent, _WINDOW_MS)
        assert found <= factor * limit * _WINDOW_MS / 1_000 + extra, (
            limit,
            found,
        )


@behave.then(
    "under each limit it gets at least {share:d} per cent of what it may"
)
def check_used(context: runner.Context, share: int) -> None:
    for start_ms, end_ms, limit in _list_periods(context):
        rate = min(context.load, max(limit, _MIN_RATE_PER_S))
        sent = [
            at for at in context.server.sent_at_ms if start_ms < at < end_ms
        ]
        # The first request under a limit may have to wait for its interval.
        wanted = share / 100 * rate * (end_ms - start_ms) / 1_000 - 1
        assert len(sent) >= wanted, (limit, len(sent), wanted)


@behave.then("it gets at most {most:d} requests in 4 s")
def check_most(context: runner.Context, most: int) -> None:
    start_ms = context.server.first_stated_ms[0]
    sent = [at for at in context.server.sent_at_ms if at > start_ms]
    assert _count_most(sent, _WINDOW_MS) <= most, _count_most(sent, _WINDOW_MS)


@behave.then(
    "from 2 s after its first response without a limit it gets at least"
    " {share:d} per cent of {rate:d} requests per second"
)
def check_resumed(context: runner.Context, share: int, rate: int) -> None:
    start_ms = context.server.first_stated_ms[1] + 2_000
    sent = [at for at in context.server.sent_at_ms if at >= start_ms]
    wanted = share / 100 * rate * (context.length_ms - start_ms) / 1_000
    assert len(sent) >= wanted, (len(sent), wanted)


@behave.then(
    "{share:d} per cent of the refused requests have waited at most {most:d} ms"
)
def check_refused(context: runner.Context, share: int, most: int) -> None:
    waits_ms = [waited for _, waited, _ in context.server.refusals]
    found = 100 * sum(waited <= most for waited in waits_ms) / len(waits_ms)
    assert found >= share, (found, sorted(waits_ms)[-10:])


@behave.then("none of them has waited more than {most:d} ms")
def check_longest(context: runner.Context, most: int) -> None:
    longest_ms = max(waited for _, waited, _ in context.server.refusals)
    assert longest_ms <= most, longest_ms


@behave.then(
    "requests that wait when it states the limit are refused within {most:d} ms"
)
def check_withdrawn(context: runner.Context, most: int) -> None:
    stated_ms = context.server.first_stated_ms[0]
    soon = [
        at
        for at, waited in context.server.withdrawals
        if stated_ms <= at <= stated_ms + most and at - waited < stated_ms
    ]
    later = [
        at
        for at, waited in context.server.withdrawals
        if at > stated_ms + most and at - waited < stated_ms
    ]
    assert soon, context.server.withdrawals[:3]
    assert len(later) <= 1, later


@behave.then("the callers are told to come back at most {most:d} in a second")
def check_returns(context: runner.Context, most: int) -> None:
    returns_ms = sorted(at + after for at, _, after in context.server.refusals)
    assert _count_most(returns_ms, 1_000) <= most, _count_most(
        returns_ms, 1_000
    )


@behave.then(
    "at least {calls:d} per cent of the calls and {urgent:d} per cent of the"
    " urgent ones are served in time"
)
def check_classes(context: runner.Context, calls: int, urgent: int) -> None:
    server: _LimitedServer = context.server
    shares = {
        kind: 100 * server.in_time[kind] / server.counts[kind]
        for kind in server.counts
    }
    assert shares["call"] >= calls, shares
    assert shares["urgent"] >= urgent, shares
