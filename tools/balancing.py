"""Compares load-balancing policies in a discrete-event simulation.

Usage: python -m tools.balancing [--seconds 4] [--seed 1]

Five nodes send to five servers, each with 10 slots and a queue of 20 requests;
the mean service time is 20 ms. Prints one JSON document: for each policy, load
and fault (`trouble`), the imbalance (busy time of the busiest server divided by
the mean), latency quantiles and the share of requests answered within 500 ms.
"""

import argparse
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import json
import random
import sys

from rhubarblead.requests import balance

SERVERS = tuple(f"server-{number}" for number in range(5))
NODE_COUNT = 5
SLOTS = 10
QUEUE_LENGTH = 20
SERVICE_MS = 20.0
ONE_WAY_MS = 1.0
DEADLINE_MS = 500
REPORT_MS = 500
SHED_RETRY_AFTER_MS = 1_000
MAX_ATTEMPTS = 2
COLD_START_MS = 2_000
COLD_FROM_MS = 1_000
COLD_SLOWDOWN = 4.0
SLOWDOWN = 3.0
LOADS = (0.5, 0.9, 1.3, 2.0)
FAULTS = ("none", "lying", "slow", "cold")
CAPACITY_PER_MS = len(SERVERS) * SLOTS / SERVICE_MS


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request and the state of its current attempt."""

    started_at_ms: float
    node: int
    attempts: int = 0
    sent_at_ms: float = 0.0
    server: str = ""


class Server:
    """A server with slots, a queue and possibly a simulated fault."""

    def __init__(self, *, name: str, fault: str) -> None:
        self.name = name
        self.fault = fault if name == SERVERS[0] else "none"
        self.running_count = 0
        self.busy_ms = 0.0
        self.queue: list[Request] = []

    def compute_slowdown(self, now_ms: float) -> float:
        """Returns the factor by which the fault now extends service times."""
        if self.fault in ("slow", "lying"):
            return SLOWDOWN
        if self.fault == "cold":
            age = (now_ms - COLD_FROM_MS) / COLD_START_MS
            return max(1.0, COLD_SLOWDOWN - (COLD_SLOWDOWN - 1) * age)
        return 1.0

    def is_up(self, now_ms: float) -> bool:
        """Returns whether the server has started."""
        return self.fault != "cold" or now_ms >= COLD_FROM_MS

    def report(self) -> int:
        """Returns the requests it reports as in flight; 0 if it is lying."""
        if self.fault == "lying":
            return 0
        return self.running_count + len(self.queue)


class Policy:
    """Chooses with the product's balancer; base class of the others."""

    def __init__(self, *, seed: int) -> None:
        self.balancer = balance.Balancer(random_source=random.Random(seed))

    def choose(self, servers: list[str], now_ms: float) -> str | None:
        """Returns the server to send to, or None if there is none."""
        return self.balancer.choose(servers, int(now_ms))


class RandomPolicy(Policy):
    """Chooses a random server."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self._rng = random.Random(seed)

    def choose(self, servers: list[str], now_ms: float) -> str | None:
        """Returns the server to send to, or None if there is none."""
        return self._rng.choice(servers) if servers else None


class RoundRobinPolicy(Policy):
    """Chooses servers in round-robin order."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self._position = seed

    def choose(self, servers: list[str], now_ms: float) -> str | None:
        """Returns the server to send to, or None if there is none."""
        self._position += 1
        return servers[self._position % len(servers)] if servers else None


POLICIES: dict[str, type[Policy]] = {
    "balancer": Policy,
    "round-robin": RoundRobinPolicy,
    "random": RandomPolicy,
}


class Simulation:
    """One simulation of one policy under one load and fault."""

    def __init__(
        self, *, policy: str, load: float, fault: str, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._policies = [
            POLICIES[policy](seed=seed + node) for node in range(NODE_COUNT)
        ]
        self._servers = {
            name: Server(name=name, fault=fault) for name in SERVERS
        }
        self._arrivals_per_ms = load * CAPACITY_PER_MS
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._latencies: list[float] = []
        self._sent_count = 0

    def run(self, length_ms: int) -> dict[str, float]:
        """Processes all events and returns the metrics."""
        self._schedule(0, lambda now_ms: self._arrive(now_ms, length_ms))
        self._schedule(
            REPORT_MS, lambda now_ms: self._report(now_ms, length_ms)
        )
        self._schedule(COLD_FROM_MS, self._start_cold)
        while self._events:
            now_ms, _, callback = heapq.heappop(self._events)
            callback(now_ms)
        return self._summarise()

    def _schedule(
        self, moment_ms: float, callback: Callable[[float], None]
    ) -> None:
        heapq.heappush(
            self._events, (moment_ms, next(self._sequence), callback)
        )

    def _arrive(self, now_ms: float, length_ms: int) -> None:
        if now_ms >= length_ms:
            return
        self._sent_count += 1
        node = self._rng.randrange(NODE_COUNT)
        self._send(Request(started_at_ms=now_ms, node=node), now_ms)
        gap_ms = self._rng.expovariate(self._arrivals_per_ms)
        self._schedule(now_ms + gap_ms, lambda t: self._arrive(t, length_ms))

    def _report(self, now_ms: float, length_ms: int) -> None:
        for server in self._servers.values():
            for policy in self._policies:
                policy.balancer.record_report(
                    server.name,
                    in_flight=server.report(),
                    slots=SLOTS,
                    now_ms=int(now_ms),
                )
        if now_ms < length_ms:
            self._schedule(
                now_ms + REPORT_MS, lambda t: self._report(t, length_ms)
            )

    def _start_cold(self, now_ms: float) -> None:
        if self._servers[SERVERS[0]].fault != "cold":
            return
        for policy in self._policies:
            policy.balancer.record_start(
                SERVERS[0], cold_start_ms=COLD_START_MS, now_ms=int(now_ms)
            )

    def _send(self, request: Request, now_ms: float) -> None:
        policy = self._policies[request.node]
        available = [s.name for s in self._servers.values() if s.is_up(now_ms)]
        if request.server in available and len(available) > 1:
            available.remove(request.server)
        chosen = policy.choose(available, now_ms)
        if chosen is None:
            return
        request.server = chosen
        request.sent_at_ms = now_ms
        request.attempts += 1
        policy.balancer.begin(chosen, int(now_ms))
        self._schedule(now_ms + ONE_WAY_MS, lambda t: self._receive(request, t))

    def _receive(self, request: Request, now_ms: float) -> None:
        server = self._servers[request.server]
        if server.running_count < SLOTS:
            self._begin(server, request, now_ms)
        elif len(server.queue) < QUEUE_LENGTH:
            server.queue.append(request)
        else:
            self._schedule(
                now_ms + ONE_WAY_MS, lambda t: self._handle_shed(request, t)
            )

    def _begin(self, server: Server, request: Request, now_ms: float) -> None:
        server.running_count += 1
        service_ms = self._rng.expovariate(1 / SERVICE_MS)
        service_ms *= server.compute_slowdown(now_ms)
        server.busy_ms += service_ms
        self._schedule(
            now_ms + service_ms, lambda t: self._end(server, request, t)
        )

    def _end(self, server: Server, request: Request, now_ms: float) -> None:
        server.running_count -= 1
        self._schedule(
            now_ms + ONE_WAY_MS, lambda t: self._handle_answer(request, t)
        )
        if server.queue:
            self._begin(server, server.queue.pop(0), now_ms)

    def _handle_answer(self, request: Request, now_ms: float) -> None:
        self._finish(request, balance.Outcome.ANSWERED, now_ms)
        self._latencies.append(now_ms - request.started_at_ms)

    def _handle_shed(self, request: Request, now_ms: float) -> None:
        self._finish(request, balance.Outcome.SHED, now_ms)
        if request.attempts < MAX_ATTEMPTS:
            self._send(request, now_ms)

    def _finish(
        self, request: Request, ending: balance.Outcome, now_ms: float
    ) -> None:
        self._policies[request.node].balancer.finish(
            request.server,
            outcome=ending,
            latency_ms=now_ms - request.sent_at_ms,
            now_ms=int(now_ms),
            retry_after_ms=SHED_RETRY_AFTER_MS,
        )

    def _summarise(self) -> dict[str, float]:
        ordered = sorted(self._latencies)
        busy = [server.busy_ms for server in self._servers.values()]
        in_time = sum(latency <= DEADLINE_MS for latency in ordered)
        return {
            "imbalance": round(max(busy) * len(busy) / sum(busy), 3),
            "p50_ms": _find_quantile(ordered, 0.5),
            "p99_ms": _find_quantile(ordered, 0.99),
            "p999_ms": _find_quantile(ordered, 0.999),
            "in_time": round(in_time / self._sent_count, 4),
        }


def _find_quantile(ordered: list[float], share: float) -> float:
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)


def main(arguments: list[str]) -> int:
    """Simulates all combinations and prints the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    results = [
        {
            "trouble": fault,
            "load": load,
            "policy": policy,
            **Simulation(
                policy=policy, load=load, fault=fault, seed=options.seed
            ).run(int(options.seconds * 1_000)),
        }
        for fault in FAULTS
        for load in LOADS
        for policy in POLICIES
    ]
    print(json.dumps({"seed": options.seed, "results": results}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
