"""Decides and does what is due for the keys of the server beside this node.

One task makes all writes to the store, one after the other.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import holdings
from rhubarblead.keyspace import members
from rhubarblead.keyspace import planning
from rhubarblead.platform import heartbeats
from rhubarblead.platform import store
from rhubarblead.router import assigning
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import gathering
from rhubarblead.router import peers
from rhubarblead.router import promising
from rhubarblead.router import registration
from rhubarblead.router import store_access
from rhubarblead.router import store_client
from rhubarblead.router import takeover
from rhubarblead.router import wire

TICK_S = 0.1
FIRST_PLAN_MS = 4_500
"""From the start until keys are first given out; all nodes start together."""

RELIEF_EVERY_MS = 1_000
"""Between looks for keys that others should have; loads are told as often."""

STOPPING_HOLD_MS = 7_500
"""The server's hold while this node restarts beside it."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLife:
    """What the latest heartbeat of the server beside this node said."""

    server_id: str
    born_ms: int
    sequence: int
    heard_at_ms: int
    is_leaving: bool = False
    is_silent: bool = False

    @property
    def may_hold(self) -> bool:
        """Whether the server is to keep its keys."""
        return not (self.is_leaving or self.is_silent)


class Ownership:
    """The part of this node in who owns which keys of its own service."""

    __slots__ = (
        "_access",
        "_assigning",
        "_connect",
        "_directory",
        "_find_rates",
        "_gathering",
        "_heartbeat_ms",
        "_holdings",
        "_is_loaded",
        "_events",
        "_max_hold_ms",
        "_now_ms",
        "_on_change",
        "_registration",
        "_relief_at_ms",
        "_started_at_ms",
        "_state",
        "_takeover",
        "is_stopping",
        "life",
        "wake",
    )

    def __init__(
        self,
        *,
        member: members.Member,
        known: directory.Directory,
        client: store_client.StoreClient,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        heartbeat_ms: int,
        max_hold_ms: int,
        links: peers.Links,
        on_change: Callable[[], None],
        find_rates: Callable[[], dict[int, float]],
        promises: promising.Promising,
    ) -> None:
        """Makes the task's state; `run` does the work.

        Args:
            member: This node, as the store is to know it.
            known: What this node knows of the others.
            client: The store's client.
            events: The journal.
            now_ms: A clock that goes on while the instance is suspended.
            heartbeat_ms: Time between heartbeats of the server.
            max_hold_ms: The longest hold that servers take.
            links: Links to the other nodes.
            on_change: Called when keys have moved or are held.
            find_rates: Finds the requests a second of the server's keys.
            promises: Exchanges short promises with other nodes.
        """
        self._directory = known
        self._state = known.own_state
        self._events = events
        self._now_ms = now_ms
        self._heartbeat_ms = heartbeat_ms
        self._max_hold_ms = max_hold_ms
        self._connect = links.connect
        self._on_change = on_change
        self._find_rates = find_rates
        self._access = store_access.StoreAccess(
            client=client, events=events, now_ms=now_ms
        )
        self._registration = registration.Registration(
            member=member,
            access=self._access,
            promises=promises,
            events=events,
            now_ms=now_ms,
            on_earlier=self._follow_earlier,
        )
        self._gathering = gathering.Gathering(
            known=known,
            links=links,
            now_ms=now_ms,
            take_change=self._take_written,
            wake=self._wake_up,
        )
        self._assigning = assigning.Assigning(
            known=known,
            access=self._access,
            own=self._registration,
            gathered=self._gathering,
            events=events,
            broadcast=links.broadcast,
            on_adopted=self._take_adopted,
        )
        self._takeover = takeover.Takeover(
            known=known,
            access=self._access,
            assignments=self._assigning,
            own=self._registration,
            granting=promises,
            now_ms=now_ms,
        )
        self._started_at_ms = now_ms()
        longest_ms = min(max_hold_ms, STOPPING_HOLD_MS)
        self._holdings = holdings.Holdings(
            held_until_ms=self._started_at_ms
            + int(longest_ms * holdings.CLOCK_SLOWNESS)
        )
        self._is_loaded = False
        self._relief_at_ms = 0
        self.is_stopping = False
        self.life: ServerLife | None = None
        self.wake = asyncio.Event()

    # What the other tasks ask.

    @property
    def assignments(self) -> assigning.Assigning:
        """Takes assignments that other nodes have sent."""
        return self._assigning

    @property
    def gathering(self) -> gathering.Gathering:
        """Takes changes that this node is to write for others."""
        return self._gathering

    @property
    def takeover(self) -> takeover.Takeover:
        """Takes note of links that work or are lost."""
        return self._takeover

    def get_own_revision(self) -> int:
        """Gets the revision of the node's row."""
        return self._registration.revision

    def count_held(self) -> int:
        """Counts the keys that the server was granted last."""
        return self._holdings.count_granted()

    def find_right_ms(self) -> int:
        """Finds how long this node may let its server hold keys."""
        return self._registration.find_right_ms()

    def is_held(self, key: int) -> bool:
        """Tells whether the server holds a key now."""
        return self._holdings.is_held(key, self._now_ms())

    def is_owned(self, key: int) -> bool:
        """Tells whether a key is for this server, in whichever of its lives."""
        value, _ = self._assigning.get()
        owner = value.find(key).owner
        return assignment.find_node(owner) == self._state.node_id

    # What the server says.

    def take_heartbeat(self, beat: heartbeats.Heartbeat) -> bool:
        """Takes a heartbeat of the server.

        Returns:
            Whether it is the newest of the newest life; others have no effect.
        """
        now_ms = self._now_ms()
        life = self.life
        if life is not None and _is_old(beat, life):
            return False
        if life is None or beat.born_ms != life.born_ms:
            life = self._begin_life(beat, now_ms)
        life.sequence = beat.sequence
        life.heard_at_ms = now_ms
        life.is_silent = False
        life.is_leaving = life.is_leaving or beat.is_draining
        self._holdings.take_heartbeat(
            sequence=beat.sequence,
            held=[(g.first, g.last, g.fence) for g in beat.held or ()],
            freed=[(f.first, f.last, f.handover) for f in beat.freed],
            now_ms=now_ms,
        )
        if life.is_leaving:
            self._release_all("server leaves")
        self.wake.set()
        return True

    def take_deregistration(self, server_id: str) -> bool:
        """Takes note that the server leaves without more heartbeats."""
        if self.life is None or self.life.server_id != server_id:
            return False
        self.life.is_leaving = True
        self._release_all("server has deregistered")
        self.wake.set()
        return True

    def make_reply(self) -> bytes:
        """Makes the answer to the heartbeat that was taken last."""
        if not self._assigning.get()[1]:
            return heartbeats.encode_reply(None, 0)
        reply = self._holdings.make_reply(
            heartbeat_ms=self._heartbeat_ms,
            lease_ms=self.find_right_ms(),
            now_ms=self._now_ms(),
            max_hold_ms=self._max_hold_ms,
            # A longer hold than the row names would be unknown after a restart.
            least_hold_ms=self._find_written_hold_ms(),
        )
        if reply.ranges is None:
            return heartbeats.encode_reply(None, 0)
        return heartbeats.encode_reply(
            tuple(
                heartbeats.Grant(
                    first=item.first,
                    last=item.last,
                    fence=item.fence,
                    handover=item.handover,
                )
                for item in reply.ranges
            ),
            reply.hold_ms,
        )

    # The task.

    async def run(self) -> None:
        """Does the writes that are due, until it is cancelled."""
        while True:
            self.wake.clear()
            await self.step()
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def renew_before_stop(self) -> None:
        """Renews the lease so that it lasts through a restart."""
        if self._is_keyed() and self._registration.is_registered:
            await self._register()

    async def step(self) -> None:
        """Does the one thing that is most urgent."""
        if self._access.is_backing_off or self._directory.table is None:
            self._gathering.refuse_all("the store is out of reach")
            return
        if await self._assigning.write_gathered():
            return
        is_due = self._registration.is_due(
            is_keyed=self._is_keyed(),
            has_server=self.life is not None,
            is_loaded=self._is_loaded,
        )
        if is_due:
            await self._register()
        elif self._registration.is_registered and not self._is_loaded:
            # Read after the own row was written: of two nodes, the one that
            # wrote later sees the other, and links to it.
            await self._load()
        elif self._registration.is_registered:
            await self._work()

    async def _work(self) -> None:
        self._watch_server()
        if not self._is_keyed() or self._registration.find_lease_ms() <= 0:
            return
        if await self._takeover.take_lapsed():
            return
        gifts, cause = self._plan_own()
        if not gifts:
            gifts, cause = self._plan_orphans()
        if gifts:
            await self._give(gifts, cause)
            return
        self._relieve()
        await self._takeover.take_expired()

    def _is_keyed(self) -> bool:
        table = self._directory.table
        return table is not None and table.is_keyed(self._state.service)

    async def _register(self) -> None:
        is_ours = await self._registration.write(
            is_keyed=self._is_keyed(),
            is_loaded=self._is_loaded,
            born_ms=self.life.born_ms if self.life is not None else 0,
            hold_ms=self._find_hold_ms(),
        )
        if not is_ours:
            self._is_loaded = False

    def _find_written_hold_ms(self) -> int:
        return self._registration.member.hold_ms if self.is_stopping else 0

    def _find_hold_ms(self) -> int:
        if self.is_stopping:
            return min(STOPPING_HOLD_MS, self._max_hold_ms)
        usual_ms = int(self._heartbeat_ms * holdings.HOLD_HEARTBEATS)
        # What an earlier process has granted must outlive this one's row, too.
        return max(usual_ms, self._holdings.granted_until_ms - self._now_ms())

    def _follow_earlier(self, member: members.Member) -> None:
        """Takes how long an earlier process has let the server hold keys."""
        longest_ms = int(member.hold_ms * holdings.CLOCK_SLOWNESS) + 1
        self._holdings.follow_earlier(self._started_at_ms + longest_ms)

    async def _load(self) -> None:
        found = await self._access.read("load")
        if found is None:
            return
        self._assigning.take_rows(found.rows)
        self._is_loaded = True
        for row in found.rows:
            if not row.key.startswith(store_access.MEMBER_PREFIX):
                continue
            member = self._access.decode_member(row)
            if member is not None and member.node_id != self._state.node_id:
                self._connect(member.node_id, member.address)

    async def _give(self, gifts: list[assignment.Gift], cause: str) -> None:
        outcome = await self._assigning.write(gifts, cause)
        match outcome:
            case store.Conflict(rows=rows):
                present = [row for row in rows if row.revision]
                if not self._assigning.take_rows(present):
                    self._is_loaded = False
                self._registration.compare(rows)
            case store.InDoubt():
                self._is_loaded = False
            case store.NotDone():
                self._keep_released()
            case _:
                pass

    def _keep_released(self) -> None:
        """Gives the server back what it was to lose for its load only."""
        life = self.life
        # A write in doubt might still give the same keys away.
        if life is None or self._registration.is_in_doubt:
            return
        if life.may_hold:
            self._holdings.give_back()

    # The server beside this node.

    def _begin_life(
        self, beat: heartbeats.Heartbeat, now_ms: int
    ) -> ServerLife:
        if self.life is not None:
            # The server before it is dead, and holds nothing.
            self._holdings = holdings.Holdings(held_until_ms=now_ms)
        life = ServerLife(
            server_id=beat.server_id,
            born_ms=beat.born_ms,
            sequence=-1,
            heard_at_ms=now_ms,
        )
        self.life = life
        self._follow()
        self._events.emit(
            catalog.Event.SERVER_SEEN,
            server_id=beat.server_id,
            born_ms=beat.born_ms,
            slot_count=beat.slots,
        )
        return life

    def _watch_server(self) -> None:
        now_ms = self._now_ms()
        self._holdings.expire(now_ms)
        life = self.life
        if life is None or life.is_silent:
            return
        if life.is_leaving:
            self._release_all("server leaves")
        if now_ms < self._holdings.granted_until_ms:
            return
        silent_ms = now_ms - life.heard_at_ms
        if silent_ms > self._heartbeat_ms * holdings.HOLD_HEARTBEATS:
            life.is_silent = True
            self._events.emit(
                catalog.Event.SERVER_SILENT,
                server_id=life.server_id,
                silent_ms=silent_ms,
            )
            self._on_change()

    def _take_written(self, change: wire.AssignmentChange) -> None:
        """Takes a change with own ones in it that another node has written."""
        if not self._assigning.take_changed(change):
            self._is_loaded = False

    def _wake_up(self) -> None:
        self.wake.set()

    def _take_adopted(self, service: str) -> None:
        if service == self._state.service:
            self._follow()
        self._on_change()

    def _follow(self) -> None:
        """Has the server's holdings follow the newest assignment."""
        if self.life is None:
            return
        value, _ = self._assigning.get()
        self._holdings.follow(value.list_owned(self._name_own(self.life)))

    def _name_own(self, life: ServerLife) -> str:
        return assignment.name_owner(self._state.node_id, life.born_ms)

    def _release_all(self, cause: str) -> None:
        targets = self._list_others()
        new = [
            item
            for item in self._list_owned()
            if not self._holdings.is_releasing(item.first)
        ]
        if not targets or not new:
            return
        value, _ = self._assigning.get()
        gifts = planning.plan_spread(
            present=value, ranges=new, candidates=targets
        )
        self._start_release(gifts, cause)

    def _start_release(self, gifts: list[assignment.Gift], cause: str) -> None:
        self._holdings.start_release(gifts)
        self._events.emit(
            catalog.Event.KEYS_RELEASING,
            cause=cause,
            range_count=len(gifts),
            key_count=sum(g.last - g.first + 1 for g in gifts),
        )

    # Planning.

    def _list_owned(self) -> tuple[assignment.KeyRange, ...]:
        value, _ = self._assigning.get()
        return value.list_of_node(self._state.node_id)

    def _list_candidates(self) -> list[planning.Candidate]:
        return self._directory.list_candidates(
            self._state.service, self._now_ms()
        )

    def _list_others(self) -> list[planning.Candidate]:
        own = self._state.node_id
        return [
            item
            for item in self._list_candidates()
            if assignment.find_node(item.owner) != own
        ]

    def _plan_own(self) -> tuple[list[assignment.Gift], str]:
        """Plans what becomes of the node's own keys."""
        owned = self._list_owned()
        if not owned:
            return [], ""
        released = self._holdings.list_released()
        if released:
            return released, "released"
        life = self.life
        if self._is_server_gone():
            return self._plan_giving_all(owned), "server silent"
        if life is None or life.is_leaving:
            return [], ""
        own = self._name_own(life)
        gifts = [
            assignment.Gift(first=item.first, last=item.last, owner=own)
            for item in owned
            if item.owner != own
        ]
        return gifts, "new life of the server"

    def _is_server_gone(self) -> bool:
        if self.life is not None:
            return self.life.is_silent
        return self._now_ms() >= self._holdings.granted_until_ms

    def _plan_giving_all(
        self, owned: tuple[assignment.KeyRange, ...]
    ) -> list[assignment.Gift]:
        targets = self._list_others()
        if not targets:
            return []
        value, _ = self._assigning.get()
        return planning.plan_spread(
            present=value, ranges=owned, candidates=targets
        )

    def _plan_orphans(self) -> tuple[list[assignment.Gift], str]:
        """Plans owners for keys that nobody owns, on one of the nodes."""
        value, revision = self._assigning.get()
        orphans = value.list_owned(assignment.NOBODY)
        candidates = self._list_candidates()
        if not orphans or not candidates or self._takeover.find_rank():
            return [], ""
        if revision:
            gifts = planning.plan_spread(
                present=value, ranges=orphans, candidates=candidates
            )
            return gifts, "nobody's keys"
        if self._now_ms() - self._started_at_ms < FIRST_PLAN_MS:
            return [], ""
        return planning.plan_first(candidates), "first assignment"

    def _relieve(self) -> None:
        """Begins to hand over keys that other servers should have."""
        now_ms = self._now_ms()
        life = self.life
        if now_ms < self._relief_at_ms or self._holdings.has_releases:
            return
        if not self._access.is_working:
            # What is released without need would be nobody's until it is back.
            return
        self._relief_at_ms = now_ms + RELIEF_EVERY_MS
        value, revision = self._assigning.get()
        if life is None or not life.may_hold or not revision:
            return
        own = self._name_own(life)
        candidates = self._list_candidates()
        gifts = planning.plan_welcome(
            present=value, own=own, candidates=candidates
        )
        cause = "others have too few"
        if not gifts:
            gifts = planning.plan_shift(
                present=value,
                own=own,
                rates=self._find_rates(),
                candidates=candidates,
            )
            cause = "overload"
        if gifts:
            self._start_release(gifts, cause)


def _is_old(beat: heartbeats.Heartbeat, life: ServerLife) -> bool:
    """Tells whether a heartbeat is of an earlier life, or out of order."""
    if beat.born_ms != life.born_ms:
        return beat.born_ms < life.born_ms
    return beat.sequence <= life.sequence
