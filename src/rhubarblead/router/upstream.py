"""Runs requests at the server beside this node, within its slots."""

import asyncio
from collections.abc import Callable
import dataclasses

from rhubarblead.events import catalog
from rhubarblead.keyspace import demand
from rhubarblead.platform import headers
from rhubarblead.platform import settings
from rhubarblead.requests import waiting
from rhubarblead.router import crashes
from rhubarblead.router import http_client
from rhubarblead.router import journal
from rhubarblead.router import tasks
from rhubarblead.router import wire

MAX_IDLE_S = 4.0
"""Connections are kept so long where the server names no time."""

MAX_IDLE_ONCE_S = 1.0
"""For requests that may run once: the server may be closing an older one."""

MIN_IDLE_S = 0.2
"""Where the server names a very short time; calls follow each other sooner."""

IDLE_MARGIN_S = 1.5
"""Before the time at which the server closes an idle connection."""

LATE_ANSWER_MS = 150
"""Beyond the deadline; the server itself answers at the deadline."""

STUCK_MS = 900
"""Without any answer while requests run; most runs take less than 0.5 s."""

EXPIRED_RETRY_MS = 300
"""For the callers of requests that waited in vain; about one run."""

SETTLE_MS = 30
"""A cancelled request frees its slot so much later."""

_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One request at this node, waiting or running."""

    work: wire.Work
    reply: Callable[[wire.Outcome], None]
    ticket: waiting.Ticket
    connection: http_client.Connection | None = None
    timer: asyncio.TimerHandle | None = None
    is_ended: bool = False
    is_sent: bool = False


class Upstream:
    """The server beside this node, with its queue and connections."""

    __slots__ = (
        "_answered_at_ms",
        "_closed_reason",
        "_demand",
        "_is_held",
        "_is_owned",
        "_jobs",
        "_journal",
        "_loop",
        "_next_number",
        "_now_ms",
        "_pool",
        "_room",
        "_wake",
        "crashes",
        "is_serving",
        "server_id",
    )

    def __init__(
        self,
        *,
        address: settings.Address,
        events: journal.Journal,
        now_ms: Callable[[], int],
        is_held: Callable[[int], bool],
        is_owned: Callable[[int], bool],
        broadcast: Callable[[wire.Message], None],
    ) -> None:
        """Makes an upstream of which nothing is known yet.

        Args:
            address: Where the server listens.
            events: The journal.
            now_ms: A clock that goes on while the instance is suspended.
            is_held: Tells whether the server holds a key now.
            is_owned: Tells whether it is to hold a key, now or soon.
            broadcast: Sends a message to all nodes.
        """
        self._loop = asyncio.get_running_loop()
        self._journal = events
        self._now_ms = now_ms
        self._is_held = is_held
        self._is_owned = is_owned
        self._pool = http_client.Pool(
            ip=address.ip, port=address.port, max_idle_s=MAX_IDLE_S
        )
        self._room = waiting.WaitingRoom(slot_count=1, is_ready=self._is_ready)
        self._demand = demand.Demand()
        self._jobs: dict[int, Job] = {}
        self._next_number = 0
        self._wake: asyncio.TimerHandle | None = None
        self._answered_at_ms = 0
        self._closed_reason = wire.Reason.LEAVING
        self.server_id = ""
        self.is_serving = False
        self.crashes = crashes.CrashWatch(
            pool=self._pool,
            events=events,
            now_ms=now_ms,
            broadcast=broadcast,
        )

    @property
    def room(self) -> waiting.WaitingRoom:
        """Slots and queue."""
        return self._room

    def find_rates(self) -> dict[int, float]:
        """Finds the requests a second of each key."""
        return self._demand.find_rates(self._now_ms())

    def find_capacity_per_s(self) -> float:
        """Finds how many requests a second the server can run."""
        return self._room.slot_count * 1_000 / self._room.times.overall_ms

    def set_server(self, server_id: str, slot_count: int) -> None:
        """Takes the server's name and slots from its heartbeat."""
        if server_id != self.server_id:
            self._pool.close_idle()
        self.server_id = server_id
        self._room.slot_count = slot_count

    def submit(
        self, work: wire.Work, reply: Callable[[wire.Outcome], None]
    ) -> Job | None:
        """Takes a request.

        Args:
            work: The request.
            reply: Called once with its outcome, maybe before the return.

        Returns:
            The job to cancel, or None when it is over already.
        """
        if not self.is_serving or not self.server_id:
            reply(self._refuse(work, self._closed_reason))
            return None
        if self.crashes.is_condemned(work):
            reply(self._refuse(work, wire.Reason.POISON))
            return None
        if not self._is_ours(work):
            reply(self._refuse(work, wire.Reason.NOT_OWNER))
            return None
        now_ms = self._now_ms()
        if work.key != wire.NO_KEY:
            self._demand.add(work.key, now_ms)
        self._next_number += 1
        ticket = waiting.Ticket(
            number=self._next_number,
            route=work.route,
            priority=work.priority,
            is_call=work.is_call,
            target_at_ms=now_ms + work.target_ms,
            deadline_at_ms=now_ms + work.deadline_ms,
            may_wait=work.may_wait,
            key=None if work.key == wire.NO_KEY else work.key,
        )
        job = Job(work=work, reply=reply, ticket=ticket)
        match self._room.offer(ticket, now_ms):
            case waiting.Start():
                self._jobs[ticket.number] = job
                self._run(job)
            case waiting.Queued():
                self._jobs[ticket.number] = job
                self._schedule()
            case waiting.Busy(wait_ms=wait_ms):
                reply(self._refuse(work, wire.Reason.BUSY, wait_ms))
                return None
            case waiting.TurnAway(retry_after_ms=after_ms):
                reply(self._refuse(work, wire.Reason.OVERLOADED, after_ms))
                return None
        return job

    def cancel(self, job: Job) -> None:
        """Drops a request whose caller no longer waits, without a reply."""
        if job.is_ended:
            return
        job.is_ended = True
        if self._room.withdraw(job.ticket.number) is None:
            self._stop_running(job)
        self._jobs.pop(job.ticket.number, None)

    def pump(self) -> None:
        """Starts what can run, and turns away what no longer can."""
        while True:
            ticket, expired = self._room.take_next(self._now_ms())
            for late in expired:
                self._refuse_waiting(late.number, wire.Reason.TOO_LATE)
            if ticket is None:
                return
            self._run(self._jobs[ticket.number])

    def turn_away_foreign(self) -> None:
        """Sends back the waiting requests whose keys have another owner."""
        self._turn_away(
            wire.Reason.NOT_OWNER, lambda job: not self._is_ours(job.work)
        )

    def turn_away_all(self, reason: wire.Reason) -> None:
        """Takes no more requests, and refuses those that wait."""
        self.is_serving = False
        self._closed_reason = reason
        self._turn_away(reason, lambda job: True)

    def is_stuck(self) -> bool:
        """Tells whether requests run, and none was answered for a while."""
        if not any(job.is_sent for job in self._jobs.values()):
            return False
        return self._now_ms() - self._answered_at_ms > STUCK_MS

    def stop_serving(self, reason: wire.Reason) -> None:
        """Gives up a server that is gone, and what may run elsewhere."""
        self.turn_away_all(reason)
        for job in list(self._jobs.values()):
            if job.is_sent and not job.work.is_once:
                self._report_unusable(job, "silent server")
                self._stop_running(job)
                self._end(job, self._make_broken(job))

    def close(self) -> None:
        """Closes all connections."""
        if self._wake is not None:
            self._wake.cancel()
        self._pool.close()

    def _is_ours(self, work: wire.Work) -> bool:
        return work.key == wire.NO_KEY or self._is_owned(work.key)

    def _is_ready(self, ticket: waiting.Ticket) -> bool:
        return ticket.key is None or self._is_held(ticket.key)

    def _turn_away(
        self, reason: wire.Reason, is_meant: Callable[[Job], bool]
    ) -> None:
        for ticket in self._room.list_waiting():
            if is_meant(self._jobs[ticket.number]):
                self._room.withdraw(ticket.number)
                self._refuse_waiting(ticket.number, reason)

    def _schedule(self) -> None:
        """Looks again soon while anything waits."""
        if self._wake is None:
            self._wake = self._loop.call_later(0.05, self._look_again)

    def _look_again(self) -> None:
        self._wake = None
        self.pump()
        if self._room.waiting_count:
            self._schedule()

    def _refuse(
        self, work: wire.Work, reason: wire.Reason, wait_ms: int = 0
    ) -> wire.Outcome:
        return wire.Outcome(
            number=work.number,
            verdict=wire.Verdict.NOT_RUN,
            reason=reason,
            wait_ms=wait_ms,
        )

    def _refuse_waiting(self, number: int, reason: wire.Reason) -> None:
        job = self._jobs.pop(number, None)
        if job is None or job.is_ended:
            return
        job.is_ended = True
        job.reply(self._refuse(job.work, reason, EXPIRED_RETRY_MS))

    def _run(self, job: Job) -> None:
        max_idle_s = MAX_IDLE_ONCE_S if job.work.is_once else None
        connection = self._pool.take(max_idle_s)
        if connection is not None:
            self._send(job, connection)
            return
        tasks.start(self._open_and_send(job), name="send", events=self._journal)

    async def _open_and_send(self, job: Job) -> None:
        connection = await self._pool.open()
        if job.is_ended:
            if connection is not None:
                self._pool.give_back(connection)
            return
        if connection is None:
            self._end(job, self._refuse(job.work, wire.Reason.SERVER_GONE))
            return
        self._send(job, connection)

    def _send(self, job: Job, connection: http_client.Connection) -> None:
        work = job.work
        remaining_ms = job.ticket.deadline_at_ms - self._now_ms()
        if remaining_ms <= 0:
            self._pool.give_back(connection)
            self._end(job, self._refuse(work, wire.Reason.TOO_LATE))
            return
        if not self._is_ready(job.ticket):
            self._pool.give_back(connection)
            self._end(job, self._refuse(work, wire.Reason.NOT_OWNER))
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
        job.timer = self._loop.call_later(
            (remaining_ms + LATE_ANSWER_MS) / 1_000, self._give_up, job
        )
        own_id = work.request_id.encode("latin-1")

        def is_own(answer_fields: list[tuple[bytes, bytes]]) -> bool:
            return dict(answer_fields).get(headers.REQUEST_ID, own_id) == own_id

        connection.send(
            data, work.method, is_own, lambda result: self._take(job, result)
        )

    def _give_up(self, job: Job) -> None:
        if job.is_ended:
            return
        self._stop_running(job)
        self._end(
            job,
            wire.Outcome(
                number=job.work.number,
                verdict=wire.Verdict.MAY_HAVE_RUN,
                reason=wire.Reason.TOO_LATE,
                has_arrived=True,
            ),
        )

    def _stop_running(self, job: Job) -> None:
        if job.timer is not None:
            job.timer.cancel()
        if job.connection is not None:
            job.connection.cancel()
        self._loop.call_later(SETTLE_MS / 1_000, self._free, job.ticket.number)

    def _free(self, number: int) -> None:
        self._room.finish(number, self._now_ms(), is_whole=False)
        self.pump()

    def _take(self, job: Job, result: http_client.Result) -> None:
        if job.is_ended:
            return
        match result:
            case http_client.Received():
                self._answered_at_ms = self._now_ms()
                head = headers.read_answer(result.fields)
                self._note_idle_timeout(head)
                outcome = self._judge(job, result, head)
            case http_client.Broken(failure=failure):
                self._report_unusable(job, failure.value)
                outcome = self._make_broken(job)
                if failure is http_client.Failure.CLOSED:
                    self.crashes.take_reset(job.work)
        self._end(job, outcome)

    def _judge(
        self,
        job: Job,
        received: http_client.Received,
        head: headers.AnswerHead,
    ) -> wire.Outcome:
        work = job.work
        if head.is_not_run or received.status == 421:
            self._journal.emit(
                catalog.Event.SERVER_REFUSED,
                request_id=work.request_id,
                status=received.status,
            )
            reason = wire.Reason.SHED
            if received.status == 421:
                reason = wire.Reason.NOT_OWNER
            outcome = self._refuse(work, reason)
            outcome.has_arrived = True
            return outcome
        self.crashes.take_answer(work)
        cause = _find_fault(received, head)
        if cause:
            self._report_unusable(job, cause)
            return self._make_broken(job)
        return wire.Outcome(
            number=work.number,
            verdict=wire.Verdict.RAN,
            has_arrived=True,
            status=received.status,
            phrase=received.reason,
            head=headers.encode_answer(received.fields),
            body=received.body,
        )

    def _note_idle_timeout(self, head: headers.AnswerHead) -> None:
        if head.idle_timeout_s is not None:
            idle_s = head.idle_timeout_s - IDLE_MARGIN_S
            self._pool.max_idle_s = max(MIN_IDLE_S, idle_s)

    def _make_broken(self, job: Job) -> wire.Outcome:
        return wire.Outcome(
            number=job.work.number,
            verdict=wire.Verdict.MAY_HAVE_RUN,
            reason=wire.Reason.BROKEN,
            has_arrived=True,
        )

    def _report_unusable(self, job: Job, cause: str) -> None:
        self._journal.emit(
            catalog.Event.SERVER_ANSWER_UNUSABLE,
            request_id=job.work.request_id,
            cause=cause,
            is_sent=job.is_sent,
        )

    def _end(self, job: Job, outcome: wire.Outcome) -> None:
        job.is_ended = True
        if job.timer is not None:
            job.timer.cancel()
        self._jobs.pop(job.ticket.number, None)
        is_whole = outcome.verdict == wire.Verdict.RAN
        self._room.finish(job.ticket.number, self._now_ms(), is_whole=is_whole)
        job.reply(outcome)
        self.pump()


def _find_fault(
    received: http_client.Received, head: headers.AnswerHead
) -> str:
    """Finds why an answer can't be passed on; empty when it can."""
    if not head.has_signature:
        return "no signature"
    if not head.request_id:
        return "no request id"
    if head.is_encoded:
        return "encoded body"
    if received.status in (408, 429, 503):
        # The status would promise that the request hasn't run.
        return f"status {received.status} without a statement"
    return ""
