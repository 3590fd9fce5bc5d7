"""Versions of the operators' tables, and the outcomes of changes."""

import dataclasses
from typing import TypeAlias

import msgspec

from rhubarblead import faults
from rhubarblead import tables
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_changes


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed the tables, when and why.

    `tables_digest` identifies the object with the tables as JSON, and
    `previous_digest` the one with the previous version; it is empty for the
    first version.
    """

    revision: int = 0
    write_id: str = ""
    author: str = ""
    written_at_ms: int = 0
    comment: str = ""
    tables_digest: str = ""
    previous_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """The tables in force; `document` is their JSON text."""

    version: Version
    tables: tables.Tables
    document: bytes

    @property
    def revision(self) -> int:
        """The revision of the row; 0 if there are no tables yet."""
        return self.version.revision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """One change; `before_digest` identifies the tables that it replaced."""

    version: Version
    before_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The tables are in the row; `is_changed` is false if they already were."""

    version: Version
    is_changed: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The tables are invalid, or the change is unsafe."""

    faults: tuple[faults.Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesConflict:
    """Others changed the tables first.

    `yours` and `theirs` are the differences of both sides from their common
    base. `changed_by` lists the versions since that base, newest first.
    """

    revision: int
    changed_by: tuple[Version, ...]
    yours: tuple[table_changes.Difference, ...]
    theirs: tuple[table_changes.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotDone:
    """The tables were definitely not changed."""

    explanation: str


ApplyError: TypeAlias = Refused | TablesConflict | NotDone | store.InDoubt
