"""Promises to other members not to call their leases lapsed."""

import dataclasses

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import quorum

_CATCH_UP_HEARTBEATS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class _Hearing:
    """When a member last showed that it had heard a newer answer."""

    sequence: int
    at_ms: int


class Granter:
    """Keeps one timer per member and epoch that this member grants to.

    Nothing of it outlives the process: a process that starts again is a new
    member, which nobody has named as granter yet.
    """

    __slots__ = (
        "_deaf_ms",
        "_duration_ms",
        "_ends_ms",
        "_followed",
        "_grace_end_ms",
        "_hearings",
        "_is_retired",
        "_known_member_at_ms",
        "_lapsed",
        "_lease",
        "_listed_at_ms",
        "_member_id",
        "_members",
        "_revision",
    )

    def __init__(self, *, member_id: str, lease: settings.Lease) -> None:
        self._member_id = member_id
        self._lease = lease
        self._duration_ms = quorum.stretch(
            duration_ms=lease.duration_ms, lease=lease
        )
        self._deaf_ms = lease.duration_ms + 2 * lease.heartbeat_ms
        self._hearings: dict[tuple[str, int], _Hearing] = {}
        self._known_member_at_ms: int | None = None
        self._is_retired = False
        self._members: dict[str, membership.Member] = {}
        self._revision = 0
        self._ends_ms: dict[tuple[str, int], int] = {}
        self._followed: set[tuple[str, int]] = set()
        self._lapsed: set[tuple[str, int]] = set()
        self._listed_at_ms: int | None = None
        self._grace_end_ms: int | None = None

    def confirm_membership(self, *, as_of_ms: int) -> None:
        """Takes note that this member was one, which lets it promise.

        Args:
            as_of_ms: A time at which the own lease held, or at which a store
                read was sent that showed the own record.
        """
        known_ms = self._known_member_at_ms
        if known_ms is None or as_of_ms > known_ms:
            self._known_member_at_ms = as_of_ms

    def retire(self) -> None:
        """Ends all promising, before the member's own leave is sent.

        A member that leaves does so while its lease holds, so that its lease
        would no longer show that it is a member.
        """
        self._is_retired = True

    def reinstate(self) -> None:
        """Promises again, after the own leave certainly did not take effect."""
        self._is_retired = False

    def take_heartbeat(
        self,
        *,
        heartbeat: messages.Heartbeat,
        now_ms: int,
        revisions: messages.Revisions,
    ) -> messages.Promise:
        """Answers a heartbeat, with a promise or a refusal.

        Args:
            heartbeat: The heartbeat.
            now_ms: The current time, read after the heartbeat came.
            revisions: What this node has of what is stored.

        Returns:
            The answer to send back.
        """
        is_granted = self._may_promise(heartbeat, now_ms)
        if is_granted and self._is_deaf(heartbeat, now_ms):
            is_granted = False
        if is_granted:
            key = (heartbeat.member_id, heartbeat.granters_epoch)
            self._ends_ms[key] = now_ms + self._duration_ms
        return messages.Promise(
            granter_id=self._member_id,
            member_id=heartbeat.member_id,
            granters_epoch=heartbeat.granters_epoch,
            sequence=heartbeat.sequence,
            sent_at_ms=heartbeat.sent_at_ms,
            is_granted=is_granted,
            duration_ms=self._lease.duration_ms,
            revisions=revisions,
        )

    def follow_state(self, *, state: ownership.State, now_ms: int) -> None:
        """Follows who names this member as granter.

        A member that was never heard under its epoch gets a full duration from
        now on. Members that are gone and epochs that have passed are forgotten:
        heartbeats of those are refused by what the state says.

        Args:
            state: The newest state; an older one than before is ignored.
            now_ms: The current time.
        """
        if state.revision < self._revision:
            return
        self._revision = state.revision
        self._members = state.members
        self._followed = {
            (member.member_id, member.granters_epoch)
            for member in state.members.values()
            if self._member_id in member.granters
        }
        for key in self._followed:
            self._ends_ms.setdefault(key, now_ms + self._duration_ms)
        self._ends_ms = {
            key: end_ms
            for key, end_ms in self._ends_ms.items()
            if key in self._followed or self._is_ahead(key)
        }
        self._hearings = {
            key: hearing
            for key, hearing in self._hearings.items()
            if key in self._ends_ms
        }
        self._lapsed &= self._followed

    def list_lapses(
        self, *, now_ms: int, own_lease_end_ms: int | None = None
    ) -> list[messages.LapseNotice]:
        """Lists all lapses in force, and makes those that are due final.

        While this member may not promise, while its own lease isn't renewed,
        and after a pause of its process, silence is no sign that others are
        lost; so it states no new lapse until they had time for heartbeats.

        Args:
            now_ms: The current time.
            own_lease_end_ms: Until when the own lease holds; `None` for a
                member with fewer than three granters, which may lose its lease
                together with one other member.

        Returns:
            A lapse for each member that this one will not promise to again.
        """
        is_connected = (
            own_lease_end_ms is None
            or own_lease_end_ms - now_ms >= self._lease.duration_ms // 2
        )
        if self._is_caught_up(now_ms, is_connected):
            self._lapsed.update(
                key for key in self._followed if self._ends_ms[key] <= now_ms
            )
        return [
            messages.LapseNotice(
                granter_id=self._member_id,
                member_id=member_id,
                granters_epoch=granters_epoch,
            )
            for member_id, granters_epoch in sorted(self._lapsed)
        ]

    def _may_promise(self, heartbeat: messages.Heartbeat, now_ms: int) -> bool:
        if self._is_retired or not self._has_authority(now_ms):
            return False
        if heartbeat.member_id == self._member_id:
            return False
        member = self._members.get(heartbeat.member_id)
        if member is None:
            return heartbeat.revisions.ownership > self._revision
        if heartbeat.granters_epoch != member.granters_epoch:
            return heartbeat.granters_epoch > member.granters_epoch
        key = (heartbeat.member_id, heartbeat.granters_epoch)
        return key in self._followed and key not in self._lapsed

    def _has_authority(self, now_ms: int) -> bool:
        known_ms = self._known_member_at_ms
        if known_ms is None:
            return False
        return now_ms - known_ms <= self._lease.authority_ms

    def _is_deaf(self, heartbeat: messages.Heartbeat, now_ms: int) -> bool:
        """Tells whether a member hasn't heard this granter for long.

        Without this a member that can send but not receive would neither hold
        its lease nor lose its shards.
        """
        key = (heartbeat.member_id, heartbeat.granters_epoch)
        hearing = self._hearings.get(key)
        if hearing is None or heartbeat.heard_sequence > hearing.sequence:
            self._hearings[key] = _Hearing(
                sequence=heartbeat.heard_sequence, at_ms=now_ms
            )
            return False
        return now_ms - hearing.at_ms > self._deaf_ms

    def _is_ahead(self, key: tuple[str, int]) -> bool:
        member_id, granters_epoch = key
        member = self._members.get(member_id)
        return member is not None and granters_epoch > member.granters_epoch

    def _is_caught_up(self, now_ms: int, is_connected: bool) -> bool:
        """Tells whether members that live could have got their promises."""
        listed_at_ms = self._listed_at_ms
        self._listed_at_ms = now_ms
        heartbeat_ms = self._lease.heartbeat_ms
        grace_ms = 0
        if listed_at_ms is not None and now_ms - listed_at_ms > heartbeat_ms:
            grace_ms = _CATCH_UP_HEARTBEATS * heartbeat_ms
        if not is_connected or not self._has_authority(now_ms):
            grace_ms = self._lease.duration_ms
        if grace_ms:
            end_ms = now_ms + grace_ms
            self._grace_end_ms = max(end_ms, self._grace_end_ms or end_ms)
        return self._grace_end_ms is None or now_ms >= self._grace_end_ms
