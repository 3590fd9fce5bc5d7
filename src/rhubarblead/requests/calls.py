"""Nested calls from other servers: which requests they are, and their slots.

Without reserved slots, calls of 60 ms wait while runs of a second take all
slots. The request that made the call holds a slot of its own meanwhile, and
fails if the call is answered too late.
"""

CALL_MARGIN_MS = 50
"""A server may get its request, and so its limit, this much late."""

NEWEST_WEIGHT = 0.05
"""Weight of the newest request in the moving share of a route."""

CALLED_SHARE = 0.9
"""Share of possible calls from which a route is one that servers call."""


def may_be_call(deadline_ms: int, longest_left_ms: int) -> bool:
    """Returns whether a request may be a call of the local server.

    Callers on an instance and its server send from the same address. But a
    call expires with the request that made it, so a request that may wait
    longer than all runs of the local server isn't a call.

    Args:
        deadline_ms: How long the request may wait.
        longest_left_ms: How long the local server may run the request that
            expires last; 0 if it runs none.
    """
    if longest_left_ms <= 0:
        return False
    return deadline_ms <= longest_left_ms + CALL_MARGIN_MS


class CalledRoutes:
    """Finds the routes that servers call, from the requests of all nodes.

    A caller's request may look like a call where long runs are usual; a route
    is a called one only if nearly all its requests look so.
    """

    __slots__ = ("_shares",)

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record(self, route: str, may_be_call: bool) -> bool:
        """Records a request; returns whether to treat it as a call."""
        share = self._shares.get(route, float(may_be_call))
        share += NEWEST_WEIGHT * (may_be_call - share)
        self._shares[route] = share
        return may_be_call and share >= CALLED_SHARE

    def is_called(self, route: str) -> bool:
        """Returns whether servers call a route, by its latest requests."""
        return self._shares.get(route, 0.0) >= CALLED_SHARE
