"""Sends control messages to members, and updates to the members concerned."""

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.events import log
from rhubarblead.leases import selection
from rhubarblead.node import view as views
from rhubarblead.node.ownership import fanout
from rhubarblead.node.ownership import state_cache as state_caches
from rhubarblead.transport import links


class Disseminator:
    """Sends messages to members at the addresses in the newest state.

    Owned by the control task; not thread-safe.
    """

    __slots__ = ("_cache", "_events", "_links", "_platform")

    def __init__(
        self,
        *,
        control_links: links.Links,
        cache: state_caches.StateCache,
        platform: settings.Platform,
        events: log.EventLog,
    ) -> None:
        self._links = control_links
        self._cache = cache
        self._platform = platform
        self._events = events

    def send(self, member_id: str, message: messages.Message) -> None:
        """Sends a message to a member; does nothing if it is no longer one."""
        self._send_frame(member_id, messages.encode(message))

    def push_entries(
        self,
        entries: tuple[membership.Entry, ...],
        *,
        member_id: str,
        is_author: bool,
    ) -> None:
        """Sends newly received entries to the members this node has to inform.

        Args:
            entries: The new entries.
            member_id: This node's member id; it may have just left.
            is_author: Whether it committed the entries itself.
        """
        if not entries or not member_id:
            return
        update = messages.StateUpdate(
            entries=entries, lamport=self._events.tick()
        )
        self._push(
            update, entries=entries, member_id=member_id, is_author=is_author
        )

    def push_tables(self, *, member_id: str) -> None:
        """Sends the tables in force to the members this node has to inform."""
        update = self._cache.make_state_update(
            messages.Revisions(ownership=self._cache.state.revision, tables=0)
        )
        if update is not None:
            self._push(update, entries=(), member_id=member_id, is_author=False)

    def send_lapse(
        self, lapse: messages.LapseNotice, *, member_id: str
    ) -> None:
        """Sends a lapse to the evictors and to the member's other granters."""
        state = self._cache.state
        member = state.members.get(lapse.member_id)
        if member is None:
            return
        evictors = selection.rank_evictors(state=state, member=member)
        frame = messages.encode(lapse)
        for recipient in {*evictors, *member.granters} - {member_id}:
            self._send_frame(recipient, frame)

    def broadcast_crash(
        self, report: messages.SuspectReport, *, member_id: str
    ) -> None:
        """Reports a crash of the upstream to the other nodes of its pool."""
        state = self._cache.state
        record = state.members.get(member_id)
        if record is None:
            return
        frame = messages.encode(report)
        for member in state.list_pool_members(record.pool):
            if member.member_id != member_id:
                self._send_frame(member.member_id, frame)

    def _push(
        self,
        update: messages.StateUpdate,
        *,
        entries: tuple[membership.Entry, ...],
        member_id: str,
        is_author: bool,
    ) -> None:
        recipients = fanout.list_recipients(
            state=self._cache.state,
            member_id=member_id,
            entries=entries,
            is_author=is_author,
            platform=self._platform,
        )
        frame = messages.encode(update)
        for recipient in recipients:
            self._send_frame(recipient, frame)

    def _send_frame(self, member_id: str, frame: bytes) -> None:
        member = self._cache.state.members.get(member_id)
        if member is not None:
            self._links.send(views.find_control_address(member), [frame])
