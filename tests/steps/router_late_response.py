"""Steps for responses that arrive late, twice or without an id."""

import asyncio
import contextlib
import re

import behave
from behave import runner

from rhubarblead.router import wire
from tests import router_doubles
from tests import stating_server

_IP = "127.0.0.1"
_REQUEST_ID = re.compile(rb"(?i)\r\nx-rhubarblead-request-id: *([^\r]+)")
_RUN_S = 0.06
_WAIT_S = 3.0
_PAUSE_S = 0.02


def _make_refusal(request_id: bytes) -> bytes:
    echo = b"x-rhubarblead-request-id: %b\r\n" % request_id
    return (
        b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n"
        b"x-rhubarblead-not-executed: 1\r\n%b\r\n"
        % (echo if request_id else b"")
    )


class _Server:
    """Refuses its first request, and repeats the refusal once."""

    def __init__(self, repeats: str, without_id: str) -> None:
        self._repeats = repeats
        self._without_id = without_id
        self._refused: bytes | None = None
        self.connection_count = 0
        self.run_ids: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connection_count += 1
        late = b""
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, OSError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = _REQUEST_ID.search(head)
                assert found is not None
                if self._refused is None and self._without_id != "success":
                    late = await self._refuse(found[1], writer)
                    continue
                await self._run(found[1], late, writer)
                late = b""
        writer.close()

    async def _refuse(
        self, request_id: bytes, writer: asyncio.StreamWriter
    ) -> bytes:
        """Refuses a request; returns what is to follow the next one."""
        self._refused = request_id
        has_id = self._without_id != "refusal"
        content = _make_refusal(request_id if has_id else b"")
        writer.write(content)
        match self._repeats:
            case "at once":
                writer.write(content)
            case "shortly afterwards":
                loop = asyncio.get_running_loop()
                loop.call_later(_PAUSE_S / 2, writer.write, content)
            case "":
                pass
            case _:
                return content
        return b""

    async def _run(
        self, request_id: bytes, late: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.run_ids.append(request_id.decode())
        if self._repeats.startswith("as "):
            writer.write(late)
        await asyncio.sleep(_RUN_S / 2)
        if self._repeats.startswith("while "):
            writer.write(late)
        await asyncio.sleep(_RUN_S / 2)
        response = stating_server.make_response(request_id)
        if self._without_id:
            echo = b"x-rhubarblead-request-id: %b\r\n" % request_id
            response = response.replace(echo, b"")
        writer.write(response)


def _start(context: runner.Context, repeats: str, without_id: str = "") -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.server = _Server(repeats, without_id)
    context.number = 0
    context.loop.run_until_complete(_open(context))


async def _open(context: runner.Context) -> None:
    listener = await asyncio.start_server(context.server.serve, _IP, 0)
    # Lets the server's tasks end once the connections are closed.
    context.add_cleanup(
        lambda: context.loop.run_until_complete(asyncio.sleep(0.01))
    )
    context.add_cleanup(listener.close)
    port = listener.sockets[0].getsockname()[1]
    context.upstream = router_doubles.open_upstream(_IP, port)
    context.add_cleanup(context.upstream.close)


@behave.given("a server that refuses the first request")
def start_refusing(context: runner.Context) -> None:
    _start(context, "")


@behave.given("a server that refuses the first request and repeats that {when}")
def start_repeating(context: runner.Context, when: str) -> None:
    _start(context, when)


@behave.given("a server whose {response:w} has no id")
def start_without_id(context: runner.Context, response: str) -> None:
    _start(context, "", response)


@behave.when("{request_id:w} is sent")
def send(context: runner.Context, request_id: str) -> None:
    context.loop.run_until_complete(_send(context, request_id))


async def _send(context: runner.Context, request_id: str) -> None:
    context.number += 1
    done: asyncio.Future[wire.Outcome] = context.loop.create_future()
    context.upstream.submit(
        router_doubles.make_work(request_id, number=context.number),
        done.set_result,
    )
    context.outcome = await asyncio.wait_for(done, _WAIT_S)
    await asyncio.sleep(_PAUSE_S)


@behave.then("the outcome is {verdict:w}")
def check_outcome(context: runner.Context, verdict: str) -> None:
    found = wire.Verdict(context.outcome.verdict).name
    assert found == verdict, context.outcome


@behave.then("the server has run {request_id:w} {count:d} times")
def check_runs(context: runner.Context, request_id: str, count: int) -> None:
    assert context.server.run_ids == [request_id] * count


@behave.then("{count:d} connections were opened")
def check_connections(context: runner.Context, count: int) -> None:
    assert context.server.connection_count == count


@behave.then("no connection is kept")
def check_unkept(context: runner.Context) -> None:
    before = context.server.connection_count
    context.loop.run_until_complete(_send(context, "r9"))
    assert context.server.connection_count == before + 1
