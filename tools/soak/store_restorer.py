"""Lets the store come back from copies that are some seconds old."""

from tools.soak import background

COPY_INTERVALS_S = (1.0, 2.5, 4.0)
COPY_AGES_S = (0.3, 1.5, 4.0)
AWAY_S = (0.1, 0.4, 1.0)
_STORE_DOWN = '{"mode": "down"}'
_STORE_UP = '{"mode": "up"}'


class StoreRestorer(background.Disturber):
    """A thread that takes copies of the store, and puts them in its place."""

    def _run(self) -> None:
        while not self._is_stopped.wait(self._rng.choice(COPY_INTERVALS_S)):
            self._cluster.call_store("POST", "/-/copy")
            self._is_stopped.wait(self._rng.choice(COPY_AGES_S))
            self._cluster.call_store("PUT", "/-/mode", _STORE_DOWN)
            self._is_stopped.wait(self._rng.choice(AWAY_S))
            self._cluster.call_store("POST", "/-/restore")
            self._cluster.call_store("PUT", "/-/mode", _STORE_UP)
            self.count += 1
