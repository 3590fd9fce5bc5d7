"""The requests of a caller process, generated from a seed."""

import bisect
from collections.abc import Iterator
import enum
import itertools
import random

import msgspec

from rhubarblead import ownership

_NS_PER_S = 1_000_000_000


class Entry(enum.Enum):
    """How a caller chooses the node for a request.

    `BLIND` chooses any node, so that most requests take an additional hop.
    `LOCAL` chooses the owner that an earlier answer named.
    """

    BLIND = "blind"
    LOCAL = "local"


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of request, and its weight among all requests.

    `shard_count` is 0 for a balanced pool. `nodes` are the HTTP addresses of
    the nodes that run beside the pool's servers.
    """

    method: str
    pool: str
    prefix: str
    shard_count: int
    weight: float
    nodes: tuple[str, ...]


class KeyDistribution(msgspec.Struct, frozen=True, kw_only=True):
    """The distribution of requests over keys.

    The first `hot_count` keys get a share of `hot_share` of the requests. The
    others are spread over all keys by Zipf's law with `zipf_exponent`; 0 gives
    a uniform distribution.
    """

    names: tuple[str, ...]
    zipf_exponent: float
    hot_count: int
    hot_share: float


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration of one caller process.

    `start_ns` is on the machine's monotonic clock. A send that got no answer or
    was refused as not run is followed by up to `resend_count` resends to other
    nodes, with the same idempotency key. With `is_regular`, requests are evenly
    spaced and use the keys in round-robin order, so that a gap in the answers
    shows when a key was not served.
    """

    seed: int
    caller: int
    start_ns: int
    seconds: float
    rate_per_s: float
    threads: int
    entry: Entry
    nodes: tuple[str, ...]
    works: tuple[Workload, ...]
    keys: KeyDistribution
    answer_bytes: int
    body_bytes: int
    service_ms: int
    timeout_ms: int
    resend_count: int
    is_regular: bool
    log_path: str


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One request, to be sent `after_ns` after the start."""

    serial: int
    after_ns: int
    work: Workload
    key: str


def list_arrivals(plan: Plan) -> Iterator[Arrival]:
    """Generates the requests of one caller.

    Args:
        plan: The plan; its seed and caller number determine the requests.

    Returns:
        The requests in the order of their send times.
    """
    rng = random.Random(f"{plan.seed}/{plan.caller}")
    weights = [workload.weight for workload in plan.works]
    sampler = make_key_sampler(plan.keys)
    round_robin_keys = itertools.cycle(plan.keys.names)
    end_ns = int(plan.seconds * _NS_PER_S)
    for serial, after_ns in enumerate(_list_send_times(plan, rng)):
        if after_ns >= end_ns:
            return
        workload = rng.choices(plan.works, weights)[0]
        is_round_robin = plan.is_regular and workload.shard_count
        yield Arrival(
            serial=serial,
            after_ns=after_ns,
            work=workload,
            key=next(round_robin_keys)
            if is_round_robin
            else sampler.sample(rng),
        )


def _list_send_times(plan: Plan, rng: random.Random) -> Iterator[int]:
    """Lists send times, evenly spaced or of a Poisson process, in ns."""
    mean_ns = _NS_PER_S / plan.rate_per_s
    send_time_ns = mean_ns * rng.random()
    while True:
        yield int(send_time_ns)
        send_time_ns += (
            mean_ns if plan.is_regular else rng.expovariate(1 / mean_ns)
        )


class KeySampler:
    """Samples keys from a distribution."""

    __slots__ = ("_cumulative_weights", "_keys")

    def __init__(
        self, *, keys: KeyDistribution, cumulative_weights: list[float]
    ) -> None:
        self._keys = keys
        self._cumulative_weights = cumulative_weights

    def sample(self, rng: random.Random) -> str:
        """Samples one key."""
        keys = self._keys
        if keys.hot_count and rng.random() < keys.hot_share:
            return keys.names[rng.randrange(keys.hot_count)]
        at = rng.random() * self._cumulative_weights[-1]
        return keys.names[bisect.bisect_left(self._cumulative_weights, at)]


def make_key_sampler(keys: KeyDistribution) -> KeySampler:
    """Creates a sampler for a distribution of keys."""
    weights = (
        1.0 / rank**keys.zipf_exponent for rank in range(1, len(keys.names) + 1)
    )
    return KeySampler(
        keys=keys, cumulative_weights=list(itertools.accumulate(weights))
    )


def list_even_keys(shard_count: int, keys_per_shard: int) -> tuple[str, ...]:
    """Finds keys of which every shard has the same number.

    Args:
        shard_count: A power of two.
        keys_per_shard: Number of keys for each shard.

    Returns:
        The keys, in the order of their shards.
    """
    found: list[list[str]] = [[] for _ in range(shard_count)]
    missing = shard_count * keys_per_shard
    for number in itertools.count():
        if not missing:
            return tuple(itertools.chain.from_iterable(found))
        name = f"key-{number:06}"
        keys = found[find_shard(name, shard_count)]
        if len(keys) < keys_per_shard:
            keys.append(name)
            missing -= 1
    raise AssertionError("count never ends")


def find_shard(key: str, shard_count: int) -> int:
    """Finds the hashed shard of a key; -1 in a balanced pool."""
    if not shard_count:
        return -1
    return ownership.hash_key(key) & (shard_count - 1)
