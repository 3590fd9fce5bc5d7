"""The routes, services and limits in force, and route lookup."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """How the requests of a route may be handled."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    DOWNLOAD = "download"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RouteKind.ONCE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficShare:
    """The share of a route's traffic that one service gets, as a weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests with one host and path prefix are routed.

    `priority` 0 is the highest. `max_attempts` is the number of servers to
    which one request may be sent. `target_ms` is the latency that callers
    expect.
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
    """A group of servers that handle the same requests.

    `health_path` answers probes, empty if there is none. `warmup_per_s` is the
    rate of requests that a cold server tolerates, None if it is not bounded.
    """

    name: str
    is_keyed: bool
    health_path: str = ""
    warmup_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Size limits and timeouts for client connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingTable:
    """One version of the routing configuration, with route lookup."""

    __slots__ = ("_by_prefix", "limits", "routes", "services", "version")

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
        self._by_prefix: dict[tuple[str, str], Route] = {}
        for route in routes:
            self._by_prefix.setdefault((route.host, route.prefix), route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix that matches the path.

        Args:
            host: The host of the request, without the port.
            path: The path of the request, without the query.

        Returns:
            The route, or None if no route matches.
        """
        host = host.lower()
        # Prefixes end with a slash, so that few parts of the path can be one.
        end = path.rfind("/") + 1
        while end > 0:
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def is_keyed(self, service: str) -> bool:
        """Whether a service is partitioned by key."""
        known_service = self.services.get(service)
        return known_service is not None and known_service.is_keyed
