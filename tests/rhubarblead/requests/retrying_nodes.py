"""Simulates nodes that send as many retries as their budgets allow."""

from collections.abc import Mapping
import dataclasses
import random

from rhubarblead.requests import cluster_retry_budget

STEP_MS = 100
REQUESTS_PER_STEP = 0.5
"""Requests of each node; 60 a second with 12 nodes."""

SERVICE = "s"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """A limit on the retries of all nodes to a service."""

    ratio: float
    extra_count: int
    window_ms: int

    def make_budget(
        self, started_at_ms: int
    ) -> cluster_retry_budget.ClusterRetryBudget:
        """Makes the budget of a process."""
        return cluster_retry_budget.ClusterRetryBudget(
            ratio=self.ratio,
            window_ms=self.window_ms,
            extra_count=self.extra_count,
            started_at_ms=started_at_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trouble:
    """What happens to the nodes.

    Every `interval_ms` a share of them is cut off for half of the interval,
    and a share restarts meanwhile. `gone_share` are gone for good after 20 s.
    A retry reaches its server within `max_delay_ms`. The requests are
    multiplied by `burst` in every other interval.
    """

    interval_ms: int = 2_000
    cut_share: float = 0.0
    restart_share: float = 0.0
    gone_share: float = 0.0
    max_delay_ms: int = 500
    burst: float = 1.0


TROUBLES: Mapping[str, Trouble] = {
    "nothing happens": Trouble(),
    "half of them are cut off from the others": Trouble(
        interval_ms=15_000, cut_share=0.5
    ),
    "half of them restart every 2 s": Trouble(restart_share=0.5),
    "all of them restart every 3 s": Trouble(
        interval_ms=3_000, restart_share=1.0
    ),
    "half of them are gone for good": Trouble(gone_share=0.5),
    "cuts, restarts and bursts come in series": Trouble(
        interval_ms=3_000, cut_share=0.5, restart_share=0.5, burst=2.0
    ),
    "retries wait up to 3 s before they reach a server": Trouble(
        interval_ms=4_000, restart_share=0.3, max_delay_ms=3_000
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Retries that reached servers within a window, and the limit on them."""

    ends_ms: int
    retry_count: int
    limit_count: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Node:
    budget: cluster_retry_budget.ClusterRetryBudget
    is_cut: bool = False
    is_gone: bool = False
    knows_members: bool = True


class RetryingNodes:
    """Nodes beside servers that refuse everything."""

    def __init__(self, *, count: int, limit: Limit, seed: int) -> None:
        self._limit = limit
        self._random = random.Random(seed)
        self._nodes = [
            _Node(budget=limit.make_budget(-limit.window_ms))
            for _ in range(count)
        ]
        self._pending: list[tuple[int, cluster_retry_budget.Retry]] = []
        self._requests_ms: list[int] = []
        self._arrivals_ms: list[int] = []
        self._ends_ms = 0

    def run(self, *, duration_ms: int, trouble: Trouble) -> None:
        """Runs the nodes.

        Args:
            duration_ms: Simulated time.
            trouble: What happens to them.
        """
        self._ends_ms = duration_ms
        for now_ms in range(0, duration_ms, STEP_MS):
            self._apply(trouble, now_ms)
            for node in self._nodes:
                if not node.is_gone:
                    self._send(node, trouble, now_ms)
            self._deliver(now_ms)

    def find_worst(self) -> Window:
        """Returns the window in which least of the limit was left."""
        windows = [
            self._make_window(ends_ms)
            for ends_ms in range(STEP_MS, self._ends_ms, STEP_MS)
        ]
        return min(
            windows, key=lambda item: item.limit_count - item.retry_count
        )

    def _apply(self, trouble: Trouble, now_ms: int) -> None:
        phase_ms = now_ms % trouble.interval_ms
        if now_ms == 20_000:
            for node in self._pick(trouble.gone_share):
                node.is_gone = True
        if phase_ms == 0:
            for node in self._pick(trouble.cut_share):
                node.is_cut = True
        if phase_ms == trouble.interval_ms // 4 // STEP_MS * STEP_MS:
            for node in self._pick(trouble.restart_share):
                node.budget = self._limit.make_budget(now_ms)
                node.knows_members = not node.is_cut
        if phase_ms == trouble.interval_ms // 2:
            for node in self._nodes:
                node.is_cut = False
                node.knows_members = True

    def _pick(self, share: float) -> list[_Node]:
        return self._random.sample(self._nodes, int(share * len(self._nodes)))

    def _send(self, node: _Node, trouble: Trouble, now_ms: int) -> None:
        is_burst = now_ms // trouble.interval_ms % 2 == 1
        rate = REQUESTS_PER_STEP * (trouble.burst if is_burst else 1.0)
        for _ in range(int(rate + self._random.random())):
            node.budget.record_request(SERVICE, now_ms)
            self._requests_ms.append(now_ms)
        while True:
            retry = node.budget.take_retry(
                SERVICE, now_ms, self._count_members(node)
            )
            if retry is None:
                return
            delay_ms = self._random.randint(0, trouble.max_delay_ms)
            self._pending.append((now_ms + delay_ms, retry))

    def _count_members(self, node: _Node) -> int | None:
        return len(self._nodes) if node.knows_members else None

    def _deliver(self, now_ms: int) -> None:
        waiting = []
        for arrives_ms, retry in self._pending:
            if arrives_ms > now_ms:
                waiting.append((arrives_ms, retry))
                continue
            self._arrivals_ms.append(arrives_ms)
            retry.ended_at_ms = now_ms
        self._pending = waiting

    def _make_window(self, ends_ms: int) -> Window:
        length_ms = self._limit.window_ms
        request_count = max(
            _count(self._requests_ms, ends_ms - shift_ms, length_ms)
            for shift_ms in (0, length_ms // 2, length_ms)
        )
        return Window(
            ends_ms=ends_ms,
            retry_count=_count(self._arrivals_ms, ends_ms, length_ms),
            limit_count=self._limit.ratio * request_count
            + self._limit.extra_count,
        )


def _count(moments_ms: list[int], ends_ms: int, length_ms: int) -> int:
    return sum(ends_ms - length_ms < at_ms <= ends_ms for at_ms in moments_ms)
