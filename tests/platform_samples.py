"""Valid content of what the platform, servers and the operator write."""

from typing import Any

SETTINGS: dict[str, Any] = {
    "nodeName": "sidecar-ipoh-1",
    "ipAddress": "10.1.0.38",
    "zone": "ipoh",
    "listenAddresses": {
        "inbound": "10.1.0.38:8146",
        "outbound": "10.1.0.38:8147",
        "readiness": "10.1.0.38:8141",
        "control": "10.1.0.38:8144",
    },
    "internalPortRange": [7380, 7395],
    "heartbeatIntervalMs": 870,
    "limits": {"memoryMb": 300, "cpuShare": 0.86},
    "bounds": ["holdMaxMs=9000", "graceS=6", "budgetWindowS=10"],
    "application": "10.1.0.38:8145",
    "service": "huvo11a",
    "platform": {"address": "10.200.1.7:8142", "form": "table"},
    "fieldOfTomorrow": 1,
}
ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "type",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
    "service",
    "maxAttempts",
    "trafficSplit",
]
SPLIT = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]
HEARTBEAT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1_700_000_000_000,
    "information": {
        "service": "s1",
        "version": "v1",
        "zone": "ipoh",
        "slots": 9,
    },
    "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 0},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e"]],
}
HEARTBEAT_TARGET = "/rpc?call=instances.heartbeat&of=i-7f"


def make_routes() -> list[list[Any]]:
    """Makes the rows of two routes."""
    one = "one.example"
    return [
        ["ra", one, "/a/", "unsafe", 2500, 800, 1, "s1", 2, None],
        ["rab", one, "/a/b/", "safe", 2000, 600, 2, None, 2, SPLIT],
    ]


def make_configuration(
    routes: list[list[Any]] | None = None,
) -> dict[str, Any]:
    """Makes a configuration."""
    return {
        "version": "0000000c",
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes or make_routes()},
        "services": {
            "columns": ["name", "maxConnections", "sharded"],
            "rows": [["s1", 130, True], ["s2", 130, None]],
        },
        "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    }
