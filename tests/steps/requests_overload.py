"""Steps for a server whose requests exceed its slots."""

import heapq
import itertools
import random

import behave
from behave import runner

from rhubarblead.requests import waiting

_SIGMA = 0.5
_WARM_UP_MS = 5_000
_CHECK_MS = 50
_PRIORITIES = {"urgent": 1, "normal": 2}


class _Overload:
    """Poisson arrivals of two priorities at one server, in virtual time."""

    def __init__(self, *, slots: int, service_ms: int) -> None:
        self._queue = waiting.WaitQueue(slot_count=slots)
        self._random = random.Random(5)
        self._service_ms = service_ms
        self._events: list[tuple[int, int, str, int]] = []
        self._counter = itertools.count()
        self._kinds: dict[int, str] = {}
        self._arrived_ms: dict[int, int] = {}
        self.refused_ms: list[int] = []
        self.normal_count = 0
        self.used_ms = 0

    def simulate(
        self, rates: dict[str, int], length_ms: int, limits_ms: tuple[int, int]
    ) -> None:
        """Plays the arrivals; `limits_ms` are the target and the deadline."""
        number = itertools.count(1)
        for kind, rate in rates.items():
            at_ms = 0.0
            while rate:
                at_ms += self._random.expovariate(rate / 1_000)
                if at_ms > length_ms:
                    break
                self._push(int(at_ms), kind, next(number))
        for at_ms in range(0, length_ms, _CHECK_MS):
            self._push(at_ms, "check", 0)
        while self._events and self._events[0][0] < length_ms:
            now_ms, _, kind, index = heapq.heappop(self._events)
            match kind:
                case "end":
                    self._queue.finish(index, now_ms, is_complete=True)
                    self._take_all(now_ms)
                case "check":
                    self._take_all(now_ms)
                case _:
                    self._arrive(index, kind, now_ms, limits_ms)

    def _push(self, at_ms: int, kind: str, number: int) -> None:
        heapq.heappush(self._events, (at_ms, next(self._counter), kind, number))

    def _arrive(
        self, number: int, kind: str, now_ms: int, limits_ms: tuple[int, int]
    ) -> None:
        self._kinds[number] = kind
        self._arrived_ms[number] = now_ms
        ticket = waiting.Ticket(
            number=number,
            route=kind,
            priority=_PRIORITIES[kind],
            is_call=False,
            target_at_ms=now_ms + limits_ms[0],
            deadline_at_ms=now_ms + limits_ms[1],
        )
        if now_ms >= _WARM_UP_MS and kind == "normal":
            self.normal_count += 1
        match self._queue.offer(ticket, now_ms):
            case waiting.Start():
                self._run(number, now_ms)
            case waiting.Refuse():
                self._refuse(number, now_ms)

    def _take_all(self, now_ms: int) -> None:
        while True:
            chosen, expired = self._queue.take_next(now_ms)
            for ticket in expired:
                self._refuse(ticket.number, now_ms)
            if chosen is None:
                return
            self._run(chosen.number, now_ms)

    def _run(self, number: int, now_ms: int) -> None:
        drawn = self._random.lognormvariate(-(_SIGMA**2) / 2, _SIGMA)
        taken_ms = int(self._service_ms * drawn) + 1
        self.used_ms += taken_ms
        self._push(now_ms + taken_ms, "end", number)

    def _refuse(self, number: int, now_ms: int) -> None:
        arrived_ms = self._arrived_ms[number]
        if arrived_ms >= _WARM_UP_MS and self._kinds[number] == "normal":
            self.refused_ms.append(now_ms - arrived_ms)


@behave.given("a server with {slots:d} slots for runs of {service:d} ms")
def make(context: runner.Context, slots: int, service: int) -> None:
    context.slots = slots
    context.overload = _Overload(slots=slots, service_ms=service)


@behave.when(
    "{urgent:d} urgent and {normal:d} other requests per second arrive for"
    " {length:d} s, with a target of {target:d} ms and a deadline of"
    " {deadline:d} ms"
)
def simulate(
    context: runner.Context,
    urgent: int,
    normal: int,
    length: int,
    target: int,
    deadline: int,
) -> None:
    context.capacity_ms = length * 1_000 * context.slots
    context.overload.simulate(
        {"urgent": urgent, "normal": normal}, length * 1_000, (target, deadline)
    )


@behave.then(
    "at most {share:d} per cent of the other requests are refused after more"
    " than {most:d} ms"
)
def check_refusals(context: runner.Context, share: int, most: int) -> None:
    late = [ms for ms in context.overload.refused_ms if ms > most]
    found = 100 * len(late) / context.overload.normal_count
    assert found <= share, (found, sorted(late)[len(late) // 2])


@behave.then("at least {share:d} per cent of the slot capacity is used")
def check_used(context: runner.Context, share: int) -> None:
    found = 100 * context.overload.used_ms / context.capacity_ms
    assert found >= share, found
