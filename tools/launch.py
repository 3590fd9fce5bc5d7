"""Runs a deployment as real processes on the loopback interface.

The launcher's exit stack owns every process that it starts. Leaving the
context kills all of them by process id, including frozen ones.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time
import types
from typing import Self
from typing import TypeVar

import msgspec

from rhubarblead import status
from tools import deployment
from tools import http_json
from tools import processes
from tools.standins import upstream_state

START_TIMEOUT_S = 60.0
_Answer = TypeVar("_Answer")
_PORTS_PER_INSTANCE = 4
_POLL_S = 0.1
_STABLE_S = 1.5
_APPLY_TIMEOUT_S = 30.0
_ACCEPTED = frozenset({200, 204})


class PlatformMode(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """The fault mode of the platform stand-in, and the affected instances."""

    mode: str
    delay_ms: int = 0
    count: int | None = None
    instances: tuple[str, ...] = ()


STORE_UP = PlatformMode(mode="up")


class CannotApply(Exception):
    """The command refused the operators' tables."""


class Launcher:
    """The processes of one deployment.

    `nodes` and `upstreams` are keyed by instance name. `folder` holds the files
    of the run: settings, logs and records.
    """

    def __init__(
        self,
        *,
        spec: deployment.Deployment,
        folder: pathlib.Path | None = None,
    ) -> None:
        self._spec = spec
        self._requested_folder = folder
        self._stack = contextlib.ExitStack()
        self._stable_owners: list[list[str]] | None = None
        self._stable_since_s = 0.0
        self.nodes: dict[str, processes.Process] = {}
        self.upstreams: dict[str, processes.Process] = {}
        self._upstream_authorities: dict[str, str] = {}

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self.folder = self._open_folder(stack)
            self.deployment, upstream_ports = self._assign_ports()
            self._create_processes(stack, upstream_ports)
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stack.close()

    def start(self) -> None:
        """Starts all processes and waits until every key is served.

        Raises:
            processes.CannotStart: A process exited, or the deployment was not
                ready in time.
        """
        self.platform.start()
        self._wait_until("the platform", self._is_platform_ready)
        for process in (*self.nodes.values(), *self.upstreams.values()):
            process.start()
        self._wait_until("the nodes", self._are_nodes_ready)
        self.apply_tables(
            self.folder / "tables.json", author="launcher", expected_revision=0
        )
        self._wait_until("the shards", self.is_settled)

    def apply_tables(
        self, path: pathlib.Path, *, author: str, expected_revision: int
    ) -> str:
        """Applies tables as an operator does.

        Args:
            path: The file with the tables.
            author: The author to record.
            expected_revision: The revision on which the file is based.

        Returns:
            The output of the command.

        Raises:
            CannotApply: The command failed.
        """
        done = subprocess.run(
            self.build_apply_command(
                path, author=author, expected_revision=expected_revision
            ),
            env=processes.make_environment(),
            capture_output=True,
            text=True,
            timeout=_APPLY_TIMEOUT_S,
            check=False,
        )
        if done.returncode:
            raise CannotApply(done.stdout + done.stderr)
        return done.stdout

    def build_apply_command(
        self, path: pathlib.Path, *, author: str, expected_revision: int
    ) -> list[str]:
        """Builds the command line with which an operator applies tables."""
        return [
            sys.executable,
            "-m",
            "rhubarblead",
            "tables",
            "apply",
            str(path),
            "--platform",
            self.platform_authority,
            "--author",
            author,
            "--comment",
            "by a development tool",
            "--expected_revision",
            str(expected_revision),
        ]

    def set_platform_mode(self, mode: PlatformMode) -> None:
        """Sets the fault mode of the platform stand-in."""
        body = msgspec.json.encode(mode)
        answer = http_json.exchange(
            self.platform_authority, "PUT", "/-/mode", body=body
        )
        if answer.status not in _ACCEPTED:
            raise http_json.CannotReach(f"PUT /-/mode: {answer.status}")

    def set_upstream_mode(self, name: str, mode: upstream_state.Mode) -> None:
        """Sets the faults of the stand-in of one upstream."""
        answer = http_json.exchange(
            self._upstream_authorities[name],
            "PUT",
            "/-/mode",
            body=msgspec.json.encode(mode),
        )
        if answer.status not in _ACCEPTED:
            raise http_json.CannotReach(f"PUT /-/mode: {answer.status}")

    def read_platform_counts(self) -> dict[str, int]:
        """Reads the counters of the platform stand-in, by kind."""
        answer = http_json.exchange(self.platform_authority, "GET", "/-/counts")
        return msgspec.json.decode(answer.body, type=dict[str, int])

    def find_authority(self, instance: str) -> str:
        """Returns the HTTP address of a node, as `ip:port`."""
        found = self.deployment.find_instance(instance)
        return f"{found.ip_address}:{found.http_port}"

    def list_authorities(self) -> list[str]:
        """Lists the HTTP addresses of the nodes, in instance order."""
        return [self.find_authority(name) for name in self.nodes]

    def find_instance_at(self, authority: str) -> str:
        """Finds the instance whose node has an HTTP address; empty if none."""
        for name in self.nodes:
            if self.find_authority(name) == authority:
                return name
        return ""

    def read_status(self, instance: str) -> status.Status:
        """Reads the status of a node.

        Raises:
            http_json.CannotReach: The node did not answer with its status.
        """
        return self._read(instance, "/-/status", status.Status)

    def read_map(self, instance: str, pool: str) -> status.ShardMap:
        """Reads the shard map of a pool from a node.

        Raises:
            http_json.CannotReach: The node did not answer with a shard map.
        """
        return self._read(instance, f"/-/map?pool={pool}", status.ShardMap)

    def read_owners(self, instance: str, pool: str) -> list[str]:
        """Lists the owner of each shard according to one node.

        Args:
            instance: The node to ask.
            pool: A keyed pool.

        Returns:
            Instance names by shard, empty for a shard without an owner.

        Raises:
            http_json.CannotReach: The node did not answer with a shard map.
        """
        found = self.read_map(instance, pool)
        names = [self.find_instance_at(node) for node in found.nodes]
        return [names[owner] if owner >= 0 else "" for owner in found.owners]

    def list_record_paths(self) -> list[pathlib.Path]:
        """Lists the record files of the upstreams."""
        return [self._find_record_path(name) for name in self.upstreams]

    def is_settled(self) -> bool:
        """Returns whether all running nodes agree and all servers own shards.

        In each keyed pool every running server must own at least one shard, and
        every shard must have an owner. The assignment must have been unchanged
        for `_STABLE_S`.
        """
        try:
            owners = self._read_agreed_owners()
        except http_json.CannotReach:
            owners = None
        now_s = time.monotonic()
        if owners is None or owners != self._stable_owners:
            self._stable_owners = owners
            self._stable_since_s = now_s
        return owners is not None and now_s - self._stable_since_s >= _STABLE_S

    def _read_agreed_owners(self) -> list[list[str]] | None:
        """Reads the owners in every keyed pool; None while nodes disagree."""
        running = [name for name in self.nodes if self.nodes[name].is_running()]
        if not all(self._is_serving(name) for name in running):
            return None
        agreed = []
        for pool in self.deployment.operators_tables.pools:
            if pool.kind == "keyed":
                found = [self.read_owners(name, pool.name) for name in running]
                if any(other != found[0] for other in found):
                    return None
                if set(found[0]) != self._list_serving(pool.name):
                    return None
                agreed.append(found[0])
        return agreed

    def _list_serving(self, pool: str) -> set[str]:
        return {
            name
            for name in self.deployment.list_servers(pool)
            if self.nodes[name].is_running()
            and self.upstreams[name].is_running()
        }

    def wait_until_settled(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until `is_settled` holds.

        Raises:
            processes.CannotStart: A process exited, or the timeout passed.
        """
        self._wait_until("the shards", self.is_settled, timeout_s)

    def _is_serving(self, instance: str) -> bool:
        found = self.read_status(instance)
        is_beside_upstream = self.upstreams[instance].is_running()
        return found.tables_revision > 0 and (
            not is_beside_upstream or found.upstream.state == "serving"
        )

    def _read(self, instance: str, target: str, kind: type[_Answer]) -> _Answer:
        answer = http_json.exchange(
            self.find_authority(instance), "GET", target
        )
        try:
            return status.decode(answer.body, kind)
        except msgspec.DecodeError as error:
            raise http_json.CannotReach(
                f"{instance} {target}: {answer.status} {error}"
            ) from error

    def _open_folder(self, stack: contextlib.ExitStack) -> pathlib.Path:
        if self._requested_folder is not None:
            self._requested_folder.mkdir(parents=True, exist_ok=True)
            return self._requested_folder
        return pathlib.Path(
            stack.enter_context(
                tempfile.TemporaryDirectory(prefix="rhubarblead-")
            )
        )

    def _assign_ports(self) -> tuple[deployment.Deployment, Iterator[int]]:
        count = len(self._spec.instances)
        ports = processes.list_free_ports(1 + _PORTS_PER_INSTANCE * count)
        platform_port = next(ports)
        self.platform_authority = f"{processes.LOOPBACK}:{platform_port}"
        assigned = deployment.assign_ports(
            self._spec, platform_port=platform_port, ports=ports
        )
        return assigned, ports

    def _create_processes(
        self, stack: contextlib.ExitStack, upstream_ports: Iterator[int]
    ) -> None:
        self.platform = self._add_process(
            stack,
            "platform",
            processes.Role.PLATFORM,
            "tools.standins.platform",
            "--port",
            self.platform_authority.rpartition(":")[2],
        )
        (self.folder / "tables.json").write_text(
            self.deployment.operators_tables.model_dump_json(indent=2),
            encoding="utf-8",
        )
        for instance in self.deployment.instances:
            name = instance.instance
            path = self.folder / f"settings-{name}.json"
            path.write_text(
                instance.model_dump_json(indent=2, exclude_none=True),
                encoding="utf-8",
            )
            self.nodes[name] = self._add_process(
                stack,
                name,
                processes.Role.NODE,
                "rhubarblead",
                "node",
                "--settings",
                str(path),
            )
            self.upstreams[name] = self._create_upstream(
                stack, name, next(upstream_ports)
            )

    def _create_upstream(
        self, stack: contextlib.ExitStack, name: str, port: int
    ) -> processes.Process:
        pool = self.deployment.find_pool_of(name)
        self._upstream_authorities[name] = f"{processes.LOOPBACK}:{port}"
        return self._add_process(
            stack,
            name,
            processes.Role.UPSTREAM,
            "tools.standins.upstream",
            "--server",
            name,
            "--port",
            str(port),
            "--node",
            self.find_authority(name),
            "--slots",
            str(pool.slots),
            "--connections",
            str(pool.connections),
            "--fenced" if pool.is_fenced else "--no-fenced",
            "--records",
            str(self._find_record_path(name)),
        )

    def _find_record_path(self, name: str) -> pathlib.Path:
        return self.folder / f"upstream-{name}.jsonl"

    def _add_process(
        self,
        stack: contextlib.ExitStack,
        name: str,
        role: processes.Role,
        *arguments: str,
    ) -> processes.Process:
        process = processes.Process(
            name=name, role=role, arguments=arguments, folder=self.folder
        )
        stack.callback(process.kill)
        return process

    def _is_platform_ready(self) -> bool:
        try:
            http_json.exchange(self.platform_authority, "GET", "/-/counts")
        except http_json.CannotReach:
            return False
        return True

    def _are_nodes_ready(self) -> bool:
        try:
            for name in self.nodes:
                self.read_status(name)
        except http_json.CannotReach:
            return False
        return True

    def _wait_until(
        self,
        subject: str,
        is_done: Callable[[], bool],
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        deadline_s = time.monotonic() + timeout_s
        while not is_done():
            exited = self._find_unexpected_exit()
            if exited is not None:
                raise processes.CannotStart(
                    f"{exited.role.value} {exited.name} exited:"
                    f" {exited.read_log_tail()}"
                )
            if time.monotonic() > deadline_s:
                raise processes.CannotStart(
                    f"{subject} not ready after {timeout_s} s"
                )
            time.sleep(_POLL_S)

    def _find_unexpected_exit(self) -> processes.Process | None:
        """Finds a process that was started and has exited unexpectedly."""
        launched = (
            self.platform,
            *self.nodes.values(),
            *self.upstreams.values(),
        )
        return next((p for p in launched if p.has_exited_unexpectedly()), None)
