"""Exchanges the messages by which granters promise not to take keys.

The protocol is described in `rhubarblead.keyspace.promises`.
"""

import asyncio
from collections.abc import Callable
import zlib

from rhubarblead.keyspace import promises
from rhubarblead.router import directory
from rhubarblead.router import peers
from rhubarblead.router import wire

LEAVE_TIMEOUT_S = 0.3
"""Time to wait for the granter's release before this node restarts."""


class PromiseExchange:
    """Both sides of the promises of one node.

    As `holder`, the node asks its granter for promises; as `granter`, it
    promises to the nodes that have chosen it.
    """

    __slots__ = (
        "_directory",
        "_granter_id",
        "_links",
        "_now_ms",
        "_released",
        "granter",
        "holder",
    )

    def __init__(
        self,
        *,
        cluster_directory: directory.Directory,
        links: peers.Links,
        now_ms: Callable[[], int],
    ) -> None:
        self._directory = cluster_directory
        self._links = links
        self._now_ms = now_ms
        self._granter_id = ""
        self._released = asyncio.Event()
        self.holder = promises.Holder()
        self.granter = promises.Granter()

    def choose_granter(self) -> str:
        """Chooses another process of the service as granter.

        One in another failure domain is preferred.

        Returns:
            The process name for the node's row, empty if there is no candidate.
        """
        own = self._directory.own_state
        found = [
            state
            for state, _ in self._directory.list_servers(
                own.service, self._now_ms()
            )
            if state.node_id != own.node_id
        ]
        apart = [s for s in found if s.failure_domain != own.failure_domain]
        choices = apart or found
        if not choices:
            return ""
        chosen = max(choices, key=lambda state: _hash_pair(own, state))
        return name_process(chosen.node_id, chosen.incarnation)

    def begin_term(self, granter: str, number: int) -> None:
        """Starts a term with a granter that the store has acknowledged."""
        if (granter, number) == (self.holder.granter, self.holder.term_number):
            return
        self._granter_id = granter.rpartition("#")[0]
        self.holder.begin_term(granter, number, self._now_ms())

    def needs_new_granter(self) -> bool:
        """Tells whether another granter must be chosen."""
        if self.holder.is_release_requested:
            return False
        if not self.holder.granter:
            return bool(self.choose_granter())
        state = self._directory.find_state(self._granter_id)
        if state is not None and state.is_stopping:
            return True
        is_gone = state is None or self.holder.granter != name_process(
            state.node_id, state.incarnation
        )
        return is_gone or self.holder.needs_new_granter(self._now_ms())

    async def run_heartbeats(self, find_revision: Callable[[], int]) -> None:
        """Sends heartbeats to the granter until cancelled."""
        while True:
            if self.holder.granter and not self.holder.is_release_requested:
                self._send_heartbeat(find_revision())
            await asyncio.sleep(promises.HEARTBEAT_MS / 1_000)

    async def leave(self) -> None:
        """Asks the granter not to take the keys while this node restarts.

        Waits for its release up to `LEAVE_TIMEOUT_S`.
        """
        if not self.holder.granter:
            return
        self._released.clear()
        self.holder.request_release()
        self._send_leave()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._released.wait()
        except TimeoutError:
            return

    def handle_request(
        self,
        message: wire.LeaseHeartbeat | wire.LeaseLeave,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Handles a message of a node that has chosen this one as granter.

        An earlier process of this node may have taken over the keys in a term
        of which this one knows nothing.
        """
        own = self._directory.own_state
        process = name_process(own.node_id, own.incarnation)
        if message.granter and message.granter != process:
            return
        match message:
            case wire.LeaseHeartbeat():
                self._handle_heartbeat(message, reply)
            case wire.LeaseLeave():
                self._handle_leave(message, reply)

    def _handle_heartbeat(
        self,
        message: wire.LeaseHeartbeat,
        reply: Callable[[wire.Message], None],
    ) -> None:
        """Replies to a heartbeat with a promise, if one may be given."""
        term = promises.Term(
            node_id=message.node_id,
            incarnation=message.incarnation,
            number=message.term,
        )
        is_promised = self.granter.handle_heartbeat(
            term,
            row_revision=message.row_revision,
            is_bound=message.is_bound,
            now_ms=self._now_ms(),
        )
        if is_promised:
            reply(wire.Promise(term=message.term, sequence=message.sequence))

    def _handle_leave(
        self, message: wire.LeaseLeave, reply: Callable[[wire.Message], None]
    ) -> None:
        """Releases the keys of a restarting node, unless its term lapsed."""
        term = promises.Term(
            node_id=message.node_id,
            incarnation=message.incarnation,
            number=message.term,
        )
        if self.granter.release(term):
            reply(wire.Release(term=message.term))

    def handle_release(self, message: wire.Release) -> None:
        """Handles the granter's release of the keys of this node."""
        self.holder.record_release(message.term)
        self._released.set()

    def _send_leave(self) -> None:
        own = self._directory.own_state
        self._links.send(
            self._granter_id,
            wire.LeaseLeave(
                node_id=own.node_id,
                incarnation=own.incarnation,
                term=self.holder.term_number,
                granter=self.holder.granter,
            ),
        )

    def _send_heartbeat(self, row_revision: int) -> None:
        own = self._directory.own_state
        sequence, is_bound = self.holder.make_heartbeat(self._now_ms())
        self._links.send(
            self._granter_id,
            wire.LeaseHeartbeat(
                node_id=own.node_id,
                incarnation=own.incarnation,
                term=self.holder.term_number,
                sequence=sequence,
                row_revision=row_revision,
                is_bound=is_bound,
                granter=self.holder.granter,
            ),
        )


def name_process(node_id: str, incarnation: str) -> str:
    """Returns the name of one process of a node."""
    return f"{node_id}#{incarnation}"


def _hash_pair(own: wire.State, other: wire.State) -> int:
    """Hashes a pair of nodes, for an even and stable choice of granters."""
    return zlib.crc32(f"{own.node_id}>{other.node_id}".encode())
