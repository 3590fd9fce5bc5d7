"""One story from its start to the audit."""

import collections
import contextlib
import dataclasses
import http.client
import pathlib
import random
import time

from tools.soak import audit
from tools.soak import callers
from tools.soak import cluster
from tools.soak import fault_injector

RECOVERY_TIMEOUT_S = 30.0
"""For the first assignment, and for all keys to be served again at the end."""

PROBE_COUNT = 48
"""Keys asked for at the end, spread over all."""

CALLER_COUNT = 8
_POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What came of a story.

    `recovered_s` is how long after the last fault all keys were served again,
    None where they weren't.
    """

    seed: int
    findings: list[audit.Finding]
    statuses: dict[int, int]
    recovered_s: float | None
    events: list[str]

    @property
    def has_passed(self) -> bool:
        """Whether no promise was broken and all recovered."""
        return not self.findings and self.recovered_s is not None

    def describe(self) -> str:
        """Describes the result in one line."""
        verdict = "good" if self.has_passed else "BROKEN"
        counts = sorted(self.statuses.items())
        statuses_text = " ".join(
            f"{status}:{count}" for status, count in counts
        )
        recovery = "never"
        if self.recovered_s is not None:
            recovery = f"after {self.recovered_s:.1f} s"
        return (
            f"seed {self.seed}: {verdict}, {len(self.events)} faults, answers"
            f" {statuses_text}, all keys back {recovery}"
        )


def run_soak(
    *,
    seed: int,
    duration_s: float,
    node_count: int,
    folder: pathlib.Path,
    subnet: int = 77,
) -> Result:
    """Plays one story.

    Args:
        seed: Draws the faults and the requests.
        duration_s: How long faults come.
        node_count: Instances.
        folder: For logs and records.
        subnet: Third part of the loopback addresses.

    Raises:
        CannotRun: The processes didn't start.
    """
    with cluster.Cluster(
        node_count=node_count, folder=folder, subnet=subnet
    ) as running:
        traffic = callers.Callers(
            nodes=running.nodes, count=CALLER_COUNT, seed=seed
        )
        if _wait_until_served(running, traffic) is None:
            raise cluster.CannotRun("keys were never served")
        injector = fault_injector.FaultInjector(running=running, seed=seed)
        traffic.start()
        injector.inject_faults(duration_s)
        injector.restore()
        recovered_s = _wait_until_served(running, traffic)
        traffic.stop()
        records = audit.read_records(running.list_record_paths())
    return Result(
        seed=seed,
        findings=audit.check(
            outcomes=traffic.outcomes,
            records=records,
            ended_ms=injector.ended_ms,
        ),
        statuses=dict(collections.Counter(o.status for o in traffic.outcomes)),
        recovered_s=recovered_s,
        events=[f"{event.at_ms:.0f} {event.text}" for event in injector.events],
    )


def _wait_until_served(
    running: cluster.Cluster, traffic: callers.Callers
) -> float | None:
    """Waits until each of some keys is served, by nodes in turn."""
    start_s = time.monotonic()
    rng = random.Random(0)
    keys = [
        number * callers.KEY_COUNT // PROBE_COUNT
        for number in range(PROBE_COUNT)
    ]
    while keys and time.monotonic() - start_s < RECOVERY_TIMEOUT_S:
        node = running.nodes[len(keys) % len(running.nodes)]
        with contextlib.closing(callers.open_connection(node)) as connection:
            outcome = traffic.send(node, connection, keys[-1], rng)
        traffic.outcomes.append(outcome)
        if outcome.status == http.client.OK:
            keys.pop()
        else:
            time.sleep(_POLL_S)
    return None if keys else time.monotonic() - start_s
