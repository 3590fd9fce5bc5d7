"""A server's exit is acknowledged; the store is away, and all routers are killed."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import runner
import standins

DRAIN_MS = 2_000
CONTACT_S = 3.0


async def case(site, has_trouble):
    await site.write_config(
        [["r", standins.HOST, "/r/", "safe", 2000, 600, 1, standins.SERVICE, 2]],
        [[standins.SERVICE, "/health", 130, None]],
    )
    nodes = [site.make_node() for _ in range(3)]
    for node in nodes:
        node.server = standins.Server(f"i-{node.name}", node, site.record)
        site.servers.append(node.server)
        await node.server.start()
        node.start()
    await runner.wait_ready(nodes)
    await asyncio.sleep(6)
    leaving = nodes[0].server
    leaving._task.cancel()
    if has_trouble:
        site.store.is_down = True
        site.record("the store is down (503)")
    await asyncio.sleep(0.9)
    late = leaving.make_beat()
    site.record(f"heartbeat {leaving.sequence} of {leaving.name} is sent, and is "
                "late")
    await asyncio.sleep(0.2)
    status, _ = await standins.call(
        nodes[0].ip, nodes[0].ports["control"], "POST",
        f"/rpc?call=instances.deregister&of={leaving.name}",
        {"Content-Type": "application/json"},
        standins.json.dumps({"born": leaving.born}).encode(), 1.0)
    acked_at = time.monotonic()
    site.record(f"{leaving.name} deregisters: {status}; it goes on serving")
    if status != 200:
        raise runner.CannotRun("no ack")
    await asyncio.sleep(0.2)
    if has_trouble:
        for node in nodes:
            node.kill()
        for node in nodes:
            node.process.wait()
        site.record("all routers are killed")
        await asyncio.sleep(0.8)
        for node in nodes:
            node.start()
        await asyncio.sleep(0.7)
        site.store.is_down = False
        site.record("the store is back")
    calm_at = time.monotonic()
    await asyncio.sleep(max(0.0, acked_at + 3.8 - time.monotonic()))
    status, _ = await standins.call(
        nodes[0].ip, nodes[0].ports["control"], "POST",
        f"/rpc?call=instances.heartbeat&of={leaving.name}",
        {"Content-Type": "application/json"}, late, 1.0)
    site.record(f"the late heartbeat arrives: {status}")
    broken = 0
    while time.monotonic() < acked_at + 8:
        before = len(leaving.runs)
        await asyncio.gather(*(
            standins.send_request(site.record, node, "/r/1") for node in nodes
            for _ in range(4)))
        now = time.monotonic()
        if len(leaving.runs) > before:
            after_s = now - acked_at
            site.record(f"{len(leaving.runs) - before} requests reached "
                        f"{leaving.name}, {after_s:.2f} s after the ack, "
                        f"{now - calm_at:.2f} s after the last disturbance")
            if after_s > DRAIN_MS / 1e3 + 0.3 and now - calm_at > CONTACT_S + 0.3:
                broken += len(leaving.runs) - before
        await asyncio.sleep(0.25)
    if broken:
        return [f"DRAIN: {broken} requests reached a server later than drainMs "
                "after its exit was acknowledged, from machines in touch"]
    return []


runner.run(case)
