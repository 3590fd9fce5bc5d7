"""Entries of the bench's journal, as plays of days."""

from collections.abc import Iterable
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

_Kind = TypeVar("_Kind", bound="Header")


class CannotRead(Exception):
    """A file is not an entry of the journal."""


class Day(msgspec.Struct, kw_only=True, frozen=True):
    """One day of an entry.

    `worth` is what the day earned, as a share of what could be. `parts` has a
    name, a weight and a value for each part of it, `prices` a name, an amount
    and a cost. `rules` names the broken ones.
    """

    name: str
    seed: int
    worth: float = msgspec.field(name="G")
    rules: dict[str, Any] | None = None
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float]] = []

    @property
    def broken_rules(self) -> tuple[str, ...]:
        """The rules that were broken."""
        return tuple(
            name for name, found in (self.rules or {}).items() if found
        )


class Header(msgspec.Struct, kw_only=True, frozen=True):
    """One run of the bench; `why` is the reason that was given for it."""

    id: str
    site: str | None = None
    why: str | None = None


class _Entry(Header, kw_only=True, frozen=True):
    days: list[Day] | None = None


def _decode(path: pathlib.Path, kind: type[_Kind]) -> _Kind:
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
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

    Raises:
        CannotRead: A file isn't an entry, or one that was asked for has no
            figures, as that of a day that was cut short.
    """
    found: dict[tuple[str, str, int], list[Day]] = {}
    for path in sorted(paths):
        if reason not in (_decode(path, Header).why or ""):
            continue
        entry = _decode(path, _Entry)
        for day in entry.days or ():
            key = (entry.site or "", day.name, day.seed)
            found.setdefault(key, []).append(day)
    return found
