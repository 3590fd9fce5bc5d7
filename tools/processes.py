"""Child processes that a development tool owns, each ended by its own id."""

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
    """What a process is in a deployment."""

    PLATFORM = "platform"
    NODE = "node"
    UPSTREAM = "upstream"
    CALLER = "caller"


class CannotStart(Exception):
    """A process ended at once, or did not become ready in time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What a process has used since its start."""

    cpu_s: float
    resident_bytes: int


class Process:
    """One child process, its command and its log file.

    Log files are appended to, so that a restarted process continues them.
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
        """Defines a process that doesn't run yet.

        Args:
            name: Which one of its role it is.
            role: What it is.
            arguments: The module and its arguments.
            folder: Where its log goes.
            environment: Variables besides those of this process.
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
        """Starts the process; a run that is still going is left alone."""
        # Two threads that start it at once would leave one run to nobody.
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
        """Tells whether the process runs (a frozen one does)."""
        return self._child is not None and self._child.poll() is None

    def has_exited_unexpectedly(self) -> bool:
        """Tells whether the process ended though nobody here ended it."""
        has_exited = self._child is not None and self._child.poll() is not None
        return has_exited and not self._is_terminating

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self._child is None:
            return
        if number in _TERMINATING_SIGNALS:
            self._is_terminating = True
        self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait(_STOP_TIMEOUT_S)

    def retire(self) -> None:
        """Kills the process for good; a later start does nothing."""
        with self._start_lock:
            self._is_retired = True
        self.kill()

    def freeze(self) -> None:
        """Halts the process until `thaw`."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Asks the process to end; kills it when it doesn't."""
        self.thaw()
        self.send_signal(signal.SIGTERM)
        if self.wait(_STOP_TIMEOUT_S) is None:
            self.kill()

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the end of the process.

        Args:
            timeout_s: How long to wait at most, in seconds.

        Returns:
            Its exit code; nothing when it still runs.
        """
        if self._child is None:
            return 0
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._child.wait(timeout_s)
        return None

    def read_log_tail(self) -> str:
        """Reads the end of the log, to be shown with an error."""
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_bytes()
        return text[-_LOG_TAIL_BYTES:].decode(errors="replace")

    def read_usage(self) -> Usage:
        """Reads what the current run has used; zero when it has ended."""
        return read_usage(self.pid) if self.is_running() else _NO_USAGE


_NO_USAGE = Usage(cpu_s=0.0, resident_bytes=0)


def make_environment() -> dict[str, str]:
    """Makes the environment in which the modules of this tree are found."""
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
    """Finds TCP ports on loopback that nothing listens on.

    They lie below the range from which the kernel gives ports to outgoing
    connections, so that none is taken between the search and its use.

    Args:
        count: How many; all are found at once, so that none comes twice.

    Returns:
        The ports.

    Raises:
        CannotStart: There are not enough.
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
    """Makes SIGTERM end this process like Ctrl-C, so that exit stacks run."""
    signal.signal(signal.SIGTERM, _raise_interrupt)


def _raise_interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt
