"""Repeatedly sends a request that crashes its server to a deployment.

Usage: python -m tools.poison [--kind keyed|balanced] [--sends 14] [--seed 1]

Prints one JSON document: the servers that were lost, the number of sends before
the first refusal as poison, and how many normal (innocent) requests sent in
between were answered.
"""

import random
import sys
import time

import fire
import msgspec

from tools import deployment
from tools import http_json
from tools import launch
from tools import processes
from tools.load import caller

PAUSE_S = 0.4
NORMAL_KEYS = ("ringlet", "tringkap", "blue-valley", "kuala-terla")

_OK = 200
_POISON = "poison"


class Report(msgspec.Struct, kw_only=True):
    """The result of one run."""

    kind: str
    server_count: int
    lost: list[str] = msgspec.field(default_factory=list)
    sends_before_poison: int = 0
    outcomes: list[str] = msgspec.field(default_factory=list)
    innocent_count: int = 0
    innocent_answered_count: int = 0


class PoisonRun:
    """Sends poison and normal requests to a running deployment."""

    def __init__(
        self, *, launcher: launch.Launcher, kind: str, seed: int
    ) -> None:
        self._launcher = launcher
        self._is_keyed = kind == "keyed"
        self._rng = random.Random(seed)
        pool = launcher.deployment.find_pool(kind)
        self._prefix = launcher.deployment.find_route(pool.name).prefix
        self._authorities = launcher.list_authorities()
        servers = launcher.deployment.list_servers(pool.name)
        self.report = Report(kind=kind, server_count=len(servers))

    def run(self, send_count: int) -> Report:
        """Sends the poison `send_count` times, with new idempotency keys."""
        for _ in range(send_count):
            self._send_poison()
            for key in NORMAL_KEYS:
                self._send_normal(key)
            time.sleep(PAUSE_S)
        self.report.lost = [
            name
            for name, process in self._launcher.upstreams.items()
            if not process.is_running()
        ]
        return self.report

    def _send_poison(self) -> None:
        headers = {"Standin-Fault": "crash"}
        if self._is_keyed:
            headers["Idempotency-Key"] = caller.make_uuid7(self._rng)
        try:
            answer = http_json.exchange(
                self._rng.choice(self._authorities),
                "POST" if self._is_keyed else "GET",
                f"{self._prefix}/poisoned/drops",
                body=b"{}" if self._is_keyed else None,
                headers=headers,
            )
        except http_json.CannotReach:
            self.report.outcomes.append("unreached")
            return
        refusal = answer.headers.get("rhubarb-refusal", "")
        self.report.outcomes.append(refusal or str(answer.status))
        if _POISON not in self.report.outcomes:
            self.report.sends_before_poison += 1

    def _send_normal(self, key: str) -> None:
        self.report.innocent_count += 1
        try:
            answer = http_json.exchange(
                self._rng.choice(self._authorities),
                "GET",
                f"{self._prefix}/{key}/stock",
            )
        except http_json.CannotReach:
            return
        self.report.innocent_answered_count += answer.status == _OK


def poison(
    *,
    kind: str = "keyed",
    sends: int = 14,
    seed: int = 1,
    deployment_name: str = "garam-jalan",
) -> int:
    """Sends poison to a new deployment and prints a report.

    Args:
        kind: The kind of pool that the poison is sent to.
        sends: Number of times that the poison is sent.
        seed: Seed of the choice of nodes that requests are sent to.
        deployment_name: A folder under examples/.

    Returns:
        0 when the poison was detected and most servers of the pool are left.
    """
    processes.raise_on_sigterm()
    spec = deployment.read_deployment(deployment.EXAMPLES / deployment_name)
    with launch.Launcher(spec=spec) as launcher:
        launcher.start()
        run = PoisonRun(launcher=launcher, kind=kind, seed=seed)
        report = run.run(sends)
    print(msgspec.json.encode(report).decode())
    is_found = _POISON in report.outcomes
    return 0 if is_found and 2 * len(report.lost) < report.server_count else 1


if __name__ == "__main__":
    sys.exit(fire.Fire(poison, serialize=lambda code: None))
