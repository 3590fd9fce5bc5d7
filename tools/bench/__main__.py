"""Reads the journal and the logs of the users' bench.

Usage: ./run python -m tools.bench compare BEFORE AFTER [--journal FOLDER]
       ./run python -m tools.bench losses REASON [--journal FOLDER]
       ./run python -m tools.bench slots LOG SERVICE
       ./run python -m tools.bench retries LOG
       ./run python -m tools.bench margins LOG [LOG ...]
       ./run python -m tools.bench draw FIRST LAST FOLDER

BEFORE, AFTER and REASON are text in the reason that was given for the plays.
"""

import pathlib

import fire

from tools.bench import comparison
from tools.bench import entries
from tools.bench import losses
from tools.bench import margins
from tools.bench import retry_use
from tools.bench import short_days
from tools.bench import slot_use

MIN_COST = 0.0005


def _list_journal(folder: str) -> list[pathlib.Path]:
    return sorted(pathlib.Path(folder).glob("*.json"))


def compare(before: str, after: str, *, journal: str = "journal") -> None:
    """Prints the paired differences between two sets of plays.

    Args:
        before: Text in the reason of the plays of one version.
        after: Text in the reason of the plays of the other.
        journal: Folder with the entries.
    """
    paths = _list_journal(journal)
    old = entries.find_plays(paths, before)
    new = entries.find_plays(paths, after)
    for (site, day, seed), worth, other in comparison.list_pairs(old, new):
        print(
            f"{site} {day} {seed}: {worth:.3f} {other:.3f} {other - worth:+.3f}"
        )
    for item in comparison.compare(old, new):
        if item.name != "worth" and abs(item.mean) < MIN_COST:
            continue
        mark = "" if item.is_certain else " (holds 0)"
        print(
            f"{item.name}: {item.mean:+.4f}, 90 % from {item.low:+.4f} to"
            f" {item.high:+.4f}, {item.count} pairs{mark}"
        )


def print_losses(reason: str, *, journal: str = "journal") -> None:
    """Prints where plays lose worth.

    Args:
        reason: Text in the reason of the plays.
        journal: Folder with the entries.
    """
    plays = entries.find_plays(_list_journal(journal), reason)
    days = [day for found in plays.values() for day in found]
    if not days:
        print("no plays")
        return
    print(f"{len(days)} plays, mean worth {_average_worth(days):.3f}")
    for name, loss in losses.find_losses(days):
        if loss >= MIN_COST:
            print(f"{loss:.4f} {name}")
    for day in days:
        if day.broken_rules:
            print(f"{day.name} {day.seed}: {', '.join(day.broken_rules)}")


def print_retries(log: str) -> None:
    """Prints the most retries to each service within a window.

    Args:
        log: File with the printed logs of all nodes of a day.
    """
    with open(log, encoding="utf-8") as lines:
        peaks = retry_use.find_peaks(lines)
    for service, peak in sorted(peaks.items()):
        print(
            f"{service}: {peak.retry_count} retries in the window until"
            f" {peak.ends_ms / 1_000:.1f} s, {peak.allowed_count:.0f} allowed"
        )


def print_margins(*logs: str) -> None:
    """Prints how near the nodes came to each bound.

    Args:
        logs: Files with the printed logs of the nodes of a day.
    """
    lines: list[str] = []
    for log in logs:
        text = pathlib.Path(log).read_text(encoding="utf-8", errors="replace")
        lines += text.splitlines()
    for margin in margins.find_margins(lines):
        print(margins.format_margin(margin))


def print_slots(log: str, service: str) -> None:
    """Prints how the slots of a service's servers were used.

    Args:
        log: File with the printed logs of all nodes of a day.
        service: The service's name in these logs.
    """
    with open(log, encoding="utf-8") as lines:
        usage = slot_use.read(lines)
    print("\n".join(slot_use.format_service(usage, service)))


def draw(first: int, last: int, folder: str) -> None:
    """Writes short days of several disruptions, for the bench's `run`.

    Args:
        first: Seed of the first day.
        last: Seed of the last day.
        folder: Where the days are written, one file each.
    """
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for seed in range(first, last + 1):
        day = short_days.draw(seed)
        path = target / f"{day.name}.toml"
        path.write_text(short_days.format_day(day), encoding="utf-8")
        print(path)


def _average_worth(days: list[entries.Day]) -> float:
    return sum(day.worth for day in days) / len(days)


if __name__ == "__main__":
    fire.Fire(
        {
            "compare": compare,
            "draw": draw,
            "losses": print_losses,
            "margins": print_margins,
            "retries": print_retries,
            "slots": print_slots,
        }
    )
