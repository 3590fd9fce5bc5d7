"""Callers that reuse their connections and record the outcomes of requests."""

import contextlib
import dataclasses
import http
import http.client
import itertools
import random
import threading
import time
from typing import Any

from tools.soak import cluster
from tools.standins import keyed

TIMEOUT_MS = 2_000
KEY_COUNT = 65_536
_PAUSE_S = 0.01
_TIMEOUT_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The outcome of one request; `status` is 0 if no answer came.

    `server`, `limit` and `is_leaving` are what the answer states; they are
    empty and False without a server's answer.
    """

    request_id: str
    node: str
    is_unsafe: bool
    path: str
    key: int
    status: int
    is_correct: bool
    sent_ms: float
    ended_ms: float
    server: str = ""
    limit: str = ""
    is_leaving: bool = False


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
        is_unsafe = rng.random() < 0.5
        request_id = self._make_id()
        return self._exchange(
            node,
            connection,
            request_id,
            path=f"/{'write' if is_unsafe else 'read'}/{request_id}",
            key=key,
            body=b"x" * rng.randrange(2_000) if is_unsafe else None,
        )

    def send_read(
        self,
        node: cluster.Node,
        connection: http.client.HTTPConnection,
        key: int,
        *,
        path: str,
        id_prefix: str,
    ) -> Outcome:
        """Sends a request without a body, and checks the answer."""
        return self._exchange(
            node, connection, id_prefix + self._make_id(), path=path, key=key
        )

    def _make_id(self) -> str:
        return f"r{self._seed}-{next(self._request_numbers)}"

    def _exchange(
        self,
        node: cluster.Node,
        connection: http.client.HTTPConnection,
        request_id: str,
        *,
        path: str,
        key: int,
        body: bytes | None = None,
    ) -> Outcome:
        sent_ms = keyed.read_clock_ms()
        status, is_correct = 0, True
        stated: dict[str, Any] = {}
        try:
            connection.request(
                "GET" if body is None else "POST",
                path,
                body,
                {
                    "Host": cluster.HOST,
                    keyed.REQUEST_ID: request_id,
                    "X-Rhubarblead-Deadline-Ms": str(TIMEOUT_MS),
                    "X-Rhubarblead-Shard-Key": str(key),
                },
            )
            response = connection.getresponse()
            content = response.read()
            status = response.status
            is_correct = status != http.HTTPStatus.OK or (
                content == keyed.make_body(request_id)
                and bool(response.headers.get("X-Rhubarblead-Server-Seal"))
            )
            stated = {
                "server": response.headers.get("X-Rhubarblead-Instance-Id", ""),
                "limit": response.headers.get(keyed.LIMIT, ""),
                "is_leaving": keyed.LEAVING in response.headers,
            }
        except (OSError, http.client.HTTPException):
            # No answer; the next request opens a new connection.
            connection.close()
        return Outcome(
            request_id=request_id,
            node=node.name,
            is_unsafe=body is not None,
            path=path,
            key=key,
            status=status,
            is_correct=is_correct,
            sent_ms=sent_ms,
            ended_ms=keyed.read_clock_ms(),
            **stated,
        )


def open_connection(node: cluster.Node) -> http.client.HTTPConnection:
    """Prepares a connection to the address on which a node serves callers."""
    return http.client.HTTPConnection(
        node.ip,
        node.ports["callers"],
        timeout=TIMEOUT_MS / 1_000 + _TIMEOUT_MARGIN_S,
    )
