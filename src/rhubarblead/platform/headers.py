"""Reads and writes the HTTP fields exchanged with callers and servers."""

from collections.abc import Iterable
import dataclasses
from typing import TypeAlias

from rhubarblead import rates

Field: TypeAlias = tuple[bytes, bytes]

REQUEST_ID = b"x-rhubarblead-request-id"
DEADLINE = b"x-rhubarblead-deadline-ms"
# The signature shows that the server itself produced the response.
SIGNATURE = b"x-rhubarblead-server-seal"
EXPECTED_INSTANCE = b"x-rhubarblead-expected-instance"
NOT_RUN = b"x-rhubarblead-not-executed"
CALLER_SERVICE = b"x-rhubarblead-caller-service"
KEY = b"x-rhubarblead-shard-key"
# Requests per second that the server takes from all machines together.
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
# In responses to probes: the server's id, and how long it stays cold; a warm
# server omits the latter.
INSTANCE = b"x-rhubarblead-instance-id"
COLD = b"x-rhubarblead-cold-ms"

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_SET_BY_SYSTEM = frozenset({DEADLINE, EXPECTED_INSTANCE, CALLER_SERVICE})
_KEY_COUNT = 65_536
_DEFAULT_DEADLINE_MS = 30_000
_MAX_DIGITS = 15
"""Larger numbers are no times; 15 digits of ms are 30,000 years."""

_MAX_LOGGED_CHARACTERS = 80


class CannotRead(Exception):
    """A header field is missing or malformed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """The header fields of a request; `key` is None if the request has none."""

    request_id: str
    host: str
    deadline_ms: int
    key: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """The header fields of a server's response.

    `is_genuine` is set if the server itself has answered, and echoes an id.
    `is_not_run` is set if the server states that the request has not run and
    will not run. `limit_per_s` is the rate of requests that the server states
    as its limit, None if it states none; `malformed_limit` is a value that is
    no such rate, empty if there is none. `is_leaving` is set if the server
    states that it is shutting down.
    """

    request_id: str
    has_signature: bool
    is_not_run: bool
    is_encoded: bool
    idle_timeout_s: int | None
    limit_per_s: float | None = None
    malformed_limit: str = ""
    is_leaving: bool = False

    @property
    def is_genuine(self) -> bool:
        """Whether the server itself has answered a request."""
        return self.has_signature and bool(self.request_id)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthHead:
    """The header fields of a response to a probe.

    `server_id` is empty if the server doesn't name itself.
    """

    server_id: str
    cold_remaining_ms: int


def read_request_id(fields: Iterable[tuple[bytes, bytes]]) -> str:
    """Returns the id of a request for the log, empty if it has none."""
    found = next((value for name, value in fields if name == REQUEST_ID), b"")
    return found.decode("latin-1")


def read_request(fields: Iterable[Field]) -> RequestHead:
    """Reads the header fields of a request.

    Args:
        fields: Names in lower case, and values.

    Raises:
        CannotRead: The request id is missing, or a number is malformed.
    """
    found = dict(fields)
    request_id = found.get(REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise CannotRead("the request has no id")
    key = _read_number(found, KEY)
    if key is not None and key >= _KEY_COUNT:
        raise CannotRead(f"{key} is no key")
    deadline_ms = _read_number(found, DEADLINE)
    host = found.get(b"host", b"").decode("latin-1")
    return RequestHead(
        request_id=request_id,
        host=host.partition(":")[0],
        deadline_ms=_DEFAULT_DEADLINE_MS
        if deadline_ms is None
        else deadline_ms,
        key=key,
    )


def encode_forwarded(fields: Iterable[Field], caller_service: str) -> bytes:
    """Encodes the fields of a request that are forwarded to the server.

    Args:
        fields: All fields, with names in lower case.
        caller_service: The service of the node at which the request
            entered the system.
    """
    forwarded = _filter_fields(fields, _SET_BY_SYSTEM)
    forwarded.append((CALLER_SERVICE, caller_service.encode("latin-1")))
    return _encode(forwarded)


def encode_server_fields(
    *, deadline_ms: int, server_id: str, body_bytes: int, has_body: bool
) -> bytes:
    """Encodes the fields that are set for each attempt to reach a server."""
    fields = [
        (DEADLINE, b"%d" % deadline_ms),
        (EXPECTED_INSTANCE, server_id.encode("latin-1")),
    ]
    if has_body:
        fields.append((b"content-length", b"%d" % body_bytes))
    return _encode(fields)


def read_response(fields: Iterable[Field]) -> ResponseHead:
    """Reads the header fields of a response; names are in lower case."""
    fields = list(fields)
    found = dict(fields)
    limit_per_s, malformed_limit = _read_limit(
        [value for name, value in fields if name == LIMIT]
    )
    encoding = found.get(b"content-encoding", b"").strip().lower()
    return ResponseHead(
        request_id=found.get(REQUEST_ID, b"").decode("latin-1"),
        has_signature=bool(found.get(SIGNATURE)),
        is_not_run=NOT_RUN in found,
        is_encoded=encoding not in (b"", b"identity"),
        idle_timeout_s=_read_timeout(found.get(b"keep-alive", b"")),
        limit_per_s=limit_per_s,
        malformed_limit=malformed_limit,
        is_leaving=found.get(LEAVING, b"").strip() == b"1",
    )


def encode_probe(path: str) -> bytes:
    """Encodes a probe of the server's health."""
    return b"GET %b HTTP/1.1\r\nhost: health\r\n\r\n" % path.encode("latin-1")


def read_health(fields: Iterable[Field]) -> HealthHead:
    """Reads the header fields of a response to a probe.

    A malformed remaining time names no server, as it proves nothing.
    """
    found = dict(fields)
    remaining = found.get(COLD, b"0").strip()
    server_id = found.get(INSTANCE, b"").decode("latin-1")
    if not _is_number(remaining):
        return HealthHead(server_id="", cold_remaining_ms=0)
    return HealthHead(server_id=server_id, cold_remaining_ms=int(remaining))


def encode_response(fields: Iterable[Field]) -> bytes:
    """Encodes the fields of a server's response that go to the caller."""
    return _encode(_filter_fields(fields, frozenset()))


def encode_own_response(request_id: str) -> bytes:
    """Encodes the fields of a response that this system generates."""
    return _encode([(REQUEST_ID, request_id.encode("latin-1"))])


def _filter_fields(
    fields: Iterable[Field], excluded: frozenset[bytes]
) -> list[Field]:
    fields = list(fields)
    connection_options: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            connection_options |= {
                token.strip().lower() for token in value.split(b",")
            }
    omitted = (_HOP_BY_HOP | excluded | connection_options) - {
        b"host",
        REQUEST_ID,
        SIGNATURE,
    }
    return [(name, value) for name, value in fields if name not in omitted]


def _encode(fields: Iterable[Field]) -> bytes:
    return b"".join(b"%b: %b\r\n" % field for field in fields)


def _read_number(found: dict[bytes, bytes], name: bytes) -> int | None:
    value = found.get(name)
    if value is None:
        return None
    if not _is_number(value):
        raise CannotRead(f"{name.decode()} is no number")
    return int(value)


def _is_number(value: bytes) -> bool:
    """Returns whether a value is a whole number that can be counted with."""
    return value.isdigit() and len(value) <= _MAX_DIGITS


def _read_limit(values: list[bytes]) -> tuple[float | None, str]:
    """Reads the values of the limit's field.

    Returns:
        The limit, None if there is none or a malformed one, and the malformed
        text, empty if there is none.
    """
    if not values:
        return None, ""
    text = b", ".join(values).decode("latin-1")
    limit_per_s = rates.parse_rate(text)
    if limit_per_s is None:
        return None, text[:_MAX_LOGGED_CHARACTERS] or "(empty)"
    return limit_per_s, ""


def _read_timeout(value: bytes) -> int | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and _is_number(number):
            return int(number)
    return None
