"""An acknowledged deregistration is forgotten, and late beats revive it (DRAIN)."""

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
DRAIN_S = 2.0
CONTACT_S = 3.0
LATE_AT_S = 3.4
"""When the first late beat arrives, after the deregistration."""
ENDS_S = 8.0
"""The server exits so long after its deregistration ("many seconds")."""


def make(folder):
    world = w.World(folder)
    world.add(4, slots=8, run_s=0.05)
    return world


async def load(world):
    """Sends safe requests at all machines, five a second at each."""
    number = 0
    tasks = set()
    while True:
        for node in world.nodes:
            number += 1
            tasks.add(asyncio.create_task(w.ask(
                world, node, f"r{number}", path="/read/a", deadline_ms=2000)))
        await asyncio.sleep(0.2)


async def act(world):
    node = world.nodes[1]
    server = node.server
    sender = asyncio.create_task(load(world))
    await asyncio.sleep(3)
    # The last two beats before it leaves are held up on their way.
    server.pauses_beats = True
    late = []
    for _ in range(2):
        server.sequence += 1
        late.append({
            "address": f"{node.ip}:{node.ports['server']}",
            "born": server.born,
            "information": {"service": "s", "version": "v1",
                            "zone": node.zone, "slots": server.slots},
            "status": {"state": "ready", "sequence": server.sequence,
                       "coldRemainingMs": 0}})
        world.record.write("BEAT HELD UP", server.id, server.sequence)
        await asyncio.sleep(w.BEAT_S)
    # Then it leaves as some servers do: it deregisters first, and beats no more.
    if TROUBLE:
        world.store.mode = "silent"
        world.record.write("STORE silent")
        await asyncio.sleep(0.2)
    status = 0
    began_s = time.monotonic()
    while status // 100 != 2:
        status, _ = await server.deregister()
        world.record.write("DEREGISTERS", server.id, status)
        if time.monotonic() - began_s > 5:
            world.record.write("RESULT no ack: DRAIN holds")
            return 0
    acked_s = time.monotonic()
    world.record.write("ACK of the deregistration", server.id)
    if TROUBLE:
        # All processes of the system are killed at once, and start again.
        for other in world.nodes:
            other.signal(signal.SIGKILL)
        world.record.write("ALL ROUTERS KILLED")
        await asyncio.sleep(0.8)
        for other in world.nodes:
            other.process.wait()
            other.start()
        started_s = time.monotonic()
        world.record.write("ALL ROUTERS STARTED")
        await asyncio.sleep(0.5)
        world.store.mode = "ok"
        world.record.write("STORE answers")
        calm_s = max(started_s, time.monotonic()) + CONTACT_S
    else:
        calm_s = acked_s
    for number, content in enumerate(late):
        due_s = acked_s + LATE_AT_S + number * w.BEAT_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        status, _ = await server.call(
            f"/rpc?call=instances.heartbeat&of={server.id}", content)
        world.record.write(
            "LATE BEAT ARRIVES", content["status"]["sequence"], status)
    await asyncio.sleep(max(0.0, acked_s + ENDS_S - time.monotonic()))
    sender.cancel()
    broken = [
        run for run in server.runs
        if run["begin"] > acked_s + DRAIN_S and run["begin"] > calm_s + 0.2]
    for run in broken:
        world.record.write(
            "AFTER THE ACK", run["id"], f"{run['begin'] - acked_s:.3f} s after"
            f" it, {run['begin'] - calm_s:.3f} s after all were in touch again")
    others = sum(len(n.server.runs) for n in world.nodes if n is not node)
    world.record.write(
        "RESULT", f"{len(broken)} requests began at the server later than"
        f" drainMs after the ack, from machines in touch; {others} at the"
        " others:", "DRAIN is broken" if broken else "DRAIN holds")
    print((HERE / "record.txt").read_text().splitlines()[-1])
    return 1 if broken else 0


w.main(HERE, make, act)
