"""Takes the keys of nodes whose right to them has certainly ended."""

from collections.abc import Callable
import dataclasses

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import lease
from rhubarblead.keyspace import planning
from rhubarblead.keyspace import promises
from rhubarblead.platform import store
from rhubarblead.router import assigning
from rhubarblead.router import directory
from rhubarblead.router import promising
from rhubarblead.router import registration
from rhubarblead.router import store_access

SILENT_MS = 1_000
"""A node whose link is down for so long is looked up in the store."""

RANK_DELAY_MS = 1_500
"""By which the next node waits longer, so that one does the work."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Absence:
    """A node that owns keys and is out of reach."""

    look_at_ms: int = 0


class Takeover:
    """Finds lost nodes: by promises of this one, or by their leases."""

    __slots__ = (
        "_absences",
        "_access",
        "_assigning",
        "_directory",
        "_down_since_ms",
        "_lapsed_revisions",
        "_now_ms",
        "_promising",
        "_registration",
        "_service",
    )

    def __init__(
        self,
        *,
        known: directory.Directory,
        access: store_access.StoreAccess,
        assignments: assigning.Assigning,
        own: registration.Registration,
        granting: promising.Promising,
        now_ms: Callable[[], int],
    ) -> None:
        """Makes a part that knows of no lost node.

        Args:
            known: What this node knows of the others.
            access: The store.
            assignments: Writes the changes.
            own: The node's own row.
            granting: The nodes that this one promises to.
            now_ms: The clock.
        """
        self._directory = known
        self._access = access
        self._assigning = assignments
        self._registration = own
        self._promising = granting
        self._now_ms = now_ms
        self._service = known.own_state.service
        self._absences: dict[str, _Absence] = {}
        self._lapsed_revisions: dict[str, int] = {}
        self._down_since_ms: dict[str, int] = {}

    def note_link(self, node_id: str, *, is_up: bool) -> None:
        """Takes note of a link that works or is lost."""
        if is_up:
            self._down_since_ms.pop(node_id, None)
            self._absences.pop(node_id, None)
        else:
            self._down_since_ms.setdefault(node_id, self._now_ms())

    def find_rank(self) -> int:
        """Finds how many nodes of the service in reach come before this one."""
        own = self._directory.own_state.node_id
        return sum(
            state.node_id < own
            for state, _ in self._directory.list_servers(
                self._service, self._now_ms()
            )
            if state.node_id != own
        )

    async def take_lapsed(self) -> bool:
        """Takes the keys of a node whose promises by this one have ended.

        Returns:
            Whether there was such a node.
        """
        granter = self._promising.granter
        lapsed = granter.list_lapsed(self._now_ms())
        if not lapsed:
            return False
        node_id, revision = lapsed[0]
        value, _ = self._assigning.get()
        if not value.list_of_node(node_id):
            granter.forget(node_id)
            return True
        revision = self._lapsed_revisions.get(node_id, revision)
        await self._take_keys(node_id, revision)
        return True

    async def take_expired(self) -> None:
        """Takes the keys of a node whose lease has certainly ended."""
        now_ms = self._now_ms()
        self._find_absences(now_ms)
        for node_id, absence in list(self._absences.items()):
            if now_ms >= absence.look_at_ms:
                await self._look_up(node_id, absence)
                return

    def _find_absences(self, now_ms: int) -> None:
        value, _ = self._assigning.get()
        owners = {
            assignment.find_node(item.owner)
            for item in value.ranges
            if item.owner
        }
        delay_ms = SILENT_MS + self.find_rank() * RANK_DELAY_MS
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
        """Reads when the lease of a node ends, and takes its keys then."""
        found = await self._access.read("look up")
        if found is None:
            return
        self._assigning.take_rows(found.rows)
        key = store_access.make_member_key(node_id)
        row = next((row for row in found.rows if row.key == key), None)
        member = self._access.decode_member(row) if row is not None else None
        ends_ms = member.ends_store_ms if member is not None else 0
        if not lease.is_over(ends_store_ms=ends_ms, store_ms=found.now_ms):
            wait_ms = ends_ms - found.now_ms + lease.TAKEOVER_MARGIN_MS
            absence.look_at_ms = self._now_ms() + wait_ms
            return
        await self._take_keys(node_id, row.revision if row is not None else 0)

    async def _take_keys(self, node_id: str, row_revision: int) -> None:
        value, _ = self._assigning.get()
        candidates = [
            item
            for item in self._directory.list_candidates(
                self._service, self._now_ms()
            )
            if assignment.find_node(item.owner) != node_id
        ]
        ranges = value.list_of_node(node_id)
        if not candidates or not ranges:
            return
        gifts = planning.plan_spread(
            present=value, ranges=ranges, candidates=candidates
        )
        key = store_access.make_member_key(node_id)
        outcome = await self._assigning.write(
            gifts,
            f"right of {node_id} has ended",
            lost=store.Expected(key=key, revision=row_revision),
        )
        match outcome:
            case store.Applied():
                self._promising.granter.forget(node_id)
                self._lapsed_revisions.pop(node_id, None)
            case store.Conflict(rows=rows):
                self._assigning.take_rows(r for r in rows if r.revision)
                self._registration.compare(rows)
                self._follow_row(node_id, rows)
            case _:
                pass

    def _follow_row(self, node_id: str, rows: tuple[store.Row, ...]) -> None:
        """Finds out whether a lapsed node's row still names this process."""
        key = store_access.make_member_key(node_id)
        row = next((r for r in rows if r.key == key and r.revision), None)
        member = self._access.decode_member(row) if row is not None else None
        if row is None or member is None:
            self._promising.granter.forget(node_id)
            return
        own = self._directory.own_state
        term = promises.Term(
            node_id=node_id,
            incarnation=member.incarnation,
            number=member.term,
        )
        names_own = member.granter == promising.name_process(
            own.node_id, own.incarnation
        )
        if names_own and self._promising.granter.is_term(term):
            self._lapsed_revisions[node_id] = row.revision
        else:
            self._promising.granter.forget(node_id)
