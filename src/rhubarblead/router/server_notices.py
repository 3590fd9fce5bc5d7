"""Remembers what servers stated in responses that this node has passed on.

A node that is restarted has forgotten what its server stated. The other nodes
tell it before they send it requests.
"""

import collections

from rhubarblead.router import peers
from rhubarblead.router import wire

MAX_REMEMBERED_COUNT = 1_024
"""Servers remembered; more than a service has in need at a time."""


class ServerNotices:
    """The latest statement of each node's server, and whom it was told."""

    __slots__ = ("_links", "_statements", "_told")

    def __init__(self, *, links: peers.Links) -> None:
        """Creates a memory without statements.

        Args:
            links: The links to the other nodes.
        """
        self._links = links
        self._statements: collections.OrderedDict[str, wire.ServerStatement] = (
            collections.OrderedDict()
        )
        # The process of each node that was told last.
        self._told: dict[str, str] = {}

    def record_outcome(self, node_id: str, outcome: wire.Outcome) -> None:
        """Records what a server has stated in a response.

        Args:
            node_id: The node beside the server.
            outcome: The outcome of a request there.
        """
        if outcome.statement is not None:
            self._record(node_id, outcome.statement)
        elif outcome.verdict == wire.Verdict.RAN:
            self._forget_limit(node_id)

    def handle_state(self, state: wire.State) -> None:
        """Records the statement in a node's state.

        A new process of the node, which doesn't know it, is told.
        """
        if state.statement is not None:
            self._record(state.node_id, state.statement)
            self._told[state.node_id] = state.incarnation
        if state.node_id not in self._statements:
            return
        if self._told.get(state.node_id) != state.incarnation:
            self._told[state.node_id] = state.incarnation
            self.send(state.node_id)

    def send(self, node_id: str) -> None:
        """Sends a node what its server stated, if that is known."""
        statement = self._statements.get(node_id)
        if statement is not None:
            self._links.send(node_id, wire.ServerNotice(statement=statement))

    def _record(self, node_id: str, statement: wire.ServerStatement) -> None:
        self._statements[node_id] = statement
        self._statements.move_to_end(node_id)
        if len(self._statements) > MAX_REMEMBERED_COUNT:
            oldest, _ = self._statements.popitem(last=False)
            self._told.pop(oldest, None)

    def _forget_limit(self, node_id: str) -> None:
        statement = self._statements.get(node_id)
        if statement is not None and not statement.is_leaving:
            del self._statements[node_id]
            self._told.pop(node_id, None)
