"""The desired state lets clients send small bodies only; they send none."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import runner
import standins

SMALL_BODY_BYTES = 128
SECONDS = 20


async def case(site, has_trouble):
    limits = dict(standins.LIMITS)
    if has_trouble:
        limits["maxBodyBytes"] = SMALL_BODY_BYTES
    site.record(f"limits of the desired state: {limits}")
    await site.write_config(
        [["r", standins.HOST, "/r/", "safe", 2000, 600, 1, standins.SERVICE, 2]],
        [[standins.SERVICE, "/health", 130, None]],
        limits,
    )
    nodes = [site.make_node() for _ in range(3)]
    for node in nodes:
        server = standins.Server(f"i-{node.name}", node, site.record)
        site.servers.append(server)
        await server.start()
        node.start()
    await runner.wait_ready(nodes)
    served = sent = 0
    for _ in range(SECONDS):
        answers = await asyncio.gather(*(
            standins.send_request(site.record, node, "/r/1") for node in nodes))
        served += sum(status == 200 for _, status, _ in answers)
        sent += len(answers)
        await asyncio.sleep(1)
    site.record(f"{served} of {sent} requests are served")
    leaving = site.servers[-1]
    leaving.state = "draining"
    acknowledged = 0
    for _ in range(5):
        acknowledged += await leaving.beat()
        await asyncio.sleep(0.8)
    site.record(f"{acknowledged} of 5 heartbeats of a server that drains are "
                "acknowledged within 4 s")
    broken = []
    if not served:
        broken.append(f"Fault: no request is served ({sent} were sent)")
    if not acknowledged:
        broken.append("Acks: the server that leaves has no ack after 4 s")
    return broken


runner.run(case)
