"""A client and a server with little overhead, for many requests a second.

Run as a process: `fast.py server FILE` or `fast.py client FILE`; FILE holds a
JSON object with the options.
"""

import asyncio
import json
import re
import sys
import time

_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
_FIELD = rb"%s: *([^\r]*)"
_ID = re.compile(_FIELD % b"x-rhubarblead-request-id", re.IGNORECASE)
_RETRY = re.compile(_FIELD % b"retry-after", re.IGNORECASE)


class _Messages(asyncio.Protocol):
    """Divides the received bytes into messages."""

    def __init__(self):
        self.data = b""
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        while True:
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.data[:end]
            found = _LENGTH.search(head)
            total = end + 4 + (int(found[1]) if found else 0)
            if len(self.data) < total:
                return
            self.data = self.data[total:]
            self.handle(head)

    def handle(self, head):
        raise NotImplementedError


class Server(_Messages):
    """A server that takes `work_s` for each request."""

    def __init__(self, options, name):
        super().__init__()
        self.options = options
        self.name = name.encode()

    def handle(self, head):
        request_id = _ID.search(head)
        if request_id is None:
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Rhubarblead-Instance-Id: %b\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name)
            return
        asyncio.get_running_loop().call_later(
            self.options["work_s"], self.respond, request_id[1])

    def respond(self, request_id):
        if not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Rhubarblead-Request-Id: %b\r\n"
                b"X-Rhubarblead-Server-Seal: seal.%b\r\nKeep-Alive: timeout=10"
                b"\r\nContent-Length: 4\r\n\r\ndone" % (request_id, self.name))


class Connection(_Messages):
    """A kept connection of a client, with one request at a time."""

    def __init__(self, idle):
        super().__init__()
        self.idle = idle
        self.answer = None

    def send(self, data):
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.answer

    def handle(self, head):
        answer, self.answer = self.answer, None
        if answer is not None and not answer.done():
            answer.set_result(int(head[9:12]))
        if b"connection: close" in head.lower():
            self.transport.close()
        else:
            self.idle.append(self)

    def connection_lost(self, exc):
        if self in self.idle:
            self.idle.remove(self)
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(0)


class Client:
    """Sends requests at given rates, whether or not others are answered."""

    def __init__(self, options):
        self.options = options
        self.idle = {}
        self.results = []
        self.lag_s = 0.0

    async def run(self):
        started_at, number, due = time.monotonic(), 0, 0.0
        tasks = []
        addresses = [tuple(item) for item in self.options["addresses"]]
        for rate, seconds in self.options["phases"]:
            until = time.monotonic() + seconds
            last = time.monotonic()
            while last < until:
                await asyncio.sleep(0.005)
                now = time.monotonic()
                self.lag_s = max(self.lag_s, now - last - 0.005)
                due += rate * (now - last)
                last = now
                while due >= 1:
                    due -= 1
                    address = addresses[number % len(addresses)]
                    tasks.append(asyncio.create_task(
                        self.request(number, address, started_at)))
                    number += 1
        await asyncio.gather(*tasks)

    async def request(self, number, address, started_at):
        sent_at = time.monotonic()
        deadline_s = self.options["deadline_ms"] / 1_000
        idle = self.idle.setdefault(address, [])
        status = 0
        try:
            if idle:
                connection = idle.pop()
            else:
                # Clients allow a new connection one second.
                async with asyncio.timeout(1.0):
                    _, connection = (
                        await asyncio.get_running_loop().create_connection(
                            lambda: Connection(idle), *address))
        except (TimeoutError, OSError):
            return
        try:
            async with asyncio.timeout(deadline_s):
                status = await connection.send(
                    (f"GET /r/{number} HTTP/1.1\r\nHost: {self.options['host']}"
                     f"\r\nX-Rhubarblead-Request-Id: {number:08d}"
                     f"{self.options['name']}\r\nX-Rhubarblead-Deadline-Ms: "
                     f"{self.options['deadline_ms']}\r\n\r\n").encode())
        except TimeoutError:
            connection.transport.abort()
        took_s = time.monotonic() - sent_at
        self.results.append((round(sent_at - started_at, 3), status,
                             round(took_s, 3)))


async def serve(options):
    for name, ip, port in options["servers"]:
        await asyncio.get_running_loop().create_server(
            lambda name=name: Server(options, name), ip, port, backlog=512)
    await asyncio.Event().wait()


async def send(options):
    client = Client(options)
    await client.run()
    with open(options["output"], "w", encoding="utf-8") as file:
        json.dump({"lag_s": client.lag_s, "results": client.results}, file)


if __name__ == "__main__":
    with open(sys.argv[2], encoding="utf-8") as file:
        found = json.load(file)
    asyncio.run(serve(found) if sys.argv[1] == "server" else send(found))
