"""Has one node write the changes of many nodes to an assignment together.

Answers many nodes that hand over keys at the same time: the row of a service is
written by one after the other, so that each would mostly find that another was
faster, and wait with keys that nobody serves.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from rhubarblead.keyspace import assignment
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import peers
from rhubarblead.router import store_access
from rhubarblead.router import wire

REPLY_TIMEOUT_S = 1.2
"""For a write of the other node, with one that is in progress before it."""

AVOID_MS = 3_000
"""After a failure, in which a node writes its changes itself."""

MAX_GIVERS = 90
"""A transaction holds 100 entries (the platform's pages)."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """The changes of one node, which expect its row at a revision."""

    node_id: str
    row: store.Expected
    gifts: list[assignment.Gift]
    reply: Callable[[store.WriteOutcome, wire.AssignmentChange | None], None]


class Gathering:
    """Changes that wait here to be written, and where own ones are sent."""

    __slots__ = (
        "_avoid_until_ms",
        "_directory",
        "_links",
        "_next_number",
        "_now_ms",
        "_replies",
        "_requests",
        "_service",
        "_take_change",
        "_wake",
    )

    def __init__(
        self,
        *,
        known: directory.Directory,
        links: peers.Links,
        now_ms: Callable[[], int],
        take_change: Callable[[wire.AssignmentChange], None],
        wake: Callable[[], None],
    ) -> None:
        """Makes a part in which nothing waits.

        Args:
            known: What this node knows of the others.
            links: Links to them.
            now_ms: The clock.
            take_change: Takes what another node has written.
            wake: Has the requests taken soon.
        """
        self._directory = known
        self._service = known.own_state.service
        self._links = links
        self._now_ms = now_ms
        self._take_change = take_change
        self._wake = wake
        self._next_number = 0
        self._avoid_until_ms = 0
        self._requests: list[Request] = []
        self._replies: dict[int, asyncio.Future[store.WriteOutcome]] = {}

    def find_writer(self) -> str:
        """Finds the node that writes for all, empty for this one."""
        if self._now_ms() < self._avoid_until_ms:
            return ""
        own_id = self._directory.own_state.node_id
        first_id = min(
            (
                state.node_id
                for state, _ in self._directory.list_servers(
                    self._service, self._now_ms()
                )
                if state.load.has_store
            ),
            default=own_id,
        )
        return first_id if first_id < own_id else ""

    async def send(
        self,
        writer_id: str,
        row: store.Expected,
        gifts: list[assignment.Gift],
    ) -> store.WriteOutcome:
        """Has another node write changes.

        Args:
            writer_id: The node.
            row: The own row, which the write expects at its revision.
            gifts: The changes, all of keys of this node.
        """
        self._next_number += 1
        number = self._next_number
        loop = asyncio.get_running_loop()
        future: asyncio.Future[store.WriteOutcome] = loop.create_future()
        self._replies[number] = future
        message = wire.DelegatedWrite(
            number=number,
            service=self._service,
            row_key=row.key,
            row_revision=row.revision,
            transfers=encode_gifts(gifts),
        )
        try:
            if not self._links.send(writer_id, message):
                return self._avoid(store.NotDone(reason="link is down"))
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                outcome = await future
        except TimeoutError:
            outcome = store.InDoubt(reason="no reply")
        finally:
            del self._replies[number]
        return self._avoid(outcome)

    def take(
        self,
        message: wire.DelegatedWrite,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Takes changes that this node is to write for another."""

        def answer(
            outcome: store.WriteOutcome, change: wire.AssignmentChange | None
        ) -> None:
            reply(_encode(message.number, outcome, change))

        if message.service != self._service:
            answer(store.NotDone(reason="another service"), None)
            return
        self._requests.append(
            Request(
                node_id=store_access.parse_member_key(message.row_key),
                row=store.Expected(
                    key=message.row_key, revision=message.row_revision
                ),
                gifts=decode_gifts(message.transfers),
                reply=answer,
            )
        )
        self._wake()

    def take_reply(self, message: wire.DelegatedWriteReply) -> None:
        """Takes what came of changes that another node has written."""
        future = self._replies.get(message.number)
        if future is not None and not future.done():
            if message.change is not None:
                self._take_change(message.change)
            future.set_result(_decode(message))

    def collect(self) -> list[Request]:
        """Collects the changes that are to be written now."""
        collected = self._requests[:MAX_GIVERS]
        self._requests = self._requests[MAX_GIVERS:]
        return collected

    def put_back(self, requests: list[Request]) -> None:
        """Has changes written with the next ones."""
        self._requests = [*requests, *self._requests]
        if requests:
            self._wake()

    def refuse_all(self, reason: str) -> None:
        """Tells all that wait here to write their changes themselves."""
        requests, self._requests = self._requests, []
        for request in requests:
            request.reply(store.NotDone(reason=reason), None)

    def _avoid(self, outcome: store.WriteOutcome) -> store.WriteOutcome:
        if isinstance(outcome, store.NotDone | store.InDoubt):
            self._avoid_until_ms = self._now_ms() + AVOID_MS
        return outcome


def encode_gifts(gifts: list[assignment.Gift]) -> wire.RangeTransfers:
    """Encodes changes for a message."""
    owners = sorted({gift.owner for gift in gifts})
    index = {owner: number for number, owner in enumerate(owners)}
    return wire.RangeTransfers(
        owners=owners,
        rows=[(g.first, g.last, index[g.owner], g.handover) for g in gifts],
    )


def decode_gifts(message: wire.RangeTransfers) -> list[assignment.Gift]:
    """Decodes changes from a message."""
    return [
        assignment.Gift(
            first=first,
            last=last,
            owner=message.owners[owner],
            handover=token,
        )
        for first, last, owner, token in message.rows
    ]


def _encode(
    number: int,
    outcome: store.WriteOutcome,
    change: wire.AssignmentChange | None,
) -> wire.DelegatedWriteReply:
    match outcome:
        case store.Applied():
            return wire.DelegatedWriteReply(
                number=number,
                result=wire.WriteResult.APPLIED,
                now_ms=outcome.now_ms,
                change=change,
            )
        case store.Conflict():
            return wire.DelegatedWriteReply(
                number=number, result=wire.WriteResult.CONFLICT
            )
        case store.NotDone(reason=reason):
            return wire.DelegatedWriteReply(
                number=number, result=wire.WriteResult.NOT_DONE, reason=reason
            )
        case store.InDoubt(reason=reason):
            return wire.DelegatedWriteReply(
                number=number, result=wire.WriteResult.IN_DOUBT, reason=reason
            )


def _decode(message: wire.DelegatedWriteReply) -> store.WriteOutcome:
    match message.result:
        case wire.WriteResult.APPLIED:
            revision = message.change.revision if message.change else 0
            return store.Applied(revision=revision, now_ms=message.now_ms)
        case wire.WriteResult.CONFLICT:
            return store.Conflict(rows=())
        case wire.WriteResult.NOT_DONE:
            return store.NotDone(reason=message.reason)
        case _:
            return store.InDoubt(reason=message.reason)
