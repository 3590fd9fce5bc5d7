"""The operators' tables of routes and pools, and their validation."""

import collections
import fnmatch
from typing import Annotated
from typing import Literal
from typing import TypeAlias

import pydantic

from rhubarblead import faults

Name: TypeAlias = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
Method: TypeAlias = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class Strict(pydantic.BaseModel):
    """A validated record that rejects unknown fields."""

    model_config = pydantic.ConfigDict(
        frozen=True,
        extra="forbid",
        strict=False,
        use_attribute_docstrings=True,
    )


class HeaderKey(Strict):
    """The key is the value of a request header."""

    source: Literal["header"]
    name: Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9-]{1,64}$")]


class PathKey(Strict):
    """The key is one path segment; the first segment is number 0."""

    source: Literal["path"]
    segment: Annotated[int, pydantic.Field(ge=0, le=32)]


class QueryKey(Strict):
    """The key is the value of a query parameter."""

    source: Literal["query"]
    name: Annotated[str, pydantic.Field(min_length=1, max_length=64)]


KeySource: TypeAlias = Annotated[
    HeaderKey | PathKey | QueryKey, pydantic.Field(discriminator="source")
]


class Route(Strict):
    """The pool that serves the paths under a prefix.

    Requests with a method in `unrepeatable_methods` run at most once and
    require an `Idempotency-Key` header with a UUID of version 7.
    """

    name: Name
    prefix: Annotated[
        str, pydantic.Field(pattern=r"^/[\x21-\x7e]*$", max_length=512)
    ]
    pool: Name
    key: KeySource | None = None
    unrepeatable_methods: tuple[Method, ...] = ()
    timeout_ms: Annotated[int, pydantic.Field(ge=10, le=60_000)] = 2_000
    max_request_bytes: Annotated[int, pydantic.Field(ge=0, le=2**26)] = 2**20
    max_answer_bytes: Annotated[int, pydantic.Field(ge=0, le=2**28)] = 2**24


class Pool(Strict):
    """A group of servers that serves one or more routes.

    `servers` contains instance names or patterns such as `dispatch-*`.
    `shard_count` can't be changed after the pool is created. `is_fenced` means
    that each server checks the fence and expiry of a grant; otherwise a
    takeover waits an additional `settle_ms`. `remember_ms` is the retention
    period of unrepeatable requests in the ledger.
    """

    name: Name
    kind: Literal["keyed", "balanced"]
    servers: Annotated[tuple[str, ...], pydantic.Field(min_length=1)]
    shard_count: Annotated[int, pydantic.Field(ge=0, le=2**20)] = 0
    is_fenced: bool = False
    settle_ms: Annotated[int, pydantic.Field(ge=0, le=60_000)] = 400
    slots: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 20
    connections: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 130
    cold_start_ms: Annotated[int, pydantic.Field(ge=0, le=600_000)] = 10_000
    remember_ms: Annotated[int, pydantic.Field(ge=0, le=86_400_000)] = 600_000

    def matches(self, instance: str) -> bool:
        """Whether `servers` matches an instance name."""
        return any(fnmatch.fnmatchcase(instance, name) for name in self.servers)


class Tables(Strict):
    """Routes and the pools that they refer to."""

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()

    def find_pool(self, name: str) -> Pool | None:
        """Returns the pool with a name."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def find_pool_of(self, instance: str) -> Pool | None:
        """Returns the first pool that matches an instance name."""
        return next(
            (pool for pool in self.pools if pool.matches(instance)), None
        )

    def find_route(self, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
        matching = [
            route
            for route in self.routes
            if _is_under_prefix(path, route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)


def read_tables(text: str | bytes) -> Tables:
    """Parses and validates both tables from one JSON document.

    Args:
        text: A JSON object with `routes` and `pools`.

    Returns:
        The validated tables.

    Raises:
        faults.CannotAccept: A field is invalid or a reference is broken; the
            exception lists every fault.
    """
    try:
        tables = Tables.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise faults.CannotAccept(
            subject="tables", faults=faults.list_faults(error)
        ) from error
    found_faults = check_tables(tables)
    if found_faults:
        raise faults.CannotAccept(subject="tables", faults=found_faults)
    return tables


def check_tables(tables: Tables) -> tuple[faults.Fault, ...]:
    """Checks constraints that involve several fields.

    Args:
        tables: Tables whose individual fields are valid.

    Returns:
        A fault for each duplicate, broken reference or inconsistent pair of
        fields.
    """
    return (
        *_find_duplicates("routes", "name", [r.name for r in tables.routes]),
        *_find_duplicates(
            "routes", "prefix", [r.prefix for r in tables.routes]
        ),
        *_find_duplicates("pools", "name", [p.name for p in tables.pools]),
        *_find_duplicates(
            "pools", "servers", [s for p in tables.pools for s in p.servers]
        ),
        *(
            f
            for i, pool in enumerate(tables.pools)
            for f in _check_pool(i, pool)
        ),
        *(
            fault
            for index, route in enumerate(tables.routes)
            for fault in _check_route(index, route, tables)
        ),
    )


def _is_under_prefix(path: str, prefix: str) -> bool:
    bare = prefix.rstrip("/")
    return path == bare or path.startswith(bare + "/")


def _find_duplicates(
    table: str, field: str, values: list[str]
) -> list[faults.Fault]:
    counts = collections.Counter(values)
    return [
        faults.Fault(
            path=f"{table}.*.{field}",
            expected=f"{value!r} must be unique, but occurs {count} times",
        )
        for value, count in counts.items()
        if count > 1
    ]


def _check_pool(index: int, pool: Pool) -> list[faults.Fault]:
    path = f"pools.{index}.shard_count"
    is_power = pool.shard_count & (pool.shard_count - 1) == 0
    if pool.kind == "keyed" and not (pool.shard_count and is_power):
        return [
            faults.Fault(
                path=path, expected="a keyed pool needs a power of two"
            )
        ]
    if pool.kind == "balanced" and pool.shard_count:
        return [
            faults.Fault(path=path, expected="a balanced pool has no shards")
        ]
    return []


def _check_route(
    index: int, route: Route, tables: Tables
) -> list[faults.Fault]:
    pool = tables.find_pool(route.pool)
    if pool is None:
        return [
            faults.Fault(
                path=f"routes.{index}.pool",
                expected=f"no pool is named {route.pool!r}",
            )
        ]
    found_faults = []
    if pool.kind == "keyed" and route.key is None:
        found_faults.append(
            faults.Fault(
                path=f"routes.{index}.key",
                expected=f"a key source, because pool {pool.name!r} is keyed",
            )
        )
    if pool.kind == "balanced" and route.unrepeatable_methods:
        found_faults.append(
            faults.Fault(
                path=f"routes.{index}.unrepeatable_methods",
                expected=f"none, because pool {pool.name!r} is balanced",
            )
        )
    return found_faults
