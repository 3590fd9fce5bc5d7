"""A download is on its way to its client when the process ends after SIGTERM."""

import signal
import socket
import threading
import time

import harness

SIZE = 540_000
"""Bytes of the largest map that the site file gives."""

WINDOW = 16_384
ROUND_TRIP_S = 0.006
"""The client's link: 3 ms one way, and a small window."""


class Link:
    """The client's link to its machine: forwards a window a round trip.

    The machine's side has a small window too, so that what isn't read yet
    stays with the sender, as on the platform's links.
    """

    def __init__(self, ip, target):
        self._target = target
        self._source = ip
        self._listener = socket.create_server((ip, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.socket()
            far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW // 2)
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_400)
            far.bind((self._source, 0))
            far.connect(self._target)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                ).start()

    def _pump(self, source, sink):
        try:
            while data := source.recv(WINDOW):
                time.sleep(ROUND_TRIP_S)
                sink.sendall(data)
        except OSError:
            pass
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self):
        self._listener.close()


def main(folder):
    with harness.Case(folder, ["routing", "routing", "routing"]) as case:
        case.configure([("route-map", "/map/", "download", 8000, "routing")])
        case.start()
        record, node = case.record, case.nodes[0]
        case.wait_for(
            lambda: harness.call(node, "GET", "/map/0", "warm", 4000)[0] == 200,
            20,
        )
        time.sleep(3.5)
        link = Link(node.ip, (node.ip, node.ports["outbound"]))
        if harness.TROUBLE:
            node.signal(signal.SIGTERM)
        # The platform's second question without a 200 comes up to 2 s later;
        # until then the machine's clients send it new requests.
        time.sleep(1.6)
        sock = socket.create_connection(link.address)
        sock.sendall(
            harness.encode_request(
                "GET", "/map/1", "map", 4000,
                headers=[
                    ("X-Work-Ms", "1080"), ("X-Body-Bytes", str(SIZE)),
                    ("Connection", "close"),
                ],
            )
        )
        record("client: sent map on a new connection")
        answers, end = harness.read_answers(sock, 4.5)
        status, fields, body, whole = (answers or [(0, {}, b"", False)])[0]
        record(
            f"client: answer {status}, content-length"
            f" {fields.get('content-length')}, {len(body)} bytes,"
            f" complete: {whole}; connection: {end}"
        )
        if harness.TROUBLE:
            record(f"router ended with {node.child.wait(10)}")
        runs = [r for s in case.servers for r in s.runs if r["id"] == "map"]
        record(f"runs: {runs}")
        if not runs or runs[-1]["result"] != "done":
            raise harness.CannotRun("the server did not run the request")
        link.close()
        return not whole


harness.run(__file__, main)
