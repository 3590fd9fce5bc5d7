"""Keeps the known assignments of keys, and writes the node's own service's."""

from collections.abc import Callable
from collections.abc import Iterable

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import eras
from rhubarblead.keyspace import revisions
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import registration
from rhubarblead.router import store_access
from rhubarblead.router import wire
from rhubarblead.router import write_batching


class AssignmentRepository:
    """Reads the known assignments, and writes changes to that of the service.

    A written change is applied locally and broadcast to the other nodes.
    """

    __slots__ = (
        "_access",
        "_broadcast",
        "_directory",
        "_batcher",
        "_events",
        "_on_adopted",
        "_registration",
        "_service",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        access: store_access.StoreAccess,
        own_registration: registration.Registration,
        batcher: write_batching.WriteBatcher,
        events: event_log.EventLog,
        broadcast: Callable[[wire.Message], None],
        on_adopted: Callable[[str], None],
    ) -> None:
        """Initializes the repository.

        Args:
            cluster_directory: The local view, which stores the assignments.
            access: Access to the store.
            own_registration: The registration of this node, which knows its
                row.
            batcher: Queues changes of other nodes, and sends own ones to the
                node that writes for all.
            events: The event log.
            broadcast: Sends a message to all nodes.
            on_adopted: Called with the service when a newer assignment has been
                stored locally.
        """
        self._directory = cluster_directory
        self._access = access
        self._registration = own_registration
        self._batcher = batcher
        self._events = events
        self._broadcast = broadcast
        self._on_adopted = on_adopted
        self._service = cluster_directory.own_state.service

    def get(self) -> tuple[assignment.Assignment, int]:
        """Returns the assignment of this node's service, and its revision."""
        return self._directory.get_assignment(self._service)

    def apply_change(self, change: wire.AssignmentChange) -> bool:
        """Applies a change received from the node that wrote it.

        Returns:
            False if this node has missed an earlier change, so that it needs
            the whole assignment.
        """
        key_assignment, revision = self._directory.get_assignment(
            change.service
        )
        if change.revision <= revision:
            return True
        if change.base_revision != revision:
            return False
        transfers = write_batching.decode_transfers(change.transfers)
        self._adopt(
            change.service,
            _apply(
                key_assignment, transfers, revisions.find_era(change.revision)
            ),
            change.revision,
        )
        return True

    def apply_snapshot(
        self, service: str, content: bytes, revision: int
    ) -> None:
        """Applies an encoded assignment from another node or from the store.

        One that cannot be decoded is logged and ignored.
        """
        try:
            key_assignment = assignment.decode(content)
        except assignment.CannotDecode as error:
            self._events.emit(
                catalog.Event.MESSAGE_REFUSED,
                source=f"assignment of {service}",
                error=str(error),
            )
            return
        era = revisions.find_era(revision)
        known, known_revision = self._directory.get_assignment(service)
        if era and known_revision:
            key_assignment = eras.merge(known, key_assignment, era)
        self._adopt(service, key_assignment, revision)

    def keep_without_row(self) -> None:
        """Keeps the known assignment although the store has lost its row."""
        key_assignment, revision = self.get()
        if revision:
            self._adopt(
                self._service,
                key_assignment,
                revisions.make_revision(self._access.era, 0),
            )

    def list_unconfirmed(self) -> list[assignment.KeyRange]:
        """Lists the ranges of the service with owners of an earlier era."""
        era = self._access.era
        return eras.list_unconfirmed(self.get()[0].ranges, era) if era else []

    def apply_rows(self, rows: Iterable[store.Row]) -> bool:
        """Applies the assignments among the given rows of the store.

        Returns:
            Whether the assignment of this node's service was among them.
        """
        has_own = False
        for row in rows:
            if row.key.startswith(store_access.ASSIGNMENT_PREFIX):
                service = row.key.removeprefix(store_access.ASSIGNMENT_PREFIX)
                self.apply_snapshot(service, row.value, row.revision)
                has_own = has_own or service == self._service
        return has_own

    async def write(
        self,
        transfers: list[assignment.Transfer],
        cause: str,
        *,
        lost: store.Expected | None = None,
    ) -> store.WriteOutcome:
        """Writes changes to the assignment of this node's service.

        Where another node writes for all, the changes are sent to it, except
        for a takeover, which also removes the row of the lost node.

        Args:
            transfers: The ranges with their new owners.
            cause: The reason, for the event log.
            lost: The row of a lost node, which is removed in the same
                transaction.

        Returns:
            The outcome; an applied change is also in effect at this node.
        """
        key_assignment, revision = self.get()
        changed = _apply(key_assignment, transfers, self._access.era)
        own_registration = self._registration
        key = store_access.make_assignment_key(self._service)
        own_key = store_access.make_member_key(own_registration.member.node_id)
        expected = (
            store.Expected(key=key, revision=revision),
            store.Expected(key=own_key, revision=own_registration.revision),
        )
        writer_id = self._batcher.find_writer() if lost is None else ""
        if writer_id and revision:
            outcome = await self._batcher.send(
                writer_id, expected[1], transfers
            )
            self._handle_in_doubt(outcome)
            return outcome
        outcome = await self._access.write(
            "assign",
            expected=expected if lost is None else (*expected, lost),
            puts=(store.Put(key=key, value=changed.encode()),),
            removed_keys=(lost.key,) if lost and lost.revision else (),
        )
        if isinstance(outcome, store.Applied):
            self._log_moved(changed, outcome.revision, transfers, cause)
            self._adopt(self._service, changed, outcome.revision)
            self._broadcast(
                _describe(self._service, revision, outcome.revision, transfers)
            )
        self._handle_in_doubt(outcome)
        return outcome

    async def write_batch(self) -> bool:
        """Writes the changes queued by other nodes in one transaction.

        Returns:
            Whether there were any.
        """
        key_assignment, revision = self.get()
        if revisions.find_era(revision) != self._access.era:
            # Queued until this node has read the restored rows.
            return False
        if not revision:
            self._batcher.refuse_all("no assignment is known here")
        requests = self._batcher.take_batch()
        if not requests:
            return False
        owned = self._filter_owned(key_assignment, requests)
        if not owned:
            return True
        transfers = [
            transfer for request in owned for transfer in request.transfers
        ]
        changed = _apply(key_assignment, transfers, self._access.era)
        key = store_access.make_assignment_key(self._service)
        outcome = await self._access.write(
            "assign",
            expected=(
                store.Expected(key=key, revision=revision),
                *(request.row for request in owned),
            ),
            puts=(store.Put(key=key, value=changed.encode()),),
        )
        match outcome:
            case store.Applied(revision=written):
                cause = f"released by {len(owned)} nodes"
                self._log_moved(changed, written, transfers, cause)
                self._adopt(self._service, changed, written)
                change = _describe(self._service, revision, written, transfers)
                self._broadcast(change)
                for request in owned:
                    request.reply(outcome, change)
            case store.Conflict(rows=rows):
                self._retry_unchanged(owned, rows)
            case _:
                for request in owned:
                    request.reply(outcome, None)
        return True

    def _filter_owned(
        self,
        key_assignment: assignment.Assignment,
        requests: list[write_batching.Request],
    ) -> list[write_batching.Request]:
        """Keeps one valid request per node; answers the rest with a conflict.

        A request is valid if the node still owns all keys that it hands over.
        A node that got no answer may have sent the same request again.
        """
        owned: dict[str, write_batching.Request] = {}
        era = self._access.era
        for request in requests:
            if (
                request.node_id in owned
                or revisions.find_era(request.row.revision) != era
                or not _owns_all(key_assignment, request, era)
                or _overlaps_any(request, owned.values())
            ):
                request.reply(store.Conflict(rows=()), None)
            else:
                owned[request.node_id] = request
        return list(owned.values())

    def _retry_unchanged(
        self,
        requests: list[write_batching.Request],
        rows: tuple[store.Row, ...],
    ) -> None:
        """Requeues requests whose row is unchanged; refuses the others."""
        self.apply_rows(row for row in rows if row.revision)
        present = {row.key: row.revision for row in rows}
        again = []
        for request in requests:
            if present.get(request.row.key) == request.row.revision:
                again.append(request)
            else:
                request.reply(store.Conflict(rows=()), None)
        self._batcher.requeue(again)

    def _handle_in_doubt(self, outcome: store.WriteOutcome) -> None:
        """Renews the node's row after a write whose outcome is unknown.

        The write expects the present revision of the row, so that it can no
        longer take effect once the row has been renewed.
        """
        if isinstance(outcome, store.InDoubt):
            self._registration.is_in_doubt = True
            self._registration.renew_soon()

    def _log_moved(
        self,
        changed: assignment.Assignment,
        revision: int,
        transfers: list[assignment.Transfer],
        cause: str,
    ) -> None:
        self._events.emit(
            catalog.Event.KEYS_MOVED,
            service=self._service,
            revision=revision,
            fence=changed.fence,
            range_count=len(transfers),
            key_count=sum(t.last - t.first + 1 for t in transfers),
            cause=cause,
        )

    def _adopt(
        self, service: str, key_assignment: assignment.Assignment, revision: int
    ) -> None:
        if self._directory.set_assignment(service, key_assignment, revision):
            self._on_adopted(service)


def _apply(
    key_assignment: assignment.Assignment,
    transfers: list[assignment.Transfer],
    era: int,
) -> assignment.Assignment:
    """Applies transfers with fences of an era."""
    return key_assignment.apply(
        transfers, lowest_fence=eras.find_lowest_fence(era)
    )


def _owns_all(
    key_assignment: assignment.Assignment,
    request: write_batching.Request,
    era: int,
) -> bool:
    """Tells whether the node still owns all keys that it hands over.

    Who owns an unconfirmed range is known to its owner only.
    """
    return all(
        assignment.parse_node_id(item.owner) == request.node_id
        or not eras.is_confirmed(item, era)
        for transfer in request.transfers
        for item in key_assignment.list_overlapping(
            transfer.first, transfer.last
        )
    )


def _overlaps_any(
    request: write_batching.Request, others: Iterable[write_batching.Request]
) -> bool:
    """Tells whether two nodes hand over the same keys."""
    return any(
        one.first <= other.last and other.first <= one.last
        for other_request in others
        for other in other_request.transfers
        for one in request.transfers
    )


def _describe(
    service: str,
    base_revision: int,
    revision: int,
    transfers: list[assignment.Transfer],
) -> wire.AssignmentChange:
    return wire.AssignmentChange(
        service=service,
        base_revision=base_revision,
        revision=revision,
        transfers=write_batching.encode_transfers(transfers),
    )
