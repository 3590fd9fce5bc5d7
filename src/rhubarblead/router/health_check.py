"""Asks the local server for its health."""

import asyncio
import http

from rhubarblead.platform import headers
from rhubarblead.router import http_client

TIMEOUT_S = 0.5
"""A server answers a probe at once, also when its slots are in use."""


class HealthCheck:
    """Sends probes to the local server.

    `path` is that of its health, empty while the configuration names none.
    """

    __slots__ = ("_loop", "_pool", "path")

    def __init__(self, *, pool: http_client.Pool) -> None:
        """Creates a check without a path.

        Args:
            pool: The connections to the server.
        """
        self._loop = asyncio.get_running_loop()
        self._pool = pool
        self.path = ""

    async def is_healthy(self, server_id: str) -> bool:
        """Returns whether a server says that it is healthy, and not leaving.

        Args:
            server_id: The server; another one proves nothing of it.
        """
        if not self.path:
            return False
        response = await self.send(server_id)
        return (
            response is not None
            and response.status == http.HTTPStatus.OK
            and headers.read_health(response.fields).server_id == server_id
            and not headers.read_response(response.fields).is_leaving
        )

    async def send(self, server_id: str) -> http_client.Response | None:
        """Sends a probe.

        Args:
            server_id: The server that is expected to answer.

        Returns:
            The response, None if there was none in time.
        """
        connection = self._pool.acquire() or await self._pool.open()
        if connection is None:
            return None
        answer: asyncio.Future[http_client.Result] = self._loop.create_future()

        def match(fields: list[tuple[bytes, bytes]]) -> http_client.Match:
            if headers.read_health(fields).server_id == server_id:
                return http_client.Match.EXPECTED
            return http_client.Match.FOREIGN

        def handle(result: http_client.Result) -> None:
            if not answer.done():
                answer.set_result(result)

        connection.send(headers.encode_probe(self.path), b"GET", match, handle)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                result = await answer
        except TimeoutError:
            connection.cancel()
            return None
        return result if isinstance(result, http_client.Response) else None
