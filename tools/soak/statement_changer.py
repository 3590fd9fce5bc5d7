"""Lets servers state limits on their requests, and that they leave."""

import http.client
import json
import threading
import time

from tools.soak import background
from tools.soak import cluster
from tools.standins import keyed

INTERVALS_S = (0.3, 1.0, 2.0)
DURATIONS_S = (2.0, 4.0, 7.0)
LIMITS = ("0", "0.3", "2", "10.6", "40")
LEAVING_SHARE = 0.2
"""Share of the changes by which a server leaves."""

LEAVING_S = 4.0
"""Time from the statement of a server that it leaves until its end."""

_TIMEOUT_S = 2.0
_RESTART_DELAY_S = 0.5


class StatementChanger(background.Disturber):
    """A thread that changes what the servers state in their responses.

    A server that leaves goes on to send heartbeats in which it is ready, as one
    whose heartbeats are delayed.
    """

    def __init__(self, *, running: cluster.Cluster, seed: int) -> None:
        super().__init__(running=running, seed=seed)
        self._timers: list[threading.Timer] = []
        self.ended_ms: dict[str, float] = {}

    def stop(self) -> None:
        """Ends all statements; servers that leave are replaced."""
        super().stop()
        for timer in self._timers:
            timer.join()

    def _run(self) -> None:
        while not self._is_stopped.wait(self._rng.choice(INTERVALS_S)):
            node = self._rng.choice(self._cluster.nodes)
            limit = self._rng.choice(LIMITS)
            duration_s = self._rng.choice(DURATIONS_S)
            if self._rng.random() < LEAVING_SHARE:
                self._state(node, {"limit": None, "is_leaving": True})
                self._schedule(LEAVING_S, node, node.server.name)
            else:
                self._state(node, {"limit": limit, "is_leaving": False})
                self._schedule(duration_s, node, "")

    def _schedule(
        self, delay_s: float, node: cluster.Node, leaving: str
    ) -> None:
        """Ends a statement later, with the server if it is named."""
        timer = threading.Timer(delay_s, self._end, (node, leaving))
        self._timers.append(timer)
        timer.start()

    def _end(self, node: cluster.Node, leaving: str) -> None:
        if not leaving:
            self._state(node, {"limit": None, "is_leaving": False})
        elif node.server.name == leaving:
            node.server.kill()
            self.ended_ms.setdefault(leaving, keyed.read_clock_ms())
            time.sleep(_RESTART_DELAY_S)
            node.start_ended_server()

    def _state(self, node: cluster.Node, statement: dict[str, object]) -> None:
        connection = http.client.HTTPConnection(
            node.ip, node.ports["server"], timeout=_TIMEOUT_S
        )
        try:
            connection.request(
                "PUT", keyed.STATEMENT_PATH, json.dumps(statement)
            )
            connection.getresponse().read()
            self.count += 1
        except (OSError, http.client.HTTPException):
            # The server is down or frozen; it states what it did before.
            return
        finally:
            connection.close()
