"""Measures the processor time of one request to an upstream, in microseconds.

The upstream is a separate process that sends a canned answer, so that only the
client's side is counted. The baseline is plain `http.client`.

Usage: python -m tools.upstream_cost [--requests 4000] [--rounds 7]
"""

import argparse
from collections.abc import Callable
import contextlib
import http.client
import json
import multiprocessing
import multiprocessing.connection
import socket
import sys
import time

from rhubarblead.upstream import client

_REQUEST_ID = "0190a5d2-7c4e-7000-8000-000000000000"
_HEADERS = (
    ("Accept", "application/json"),
    ("User-Agent", "depot/1.0"),
    ("Rhubarb-Shard", "1234"),
    ("Rhubarb-Fence", "5678"),
    ("Rhubarb-Expires-Ms", "123456789"),
    ("Rhubarb-Key", "depot-17"),
)
_BODY = b"{}" * 100
_ANSWER = (
    "HTTP/1.1 200 OK\r\n"
    f"Content-Length: {len(_BODY)}\r\n"
    "Content-Type: application/json\r\n"
    "Date: Thu, 03 Dec 2026 20:00:00 GMT\r\n"
    "Server: canned\r\n"
    f"Rhubarb-Request-Id: {_REQUEST_ID}\r\n\r\n"
).encode() + _BODY
_TIMEOUT_MS = 2_000
_WARM_UP_REQUESTS = 200


def serve(pipe: multiprocessing.connection.Connection) -> None:
    """Answers every request with the canned answer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pipe.send(listener.getsockname()[1])
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with connection, contextlib.suppress(OSError):
                while connection.recv(65_536):
                    connection.sendall(_ANSWER)


def measure(send: Callable[[], None], count: int) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    for _ in range(_WARM_UP_REQUESTS):
        send()
    start_ns = time.process_time_ns()
    for _ in range(count):
        send()
    return (time.process_time_ns() - start_ns) / count / 1_000


def measure_baseline(port: int, count: int) -> float:
    """Measures `http.client` on one persistent connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
    headers = {**dict(_HEADERS), "Rhubarb-Request-Id": _REQUEST_ID}

    def send() -> None:
        connection.request("GET", "/stock/17", headers=headers)
        answer = connection.getresponse()
        assert len(answer.read()) == len(_BODY)
        answer.getheaders()

    with contextlib.closing(connection):
        return measure(send, count)


def measure_client(port: int, count: int, *, is_repeatable: bool) -> float:
    """Measures the product's client."""
    upstream = client.UpstreamClient(
        ip_address="127.0.0.1", port=port, connections=4
    )
    request = client.UpstreamRequest(
        method="GET",
        target="/stock/17",
        headers=_HEADERS,
        body=b"",
        request_id=_REQUEST_ID,
        timeout_ms=_TIMEOUT_MS,
        is_repeatable=is_repeatable,
        max_answer_bytes=2**20,
    )

    def send() -> None:
        assert len(upstream.send(request).unwrap().body) == len(_BODY)
        if not is_repeatable:
            upstream.close_idle()

    with contextlib.closing(upstream):
        return measure(send, count)


def main(arguments: list[str]) -> int:
    """Measures in alternating rounds and prints the minimums as JSON.

    Alternation and the minimum keep the effect of other load on the machine
    out of the results.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=4_000)
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args(arguments)
    receiver, sender = multiprocessing.Pipe(duplex=False)
    server = multiprocessing.Process(target=serve, args=(sender,), daemon=True)
    server.start()
    port = receiver.recv()
    count = options.requests
    rounds = [_measure_round(port, count) for _ in range(options.rounds)]
    server.terminate()
    minimums = {name: min(r[name] for r in rounds) for name in rounds[0]}
    print(json.dumps({"requests": count, "rounds": len(rounds), **minimums}))
    return 0


def _measure_round(port: int, count: int) -> dict[str, float]:
    return {
        "http_client_kept_us": round(measure_baseline(port, count), 1),
        "kept_us": round(measure_client(port, count, is_repeatable=True), 1),
        "fresh_us": round(
            measure_client(port, count // 4, is_repeatable=False), 1
        ),
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
