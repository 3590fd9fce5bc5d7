"""A small deployment on loopback: the project's routers, and stand-ins.

The store, the servers and the clients are stand-ins of this file, written from
the users' pages (PROTOCOL.md). They run in one event loop; the routers are
separate processes, started by the command of the deploy file. Only the
standard library is used.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BEAT_S = 0.87
ID = "x-rhubarblead-request-id"
HOST = "one.example"
BOUNDS = [
    "seedLagS=3", "addressReuseS=2", "contactMs=3000", "ackTimeoutMs=4000",
    "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
    "configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000",
    "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=62",
    "recoveryS=15", "holdMaxMs=10000", "thawMs=300",
]
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
}
COLUMNS = [
    "name", "host", "prefix", "type", "timeoutMs", "targetLatencyMs",
    "priority", "service", "maxAttempts", "trafficSplit",
]
SERVICE_COLUMNS = [
    "name", "healthCheckPath", "maxConnections", "protocol", "tls", "sharded",
    "warmS", "grants",
]


class CannotRun(Exception):
    """The deployment didn't come up; the case says nothing."""


def find_ports(count):
    """Finds free ports below the range of the system's own choice."""
    held, found = [], []
    try:
        while len(found) < count:
            port = 12_000 + secrets.randbelow(18_000)
            item = socket.socket()
            held.append(item)
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
    finally:
        for item in held:
            item.close()
    return found


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.started_s

    def write(self, *words):
        line = " ".join(str(word) for word in words)
        print(f"{self.now():8.3f} {line}", file=self._file, flush=True)


async def read_head(reader):
    """Reads a start line and the fields; None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def encode_response(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows, conditions and the feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.revision = 0
        self.log = []
        self.changed = asyncio.Event()
        self.mode = "ok"
        self.calls = 0
        self.on_tx = None
        self._started_s = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self._started_s) * 1000) + 1000

    def put(self, table, key, value):
        """Writes a row as the operator does."""
        self._apply([(table, "", key, value)], [])
        return self.revision

    def _apply(self, puts, removes):
        self.revision += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.revision)
            self.log.append((self.revision, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None):
                self.log.append((self.revision, table, part, key, None))
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    async def serve(self, ip, port):
        self.server = await asyncio.start_server(self._handle, ip, port)

    async def _handle(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                self.calls += 1
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "busy":
                    writer.write(encode_response(503, {}))
                    continue
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                status, answer = await self._answer(method, target, body)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                writer.write(
                    encode_response(
                        status,
                        {"content-type": "application/json"},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    def _describe(self, key3, value, revision):
        table, part, key = key3
        if value is None:
            return {"table": table, "part": part, "key": key,
                    "revisionNumber": revision, "removed": True}
        return {"table": table, "part": part, "key": key,
                "value": base64.b64encode(value).decode(),
                "revisionNumber": revision}

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            await asyncio.sleep(0.004)
            call = json.loads(body)
            if self.on_tx is not None:
                await self.on_tx(call)
            return self._transact(call)
        if path == "/rows-get":
            await asyncio.sleep(0.004)
            found = sorted(
                k for k in self.rows
                if k[:2] == (args["table"], args.get("part", ""))
                and k[2] >= args.get("from", "")
                and ("to" not in args or k[2] < args["to"])
            )
            return 200, {
                "rows": [self._describe(k, *self.rows[k]) for k in found[:500]],
                "hasMore": len(found) > 500,
                "revisionNumber": self.revision, "nowMs": self.now_ms()}
        if path == "/rows-feed":
            due_s = time.monotonic() + int(args.get("waitMs", 0)) / 1000
            while True:
                rows = [
                    self._describe((t, p, k), v, r)
                    for r, t, p, k, v in self.log
                    if t == args["table"] and r > int(args["after"])
                ]
                left_s = due_s - time.monotonic()
                if rows or left_s <= 0:
                    return 200, {
                        "rows": rows, "revisionNumber": self.revision,
                        "hasMore": False, "nowMs": self.now_ms()}
                try:
                    async with asyncio.timeout(left_s):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        return 404, {}

    def _transact(self, call):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        for row in call.get("expect", []):
            present = self.rows.get(name(row), (None, 0))[1]
            if present != row["revisionNumber"]:
                rows = [
                    self._describe(name(r), *self.rows[name(r)])
                    if name(r) in self.rows
                    else {"table": name(r)[0], "part": name(r)[1],
                          "key": name(r)[2], "value": "", "revisionNumber": 0}
                    for r in call["expect"]
                ]
                return 412, {"rows": rows, "revisionNumber": self.revision,
                             "nowMs": self.now_ms()}
        self._apply(
            [(*name(r), base64.b64decode(r["value"])) for r in call.get("put", [])],
            [name(r) for r in call.get("remove", [])],
        )
        return 200, {"revisionNumber": self.revision, "nowMs": self.now_ms()}


class AppServer:
    """One application server: runs requests within its slots, sends beats."""

    def __init__(self, *, node, record, slots=8, run_s=0.05, keyed=False):
        self.node = node
        self.record = record
        self.slots = slots
        self.run_s = run_s
        self.keyed = keyed
        self.running = {}
        self.runs = []
        self.state = "ready"
        self.id = ""
        self.held = []
        self.hold_ends_s = 0.0
        self.freed = []
        self.pauses_beats = False
        self.on_request = None
        self.headers = {}
        self.connections = set()
        self.acked_draining_s = None
        self._server = None
        self._beats = None

    async def start(self):
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.held, self.freed = [], []
        self._server = await asyncio.start_server(
            self._handle, self.node.ip, self.node.ports["server"], limit=2**20
        )
        self._beats = asyncio.create_task(self._send_beats())

    async def stop(self):
        """Ends as a crash does: nothing is said, connections are reset."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def holds(self, key):
        return time.monotonic() < self.hold_ends_s and any(
            first <= key <= last for first, last, _ in self.held
        )

    async def _handle(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self._handle_one(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _handle_one(self, head, body, reader, writer):
        method, target, _ = head[0].split(" ")
        fields = head[1]
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(
                encode_response(
                    status, {"X-Rhubarblead-Instance-Id": self.id}))
            return True
        request_id = fields.get(ID, "")
        echo = {"X-Rhubarblead-Request-Id": request_id}
        expected = fields.get("x-rhubarblead-expected-instance", self.id)
        key = fields.get("x-rhubarblead-shard-key")
        reason = 0
        if expected != self.id:
            reason = 421
        elif self.keyed and (key is None or not self.holds(int(key))):
            reason = 421
        elif not request_id:
            reason = 400
        elif len(self.running) >= self.slots:
            reason = 503
        self.record.write(
            "ARRIVES", request_id, "at", self.node.name, self.id, method,
            target, "deadline", fields.get("x-rhubarblead-deadline-ms"),
            "body", len(body), hashlib.sha256(body).hexdigest()[:12],
            f"refused {reason}" if reason else "")
        if reason:
            writer.write(
                encode_response(
                    reason, {**echo, "X-Rhubarblead-Not-Executed": "1"}))
            return True
        run = {"id": request_id, "begin": time.monotonic(), "end": None,
               "how": "", "node": self.node.name, "target": target,
               "fields": fields, "body": body, "method": method}
        self.runs.append(run)
        self.running[request_id] = run
        run_s = self.run_s
        deadline_s = int(fields.get("x-rhubarblead-deadline-ms", 30000)) / 1000
        # A server drops a request when its connection closes.
        eof = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(asyncio.sleep(min(run_s, deadline_s)))
        done, _ = await asyncio.wait(
            {eof, work}, return_when=asyncio.FIRST_COMPLETED)
        self.running.pop(request_id, None)
        run["end"] = time.monotonic()
        if work not in done:
            work.cancel()
            run["how"] = "dropped"
            self.record.write("DROPPED", request_id, "at", self.node.name)
            return False
        eof.cancel()
        try:
            await eof
        except (asyncio.CancelledError, ConnectionError):
            pass
        run["how"] = "ran"
        status = 200 if run_s <= deadline_s else 504
        answer = make_body(request_id)
        self.record.write("RAN", request_id, "at", self.node.name, status)
        writer.write(
            encode_response(
                status,
                {**echo, "X-Rhubarblead-Server-Seal": f"{self.id}.{request_id}",
                 "Keep-Alive": "timeout=10", **self.headers},
                answer))
        await writer.drain()
        return True

    async def _send_beats(self):
        while True:
            delay_s = BEAT_S
            if not self.pauses_beats:
                delay_s = await self.beat()
            await asyncio.sleep(delay_s)

    async def beat(self):
        self.sequence += 1
        now_s = time.monotonic()
        if now_s >= self.hold_ends_s:
            self.held = []
        content = {
            "address": f"{self.node.ip}:{self.node.ports['server']}",
            "born": self.born,
            "information": {"service": self.node.service, "version": "v1",
                            "zone": self.node.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldRemainingMs": 0},
        }
        freed = list(self.freed)
        if self.keyed:
            content["holds"] = [list(item) for item in self.held]
            content["freed"] = freed
        status, body = await self.call(
            f"/rpc?call=instances.heartbeat&of={self.id}", content)
        if status // 100 != 2:
            return BEAT_S
        if content["status"]["state"] == "draining" and not self.acked_draining_s:
            self.acked_draining_s = time.monotonic()
            self.record.write("ACK draining", self.id)
        self.freed = self.freed[len(freed):]
        answer = json.loads(body or b"{}")
        if not self.keyed or "holds" not in answer:
            return BEAT_S
        granted = [(f, l, g) for f, l, g, _ in answer["holds"]]
        has_freed = False
        for item in self.held:
            if item not in granted:
                self.freed.append([item[0], item[1], secrets.token_hex(8)])
                has_freed = True
        if set(granted) != set(self.held):
            self.record.write("HOLDS", self.id, "at", self.node.name, granted)
        self.held = granted
        self.hold_ends_s = now_s + answer["holdMs"] / 1000
        return 0.1 if has_freed else BEAT_S

    async def deregister(self):
        return await self.call(
            f"/rpc?call=instances.deregister&of={self.id}", {"born": self.born})

    async def call(self, target, content):
        body = json.dumps(content).encode()
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.node.ip, self.node.ports["control"])
                try:
                    writer.write(
                        f"POST {target} HTTP/1.1\r\nHost: c\r\nContent-Type: "
                        "application/json\r\nContent-Length: "
                        f"{len(body)}\r\nConnection: close\r\n\r\n".encode()
                        + body)
                    head = await read_head(reader)
                    if head is None:
                        return 0, b""
                    answer = await read_body(reader, head[1])
                    return int(head[0].split(" ")[1]), answer
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""


def make_body(request_id):
    """Makes the answer to a request, which differs for each."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 8


class Node:
    """One machine: its address, its router process and its server."""

    def __init__(self, world, number, service, zone, **server):
        self.name = f"n{number + 1}"
        self.ip = f"127.0.{world.subnet}.{number + 1}"
        self.service = service
        self.zone = zone
        self.world = world
        self.ports = world.ports
        self.process = None
        self.memory_mb = world.memory_mb
        self.peak_mb = 0.0
        self.over_limit = 0
        self.settings = world.folder / f"{self.name}.json"
        self.server = AppServer(node=self, record=world.record, **server)

    def start(self, bootstrap=False):
        ports, ip = self.ports, self.ip
        self.settings.write_text(json.dumps({
            "nodeName": self.name, "role": "router", "machineClass": "sidecar",
            "serves": ["sidecar"], "ipAddress": ip, "zone": self.zone,
            "region": "r", "zones": {z: "r" for z in "abc"},
            "listenAddresses": {
                "inbound": f"{ip}:{ports['inbound']}",
                "outbound": f"{ip}:{ports['outbound']}",
                "readiness": f"{ip}:{ports['readiness']}",
                "control": f"{ip}:{ports['control']}"},
            "internalPortRange": [ports["peers"], ports["peers"] + 15],
            "seedNodes": [], "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.86, "cpuCores": 1,
                       "memoryMb": self.memory_mb, "fileDescriptors": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatIntervalMs": int(BEAT_S * 1000), "bounds": BOUNDS,
            "grants": "heartbeat",
            "application": f"{ip}:{ports['server']}", "service": self.service,
            "platform": {"address": f"127.0.{self.world.subnet}.250:{ports['store']}",
                         "form": "table", "writesPerS": 400, "readsPerS": 2000,
                         "txMs": 4.0, "partWritesPerS": 250, "rowBytes": 65536,
                         "across": True, "historyS": 20},
        }))
        command = self.world.command
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8", "PYTHONDONTWRITEBYTECODE": "1",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "RHUBARBLEAD_NODE_FILE": str(self.settings)})

    def read_memory(self):
        """Reads the largest resident memory of the process so far, in MB.

        Pages of files (programs and libraries) are left out.
        """
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            values = {
                line.split(":")[0]: int(line.split()[1])
                for line in text.splitlines() if line.endswith(" kB")}
            return (values["VmHWM"] - values["RssFile"]) / 1024
        except (OSError, KeyError, ValueError):
            return 0.0

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def read_log(self):
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")

    async def is_ready(self):
        answer = await get(self.ip, self.ports["readiness"], "/readiness")
        return answer == 200


RESTART_S = 1.0


async def keep_memory_limit(world):
    """Does what the platform does: ends processes that take up too much.

    DEPLOY.md: "A process that exceeds `memoryMb` is killed", and one that is
    killed "is restarted after a short delay".
    """

    async def restart(node):
        await asyncio.sleep(RESTART_S)
        node.start()

    restarts = set()
    while True:
        for node in world.nodes:
            if node.process.poll() is not None:
                continue
            memory_mb = node.read_memory()
            node.peak_mb = max(node.peak_mb, memory_mb)
            if memory_mb > node.memory_mb:
                node.over_limit += 1
                world.record.write(
                    "OVER THE LIMIT", node.name, f"{memory_mb:.0f} MB, allowed",
                    node.memory_mb, "- killed")
                node.process.kill()
                node.process.wait()
                restarts.add(asyncio.create_task(restart(node)))
        await asyncio.sleep(0.003)


async def get(ip, port, path):
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await read_head(reader)
            writer.close()
            return int(head[0].split(" ")[1]) if head else 0
    except (OSError, TimeoutError):
        return 0


def make_request(request_id, *, method="GET", path="/read/x", deadline_ms=4000,
                 body=b"", key=None, extra=""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"X-Rhubarblead-Request-Id: {request_id}",
             f"X-Rhubarblead-Deadline-Ms: {deadline_ms}"]
    if key is not None:
        lines.append(f"X-Rhubarblead-Shard-Key: {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode() + body


async def ask(world, node, request_id, *, timeout_s=6.0, **request):
    """Sends one request on a new connection; returns status and body."""
    world.record.write("SENDS", request_id, "to", node.name,
                       request.get("method", "GET"), request.get("path", ""))
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                node.ip, node.ports["outbound"], limit=2**20)
            try:
                writer.write(make_request(request_id, **request))
                head = await read_head(reader)
                if head is None:
                    result = (0, {}, b"")
                else:
                    body = await read_body(reader, head[1])
                    result = (int(head[0].split(" ")[1]), head[1], body)
            finally:
                writer.close()
    except TimeoutError:
        result = (-1, {}, b"")
    except (OSError, asyncio.IncompleteReadError):
        result = (0, {}, b"")
    world.record.write("ANSWERED", request_id, result[0])
    return result


class World:
    """The whole deployment."""

    def __init__(self, folder, *, subnet=None, memory_mb=300, routes=None,
                 services=None):
        self.out = pathlib.Path(folder)
        self.subnet = subnet or 20 + secrets.randbelow(200)
        self.memory_mb = memory_mb
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        names = ("inbound", "outbound", "readiness", "control", "server",
                 "store", "peers")
        self.ports = dict(zip(names, find_ports(len(names))))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["router"]["run"].split(" ")
        self.store = Store(self.record)
        self.nodes = []
        self.version = 0
        self.routes = routes or [
            ["read", HOST, "/read/", "safe", 4000, 600, 1, "s", 2, None],
            ["write", HOST, "/write/", "unsafe", 4000, 800, 1, "s", 2, None],
        ]
        self.services = services or [
            ["s", "/health", 130, "h1", False, None, None, None]]
        self.limits = dict(LIMITS)

    def add(self, count, service="s", **server):
        for _ in range(count):
            number = len(self.nodes)
            self.nodes.append(
                Node(self, number, service, "abc"[number % 3], **server))

    def configure(self):
        self.version += 3
        document = {
            "version": f"{self.version:08x}",
            "routes": {"columns": COLUMNS, "rows": self.routes},
            "services": {"columns": SERVICE_COLUMNS, "rows": self.services},
            "limits": self.limits}
        self.record.write("CONFIG", f"{self.version:08x}")
        return self.store.put("op", "config", json.dumps(document).encode())

    async def start(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("the build of the deploy file is missing")
        await self.store.serve(f"127.0.{self.subnet}.250", self.ports["store"])
        self.configure()
        for node in self.nodes:
            await node.server.start()
            node.start(bootstrap=True)
        due_s = time.monotonic() + 30
        while not all([await n.is_ready() for n in self.nodes]):
            if time.monotonic() > due_s:
                raise CannotRun("the routers aren't ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(7)

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.temporary.cleanup()


async def play(folder, make, act):
    world = make(folder)
    try:
        await world.start()
        return await act(world)
    except CannotRun as error:
        world.record.write("CANNOT RUN", error)
        return 2
    finally:
        world.close()


def main(folder, make, act):
    """Plays a case; the exit code is 0, 1 or 2."""
    try:
        code = asyncio.run(play(folder, make, act))
    except Exception as error:
        print(f"can't run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(code)
