"""Writes responses to callers and logs each of them."""

from collections.abc import Callable
import http

from rhubarblead.events import catalog
from rhubarblead.platform import headers
from rhubarblead.requests import cluster_retry_budget
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import http_server
from rhubarblead.router import pending_request
from rhubarblead.router import wire

NO_CONFIG_RETRY_MS = 500
"""A node reads its configuration about 20 ms after it has started."""

_UNKNOWN_ROUTE = "-"


class Responder:
    """Ends each request: writes the response, logs it and counts it."""

    __slots__ = (
        "_directory",
        "_events",
        "_now_ms",
        "observe",
        "observe_delays",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
    ) -> None:
        """Creates a responder.

        Args:
            cluster_directory: Source of the configuration version and the
                assignment revisions that are logged.
            events: The event log.
            now_ms: The clock, in milliseconds.
        """
        self._directory = cluster_directory
        self._events = events
        self._now_ms = now_ms
        # Called for each response with route, status and duration in ms.
        self.observe: Callable[[str, int, int], None] | None = None
        # Called with route, wait and transit in ms if the outcome has arrived.
        self.observe_delays: Callable[[str, int, int], None] | None = None

    def forward(
        self, request: pending_request.PendingRequest, outcome: wire.Outcome
    ) -> None:
        """Forwards a server's response to the caller."""
        request.end(self._now_ms())
        request.exchange.finish(
            http_server.Response(
                status=outcome.status,
                reason=outcome.phrase,
                fields=outcome.head,
                body=outcome.body,
            )
        )
        took_ms = self._now_ms() - request.started_at_ms
        self._events.emit(
            catalog.Event.ANSWER_RETURNED,
            request_id=request.head.request_id,
            route=request.route.name,
            status=outcome.status,
            node_id=request.node_id,
            sent_count=request.sent_count,
            took_ms=took_ms,
            queued_ms=request.queued_ms,
            ran_ms=request.ran_ms,
            transit_ms=request.transit_ms,
            placed_ms=request.find_placed_ms(),
            offer_count=len(request.refused_waits),
            config_version=self._get_version(),
        )
        self._count(request, outcome.status, took_ms)

    def refuse(
        self,
        request: pending_request.PendingRequest,
        cause: str,
        retry_after_ms: int,
    ) -> None:
        """Responds 503: the request has not run and will not run."""
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        self._finish(request, status, cause, retry_after_ms)

    def fail(
        self,
        request: pending_request.PendingRequest,
        status: http.HTTPStatus,
        cause: str,
    ) -> None:
        """Responds with an error status: the request may have run."""
        self._finish(request, status, cause, 0)

    def refuse_undispatched(
        self,
        exchange: http_server.Exchange,
        status: int,
        request_id: str,
        cause: str,
    ) -> None:
        """Responds to a request that was refused before it was dispatched."""
        is_refusal = status == http.HTTPStatus.SERVICE_UNAVAILABLE
        after_ms = NO_CONFIG_RETRY_MS if is_refusal else 0
        exchange.finish(_make_response(status, request_id, after_ms))
        self._events.emit(
            catalog.Event.ANSWER_OWN,
            request_id=request_id,
            route=_UNKNOWN_ROUTE,
            status=status,
            cause=cause,
            config_version=self._get_version(),
        )

    def log_resend(
        self,
        request: pending_request.PendingRequest,
        cause: str,
        use: cluster_retry_budget.Use,
    ) -> None:
        """Logs that a request is sent again, and the use of the budget."""
        self._events.emit(
            catalog.Event.REQUEST_SENT_AGAIN,
            request_id=request.head.request_id,
            route=request.route.name,
            service=request.service,
            used_count=round(use.used_count, 1),
            allowed_count=round(use.allowed_count, 1),
            node_id=request.node_id,
            cause=cause,
            sent_count=request.sent_count,
        )

    def log_refused_offer(
        self, request: pending_request.PendingRequest, wait_ms: int
    ) -> None:
        """Logs that a busy server was offered a request."""
        self._events.emit(
            catalog.Event.OFFER_REFUSED,
            request_id=request.head.request_id,
            node_id=request.node_id,
            wait_ms=wait_ms,
            is_body_withheld=request.is_body_withheld,
        )

    def log_disconnect(self, request: pending_request.PendingRequest) -> None:
        """Logs that the caller has disconnected."""
        self._events.emit(
            catalog.Event.CALLER_GONE,
            request_id=request.head.request_id,
            route=request.route.name,
            node_id=request.node_id,
            took_ms=self._now_ms() - request.started_at_ms,
        )

    def _finish(
        self,
        request: pending_request.PendingRequest,
        status: http.HTTPStatus,
        cause: str,
        retry_after_ms: int,
    ) -> None:
        request.end(self._now_ms())
        request_id = request.head.request_id
        request.exchange.finish(
            _make_response(status, request_id, retry_after_ms)
        )
        took_ms = self._now_ms() - request.started_at_ms
        _, revision = self._directory.get_assignment(request.service)
        self._events.emit(
            catalog.Event.ANSWER_OWN,
            request_id=request_id,
            route=request.route.name,
            status=int(status),
            cause=cause,
            node_id=request.node_id,
            sent_count=request.sent_count,
            took_ms=took_ms,
            queued_ms=request.queued_ms,
            ran_ms=request.ran_ms,
            transit_ms=request.transit_ms,
            placed_ms=request.find_placed_ms(),
            offer_count=len(request.refused_waits),
            retry_after_ms=retry_after_ms,
            config_version=self._get_version(),
            assignment_revision=revision,
        )
        self._count(request, int(status), took_ms)

    def _count(
        self, request: pending_request.PendingRequest, status: int, took_ms: int
    ) -> None:
        if self.observe is not None:
            self.observe(request.route.name, status, took_ms)
        queued_ms, transit_ms = request.queued_ms, request.transit_ms
        if (
            self.observe_delays is None
            or queued_ms is None
            or transit_ms is None
        ):
            return
        self.observe_delays(request.route.name, queued_ms, transit_ms)

    def _get_version(self) -> int:
        table = self._directory.table
        return table.version if table is not None else 0


def _make_response(
    status: int, request_id: str, retry_after_ms: int
) -> http_server.Response:
    fields = headers.encode_own_response(request_id) if request_id else b""
    if retry_after_ms:
        fields += b"retry-after: %.3f\r\n" % (retry_after_ms / 1_000)
    return http_server.Response(status=status, fields=fields)
