"""Takes the local server out of service while its failure domain is evacuated.

The operator names failure domains to whose servers nothing is to be sent. Only
this node sends requests to its server, so that its stop holds for all nodes.
Keys move away first, so that none is unserved for longer than in a planned
move; what is left after half of the time allowed is refused.
"""

from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import ownership
from rhubarblead.router import upstream
from rhubarblead.router import wire

KEYS_SHARE = 0.5
"""Share of the time allowed in which keys move; the rest is for the notice."""


class Evacuation:
    """Whether the local server gets requests, by the operator's request.

    `is_stopped` is set while it gets none.
    """

    __slots__ = (
        "_bound_ms",
        "_broadcast_state",
        "_directory",
        "_events",
        "_failure_domain",
        "_now_ms",
        "_ownership",
        "_since_ms",
        "_upstream",
        "is_stopped",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        key_ownership: ownership.Ownership,
        local_upstream: upstream.Upstream,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        bound_ms: int,
        broadcast_state: Callable[[], None],
    ) -> None:
        """Creates the state of a server that isn't evacuated.

        Args:
            cluster_directory: The local view of the cluster.
            key_ownership: The keys of the server.
            local_upstream: The server.
            events: The event log.
            now_ms: The clock.
            bound_ms: Time from the operator's request until nothing may reach
                the server.
            broadcast_state: Sends this node's state to the others.
        """
        self._directory = cluster_directory
        self._ownership = key_ownership
        self._upstream = local_upstream
        self._events = events
        self._now_ms = now_ms
        self._bound_ms = bound_ms
        self._broadcast_state = broadcast_state
        self._failure_domain = cluster_directory.own_state.failure_domain
        self._since_ms: int | None = None
        self.is_stopped = False

    def apply(self, failure_domains: frozenset[str], source: str) -> None:
        """Applies the operator's request.

        Args:
            failure_domains: All failure domains that are evacuated.
            source: Where the request was read, for the log.
        """
        previous = self._directory.evacuated
        if failure_domains == previous:
            return
        self._directory.evacuated = failure_domains
        is_own = self._failure_domain in failure_domains
        self._events.emit(
            catalog.Event.EVACUATION_CHANGED,
            failure_domains=",".join(sorted(failure_domains)),
            previous=",".join(sorted(previous)),
            source=source,
            is_own=is_own,
        )
        if is_own and self._since_ms is None:
            self._begin()
        elif not is_own and self._since_ms is not None:
            self._end()

    def check(self) -> None:
        """Stops the server once its keys have moved, or the time is up."""
        if self._since_ms is None or self.is_stopped:
            return
        waited_ms = self._now_ms() - self._since_ms
        is_due = waited_ms >= KEYS_SHARE * self._bound_ms
        if is_due or not self._ownership.list_spans():
            self._stop()

    def _begin(self) -> None:
        self._since_ms = self._now_ms()
        self._ownership.is_evacuated = True
        self._ownership.wake.set()
        self.check()
        # The operator may evacuate servers because they have become cold.
        self._upstream.warmth.doubt()

    def _stop(self) -> None:
        self.is_stopped = True
        self._report()
        if self._upstream.is_serving:
            self._upstream.refuse_all(wire.Reason.LEAVING)
        self._broadcast_state()

    def _end(self) -> None:
        was_stopped = self.is_stopped
        self.is_stopped = False
        self._ownership.is_evacuated = False
        server = self._ownership.server
        if was_stopped and server is not None:
            self._upstream.set_serving(
                self._ownership.may_serve, cause="evacuation ended"
            )
        # Servers are often cold after an evacuation.
        self._upstream.warmth.hold()
        self._report()
        self._since_ms = None
        self._broadcast_state()

    def _report(self) -> None:
        waited_ms = self._now_ms() - (self._since_ms or 0)
        self._events.emit(
            catalog.Event.EVACUATED,
            failure_domain=self._failure_domain,
            is_stopped=self.is_stopped,
            held_count=self._ownership.count_held(),
            waited_ms=waited_ms,
        )
