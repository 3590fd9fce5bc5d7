"""Applies what the local server states about itself in its responses.

A server in need states the rate of requests that it takes, and a server that
shuts down states that it leaves. Only this node sends it requests, so keeping
the limit here keeps it for all nodes together.
"""

from collections.abc import Callable

from rhubarblead.events import catalog
from rhubarblead.platform import headers
from rhubarblead.requests import rate_limit
from rhubarblead.router import event_log
from rhubarblead.router import wire

REPORTED_CHANGE = 0.2
"""Relative change of a limit that is reported; smaller ones are only kept."""

MALFORMED_REPORT_MS = 10_000
"""Interval of the reports of malformed limits, which come in each response."""


def _discard() -> None:
    """Does nothing; stands for a callback that isn't set."""


class ServerStatements:
    """The limit and the leaving of the present server process.

    `on_limit` is called after a reported change of the limit, `on_leaving`
    once when the server states that it leaves.
    """

    __slots__ = (
        "_events",
        "_has_answered",
        "_is_leaving",
        "_limited_since_ms",
        "_malformed_at_ms",
        "_notices",
        "_now_ms",
        "_rate_limit",
        "_refused_count",
        "_reported_per_s",
        "_server",
        "on_leaving",
        "on_limit",
    )

    def __init__(
        self,
        *,
        limit: rate_limit.RateLimit,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
    ) -> None:
        """Creates the state of a server that isn't known yet.

        Args:
            limit: The limit that the server's queue keeps.
            events: The event log.
            now_ms: The clock.
        """
        self._rate_limit = limit
        self._events = events
        self._now_ms = now_ms
        self._server = ""
        self._notices: dict[str, wire.ServerNotice] = {}
        self._has_answered = False
        self._is_leaving = False
        self._limited_since_ms: int | None = None
        self._reported_per_s: float | None = None
        self._malformed_at_ms: int | None = None
        self._refused_count = 0
        self.on_leaving: Callable[[], None] = _discard
        self.on_limit: Callable[[], None] = _discard

    @property
    def server(self) -> str:
        """The present server process: its id and its start."""
        return self._server

    @property
    def refused_count(self) -> int:
        """Number of requests refused for the limit since the process began."""
        return self._refused_count

    def find_limited_ms(self) -> int:
        """Returns for how long the server has stated a limit, 0 if none."""
        if self._limited_since_ms is None:
            return 0
        return self._now_ms() - self._limited_since_ms

    def set_server(self, server: str) -> None:
        """Sets the server process; a new one has stated nothing yet."""
        if server == self._server:
            return
        self._server = server
        self._has_answered = False
        self._is_leaving = False
        self._rate_limit.clear()
        self._report_limit("new server")
        notice = self._notices.get(server)
        self._notices = {}
        if notice is not None:
            self.apply_notice(notice)

    def count_refusal(self) -> None:
        """Counts a request that was refused while the limit holds."""
        if self._rate_limit.limit_per_s is not None:
            self._refused_count += 1

    def record_response(self, server: str, head: headers.ResponseHead) -> None:
        """Applies what a response states.

        Args:
            server: The server process to which its request was sent.
            head: Its fields; those of a response that isn't the server's have
                no effect.
        """
        if server != self._server or not head.is_genuine:
            return
        self._has_answered = True
        if head.malformed_limit:
            self._report_malformed(head.malformed_limit)
        elif head.limit_per_s is not None:
            self._rate_limit.set(head.limit_per_s, self._now_ms())
            self._report_limit("response")
        else:
            self._rate_limit.lift(self._now_ms())
            self._report_limit("response")
        if head.is_leaving:
            self._begin_leaving("response")

    def apply_notice(self, notice: wire.ServerNotice) -> None:
        """Applies what a response that another node has passed on stated.

        A node that was restarted learns it so before it sends requests of that
        node to the server.

        Args:
            notice: The statement, of this server process or of one whose first
                heartbeat hasn't arrived.
        """
        statement = notice.statement
        if statement.server != self._server:
            self._keep_notice(notice)
            return
        if statement.is_leaving:
            self._begin_leaving("another node")
        if self._has_answered or statement.limit_per_s is None:
            return
        lowest_per_s = statement.limit_per_s
        if self._rate_limit.limit_per_s is not None:
            lowest_per_s = min(lowest_per_s, self._rate_limit.limit_per_s)
        self._rate_limit.set(lowest_per_s, self._now_ms())
        self._report_limit("another node")

    def record_leaving(self) -> None:
        """Records that the server has announced its exit in another way."""
        self._is_leaving = True

    def make_statement(self) -> wire.ServerStatement | None:
        """Returns what the server states, None if that is nothing."""
        limit_per_s = self._rate_limit.limit_per_s
        if limit_per_s is None and not self._is_leaving:
            return None
        return wire.ServerStatement(
            server=self._server,
            limit_per_s=limit_per_s,
            is_leaving=self._is_leaving,
        )

    def _keep_notice(self, notice: wire.ServerNotice) -> None:
        """Keeps a notice until the first heartbeat names the server."""
        if self._server:
            return
        server = notice.statement.server
        kept = self._notices.get(server)
        if kept is not None:
            notice = _merge(kept, notice)
        self._notices[server] = notice

    def _begin_leaving(self, source: str) -> None:
        if self._is_leaving:
            return
        self._is_leaving = True
        self._events.emit(
            catalog.Event.SERVER_STATES_LEAVING,
            server_id=self._server,
            source=source,
        )
        self.on_leaving()

    def _report_limit(self, source: str) -> None:
        """Reports a change of the limit that is large enough."""
        limit_per_s = self._rate_limit.limit_per_s
        previous_per_s = self._reported_per_s
        if not _is_reported(previous_per_s, limit_per_s):
            return
        now_ms = self._now_ms()
        limited_ms = self.find_limited_ms()
        if limit_per_s is None:
            self._limited_since_ms = None
        elif self._limited_since_ms is None:
            self._limited_since_ms = now_ms
        self._reported_per_s = limit_per_s
        self._events.emit(
            catalog.Event.SERVER_LIMIT_CHANGED,
            server_id=self._server,
            limit_per_s=limit_per_s,
            previous_per_s=previous_per_s,
            limited_ms=limited_ms,
            refused_count=self._refused_count,
            source=source,
        )
        self.on_limit()

    def _report_malformed(self, text: str) -> None:
        now_ms = self._now_ms()
        last_ms = self._malformed_at_ms
        if last_ms is not None and now_ms - last_ms < MALFORMED_REPORT_MS:
            return
        self._malformed_at_ms = now_ms
        self._events.emit(
            catalog.Event.SERVER_LIMIT_MALFORMED,
            server_id=self._server,
            value=text,
        )


def _merge(
    first: wire.ServerNotice, second: wire.ServerNotice
) -> wire.ServerNotice:
    """Merges two notices of one server process; the lower limit holds."""
    limits = [
        item.statement.limit_per_s
        for item in (first, second)
        if item.statement.limit_per_s is not None
    ]
    return wire.ServerNotice(
        statement=wire.ServerStatement(
            server=first.statement.server,
            limit_per_s=min(limits, default=None),
            is_leaving=(
                first.statement.is_leaving or second.statement.is_leaving
            ),
        )
    )


def _is_reported(previous: float | None, current: float | None) -> bool:
    if previous is None or current is None:
        return previous is not current
    return abs(current - previous) > REPORTED_CHANGE * max(previous, current)
