"""Steps for servers that are cold."""

import heapq
import itertools
import random

import behave
from behave import runner

from rhubarblead.requests import cold_start
from rhubarblead.requests import rate_limit
from rhubarblead.requests import waiting

_HEARTBEAT_MS = 870
_CHECK_MS = 50
_PROBE_MS = 2
_PROBE_RETRY_MS = 100
_AWAY_MS = 700
_COLD_MS = 3_000
_WARMUP = cold_start.WarmupBounds(overage=1.5, slack_count=8).make_warmup(5.5)
_PROBE_TIMES_MS = {"at once": _PROBE_MS, "after 120 ms": 120, "never": None}


class _ColdServer:
    """Poisson arrivals at a server that turns cold, in virtual time."""

    def __init__(self, *, slots: int, run_ms: int, is_bounded: bool) -> None:
        self._run_ms = run_ms
        self._random = random.Random(11)
        self._events: list[tuple[int, int, str, int]] = []
        self._sequence = itertools.count()
        self._queue = waiting.WaitQueue(slot_count=slots)
        self._cold = cold_start.ColdStart(limit=self._queue.rate_limit)
        self._is_probing = False
        self.is_restarting = False
        self.breaks_each_ms: int | None = None
        self.probe_ms: int | None = _PROBE_MS
        self.cold_from_ms: list[int] = []
        self.sent_at_ms: list[int] = []
        self.probe_count = 0
        if is_bounded:
            self._cold.set_warmup(_WARMUP, 0)
        self._cold.record_statement(0, cold_start.Source.HEARTBEAT, 0)

    def find_remaining_ms(self, now_ms: int) -> int:
        """Returns how long the server stays cold."""
        ends = [
            at + _COLD_MS - now_ms for at in self.cold_from_ms if at <= now_ms
        ]
        return max(0, max(ends, default=0))

    def _is_away(self, now_ms: int) -> bool:
        return self.is_restarting and any(
            at - _AWAY_MS <= now_ms < at for at in self.cold_from_ms
        )

    def simulate(self, rate: int, length_ms: int) -> None:
        """Plays arrivals, heartbeats, probes and checks of the queue."""
        at_ms = 0.0
        for number in itertools.count(1):
            at_ms += self._random.expovariate(rate / 1_000)
            if at_ms >= length_ms:
                break
            self._push(int(at_ms), "arrive", number)
        for at in range(400, length_ms, _HEARTBEAT_MS):
            self._push(at, "beat", 0)
        for at in range(0, length_ms, _CHECK_MS):
            self._push(at, "check", 0)
        if self.breaks_each_ms:
            for at in range(0, length_ms, self.breaks_each_ms):
                self._push(at, "break", 0)
        while self._events and self._events[0][0] < length_ms:
            now_ms, _, kind, number = heapq.heappop(self._events)
            self._handle(kind, number, now_ms)

    def _push(self, at_ms: int, kind: str, number: int) -> None:
        heapq.heappush(
            self._events, (at_ms, next(self._sequence), kind, number)
        )

    def _handle(self, kind: str, number: int, now_ms: int) -> None:
        match kind:
            case "arrive":
                self._arrive(number, now_ms)
            case "end" | "broken":
                self._queue.finish(number, now_ms, is_complete=kind == "end")
                if kind == "broken":
                    self._cold.doubt()
            case "break":
                self._cold.doubt()
            case "beat" if not self._is_away(now_ms):
                self._beat(now_ms)
            case "probed":
                self._end_probe(now_ms)
            case "unanswered":
                self._is_probing = False
        self._take_all(now_ms)
        self._check(now_ms)

    def _beat(self, now_ms: int) -> None:
        remaining_ms = self.find_remaining_ms(now_ms)
        self._cold.record_statement(
            remaining_ms, cold_start.Source.HEARTBEAT, now_ms
        )

    def _check(self, now_ms: int) -> None:
        self._cold.advance(now_ms)
        if self._is_probing or not self._cold.must_probe(now_ms):
            return
        self._is_probing = True
        self.probe_count += 1
        answers = self.probe_ms is not None and not self._is_away(now_ms)
        delay_ms = self.probe_ms if answers else _PROBE_RETRY_MS
        assert delay_ms is not None
        self._push(now_ms + delay_ms, "probed" if answers else "unanswered", 0)

    def _end_probe(self, now_ms: int) -> None:
        self._is_probing = False
        if not self._is_away(now_ms):
            self._cold.record_statement(
                self.find_remaining_ms(now_ms), cold_start.Source.PROBE, now_ms
            )

    def _arrive(self, number: int, now_ms: int) -> None:
        ticket = waiting.Ticket(
            number=number,
            route="r",
            priority=1,
            is_call=False,
            target_at_ms=now_ms + 900,
            deadline_at_ms=now_ms + 5_000,
        )
        if isinstance(self._queue.offer(ticket, now_ms), waiting.Start):
            self._run(number, now_ms)

    def _take_all(self, now_ms: int) -> None:
        while True:
            chosen, _ = self._queue.take_next(now_ms)
            if chosen is None:
                return
            self._run(chosen.number, now_ms)

    def _run(self, number: int, now_ms: int) -> None:
        self._cold.record_send(now_ms)
        if self._is_away(now_ms):
            self._push(now_ms + 1, "broken", number)
            return
        self.sent_at_ms.append(now_ms)
        factor = 2 if self.find_remaining_ms(now_ms) else 1
        self._push(now_ms + self._run_ms * factor, "end", number)


@behave.given(
    "a server with {slots:d} slots for runs of {run:d} ms that tolerates 5.5"
    " requests per second while cold"
)
def make_server(context: runner.Context, slots: int, run: int) -> None:
    context.server = _ColdServer(slots=slots, run_ms=run, is_bounded=True)
    context.unbounded = _ColdServer(slots=slots, run_ms=run, is_bounded=False)


@behave.given('it turns cold {kind} at "{times}" s for 3 s each')
def set_spells(context: runner.Context, kind: str, times: str) -> None:
    context.server.is_restarting = kind == "by a restart"
    context.server.cold_from_ms = [
        int(float(time) * 1_000) for time in times.split()
    ]


@behave.given("its probes are answered {probes}")
def set_probes(context: runner.Context, probes: str) -> None:
    context.server.probe_ms = _PROBE_TIMES_MS[probes]


@behave.given("a connection to it breaks off every {each:d} ms")
def set_breaks(context: runner.Context, each: int) -> None:
    context.server.breaks_each_ms = each


@behave.when("{rate:d} requests per second come to it for {length:d} s")
def simulate_arrivals(context: runner.Context, rate: int, length: int) -> None:
    context.length_s = length
    context.server.simulate(rate, length * 1_000)
    context.unbounded.simulate(rate, length * 1_000)


@behave.then(
    "in any second from the start of a cold spell it gets at most {most:d}"
    " requests"
)
def check_most_in_spell(context: runner.Context, most: int) -> None:
    server = context.server
    for at_ms in server.cold_from_ms:
        sent = [t for t in server.sent_at_ms if at_ms <= t < at_ms + _COLD_MS]
        counts = [sum(a <= t < a + 1_000 for t in sent) for a in sent]
        assert max(counts, default=0) <= most, (at_ms, max(counts))


@behave.then(
    "while cold it gets at least {least:d} per cent of what it tolerates"
)
def check_least_in_spell(context: runner.Context, least: int) -> None:
    server = context.server
    cold_ms = sum(
        server.find_remaining_ms(at_ms) > 0
        for at_ms in range(context.length_s * 1_000)
    )
    sent_count = sum(
        server.find_remaining_ms(at_ms) > 0 for at_ms in server.sent_at_ms
    )
    tolerated_count = _WARMUP.rate_per_s * cold_ms / 1_000
    assert sent_count >= least / 100 * tolerated_count, (
        sent_count,
        tolerated_count,
    )


@behave.then(
    "it gets at least {least:d} per cent of what it gets without a bound"
)
def check_throughput(context: runner.Context, least: int) -> None:
    counts = len(context.server.sent_at_ms), len(context.unbounded.sent_at_ms)
    assert counts[0] >= least / 100 * counts[1], counts


@behave.then("it is probed at most {most:d} times per second")
def check_probes(context: runner.Context, most: int) -> None:
    per_s = context.server.probe_count / context.length_s
    assert per_s <= most, per_s


@behave.given("a server that is in doubt")
def make_in_doubt(context: runner.Context) -> None:
    context.now_ms = 1_000
    context.cold = cold_start.ColdStart(limit=rate_limit.RateLimit())
    context.cold.set_warmup(_WARMUP, 0)
    context.cold.record_statement(0, cold_start.Source.HEARTBEAT, 0)
    context.cold.doubt()


@behave.when("a heartbeat says that it is warm")
def beat(context: runner.Context) -> None:
    context.cold.record_statement(
        0, cold_start.Source.HEARTBEAT, context.now_ms
    )


@behave.when("it is sent as many requests as it may get")
def send_allowance(context: runner.Context) -> None:
    for _ in range(_WARMUP.allowance_count):
        context.cold.record_send(context.now_ms)


@behave.when("{passed:d} ms pass without a proof")
def advance(context: runner.Context, passed: int) -> None:
    context.now_ms += passed
    context.cold.advance(context.now_ms)


@behave.then("it counts as {warmth:w}")
def check_warmth(context: runner.Context, warmth: str) -> None:
    assert context.cold.warmth.value == warmth, context.cold.warmth


@behave.given(
    "a server that states a limit of {limit:d} requests per second, and is cold"
)
def make_limited_and_cold(context: runner.Context, limit: int) -> None:
    context.limit = rate_limit.RateLimit()
    context.limit.set(limit, 0)
    context.limit.begin_warmup(_WARMUP.rate_per_s, 0)


@behave.when("its stated limit rises to {limit:d}")
def raise_limit(context: runner.Context, limit: int) -> None:
    context.limit.set(limit, 0)


@behave.when("it is warm")
def warm_up(context: runner.Context) -> None:
    context.limit.end_warmup(0)


@behave.then("{rate:g} requests per second may be sent")
def check_rate(context: runner.Context, rate: float) -> None:
    assert context.limit.find_rate_per_s(0) == rate
    assert context.limit.in_force_per_s == rate
