"""The control task: messages, reads and writes around the decisions."""

from collections.abc import Callable
import contextlib
import secrets

import msgspec
import result
import zmq

from rhubarblead import clock
from rhubarblead import faults
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.leases import selection
from rhubarblead.node import jobs
from rhubarblead.node import view as views
from rhubarblead.node.ownership import agenda as agendas
from rhubarblead.node.ownership import change as changes
from rhubarblead.node.ownership import dissemination
from rhubarblead.node.ownership import items
from rhubarblead.node.ownership import journal as journals
from rhubarblead.node.ownership import observer as observers
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import reading
from rhubarblead.node.ownership import reports
from rhubarblead.node.ownership import store_jobs
from rhubarblead.node.ownership import tenure as tenures
from rhubarblead.node.ownership import writing
from rhubarblead.node.requests import traffic
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_versions
from rhubarblead.transport import links
from rhubarblead.transport import wakeup

_NEWS_INTERVAL_MS = 100
_BEHIND_PATIENCE_MS = 1_000
_LAPSE_INTERVAL_MS = 100
_IDENTITY_BYTES = 4


class Control:
    """Owns the control sockets, the journal and the agenda.

    `run` is the task; `post` may be called from any thread.
    """

    __slots__ = (
        "_agenda",
        "_behind_since_ms",
        "_board",
        "_events",
        "_inbox",
        "_jobs",
        "_journal",
        "_lapses_due_ms",
        "_links",
        "_loads",
        "_news",
        "_news_due_ms",
        "_node",
        "_observer",
        "_plans",
        "_reads",
        "_take_suspect",
        "_tick_due_ms",
        "_writes",
    )

    def __init__(
        self,
        *,
        node: settings.Settings,
        context: zmq.Context[zmq.Socket[bytes]],
        board: views.ViewBoard,
        agenda: agendas.Agenda,
        observer: observers.Observer,
        events: log.EventLog,
        shard_traffic: traffic.ShardTraffic,
        take_suspect: Callable[[messages.SuspectReport], None],
        plan_runner: jobs.JobRunner,
        make_jobs: Callable[
            [Callable[[store_jobs.StoreResult], None]], store_jobs.StoreJobs
        ],
    ) -> None:
        self._node = node
        self._board = board
        self._agenda = agenda
        self._observer = observer
        self._events = events
        self._inbox: wakeup.Inbox[items.Item] = wakeup.Inbox()
        self._links = links.Links(
            context=context,
            identity=f"{node.instance}.{secrets.token_hex(_IDENTITY_BYTES)}",
        )
        self._jobs = make_jobs(self._inbox.put)
        self._journal = journals.Journal()
        self._news = dissemination.Dissemination(
            control_links=self._links,
            journal=self._journal,
            platform=node.platform,
            events=events,
        )
        self._plans = planning.PlanJobs(
            runner=plan_runner, post=self._inbox.put
        )
        self._take_suspect = take_suspect
        self._loads = reports.LoadReports(shard_traffic=shard_traffic)
        self._reads = reading.ReadSchedule(platform=node.platform)
        self._writes = writing.WriteState()
        self._tick_due_ms = 0
        self._lapses_due_ms = 0
        self._news_due_ms = 0
        self._behind_since_ms = 0

    def post(self, item: items.Item) -> None:
        """Sends the task a message."""
        self._inbox.put(item)

    def listen(self) -> None:
        """Binds the control address, before `run`."""
        self._links.listen(
            links.Address(str(self._node.ip_address), self._node.control_port)
        )

    def run(self) -> None:
        """Runs the task until it is stopped."""
        self._inbox.register(self._links.poller)
        with contextlib.ExitStack() as stack:
            stack.callback(self._inbox.close)
            stack.enter_context(self._links)
            while self._step():
                pass

    def _step(self) -> bool:
        ready = dict(self._links.poller.poll(self._node.lease.tick_ms))
        incoming, answers = self._links.receive(ready)
        for received in incoming:
            self._take_frames(received.frames, received.sender)
        for _, frames in answers:
            self._take_frames(frames, None)
        for item in self._inbox.take_all():
            if isinstance(item, items.Stop):
                return False
            self._take_item(item)
        now_ms = clock.read_monotonic_ms()
        if now_ms >= self._tick_due_ms:
            self._tick_due_ms = now_ms + self._node.lease.tick_ms
            self._tick(now_ms)
        return True

    # Messages from other nodes.

    def _take_frames(self, frames: list[bytes], sender: bytes | None) -> None:
        try:
            message = messages.decode(frames[0])
        except (msgspec.DecodeError, IndexError):
            self._events.emit(catalog.Event.PEER_MESSAGE_REFUSED)
            return
        now_ms = clock.read_monotonic_ms()
        match message:
            case messages.Heartbeat() if sender is not None:
                self._answer_heartbeat(message, sender, now_ms)
            case messages.Promise():
                self._take_promise(message, now_ms)
            case messages.LapseNotice():
                if self._agenda.tenure is not None:
                    self._agenda.tenure.taker.take_lapse(
                        lapse=message, now_ms=now_ms
                    )
            case messages.StateUpdateRequest(revisions=revisions) if sender:
                self._answer_news_request(revisions, sender)
            case messages.StateUpdate():
                self._take_news(message, now_ms)
            case messages.SuspectReport():
                self._take_suspect(message)
            case messages.ShardLoads():
                self._loads.take(message, now_ms)

    def _answer_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: bytes, now_ms: int
    ) -> None:
        tenure = self._agenda.tenure
        if tenure is None:
            return
        promise = tenure.granter.take_heartbeat(
            heartbeat=heartbeat,
            now_ms=now_ms,
            revisions=self._make_revisions(),
        )
        self._links.reply(sender, [messages.encode(promise)])
        self._compare(heartbeat.member_id, heartbeat.revisions, now_ms)

    def _take_promise(self, promise: messages.Promise, now_ms: int) -> None:
        tenure = self._agenda.tenure
        if tenure is None:
            return
        tenure.take_promise(promise, now_ms)
        self._publish_lease(tenure)
        self._compare(promise.granter_id, promise.revisions, now_ms)

    def _compare(
        self, member_id: str, revisions: messages.Revisions, now_ms: int
    ) -> None:
        self._events.observe(revisions.lamport)
        self._reads.hear(now_ms)
        if not self._journal.is_behind(revisions):
            self._behind_since_ms = 0
            return
        if not self._behind_since_ms:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms >= _BEHIND_PATIENCE_MS:
            # Those that are asked may not have kept what is missing here.
            self._behind_since_ms = now_ms
            self._reads.want_ownership()
        if now_ms < self._news_due_ms:
            return
        self._news_due_ms = now_ms + _NEWS_INTERVAL_MS
        self._news.send(
            member_id,
            messages.StateUpdateRequest(revisions=self._make_revisions()),
        )

    def _make_revisions(self) -> messages.Revisions:
        return msgspec.structs.replace(
            self._journal.revisions, lamport=self._events.tick()
        )

    def _answer_news_request(
        self, revisions: messages.Revisions, sender: bytes
    ) -> None:
        news = self._journal.make_news(revisions)
        if news is not None:
            self._links.reply(sender, [messages.encode(news)])

    def _take_news(self, news: messages.StateUpdate, now_ms: int) -> None:
        self._events.observe(news.lamport)
        before = self._journal.state
        if not self._journal.take_entries(news.entries):
            self._reads.want_ownership()
        if news.tables_revision:
            self._take_tables(news.tables_revision, news.tables)
        self._follow(before, is_author=False, now_ms=now_ms)

    # Messages from tasks of this node.

    def _take_item(self, item: items.Item) -> None:
        now_ms = clock.read_monotonic_ms()
        match item:
            case items.UpstreamChanged():
                self._take_upstream(item)
            case items.SuspectFound(suspect=suspect):
                self._spread_suspect(suspect)
            case items.Drain():
                self._agenda.is_draining = True
                self._events.emit(catalog.Event.NODE_DRAINING)
            case planning.Planned():
                self._plans.end()
                self._agenda.take_plan(item)
            case store_jobs.OwnershipRead():
                self._take_ownership(item, now_ms)
            case store_jobs.TablesRead(outcome=outcome):
                self._reads.end_tables()
                self._take_tables_read(outcome)
            case store_jobs.Written():
                self._take_written(item, now_ms)

    def _take_ownership(
        self, item: store_jobs.OwnershipRead, now_ms: int
    ) -> None:
        self._reads.end_ownership(is_done=item.outcome.is_ok())
        self._observer.observe_store(is_reachable=item.outcome.is_ok())
        if isinstance(item.outcome, result.Err):
            return
        got = item.outcome.ok_value
        before = self._journal.state
        self._journal.take_state(got.state, got.entries)
        self._follow(before, is_author=False, now_ms=now_ms)
        if self._agenda.tenure is not None:
            self._agenda.tenure.confirm_by_store(
                state=got.state, read_sent_at_ms=item.sent_at_ms
            )

    def _take_tables_read(self, outcome: store_jobs.TablesOutcome) -> None:
        if isinstance(outcome, result.Err):
            return
        match outcome.ok_value:
            case table_versions.Reading() as got if got.revision:
                self._take_tables(got.revision, got.document)

    def _take_tables(self, revision: int, document: bytes) -> None:
        try:
            is_newer = self._journal.take_tables(
                revision=revision, document=document
            )
        except faults.CannotAccept as error:
            self._events.emit(
                catalog.Event.TABLES_REFUSED,
                tables_revision=revision,
                faults=str(error),
            )
            return
        if is_newer:
            self._events.emit(
                catalog.Event.TABLES_IN_FORCE, tables_revision=revision
            )
            self._publish()
            tenure = self._agenda.tenure
            if tenure is not None:
                self._news.push_tables(member_id=tenure.member_id)

    def _take_written(self, item: store_jobs.Written, now_ms: int) -> None:
        proposal = item.proposal
        match item.outcome:
            case result.Ok(ownership_log.Appended(entry=entry)):
                self._writes.end(now_ms, is_paused=False)
                before = self._journal.state
                if not self._journal.take_entries((entry,)):
                    self._reads.want_ownership()
                self._agenda.end(proposal, is_committed=True, now_ms=now_ms)
                self._observer.observe_commit(proposal, entry)
                self._follow(before, is_author=True, now_ms=now_ms)
            case result.Err(store.InDoubt()):
                self._events.emit(
                    catalog.Event.STORE_WRITE_IN_DOUBT,
                    write_id=proposal.write_id,
                )
                self._writes.mark_doubtful(now_ms)
            case result.Err(error):
                is_lost = isinstance(error, ownership_log.Lost)
                if is_lost:
                    self._observer.observe_conflict(proposal)
                self._writes.end(now_ms, is_paused=not is_lost)
                self._agenda.end(proposal, is_committed=False, now_ms=now_ms)
                self._reads.want_ownership()

    def _take_upstream(self, change: items.UpstreamChanged) -> None:
        self._agenda.is_fit = change.is_serving
        tenure = self._agenda.tenure
        if not change.is_silent or tenure is None:
            return
        void_at_ms = self._board.forfeit(tenure.member_id)
        self._agenda.forfeit(
            void_at_ms=void_at_ms if change.is_fenced else None
        )

    def _spread_suspect(self, suspect: messages.SuspectReport) -> None:
        tenure = self._agenda.tenure
        if tenure is not None:
            self._news.spread_suspect(suspect, member_id=tenure.member_id)

    # What follows from newer facts.

    def _follow(
        self, before: ownership.State, *, is_author: bool, now_ms: int
    ) -> None:
        state = self._journal.state
        if state.revision != before.revision:
            tenure = self._agenda.tenure
            author_id = tenure.member_id if tenure and is_author else ""
            self._agenda.follow(state=state, now_ms=now_ms)
            self._publish()
            entries = self._journal.list_entries(before.revision)
            tenure = self._agenda.tenure
            self._observer.observe_state(
                changes.StateChange(
                    before=before,
                    after=state,
                    entries=entries,
                    member_id=tenure.member_id if tenure else "",
                )
            )
            # A member that has just left still tells the others.
            self._news.push_entries(
                entries,
                member_id=tenure.member_id if tenure else author_id,
                is_author=bool(author_id),
            )

    def _publish(self) -> None:
        tenure = self._agenda.tenure
        state = self._journal.state
        self._board.publish(
            views.View(
                state=state,
                tables=self._journal.tables,
                tables_revision=self._journal.tables_revision,
                member=state.members.get(tenure.member_id) if tenure else None,
                tables_digest=self._journal.tables_digest,
                is_leaving=self._agenda.is_leaving(self._journal),
            )
        )

    def _publish_lease(self, tenure: tenures.Tenure) -> None:
        self._board.extend_lease(
            member_id=tenure.member_id,
            end_ms=tenure.holder.find_lease_end_ms(),
        )

    # The clock.

    def _tick(self, now_ms: int) -> None:
        tenure = self._agenda.tenure
        if tenure is not None:
            tenure.confirm_by_lease(now_ms)
            self._send_heartbeats(tenure, now_ms)
            self._send_lapses(tenure, now_ms)
            self._publish_lease(tenure)
            self._report_loads(tenure, now_ms)
        self._observer.observe_lease(tenure, now_ms)
        self._start_reads(now_ms)
        self._start_plan(now_ms)
        self._start_write(now_ms)

    def _send_heartbeats(self, tenure: tenures.Tenure, now_ms: int) -> None:
        due = tenure.holder.list_heartbeats(
            now_ms=now_ms, revisions=self._make_revisions()
        )
        for granter_id, heartbeat in due:
            self._news.send(granter_id, heartbeat)

    def _send_lapses(self, tenure: tenures.Tenure, now_ms: int) -> None:
        lapses = tenure.list_lapses(now_ms)
        is_due = now_ms >= self._lapses_due_ms
        if is_due:
            self._lapses_due_ms = now_ms + _LAPSE_INTERVAL_MS
        for lapse in self._observer.list_fresh_lapses(lapses, is_due=is_due):
            tenure.taker.take_lapse(lapse=lapse, now_ms=now_ms)
            self._news.send_lapse(lapse, member_id=tenure.member_id)

    def _start_reads(self, now_ms: int) -> None:
        tenure = self._agenda.tenure
        is_poller = tenure is None or self._is_poller(tenure)
        if self._reads.begin_ownership(now_ms=now_ms, is_poller=is_poller):
            self._jobs.read_ownership(self._journal.state)
        if self._reads.begin_tables(now_ms=now_ms, is_poller=is_poller):
            self._jobs.read_tables(self._journal.tables_revision)

    def _is_poller(self, tenure: tenures.Tenure) -> bool:
        if not tenure.holder.granters:
            return True
        pollers = selection.list_pollers(
            state=self._journal.state,
            failure_domain=self._node.failure_domain,
            count=self._node.platform.pollers_per_domain,
        )
        return tenure.member_id in pollers

    def _report_loads(self, tenure: tenures.Tenure, now_ms: int) -> None:
        due = self._loads.find_report(
            state=self._journal.state,
            member_id=tenure.member_id,
            now_ms=now_ms,
        )
        if due is None:
            return
        planner, report = due
        if planner == tenure.member_id:
            self._loads.take(report, now_ms)
        else:
            self._news.send(planner, report)

    def _start_plan(self, now_ms: int) -> None:
        state = self._journal.state
        tables = self._journal.tables
        for pool in self._agenda.list_duties(state):
            if not self._plans.is_due(
                pool=pool, state=state, tables=tables, now_ms=now_ms
            ):
                continue
            loads = self._loads.find_loads(
                pool=pool, state=state, now_ms=now_ms
            )
            self._plans.start(
                pool=pool,
                state=state,
                tables=tables,
                loads=loads,
                now_ms=now_ms,
            )

    def _start_write(self, now_ms: int) -> None:
        doubtful = self._writes.find_doubtful(now_ms)
        if doubtful is not None:
            self._jobs.resolve(doubtful)
            return
        if not self._writes.is_free(now_ms):
            return
        proposal = self._agenda.find_proposal(
            journal=self._journal, now_ms=now_ms
        )
        if proposal is None:
            return
        self._agenda.begin(proposal)
        self._writes.begin(proposal)
        self._jobs.write(proposal)
