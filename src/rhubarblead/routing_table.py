"""Routes, services and limits that are in force, and the choice of a route."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be done with the requests of a route."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    DOWNLOAD = "download"

    @property
    def is_repeatable(self) -> bool:
        """Tells whether a request may run more than once."""
        return self is not RouteKind.ONCE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficShare:
    """One service of a route, and its weight among the others."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """What the operators want done with the requests below one prefix.

    `priority` 0 is the most urgent. `max_attempts` counts the servers to which
    one request may be sent. `target_ms` is the latency that callers expect.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    priority: int
    max_attempts: int
    shares: tuple[TrafficShare, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of servers that serve the same requests."""

    name: str
    is_keyed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingTable:
    """One version of the routes, with a lookup by host and path."""

    __slots__ = ("_by_host", "limits", "routes", "services", "version")

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: ClientLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix that begins the path.

        Args:
            host: The host that the caller named, without a port.
            path: The path of the request, without its query.

        Returns:
            The route, or None where nothing matches.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def is_keyed(self, service: str) -> bool:
        """Tells whether a service is divided by key."""
        found = self.services.get(service)
        return found is not None and found.is_keyed
