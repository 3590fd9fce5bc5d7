"""A seeded random search for requests that run twice."""

import collections
import random

import hypothesis
from hypothesis import strategies

from tests.rhubarblead import fixtures
from tests.rhubarblead.node import copy_world

_SHARD_COUNT = 2
_NODES = 6
_GRANTERS = 3
_STEPS = 40
_KEYS = 4
_APART_MS = 3_000
_MASKS = (0, 0, 1, 2, 4, 3, 5, 6)


class Run:
    """A random sequence of faults around the ledgers of a few members."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = copy_world.World(shard_count=_SHARD_COUNT)
        self.joined_count = 0
        self.keys: list[collections.deque[str]] = [
            collections.deque(maxlen=_KEYS) for _ in range(_SHARD_COUNT)
        ]

    def go(self) -> None:
        """Starts some members, then does random things."""
        self._join_missing()
        for shard in range(_SHARD_COUNT):
            self.world.move(shard, f"m{_NODES - 1}")
        actions = [self.act] * 4 + [self.give, self.disturb, self.heal]
        actions += [self.hear, self.open, self.advance, self.evict]
        for _ in range(_STEPS):
            self.random.choice(actions)()

    def act(self) -> None:
        """Sends between changes of granters, then loses the owner."""
        if self._is_chosen():
            self.heal()
        shard = self._draw_shard()
        if self._is_chosen():
            self._change_granters(shard)
        is_slow = self._is_chosen()
        self._send(shard, is_slow=is_slow)
        if is_slow:
            self.world.send(self._find_key(shard, 1), shard)
            while self.world.late:
                self.world.deliver_late(0)
        if self._is_chosen():
            self._change_granters(shard)
        if self._is_chosen():
            self._take_over(shard)

    def give(self) -> None:
        """Lets an owner hand a shard over, get it back, and then be lost."""
        shard = self._draw_shard()
        first = self.world.find_owner(shard)
        if first is None or not self._give(shard, self._pick()):
            return
        self._send(shard, is_slow=False)
        first.is_holding = self._is_chosen()
        if not self._give(shard, first.name):
            return
        if self._is_chosen():
            self._send(shard, is_slow=False)
        if self._is_chosen():
            self._take_over(shard)

    def disturb(self) -> None:
        """Keeps a node from sending, hearing or working until `heal`."""
        node = self.world.nodes[self._pick()]
        link = (node.name, self._pick())
        match self.random.randrange(4):
            case 0:
                self.world.cut.add(link)
            case 1:
                self.world.slow.add(link)
            case 2:
                node.is_holding = True
            case _:
                node.is_deferring = True

    def heal(self) -> None:
        """Ends all cuts, and lets all nodes do what they are to do."""
        self.world.cut.clear()
        self.world.slow.clear()
        for node in self.world.nodes.values():
            node.is_holding = False
            node.is_deferring = False
            self.world.tell(node)
            node.executor.run_all()
        for name in tuple(self.world.nodes):
            record = self.world.state.members[name]
            if not set(record.granters) <= self.world.nodes.keys():
                others = [n for n in self.world.nodes if n != name]
                self.world.change_granters(name, tuple(others[:_GRANTERS]))

    def hear(self) -> None:
        """Lets a node hear all news, one way or the other."""
        node = self.world.nodes[self._pick()]
        node.is_holding = False
        self.world.tell(node, is_snapshot=self._is_chosen())

    def open(self) -> None:
        """Begins a send, which stops before the ledger."""
        shard = self._draw_shard()
        node = self.world.find_owner(shard)
        if node:
            self.world.open(self._find_key(shard), node, shard)

    def advance(self) -> None:
        """Brings a stopped send to its end, or loses its outcome."""
        if not self.world.sendings:
            return
        sending = self.random.choice(self.world.sendings)
        if not sending.is_begun:
            self.world.begin(sending)
        elif self.world.run(sending):
            if self._is_chosen():
                self.world.finish(sending)
            else:
                self.world.sendings.remove(sending)

    def evict(self) -> None:
        """Evicts a node in the middle of its requests."""
        self._lose({self._pick()}, None)

    def _send(self, shard: int, *, is_slow: bool) -> None:
        node = self.world.find_owner(shard)
        if node is None:
            return
        faults = self.world.slow if is_slow else self.world.cut
        links = self._draw_links(node.name, node.name)
        faults |= links
        self.world.send(self._find_key(shard), shard)
        faults -= links

    def _change_granters(self, shard: int) -> None:
        node = self.world.find_owner(shard)
        if node is None:
            return
        opened = None
        if self._is_chosen():
            opened = self.world.open(self._find_key(shard), node, shard)
        others = [n for n in self.world.nodes if n != node.name]
        chosen = tuple(self.random.sample(others[:5], _GRANTERS))
        mask = self.random.choice(_MASKS)
        links = {
            (node.name, other)
            for place, other in enumerate(chosen)
            if mask >> place & 1
        }
        self.world.cut |= links
        self.world.change_granters(node.name, chosen)
        self.world.cut -= links
        is_begun = opened is not None and self.world.begin(opened) is None
        if opened and is_begun and self.world.run(opened):
            self.world.finish(opened)

    def _take_over(self, shard: int) -> None:
        owner = self.world.find_owner(shard)
        if owner is None:
            return
        lost = {granter for _, granter in self._draw_links(owner.name, "")}
        self._lose({owner.name, *lost}, owner.name)
        for key in tuple(self.keys[shard]):
            self.world.send(key, shard)

    def _lose(self, names: set[str], owner: str | None) -> None:
        names &= self.world.nodes.keys()
        heirs = [n for n in self.world.nodes if n not in names]
        heir = self.random.choice(heirs)
        links = self._draw_links(owner, heir) if owner else set()
        self.world.cut |= links
        for name in names:
            self.world.lose(name)
        owners = self.world.state.assignments[fixtures.POOL].owners
        moves = {
            shard: heir for shard, name in enumerate(owners) if name in names
        }
        self.world.evict(sorted(names), moves)
        self.world.cut -= links
        self._join_missing()

    def _give(self, shard: int, owner: str) -> bool:
        node = self.world.find_owner(shard)
        if not node or node.name == owner or node.state != self.world.state:
            return False
        if any(
            s.node is node and s.work.forward.shard == shard
            for s in self.world.sendings
        ):
            return False
        node.closed.add(shard)
        self.world.move(shard, owner)
        return True

    def _join_missing(self) -> None:
        while len(self.world.nodes) < _NODES:
            granters = tuple(self.world.nodes)[-_GRANTERS:]
            self.world.join(f"m{self.joined_count}", granters)
            self.joined_count += 1

    def _find_key(self, shard: int, number: int | None = None) -> str:
        """Finds a key used before, or makes one."""
        keys = self.keys[shard]
        if number is None:
            number = self.random.choice((0, 0, 0, 1, 2))
        if number and keys:
            return keys[-number % len(keys)]
        # Later than all that was lost so far.
        self.world.wall_ms += _APART_MS
        keys.append(f"{shard}.{self.world.wall_ms}")
        return keys[-1]

    def _draw_links(self, owner: str, reader: str) -> set[tuple[str, str]]:
        mask = self.random.choice(_MASKS)
        return {
            (reader, granter)
            for place, granter in enumerate(
                self.world.state.members[owner].granters
            )
            if mask >> place & 1
        }

    def _draw_shard(self) -> int:
        return self.random.randrange(_SHARD_COUNT)

    def _pick(self) -> str:
        return self.random.choice(list(self.world.nodes))

    def _is_chosen(self) -> bool:
        return self.random.random() < 0.5


def search(example_count: int) -> copy_world.RanTwice | None:
    """Searches for a request that runs twice.

    Args:
        example_count: How many sequences of faults to try at most.

    Returns:
        What was found; nothing when each sequence was safe.
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
        run = Run(seed)
        with run.world.patch_clock():
            run.go()

    try:
        try_seed()
    except copy_world.RanTwice as error:
        return error
    return None
