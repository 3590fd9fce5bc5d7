"""Tells which nodes have fallen silent, by the replies that are due.

Answers a node that freezes or is cut off under load: its link is given up after
seconds only, and until then it would get requests that nobody runs. No promise
depends on this: what was sent to a silent node stays there, its outcome is
unknown, and only new requests go elsewhere.
"""

import dataclasses

PROBE_AFTER_MS = 200
"""Time without any reply after which a node is probed; about one usual run."""

LATENCY_FACTOR = 3
"""Timeout of a probe by the latency of earlier ones, which varies with load."""

MIN_TIMEOUT_MS = 150
"""Least timeout of a probe; a busy node replies in 25 ms."""

MAX_TIMEOUT_MS = 1_500
"""Greatest timeout of a probe; the link is given up a second later."""

MAX_LATENCY_MS = MAX_TIMEOUT_MS // LATENCY_FACTOR
"""Latency from which the timeout grows no more."""

LATENCY_DECAY = 0.8
"""What remains of a high latency at the next reply to a probe."""

MAX_STALL_MS = 100
"""Lateness of a check that shows that this node itself was stalled."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Peer:
    """What is known of one node; times in milliseconds, None if there is none.

    `unanswered_since_ms` is the time of the first message that no reply of the
    node has followed yet.
    """

    unanswered_since_ms: int | None = None
    probed_at_ms: int | None = None
    latency_ms: float = 0.0
    is_silent: bool = False

    def find_timeout_ms(self) -> float:
        """Returns how long a reply to a probe may take."""
        wanted_ms = LATENCY_FACTOR * self.latency_ms
        return max(MIN_TIMEOUT_MS, min(MAX_TIMEOUT_MS, wanted_ms))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Findings:
    """What a check has found: nodes to probe, and those now silent."""

    to_probe: tuple[str, ...]
    silent: tuple[str, ...]


class PeerSilence:
    """The responsiveness of the other nodes, as this node sees it."""

    __slots__ = ("_peers",)

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def record_sent(self, node_id: str, now_ms: int) -> None:
        """Records a message to which the node will reply."""
        peer = self._peers.setdefault(node_id, _Peer())
        if peer.unanswered_since_ms is None:
            peer.unanswered_since_ms = now_ms

    def record_reply(
        self, node_id: str, now_ms: int, *, is_to_probe: bool = False
    ) -> bool:
        """Records a reply of a node to any message.

        Returns:
            Whether the node was silent until now.
        """
        peer = self._peers.get(node_id)
        if peer is None:
            return False
        was_silent = peer.is_silent
        if is_to_probe and peer.probed_at_ms is not None:
            # Late replies count, as a link may be slow for long; the limit
            # lets the latency of a frozen node be forgotten soon.
            latency_ms = min(now_ms - peer.probed_at_ms, MAX_LATENCY_MS)
            peer.latency_ms = max(
                float(latency_ms), LATENCY_DECAY * peer.latency_ms
            )
        peer.unanswered_since_ms = None
        peer.probed_at_ms = None
        peer.is_silent = False
        return was_silent

    def forget(self, node_id: str) -> None:
        """Forgets a node whose link is lost."""
        self._peers.pop(node_id, None)

    def is_silent(self, node_id: str) -> bool:
        """Returns whether a node leaves its probe without a reply."""
        peer = self._peers.get(node_id)
        return peer is not None and peer.is_silent

    def find_silent_ms(self, node_id: str, now_ms: int) -> int:
        """Returns for how long a silent node has not replied, else 0."""
        peer = self._peers.get(node_id)
        if peer is None or not peer.is_silent:
            return 0
        since_ms = peer.unanswered_since_ms
        return 0 if since_ms is None else now_ms - since_ms

    @property
    def is_reply_due(self) -> bool:
        """Whether any node owes a reply, so that checks are needed."""
        return any(
            peer.unanswered_since_ms is not None and not peer.is_silent
            for peer in self._peers.values()
        )

    def check(self, now_ms: int, *, late_ms: int = 0) -> Findings:
        """Finds the nodes to probe, and those that have fallen silent.

        Args:
            now_ms: Current time in milliseconds.
            late_ms: How much later this check is than it was due. If this node
                itself was stalled, the others have had no time to reply.
        """
        if late_ms > MAX_STALL_MS:
            self._grant_time(late_ms)
        to_probe = []
        silent = []
        for node_id, peer in self._peers.items():
            if peer.unanswered_since_ms is None or peer.is_silent:
                continue
            if peer.probed_at_ms is None:
                if now_ms - peer.unanswered_since_ms >= PROBE_AFTER_MS:
                    peer.probed_at_ms = now_ms
                    to_probe.append(node_id)
            elif now_ms - peer.probed_at_ms > peer.find_timeout_ms():
                peer.is_silent = True
                silent.append(node_id)
        return Findings(to_probe=tuple(to_probe), silent=tuple(silent))

    def _grant_time(self, late_ms: int) -> None:
        for peer in self._peers.values():
            if peer.is_silent:
                continue
            if peer.unanswered_since_ms is not None:
                peer.unanswered_since_ms += late_ms
            if peer.probed_at_ms is not None:
                peer.probed_at_ms += late_ms
