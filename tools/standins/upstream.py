"""A stand-in upstream: an HTTP server that can violate its contract on request.

Usage: python -m tools.standins.upstream --server dispatch-1 --port 9001
    --node 127.0.0.1:8001 --slots 20 --connections 130 --fenced
    --records runs.jsonl
"""

import argparse
import contextlib
import enum
import http
import http.client
import http.server
import json
import logging
import os
import random
import signal
import socket
import socketserver
import struct
import sys
import threading
import time
from typing import Any
from typing import TypeAlias
import urllib.parse

import msgspec
import xxhash

from rhubarblead import signals
from tools.standins import upstream_state

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 30.0
DRAIN_LINGER_S = 0.2
HANG_S = 60.0
HOLD_POLL_S = 0.01
LATE_MARGIN_S = 0.3
DEFAULT_DEADLINE_MS = 1_000
RETRY_AFTER_S = 1
CRASH_EXIT_CODE = 70

_GRANT_REASONS = (upstream_state.Reason.FENCE, upstream_state.Reason.EXPIRED)
_Request: TypeAlias = socket.socket | tuple[bytes, socket.socket]
_LINGER_RESET = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """A fault that a request selects by its header `Standin-Fault`."""

    NONE = ""
    CRASH = "crash"
    HANG = "hang"
    TRUNCATE = "truncate"
    SURPLUS = "surplus"
    SWAP_ID = "swap-id"
    LATE = "late"
    RESET_BEFORE_READ = "reset-before-read"
    RESET_AFTER_RUN = "reset-after-run"


class _Server(http.server.ThreadingHTTPServer):
    """Serves a limited number of connections, with one thread for each."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def __init__(self, *, state: upstream_state.State) -> None:
        self.state = state
        self._free_connections = threading.Semaphore(state.options.connections)
        address = (state.options.ip_address, state.options.port)
        super().__init__(address, _Handler)

    def server_bind(self) -> None:
        """Binds without looking up the host name."""
        socketserver.TCPServer.server_bind(self)
        self.server_name = self.state.options.ip_address
        self.server_port = self.state.options.port

    def verify_request(self, request: _Request, client_address: object) -> bool:
        """Accepts a connection if the limit isn't reached."""
        return self._free_connections.acquire(blocking=False)

    def process_request_thread(
        self, request: _Request, client_address: object
    ) -> None:
        """Serves one connection, then frees it for the limit."""
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._free_connections.release()

    def handle_error(self, request: _Request, client_address: object) -> None:
        """Ignores connections that the peer has closed."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _Server

    def setup(self) -> None:
        """Records when the connection was opened."""
        super().setup()
        self.opened_at_ns = time.monotonic_ns()

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Suppresses the log line of each request."""

    def do_GET(self) -> None:  # noqa: N802
        """Serves requests of all methods."""
        state = self.server.state
        if state.is_black_hole(self.opened_at_ns):
            threading.Event().wait(HANG_S)
            self.close_connection = True
            return
        if self.path.startswith("/-/"):
            self._serve_control(state)
            return
        self._serve_request(state)

    do_HEAD = do_POST = do_PUT = do_PATCH = do_DELETE = do_GET  # noqa: N815

    def _serve_control(self, state: upstream_state.State) -> None:
        body = self._read_body()
        match (self.command, self.path):
            case ("GET", "/-/health"):
                grant = self._read_grant()
                if grant.grant_id and grant.expires_ms is not None:
                    state.extend(grant.grant_id, grant.expires_ms)
                self._respond_json(200, _make_health(state))
            case ("GET", "/-/load"):
                self._respond_json(200, _make_load(state))
            case ("POST", "/-/cancel"):
                state.cancel(self._read_header("Rhubarb-Request-Id"))
                self._respond(204, b"")
            case ("PUT", "/-/mode"):
                state.set_mode(
                    msgspec.json.decode(body, type=upstream_state.Mode)
                )
                self._respond(204, b"")
            case _:
                self._respond(404, b"")

    def _serve_request(self, state: upstream_state.State) -> None:
        fault = Fault(self._read_header("Standin-Fault"))
        if fault is Fault.RESET_BEFORE_READ:
            self._reset()
            return
        body = self._read_body()
        request_id = self._read_header("Rhubarb-Request-Id")
        deadline_ms = self._read_int("Rhubarb-Deadline-Ms")
        grant = self._read_grant()
        admitted = state.begin(request_id, grant, deadline_ms)
        if isinstance(admitted, upstream_state.Reason):
            self._refuse(admitted)
            return
        try:
            outcome = self._execute(state, grant, admitted, fault)
        finally:
            state.end(request_id, admitted)
        if isinstance(outcome, upstream_state.Reason):
            self._refuse(outcome)
            return
        if fault is Fault.LATE:
            time.sleep(
                (deadline_ms or DEFAULT_DEADLINE_MS) / 1_000 + LATE_MARGIN_S
            )
        self._respond_to_request(outcome, body, fault)

    def _execute(
        self,
        state: upstream_state.State,
        grant: upstream_state.Grant,
        cancelled: threading.Event,
        fault: Fault,
    ) -> int | upstream_state.Reason:
        start_ns = time.monotonic_ns()
        if fault is Fault.CRASH:
            os._exit(CRASH_EXIT_CODE)
        service_ms = state.compute_service_ms(
            self._read_int("Standin-Service-Ms")
        )
        if fault is Fault.HANG:
            service_ms = HANG_S * 1_000
        if service_ms > 0 and cancelled.wait(service_ms / 1_000):
            return upstream_state.Reason.CANCELLED
        while state.mode.is_holding_runs:
            if cancelled.wait(HOLD_POLL_S):
                return upstream_state.Reason.CANCELLED
        outcome = state.commit(grant)
        state.record(
            upstream_state.Run(
                server=state.options.server,
                incarnation=state.incarnation,
                request_id=self._read_header("Rhubarb-Request-Id"),
                idempotency_key=self._read_header("Idempotency-Key"),
                key=self._read_header("Rhubarb-Key"),
                shard=grant.shard,
                fence=grant.fence,
                method=self.command,
                path=self.path,
                start_ns=start_ns,
                end_ns=time.monotonic_ns(),
                is_committed=isinstance(outcome, int),
            )
        )
        return outcome

    def _respond_to_request(
        self, serial: int, body: bytes, fault: Fault
    ) -> None:
        if fault is Fault.RESET_AFTER_RUN:
            self._reset()
            return
        size = _parse_size(self.path)
        if size is not None and self.command in ("GET", "HEAD"):
            content = random.Random(self.path).randbytes(size)
        else:
            content = json.dumps(
                {
                    "serial": serial,
                    "server": self.server.state.options.server,
                    "digest": xxhash.xxh3_64_hexdigest(body),
                }
            ).encode()
        self._respond(200, content, fault=fault)

    def _refuse(self, reason: upstream_state.Reason) -> None:
        is_conflict = reason in _GRANT_REASONS
        self._respond(
            409 if is_conflict else 503,
            b"",
            (
                ("Rhubarb-Refused", reason.value),
                ("Retry-After", str(RETRY_AFTER_S)),
            ),
        )

    def _respond_json(self, status: int, document: dict[str, Any]) -> None:
        content = json.dumps(document).encode()
        self._respond(status, content, (("Content-Type", "application/json"),))

    def _respond(
        self,
        status: int,
        content: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        fault: Fault = Fault.NONE,
    ) -> None:
        request_id = self._read_header("Rhubarb-Request-Id")
        if fault is Fault.SWAP_ID:
            request_id = "another-" + request_id
        lines = [
            f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}",
            f"Content-Length: {len(content)}",
            f"Standin-Digest: {xxhash.xxh3_64_hexdigest(content)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if request_id:
            lines.append(f"Rhubarb-Request-Id: {request_id}")
        rate_limit = self.server.state.mode.rate_limit
        if rate_limit:
            lines.append(f"Rhubarb-Rate-Limit: {rate_limit}")
        if status == http.HTTPStatus.NO_CONTENT:
            del lines[1]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        response = head if self.command == "HEAD" else head + content
        if fault is Fault.TRUNCATE:
            self.wfile.write(
                response[: len(response) - max(1, len(content) // 2)]
            )
            self.close_connection = True
            return
        if fault is Fault.SURPLUS:
            response += response
        self.wfile.write(response)

    def _reset(self) -> None:
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
        self.close_connection = True
        # The server shuts a connection down before closing it, which would
        # send a FIN; closing the descriptor first sends a reset.
        self.rfile.close()
        self.connection.close()

    def _read_body(self) -> bytes:
        return self.rfile.read(self._read_int("Content-Length") or 0)

    def _read_header(self, name: str) -> str:
        return self.headers.get(name) or ""

    def _read_int(self, name: str) -> int | None:
        text = self.headers.get(name)
        return int(text) if text else None

    def _read_grant(self) -> upstream_state.Grant:
        shard = self._read_int("Rhubarb-Shard")
        return upstream_state.Grant(
            shard=-1 if shard is None else shard,
            fence=self._read_int("Rhubarb-Fence") or 0,
            expires_ms=self._read_int("Rhubarb-Expires-Ms"),
            grant_id=self._read_header("Rhubarb-Grant"),
        )


def _parse_size(path: str) -> int | None:
    query = urllib.parse.urlsplit(path).query
    sizes = urllib.parse.parse_qs(query).get("bytes") if query else None
    return int(sizes[0]) if sizes else None


def _make_health(state: upstream_state.State) -> dict[str, Any]:
    report = state.report()
    return {
        "server": state.options.server,
        "incarnation": state.incarnation,
        "state": report.state,
        "clock_ms": report.clock_ms,
    }


def _make_load(state: upstream_state.State) -> dict[str, Any]:
    return {
        "in_flight": state.report().in_flight,
        "slots": state.options.slots,
        "queued": 0,
    }


def announce(state: upstream_state.State, node: str) -> None:
    """Sends one announcement; an unreachable node is ignored.

    Args:
        state: The upstream to announce.
        node: The `ip:port` of the node's HTTP server.
    """
    connection = http.client.HTTPConnection(node, timeout=ANNOUNCE_TIMEOUT_S)
    with (
        contextlib.closing(connection),
        contextlib.suppress(OSError, http.client.HTTPException),
    ):
        connection.request(
            "POST",
            "/-/announce",
            state.announce(),
            {"Content-Type": "application/json"},
        )
        connection.getresponse().read()


def _announce_repeatedly(
    state: upstream_state.State, node: str, ended: threading.Event
) -> None:
    while not ended.is_set():
        announce(state, node)
        if state.is_draining.wait(ANNOUNCE_INTERVAL_S):
            ended.wait(ANNOUNCE_INTERVAL_S)


def read_options(arguments: list[str]) -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--server", required=True)
    parser.add_argument("--ip-address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--node", default="")
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--connections", type=int, default=130)
    parser.add_argument(
        "--fenced", action=argparse.BooleanOptionalAction, default=True
    )
    parser.add_argument("--records", default="")
    parser.add_argument("--cold-ms", type=int, default=0)
    parser.add_argument("--service-ms", type=float, default=0)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Runs the stand-in until SIGTERM or SIGINT, then drains and exits."""
    options = read_options(arguments)
    state = upstream_state.State(
        options=upstream_state.Options(
            server=options.server,
            ip_address=options.ip_address,
            port=options.port,
            slots=options.slots,
            connections=options.connections,
            is_fenced=options.fenced,
            cold_ms=options.cold_ms,
            service_ms=options.service_ms,
            records=options.records,
        )
    )
    signal.signal(signal.SIGTERM, lambda *_: state.is_draining.set())
    signal.signal(signal.SIGINT, lambda *_: state.is_draining.set())
    with _Server(state=state) as server:
        _serve(server, state, options.node)
    return 0


def _serve(server: _Server, state: upstream_state.State, node: str) -> None:
    ended = threading.Event()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    if node:
        threading.Thread(
            target=_announce_repeatedly, args=(state, node, ended), daemon=True
        ).start()
    logging.info("upstream %s is serving", state.options.server)
    signals.wait_for(state.is_draining)
    time.sleep(DRAIN_LINGER_S)
    state.wait_until_idle(DRAIN_TIMEOUT_S)
    ended.set()
    if node:
        announce(state, node)
    server.shutdown()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
