"""Measurements of a load run, computed from the callers' records."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import itertools

from hdrh import histogram
import msgspec

from tools import records

_NS_PER_US = 1_000
_US_PER_MS = 1_000
_US_PER_S = 1_000_000
_HIGHEST_US = 120 * _US_PER_S
_DIGITS = 3
_CURVE_PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100)


class Parameters(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters of a load run."""

    deployment: str
    rate_per_s: float
    seconds: float
    caller_count: int = 2
    thread_count: int = 48
    entry: str = "blind"
    seed: int = 1
    post_share: float = 0.2
    balanced_share: float = 0.3
    key_count: int = 4096
    keys_per_shard: int = 0
    zipf_exponent: float = 0.9
    hot_count: int = 0
    hot_share: float = 0.0
    answer_bytes: int = 256
    body_bytes: int = 256
    service_ms: int = 0
    timeout_ms: int = 4_000
    resend_count: int = 0
    is_regular: bool = False
    fault: str = ""
    fault_at_s: float = 0.0


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of correct answers, counted from the intended send time."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    curve: tuple[tuple[float, float], ...]


class RoleUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage of the processes of one role during the load."""

    process_count: int
    cpu_s: float
    cpu_us_per_request: float
    max_resident_bytes: int


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Correct answers by server, and the highest count over the mean."""

    answers_by_server: dict[str, int]
    imbalance: float


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The measurements of a load run. Counts are of sends.

    `platform_per_s` holds the rates of the platform's counters, by kind.
    """

    parameters: Parameters
    revision: str
    processor_count: int
    sent_count: int
    request_count: int
    correct_count: int
    asked_per_s: float
    reached_per_s: float
    latency: Latency
    latency_by_work: dict[str, Latency]
    count_by_status: dict[str, int]
    count_by_refusal: dict[str, int]
    count_by_verdict: dict[str, int]
    count_by_fault: dict[str, int]
    answer_body_bytes: int
    usage_by_role: dict[str, RoleUsage]
    load_by_pool: dict[str, PoolLoad]
    platform_per_s: dict[str, float]


def measure_latency(outcomes: Iterable[records.Outcome]) -> Latency:
    """Measures the latency of the correct answers among the outcomes."""
    values = histogram.HdrHistogram(1, _HIGHEST_US, _DIGITS)
    for item in outcomes:
        if item.is_correct:
            elapsed_us = (item.end_ns - item.intended_ns) // _NS_PER_US
            values.record_value(max(1, elapsed_us))

    def read(percentile: float) -> float:
        return float(values.get_value_at_percentile(percentile) / _US_PER_MS)

    return Latency(
        count=values.get_total_count(),
        p50_ms=read(50),
        p99_ms=read(99),
        p999_ms=read(99.9),
        max_ms=read(100),
        curve=tuple((p, read(p)) for p in _CURVE_PERCENTILES),
    )


def measure_pools(
    outcomes: Iterable[records.Outcome],
    servers_by_pool: Mapping[str, list[str]],
) -> dict[str, PoolLoad]:
    """Counts the correct answers of all servers, including 0."""
    counts = collections.Counter(
        (item.pool, item.server) for item in outcomes if item.is_correct
    )
    return {
        pool: _measure_pool({name: counts[pool, name] for name in servers})
        for pool, servers in servers_by_pool.items()
    }


def _measure_pool(answers: dict[str, int]) -> PoolLoad:
    mean = sum(answers.values()) / max(1, len(answers))
    highest = max(answers.values(), default=0)
    return PoolLoad(
        answers_by_server=answers,
        imbalance=round(highest / mean, 3) if mean else 0.0,
    )


def count(values: Iterable[object]) -> dict[str, int]:
    """Counts values by their text, without empty ones."""
    texts = (str(value) for value in values if value != "")
    return dict(sorted(collections.Counter(texts).items()))


def find_rate(
    correct: list[records.Outcome], start_ns: int, seconds: float
) -> float:
    """Computes the rate of correct answers, in 1/s.

    Args:
        correct: The correct answers.
        start_ns: Start of the load, on the monotonic clock.
        seconds: Duration of the load; later answers extend the time over which
            the rate is taken.

    Returns:
        The rate, rounded.
    """
    last_ns = max((item.end_ns for item in correct), default=start_ns)
    elapsed_s = max(seconds, (last_ns - start_ns) / _NS_PER_US / _US_PER_S)
    return round(len(correct) / elapsed_s, 1)


def find_gaps(
    outcomes: Iterable[records.Outcome],
    *,
    pool: str,
    shards: Iterable[int],
    start_ns: int,
    end_ns: int,
) -> dict[int, float]:
    """Finds the longest time without a correct answer, for each shard.

    Args:
        outcomes: The outcomes recorded by the callers.
        pool: A keyed pool.
        shards: The shards to examine.
        start_ns: Start of the period, on the monotonic clock.
        end_ns: End of the period.

    Returns:
        The gap of each shard in ms.
    """
    times_ns = {shard: [start_ns, end_ns] for shard in shards}
    for item in outcomes:
        is_within = start_ns <= item.end_ns <= end_ns
        if item.pool == pool and item.is_correct and is_within:
            times_ns.get(item.shard, []).append(item.end_ns)
    return {
        shard: _find_longest_gap(sorted(ends)) / _NS_PER_US / _US_PER_MS
        for shard, ends in times_ns.items()
    }


def _find_longest_gap(times_ns: list[int]) -> int:
    return max(after - before for before, after in itertools.pairwise(times_ns))
