"""Measures the HTTP server's cost per request by number of connections.

A child process serves. One connection sends requests back to back, the others
are idle. The baseline is waitress's own event loop. Prints JSON: processor time
of the server process per request, in microseconds.
"""

import contextlib
import http.client
import json
import socket
import subprocess
import sys
import time
from typing import Any

import fire
import waitress.server

from rhubarblead import verdict
from rhubarblead.node import event_loop
from rhubarblead.node.requests import intake
from rhubarblead.node.requests import outcome
from rhubarblead.node.requests import wsgi
from tools import processes

_MODULE = "tools.front_cost"
_SECONDS = 2.0
_US_PER_S = 1_000_000
_THREADS = 8
_START_TIMEOUT_S = 10.0


def _answer(request: intake.CallerRequest) -> outcome.Outcome:
    del request
    return outcome.Outcome(
        verdict=verdict.Verdict.RAN, status=200, reason="OK", body=b"ok"
    )


def _create_application() -> wsgi.Application:
    return wsgi.Application(
        route=_answer,
        admin=_answer,
        refuse=_answer,
        queue_length=64,
    )


def serve(port: int, loop: str) -> None:
    """Serves until killed.

    Args:
        port: The TCP port to listen on.
        loop: "own" for waitress's own loop, "event" for that of the node.
    """
    server = waitress.server.create_server(
        _create_application(),
        host="127.0.0.1",
        port=port,
        threads=_THREADS,
        connection_limit=2_000,
    )
    if loop == "own":
        server.run()
        return
    events = event_loop.EventLoop()
    server.channel_class = wsgi.Channel
    events.attach(server)
    events.run()


def _find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _connect(port: int) -> http.client.HTTPConnection:
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        try:
            _send_request(connection)
            return connection
        except ConnectionRefusedError:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.05)


def _send_request(connection: http.client.HTTPConnection) -> None:
    connection.request("GET", "/depots/a/stock")
    connection.getresponse().read()


def measure(loop: str, counts: list[int]) -> dict[int, float]:
    """Measures the cost of a request with one event loop.

    Args:
        loop: As for `serve`.
        counts: Numbers of idle connections, ascending.

    Returns:
        Processor time per request in microseconds, by number of idle
        connections.
    """
    port = _find_free_port()
    results = {}
    with contextlib.ExitStack() as stack:
        child = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tools.front_cost",
                "serve",
                str(port),
                loop,
            ],
            env=processes.make_environment(),
        )
        stack.callback(child.wait)
        stack.callback(child.kill)
        active = _connect(port)
        idle: list[http.client.HTTPConnection] = []
        for count in counts:
            idle.extend(_connect(port) for _ in range(count - len(idle)))
            results[count] = _measure_one(child.pid, active)
    return results


def _measure_one(pid: int, active: http.client.HTTPConnection) -> float:
    before = processes.read_usage(pid)
    done = 0
    end_s = time.monotonic() + _SECONDS
    while time.monotonic() < end_s:
        _send_request(active)
        done += 1
    after = processes.read_usage(pid)
    return round((after.cpu_s - before.cpu_s) / done * _US_PER_S, 1)


def compare(counts: Any = (0, 50, 150, 500)) -> None:  # noqa: ANN401
    """Prints the costs with both event loops as JSON."""
    connection_counts = [int(count) for count in counts]
    results = {
        loop: measure(loop, connection_counts) for loop in ("own", "event")
    }
    json.dump({"cpu_us_per_request_by_idle_connections": results}, sys.stdout)
    print()


if __name__ == "__main__":
    fire.Fire({"compare": compare, "serve": serve})
