"""A stand-in for one of the platform's servers that hold keys.

Usage: python -m tools.standins.keyed --id i-1 --ip 127.0.2.1 --port 9001
    --control 127.0.2.1:9003 --service s --zone a --slots 4
    --records runs.jsonl

It writes a record for each run, each heartbeat reply with its grants and each
request above its slots, which it ends as `--when-full` says: the platform's
servers have three ways. SIGTERM drains it. A request whose id begins with
`poison-` ends it. PUT /-/statement with `{"limit": "2.5", "is_leaving": false}`
sets what it states about itself in its responses.
"""

import argparse
import hashlib
import http
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import socketserver
import struct
import sys
import threading
import time
from typing import Any

from rhubarblead import signals
from tools.standins import held_keys

HEARTBEAT_INTERVAL_S = 0.5
RELEASE_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0
DRAIN_S = 2.5
MIN_RUN_MS = 10
MAX_RUN_MS = 60
NOT_EXECUTED = "X-Rhubarblead-Not-Executed"
REQUEST_ID = "X-Rhubarblead-Request-Id"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
STATEMENT_PATH = "/-/statement"
POISON_ID_PREFIX = "poison-"
POISON_PATH_PART = "report"
POISON_RUN_MS = 20
LARGE_BODIES_OF_16 = 2
"""How many of 16 bodies are large."""

LARGE_BODY_DIGESTS = 600
"""Length of a large body in digests of 64 bytes."""

WAYS_WHEN_FULL = ("reset", "hang", "refuse")
"""What a full server does: reset the connection, never answer, or say so."""

_LINGER_RESET = struct.pack("ii", 1, 0)


def read_clock_ms() -> float:
    """Reads the monotonic clock, which all processes of the machine share."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) / 1_000_000


def make_body(request_id: str) -> bytes:
    """Makes the body of an answer, which is specific to the request.

    Some bodies are so large that routers send them in chunks.
    """
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    is_large = int(digest[0], 16) < LARGE_BODIES_OF_16
    return (digest * (LARGE_BODY_DIGESTS if is_large else 1)).encode()


class RecordWriter:
    """Appends records of one server to a file, each by a single write."""

    def __init__(self, *, path: pathlib.Path, server_id: str) -> None:
        self._descriptor = os.open(
            path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )
        self._server_id = server_id

    def write(self, kind: str, **fields: Any) -> None:  # noqa: ANN401
        """Writes one record as a line of JSON."""
        line = {
            "kind": kind,
            "server": self._server_id,
            "at_ms": read_clock_ms(),
        }
        os.write(
            self._descriptor, json.dumps({**line, **fields}).encode() + b"\n"
        )


class State:
    """State that the threads of one server share."""

    def __init__(self, *, options: argparse.Namespace) -> None:
        self.options = options
        self.born_ms = int(time.time() * 1_000)
        self.lock = threading.Lock()
        self.keys = held_keys.HeldKeys()
        self.running_count = 0
        self.is_draining = threading.Event()
        # What the responses state; kept by one assignment, read without lock.
        self.stated: dict[str, str] = {}
        self.records = RecordWriter(path=options.records, server_id=options.id)
        self._sequence = 0

    def make_heartbeat(
        self,
    ) -> tuple[dict[str, Any], list[tuple[held_keys.HeldRange, str]], float]:
        """Makes a heartbeat.

        Returns:
            The body, the releases that it reports, and its time.
        """
        now_ms = read_clock_ms()
        with self.lock:
            self._sequence += 1
            released = self.keys.take_ready_releases()
            held = self.keys.list_reported(now_ms)
            sequence = self._sequence
        state = "draining" if self.is_draining.is_set() else "ready"
        body = {
            "address": f"{self.options.ip}:{self.options.port}",
            "born": self.born_ms,
            "information": {
                "service": self.options.service,
                "version": "v1",
                "zone": self.options.zone,
                "slots": self.options.slots,
            },
            "status": {
                "state": state,
                "sequence": sequence,
                "coldRemainingMs": 0,
            },
            "holds": [[h.first, h.last, h.fence] for h in held],
            "freed": [[h.first, h.last, token] for h, token in released],
        }
        return body, released, now_ms

    def set_statement(self, limit: str | None, *, is_leaving: bool) -> None:
        """Sets what the responses state from now on."""
        stated = {} if limit is None else {LIMIT: limit}
        if is_leaving:
            stated[LEAVING] = "1"
        self.records.write("statement", limit=limit, is_leaving=is_leaving)
        self.stated = stated

    def apply_reply(self, reply: dict[str, Any], sent_at_ms: float) -> None:
        """Applies the reply to a heartbeat."""
        if "holds" not in reply:
            return
        with self.lock:
            self.keys.apply_grants(reply["holds"], reply["holdMs"], sent_at_ms)
            # The grants of a late reply may have expired already.
            held = self.keys.list_held(read_clock_ms())
        self.records.write(
            "holds",
            ranges=[[h.first, h.last, h.fence, h.until_ms] for h in held],
        )


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, *, state: State) -> None:
        self.state = state
        super().__init__((state.options.ip, state.options.port), _Handler)

    def server_bind(self) -> None:
        """Binds without looking up the host name."""
        socketserver.TCPServer.server_bind(self)
        self.server_name = self.state.options.ip
        self.server_port = self.state.options.port

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignores connections that the peer has closed."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)  # type: ignore[arg-type]


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _Server

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Suppresses the log line of each request."""

    def do_GET(self) -> None:  # noqa: N802
        """Serves requests of all methods."""
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        if self.path == "/health":
            self._respond(http.HTTPStatus.OK, b"")
            return
        if self.path == STATEMENT_PATH:
            self.server.state.set_statement(**json.loads(body))
            self._respond(http.HTTPStatus.OK, b"")
            return
        refusal = self._find_refusal()
        if refusal is not None:
            self.server.state.records.write(
                "turned_away", request_id=self.headers.get(REQUEST_ID)
            )
            self._respond(refusal, b"", not_executed=True)
            return
        self._execute(body)

    do_POST = do_PUT = do_DELETE = do_GET  # noqa: N815

    def _find_refusal(self) -> http.HTTPStatus | None:
        state = self.server.state
        expected = self.headers.get("X-Rhubarblead-Expected-Instance")
        if expected not in (None, state.options.id):
            return http.HTTPStatus.MISDIRECTED_REQUEST
        if not self.headers.get(REQUEST_ID):
            return http.HTTPStatus.BAD_REQUEST
        key = self.headers.get("X-Rhubarblead-Shard-Key")
        with state.lock:
            if key and not state.keys.is_held(int(key), read_clock_ms()):
                return http.HTTPStatus.MISDIRECTED_REQUEST
        return None

    def _execute(self, body: bytes) -> None:
        state = self.server.state
        request_id = self.headers[REQUEST_ID]
        key = int(self.headers.get("X-Rhubarblead-Shard-Key", "-1"))
        with state.lock:
            is_full = state.running_count >= state.options.slots
            if not is_full:
                state.running_count += 1
                state.keys.begin(request_id, key)
        if is_full:
            state.records.write("overfull", request_id=request_id)
            self._turn_away()
            return
        state.records.write(
            "run",
            request_id=request_id,
            key=key,
            method=self.command,
            path=self.path,
            body_bytes=len(body),
        )
        if request_id.startswith(POISON_ID_PREFIX):
            time.sleep(POISON_RUN_MS / 1_000)
            state.records.write("crash", request_id=request_id)
            os._exit(1)
        time.sleep(random.uniform(*state.options.run_ms) / 1_000)
        with state.lock:
            state.running_count -= 1
            state.keys.end(request_id)
        self._respond(http.HTTPStatus.OK, make_body(request_id))

    def _respond(
        self,
        status: http.HTTPStatus,
        body: bytes,
        *,
        not_executed: bool = False,
    ) -> None:
        options = self.server.state.options
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("X-Rhubarblead-Instance-Id", options.id)
        self.send_header("Keep-Alive", "timeout=5")
        if request_id := self.headers.get(REQUEST_ID):
            self.send_header(REQUEST_ID, request_id)
            self.send_header("X-Rhubarblead-Server-Seal", f"seal.{options.id}")
            for name, value in self.server.state.stated.items():
                self.send_header(name, value)
        if not_executed:
            self.send_header(NOT_EXECUTED, "1")
        self.end_headers()
        self.wfile.write(body)

    def _turn_away(self) -> None:
        """Ends a request above the slots as this server does."""
        match self.server.state.options.when_full:
            case "refuse":
                self._respond(
                    http.HTTPStatus.SERVICE_UNAVAILABLE, b"", not_executed=True
                )
            case "hang":
                # Nothing that follows on the connection is answered, either.
                self.rfile.read()
                self.close_connection = True
            case _:
                self._reset()

    def _reset(self) -> None:
        self.close_connection = True
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
        self.connection.close()


def call_control(
    control: str, server_id: str, name: str, body: dict[str, Any]
) -> dict[str, Any] | None:
    """Calls the node beside the server.

    Returns:
        The decoded reply, or None if the call failed.
    """
    ip, _, port = control.rpartition(":")
    connection = http.client.HTTPConnection(
        ip, int(port), timeout=CALL_TIMEOUT_S
    )
    try:
        connection.request(
            "POST",
            f"/rpc?call=instances.{name}&of={server_id}",
            json.dumps(body),
            {"Content-Type": "application/json"},
        )
        response = connection.getresponse()
        content = response.read()
        if response.status != http.HTTPStatus.OK:
            return None
        document: dict[str, Any] = json.loads(content or b"{}")
        return document
    except (OSError, http.client.HTTPException):
        # The node is unreachable; the next heartbeat tries again.
        return None
    finally:
        connection.close()


def send_heartbeats(state: State, ended: threading.Event) -> None:
    """Sends heartbeats until the server ends."""
    options = state.options
    address = options.control
    while not ended.is_set():
        body, released, sent_at_ms = state.make_heartbeat()
        reply = call_control(address, options.id, "heartbeat", body)
        if reply is None and address != options.control:
            address = options.control
            reply = call_control(address, options.id, "heartbeat", body)
        address = (reply or {}).get("heartbeatAddress", address)
        with state.lock:
            if reply is None:
                state.keys.restore_releases(released)
        if reply is not None:
            state.apply_reply(reply, sent_at_ms)
        pause_s = (
            RELEASE_INTERVAL_S
            if state.keys.is_releasing
            else HEARTBEAT_INTERVAL_S
        )
        ended.wait(pause_s)


def main(arguments: list[str]) -> int:
    """Serves until SIGTERM, then drains, deregisters and exits."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "ip", "control", "service", "zone"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument(
        "--run-ms",
        type=float,
        nargs=2,
        default=(MIN_RUN_MS, MAX_RUN_MS),
        help="shortest and longest run",
    )
    parser.add_argument(
        "--when-full", choices=WAYS_WHEN_FULL, default=WAYS_WHEN_FULL[0]
    )
    parser.add_argument("--records", type=pathlib.Path, required=True)
    state = State(options=parser.parse_args(arguments))
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: state.is_draining.set())
    with _Server(state=state) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        heartbeat_thread = threading.Thread(
            target=send_heartbeats, args=(state, ended)
        )
        heartbeat_thread.start()
        signals.wait_for(state.is_draining)
        time.sleep(DRAIN_S)
        ended.set()
        heartbeat_thread.join()
        options = state.options
        call_control(
            options.control,
            options.id,
            "deregister",
            {"born": state.born_ms},
        )
        server.shutdown()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
