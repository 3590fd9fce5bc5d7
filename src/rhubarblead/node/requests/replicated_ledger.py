"""At-most-once execution of requests, across owners and retries."""

from collections.abc import Iterable
from concurrent import futures
import dataclasses
import threading

import msgspec
import xxhash

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.events import shards
from rhubarblead.node import jobs
from rhubarblead.node import view as views
from rhubarblead.node.ownership import acquisition
from rhubarblead.node.ownership import ledger_replication
from rhubarblead.node.ownership import state_change as changes
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import work as works
from rhubarblead.requests import ledger

_RETRY_AFTER_MS = 200
_WRITE_ATTEMPTS = 5
_NEVER_SYNCED = -1


class ReplicatedLedger:
    """The ledger of a node's shards, replicated to the node's granters.

    A request runs only after enough granters have a copy of its entry, so that
    the next owner of the shard finds it. `on_state_change` is called by
    control, the other methods by many threads.
    """

    __slots__ = (
        "_capacity",
        "_replicator",
        "_events",
        "_executor",
        "_fences",
        "_is_synchronizing",
        "_ledger",
        "_lock",
        "_member",
        "_member_id",
        "_state",
        "_synced_epoch",
    )

    def __init__(
        self,
        *,
        capacity: int,
        replicator: ledger_replication.LedgerReplicator,
        executor: futures.Executor,
        events: log.EventLog,
    ) -> None:
        self._capacity = capacity
        self._replicator = replicator
        self._executor = executor
        self._events = events
        self._lock = threading.Lock()
        self._is_synchronizing = False
        self._state = ownership.State()
        self._member: membership.Member | None = None
        self._reset("")

    def begin(
        self, view: views.View, work: works.Work
    ) -> outcomes.Outcome | None:
        """Admits an unrepeatable request at most once.

        Args:
            view: The view by which the node owns the shard.
            work: The request.

        Returns:
            None if the request may run, in which case `finish` must be called
            after it; otherwise the outcome to return instead.
        """
        claim = make_claim(view, work)
        member = view.member
        decision: ledger.Decision | None = None
        with self._lock:
            if member is not None and self._is_ready(view, member):
                decision = self._ledger.begin(
                    claim=claim, wall_ms=clock.read_wall_ms()
                )
        if member is None or decision is None:
            self._start_synchronizing()
            return _refuse_unavailable("the ledger is being copied")
        match decision:
            case ledger.Replay(entry=entry):
                return _replay(entry)
            case ledger.Refuse(refused=refused, verdict=verdict):
                return outcomes.refuse(refused, verdict)
            case ledger.Run(entry=entry):
                return self._replicate(view, member, claim, entry)

    def finish(
        self, view: views.View, work: works.Work, outcome: outcomes.Outcome
    ) -> None:
        """Records the outcome of an admitted request.

        Args:
            view: The view with which the request was admitted.
            work: The request.
            outcome: The outcome of the request.
        """
        claim = make_claim(view, work)
        with self._lock:
            if self._member is None or view.member_id != self._member_id:
                return
            entry = self._record_outcome(claim, outcome)
            state, member = self._state, self._member
        self._replicator.send(state=state, member=member, entries=(entry,))

    def on_state_change(self, change: changes.StateChange) -> None:
        """Drops the entries of lost shards, adopts those of gained shards."""
        member = change.after.members.get(change.member_id)
        acquisitions = acquisition.list_acquisitions(change) if member else []
        with self._lock:
            if change.member_id != self._member_id:
                self._reset(change.member_id)
            self._state = change.after
            self._member = member
            for pool, lost_shards in acquisition.list_lost(change).items():
                self._drop_shards(pool, lost_shards)
            for acquired in acquisitions:
                # The entries that the node has of a shard that it lost and
                # regained are out of date.
                self._drop_shards(acquired.pool, acquired.shards)
                for shard, fence in acquired.fences.items():
                    self._fences[acquired.pool, shard] = fence
        self._start_synchronizing()
        for acquired in acquisitions:
            self._executor.submit(
                self._adopt_or_mark_lost,
                change.after,
                change.member_id,
                acquired,
            )

    def count_entries(self) -> int:
        """Counts the entries of the ledger."""
        return len(self._ledger)

    def _make_ledger(self) -> ledger.Ledger:
        return ledger.Ledger(capacity=self._capacity)

    def _reset(self, member_id: str) -> None:
        self._member_id = member_id
        self._member = None
        self._synced_epoch = 0
        self._fences: dict[tuple[str, int], int] = {}
        self._ledger = self._make_ledger()

    def _drop_shards(self, pool: str, lost_shards: Iterable[int]) -> None:
        shards = tuple(lost_shards)
        self._ledger.drop_shards(pool=pool, shards=shards)
        for shard in shards:
            self._fences.pop((pool, shard), None)

    def _is_ready(self, view: views.View, member: membership.Member) -> bool:
        # A view older than the newest member record may name other granters. A
        # newer view may include shards that the node has just gained, whose
        # missing entries the ledger does not know of yet.
        newest = self._member
        return (
            newest is not None
            and member.member_id == self._member_id
            and member.granters_epoch == newest.granters_epoch
            and self._is_synchronized()
            and view.state.revision <= self._state.revision
        )

    def _is_synchronized(self) -> bool:
        member = self._member
        return member is None or member.granters_epoch == self._synced_epoch

    def _replicate(
        self,
        view: views.View,
        member: membership.Member,
        claim: ledger.Claim,
        entry: messages.LedgerEntry,
    ) -> outcomes.Outcome | None:
        is_replicated = self._replicator.write(
            state=view.state, member=member, entries=(entry,)
        )
        if is_replicated:
            return None
        self._events.emit(catalog.Event.LEDGER_REPLICA_LOST, pool=claim.pool)
        with self._lock:
            # Under another member ID, a request with the same key may already
            # be running.
            is_same = member.member_id == self._member_id
            abandoned = (self._ledger.abandon(claim),) if is_same else ()
            newest = self._member or member
            state = self._state
        if abandoned:
            self._replicator.send(state=state, member=newest, entries=abandoned)
        return _refuse_unavailable("too few nodes could note the request")

    def _record_outcome(
        self, claim: ledger.Claim, outcome: outcomes.Outcome
    ) -> messages.LedgerEntry:
        if outcome.verdict is verdicts.Verdict.NOT_RUN:
            return self._ledger.abandon(claim)
        if outcome.refusal is not None:
            return self._ledger.mark_in_doubt(claim)
        return self._ledger.finish(
            claim=claim,
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
        )

    def _start_synchronizing(self) -> None:
        with self._lock:
            if self._is_synchronizing or self._is_synchronized():
                return
            self._is_synchronizing = True
        self._executor.submit(self._synchronize)

    def _synchronize(self) -> None:
        """Sends all entries to the granters of a new epoch."""
        try:
            self._try_to_synchronize()
        finally:
            with self._lock:
                self._is_synchronizing = False

    def _try_to_synchronize(self) -> None:
        for _ in range(_WRITE_ATTEMPTS):
            with self._lock:
                member = self._member
                state = self._state
                if member is None or self._is_synchronized():
                    break
                entries = self._set_marker_fences(self._ledger.list_all())
            if self._replicator.write(
                state=state, member=member, entries=entries, is_all=True
            ):
                with self._lock:
                    if member.member_id == self._member_id:
                        self._synced_epoch = member.granters_epoch

    def _set_marker_fences(
        self, entries: Iterable[messages.LedgerEntry]
    ) -> tuple[messages.LedgerEntry, ...]:
        """Sets the fences of shards in their adoption markers."""
        return tuple(
            (
                msgspec.structs.replace(
                    entry, fence=self._fences.get((entry.pool, entry.shard), 0)
                )
                if entry.state == ledger.ADOPTED
                else entry
            )
            for entry in entries
        )

    def _adopt_or_mark_lost(
        self,
        state: ownership.State,
        member_id: str,
        acquired: acquisition.Acquisition,
    ) -> None:
        """Adopts shards; if that fails, adopts them with their entries lost."""
        try:
            self._adopt(state, member_id, acquired)
        except Exception as error:
            jobs.report_error(self._events, "ledger", error)
            unknown = dataclasses.replace(acquired, previous=None, is_new=False)
            self._adopt(state, member_id, unknown)

    def _adopt(
        self,
        state: ownership.State,
        member_id: str,
        acquired: acquisition.Acquisition,
    ) -> None:
        replica_read = self._read_replicas(state, acquired)
        lost = _find_lost(acquired, replica_read)
        now_lost_ms = ledger.find_lost_before_ms(clock.read_wall_ms())
        entries: list[messages.LedgerEntry] = []
        with self._lock:
            if self._member is None or member_id != self._member_id:
                return
            # The shards may have been reassigned in the meantime.
            kept = {
                shard
                for shard, fence in acquired.fences.items()
                if self._fences.get((acquired.pool, shard)) == fence
            }
            for shards, lost_before_ms in (
                (kept & lost, now_lost_ms),
                (kept - lost, 0),
            ):
                entries += self._ledger.adopt(
                    pool=acquired.pool,
                    shards=shards,
                    entries=replica_read.entries,
                    lost_before_ms=lost_before_ms,
                )
            stamped = self._set_marker_fences(entries)
        self._report_adoption(acquired, sorted(kept & lost), len(entries))
        self._write_adopted(member_id, stamped)

    def _write_adopted(
        self, member_id: str, entries: tuple[messages.LedgerEntry, ...]
    ) -> None:
        for _ in range(_WRITE_ATTEMPTS):
            with self._lock:
                state, member = self._state, self._member
                if member is None or member_id != self._member_id:
                    return
            if self._replicator.write(
                state=state, member=member, entries=entries
            ):
                return
        # No request is admitted until all entries have been sent again.
        with self._lock:
            if member_id == self._member_id:
                self._synced_epoch = _NEVER_SYNCED

    def _read_replicas(
        self, state: ownership.State, acquired: acquisition.Acquisition
    ) -> ledger_replication.ReplicaRead:
        if acquired.previous is None:
            return ledger_replication.ReplicaRead(is_complete=False, entries=())
        return self._replicator.read(
            state=state,
            previous=acquired.previous,
            pool=acquired.pool,
            shards=acquired.shards,
        )

    def _report_adoption(
        self,
        acquired: acquisition.Acquisition,
        lost: list[int],
        entry_count: int,
    ) -> None:
        previous = acquired.previous
        previous_owner = previous.member_id if previous else ""
        if lost:
            self._events.emit(
                catalog.Event.LEDGER_MEMORY_LOST,
                pool=acquired.pool,
                shards=shards.format_shards(lost),
                shard_count=len(lost),
                previous_owner=previous_owner,
            )
        self._events.emit(
            catalog.Event.LEDGER_ADOPTED,
            pool=acquired.pool,
            shards=shards.format_shards(acquired.shards),
            shard_count=len(acquired.shards),
            previous_owner=previous_owner,
            entry_count=entry_count,
        )


def _find_lost(
    acquired: acquisition.Acquisition,
    replica_read: ledger_replication.ReplicaRead,
) -> set[int]:
    """Finds the shards whose entries may be incomplete."""
    if acquired.is_new:
        return set()
    if not replica_read.is_complete:
        return set(acquired.shards)
    # A marker with an earlier fence doesn't cover the entries that later owners
    # have written.
    known = {
        entry.shard
        for entry in replica_read.entries
        if entry.state == ledger.ADOPTED
        and entry.fence
        and entry.fence == acquired.previous_fences.get(entry.shard)
    }
    return set(acquired.shards) - known


def make_claim(view: views.View, work: works.Work) -> ledger.Claim:
    """Builds the claim of a request to its idempotency key."""
    forward = work.forward
    pool = view.tables.find_pool(forward.pool)
    hasher = xxhash.xxh3_64()
    for part in (forward.method, forward.target, forward.key):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(work.body)
    return ledger.Claim(
        pool=forward.pool,
        shard=forward.shard,
        idempotency_key=forward.idempotency_key,
        digest=hasher.intdigest(),
        remember_ms=pool.remember_ms if pool else 0,
    )


def _replay(entry: messages.LedgerEntry) -> outcomes.Outcome:
    if not entry.has_body:
        return outcomes.refuse(
            refusals.Refused(
                refusal=refusals.Refusal.MEMORY_LOST,
                explanation=f"the request ran, with status {entry.status};"
                " its answer was too large to keep",
            ),
            verdicts.Verdict.RAN,
        )
    return outcomes.Outcome(
        verdict=verdicts.Verdict.RAN,
        status=entry.status,
        reason=outcomes.find_reason_phrase(entry.status),
        headers=entry.headers,
        body=entry.body,
    )


def _refuse_unavailable(explanation: str) -> outcomes.Outcome:
    return outcomes.refuse(
        refusals.Refused(
            refusal=refusals.Refusal.LEDGER_UNAVAILABLE,
            explanation=explanation,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    )
