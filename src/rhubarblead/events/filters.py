"""Filters for events of a time line, and their encoding as URL queries."""

from collections.abc import Mapping
import dataclasses
from typing import Any
import urllib.parse

import result

from rhubarblead.events import catalog
from rhubarblead.events import record
from rhubarblead.events import shards

_OWNER_CHANGE_EVENTS = frozenset({catalog.Event.MEMBER_EVICTED.number})
"""Events that change the owner of a shard without naming the shard."""

_NUMBERS = frozenset({"shard", "since_ms", "until_ms", "limit"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Filter:
    """Criteria for events; None matches every event.

    With `pool` and `shard`, events about that shard and evictions match in
    addition to those about `key`. `since_ms` and `until_ms` are compared with
    the wall time of the process that reported the event. `limit` restricts the
    result to the newest events; 0 means no limit.
    """

    key: str | None = None
    pool: str | None = None
    shard: int | None = None
    request_id: str | None = None
    instance: str | None = None
    since_ms: int | None = None
    until_ms: int | None = None
    limit: int = 0

    def matches(self, item: record.Record) -> bool:
        """Whether a record matches the filter, regardless of `limit`."""
        return (
            self._matches_time(item)
            and self.instance in (None, item.instance)
            and self.request_id in (None, item.fields.get("request_id"))
            and self._matches_key(item)
        )

    def select(self, records: list[record.Record]) -> list[record.Record]:
        """Returns the matching records, at most the newest `limit`."""
        matching = [item for item in records if self.matches(item)]
        return matching[-self.limit :] if self.limit else matching

    def format_query(self) -> str:
        """Encodes the filter as a URL query."""
        return format_pairs(dataclasses.asdict(self))

    def _matches_time(self, item: record.Record) -> bool:
        if self.since_ms is not None and item.wall_ms < self.since_ms:
            return False
        return self.until_ms is None or item.wall_ms <= self.until_ms

    def _matches_key(self, item: record.Record) -> bool:
        if self.key is None and self.shard is None:
            return self.pool in (None, item.fields.get("pool"))
        if self.key is not None and item.fields.get("key") == self.key:
            return True
        if self.shard is not None and item.number in _OWNER_CHANGE_EVENTS:
            return True
        if self.shard is None or item.fields.get("pool") != self.pool:
            return False
        return shards.has_shard(item.fields.get("shards"), self.shard)


def format_pairs(pairs: Mapping[str, str | int | None]) -> str:
    """Encodes pairs as a URL query; pairs without a value are omitted."""
    return urllib.parse.urlencode(
        {n: v for n, v in pairs.items() if v is not None and v != ""}
    )


def read_filter(query: str) -> result.Result[Filter, str]:
    """Parses a filter from a URL query.

    Args:
        query: The query, in the format of `Filter.format_query`.

    Returns:
        The filter, or a description of the error.
    """
    names = {field.name for field in dataclasses.fields(Filter)}
    values: dict[str, Any] = {}
    for name, value in urllib.parse.parse_qsl(query):
        if name not in names:
            return result.Err(f"no filter is named {name!r}")
        if name not in _NUMBERS:
            values[name] = value
        elif value.isdecimal():
            values[name] = int(value)
        else:
            return result.Err(f"{name} must be a whole number, not {value!r}")
    return result.Ok(Filter(**values))
