"""Manages which keys the server beside this node owns and holds.

One task does all writes to the store, one at a time.
"""

import asyncio
from collections.abc import Callable
import random

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import eras
from rhubarblead.keyspace import holdings
from rhubarblead.keyspace import load_shifts
from rhubarblead.keyspace import members
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import recent_shifts
from rhubarblead.platform import heartbeats
from rhubarblead.platform import settings
from rhubarblead.platform import store
from rhubarblead.requests import poison
from rhubarblead.router import assignment_repository
from rhubarblead.router import crash_store
from rhubarblead.router import directory
from rhubarblead.router import era_recovery
from rhubarblead.router import event_log
from rhubarblead.router import peers
from rhubarblead.router import promise_exchange
from rhubarblead.router import registration
from rhubarblead.router import server_process
from rhubarblead.router import store_access
from rhubarblead.router import store_client
from rhubarblead.router import takeover
from rhubarblead.router import wire
from rhubarblead.router import write_batching

TICK_S = 0.1
FIRST_PLAN_DELAY_MS = 4_500
"""Delay of the initial assignment, as all nodes start at the same time."""

REBALANCE_INTERVAL_MS = 500
"""Interval of the checks for rebalancing, as of those for changed loads."""

STOPPING_HOLD_MS = 7_500
"""How long the server may hold its keys while this node restarts."""


class Ownership:
    """Manages this node's share of the keys of its service.

    It renews the node's lease, grants keys to the local server, hands keys over
    and takes over those of lost nodes.
    """

    __slots__ = (
        "_access",
        "_assignments",
        "_connect",
        "_crash_store",
        "_directory",
        "_find_rates",
        "_batcher",
        "_heartbeat_ms",
        "_has_loaded",
        "_holdings",
        "_is_assignment_stale",
        "_is_loaded",
        "_events",
        "_max_hold_ms",
        "_now_ms",
        "_on_change",
        "_recovery",
        "_registration",
        "_rebalance_at_ms",
        "_recent_shifts",
        "_started_at_ms",
        "_state",
        "_takeover",
        "_tracker",
        "_wall_ms",
        "is_evacuated",
        "is_stopping",
        "on_proof_changed",
        "wake",
    )

    def __init__(
        self,
        *,
        member: members.Member,
        cluster_directory: directory.Directory,
        client: store_client.StoreClient,
        events: event_log.EventLog,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        heartbeat_ms: int,
        max_hold_ms: int,
        links: peers.Links,
        on_change: Callable[[], None],
        find_rates: Callable[[], dict[int, float]],
        promise_exchange: promise_exchange.PromiseExchange,
        random_source: random.Random,
        is_first_start: bool = False,
    ) -> None:
        """Initializes the state of the task; `run` does the work.

        Args:
            member: The row of this node as it is to be stored.
            cluster_directory: The local view of the cluster.
            client: The client of the store.
            events: The event log.
            now_ms: A clock that also counts while the instance is suspended.
            wall_ms: The Unix time in milliseconds.
            heartbeat_ms: Interval of the heartbeats of the server.
            max_hold_ms: The longest hold that servers accept.
            links: The links to the other nodes.
            on_change: Called after a change of an assignment, or when the
                server has become silent.
            find_rates: Returns the requests per second of the server by key.
            promise_exchange: Exchanges promises with other nodes.
            random_source: Spreads the writes of all nodes.
            is_first_start: Whether the whole deployment starts for the first
                time, so that there are no rows yet.
        """
        self._directory = cluster_directory
        self._state = cluster_directory.own_state
        self._events = events
        self._now_ms = now_ms
        self._wall_ms = wall_ms
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
            promise_exchange=promise_exchange,
            events=events,
            now_ms=now_ms,
            on_previous_process=self._apply_previous_process,
            is_first_start=is_first_start,
        )
        self._batcher = write_batching.WriteBatcher(
            cluster_directory=cluster_directory,
            links=links,
            now_ms=now_ms,
            on_written=self._apply_written,
            wake=self._wake_up,
            find_timeout_ms=lambda: client.timeout_ms,
        )
        self._assignments = assignment_repository.AssignmentRepository(
            cluster_directory=cluster_directory,
            access=self._access,
            own_registration=self._registration,
            batcher=self._batcher,
            events=events,
            broadcast=links.broadcast,
            on_adopted=self._handle_adopted,
        )
        self._recovery = era_recovery.EraRecovery(
            access=self._access,
            assignments=self._assignments,
            own_registration=self._registration,
            events=events,
            now_ms=now_ms,
        )
        self._takeover = takeover.Takeover(
            cluster_directory=cluster_directory,
            access=self._access,
            assignments=self._assignments,
            own_registration=self._registration,
            promise_exchange=promise_exchange,
            recovery=self._recovery,
            now_ms=now_ms,
        )
        self._crash_store = crash_store.CrashStore(
            node_id=member.node_id,
            access=self._access,
            events=events,
            now_ms=now_ms,
            count_nodes=cluster_directory.count_nodes,
            random_source=random_source,
        )
        self._started_at_ms = now_ms()
        longest_ms = min(max_hold_ms, STOPPING_HOLD_MS)
        self._holdings = holdings.Holdings(
            held_until_ms=self._started_at_ms
            + int(longest_ms * holdings.MAX_CLOCK_SLOWDOWN)
        )
        self._is_loaded = False
        self._has_loaded = False
        # Set if other nodes may have taken over keys of this one, or of an
        # earlier process; then nothing is granted before the rows are read.
        self._is_assignment_stale = not is_first_start
        self._rebalance_at_ms = 0
        self._recent_shifts = recent_shifts.RecentShifts()
        self.is_evacuated = False
        self.is_stopping = False
        # Called with the cause when it is known whether the server may have
        # left, or no longer known.
        self.on_proof_changed: Callable[[str], None] = lambda cause: None
        self._tracker = server_process.ServerTracker(
            interval_ms=heartbeat_ms,
            started_at_ms=self._started_at_ms,
            is_first_start=is_first_start,
        )
        self.wake = asyncio.Event()

    # Interface to the other tasks.

    @property
    def is_keyed(self) -> bool:
        """Whether the servers of this service are known to hold keys."""
        table = self._directory.table
        return table is not None and table.is_keyed(self._state.service)

    @property
    def assignments(self) -> assignment_repository.AssignmentRepository:
        """Keeps the known assignments, and applies those of other nodes."""
        return self._assignments

    @property
    def batcher(self) -> write_batching.WriteBatcher:
        """Queues changes that this node writes for others."""
        return self._batcher

    @property
    def takeover(self) -> takeover.Takeover:
        """Takes over the keys of lost nodes."""
        return self._takeover

    @property
    def crash_store(self) -> crash_store.CrashStore:
        """Keeps the crashes of the server in the store."""
        return self._crash_store

    def add_crash(self, crash: poison.Crash) -> None:
        """Stores a crash of the server, which this node has reported."""
        self._crash_store.add(crash)
        self.wake.set()

    @property
    def has_loaded(self) -> bool:
        """Whether this process has read the rows of all nodes."""
        return self._has_loaded

    def get_own_revision(self) -> int:
        """Returns the revision of the node's row in the store."""
        return self._registration.revision

    def count_held(self) -> int:
        """Counts the keys in the latest grant to the server."""
        return self._holdings.count_granted()

    def find_effective_lease_ms(self) -> int:
        """Returns how long this node may let its server hold keys."""
        return self._registration.find_effective_lease_ms()

    def is_held(self, key: int) -> bool:
        """Tells whether the server currently holds a key."""
        return self._holdings.is_held(key, self._now_ms())

    def is_owned(self, key: int) -> bool:
        """Tells whether a key is assigned to a server process of this node.

        That may be an earlier process of the server.
        """
        key_assignment, _ = self._assignments.get()
        owner = key_assignment.find(key).owner
        return assignment.parse_node_id(owner) == self._state.node_id

    def list_spans(self) -> list[tuple[int, int]]:
        """Lists first and last key of each range assigned to this node."""
        key_assignment, _ = self._assignments.get()
        owned = key_assignment.list_owned_by_node(self._state.node_id)
        return [(item.first, item.last) for item in owned]

    # Heartbeats of the server.

    @property
    def server(self) -> server_process.ServerState | None:
        """The server process that lives, None before its first heartbeat."""
        return self._tracker.current

    def handle_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, *, is_redirected: bool = False
    ) -> server_process.Standing:
        """Handles a heartbeat of the server.

        Args:
            heartbeat: The heartbeat.
            is_redirected: Whether it was sent to an address that only replies
                of this process name.

        Returns:
            What it says of its sender. One that is late has no other effect
            than to announce the exit, one of an earlier process none.
        """
        now_ms = self._now_ms()
        standing = self._tracker.judge(heartbeat, now_ms)
        if heartbeat.is_draining:
            self._record_leaving(
                heartbeat.server_id, heartbeat.born_ms, "heartbeat"
            )
            if standing is not server_process.Standing.EARLIER:
                self._store_exit(heartbeat.server_id, heartbeat.born_ms)
        match standing:
            case server_process.Standing.EARLIER:
                pass
            case server_process.Standing.LATE:
                self._apply_departure("server is draining")
            case server_process.Standing.NEW:
                self._replace_server(heartbeat, now_ms)
                self._apply_heartbeat(
                    heartbeat, now_ms, is_redirected=is_redirected
                )
            case server_process.Standing.NEXT:
                self._apply_heartbeat(
                    heartbeat, now_ms, is_redirected=is_redirected
                )
        return standing

    def _apply_heartbeat(
        self,
        heartbeat: heartbeats.Heartbeat,
        now_ms: int,
        *,
        is_redirected: bool,
    ) -> None:
        server = self.server
        assert server is not None
        proof = self._tracker.proof
        self._tracker.watch_gap(now_ms)
        server.sequence = heartbeat.sequence
        server.last_heartbeat_at_ms = now_ms
        server.is_silent = False
        server.heartbeat_count += 1
        server.has_read_reply |= is_redirected
        self._report_proof(proof)
        held = [(g.first, g.last, g.fence) for g in heartbeat.held or ()]
        self._recovery.record_heartbeat([(h[0], h[1]) for h in held])
        self._holdings.record_heartbeat(
            sequence=heartbeat.sequence,
            held=held,
            freed=[(f.first, f.last, f.handover) for f in heartbeat.freed],
            now_ms=now_ms,
        )
        self._apply_departure("server is draining")
        self.wake.set()

    def handle_deregistration(self, server_id: str, born_ms: int) -> bool:
        """Handles a server's notice that it sends no more heartbeats.

        Args:
            server_id: The server.
            born_ms: The Unix time of its start, 0 if that is not known.

        Returns:
            Whether it holds for the server whenever that sends a heartbeat.
            One of an earlier process under the same id doesn't.
        """
        server = self.server
        is_known = server is not None and server.server_id == server_id
        wall_ms = self._wall_ms()
        latest_born_ms = born_ms or wall_ms
        if not born_ms:
            # Processes that start from now on aren't meant; a heartbeat that
            # an earlier one has sent may still arrive.
            born_ms = server.born_ms if server and is_known else wall_ms
            self._tracker.record_unattributed(
                server_id, latest_born_ms, self._now_ms()
            )
        if self._tracker.record_deregistration(server_id, born_ms):
            self._report_exit(server_id, born_ms, "deregistration")
        self._store_exit(server_id, latest_born_ms)
        self._apply_departure("server deregistered")
        return not is_known or self.is_server_leaving

    def handle_stated_leaving(self) -> None:
        """Handles the statement in a response that the server leaves."""
        server = self.server
        if server is None:
            return
        self._record_leaving(server.server_id, server.born_ms, "statement")
        self._store_exit(server.server_id, server.born_ms)
        self._apply_departure("server states that it leaves")

    def _record_leaving(
        self, server_id: str, born_ms: int, source: str
    ) -> None:
        if self._tracker.record_leaving(server_id, born_ms):
            self._report_exit(server_id, born_ms, source)

    def _store_exit(self, server_id: str, born_ms: int) -> None:
        """Stores an exit for the next process of this node."""
        self._registration.record_departure(
            members.Departure(server_id=server_id, born_ms=born_ms)
        )
        self.wake.set()

    @property
    def has_unsaved_exit(self) -> bool:
        """Whether the store doesn't have the last announced exit yet."""
        return self._registration.has_unsaved_departure

    @property
    def must_store_exits(self) -> bool:
        """Whether an exit may only be acknowledged once it is stored."""
        return self._registration.must_store_exits

    def _report_exit(self, server_id: str, born_ms: int, source: str) -> None:
        server = self.server
        self._events.emit(
            catalog.Event.SERVER_EXIT_RECORDED,
            server_id=server_id,
            born_ms=born_ms,
            source=source,
            known_server_id="" if server is None else server.server_id,
            known_born_ms=None if server is None else server.born_ms,
        )

    def _apply_departure(self, cause: str) -> None:
        """Releases the keys of the server if it has announced its exit.

        Args:
            cause: How it has announced that; logged with the release.
        """
        server = self.server
        if server is None:
            return
        if not self._tracker.has_left(server.server_id, server.born_ms):
            return
        server.is_leaving = True
        self._release_all(cause)
        self.wake.set()

    @property
    def is_server_leaving(self) -> bool:
        """Whether the server process has begun to shut down."""
        return self.server is not None and self.server.is_leaving

    @property
    def may_serve(self) -> bool:
        """Whether the server may get requests.

        An earlier process of this node may have been told that it leaves. The
        row may not show that if the store was away, and a heartbeat that was
        sent before may be the only one to arrive.
        """
        server = self.server
        if server is None or not server.may_hold or self._tracker.is_doubtful:
            return False
        return self._tracker.proof is not None

    @property
    def must_prove(self) -> bool:
        """Whether the server must show by heartbeats that it hasn't left."""
        server = self.server
        if server is None or not server.may_hold:
            return False
        return self._tracker.proof in (None, server_process.Proof.HEALTHY)

    def record_healthy(self, server_id: str, born_ms: int) -> None:
        """Records that a process says that it is healthy, and not leaving."""
        server = self.server
        if server is None or not server.is_of(server_id, born_ms):
            return
        proof = self._tracker.proof
        server.is_healthy = True
        self._report_proof(proof)

    @property
    def is_first_heartbeat(self) -> bool:
        """Whether the newest heartbeat is the first of its server process."""
        return self.server is not None and self.server.heartbeat_count == 1

    def watch_proof(self) -> None:
        """Stops the use of a server whose proof ends with its heartbeats."""
        had_proof = self._tracker.proof is not None
        self._tracker.watch_gap(self._now_ms())
        if had_proof and self._tracker.proof is None:
            self.on_proof_changed("heartbeats ceased")

    def is_grant_pending(self) -> bool:
        """Tells whether the server will probably be granted keys soon."""
        server = self.server
        if server is None or not server.may_hold or not self.is_keyed:
            return False
        if not (self._registration.is_registered and self._is_loaded):
            return True
        own_owner = self._make_owner_name(server)
        return any(item.owner != own_owner for item in self._list_owned())

    def make_reply(self, next_address: settings.Address | None = None) -> bytes:
        """Returns the encoded reply to the latest heartbeat.

        Args:
            next_address: Where the server is to send the next ones; None leaves
                that as it is.
        """
        if not self._assignments.get()[1] or self._is_assignment_stale:
            return heartbeats.encode_reply(None, 0, next_address)
        reply = self._holdings.make_reply(
            heartbeat_ms=self._heartbeat_ms,
            lease_ms=self.find_effective_lease_ms(),
            now_ms=self._now_ms(),
            max_hold_ms=self._max_hold_ms,
            # The next process learns the hold from the row, so it must not be
            # longer than that.
            min_hold_ms=self._find_written_hold_ms(),
        )
        if reply.ranges is None:
            return heartbeats.encode_reply(None, 0, next_address)
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
            next_address,
        )

    # The ownership task.

    async def run(self) -> None:
        """Does the due writes until cancelled."""
        while True:
            self.wake.clear()
            await self.step()
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def renew_before_stop(self) -> None:
        """Writes the row so that it is good for the next process.

        The lease outlasts the restart, and all exits are stored.
        """
        if self._registration.is_registered:
            await self._register()

    async def step(self) -> None:
        """Does the most urgent action."""
        if self._access.has_new_era:
            self._begin_era()
        if self._access.is_backing_off or self._directory.table is None:
            self._batcher.refuse_all("the store is out of reach")
            return
        if await self._assignments.write_batch():
            return
        if self._registration.must_read:
            await self._read_row()
            return
        is_due = self._registration.is_due(
            is_keyed=self.is_keyed,
            has_server=self.server is not None,
            is_loaded=self._is_loaded,
        )
        if is_due:
            await self._register()
        elif self._registration.is_registered and not self._is_loaded:
            # Must be read after writing the own row: of two nodes that start
            # together, the later writer sees the other, and connects to it.
            await self._load()
        elif self._registration.is_registered and self._crash_store.is_due:
            await self._crash_store.write()
        elif self._registration.is_recovering:
            await self._recover()
        elif self._registration.is_registered:
            await self._maintain_ownership()

    def _begin_era(self) -> None:
        """Begins to recover after the store came back from a copy."""
        self._recovery.begin(has_released=bool(self._holdings.list_released()))
        self._crash_store.begin_era()
        self._is_loaded = False
        if not self._recovery.is_continuous:
            self._holdings.cancel_releases()
        self._update_holdings()

    async def _recover(self) -> None:
        """Writes again which keys the server holds."""
        server = self.server
        own_owner = ""
        if server is not None and server.may_hold:
            own_owner = self._make_owner_name(server)
        claims = self._recovery.find_claims(self._state.node_id, own_owner)
        if claims is None:
            return
        if claims and self.is_keyed:
            await self._write_transfers(claims, "the store was restored")
            return
        self._recovery.end()
        self._update_holdings()

    async def _maintain_ownership(self) -> None:
        self._check_server()
        if not self.is_keyed or self._registration.find_lease_ms() <= 0:
            return
        if await self._takeover.take_over_lapsed():
            return
        transfers, cause = self._plan_own()
        if not transfers:
            transfers, cause = self._plan_unowned()
        if transfers:
            await self._write_transfers(transfers, cause)
            return
        self._rebalance()
        await self._takeover.take_over_expired()

    async def _register(self) -> None:
        is_ours = await self._registration.write(
            is_keyed=self.is_keyed,
            is_loaded=self._is_loaded,
            born_ms=self.server.born_ms if self.server is not None else 0,
            hold_ms=self._find_hold_ms(),
            # The keys of a server that leaves can't go to another one without
            # the store, so that it needs no acknowledgement before.
            stores_exits=self.is_keyed or self.is_stopping,
        )
        self._handle_row(is_ours=is_ours)

    async def _read_row(self) -> None:
        had_read = self._registration.has_read
        self._handle_row(is_ours=await self._registration.read())
        if self._registration.has_read and not had_read:
            self.on_proof_changed("row")

    def _handle_row(self, *, is_ours: bool) -> None:
        if not is_ours:
            self._is_loaded = False
            self._is_assignment_stale = True

    def _find_written_hold_ms(self) -> int:
        return self._registration.member.hold_ms if self.is_stopping else 0

    def _find_hold_ms(self) -> int:
        if self.is_stopping:
            return min(STOPPING_HOLD_MS, self._max_hold_ms)
        usual_ms = int(self._heartbeat_ms * holdings.HOLD_HEARTBEATS)
        # The row must also cover what a previous process has granted.
        return max(usual_ms, self._holdings.granted_until_ms - self._now_ms())

    def _apply_previous_process(
        self, member: members.Member, knows_exits: bool
    ) -> None:
        """Applies what a previous process of this node has granted and heard.

        It may have granted the longest hold that its row allows.
        """
        proof = self._tracker.proof
        self._tracker.knows_earlier_exits = knows_exits
        self._report_proof(proof)
        for departure in member.departures:
            if self._tracker.record_deregistration(
                departure.server_id, departure.born_ms
            ):
                self._report_exit(departure.server_id, departure.born_ms, "row")
                self._apply_departure("server left before the restart")
        longest_ms = int(member.hold_ms * holdings.MAX_CLOCK_SLOWDOWN) + 1
        self._holdings.set_previous_hold_end(self._started_at_ms + longest_ms)

    async def _load(self) -> None:
        found = await self._access.read("load")
        if found is None:
            return
        if not self._assignments.apply_rows(found.rows):
            self._assignments.keep_without_row()
        self._is_loaded = True
        self._has_loaded = True
        self._is_assignment_stale = False
        self._recovery.record_store_seen()
        for row in found.rows:
            if not row.key.startswith(store_access.MEMBER_PREFIX):
                continue
            member = self._access.decode_member(row)
            if member is None:
                continue
            self._recovery.record_earlier_row(member.era)
            if member.node_id != self._state.node_id:
                self._connect(member.node_id, member.address)
        expired = self._crash_store.read(found.rows)
        if expired and not self._takeover.find_rank():
            await self._crash_store.remove(expired)

    async def _write_transfers(
        self, transfers: list[assignment.Transfer], cause: str
    ) -> None:
        # Once the change is applied, the keys are no longer measured here.
        rates = self._find_rates()
        outcome = await self._assignments.write(transfers, cause)
        match outcome:
            case store.Applied():
                self._record_shifts(transfers, rates)
            case store.Conflict(rows=rows):
                present = [row for row in rows if row.revision]
                if not self._assignments.apply_rows(present):
                    self._is_loaded = False
                self._registration.check_row(rows)
            case store.InDoubt():
                self._is_loaded = False
            case store.NotDone():
                self._cancel_releases()
            case _:
                pass

    def _record_shifts(
        self, transfers: list[assignment.Transfer], rates: dict[int, float]
    ) -> None:
        """Records which rates other nodes' servers have got with their keys."""
        own = self._state.node_id
        self._recent_shifts.record(
            (
                item
                for item in transfers
                if assignment.parse_node_id(item.owner) != own
            ),
            rates,
            self._now_ms(),
        )

    def _cancel_releases(self) -> None:
        """Cancels the releases of a server that is not leaving.

        They only served to rebalance, so that the server can keep the keys.
        """
        server = self.server
        # A write in doubt may still reassign the same keys.
        if server is None or self._registration.is_in_doubt:
            return
        if server.may_hold:
            self._holdings.cancel_releases()

    # The local server.

    def _replace_server(
        self, heartbeat: heartbeats.Heartbeat, now_ms: int
    ) -> None:
        if self.server is not None:
            # The process before has ended, unless the heartbeat isn't the
            # server's. Until its hold has expired, no other node gets its keys.
            self._holdings = holdings.Holdings(
                held_until_ms=max(now_ms, self._holdings.granted_until_ms)
            )
        self._tracker.begin(heartbeat, now_ms, self._wall_ms())
        self._update_holdings()
        self._events.emit(
            catalog.Event.SERVER_SEEN,
            server_id=heartbeat.server_id,
            born_ms=heartbeat.born_ms,
            slot_count=heartbeat.slots,
            is_confirmed=self._tracker.proof is not None,
        )

    def _report_proof(self, previous: server_process.Proof | None) -> None:
        """Logs a new proof that the server hasn't left."""
        server = self.server
        proof = self._tracker.proof
        if server is None or proof in (None, previous):
            return
        self._events.emit(
            catalog.Event.SERVER_CONFIRMED,
            server_id=server.server_id,
            proof=proof.value,
            waited_ms=self._now_ms() - server.first_heartbeat_at_ms,
        )

    def _check_server(self) -> None:
        now_ms = self._now_ms()
        self._holdings.expire_releases(now_ms)
        server = self.server
        if server is None or server.is_silent:
            return
        if server.is_leaving:
            self._release_all("server is draining")
        elif self.is_evacuated:
            self._release_all("failure domain is evacuated")
        if now_ms < self._holdings.granted_until_ms:
            return
        silent_ms = now_ms - server.last_heartbeat_at_ms
        if silent_ms > self._heartbeat_ms * holdings.HOLD_HEARTBEATS:
            server.is_silent = True
            self._events.emit(
                catalog.Event.SERVER_SILENT,
                server_id=server.server_id,
                silent_ms=silent_ms,
            )
            self._on_change()

    def _apply_written(self, change: wire.AssignmentChange) -> None:
        """Applies a change that the writer node has written for this one."""
        if not self._assignments.apply_change(change):
            self._is_loaded = False

    def _wake_up(self) -> None:
        self.wake.set()

    def _handle_adopted(self, service: str) -> None:
        if service == self._state.service:
            self._update_holdings()
        self._on_change()

    def _update_holdings(self) -> None:
        """Updates the holdings of the server to the newest assignment."""
        if self.server is None:
            return
        own_owner = self._make_owner_name(self.server)
        self._holdings.update_owned(
            item for item in self._list_owned() if item.owner == own_owner
        )

    def _make_owner_name(self, server: server_process.ServerState) -> str:
        return assignment.format_owner(self._state.node_id, server.born_ms)

    def _release_all(self, cause: str) -> None:
        targets = self._list_other_candidates()
        new = [
            item
            for item in self._list_owned()
            if not self._holdings.is_releasing(item.first)
        ]
        if not targets or not new:
            return
        key_assignment, _ = self._assignments.get()
        transfers = planning.plan_redistribution(
            current=key_assignment, ranges=new, candidates=targets
        )
        self._start_release(transfers, cause)

    def _start_release(
        self, transfers: list[assignment.Transfer], cause: str
    ) -> None:
        self._holdings.start_release(transfers)
        self._events.emit(
            catalog.Event.KEYS_RELEASING,
            cause=cause,
            range_count=len(transfers),
            key_count=sum(t.last - t.first + 1 for t in transfers),
        )

    # Planning.

    def _list_owned(self) -> tuple[assignment.KeyRange, ...]:
        """Lists the ranges that this node may use, hand over or confirm."""
        key_assignment, _ = self._assignments.get()
        owned = key_assignment.list_owned_by_node(self._state.node_id)
        era = self._access.era
        if not era or self._recovery.is_continuous:
            return owned
        return tuple(item for item in owned if eras.is_confirmed(item, era))

    def _list_candidates(self) -> list[planning.Candidate]:
        return self._directory.list_candidates(
            self._state.service, self._now_ms()
        )

    def _list_other_candidates(self) -> list[planning.Candidate]:
        own = self._state.node_id
        return [
            item
            for item in self._list_candidates()
            if assignment.parse_node_id(item.owner) != own
        ]

    def _plan_own(self) -> tuple[list[assignment.Transfer], str]:
        """Plans changes to the keys that this node owns.

        Returns:
            The changes and their cause, for the event log.
        """
        owned = self._list_owned()
        if not owned:
            return [], ""
        released = self._holdings.list_released()
        if released:
            return released, "released"
        server = self.server
        if self._is_server_gone():
            transfers = self._plan_transfer_all(owned)
            # The server may send a heartbeat again before this is written.
            self._holdings.start_release(transfers)
            return transfers, "no heartbeats from the server"
        if server is None or server.is_leaving:
            return [], ""
        own = self._make_owner_name(server)
        transfers = [
            assignment.Transfer(first=item.first, last=item.last, owner=own)
            for item in owned
            if item.owner != own
        ]
        return transfers, "server restarted"

    def _is_server_gone(self) -> bool:
        if self.server is not None:
            return self.server.is_silent
        return self._now_ms() >= self._holdings.granted_until_ms

    def _plan_transfer_all(
        self, owned: tuple[assignment.KeyRange, ...]
    ) -> list[assignment.Transfer]:
        targets = self._list_other_candidates()
        if not targets:
            return []
        key_assignment, _ = self._assignments.get()
        return planning.plan_redistribution(
            current=key_assignment, ranges=owned, candidates=targets
        )

    def _plan_unowned(self) -> tuple[list[assignment.Transfer], str]:
        """Plans owners for unowned keys; only the first node by name does so.

        Returns:
            The changes and their cause, for the event log.
        """
        key_assignment, revision = self._assignments.get()
        unowned = key_assignment.list_owned(assignment.NO_OWNER)
        candidates = self._list_candidates()
        if not candidates or self._takeover.find_rank():
            return [], ""
        if free := self._recovery.list_free():
            transfers = planning.plan_return(
                current=key_assignment, ranges=free, candidates=candidates
            )
            return transfers, "leases of the era before have ended"
        if not unowned:
            return [], ""
        if revision:
            transfers = planning.plan_redistribution(
                current=key_assignment, ranges=unowned, candidates=candidates
            )
            return transfers, "unowned keys"
        if self._now_ms() - self._started_at_ms < FIRST_PLAN_DELAY_MS:
            return [], ""
        if not self._recovery.may_assign_all():
            return [], ""
        return planning.plan_initial(candidates), "initial assignment"

    def _can_write_soon(self) -> bool:
        """Tells whether a change would be written soon, by whichever node."""
        if self._access.is_cut_off:
            return self._batcher.has_connected_peer
        return self._access.is_working and not self._access.is_slow

    def _rebalance(self) -> None:
        """Starts to hand over keys to servers with few keys or less load."""
        now_ms = self._now_ms()
        server = self.server
        if now_ms < self._rebalance_at_ms or self._holdings.has_releases:
            return
        if not self._can_write_soon():
            # Released keys would stay unserved until the store answers.
            return
        self._rebalance_at_ms = now_ms + REBALANCE_INTERVAL_MS
        key_assignment, revision = self._assignments.get()
        if server is None or not server.may_hold or not revision:
            return
        own = self._make_owner_name(server)
        candidates = self._recent_shifts.add_to(self._list_candidates(), now_ms)
        transfers = planning.plan_new_servers(
            current=key_assignment, own_owner=own, candidates=candidates
        )
        cause = "other servers have too few keys"
        if not transfers:
            transfers = load_shifts.plan_shift(
                current=key_assignment,
                own_owner=own,
                rates=self._find_rates(),
                candidates=candidates,
            )
            cause = "overload"
        if transfers:
            self._start_release(transfers, cause)
