"""The lease of one member, which its granters' promises keep valid."""

import dataclasses

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.charts import chart
from rhubarblead.leases import quorum

_NEVER_MS = 0
_CHANGE_WAIT_LEASES = 3

_CHART = chart.load_chart("lease")


class CannotChangeGranters(Exception):
    """A change of granters can't begin in the current state."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _SentHeartbeat:
    """A sent heartbeat whose answer still counts."""

    granter_id: str
    granters_epoch: int
    sent_at_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _EpochPromises:
    """The promises of the granters of one epoch."""

    granters: tuple[str, ...]
    granters_epoch: int
    begun_at_ms: int | None = None
    heartbeat_due_ms: int | None = None
    ends_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    promised_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    answered_sequences: dict[str, int] = dataclasses.field(default_factory=dict)
    store_end_ms: int = _NEVER_MS

    def find_end_ms(self) -> int:
        """Returns the time until which enough promises of this epoch hold."""
        if not self.granters:
            return self.store_end_ms
        ends = sorted(self.ends_ms.values(), reverse=True)
        needed = quorum.count_needed_promises(len(self.granters))
        if len(ends) < needed:
            return _NEVER_MS
        return ends[needed - 1]


class Holder:
    """Keeps one member's lease; all times are on its monotonic clock.

    While a change of granters is pending, the store may hold either the old
    record or the new one. Until the outcome is known, the lease holds only
    while the promises of both epochs do, but at least until the end it had
    when the change began: no granter of the new epoch can state a lapse before
    that time.
    """

    __slots__ = (
        "_min_end_ms",
        "_is_change_unconfirmed",
        "_change_resolved_at_ms",
        "_highest_epoch",
        "_lease",
        "_member_id",
        "_pending",
        "_phase",
        "_record",
        "_sent",
        "_sequence",
    )

    def __init__(
        self,
        *,
        member_id: str,
        granters: tuple[str, ...],
        granters_epoch: int,
        lease: settings.Lease,
    ) -> None:
        self._member_id = member_id
        self._lease = lease
        self._record = _EpochPromises(
            granters=granters, granters_epoch=granters_epoch
        )
        self._pending: _EpochPromises | None = None
        self._highest_epoch = granters_epoch
        self._min_end_ms = _NEVER_MS
        self._is_change_unconfirmed = False
        self._change_resolved_at_ms: int | None = None
        self._phase = _CHART.initial
        self._sequence = 0
        self._sent: dict[int, _SentHeartbeat] = {}

    @property
    def granters(self) -> tuple[str, ...]:
        """The granters in the newest stored record known to this member."""
        return self._record.granters

    @property
    def phase(self) -> str:
        """The state of the lease in its state chart, as of the last call."""
        return self._phase

    @property
    def is_changing(self) -> bool:
        """Whether the outcome of a change of granters is not yet known."""
        return self._pending is not None

    def find_next_epoch(self) -> int:
        """Returns the epoch for the next change; an epoch is never reused."""
        return self._highest_epoch + 1

    def may_change_granters(self, *, now_ms: int) -> bool:
        """Returns whether a change of granters may begin.

        A member that reaches the store but no other member would delay its
        eviction with each change. After a change whose granters have not
        promised, the next change must therefore wait until those granters have
        had time to state lapses.

        Args:
            now_ms: The current time.

        Returns:
            Whether no change is pending, there are granters to change, and
            those of the last change have promised or had time for a lapse.
        """
        if self._pending is not None or not self._record.granters:
            return False
        if not self._is_change_unconfirmed:
            return True
        change_resolved_at_ms = self._change_resolved_at_ms
        if change_resolved_at_ms is None:
            return False
        wait_ms = _CHANGE_WAIT_LEASES * self._lease.duration_ms
        return now_ms - change_resolved_at_ms >= wait_ms

    def change_granters(
        self, *, granters: tuple[str, ...], granters_epoch: int
    ) -> None:
        """Begins a change of granters, before its transaction is sent.

        Args:
            granters: The new granters.
            granters_epoch: The epoch that `find_next_epoch` returned.

        Raises:
            CannotChangeGranters: Another change is pending, the epoch was used
                before, or the member has no granters. In the last case
                `Evictor.list_missing_granters` assigns them.
        """
        if self._pending is not None:
            raise CannotChangeGranters(
                "another change of granters is still pending"
            )
        if granters_epoch <= self._highest_epoch:
            raise CannotChangeGranters(
                f"granters epoch {granters_epoch} was already used"
            )
        if not self._record.granters:
            raise CannotChangeGranters(
                "a member without granters gets its first ones by assignment"
            )
        self._min_end_ms = self.find_lease_end_ms()
        self._is_change_unconfirmed = True
        self._change_resolved_at_ms = None
        self._highest_epoch = granters_epoch
        self._pending = _EpochPromises(
            granters=granters, granters_epoch=granters_epoch
        )

    def abandon_change(self) -> None:
        """Records that the pending change definitely took no effect."""
        self._pending = None
        self._is_change_unconfirmed = False

    def follow_record(self, *, record: membership.Member | None) -> None:
        """Updates the granters from the member's record in the newest state.

        Args:
            record: The record; `None` if the member was removed.
        """
        if record is None:
            self._phase = _CHART.follow(self._phase, "removed")
            return
        if record.granters_epoch <= self._record.granters_epoch:
            return
        pending = self._pending
        self._pending = None
        self._highest_epoch = max(self._highest_epoch, record.granters_epoch)
        if pending and pending.granters_epoch == record.granters_epoch:
            self._record = pending
            return
        if not self._record.granters:
            self._min_end_ms = self._record.store_end_ms
        self._record = _EpochPromises(
            granters=record.granters, granters_epoch=record.granters_epoch
        )

    def confirm_by_store(self, *, read_sent_at_ms: int) -> None:
        """Renews the lease of a member without granters after a store read.

        Args:
            read_sent_at_ms: When the read was sent. It must have returned the
                member's record without granters and in the current epoch.
        """
        if self._record.granters:
            return
        self._record.store_end_ms = max(
            self._record.store_end_ms,
            read_sent_at_ms + self._lease.duration_ms,
        )

    def list_heartbeats(
        self, *, now_ms: int, revisions: messages.Revisions
    ) -> list[tuple[str, messages.Heartbeat]]:
        """Creates the heartbeats that are due.

        Args:
            now_ms: A time before the heartbeats are sent.
            revisions: The revisions of the stored data that this node has. The
                ownership revision must be that of a state with this member.

        Returns:
            Pairs of granter id and heartbeat; empty if none are due.
        """
        self._follow_clock(now_ms)
        due = list(self._make_due_heartbeats(self._record, now_ms, revisions))
        if self._pending is not None:
            due.extend(
                self._make_due_heartbeats(self._pending, now_ms, revisions)
            )
        if due:
            self._discard_sent(now_ms)
        return due

    def record_promise(self, *, promise: messages.Promise, now_ms: int) -> None:
        """Records the answer to a heartbeat.

        A promise holds from the time at which the heartbeat was sent, because
        the granter starts its timer later than that.

        Args:
            promise: The answer.
            now_ms: The current time.
        """
        sent = self._sent.get(promise.sequence)
        if sent is None or not self._is_reply(promise, sent):
            return
        promises = self._find_promises(sent.granters_epoch)
        if promises is None:
            return
        granter_id = sent.granter_id
        last_answered = promises.answered_sequences.get(granter_id, 0)
        promises.answered_sequences[granter_id] = max(
            last_answered, promise.sequence
        )
        last_ms = promises.promised_at_ms.get(granter_id, sent.sent_at_ms)
        if sent.sent_at_ms < last_ms or not promise.is_granted:
            return
        duration_ms = min(promise.duration_ms, self._lease.duration_ms)
        promises.promised_at_ms[granter_id] = sent.sent_at_ms
        promises.ends_ms[granter_id] = sent.sent_at_ms + duration_ms
        self._follow_clock(now_ms)

    def find_lease_end_ms(self) -> int:
        """Returns the first time at which the lease does not hold.

        This is 0 if the lease never held or the member was removed.
        """
        if self._phase == "lost":
            return _NEVER_MS
        end_ms = self._record.find_end_ms()
        if self._pending is not None:
            end_ms = min(end_ms, self._pending.find_end_ms())
        return max(end_ms, self._min_end_ms)

    def is_held(self, *, now_ms: int) -> bool:
        """Returns whether the lease holds."""
        return now_ms < self.find_lease_end_ms()

    def list_silent_granters(
        self, *, now_ms: int, timeout_ms: int
    ) -> tuple[str, ...]:
        """Lists the granters of the stored record that do not promise.

        Args:
            now_ms: The current time.
            timeout_ms: How long a granter may go without a promise.

        Returns:
            The granters without a promise for `timeout_ms`, whether they
            refused or did not answer. A single refusal is not enough, because
            a granter that has just joined can't promise yet.
        """
        record = self._record
        begun_at_ms = (
            now_ms if record.begun_at_ms is None else record.begun_at_ms
        )
        return tuple(
            granter_id
            for granter_id in record.granters
            if now_ms - record.promised_at_ms.get(granter_id, begun_at_ms)
            >= timeout_ms
        )

    def _follow_clock(self, now_ms: int) -> None:
        if self._pending is None and self._is_change_unconfirmed:
            self._confirm_change(now_ms)
        is_held = self.is_held(now_ms=now_ms)
        if is_held != (self._phase == "held"):
            event = "promised" if is_held else "ran_out"
            self._phase = _CHART.follow(self._phase, event)

    def _confirm_change(self, now_ms: int) -> None:
        if now_ms < self._record.find_end_ms():
            self._is_change_unconfirmed = False
        elif self._change_resolved_at_ms is None:
            self._change_resolved_at_ms = now_ms

    def _make_due_heartbeats(
        self,
        promises: _EpochPromises,
        now_ms: int,
        revisions: messages.Revisions,
    ) -> list[tuple[str, messages.Heartbeat]]:
        due_ms = promises.heartbeat_due_ms
        if due_ms is not None and now_ms < due_ms:
            return []
        if promises.begun_at_ms is None:
            promises.begun_at_ms = now_ms
        promises.heartbeat_due_ms = now_ms + self._lease.heartbeat_ms
        return [
            (
                granter_id,
                self._make_heartbeat(granter_id, promises, now_ms, revisions),
            )
            for granter_id in promises.granters
        ]

    def _make_heartbeat(
        self,
        granter_id: str,
        promises: _EpochPromises,
        now_ms: int,
        revisions: messages.Revisions,
    ) -> messages.Heartbeat:
        self._sequence += 1
        self._sent[self._sequence] = _SentHeartbeat(
            granter_id=granter_id,
            granters_epoch=promises.granters_epoch,
            sent_at_ms=now_ms,
        )
        return messages.Heartbeat(
            member_id=self._member_id,
            granters_epoch=promises.granters_epoch,
            sequence=self._sequence,
            sent_at_ms=now_ms,
            revisions=revisions,
            heard_sequence=promises.answered_sequences.get(granter_id, 0),
        )

    def _discard_sent(self, now_ms: int) -> None:
        expired_before_ms = now_ms - self._lease.duration_ms
        while self._sent:
            sequence = next(iter(self._sent))
            if self._sent[sequence].sent_at_ms > expired_before_ms:
                return
            del self._sent[sequence]

    def _is_reply(
        self, promise: messages.Promise, sent: _SentHeartbeat
    ) -> bool:
        return (
            promise.member_id == self._member_id
            and promise.granter_id == sent.granter_id
            and promise.granters_epoch == sent.granters_epoch
        )

    def _find_promises(self, granters_epoch: int) -> _EpochPromises | None:
        if self._record.granters_epoch == granters_epoch:
            return self._record
        pending = self._pending
        if pending is not None and pending.granters_epoch == granters_epoch:
            return pending
        return None
