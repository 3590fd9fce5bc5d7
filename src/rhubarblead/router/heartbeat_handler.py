"""Handles the heartbeats and the deregistration of the local server."""

from collections.abc import Callable
import http

from rhubarblead.events import catalog
from rhubarblead.platform import heartbeats
from rhubarblead.router import event_log
from rhubarblead.router import http_server
from rhubarblead.router import ownership
from rhubarblead.router import upstream
from rhubarblead.router import wire

_JSON = b"content-type: application/json\r\n"


class HeartbeatHandler:
    """Handles calls that only the platform and the local server may make."""

    __slots__ = (
        "is_stopping",
        "_events",
        "_on_change",
        "_ownership",
        "_service",
        "_upstream",
    )

    def __init__(
        self,
        *,
        key_ownership: ownership.Ownership,
        local_upstream: upstream.Upstream,
        service: str,
        events: event_log.EventLog,
        on_change: Callable[[], None],
    ) -> None:
        """Creates the handler.

        Args:
            key_ownership: Key ownership of this node.
            local_upstream: The local server.
            service: The service that the server must belong to.
            events: The event log.
            on_change: Called when the server's state has changed and the other
                nodes must be notified.
        """
        self._ownership = key_ownership
        self._upstream = local_upstream
        self._service = service
        self._events = events
        self._on_change = on_change
        self.is_stopping = False

    def handle(self, exchange: http_server.Exchange) -> None:
        """Handles one call of the server."""
        try:
            call = heartbeats.decode(
                exchange.target.decode("latin-1"), exchange.body
            )
        except heartbeats.CannotDecode as error:
            self._refuse(exchange, str(error))
            return
        match call:
            case heartbeats.Heartbeat():
                self._handle_heartbeat(exchange, call)
            case heartbeats.Deregistration():
                self._handle_deregistration(exchange, call)
            case _:
                exchange.finish(
                    http_server.Response(status=http.HTTPStatus.NOT_FOUND)
                )

    def _handle_heartbeat(
        self, exchange: http_server.Exchange, heartbeat: heartbeats.Heartbeat
    ) -> None:
        if heartbeat.service != self._service:
            self._refuse(
                exchange,
                f"service {heartbeat.service!r} is not this node's",
            )
            return
        if not self._ownership.handle_heartbeat(heartbeat):
            self._finish(exchange, heartbeats.encode_reply(None, 0))
            return
        local_upstream = self._upstream
        was_serving = local_upstream.is_serving
        is_new = heartbeat.server_id != local_upstream.server_id
        local_upstream.set_server(
            heartbeat.server_id, heartbeat.slots, born_ms=heartbeat.born_ms
        )
        local_upstream.is_serving = (
            not heartbeat.is_draining and not self.is_stopping
        )
        self._finish(exchange, self._ownership.make_reply())
        if heartbeat.is_draining and was_serving:
            self._begin_leaving(heartbeat.server_id, has_deregistered=False)
        elif is_new or was_serving != local_upstream.is_serving:
            self._on_change()
        local_upstream.start_waiting()

    def _handle_deregistration(
        self,
        exchange: http_server.Exchange,
        call: heartbeats.Deregistration,
    ) -> None:
        if self._ownership.handle_deregistration(call.server_id):
            self._upstream.is_serving = False
            self._upstream.crashes.expect_exit()
            self._begin_leaving(call.server_id, has_deregistered=True)
        self._finish(exchange, b"{}")

    def _begin_leaving(self, server_id: str, *, has_deregistered: bool) -> None:
        wait_queue = self._upstream.wait_queue
        self._events.emit(
            catalog.Event.SERVER_LEAVING,
            server_id=server_id,
            has_deregistered=has_deregistered,
            waiting_count=wait_queue.waiting_count,
            running_count=wait_queue.running_count,
        )
        self._upstream.refuse_all(wire.Reason.LEAVING)
        self._on_change()

    def _finish(self, exchange: http_server.Exchange, body: bytes) -> None:
        exchange.finish(
            http_server.Response(
                status=http.HTTPStatus.OK, fields=_JSON, body=body
            )
        )

    def _refuse(self, exchange: http_server.Exchange, error: str) -> None:
        self._events.emit(catalog.Event.HEARTBEAT_REFUSED, error=error)
        exchange.finish(
            http_server.Response(status=http.HTTPStatus.BAD_REQUEST)
        )
