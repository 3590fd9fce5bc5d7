"""Many users come at once to a route with short work and a long target."""

import asyncio
import json
import pathlib
import subprocess
import sys
import time

LIB = pathlib.Path(__file__).resolve().parents[2] / "lib2"
sys.path.insert(0, str(LIB))

import runner
import standins

standins.SLOTS = 6
WORK_S = 0.025
NODES = 3
CAPACITY = NODES * standins.SLOTS / WORK_S
USUAL = 0.88 * CAPACITY
BURST_X = 1.8
BURST_S = 5.0
TIMEOUT_MS = 9_000
TARGET_MS = 8_000
DEADLINE_MS = 16_000
MAX_LAG_S = 0.4


def start(folder, mode, name, options):
    path = folder / f"{name}.options"
    path.write_text(json.dumps(options))
    return subprocess.Popen(["python3", str(LIB / "fast.py"), mode, str(path)])


async def watch(site, node, stalls):
    """Asks whether a node is ready, as the platform does once a second."""
    while True:
        sent_at = time.monotonic()
        status, _ = await standins.call(
            node.ip, node.ports["readiness"], "GET", "/readiness", {},
            timeout_s=20)
        took_s = time.monotonic() - sent_at
        stalls.append(took_s)
        if took_s > 0.5:
            site.record(f"{node.name} answers the readiness check ({status}) "
                        f"after {took_s:.2f} s")
        await asyncio.sleep(max(0.0, 1 - took_s))


async def case(site, has_trouble):
    await site.write_config(
        [["r", standins.HOST, "/r/", "safe", TIMEOUT_MS, TARGET_MS, 1,
          standins.SERVICE, 2]],
        [[standins.SERVICE, "/health", 130, None]],
    )
    nodes = [site.make_node() for _ in range(NODES)]
    processes = [start(site.folder, "server", "servers", {
        "work_s": WORK_S,
        "servers": [[f"i-{n.name}", n.ip, n.ports["server"]] for n in nodes],
    })]
    try:
        for node in nodes:
            server = standins.Server(f"i-{node.name}", node, site.record)
            server._task = asyncio.create_task(server._beat())
            site.servers.append(server)
            node.start()
        await runner.wait_ready(nodes)
        await asyncio.sleep(4)
        stalls = []
        watchers = [asyncio.create_task(watch(site, node, stalls))
                    for node in nodes]
        burst = USUAL * (BURST_X if has_trouble else 1)
        phases = [[USUAL, 5.0], [burst, BURST_S], [USUAL, 2.0],
                  [burst, BURST_S], [USUAL, 8.0]]
        site.record(f"all clients send {phases} (requests a second, seconds); "
                    f"the servers can run {CAPACITY:.0f} a second")
        outputs = []
        clients = []
        for number, node in enumerate(nodes):
            output = site.folder / f"client{number}.json"
            outputs.append(output)
            clients.append(start(site.folder, "client", f"client{number}", {
                "name": f"c{number}", "host": standins.HOST,
                "addresses": [[node.ip, node.ports["outbound"]]],
                "phases": [[r / NODES, s] for r, s in phases],
                "deadline_ms": DEADLINE_MS, "output": str(output),
            }))
        processes += clients
        while any(client.poll() is None for client in clients):
            await asyncio.sleep(0.1)
        for task in watchers:
            task.cancel()
    finally:
        for process in processes:
            process.kill()
            process.wait()
    found = [json.loads(output.read_text()) for output in outputs]
    lag_s = max(item["lag_s"] for item in found)
    results = [r for item in found for r in item["results"]]
    statuses = {}
    for _, status, _ in results:
        statuses[status] = statuses.get(status, 0) + 1
    limit_s = TIMEOUT_MS / 1_000
    unanswered = [r for r in results if r[2] > limit_s]
    late = [r for r in unanswered if r[2] > limit_s + 0.5]
    site.record(f"{len(results)} requests, answers by status (0: none): "
                f"{statuses}; clients stalled {lag_s:.2f} s at most")
    site.record(f"longest readiness check {max(stalls):.2f} s; "
                f"{len(unanswered)} requests unanswered at the route's "
                f"timeoutMs, {len(late)} of them half a second later")
    if lag_s > MAX_LAG_S:
        raise runner.CannotRun(f"the clients themselves stalled {lag_s:.2f} s")
    if len(late) > max(20, len(unanswered) / 2):
        return [f"CONFIG: {len(late)} of {len(unanswered)} requests that were "
                "unanswered at timeoutMs had no answer half a second later"]
    return []


runner.run(case)
