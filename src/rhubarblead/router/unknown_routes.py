"""Responds to requests for which the configuration in force has no route.

A route may have been added that this node hasn't read yet, so a 404 needs a
configuration that the store has confirmed lately.
"""

import asyncio
from collections.abc import Callable
import http
from typing import TypeAlias

from rhubarblead.router import config_feed
from rhubarblead.router import http_server

CONFIRMED_S = 1.0
"""Age of a confirmation that is enough; changes take effect within 2 s."""

MAX_WAIT_S = 0.4
"""The store confirms a version in 4 ms, a slow one in 0.25 s."""

MAX_WAITING_COUNT = 1_000
"""Limit for the memory that waiting requests hold."""

Refuse: TypeAlias = Callable[[http_server.Exchange, http.HTTPStatus, str], None]


class UnknownRoutes:
    """Requests that wait until the configuration in force is confirmed."""

    __slots__ = ("_config", "_dispatch", "_loop", "_refuse", "_waiting")

    def __init__(
        self,
        *,
        config: config_feed.ConfigFeed,
        refuse: Refuse,
        dispatch: Callable[[http_server.Exchange], None],
    ) -> None:
        """Creates a set of waiting requests that is empty.

        Args:
            config: The configuration.
            refuse: Responds to a request with a status and a cause for the log.
            dispatch: Handles a request once more.
        """
        self._loop = asyncio.get_running_loop()
        self._config = config
        self._refuse = refuse
        self._dispatch = dispatch
        self._waiting: dict[http_server.Exchange, asyncio.TimerHandle] = {}

    def handle(self, exchange: http_server.Exchange) -> None:
        """Responds to a request without a route, or lets it wait."""
        if self._is_confirmed():
            self._refuse(exchange, http.HTTPStatus.NOT_FOUND, "no route")
            return
        if len(self._waiting) >= MAX_WAITING_COUNT:
            self._refuse_unconfirmed(exchange)
            return
        self._waiting[exchange] = self._loop.call_later(
            MAX_WAIT_S, self._expire, exchange
        )
        exchange.on_disconnect = lambda: self._forget(exchange)
        self._config.check()

    def handle_checked(self) -> None:
        """Ends the wait of all requests after a check of the configuration."""
        waiting, self._waiting = self._waiting, {}
        is_confirmed = self._is_confirmed()
        for exchange, timer in waiting.items():
            timer.cancel()
            if is_confirmed:
                self._dispatch(exchange)
            else:
                self._refuse_unconfirmed(exchange)

    def _is_confirmed(self) -> bool:
        age_s = self._config.find_age_s()
        return age_s is not None and age_s <= CONFIRMED_S

    def _expire(self, exchange: http_server.Exchange) -> None:
        self._forget(exchange)
        self._refuse_unconfirmed(exchange)

    def _forget(self, exchange: http_server.Exchange) -> None:
        timer = self._waiting.pop(exchange, None)
        if timer is not None:
            timer.cancel()

    def _refuse_unconfirmed(self, exchange: http_server.Exchange) -> None:
        self._refuse(
            exchange,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "no route in an unconfirmed configuration",
        )
