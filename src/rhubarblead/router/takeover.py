"""Reassigns the keys of lost nodes once their leases have expired."""

from collections.abc import Callable
import dataclasses

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import eras
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import members
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import promises
from rhubarblead.keyspace import revisions
from rhubarblead.platform import store
from rhubarblead.router import assignment_repository
from rhubarblead.router import directory
from rhubarblead.router import era_recovery
from rhubarblead.router import promise_exchange
from rhubarblead.router import registration
from rhubarblead.router import store_access

LOOKUP_DELAY_MS = 1_000
"""Time a link must be down before the node's lease is read from the store."""

RANK_DELAY_MS = 1_500
"""Extra delay per preceding node, so that usually one node takes over."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Absence:
    """An unreachable node that owns keys.

    `latest_end_ms` is the store time at which the lease in its row at
    `revision` ends at the latest, whatever the row says.
    """

    lookup_at_ms: int = 0
    revision: int = 0
    latest_end_ms: int = 0

    def limit_end(
        self, row: store.Row, member: members.Member | None, store_ms: int
    ) -> int:
        """Returns when the lease in a row ends at the latest, in store time.

        A row that is malformed, or names an end that no lease has, may be
        another writer's; the node that it stands for may hold its lease.

        Args:
            row: The row of the node.
            member: Its content, None if that is malformed.
            store_ms: The store's time at which the row was read.
        """
        if row.revision != self.revision:
            self.revision = row.revision
            self.latest_end_ms = store_ms + lease.MAX_AHEAD_MS
        if member is None:
            return self.latest_end_ms
        return min(member.ends_store_ms, self.latest_end_ms)


class Takeover:
    """Finds lost nodes and takes over their keys.

    A node is lost when the promises that this node gave it have expired, or
    when its lease in the store has.
    """

    __slots__ = (
        "_absences",
        "_access",
        "_assignments",
        "_directory",
        "_down_since_ms",
        "_lapsed_revisions",
        "_now_ms",
        "_promise_exchange",
        "_recovery",
        "_registration",
        "_service",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        access: store_access.StoreAccess,
        assignments: assignment_repository.AssignmentRepository,
        own_registration: registration.Registration,
        promise_exchange: promise_exchange.PromiseExchange,
        recovery: era_recovery.EraRecovery,
        now_ms: Callable[[], int],
    ) -> None:
        """Initializes the takeover with no lost node.

        Args:
            cluster_directory: The local view of the cluster.
            access: Access to the store.
            assignments: Reads and writes the assignment.
            own_registration: The registration of this node.
            promise_exchange: Knows the nodes to which this one gives promises.
            recovery: Knows which keys have a known owner after a restore.
            now_ms: The clock.
        """
        self._recovery = recovery
        self._directory = cluster_directory
        self._access = access
        self._assignments = assignments
        self._registration = own_registration
        self._promise_exchange = promise_exchange
        self._now_ms = now_ms
        self._service = cluster_directory.own_state.service
        self._absences: dict[str, _Absence] = {}
        self._lapsed_revisions: dict[str, int] = {}
        self._down_since_ms: dict[str, int] = {}

    def record_link(self, node_id: str, *, is_up: bool) -> None:
        """Records that the link to a node is up or down."""
        if is_up:
            self._down_since_ms.pop(node_id, None)
            self._absences.pop(node_id, None)
        else:
            self._down_since_ms.setdefault(node_id, self._now_ms())

    def find_rank(self) -> int:
        """Counts the reachable serving nodes of the service before this one."""
        own = self._directory.own_state.node_id
        return sum(
            state.node_id < own
            for state, _ in self._directory.list_servers(
                self._service, self._now_ms()
            )
            if state.node_id != own
        )

    async def take_over_lapsed(self) -> bool:
        """Takes over the keys of a node whose promises from this one expired.

        Returns:
            Whether there is such a node.
        """
        granter = self._promise_exchange.granter
        lapsed = granter.list_lapsed(self._now_ms())
        if not lapsed:
            return False
        node_id, revision = lapsed[0]
        is_current = revisions.find_era(revision) == self._access.era
        if not is_current or not self._list_owned(node_id):
            granter.end_term(node_id)
            return True
        revision = self._lapsed_revisions.get(node_id, revision)
        await self._take_over_keys(node_id, revision)
        return True

    async def take_over_expired(self) -> None:
        """Takes over the keys of an unreachable node with an expired lease."""
        now_ms = self._now_ms()
        self._find_absences(now_ms)
        for node_id, absence in list(self._absences.items()):
            if now_ms >= absence.lookup_at_ms:
                await self._look_up(node_id, absence)
                return

    def _find_absences(self, now_ms: int) -> None:
        key_assignment, _ = self._assignments.get()
        owners = {
            assignment.parse_node_id(item.owner)
            for item in key_assignment.ranges
            if item.owner
        }
        delay_ms = LOOKUP_DELAY_MS + self.find_rank() * RANK_DELAY_MS
        for node_id in owners - {self._directory.own_state.node_id}:
            state = self._directory.find_state(node_id)
            since_ms = self._down_since_ms.get(node_id)
            if state is not None and since_ms is None:
                self._absences.pop(node_id, None)
                continue
            if since_ms is None:
                since_ms = self._down_since_ms.setdefault(node_id, now_ms)
            if now_ms - since_ms >= delay_ms:
                self._absences.setdefault(node_id, _Absence())
        for node_id in set(self._absences) - owners:
            del self._absences[node_id]

    async def _look_up(self, node_id: str, absence: _Absence) -> None:
        """Reads the lease of a node, and takes over its keys if expired."""
        found = await self._access.read("look up")
        if found is None:
            return
        self._assignments.apply_rows(found.rows)
        key = store_access.make_member_key(node_id)
        row = next((row for row in found.rows if row.key == key), None)
        member = self._access.decode_member(row) if row is not None else None
        if member is not None and member.era != self._access.era:
            # Its end is of another era, whose keys `EraRecovery` reassigns.
            absence.lookup_at_ms = self._now_ms() + RANK_DELAY_MS
            return
        ends_ms = 0
        if row is not None:
            ends_ms = absence.limit_end(row, member, found.now_ms)
        if not lease.is_expired(ends_store_ms=ends_ms, store_ms=found.now_ms):
            wait_ms = ends_ms - found.now_ms + lease.TAKEOVER_MARGIN_MS
            absence.lookup_at_ms = self._now_ms() + wait_ms
            return
        await self._take_over_keys(
            node_id, row.revision if row is not None else 0
        )

    async def _take_over_keys(self, node_id: str, row_revision: int) -> None:
        key_assignment, _ = self._assignments.get()
        candidates = [
            item
            for item in self._directory.list_candidates(
                self._service, self._now_ms()
            )
            if assignment.parse_node_id(item.owner) != node_id
        ]
        ranges = self._list_owned(node_id)
        if not candidates or not ranges:
            return
        transfers = planning.plan_redistribution(
            current=key_assignment, ranges=ranges, candidates=candidates
        )
        key = store_access.make_member_key(node_id)
        outcome = await self._assignments.write(
            transfers,
            f"effective lease of {node_id} has expired",
            lost=store.Expected(key=key, revision=row_revision),
        )
        match outcome:
            case store.Applied():
                self._promise_exchange.granter.end_term(node_id)
                self._lapsed_revisions.pop(node_id, None)
            case store.Conflict(rows=rows):
                self._assignments.apply_rows(r for r in rows if r.revision)
                self._registration.check_row(rows)
                self._check_lapsed_row(node_id, rows)
            case _:
                pass

    def _list_owned(self, node_id: str) -> tuple[assignment.KeyRange, ...]:
        """Lists the ranges of a node whose owner is confirmed."""
        key_assignment, _ = self._assignments.get()
        return tuple(
            item
            for item in key_assignment.list_owned_by_node(node_id)
            if eras.is_confirmed(item, self._access.era)
        )

    def _check_lapsed_row(
        self, node_id: str, rows: tuple[store.Row, ...]
    ) -> None:
        """Checks whether the row of a lapsed node still names this process.

        If it does, the takeover is retried at the new revision of the row;
        otherwise this process is no longer its granter, and gives up.
        """
        key = store_access.make_member_key(node_id)
        row = next((r for r in rows if r.key == key and r.revision), None)
        member = self._access.decode_member(row) if row is not None else None
        if row is None or member is None:
            self._promise_exchange.granter.end_term(node_id)
            return
        own = self._directory.own_state
        term = promises.Term(
            node_id=node_id,
            incarnation=member.incarnation,
            number=member.term,
        )
        names_own = member.granter == promise_exchange.name_process(
            own.node_id, own.incarnation
        )
        if names_own and self._promise_exchange.granter.is_current_term(term):
            self._lapsed_revisions[node_id] = row.revision
        else:
            self._promise_exchange.granter.end_term(node_id)
