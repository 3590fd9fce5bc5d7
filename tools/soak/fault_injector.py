"""Injects random faults into a cluster; faults may overlap."""

from collections.abc import Callable
import dataclasses
import random
import signal
import threading
import time

from tools import processes
from tools.soak import cluster
from tools.soak import proxy
from tools.standins import keyed

INTERVALS_S = (0.2, 0.6, 1.5)
RESTART_DELAY_S = 0.6
"""Time from the end of a router until the platform restarts it."""

STOP_TIMEOUT_S = 7.0
"""Timeout of a planned stop, after which the router is killed."""

FAULT_DURATIONS_S = (0.5, 2.0, 5.0)
STORE_MODES = (
    '{"mode": "down"}',
    '{"mode": "refusing"}',
    '{"mode": "slow", "delay_ms": 400}',
    '{"mode": "answer-lost", "count": 3}',
    '{"mode": "late", "delay_ms": 2500, "count": 3}',
)
_STORE_UP = '{"mode": "up"}'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One fault or change that was applied to the cluster."""

    at_ms: float
    text: str


class FaultInjector:
    """Injects faults drawn from a seed, and restores the cluster afterwards."""

    def __init__(self, *, running: cluster.Cluster, seed: int) -> None:
        self._cluster = running
        self._rng = random.Random(seed)
        self._threads: list[threading.Thread] = []
        self._config_version = 1
        self.events: list[Event] = []
        self.ended_ms: dict[str, float] = {}
        self.disturbed_ms: dict[str, list[float]] = {
            node.name: [] for node in running.nodes
        }

    def inject_faults(self, duration_s: float) -> None:
        """Injects faults at random intervals for the given time."""
        deadline_s = time.monotonic() + duration_s
        while time.monotonic() < deadline_s:
            self._inject_fault()
            time.sleep(self._rng.choice(INTERVALS_S))

    def restore(self) -> None:
        """Ends all faults, and starts all processes that don't run."""
        for thread in self._threads:
            thread.join()
        self._cluster.call_store("PUT", "/-/mode", _STORE_UP)
        for node in self._cluster.nodes:
            node.store_proxy.mode = proxy.Mode.PASS
            node.router.resume()
            node.server.resume()
            node.router.start()
            node.start_ended_server()

    def _inject_fault(self) -> None:
        node = self._rng.choice(self._cluster.nodes)
        match self._rng.randrange(11):
            case 0 | 1:
                self._record_event(f"kill router {node.name}")
                self._record_disturbance(node)
                node.router.kill()
                self._schedule(RESTART_DELAY_S, self._start_router, node)
            case 2:
                self._record_event(f"stop router {node.name}")
                self._run_in_thread(self._restart_router, node)
            case 3 | 4:
                self._freeze_process(node)
            case 5:
                self._kill_server(node)
            case 6:
                self._record_event(f"drain server {node.server.name}")
                self._run_in_thread(self._replace_server, node)
            case 7:
                mode = self._rng.choice(STORE_MODES)
                self._record_event(f"store {mode}")
                self._cluster.call_store("PUT", "/-/mode", mode)
                self._schedule(
                    self._rng.choice(FAULT_DURATIONS_S),
                    self._cluster.call_store,
                    "PUT",
                    "/-/mode",
                    _STORE_UP,
                )
            case 8 | 9:
                self._disrupt_store_proxy(node)
            case _:
                self._config_version += 1
                self._record_event(f"config {self._config_version}")
                self._cluster.apply_config(self._config_version)
                if self._rng.random() < 0.5:
                    self._cluster.call_store("POST", "/-/forget")

    def _freeze_process(self, node: cluster.Node) -> None:
        duration_s = self._rng.choice(FAULT_DURATIONS_S)
        process = self._rng.choice((node.router, node.server))
        self._record_event(
            f"freeze {process.role.value} {process.name} {duration_s} s"
        )
        self._record_disturbance(node)
        process.freeze()
        self._schedule(duration_s, self._resume, node, process)

    def _resume(self, node: cluster.Node, process: processes.Process) -> None:
        process.resume()
        self._record_disturbance(node)

    def _start_router(self, node: cluster.Node) -> None:
        node.router.start()
        self._record_disturbance(node)

    def _record_disturbance(self, node: cluster.Node) -> None:
        self.disturbed_ms[node.name].append(keyed.read_clock_ms())

    def _disrupt_store_proxy(self, node: cluster.Node) -> None:
        choices = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
        mode = self._rng.choice(choices)
        self._record_event(f"store of {node.name}: {mode.value}")
        node.store_proxy.mode = mode
        self._schedule(
            self._rng.choice(FAULT_DURATIONS_S),
            setattr,
            node.store_proxy,
            "mode",
            proxy.Mode.PASS,
        )

    def _kill_server(self, node: cluster.Node) -> None:
        self._record_event(f"kill server {node.server.name}")
        node.server.kill()
        self.ended_ms.setdefault(node.server.name, keyed.read_clock_ms())
        self._schedule(
            self._rng.choice(FAULT_DURATIONS_S), node.start_ended_server
        )

    def _restart_router(self, node: cluster.Node) -> None:
        node.router.resume()
        self._record_disturbance(node)
        node.router.send_signal(signal.SIGTERM)
        if node.router.wait(STOP_TIMEOUT_S) is None:
            node.router.kill()
        time.sleep(RESTART_DELAY_S)
        self._start_router(node)

    def _replace_server(self, node: cluster.Node) -> None:
        server = node.server
        server.resume()
        server.stop()
        self.ended_ms.setdefault(server.name, keyed.read_clock_ms())
        node.start_ended_server()

    def _run_in_thread(
        self, action: Callable[[cluster.Node], None], node: cluster.Node
    ) -> None:
        thread = threading.Thread(target=action, args=(node,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _schedule(
        self,
        delay_s: float,
        action: Callable[..., None],
        *arguments: object,
    ) -> None:
        timer = threading.Timer(delay_s, action, args=arguments)
        self._threads.append(timer)
        timer.start()

    def _record_event(self, text: str) -> None:
        self.events.append(Event(at_ms=keyed.read_clock_ms(), text=text))
