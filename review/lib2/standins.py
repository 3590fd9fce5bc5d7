"""Stand-ins of the platform, its servers and clients, and router processes.

Only the standard library is used. The platform's store, the servers and the
clients run in the calling program; each router is a process of its own, started
with the command of deploy/system.toml.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "svc"
HOST = "one.example"
HEARTBEAT_MS = 870
SLOTS = 18
BOUNDS = [
    "seedLagS=3", "addressReuseS=2", "contactMs=3000", "ackTimeoutMs=4000",
    "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
    "configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000",
    "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=62",
    "recoveryS=15", "holdMaxMs=10000", "thawMs=300",
]
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ROUTE_COLUMNS = [
    "name", "host", "prefix", "type", "timeoutMs", "targetLatencyMs",
    "priority", "service", "maxAttempts",
]


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._start:8.3f} s  {text}"
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


async def read_message(reader):
    """Reads one HTTP message; returns its first line, fields and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    return lines[0], fields, body


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self, port):
        self.port = port
        self.rows = {}
        self.changes = []
        self.revision = 1
        self.is_down = False
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=1024
        )

    async def write_operator(self, key, document):
        """Writes a row of the operator; the return is its acknowledgement."""
        async with self._changed:
            self.revision += 1
            self._put("op", key, base64.b64encode(
                json.dumps(document).encode()).decode())
            self._changed.notify_all()

    def _put(self, table, key, value):
        self.rows[table, key] = (value, self.revision)
        self.changes.append((table, key, value, self.revision))

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                status, reply = 503, {}
                if not self.is_down:
                    status, reply = await self._call(method, path, query, body)
                data = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%b" % (status, len(data), data)
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _reply(self, rows, **more):
        return {
            "rows": rows,
            "revisionNumber": self.revision,
            "nowMs": time.monotonic_ns() // 1_000_000,
            **more,
        }

    def _describe(self, table, key):
        value, revision = self.rows.get((table, key), ("", 0))
        return {"table": table, "part": "", "key": key, "value": value,
                "revisionNumber": revision}

    async def _call(self, method, path, query, body):
        if (method, path) == ("POST", "/rows-tx"):
            return await self._transact(json.loads(body))
        if path == "/rows-get":
            first, end = query.get("from", ""), query.get("to")
            names = sorted(
                k for t, k in self.rows
                if t == query["table"] and k >= first
                and (end is None or k < end)
            )
            limit = min(500, int(query.get("limit", 500)))
            rows = [self._describe(query["table"], k) for k in names[:limit]]
            return 200, self._reply(rows, hasMore=len(names) > limit)
        if path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _transact(self, call):
        async with self._changed:
            expected = call.get("expect", [])
            for item in expected:
                _, revision = self.rows.get((item["table"], item["key"]), ("", 0))
                if revision != item["revisionNumber"]:
                    return 412, self._reply([
                        self._describe(i["table"], i["key"]) for i in expected])
            self.revision += 1
            for item in call.get("put", []):
                self._put(item["table"], item["key"], item["value"])
            for item in call.get("remove", []):
                self.rows.pop((item["table"], item["key"]), None)
                self.changes.append((item["table"], item["key"], None,
                                     self.revision))
            self._changed.notify_all()
            return 200, self._reply([])

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(30_000, int(query["waitMs"])) / 1_000
        async with self._changed:
            while True:
                rows = [
                    {"table": t, "part": "", "key": k, "value": v or "",
                     "revisionNumber": r, "removed": v is None}
                    for t, k, v, r in self.changes
                    if r > after and t == query["table"]
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._reply(rows)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self._changed.wait()


class Server:
    """A server of the platform without keys; sends heartbeats, runs requests.

    `work(request)` is awaited for each run and returns the body of the answer.
    """

    def __init__(self, name, node, record, work=None):
        self.name = name
        self.node = node
        self.record = record
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.work = work
        self._server = None
        self._task = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.node.ip, self.node.ports["server"], backlog=512
        )
        self._task = asyncio.create_task(self._beat())

    async def _serve(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ")
                answer = await self._answer(method, target, fields, body)
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, fields, body):
        request_id = fields.get("x-rhubarblead-request-id", "")
        head = (f"X-Rhubarblead-Instance-Id: {self.name}\r\n"
                "Keep-Alive: timeout=10\r\n")
        if target == "/health":
            return (f"HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n").encode()
        head += (f"X-Rhubarblead-Request-Id: {request_id}\r\n"
                 f"X-Rhubarblead-Server-Seal: seal.{self.name}\r\n")
        expected = fields.get("x-rhubarblead-expected-instance", self.name)
        if expected != self.name or not request_id:
            status = 421 if request_id else 400
            return (f"HTTP/1.1 {status} X\r\n{head}X-Rhubarblead-Not-Executed: 1"
                    "\r\nContent-Length: 0\r\n\r\n").encode()
        self.record(f"server {self.name} runs {request_id} ({method} {target}, "
                    f"{len(body)} bytes)")
        self.runs.append(request_id)
        content = b"done " + request_id.encode()
        if self.work is not None:
            content = await self.work(request_id, method, target, body) or content
        return (f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(content)}"
                "\r\n\r\n").encode() + content

    async def _beat(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    def make_beat(self):
        """Makes the next heartbeat."""
        self.sequence += 1
        return json.dumps({
            "address": f"{self.node.ip}:{self.node.ports['server']}",
            "born": self.born,
            "information": {"service": self.node.service, "version": "v1",
                            "zone": self.node.zone, "slots": SLOTS},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldRemainingMs": 0},
        }).encode()

    async def beat(self):
        """Sends one heartbeat; tells whether it was acknowledged."""
        body = self.make_beat()
        status, _ = await call(
            self.node.ip, self.node.ports["control"], "POST",
            f"/rpc?call=instances.heartbeat&of={self.name}",
            {"Content-Type": "application/json"}, body, 1.0,
        )
        return status == 200

    async def leave(self):
        """Drains as PROTOCOL.md says: says so, serves on, deregisters, ends."""
        self._task.cancel()
        self.state = "draining"
        await self.beat()
        await asyncio.sleep(2.2)
        await call(
            self.node.ip, self.node.ports["control"], "POST",
            f"/rpc?call=instances.deregister&of={self.name}",
            {"Content-Type": "application/json"},
            json.dumps({"born": self.born}).encode(), 1.0,
        )
        await self.stop()

    async def stop(self):
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()


async def call(ip, port, method, target, fields, body=b"", timeout_s=5.0):
    """Sends one request on a new connection; returns status and body.

    The status is 0 if the connection ended without a whole answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{head}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
            )
            if body:
                writer.write(body)
                await writer.drain()
            line, _, content = await read_message(reader)
            return int(line.split(" ")[1]), content
    except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def send_request(record, node, target, *, method="GET", body=b"",
                       deadline_ms=4_000, request_id=None):
    """Sends a client's request to a node; returns id, status and body."""
    request_id = request_id or f"{random.getrandbits(64):016x}"
    record(f"client sends {request_id} ({method} {target}, {len(body)} bytes) "
           f"to {node.name}")
    status, content = await call(
        node.ip, node.ports["outbound"], method, target,
        {"X-Rhubarblead-Request-Id": request_id,
         "X-Rhubarblead-Deadline-Ms": str(deadline_ms)},
        body, deadline_ms / 1_000 + 0.5,
    )
    result = f"{status}" if status else "no answer"
    record(f"client gets {result} for {request_id}")
    return request_id, status, content


class Node:
    """One machine: addresses, settings, and the router process on it."""

    def __init__(self, *, name, ip, ports, folder, store_port, service=SERVICE,
                 zone="ipoh", bootstrap=False, memory_mb=300):
        self.name = name
        self.ip = ip
        self.ports = ports
        self.service = service
        self.zone = zone
        self.process = None
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps({
            "nodeName": name, "role": "router", "machineClass": "sidecar",
            "serves": ["sidecar"], "ipAddress": ip, "zone": zone,
            "region": "my-central", "zones": {zone: "my-central"},
            "listenAddresses": {
                n: f"{ip}:{ports[n]}"
                for n in ("inbound", "outbound", "readiness", "control")
            },
            "internalPortRange": [ports["peers"], ports["peers"]],
            "seedNodes": [], "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": memory_mb,
                       "fileDescriptors": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDirectory": None, "heartbeatIntervalMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "own", "platform"],
            "bounds": BOUNDS, "grants": "heartbeat",
            "application": f"{ip}:{ports['server']}", "service": service,
            "platform": {
                "address": f"127.0.0.1:{store_port}", "form": "table",
                "writesPerS": 400, "readsPerS": 2000, "txMs": 4.0,
                "partWritesPerS": 250, "rowBytes": 65536, "across": True,
                "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0,
                "blobMbPerS": 80.0,
            },
        }))

    def start(self):
        """Starts the router with the command of the deploy file."""
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["RHUBARBLEAD_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "src/router_daemon.py"], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.kill()
            self.process.wait(10)

    def read_rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1_024
        return 0.0

    async def wait_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            status, _ = await call(self.ip, self.ports["readiness"], "GET",
                                   "/readiness", {}, timeout_s=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False


def find_ports(count):
    """Finds free ports below the range of outgoing connections."""
    found, held = [], []
    for port in random.SystemRandom().sample(range(12_000, 20_000), 8_000):
        item = socket.socket()
        try:
            item.bind(("0.0.0.0", port))
        except OSError:
            item.close()
            continue
        held.append(item)
        found.append(port)
        if len(found) == count:
            break
    for item in held:
        item.close()
    return found


class Site:
    """A small deployment; leaving the context ends its processes."""

    NAMES = ("inbound", "outbound", "readiness", "control", "peers", "server")

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        ports = find_ports(1 + len(self.NAMES))
        self.store = Store(ports[0])
        self.ports = dict(zip(self.NAMES, ports[1:], strict=True))
        self.subnet = random.randrange(20, 200)
        self.nodes = []
        self.servers = []
        self.version = 0

    def make_node(self, name=None, **options):
        number = len(self.nodes) + 1
        node = Node(
            name=name or f"sidecar-ipoh-{number}",
            ip=f"127.{self.subnet}.{number // 200}.{number % 200 + 1}",
            ports=self.ports, folder=self.folder, store_port=self.store.port,
            **options,
        )
        self.nodes.append(node)
        return node

    async def write_config(self, routes, services, limits=LIMITS):
        self.version += 3
        await self.store.write_operator("config", {
            "version": f"{self.version:08x}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {
                "columns": ["name", "healthCheckPath", "maxConnections",
                            "sharded"],
                "rows": services,
            },
            "limits": limits,
        })
        self.record(f"the store acknowledges desired state {self.version:08x}")

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for server in self.servers:
            await server.stop()
        for node in self.nodes:
            node.end()
        shutil.rmtree(self.folder, ignore_errors=True)
