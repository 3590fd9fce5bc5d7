"""Compares versions of the operators' tables, and finds unsafe changes."""

from collections.abc import Iterator
from collections.abc import Mapping
import json
from typing import Any
from typing import TypeAlias

import msgspec

from rhubarblead import faults
from rhubarblead import ownership
from rhubarblead import tables

_Record: TypeAlias = tables.Route | tables.Pool
_ABSENT = ""


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One field of one record that differs between two versions.

    `before` and `after` are JSON texts, empty if the record is absent. `field`
    is empty if the whole record was added or removed.
    """

    table: str
    name: str
    field: str
    before: str
    after: str

    @property
    def path(self) -> str:
        """The path of the field, such as `pools.dispatch.slots`."""
        parts = (self.table, self.name, self.field)
        return ".".join(part for part in parts if part)

    def is_overlapping(self, other: "Difference") -> bool:
        """Tells whether two differences concern the same field."""
        if (self.table, self.name) != (other.table, other.name):
            return False
        return not self.field or not other.field or self.field == other.field


def find_differences(
    before: tables.Tables, after: tables.Tables
) -> tuple[Difference, ...]:
    """Lists the differences between two versions.

    Args:
        before: One version.
        after: Another version.

    Returns:
        The differences, ordered by record and then by field.
    """
    return (
        *_compare("pools", before.pools, after.pools),
        *_compare("routes", before.routes, after.routes),
    )


def check_change(
    before: tables.Tables, after: tables.Tables
) -> tuple[faults.Fault, ...]:
    """Lists what makes a change unsafe for a running system.

    Args:
        before: The tables in force.
        after: The tables that are to replace them.

    Returns:
        The faults of `after` itself, and one for each unsafe difference.
    """
    return (
        *tables.check_tables(after),
        *(fault for pool in before.pools for fault in _check_pool(pool, after)),
        *(
            fault
            for pool in before.pools
            for fault in _check_removal(pool, before, after)
        ),
    )


def check_shards(
    state: ownership.State, after: tables.Tables
) -> tuple[faults.Fault, ...]:
    """Lists the pools whose recorded shard count differs.

    A removed pool may be added again only with its former shard count.

    Args:
        state: The recorded owners of shards.
        after: The tables that are to come into force.

    Returns:
        A fault for each such pool.
    """
    return tuple(
        faults.Fault(
            path=f"pools.{pool.name}.shard_count",
            expected=f"{assignment.shard_count}, the recorded shard count",
        )
        for pool in after.pools
        if (assignment := state.assignments.get(pool.name)) is not None
        and pool.shard_count != assignment.shard_count
    )


def _check_pool(
    pool: tables.Pool, after: tables.Tables
) -> Iterator[faults.Fault]:
    changed = after.find_pool(pool.name)
    if changed is None:
        return
    if changed.kind != pool.kind:
        yield faults.Fault(
            path=f"pools.{pool.name}.kind",
            expected=f"{pool.kind!r}; the kind of a pool can't change",
        )
    if changed.shard_count != pool.shard_count:
        yield faults.Fault(
            path=f"pools.{pool.name}.shard_count",
            expected=f"{pool.shard_count}; the shard count can't change",
        )
    if not _have_common_server(pool, changed):
        yield faults.Fault(
            path=f"pools.{pool.name}.servers",
            expected="at least one of the previous servers, for the handover",
        )


def _check_removal(
    pool: tables.Pool, before: tables.Tables, after: tables.Tables
) -> Iterator[faults.Fault]:
    if after.find_pool(pool.name) is not None:
        return
    # Nodes that still use the previous version would have no server for
    # these routes.
    names = [route.name for route in before.routes if route.pool == pool.name]
    if names:
        yield faults.Fault(
            path=f"pools.{pool.name}",
            expected=f"to stay until the routes {', '.join(names)} have"
            " been changed or removed by an earlier revision",
        )


def _have_common_server(before: tables.Pool, after: tables.Pool) -> bool:
    return any(after.matches(name) for name in before.servers) or any(
        before.matches(name) for name in after.servers
    )


def _compare(
    table: str, before: tuple[_Record, ...], after: tuple[_Record, ...]
) -> Iterator[Difference]:
    old = _index(before)
    new = _index(after)
    for name in sorted(old.keys() | new.keys()):
        if name in old and name in new:
            yield from _compare_fields(table, name, old[name], new[name])
        else:
            yield Difference(
                table=table,
                name=name,
                field="",
                before=_format(old.get(name)),
                after=_format(new.get(name)),
            )


def _compare_fields(
    table: str, name: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for field in sorted(before.keys() | after.keys()):
        if before.get(field) != after.get(field):
            yield Difference(
                table=table,
                name=name,
                field=field,
                before=_format(before.get(field)),
                after=_format(after.get(field)),
            )


def _index(records: tuple[_Record, ...]) -> dict[str, dict[str, Any]]:
    return {record.name: record.model_dump(mode="json") for record in records}


def _format(value: Any) -> str:  # noqa: ANN401
    return _ABSENT if value is None else json.dumps(value, sort_keys=True)
