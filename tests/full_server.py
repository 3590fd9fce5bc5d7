"""A server that doesn't answer requests beyond its slots."""

import asyncio

_RUN_S = 0.02


class FullServer:
    """Runs one request at a time; the way of refusing others is given.

    `way` is "hang" (never answers, nor any later request on the connection),
    "reset" (resets the connection) or "refuse" (503, not executed).
    """

    def __init__(self, *, way: str) -> None:
        self._way = way
        self._server: asyncio.Server | None = None
        self._is_busy = False
        self.port = 0
        self.run_ids: list[str] = []
        self.requests_by_connection: list[int] = []
        self.served_by_connection: list[int] = []

    async def listen(self) -> None:
        """Starts to listen on an unused port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def occupy(self) -> None:
        """Takes the slot, as a request of somebody else would."""
        self._is_busy = True

    def free(self) -> None:
        """Frees the slot."""
        self._is_busy = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        index = len(self.requests_by_connection)
        self.requests_by_connection.append(0)
        self.served_by_connection.append(0)
        is_hanging = False
        while head := await _read_head(reader):
            self.requests_by_connection[index] += 1
            if is_hanging:
                continue
            if self._is_busy:
                if self._way == "reset":
                    writer.transport.abort()
                    return
                is_hanging = self._way == "hang"
                if not is_hanging:
                    writer.write(_make_response(head, 503, is_run=False))
                    self.served_by_connection[index] += 1
                continue
            self._is_busy = True
            self.run_ids.append(_find_id(head))
            await asyncio.sleep(_RUN_S)
            self._is_busy = False
            writer.write(_make_response(head, 200, is_run=True))
            self.served_by_connection[index] += 1
        writer.close()


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


def _find_id(head: bytes) -> str:
    fields = dict(
        line.split(b": ", 1)
        for line in head.lower().split(b"\r\n")
        if b": " in line
    )
    return fields[b"x-rhubarblead-request-id"].decode()


def _make_response(head: bytes, status: int, *, is_run: bool) -> bytes:
    mark = "Server-Seal: s" if is_run else "Not-Executed: 1"
    return (
        f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n"
        f"X-Rhubarblead-Request-Id: {_find_id(head)}\r\n"
        f"X-Rhubarblead-{mark}\r\n\r\n"
    ).encode()
