"""Runs unrepeatable requests at most once, across owners and retries."""

from concurrent import futures
import threading

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
from rhubarblead.node import change as changes
from rhubarblead.node import copies
from rhubarblead.node import inheritance
from rhubarblead.node import outcome as outcomes
from rhubarblead.node import view as views
from rhubarblead.node import work as works
from rhubarblead.requests import ledger

_RETRY_AFTER_MS = 200
_WRITE_ATTEMPTS = 5


class Protection:
    """The ledger of a node's shards, with copies at the node's granters.

    A request runs only after enough granters have a copy of its entry, so
    that the next owner finds it. `follow` is called by control, the rest from
    many threads.
    """

    __slots__ = (
        "_copies",
        "_events",
        "_executor",
        "_ledger",
        "_lock",
        "_member_id",
        "_synced_epoch",
        "_capacity",
    )

    def __init__(
        self,
        *,
        capacity: int,
        keeper: copies.CopyKeeper,
        executor: futures.Executor,
        events: log.EventLog,
    ) -> None:
        self._capacity = capacity
        self._copies = keeper
        self._executor = executor
        self._events = events
        self._lock = threading.Lock()
        self._member_id = ""
        self._synced_epoch = 0
        self._ledger = self._make_ledger()

    def begin(
        self, view: views.View, work: works.Work
    ) -> outcomes.Outcome | None:
        """Admits an unrepeatable request, at most once.

        Args:
            view: The view by which the node owns the shard.
            work: The request.

        Returns:
            None when the request may run, which `finish` must follow;
            otherwise the answer to give instead.
        """
        claim = make_claim(view, work)
        member = view.member
        with self._lock:
            if member is None or not self._is_ready(member):
                return _refuse_for_now("the ledger is being copied")
            decision = self._ledger.begin(
                claim=claim, wall_ms=clock.read_wall_ms()
            )
        match decision:
            case ledger.Replay(entry=entry):
                return _replay(entry)
            case ledger.Refuse(refused=refused, verdict=verdict):
                return outcomes.refuse(refused, verdict)
            case ledger.Run(entry=entry):
                return self._copy(view, member, claim, entry)

    def finish(
        self, view: views.View, work: works.Work, done: outcomes.Outcome
    ) -> None:
        """Remembers what became of a request that was admitted.

        Args:
            view: The view with which it was admitted.
            work: The request.
            done: Its outcome.
        """
        claim = make_claim(view, work)
        with self._lock:
            if view.member_id != self._member_id:
                return
            entry = self._settle(claim, done)
        if view.member is not None:
            self._copies.send(
                state=view.state, member=view.member, entries=(entry,)
            )

    def follow(self, change: changes.StateChange) -> None:
        """Takes over the memory of shards that the node gained."""
        if change.member_id != self._member_id:
            self._start_anew(change.member_id)
        member = change.after.members.get(change.member_id)
        if member is None:
            return
        with self._lock:
            for pool, gone in inheritance.list_lost(change).items():
                self._ledger.forget(pool=pool, shards=gone)
        if member.granters_epoch != self._synced_epoch:
            self._executor.submit(self._synchronize, change.after, member)
        for inherited in inheritance.list_inheritances(change):
            self._executor.submit(self._adopt, change.after, member, inherited)

    def count_entries(self) -> int:
        """Counts the requests that are remembered."""
        return len(self._ledger)

    def _make_ledger(self) -> ledger.Ledger:
        return ledger.Ledger(capacity=self._capacity)

    def _start_anew(self, member_id: str) -> None:
        with self._lock:
            self._member_id = member_id
            self._synced_epoch = 0
            self._ledger = self._make_ledger()

    def _is_ready(self, member: membership.Member) -> bool:
        return (
            member.member_id == self._member_id
            and member.granters_epoch == self._synced_epoch
        )

    def _copy(
        self,
        view: views.View,
        member: membership.Member,
        claim: ledger.Claim,
        entry: messages.LedgerEntry,
    ) -> outcomes.Outcome | None:
        is_copied = self._copies.write(
            state=view.state, member=member, entries=(entry,)
        )
        if is_copied:
            return None
        self._events.emit(catalog.Event.LEDGER_REPLICA_LOST, pool=claim.pool)
        with self._lock:
            abandoned = self._ledger.abandon(claim)
        self._copies.send(state=view.state, member=member, entries=(abandoned,))
        return _refuse_for_now("too few nodes could note the request")

    def _settle(
        self, claim: ledger.Claim, done: outcomes.Outcome
    ) -> messages.LedgerEntry:
        if done.verdict is verdicts.Verdict.NOT_RUN:
            return self._ledger.abandon(claim)
        if done.refusal is not None:
            return self._ledger.mark_in_doubt(claim)
        return self._ledger.finish(
            claim=claim,
            status=done.status,
            headers=done.headers,
            body=done.body,
        )

    def _synchronize(
        self, state: ownership.State, member: membership.Member
    ) -> None:
        """Sends all entries to granters that were named later."""
        for _ in range(_WRITE_ATTEMPTS):
            with self._lock:
                if member.member_id != self._member_id:
                    return
                entries = tuple(self._ledger.list_all())
            if self._copies.write(
                state=state, member=member, entries=entries, is_all=True
            ):
                with self._lock:
                    self._synced_epoch = member.granters_epoch
                return

    def _adopt(
        self,
        state: ownership.State,
        member: membership.Member,
        inherited: inheritance.Inheritance,
    ) -> None:
        recalled = self._recall(state, inherited)
        known = frozenset(
            entry.shard
            for entry in recalled.entries
            if entry.state == ledger.ADOPTED
        )
        lost = (
            []
            if inherited.is_new
            else sorted(
                set(inherited.shards)
                - (known if recalled.is_complete else frozenset())
            )
        )
        lost_before_ms = ledger.find_lost_before_ms(clock.read_wall_ms())
        with self._lock:
            if member.member_id != self._member_id:
                return
            entries = self._ledger.adopt(
                pool=inherited.pool,
                shards=lost,
                entries=recalled.entries,
                lost_before_ms=lost_before_ms,
            ) + self._ledger.adopt(
                pool=inherited.pool,
                shards=set(inherited.shards).difference(lost),
                entries=recalled.entries,
                lost_before_ms=0,
            )
        self._report_adoption(inherited, lost, len(entries))
        for _ in range(_WRITE_ATTEMPTS):
            if self._copies.write(
                state=state, member=member, entries=tuple(entries)
            ):
                return

    def _recall(
        self, state: ownership.State, inherited: inheritance.Inheritance
    ) -> copies.Recalled:
        if inherited.previous is None:
            return copies.Recalled(is_complete=False, entries=())
        return self._copies.read(
            state=state,
            previous=inherited.previous,
            pool=inherited.pool,
            shards=inherited.shards,
        )

    def _report_adoption(
        self,
        inherited: inheritance.Inheritance,
        lost: list[int],
        entry_count: int,
    ) -> None:
        previous = inherited.previous
        previous_owner = previous.member_id if previous else ""
        if lost:
            self._events.emit(
                catalog.Event.LEDGER_MEMORY_LOST,
                pool=inherited.pool,
                shards=shards.format_shards(lost),
                shard_count=len(lost),
                previous_owner=previous_owner,
            )
        self._events.emit(
            catalog.Event.LEDGER_ADOPTED,
            pool=inherited.pool,
            shards=shards.format_shards(inherited.shards),
            shard_count=len(inherited.shards),
            previous_owner=previous_owner,
            entry_count=entry_count,
        )


def make_claim(view: views.View, work: works.Work) -> ledger.Claim:
    """Builds the claim of a request on its idempotency key."""
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
        reason=outcomes.find_reason(entry.status),
        headers=entry.headers,
        body=entry.body,
    )


def _refuse_for_now(explanation: str) -> outcomes.Outcome:
    return outcomes.refuse(
        refusals.Refused(
            refusal=refusals.Refusal.LEDGER_UNAVAILABLE,
            explanation=explanation,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    )
