"""A thread that disturbs a running cluster until it is stopped."""

import abc
import random
import threading

from tools.soak import cluster


class Disturber(abc.ABC):
    """Disturbs a cluster by a random schedule; `count` counts how often."""

    def __init__(self, *, running: cluster.Cluster, seed: int) -> None:
        """Creates a thread that isn't started yet.

        Args:
            running: The cluster.
            seed: Seed of the schedule.
        """
        self._cluster = running
        self._rng = random.Random(seed)
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.count = 0

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after what is in progress."""
        self._is_stopped.set()
        self._thread.join()

    @abc.abstractmethod
    def _run(self) -> None:
        """Disturbs the cluster until `_is_stopped` is set."""
