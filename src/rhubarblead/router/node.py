"""Composes the tasks of a router process and runs them until it stops."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import http
import random
import secrets
import signal
import time
from typing import Any

from rhubarblead import routing_table
from rhubarblead.events import catalog
from rhubarblead.keyspace import members
from rhubarblead.platform import settings
from rhubarblead.requests import cluster_retry_budget
from rhubarblead.requests import cold_start
from rhubarblead.requests import link_load
from rhubarblead.requests import transfers
from rhubarblead.router import config_feed
from rhubarblead.router import config_polling
from rhubarblead.router import crash_sync
from rhubarblead.router import directory
from rhubarblead.router import dispatcher
from rhubarblead.router import evacuation
from rhubarblead.router import event_log
from rhubarblead.router import heartbeat_handler
from rhubarblead.router import http_client
from rhubarblead.router import http_server
from rhubarblead.router import listeners
from rhubarblead.router import metrics_exporter
from rhubarblead.router import ownership
from rhubarblead.router import peer_watch
from rhubarblead.router import peers
from rhubarblead.router import promise_exchange
from rhubarblead.router import redirection
from rhubarblead.router import relay
from rhubarblead.router import remote_jobs
from rhubarblead.router import request_budget
from rhubarblead.router import response_sender
from rhubarblead.router import saturation_monitor
from rhubarblead.router import server_notices
from rhubarblead.router import shutdown
from rhubarblead.router import state_broadcaster
from rhubarblead.router import state_sync
from rhubarblead.router import store_client
from rhubarblead.router import tasks
from rhubarblead.router import upstream
from rhubarblead.router import wire

WATCH_INTERVAL_S = 0.2
MAX_SILENT_HEARTBEATS = 1.6
"""Silent heartbeat intervals after which an unresponsive server is lost."""


def read_now_ms() -> int:
    """Reads a monotonic clock that also runs while the instance is suspended.

    Returns:
        The time since boot in milliseconds.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_wall_ms() -> int:
    """Reads the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Node:
    """Owns all tasks of a router process."""

    __slots__ = (
        "_config",
        "_crash_sync",
        "_heartbeat_handler",
        "_deployment",
        "_directory",
        "_dispatcher",
        "_evacuation",
        "_events",
        "_is_stopping",
        "_links",
        "_listeners",
        "_loop",
        "_metrics",
        "_ownership",
        "_peer_watch",
        "_promise_exchange",
        "_random",
        "_relay",
        "_remote_jobs",
        "_request_budget",
        "_response_sender",
        "_saturation",
        "_chunks",
        "_server_notices",
        "_started_at_s",
        "_state",
        "_state_sync",
        "_stop",
        "_store",
        "_tasks",
        "_broadcaster",
        "_upstream",
    )

    def __init__(self, *, deployment: settings.Deployment) -> None:
        self._deployment = deployment
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(secrets.randbits(64))
        self._events = event_log.EventLog(instance=deployment.instance)
        self._is_stopping = False
        self._stop = asyncio.Event()
        self._started_at_s = self._loop.time()
        self._tasks: list[asyncio.Task[None]] = []
        self._state = _make_state(deployment)
        self._directory = directory.Directory(own_state=self._state)
        body_budget = http_client.BodyBudget()
        self._store = store_client.StoreClient(
            address=deployment.store,
            events=self._events,
            now_ms=read_now_ms,
            body_budget=body_budget,
        )
        transfer_queue = transfers.TransferQueue(
            link_bytes_per_ms=deployment.link_bytes_per_ms
        )
        self._response_sender = response_sender.ResponseSender(
            queue=transfer_queue, events=self._events, now_ms=read_now_ms
        )
        self._chunks = response_sender.ChunkAssembler()
        self._upstream = upstream.Upstream(
            address=deployment.upstream,
            events=self._events,
            now_ms=read_now_ms,
            is_held=lambda key: self._ownership.is_held(key),
            is_owned=lambda key: self._ownership.is_owned(key),
            link=link_load.LinkLoad(
                bytes_per_ms=deployment.link_bytes_per_ms,
                min_bytes=transfer_queue.chunk_bytes,
                find_queued_bytes=lambda: transfer_queue.queued_bytes,
            ),
            count_servers=lambda: self._directory.count_servers(
                deployment.service
            ),
            broadcast=lambda message: self._links.broadcast(message),
            body_budget=body_budget,
            node_id=self._state.node_id,
        )
        self._links = peers.Links(
            receiver=self,
            ip=deployment.callers.ip,
            port=deployment.peers_port,
        )
        self._saturation = saturation_monitor.SaturationMonitor(
            traffic=self._links.traffic,
            link_bytes_per_ms=deployment.link_bytes_per_ms,
            events=self._events,
            now_ms=read_now_ms,
            read_caller_work=lambda: self._listeners.callers.work,
            count_waiting=lambda: self._upstream.wait_queue.waiting_count,
        )
        self._store.on_received = lambda size_bytes: (
            self._links.traffic.record_received("store", size_bytes)
        )
        self._server_notices = server_notices.ServerNotices(links=self._links)
        self._crash_sync = crash_sync.CrashSync(
            crash_detector=self._upstream.crashes, links=self._links
        )
        self._promise_exchange = promise_exchange.PromiseExchange(
            cluster_directory=self._directory,
            links=self._links,
            now_ms=read_now_ms,
        )
        self._relay = relay.Relay(
            client=self._store,
            cluster_directory=self._directory,
            links=self._links,
            events=self._events,
            random_source=random.Random(secrets.randbits(64)),
        )
        self._store.relay = self._relay.call
        self._ownership = self._make_ownership()
        self._config = config_feed.ConfigFeed(
            client=self._store,
            events=self._events,
            on_table=self._apply_table,
            on_evacuated=lambda names, source: self._evacuation.apply(
                names, source
            ),
            on_checked=lambda: self._dispatcher.handle_config_checked(),
            on_read=self._schedule_notice,
            count_nodes=self._directory.count_nodes,
            random_source=self._random,
        )
        self._evacuation = evacuation.Evacuation(
            cluster_directory=self._directory,
            key_ownership=self._ownership,
            local_upstream=self._upstream,
            events=self._events,
            now_ms=read_now_ms,
            bound_ms=deployment.bounds.evacuation_ms,
            broadcast_state=self._broadcast_state,
        )
        self._broadcaster = state_broadcaster.StateBroadcaster(
            cluster_directory=self._directory,
            links=self._links,
            local_upstream=self._upstream,
            key_ownership=self._ownership,
            config=self._config,
            client=self._store,
            now_ms=read_now_ms,
        )
        self._peer_watch = peer_watch.PeerWatch(
            links=self._links,
            events=self._events,
            now_ms=read_now_ms,
            on_silent=lambda node_id: self._dispatcher.handle_silent(node_id),
        )
        self._dispatcher = self._make_dispatcher()
        self._state_sync = state_sync.StateSync(
            cluster_directory=self._directory,
            links=self._links,
            config=self._config,
            key_ownership=self._ownership,
            events=self._events,
            now_ms=read_now_ms,
            on_peer_state=self._dispatcher.retry_parked,
            is_store_working=lambda: self._store.is_working,
        )
        self._request_budget = request_budget.RequestBudget(
            max_bytes=request_budget.find_max_bytes(deployment.memory_bytes)
        )
        self._request_budget.on_drop = self._handle_dropped_request
        self._remote_jobs = remote_jobs.RemoteJobs(
            state=self._state,
            local_upstream=self._upstream,
            sender=self._response_sender,
            events=self._events,
            budget=self._request_budget,
        )
        self._heartbeat_handler = heartbeat_handler.HeartbeatHandler(
            key_ownership=self._ownership,
            local_upstream=self._upstream,
            service=deployment.service,
            address=deployment.upstream,
            usual_address=deployment.heartbeats,
            failure_domain=deployment.failure_domain,
            events=self._events,
            wall_ms=read_wall_ms,
            on_change=self._broadcast_state,
            is_healthy=self._upstream.health_check.is_healthy,
            is_evacuated=lambda: self._evacuation.is_stopped,
        )
        self._upstream.crashes.on_reported = self._ownership.add_crash
        self._ownership.crash_store.on_read = (
            self._upstream.crashes.record_stored
        )
        self._ownership.on_proof_changed = (
            self._heartbeat_handler.handle_proof_change
        )
        self._upstream.warmth.on_report = self._broadcast_state
        self._upstream.statements.on_limit = self._handle_limit_change
        self._upstream.statements.on_leaving = (
            self._heartbeat_handler.handle_stated_leaving
        )
        self._metrics = metrics_exporter.MetricsExporter(
            events=self._events,
            gauges=self._read_gauges,
            traffic=self._links.traffic,
            retry_use=self._dispatcher.find_retry_use,
        )
        self._dispatcher.responder.observe = self._metrics.observe
        self._dispatcher.responder.observe_delays = self._metrics.observe_delays
        self._listeners = listeners.Listeners(
            handlers={
                listeners.Listener.CALLERS: self._dispatcher.handle,
                listeners.Listener.HEARTBEATS: self._heartbeat_handler.handle,
                listeners.Listener.REDIRECTED: (
                    self._heartbeat_handler.handle_redirected
                ),
                listeners.Listener.READINESS: self._handle_readiness,
                listeners.Listener.METRICS: self._metrics.handle,
            },
            client_limits=self._get_client_limits,
            client_budget=self._request_budget,
            descriptor_count=listeners.find_descriptor_count(
                deployment.descriptor_count
            ),
        )

    async def run(self) -> None:
        """Runs until the process is asked to stop.

        Raises:
            OSError: A listening address can't be used.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self._store.close)
            stack.callback(self._links.close)
            stack.callback(self._upstream.close)
            stack.callback(self._crash_sync.close)
            stack.callback(self._peer_watch.close)
            stack.callback(self._response_sender.close)
            await self._listen(stack)
            self._loop.set_exception_handler(self._handle_exception)
            self._loop.add_signal_handler(signal.SIGTERM, self._stop.set)
            self._loop.add_signal_handler(signal.SIGHUP, self._check_settings)
            self._events.emit(
                catalog.Event.ROUTER_STARTED,
                incarnation=self._state.incarnation,
                service=self._state.service,
                failure_domain=self._state.failure_domain,
                address=self._state.address,
            )
            self._start_task("configuration", self._config.run())
            self._start_task("ownership", self._ownership.run())
            self._start_task("telling", self._broadcaster.run())
            self._start_task("server watch", self._run_watchdog())
            self._start_task(
                "promises",
                self._promise_exchange.run_heartbeats(
                    self._ownership.get_own_revision
                ),
            )
            await self._stop.wait()
            self._is_stopping = True
            self._broadcaster.is_stopping = True
            await self._make_shutdown().run()
            for running in self._tasks:
                running.cancel()

    # Messages from other nodes.

    def handle_request(
        self, message: wire.Message, reply: Callable[[wire.Message], None]
    ) -> None:
        """Handles a request or notification from another node."""
        match message:
            case wire.Work() | wire.Body() | wire.Cancel() | wire.ChunkAck():
                self._remote_jobs.handle(message, reply)
            case wire.State():
                self._state_sync.handle_state(message)
                self._crash_sync.handle_state(message)
                self._server_notices.handle_state(message)
            case wire.Load():
                self._state_sync.handle_load(message)
            case (
                wire.AssignmentChange()
                | wire.SnapshotRequest()
                | wire.Snapshot()
            ):
                self._state_sync.handle(message, reply)
            case (
                wire.CrashSuspects()
                | wire.CrashListRequest()
                | wire.ServerNotice()
            ):
                self._handle_server_message(message, reply)
            case wire.StoreCall():
                self._relay.handle_call(message, reply)
            case wire.LeaseHeartbeat() | wire.LeaseLeave():
                self._promise_exchange.handle_request(message, reply)
            case wire.DelegatedWrite():
                self._ownership.batcher.enqueue(message, reply)
            case wire.Probe():
                reply(wire.ProbeReply())
            case _:
                self.refuse_message("request", type(message).__name__)

    def _handle_server_message(
        self,
        message: wire.CrashSuspects | wire.CrashListRequest | wire.ServerNotice,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Handles a message about what has been seen of servers."""
        match message:
            case wire.CrashSuspects():
                self._upstream.crashes.record_remote_crash(message)
            case wire.CrashListRequest():
                self._crash_sync.handle_request(reply)
            case wire.ServerNotice():
                self._upstream.statements.apply_notice(message)

    def handle_reply(self, node_id: str, message: wire.Message) -> None:
        """Handles a reply to a message of this node."""
        if self._peer_watch.record_reply(node_id, message):
            self._dispatcher.retry_parked(node_id)
        if not isinstance(message, wire.ProbeReply):
            self._apply_reply(node_id, message)

    def _apply_reply(self, node_id: str, message: wire.Message) -> None:
        match message:
            case wire.StoreReply():
                self._relay.handle_reply(message)
            case wire.Promise():
                self._promise_exchange.holder.record_promise(
                    message.term, message.sequence
                )
            case wire.Release():
                self._promise_exchange.handle_release(message)
            case wire.DelegatedWriteReply():
                self._ownership.batcher.handle_reply(message)
            case wire.Outcome() | wire.BodyRequest():
                self._handle_work_reply(node_id, message)
            case wire.Chunk():
                self._handle_chunk(node_id, message)
            case wire.SnapshotRequest():
                self._state_sync.send_snapshot_to(node_id, message.service)
            case wire.Snapshot():
                self._state_sync.apply_snapshot(message)
            case wire.CrashSuspects():
                self._upstream.crashes.record_remote_crash(message)
            case _:
                self.refuse_message(node_id, type(message).__name__)

    def _handle_work_reply(
        self, node_id: str, message: wire.Outcome | wire.BodyRequest
    ) -> None:
        match message:
            case wire.Outcome():
                self._server_notices.record_outcome(node_id, message)
                self._dispatcher.handle_outcome(node_id, message)
            case wire.BodyRequest():
                self._dispatcher.send_body(node_id, message.number)

    def _handle_chunk(self, node_id: str, chunk: wire.Chunk) -> None:
        self._links.send(node_id, wire.ChunkAck(number=chunk.number))
        content = self._chunks.add(node_id, chunk)
        if content is None:
            return
        try:
            message = wire.decode(content)
        except wire.CannotDecode as error:
            self.refuse_message(node_id, str(error))
            return
        self.handle_reply(node_id, message)

    def link_up(self, node_id: str) -> None:
        """Handles a new connection to a node by sending this node's state."""
        self._events.emit(catalog.Event.LINK_UP, node_id=node_id)
        self._directory.mark_linked(node_id, read_now_ms())
        self._ownership.takeover.record_link(node_id, is_up=True)
        self._links.send(node_id, self._broadcaster.refresh())
        self._server_notices.send(node_id)
        self._dispatcher.retry_parked(node_id)

    def link_down(self, node_id: str) -> None:
        """Handles the loss of the connection to a node."""
        self._directory.mark_lost(node_id, read_now_ms())
        self._peer_watch.record_link_lost(node_id)
        self._chunks.drop_node(node_id)
        self._ownership.takeover.record_link(node_id, is_up=False)
        pending_count = self._dispatcher.handle_link_lost(node_id)
        self._events.emit(
            catalog.Event.LINK_DOWN,
            node_id=node_id,
            pending_count=pending_count,
        )

    def refuse_message(self, source: str, reason: str) -> None:
        """Logs a message that can't be decoded, handled or sent."""
        self._events.emit(
            catalog.Event.MESSAGE_REFUSED, source=source, error=reason
        )

    # Construction of the parts.

    def _make_ownership(self) -> ownership.Ownership:
        state = self._state
        return ownership.Ownership(
            member=members.Member(
                node_id=state.node_id,
                incarnation=state.incarnation,
                address=state.address,
                failure_domain=state.failure_domain,
                service=state.service,
            ),
            cluster_directory=self._directory,
            client=self._store,
            events=self._events,
            now_ms=read_now_ms,
            wall_ms=read_wall_ms,
            heartbeat_ms=self._deployment.heartbeat_ms,
            max_hold_ms=self._deployment.bounds.hold_max_ms,
            links=self._links,
            on_change=self._handle_ownership_change,
            find_rates=self._upstream.find_rates,
            promise_exchange=self._promise_exchange,
            random_source=self._random,
            is_first_start=self._deployment.is_first_start,
        )

    def _make_dispatcher(self) -> dispatcher.RequestDispatcher:
        bounds = self._deployment.bounds
        return dispatcher.RequestDispatcher(
            cluster_directory=self._directory,
            links=self._links,
            local_upstream=self._upstream,
            watch=self._peer_watch,
            retry_budget=cluster_retry_budget.ClusterRetryBudget(
                ratio=bounds.retry_ratio,
                window_ms=bounds.retry_window_ms,
                extra_count=bounds.retry_extra_count,
                started_at_ms=read_now_ms(),
            ),
            count_members=self._count_members,
            config=self._config,
            events=self._events,
            now_ms=read_now_ms,
            own_ip=self._deployment.upstream.ip,
            random_source=random.Random(secrets.randbits(64)),
        )

    def _count_members(self) -> int | None:
        """Counts the nodes that this one has known, None if it may miss some.

        A node that can't be reached may still send requests.
        """
        if not self._ownership.has_loaded:
            return None
        return self._links.count_known()

    def _make_shutdown(self) -> shutdown.Shutdown:
        return shutdown.Shutdown(
            callers=self._listeners.callers,
            requests=self._dispatcher,
            local_upstream=self._upstream,
            sender=self._response_sender,
            heartbeat_handler=self._heartbeat_handler,
            key_ownership=self._ownership,
            promise_exchange=self._promise_exchange,
            events=self._events,
            grace_ms=self._deployment.bounds.grace_ms,
            broadcast_state=self._broadcast_state,
        )

    def _get_client_limits(self) -> routing_table.ClientLimits:
        table = self._directory.table
        return table.limits if table is not None else _DEFAULT_LIMITS

    async def _listen(self, stack: contextlib.ExitStack) -> None:
        addresses = {
            listeners.Listener.CALLERS: self._deployment.callers,
            listeners.Listener.HEARTBEATS: self._deployment.heartbeats,
            listeners.Listener.READINESS: self._deployment.readiness,
        }
        for listener, address in addresses.items():
            await self._listeners.listen(listener, address, stack)
        await self._listen_for_redirected(stack)
        await self._listen_for_metrics(stack)

    async def _listen_for_redirected(self, stack: contextlib.ExitStack) -> None:
        """Listens where a server proves that it has read a reply.

        Without that, it proves by the time for which it goes on.
        """
        deployment = self._deployment
        if deployment.is_first_start:
            return
        port = redirection.choose_port(deployment.spare_ports, read_wall_ms())
        if port is None:
            return
        address = settings.Address(ip=deployment.heartbeats.ip, port=port)
        try:
            await self._listeners.listen(
                listeners.Listener.REDIRECTED, address, stack
            )
        except OSError as error:
            self._events.emit(
                catalog.Event.REDIRECTION_UNAVAILABLE,
                address=str(address),
                error=str(error),
            )
            return
        self._heartbeat_handler.redirect_address = address

    async def _listen_for_metrics(self, stack: contextlib.ExitStack) -> None:
        """Serves the metrics if their port is free on this instance."""
        address = self._deployment.metrics
        try:
            await self._listeners.listen(
                listeners.Listener.METRICS, address, stack
            )
        except OSError as error:
            self._events.emit(
                catalog.Event.METRICS_UNAVAILABLE,
                address=str(address),
                error=str(error),
            )

    def _start_task(self, name: str, work: Coroutine[None, None, None]) -> None:
        # The process stops if a task fails: without the task it would go on
        # serving, but incorrectly and unnoticed.
        task = tasks.start(
            work,
            name=name,
            events=self._events,
            on_failed=self._stop.set,
        )
        self._tasks.append(task)

    def _handle_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an exception raised by a callback of the event loop."""
        del loop
        error = context.get("exception")
        self._events.emit(
            catalog.Event.INTERNAL_ERROR,
            task=str(context.get("message")),
            error=repr(error),
            traceback=tasks.find_location(error) if error is not None else "",
        )

    # Changes of this node.

    def _apply_table(self, table: routing_table.RoutingTable) -> None:
        self._directory.table = table
        bounds = self._deployment.bounds
        self._upstream.warmth.set_service(
            table.services.get(self._deployment.service),
            cold_start.WarmupBounds(
                overage=bounds.cold_overage, slack_count=bounds.cold_slack_count
            ),
        )
        self._dispatcher.reset_traffic_split()
        self._ownership.wake.set()

    def _handle_ownership_change(self) -> None:
        server = self._ownership.server
        if server is not None and server.is_silent:
            self._upstream.set_serving(False, cause="no heartbeats")
            self._broadcast_state()
        self._upstream.set_owned(self._ownership.list_spans())
        self._upstream.refuse_unowned()
        self._upstream.start_waiting()
        self._evacuation.check()
        self._dispatcher.retry_parked()

    def _handle_dropped_request(self, cause: str, count_bytes: int) -> None:
        self._events.emit(
            catalog.Event.REQUEST_MEMORY_REFUSED,
            cause=cause,
            request_bytes=count_bytes,
            reserved_bytes=self._request_budget.reserved_bytes,
            connection_count=len(self._listeners.callers.connections),
        )

    def _handle_limit_change(self) -> None:
        self._upstream.start_waiting()
        self._broadcast_state()

    def _check_server(self) -> None:
        """Stops serving if the server is silent and doesn't answer requests."""
        server = self._ownership.server
        if server is None or not self._upstream.is_serving:
            return
        silent_ms = read_now_ms() - server.last_heartbeat_at_ms
        if silent_ms < self._deployment.heartbeat_ms * MAX_SILENT_HEARTBEATS:
            return
        if self._upstream.is_stuck():
            # A planned stop breaks off no request, also where the silence is
            # that of a late heartbeat.
            self._upstream.stop_serving(
                wire.Reason.SERVER_GONE, self._directory.list_stopping()
            )
            self._broadcast_state()

    async def _run_watchdog(self) -> None:
        while True:
            self._ownership.watch_proof()
            self._check_server()
            self._evacuation.check()
            due_at_s = self._loop.time() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            self._saturation.record_timer(
                int((self._loop.time() - due_at_s) * 1_000)
            )

    def _read_gauges(self) -> dict[metrics_exporter.Gauge, float]:
        """Returns the current values of the gauges."""
        wait_queue = self._upstream.wait_queue
        return {
            metrics_exporter.Gauge.RUNNING: wait_queue.running_count,
            metrics_exporter.Gauge.RUNNING_CALLS: wait_queue.call_count,
            metrics_exporter.Gauge.RESERVED_SLOTS: (
                wait_queue.count_reserved(read_now_ms())
            ),
            metrics_exporter.Gauge.WAITING: wait_queue.waiting_count,
            metrics_exporter.Gauge.PENDING: self._dispatcher.count_pending(),
            metrics_exporter.Gauge.SLOTS: wait_queue.slot_count,
            metrics_exporter.Gauge.LIMIT: (
                -1.0
                if wait_queue.rate_limit.limit_per_s is None
                else wait_queue.rate_limit.limit_per_s
            ),
            metrics_exporter.Gauge.LIMITED: (
                self._upstream.statements.find_limited_ms()
            ),
            metrics_exporter.Gauge.LIMIT_REFUSALS: (
                self._upstream.statements.refused_count
            ),
            metrics_exporter.Gauge.COLD: self._upstream.warmth.is_cold,
            metrics_exporter.Gauge.WARMTH_PROBES: (
                self._upstream.warmth.probe_count
            ),
            metrics_exporter.Gauge.EVACUATED: self._evacuation.is_stopped,
            metrics_exporter.Gauge.CONFIG_VERSION: self._config.version,
            metrics_exporter.Gauge.CONFIG_AGE: self._find_config_age_ms(),
            metrics_exporter.Gauge.HELD_KEYS: self._ownership.count_held(),
            metrics_exporter.Gauge.LEASE_LEFT: (
                self._ownership.find_effective_lease_ms()
            ),
            metrics_exporter.Gauge.KNOWN_NODES: self._directory.count_nodes(),
            metrics_exporter.Gauge.REQUEST_MEMORY: (
                self._request_budget.reserved_bytes
            ),
            metrics_exporter.Gauge.CONNECTIONS: len(
                self._listeners.callers.connections
            ),
            metrics_exporter.Gauge.LONGEST_DELAY: (
                self._saturation.longest_delay_ms
            ),
        }

    def _schedule_notice(self, version: int) -> None:
        """Tells other nodes later of a version from the store."""
        delay_s = config_polling.find_notice_delay_s(self._random)
        self._loop.call_later(
            delay_s, self._broadcaster.notify_version, version
        )

    def _find_config_age_ms(self) -> float:
        age_s = self._config.find_age_s()
        return -1.0 if age_s is None else age_s * 1_000

    def _broadcast_state(self) -> None:
        self._broadcaster.broadcast()

    # Readiness and settings.

    def _handle_readiness(self, exchange: http_server.Exchange) -> None:
        is_ready = self._directory.table is not None and not self._is_stopping
        status = (
            http.HTTPStatus.OK
            if is_ready
            else http.HTTPStatus.SERVICE_UNAVAILABLE
        )
        exchange.finish(http_server.Response(status=status))

    def _check_settings(self) -> None:
        try:
            settings.load()
            error = ""
        except settings.CannotLoad as reason:
            error = str(reason)
        self._events.emit(
            catalog.Event.SETTINGS_READ_AGAIN, is_valid=not error, error=error
        )


_DEFAULT_LIMITS = routing_table.ClientLimits()


def _make_state(deployment: settings.Deployment) -> wire.State:
    ip = deployment.callers.ip
    return wire.State(
        node_id=f"{deployment.instance}@{ip}",
        incarnation=secrets.token_hex(6),
        address=f"{ip}:{deployment.peers_port}",
        failure_domain=deployment.failure_domain,
        service=deployment.service,
        born_ms=0,
        is_serving=False,
        is_stopping=False,
        slot_count=1,
        assignments={},
        load=wire.ServerLoad(),
        requests_bodies=True,
    )
