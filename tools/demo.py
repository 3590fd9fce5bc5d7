"""Demo: starts a deployment, sends requests and kills a server.

Usage: ./run demo [--deployment garam-jalan|federation]
"""

from collections.abc import Iterator
import dataclasses
import random
import sys
import time

import fire

from rhubarblead import tables
from tools import deployment
from tools import http_json
from tools import launch
from tools import processes
from tools.load import caller
from tools.load import plan

_KEYS = ("ringlet", "tringkap", "blue-valley", "kuala-terla")
_SERVED_TIMEOUT_S = 30.0
_POLL_S = 0.02
_MS_PER_S = 1_000
_OK = 200
_NOT_RUN = "not-run"
_RAN = "ran"
_COLUMNS = (11, 5, 30, 7, 8, 26, 12, 6)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request of the demo and its expected outcome."""

    method: str
    target: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    status: int = _OK
    verdict: str = _RAN
    refusal: str = ""


class Demo:
    """Sends requests to a running deployment and prints their outcomes."""

    def __init__(self, *, launcher: launch.Launcher) -> None:
        self._launcher = launcher
        self._rng = random.Random()
        self._keyed = launcher.deployment.find_pool("keyed")
        self._balanced = launcher.deployment.find_pool("balanced")
        self._is_as_expected = True

    def run(self) -> bool:
        """Runs the demo; returns whether every outcome was as expected."""
        self._show_status()
        self._show_header()
        nodes = list(self._launcher.nodes)
        for number, request in enumerate(self._list_requests()):
            self._send(nodes[number % len(nodes)], request)
        self._kill_server()
        self._show_status()
        return self._is_as_expected

    def _list_requests(self) -> Iterator[Request]:
        keyed = self._find_prefix(self._keyed)
        balanced = self._find_prefix(self._balanced)
        for key in _KEYS:
            yield Request(method="GET", target=f"{keyed}/{key}/stock")
            yield self._make_post(f"{keyed}/{key}/drops", key.encode())
        for number in range(4):
            yield Request(method="GET", target=f"{balanced}/{number}")
        yield Request(
            method="GET",
            target="/nowhere",
            status=404,
            verdict=_NOT_RUN,
            refusal="no-route",
        )
        yield Request(
            method="GET",
            target=keyed,
            status=400,
            verdict=_NOT_RUN,
            refusal="missing-key",
        )
        yield Request(
            method="POST",
            target=f"{keyed}/{_KEYS[0]}/drops",
            body=b"{}",
            status=400,
            verdict=_NOT_RUN,
            refusal="missing-idempotency-key",
        )
        size = self._find_route(self._keyed).max_request_bytes + 1
        yield dataclasses.replace(
            self._make_post(f"{keyed}/{_KEYS[0]}/drops", b"." * size),
            status=413,
            verdict=_NOT_RUN,
            refusal="too-large",
        )
        yield Request(
            method="GET",
            target=f"{keyed}/{_KEYS[0]}",
            headers={"Content-Length": "many"},
            status=400,
            verdict=_NOT_RUN,
            refusal="malformed",
        )

    def _make_post(self, target: str, body: bytes) -> Request:
        return Request(
            method="POST",
            target=target,
            headers={"Idempotency-Key": caller.make_uuid7(self._rng)},
            body=body,
        )

    def _find_route(self, pool: tables.Pool) -> tables.Route:
        return self._launcher.deployment.find_route(pool.name)

    def _find_prefix(self, pool: tables.Pool) -> str:
        return self._find_route(pool).prefix

    def _send(self, node: str, request: Request) -> None:
        try:
            answer = http_json.exchange(
                self._launcher.find_authority(node),
                request.method,
                request.target,
                body=request.body,
                headers=request.headers,
            )
        except http_json.CannotReach as error:
            self._is_as_expected = False
            print(f"WRONG {error}")
            return
        headers = answer.headers
        verdict = headers.get("rhubarb-verdict", "")
        refusal = headers.get("rhubarb-refusal", "")
        is_as_expected = (answer.status, verdict, refusal) == (
            request.status,
            request.verdict,
            request.refusal,
        )
        self._is_as_expected = self._is_as_expected and is_as_expected
        owner = headers.get("rhubarb-owner", "")
        _show_row(
            node,
            request.method,
            request.target,
            str(answer.status),
            verdict,
            refusal or f"by {headers.get('rhubarb-server', '')}",
            self._launcher.find_instance_at(owner) or "-",
            "right" if is_as_expected else "WRONG",
        )

    def _kill_server(self) -> None:
        """Kills the first key's owner and waits until its shards are served."""
        pool = self._keyed
        first, other = list(self._launcher.nodes)[:2]
        owners = self._launcher.read_owners(first, pool.name)
        victim = owners[plan.find_shard(_KEYS[0], pool.shard_count)]
        entry = other if victim == first else first
        killed_at_s = time.monotonic()
        self._launcher.nodes[victim].kill()
        self._launcher.upstreams[victim].kill()
        print(f"\nkilled {victim} and its node")
        keys = self._list_keys(owners, victim)
        for shard, key in keys.items():
            taken_ms = self._wait_until_served(entry, key, killed_at_s)
            if taken_ms is None:
                self._is_as_expected = False
                print(f"  shard {shard:3} key {key:12} WRONG: not served")
                continue
            print(
                f"  shard {shard:3} key {key:12} served {taken_ms:5.0f} ms on"
            )
        self._launcher.wait_until_settled()
        self._send(
            entry,
            Request(
                method="GET",
                target=f"{self._find_prefix(pool)}/{_KEYS[0]}/stock",
            ),
        )

    def _list_keys(self, owners: list[str], victim: str) -> dict[int, str]:
        """Returns one key for each shard that the killed server owned."""
        keys = plan.list_even_keys(self._keyed.shard_count, 1)
        return {
            shard: key
            for shard, key in enumerate(keys)
            if owners[shard] == victim
        }

    def _wait_until_served(
        self, node: str, key: str, since_s: float
    ) -> float | None:
        target = f"{self._find_prefix(self._keyed)}/{key}/stock"
        while time.monotonic() < since_s + _SERVED_TIMEOUT_S:
            try:
                answer = http_json.exchange(
                    self._launcher.find_authority(node), "GET", target
                )
            except http_json.CannotReach:
                continue
            if answer.status == _OK:
                return (time.monotonic() - since_s) * _MS_PER_S
            time.sleep(_POLL_S)
        return None

    def _show_status(self) -> None:
        print(
            f"\n{'node':11} {'failure domain':15} {'state':9}"
            f" {'shards':>6} {'lease left':>10} {'ownership':>9}"
            f" {'tables':>6}  digest"
        )
        for name, process in self._launcher.nodes.items():
            if not process.is_running():
                print(f"{name:11} lost")
                continue
            found = self._launcher.read_status(name)
            print(
                f"{name:11} {found.failure_domain:15} {found.state:9}"
                f" {found.shards_owned_count:6} {found.lease_left_ms:7} ms"
                f" {found.ownership_revision:9} {found.tables_revision:6}"
                f"  {found.tables_digest[:12]}"
            )

    def _show_header(self) -> None:
        print()
        _show_row(
            "node",
            "",
            "request",
            "status",
            "verdict",
            "answer",
            "owner",
            "",
        )


def _show_row(*cells: str) -> None:
    columns = zip(cells, _COLUMNS, strict=True)
    print(" ".join(cell.ljust(width) for cell, width in columns).rstrip())


def demo(*, deployment_name: str = "garam-jalan", **more: str) -> int:
    """Runs the demo.

    Args:
        deployment_name: A folder under examples/ (also `--deployment`).
        **more: Accepts `--deployment`.

    Returns:
        0 when every request had the expected outcome.
    """
    processes.raise_on_sigterm()
    name = more.get("deployment", deployment_name)
    spec = deployment.read_deployment(deployment.EXAMPLES / name)
    start_s = time.monotonic()
    with launch.Launcher(spec=spec) as launcher:
        launcher.start()
        print(
            f"{name}: {len(launcher.nodes)} nodes ready after"
            f" {time.monotonic() - start_s:.1f} s"
        )
        is_as_expected = Demo(launcher=launcher).run()
    print("\nall stopped;", "all as expected" if is_as_expected else "WRONG")
    return 0 if is_as_expected else 1


if __name__ == "__main__":
    sys.exit(fire.Fire(demo, serialize=lambda code: None))
