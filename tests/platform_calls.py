"""Calls to the platform's stand-in, for the steps of several features."""

import http.client

from behave import runner

from rhubarblead import settings
from rhubarblead.tablestore import store

_TIMEOUT_S = 2
_MS_PER_S = 1_000


def call(
    context: runner.Context, method: str, path: str, body: str | bytes = b""
) -> http.client.HTTPResponse:
    """Calls the stand-in without the product's client."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.platform_port, timeout=_TIMEOUT_S
    )
    context.add_cleanup(connection.close)
    connection.request(method, path, body=body)
    return connection.getresponse()


def make_settings(
    port: int, timeout_ms: int = _TIMEOUT_S * _MS_PER_S
) -> settings.Platform:
    """Makes the settings for a stand-in at one port."""
    address = {"ip_address": "127.0.0.1", "port": port}
    return settings.Platform.model_validate(
        {
            "table_service": address,
            "object_store": address,
            "timeout_ms": timeout_ms,
        }
    )


def make_store(context: runner.Context, *, instance: str) -> store.Store:
    """Makes a store with a long timeout, closed with the scenario."""
    made = store.Store(
        platform=make_settings(context.platform_port), instance=instance
    )
    context.add_cleanup(made.close)
    return made
