"""Shows where the worth of plays is lost, by part and by price."""

from collections.abc import Iterable

from tools.bench import entries


def find_losses(days: Iterable[entries.Day]) -> list[tuple[str, float]]:
    """Finds the mean loss of worth by its cause.

    Args:
        days: Plays, at least one.

    Returns:
        Each part of the worth with what it lacks, and each price with its
        cost, the largest first.
    """
    days = list(days)
    sums: dict[str, float] = {}
    for day in days:
        for name, weight, value in day.parts:
            sums[name] = sums.get(name, 0.0) + weight * (1 - value)
        for name, _, cost in day.prices:
            sums[name] = sums.get(name, 0.0) + cost
    means = [(name, total / len(days)) for name, total in sums.items()]
    return sorted(means, key=lambda item: -item[1])
