"""Steps for the stand-in of a server that holds keys."""

import pathlib
import socket
import subprocess
import sys
import tempfile
import time

import behave
from behave import runner

_IP = "127.0.0.1"
_START_TIMEOUT_S = 20.0
_REQUEST = b"GET /x HTTP/1.1\r\nX-Rhubarblead-Request-Id: r%d\r\n\r\n"
_END_OF_HEAD = b"\r\n\r\n"


@behave.given(
    'a stand-in server without slots that, when full, has the way "{way}"'
)
def start(context: runner.Context, way: str) -> None:
    with socket.create_server((_IP, 0)) as found:
        context.port = found.getsockname()[1]
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "tools.standins.keyed"),
            *("--id", "i-1", "--ip", _IP, "--port", str(context.port)),
            *("--control", f"{_IP}:9", "--service", "s", "--zone", "a"),
            *("--slots", "0", "--when-full", way),
            *("--records", str(pathlib.Path(folder.name) / "records.jsonl")),
        ]
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)


def _connect(port: int) -> socket.socket:
    ends_at_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            return socket.create_connection((_IP, port))
        except ConnectionRefusedError:
            assert time.monotonic() < ends_at_s
            time.sleep(0.05)


@behave.when("two requests are sent to it on one connection")
def send(context: runner.Context) -> None:
    context.connection = _connect(context.port)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(_REQUEST % 1 + _REQUEST % 2)


def _read(connection: socket.socket, within_ms: int) -> str:
    received = b""
    connection.settimeout(within_ms / 1_000)
    try:
        while received.count(_END_OF_HEAD) < 2:
            received += connection.recv(65_536)
    except ConnectionResetError:
        return "a reset"
    except TimeoutError:
        return "nothing" if not received else "a part"
    heads = received.split(_END_OF_HEAD)[:2]
    are_refusals = all(
        b" 503 " in head and b"X-Rhubarblead-Not-Executed" in head
        for head in heads
    )
    return "two refusals as not executed" if are_refusals else "answers"


@behave.then('the connection shows "{outcome}" within {within:d} ms')
def check(context: runner.Context, outcome: str, within: int) -> None:
    found = _read(context.connection, within)
    assert found == outcome, found
