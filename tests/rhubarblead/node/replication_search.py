"""A seeded random search for faults that make a request run twice."""

import collections
import random

import hypothesis
from hypothesis import strategies

from tests.rhubarblead import fixtures
from tests.rhubarblead.node import replication_cluster

_SHARD_COUNT = 2
_NODE_COUNT = 6
_GRANTER_COUNT = 3
_STEP_COUNT = 40
_KEY_COUNT = 4
_KEY_INTERVAL_MS = 3_000
_LINK_MASKS = (0, 0, 1, 2, 4, 3, 5, 6)


class Simulation:
    """A random sequence of requests and faults in a small cluster."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.cluster = replication_cluster.Cluster(shard_count=_SHARD_COUNT)
        self.joined_count = 0
        self.keys: list[collections.deque[str]] = [
            collections.deque(maxlen=_KEY_COUNT) for _ in range(_SHARD_COUNT)
        ]

    def run(self) -> None:
        """Starts the members, then takes random actions."""
        self._join_missing()
        for shard in range(_SHARD_COUNT):
            self.cluster.move(shard, f"m{_NODE_COUNT - 1}")
        actions = [self.send_and_fail_over] * 4 + [
            self.hand_over_and_back,
            self.inject_fault,
            self.clear_faults,
        ]
        actions += [self.catch_up, self.open, self.advance, self.evict]
        for _ in range(_STEP_COUNT):
            self.random.choice(actions)()

    def send_and_fail_over(self) -> None:
        """Sends a request, maybe between changes of granters or owners."""
        if self._flip_coin():
            self.clear_faults()
        shard = self._draw_shard()
        if self._flip_coin():
            self._change_granters(shard)
        is_slow = self._flip_coin()
        self._send(shard, is_slow=is_slow)
        if is_slow:
            self.cluster.send(self._find_key(shard, 1), shard)
            while self.cluster.delayed_messages:
                self.cluster.deliver_delayed(0)
        if self._flip_coin():
            self._change_granters(shard)
        if self._flip_coin():
            self._take_over(shard)

    def hand_over_and_back(self) -> None:
        """Hands a shard over and back, then may lose its owner."""
        shard = self._draw_shard()
        first = self.cluster.find_owner(shard)
        if first is None or not self._hand_over(shard, self._draw_node()):
            return
        self._send(shard, is_slow=False)
        first.is_lagging = self._flip_coin()
        if not self._hand_over(shard, first.name):
            return
        if self._flip_coin():
            self._send(shard, is_slow=False)
        if self._flip_coin():
            self._take_over(shard)

    def inject_fault(self) -> None:
        """Injects a link or node fault that lasts until `clear_faults`."""
        node = self.cluster.nodes[self._draw_node()]
        link = (node.name, self._draw_node())
        match self.random.randrange(4):
            case 0:
                self.cluster.cut_links.add(link)
            case 1:
                self.cluster.slow_links.add(link)
            case 2:
                node.is_lagging = True
            case _:
                node.is_deferring_jobs = True

    def clear_faults(self) -> None:
        """Ends all faults; all nodes catch up and run their pending jobs."""
        self.cluster.cut_links.clear()
        self.cluster.slow_links.clear()
        for node in self.cluster.nodes.values():
            node.is_lagging = False
            node.is_deferring_jobs = False
            self.cluster.catch_up(node)
            node.executor.run_all()
        for name in tuple(self.cluster.nodes):
            record = self.cluster.state.members[name]
            if not set(record.granters) <= self.cluster.nodes.keys():
                others = [n for n in self.cluster.nodes if n != name]
                self.cluster.change_granters(
                    name, tuple(others[:_GRANTER_COUNT])
                )

    def catch_up(self) -> None:
        """Brings a node up to date by entries or by a snapshot."""
        node = self.cluster.nodes[self._draw_node()]
        node.is_lagging = False
        self.cluster.catch_up(node, is_snapshot=self._flip_coin())

    def open(self) -> None:
        """Opens an attempt, which stops before it reaches the ledger."""
        shard = self._draw_shard()
        node = self.cluster.find_owner(shard)
        if node:
            self.cluster.open(self._find_key(shard), node, shard)

    def advance(self) -> None:
        """Advances an open attempt by one step, or loses its outcome."""
        if not self.cluster.attempts:
            return
        attempt = self.random.choice(self.cluster.attempts)
        if not attempt.is_begun:
            self.cluster.begin(attempt)
        elif self.cluster.run(attempt):
            if self._flip_coin():
                self.cluster.finish(attempt)
            else:
                self.cluster.attempts.remove(attempt)

    def evict(self) -> None:
        """Evicts a node, whose requests may be in progress."""
        self._evict_nodes({self._draw_node()}, None)

    def _send(self, shard: int, *, is_slow: bool) -> None:
        node = self.cluster.find_owner(shard)
        if node is None:
            return
        faults = self.cluster.slow_links if is_slow else self.cluster.cut_links
        links = self._draw_links(node.name, node.name)
        faults |= links
        self.cluster.send(self._find_key(shard), shard)
        faults -= links

    def _change_granters(self, shard: int) -> None:
        node = self.cluster.find_owner(shard)
        if node is None:
            return
        opened = None
        if self._flip_coin():
            opened = self.cluster.open(self._find_key(shard), node, shard)
        others = [n for n in self.cluster.nodes if n != node.name]
        chosen = tuple(self.random.sample(others[:5], _GRANTER_COUNT))
        mask = self.random.choice(_LINK_MASKS)
        links = {
            (node.name, other)
            for place, other in enumerate(chosen)
            if mask >> place & 1
        }
        self.cluster.cut_links |= links
        self.cluster.change_granters(node.name, chosen)
        self.cluster.cut_links -= links
        is_begun = opened is not None and self.cluster.begin(opened) is None
        if opened and is_begun and self.cluster.run(opened):
            self.cluster.finish(opened)

    def _take_over(self, shard: int) -> None:
        owner = self.cluster.find_owner(shard)
        if owner is None:
            return
        lost = {granter for _, granter in self._draw_links(owner.name, "")}
        self._evict_nodes({owner.name, *lost}, owner.name)
        for key in tuple(self.keys[shard]):
            self.cluster.send(key, shard)

    def _evict_nodes(self, names: set[str], owner: str | None) -> None:
        names &= self.cluster.nodes.keys()
        successors = [n for n in self.cluster.nodes if n not in names]
        successor = self.random.choice(successors)
        links = self._draw_links(owner, successor) if owner else set()
        self.cluster.cut_links |= links
        for name in names:
            self.cluster.lose(name)
        owners = self.cluster.state.assignments[fixtures.POOL].owners
        moves = {
            shard: successor
            for shard, name in enumerate(owners)
            if name in names
        }
        self.cluster.evict(sorted(names), moves)
        self.cluster.cut_links -= links
        self._join_missing()

    def _hand_over(self, shard: int, owner: str) -> bool:
        node = self.cluster.find_owner(shard)
        if not node or node.name == owner or node.state != self.cluster.state:
            return False
        if any(
            s.node is node and s.work.forward.shard == shard
            for s in self.cluster.attempts
        ):
            return False
        node.closed_shards.add(shard)
        self.cluster.move(shard, owner)
        return True

    def _join_missing(self) -> None:
        while len(self.cluster.nodes) < _NODE_COUNT:
            granters = tuple(self.cluster.nodes)[-_GRANTER_COUNT:]
            self.cluster.join(f"m{self.joined_count}", granters)
            self.joined_count += 1

    def _find_key(self, shard: int, number: int | None = None) -> str:
        """Returns a key used before, or makes a new one."""
        keys = self.keys[shard]
        if number is None:
            number = self.random.choice((0, 0, 0, 1, 2))
        if number and keys:
            return keys[-number % len(keys)]
        # A new key must be issued after every key lost so far.
        self.cluster.wall_ms += _KEY_INTERVAL_MS
        keys.append(f"{shard}.{self.cluster.wall_ms}")
        return keys[-1]

    def _draw_links(self, owner: str, reader: str) -> set[tuple[str, str]]:
        mask = self.random.choice(_LINK_MASKS)
        return {
            (reader, granter)
            for place, granter in enumerate(
                self.cluster.state.members[owner].granters
            )
            if mask >> place & 1
        }

    def _draw_shard(self) -> int:
        return self.random.randrange(_SHARD_COUNT)

    def _draw_node(self) -> str:
        return self.random.choice(list(self.cluster.nodes))

    def _flip_coin(self) -> bool:
        return self.random.random() < 0.5


def search(example_count: int) -> replication_cluster.RanTwice | None:
    """Searches for a sequence that makes a request run twice.

    Args:
        example_count: How many sequences of faults to try at most.

    Returns:
        The violation found; None if there was none.
    """

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=example_count,
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def try_seed(seed: int) -> None:
        run = Simulation(seed)
        with run.cluster.patch_clock():
            run.run()

    try:
        try_seed()
    except replication_cluster.RanTwice as error:
        return error
    return None
