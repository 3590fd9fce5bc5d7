"""Lease decisions with one deliberate fault each, for tests of the checks."""

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.leases import evictor
from rhubarblead.leases import granter
from rhubarblead.leases import holder
from tests.rhubarblead.leases import simulation


class _CountsFromReceipt(holder.Holder):
    __slots__ = ()

    def record_promise(self, *, promise: messages.Promise, now_ms: int) -> None:
        sent = self._sent.get(promise.sequence)
        if sent is not None:
            sent.sent_at_ms = now_ms
        super().record_promise(promise=promise, now_ms=now_ms)


class _CountsBeforeCommit(holder.Holder):
    __slots__ = ()

    def change_granters(
        self, *, granters: tuple[str, ...], granters_epoch: int
    ) -> None:
        super().change_granters(
            granters=granters, granters_epoch=granters_epoch
        )
        self._record = self._pending


class _NeedsOneLapse(evictor.Evictor):
    __slots__ = ()

    def record_lapse(self, *, lapse: messages.LapseNotice, now_ms: int) -> None:
        member = self._state.members.get(lapse.member_id)
        for granter_id in member.granters if member else ():
            claimed = msgspec.structs.replace(lapse, granter_id=granter_id)
            super().record_lapse(lapse=claimed, now_ms=now_ms)


class _IgnoresEpoch(evictor.Evictor):
    __slots__ = ()

    def record_lapse(self, *, lapse: messages.LapseNotice, now_ms: int) -> None:
        super().record_lapse(lapse=lapse, now_ms=now_ms)
        member = self._state.members.get(lapse.member_id)
        if member is not None:
            key = (lapse.member_id, member.granters_epoch)
            lapsed = self._lapsed_at_ms.setdefault(key, {})
            for granter_id in member.granters:
                lapsed.setdefault(granter_id, now_ms)


class _EvictsWithoutGranters(evictor.Evictor):
    __slots__ = ()

    def list_missing_granters(self, **_: int) -> list[object]:
        return []

    def list_evictions(
        self, *, now_ms: int, **_: object
    ) -> list[membership.MemberEvicted]:
        return [
            membership.MemberEvicted(
                member_id=member_id, granters_epoch=0, lapsed_by=()
            )
            for member_id, since_ms in self._without_granters_since_ms.items()
            if now_ms - since_ms > 2_000 and member_id != self._member_id
        ]


class _NoDelay(evictor.Evictor):
    """Correct evictors that do not wait for the delay of their rank."""

    __slots__ = ()

    def _find_delay_ms(self, member: membership.Member) -> int:
        return 0


class _PromisesAfterLapse(granter.Granter):
    __slots__ = ()

    def handle_heartbeat(
        self, *, heartbeat: messages.Heartbeat, **rest: object
    ) -> messages.Promise:
        key = (heartbeat.member_id, heartbeat.granters_epoch)
        self._lapsed.discard(key)
        return super().handle_heartbeat(heartbeat=heartbeat, **rest)


class _PromisesToUnknown(granter.Granter):
    __slots__ = ()

    def _may_promise(self, heartbeat: messages.Heartbeat, now_ms: int) -> bool:
        is_unknown = heartbeat.member_id not in self._members
        return is_unknown or super()._may_promise(heartbeat, now_ms)


class _NeverRetires(granter.Granter):
    __slots__ = ()

    def retire(self) -> None:
        pass


class _NeedsNoAuthority(granter.Granter):
    __slots__ = ()

    def _has_authority(self, now_ms: int) -> bool:
        return True


class _LapsesEarly(granter.Granter):
    __slots__ = ()

    def __init__(self, **arguments: object) -> None:
        super().__init__(**arguments)
        self._duration_ms //= 2


VARIANTS = {
    "nothing is broken": simulation.Factories(),
    "evictors have no delays": simulation.Factories(make_evictor=_NoDelay),
    "promises count from their receipt": simulation.Factories(
        make_holder=_CountsFromReceipt
    ),
    "new granters count before the commit": simulation.Factories(
        make_holder=_CountsBeforeCommit
    ),
    "one lapse is enough to evict": simulation.Factories(
        make_evictor=_NeedsOneLapse
    ),
    "lapses of an old epoch count": simulation.Factories(
        make_evictor=_IgnoresEpoch
    ),
    "members without granters are evicted": simulation.Factories(
        make_evictor=_EvictsWithoutGranters
    ),
    "granters promise after a lapse": simulation.Factories(
        make_granter=_PromisesAfterLapse
    ),
    "granters promise to unknown members": simulation.Factories(
        make_granter=_PromisesToUnknown
    ),
    "leaving members still grant promises": simulation.Factories(
        make_granter=_NeverRetires
    ),
    "granters need no evidence of membership": simulation.Factories(
        make_granter=_NeedsNoAuthority
    ),
    "granters state lapses too early": simulation.Factories(
        make_granter=_LapsesEarly
    ),
}
