"""Promises to other members not to declare their leases lapsed."""

import dataclasses

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import quorum

_GRACE_HEARTBEATS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class _Acknowledgement:
    """The highest answer a member acknowledged, and when it first did so."""

    sequence: int
    at_ms: int


class Granter:
    """Keeps one promise timer for each member and epoch that it grants to.

    None of this state is persisted: a restarted process is a new member, which
    no other member has named as granter yet.
    """

    __slots__ = (
        "_acknowledgement_timeout_ms",
        "_duration_ms",
        "_ends_ms",
        "_grantees",
        "_grace_end_ms",
        "_acknowledgements",
        "_is_retired",
        "_member_confirmed_at_ms",
        "_lapsed",
        "_lease",
        "_last_listed_at_ms",
        "_member_id",
        "_members",
        "_revision",
    )

    def __init__(self, *, member_id: str, lease: settings.Lease) -> None:
        self._member_id = member_id
        self._lease = lease
        self._duration_ms = quorum.add_drift_allowance(
            duration_ms=lease.duration_ms, lease=lease
        )
        self._acknowledgement_timeout_ms = (
            lease.duration_ms + 2 * lease.heartbeat_ms
        )
        self._acknowledgements: dict[tuple[str, int], _Acknowledgement] = {}
        self._member_confirmed_at_ms: int | None = None
        self._is_retired = False
        self._members: dict[str, membership.Member] = {}
        self._revision = 0
        self._ends_ms: dict[tuple[str, int], int] = {}
        self._grantees: set[tuple[str, int]] = set()
        self._lapsed: set[tuple[str, int]] = set()
        self._last_listed_at_ms: int | None = None
        self._grace_end_ms: int | None = None

    def confirm_membership(self, *, as_of_ms: int) -> None:
        """Records evidence of this node's membership, which promises need.

        Args:
            as_of_ms: A time at which the lease of this member held, or at
                which a store read was sent that returned its record.
        """
        confirmed_at_ms = self._member_confirmed_at_ms
        if confirmed_at_ms is None or as_of_ms > confirmed_at_ms:
            self._member_confirmed_at_ms = as_of_ms

    def retire(self) -> None:
        """Stops granting promises, before this member's leave is sent.

        A member leaves while its lease still holds, so from then on the lease
        is no evidence of its membership.
        """
        self._is_retired = True

    def reinstate(self) -> None:
        """Resumes granting after the leave definitely took no effect."""
        self._is_retired = False

    def handle_heartbeat(
        self,
        *,
        heartbeat: messages.Heartbeat,
        now_ms: int,
        revisions: messages.Revisions,
    ) -> messages.Promise:
        """Answers a heartbeat with a promise or a refusal.

        Args:
            heartbeat: The heartbeat.
            now_ms: The current time, read after the heartbeat arrived.
            revisions: The revisions of the stored data that this node has.

        Returns:
            The answer to send back.
        """
        is_granted = self._may_promise(heartbeat, now_ms)
        if is_granted and self._is_acknowledgement_overdue(heartbeat, now_ms):
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
        """Updates the members that name this one as granter from a state.

        A member from which no heartbeat of its epoch has arrived gets a full
        promise duration from now on. Removed members and past epochs are
        dropped, because the state is enough to refuse their heartbeats.

        Args:
            state: The newest state; a state older than the last is ignored.
            now_ms: The current time.
        """
        if state.revision < self._revision:
            return
        self._revision = state.revision
        self._members = state.members
        self._grantees = {
            (member.member_id, member.granters_epoch)
            for member in state.members.values()
            if self._member_id in member.granters
        }
        for key in self._grantees:
            self._ends_ms.setdefault(key, now_ms + self._duration_ms)
        self._ends_ms = {
            key: end_ms
            for key, end_ms in self._ends_ms.items()
            if key in self._grantees or self._is_newer_epoch(key)
        }
        self._acknowledgements = {
            key: acknowledged
            for key, acknowledged in self._acknowledgements.items()
            if key in self._ends_ms
        }
        self._lapsed &= self._grantees

    def list_lapses(
        self, *, now_ms: int, own_lease_end_ms: int | None = None
    ) -> list[messages.LapseNotice]:
        """Lists the lapses in force, and makes the due ones final.

        While this member may not promise, while its own lease is not being
        renewed, and after a pause of its process, missing heartbeats do not
        show that other members failed. It then states no new lapse until the
        others have had time to send heartbeats.

        Args:
            now_ms: The current time.
            own_lease_end_ms: When the lease of this member ends. `None` for a
                member with fewer than three granters, which may lose its lease
                through the loss of one other member.

        Returns:
            A lapse for each member and epoch that this member will never
            promise to again.
        """
        is_connected = (
            own_lease_end_ms is None
            or own_lease_end_ms - now_ms >= self._lease.duration_ms // 2
        )
        if self._is_caught_up(now_ms, is_connected):
            self._lapsed.update(
                key for key in self._grantees if self._ends_ms[key] <= now_ms
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
        return key in self._grantees and key not in self._lapsed

    def _has_authority(self, now_ms: int) -> bool:
        confirmed_at_ms = self._member_confirmed_at_ms
        if confirmed_at_ms is None:
            return False
        return now_ms - confirmed_at_ms <= self._lease.authority_ms

    def _is_acknowledgement_overdue(
        self, heartbeat: messages.Heartbeat, now_ms: int
    ) -> bool:
        """Returns whether a member no longer receives this granter's answers.

        Without this check a member that can send but not receive would neither
        hold its lease nor lose its shards.
        """
        key = (heartbeat.member_id, heartbeat.granters_epoch)
        acknowledged = self._acknowledgements.get(key)
        if (
            acknowledged is None
            or heartbeat.heard_sequence > acknowledged.sequence
        ):
            self._acknowledgements[key] = _Acknowledgement(
                sequence=heartbeat.heard_sequence, at_ms=now_ms
            )
            return False
        return now_ms - acknowledged.at_ms > self._acknowledgement_timeout_ms

    def _is_newer_epoch(self, key: tuple[str, int]) -> bool:
        member_id, granters_epoch = key
        member = self._members.get(member_id)
        return member is not None and granters_epoch > member.granters_epoch

    def _is_caught_up(self, now_ms: int, is_connected: bool) -> bool:
        """Returns whether live members have had time to renew their promises.

        Each call also extends the grace period where one is needed.
        """
        last_listed_at_ms = self._last_listed_at_ms
        self._last_listed_at_ms = now_ms
        heartbeat_ms = self._lease.heartbeat_ms
        grace_ms = 0
        if (
            last_listed_at_ms is not None
            and now_ms - last_listed_at_ms > heartbeat_ms
        ):
            grace_ms = _GRACE_HEARTBEATS * heartbeat_ms
        if not is_connected or not self._has_authority(now_ms):
            grace_ms = self._lease.duration_ms
        if grace_ms:
            end_ms = now_ms + grace_ms
            self._grace_end_ms = max(end_ms, self._grace_end_ms or end_ms)
        return self._grace_end_ms is None or now_ms >= self._grace_end_ms
