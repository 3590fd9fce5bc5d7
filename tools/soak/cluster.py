"""Runs routers, keyed servers and a store stand-in on loopback addresses."""

from collections.abc import Callable
import contextlib
import http.client
import json
import pathlib
import threading
import time
from typing import Any

from tools import processes
from tools.soak import proxy
from tools.standins import keyed

INTERNAL_PORT_COUNT = 16
SERVICE = "s"
HOST = "one.example"
HEARTBEAT_MS = 500
SLOT_COUNT = 4
LINK_MBPS = 10.0
"""Routers send larger bodies than 6,250 bytes in chunks."""

_FAILURE_DOMAINS = ("a", "b", "c")
_READY_TIMEOUT_S = 60.0
_POLL_S = 0.05
_BASE_IP = "127.0.{subnet}.{number}"

COLUMNS = [
    "name",
    "host",
    "prefix",
    "type",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
    "service",
    "maxAttempts",
]


class CannotRun(Exception):
    """The cluster didn't become ready."""


class Node:
    """One instance: a server, the router beside it and its store proxy."""

    def __init__(
        self,
        *,
        number: int,
        ip: str,
        ports: dict[str, int],
        folder: pathlib.Path,
        store_port: int,
        memory_mb: int | None,
        slot_count: int,
        run_ms: tuple[float, float],
    ) -> None:
        self._memory_mb = memory_mb
        self._slot_count = slot_count
        self._run_ms = run_ms
        self.name = f"n{number}"
        self.ip = ip
        self.failure_domain = _FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)]
        self.ports = ports
        self._folder = folder
        self._server_count = 0
        self._close_lock = threading.Lock()
        self._is_closed = False
        self.record_paths: list[pathlib.Path] = []
        self.store_proxy = proxy.Proxy(
            ip=ip,
            port=ports["store"],
            target_ip=processes.LOOPBACK,
            target_port=store_port,
        )
        self._settings = folder / f"settings-{self.name}.json"
        self._settings.write_text(json.dumps(self._make_settings()))
        self.router = processes.Process(
            name=self.name,
            role=processes.Role.NODE,
            arguments=("router_daemon",),
            folder=folder,
            environment={"RHUBARBLEAD_NODE_FILE": str(self._settings)},
        )
        self.server = self._make_server()

    def start_ended_server(self) -> None:
        """Starts a new server process under a new name if none is running."""
        with self._close_lock:
            if self._is_closed or self.server.is_running():
                return
            self.server = self._make_server()
            self.server.start()

    def close(self) -> None:
        """Stops the instance's processes and its proxy for good."""
        # A timer of the fault injector may still try to start a process.
        with self._close_lock:
            self._is_closed = True
            self.router.kill_permanently()
            self.server.kill_permanently()
        self.store_proxy.close()

    def is_ready(self) -> bool:
        """Tells whether the router reports that it is ready."""
        connection = http.client.HTTPConnection(
            self.ip, self.ports["readiness"], timeout=1.0
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _make_server(self) -> processes.Process:
        self._server_count += 1
        server_id = f"{self.name}-{self._server_count}"
        when_full = keyed.WAYS_WHEN_FULL[
            self._server_count % len(keyed.WAYS_WHEN_FULL)
        ]
        record_path = self._folder / f"records-{server_id}.jsonl"
        self.record_paths.append(record_path)
        return processes.Process(
            name=server_id,
            role=processes.Role.UPSTREAM,
            arguments=(
                "tools.standins.keyed",
                *("--id", server_id, "--ip", self.ip),
                *("--port", str(self.ports["server"])),
                *("--control", f"{self.ip}:{self.ports['control']}"),
                *("--service", SERVICE, "--zone", self.failure_domain),
                *("--slots", str(self._slot_count)),
                *("--run-ms", *(str(ms) for ms in self._run_ms)),
                *("--records", str(record_path)),
                *("--when-full", when_full),
            ),
            folder=self._folder,
        )

    def _make_settings(self) -> dict[str, Any]:
        ports = self.ports
        return {
            "nodeName": self.name,
            "ipAddress": self.ip,
            "zone": self.failure_domain,
            "listenAddresses": {
                "outbound": f"{self.ip}:{ports['callers']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
                "control": f"{self.ip}:{ports['control']}",
            },
            "internalPortRange": [
                ports["peers"],
                ports["peers"] + INTERNAL_PORT_COUNT - 1,
            ],
            "heartbeatIntervalMs": HEARTBEAT_MS,
            "application": f"{self.ip}:{ports['server']}",
            "service": SERVICE,
            "platform": {"address": f"{self.ip}:{ports['store']}"},
            "limits": self._make_limits(),
        }

    def _make_limits(self) -> dict[str, float]:
        limits = {"linkMbps": LINK_MBPS}
        if self._memory_mb is not None:
            limits["memoryMb"] = self._memory_mb
        return limits


class Cluster:
    """All processes of one soak; leaving the context stops them."""

    def __init__(
        self,
        *,
        node_count: int,
        folder: pathlib.Path,
        subnet: int = 77,
        make_document: Callable[[int], dict[str, Any]] | None = None,
        memory_mb: int | None = None,
        slot_count: int = SLOT_COUNT,
        run_ms: tuple[float, float] = (keyed.MIN_RUN_MS, keyed.MAX_RUN_MS),
    ) -> None:
        """Defines the processes.

        Args:
            node_count: Number of instances.
            folder: Folder for logs, settings and records.
            subnet: Third octet of the instances' loopback addresses, which
                keeps concurrent soaks apart.
            make_document: Makes a version of the configuration; by default two
                routes to a service with keys.
            memory_mb: Memory that the settings allow each router; by default
                they don't name it.
            slot_count: Requests that a server runs at a time.
            run_ms: Shortest and longest run of a server.
        """
        self._make_document = make_document or _make_document
        self._stack = contextlib.ExitStack()
        # The ports behind that of the peers are internal ones, too.
        names = ("callers", "readiness", "control", "server", "store", "peers")
        free_ports = iter(sorted(processes.list_free_ports(1 + len(names))))
        self.store_port = next(free_ports)
        ports = dict(zip(names, free_ports, strict=True))
        self.store = processes.Process(
            name="store",
            role=processes.Role.PLATFORM,
            arguments=(
                "tools.standins.platform",
                *("--port", str(self.store_port), "--era", "1"),
            ),
            folder=folder,
        )
        self.nodes = [
            Node(
                number=number,
                ip=_BASE_IP.format(subnet=subnet, number=number + 1),
                ports=ports,
                folder=folder,
                store_port=self.store_port,
                memory_mb=memory_mb,
                slot_count=slot_count,
                run_ms=run_ms,
            )
            for number in range(node_count)
        ]

    def __enter__(self) -> "Cluster":
        self._stack.callback(self.store.kill)
        self.store.start()
        self._wait_until("the store", self._is_store_up)
        self.apply_config(1)
        for node in self.nodes:
            self._stack.callback(node.close)
            node.server.start()
            node.router.start()
        self._wait_until("the routers", self._is_ready)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def apply_config(self, version: int) -> None:
        """Writes a version of the configuration, as an operator does."""
        document = self._make_document(version)
        self.call_store("PUT", "/-/operator/config", json.dumps(document))

    def call_store(self, method: str, path: str, body: str = "") -> None:
        """Calls the store's stand-in directly, not through a proxy."""
        connection = http.client.HTTPConnection(
            processes.LOOPBACK, self.store_port, timeout=5.0
        )
        try:
            connection.request(method, path, body)
            connection.getresponse().read()
        finally:
            connection.close()

    def list_record_paths(self) -> list[pathlib.Path]:
        """Lists the record files of all server processes."""
        return [path for node in self.nodes for path in node.record_paths]

    def _is_store_up(self) -> bool:
        try:
            self.call_store("GET", "/-/counts")
        except OSError:
            return False
        return True

    def _is_ready(self) -> bool:
        return all(node.is_ready() for node in self.nodes)

    def _wait_until(self, component: str, is_done: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while not is_done():
            if time.monotonic() > deadline_s:
                raise CannotRun(f"{component} didn't become ready")
            time.sleep(_POLL_S)


def _make_document(version: int) -> dict[str, Any]:
    shared_cells = [2_000, 600, 1, SERVICE, 3]
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": COLUMNS,
            "rows": [
                ["read", HOST, "/read/", "safe", *shared_cells],
                ["write", HOST, "/write/", "unsafe", *shared_cells],
            ],
        },
        "services": {
            "columns": ["name", "maxConnections", "sharded"],
            "rows": [[SERVICE, 100, True]],
        },
    }
