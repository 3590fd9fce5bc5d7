"""Steps for a node in a storm of configurations."""

import statistics

import behave
from behave import runner

from tools import config_storm

_SEEDS = range(1, 6)


@behave.when(
    "versions follow each other every {interval:d} ms for {length:d} s, with"
    " {nodes:d} nodes, and an answer of the store is late"
)
def simulate(
    context: runner.Context, interval: int, length: int, nodes: int
) -> None:
    context.storm = config_storm.Storm(
        node_count=nodes, interval_s=interval / 1_000, length_s=float(length)
    )
    context.results = [
        config_storm.simulate(context.storm, seed) for seed in _SEEDS
    ]


@behave.then(
    "small messages to a node take less than {most:d} ms in the median of"
    " {count:d} seeds"
)
def check_transit(context: runner.Context, most: int, count: int) -> None:
    found = [result.median_transit_ms for result in context.results]
    assert len(found) == count
    assert statistics.median(found) < most, found


@behave.then(
    "other nodes send it less than {most:d} kB of configurations a second"
)
def check_snapshots(context: runner.Context, most: int) -> None:
    found = [
        result.bytes_by_cause["snapshots"] / context.storm.length_s / 1_000
        for result in context.results
    ]
    assert max(found) < most, found


@behave.then("each version that stands is in force there within {most:d} ms")
def check_lag(context: runner.Context, most: int) -> None:
    found = [max(result.lag_ms) for result in context.results]
    assert max(found) <= most, found
