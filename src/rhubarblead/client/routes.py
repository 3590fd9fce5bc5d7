"""The client's view of which nodes own the keys of a pool."""

import random

from rhubarblead import ownership
from rhubarblead import status

_NO_OWNER = -1


class KeyRoutes:
    """Selects the node for a key. It is not thread-safe.

    Owners learned from responses take precedence over the shard map until a
    map with another revision replaces it.
    """

    __slots__ = (
        "_avoided_until_ms",
        "_random",
        "_learned_owners",
        "_map",
        "_nodes",
    )

    def __init__(
        self, *, nodes: tuple[str, ...], random_source: random.Random
    ) -> None:
        """Starts without a shard map.

        Args:
            nodes: Seed nodes, as `ip:port`.
            random_source: Selects a node when the owner is unknown.
        """
        self._nodes = nodes
        self._random = random_source
        self._map: status.ShardMap | None = None
        self._learned_owners: dict[int, str] = {}
        self._avoided_until_ms: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """The revision of the shard map; 0 if there is none."""
        return self._map.revision if self._map else 0

    def replace_map(self, new_map: status.ShardMap) -> None:
        """Replaces the shard map, unless the new one is older."""
        if self._map and new_map.revision < self._map.revision:
            return
        if new_map.revision != self.revision:
            self._learned_owners.clear()
        self._map = new_map

    def record_owner(self, key: str, authority: str) -> None:
        """Records the owner of a key's shard that a response named."""
        if self._map:
            self._learned_owners[_find_shard(self._map, key)] = authority

    def avoid(self, authority: str, until_ms: int) -> None:
        """Excludes an unresponsive node until a point in time."""
        self._avoided_until_ms[authority] = until_ms

    def find_owner(self, key: str) -> str | None:
        """Returns the owner's node as `ip:port`, or None if it is unknown."""
        if self._map is None:
            return None
        shard = _find_shard(self._map, key)
        if shard in self._learned_owners:
            return self._learned_owners[shard]
        index = self._map.owners[shard]
        return None if index == _NO_OWNER else self._map.nodes[index]

    def choose(self, key: str, now_ms: int) -> str:
        """Selects the node for a request: the owner's, otherwise any.

        Args:
            key: The key of the request.
            now_ms: The current monotonic time.

        Returns:
            A node as `ip:port`. Any node forwards a request to the owner.
        """
        owner = self.find_owner(key)
        if owner is not None and not self._is_avoided(owner, now_ms):
            return owner
        return self.choose_any(now_ms)

    def choose_any(self, now_ms: int) -> str:
        """Selects a random node, preferring those that are not excluded."""
        known = self._map.nodes if self._map and self._map.nodes else ()
        all_nodes = list(dict.fromkeys([*known, *self._nodes]))
        usable = [
            node for node in all_nodes if not self._is_avoided(node, now_ms)
        ]
        return self._random.choice(usable or all_nodes)

    def _is_avoided(self, authority: str, now_ms: int) -> bool:
        return now_ms < self._avoided_until_ms.get(authority, 0)


def _find_shard(shard_map: status.ShardMap, key: str) -> int:
    split = shard_map.splits.get(key)
    if split is not None:
        return split
    return ownership.hash_key(key) & (shard_map.shard_count - 1)
