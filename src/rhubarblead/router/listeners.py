"""The addresses on which a router accepts calls, and the limits on each."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import enum

from rhubarblead import routing_table
from rhubarblead.platform import settings
from rhubarblead.router import http_server

# A heartbeat that lists each of the 65,536 keys as a range has some 2 MB.
INTERNAL_LIMITS = routing_table.ClientLimits(max_body_bytes=4_194_304)
"""Limits on the calls of the local server and the platform."""


class Listener(enum.Enum):
    """Who calls on an address, and for what."""

    CALLERS = "callers"
    HEARTBEATS = "heartbeats"
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
    ) -> None:
        """Creates a server for each handler; `listen` opens them.

        Args:
            handlers: What handles the requests on each address.
            client_limits: Returns the operator's limits in force.
        """
        self._servers = {
            listener: http_server.Server(
                handler=handler,
                limits=(
                    client_limits
                    if listener is Listener.CALLERS
                    else lambda: INTERNAL_LIMITS
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
