"""Decodes the configuration that the operator writes to the store."""

from typing import Any

import msgspec

from rhubarblead import routing_table

TABLE = "op"
KEY = "config"

_KINDS = {
    "safe": routing_table.RouteKind.REPEATABLE,
    "unsafe": routing_table.RouteKind.ONCE,
    "download": routing_table.RouteKind.DOWNLOAD,
}


class CannotDecode(Exception):
    """The bytes are not a valid configuration."""


class _Columns(msgspec.Struct):
    columns: list[str]
    rows: list[list[Any]]

    def list_records(self) -> list[dict[str, Any]]:
        """Maps each row to its column names; null values are left out."""
        records = []
        for row in self.rows:
            if len(row) != len(self.columns):
                raise CannotDecode("a row and the columns differ in length")
            records.append(
                {
                    name: value
                    for name, value in zip(self.columns, row, strict=True)
                    if value is not None
                }
            )
        return records


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    type: str
    timeout_ms: int = 30_000
    target_latency_ms: int = 1_000
    priority: int = 0
    service: str | None = None
    max_attempts: int = 1
    traffic_split: list[_Split] | None = None


class _Service(msgspec.Struct, rename="camel"):
    name: str
    sharded: bool = False


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class _Document(msgspec.Struct):
    version: str
    routes: _Columns
    services: _Columns
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(content: bytes) -> routing_table.RoutingTable:
    """Decodes one version of the configuration.

    Args:
        content: The value of the operator's row.

    Returns:
        The routes, services and limits.

    Raises:
        CannotDecode: A field is missing or malformed, or fields contradict
            each other.
    """
    try:
        document = msgspec.json.decode(content, type=_Document)
        version = int(document.version, 16)
        routes = msgspec.convert(
            document.routes.list_records(), type=list[_Route]
        )
        services = msgspec.convert(
            document.services.list_records(), type=list[_Service]
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise CannotDecode(str(error)) from error
    names = {service.name for service in services}
    return routing_table.RoutingTable(
        version=version,
        routes=tuple(_read_route(route, names) for route in routes),
        services=tuple(
            routing_table.Service(
                name=service.name,
                is_keyed=service.sharded,
            )
            for service in services
        ),
        limits=routing_table.ClientLimits(
            max_header_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            header_timeout_ms=document.limits.header_timeout_ms,
            idle_timeout_ms=document.limits.idle_timeout_ms,
        ),
    )


def _read_route(route: _Route, services: set[str]) -> routing_table.Route:
    shares = tuple(
        routing_table.TrafficShare(service=part.service, weight=part.weight)
        for part in route.traffic_split or ()
    )
    if not shares and route.service is not None:
        shares = (
            routing_table.TrafficShare(service=route.service, weight=1.0),
        )
    kind = _KINDS.get(route.type)
    if kind is None:
        raise CannotDecode(f"route {route.name}: unknown type {route.type!r}")
    if not shares or any(share.service not in services for share in shares):
        raise CannotDecode(f"route {route.name}: missing or unknown service")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise CannotDecode(
            f"route {route.name}: invalid prefix {route.prefix!r}"
        )
    if not route.host:
        raise CannotDecode(f"route {route.name} has no host")
    return routing_table.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=kind,
        timeout_ms=route.timeout_ms,
        target_ms=route.target_latency_ms,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        shares=shares,
    )
