"""The state of a stand-in upstream: its slots, grants, runs and faults."""

import dataclasses
import enum
import json
import os
import threading
import time
import uuid

import msgspec

_NS_PER_MS = 1_000_000
COLD_SLOWDOWN = 4.0
COLD_DELAY_MS = 5.0


class Reason(enum.Enum):
    """Why the upstream refuses a request without running it."""

    SHED = "shed"
    DRAINING = "draining"
    FENCE = "fence"
    EXPIRED = "expired"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Mode(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The faults of the stand-in, set by `PUT /-/mode`.

    `is_black_holing` silences the connections that were open when the mode was
    set. `health_state` and `in_flight` replace the true values in reports,
    which are up to `report_lag_ms` old. Each run takes `slow_ms` longer, and no
    run ends while `is_holding_runs` is set. Responses to requests state
    `rate_limit` unless it is empty.
    """

    is_black_holing: bool = False
    health_state: str | None = None
    in_flight: int | None = None
    report_lag_ms: int = 0
    slow_ms: int = 0
    is_holding_runs: bool = False
    rate_limit: str = ""


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """The shard, fence and expiry in the headers of a request.

    `expires_ms` is on the upstream's monotonic clock; None means no expiry.
    """

    shard: int
    fence: int
    expires_ms: int | None
    grant_id: str = ""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """The record of a run, and whether it took effect."""

    server: str
    incarnation: str
    request_id: str
    idempotency_key: str
    key: str
    shard: int
    fence: int
    method: str
    path: str
    start_ns: int
    end_ns: int
    is_committed: bool


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The state that the upstream reports of itself at one time."""

    taken_at_ms: int
    state: str
    clock_ms: int
    in_flight: int


def read_clock_ms() -> int:
    """Reads CLOCK_MONOTONIC in milliseconds."""
    return time.monotonic_ns() // _NS_PER_MS


@dataclasses.dataclass(slots=True, kw_only=True)
class Options:
    """The options of the stand-in's command line."""

    server: str
    ip_address: str
    port: int
    slots: int
    connections: int
    is_fenced: bool
    cold_ms: int
    service_ms: float
    records: str


class State:
    """State that the threads of one stand-in share; it is thread-safe."""

    def __init__(self, *, options: Options) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.started_at_ms = read_clock_ms()
        self.is_draining = threading.Event()
        self.mode = Mode()
        self.mode_set_at_ns = 0
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._running: dict[str, list[threading.Event]] = {}
        self._in_flight = 0
        self._serial = 0
        self._fences: dict[int, int] = {}
        self._extensions: dict[str, int] = {}
        self._report: Report | None = None
        self._records = -1
        if options.records:
            self._records = os.open(
                options.records, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
            )

    def find_state(self) -> str:
        """Returns the true state: cold, serving or draining."""
        if self.is_draining.is_set():
            return "draining"
        return "cold" if self._compute_cold_fraction() > 0 else "serving"

    def compute_service_ms(self, requested_ms: float | None) -> float:
        """Computes how long a run takes now, in milliseconds."""
        base_ms = (
            self.options.service_ms if requested_ms is None else requested_ms
        )
        cold_fraction = self._compute_cold_fraction()
        slowdown = 1 + (COLD_SLOWDOWN - 1) * cold_fraction
        return (
            base_ms * slowdown
            + COLD_DELAY_MS * cold_fraction
            + self.mode.slow_ms
        )

    def set_mode(self, mode: Mode) -> None:
        """Replaces the mode."""
        self.mode_set_at_ns = time.monotonic_ns()
        self.mode = mode

    def is_black_hole(self, opened_at_ns: int) -> bool:
        """Tells whether a connection opened at this time is silenced."""
        return self.mode.is_black_holing and opened_at_ns < self.mode_set_at_ns

    def begin(
        self, request_id: str, grant: Grant, deadline_ms: int | None
    ) -> threading.Event | Reason:
        """Admits one run.

        Args:
            request_id: The id by which the run can be cancelled.
            grant: The grant of the request.
            deadline_ms: How much longer the caller waits.

        Returns:
            An event that a cancellation sets, or why the request is refused.
        """
        with self._lock:
            reason = self._find_refusal(grant, deadline_ms)
            if reason is not None:
                return reason
            self._in_flight += 1
            cancelled = threading.Event()
            self._running.setdefault(request_id, []).append(cancelled)
            return cancelled

    def commit(self, grant: Grant) -> int | Reason:
        """Commits a run if its grant, with extensions, is still valid.

        Returns:
            The serial number of the commit, or why the run has no effect.
        """
        with self._lock:
            reason = self._check_grant(grant, self._find_extended_ms(grant))
            if reason is not None:
                return reason
            self._serial += 1
            return self._serial

    def end(self, request_id: str, cancelled: threading.Event) -> None:
        """Frees the slot of a run."""
        with self._lock:
            self._in_flight -= 1
            events = self._running[request_id]
            events.remove(cancelled)
            if not events:
                del self._running[request_id]
            self._idle.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancels the runs of a request; tells whether there were any."""
        with self._lock:
            events = self._running.get(request_id, [])
            for event in events:
                event.set()
            return bool(events)

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no run is in flight; tells whether that was in time."""
        with self._lock:
            return self._idle.wait_for(lambda: not self._in_flight, timeout_s)

    def record(self, run: Run) -> None:
        """Appends a run to the records file, if there is one."""
        if self._records >= 0:
            os.write(self._records, msgspec.json.encode(run) + b"\n")

    def report(self) -> Report:
        """Reports the state, with the lag and false values of the mode."""
        now_ms = read_clock_ms()
        mode = self.mode
        with self._lock:
            last = self._report
            if last and now_ms - last.taken_at_ms < mode.report_lag_ms:
                return last
            self._report = Report(
                taken_at_ms=now_ms,
                state=mode.health_state or self.find_state(),
                clock_ms=now_ms,
                in_flight=(
                    self._in_flight
                    if mode.in_flight is None
                    else mode.in_flight
                ),
            )
            return self._report

    def announce(self) -> bytes:
        """Encodes the announcement to the node as JSON."""
        options = self.options
        state = "draining" if self.is_draining.is_set() else "serving"
        return json.dumps(
            {
                "server": options.server,
                "ip_address": options.ip_address,
                "port": options.port,
                "incarnation": self.incarnation,
                "slots": options.slots,
                "connections": options.connections,
                "is_fenced": options.is_fenced,
                "state": state,
            }
        ).encode()

    def _compute_cold_fraction(self) -> float:
        if not self.options.cold_ms:
            return 0.0
        age_ms = read_clock_ms() - self.started_at_ms
        return max(0.0, 1 - age_ms / self.options.cold_ms)

    def _find_refusal(
        self, grant: Grant, deadline_ms: int | None
    ) -> Reason | None:
        if self.is_draining.is_set():
            return Reason.DRAINING
        if deadline_ms is not None and deadline_ms <= 0:
            return Reason.DEADLINE
        reason = self._check_grant(grant, grant.expires_ms)
        if reason is not None:
            return reason
        if self._in_flight >= self.options.slots:
            return Reason.SHED
        return None

    def extend(self, grant_id: str, expires_ms: int) -> None:
        """Extends the expiry of the grants with an id; forgets other ids.

        Args:
            grant_id: The id of the grants.
            expires_ms: Their expiry on this server's clock; one that is earlier
                than the known expiry changes nothing.
        """
        with self._lock:
            known_ms = self._extensions.get(grant_id, 0)
            self._extensions = {grant_id: max(known_ms, expires_ms)}

    def _find_extended_ms(self, grant: Grant) -> int | None:
        if grant.expires_ms is None:
            return None
        extended_ms = self._extensions.get(grant.grant_id, 0)
        return max(grant.expires_ms, extended_ms)

    def _check_grant(
        self, grant: Grant, expires_ms: int | None
    ) -> Reason | None:
        if not self.options.is_fenced:
            return None
        if expires_ms is not None and read_clock_ms() >= expires_ms:
            return Reason.EXPIRED
        if grant.shard < 0:
            return None
        if grant.fence < self._fences.get(grant.shard, 0):
            return Reason.FENCE
        self._fences[grant.shard] = grant.fence
        return None
