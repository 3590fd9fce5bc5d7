"""Sends control messages to members, and what is new to those it concerns."""

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.events import log
from rhubarblead.leases import selection
from rhubarblead.node import view as views
from rhubarblead.node.ownership import journal as journals
from rhubarblead.node.ownership import spread
from rhubarblead.transport import links


class Dissemination:
    """Finds the receivers by the newest state; owned by the control task."""

    __slots__ = ("_events", "_journal", "_links", "_platform")

    def __init__(
        self,
        *,
        control_links: links.Links,
        journal: journals.Journal,
        platform: settings.Platform,
        events: log.EventLog,
    ) -> None:
        self._links = control_links
        self._journal = journal
        self._platform = platform
        self._events = events

    def send(self, member_id: str, message: messages.Message) -> None:
        """Sends a message to a member; nothing when it is none any more."""
        self._send_frame(member_id, messages.encode(message))

    def push_entries(
        self,
        entries: tuple[membership.Entry, ...],
        *,
        member_id: str,
        is_author: bool,
    ) -> None:
        """Tells newly learnt entries to those whom this node has to tell.

        Args:
            entries: What is new.
            member_id: This node; it may have just left.
            is_author: Whether it committed the entries itself.
        """
        if not entries or not member_id:
            return
        news = messages.StateUpdate(
            entries=entries, lamport=self._events.tick()
        )
        self._push(
            news, entries=entries, member_id=member_id, is_author=is_author
        )

    def push_tables(self, *, member_id: str) -> None:
        """Tells the tables in force to those whom this node has to tell."""
        news = self._journal.make_news(
            messages.Revisions(ownership=self._journal.state.revision, tables=0)
        )
        if news is not None:
            self._push(news, entries=(), member_id=member_id, is_author=False)

    def send_lapse(
        self, lapse: messages.LapseNotice, *, member_id: str
    ) -> None:
        """Tells a lapse to the takers and to the member's other granters."""
        state = self._journal.state
        member = state.members.get(lapse.member_id)
        if member is None:
            return
        takers = selection.rank_takers(state=state, member=member)
        frame = messages.encode(lapse)
        for receiver in {*takers, *member.granters} - {member_id}:
            self._send_frame(receiver, frame)

    def spread_suspect(
        self, suspect: messages.SuspectReport, *, member_id: str
    ) -> None:
        """Tells a crash of the upstream to the other nodes of its pool."""
        state = self._journal.state
        record = state.members.get(member_id)
        if record is None:
            return
        frame = messages.encode(suspect)
        for member in state.list_pool_members(record.pool):
            if member.member_id != member_id:
                self._send_frame(member.member_id, frame)

    def _push(
        self,
        news: messages.StateUpdate,
        *,
        entries: tuple[membership.Entry, ...],
        member_id: str,
        is_author: bool,
    ) -> None:
        receivers = spread.list_receivers(
            state=self._journal.state,
            member_id=member_id,
            entries=entries,
            is_author=is_author,
            platform=self._platform,
        )
        frame = messages.encode(news)
        for receiver in receivers:
            self._send_frame(receiver, frame)

    def _send_frame(self, member_id: str, frame: bytes) -> None:
        member = self._journal.state.members.get(member_id)
        if member is not None:
            self._links.send(views.find_control_address(member), [frame])
