"""Steps for requests that wait beside a server."""

import heapq
import math
import random

import behave
from behave import runner

from rhubarblead.requests import waiting

_TARGET_MS = 2_000
_DEADLINE_MS = 4_000
FAR_MS = 10**9
FIRST_OTHER = 10**6
LEARNING_MS = 5_000


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
    offer = context.room.offer(ticket, context.now_ms)
    context.offers[chr(ticket.number)] = offer
    if isinstance(offer, waiting.Start):
        context.running.append(chr(ticket.number))


def _take(context: runner.Context) -> None:
    chosen, expired = context.room.take_next(context.now_ms)
    context.expired += [chr(ticket.number) for ticket in expired]
    if chosen is not None:
        context.running.append(chr(chosen.number))


@behave.given("{slots:d} slots and runs of {service:d} ms")
def make(context: runner.Context, slots: int, service: int) -> None:
    context.now_ms = 10_000
    context.service_ms = service
    context.room = waiting.WaitQueue(
        slot_count=slots, is_ready=lambda ticket: ticket.key is None
    )
    context.offers = {}
    context.running = []
    context.expired = []
    first = _make_ticket(context, "0")
    context.room.offer(first, context.now_ms - service)
    context.room.finish(first.number, context.now_ms, is_whole=True)


@behave.when("requests {names} come")
def come(context: runner.Context, names: str) -> None:
    for name in names.split(" and "):
        _offer(context, _make_ticket(context, name))


@behave.when("request {name:w} comes as {kind:S}")
def come_as(context: runner.Context, name: str, kind: str) -> None:
    _offer(context, _make_ticket(context, name, kind=kind))


@behave.when("{count:d} late requests come")
def come_late(context: runner.Context, count: int) -> None:
    for number in range(count):
        name = chr(ord("A") + number)
        _offer(context, _make_ticket(context, name, kind="late"))


@behave.when("request {name:w} comes and may not wait")
def come_in_haste(context: runner.Context, name: str) -> None:
    _offer(context, _make_ticket(context, name, may_wait=False))


@behave.when("request {name:w} comes with {left:d} ms left")
def come_with(context: runner.Context, name: str, left: int) -> None:
    _offer(context, _make_ticket(context, name, left_ms=left))


@behave.when("request {name:w} comes for a key that isn't held")
def come_for_key(context: runner.Context, name: str) -> None:
    _offer(context, _make_ticket(context, name, key=7))


@behave.when("{count:d} requests come for keys that aren't held")
def come_for_keys(context: runner.Context, count: int) -> None:
    for number in range(count):
        name = chr(ord("A") + number)
        _offer(context, _make_ticket(context, name, key=number))


@behave.when("request {name:w} ends after {passed:d} ms")
def end(context: runner.Context, name: str, passed: int) -> None:
    context.now_ms += passed
    context.room.finish(ord(name), context.now_ms, is_whole=True)
    _take(context)


@behave.when("{passed:d} ms pass")
def wait(context: runner.Context, passed: int) -> None:
    context.now_ms += passed
    _take(context)


@behave.when("the next is taken")
def take_next(context: runner.Context) -> None:
    _take(context)


@behave.when(
    "{length:d} s of {rate:d} requests a second come with a target of"
    " {target:d} ms"
)
def replay_burst(
    context: runner.Context, length: int, rate: int, target: int
) -> None:
    """Replays arrivals and runs; no sockets, the time is counted."""
    room: waiting.WaitQueue = context.room
    ends: list[tuple[int, int, int]] = []
    targets: dict[int, int] = {}
    begin_ms = context.now_ms
    context.in_time = 0
    context.begun = 0
    arrivals = [
        begin_ms + 1_000 * number // rate for number in range(length * rate)
    ]
    for number, now_ms in enumerate([*arrivals, begin_ms + 20_000], start=1):
        while ends and ends[0][0] <= now_ms:
            ended_ms, done, _ = heapq.heappop(ends)
            room.finish(done, ended_ms, is_whole=True)
            context.in_time += ended_ms <= targets[done]
            chosen, _expired = room.take_next(ended_ms)
            if chosen is not None:
                heapq.heappush(
                    ends,
                    (ended_ms + context.service_ms, chosen.number, 0),
                )
                context.begun += 1
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
        if isinstance(room.offer(ticket, now_ms), waiting.Start):
            heapq.heappush(ends, (now_ms + context.service_ms, number, 0))
            context.begun += 1
    context.capacity = length * 1_000 * room.slot_count / context.service_ms


@behave.given(
    "a server with {slots:d} slots, kept busy by runs of {mean:d} ms whose"
    " logarithm varies by {spread:f}"
)
def keep_busy(
    context: runner.Context, slots: int, mean: int, spread: float
) -> None:
    context.room = waiting.WaitQueue(slot_count=slots)
    context.mean_ms = mean
    context.spread = spread


class _BusyServer:
    """A server whose slots are always taken, and calls that come to it."""

    def __init__(
        self, *, room: waiting.WaitQueue, mean_ms: int, spread: float
    ) -> None:
        self.room = room
        self.named_ms: dict[int, float] = {}
        self.real_ms: dict[int, float] = {}
        self.calls: dict[int, int] = {}
        self._random = random.Random(7)
        self._mean_log = math.log(mean_ms) - spread**2 / 2
        self._spread = spread
        self._ends: list[tuple[int, int]] = []
        self._arrivals: list[tuple[int, int]] = []

    def play(self, rate: int, call_ms: int, length_s: int) -> None:
        """Has calls come at random moments until all have ended."""
        last_ms = length_s * 1_000
        self.calls = {
            number: self._random.randrange(last_ms)
            for number in range(rate * length_s)
        }
        # Long runs wait behind the calls, so that no slot is ever free.
        self._arrivals = [
            (0, FIRST_OTHER + number)
            for number in range(2 * self.room.slot_count)
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
                self._arrivals.insert(0, (now_ms, started + FIRST_OTHER))

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
            target_at_ms=FAR_MS,
            deadline_at_ms=FAR_MS,
        )
        if is_call:
            self.named_ms[number] = self.room.find_wait_ms(ticket, now_ms)
        is_started = isinstance(self.room.offer(ticket, now_ms), waiting.Start)
        return (number if is_started else None), now_ms

    def _end(self) -> tuple[int | None, int]:
        now_ms, number = heapq.heappop(self._ends)
        self.room.finish(number, now_ms, is_whole=True)
        chosen, _ = self.room.take_next(now_ms)
        return (None if chosen is None else chosen.number), now_ms

    def _start(self, number: int, now_ms: int, call_ms: int) -> None:
        taken_ms = call_ms
        if number in self.calls:
            self.real_ms[number] = now_ms - self.calls[number]
        else:
            drawn_ms = self._random.lognormvariate(self._mean_log, self._spread)
            taken_ms = int(drawn_ms) + 1
        heapq.heappush(self._ends, (now_ms + taken_ms, number))


@behave.when("{rate:d} calls a second of {call:d} ms come for {length:d} s")
def replay_calls(
    context: runner.Context, rate: int, call: int, length: int
) -> None:
    """Replays calls; the first seconds teach how long runs take."""
    server = _BusyServer(
        room=context.room, mean_ms=context.mean_ms, spread=context.spread
    )
    server.play(rate, call, length)
    judged = [n for n, at_ms in server.calls.items() if at_ms > LEARNING_MS]
    context.named_ms = sum(server.named_ms[n] for n in judged) / len(judged)
    context.real_ms = sum(server.real_ms[n] for n in judged) / len(judged)


@behave.then(
    "the named waits are between {low:d} and {high:d} per cent of the real ones"
)
def check_named(context: runner.Context, low: int, high: int) -> None:
    share = 100 * context.named_ms / context.real_ms
    assert low <= share <= high, (context.named_ms, context.real_ms)


@behave.then("at least {share:d} per cent of the slots' work ends in time")
def check_burst(context: runner.Context, share: int) -> None:
    assert context.in_time >= context.capacity * share / 100, (
        context.in_time,
        context.capacity,
    )


@behave.then("the requests {names} run at once")
def check_all_run(context: runner.Context, names: str) -> None:
    assert sorted(context.running) == names.split(" and "), context.running


@behave.then("request {name:w} runs next")
def check_runs(context: runner.Context, name: str) -> None:
    assert context.running[-1] == name, context.running


@behave.then("the calls wait {most:d} ms on the average at the most")
def check_calls(context: runner.Context, most: int) -> None:
    assert context.real_ms <= most, context.real_ms


@behave.then("request {name:w} waits")
def check_waits(context: runner.Context, name: str) -> None:
    assert isinstance(context.offers[name], waiting.Queued)


@behave.then("request {name:w} is turned away")
def check_turned_away(context: runner.Context, name: str) -> None:
    assert isinstance(context.offers[name], waiting.Refuse)


@behave.then("request {name:w} has expired")
def check_expired(context: runner.Context, name: str) -> None:
    assert context.expired == [name], context.expired


@behave.then(
    "request {name:w} is told to go elsewhere, with a wait of {low:d} to"
    " {high:d} ms"
)
def check_busy(context: runner.Context, name: str, low: int, high: int) -> None:
    offer = context.offers[name]
    assert isinstance(offer, waiting.Busy), offer
    assert low <= offer.wait_ms <= high, offer
