"""The local view of the cluster: states of the nodes and key assignments."""

from collections.abc import Iterator

from rhubarblead import routing_table
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import planning
from rhubarblead.requests import placement
from rhubarblead.router import wire

STATE_VALID_MS = 8_000
"""Age of the last report after which a node's server counts as gone."""


class Directory:
    """The newest states, assignments and routing table known to this node."""

    __slots__ = (
        "_assignments",
        "_heard_at_ms",
        "_lost_at_ms",
        "_own_id",
        "_own_state",
        "_states",
        "_unlinked_states",
        "evacuated",
        "table",
    )

    def __init__(self, *, own_state: wire.State) -> None:
        self._own_id = own_state.node_id
        self._own_state = own_state
        self._states: dict[str, wire.State] = {}
        self._unlinked_states: dict[str, wire.State] = {}
        self._heard_at_ms: dict[str, int] = {}
        self._lost_at_ms: dict[str, int] = {}
        self._assignments: dict[str, tuple[assignment.Assignment, int]] = {}
        self.table: routing_table.RoutingTable | None = None
        # Failure domains to whose servers nothing is to be sent.
        self.evacuated: frozenset[str] = frozenset()

    @property
    def own_state(self) -> wire.State:
        """The state that this node reports to the others."""
        return self._own_state

    def update_state(self, state: wire.State, now_ms: int) -> None:
        """Stores the newest state of another node.

        A node whose link was lost counts as reachable only once the link is up
        again: its last messages may arrive after the loss.
        """
        if state.node_id in self._lost_at_ms:
            self._unlinked_states[state.node_id] = state
            return
        self._states[state.node_id] = state
        self._heard_at_ms[state.node_id] = now_ms

    def mark_linked(self, node_id: str, now_ms: int) -> None:
        """Records that the link to a node is up."""
        self._lost_at_ms.pop(node_id, None)
        state = self._unlinked_states.pop(node_id, None)
        if state is not None:
            self.update_state(state, now_ms)

    def update_load(self, message: wire.Load, now_ms: int) -> wire.State | None:
        """Stores the newest load of a node's process.

        Returns:
            The state of its node, or None if the process is unknown.
        """
        for node_id, state in self._states.items():
            if state.incarnation == message.incarnation:
                state.load = message.load
                self._heard_at_ms[node_id] = now_ms
                return state
        return None

    def find_absence_ms(self, node_id: str, now_ms: int) -> int:
        """Returns for how long a node has been unreachable, 0 if it is not."""
        lost_at_ms = self._lost_at_ms.get(node_id)
        return 0 if lost_at_ms is None else now_ms - lost_at_ms

    def mark_lost(self, node_id: str, now_ms: int) -> None:
        """Records that a node has become unreachable."""
        self._states.pop(node_id, None)
        self._unlinked_states.pop(node_id, None)
        self._heard_at_ms.pop(node_id, None)
        self._lost_at_ms.setdefault(node_id, now_ms)

    def find_state(self, node_id: str) -> wire.State | None:
        """Returns the newest state of a node, None if it is unknown."""
        if node_id == self._own_id:
            return self._own_state
        return self._states.get(node_id)

    def list_states(self) -> list[wire.State]:
        """Lists the newest states of the other reachable nodes."""
        return list(self._states.values())

    def list_stopping(self) -> frozenset[str]:
        """Lists the processes that are being stopped, this one among them."""
        return frozenset(
            state.incarnation
            for state in (self._own_state, *self._states.values())
            if state.is_stopping
        )

    def count_nodes(self) -> int:
        """Counts the reachable nodes, including this one."""
        return len(self._states) + 1

    def count_servers(self, service: str) -> int:
        """Counts the reachable nodes beside servers of a service."""
        return sum(
            state.service == service
            for state in (self._own_state, *self._states.values())
        )

    def find_nested_calls(self, service: str) -> dict[str, float]:
        """Returns the nested calls that a run at a service makes, by service.

        The servers of a service differ by chance, or have made few runs; the
        largest number counts.
        """
        most: dict[str, float] = {}
        for state in (self._own_state, *self._states.values()):
            if state.service != service:
                continue
            for called, count in state.load.nested_calls.items():
                most[called] = max(count, most.get(called, 0.0))
        return most

    def list_servers(
        self, service: str, now_ms: int
    ) -> Iterator[tuple[wire.State, int]]:
        """Yields the states of nodes whose server accepts requests.

        Each comes with the age in milliseconds of the last report of the node.
        """
        own = self._own_state
        if own.service == service and own.is_serving:
            yield own, 0
        for node_id, state in self._states.items():
            age_ms = now_ms - self._heard_at_ms[node_id]
            is_usable = state.is_serving and not state.is_stopping
            is_fresh = age_ms <= STATE_VALID_MS
            if state.service == service and is_usable and is_fresh:
                yield state, age_ms

    def list_candidates(
        self, service: str, now_ms: int
    ) -> list[planning.Candidate]:
        """Lists the servers of a service to which keys may be assigned."""
        return [
            planning.Candidate(
                owner=assignment.format_owner(state.node_id, state.born_ms),
                load=state.load.load_per_mille / 1_000,
                capacity_per_s=state.load.capacity_per_s,
                report_age_ms=age_ms,
            )
            for state, age_ms in self.list_servers(service, now_ms)
            if state.born_ms
            and not state.is_stopping
            and state.failure_domain not in self.evacuated
        ]

    def list_placement_candidates(
        self, service: str, route: str, now_ms: int, *, is_call: bool
    ) -> list[placement.Candidate]:
        """Lists the nodes that may run a request without a key, or a call.

        Args:
            service: The service of the request.
            route: The route, by which run times are kept.
            now_ms: The current time.
            is_call: Whether it is a call by another server, for which a
                different waiting time applies.
        """
        return [
            placement.Candidate(
                node_id=state.node_id,
                is_same_domain=(
                    state.failure_domain == self._own_state.failure_domain
                ),
                wait_ms=(
                    state.load.call_wait_ms if is_call else state.load.wait_ms
                ),
                age_ms=age_ms,
                service_ms=state.load.service_ms.get(route),
                link_backlog_ms=state.load.link_backlog_ms,
            )
            for state, age_ms in self.list_servers(service, now_ms)
            if state.failure_domain not in self.evacuated
        ]

    def get_assignment(self, service: str) -> tuple[assignment.Assignment, int]:
        """Returns the newest assignment of a service, and its revision.

        It is empty, with revision 0, where none is known.
        """
        found = self._assignments.get(service)
        return found if found is not None else (assignment.make_empty(), 0)

    def set_assignment(
        self, service: str, key_assignment: assignment.Assignment, revision: int
    ) -> bool:
        """Stores an assignment if it is newer; returns whether it was."""
        if revision <= self.get_assignment(service)[1]:
            return False
        self._assignments[service] = (key_assignment, revision)
        return True

    def list_revisions(self) -> dict[str, int]:
        """Returns the revisions of all known assignments by service."""
        return {
            service: revision
            for service, (_, revision) in self._assignments.items()
        }

    def find_owner(self, service: str, key: int) -> str:
        """Returns the node whose server owns a key, empty if nobody does."""
        key_assignment, _ = self.get_assignment(service)
        owner = key_assignment.find(key).owner
        return assignment.parse_node_id(owner) if owner else ""
