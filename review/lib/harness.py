"""Runs a small deployment on loopback for the cases of this review.

The routers are the project's own processes, started with the command of the
deploy file. The store, the servers with keys and the clients are stand-ins that
live in this process; they need nothing besides the standard library and the
project's own `tools.standins` (rows and held keys).
"""

import contextlib
import hashlib
import http
import http.client
import http.server
import json
import os
import pathlib
import random
import select
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

from tools.standins import exchange
from tools.standins import held_keys
from tools.standins import row_calls

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "one.example"
BEAT_MS = 870
HOLD_MAX_MS = 10_000
BOUNDS = [
    "seedLagS=3", "addressReuseS=2", "contactMs=3000", "ackTimeoutMs=4000",
    "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
    "configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000",
    "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=62",
    "recoveryS=15", "holdMaxMs=10000", "thawMs=300",
]
ZONES = ("ipoh", "tanah-rata", "bentong", "rawang")
LINGER_RESET = struct.pack("ii", 1, 0)
PREFIX = "X-Rhubarblead-"


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


def now_ms():
    """A steady clock that all threads of the case share."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) / 1e6


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start = now_ms()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{now_ms() - self._start:9.1f} ms  {text}\n")
            self._file.flush()


class Fault:
    """What a store link does with calls; see `Store`."""

    def __init__(self):
        self.decide = None  # (node, method, path, body) -> None | str


class _ThreadingServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def server_bind(self):
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Store:
    """The platform's store; each node reaches it at an address of its own.

    `decide` names for a call what becomes of it: None serves it, "lost" serves
    it and loses the answer, "drop" does nothing and gives no answer, and a
    number serves it so many seconds later.
    """

    def __init__(self, record):
        self.rows = row_calls.RowCalls()
        self.record = record
        self.decide = lambda node, method, path, body: None
        self._servers = []

    def listen(self, node, ip, port):
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                body = self.rfile.read(
                    int(self.headers.get("Content-Length", "0"))
                )
                path, _, query = self.path.partition("?")
                what = store.decide(node, self.command, self.path, body)
                if what == "drop":
                    time.sleep(30)
                    self.close_connection = True
                    return
                if isinstance(what, float):
                    time.sleep(what)
                reply = store.rows.serve(
                    exchange.Request(
                        method=self.command,
                        path=path,
                        query=dict(urllib.parse.parse_qsl(query)),
                        instance="",
                        known_revision="",
                        body=body,
                    )
                )
                if what == "lost":
                    self.close_connection = True
                    time.sleep(30)
                    return
                time.sleep(0.004)
                self.send_response(int(reply.status))
                self.send_header("Content-Length", str(len(reply.body)))
                self.end_headers()
                self.wfile.write(reply.body)

            do_POST = do_PUT = do_DELETE = do_GET

        server = _ThreadingServer((ip, port), Handler)
        self._servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def apply_config(self, version, services, routes, limits=None):
        document = {
            "version": f"{version:08x}",
            "routes": {
                "columns": [
                    "name", "host", "prefix", "type", "timeoutMs",
                    "targetLatencyMs", "priority", "service", "maxAttempts",
                ],
                "rows": routes,
            },
            "services": {
                "columns": ["name", "maxConnections", "sharded",
                            "healthCheckPath"],
                "rows": services,
            },
            "limits": limits
            or {
                "maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
        }
        self.rows.write_operator("config", json.dumps(document).encode())
        self.record(f"operator: version {version} acknowledged")


def make_body(request_id, size):
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (digest * (size // len(digest) + 1))[:size]


class AppServer:
    """One of the platform's servers, with heartbeats and, maybe, keys."""

    def __init__(self, *, record, server_id, ip, port, control, service, zone,
                 slots=18, sharded=False, beat_ms=BEAT_MS):
        self.record = record
        self.id = server_id
        self.ip, self.port = ip, port
        self.control, self.service, self.zone = control, service, zone
        self.slots, self.sharded = slots, sharded
        self.beat_s = beat_ms / 1000
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.keys = held_keys.HeldKeys()
        self.is_draining = False
        self.runs = []
        self.holds = []  # (from_ms, until_ms, [(first, last, fence)])
        self.delay_beat = lambda sequence: 0.0  # seconds on the way
        self.must_shed = lambda: False
        # Whether an extra copy of an answer follows late: where the next
        # answer on the connection is expected.
        self.has_extra = lambda request_id, status: False
        self._sequence = 0
        self._slots = threading.Semaphore(slots)
        self._running = 0
        self._ended = threading.Event()
        self._server = _ThreadingServer((ip, port), self._make_handler())
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._beat, daemon=True),
        ]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def close(self):
        self._ended.set()
        self._server.shutdown()
        self._server.server_close()

    # Heartbeats.

    def _make_beat(self):
        with self.lock:
            self._sequence += 1
            released = self.keys.take_ready_releases()
            held = self.keys.list_reported(now_ms())
            body = {
                "address": f"{self.ip}:{self.port}",
                "born": self.born,
                "information": {
                    "service": self.service, "version": "v1",
                    "zone": self.zone, "slots": self.slots,
                },
                "status": {
                    "state": "draining" if self.is_draining else "ready",
                    "sequence": self._sequence, "coldRemainingMs": 0,
                },
                "holds": [[h.first, h.last, h.fence] for h in held],
                "freed": [[h.first, h.last, token] for h, token in released],
            }
        return body, released

    def _beat(self):
        while not self._ended.is_set():
            body, released = self._make_beat()
            sent_at = now_ms()
            delay_s = self.delay_beat(body["status"]["sequence"])
            reply = None
            if delay_s:
                # It is on the way for so long; the server waits one second.
                threading.Timer(
                    delay_s, call_control,
                    (self.control, self.id, "heartbeat", body),
                ).start()
                self.record(f"{self.id}: heartbeat {self._sequence} is on the"
                            f" way for {delay_s} s")
                self._ended.wait(1.0)
            else:
                reply = call_control(self.control, self.id, "heartbeat", body)
            if reply is None:
                with self.lock:
                    self.keys.restore_releases(released)
            elif "holds" in reply:
                with self.lock:
                    self.keys.apply_grants(
                        reply["holds"], reply["holdMs"], sent_at
                    )
                    self.holds.append((
                        now_ms(), sent_at + reply["holdMs"],
                        [tuple(r[:3]) for r in reply["holds"]],
                    ))
                self.record(
                    f"{self.id}: granted {len(reply['holds'])} ranges for"
                    f" {reply['holdMs']} ms"
                    f" {[tuple(r[:3]) for r in reply['holds']][:6]}"
                )
            pause_s = 0.1 if self.keys.is_releasing else self.beat_s
            if reply is not None or not delay_s:
                self._ended.wait(pause_s)

    def list_held(self, at_ms=None):
        """The ranges that the server holds, by its own, exact clock."""
        at_ms = now_ms() if at_ms is None else at_ms
        with self.lock:
            if not self.holds:
                return []
            _, until, ranges = self.holds[-1]
            return ranges if at_ms < until else []

    # Requests.

    def _make_handler(self):
        app = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                body = self.rfile.read(
                    int(self.headers.get("Content-Length", "0"))
                )
                app.serve(self, body)

            do_POST = do_PUT = do_DELETE = do_GET

        return Handler

    def respond(self, handler, status, body, not_executed=False):
        request_id = handler.headers.get(PREFIX + "Request-Id", "")
        status = http.HTTPStatus(status)
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            f"Content-Length: {len(body)}",
            f"{PREFIX}Instance-Id: {self.id}",
            "Keep-Alive: timeout=10",
        ]
        if request_id:
            lines.append(f"{PREFIX}Request-Id: {request_id}")
            lines.append(f"{PREFIX}Server-Seal: {self.id}.{status.value}")
        if not_executed:
            lines.append(f"{PREFIX}Not-Executed: 1")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        if request_id and self.has_extra(request_id, status):
            handler.extra = data
            self.record(f"{self.id}: an extra answer to {request_id} is to"
                        " follow late")
        handler.wfile.write(data)

    def serve(self, handler, body):
        headers = handler.headers
        extra, handler.extra = getattr(handler, "extra", b""), b""
        if extra:
            handler.wfile.write(extra)
        if handler.path == "/health":
            self.respond(handler, 200, b"")
            return
        request_id = headers.get(PREFIX + "Request-Id", "")
        expected = headers.get(PREFIX + "Expected-Instance")
        if expected not in (None, self.id):
            self.respond(handler, 421, b"", not_executed=True)
            return
        if not request_id:
            self.respond(handler, 400, b"", not_executed=True)
            return
        if self.must_shed():
            self.record(f"{self.id}: rejects {request_id}")
            self.respond(handler, 503, b"", not_executed=True)
            return
        key = headers.get(PREFIX + "Shard-Key")
        if self.sharded and not (
            key and any(a <= int(key) <= b for a, b, _ in self.list_held())
        ):
            self.respond(handler, 421, b"", not_executed=True)
            return
        arrived = now_ms()
        deadline = arrived + float(headers.get(PREFIX + "Deadline-Ms", "30000"))
        with self._slots:
            run = {
                "id": request_id, "server": self.id, "begin": now_ms(),
                "end": None, "result": "running", "key": key,
                "path": handler.path,
            }
            with self.lock:
                self.runs.append(run)
                if key:
                    self.keys.begin(request_id, int(key))
            self.record(f"{self.id}: begins {request_id}")
            work_ms = float(headers.get("X-Work-Ms", "50"))
            result = self._work(handler, min(run["begin"] + work_ms, deadline))
            if result == "done" and now_ms() >= deadline:
                result = "late"
            run["end"], run["result"] = now_ms(), result
            with self.lock:
                if key:
                    self.keys.end(request_id)
        self.record(f"{self.id}: ends {request_id}: {result}")
        if result == "dropped":
            handler.close_connection = True
            return
        size = int(headers.get("X-Body-Bytes", "400"))
        status = 504 if result == "late" else 200
        self.respond(handler, status, make_body(request_id, size))

    def _work(self, handler, until_ms):
        """Works until a time; ends early if the connection closes."""
        while (left_s := (until_ms - now_ms()) / 1000) > 0:
            ready, _, _ = select.select(
                [handler.connection], [], [], min(left_s, 0.02)
            )
            if ready:
                with contextlib.suppress(OSError):
                    if handler.connection.recv(1, socket.MSG_PEEK):
                        time.sleep(min(left_s, 0.02))
                        continue
                return "dropped"
        return "done"


def call_control(control, server_id, name, body, timeout=1.0):
    ip, _, port = control.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(
            "POST", f"/rpc?call=instances.{name}&of={server_id}",
            json.dumps(body), {"Content-Type": "application/json"},
        )
        response = connection.getresponse()
        content = response.read()
        if response.status != 200 or len(content) > 4096:
            return None
        return json.loads(content or b"{}")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Node:
    """A machine: its router and the addresses of both processes."""

    def __init__(self, *, case, number, service, ip, ports, zone):
        self.case = case
        self.name = f"sidecar-{zone}-{number}"
        self.ip, self.ports, self.zone = ip, ports, zone
        self.service = service
        self.child = None
        self.path = case.folder / f"settings-{number}.json"
        self.log = case.folder / f"router-{number}.log"
        self.bootstrap = True

    @property
    def control(self):
        return f"{self.ip}:{self.ports['control']}"

    def write_settings(self):
        ports = self.ports
        address = lambda name: f"{self.ip}:{ports[name]}"
        self.path.write_text(json.dumps({
            "nodeName": self.name, "role": "router", "machineClass": "sidecar",
            "serves": ["sidecar"], "ipAddress": self.ip, "zone": self.zone,
            "region": "my-central",
            "zones": {zone: "my-central" for zone in ZONES},
            "listenAddresses": {
                name: address(name)
                for name in ("inbound", "outbound", "readiness", "control")
            },
            "internalPortRange": [ports["internal"], ports["internal"] + 3],
            "seedNodes": [], "bootstrap": self.bootstrap,
            "countedInTolerance": False,
            "limits": {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": 300,
                       "fileDescriptors": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDirectory": None, "discovery": "static", "entry": "static",
            "heartbeatIntervalMs": BEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "own", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "grants": "heartbeat",
            "application": address("application"), "service": self.service,
            "platform": {
                "address": address("store"), "form": "table",
                "writesPerS": 400, "readsPerS": 2000, "txMs": 4.0,
                "partWritesPerS": 250, "rowBytes": 65536, "across": True,
                "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0,
                "blobMbPerS": 80.0,
            },
        }))

    def start(self):
        """Starts the router with the command of the deploy file."""
        self.write_settings()
        self.bootstrap = False
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                ["python3", "src/router_daemon.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "RHUBARBLEAD_NODE_FILE": str(self.path),
                },
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.case.record(f"{self.name}: router started")

    def signal(self, number):
        self.case.record(f"{self.name}: {signal.Signals(number).name}")
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def is_ready(self):
        connection = http.client.HTTPConnection(
            self.ip, self.ports["readiness"], timeout=1
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Case:
    """A deployment of some machines; leaving the context ends everything."""

    def __init__(self, folder, services, *, sharded=(), record=None):
        """`services` names the service of each machine, in order."""
        self.out = pathlib.Path(folder)
        self.record = record or Record(self.out)
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.store = Store(self.record)
        self.sharded = set(sharded)
        names = ("inbound", "outbound", "readiness", "control", "application",
                 "store", "internal")
        subnet = random.SystemRandom().randrange(20, 250)
        ips = [f"127.7.{subnet}.{n + 1}" for n in range(len(services))]
        ports = dict(zip(names, self._find_ports(ips, len(names)), strict=True))
        self.nodes = [
            Node(case=self, number=number + 1, service=service, ip=ip,
                 ports=ports, zone=ZONES[number % len(ZONES)])
            for number, (service, ip) in enumerate(
                zip(services, ips, strict=True)
            )
        ]
        self.servers = []

    @staticmethod
    def _find_ports(ips, count):
        ports = random.SystemRandom().sample(range(12_000, 20_000, 10), 200)
        found = []
        for port in ports:
            with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
                for ip in ips:
                    for offset in range(4):
                        item = stack.enter_context(socket.socket())
                        item.bind((ip, port + offset))
                found.append(port)
            if len(found) == count:
                return found
        raise CannotRun("no free ports")

    def __enter__(self):
        for node in self.nodes:
            self.store.listen(node.name, node.ip, node.ports["store"])
        return self

    def configure(self, routes, version=1):
        """Writes a version; `routes` are (name, prefix, type, ms, service)."""
        names = dict.fromkeys(node.service for node in self.nodes)
        self.store.apply_config(
            version,
            [[name, 130, name in self.sharded, "/health"] for name in names],
            [
                [name, HOST, prefix, kind, timeout_ms, 600, 1, service, 3]
                for name, prefix, kind, timeout_ms, service in routes
            ],
        )

    def start(self):
        for number, node in enumerate(self.nodes):
            node.start()
            self.servers.append(
                AppServer(
                    record=self.record, server_id=f"i-{number + 1}", ip=node.ip,
                    port=node.ports["application"], control=node.control,
                    service=node.service, zone=node.zone,
                    sharded=node.service in self.sharded,
                ).start()
            )
        self.wait_for(lambda: all(n.is_ready() for n in self.nodes), 30)

    def wait_for(self, is_done, timeout_s):
        until = time.monotonic() + timeout_s
        while not is_done():
            if time.monotonic() > until:
                raise CannotRun("a step was not reached in time")
            time.sleep(0.02)

    def wait_for_keys(self, timeout_s=40):
        """Waits until the servers of sharded services hold all keys."""

        def has_all():
            for service in self.sharded:
                count = sum(
                    last - first + 1
                    for server in self.servers
                    if server.service == service
                    for first, last, _ in server.list_held()
                )
                if count != 65_536:
                    return False
            return True

        self.wait_for(has_all, timeout_s)

    def __exit__(self, *_):
        for node in self.nodes:
            if node.child is not None and node.child.poll() is None:
                node.child.kill()
                node.child.wait()
        for server in self.servers:
            with contextlib.suppress(Exception):
                server.close()
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                if node.log.exists():
                    target = pathlib.Path(os.environ["KEEP_LOGS"])
                    target.mkdir(exist_ok=True, parents=True)
                    (target / node.log.name).write_bytes(node.log.read_bytes())
        self._stack.close()


# Clients.


def encode_request(method, path, request_id, deadline_ms, *, headers=(),
                   body=b""):
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}",
        f"{PREFIX}Request-Id: {request_id}",
        f"{PREFIX}Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answers(sock, timeout_s):
    """Reads answers until the connection ends; returns them and its end.

    Each answer is (status, fields, body, is_complete).
    """
    data, end = b"", "timeout"
    until = time.monotonic() + timeout_s
    while (left_s := until - time.monotonic()) > 0:
        sock.settimeout(left_s)
        try:
            part = sock.recv(65_536)
        except TimeoutError:
            break
        except OSError as error:
            end = type(error).__name__
            break
        if not part:
            end = "closed"
            break
        data += part
    return parse_answers(data), end


def parse_answers(data):
    answers = []
    while data:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if not separator:
            answers.append((0, {}, data, False))
            break
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        answers.append((status, fields, rest[:length], len(rest) >= length))
        data = rest[length:]
    return answers


def call(node, method, path, request_id, deadline_ms, *, headers=(), body=b"",
         timeout_s=None):
    """Sends one request on a new connection; returns (status, fields, body).

    The status is 0 if the connection ended without a complete answer.
    """
    try:
        with socket.create_connection(
            (node.ip, node.ports["outbound"]), timeout=1.0,
            source_address=(node.ip, 0),
        ) as sock:
            sock.sendall(
                encode_request(method, path, request_id, deadline_ms,
                               headers=headers, body=body)
            )
            sock.settimeout(timeout_s or deadline_ms / 1000 + 1)
            data = b""
            while True:
                answers = parse_answers(data)
                if answers and answers[0][3]:
                    status, fields, content, _ = answers[0]
                    return status, fields, content
                part = sock.recv(65_536)
                if not part:
                    return 0, {}, data
                data += part
    except OSError as error:
        return 0, {}, type(error).__name__.encode()


def _end(*_):
    """Ends the case with its processes; a second signal must not stop that."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


def run(folder, main):
    """Runs a case, and exits as the issue asks."""
    folder = pathlib.Path(folder).resolve().parent
    signal.signal(signal.SIGTERM, _end)
    try:
        is_broken = main(folder)
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)


# Judging which servers hold which keys.


class HoldWatch:
    """Watches the rule OWNER: who holds which keys, and with which numbers.

    `longest_ms` is the longest time for which two servers held the same keys,
    `low` lists the keys that a server took with a generation number that wasn't
    above all with which other servers had had them.
    """

    def __init__(self, case):
        self._case = case
        self._ended = threading.Event()
        self.longest_ms = 0.0
        self.example = ""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        since = {}
        while not self._ended.wait(0.01):
            now = now_ms()
            lists = [(s.id, s.list_held(now)) for s in self._case.servers]
            found = {}
            for index, (one, held) in enumerate(lists):
                for other, others in lists[:index]:
                    for a, b, f in held:
                        for c, d, g in others:
                            if max(a, c) <= min(b, d):
                                found.setdefault(
                                    (one, other),
                                    f"{one} ({f}) and {other} ({g}) hold"
                                    f" {max(a, c)}-{min(b, d)}",
                                )
            since = {pair: since.get(pair, now) for pair in found}
            for pair, began in since.items():
                if now - began > self.longest_ms:
                    self.longest_ms = now - began
                    self.example = found[pair]

    def is_broken(self):
        """Tells whether the rule was broken so far."""
        return self.longest_ms > 500 or bool(self._find_low())

    def end(self):
        """Ends the watch; returns whether the rule was broken."""
        self._ended.set()
        self._thread.join()
        low = self._find_low()
        record = self._case.record
        record(f"OWNER: two servers held the same keys for"
               f" {self.longest_ms:.0f} ms at most {self.example}")
        for line in low[:5]:
            record("OWNER: " + line)
        record(f"OWNER: {len(low)} ranges were taken with a generation number"
               " that another server had already reached")
        return bool(low) or self.longest_ms > 500

    def _find_low(self):
        grants = sorted(
            (at, s.id, until, ranges)
            for s in self._case.servers
            for at, until, ranges in s.holds
        )
        # Highest number and its server for each key.
        highest, owner = [0] * 65_536, [""] * 65_536
        held, low = {}, []
        for at, name, until, ranges in grants:
            last_until, last_ranges = held.get(name, (0, ()))
            kept = set(last_ranges) if at < last_until else set()
            for a, b, f in ranges:
                if (a, b, f) not in kept:
                    for key in range(a, b + 1):
                        if owner[key] not in ("", name) and f <= highest[key]:
                            low.append(
                                f"{name} took {a}-{b} with {f}; {owner[key]}"
                                f" had {key} with {highest[key]}"
                            )
                            break
                for key in range(a, b + 1):
                    if f >= highest[key]:
                        highest[key], owner[key] = f, name
            held[name] = (until, ranges)
        return low
