"""Short-lived promises between two nodes, for fast takeover of a failed node.

A node's lease in the store is long, to cover store outages. The node's row also
names a *granter*: another node that repeatedly promises, for a short time, not
to take over the keys. While the node is bound, its effective lease ends with
the last promise. Once that time has passed, the granter may take over the keys
without waiting for the end of the lease.

This covers the loss of an instance together with its node. The order of steps
keeps the node and the granter from both claiming the keys: the node is bound
from when it sends a heartbeat that says so, and the granter starts its timer
when it receives that heartbeat. Only the node itself changes the granter in its
row, so the takeover by a granter that it has replaced fails.
"""

import dataclasses

PROMISE_MS = 3_400
"""Duration of a promise; covers a server hold of 3.5 heartbeats."""

HEARTBEAT_MS = 400
"""Interval of heartbeats to the granter; tolerates the loss of several."""

REPLACE_AFTER_MS = 1_300
"""Time without a promise after which the node chooses another granter."""

DRIFT_PER_MILLE = 2
"""Assumed upper bound of the drift of a monotonic clock."""

MARGIN_MS = 150
"""Added by the granter before takeover; allows for timers that fire late."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """Identifies one choice of a granter, as written to the node's row."""

    node_id: str
    incarnation: str
    number: int


class Holder:
    """The side that receives promises. Times are in milliseconds."""

    __slots__ = (
        "_is_bound",
        "_is_release_requested",
        "_last_promise_at_ms",
        "_promise_ends_ms",
        "_sent_at_ms",
        "_sequence",
        "granter",
        "term_number",
    )

    def __init__(self) -> None:
        self.granter = ""
        self.term_number = 0
        self._is_bound = False
        self._is_release_requested = False
        self._promise_ends_ms = 0
        self._last_promise_at_ms = 0
        self._sequence = 0
        self._sent_at_ms: dict[int, int] = {}

    def begin_term(self, granter: str, term_number: int, now_ms: int) -> None:
        """Starts a term when the store has acknowledged a choice of granter.

        Until then the earlier term and its promises stay in force.

        Args:
            granter: The process that was chosen, empty for none.
            term_number: The number of the term in the row.
            now_ms: The current time.
        """
        self.granter = granter
        self.term_number = term_number
        self._reset(now_ms)

    def make_heartbeat(self, now_ms: int) -> tuple[int, bool]:
        """Registers a heartbeat that is about to be sent to the granter.

        Returns:
            The sequence number of the heartbeat, and whether the node is bound
            from now on.
        """
        self._sequence += 1
        self._sent_at_ms[self._sequence] = now_ms
        if len(self._sent_at_ms) > 32:
            del self._sent_at_ms[min(self._sent_at_ms)]
        if now_ms < self._promise_ends_ms and not self._is_release_requested:
            self._is_bound = True
        return self._sequence, self._is_bound and not self._is_release_requested

    def record_promise(self, term_number: int, sequence: int) -> None:
        """Records a promise, which counts from when its heartbeat was sent."""
        sent_at_ms = self._sent_at_ms.get(sequence)
        if term_number != self.term_number or sent_at_ms is None:
            return
        self._last_promise_at_ms = max(self._last_promise_at_ms, sent_at_ms)
        self._promise_ends_ms = max(
            self._promise_ends_ms, sent_at_ms + PROMISE_MS
        )

    def request_release(self) -> None:
        """Starts asking the granter to give up its right, for a restart."""
        self._is_release_requested = True

    def record_release(self, term_number: int) -> None:
        """Records that the granter won't take over the keys in this term."""
        if term_number == self.term_number:
            self._is_bound = False

    @property
    def is_release_requested(self) -> bool:
        """Whether the node has asked the granter to give up its right."""
        return self._is_release_requested

    def find_effective_lease_ms(self, lease_ms: int, now_ms: int) -> int:
        """Returns how long the node may let its server hold keys.

        Args:
            lease_ms: The remaining time of the lease in the store.
            now_ms: The current time.
        """
        if not self._is_bound:
            return lease_ms
        return max(0, min(lease_ms, self._promise_ends_ms - now_ms))

    def needs_new_granter(self, now_ms: int) -> bool:
        """Tells whether the last promise is too old to keep the granter."""
        if not self.granter or self._is_release_requested:
            return False
        return now_ms - self._last_promise_at_ms > REPLACE_AFTER_MS

    def _reset(self, now_ms: int) -> None:
        self._is_bound = False
        self._is_release_requested = False
        self._promise_ends_ms = 0
        self._last_promise_at_ms = now_ms
        self._sequence = 0
        self._sent_at_ms.clear()


@dataclasses.dataclass(slots=True, kw_only=True)
class _TermState:
    """The latest known term of a node that receives promises."""

    term: Term
    row_revision: int
    bound_until_ms: int | None = None
    is_released: bool = False
    has_lapsed: bool = False


class Granter:
    """The side that makes promises. Times are in milliseconds."""

    __slots__ = ("_terms",)

    def __init__(self) -> None:
        self._terms: dict[str, _TermState] = {}

    def handle_heartbeat(
        self, term: Term, *, row_revision: int, is_bound: bool, now_ms: int
    ) -> bool:
        """Handles a heartbeat of a node that has chosen this process.

        Args:
            term: The term that the heartbeat belongs to.
            row_revision: The latest revision of the node's row.
            is_bound: Whether the node's effective lease ends with the promises.
            now_ms: The current time.

        Returns:
            Whether to answer with a promise; never again in a term that has
            lapsed or was released.
        """
        state = self._terms.get(term.node_id)
        if state is None or state.term != term:
            state = _TermState(term=term, row_revision=row_revision)
            self._terms[term.node_id] = state
        if state.has_lapsed or state.is_released:
            return False
        state.row_revision = max(state.row_revision, row_revision)
        if is_bound:
            state.bound_until_ms = _find_bound_end(now_ms)
        elif state.bound_until_ms is not None:
            # Delayed: it was sent before the node was bound.
            return False
        return True

    def release(self, term: Term) -> bool:
        """Gives up the right to take over a node's keys in one term.

        Returns:
            Whether the right was given up; False once the term has lapsed.
        """
        state = self._terms.get(term.node_id)
        if state is None or state.term != term:
            state = _TermState(term=term, row_revision=0)
            self._terms[term.node_id] = state
        if state.has_lapsed:
            return False
        state.is_released = True
        return True

    def list_lapsed(self, now_ms: int) -> list[tuple[str, int]]:
        """Lists nodes whose promises have expired, with their row revisions.

        The terms lapse: these nodes get no more promises in them.
        """
        lapsed = []
        for node_id, state in self._terms.items():
            if state.is_released or state.bound_until_ms is None:
                continue
            if now_ms >= state.bound_until_ms:
                state.has_lapsed = True
                lapsed.append((node_id, state.row_revision))
        return lapsed

    def is_current_term(self, term: Term) -> bool:
        """Tells whether a term is the latest known term of its node."""
        state = self._terms.get(term.node_id)
        return state is not None and state.term == term

    def end_term(self, node_id: str) -> None:
        """Ends a node's current term, whether or not its takeover succeeded."""
        state = self._terms.get(node_id)
        if state is not None:
            state.bound_until_ms = None
            state.is_released = True


def _find_bound_end(now_ms: int) -> int:
    drift_ms = PROMISE_MS * DRIFT_PER_MILLE // 1_000 + 1
    return now_ms + PROMISE_MS + drift_ms + MARGIN_MS
