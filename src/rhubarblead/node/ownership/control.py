"""The control task of a node.

It exchanges control messages with other nodes, reads and writes the stored
rows, and applies the resulting ownership state.
"""

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
from rhubarblead.node.ownership import dissemination
from rhubarblead.node.ownership import inbox_items
from rhubarblead.node.ownership import member_session as sessions
from rhubarblead.node.ownership import observer as observers
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import proposer as proposers
from rhubarblead.node.ownership import reading
from rhubarblead.node.ownership import reports
from rhubarblead.node.ownership import state_cache as state_caches
from rhubarblead.node.ownership import state_change as changes
from rhubarblead.node.ownership import store_jobs
from rhubarblead.node.ownership import writing
from rhubarblead.node.requests import traffic
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_versions
from rhubarblead.transport import links
from rhubarblead.transport import wakeup

_UPDATE_REQUEST_INTERVAL_MS = 100
_MAX_BEHIND_MS = 1_000
_LAPSE_INTERVAL_MS = 100
_IDENTITY_BYTES = 4


class Control:
    """Owns the control sockets, the state cache and the proposer.

    `run` is the task's loop; `post` may be called from any thread.
    """

    __slots__ = (
        "_behind_since_ms",
        "_shared_view",
        "_cache",
        "_disseminator",
        "_events",
        "_inbox",
        "_jobs",
        "_lapses_due_ms",
        "_links",
        "_load_reporter",
        "_update_request_due_ms",
        "_node",
        "_observer",
        "_plans",
        "_proposer",
        "_reads",
        "_record_remote_crash",
        "_tick_due_ms",
        "_writes",
    )

    def __init__(
        self,
        *,
        node: settings.Settings,
        context: zmq.Context[zmq.Socket[bytes]],
        shared_view: views.SharedView,
        proposer: proposers.Proposer,
        observer: observers.Observer,
        events: log.EventLog,
        shard_traffic: traffic.ShardTraffic,
        record_remote_crash: Callable[[messages.SuspectReport], None],
        plan_runner: jobs.JobRunner,
        make_jobs: Callable[
            [Callable[[store_jobs.StoreResult], None]], store_jobs.StoreJobs
        ],
    ) -> None:
        self._node = node
        self._shared_view = shared_view
        self._proposer = proposer
        self._observer = observer
        self._events = events
        self._inbox: wakeup.Inbox[inbox_items.InboxItem] = wakeup.Inbox()
        self._links = links.Links(
            context=context,
            identity=f"{node.instance}.{secrets.token_hex(_IDENTITY_BYTES)}",
        )
        self._jobs = make_jobs(self._inbox.put)
        self._cache = state_caches.StateCache()
        self._disseminator = dissemination.Disseminator(
            control_links=self._links,
            cache=self._cache,
            platform=node.platform,
            events=events,
        )
        self._plans = planning.PlanJobs(
            runner=plan_runner, post=self._inbox.put
        )
        self._record_remote_crash = record_remote_crash
        self._load_reporter = reports.LoadReporter(shard_traffic=shard_traffic)
        self._reads = reading.ReadSchedule(platform=node.platform)
        self._writes = writing.WriteState()
        self._tick_due_ms = 0
        self._lapses_due_ms = 0
        self._update_request_due_ms = 0
        self._behind_since_ms = 0

    def post(self, item: inbox_items.InboxItem) -> None:
        """Queues an item for the task."""
        self._inbox.put(item)

    def listen(self) -> None:
        """Binds the control address; to be called before `run`."""
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
        incoming, replies = self._links.receive(ready)
        for received in incoming:
            self._handle_frames(received.frames, received.sender)
        for _, frames in replies:
            self._handle_frames(frames, None)
        for item in self._inbox.take_all():
            if isinstance(item, inbox_items.Stop):
                return False
            self._handle_inbox_item(item)
        now_ms = clock.read_monotonic_ms()
        if now_ms >= self._tick_due_ms:
            self._tick_due_ms = now_ms + self._node.lease.tick_ms
            self._run_periodic(now_ms)
        return True

    # Messages from other nodes.

    def _handle_frames(self, frames: list[bytes], sender: bytes | None) -> None:
        try:
            message = messages.decode(frames[0])
        except (msgspec.DecodeError, IndexError):
            self._events.emit(catalog.Event.PEER_MESSAGE_REFUSED)
            return
        now_ms = clock.read_monotonic_ms()
        match message:
            case messages.Heartbeat() if sender is not None:
                self._handle_heartbeat(message, sender, now_ms)
            case messages.Promise():
                self._handle_promise(message, now_ms)
            case messages.LapseNotice():
                if self._proposer.session is not None:
                    self._proposer.session.evictor.record_lapse(
                        lapse=message, now_ms=now_ms
                    )
            case messages.StateUpdateRequest(revisions=revisions) if sender:
                self._handle_state_update_request(revisions, sender)
            case messages.StateUpdate():
                self._handle_state_update(message, now_ms)
            case messages.SuspectReport():
                self._record_remote_crash(message)
            case messages.ShardLoads():
                self._load_reporter.add_report(message, now_ms)

    def _handle_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: bytes, now_ms: int
    ) -> None:
        session = self._proposer.session
        if session is None:
            return
        promise = session.granter.handle_heartbeat(
            heartbeat=heartbeat,
            now_ms=now_ms,
            revisions=self._make_revisions(),
        )
        self._links.reply(sender, [messages.encode(promise)])
        self._compare_revisions(
            heartbeat.member_id, heartbeat.revisions, now_ms
        )

    def _handle_promise(self, promise: messages.Promise, now_ms: int) -> None:
        session = self._proposer.session
        if session is None:
            return
        session.record_promise(promise, now_ms)
        self._publish_lease(session)
        self._compare_revisions(promise.granter_id, promise.revisions, now_ms)

    def _compare_revisions(
        self, member_id: str, revisions: messages.Revisions, now_ms: int
    ) -> None:
        self._events.observe(revisions.lamport)
        self._reads.record_contact(now_ms)
        if not self._cache.is_behind(revisions):
            self._behind_since_ms = 0
            return
        if not self._behind_since_ms:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms >= _MAX_BEHIND_MS:
            # The nodes asked for updates may have dropped the missing entries
            # already, so read them from the store.
            self._behind_since_ms = now_ms
            self._reads.request_ownership()
        if now_ms < self._update_request_due_ms:
            return
        self._update_request_due_ms = now_ms + _UPDATE_REQUEST_INTERVAL_MS
        self._disseminator.send(
            member_id,
            messages.StateUpdateRequest(revisions=self._make_revisions()),
        )

    def _make_revisions(self) -> messages.Revisions:
        return msgspec.structs.replace(
            self._cache.revisions, lamport=self._events.tick()
        )

    def _handle_state_update_request(
        self, revisions: messages.Revisions, sender: bytes
    ) -> None:
        update = self._cache.make_state_update(revisions)
        if update is not None:
            self._links.reply(sender, [messages.encode(update)])

    def _handle_state_update(
        self, update: messages.StateUpdate, now_ms: int
    ) -> None:
        self._events.observe(update.lamport)
        before = self._cache.state
        if not self._cache.apply_entries(update.entries):
            self._reads.request_ownership()
        if update.tables_revision:
            self._apply_tables(update.tables_revision, update.tables)
        self._apply_state_change(before, is_author=False, now_ms=now_ms)

    # Messages from tasks of this node.

    def _handle_inbox_item(self, item: inbox_items.InboxItem) -> None:
        now_ms = clock.read_monotonic_ms()
        match item:
            case inbox_items.UpstreamChanged():
                self._handle_upstream_change(item)
            case inbox_items.UpstreamCrashed(report=report):
                self._broadcast_crash(report)
            case inbox_items.Drain():
                self._proposer.is_draining = True
                self._events.emit(catalog.Event.NODE_DRAINING)
            case planning.PlanResult():
                self._plans.end()
                self._proposer.record_plan(item)
            case store_jobs.OwnershipRead():
                self._handle_ownership_read(item, now_ms)
            case store_jobs.TablesRead(outcome=outcome):
                self._reads.end_tables()
                self._handle_tables_read(outcome)
            case store_jobs.Written():
                self._handle_write_result(item, now_ms)

    def _handle_ownership_read(
        self, item: store_jobs.OwnershipRead, now_ms: int
    ) -> None:
        self._reads.end_ownership(is_successful=item.outcome.is_ok())
        self._observer.observe_store(is_reachable=item.outcome.is_ok())
        if isinstance(item.outcome, result.Err):
            return
        stored = item.outcome.ok_value
        before = self._cache.state
        self._cache.replace_state(stored.state, stored.entries)
        self._apply_state_change(before, is_author=False, now_ms=now_ms)
        if self._proposer.session is not None:
            self._proposer.session.confirm_by_store(
                state=stored.state, read_sent_at_ms=item.sent_at_ms
            )

    def _handle_tables_read(self, outcome: store_jobs.TablesOutcome) -> None:
        if isinstance(outcome, result.Err):
            return
        match outcome.ok_value:
            case table_versions.Reading() as stored if stored.revision:
                self._apply_tables(stored.revision, stored.document)

    def _apply_tables(self, revision: int, document: bytes) -> None:
        try:
            is_newer = self._cache.apply_tables(
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
            session = self._proposer.session
            if session is not None:
                self._disseminator.push_tables(member_id=session.member_id)

    def _handle_write_result(
        self, item: store_jobs.Written, now_ms: int
    ) -> None:
        proposal = item.proposal
        match item.outcome:
            case result.Ok(ownership_log.Appended(entry=entry)):
                self._writes.end(now_ms, is_delayed=False)
                before = self._cache.state
                if not self._cache.apply_entries((entry,)):
                    self._reads.request_ownership()
                self._proposer.end(proposal, is_committed=True, now_ms=now_ms)
                self._observer.observe_commit(proposal, entry)
                self._apply_state_change(before, is_author=True, now_ms=now_ms)
            case result.Err(store.InDoubt()):
                self._events.emit(
                    catalog.Event.STORE_WRITE_IN_DOUBT,
                    write_id=proposal.write_id,
                )
                self._writes.mark_in_doubt(now_ms)
            case result.Err(error):
                is_conflict = isinstance(error, ownership_log.Superseded)
                if is_conflict:
                    self._observer.observe_conflict(proposal)
                self._writes.end(now_ms, is_delayed=not is_conflict)
                self._proposer.end(proposal, is_committed=False, now_ms=now_ms)
                self._reads.request_ownership()

    def _handle_upstream_change(
        self, change: inbox_items.UpstreamChanged
    ) -> None:
        self._proposer.is_upstream_serving = change.is_serving
        session = self._proposer.session
        if not change.is_silent or session is None:
            return
        grants_end_ms = self._shared_view.stop_extending(session.member_id)
        self._proposer.begin_forced_leave(
            grants_end_ms=grants_end_ms if change.is_fenced else None
        )

    def _broadcast_crash(self, report: messages.SuspectReport) -> None:
        session = self._proposer.session
        if session is not None:
            self._disseminator.broadcast_crash(
                report, member_id=session.member_id
            )

    # Effects of state changes.

    def _apply_state_change(
        self, before: ownership.State, *, is_author: bool, now_ms: int
    ) -> None:
        state = self._cache.state
        if state.revision != before.revision:
            session = self._proposer.session
            author_id = session.member_id if session and is_author else ""
            self._proposer.follow_state(state=state, now_ms=now_ms)
            self._publish()
            entries = self._cache.list_entries(before.revision)
            session = self._proposer.session
            self._observer.observe_state(
                changes.StateChange(
                    before=before,
                    after=state,
                    entries=entries,
                    member_id=session.member_id if session else "",
                )
            )
            # A member that has just left still sends its own entry.
            self._disseminator.push_entries(
                entries,
                member_id=session.member_id if session else author_id,
                is_author=bool(author_id),
            )

    def _publish(self) -> None:
        session = self._proposer.session
        state = self._cache.state
        self._shared_view.publish(
            views.View(
                state=state,
                tables=self._cache.tables,
                tables_revision=self._cache.tables_revision,
                member=state.members.get(session.member_id)
                if session
                else None,
                tables_digest=self._cache.tables_digest,
                is_leaving=self._proposer.is_leaving(self._cache),
            )
        )

    def _publish_lease(self, session: sessions.MemberSession) -> None:
        self._shared_view.extend_lease(
            member_id=session.member_id,
            end_ms=session.holder.find_lease_end_ms(),
        )

    # Periodic work.

    def _run_periodic(self, now_ms: int) -> None:
        session = self._proposer.session
        if session is not None:
            session.confirm_by_lease(now_ms)
            self._send_heartbeats(session, now_ms)
            self._send_lapses(session, now_ms)
            self._publish_lease(session)
            self._report_loads(session, now_ms)
        self._observer.observe_lease(session, now_ms)
        self._start_reads(now_ms)
        self._start_plan(now_ms)
        self._start_write(now_ms)

    def _send_heartbeats(
        self, session: sessions.MemberSession, now_ms: int
    ) -> None:
        due = session.holder.list_heartbeats(
            now_ms=now_ms, revisions=self._make_revisions()
        )
        for granter_id, heartbeat in due:
            self._disseminator.send(granter_id, heartbeat)

    def _send_lapses(
        self, session: sessions.MemberSession, now_ms: int
    ) -> None:
        lapses = session.list_lapses(now_ms)
        is_due = now_ms >= self._lapses_due_ms
        if is_due:
            self._lapses_due_ms = now_ms + _LAPSE_INTERVAL_MS
        for lapse in self._observer.list_lapses_to_send(lapses, is_due=is_due):
            session.evictor.record_lapse(lapse=lapse, now_ms=now_ms)
            self._disseminator.send_lapse(lapse, member_id=session.member_id)

    def _start_reads(self, now_ms: int) -> None:
        session = self._proposer.session
        is_poller = session is None or self._is_poller(session)
        if self._reads.begin_ownership(now_ms=now_ms, is_poller=is_poller):
            self._jobs.read_ownership(self._cache.state)
        if self._reads.begin_tables(now_ms=now_ms, is_poller=is_poller):
            self._jobs.read_tables(self._cache.tables_revision)

    def _is_poller(self, session: sessions.MemberSession) -> bool:
        if not session.holder.granters:
            return True
        pollers = selection.list_pollers(
            state=self._cache.state,
            failure_domain=self._node.failure_domain,
            count=self._node.platform.pollers_per_domain,
        )
        return session.member_id in pollers

    def _report_loads(
        self, session: sessions.MemberSession, now_ms: int
    ) -> None:
        due = self._load_reporter.find_report(
            state=self._cache.state,
            member_id=session.member_id,
            now_ms=now_ms,
        )
        if due is None:
            return
        planner, report = due
        if planner == session.member_id:
            self._load_reporter.add_report(report, now_ms)
        else:
            self._disseminator.send(planner, report)

    def _start_plan(self, now_ms: int) -> None:
        state = self._cache.state
        tables = self._cache.tables
        for pool in self._proposer.list_planned_pools(state):
            if not self._plans.is_due(
                pool=pool, state=state, tables=tables, now_ms=now_ms
            ):
                continue
            loads = self._load_reporter.find_loads(
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
        in_doubt = self._writes.take_in_doubt(now_ms)
        if in_doubt is not None:
            self._jobs.resolve(in_doubt)
            return
        if not self._writes.is_free(now_ms):
            return
        proposal = self._proposer.find_proposal(
            cache=self._cache, now_ms=now_ms
        )
        if proposal is None:
            return
        self._proposer.begin(proposal)
        self._writes.begin(proposal)
        self._jobs.write(proposal)
