"""Short promises of one other node, for a quick takeover of a lost one.

A node's lease in the store is long, so that it bridges outages of the store.
The node's row also names a *granter*: another node that promises, again and
again for a short time, not to take the keys. While the node is bound, its right
to keys ends with the last promise, and the granter may take them once that time
has passed, without waiting for the lease.

Answers the loss of an instance with its node. The order of steps keeps both
from being wrong at once: the granter counts from a heartbeat in which the node
says that it is bound, and the node is bound from when it sends that. What the
row names changes only by the node itself, so that a granter whose node has
chosen another fails to take the keys.
"""

import dataclasses

PROMISE_MS = 3_400
"""A promise; holds of 3.5 heartbeats of the server fit into it."""

HEARTBEAT_MS = 400
"""Between heartbeats to the granter; several may be lost."""

REPLACE_AFTER_MS = 1_300
"""Without a promise for so long, the node chooses another granter."""

DRIFT_PER_MILLE = 2
MARGIN_MS = 150
"""Added by the granter, for timers that fire late."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """Names one choice of a granter: a row of the node that names it."""

    node_id: str
    incarnation: str
    number: int


class Holder:
    """The part of the node that is promised to. Times in milliseconds."""

    __slots__ = (
        "_is_bound",
        "_is_release_requested",
        "_last_heard_ms",
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
        self._last_heard_ms = 0
        self._sequence = 0
        self._sent_at_ms: dict[int, int] = {}

    def begin_term(self, granter: str, term_number: int, now_ms: int) -> None:
        """Takes note that the store has acknowledged the choice of a granter.

        Until then the earlier term goes on, with its promises.

        Args:
            granter: The process that was chosen, empty for none.
            term_number: The number of the term in the row.
            now_ms: The present moment.
        """
        self.granter = granter
        self.term_number = term_number
        self._reset(now_ms)

    def make_heartbeat(self, now_ms: int) -> tuple[int, bool]:
        """Makes a heartbeat for the granter.

        Returns:
            Its sequence number, and whether the node is bound from now on.
        """
        self._sequence += 1
        self._sent_at_ms[self._sequence] = now_ms
        if len(self._sent_at_ms) > 32:
            del self._sent_at_ms[min(self._sent_at_ms)]
        if now_ms < self._promise_ends_ms and not self._is_release_requested:
            self._is_bound = True
        return self._sequence, self._is_bound and not self._is_release_requested

    def record_promise(self, term_number: int, sequence: int) -> None:
        """Takes a promise, which counts from when its heartbeat was sent."""
        sent_at_ms = self._sent_at_ms.get(sequence)
        if term_number != self.term_number or sent_at_ms is None:
            return
        self._last_heard_ms = max(self._last_heard_ms, sent_at_ms)
        self._promise_ends_ms = max(
            self._promise_ends_ms, sent_at_ms + PROMISE_MS
        )

    def request_release(self) -> None:
        """Asks the granter to give up its right, as the node restarts."""
        self._is_release_requested = True

    def record_release(self, term_number: int) -> None:
        """Takes the granter's word that it won't take keys in this term."""
        if term_number == self.term_number:
            self._is_bound = False

    @property
    def is_release_requested(self) -> bool:
        """Whether the node has asked to be released."""
        return self._is_release_requested

    def find_remaining_ms(self, lease_ms: int, now_ms: int) -> int:
        """Finds how long the node may let its server hold keys.

        Args:
            lease_ms: What is left of the lease in the store.
            now_ms: The present moment.
        """
        if not self._is_bound:
            return lease_ms
        return max(0, min(lease_ms, self._promise_ends_ms - now_ms))

    def needs_new_granter(self, now_ms: int) -> bool:
        """Tells whether the granter has been silent for too long."""
        if not self.granter or self._is_release_requested:
            return False
        return now_ms - self._last_heard_ms > REPLACE_AFTER_MS

    def _reset(self, now_ms: int) -> None:
        self._is_bound = False
        self._is_release_requested = False
        self._promise_ends_ms = 0
        self._last_heard_ms = now_ms
        self._sequence = 0
        self._sent_at_ms.clear()


@dataclasses.dataclass(slots=True, kw_only=True)
class _TermState:
    """A node that this one promises to."""

    term: Term
    row_revision: int
    bound_until_ms: int | None = None
    is_released: bool = False
    has_lapsed: bool = False


class Granter:
    """The part of a node that promises. Times in milliseconds."""

    __slots__ = ("_terms",)

    def __init__(self) -> None:
        self._terms: dict[str, _TermState] = {}

    def handle_heartbeat(
        self, term: Term, *, row_revision: int, is_bound: bool, now_ms: int
    ) -> bool:
        """Takes a heartbeat of a node that has chosen this process.

        Args:
            term: The choice.
            row_revision: The newest revision that the node's row has.
            is_bound: Whether the node's right ends with the promises.
            now_ms: The present moment.

        Returns:
            Whether it is promised to; never again once its keys were taken.
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
            # It was bound before: a late heartbeat from before that.
            return False
        return True

    def release(self, term: Term) -> bool:
        """Gives up the right to a node's keys in one term.

        Returns:
            Whether it was given up; it isn't once they were taken.
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
        """Lists the nodes whose promises have run out, with their revision.

        From then on nothing is promised to them in that term.
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
        """Tells whether a term is the last that was heard of its node."""
        state = self._terms.get(term.node_id)
        return state is not None and state.term == term

    def end_term(self, node_id: str) -> None:
        """Ends the part in a node, after its keys were taken or not."""
        state = self._terms.get(node_id)
        if state is not None:
            state.bound_until_ms = None
            state.is_released = True


def _find_bound_end(now_ms: int) -> int:
    drift_ms = PROMISE_MS * DRIFT_PER_MILLE // 1_000 + 1
    return now_ms + PROMISE_MS + drift_ms + MARGIN_MS
