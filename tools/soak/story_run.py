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
from tools.soak import story

SETTLE_S = 30.0
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
    def is_good(self) -> bool:
        """Whether no promise was broken and all recovered."""
        return not self.findings and self.recovered_s is not None

    def describe(self) -> str:
        """Describes the result in one line."""
        word = "good" if self.is_good else "BROKEN"
        counts = sorted(self.statuses.items())
        answers = " ".join(f"{status}:{count}" for status, count in counts)
        back = "never"
        if self.recovered_s is not None:
            back = f"after {self.recovered_s:.1f} s"
        return (
            f"seed {self.seed}: {word}, {len(self.events)} faults, answers"
            f" {answers}, all keys back {back}"
        )


def play(
    *,
    seed: int,
    length_s: float,
    node_count: int,
    folder: pathlib.Path,
    block: int = 77,
) -> Result:
    """Plays one story.

    Args:
        seed: Draws the faults and the requests.
        length_s: How long faults come.
        node_count: Instances.
        folder: For logs and records.
        block: Third part of the loopback addresses.

    Raises:
        CannotRun: The processes didn't start.
    """
    with cluster.Cluster(
        node_count=node_count, folder=folder, block=block
    ) as running:
        crowd = callers.Callers(
            nodes=running.nodes, count=CALLER_COUNT, seed=seed
        )
        if _wait_until_served(running, crowd) is None:
            raise cluster.CannotRun("keys were never served")
        told = story.Story(running=running, seed=seed)
        crowd.start()
        told.play(length_s)
        told.heal()
        recovered_s = _wait_until_served(running, crowd)
        crowd.stop()
        lines = audit.read_lines(running.list_records())
    return Result(
        seed=seed,
        findings=audit.check(
            outcomes=crowd.outcomes, lines=lines, ended_ms=told.ended_ms
        ),
        statuses=dict(collections.Counter(o.status for o in crowd.outcomes)),
        recovered_s=recovered_s,
        events=[f"{event.at_ms:.0f} {event.text}" for event in told.events],
    )


def _wait_until_served(
    running: cluster.Cluster, crowd: callers.Callers
) -> float | None:
    """Waits until each of some keys is served, by nodes in turn."""
    began_s = time.monotonic()
    source = random.Random(0)
    keys = [
        number * callers.KEY_COUNT // PROBE_COUNT
        for number in range(PROBE_COUNT)
    ]
    while keys and time.monotonic() - began_s < SETTLE_S:
        node = running.nodes[len(keys) % len(running.nodes)]
        with contextlib.closing(callers.open_connection(node)) as connection:
            outcome = crowd.send(node, connection, keys[-1], source)
        crowd.outcomes.append(outcome)
        if outcome.status == http.client.OK:
            keys.pop()
        else:
            time.sleep(_POLL_S)
    return None if keys else time.monotonic() - began_s
