"""HTTP client of the nodes' admin endpoints."""

import contextlib
import dataclasses
import http
import http.client
import ipaddress
from typing import TypeVar

import msgspec
import result

from rhubarblead import decoding
from rhubarblead import status

_T = TypeVar("_T")

_MS_PER_S = 1_000
_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreachable:
    """A node sent no usable response, so its state is unknown."""

    authority: str
    reason: str

    def __str__(self) -> str:
        return f"{self.authority}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """A node rejected the request with an HTTP error status."""

    authority: str
    status: int
    explanation: str

    def __str__(self) -> str:
        return f"{self.authority}: {self.status} {self.explanation}"


Failure = Unreachable | Rejected


class AdminClient:
    """Sends requests to single nodes. Thread-safe."""

    __slots__ = ("_timeout_ms",)

    def __init__(self, *, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms

    def fetch(
        self, authority: str, path: str, *, method: str = "GET"
    ) -> result.Result[bytes, Failure]:
        """Sends one request and returns the body of the response.

        Args:
            authority: Address of the node, as `ip:port`.
            path: URL path and query string.
            method: The HTTP method.

        Returns:
            The body of a successful response, or the failure.
        """
        connection = http.client.HTTPConnection(
            authority, timeout=self._timeout_ms / _MS_PER_S
        )
        with contextlib.closing(connection):
            try:
                connection.request(method, path)
                response = connection.getresponse()
                body = response.read()
            except (OSError, http.client.HTTPException) as error:
                reason = str(error) or type(error).__name__
                return result.Err(
                    Unreachable(authority=authority, reason=reason)
                )
        if response.status >= http.HTTPStatus.BAD_REQUEST:
            return result.Err(
                _decode_rejection(authority, response.status, body)
            )
        return result.Ok(body)

    def query(
        self, authority: str, path: str, response_type: type[_T]
    ) -> result.Result[_T, Failure]:
        """Fetches and decodes a JSON response.

        Args:
            authority: Address of the node, as `ip:port`.
            path: URL path and query string.
            response_type: The type to decode the response as.

        Returns:
            The decoded response, or the failure.
        """
        return self.fetch(authority, path).and_then(
            lambda body: _decode(authority, body, response_type)
        )


def check_authority(text: str) -> result.Result[str, str]:
    """Checks that a text is an IP address and a port.

    Args:
        text: The text, as typed by an operator.

    Returns:
        The unchanged text, or the error message.
    """
    if not text:
        return result.Err("give any node as IP:PORT")
    address, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(address.strip("[]"))
    except ValueError:
        return result.Err(f"{text!r} is not IP:PORT")
    if not port.isdecimal() or not 1 <= int(port) <= _MAX_PORT:
        return result.Err(f"{text!r} has no port between 1 and {_MAX_PORT}")
    return result.Ok(text)


def _decode(
    authority: str, body: bytes, response_type: type[_T]
) -> result.Result[_T, Failure]:
    try:
        return result.Ok(status.decode(body, response_type))
    except msgspec.DecodeError as error:
        return result.Err(
            Unreachable(
                authority=authority, reason=f"cannot decode response: {error}"
            )
        )


def _decode_rejection(authority: str, code: int, body: bytes) -> Rejected:
    try:
        explanation = decoding.decode_json(body, dict[str, object]).get(
            "explanation", ""
        )
    except msgspec.DecodeError:
        explanation = ""
    return Rejected(
        authority=authority,
        status=code,
        explanation=str(explanation) or http.HTTPStatus(code).phrase,
    )
