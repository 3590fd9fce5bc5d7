"""Keeps this node's lease and its server's keys, by the platform's store.

One task makes all writes, one after the other. Each write expects the node's
own row at the revision that this process has written, so that no late write of
an earlier process, or of a try that was given up, can take effect after it.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import holdings
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import members
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import promises
from rhubarblead.platform import heartbeats
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import journal
from rhubarblead.router import promising
from rhubarblead.router import store_client
from rhubarblead.router import wire

TICK_S = 0.1
FIRST_PLAN_MS = 4_500
"""From the start until keys are first given out; all nodes start together."""

SILENT_MS = 1_000
"""A node whose link is down for so long is looked up in the store."""

RANK_DELAY_MS = 1_500
"""By which the next node waits longer, so that one does the work."""

FIRST_HEARTBEAT_MS = 1_500
"""From the start until a node registers without having heard its server."""

RELIEF_EVERY_MS = 1_000
GRANTER_EVERY_MS = 1_000
"""Between two choices of a granter, so that a storm costs few writes."""

RETRY_AFTER_MS = 500
"""After a call to the store that failed."""

MEMBER_PREFIX = "m/"
ASSIGNMENT_PREFIX = "a/"

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
    has_deregistered: bool = False
    is_silent: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Absence:
    """A node that owns keys and is out of reach."""

    since_ms: int
    ends_store_ms: int | None = None
    look_at_ms: int = 0


class Ownership:
    """The part of this node in who owns which keys of its own service."""

    __slots__ = (
        "_absences",
        "_broadcast",
        "_clock",
        "_connect",
        "_directory",
        "_down_since_ms",
        "_find_rates",
        "_granter_at_ms",
        "_heartbeat_ms",
        "_holdings",
        "_is_loaded",
        "_is_registered",
        "_journal",
        "_lapsed_revisions",
        "_lease",
        "_max_hold_ms",
        "_member",
        "_now_ms",
        "_on_change",
        "_own_revision",
        "_promising",
        "_relief_at_ms",
        "_retry_at_ms",
        "_started_at_ms",
        "_store",
        "_store_failed",
        "_term",
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
        events: journal.Journal,
        now_ms: Callable[[], int],
        heartbeat_ms: int,
        max_hold_ms: int,
        connect: Callable[[str, str], None],
        broadcast: Callable[[wire.Message], None],
        on_change: Callable[[], None],
        find_rates: Callable[[], dict[int, float]],
        promising: promising.Promising,
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
            connect: Opens a link to a node.
            broadcast: Sends a message to all nodes.
            on_change: Called when keys have moved or are held.
            find_rates: Finds the requests a second of the server's keys.
            promising: Exchanges short promises with other nodes.
        """
        self._member = member
        self._directory = known
        self._store = client
        self._journal = events
        self._now_ms = now_ms
        self._heartbeat_ms = heartbeat_ms
        self._max_hold_ms = max_hold_ms
        self._connect = connect
        self._broadcast = broadcast
        self._on_change = on_change
        self._find_rates = find_rates
        self._promising = promising
        self._clock = lease.StoreClock()
        self._lease = lease.Lease(store_clock=self._clock)
        self._started_at_ms = now_ms()
        self._holdings = holdings.Holdings(
            held_until_ms=self._started_at_ms + max_hold_ms
        )
        self._own_revision = 0
        self._granter_at_ms = 0
        self._is_registered = False
        self._is_loaded = False
        self._absences: dict[str, _Absence] = {}
        self._lapsed_revisions: dict[str, int] = {}
        self._down_since_ms: dict[str, int] = {}
        self._relief_at_ms = 0
        self._retry_at_ms = 0
        self._store_failed = False
        self._term = 0
        self.is_stopping = False
        self.life: ServerLife | None = None
        self.wake = asyncio.Event()

    # What the other tasks tell and ask.

    def get_own_revision(self) -> int:
        """Gets the revision of the node's row."""
        return self._own_revision

    def count_held(self) -> int:
        """Counts the keys that the server was granted last."""
        return self._holdings.count_granted()

    def find_right_ms(self) -> int:
        """Finds how long this node may let its server hold keys."""
        now_ms = self._now_ms()
        lease_ms = self._lease.find_remaining_ms(now_ms)
        return self._promising.holder.find_remaining_ms(lease_ms, now_ms)

    def is_held(self, key: int) -> bool:
        """Tells whether the server holds a key now."""
        return self._holdings.is_held(key, self._now_ms())

    def take_heartbeat(self, beat: heartbeats.Heartbeat) -> bool:
        """Takes a heartbeat of the server.

        Returns:
            Whether it is the newest of the newest life; others have no effect.
        """
        now_ms = self._now_ms()
        life = self.life
        if life is not None:
            if beat.born_ms < life.born_ms:
                return False
            if beat.born_ms == life.born_ms and beat.sequence <= life.sequence:
                return False
        if life is None or beat.born_ms != life.born_ms:
            self._begin_life(beat, now_ms, is_first=life is None)
            life = self.life
        assert life is not None
        life.sequence = beat.sequence
        life.heard_at_ms = now_ms
        life.is_silent = False
        if beat.is_draining:
            life.is_leaving = True
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
        self.life.has_deregistered = True
        self._release_all("server has deregistered")
        self.wake.set()
        return True

    def make_reply(self) -> bytes:
        """Makes the answer to the heartbeat that was taken last."""
        now_ms = self._now_ms()
        if not self._directory.get_assignment(self._member.service)[1]:
            return heartbeats.encode_reply(None, 0)
        reply = self._holdings.make_reply(
            heartbeat_ms=self._heartbeat_ms,
            lease_ms=self.find_right_ms(),
            now_ms=now_ms,
            max_hold_ms=self._max_hold_ms,
            least_hold_ms=STOPPING_HOLD_MS if self.is_stopping else 0,
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

    def take_changed(self, change: wire.Changed) -> bool:
        """Takes a change of an assignment from the node that wrote it.

        Returns:
            False where this node has missed an earlier one.
        """
        value, revision = self._directory.get_assignment(change.service)
        if change.revision <= revision:
            return True
        if change.base_revision != revision:
            return False
        gifts = [
            assignment.Gift(first=a, last=b, owner=owner, handover=token)
            for a, b, owner, token in change.gifts
        ]
        self._adopt(change.service, value.give(gifts), change.revision)
        return True

    def take_whole(self, service: str, content: bytes, revision: int) -> None:
        """Takes a whole assignment from another node or the store."""
        try:
            value = assignment.decode(content)
        except assignment.CannotDecode as error:
            self._journal.emit(
                catalog.Event.MESSAGE_REFUSED,
                source=f"assignment of {service}",
                error=str(error),
            )
            return
        self._adopt(service, value, revision)

    def note_link(self, node_id: str, *, is_up: bool) -> None:
        """Takes note of a link that works or is lost."""
        if is_up:
            self._down_since_ms.pop(node_id, None)
            self._absences.pop(node_id, None)
        else:
            self._down_since_ms.setdefault(node_id, self._now_ms())

    # The task.

    async def run(self) -> None:
        """Does the writes that are due, until it is cancelled."""
        while True:
            self.wake.clear()
            if self._now_ms() >= self._retry_at_ms:
                await self._step()
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def renew_before_stop(self) -> None:
        """Renews the lease so that it lasts through a restart."""
        if self._is_keyed() and self._is_registered:
            await self._register()

    async def _step(self) -> None:
        if self._must_register():
            await self._register()
            return
        if not self._is_registered:
            return
        if not self._is_loaded:
            # Read after the own row was written: of two nodes, the one that
            # wrote later sees the other, and links to it.
            await self._load()
            return
        self._watch_server()
        if not self._is_keyed():
            return
        if self._lease.find_remaining_ms(self._now_ms()) <= 0:
            return
        if await self._take_lapsed():
            return
        gifts, cause = self._plan_own()
        if not gifts:
            gifts, cause = self._plan_orphans()
        if gifts:
            await self._write_gifts(gifts, cause)
            return
        self._relieve()
        await self._take_over()

    def _is_keyed(self) -> bool:
        table = self._directory.table
        return table is not None and table.is_keyed(self._member.service)

    # Reading and registering.

    async def _load(self) -> None:
        asked_at_ms = self._now_ms()
        outcome = await self._store.read(store.TABLE)
        if not isinstance(outcome, store.Rows):
            self._fail("read", outcome)
            return
        self._succeed("read")
        self._clock.observe(asked_at_ms=asked_at_ms, store_ms=outcome.now_ms)
        found: dict[str, members.Member] = {}
        for row in outcome.rows:
            if row.key.startswith(MEMBER_PREFIX):
                self._take_member_row(row, found)
            elif row.key.startswith(ASSIGNMENT_PREFIX):
                service = row.key.removeprefix(ASSIGNMENT_PREFIX)
                self.take_whole(service, row.value, row.revision)
        self._is_loaded = True
        for node_id, member in found.items():
            if node_id != self._member.node_id:
                self._connect(node_id, member.address)

    def _take_member_row(
        self, row: store.Row, found: dict[str, members.Member]
    ) -> None:
        try:
            member = members.decode(row.value)
        except members.CannotDecode as error:
            self._journal.emit(
                catalog.Event.MESSAGE_REFUSED, source=row.key, error=str(error)
            )
            return
        found[member.node_id] = member

    def _must_register(self) -> bool:
        now_ms = self._now_ms()
        if self._directory.table is None:
            return False
        if self._is_registered and not self._is_keyed():
            return False
        if not self._is_registered and self.life is None:
            has_waited = now_ms - self._started_at_ms > FIRST_HEARTBEAT_MS
            return has_waited and self._lease.is_due(now_ms)
        is_lone = self._is_loaded and self._promising.needs_other()
        return self._lease.is_due(now_ms) or (
            is_lone and self._lease.is_held and now_ms >= self._granter_at_ms
        )

    async def _register(self) -> None:
        """Writes the node's own row; for a keyed service it is the lease."""
        sent_at_ms = self._now_ms()
        ends_ms = self._lease.find_end(sent_at_ms) if self._is_keyed() else 0
        born_ms = self.life.born_ms if self.life is not None else 0
        member = msgspec.structs.replace(
            self._member, ends_store_ms=ends_ms, born_ms=born_ms
        )
        if self._is_keyed() and self._is_loaded:
            member = self._choose_granter(member)
        key = MEMBER_PREFIX + member.node_id
        outcome = await self._store.write(
            expected=(store.Expected(key=key, revision=self._own_revision),),
            puts=(store.Put(key=key, value=members.encode(member)),),
        )
        match outcome:
            case store.Applied():
                self._succeed("renew")
                was_held = self._lease.is_held
                self._own_revision = outcome.revision
                self._member = member
                self._is_registered = True
                self._promising.begin_term(member.granter, member.term)
                self._lease.renewed(
                    ends_store_ms=ends_ms, sent_at_ms=sent_at_ms
                )
                self._clock.observe(
                    asked_at_ms=sent_at_ms, store_ms=outcome.now_ms
                )
                if self._lease.is_held and not was_held:
                    self._journal.emit(
                        catalog.Event.LEASE_RENEWED_FIRST,
                        born_ms=born_ms,
                        remaining_ms=self._lease.find_remaining_ms(
                            self._now_ms()
                        ),
                    )
            case store.Conflict(rows=rows):
                self._take_own_conflict(rows)
            case _:
                self._lease.failed(self._now_ms())
                self._fail("renew", outcome)

    def _choose_granter(self, member: members.Member) -> members.Member:
        """Names another granter where the present one is out of reach."""
        if not self._promising.needs_other():
            return member
        self._granter_at_ms = self._now_ms() + GRANTER_EVERY_MS
        return msgspec.structs.replace(
            member, granter=self._promising.choose(), term=self._next_term()
        )

    def _next_term(self) -> int:
        self._term += 1
        return self._term

    def _take_own_conflict(self, rows: tuple[store.Row, ...]) -> None:
        """Finds out who has written the node's own row."""
        key = MEMBER_PREFIX + self._member.node_id
        found: dict[str, members.Member] = {}
        self._own_revision = 0
        for row in rows:
            if row.key == key and row.revision:
                self._own_revision = row.revision
                self._take_member_row(row, found)
        present = found.get(self._member.node_id)
        if present is not None:
            self._lease.follow_earlier(present.ends_store_ms)
        if present is None or present.incarnation != self._member.incarnation:
            self._lose_lease()

    def _lose_lease(self) -> None:
        """Begins anew, as the own row is an earlier process's or was taken."""
        if not self._is_registered:
            return
        self._is_registered = False
        self._is_loaded = False
        self._lease.lost()
        self._member = msgspec.structs.replace(self._member, granter="")
        self._promising.begin_term("", self._next_term())
        self._journal.emit(
            catalog.Event.LEASE_TAKEN, revision=self._own_revision
        )

    # The server beside this node.

    def _begin_life(
        self, beat: heartbeats.Heartbeat, now_ms: int, *, is_first: bool
    ) -> None:
        self.life = ServerLife(
            server_id=beat.server_id,
            born_ms=beat.born_ms,
            sequence=-1,
            heard_at_ms=now_ms,
        )
        if not is_first:
            # The server before it is dead, and holds nothing.
            self._holdings = holdings.Holdings(held_until_ms=now_ms)
        self._follow()
        self._journal.emit(
            catalog.Event.SERVER_SEEN,
            server_id=beat.server_id,
            born_ms=beat.born_ms,
            slot_count=beat.slots,
        )

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
            self._journal.emit(
                catalog.Event.SERVER_SILENT,
                server_id=life.server_id,
                silent_ms=silent_ms,
            )
            self._on_change()

    def _release_all(self, cause: str) -> None:
        owned = self._list_owned()
        if not owned:
            return
        targets = self._list_others()
        if not targets:
            return
        value, _ = self._directory.get_assignment(self._member.service)
        new = [
            item
            for item in owned
            if not self._holdings.is_releasing(item.first)
        ]
        if not new:
            return
        gifts = planning.plan_spread(
            present=value, ranges=new, candidates=targets
        )
        self._start_release(gifts, cause)

    def _start_release(self, gifts: list[assignment.Gift], cause: str) -> None:
        self._holdings.start_release(gifts)
        self._journal.emit(
            catalog.Event.KEYS_RELEASING,
            cause=cause,
            range_count=len(gifts),
            key_count=sum(g.last - g.first + 1 for g in gifts),
        )

    def _list_owned(self) -> tuple[assignment.KeyRange, ...]:
        value, _ = self._directory.get_assignment(self._member.service)
        return value.list_of_node(self._member.node_id)

    def _list_others(self) -> list[planning.Candidate]:
        candidates = self._directory.list_candidates(
            self._member.service, self._now_ms()
        )
        own = self._member.node_id
        return [
            item
            for item in candidates
            if assignment.find_node(item.owner) != own
        ]

    # Planning.

    def _plan_own(self) -> tuple[list[assignment.Gift], str]:
        """Plans what becomes of the node's own keys."""
        life = self.life
        owned = self._list_owned()
        if not owned:
            return [], ""
        released = self._holdings.list_released()
        if released:
            return released, "released"
        now_ms = self._now_ms()
        value, _ = self._directory.get_assignment(self._member.service)
        is_gone = life is None and now_ms >= self._holdings.granted_until_ms
        if life is not None and life.is_silent:
            is_gone = True
        if is_gone:
            targets = self._list_others()
            if not targets:
                return [], ""
            return (
                planning.plan_spread(
                    present=value, ranges=owned, candidates=targets
                ),
                "server silent",
            )
        if life is None or life.is_leaving:
            return [], ""
        own = assignment.name_owner(self._member.node_id, life.born_ms)
        old = [item for item in owned if item.owner != own]
        return (
            [
                assignment.Gift(first=item.first, last=item.last, owner=own)
                for item in old
            ],
            "new life of the server",
        )

    def _plan_orphans(self) -> tuple[list[assignment.Gift], str]:
        """Plans owners for keys that nobody owns, on one of the nodes."""
        value, revision = self._directory.get_assignment(self._member.service)
        orphans = value.list_owned(assignment.NOBODY)
        if not orphans:
            return [], ""
        now_ms = self._now_ms()
        candidates = self._directory.list_candidates(
            self._member.service, now_ms
        )
        if not candidates or self._find_rank() != 0:
            return [], ""
        if revision:
            return (
                planning.plan_spread(
                    present=value, ranges=orphans, candidates=candidates
                ),
                "nobody's keys",
            )
        if now_ms - self._started_at_ms < FIRST_PLAN_MS:
            return [], ""
        return planning.plan_first(candidates), "first assignment"

    def _find_rank(self) -> int:
        """Finds how many nodes in reach come before this one."""
        own = self._member.node_id
        return sum(
            state.node_id < own
            for state, _ in self._directory.list_servers(
                self._member.service, self._now_ms()
            )
            if state.node_id != own
        )

    def _relieve(self) -> None:
        """Begins to hand keys to servers that have far too few."""
        now_ms = self._now_ms()
        life = self.life
        if now_ms < self._relief_at_ms or self._holdings.has_releases:
            return
        self._relief_at_ms = now_ms + RELIEF_EVERY_MS
        if life is None or life.is_leaving or life.is_silent:
            return
        value, revision = self._directory.get_assignment(self._member.service)
        if not revision:
            return
        own = assignment.name_owner(self._member.node_id, life.born_ms)
        candidates = self._directory.list_candidates(
            self._member.service, now_ms
        )
        gifts = planning.plan_welcome(
            present=value, own=own, candidates=candidates
        )
        if gifts:
            self._start_release(gifts, "others have too few")
            return
        gifts = planning.plan_shift(
            present=value,
            own=own,
            rates=self._find_rates(),
            candidates=candidates,
        )
        if gifts:
            self._start_release(gifts, "overload")

    # Writing.

    async def _write_gifts(
        self, gifts: list[assignment.Gift], cause: str
    ) -> None:
        service = self._member.service
        value, revision = self._directory.get_assignment(service)
        changed = value.give(gifts)
        await self._write_assignment(
            changed=changed,
            revision=revision,
            gifts=gifts,
            cause=cause,
            lost_id="",
            lost_revision=0,
        )

    async def _write_assignment(
        self,
        *,
        changed: assignment.Assignment,
        revision: int,
        gifts: list[assignment.Gift],
        cause: str,
        lost_id: str,
        lost_revision: int,
    ) -> None:
        service = self._member.service
        key = ASSIGNMENT_PREFIX + service
        own_key = MEMBER_PREFIX + self._member.node_id
        expected = [
            store.Expected(key=key, revision=revision),
            store.Expected(key=own_key, revision=self._own_revision),
        ]
        removed: tuple[str, ...] = ()
        if lost_id:
            lost_key = MEMBER_PREFIX + lost_id
            expected.append(
                store.Expected(key=lost_key, revision=lost_revision)
            )
            removed = (lost_key,) if lost_revision else ()
        sent_at_ms = self._now_ms()
        outcome = await self._store.write(
            expected=tuple(expected),
            puts=(store.Put(key=key, value=changed.encode()),),
            removed_keys=removed,
        )
        match outcome:
            case store.Applied():
                self._succeed("assign")
                self._clock.observe(
                    asked_at_ms=sent_at_ms, store_ms=outcome.now_ms
                )
                if lost_id:
                    self._promising.granter.forget(lost_id)
                    self._lapsed_revisions.pop(lost_id, None)
                self._report_moved(changed, outcome.revision, gifts, cause)
                self._adopt(service, changed, outcome.revision)
                self._broadcast(
                    wire.Changed(
                        service=service,
                        base_revision=revision,
                        revision=outcome.revision,
                        gifts=[
                            (g.first, g.last, g.owner, g.handover)
                            for g in gifts
                        ],
                    )
                )
            case store.Conflict(rows=rows):
                self._take_conflict(rows, lost_id)
            case store.InDoubt():
                # A new revision of the own row bars the write from later.
                self._fail("assign", outcome)
                self._lease.expire_renewal()
                self._is_loaded = False
            case _:
                self._fail("assign", outcome)

    def _take_conflict(self, rows: tuple[store.Row, ...], lost_id: str) -> None:
        """Takes the present rows, by which the next try is planned."""
        by_key = {row.key: row for row in rows if row.revision}
        assigned = by_key.get(ASSIGNMENT_PREFIX + self._member.service)
        own = by_key.get(MEMBER_PREFIX + self._member.node_id)
        lost = by_key.get(MEMBER_PREFIX + lost_id) if lost_id else None
        if lost is not None:
            self._follow_lapsed_row(lost)
        elif lost_id:
            self._promising.granter.forget(lost_id)
        if own is None or own.revision != self._own_revision:
            self._lease.expire_renewal()
        if assigned is None:
            self._is_loaded = False
            return
        self.take_whole(self._member.service, assigned.value, assigned.revision)

    def _report_moved(
        self,
        changed: assignment.Assignment,
        revision: int,
        gifts: list[assignment.Gift],
        cause: str,
    ) -> None:
        self._journal.emit(
            catalog.Event.KEYS_MOVED,
            service=self._member.service,
            revision=revision,
            fence=changed.fence,
            range_count=len(gifts),
            key_count=sum(g.last - g.first + 1 for g in gifts),
            cause=cause,
        )

    def _adopt(
        self, service: str, value: assignment.Assignment, revision: int
    ) -> None:
        if not self._directory.set_assignment(service, value, revision):
            return
        if service == self._member.service:
            self._follow()
        self._on_change()

    def _follow(self) -> None:
        """Has the server's holdings follow the newest assignment."""
        if self.life is None:
            return
        value, _ = self._directory.get_assignment(self._member.service)
        own = assignment.name_owner(self._member.node_id, self.life.born_ms)
        self._holdings.follow(value.list_owned(own))

    # Taking over.

    async def _take_over(self) -> None:
        """Takes the keys of a node whose lease has certainly ended."""
        now_ms = self._now_ms()
        self._find_absences(now_ms)
        for node_id, absence in list(self._absences.items()):
            if now_ms < absence.look_at_ms:
                continue
            await self._look_up(node_id, absence)
            return

    def _find_absences(self, now_ms: int) -> None:
        value, _ = self._directory.get_assignment(self._member.service)
        owners = {
            assignment.find_node(item.owner)
            for item in value.ranges
            if item.owner
        }
        delay_ms = SILENT_MS + self._find_rank() * RANK_DELAY_MS
        for node_id in owners - {self._member.node_id}:
            state = self._directory.find_state(node_id)
            since_ms = self._down_since_ms.get(node_id)
            if state is not None and since_ms is None:
                self._absences.pop(node_id, None)
                continue
            if since_ms is None:
                since_ms = self._down_since_ms.setdefault(node_id, now_ms)
            if now_ms - since_ms >= delay_ms:
                self._absences.setdefault(node_id, _Absence(since_ms=since_ms))
        for node_id in set(self._absences) - owners:
            del self._absences[node_id]

    async def _look_up(self, node_id: str, absence: _Absence) -> None:
        asked_at_ms = self._now_ms()
        outcome = await self._store.read(store.TABLE)
        if not isinstance(outcome, store.Rows):
            self._fail("look up", outcome)
            return
        self._succeed("look up")
        self._clock.observe(asked_at_ms=asked_at_ms, store_ms=outcome.now_ms)
        rows = {row.key: row for row in outcome.rows}
        key = ASSIGNMENT_PREFIX + self._member.service
        if key in rows:
            self.take_whole(
                self._member.service, rows[key].value, rows[key].revision
            )
        row = rows.get(MEMBER_PREFIX + node_id)
        found: dict[str, members.Member] = {}
        if row is not None:
            self._take_member_row(row, found)
        member = found.get(node_id)
        ends_store_ms = member.ends_store_ms if member is not None else 0
        if not lease.is_over(
            ends_store_ms=ends_store_ms, store_ms=outcome.now_ms
        ):
            wait_ms = ends_store_ms - outcome.now_ms + lease.TAKEOVER_MARGIN_MS
            absence.look_at_ms = self._now_ms() + wait_ms
            return
        await self._take_keys(node_id, row.revision if row is not None else 0)

    async def _take_lapsed(self) -> bool:
        """Takes the keys of a node whose promises by this one have ended.

        Returns:
            Whether there was such a node.
        """
        granter = self._promising.granter
        lapsed = granter.list_lapsed(self._now_ms())
        if not lapsed:
            return False
        node_id, revision = lapsed[0]
        value, _ = self._directory.get_assignment(self._member.service)
        if not value.list_of_node(node_id):
            granter.forget(node_id)
            return True
        await self._take_keys(
            node_id, self._lapsed_revisions.get(node_id, revision)
        )
        return True

    def _follow_lapsed_row(self, row: store.Row) -> None:
        """Finds out whether a lapsed node's row still names this process."""
        found: dict[str, members.Member] = {}
        self._take_member_row(row, found)
        own = promising.name_process(
            self._member.node_id, self._member.incarnation
        )
        for node_id, member in found.items():
            term = promises.Term(
                node_id=node_id,
                incarnation=member.incarnation,
                number=member.term,
            )
            is_same = self._promising.granter.is_term(term)
            if member.granter == own and is_same:
                self._lapsed_revisions[node_id] = row.revision
            else:
                self._promising.granter.forget(node_id)

    async def _take_keys(self, node_id: str, row_revision: int) -> None:
        value, revision = self._directory.get_assignment(self._member.service)
        candidates = [
            item
            for item in self._directory.list_candidates(
                self._member.service, self._now_ms()
            )
            if assignment.find_node(item.owner) != node_id
        ]
        ranges = value.list_of_node(node_id)
        if not candidates or not ranges:
            return
        gifts = planning.plan_spread(
            present=value, ranges=ranges, candidates=candidates
        )
        await self._write_assignment(
            changed=value.give(gifts),
            revision=revision,
            gifts=gifts,
            cause=f"lease of {node_id} has ended",
            lost_id=node_id,
            lost_revision=row_revision,
        )

    # Failures of the store.

    def _fail(
        self, call: str, outcome: store.WriteOutcome | store.ReadOutcome
    ) -> None:
        self._retry_at_ms = self._now_ms() + RETRY_AFTER_MS
        self._store_failed = True
        self._journal.emit(
            catalog.Event.STORE_CALL_FAILED,
            call=call,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )

    def _succeed(self, call: str) -> None:
        if self._store_failed:
            self._store_failed = False
            self._journal.emit(catalog.Event.STORE_CALLS_RESUMED, call=call)
