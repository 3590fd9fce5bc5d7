"""Discrete-event simulation of one service, its queues and its callers.

The queues, the load reports and the moves of keys are decided by the router's
own modules; arrivals, service times, callers and delays are simulated.
"""

import bisect
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import load_shifts
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import recent_shifts
from rhubarblead.keyspace import traffic
from rhubarblead.requests import placement
from rhubarblead.requests import waiting
from rhubarblead.router import ownership
from rhubarblead.router import state_broadcaster
from tools.overload import workload

CHECK_MS = 50
REPORT_MS = int(state_broadcaster.REPORT_INTERVAL_S * 1_000)
FULL_REPORT_MS = REPORT_MS * state_broadcaster.REPORTS_PER_LOAD
MOVE_MS = 1_200
"""From a plan until the keys are held by another server: about a heartbeat."""

ROUND_TRIP_MS = 6
MIN_RETRY_MS = 50
MAX_RETRY_SHARE = 3
"""Callers wait at most a third of the time that they have left."""

BUSY_KEY_COUNT = 60_000
KEY_SKEW = 0.9
FIRST_BUSY_KEY = 20_011
"""The busiest key; the next ones by rank follow it, close to one another."""

SECOND_MS = 1_000
EPOCH_MS = 100_000
"""The clock at the start of a run; at 0, windows of rates would be cut off."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A caller's request over all its attempts; times in milliseconds."""

    number: int
    kind: workload.RequestClass
    key: int
    started_at_ms: int
    attempt_count: int = 0
    refusal_count: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    refused_waits: dict[str, int] = dataclasses.field(default_factory=dict)
    ended_at_ms: int | None = None
    is_served: bool = False

    def find_left_ms(self, now_ms: int) -> int:
        """Returns how long the caller will still wait."""
        return self.started_at_ms + self.kind.deadline_ms - now_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """What became of the requests of one class, as shares of all of them.

    `refused_again` came back after a refusal and were refused in the end.
    `earned` is the worth of the responses by that of all requests.
    """

    name: str
    request_count: int
    in_time: float
    late: float
    refused: float
    refused_again: float
    earned: float


class _Server:
    """A server, its queue and the traffic of its keys."""

    def __init__(self, *, name: str, slot_count: int, speed: float) -> None:
        self.name = name
        self.speed = speed
        self.queue = waiting.WaitQueue(slot_count=slot_count)
        self.traffic = traffic.KeyTraffic()
        self.recent_shifts = recent_shifts.RecentShifts()
        self.requests: dict[int, Request] = {}
        self.reported_wait_ms = 0.0
        self.reported_at_ms = 0

    @property
    def owner(self) -> str:
        """The server as the owner of keys."""
        return assignment.format_owner(self.name, 0)

    def find_capacity_per_s(self) -> float:
        """Estimates the requests per second that the server can run."""
        return self.queue.slot_count * SECOND_MS / self.queue.times.overall_ms

    def find_rates(self, now_ms: int) -> dict[int, float]:
        """Returns the requests per second by key."""
        return self.traffic.find_rates(now_ms + EPOCH_MS)

    def make_candidate(self, now_ms: int) -> planning.Candidate:
        """Describes the server to the planner."""
        capacity_per_s = self.find_capacity_per_s()
        rate_per_s = sum(self.find_rates(now_ms).values())
        return planning.Candidate(
            owner=self.owner,
            load=rate_per_s / capacity_per_s,
            capacity_per_s=capacity_per_s,
        )


class Simulation:
    """One run of a workload."""

    def __init__(
        self,
        *,
        load: workload.Workload,
        seed: int,
        recognizes_returns: bool = True,
    ) -> None:
        """Initializes a run.

        Args:
            load: The workload.
            seed: Seed of the arrivals, service times and keys.
            recognizes_returns: Whether callers that come back after a refusal
                are told from new ones; if not, the run is a baseline.
        """
        self._load = load
        self._recognizes_returns = recognizes_returns
        self._random = random.Random(seed)
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self._servers = [
            _Server(
                name=f"server-{number:03}",
                slot_count=load.slot_count,
                speed=load.speeds[number % len(load.speeds)],
            )
            for number in range(load.server_count)
        ]
        self._by_name = {server.name: server for server in self._servers}
        self._reports: list[planning.Candidate] = []
        self._reported_at_ms = 0
        self._noisy_spans: dict[tuple[str, int], bool] = {}
        self._weights = _make_cumulative_weights()
        self._assignment = assignment.make_empty().apply(
            planning.plan_initial(
                [server.make_candidate(0) for server in self._servers]
            )
        )
        self._set_owned(0)
        self.requests: list[Request] = []

    def run(self) -> None:
        """Plays the workload to its end."""
        for kind in self._load.classes:
            self._schedule_arrival(kind, 0)
        self._repeat(CHECK_MS, self._check_queues)
        self._repeat(self._find_report_ms(), self._report)
        if self._load.is_keyed:
            self._repeat(ownership.REBALANCE_INTERVAL_MS, self._plan)
        while self._events and self._events[0][0] <= self._load.length_ms:
            now_ms, _, callback = heapq.heappop(self._events)
            callback(now_ms)

    def _find_report_ms(self) -> int:
        """Returns the interval of load reports in a service of this size."""
        is_fast = self._load.server_count <= state_broadcaster.MAX_FAST_PEERS
        return REPORT_MS if self._load.is_keyed and is_fast else FULL_REPORT_MS

    def summarize(self) -> list[Summary]:
        """Summarizes the requests whose fate was decided, by class."""
        return [self._summarize(kind) for kind in self._load.classes]

    def find_in_time_by_second(self) -> list[float]:
        """Returns the share of the requests of each second served in time."""
        counts = [[0, 0] for _ in range(self._load.length_ms // SECOND_MS)]
        for request in self.requests:
            second = request.started_at_ms // SECOND_MS
            if second < len(counts):
                counts[second][0] += _is_in_time(request)
                counts[second][1] += 1
        return [in_time / max(1, asked) for in_time, asked in counts]

    def _summarize(self, kind: workload.RequestClass) -> Summary:
        last_ms = self._load.length_ms - kind.deadline_ms
        decided = [
            r
            for r in self.requests
            if r.kind.name == kind.name and r.started_at_ms < last_ms
        ]
        count = max(1, len(decided))
        in_time = sum(_is_in_time(r) for r in decided)
        served = sum(r.is_served for r in decided)
        again = sum(not r.is_served and r.attempt_count > 1 for r in decided)
        late_share = (served - in_time) / count
        return Summary(
            name=kind.name,
            request_count=len(decided),
            in_time=in_time / count,
            late=late_share,
            refused=(len(decided) - served) / count,
            refused_again=again / count,
            earned=in_time / count + late_share * kind.late_worth / kind.worth,
        )

    def _schedule(self, at_ms: int, callback: Callable[[int], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), callback))

    def _repeat(self, every_ms: int, action: Callable[[int], None]) -> None:
        def step(now_ms: int) -> None:
            action(now_ms)
            self._schedule(now_ms + every_ms, step)

        self._schedule(every_ms, step)

    # Callers.

    def _schedule_arrival(
        self, kind: workload.RequestClass, now_ms: int
    ) -> None:
        factor = math.prod(
            surge.factor
            for surge in self._load.surges
            if surge.at_ms <= now_ms < surge.at_ms + surge.for_ms
        )
        gap_ms = self._random.expovariate(kind.rate_per_s * factor / SECOND_MS)
        at_ms = now_ms + max(1, round(gap_ms))
        self._schedule(at_ms, lambda t: self._arrive(kind, t))

    def _arrive(self, kind: workload.RequestClass, now_ms: int) -> None:
        self._schedule_arrival(kind, now_ms)
        request = Request(
            number=next(self._numbers),
            kind=kind,
            key=self._draw_key(now_ms),
            started_at_ms=now_ms,
        )
        self.requests.append(request)
        self._send(request, now_ms)

    def _draw_key(self, now_ms: int) -> int:
        for hot in self._load.hot_keys:
            is_active = hot.at_ms <= now_ms < hot.at_ms + hot.for_ms
            if is_active and self._random.random() < hot.share:
                return hot.first_key + self._random.randrange(hot.key_count)
        drawn = self._random.random() * self._weights[-1]
        rank = bisect.bisect_left(self._weights, drawn)
        return (FIRST_BUSY_KEY + rank) % assignment.KEY_COUNT

    def _send(self, request: Request, now_ms: int) -> None:
        """Begins an attempt of a caller."""
        request.attempt_count += 1
        request.refusal_count = 0
        request.excluded.clear()
        request.refused_waits.clear()
        self._dispatch(request, now_ms)

    def _refuse(self, request: Request, after_ms: int, now_ms: int) -> None:
        left_ms = request.find_left_ms(now_ms)
        jitter = 0.75 + 0.5 * self._random.random()
        pause_ms = int(max(MIN_RETRY_MS, after_ms) * jitter)
        pause_ms = min(pause_ms, left_ms // MAX_RETRY_SHARE) + ROUND_TRIP_MS
        if request.attempt_count > request.kind.retry_count or left_ms <= 0:
            request.ended_at_ms = now_ms
            return
        self._schedule(now_ms + pause_ms, lambda t: self._send(request, t))

    # The node that a caller has sent its request to.

    def _dispatch(self, request: Request, now_ms: int) -> None:
        if self._load.is_keyed:
            owner = self._assignment.find(request.key).owner
            name = assignment.parse_node_id(owner)
            self._offer(self._by_name[name], request, now_ms, may_wait=True)
            return
        choice = placement.choose(
            candidates=[
                placement.Candidate(
                    node_id=server.name,
                    is_same_domain=True,
                    wait_ms=server.reported_wait_ms,
                    age_ms=now_ms - server.reported_at_ms,
                    service_ms=round(server.queue.times.overall_ms),
                )
                for server in self._servers
            ],
            refused_waits=request.refused_waits,
            excluded=request.excluded,
            is_download=False,
            target_ms=request.kind.target_ms,
            random_source=self._random,
        )
        if choice is None:
            self._refuse(request, MIN_RETRY_MS, now_ms)
            return
        server = self._by_name[choice.node_id]
        self._offer(server, request, now_ms, may_wait=choice.may_wait)

    # The node beside the server.

    def _offer(
        self, server: _Server, request: Request, now_ms: int, *, may_wait: bool
    ) -> None:
        kind = request.kind
        is_return = self._recognizes_returns and request.attempt_count > 1
        if self._load.is_keyed and not is_return:
            server.traffic.add(request.key, now_ms + EPOCH_MS)
        ticket = waiting.Ticket(
            number=next(self._numbers),
            route=kind.name,
            priority=kind.priority,
            is_call=False,
            target_at_ms=(request.started_at_ms if is_return else now_ms)
            + kind.target_ms,
            deadline_at_ms=now_ms + request.find_left_ms(now_ms),
            may_wait=may_wait,
            key=request.key if self._load.is_keyed else None,
        )
        match server.queue.offer(ticket, now_ms):
            case waiting.Start():
                self._run(server, ticket.number, request, now_ms)
            case waiting.Queued():
                server.requests[ticket.number] = request
            case waiting.Busy(wait_ms=wait_ms):
                request.refused_waits[server.name] = wait_ms
                self._dispatch(request, now_ms)
            case waiting.Refuse(retry_after_ms=after_ms):
                request.refusal_count += 1
                request.excluded.add(server.name)
                is_final = request.refusal_count >= placement.MAX_REFUSALS
                if self._load.is_keyed or is_final:
                    self._refuse(request, after_ms, now_ms)
                else:
                    self._dispatch(request, now_ms)

    def _run(
        self, server: _Server, number: int, request: Request, now_ms: int
    ) -> None:
        kind = request.kind
        factor = server.speed * math.prod(
            slow.factor
            for slow in self._load.slowdowns
            if slow.at_ms <= now_ms < slow.at_ms + slow.for_ms
            and self._servers.index(server) < slow.server_count
        )
        factor *= self._find_noise(server, now_ms)
        drawn = self._random.lognormvariate(-(kind.sigma**2) / 2, kind.sigma)
        taken_ms = max(1, int(kind.service_ms * factor * drawn))
        # A server gives up at the deadline that it was sent.
        given_ms = min(taken_ms, max(1, request.find_left_ms(now_ms)))

        def end(at_ms: int) -> None:
            server.queue.finish(number, at_ms, is_complete=True)
            request.ended_at_ms = at_ms + ROUND_TRIP_MS
            request.is_served = taken_ms <= given_ms
            self._take_all(server, at_ms)

        self._schedule(now_ms + given_ms, end)

    def _find_noise(self, server: _Server, now_ms: int) -> float:
        """Returns by how much other work on a server's machine slows it."""
        noise = self._load.noise
        if noise is None:
            return 1.0
        span = (server.name, now_ms // noise.each_ms)
        if span not in self._noisy_spans:
            self._noisy_spans[span] = self._random.random() < noise.share
        return noise.factor if self._noisy_spans[span] else 1.0

    def _take_all(self, server: _Server, now_ms: int) -> None:
        while True:
            chosen, expired = server.queue.take_next(now_ms)
            for ticket in expired:
                after_ms = server.queue.find_retry_after_ms(300, now_ms)
                request = server.requests.pop(ticket.number)
                self._refuse(request, after_ms, now_ms)
            if chosen is None:
                return
            request = server.requests.pop(chosen.number)
            self._run(server, chosen.number, request, now_ms)

    def _check_queues(self, now_ms: int) -> None:
        for server in self._servers:
            self._take_all(server, now_ms)

    # Load reports and moves of keys.

    def _report(self, now_ms: int) -> None:
        for server in self._servers:
            server.reported_at_ms = now_ms
            server.reported_wait_ms = server.queue.estimate_wait_ms(
                now_ms, is_call=False
            )
        if self._load.is_keyed:
            self._reports = [s.make_candidate(now_ms) for s in self._servers]
            self._reported_at_ms = now_ms

    def _plan(self, now_ms: int) -> None:
        for server in self._servers:
            own = server.make_candidate(now_ms)
            others = server.recent_shifts.add_to(
                [
                    dataclasses.replace(
                        report, report_age_ms=now_ms - self._reported_at_ms
                    )
                    for report in self._reports
                    if report.owner != own.owner
                ],
                now_ms,
            )
            if not others:
                continue
            transfers = load_shifts.plan_shift(
                current=self._assignment,
                own_owner=own.owner,
                rates=server.find_rates(now_ms),
                candidates=[own, *others],
            )
            if transfers:
                self._schedule_move(server, transfers, now_ms + MOVE_MS)

    def _schedule_move(
        self, server: _Server, transfers: list[assignment.Transfer], at_ms: int
    ) -> None:
        def move(now_ms: int) -> None:
            # Those that another move has taken meanwhile stay there.
            valid = [
                item
                for item in transfers
                if all(
                    found.owner == server.owner
                    for found in self._assignment.list_overlapping(
                        item.first, item.last
                    )
                )
            ]
            server.recent_shifts.record(
                valid, server.find_rates(now_ms), now_ms
            )
            self._assignment = self._assignment.apply(valid)
            self._set_owned(now_ms)
            for ticket in server.queue.list_waiting():
                assert ticket.key is not None
                if self._assignment.find(ticket.key).owner != server.owner:
                    server.queue.withdraw(ticket.number)
                    request = server.requests.pop(ticket.number)
                    self._dispatch(request, now_ms)

        self._schedule(at_ms, move)

    def _set_owned(self, now_ms: int) -> None:
        for server in self._servers:
            owned = self._assignment.list_owned(server.owner)
            server.traffic.set_owned(
                [(item.first, item.last) for item in owned], now_ms + EPOCH_MS
            )


def _make_cumulative_weights() -> list[float]:
    """Makes the weights of keys of which few are much busier than others."""
    weights = (1 / (rank + 1) ** KEY_SKEW for rank in range(BUSY_KEY_COUNT))
    return list(itertools.accumulate(weights))


def _is_in_time(request: Request) -> bool:
    if not request.is_served or request.ended_at_ms is None:
        return False
    took_ms = request.ended_at_ms - request.started_at_ms
    return took_ms <= request.kind.target_ms
