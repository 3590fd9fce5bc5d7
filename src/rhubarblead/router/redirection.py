"""Chooses the address to which a process directs its server's heartbeats.

A heartbeat that arrives there was sent after the server has read a reply of
this process. That holds only if no earlier process has named the same address
so recently that a heartbeat sent there may still be under way.
"""

from collections.abc import Sequence

from rhubarblead.router import server_process

TURN_MS = 1_000
"""Two processes of a node that each name an address start further apart."""

MIN_PORT_COUNT = server_process.MAX_LATE_MS // TURN_MS + 1


def choose_port(ports: Sequence[int], started_wall_ms: int) -> int | None:
    """Chooses the port of a process; those that start later take other ones.

    Args:
        ports: The free ports of the instance.
        started_wall_ms: The Unix time at which the process has started.

    Returns:
        The port, None if there are too few to take turns.
    """
    if len(ports) < MIN_PORT_COUNT:
        return None
    return ports[started_wall_ms // TURN_MS % len(ports)]
