"""Handles the heartbeats and the deregistration of the local server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import http

from rhubarblead.events import catalog
from rhubarblead.platform import heartbeats
from rhubarblead.platform import settings
from rhubarblead.router import event_log
from rhubarblead.router import http_server
from rhubarblead.router import ownership
from rhubarblead.router import server_process
from rhubarblead.router import tasks
from rhubarblead.router import upstream
from rhubarblead.router import wire

MAX_REPLY_DELAY_S = 0.6
"""How long the first heartbeat of a server process waits for its keys.

Else they would wait for the second one, 0.9 s later. Replies that take longer
than 1 s count as lost.
"""

MAX_BORN_AHEAD_MS = 60_000
"""The clocks of an instance and its server may differ, but not by more."""

MAX_STORE_DELAY_S = 0.6
"""How long the reply to an announced exit waits for that to be stored."""

HEALTH_CHECK_INTERVAL_S = 0.1
"""Until the configuration names the path, and a busy server answers."""

MAX_HEALTH_CHECKS = 5
"""The next heartbeat begins again."""

_CHECK_INTERVAL_S = 0.025

_JSON = b"content-type: application/json\r\n"


class HeartbeatHandler:
    """Handles calls that only the platform and the local server may make."""

    __slots__ = (
        "_address",
        "_failure_domain",
        "is_evacuated",
        "is_stopping",
        "redirect_address",
        "_departed",
        "_events",
        "_is_checking",
        "_is_healthy",
        "_on_change",
        "_ownership",
        "_service",
        "_usual_address",
        "_upstream",
        "_wall_ms",
    )

    def __init__(
        self,
        *,
        key_ownership: ownership.Ownership,
        local_upstream: upstream.Upstream,
        service: str,
        address: settings.Address,
        usual_address: settings.Address,
        failure_domain: str,
        events: event_log.EventLog,
        wall_ms: Callable[[], int],
        on_change: Callable[[], None],
        is_healthy: Callable[[str], Awaitable[bool]],
        is_evacuated: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the handler.

        Args:
            key_ownership: Key ownership of this node.
            local_upstream: The local server.
            service: The service that the server must belong to.
            address: Where the server listens.
            usual_address: Where heartbeats arrive unless a reply says
                otherwise.
            failure_domain: The failure domain of this node and its server.
            events: The event log.
            wall_ms: The Unix time in milliseconds.
            on_change: Called when the server's state has changed and the other
                nodes must be notified.
            is_healthy: Asks the server with an id whether it is healthy, and
                not leaving.
            is_evacuated: Tells whether the server is to get no requests.
        """
        self._ownership = key_ownership
        self._upstream = local_upstream
        self._service = service
        self._address = address
        self._usual_address = usual_address
        self._failure_domain = failure_domain
        self._wall_ms = wall_ms
        self._events = events
        self._on_change = on_change
        self._is_healthy = is_healthy
        self._is_checking = False
        self.is_evacuated = is_evacuated
        # The last server process whose exit was announced.
        self._departed = ""
        self.is_stopping = False
        # An address that no earlier process of the node has named recently.
        self.redirect_address: settings.Address | None = None

    def handle_redirected(self, exchange: http_server.Exchange) -> None:
        """Handles one call of the server to the address that replies name."""
        self.handle(exchange, is_redirected=True)

    def handle(
        self, exchange: http_server.Exchange, *, is_redirected: bool = False
    ) -> None:
        """Handles one call of the server.

        Args:
            exchange: The call.
            is_redirected: Whether it was sent to `redirect_address`.
        """
        try:
            call = heartbeats.decode(
                exchange.target.decode("latin-1"), exchange.body
            )
        except heartbeats.CannotDecode as error:
            self._refuse(exchange, str(error))
            return
        match call:
            case heartbeats.Heartbeat():
                self._handle_heartbeat(
                    exchange, call, is_redirected=is_redirected
                )
            case heartbeats.Deregistration():
                self._handle_deregistration(exchange, call)
            case _:
                exchange.finish(
                    http_server.Response(status=http.HTTPStatus.NOT_FOUND)
                )

    def _handle_heartbeat(
        self,
        exchange: http_server.Exchange,
        heartbeat: heartbeats.Heartbeat,
        *,
        is_redirected: bool,
    ) -> None:
        fault = self._find_fault(heartbeat)
        if fault:
            self._refuse(exchange, fault)
            return
        standing = self._ownership.handle_heartbeat(
            heartbeat, is_redirected=is_redirected
        )
        match standing:
            case server_process.Standing.EARLIER:
                self._ignore_heartbeat(exchange, heartbeat)
            case server_process.Standing.LATE if not heartbeat.is_draining:
                self._ignore_heartbeat(exchange, heartbeat)
            case server_process.Standing.LATE:
                self._apply_departure(has_deregistered=False)
                self._acknowledge_exit(
                    exchange,
                    heartbeat.server_id,
                    lambda: heartbeats.encode_reply(None, 0),
                )
            case _:
                self._apply_heartbeat(
                    exchange,
                    heartbeat,
                    lambda: self._make_reply(is_redirected=is_redirected),
                )

    def _make_reply(self, *, is_redirected: bool) -> bytes:
        """Makes the reply, which redirects the server while it is unconfirmed.

        Afterwards it returns to the usual address, where the next process of
        this node listens, too.
        """
        if self._ownership.must_prove:
            return self._ownership.make_reply(self.redirect_address)
        if is_redirected:
            return self._ownership.make_reply(self._usual_address)
        return self._ownership.make_reply()

    def _find_fault(self, heartbeat: heartbeats.Heartbeat) -> str:
        """Returns why a heartbeat can't be the server's, empty if it can."""
        if heartbeat.service != self._service:
            return f"service {heartbeat.service!r} is not this node's"
        if heartbeat.address != self._address:
            return f"address {heartbeat.address} is not the server's"
        if heartbeat.failure_domain != self._failure_domain:
            return (
                f"failure domain {heartbeat.failure_domain!r} is not this"
                " node's"
            )
        if heartbeat.held is None and self._ownership.is_keyed:
            # Taken for an empty list, it would complete all pending releases.
            return "the ranges of a keyed server are missing"
        return self._find_birth_fault(heartbeat.born_ms)

    def _find_birth_fault(self, born_ms: int) -> str:
        ahead_ms = born_ms - self._wall_ms()
        if ahead_ms > MAX_BORN_AHEAD_MS:
            return f"the server starts in {ahead_ms} ms"
        return ""

    def _ignore_heartbeat(
        self, exchange: http_server.Exchange, heartbeat: heartbeats.Heartbeat
    ) -> None:
        self._report_ignored(
            "heartbeat",
            heartbeat.server_id,
            heartbeat.born_ms,
            heartbeat.sequence,
        )
        self._reject(exchange)

    def _apply_heartbeat(
        self,
        exchange: http_server.Exchange,
        heartbeat: heartbeats.Heartbeat,
        make_reply: Callable[[], bytes],
    ) -> None:
        local_upstream = self._upstream
        is_new = heartbeat.server_id != local_upstream.server_id
        is_first = self._ownership.is_first_heartbeat
        local_upstream.set_server(
            heartbeat.server_id, heartbeat.slots, born_ms=heartbeat.born_ms
        )
        local_upstream.warmth.record_heartbeat(heartbeat.cold_remaining_ms)
        has_changed = self._update_serving(f"heartbeat {heartbeat.sequence}")
        if heartbeat.is_draining:
            self._acknowledge_exit(exchange, heartbeat.server_id, make_reply)
        else:
            delay_s = MAX_REPLY_DELAY_S if is_first else 0.0
            due_at_s = asyncio.get_running_loop().time() + delay_s
            self._reply(exchange, due_at_s, make_reply)
        self._apply_departure(has_deregistered=False)
        if is_new or has_changed:
            self._on_change()
        must_check = self._ownership.must_prove and not self._is_checking
        if must_check and not self._upstream.is_serving:
            self._is_checking = True
            tasks.start(
                self._check_health(heartbeat.server_id, heartbeat.born_ms),
                name="health check",
                events=self._events,
            )

    async def _check_health(self, server_id: str, born_ms: int) -> None:
        """Asks a server that may have left whether it is leaving."""
        try:
            for _ in range(MAX_HEALTH_CHECKS):
                if await self._is_healthy(server_id):
                    self._ownership.record_healthy(server_id, born_ms)
                    self.handle_proof_change("health check")
                    return
                await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
        finally:
            self._is_checking = False

    def _update_serving(self, cause: str) -> bool:
        """Puts the server in service or out of it; tells if that is new."""
        was_serving = self._upstream.is_serving
        self._upstream.set_serving(
            self._ownership.may_serve
            and not (self.is_stopping or self.is_evacuated()),
            cause=cause,
        )
        return was_serving != self._upstream.is_serving

    def handle_proof_change(self, cause: str) -> None:
        """Handles that it is known whether the server may have left, or not.

        Args:
            cause: What has decided that, for the event log.
        """
        if self._update_serving(cause):
            self._on_change()
        self._apply_departure(has_deregistered=False)

    def _reply(
        self,
        exchange: http_server.Exchange,
        due_at_s: float,
        make_reply: Callable[[], bytes],
    ) -> None:
        """Replies with the keys to hold, once they are known or it is due."""
        loop = asyncio.get_running_loop()
        if loop.time() < due_at_s and self._ownership.is_grant_pending():
            loop.call_later(
                _CHECK_INTERVAL_S, self._reply, exchange, due_at_s, make_reply
            )
            return
        self._finish(exchange, make_reply())
        self._upstream.start_waiting()

    def _handle_deregistration(
        self,
        exchange: http_server.Exchange,
        call: heartbeats.Deregistration,
    ) -> None:
        fault = self._find_birth_fault(call.born_ms)
        if fault:
            self._refuse(exchange, fault)
            return
        if not self._ownership.handle_deregistration(
            call.server_id, call.born_ms
        ):
            self._report_ignored("deregistration", call.server_id, call.born_ms)
            self._reject(exchange)
            return
        if self._upstream.server_id == call.server_id:
            self._upstream.crashes.expect_exit()
            self._apply_departure(has_deregistered=True)
        self._acknowledge_exit(exchange, call.server_id, lambda: b"{}")

    def _acknowledge_exit(
        self,
        exchange: http_server.Exchange,
        server_id: str,
        make_reply: Callable[[], bytes],
    ) -> None:
        """Replies to an announcement once it is stored, or that takes long.

        Without the store it is acknowledged all the same, unless the row says
        otherwise: a server exits a few seconds after an announcement that
        nobody has acknowledged, whatever it still runs.
        """
        loop = asyncio.get_running_loop()
        due_at_s = loop.time() + MAX_STORE_DELAY_S

        def reply_when_stored() -> None:
            is_stored = not self._ownership.has_unsaved_exit
            if not is_stored and loop.time() < due_at_s:
                loop.call_later(_CHECK_INTERVAL_S, reply_when_stored)
                return
            must_store = self._ownership.must_store_exits
            if not is_stored:
                self._events.emit(
                    catalog.Event.SERVER_EXIT_NOT_STORED,
                    server_id=server_id,
                    is_acknowledged=not must_store,
                    waited_ms=int(MAX_STORE_DELAY_S * 1_000),
                )
            if is_stored or not must_store:
                self._finish(exchange, make_reply())
                return
            exchange.finish(
                http_server.Response(status=http.HTTPStatus.SERVICE_UNAVAILABLE)
            )

        reply_when_stored()

    def _report_ignored(
        self,
        call: str,
        server_id: str,
        born_ms: int,
        sequence: int | None = None,
    ) -> None:
        known = self._ownership.server
        self._events.emit(
            catalog.Event.SERVER_CALL_IGNORED,
            call=call,
            server_id=server_id,
            born_ms=born_ms,
            sequence=sequence,
            known_server_id="" if known is None else known.server_id,
            known_born_ms=None if known is None else known.born_ms,
            known_sequence=None if known is None else known.sequence,
        )

    def handle_stated_leaving(self) -> None:
        """Handles the statement in a response that the server is leaving."""
        self._ownership.handle_stated_leaving()
        self._apply_departure(has_deregistered=False)

    def _apply_departure(self, *, has_deregistered: bool) -> None:
        """Stops using the server once it has announced its exit."""
        process = self._upstream.statements.server
        if not self._ownership.is_server_leaving or process == self._departed:
            return
        self._departed = process
        wait_queue = self._upstream.wait_queue
        self._events.emit(
            catalog.Event.SERVER_LEAVING,
            server_id=self._upstream.server_id,
            has_deregistered=has_deregistered,
            waiting_count=wait_queue.waiting_count,
            running_count=wait_queue.running_count,
        )
        self._upstream.statements.record_leaving()
        self._upstream.refuse_all(wire.Reason.LEAVING)
        self._on_change()

    def _finish(self, exchange: http_server.Exchange, body: bytes) -> None:
        exchange.finish(
            http_server.Response(
                status=http.HTTPStatus.OK, fields=_JSON, body=body
            )
        )

    def _reject(self, exchange: http_server.Exchange) -> None:
        """Responds to a call without effect, which is not acknowledged.

        An acknowledgement would bind this node: if the call is that of the
        process that lives, it must be sent again.
        """
        exchange.finish(http_server.Response(status=http.HTTPStatus.CONFLICT))

    def _refuse(self, exchange: http_server.Exchange, error: str) -> None:
        self._events.emit(catalog.Event.HEARTBEAT_REFUSED, error=error)
        exchange.finish(
            http_server.Response(status=http.HTTPStatus.BAD_REQUEST)
        )
