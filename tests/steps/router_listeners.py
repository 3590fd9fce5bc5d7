"""Steps for the limits on the addresses of a router."""

import asyncio
import contextlib
import socket

import behave
from behave import runner

from rhubarblead import routing_table
from rhubarblead.platform import settings
from rhubarblead.router import http_server
from rhubarblead.router import listeners
from rhubarblead.router import redirection
from rhubarblead.router import request_budget

_IP = "127.0.0.1"
_WAIT_S = 5.0
_HEAD = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


def _answer(exchange: http_server.Exchange) -> None:
    exchange.finish(http_server.Response(status=200))


def _find_port() -> int:
    with socket.socket() as probe:
        probe.bind((_IP, 0))
        port: int = probe.getsockname()[1]
        return port


async def _exchange(port: int, parts: list[bytes], pause_s: float) -> int:
    """Sends a request in parts, with pauses between them.

    Returns:
        The status of the response, 0 if the connection ends without one.
    """
    reader, writer = await asyncio.open_connection(_IP, port)
    with contextlib.closing(writer):
        for number, part in enumerate(parts):
            await asyncio.sleep(pause_s if number else 0.0)
            writer.write(part)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), _WAIT_S)
            return int(head.split()[1])
    return 0


async def _send_to_each(
    limits: routing_table.ClientLimits, parts: list[bytes], pause_s: float
) -> dict[str, int]:
    opened = listeners.Listeners(
        handlers=dict.fromkeys(listeners.Listener, _answer),
        client_limits=lambda: limits,
        client_budget=request_budget.RequestBudget(max_bytes=10**9),
        descriptor_count=1_000,
    )
    with contextlib.ExitStack() as stack:
        ports = {listener: _find_port() for listener in listeners.Listener}
        for listener, port in ports.items():
            address = settings.Address(ip=_IP, port=port)
            await opened.listen(listener, address, stack)
        statuses = await asyncio.gather(
            *(_exchange(port, parts, pause_s) for port in ports.values())
        )
    return {
        listener.value: status
        for listener, status in zip(ports, statuses, strict=True)
    }


@behave.given("a router's listeners, with a {limit:w} of {value:d} for clients")
def make_limits(context: runner.Context, limit: str, value: int) -> None:
    context.limits = routing_table.ClientLimits(**{limit: value})


@behave.when(
    "a request with a head of {head_bytes:d} bytes and a body of"
    " {body_bytes:d} bytes is sent to each"
)
def send_large(
    context: runner.Context, head_bytes: int, body_bytes: int
) -> None:
    start = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\nx: "
    head = (start % body_bytes).ljust(head_bytes, b"y") + b"\r\n\r\n"
    context.statuses = asyncio.run(
        _send_to_each(context.limits, [head + b"z" * body_bytes], 0.0)
    )


@behave.when("a request is sent to each, {pause_s:g} s after connecting")
def send_late(context: runner.Context, pause_s: float) -> None:
    context.statuses = asyncio.run(
        _send_to_each(context.limits, [b"", _HEAD], pause_s)
    )


@behave.when(
    "a request is sent to each, with {pause_s:g} s between the lines of its"
    " head"
)
def send_slowly(context: runner.Context, pause_s: float) -> None:
    lines = _HEAD.splitlines(keepends=True)
    context.statuses = asyncio.run(
        _send_to_each(context.limits, lines, pause_s)
    )


@behave.then('"{names}" answers {status:d}')
@behave.then('"{names}" answer {status:d}')
def check_statuses(context: runner.Context, names: str, status: int) -> None:
    found = {name: context.statuses[name] for name in names.split()}
    assert set(found.values()) == {status}, context.statuses


@behave.given("an instance with {count:d} free ports")
def make_ports(context: runner.Context, count: int) -> None:
    context.ports = range(7_381, 7_381 + count)


@behave.when("its router starts every {interval:d} ms")
def start_often(context: runner.Context, interval: int) -> None:
    starts = range(1_700_000_000_123, 1_700_000_060_000, interval)
    context.chosen = [
        (at_ms, redirection.choose_port(context.ports, at_ms))
        for at_ms in starts
    ]


@behave.then("no port is used again within {seconds:d} s")
def check_turns(context: runner.Context, seconds: int) -> None:
    for at_ms, port in context.chosen:
        assert port in context.ports
        assert not any(
            other == port and 0 < later_ms - at_ms < seconds * 1_000
            for later_ms, other in context.chosen
        ), (at_ms, port)


@behave.then("no port is chosen")
def check_no_port(context: runner.Context) -> None:
    assert {port for _, port in context.chosen} == {None}
