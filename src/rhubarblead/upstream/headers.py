"""HTTP headers of requests to an upstream and of its responses."""

from collections.abc import Iterable
import dataclasses
import re
from typing import TypeAlias

from rhubarblead import response_format

Headers: TypeAlias = tuple[tuple[str, str], ...]

REQUEST_ID = "Rhubarb-Request-Id"
DEADLINE = "Rhubarb-Deadline-Ms"
REFUSED = "rhubarb-refused"
RATE_LIMIT = "rhubarb-rate-limit"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REWRITTEN = _HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    REQUEST_ID.lower(),
    DEADLINE.lower(),
}
_DROPPED_FROM_ANSWERS = _HOP_BY_HOP | {
    "content-length",
    REQUEST_ID.lower(),
    REFUSED,
}
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_HEAD = re.compile(
    rf"{_TOKEN} [\x21-\x7e]+ HTTP/1\.1\r\n(?:{_TOKEN}:[^\r\n\0]*\r\n)*\r\n"
)


class CannotWrite(Exception):
    """The request can't be written as a valid HTTP message."""


class CannotRead(Exception):
    """The response is not a valid HTTP message."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ResponseHead:
    """The headers of a response, and the framing that they state.

    `forwarded` holds the headers to forward to the caller. `length` is None
    without a `Content-Length`.
    """

    forwarded: Headers
    length: int | None
    is_closing: bool
    request_id: str
    refused: str
    retry_after_ms: int
    rate_limit: str


def write_head(
    *,
    method: str,
    target: str,
    authority: str,
    headers: Headers,
    request_id: str,
    remaining_ms: int,
    body_size: int,
) -> bytes:
    """Writes the head of a request.

    Hop-by-hop headers are left out, as are those that this function writes
    itself.

    Args:
        method: The HTTP method.
        target: Path and query string.
        authority: The upstream's `ip:port`.
        headers: Headers to forward.
        request_id: Request id that the upstream has to echo.
        remaining_ms: Time until the deadline in milliseconds.
        body_size: Size of the body in bytes.

    Returns:
        The head, including the empty line at its end.

    Raises:
        CannotWrite: A part contains characters that would break the framing.
    """
    dropped = _REWRITTEN
    lines = [f"{method} {target} HTTP/1.1", f"Host: {authority}"]
    for name, value in headers:
        if name.lower() == "connection":
            dropped = dropped | _list_tokens(value)
    lines.extend(
        f"{name}: {value}"
        for name, value in headers
        if name.lower() not in dropped
    )
    if body_size or method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {body_size}")
    if request_id:
        lines.append(f"{REQUEST_ID}: {request_id}")
    lines.append(f"{DEADLINE}: {remaining_ms}\r\n\r\n")
    text = "\r\n".join(lines)
    # The pattern alone would accept an injected line break in a value as the
    # start of another field; hence the line count.
    if text.count("\n") != len(lines) + 1 or not _HEAD.fullmatch(text):
        raise CannotWrite("a header, the method or the target is malformed")
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise CannotWrite("a header is not in Latin-1") from error


def read_fields(
    fields: Iterable[response_format.Field], *, is_head: bool
) -> ResponseHead:
    """Reads the header fields of a well-formed response.

    Args:
        fields: Names and values.
        is_head: Whether the request method is HEAD, in which case
            `Content-Length` is forwarded.

    Returns:
        The headers to forward, and the framing.

    Raises:
        CannotRead: The request id stands twice.
    """
    decoded = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in fields]
    found: dict[str, str] = {}
    for name, value in decoded:
        lower = name.lower()
        if lower not in found:
            found[lower] = value
            continue
        if lower == REQUEST_ID.lower():
            raise CannotRead("the request id stands twice")
        found[lower] += "," + value
    length = found.get("content-length")
    return ResponseHead(
        forwarded=_list_forwarded(decoded, found.get("connection"), is_head),
        length=None if length is None else int(length),
        is_closing="close" in _list_tokens(found.get("connection", "")),
        request_id=found.get(REQUEST_ID.lower(), ""),
        refused=found.get(REFUSED, ""),
        retry_after_ms=_read_retry_after_ms(found.get("retry-after", "")),
        rate_limit=found.get(RATE_LIMIT, ""),
    )


def _list_forwarded(
    fields: list[tuple[str, str]], connection: str | None, is_head: bool
) -> Headers:
    dropped = _DROPPED_FROM_ANSWERS
    if is_head:
        dropped = dropped - {"content-length"}
    if connection is not None:
        dropped = dropped | _list_tokens(connection)
    return tuple(
        (name, value) for name, value in fields if name.lower() not in dropped
    )


def _list_tokens(value: str) -> frozenset[str]:
    return frozenset(token.strip().lower() for token in value.split(","))


def _read_retry_after_ms(value: str) -> int:
    return int(value) * 1_000 if value.isascii() and value.isdigit() else 0
