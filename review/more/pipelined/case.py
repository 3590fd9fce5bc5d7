"""Two pipelined requests are at work when their machine gets SIGTERM.

No case of its own: see REPORT.md.
"""

import signal
import socket
import time

import harness


def main(folder):
    with harness.Case(folder, ["routing", "routing", "routing"]) as case:
        case.configure([("yard-stock", "/yard/", "safe", 8000, "routing")])
        case.start()
        record, node = case.record, case.nodes[0]
        case.wait_for(
            lambda: harness.call(node, "GET", "/yard/0", "warm", 4000)[0] == 200, 20
        )
        time.sleep(3.5)
        sock = socket.create_connection(
            (node.ip, node.ports["outbound"]), source_address=(node.ip, 0)
        )
        first = harness.encode_request(
            "GET", "/yard/1", "first", 15000, headers=[("X-Work-Ms", "600")]
        )
        second = harness.encode_request(
            "GET", "/yard/2", "second", 15000, headers=[("X-Work-Ms", "1200")]
        )
        sock.sendall(first + second)
        record("client: sent first and second on one connection")

        def begun():
            ids = {r["id"] for s in case.servers for r in s.runs}
            return {"first", "second"} <= ids

        case.wait_for(begun, 3)
        if harness.TROUBLE:
            node.signal(signal.SIGTERM)
        answers, end = harness.read_answers(sock, 4.0)
        for status, fields, body, whole in answers:
            record(
                f"client: answer {status} to"
                f" {fields.get('x-rhubarblead-request-id')},"
                f" {len(body)} bytes, complete: {whole},"
                f" connection: {fields.get('connection')}"
            )
        record(f"client: connection: {end}")
        answered = {
            f.get("x-rhubarblead-request-id") for s, f, b, w in answers if w
        }
        return not {"first", "second"} <= answered


harness.run(__file__, main)
