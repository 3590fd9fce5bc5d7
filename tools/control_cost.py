"""Measures the cost of heartbeats in CPU time, memory and bytes on the wire.

Simulated members run the production lease code over real zmq sockets on the
loopback interface, all in one process and one thread. A pair is one heartbeat
and its promise; its cost is that of both ends together, including the ticks in
between. In `large_state` each member holds a constant state of
`--state-members` members.

Usage: python -m tools.control_cost [--seconds 6] [--output FILE]
"""

import argparse
import contextlib
import dataclasses
import json
import pathlib
import platform
import random
import resource
import select
import socket
import sys
import threading
import time

import zmq

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import granter
from rhubarblead.leases import holder

_MEMBER_COUNTS = (4, 16, 64, 128)
_GRANTERS = 3
_WARM_UP_S = 1.5
_TICK_MS = 50
_CHUNK_BYTES = 65_536
_KIB = 1_024
_REVISIONS = messages.Revisions(ownership=1, tables=1)


class CannotMeasure(Exception):
    """Simulated members lost their leases, so the measurement is invalid."""


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulatedMember:
    """One member: a listening socket, three links and its lease state."""

    member: membership.Member
    holder: holder.Holder
    granter: granter.Granter
    listener: zmq.Socket[bytes]
    links: dict[str, zmq.Socket[bytes]]
    exchange_count: int = 0

    def tick(self, now_ms: int) -> None:
        """Sends the heartbeats that are due."""
        if self.holder.is_held(now_ms=now_ms):
            self.granter.confirm_membership(as_of_ms=now_ms)
        self.granter.list_lapses(now_ms=now_ms)
        due = self.holder.list_heartbeats(now_ms=now_ms, revisions=_REVISIONS)
        for granter_id, heartbeat in due:
            self.links[granter_id].send(messages.encode(heartbeat))

    def serve(self) -> None:
        """Answers one heartbeat."""
        sender, frame = self.listener.recv_multipart()
        heartbeat = messages.decode(frame)
        assert isinstance(heartbeat, messages.Heartbeat)
        promise = self.granter.handle_heartbeat(
            heartbeat=heartbeat,
            now_ms=clock.read_monotonic_ms(),
            revisions=_REVISIONS,
        )
        self.listener.send_multipart([sender, messages.encode(promise)])

    def receive(self, link: zmq.Socket[bytes]) -> None:
        """Processes one promise."""
        promise = messages.decode(link.recv())
        assert isinstance(promise, messages.Promise)
        self.holder.record_promise(
            promise=promise, now_ms=clock.read_monotonic_ms()
        )
        self.exchange_count += 1


class Relay:
    """Forwards one connection and counts its bytes."""

    def __init__(self, *, target_port: int) -> None:
        self.sent_bytes = 0
        self.returned_bytes = 0
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run)
        self._stop_sender, self._stop_receiver = socket.socketpair()
        self._thread.start()

    def close(self) -> None:
        """Closes the connection and waits for the relay thread."""
        self._stop_sender.close()
        self._thread.join()
        self._stop_receiver.close()
        self._listener.close()

    def _run(self) -> None:
        ready, _, _ = select.select(
            [self._listener, self._stop_receiver], [], []
        )
        if self._stop_receiver in ready:
            return
        client, _ = self._listener.accept()
        with (
            client,
            socket.create_connection(
                ("127.0.0.1", self._target_port)
            ) as server,
        ):
            while self._relay_chunks(client, server):
                pass

    def _relay_chunks(
        self, client: socket.socket, server: socket.socket
    ) -> bool:
        ready, _, _ = select.select(
            [client, server, self._stop_receiver], [], []
        )
        if self._stop_receiver in ready:
            return False
        for source, target in ((client, server), (server, client)):
            if source not in ready:
                continue
            chunk = source.recv(_CHUNK_BYTES)
            target.sendall(chunk)
            if source is client:
                self.sent_bytes += len(chunk)
            else:
                self.returned_bytes += len(chunk)
            if not chunk:
                return False
        return True


def make_state(count: int, ring: int) -> ownership.State:
    """Creates a state whose members grant leases to one another in rings.

    Args:
        count: Number of members.
        ring: Number of leading members that grant only to one another.

    Returns:
        The state.
    """
    members = {}
    for index in range(count):
        name = _format_member_id(index)
        members[name] = membership.Member(
            member_id=name,
            instance=f"dispatch-{index:04}",
            incarnation=f"{index:016x}",
            failure_domain=f"domain-{index % 24}",
            region=f"region-{index % 8}",
            pool="dispatch",
            ip_address="10.0.0.1",
            http_port=8080,
            data_port=8081,
            control_port=8082,
            granters=_list_granters(index, ring if index < ring else count),
            granters_epoch=1,
        )
    return ownership.State(revision=1, members=members)


def open_members(
    stack: contextlib.ExitStack, count: int, state: ownership.State
) -> list[SimulatedMember]:
    """Opens the first members of a state, each linked to its granters."""
    context = stack.enter_context(zmq.Context())
    context.set(zmq.MAX_SOCKETS, 4_096)
    lease = settings.Lease()
    ports = {}
    simulated_members = []
    for index in range(count):
        name = _format_member_id(index)
        listener = stack.enter_context(context.socket(zmq.ROUTER))
        ports[name] = listener.bind_to_random_port("tcp://127.0.0.1")
        member = state.members[name]
        simulated_members.append(
            SimulatedMember(
                member=member,
                holder=holder.Holder(
                    member_id=name,
                    granters=member.granters,
                    granters_epoch=1,
                    lease=lease,
                ),
                granter=granter.Granter(member_id=name, lease=lease),
                listener=listener,
                links={},
            )
        )
    for item in simulated_members:
        item.granter.follow_state(state=state, now_ms=clock.read_monotonic_ms())
        item.granter.confirm_membership(as_of_ms=clock.read_monotonic_ms())
        for granter_id in item.holder.granters:
            link = stack.enter_context(context.socket(zmq.DEALER))
            link.setsockopt(zmq.LINGER, 0)
            link.setsockopt(zmq.IDENTITY, item.member.member_id.encode())
            link.connect(f"tcp://127.0.0.1:{ports[granter_id]}")
            item.links[granter_id] = link
    return simulated_members


def run(simulated_members: list[SimulatedMember], seconds: float) -> int:
    """Exchanges heartbeats for a time; returns the number of pairs."""
    poller = zmq.Poller()
    owners = {}
    for item in simulated_members:
        for link in item.links.values():
            owners[link] = item
            poller.register(link, zmq.POLLIN)
        owners[item.listener] = item
        poller.register(item.listener, zmq.POLLIN)
    start_count = sum(item.exchange_count for item in simulated_members)
    start_ms = clock.read_monotonic_ms()
    rng = random.Random(1)
    due_ms = {
        id(s): start_ms + rng.randrange(_TICK_MS) for s in simulated_members
    }
    while (now_ms := clock.read_monotonic_ms()) - start_ms < seconds * 1_000:
        _tick(simulated_members, due_ms, now_ms)
        for ready, _ in poller.poll(max(0, min(due_ms.values()) - now_ms)):
            owner = owners[ready]
            if ready is owner.listener:
                owner.serve()
            else:
                owner.receive(ready)
    return sum(item.exchange_count for item in simulated_members) - start_count


def _tick(
    simulated_members: list[SimulatedMember],
    due_ms: dict[int, int],
    now_ms: int,
) -> None:
    for item in simulated_members:
        if due_ms[id(item)] > now_ms:
            continue
        due_ms[id(item)] = now_ms + _TICK_MS
        item.tick(now_ms)


def measure_cost(
    count: int, state_members: int, seconds: float
) -> dict[str, float]:
    """Measures CPU time and memory with a number of simulated members."""
    state = make_state(max(count, state_members), count)
    before_kib = _read_rss_kib()
    with contextlib.ExitStack() as stack:
        simulated_members = open_members(stack, count, state)
        run(simulated_members, _WARM_UP_S)
        cpu_start = time.process_time()
        start = time.monotonic()
        pairs = run(simulated_members, seconds)
        cpu_s = time.process_time() - cpu_start
        wall_s = time.monotonic() - start
        held = sum(
            s.holder.is_held(now_ms=clock.read_monotonic_ms())
            for s in simulated_members
        )
        grown_kib = _read_rss_kib() - before_kib
    if held < count:
        raise CannotMeasure(f"only {held} of {count} leases were held")
    return {
        "members_count": count,
        "state_members_count": len(state.members),
        "pairs_count": pairs,
        "seconds": round(wall_s, 2),
        "cpu_us_per_pair": round(cpu_s / pairs * 1e6, 1),
        "cpu_per_mille_per_member": round(cpu_s / wall_s / count * 1_000, 2),
        "pairs_per_s_per_member": round(pairs / wall_s / count, 2),
        "rss_grown_kib_per_member": round(grown_kib / count, 1),
    }


def measure_bytes(seconds: float) -> dict[str, float]:
    """Counts the bytes in the TCP stream of one link, without TCP headers."""
    state = make_state(4, 4)
    with contextlib.ExitStack() as stack:
        simulated_members = open_members(stack, 4, state)
        first = simulated_members[0]
        granter_id, link = next(iter(first.links.items()))
        endpoint = link.getsockopt_string(zmq.LAST_ENDPOINT)
        relay = Relay(target_port=int(endpoint.rpartition(":")[2]))
        stack.callback(relay.close)
        link.disconnect(endpoint)
        link.connect(f"tcp://127.0.0.1:{relay.port}")
        run(simulated_members, _WARM_UP_S)
        start = (relay.sent_bytes, relay.returned_bytes, first.exchange_count)
        run(simulated_members, seconds)
        pairs = (first.exchange_count - start[2]) / _GRANTERS
        sent = relay.sent_bytes - start[0]
        returned = relay.returned_bytes - start[1]
    return {
        "heartbeat_stream_bytes": round(sent / pairs, 1),
        "promise_stream_bytes": round(returned / pairs, 1),
        "pairs_count": round(pairs, 1),
    }


def main(arguments: list[str]) -> int:
    """Prints the results and, with `--output`, writes them to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--state-members", type=int, default=1_800)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args(arguments)
    report = {
        "command": "python -m tools.control_cost " + " ".join(arguments),
        "python": platform.python_version(),
        "zmq": zmq.zmq_version(),
        "wire": measure_bytes(options.seconds),
        "small_state": [
            measure_cost(count, 0, options.seconds) for count in _MEMBER_COUNTS
        ],
        "large_state": [
            measure_cost(count, options.state_members, options.seconds)
            for count in _MEMBER_COUNTS[:2]
        ],
    }
    text = json.dumps(report, indent=2)
    print(text)
    if options.output:
        options.output.write_text(text + "\n", encoding="utf-8")
    return 0


def _list_granters(index: int, ring: int) -> tuple[str, ...]:
    steps = range(1, _GRANTERS + 1)
    return tuple(_format_member_id((index + step) % ring) for step in steps)


def _format_member_id(index: int) -> str:
    return f"dispatch-{index:04}.{index:016x}"


def _read_rss_kib() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // _KIB


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
