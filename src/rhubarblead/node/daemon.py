"""Assembles a node from its parts and runs it until it is stopped."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import logging
import random
import signal
import sys
import threading

import waitress.server
import zmq

from rhubarblead import clock
from rhubarblead import messages
from rhubarblead import metrics
from rhubarblead import settings
from rhubarblead import signals
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node import admin
from rhubarblead.node import event_loop
from rhubarblead.node import gauges
from rhubarblead.node import jobs
from rhubarblead.node import view
from rhubarblead.node.ownership import control
from rhubarblead.node.ownership import inbox_items
from rhubarblead.node.ownership import ledger_replication
from rhubarblead.node.ownership import observer
from rhubarblead.node.ownership import proposer
from rhubarblead.node.ownership import replicas
from rhubarblead.node.ownership import store_jobs
from rhubarblead.node.requests import crashes
from rhubarblead.node.requests import execution
from rhubarblead.node.requests import gate
from rhubarblead.node.requests import local
from rhubarblead.node.requests import probes
from rhubarblead.node.requests import replicated_ledger
from rhubarblead.node.requests import routing
from rhubarblead.node.requests import server_selection
from rhubarblead.node.requests import traffic
from rhubarblead.node.requests import unresolved
from rhubarblead.node.requests import wsgi
from rhubarblead.requests import admission
from rhubarblead.requests import retries
from rhubarblead.requests import slots
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_log
from rhubarblead.transport import exchange
from rhubarblead.transport import links

_FAILURE_EXIT_CODE = 1
_STORE_THREADS = 3
_TASK_THREADS = 4
_LEDGER_THREADS = 2
_INITIAL_SLOTS = 1
_STOP_POLL_S = 0.05
_FINAL_WRITE_S = 0.1
_CONNECTION_CLOSE_MS = 1_500
_METRICS_INTERVAL_S = 1.0
_SWITCH_INTERVAL_S = 0.001
_MS_PER_S = 1000


class Node:
    """One node: its parts, their connections and its background tasks."""

    def __init__(self, *, node: settings.Settings) -> None:
        """Builds all parts without starting a task or opening a port."""
        self._node = node
        self._stack = contextlib.ExitStack()
        self._metrics = metrics.open_metrics(node.metrics)
        self._events = log.EventLog(
            instance=node.instance,
            timeline_capacity=node.logs.timeline_events,
            process_metrics=self._metrics,
        )
        self._shared_view = view.SharedView(grant_ms=node.lease.grant_ms)
        self._gate = gate.ShardGate()
        self._unresolved = unresolved.UnresolvedRuns()
        self._traffic = traffic.ShardTraffic(now_ms=clock.read_monotonic_ms())
        self._stopping = threading.Event()
        self._has_failed = False
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._store = store.Store(
            platform=node.platform, instance=node.instance
        )
        self._store_executor = futures.ThreadPoolExecutor(
            _STORE_THREADS, "store"
        )
        self._peer_executor = futures.ThreadPoolExecutor(
            node.limits.peer_threads, "peer"
        )
        self._ledger_executor = futures.ThreadPoolExecutor(
            _LEDGER_THREADS, "ledger"
        )
        self._background_executor = futures.ThreadPoolExecutor(1, "background")
        self._plan_executor = futures.ThreadPoolExecutor(1, "plan")
        self._task_executor = futures.ThreadPoolExecutor(_TASK_THREADS, "task")
        self._build()

    def _build(self) -> None:
        node = self._node
        self._peer_exchange = exchange.PeerExchange(
            context=self._context,
            identity=f"{node.instance}.{clock.read_monotonic_ms()}",
            limits=node.limits,
            executor=self._peer_executor,
            serve=self._serve,
            refuse=routing.refuse_call,
            report_reset=self._report_reset,
        )
        self._proposer = proposer.Proposer(node=node, shard_gate=self._gate)
        self._replicas = replicas.ReplicaStore(
            capacity=node.limits.ledger_entries
        )
        self._slot_queue = slots.SlotQueue(
            decisions=admission.Admission(
                slots=_INITIAL_SLOTS, queue_length=node.limits.queue_length
            )
        )
        self._crashes = crashes.CrashDetector(
            events=self._events,
            broadcast=lambda report: self._control.post(
                inbox_items.UpstreamCrashed(report=report)
            ),
        )
        self._request_ledger = replicated_ledger.ReplicatedLedger(
            capacity=node.limits.ledger_entries,
            replicator=ledger_replication.LedgerReplicator(
                peer_exchange=self._peer_exchange
            ),
            executor=self._ledger_executor,
            events=self._events,
        )
        self._observer = observer.Observer(
            events=self._events,
            drop_peer=self._peer_exchange.drop_peer,
            listeners=(self._replicas, self._request_ledger),
        )
        self._control = control.Control(
            node=node,
            context=self._context,
            shared_view=self._shared_view,
            proposer=self._proposer,
            observer=self._observer,
            events=self._events,
            shard_traffic=self._traffic,
            record_remote_crash=self._crashes.record_remote_crash,
            plan_runner=self._make_runner(self._plan_executor, "plan"),
            make_jobs=self._make_jobs,
        )
        self._upstream = probes.UpstreamProbe(
            upstream=node.upstream,
            events=self._events,
            find_grant_extension=self._shared_view.find_grant_extension,
            cap_grants=lambda is_capped: self._shared_view.cap_grants(
                is_capped=is_capped
            ),
            unresolved_runs=self._unresolved,
            find_settle_ms=self._find_settle_ms,
            on_change=self._report_upstream,
        )
        self._execution = execution.Execution(
            instance=node.instance,
            slot_queue=self._slot_queue,
            crash_detector=self._crashes,
            detect_crash=self._upstream.detect_crash,
            events=self._events,
        )
        self._local = local.LocalServer(
            shared_view=self._shared_view,
            shard_gate=self._gate,
            upstream=self._upstream,
            request_ledger=self._request_ledger,
            request_execution=self._execution,
            shard_traffic=self._traffic,
            unresolved_runs=self._unresolved,
            background=self._background_executor,
            events=self._events,
        )
        self._peer_server = routing.PeerServer(
            local_server=self._local, events=self._events
        )
        self._router = routing.Router(
            shared_view=self._shared_view,
            local_server=self._local,
            peer_exchange=self._peer_exchange,
            server_selector=server_selection.ServerSelector(
                generator=random.Random()
            ),
            retry_budget=retries.SharedRetryBudget(
                per_mille=node.limits.retry_per_mille
            ),
            limits=node.limits,
            events=self._events,
        )
        self._admin = admin.Admin(
            node=node,
            shared_view=self._shared_view,
            upstream=self._upstream,
            events=self._events,
            post=self._control.post,
            count_in_flight=self._execution.count_in_flight,
            is_store_reachable=lambda: self._observer.is_store_reachable,
        )
        self._gauges = gauges.Gauges(
            sink=self._metrics,
            shared_view=self._shared_view,
            count_in_flight=self._execution.count_in_flight,
            count_entries=lambda: self._request_ledger.count_entries()
            + self._replicas.count(),
        )
        self._event_loop = event_loop.EventLoop()
        self._application = wsgi.Application(
            route=self._router.handle,
            admin=self._admin.handle,
            refuse=routing.refuse_overload,
            queue_length=node.limits.queue_length,
        )

    def _report_reset(self, address: links.Address) -> None:
        self._events.emit(
            catalog.Event.PEER_LINK_RESET, peer=address.endpoint, link="data"
        )

    def _make_runner(
        self, executor: futures.Executor, task: str
    ) -> jobs.JobRunner:
        return jobs.JobRunner(executor=executor, events=self._events, task=task)

    def _make_jobs(
        self, post: Callable[[store_jobs.StoreResult], None]
    ) -> store_jobs.StoreJobs:
        return store_jobs.StoreJobs(
            runner=self._make_runner(self._store_executor, "store"),
            log=ownership_log.OwnershipLog(
                store=self._store, author=self._node.instance
            ),
            tables=table_log.TableLog(store=self._store),
            post=post,
        )

    def _serve(
        self, message: exchange.CallMessage, body: bytes
    ) -> exchange.Reply:
        match message:
            case messages.Forward():
                return self._peer_server.serve(message, body)
            case messages.LedgerWrite():
                return exchange.Reply(
                    message=self._replicas.write(message), body=b""
                )
            case messages.LedgerRead():
                return exchange.Reply(
                    message=self._replicas.read(message), body=b""
                )

    def _find_settle_ms(self) -> int:
        pool = self._shared_view.read().tables.find_pool_of(self._node.instance)
        return pool.settle_ms if pool else 0

    def _report_upstream(self) -> None:
        upstream = self._upstream.read()
        is_serving = upstream is not None and upstream.is_serving
        if upstream is not None:
            self._slot_queue.set_slots(upstream.announcement.slots)
        self._control.post(
            inbox_items.UpstreamChanged(
                is_serving=is_serving,
                is_silent=upstream is not None and upstream.is_silent,
                is_fenced=upstream is not None
                and upstream.announcement.is_fenced,
            )
        )

    def run(self) -> int:
        """Runs the node until `stop`, then hands over its shards and leaves.

        Returns:
            The exit code of the process: 1 if one of its tasks failed, else 0.
        """
        with self._stack:
            self._start()
            self._events.emit(catalog.Event.NODE_STARTED)
            signals.wait_for(self._stopping)
            self._shut_down()
        exit_code = _FAILURE_EXIT_CODE if self._has_failed else 0
        self._events.emit(catalog.Event.NODE_STOPPED, exit_code=exit_code)
        return exit_code

    def stop(self) -> None:
        """Requests a graceful shutdown: `run` hands over and returns."""
        self._stopping.set()

    def _start(self) -> None:
        stack = self._stack
        stack.callback(self._metrics.close)
        stack.callback(self._context.term)
        stack.enter_context(self._store)
        stack.enter_context(self._store_executor)
        stack.enter_context(self._peer_executor)
        stack.enter_context(self._background_executor)
        stack.enter_context(self._plan_executor)
        stack.enter_context(self._ledger_executor)
        stack.enter_context(self._task_executor)
        self._peer_exchange.listen(
            links.Address(str(self._node.ip_address), self._node.data_port)
        )
        self._control.listen()
        self._run_task(self._peer_exchange.run, self._peer_exchange.stop)
        self._run_task(
            self._control.run, lambda: self._control.post(inbox_items.Stop())
        )
        self._run_task(self._upstream.run, self._upstream.stop)
        self._run_task(self._flush_metrics, self._stopping.set)
        self._start_http_server()

    def _run_task(
        self, run: Callable[[], None], stop: Callable[[], None]
    ) -> None:
        future = self._task_executor.submit(run)
        future.add_done_callback(self._handle_task_end)
        self._stack.callback(stop)

    def _handle_task_end(self, future: futures.Future[None]) -> None:
        error = future.exception()
        if error is None:
            return
        # A node must not run on without one of its tasks: it stops, so that its
        # lease lapses.
        jobs.report_error(self._events, "node", error)
        self._has_failed = True
        self._stopping.set()

    def _start_http_server(self) -> None:
        server = waitress.server.create_server(
            self._application,
            host=str(self._node.ip_address),
            port=self._node.http_port,
            threads=self._node.limits.threads,
            max_request_body_size=self._node.limits.request_bytes,
            connection_limit=self._node.limits.connections,
            channel_timeout=self._node.limits.idle_ms // _MS_PER_S,
            ident=None,
        )
        loop = self._event_loop
        server.channel_class = wsgi.Channel
        loop.attach(server)
        self._application.set_waiting_counter(
            lambda: len(server.task_dispatcher.queue)
        )
        thread = threading.Thread(target=loop.run, daemon=True)
        thread.start()
        self._stack.callback(server.close)
        self._stack.callback(thread.join)
        self._stack.callback(loop.stop)

    def _shut_down(self) -> None:
        self._events.emit(catalog.Event.NODE_STOPPING)
        self._control.post(inbox_items.Drain())
        deadline_ms = clock.read_monotonic_ms() + self._node.limits.drain_ms
        has_left = self._wait(
            lambda: self._shared_view.read().member is None, deadline_ms
        )
        # Requests of callers that are still connected are forwarded to other
        # nodes until the callers have closed their connections.
        self._event_loop.close_after_responses()
        close_deadline_ms = clock.read_monotonic_ms() + _CONNECTION_CLOSE_MS
        self._wait(
            lambda: self._event_loop.count_connections() == 0,
            min(deadline_ms, close_deadline_ms),
        )
        is_idle = self._wait(self._is_idle, deadline_ms)
        if not (has_left and is_idle):
            self._events.emit(catalog.Event.DRAIN_GIVEN_UP)
        # The event loop may still be writing the last responses.
        threading.Event().wait(_FINAL_WRITE_S)

    def _is_idle(self) -> bool:
        count = self._execution.count_in_flight()
        return count + self._application.count_active() == 0

    def _wait(self, is_done: Callable[[], bool], deadline_ms: int) -> bool:
        while not is_done():
            if clock.read_monotonic_ms() >= deadline_ms:
                return False
            threading.Event().wait(_STOP_POLL_S)
        return True

    def _flush_metrics(self) -> None:
        while not self._stopping.wait(_METRICS_INTERVAL_S):
            self._gauges.measure()
            self._metrics.flush()


def run(node: settings.Settings) -> int:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        node: The checked settings.

    Returns:
        The exit code of the process.
    """
    log.configure_logging(node.logs.level)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    # A short switch interval lets the control thread run promptly while many
    # request threads are busy.
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    running = Node(node=node)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: running.stop())
    return running.run()
