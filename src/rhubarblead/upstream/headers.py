"""HTTP headers of requests to an upstream and of its responses."""

import dataclasses
import re
from typing import TypeAlias

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
_FIELDS = re.compile(rf"(?:{_TOKEN}:[^\r\n\0]*\r\n)*")
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
    is_chunked: bool
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


def read_fields(block: bytes, *, is_head: bool) -> ResponseHead:
    """Reads the header fields of a response.

    Args:
        block: The lines after the status line, without the final empty line.
        is_head: Whether the request method is HEAD, in which case
            `Content-Length` is forwarded.

    Returns:
        The headers to forward, and the framing.

    Raises:
        CannotRead: A field is malformed, or the framing is ambiguous.
    """
    text = block.decode("latin-1")
    if not _FIELDS.fullmatch(text):
        raise CannotRead("a header field is malformed")
    fields = []
    found: dict[str, str] = {}
    for line in text.split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        value = value.strip(" \t")
        lower = name.lower()
        if lower in found:
            _check_repeated(lower)
            found[lower] += "," + value
        else:
            found[lower] = value
        fields.append((lower, name, value))
    length = _read_length(found)
    return ResponseHead(
        forwarded=_list_forwarded(fields, found.get("connection"), is_head),
        length=length,
        is_chunked="transfer-encoding" in found,
        is_closing="close" in _list_tokens(found.get("connection", "")),
        request_id=found.get("rhubarb-request-id", ""),
        refused=found.get(REFUSED, ""),
        retry_after_ms=_read_retry_after_ms(found.get("retry-after", "")),
        rate_limit=found.get(RATE_LIMIT, ""),
    )


def _check_repeated(lower: str) -> None:
    if lower in ("content-length", "transfer-encoding", "rhubarb-request-id"):
        raise CannotRead(f"the header {lower} stands twice")


def _read_length(found: dict[str, str]) -> int | None:
    encoding = found.get("transfer-encoding")
    length = found.get("content-length")
    if encoding is not None and encoding.lower() != "chunked":
        raise CannotRead(f"unknown transfer encoding {encoding!r}")
    if length is None:
        return None
    if encoding is not None:
        raise CannotRead("both a length and a transfer encoding are given")
    if not (length.isascii() and length.isdigit()):
        raise CannotRead(f"malformed length {length!r}")
    return int(length)


def _list_forwarded(
    fields: list[tuple[str, str, str]], connection: str | None, is_head: bool
) -> Headers:
    dropped = _DROPPED_FROM_ANSWERS
    if is_head:
        dropped = dropped - {"content-length"}
    if connection is not None:
        dropped = dropped | _list_tokens(connection)
    return tuple(
        (name, value) for lower, name, value in fields if lower not in dropped
    )


def _list_tokens(value: str) -> frozenset[str]:
    return frozenset(token.strip().lower() for token in value.split(","))


def _read_retry_after_ms(value: str) -> int:
    return int(value) * 1_000 if value.isascii() and value.isdigit() else 0
