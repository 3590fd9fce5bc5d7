"""A caller whose request crashes each server that runs it, again and again."""

import contextlib
import random
import threading
import time

from tools.soak import callers
from tools.soak import cluster
from tools.standins import keyed

INTERVALS_S = (0.3, 0.8, 1.5)
RESTART_DELAY_S = 1.0
"""Time from the crash of a server until the platform restarts it."""

_PATH = f"/read/{keyed.POISON_PATH_PART}"


class PoisonCaller:
    """Sends a crashing request, and equal harmless ones, until it is stopped.

    The requests differ in their id and query only; their key stays the same.
    """

    def __init__(
        self, *, running: cluster.Cluster, traffic: callers.Callers, seed: int
    ) -> None:
        self._nodes = running.nodes
        self._traffic = traffic
        self._rng = random.Random(seed)
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._crashed: dict[str, float] = {}

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread, and starts the servers that have crashed."""
        self._is_stopped.set()
        self._thread.join()
        for node in self._nodes:
            if node.server.has_exited_unexpectedly():
                node.start_ended_server()

    def _run(self) -> None:
        number = 0
        key = self._rng.randrange(callers.KEY_COUNT)
        while not self._is_stopped.wait(self._rng.choice(INTERVALS_S)):
            self._restart_servers()
            number += 1
            for prefix in (keyed.POISON_ID_PREFIX, ""):
                node = self._rng.choice(self._nodes)
                with contextlib.closing(
                    callers.open_connection(node)
                ) as connection:
                    outcome = self._traffic.send_read(
                        node,
                        connection,
                        key,
                        path=f"{_PATH}?page={number}",
                        id_prefix=prefix,
                    )
                self._traffic.outcomes.append(outcome)

    def _restart_servers(self) -> None:
        """Restarts the servers that crashed some time ago."""
        now_s = time.monotonic()
        for node in self._nodes:
            if not node.server.has_exited_unexpectedly():
                continue
            crashed_s = self._crashed.setdefault(node.server.name, now_s)
            if now_s - crashed_s >= RESTART_DELAY_S:
                node.start_ended_server()
