"""Entries of the bench's journal, as plays of days."""

from collections.abc import Iterable
import pathlib
from typing import Any

import msgspec


class CannotRead(Exception):
    """A file is not an entry of the journal."""


class Day(msgspec.Struct, kw_only=True, frozen=True):
    """One day of an entry.

    `worth` is what the day earned, as a share of what could be. `parts` has a
    name, a weight and a value for each part of it, `prices` a name, an amount
    and a cost. `by_class` holds the share earned of each kind of request, None
    for nested calls. `rules` names the broken ones.
    """

    name: str
    seed: int
    worth: float = msgspec.field(name="G")
    served: float = 0.0
    gate: bool | None = None
    rules: dict[str, Any] | None = None
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float]] = []
    by_class: list[float | None] = []

    @property
    def broken_rules(self) -> tuple[str, ...]:
        """The rules that were broken."""
        return tuple(
            name for name, found in (self.rules or {}).items() if found
        )


class Entry(msgspec.Struct, kw_only=True, frozen=True):
    """One run of the bench; `why` is the reason that was given for it."""

    id: str
    site: str | None = None
    why: str | None = None
    days: list[Day] | None = None


def read_entry(path: pathlib.Path) -> Entry:
    """Reads one entry.

    Raises:
        CannotRead: The file isn't an entry.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Entry)
    except msgspec.MsgspecError as error:
        raise CannotRead(f"{path}: {error}") from error


def find_plays(
    paths: Iterable[pathlib.Path], reason: str
) -> dict[tuple[str, str, int], list[Day]]:
    """Finds the plays that were made for a reason.

    Args:
        paths: Files of the journal.
        reason: Text that the reason of an entry contains.

    Returns:
        The plays by site, day and seed; one may have been played repeatedly.
    """
    found: dict[tuple[str, str, int], list[Day]] = {}
    for path in sorted(paths):
        entry = read_entry(path)
        if reason not in (entry.why or ""):
            continue
        for day in entry.days or ():
            key = (entry.site or "", day.name, day.seed)
            found.setdefault(key, []).append(day)
    return found
