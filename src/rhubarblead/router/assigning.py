"""Reads and writes the assignments of keys."""

from collections.abc import Callable
from collections.abc import Iterable

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import gathering
from rhubarblead.router import registration
from rhubarblead.router import store_access
from rhubarblead.router import wire


class Assigning:
    """The assignments that this node knows, and its changes of its own one."""

    __slots__ = (
        "_access",
        "_broadcast",
        "_directory",
        "_gathering",
        "_events",
        "_on_adopted",
        "_registration",
        "_service",
    )

    def __init__(
        self,
        *,
        known: directory.Directory,
        access: store_access.StoreAccess,
        own: registration.Registration,
        gathered: gathering.Gathering,
        events: event_log.EventLog,
        broadcast: Callable[[wire.Message], None],
        on_adopted: Callable[[str], None],
    ) -> None:
        """Makes the part.

        Args:
            known: Keeps the assignments.
            access: The store.
            own: The node's own row.
            gathered: Changes of other nodes, and the way to another writer.
            events: The journal.
            broadcast: Sends a message to all nodes.
            on_adopted: Called with the service of a newer assignment.
        """
        self._directory = known
        self._access = access
        self._registration = own
        self._gathering = gathered
        self._events = events
        self._broadcast = broadcast
        self._on_adopted = on_adopted
        self._service = known.own_state.service

    def get(self) -> tuple[assignment.Assignment, int]:
        """Gets the assignment of the own service, and its revision."""
        return self._directory.get_assignment(self._service)

    def take_changed(self, change: wire.AssignmentChange) -> bool:
        """Takes a change of an assignment from the node that wrote it.

        Returns:
            False where this node has missed an earlier one.
        """
        value, revision = self._directory.get_assignment(change.service)
        if change.revision <= revision:
            return True
        if change.base_revision != revision:
            return False
        gifts = gathering.decode_gifts(change.transfers)
        self._adopt(change.service, value.give(gifts), change.revision)
        return True

    def take_whole(self, service: str, content: bytes, revision: int) -> None:
        """Takes a whole assignment from another node or the store."""
        try:
            value = assignment.decode(content)
        except assignment.CannotDecode as error:
            self._events.emit(
                catalog.Event.MESSAGE_REFUSED,
                source=f"assignment of {service}",
                error=str(error),
            )
            return
        self._adopt(service, value, revision)

    def take_rows(self, rows: Iterable[store.Row]) -> bool:
        """Takes the assignments among rows of the store.

        Returns:
            Whether that of the own service was among them.
        """
        has_own = False
        for row in rows:
            if row.key.startswith(store_access.ASSIGNMENT_PREFIX):
                service = row.key.removeprefix(store_access.ASSIGNMENT_PREFIX)
                self.take_whole(service, row.value, row.revision)
                has_own = has_own or service == self._service
        return has_own

    async def write(
        self,
        gifts: list[assignment.Gift],
        cause: str,
        *,
        lost: store.Expected | None = None,
    ) -> store.WriteOutcome:
        """Writes a change of the own service's assignment.

        Args:
            gifts: The change.
            cause: Why, for the log.
            lost: The row of a lost node, which is removed with the change.

        Returns:
            What became of it; on success it is in force at this node.
        """
        value, revision = self.get()
        changed = value.give(gifts)
        own = self._registration
        key = store_access.make_assignment_key(self._service)
        own_key = store_access.make_member_key(own.member.node_id)
        expected = (
            store.Expected(key=key, revision=revision),
            store.Expected(key=own_key, revision=own.revision),
        )
        writer_id = self._gathering.find_writer() if lost is None else ""
        if writer_id and revision:
            outcome = await self._gathering.send(writer_id, expected[1], gifts)
            self._take_doubt(outcome)
            return outcome
        outcome = await self._access.write(
            "assign",
            expected=expected if lost is None else (*expected, lost),
            puts=(store.Put(key=key, value=changed.encode()),),
            removed_keys=(lost.key,) if lost and lost.revision else (),
        )
        if isinstance(outcome, store.Applied):
            self._report_moved(changed, outcome.revision, gifts, cause)
            self._adopt(self._service, changed, outcome.revision)
            self._broadcast(
                _describe(self._service, revision, outcome.revision, gifts)
            )
        self._take_doubt(outcome)
        return outcome

    async def write_gathered(self) -> bool:
        """Writes what other nodes have sent here, in one transaction.

        Returns:
            Whether there was anything.
        """
        value, revision = self.get()
        if not revision:
            self._gathering.refuse_all("no assignment is known here")
        requests = self._gathering.collect()
        if not requests:
            return False
        owned = self._sort_owned(value, requests)
        if not owned:
            return True
        gifts = [gift for request in owned for gift in request.gifts]
        changed = value.give(gifts)
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
                self._report_moved(changed, written, gifts, cause)
                self._adopt(self._service, changed, written)
                change = _describe(self._service, revision, written, gifts)
                self._broadcast(change)
                for request in owned:
                    request.reply(outcome, change)
            case store.Conflict(rows=rows):
                self._sort_out(owned, rows)
            case _:
                for request in owned:
                    request.reply(outcome, None)
        return True

    def _sort_owned(
        self, value: assignment.Assignment, requests: list[gathering.Request]
    ) -> list[gathering.Request]:
        """Refuses what is no longer its giver's; leaves one for each node.

        A node that had no answer may have sent the same change once more.
        """
        owned: dict[str, gathering.Request] = {}
        for request in requests:
            if request.node_id in owned or not _owns_all(value, request):
                request.reply(store.Conflict(rows=()), None)
            else:
                owned[request.node_id] = request
        return list(owned.values())

    def _sort_out(
        self,
        requests: list[gathering.Request],
        rows: tuple[store.Row, ...],
    ) -> None:
        """Refuses those whose row has changed, and tries the rest again."""
        self.take_rows(row for row in rows if row.revision)
        present = {row.key: row.revision for row in rows}
        again = []
        for request in requests:
            if present.get(request.row.key) == request.row.revision:
                again.append(request)
            else:
                request.reply(store.Conflict(rows=()), None)
        self._gathering.put_back(again)

    def _take_doubt(self, outcome: store.WriteOutcome) -> None:
        """Bars a write that may still take effect by one of the own row."""
        if isinstance(outcome, store.InDoubt):
            self._registration.is_in_doubt = True
            self._registration.renew_soon()

    def _report_moved(
        self,
        changed: assignment.Assignment,
        revision: int,
        gifts: list[assignment.Gift],
        cause: str,
    ) -> None:
        self._events.emit(
            catalog.Event.KEYS_MOVED,
            service=self._service,
            revision=revision,
            fence=changed.fence,
            range_count=len(gifts),
            key_count=sum(g.last - g.first + 1 for g in gifts),
            cause=cause,
        )

    def _adopt(
        self, service: str, value: assignment.Assignment, revision: int
    ) -> None:
        if self._directory.set_assignment(service, value, revision):
            self._on_adopted(service)


def _owns_all(value: assignment.Assignment, request: gathering.Request) -> bool:
    """Tells whether a node still owns all that it gives."""
    return all(
        assignment.find_node(item.owner) == request.node_id
        for gift in request.gifts
        for item in value.list_overlapping(gift.first, gift.last)
    )


def _describe(
    service: str,
    base_revision: int,
    revision: int,
    gifts: list[assignment.Gift],
) -> wire.AssignmentChange:
    return wire.AssignmentChange(
        service=service,
        base_revision=base_revision,
        revision=revision,
        transfers=gathering.encode_gifts(gifts),
    )
