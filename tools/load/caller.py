"""Caller process: sends the requests of a plan and records each outcome.

Usage: python -m tools.load.caller PLAN.json
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import http.client
import pathlib
import random
import select
import socket
import sys
import threading
import time
import uuid

import msgspec
import xxhash

from tools import records
from tools.load import plan as plans

_NS_PER_S = 1_000_000_000
_NS_PER_MS = 1_000_000
_AVOID_NODE_NS = 1_000_000_000
_NOT_RUN = "not-run"
_OK = 200
_RESEND_PAUSE_S = 0.02


class _PostAnswer(msgspec.Struct):
    """The answer of the upstream stand-in to a request with a body."""

    digest: str


class _SharedState:
    """State shared by the threads of a caller: known owners, failed nodes.

    No lock is needed, because single operations on a dict are atomic.
    """

    __slots__ = ("avoided_until_ns", "owners")

    def __init__(self) -> None:
        self.owners: dict[tuple[str, int], str] = {}
        self.avoided_until_ns: dict[str, int] = collections.defaultdict(int)


class Sender:
    """Sends requests in one thread over persistent connections."""

    __slots__ = ("_rng", "_connections", "_plan", "_shared")

    def __init__(
        self, *, plan: plans.Plan, shared: _SharedState, number: int
    ) -> None:
        self._plan = plan
        self._shared = shared
        self._rng = random.Random(f"{plan.seed}/{plan.caller}/{number}")
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def serve(
        self, arrivals: Iterator[plans.Arrival], lock: threading.Lock
    ) -> list[records.Outcome]:
        """Sends requests at their intended times until none is left."""
        outcomes: list[records.Outcome] = []
        while True:
            with lock:
                arrival = next(arrivals, None)
            if arrival is None:
                break
            intended_ns = self._plan.start_ns + arrival.after_ns
            wait_ns = intended_ns - time.monotonic_ns()
            if wait_ns > 0:
                time.sleep(wait_ns / _NS_PER_S)
            outcomes.extend(self.send(arrival, intended_ns))
        for connection in self._connections.values():
            connection.close()
        return outcomes

    def send(
        self, arrival: plans.Arrival, intended_ns: int
    ) -> Iterator[records.Outcome]:
        """Sends one request, with the resends that the plan allows."""
        workload = arrival.work
        idempotency_key = (
            make_uuid7(self._rng) if workload.method == "POST" else ""
        )
        tried_nodes: set[str] = set()
        for attempt in range(1, self._plan.resend_count + 2):
            node = self._choose_node(arrival, tried_nodes)
            tried_nodes.add(node)
            outcome = self._send_once(
                arrival, intended_ns, idempotency_key, node, attempt
            )
            yield outcome
            if outcome.status == _OK or outcome.status // 100 == 4:
                return
            is_late = outcome.end_ns - intended_ns > (
                self._plan.timeout_ms * _NS_PER_MS
            )
            if is_late:
                return
            time.sleep(_RESEND_PAUSE_S)

    def _choose_node(
        self, arrival: plans.Arrival, tried_nodes: set[str]
    ) -> str:
        workload = arrival.work
        if self._plan.entry is plans.Entry.LOCAL:
            nodes: tuple[str, ...] = workload.nodes
            shard = plans.find_shard(arrival.key, workload.shard_count)
            owner = self._shared.owners.get((workload.pool, shard), "")
            if (
                owner
                and owner not in tried_nodes
                and not self._is_avoided(owner)
            ):
                return owner
        else:
            nodes = self._plan.nodes
        open_nodes = [
            node
            for node in nodes
            if node not in tried_nodes and not self._is_avoided(node)
        ]
        return self._rng.choice(open_nodes or nodes)

    def _is_avoided(self, node: str) -> bool:
        until_ns = self._shared.avoided_until_ns.get(node, 0)
        return until_ns > time.monotonic_ns()

    def _send_once(
        self,
        arrival: plans.Arrival,
        intended_ns: int,
        idempotency_key: str,
        node: str,
        attempt: int,
    ) -> records.Outcome:
        workload = arrival.work
        target = self._write_target(arrival)
        body = self._write_body(arrival, idempotency_key)
        sent_ns = time.monotonic_ns()
        answer: http.client.HTTPResponse | None = None
        content = b""
        fault = ""
        try:
            answer, content = self._exchange(
                node, workload.method, target, body, idempotency_key
            )
        except (OSError, http.client.HTTPException) as error:
            fault = self._handle_connection_error(node, error)
            answer = None
        end_ns = time.monotonic_ns()
        if answer is not None:
            fault = find_fault(answer, content, target, body)
            self._record_owner(arrival, answer)
        headers: Mapping[str, str] = (
            dict(answer.headers) if answer is not None else {}
        )
        return records.Outcome(
            node=node,
            pool=workload.pool,
            method=workload.method,
            key=arrival.key,
            shard=plans.find_shard(arrival.key, workload.shard_count),
            idempotency_key=idempotency_key,
            request_id=headers.get("Rhubarb-Request-Id", ""),
            attempt=attempt,
            intended_ns=intended_ns,
            sent_ns=sent_ns,
            end_ns=end_ns,
            status=answer.status if answer is not None else 0,
            verdict=headers.get("Rhubarb-Verdict", ""),
            refusal=headers.get("Rhubarb-Refusal", ""),
            server=headers.get("Rhubarb-Server", ""),
            fault=fault,
            body_bytes=len(content),
        )

    def _exchange(
        self,
        node: str,
        method: str,
        target: str,
        body: bytes | None,
        idempotency_key: str,
    ) -> tuple[http.client.HTTPResponse, bytes]:
        connection = self._connections.get(node)
        if connection is not None and is_closed_by_peer(connection):
            connection.close()
            connection = None
        if connection is None:
            connection = http.client.HTTPConnection(
                node, timeout=self._plan.timeout_ms / 1_000
            )
            connection.connect()
            connection.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            self._connections[node] = connection
        headers = {}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        if self._plan.service_ms:
            headers["Standin-Service-Ms"] = str(self._plan.service_ms)
        connection.request(method, target, body, headers)
        answer = connection.getresponse()
        return answer, answer.read()

    def _handle_connection_error(self, node: str, error: Exception) -> str:
        connection = self._connections.pop(node, None)
        if connection is not None:
            connection.close()
        self._shared.avoided_until_ns[node] = (
            time.monotonic_ns() + _AVOID_NODE_NS
        )
        return type(error).__name__

    def _record_owner(
        self, arrival: plans.Arrival, answer: http.client.HTTPResponse
    ) -> None:
        owner = answer.headers.get("Rhubarb-Owner", "")
        workload = arrival.work
        if owner and workload.shard_count:
            shard = plans.find_shard(arrival.key, workload.shard_count)
            self._shared.owners[(workload.pool, shard)] = owner

    def _write_target(self, arrival: plans.Arrival) -> str:
        number = f"n={self._plan.caller}-{arrival.serial}"
        path = f"{arrival.work.prefix}/{arrival.key}?{number}"
        if arrival.work.method == "POST":
            return path
        return f"{path}&bytes={self._plan.answer_bytes}"

    def _write_body(
        self, arrival: plans.Arrival, idempotency_key: str
    ) -> bytes | None:
        if arrival.work.method != "POST":
            return None
        text = f"{arrival.key} {idempotency_key} {arrival.serial} "
        return text.encode().ljust(self._plan.body_bytes, b".")


def is_closed_by_peer(connection: http.client.HTTPConnection) -> bool:
    """Returns whether an idle connection was closed by the peer.

    An idle connection is readable only after its end or on surplus bytes. One
    whose last answer has said that it closes has no socket any more.
    """
    if connection.sock is None:
        return True
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return bool(poll.poll(0))


def find_fault(
    answer: http.client.HTTPResponse,
    content: bytes,
    target: str,
    body: bytes | None,
) -> str:
    """Describes what is wrong with an answer; empty if it is correct.

    The stand-in answers a GET with bytes derived from its target, and any other
    request with the digest of its body, so that a truncated answer or the
    answer to another request is detected.
    """
    if not answer.headers.get("Rhubarb-Verdict"):
        return "no verdict"
    if not answer.headers.get("Rhubarb-Request-Id"):
        return "no request id"
    if answer.status != _OK:
        return ""
    if body is None:
        size = int(target.rpartition("=")[2])
        expected = random.Random(target).randbytes(size)
        return "" if content == expected else "another answer"
    try:
        digest = msgspec.json.decode(content, type=_PostAnswer).digest
    except msgspec.DecodeError:
        return "broken answer"
    is_same = digest == xxhash.xxh3_64_hexdigest(body)
    return "" if is_same else "another answer"


def make_uuid7(rng: random.Random) -> str:
    """Creates a version 7 UUID: the time in ms followed by random bits."""
    milliseconds = time.time_ns() // _NS_PER_MS
    value = (milliseconds << 80) | rng.getrandbits(80)
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    return str(uuid.UUID(int=value))


def main(arguments: list[str]) -> int:
    """Runs the plan in a file."""
    text = pathlib.Path(arguments[0]).read_bytes()
    plan = msgspec.json.decode(text, type=plans.Plan)
    arrivals = iter(list(plans.list_arrivals(plan)))
    lock = threading.Lock()
    shared = _SharedState()
    with futures.ThreadPoolExecutor(plan.threads) as executor:
        pending = [
            executor.submit(
                Sender(plan=plan, shared=shared, number=number).serve,
                arrivals,
                lock,
            )
            for number in range(plan.threads)
        ]
        outcomes = [item for future in pending for item in future.result()]
    records.write_records(pathlib.Path(plan.log_path), outcomes)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
