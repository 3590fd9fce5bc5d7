"""Reads and writes the assignments of keys."""

from collections.abc import Callable
from collections.abc import Iterable

from rhubarblead.events import catalog
from rhubarblead.keyspace import assignment
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import journal
from rhubarblead.router import registration
from rhubarblead.router import store_access
from rhubarblead.router import wire


class Assigning:
    """The assignments that this node knows, and its changes of its own one."""

    __slots__ = (
        "_access",
        "_broadcast",
        "_directory",
        "_journal",
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
        events: journal.Journal,
        broadcast: Callable[[wire.Message], None],
        on_adopted: Callable[[str], None],
    ) -> None:
        """Makes the part.

        Args:
            known: Keeps the assignments.
            access: The store.
            own: The node's own row.
            events: The journal.
            broadcast: Sends a message to all nodes.
            on_adopted: Called with the service of a newer assignment.
        """
        self._directory = known
        self._access = access
        self._registration = own
        self._journal = events
        self._broadcast = broadcast
        self._on_adopted = on_adopted
        self._service = known.own_state.service

    def get(self) -> tuple[assignment.Assignment, int]:
        """Gets the assignment of the own service, and its revision."""
        return self._directory.get_assignment(self._service)

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
        key = store_access.name_assignment(self._service)
        own_key = store_access.name_member(own.member.node_id)
        expected = (
            store.Expected(key=key, revision=revision),
            store.Expected(key=own_key, revision=own.revision),
        )
        outcome = await self._access.write(
            "assign",
            expected=expected if lost is None else (*expected, lost),
            puts=(store.Put(key=key, value=changed.encode()),),
            removed_keys=(lost.key,) if lost and lost.revision else (),
        )
        match outcome:
            case store.Applied(revision=written):
                self._report_moved(changed, written, gifts, cause)
                self._adopt(self._service, changed, written)
                self._broadcast(
                    _describe(self._service, revision, written, gifts)
                )
            case store.InDoubt():
                own.is_in_doubt = True
                own.renew_soon()
            case _:
                pass
        return outcome

    def _report_moved(
        self,
        changed: assignment.Assignment,
        revision: int,
        gifts: list[assignment.Gift],
        cause: str,
    ) -> None:
        self._journal.emit(
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


def _describe(
    service: str,
    base_revision: int,
    revision: int,
    gifts: list[assignment.Gift],
) -> wire.Changed:
    return wire.Changed(
        service=service,
        base_revision=base_revision,
        revision=revision,
        gifts=[(g.first, g.last, g.owner, g.handover) for g in gifts],
    )
