"""One soak, from the start of its processes to the audit."""

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
from tools.soak import odd_writer
from tools.soak import poison_caller
from tools.soak import statement_changer
from tools.soak import store_restorer

RECOVERY_TIMEOUT_S = 30.0
"""Timeout until all keys are served, after the start and after the faults."""

PROBE_COUNT = 48
"""Number of keys that are probed, spread evenly over all keys."""

CALLER_COUNT = 8
_POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The result of a soak.

    `crash_count` counts the servers that the poison request has ended,
    `restore_count` how often the store came back from a copy,
    `statement_count` how often a server changed what it states about itself,
    `odd_count` what another writer wrote among the heartbeats and rows.
    `recovered_s` is the time from the end of the faults until all probed keys
    were served again, or None if they weren't.
    """

    seed: int
    findings: list[audit.Finding]
    statuses: dict[int, int]
    crash_count: int
    restore_count: int
    statement_count: int
    odd_count: int
    recovered_s: float | None
    events: list[str]

    @property
    def has_passed(self) -> bool:
        """Whether no guarantee was violated and all keys recovered."""
        return not self.findings and self.recovered_s is not None

    def describe(self) -> str:
        """Describes the result in one line."""
        verdict = "passed" if self.has_passed else "FAILED"
        counts = sorted(self.statuses.items())
        statuses_text = " ".join(
            f"{status}:{count}" for status, count in counts
        )
        recovery = "never"
        if self.recovered_s is not None:
            recovery = f"after {self.recovered_s:.1f} s"
        return (
            f"seed {self.seed}: {verdict}, {len(self.events)} faults, answers"
            f" {statuses_text}, {self.crash_count} servers crashed by one"
            f" request, {self.restore_count} restores, {self.statement_count}"
            f" statements, {self.odd_count} odd writes, all keys served"
            f" again: {recovery}"
        )


def run_soak(
    *,
    seed: int,
    duration_s: float,
    node_count: int,
    folder: pathlib.Path,
    subnet: int = 77,
) -> Result:
    """Runs one soak.

    Args:
        seed: Seed of the faults and the requests.
        duration_s: How long faults are injected, in seconds.
        node_count: Number of instances.
        folder: Folder for logs, settings and records.
        subnet: Third octet of the instances' loopback addresses.

    Raises:
        CannotRun: The processes didn't become ready, or the keys weren't
            served before the time-out.
    """
    with cluster.Cluster(
        node_count=node_count, folder=folder, subnet=subnet
    ) as running:
        traffic = callers.Callers(
            nodes=running.nodes, count=CALLER_COUNT, seed=seed
        )
        if _wait_until_served(running, traffic) is None:
            raise cluster.CannotRun("the keys weren't served after the start")
        injector = fault_injector.FaultInjector(running=running, seed=seed)
        poison = poison_caller.PoisonCaller(
            running=running, traffic=traffic, seed=seed
        )
        restorer = store_restorer.StoreRestorer(running=running, seed=seed)
        changer = statement_changer.StatementChanger(running=running, seed=seed)
        writer = odd_writer.OddWriter(running=running, seed=seed)
        traffic.start()
        poison.start()
        writer.start()
        restorer.start()
        changer.start()
        injector.inject_faults(duration_s)
        poison.stop()
        restorer.stop()
        changer.stop()
        writer.stop()
        injector.restore()
        recovered_s = _wait_until_served(running, traffic)
        traffic.stop()
        records = audit.read_records(running.list_record_paths())
    crashed_ms = {
        record["server"]: record["at_ms"]
        for record in records
        if record["kind"] == "crash"
    }
    return Result(
        seed=seed,
        findings=audit.check(
            outcomes=traffic.outcomes,
            records=records,
            ended_ms={
                **injector.ended_ms,
                **changer.ended_ms,
                **crashed_ms,
            },
            disturbed_ms=injector.disturbed_ms,
        ),
        statuses=dict(collections.Counter(o.status for o in traffic.outcomes)),
        crash_count=len(crashed_ms),
        restore_count=restorer.count,
        recovered_s=recovered_s,
        statement_count=changer.count,
        odd_count=writer.count,
        events=[f"{event.at_ms:.0f} {event.text}" for event in injector.events],
    )


def _wait_until_served(
    running: cluster.Cluster, traffic: callers.Callers
) -> float | None:
    """Waits until each probed key is served, asking the nodes in turn.

    Returns:
        The time that this took in seconds, or None after the time-out.
    """
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
