"""Lets the store come back from copies that are some seconds old."""

import random
import threading

from tools.soak import cluster

COPY_INTERVALS_S = (1.0, 2.5, 4.0)
COPY_AGES_S = (0.3, 1.5, 4.0)
AWAY_S = (0.1, 0.4, 1.0)
_STORE_DOWN = '{"mode": "down"}'
_STORE_UP = '{"mode": "up"}'


class StoreRestorer:
    """A thread that takes copies of the store, and puts them in its place."""

    def __init__(self, *, running: cluster.Cluster, seed: int) -> None:
        self._cluster = running
        self._rng = random.Random(seed)
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.count = 0

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the restore in progress."""
        self._is_stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_stopped.wait(self._rng.choice(COPY_INTERVALS_S)):
            self._cluster.call_store("POST", "/-/copy")
            self._is_stopped.wait(self._rng.choice(COPY_AGES_S))
            self._cluster.call_store("PUT", "/-/mode", _STORE_DOWN)
            self._is_stopped.wait(self._rng.choice(AWAY_S))
            self._cluster.call_store("POST", "/-/restore")
            self._cluster.call_store("PUT", "/-/mode", _STORE_UP)
            self.count += 1
