"""Faults in series, drawn from a seed, that overlap as they come."""

from collections.abc import Callable
import dataclasses
import random
import signal
import threading
import time

from tools.soak import cluster
from tools.soak import proxy
from tools.standins import keyed

PAUSES_S = (0.2, 0.6, 1.5)
RESTART_S = 0.6
"""From the end of a router until the platform starts it again."""

STOP_S = 7.0
"""For a planned stop, before the router is killed."""

FREEZES_S = (0.5, 2.0, 5.0)
STORE_MODES = (
    '{"mode": "down"}',
    '{"mode": "refusing"}',
    '{"mode": "slow", "delay_ms": 400}',
    '{"mode": "answer-lost", "count": 3}',
    '{"mode": "late", "delay_ms": 2500, "count": 3}',
)
_HEALTHY = '{"mode": "up"}'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One thing that was done to the cluster."""

    at_ms: float
    text: str


class Story:
    """Brings about faults, and puts all right in the end."""

    def __init__(self, *, running: cluster.Cluster, seed: int) -> None:
        self._cluster = running
        self._random = random.Random(seed)
        self._threads: list[threading.Thread] = []
        self._version = 1
        self.events: list[Event] = []
        self.ended_ms: dict[str, float] = {}

    def play(self, length_s: float) -> None:
        """Brings about faults for a while."""
        ends_s = time.monotonic() + length_s
        while time.monotonic() < ends_s:
            self._disturb()
            time.sleep(self._random.choice(PAUSES_S))

    def heal(self) -> None:
        """Ends all faults, and starts what doesn't run."""
        for thread in self._threads:
            thread.join()
        self._cluster.call_store("PUT", "/-/mode", _HEALTHY)
        for node in self._cluster.nodes:
            node.store_proxy.mode = proxy.Mode.PASS
            node.router.thaw()
            node.server.thaw()
            node.router.start()
            if not node.server.is_running():
                node.start_server()

    def _disturb(self) -> None:
        node = self._random.choice(self._cluster.nodes)
        match self._random.randrange(11):
            case 0 | 1:
                self._note(f"kill router {node.name}")
                node.router.kill()
                self._later(RESTART_S, node.router.start)
            case 2:
                self._note(f"stop router {node.name}")
                self._start(self._restart_router, node)
            case 3 | 4:
                self._freeze(node)
            case 5:
                self._lose_server(node)
            case 6:
                self._note(f"drain server {node.server.name}")
                self._start(self._replace_server, node)
            case 7:
                mode = self._random.choice(STORE_MODES)
                self._note(f"store {mode}")
                self._cluster.call_store("PUT", "/-/mode", mode)
                self._later(
                    self._random.choice(FREEZES_S),
                    self._cluster.call_store,
                    "PUT",
                    "/-/mode",
                    _HEALTHY,
                )
            case 8 | 9:
                self._cut(node)
            case _:
                self._version += 1
                self._note(f"config {self._version}")
                self._cluster.apply_config(self._version)
                if self._random.random() < 0.5:
                    self._cluster.call_store("POST", "/-/forget")

    def _freeze(self, node: cluster.Node) -> None:
        length_s = self._random.choice(FREEZES_S)
        process = self._random.choice((node.router, node.server))
        self._note(f"freeze {process.role.value} {process.name} {length_s} s")
        process.freeze()
        self._later(length_s, process.thaw)

    def _cut(self, node: cluster.Node) -> None:
        choices = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
        mode = self._random.choice(choices)
        self._note(f"store of {node.name}: {mode.value}")
        node.store_proxy.mode = mode
        self._later(
            self._random.choice(FREEZES_S),
            setattr,
            node.store_proxy,
            "mode",
            proxy.Mode.PASS,
        )

    def _lose_server(self, node: cluster.Node) -> None:
        self._note(f"kill server {node.server.name}")
        node.server.kill()
        self.ended_ms.setdefault(node.server.name, keyed.read_ms())
        self._later(self._random.choice(FREEZES_S), self._revive, node)

    def _revive(self, node: cluster.Node) -> None:
        if not node.server.is_running():
            node.start_server()

    def _restart_router(self, node: cluster.Node) -> None:
        node.router.thaw()
        node.router.send_signal(signal.SIGTERM)
        if node.router.wait(STOP_S) is None:
            node.router.kill()
        time.sleep(RESTART_S)
        node.router.start()

    def _replace_server(self, node: cluster.Node) -> None:
        server = node.server
        server.thaw()
        server.stop()
        self.ended_ms.setdefault(server.name, keyed.read_ms())
        self._revive(node)

    def _start(
        self, action: Callable[[cluster.Node], None], node: cluster.Node
    ) -> None:
        thread = threading.Thread(target=action, args=(node,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _later(
        self,
        delay_s: float,
        action: Callable[..., None],
        *arguments: object,
    ) -> None:
        timer = threading.Timer(delay_s, action, args=arguments)
        self._threads.append(timer)
        timer.start()

    def _note(self, text: str) -> None:
        self.events.append(Event(at_ms=keyed.read_ms(), text=text))
