"""A client sends safe requests ahead on one connection, and then leaves."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib2"))

import runner
import standins

AHEAD = 80
"""Requests sent before the first answer; 40 without the trouble."""

FIRST_WORK_S = 6.0
WORK_S = 0.6
STAY_S = 0.3
LATE_S = 0.5
FEW = 5


async def case(site, has_trouble):
    await site.write_config(
        [["r", standins.HOST, "/r/", "safe", 8000, 8000, 1, standins.SERVICE, 2]],
        [[standins.SERVICE, "/health", 130, None]],
    )
    arrived = {}

    async def work(request_id, method, target, body):
        arrived[request_id] = time.monotonic()
        await asyncio.sleep(FIRST_WORK_S if target == "/r/0" else WORK_S)

    nodes = [site.make_node() for _ in range(2)]
    for node in nodes:
        server = standins.Server(f"i-{node.name}", node, site.record, work)
        site.servers.append(server)
        await server.start()
        node.start()
    await runner.wait_ready(nodes)
    await asyncio.sleep(4)
    count = AHEAD if has_trouble else 40
    reader, writer = await asyncio.open_connection(
        nodes[0].ip, nodes[0].ports["outbound"])
    ids = [f"ahead{number:03d}00000000" for number in range(count)]
    for number, request_id in enumerate(ids):
        writer.write(
            f"GET /r/{number} HTTP/1.1\r\nHost: {standins.HOST}\r\n"
            f"X-Rhubarblead-Request-Id: {request_id}\r\n"
            "X-Rhubarblead-Deadline-Ms: 8000\r\n\r\n".encode())
    await writer.drain()
    site.record(f"client sends {count} safe requests on one connection")
    await asyncio.sleep(STAY_S)
    writer.close()
    await writer.wait_closed()
    left_at = time.monotonic()
    before = len(arrived)
    site.record(f"client closes its connection; {before} requests have arrived")
    await asyncio.sleep(7)
    late = [i for i in ids if arrived.get(i, 0) > left_at + LATE_S]
    site.record(f"{len(late)} requests reached a server later than {LATE_S} s "
                "after that")
    if len(late) > FEW:
        return [f"GONE: {len(late)} requests reached a server over half a "
                "second after their client had closed its connection"]
    return []


runner.run(case)
