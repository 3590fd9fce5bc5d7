"""Compares two sets of plays of the same days and seeds, in pairs."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import numpy

from tools.bench import entries

CONFIDENCE = 0.9
RESAMPLE_COUNT = 10_000
SEED = 1

Key = tuple[str, str, int]
Plays = Mapping[Key, Sequence[entries.Day]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """The mean of paired differences, with its confidence interval.

    `is_certain` is set if the interval doesn't hold 0.
    """

    name: str
    count: int
    mean: float
    low: float
    high: float

    @property
    def is_certain(self) -> bool:
        """Whether the interval doesn't hold 0."""
        return self.low > 0 or self.high < 0


def compare(before: Plays, after: Plays) -> list[Difference]:
    """Compares worth, parts and prices of the days that both sets have.

    Args:
        before: Plays of one version.
        after: Plays of another one.

    Returns:
        The difference of the worth, then those of its parts and costs, the
        largest first; none if the sets share no day.
    """
    keys = sorted(before.keys() & after.keys())
    if not keys:
        return []
    names = _list_terms(before[keys[0]][0])
    found = [
        _find_difference(name, before, after, keys, find_term)
        for name, find_term in names
    ]
    return found[:1] + sorted(found[1:], key=lambda item: -abs(item.mean))


def list_pairs(before: Plays, after: Plays) -> list[tuple[Key, float, float]]:
    """Lists the mean worth of each day and seed that both sets have."""
    return [
        (
            key,
            _average(before[key], _get_worth),
            _average(after[key], _get_worth),
        )
        for key in sorted(before.keys() & after.keys())
    ]


def _list_terms(
    day: entries.Day,
) -> list[tuple[str, Callable[[entries.Day], float]]]:
    parts = [
        (name, lambda d, name=name: _find_part(d, name))
        for name, _, _ in day.parts
    ]
    prices = [
        (f"cost of {name}", lambda d, name=name: _find_price(d, name))
        for name, _, _ in day.prices
    ]
    return [("worth", _get_worth), *parts, *prices]


def _find_difference(
    name: str,
    before: Plays,
    after: Plays,
    keys: Sequence[Key],
    find_term: Callable[[entries.Day], float],
) -> Difference:
    differences = numpy.array(
        [
            _average(after[key], find_term) - _average(before[key], find_term)
            for key in keys
        ]
    )
    source = numpy.random.default_rng(SEED)
    samples = source.choice(differences, (RESAMPLE_COUNT, len(keys)))
    tail = (1 - CONFIDENCE) / 2
    low, high = numpy.quantile(samples.mean(axis=1), [tail, 1 - tail])
    return Difference(
        name=name,
        count=len(keys),
        mean=float(differences.mean()),
        low=float(low),
        high=float(high),
    )


def _average(
    days: Sequence[entries.Day], find_term: Callable[[entries.Day], float]
) -> float:
    return sum(map(find_term, days)) / len(days)


def _get_worth(day: entries.Day) -> float:
    return day.worth


def _find_part(day: entries.Day, name: str) -> float:
    """Returns what a part contributes to the worth."""
    return sum(
        weight * value for part, weight, value in day.parts if part == name
    )


def _find_price(day: entries.Day, name: str) -> float:
    return sum(cost for price, _, cost in day.prices if price == name)
