"""Compact text format for sets of shard numbers, such as `0-15,32`."""

from collections.abc import Iterable
import itertools

from rhubarblead.events import record


def format_shards(shards: Iterable[int]) -> str:
    """Formats shard numbers as ranges, in ascending order."""
    ordered = sorted(set(shards))
    runs = itertools.groupby(
        enumerate(ordered), key=lambda item: item[1] - item[0]
    )
    return ",".join(_format_run([s for _, s in run]) for _, run in runs)


def has_shard(value: record.Value, shard: int) -> bool:
    """Checks whether an event's `shards` field contains a shard.

    Args:
        value: The result of `format_shards`, or a list of numbers.
        shard: The shard number.

    Returns:
        Whether the shard is included; False if the value can't be parsed.
    """
    match value:
        case str():
            return any(_is_in_run(run, shard) for run in value.split(","))
        case list() | tuple():
            return shard in value
    return False


def _format_run(run: list[int]) -> str:
    return str(run[0]) if len(run) == 1 else f"{run[0]}-{run[-1]}"


def _is_in_run(run: str, shard: int) -> bool:
    first, _, last = run.partition("-")
    if not first.isdigit():
        return False
    return int(first) <= shard <= int(last or first)
