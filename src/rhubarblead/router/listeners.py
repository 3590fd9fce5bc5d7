"""The addresses on which a router accepts calls, and the limits on each."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import enum
import resource

from rhubarblead import routing_table
from rhubarblead.platform import settings
from rhubarblead.router import http_server
from rhubarblead.router import request_budget

# A heartbeat that lists each of the 65,536 keys as a range has some 2 MB.
INTERNAL_LIMITS = routing_table.ClientLimits(max_body_bytes=4_194_304)
"""Limits on the calls of the local server and the platform."""

INTERNAL_BUDGET_BYTES = 4 * INTERNAL_LIMITS.max_body_bytes
"""Memory of all these calls on one address."""

INTERNAL_CONNECTION_COUNT = 256
"""Connections on each of these addresses."""

CLIENT_DESCRIPTOR_SHARE = 0.75
"""The rest is for the server, the store, other nodes and internal calls."""


class Listener(enum.Enum):
    """Who calls on an address, and for what."""

    CALLERS = "callers"
    HEARTBEATS = "heartbeats"
    REDIRECTED = "redirected heartbeats"
    READINESS = "readiness"
    METRICS = "metrics"


class Listeners:
    """The HTTP servers of a router process.

    The operator's limits bind clients only. A server that leaves, or a check of
    readiness, must get through whatever clients may send.
    """

    __slots__ = ("_servers",)

    def __init__(
        self,
        *,
        handlers: Mapping[Listener, http_server.Handler],
        client_limits: Callable[[], routing_table.ClientLimits],
        client_budget: request_budget.RequestBudget,
        descriptor_count: int,
    ) -> None:
        """Creates a server for each handler; `listen` opens them.

        Args:
            handlers: What handles the requests on each address.
            client_limits: Returns the operator's limits in force.
            client_budget: Limits the memory of the requests of all clients.
            descriptor_count: Descriptors that the process may open.
        """
        self._servers = {
            listener: http_server.Server(
                handler=handler,
                limits=(
                    client_limits
                    if listener is Listener.CALLERS
                    else lambda: INTERNAL_LIMITS
                ),
                budget=(
                    client_budget
                    if listener is Listener.CALLERS
                    else request_budget.RequestBudget(
                        max_bytes=INTERNAL_BUDGET_BYTES
                    )
                ),
                max_connection_count=(
                    int(descriptor_count * CLIENT_DESCRIPTOR_SHARE)
                    if listener is Listener.CALLERS
                    else INTERNAL_CONNECTION_COUNT
                ),
            )
            for listener, handler in handlers.items()
        }

    @property
    def callers(self) -> http_server.Server:
        """The server to which clients connect."""
        return self._servers[Listener.CALLERS]

    async def listen(
        self,
        listener: Listener,
        address: settings.Address,
        stack: contextlib.ExitStack,
    ) -> None:
        """Starts to listen on one address.

        Args:
            listener: Which server.
            address: Where it listens.
            stack: Closes the server.

        Raises:
            OSError: The address can't be bound.
        """
        server = self._servers[listener]
        stack.callback(server.close)
        await server.listen(address.ip, address.port)


def find_descriptor_count(allowed_count: int) -> int:
    """Finds how many descriptors the process may open.

    Args:
        allowed_count: The number that the settings allow.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return allowed_count
    return min(limit, allowed_count)
