"""Child processes of development tools, terminated by their process ids."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import enum
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading

_ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
_PORTS = range(12_000, 20_000)
_STOP_TIMEOUT_S = 10.0
_LOG_TAIL_BYTES = 2_000
_TERMINATING_SIGNALS = frozenset({signal.SIGKILL, signal.SIGTERM})


class Role(enum.Enum):
    """The role of a process in a deployment."""

    PLATFORM = "platform"
    NODE = "node"
    UPSTREAM = "upstream"
    CALLER = "caller"


class CannotStart(Exception):
    """A process exited early, or was not ready in time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """The resource usage of a process since its start."""

    cpu_s: float
    resident_bytes: int


class Process:
    """A child process, its command and its log file.

    A restarted process appends to the log file of the previous run.
    """

    __slots__ = (
        "_arguments",
        "_child",
        "_environment",
        "_is_terminating",
        "_is_retired",
        "_start_lock",
        "log_path",
        "name",
        "role",
    )

    def __init__(
        self,
        *,
        name: str,
        role: Role,
        arguments: tuple[str, ...],
        folder: pathlib.Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Creates a process without starting it.

        Args:
            name: The name, unique within its role.
            role: The role.
            arguments: The module and its arguments.
            folder: The folder for the log file.
            environment: Variables to add to those of this process.
        """
        self._environment = environment or {}
        self.name = name
        self.role = role
        self.log_path = folder / f"{role.value}-{name}.log"
        self._arguments = arguments
        self._child: subprocess.Popen[bytes] | None = None
        self._is_terminating = False
        self._is_retired = False
        self._start_lock = threading.Lock()

    @property
    def pid(self) -> int:
        """The process id of the current run; 0 when there is none."""
        return self._child.pid if self._child is not None else 0

    def start(self) -> None:
        """Starts the process, unless it is running."""
        # Without the lock, two threads that start the process at once would
        # lose track of one child.
        with self._start_lock:
            if not self.is_running() and not self._is_retired:
                self._is_terminating = False
                self._child = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        with self.log_path.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                cwd=_ROOT,
                env={**make_environment(), **self._environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Returns whether the process is running or frozen."""
        return self._child is not None and self._child.poll() is None

    def has_exited_unexpectedly(self) -> bool:
        """Returns whether the process exited without being terminated."""
        has_exited = self._child is not None and self._child.poll() is not None
        return has_exited and not self._is_terminating

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has exited."""
        if self._child is None:
            return
        if number in _TERMINATING_SIGNALS:
            self._is_terminating = True
        self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.send_signal(signal.SIGKILL)
        self.wait(_STOP_TIMEOUT_S)

    def kill_permanently(self) -> None:
        """Kills the process and makes later calls of `start` do nothing."""
        with self._start_lock:
            self._is_retired = True
        self.kill()

    def freeze(self) -> None:
        """Suspends the process until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a frozen process."""
        self.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Sends SIGTERM, and kills the process if it does not exit in time."""
        self.resume()
        self.send_signal(signal.SIGTERM)
        if self.wait(_STOP_TIMEOUT_S) is None:
            self.kill()

    def wait(self, timeout_s: float) -> int | None:
        """Waits until the process has exited.

        Args:
            timeout_s: The maximum time to wait, in seconds.

        Returns:
            The exit code; 0 if the process was never started, None if it is
            still running.
        """
        if self._child is None:
            return 0
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._child.wait(timeout_s)
        return None

    def read_log_tail(self) -> str:
        """Reads the end of the log, for error messages."""
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_bytes()
        return text[-_LOG_TAIL_BYTES:].decode(errors="replace")

    def read_usage(self) -> Usage:
        """Reads the usage of the current run; zero if it has exited."""
        return read_usage(self.pid) if self.is_running() else _NO_USAGE


_NO_USAGE = Usage(cpu_s=0.0, resident_bytes=0)


def make_environment() -> dict[str, str]:
    """Returns the environment, with PYTHONPATH set to this source tree."""
    return {
        **os.environ,
        "PYTHONPATH": f"{_ROOT / 'src'}{os.pathsep}{_ROOT}",
    }


def read_usage(pid: int) -> Usage:
    """Reads the processor time and resident memory of a process."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    except OSError:
        return _NO_USAGE
    fields = text.rpartition(")")[2].split()
    user, system, resident = (int(fields[i]) for i in (11, 12, 21))
    return Usage(
        cpu_s=(user + system) / os.sysconf("SC_CLK_TCK"),
        resident_bytes=resident * os.sysconf("SC_PAGE_SIZE"),
    )


def list_free_ports(count: int) -> Iterator[int]:
    """Finds free TCP ports on the loopback interface.

    They lie below the kernel's range of ephemeral ports, so that no outgoing
    connection takes one between the search and its use.

    Args:
        count: Number of ports; all are found at once, so that they differ.

    Returns:
        The ports.

    Raises:
        CannotStart: There are not enough free ports.
    """
    candidates = random.SystemRandom().sample(_PORTS, len(_PORTS))
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        for port in candidates:
            if len(found) == count:
                return iter(found)
            item = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                item.bind((LOOPBACK, port))
                found.append(port)
    raise CannotStart(f"fewer than {count} free ports")


def raise_on_sigterm() -> None:
    """Handles SIGTERM like Ctrl-C, so that exit stacks are unwound."""
    signal.signal(signal.SIGTERM, _raise_interrupt)


def _raise_interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt
