"""Simulates one node in a storm of configurations, in virtual time.

Usage: ./run python -m tools.config_storm --nodes 11,62,300,1800

The node runs the real exchange of states. It reads each version from the store
over its link, while the other nodes report theirs; small messages measure what
waits behind the large ones.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import functools
import random
import selectors
import statistics
import sys
from typing import Any

import fire

from rhubarblead.router import config_feed
from rhubarblead.router import directory
from rhubarblead.router import state_sync
from rhubarblead.router import wire

LINK_BYTES_PER_S = 1_250_000
"""The grown sites have links of 10 Mbit/s."""

BYTES_PER_ROUTE = 85
BYTES_PER_ENCODED_ROUTE = 114
"""A configuration as it is written, and in a response of the store."""

LOAD_BYTES = 60
LOAD_INTERVAL_S = 1.5
SMALL_BYTES = 1_500
SMALL_INTERVAL_S = 0.02
"""Small messages use 0.6 Mbit/s."""

RESPONSE_BYTES = 90_000
RESPONSES_PER_S = 3
"""Large responses use 2.2 Mbit/s."""

STALL_AT_S = 1.0
STALL_S = 1.0
"""One answer of the store is this late, as after a lost packet."""

APPLY_S = 0.06
"""Time to decode 1,500 routes on 0.43 cores."""

ROUND_TRIP_S = 0.006
PEER_LAGS_S = (0.3, 0.9)
SETTLE_S = 3.0
SERVICE = "s"


class _JumpingSelector(selectors.SelectSelector):
    """Lets the time jump to the next timer in place of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the time by the timeout."""
        self.now_s += max(0.0, timeout or 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, for code without sockets."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._jumping.now_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Storm:
    """Versions of a configuration in quick succession."""

    node_count: int
    route_count: int = 1_500
    interval_s: float = 0.33
    length_s: float = 6.0

    def find_version(self, at_s: float) -> int:
        """Returns the newest version at a time after the start."""
        return 1 + int(min(max(0.0, at_s), self.length_s) / self.interval_s)


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """What the node received and how late things were.

    `bytes_by_cause` is received in the storm, `transit_ms` has the delays of
    the small messages, `lag_ms` the times until versions were in force.
    """

    bytes_by_cause: collections.Counter[str]
    transit_ms: list[float]
    lag_ms: list[float]

    @property
    def median_transit_ms(self) -> float:
        """Median delay of the small messages."""
        return statistics.median(self.transit_ms)


class _Node:
    """The node: its link, its configuration and its exchange of states."""

    def __init__(self, *, storm: Storm, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._storm = storm
        self._random = random.Random(seed)
        self._started_at_s = self._loop.time()
        self._link_free_at_s = 0.0
        self.version = 0
        self.result = Result(
            bytes_by_cause=collections.Counter(), transit_ms=[], lag_ms=[]
        )
        links: Any = self
        config: Any = self
        unused: Any = None
        self._sync = state_sync.StateSync(
            cluster_directory=directory.Directory(own_state=_make_state(0)),
            links=links,
            config=config,
            key_ownership=unused,
            events=unused,
            now_ms=lambda: int(self._loop.time() * 1_000),
            on_peer_state=lambda node_id: None,
            is_store_working=lambda: True,
        )

    # Links, as the exchange of states uses them.

    def connect(self, node_id: str, address: str) -> None:
        """Does nothing; all links are up."""
        del node_id, address

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Answers a request for the configuration after a round trip."""
        del node_id
        if isinstance(message, wire.SnapshotRequest):
            version = self._find_newest() - 1
            size_bytes = BYTES_PER_ROUTE * self._storm.route_count
            self._loop.call_later(
                ROUND_TRIP_S,
                lambda: self._receive(
                    size_bytes, "snapshots", lambda: self._apply(version)
                ),
            )
        return True

    # The configuration, as the exchange of states uses it.

    def check_missed(self) -> None:
        """Does nothing; the store delivers each version in time."""

    async def run(self) -> Result:
        """Plays the storm and the time after it."""
        tasks = [
            asyncio.create_task(self._read_store()),
            asyncio.create_task(self._receive_small()),
            asyncio.create_task(self._receive_responses()),
            *(
                asyncio.create_task(self._receive_loads(number))
                for number in range(1, self._storm.node_count)
            ),
        ]
        await asyncio.sleep(self._storm.length_s + SETTLE_S)
        for task in tasks:
            task.cancel()
        return self.result

    def _find_elapsed_s(self) -> float:
        return self._loop.time() - self._started_at_s

    def _find_newest(self) -> int:
        return self._storm.find_version(self._find_elapsed_s())

    def _receive(
        self, size_bytes: int, cause: str, on_received: Callable[[], None]
    ) -> None:
        """Queues a message at the link, which sends one after another."""
        now_s = self._loop.time()
        begin_s = max(now_s, self._link_free_at_s)
        self._link_free_at_s = begin_s + size_bytes / LINK_BYTES_PER_S
        if self._find_elapsed_s() <= self._storm.length_s:
            self.result.bytes_by_cause[cause] += size_bytes
        self._loop.call_at(self._link_free_at_s, on_received)

    def _apply(self, version: int) -> None:
        for applied in range(self.version + 1, version + 1):
            written_at_s = (applied - 1) * self._storm.interval_s
            lag_s = self._find_elapsed_s() - written_at_s
            self.result.lag_ms.append(1_000 * lag_s)
        self.version = max(self.version, version)

    async def _read_store(self) -> None:
        size_bytes = BYTES_PER_ENCODED_ROUTE * self._storm.route_count
        while True:
            version = self._find_newest()
            if version <= self.version:
                await asyncio.sleep(0.01)
                continue
            if STALL_AT_S <= self._find_elapsed_s() < STALL_AT_S + STALL_S:
                await asyncio.sleep(STALL_S)
            received = asyncio.Event()
            self._receive(size_bytes, "store", received.set)
            await received.wait()
            await asyncio.sleep(APPLY_S)
            self._apply(version)
            await asyncio.sleep(config_feed.POLL_INTERVAL_S)

    async def _receive_small(self) -> None:
        while True:
            self._receive(
                SMALL_BYTES,
                "small",
                functools.partial(self._record_transit, self._loop.time()),
            )
            await asyncio.sleep(SMALL_INTERVAL_S)

    async def _receive_responses(self) -> None:
        while True:
            self._receive(RESPONSE_BYTES, "responses", lambda: None)
            pause_s = self._random.expovariate(RESPONSES_PER_S)
            await asyncio.sleep(pause_s)

    def _record_transit(self, sent_at_s: float) -> None:
        transit_s = self._loop.time() - sent_at_s
        self.result.transit_ms.append(1_000 * transit_s)

    async def _receive_loads(self, number: int) -> None:
        lag_s = self._random.uniform(*PEER_LAGS_S)
        self._sync.handle_state(_make_state(number))
        await asyncio.sleep(self._random.uniform(0, LOAD_INTERVAL_S))
        while True:
            load = wire.ServerLoad(
                config_version=self._storm.find_version(
                    self._find_elapsed_s() - lag_s
                )
            )
            message = wire.Load(incarnation=f"i{number}", load=load)
            self._receive(
                LOAD_BYTES,
                "loads",
                functools.partial(self._sync.handle_load, message),
            )
            await asyncio.sleep(LOAD_INTERVAL_S)


def _make_state(number: int) -> wire.State:
    return wire.State(
        node_id=f"n{number}",
        incarnation=f"i{number}",
        address="",
        failure_domain="a",
        service=SERVICE,
        born_ms=1,
        is_serving=True,
        is_stopping=False,
        slot_count=9,
        assignments={},
        load=wire.ServerLoad(),
    )


def simulate(storm: Storm, seed: int = 1) -> Result:
    """Simulates one node in a storm.

    Args:
        storm: The versions, and the number of nodes.
        seed: Seed of the other nodes' lags and of when they report.
    """
    loop = VirtualTimeLoop()

    async def run() -> Result:
        return await _Node(storm=storm, seed=seed).run()

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def main(nodes: str | tuple[int, ...] | int = "11,62,300,1800") -> int:
    """Prints bytes a second by cause, delays and lags, by number of nodes."""
    counts = nodes if isinstance(nodes, tuple) else str(nodes).split(",")
    for count in map(int, counts):
        storm = Storm(node_count=count)
        result = simulate(storm)
        rates = " ".join(
            f"{cause} {total / storm.length_s / 1_000:.1f}"
            for cause, total in sorted(result.bytes_by_cause.items())
        )
        print(
            f"{count} nodes: kB/s {rates}; small messages median"
            f" {result.median_transit_ms:.0f} ms, most"
            f" {max(result.transit_ms):.0f} ms; versions in force after at"
            f" most {max(result.lag_ms):.0f} ms"
        )
    return 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda code: None))
