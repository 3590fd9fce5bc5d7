"""Where a pool's keys are served, as far as a caller has learnt."""

import random

from rhubarblead import ownership
from rhubarblead import status

_NOBODY = -1


class KeyRoutes:
    """Chooses the node for a key. It is not safe for use by several threads.

    What answers say of owners holds until a map with another revision comes.
    """

    __slots__ = ("_avoided", "_chance", "_learnt", "_map", "_nodes")

    def __init__(
        self, *, nodes: tuple[str, ...], chance: random.Random
    ) -> None:
        """Knows no owner yet.

        Args:
            nodes: Nodes to begin with, as `ip:port`.
            chance: Chooses among nodes when the owner isn't known.
        """
        self._nodes = nodes
        self._chance = chance
        self._map: status.ShardMap | None = None
        self._learnt: dict[int, str] = {}
        self._avoided: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """The revision of the map; 0 when there is none."""
        return self._map.revision if self._map else 0

    def replace_map(self, newer: status.ShardMap) -> None:
        """Takes a map, unless it is older than the one at hand."""
        if self._map and newer.revision < self._map.revision:
            return
        if newer.revision != self.revision:
            self._learnt.clear()
        self._map = newer

    def learn_owner(self, key: str, authority: str) -> None:
        """Notes what an answer said of a key's owner."""
        if self._map:
            self._learnt[_find_shard(self._map, key)] = authority

    def avoid(self, authority: str, until_ms: int) -> None:
        """Sends requests elsewhere for a time, as a node doesn't answer."""
        self._avoided[authority] = until_ms

    def find_owner(self, key: str) -> str | None:
        """Finds the owner's node as far as known, as `ip:port`."""
        if self._map is None:
            return None
        shard = _find_shard(self._map, key)
        if shard in self._learnt:
            return self._learnt[shard]
        index = self._map.owners[shard]
        return None if index == _NOBODY else self._map.nodes[index]

    def choose(self, key: str, now_ms: int) -> str:
        """Chooses the node to send to: the owner's, or else any.

        Args:
            key: The key of the request.
            now_ms: The monotonic clock.

        Returns:
            A node as `ip:port`. Any node passes a request on to the owner.
        """
        owner = self.find_owner(key)
        if owner is not None and not self._is_avoided(owner, now_ms):
            return owner
        return self.choose_any(now_ms)

    def choose_any(self, now_ms: int) -> str:
        """Chooses any node that is not avoided, if there is one."""
        known = self._map.nodes if self._map and self._map.nodes else ()
        every = list(dict.fromkeys([*known, *self._nodes]))
        usable = [node for node in every if not self._is_avoided(node, now_ms)]
        return self._chance.choice(usable or every)

    def _is_avoided(self, authority: str, now_ms: int) -> bool:
        return now_ms < self._avoided.get(authority, 0)


def _find_shard(pool: status.ShardMap, key: str) -> int:
    split = pool.splits.get(key)
    if split is not None:
        return split
    return ownership.hash_key(key) & (pool.shard_count - 1)
