"""Another writer: odd heartbeats, and odd rows among those of the nodes."""

import http.client
import json
from typing import Any

import msgspec

from rhubarblead.keyspace import members
from rhubarblead.platform import store
from rhubarblead.router import store_access
from tools.soak import background
from tools.soak import cluster

INTERVALS_S = (0.2, 0.5, 1.0)
_DEPTH = 20_000
_TIMEOUT_S = 2.0
_STRANGER = "odd@127.0.0.9"
_DEEP = b"[" * _DEPTH + b"]" * _DEPTH
_HEARTBEAT_PATH = "/rpc?call=instances.heartbeat&of="


class OddWriter(background.Disturber):
    """A thread that writes what no server and no node writes."""

    def _run(self) -> None:
        while not self._is_stopped.wait(self._rng.choice(INTERVALS_S)):
            node = self._rng.choice(self._cluster.nodes)
            match self._rng.randrange(4):
                case 0:
                    self._write_row(_STRANGER, self._make_row())
                case 1:
                    self._write_row(f"{node.name}@{node.ip}", self._make_row())
                case _:
                    self._send_heartbeat(node)
            self.count += 1

    def _make_row(self) -> bytes:
        member = members.Member(
            node_id=_STRANGER,
            incarnation="odd",
            address="127.0.0.9:99999",
            failure_domain="a",
            service=cluster.SERVICE,
            ends_store_ms=2**50,
        )
        return self._rng.choice(
            (
                b"",
                b"\x91" * _DEPTH + b"\xc0",
                msgspec.msgpack.encode([2**63, "x", None]),
                members.encode(member),
            )
        )

    def _write_row(self, node_id: str, value: bytes) -> None:
        call = store.encode_transaction(
            expected=(),
            puts=(
                store.Put(
                    key=store_access.make_member_key(node_id), value=value
                ),
            ),
        )
        try:
            self._cluster.call_store(
                call.method, call.target, call.body.decode()
            )
        except (OSError, http.client.HTTPException):
            # The store is away, or has lost its answer.
            return

    def _make_heartbeat(self, node: cluster.Node) -> bytes:
        body: dict[str, Any] = {
            "address": f"{node.ip}:{node.ports['server']}",
            "born": 2**52,
            "information": {
                "service": cluster.SERVICE,
                "version": "v1",
                "zone": node.failure_domain,
                "slots": 4,
            },
            "status": {
                "state": "draining",
                "sequence": 1,
                "coldRemainingMs": 0,
            },
            "holds": [],
            "freed": [],
        }
        odd = self._rng.choice(("start", "port", "slots", "deep", "number"))
        match odd:
            case "port":
                body["address"] = f"{node.ip}:99999"
            case "slots":
                body["information"]["slots"] = 10**12
            case "deep":
                return b'{"another":%b,"born":1}' % _DEEP
            case "number":
                return json.dumps(body).replace(str(2**52), "9" * 400).encode()
        return json.dumps(body).encode()

    def _send_heartbeat(self, node: cluster.Node) -> None:
        connection = http.client.HTTPConnection(
            node.ip, node.ports["control"], timeout=_TIMEOUT_S
        )
        try:
            connection.request(
                "POST",
                _HEARTBEAT_PATH + node.server.name,
                self._make_heartbeat(node),
            )
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            # The router is down or frozen.
            return
        finally:
            connection.close()
