"""A server for tests that states things about itself in its responses."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import re

_REQUEST_ID = re.compile(rb"(?i)\r\nx-rhubarblead-request-id: *([^\r]+)")
_CHUNK = 65_536

State = Callable[[int], bytes]
"""Returns the header fields of the response to the request with a number."""


class StatingServer:
    """Answers each request after a run, with the fields that `state` returns.

    `request_ids` are those of the requests in their order; `arrived_at_s` and
    `answered_at_s` are times of the event loop.
    """

    def __init__(self, *, state: State, run_s: float = 0.2) -> None:
        self._state = state
        self._run_s = run_s
        self.request_ids: list[bytes] = []
        self.arrived_at_s: list[float] = []
        self.answered_at_s: list[float] = []

    @contextlib.asynccontextmanager
    async def listen(self, ip: str) -> AsyncIterator[int]:
        """Serves while the context is open; its value is the port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, OSError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = _REQUEST_ID.search(head)
                assert found is not None
                self.arrived_at_s.append(loop.time())
                self.request_ids.append(found[1])
                number = len(self.arrived_at_s)
                await asyncio.sleep(self._run_s)
                writer.write(make_response(found[1], self._state(number)))
                self.answered_at_s.append(loop.time())
        writer.close()


def make_response(
    request_id: bytes, fields: bytes = b"", *, seal: bytes = b"s"
) -> bytes:
    """Makes a complete response with a seal, unless that is empty."""
    seal_field = b"x-rhubarblead-server-seal: %b\r\n" % seal if seal else b""
    return (
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        b"x-rhubarblead-request-id: %b\r\n%b%b\r\nok"
        % (request_id, seal_field, fields)
    )


async def send_endlessly(kind: str, writer: asyncio.StreamWriter) -> None:
    """Sends bytes of a kind until the peer closes the connection."""
    start, repeated = _ENDLESS[kind]
    writer.write(start)
    block = repeated * max(1, _CHUNK // len(repeated))
    with contextlib.suppress(asyncio.CancelledError, OSError):
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(0)


_START = b"HTTP/1.1 200 OK\r\n"
_ENDLESS = {
    "header fields": (_START, b"a: b\r\n"),
    "a field value": (_START + b"a: ", b"b"),
    "a reason phrase": (b"HTTP/1.1 200 ", b"b"),
    "trailer fields": (
        _START + b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        b"a: b\r\n",
    ),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "foreign responses": (b"", make_response(b"other")),
    "a body": (_START + b"transfer-encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
}
