"""Single HTTP requests to the processes of a deployment."""

from collections.abc import Mapping
import dataclasses
import http.client
import types

_TIMEOUT_S = 5.0
_NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})


class CannotReach(Exception):
    """No complete answer was received."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def exchange(
    authority: str,
    method: str,
    target: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] = _NO_HEADERS,
    timeout_s: float = _TIMEOUT_S,
) -> Answer:
    """Sends one request on a new connection.

    Args:
        authority: The address, as `ip:port`.
        method: The HTTP method.
        target: The path and query.
        body: The body, if any.
        headers: Additional headers.
        timeout_s: Timeout for connecting and for each read, in seconds.

    Returns:
        The answer.

    Raises:
        CannotReach: No complete answer was received.
    """
    connection = http.client.HTTPConnection(authority, timeout=timeout_s)
    try:
        connection.request(method, target, body=body, headers=dict(headers))
        return read_answer(connection.getresponse())
    except (OSError, http.client.HTTPException) as error:
        raise CannotReach(f"{method} {authority}{target}: {error}") from error
    finally:
        connection.close()


def read_answer(response: http.client.HTTPResponse) -> Answer:
    """Reads the complete answer."""
    body = response.read()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Answer(status=response.status, headers=headers, body=body)
