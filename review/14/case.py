"""A request that ends servers is forgotten when all routers restart (BUDGET)."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))
import world as w

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0
BACK_S = 2.0
"""A server that has ended is back after so long."""
HERDS = 2
RETRIES = 5
"""Retries after each loss of all processes, two seconds apart."""
MOST = 3


class Server(w.AppServer):
    """Ends when it begins to run one certain request."""

    async def _handle_one(self, head, body, reader, writer):
        if "/ends-servers" not in head[0]:
            return await super()._handle_one(head, body, reader, writer)
        request_id = head[1].get(w.ID)
        if head[1].get("x-rhubarblead-expected-instance") != self.id:
            writer.write(w.encode_response(421, {
                "X-Rhubarblead-Request-Id": request_id,
                "X-Rhubarblead-Not-Executed": "1"}))
            return True
        self.node.world.crashes.append((time.monotonic(), request_id))
        self.record.write("ENDS SERVER", self.id, "at", self.node.name, request_id)
        self.node.world.tasks.add(asyncio.create_task(self._end()))
        return False

    async def _end(self):
        await self.stop()
        self.running.clear()
        await asyncio.sleep(BACK_S)
        await self.start()


w.AppServer = Server


def make(folder):
    world = w.World(folder)
    world.crashes, world.tasks = [], set()
    world.add(6, slots=12, run_s=0.8)
    return world


async def load(world):
    """Sends ordinary requests at all machines, five a second at each."""
    number = 0
    while True:
        for node in world.nodes:
            number += 1
            world.tasks.add(asyncio.create_task(w.ask(
                world, node, f"r{number}", path=f"/read/{number}",
                deadline_ms=2000)))
        await asyncio.sleep(0.2)


async def act(world):
    sent = {}

    async def retry(number):
        """Sends the request again: same path, caller and body."""
        node = world.nodes[number % len(world.nodes)]
        request_id = f"bad-{number}"
        sent[request_id] = time.monotonic()
        await w.ask(
            world, node, request_id, method="POST", path="/write/ends-servers",
            body=b"the same body", deadline_ms=3000, timeout_s=4)

    sender = asyncio.create_task(load(world))
    await asyncio.sleep(4)
    number = 0
    while len(world.crashes) < 3 and number < 6:
        await retry(number)
        number += 1
        await asyncio.sleep(2)
    for _ in range(HERDS):
        if TROUBLE:
            for node in world.nodes:
                node.signal(signal.SIGKILL)
            world.record.write("ALL ROUTERS KILLED")
            await asyncio.sleep(0.8)
            for node in world.nodes:
                node.process.wait()
                node.start()
            world.record.write("ALL ROUTERS STARTED")
        # Machines are in touch again after contactMs; servers are back.
        await asyncio.sleep(CONTACT_S + 2.0)
        for _ in range(RETRIES):
            await retry(number)
            number += 1
            await asyncio.sleep(2)
    sender.cancel()
    # All retries above were sent by machines in touch, none beside a kill.
    third_s = world.crashes[2][0] if len(world.crashes) > 2 else time.monotonic()
    late = {
        request_id for at_s, request_id in world.crashes
        if sent[request_id] > third_s + CONTACT_S}
    is_broken = len(late) > MOST
    world.record.write(
        "RESULT", f"{len(world.crashes)} servers ended; {len(late)} of"
        f" {HERDS * RETRIES} retries that were sent over contactMs after the"
        " third one reached a server:",
        "BUDGET is broken" if is_broken else "BUDGET holds")
    print((HERE / "record.txt").read_text().splitlines()[-1])
    return 1 if is_broken else 0


w.main(HERE, make, act)
