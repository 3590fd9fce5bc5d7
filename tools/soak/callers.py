"""Callers that reuse their connections and record the outcomes of requests."""

import contextlib
import dataclasses
import http
import http.client
import itertools
import random
import threading
import time

from tools.soak import cluster
from tools.standins import keyed

TIMEOUT_MS = 2_000
KEY_COUNT = 65_536
_PAUSE_S = 0.01
_TIMEOUT_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The outcome of one request; `status` is 0 if no answer came."""

    request_id: str
    node: str
    is_unsafe: bool
    path: str
    key: int
    status: int
    is_correct: bool
    sent_ms: float
    ended_ms: float


class Callers:
    """Threads that send requests to all nodes until they are stopped."""

    def __init__(
        self, *, nodes: list[cluster.Node], count: int, seed: int
    ) -> None:
        self._nodes = nodes
        self._seed = seed
        self._is_stopped = threading.Event()
        self._request_numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        self.outcomes: list[Outcome] = []

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads once their current requests have ended."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1_000 + number)
        with contextlib.ExitStack() as stack:
            connections: dict[str, http.client.HTTPConnection] = {}
            while not self._is_stopped.is_set():
                node = rng.choice(self._nodes)
                connection = connections.get(node.name)
                if connection is None:
                    connection = open_connection(node)
                    stack.callback(connection.close)
                    connections[node.name] = connection
                outcome = self.send(
                    node, connection, rng.randrange(KEY_COUNT), rng
                )
                self.outcomes.append(outcome)
                time.sleep(_PAUSE_S)

    def send(
        self,
        node: cluster.Node,
        connection: http.client.HTTPConnection,
        key: int,
        rng: random.Random,
    ) -> Outcome:
        """Sends one request, and checks the answer."""
        request_id = f"r{self._seed}-{next(self._request_numbers)}"
        is_unsafe = rng.random() < 0.5
        path = f"/{'write' if is_unsafe else 'read'}/{request_id}"
        sent_ms = keyed.read_clock_ms()
        status, is_correct = 0, True
        try:
            connection.request(
                "POST" if is_unsafe else "GET",
                path,
                b"x" * rng.randrange(2_000) if is_unsafe else None,
                {
                    "Host": cluster.HOST,
                    keyed.REQUEST_ID: request_id,
                    "X-Rhubarblead-Deadline-Ms": str(TIMEOUT_MS),
                    "X-Rhubarblead-Shard-Key": str(key),
                },
            )
            response = connection.getresponse()
            body = response.read()
            status = response.status
            is_correct = status != http.HTTPStatus.OK or (
                body == keyed.make_body(request_id)
                and bool(response.headers.get("X-Rhubarblead-Server-Seal"))
            )
        except (OSError, http.client.HTTPException):
            # No answer; the next request opens a new connection.
            connection.close()
        return Outcome(
            request_id=request_id,
            node=node.name,
            is_unsafe=is_unsafe,
            path=path,
            key=key,
            status=status,
            is_correct=is_correct,
            sent_ms=sent_ms,
            ended_ms=keyed.read_clock_ms(),
        )


def open_connection(node: cluster.Node) -> http.client.HTTPConnection:
    """Prepares a connection to the address on which a node serves callers."""
    return http.client.HTTPConnection(
        node.ip,
        node.ports["callers"],
        timeout=TIMEOUT_MS / 1_000 + _TIMEOUT_MARGIN_S,
    )
