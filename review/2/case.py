"""A heartbeat of another writer, without an address, reaches one machine.

Its state is `draining`, and `born` is later than that of the machine's server.
It names no server to use.
"""

import time

import harness


def main(folder):
    services = ["dispatch", "dispatch", "dispatch"]
    with harness.Case(folder, services, sharded={"dispatch"}) as case:
        case.configure(
            [("booking", "/booking/", "safe", 4000, "dispatch")]
        )
        case.start()
        case.wait_for_keys()
        record, node = case.record, case.nodes[0]
        time.sleep(4)  # in touch
        beat = {
            # No `address`: the call of another writer, which names no server.
            "information": {
                "service": "dispatch", "version": "v1", "zone": node.zone,
                "slots": 18,
            },
            "status": {
                "state": "draining", "sequence": 1, "coldRemainingMs": 0,
            },
            "born": int(time.time() * 1000), "holds": [], "freed": [],
        }
        watch = harness.HoldWatch(case)
        if harness.TROUBLE:
            reply = harness.call_control(
                node.control, "w-1", "heartbeat", beat
            )
            record(f"another writer's heartbeat without address: {reply}")
        time.sleep(8)
        return watch.end()


harness.run(__file__, main)
