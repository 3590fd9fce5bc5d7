"""Runs requests at the local server, within its slots."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from rhubarblead.events import catalog
from rhubarblead.keyspace import traffic
from rhubarblead.platform import headers
from rhubarblead.platform import settings
from rhubarblead.requests import calls
from rhubarblead.requests import circuit_breaker
from rhubarblead.requests import link_load
from rhubarblead.requests import nested_calls
from rhubarblead.requests import waiting
from rhubarblead.router import crashes
from rhubarblead.router import event_log
from rhubarblead.router import health_check
from rhubarblead.router import http_client
from rhubarblead.router import jobs
from rhubarblead.router import outcomes
from rhubarblead.router import server_statements
from rhubarblead.router import tasks
from rhubarblead.router import warmth_probe
from rhubarblead.router import wire

MAX_IDLE_S = 4.0
"""Idle time-out of connections if the server doesn't announce one."""

MAX_IDLE_ONCE_S = 1.0
"""For requests that must not run twice.

The server may be closing a connection that has been idle for longer, which
would leave it unknown whether the request ran.
"""

MIN_IDLE_S = 0.2
"""Lower limit for a very short announced time-out; calls recur sooner."""

IDLE_MARGIN_S = 1.5
"""Connections are closed this long before the server would close them."""

LATE_RESPONSE_MS = 150
"""Wait beyond the deadline; the server itself responds at the deadline."""

STUCK_MS = 900
"""Time without a response while requests run; most take less than 0.5 s."""

EXPIRED_RETRY_MS = 300
"""Retry delay for requests refused while they wait; about one run."""

SLOW_CONNECT_MS = 300
"""Time to connect that shows that the server was away; most take 1 ms."""

CANCEL_SETTLE_MS = 30
"""Delay before the slot of a cancelled request is reused."""

CHECK_INTERVAL_S = 0.05
MIN_CHECK_DELAY_S = 0.001
"""Delay of the checks of the queue, which is exact under a rate limit."""

_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})


class Upstream:
    """The local server, with its request queue and its connections."""

    __slots__ = (
        "_last_response_at_ms",
        "_must_start_again",
        "_breaker",
        "_called_routes",
        "_closed_reason",
        "_traffic",
        "_is_held",
        "_is_serving",
        "_is_owned",
        "_is_starting",
        "_jobs",
        "_link_load",
        "_events",
        "_loop",
        "_next_number",
        "_now_ms",
        "_pool",
        "_wait_queue",
        "_check_timer",
        "crashes",
        "nested_calls",
        "server_id",
        "statements",
        "health_check",
        "warmth",
    )

    def __init__(
        self,
        *,
        address: settings.Address,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        is_held: Callable[[int], bool],
        is_owned: Callable[[int], bool],
        link: link_load.LinkLoad,
        count_servers: Callable[[], int],
        broadcast: Callable[[wire.Message], None],
        body_budget: http_client.BodyBudget | None = None,
        node_id: str = "",
    ) -> None:
        """Creates an upstream that serves nothing before its first heartbeat.

        Args:
            address: Where the server listens.
            events: The event log.
            now_ms: A clock in milliseconds that also advances while the
                instance is suspended.
            is_held: Tells whether the server holds a key now.
            is_owned: Tells whether a key is assigned to the server, also if it
                does not hold it yet.
            link: Load of the instance's link by responses.
            count_servers: Counts the servers of the server's service.
            broadcast: Sends a message to all nodes.
            body_budget: Limits the incomplete bodies of the process.
            node_id: This node, which reports the server's crashes.
        """
        self._loop = asyncio.get_running_loop()
        self._events = events
        self._now_ms = now_ms
        self._is_held = is_held
        self._is_owned = is_owned
        self._pool = http_client.Pool(
            ip=address.ip,
            port=address.port,
            max_idle_s=MAX_IDLE_S,
            body_budget=body_budget,
        )
        self._wait_queue = waiting.WaitQueue(
            slot_count=1, is_ready=self._is_ready
        )
        self._link_load = link
        self._breaker = circuit_breaker.CircuitBreaker()
        self._called_routes = calls.CalledRoutes()
        self._traffic = traffic.KeyTraffic()
        self._jobs: dict[int, jobs.Job] = {}
        self._next_number = 0
        self._check_timer: asyncio.TimerHandle | None = None
        self._last_response_at_ms = 0
        self._closed_reason = wire.Reason.LEAVING
        self._is_starting = False
        self._must_start_again = False
        self.statements = server_statements.ServerStatements(
            limit=self._wait_queue.rate_limit, events=events, now_ms=now_ms
        )
        self.health_check = health_check.HealthCheck(pool=self._pool)
        self.warmth = warmth_probe.WarmthProbe(
            limit=self._wait_queue.rate_limit,
            check=self.health_check,
            events=events,
            now_ms=now_ms,
            is_wanted=lambda: self.is_serving,
        )
        self.warmth.on_change = self.start_waiting
        self.nested_calls = nested_calls.NestedCalls()
        self.server_id = ""
        self._is_serving = False
        self.crashes = crashes.CrashDetector(
            node_id=node_id,
            pool=self._pool,
            events=events,
            now_ms=now_ms,
            count_servers=count_servers,
            broadcast=broadcast,
            on_blocked=self._refuse_blocked,
        )

    @property
    def link_load(self) -> link_load.LinkLoad:
        """Load of the instance's link by responses."""
        return self._link_load

    @property
    def wait_queue(self) -> waiting.WaitQueue:
        """The slots and the queue."""
        return self._wait_queue

    @property
    def is_serving(self) -> bool:
        """Whether the server gets requests."""
        return self._is_serving

    def set_serving(self, is_serving: bool, *, cause: str) -> None:
        """Sets whether the server gets requests, and logs a change.

        Args:
            is_serving: Whether it does.
            cause: What has decided that, for the event log.
        """
        if is_serving == self._is_serving:
            return
        self._is_serving = is_serving
        self._events.emit(
            catalog.Event.SERVER_SERVING_CHANGED,
            server=self.statements.server,
            is_serving=is_serving,
            cause=cause,
        )

    def find_rates(self) -> dict[int, float]:
        """Returns the requests per second by key, of the keys it owns."""
        return self._traffic.find_rates(self._now_ms())

    def set_owned(self, spans: Iterable[tuple[int, int]]) -> None:
        """Sets the ranges of keys that the server owns, in ascending order."""
        self._traffic.set_owned(spans, self._now_ms())

    def find_capacity_per_s(self) -> float:
        """Estimates how many requests per second the server can run."""
        wait_queue = self._wait_queue
        capacity_per_s = min(
            wait_queue.slot_count * 1_000 / wait_queue.times.overall_ms,
            self._link_load.find_capacity_per_s(),
        )
        if wait_queue.rate_limit.in_force_per_s is None:
            return capacity_per_s
        limit_per_s = wait_queue.rate_limit.find_rate_per_s(self._now_ms())
        return min(capacity_per_s, limit_per_s or capacity_per_s)

    def set_server(
        self, server_id: str, slot_count: int, *, born_ms: int
    ) -> None:
        """Sets the server's id, slots and start, as its heartbeat states them.

        Args:
            server_id: The id; a server may start again under the same one.
            slot_count: Number of requests that it runs concurrently.
            born_ms: Unix time of its start in milliseconds.
        """
        if server_id != self.server_id:
            self._pool.close_idle()
        self.server_id = server_id
        process = f"{server_id}@{born_ms}"
        is_new = process != self.statements.server
        if is_new:
            self._breaker.record_success()
        self.crashes.set_server(process)
        self.statements.set_server(process)
        self.warmth.set_server(server_id, is_new=is_new)
        self._wait_queue.slot_count = slot_count

    def find_left_ms(self) -> int:
        """Returns how long the last running request may still run."""
        now_ms = self._now_ms()
        deadlines = [
            job.ticket.deadline_at_ms
            for job in self._jobs.values()
            if job.is_sent
        ]
        return max(0, max(deadlines, default=now_ms) - now_ms)

    def submit(
        self,
        work: wire.Work,
        reply: Callable[[wire.Outcome], None],
        request_body: Callable[[], None] | None = None,
    ) -> jobs.Job | None:
        """Starts, queues or refuses a request.

        Args:
            work: The request.
            reply: Called once with its outcome, possibly before this returns.
            request_body: Called if the request is accepted and its body is
                withheld; `provide_body` is to follow.

        Returns:
            The job, which can be cancelled, or None if it has ended already.
        """
        now_ms = self._now_ms()
        obstacle = self._find_obstacle(work, now_ms)
        if obstacle is not None:
            reply(outcomes.make_refusal(work, obstacle))
            return None
        if work.key != wire.NO_KEY and not work.is_return:
            self._traffic.add(work.key, now_ms)
        self._next_number += 1
        ticket = waiting.Ticket(
            number=self._next_number,
            route=work.route,
            priority=work.priority,
            is_call=self._called_routes.record(work.route, work.is_call),
            target_at_ms=now_ms + work.target_ms,
            deadline_at_ms=now_ms + work.deadline_ms,
            may_wait=work.may_wait,
            key=None if work.key == wire.NO_KEY else work.key,
            transfer_wait_ms=self._link_load.find_wait_ms(
                work.route, self._wait_queue.times.find_ms(work.route)
            ),
        )
        job = jobs.Job(
            work=work,
            reply=reply,
            ticket=ticket,
            submitted_at_ms=now_ms,
            is_body_missing=work.withheld_bytes > 0,
        )
        match self._wait_queue.offer(ticket, now_ms):
            case waiting.Start():
                self._jobs[ticket.number] = job
                self._run(job)
            case waiting.Queued(wait_ms=wait_ms):
                job.expected_wait_ms = wait_ms
                self._jobs[ticket.number] = job
                self._schedule_check()
            case waiting.Busy(wait_ms=wait_ms):
                reply(outcomes.make_refusal(work, wire.Reason.BUSY, wait_ms))
                return None
            case waiting.Refuse(retry_after_ms=after_ms, wait_ms=wait_ms):
                job.expected_wait_ms = wait_ms
                self._log_not_admitted(job, wire.Reason.OVERLOADED)
                reply(
                    outcomes.make_refusal(
                        work, wire.Reason.OVERLOADED, after_ms
                    )
                )
                return None
        if job.is_body_missing and request_body is not None:
            request_body()
        return job

    def _find_obstacle(
        self, work: wire.Work, now_ms: int
    ) -> wire.Reason | None:
        """Returns why a request can't run here whatever the load."""
        if not self.is_serving or not self.server_id:
            return self._closed_reason
        if self.crashes.is_blocked(work):
            return wire.Reason.POISON
        if not self._is_owned_here(work):
            return wire.Reason.NOT_OWNER
        if not self._may_try(work, now_ms):
            return wire.Reason.SERVER_GONE
        return None

    def provide_body(self, job: jobs.Job, body: bytes) -> None:
        """Completes a request whose body was withheld."""
        if job.is_ended or not job.is_body_missing:
            return
        job.work.body = body
        job.is_body_missing = False
        if job.started_at_ms is None:
            return
        if job.timer is not None:
            job.timer.cancel()
        if not self.is_serving:
            self._finish(
                job, outcomes.make_refusal(job.work, self._closed_reason)
            )
            return
        self._connect(job)

    def cancel(self, job: jobs.Job) -> None:
        """Cancels a request whose caller no longer waits, without a reply."""
        if job.is_ended:
            return
        job.is_ended = True
        now_ms = self._now_ms()
        self._events.emit(
            catalog.Event.SEND_CANCELLED,
            request_id=job.work.request_id,
            stage="waiting" if job.started_at_ms is None else "running",
            queued_ms=job.find_queued_ms(now_ms),
            ran_ms=job.find_ran_ms(now_ms),
        )
        if self._wait_queue.withdraw(job.ticket.number) is None:
            self._stop_running(job)
        self._jobs.pop(job.ticket.number, None)

    def start_waiting(self) -> None:
        """Starts waiting requests in free slots and refuses expired ones."""
        # A request that ends at once frees its slot within this call; hundreds
        # of them would nest too deeply.
        self._must_start_again = True
        if self._is_starting:
            return
        self._is_starting = True
        try:
            while self._must_start_again:
                self._must_start_again = False
                self._start_next()
        finally:
            self._is_starting = False

    def _start_next(self) -> None:
        ticket, expired = self._wait_queue.take_next(self._now_ms())
        for expired_ticket in expired:
            self._refuse_job(expired_ticket.number, wire.Reason.TOO_LATE)
        if ticket is not None:
            self._must_start_again = True
            self._run(self._jobs[ticket.number])

    def refuse_unowned(self) -> None:
        """Refuses the waiting requests whose keys have another owner."""
        self._refuse_matching(
            wire.Reason.NOT_OWNER, lambda job: not self._is_owned_here(job.work)
        )

    def _refuse_blocked(self) -> None:
        """Refuses the waiting requests that are known to crash servers."""
        self._refuse_matching(
            wire.Reason.POISON, lambda job: self.crashes.is_blocked(job.work)
        )

    def refuse_all(self, reason: wire.Reason) -> None:
        """Accepts no more requests, and refuses those that wait."""
        self.set_serving(False, cause=reason.name.lower())
        self._closed_reason = reason
        self._refuse_matching(reason, lambda job: True)

    def is_stuck(self) -> bool:
        """Returns whether requests run without a response for `STUCK_MS`."""
        if not any(job.is_sent for job in self._jobs.values()):
            return False
        return self._now_ms() - self._last_response_at_ms > STUCK_MS

    def stop_serving(
        self, reason: wire.Reason, kept_origins: frozenset[str] = frozenset()
    ) -> None:
        """Stops using a server that seems to be gone.

        Running requests that may be repeated end, so that they can run
        elsewhere.

        Args:
            reason: Why requests are refused.
            kept_origins: Processes whose running requests don't end, as the
                server's silence doesn't prove that it has ended.
        """
        self.refuse_all(reason)
        for job in list(self._jobs.values()):
            is_kept = job.work.is_once or job.work.origin in kept_origins
            if job.is_sent and not is_kept:
                self._log_unusable(job, "server silent")
                self._stop_running(job)
                self._finish(job, outcomes.make_doubtful(job.work))

    def close(self) -> None:
        """Closes all connections."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        self.warmth.close()
        self._pool.close()

    def _may_try(self, work: wire.Work, now_ms: int) -> bool:
        """Returns whether a request goes to the server although it may fail.

        No other server may run requests for its keys.
        """
        return work.key != wire.NO_KEY or self._breaker.try_acquire(
            now_ms, is_once=work.is_once
        )

    def _record_health(self, job: jobs.Job, outcome: wire.Outcome) -> None:
        """Counts good responses, and those that broke off."""
        was_open = self._breaker.is_open
        if outcome.verdict == wire.Verdict.RAN:
            self._breaker.record_success()
        elif outcome.reason == wire.Reason.BROKEN:
            now_ms = self._now_ms()
            self._breaker.record_failure(job.started_at_ms or now_ms, now_ms)
        if self._breaker.is_open != was_open:
            self._events.emit(
                catalog.Event.SERVER_FAILING, is_failing=self._breaker.is_open
            )

    def _is_owned_here(self, work: wire.Work) -> bool:
        return work.key == wire.NO_KEY or self._is_owned(work.key)

    def _is_ready(self, ticket: waiting.Ticket) -> bool:
        return ticket.key is None or self._is_held(ticket.key)

    def _refuse_matching(
        self, reason: wire.Reason, predicate: Callable[[jobs.Job], bool]
    ) -> None:
        for ticket in self._wait_queue.list_waiting():
            if predicate(self._jobs[ticket.number]):
                self._wait_queue.withdraw(ticket.number)
                self._refuse_job(ticket.number, reason)

    def _schedule_check(self) -> None:
        """Schedules the next check of the queue while requests wait."""
        if self._check_timer is not None:
            return
        limit = self._wait_queue.rate_limit
        limit_wait_s = limit.find_wait_ms(0, self._now_ms()) / 1_000
        delay_s = CHECK_INTERVAL_S
        if limit_wait_s > 0:
            delay_s = min(CHECK_INTERVAL_S, limit_wait_s + MIN_CHECK_DELAY_S)
        self._check_timer = self._loop.call_later(delay_s, self._check_waiting)

    def _check_waiting(self) -> None:
        self._check_timer = None
        self.start_waiting()
        if self._wait_queue.waiting_count:
            self._schedule_check()

    def _refuse_job(self, number: int, reason: wire.Reason) -> None:
        job = self._jobs.pop(number, None)
        if job is None or job.is_ended:
            return
        job.is_ended = True
        self._log_not_admitted(job, reason)
        retry_after_ms = self._wait_queue.find_retry_after_ms(
            EXPIRED_RETRY_MS, self._now_ms()
        )
        self._reply(
            job, outcomes.make_refusal(job.work, reason, retry_after_ms)
        )

    def _log_not_admitted(self, job: jobs.Job, reason: wire.Reason) -> None:
        now_ms = self._now_ms()
        queue = self._wait_queue
        self.statements.count_refusal()
        self._events.emit(
            catalog.Event.REQUEST_NOT_ADMITTED,
            request_id=job.work.request_id,
            route=job.work.route,
            reason=reason.name.lower(),
            is_call=job.ticket.is_call,
            expected_wait_ms=job.expected_wait_ms,
            queued_ms=job.find_queued_ms(now_ms),
            running_count=queue.running_count,
            call_count=queue.call_count,
            reserved_count=queue.count_reserved(now_ms),
            waiting_count=queue.waiting_count,
            limit_per_s=queue.rate_limit.limit_per_s,
        )

    def _reply(self, job: jobs.Job, outcome: wire.Outcome) -> None:
        now_ms = self._now_ms()
        outcome.queued_ms = job.find_queued_ms(now_ms)
        outcome.ran_ms = job.find_ran_ms(now_ms)
        outcome.statement = self.statements.make_statement()
        job.reply(outcome)

    def _run(self, job: jobs.Job) -> None:
        job.started_at_ms = self._now_ms()
        self.warmth.record_send()
        self._link_load.start(job.ticket.number, job.work.route)
        if job.is_body_missing:
            remaining_ms = job.ticket.deadline_at_ms - self._now_ms()
            job.timer = self._loop.call_later(
                max(0, remaining_ms) / 1_000, self._expire_without_body, job
            )
            return
        self._connect(job)

    def _expire_without_body(self, job: jobs.Job) -> None:
        if not job.is_ended:
            self._finish(
                job, outcomes.make_refusal(job.work, wire.Reason.TOO_LATE)
            )

    def _connect(self, job: jobs.Job) -> None:
        max_idle_s = MAX_IDLE_ONCE_S if job.work.is_once else None
        connection = self._pool.acquire(max_idle_s, job.work.request_id)
        if connection is not None:
            self._send(job, connection)
            return
        tasks.start(
            self._connect_and_send(job), name="send", events=self._events
        )

    async def _connect_and_send(self, job: jobs.Job) -> None:
        connection = await self._pool.open()
        if job.is_ended:
            if connection is not None:
                self._pool.release(connection)
            return
        if connection is None:
            self.warmth.doubt()
            self._finish(
                job, outcomes.make_refusal(job.work, wire.Reason.SERVER_GONE)
            )
            return
        if job.find_ran_ms(self._now_ms()) > SLOW_CONNECT_MS:
            # Requests that have waited for the server would reach it together.
            self.warmth.hold()
        self._send(job, connection)

    def _send(self, job: jobs.Job, connection: http_client.Connection) -> None:
        work = job.work
        remaining_ms = job.ticket.deadline_at_ms - self._now_ms()
        if remaining_ms <= 0:
            self._pool.release(connection)
            self._finish(job, outcomes.make_refusal(work, wire.Reason.TOO_LATE))
            return
        if not self.is_serving:
            # The server has announced its exit while it was connected to.
            self._pool.release(connection)
            self._finish(job, outcomes.make_refusal(work, self._closed_reason))
            return
        if not self._is_ready(job.ticket):
            self._pool.release(connection)
            self._finish(
                job, outcomes.make_refusal(work, wire.Reason.NOT_OWNER)
            )
            return
        if self.crashes.is_blocked(work):
            self._pool.release(connection)
            self._finish(job, outcomes.make_refusal(work, wire.Reason.POISON))
            return
        if self.crashes.must_run_alone(work):
            self._pool.release(connection)
            outcome = outcomes.make_refusal(
                work, wire.Reason.OVERLOADED, EXPIRED_RETRY_MS
            )
            self._finish(job, outcome)
            return
        fields = headers.encode_server_fields(
            deadline_ms=remaining_ms,
            server_id=self.server_id,
            body_bytes=len(work.body),
            has_body=bool(work.body) or work.method in _BODY_METHODS,
        )
        data = b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (
            work.method,
            work.target,
            work.head,
            fields,
            work.body,
        )
        job.connection = connection
        job.is_sent = True
        if not job.ticket.is_call:
            self.nested_calls.record_run()
        job.server = self.statements.server
        self.crashes.begin(job.ticket.number, work)
        job.timer = self._loop.call_later(
            (remaining_ms + LATE_RESPONSE_MS) / 1_000, self._expire, job
        )
        expected_id = work.request_id.encode("latin-1")

        def match(fields: list[tuple[bytes, bytes]]) -> http_client.Match:
            return outcomes.match_response(fields, expected_id)

        connection.send(
            data,
            work.method,
            match,
            lambda result: self._handle_result(job, result),
            work.request_id,
        )

    def _expire(self, job: jobs.Job) -> None:
        if job.is_ended:
            return
        self._stop_running(job)
        self._finish(
            job, outcomes.make_doubtful(job.work, wire.Reason.TOO_LATE)
        )

    def _stop_running(self, job: jobs.Job) -> None:
        self.crashes.end(job.ticket.number)
        if job.timer is not None:
            job.timer.cancel()
        if job.connection is not None:
            job.connection.cancel()
        self._loop.call_later(
            CANCEL_SETTLE_MS / 1_000, self._release_slot, job.ticket.number
        )

    def _release_slot(self, number: int) -> None:
        self._wait_queue.finish(number, self._now_ms(), is_complete=False)
        self._link_load.finish(number, None)
        self.start_waiting()

    def _handle_result(self, job: jobs.Job, result: http_client.Result) -> None:
        if job.is_ended:
            return
        match result:
            case http_client.Response():
                self._last_response_at_ms = self._now_ms()
                head = headers.read_response(result.fields)
                self._apply_idle_timeout(head)
                self.statements.record_response(job.server, head)
                outcome = self._classify(job, result, head)
            case http_client.NoResponse(failure=failure):
                self._log_unusable(job, failure.value)
                outcome = outcomes.make_doubtful(job.work)
                if failure is http_client.Failure.CLOSED:
                    self.warmth.doubt()
                    self.crashes.record_reset(
                        job.ticket.number,
                        lambda: self._finish_checked(job, outcome),
                    )
                    return
        self._finish(job, outcome)

    def _finish_checked(self, job: jobs.Job, outcome: wire.Outcome) -> None:
        """Ends a request after the check whether the server has crashed."""
        if not job.is_ended:
            self._finish(job, outcome)

    def _classify(
        self,
        job: jobs.Job,
        response: http_client.Response,
        head: headers.ResponseHead,
    ) -> wire.Outcome:
        if head.request_id and outcomes.is_refused(response, head):
            self._events.emit(
                catalog.Event.SERVER_REFUSED,
                request_id=job.work.request_id,
                status=response.status,
            )
            self.crashes.record_refusal(job.ticket.number)
            return outcomes.make_server_refusal(job.work, response)
        self.crashes.record_response(job.ticket.number)
        cause = outcomes.find_defect(response, head)
        if cause:
            self._log_unusable(job, cause)
            return outcomes.make_doubtful(job.work)
        return outcomes.make_success(job.work, response)

    def _apply_idle_timeout(self, head: headers.ResponseHead) -> None:
        if head.idle_timeout_s is not None:
            idle_s = head.idle_timeout_s - IDLE_MARGIN_S
            self._pool.max_idle_s = max(MIN_IDLE_S, idle_s)

    def _log_unusable(self, job: jobs.Job, cause: str) -> None:
        self._events.emit(
            catalog.Event.SERVER_ANSWER_UNUSABLE,
            request_id=job.work.request_id,
            cause=cause,
            is_sent=job.is_sent,
        )

    def _finish(self, job: jobs.Job, outcome: wire.Outcome) -> None:
        job.is_ended = True
        self.crashes.end(job.ticket.number)
        if job.timer is not None:
            job.timer.cancel()
        self._jobs.pop(job.ticket.number, None)
        self._record_health(job, outcome)
        is_complete = outcome.verdict == wire.Verdict.RAN
        self._link_load.finish(
            job.ticket.number, len(outcome.body) if is_complete else None
        )
        self._wait_queue.finish(
            job.ticket.number, self._now_ms(), is_complete=is_complete
        )
        self._reply(job, outcome)
        self.start_waiting()
