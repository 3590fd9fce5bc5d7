"""Measures the cost of the stages of a request in a node, without network.

Prints one JSON object: processor time of each stage in microseconds.
"""

from collections.abc import Callable
import io
import json
import pathlib
import sys
import time
from typing import Any

from rhubarblead import tables
from rhubarblead import verdict
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node.requests import intake
from rhubarblead.node.requests import outcome
from rhubarblead.node.requests import wsgi
from rhubarblead.requests import idempotency

_ROUNDS = 20_000
_NS_PER_US = 1_000
_TABLES = (
    pathlib.Path(__file__).parent.parent / "examples/garam-jalan/tables.json"
)


def _make_environ(method: str) -> dict[str, Any]:
    key = idempotency.make_key(random=bytes(10), wall_ms=1_790_000_000_000)
    return {
        "REQUEST_METHOD": method,
        "SCRIPT_NAME": "",
        "PATH_INFO": "/depots/ringlet/stock",
        "REQUEST_URI": "/depots/ringlet/stock?full=1",
        "QUERY_STRING": "full=1",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "SERVER_NAME": "waitress.invalid",
        "SERVER_PORT": "80",
        "REMOTE_ADDR": "127.0.0.1",
        "CONTENT_LENGTH": "0",
        "HTTP_HOST": "127.0.0.1:8000",
        "HTTP_USER_AGENT": "dispatch/1.0",
        "HTTP_ACCEPT": "application/json",
        "HTTP_ACCEPT_ENCODING": "identity",
        "HTTP_CONNECTION": "keep-alive",
        "HTTP_IDEMPOTENCY_KEY": key,
        "wsgi.input": io.BytesIO(),
    }


def _measure(stage: Callable[[], object]) -> float:
    started_ns = time.thread_time_ns()
    for _ in range(_ROUNDS):
        stage()
    return (time.thread_time_ns() - started_ns) / _ROUNDS / _NS_PER_US


def measure_stages() -> dict[str, float]:
    """Measures all stages.

    Returns:
        Processor time of one request in each stage, in microseconds.
    """
    current_tables = tables.read_tables(_TABLES.read_bytes())
    environ = _make_environ("GET")
    request = wsgi.read_request(environ)
    accepted = intake.accept(request, current_tables).unwrap()
    events = log.EventLog(instance="dispatch-1", timeline_capacity=20_000)
    answer = outcome.Outcome(
        verdict=verdict.Verdict.RAN,
        status=200,
        reason="OK",
        headers=(("Content-Type", "application/json"), ("Date", "now")),
        server="dispatch-1",
        owner="127.0.0.1:8000",
    )
    stages: dict[str, Callable[[], object]] = {
        "read_request": lambda: wsgi.read_request(environ),
        "accept": lambda: intake.accept(request, current_tables),
        "build_forward": lambda: accepted.build_forward(
            shard=1,
            remaining_ms=1_000,
            ownership_revision=1,
            is_suspect=False,
        ),
        "emit": lambda: events.emit(
            catalog.Event.REQUEST_ANSWERED,
            request_id="r",
            key="ringlet",
            route="stock",
            server="dispatch-1",
            verdict="ran",
            status=200,
            duration_ms=1,
        ),
        "build_headers": lambda: wsgi.build_headers("r", answer),
    }
    return {name: _measure(stage) for name, stage in stages.items()}


def main() -> int:
    """Prints the costs as JSON."""
    json.dump(measure_stages(), sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
