"""The task that probes the upstream on the node's instance."""

from collections.abc import Callable
import contextlib
import dataclasses
import http.client
import socket
import threading
import time

from rhubarblead import clock
from rhubarblead import settings
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node.requests import unresolved
from rhubarblead.upstream import client
from rhubarblead.upstream import connections
from rhubarblead.upstream import headers
from rhubarblead.upstream import monitor
from rhubarblead.upstream import responses

_HEALTH_TARGET = "/-/health"
_NS_PER_MS = 1_000_000
_REQUEST_SHARE_PERCENT = 75
_FOLLOW_UP_DIVISOR = 4
_EVENTS = {
    "serving": catalog.Event.UPSTREAM_SERVING,
    "draining": catalog.Event.UPSTREAM_DRAINING,
    "silent": catalog.Event.UPSTREAM_FROZEN,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamView:
    """The upstream's state, by its last announcement and probe."""

    announcement: monitor.Announcement
    client: client.UpstreamClient
    is_serving: bool
    is_silent: bool


class UpstreamProbe:
    """Probes the upstream, and keeps the client that sends requests to it.

    `run` is the task. The other methods are thread-safe.
    """

    __slots__ = (
        "_events",
        "_find_grant_extension",
        "_find_settle_ms",
        "_cap_grants",
        "_interval_ms",
        "_lock",
        "_monitor",
        "_on_change",
        "_settings",
        "_stop",
        "_unresolved",
        "_view",
    )

    def __init__(
        self,
        *,
        upstream: settings.Upstream,
        events: log.EventLog,
        find_grant_extension: Callable[[], tuple[str, int] | None],
        cap_grants: Callable[[bool], None],
        unresolved_runs: unresolved.UnresolvedRuns,
        find_settle_ms: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self._settings = upstream
        self._events = events
        self._find_grant_extension = find_grant_extension
        self._unresolved = unresolved_runs
        self._find_settle_ms = find_settle_ms
        self._cap_grants = cap_grants
        self._on_change = on_change
        self._interval_ms = upstream.probe_ms
        self._monitor = monitor.Monitor(upstream=upstream)
        self._view: UpstreamView | None = None
        self._lock = threading.Lock()
        self._stop = threading.Event()

    def read(self) -> UpstreamView | None:
        """Reads the newest view; None before the first announcement."""
        return self._view

    def find_expiry_ms(self, grant_end_ms: int) -> int:
        """Converts the end of a grant to the upstream's clock.

        Args:
            grant_end_ms: The end, on this node's monotonic clock.

        Returns:
            A time on the upstream's clock that is not later than the end; 0
            while the upstream's clock is unknown.
        """
        with self._lock:
            return self._monitor.convert_to_upstream_ms(grant_end_ms)

    def record_announcement(self, announcement: monitor.Announcement) -> None:
        """Records an announcement that the upstream sent to the node."""
        now_ms = clock.read_monotonic_ms()
        with self._lock:
            self._monitor.record_announcement(announcement, now_ms)
            self._update(announcement, now_ms)

    def record_response(self) -> None:
        """Records that the upstream has just responded to a request."""
        self._monitor.record_response(clock.read_monotonic_ms())

    def detect_crash(self) -> str:
        """Checks whether the upstream's process has ended.

        The process has ended if its port refuses connections.

        Returns:
            An ID of the process that has ended; empty if the upstream accepts
            connections, or its state is unknown.
        """
        view = self._view
        if view is None:
            return ""
        announced = view.announcement
        try:
            with socket.create_connection(
                (announced.ip_address, announced.port),
                timeout=self._settings.probe_timeout_ms / 1000,
            ):
                return ""
        except ConnectionRefusedError:
            return f"{announced.server}.{announced.incarnation}"
        except OSError:
            return ""

    def stop(self) -> None:
        """Makes `run` return."""
        self._stop.set()

    def run(self) -> None:
        """Probes the upstream until `stop` is called."""
        while not self._stop.wait(self._interval_ms / 1000):
            self.check()

    def check(self) -> None:
        """Probes the upstream once, if it has announced itself."""
        view = self._view
        if view is not None:
            self._probe(view)

    def _probe(self, view: UpstreamView) -> None:
        sent_at_ms = clock.read_monotonic_ms()
        health = self._request_health(view.announcement)
        now_ms = clock.read_monotonic_ms()
        # The next probe follows sooner after a failure, so that the loss of a
        # server is detected early.
        is_urgent = health is None and view.is_serving
        self._interval_ms = self._settings.probe_ms
        if is_urgent:
            self._interval_ms //= _FOLLOW_UP_DIVISOR
        with self._lock:
            if health is None:
                self._monitor.record_probe_failure(now_ms)
            else:
                self._monitor.record_health(health, sent_at_ms, now_ms)
            self._cap_grants(self._monitor.is_suspect())
            self._update(view.announcement, now_ms)
        self._release_unresolved(view.announcement, health is not None, now_ms)

    def _release_unresolved(
        self,
        announcement: monitor.Announcement,
        is_healthy: bool,
        now_ms: int,
    ) -> None:
        """Releases requests that the upstream can no longer run."""
        if not self._unresolved.count():
            return
        if not is_healthy and self.detect_crash():
            self._unresolved.record_end(announcement.incarnation)
        self._unresolved.record_probe(
            incarnation=announcement.incarnation,
            is_healthy=is_healthy,
            settle_ms=self._find_settle_ms(),
            now_ms=now_ms,
        )

    def _request_health(
        self, announcement: monitor.Announcement
    ) -> monitor.Health | None:
        timeout_ns = self._settings.probe_timeout_ms * _NS_PER_MS
        deadline_ns = time.monotonic_ns() + timeout_ns
        try:
            return monitor.decode_health(
                _fetch(announcement, self._build_extension(), deadline_ns)
            )
        except (
            OSError,
            connections.CannotConnect,
            headers.CannotRead,
            http.client.HTTPException,
            monitor.CannotDecode,
            responses.ResponseTooLarge,
        ):
            return None

    def _build_extension(self) -> headers.Headers:
        """Builds the headers that extend the member's grants."""
        extension = self._find_grant_extension()
        if extension is None:
            return ()
        member_id, grant_end_ms = extension
        expiry_ms = self.find_expiry_ms(grant_end_ms)
        return (
            ("Rhubarb-Grant", member_id),
            ("Rhubarb-Expires-Ms", str(expiry_ms)),
        )

    def _update(self, announcement: monitor.Announcement, now_ms: int) -> None:
        before = self._view
        is_serving = self._monitor.is_serving(now_ms)
        is_same = (
            before is not None
            and before.announcement.incarnation == announcement.incarnation
            and before.announcement.port == announcement.port
        )
        if before is not None and is_same:
            upstream_client = before.client
        else:
            upstream_client = client.UpstreamClient(
                ip_address=announcement.ip_address,
                port=announcement.port,
                connections=_count_request_connections(
                    announcement.connections
                ),
            )
        self._view = UpstreamView(
            announcement=announcement,
            client=upstream_client,
            is_serving=is_serving,
            is_silent=self._monitor.find_state() == "silent",
        )
        was_serving = before is not None and before.is_serving
        if was_serving != is_serving:
            self._report(announcement, is_serving)
        elif not is_same:
            self._on_change()

    def _report(
        self, announcement: monitor.Announcement, is_serving: bool
    ) -> None:
        state = "serving" if is_serving else self._monitor.find_state()
        self._events.emit(
            _EVENTS.get(state, catalog.Event.UPSTREAM_GONE),
            server=announcement.server,
            upstream_incarnation=announcement.incarnation,
        )
        self._on_change()


def _fetch(
    announcement: monitor.Announcement,
    extension: headers.Headers,
    deadline_ns: int,
) -> bytes:
    """Fetches a health response, all of it until the deadline."""
    connection = connections.Connection(
        ip_address=announcement.ip_address,
        port=announcement.port,
        deadline_ns=deadline_ns,
    )
    with contextlib.closing(connection):
        remaining_ns = max(0, deadline_ns - time.monotonic_ns())
        head = headers.write_head(
            method="GET",
            target=_HEALTH_TARGET,
            authority=f"{announcement.ip_address}:{announcement.port}",
            headers=extension,
            request_id="",
            remaining_ms=remaining_ns // _NS_PER_MS,
            body_size=0,
        )
        connection.send(head, b"", deadline_ns)
        response = connection.open_response("GET", deadline_ns, deadline_ns)
        return response.read_body(client.MAX_PROBE_BYTES)


def _count_request_connections(connections: int) -> int:
    """Computes how many of the upstream's connections requests may use.

    Some are left for probes, and for closed connections, which the upstream
    counts until it has noticed that they were closed.
    """
    return max(1, connections * _REQUEST_SHARE_PERCENT // 100)
