"""Injects faults into a running deployment."""

import contextlib
import dataclasses
import enum
import pathlib
import random
import signal
import subprocess
import time
from typing import TypeAlias

from tools import launch
from tools import processes
from tools import records
from tools.standins import upstream_state

_NS_PER_S = 1_000_000_000
_FREEZE_S = 3.0
_PARTIAL_OUTAGE_S = 8.0
_OUTAGE_WITH_KILL_S = 6.0
_KILL_DELAY_S = 1.0
_SLOW_MS = 200
_LOST_ANSWER_COUNT = 3
_APPLY_TIMEOUT_S = 30.0
_CONFLICT_CODE = 3
_MAX_UNAVAILABLE_MS = 2_000
_LIMITED_S = 5.0
_LIMIT_TOLD_S = 0.5
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA = 5
"""What the platform's rule allows beyond a limit."""

_MIN_LIMIT_USE = 0.5
"""Share of the limit that the upstream must get at least."""

_NODE = (processes.Role.NODE,)
_UPSTREAM = (processes.Role.UPSTREAM,)
_BOTH = (*_NODE, *_UPSTREAM)


class Fault(enum.Enum):
    """The faults, by their names on the command line."""

    KILL_NODE = "kill-node"
    KILL_UPSTREAM = "kill-upstream"
    KILL_BOTH = "kill-both"
    FREEZE_NODE = "freeze-node"
    FREEZE_UPSTREAM = "freeze-upstream"
    FREEZE_BOTH = "freeze-both"
    STORE_DOWN = "store-down"
    STORE_DOWN_WITH_LOSS = "store-down-with-loss"
    STORE_SLOW = "store-slow"
    STORE_ANSWER_LOST = "store-answer-lost"
    STORE_CUT_ONE = "store-cut-one"
    TWO_LOSSES = "two-losses"
    DOMAIN_LOSS = "domain-loss"
    RESTART_SAME_ADDRESS = "restart-same-address"
    STOP_NODE = "planned-stop-node"
    STOP_UPSTREAM = "planned-stop-upstream"
    TWO_OPERATORS = "two-operators"
    RATE_LIMIT = "rate-limit"


_PLANNED = frozenset({Fault.STOP_NODE, Fault.STOP_UPSTREAM})


class Victims(enum.Enum):
    """Which instances a fault affects; by number, or a failure domain."""

    NONE = 0
    ONE = 1
    TWO = 2
    DOMAIN = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """Kills processes of the given roles; may restart them."""

    roles: tuple[processes.Role, ...] = _BOTH
    is_restarted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terminate:
    """Stops processes of the given roles with SIGTERM."""

    roles: tuple[processes.Role, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Freeze:
    """Suspends processes of the given roles for a time."""

    roles: tuple[processes.Role, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreOutage:
    """Makes the store unavailable, for all instances or only the victims.

    If `seconds` is 0, the caller of the injector determines the duration. With
    `is_kill_included`, the victims are killed one second into the outage.
    """

    seconds: float = 0.0
    is_limited_to_victims: bool = False
    is_kill_included: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DegradeStore:
    """Puts the store into a faulty mode while the victims are killed."""

    mode: launch.PlatformMode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConcurrentEdits:
    """Changes the tables as two operators at the same time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StateLimit:
    """Lets the victims' upstreams state a limit on their requests."""

    per_s: float


Action: TypeAlias = (
    Kill
    | Terminate
    | Freeze
    | StoreOutage
    | DegradeStore
    | ConcurrentEdits
    | StateLimit
)

_SLOW = launch.PlatformMode(mode="slow", delay_ms=_SLOW_MS)
_LOST_ANSWERS = launch.PlatformMode(
    mode="answer-lost", count=_LOST_ANSWER_COUNT
)
_ACTIONS: dict[Fault, tuple[Victims, Action]] = {
    Fault.KILL_NODE: (Victims.ONE, Kill(roles=_NODE)),
    Fault.KILL_UPSTREAM: (Victims.ONE, Kill(roles=_UPSTREAM)),
    Fault.KILL_BOTH: (Victims.ONE, Kill()),
    Fault.TWO_LOSSES: (Victims.TWO, Kill()),
    Fault.DOMAIN_LOSS: (Victims.DOMAIN, Kill()),
    Fault.RESTART_SAME_ADDRESS: (Victims.ONE, Kill(is_restarted=True)),
    Fault.FREEZE_NODE: (Victims.ONE, Freeze(roles=_NODE)),
    Fault.FREEZE_UPSTREAM: (Victims.ONE, Freeze(roles=_UPSTREAM)),
    Fault.FREEZE_BOTH: (Victims.ONE, Freeze(roles=_BOTH)),
    Fault.STOP_NODE: (Victims.ONE, Terminate(roles=_NODE)),
    Fault.STOP_UPSTREAM: (Victims.ONE, Terminate(roles=_UPSTREAM)),
    Fault.STORE_DOWN: (Victims.NONE, StoreOutage()),
    Fault.STORE_CUT_ONE: (
        Victims.ONE,
        StoreOutage(seconds=_PARTIAL_OUTAGE_S, is_limited_to_victims=True),
    ),
    Fault.STORE_DOWN_WITH_LOSS: (
        Victims.ONE,
        StoreOutage(seconds=_OUTAGE_WITH_KILL_S, is_kill_included=True),
    ),
    Fault.STORE_SLOW: (Victims.ONE, DegradeStore(mode=_SLOW)),
    Fault.STORE_ANSWER_LOST: (Victims.ONE, DegradeStore(mode=_LOST_ANSWERS)),
    Fault.TWO_OPERATORS: (Victims.NONE, ConcurrentEdits()),
    Fault.RATE_LIMIT: (Victims.ONE, StateLimit(per_s=10.0)),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """Limits on what callers may observe during a fault.

    `unavailable_ms` counts from the loss of the victims or, if the store is
    down as well, from its recovery.
    """

    unavailable_ms: int = _MAX_UNAVAILABLE_MS
    is_cut_off_allowed: bool = True


def find_bound(fault: Fault) -> Bound:
    """Returns the limits on what callers may observe during a fault."""
    is_cut_off_allowed = fault not in (
        *_PLANNED,
        Fault.TWO_OPERATORS,
        Fault.RATE_LIMIT,
    )
    if fault is Fault.RATE_LIMIT:
        # The keys of the limited upstream may go unserved while it lasts.
        return Bound(
            unavailable_ms=int(_LIMITED_S * 1_000) + _MAX_UNAVAILABLE_MS,
            is_cut_off_allowed=is_cut_off_allowed,
        )
    return Bound(is_cut_off_allowed=is_cut_off_allowed)


@dataclasses.dataclass(slots=True, kw_only=True)
class InjectionRecord:
    """What was injected, and into which instances.

    `recovery_start_ns` is the time at which the store recovered if victims were
    killed while it was down, and 0 otherwise. `notes` lists violations of the
    rules for concurrent edits by operators.
    """

    victims: tuple[str, ...]
    at_ns: int = 0
    recovery_start_ns: int = 0
    notes: list[str] = dataclasses.field(default_factory=list)


class Injector:
    """Injects one fault into instances that are chosen by a seed."""

    def __init__(
        self, *, launcher: launch.Launcher, fault: Fault, seed: int
    ) -> None:
        self._launcher = launcher
        self._fault = fault
        self._rng = random.Random(f"{fault.value}/{seed}")
        self.injected = InjectionRecord(victims=self._choose_victims())

    def inject(self, after_ns: int, store_down_s: float) -> None:
        """Injects the fault and, if it is temporary, ends it.

        Args:
            after_ns: When to inject it, on the monotonic clock in ns.
            store_down_s: Duration of the outage in `STORE_DOWN`, in seconds.
        """
        time.sleep(max(0.0, (after_ns - time.monotonic_ns()) / _NS_PER_S))
        self.injected.at_ns = time.monotonic_ns()
        self._act(store_down_s)

    def _act(self, store_down_s: float) -> None:
        match _ACTIONS[self._fault][1]:
            case Kill(roles=roles, is_restarted=is_restarted):
                self._kill(roles, is_restarted=is_restarted)
            case Terminate(roles=roles):
                for process in self._list_victims(roles):
                    process.stop()
            case Freeze(roles=roles):
                self._freeze(roles)
            case StoreOutage() as action:
                self._run_store_outage(action, action.seconds or store_down_s)
            case DegradeStore(mode=mode):
                self._launcher.set_platform_mode(mode)
                self._kill(_BOTH)
                time.sleep(_OUTAGE_WITH_KILL_S)
                self._launcher.set_platform_mode(launch.STORE_UP)
            case ConcurrentEdits():
                self._apply_concurrent_edits()
            case StateLimit(per_s=per_s):
                self._state_limit(per_s)

    def _state_limit(self, per_s: float) -> None:
        """Lets upstreams state a limit, and counts what they get under it."""
        for name in self.injected.victims:
            self._launcher.set_upstream_mode(
                name, upstream_state.Mode(rate_limit=str(per_s))
            )
        time.sleep(_LIMIT_TOLD_S)
        start_ns = time.monotonic_ns()
        time.sleep(_LIMITED_S)
        end_ns = time.monotonic_ns()
        for name in self.injected.victims:
            self._launcher.set_upstream_mode(name, upstream_state.Mode())
        runs = records.read_records(
            self._launcher.list_record_paths(), records.Run
        )
        for name in self.injected.victims:
            count = sum(
                run.server == name and start_ns <= run.start_ns < end_ns
                for run in runs
            )
            self._check_limited(name, count, per_s * _LIMITED_S)

    def _check_limited(self, name: str, count: int, limit: float) -> None:
        most = _LIMIT_FACTOR * limit + _LIMIT_EXTRA
        if not _MIN_LIMIT_USE * limit <= count <= most:
            self.injected.notes.append(
                f"{name} ran {count} requests under its limit of {limit:g}"
            )

    def _choose_victims(self) -> tuple[str, ...]:
        spec = self._launcher.deployment
        servers = spec.list_servers(spec.find_pool("keyed").name)
        kind = _ACTIONS[self._fault][0]
        if kind is not Victims.DOMAIN:
            return tuple(self._rng.sample(servers, kind.value))
        first = spec.find_instance(self._rng.choice(servers))
        return tuple(
            item.instance
            for item in spec.instances
            if item.failure_domain == first.failure_domain
        )

    def _list_victims(
        self, roles: tuple[processes.Role, ...]
    ) -> list[processes.Process]:
        launched = (
            *self._launcher.nodes.values(),
            *self._launcher.upstreams.values(),
        )
        return [
            process
            for process in launched
            if process.role in roles and process.name in self.injected.victims
        ]

    def _kill(
        self, roles: tuple[processes.Role, ...], *, is_restarted: bool = False
    ) -> None:
        self.injected.at_ns = time.monotonic_ns()
        for process in self._list_victims(roles):
            process.send_signal(signal.SIGKILL)
        for process in self._list_victims(roles):
            process.kill()
            if is_restarted:
                process.start()

    def _freeze(self, roles: tuple[processes.Role, ...]) -> None:
        with contextlib.ExitStack() as stack:
            for process in self._list_victims(roles):
                stack.callback(process.resume)
                process.freeze()
            time.sleep(_FREEZE_S)

    def _run_store_outage(self, action: StoreOutage, seconds: float) -> None:
        instances = (
            self.injected.victims if action.is_limited_to_victims else ()
        )
        self._launcher.set_platform_mode(
            launch.PlatformMode(mode="down", instances=instances)
        )
        if action.is_kill_included:
            time.sleep(_KILL_DELAY_S)
            self._kill(_BOTH)
        time.sleep(seconds)
        self._launcher.set_platform_mode(launch.STORE_UP)
        if action.is_kill_included:
            self.injected.recovery_start_ns = time.monotonic_ns()

    def _apply_concurrent_edits(self) -> None:
        """Applies two edits of the same revision at the same time.

        One edit must fail with a conflict, and within 5 s all nodes must have
        the tables of the other edit in force.
        """
        first = next(iter(self._launcher.nodes))
        revision = self._launcher.read_status(first).tables_revision
        commands = [
            self._launcher.build_apply_command(
                self._write_edited_tables(timeout_ms),
                author=f"operator-{timeout_ms}",
                expected_revision=revision,
            )
            for timeout_ms in (1_900, 1_950)
        ]
        children = [
            subprocess.Popen(
                command,
                env=processes.make_environment(),
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            for command in commands
        ]
        codes = sorted(child.wait(_APPLY_TIMEOUT_S) for child in children)
        if codes != [0, _CONFLICT_CODE]:
            self.injected.notes.append(
                f"exit codes of concurrent edits: {codes}"
            )
        self._check_same_tables()

    def _write_edited_tables(self, timeout_ms: int) -> pathlib.Path:
        tables = self._launcher.deployment.operators_tables
        routes = tuple(
            route.model_copy(update={"timeout_ms": timeout_ms})
            for route in tables.routes
        )
        path = self._launcher.folder / f"tables-{timeout_ms}.json"
        path.write_text(
            tables.model_copy(update={"routes": routes}).model_dump_json(),
            encoding="utf-8",
        )
        return path

    def _check_same_tables(self) -> None:
        deadline_ns = time.monotonic_ns() + 5 * _NS_PER_S
        while True:
            found = {
                (item.tables_revision, item.tables_digest)
                for item in map(
                    self._launcher.read_status, self._launcher.nodes
                )
            }
            if len(found) == 1:
                return
            if time.monotonic_ns() > deadline_ns:
                self.injected.notes.append(f"tables in force differ: {found}")
                return
            time.sleep(0.1)
