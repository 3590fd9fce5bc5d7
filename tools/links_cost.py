"""Measures the cost of a message between nodes by number of links.

One thread holds links to many peers and exchanges short messages with them in
turn. The peers are one echo thread that listens on many ports. Prints JSON:
processor time of the calling thread per round trip, in microseconds.
"""

from concurrent import futures
import contextlib
import json
import socket
import sys
import threading
import time

import fire
import zmq

from rhubarblead.transport import links

_SIZES = (1, 10, 100, 500, 1_000)
_MESSAGES = 4_000
_FRAME = b"x" * 200
_POLL_MS = 1_000
_STOP_POLL_MS = 100
_NS_PER_US = 1_000


def _find_free_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [int(probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def _echo(
    context: zmq.Context[zmq.Socket[bytes]],
    addresses: list[links.Address],
    is_stopping: threading.Event,
) -> None:
    poller = zmq.Poller()
    with contextlib.ExitStack() as stack:
        for address in addresses:
            peer = stack.enter_context(context.socket(zmq.ROUTER))
            peer.setsockopt(zmq.LINGER, 0)
            peer.bind(f"tcp://{address.ip_address}:{address.port}")
            poller.register(peer, zmq.POLLIN)
        while not is_stopping.is_set():
            for ready, _ in poller.poll(_STOP_POLL_MS):
                ready.send_multipart(ready.recv_multipart())


def _exchange(client_links: links.Links, address: links.Address) -> None:
    client_links.send(address, [_FRAME])
    while True:
        _, answers = client_links.receive(
            dict(client_links.poller.poll(_POLL_MS))
        )
        if answers:
            return


def measure(link_count: int) -> float:
    """Measures the cost of a message with a number of links.

    Args:
        link_count: Number of peers.

    Returns:
        Processor time of a round trip in the calling thread, in microseconds.
    """
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 4 * link_count + 64)
    addresses = [
        links.Address("127.0.0.1", port)
        for port in _find_free_ports(link_count)
    ]
    is_stopping = threading.Event()
    with futures.ThreadPoolExecutor(1) as executor:
        executor.submit(_echo, context, addresses, is_stopping)
        with links.Links(context=context, identity="caller") as client_links:
            for address in addresses:
                _exchange(client_links, address)
            started_ns = time.thread_time_ns()
            for number in range(_MESSAGES):
                _exchange(client_links, addresses[number % link_count])
            spent_ns = time.thread_time_ns() - started_ns
        is_stopping.set()
    context.term()
    return spent_ns / _MESSAGES / _NS_PER_US


def main(sizes: str = ",".join(map(str, _SIZES))) -> None:
    """Prints the costs as JSON.

    Args:
        sizes: Numbers of links, separated by commas.
    """
    numbers = [int(size) for size in str(sizes).strip("()").split(",")]
    results = {number: round(measure(number), 1) for number in numbers}
    json.dump({"cpu_us_per_message_by_link_count": results}, sys.stdout)
    print()


if __name__ == "__main__":
    fire.Fire(main)
