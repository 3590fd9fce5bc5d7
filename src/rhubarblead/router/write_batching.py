"""Batches the changes of many nodes to an assignment at one node.

The assignment of a service is one row of the store, so that its writes are
serialized. If many nodes hand over keys at the same time and each writes by
itself, most writes fail with a conflict, and the keys stay unserved until a
retry succeeds.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from rhubarblead.keyspace import adaptive_timeout
from rhubarblead.keyspace import assignment
from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import peers
from rhubarblead.router import store_access
from rhubarblead.router import wire

REPLY_SAVING_MS = 200
"""Less than two timeouts are waited for a write of the other node.

They cover it and one in progress before it; both rarely take so long.
"""

WRITER_BACKOFF_MS = 3_000
"""Time after a failure in which the node writes its changes itself."""

MAX_BATCHED_NODES = 90
"""Limits a batch; the platform allows 100 entries per transaction."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """The changes of one node.

    `row` is the row of the node at the revision that the write expects.
    """

    node_id: str
    row: store.Expected
    transfers: list[assignment.Transfer]
    reply: Callable[[store.WriteOutcome, wire.AssignmentChange | None], None]


class WriteBatcher:
    """Queues changes of other nodes, and sends own ones to the writer node."""

    __slots__ = (
        "_backoff_until_ms",
        "_directory",
        "_find_timeout_ms",
        "_links",
        "_next_number",
        "_now_ms",
        "_replies",
        "_requests",
        "_service",
        "_on_written",
        "_wake",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        links: peers.Links,
        now_ms: Callable[[], int],
        on_written: Callable[[wire.AssignmentChange], None],
        wake: Callable[[], None],
        find_timeout_ms: Callable[[], int],
    ) -> None:
        """Initializes an empty queue.

        Args:
            cluster_directory: The local view of the cluster.
            links: The links to the other nodes.
            now_ms: The clock.
            on_written: Called with a change that the writer node has written.
            wake: Wakes the task that writes the queued requests.
            find_timeout_ms: Returns the timeout of a call to the store.
        """
        self._find_timeout_ms = find_timeout_ms
        self._directory = cluster_directory
        self._service = cluster_directory.own_state.service
        self._links = links
        self._now_ms = now_ms
        self._on_written = on_written
        self._wake = wake
        self._next_number = 0
        self._backoff_until_ms = 0
        self._requests: list[Request] = []
        self._replies: dict[int, asyncio.Future[store.WriteOutcome]] = {}

    def find_writer(self) -> str:
        """Returns the node that writes for all, empty if it is this one.

        It is the first by name of the nodes whose server accepts requests and
        that reach the store. After a failure, a node writes by itself for
        `WRITER_BACKOFF_MS`.
        """
        if self._now_ms() < self._backoff_until_ms:
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

    @property
    def has_connected_peer(self) -> bool:
        """Whether another node of the service says that it has the store."""
        own_id = self._directory.own_state.node_id
        return any(
            state.load.has_store and state.node_id != own_id
            for state, _ in self._directory.list_servers(
                self._service, self._now_ms()
            )
        )

    async def send(
        self,
        writer_id: str,
        row: store.Expected,
        transfers: list[assignment.Transfer],
    ) -> store.WriteOutcome:
        """Sends changes to another node to write them.

        Args:
            writer_id: The node that writes them.
            row: The row of this node at the revision that the write expects.
            transfers: The changes, all to keys that this node owns.

        Returns:
            The outcome, in doubt if no reply arrived in time.
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
            transfers=encode_transfers(transfers),
        )
        try:
            if not self._links.send(writer_id, message):
                return self._back_off(
                    store.NotDone(reason="link to the writer node is down")
                )
            timeout_ms = 2 * self._find_timeout_ms() - REPLY_SAVING_MS
            async with asyncio.timeout(timeout_ms / 1_000):
                outcome = await future
        except TimeoutError:
            outcome = store.InDoubt(reason="no reply from the writer node")
        finally:
            del self._replies[number]
        return self._back_off(outcome)

    def enqueue(
        self,
        message: wire.DelegatedWrite,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Queues changes that this node is to write for another."""

        def send_reply(
            outcome: store.WriteOutcome, change: wire.AssignmentChange | None
        ) -> None:
            reply(_encode(message.number, outcome, change))

        if message.service != self._service:
            send_reply(store.NotDone(reason="another service"), None)
            return
        self._requests.append(
            Request(
                node_id=store_access.parse_member_key(message.row_key),
                row=store.Expected(
                    key=message.row_key, revision=message.row_revision
                ),
                transfers=decode_transfers(message.transfers),
                reply=send_reply,
            )
        )
        self._wake()

    def handle_reply(self, message: wire.DelegatedWriteReply) -> None:
        """Completes the pending `send` to which a reply belongs."""
        future = self._replies.get(message.number)
        if future is not None and not future.done():
            if message.change is not None:
                self._on_written(message.change)
            future.set_result(_decode(message))

    def take_batch(self) -> list[Request]:
        """Removes and returns the oldest queued requests, one batch at most."""
        collected = self._requests[:MAX_BATCHED_NODES]
        self._requests = self._requests[MAX_BATCHED_NODES:]
        return collected

    def requeue(self, requests: list[Request]) -> None:
        """Puts requests back at the head of the queue."""
        self._requests = [*requests, *self._requests]
        if requests:
            self._wake()

    def refuse_all(self, reason: str) -> None:
        """Answers all queued requests as not done.

        Their nodes then write the changes themselves.
        """
        requests, self._requests = self._requests, []
        for request in requests:
            request.reply(store.NotDone(reason=reason), None)

    def _back_off(self, outcome: store.WriteOutcome) -> store.WriteOutcome:
        is_slow = self._find_timeout_ms() > adaptive_timeout.MIN_TIMEOUT_MS
        if isinstance(outcome, store.InDoubt) and is_slow:
            # The writer is no slower than this node would be, and two writers
            # would have each other's writes fail.
            return outcome
        if isinstance(outcome, store.NotDone | store.InDoubt):
            self._backoff_until_ms = self._now_ms() + WRITER_BACKOFF_MS
        return outcome


def encode_transfers(
    transfers: list[assignment.Transfer],
) -> wire.RangeTransfers:
    """Encodes changes for a message; owners are listed once and indexed."""
    owners = sorted({transfer.owner for transfer in transfers})
    index = {owner: number for number, owner in enumerate(owners)}
    return wire.RangeTransfers(
        owners=owners,
        rows=[(t.first, t.last, index[t.owner], t.handover) for t in transfers],
    )


def decode_transfers(message: wire.RangeTransfers) -> list[assignment.Transfer]:
    """Decodes changes from a message."""
    return [
        assignment.Transfer(
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
