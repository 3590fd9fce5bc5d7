"""Draws HTTP responses from their grammar, mutates them, and judges them.

The judge follows RFC 9112 on the bytes as a whole, and shares nothing with the
readers that it checks.
"""

import dataclasses
import re

from hypothesis import strategies

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_FIELDS = rb"((?:%b:%b\r\n)*)\r\n" % (_TOKEN, _TEXT)
_HEAD = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9][0-9])( %b)?\r\n" % _TEXT + _FIELDS
)
_TRAILER = re.compile(_FIELDS)
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,15})(;%b)?\r\n" % _TEXT)
_EXTENSIONS = re.compile(
    rb'(?:;%b(?:=(?:%b|"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"))?)*'
    % (_TOKEN, _TOKEN)
)
_EMPTY_LINES = re.compile(rb"[\r\n]*")
_FRAMING = (b"content-length", b"transfer-encoding")
MAX_INTERIM_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expected:
    """What a reader must report of bytes that a server has sent.

    `status` is None if it must report no response. Without `is_certain` it may
    also report none: recipients may accept such a message or not.
    """

    status: int | None = None
    fields: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_certain: bool = True
    has_end: bool = True


NOTHING = Expected()


def judge(content: bytes, *, method: bytes) -> Expected:
    """Tells what a server has sent that has then closed the connection.

    Args:
        content: All that it has sent.
        method: The method of the request.
    """
    position, skipped_count, is_certain = 0, 0, True
    while match := _HEAD.match(content, position):
        position = match.end()
        minor, digits, reason, block = match.groups()
        if skipped_count and minor == b"0":
            return NOTHING
        status = int(digits)
        if status == 101:
            return NOTHING
        fields = _split(block)
        if not _has_valid_framing(fields, minor, status):
            return NOTHING
        if status < 200:
            skipped_count += 1
            if skipped_count > MAX_INTERIM_COUNT:
                return NOTHING
            # Empty lines between two messages belong to neither.
            after = _EMPTY_LINES.match(content, position)
            assert after is not None
            is_certain &= after.end() == position
            position = after.end()
            continue
        found = _read_body(content[position:], fields, status, method)
        if found is None:
            return NOTHING
        body, is_body_certain, has_end = found
        return Expected(
            status=status,
            fields=fields,
            body=body,
            is_certain=is_certain and is_body_certain and reason is not None,
            has_end=has_end,
        )
    return NOTHING


def _split(block: bytes) -> tuple[tuple[bytes, bytes], ...]:
    fields = []
    for line in block.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        fields.append((name.lower(), value.strip(b" \t")))
    return tuple(fields)


def _has_valid_framing(
    fields: tuple[tuple[bytes, bytes], ...], minor: bytes, status: int
) -> bool:
    lengths = [v for n, v in fields if n == b"content-length"]
    codings = [v for n, v in fields if n == b"transfer-encoding"]
    if codings:
        is_chunked = [c.lower() for c in codings] == [b"chunked"]
        may_have_body = status >= 200 and status != 204
        return is_chunked and not lengths and minor == b"1" and may_have_body
    return not lengths or (
        len(lengths) == 1
        and re.fullmatch(rb"[0-9]+", lengths[0]) is not None
        and int(lengths[0]) < 2**63
    )


def _read_body(
    rest: bytes,
    fields: tuple[tuple[bytes, bytes], ...],
    status: int,
    method: bytes,
) -> tuple[bytes, bool, bool] | None:
    """Returns a body, whether it is certain, and whether its end is stated."""
    found = dict(fields)
    if method == b"HEAD" or status in (204, 304):
        return b"", True, True
    if b"transfer-encoding" in found:
        return _read_chunks(rest)
    if b"content-length" not in found:
        return rest, True, False
    length = int(found[b"content-length"])
    return (rest[:length], True, True) if len(rest) >= length else None


def _read_chunks(rest: bytes) -> tuple[bytes, bool, bool] | None:
    body, position, is_certain = b"", 0, True
    while match := _CHUNK.match(rest, position):
        is_certain &= _EXTENSIONS.fullmatch(match[2] or b"") is not None
        size = int(match[1], 16)
        position = match.end()
        if not size:
            trailer = _TRAILER.match(rest, position)
            if trailer is None:
                return None
            names = {name for name, _ in _split(trailer[1])}
            return None if names & set(_FRAMING) else (body, is_certain, True)
        data = rest[position : position + size]
        position += size + 2
        if len(data) < size or rest[position - 2 : position] != b"\r\n":
            return None
        body += data
    return None


# What a server may send.

_names = strategies.sampled_from(
    [b"a", b"X-Y", b"etag", b"keep-alive", b"!#$%&'*+-.^_`|~9z"]
)
_values = strategies.sampled_from(
    [b"", b"b", b" b c \t", b"\tx", b'"q"', b"\xff\x80", b"a:b", b"timeout=4"]
)
_lines = strategies.builds(lambda n, v: n + b":" + v + b"\r\n", _names, _values)
_blocks = strategies.lists(_lines, max_size=3).map(b"".join)
_versions = strategies.sampled_from([b"1.1", b"1.1", b"1.1", b"1.0"])
_reasons = strategies.sampled_from([b" OK", b" ", b" \t\xe9 a", b""])
_statuses = strategies.sampled_from(
    [200, 200, 201, 204, 205, 301, 304, 404, 421, 500, 503, 599]
)
_bodies = strategies.sampled_from([b"", b"body", b"\r\n\r\n", b"0\r\n\r\n"])
_extensions = strategies.sampled_from([b"", b"", b";x", b";x=y", b';x="\\"z"'])
_interim = strategies.builds(
    lambda status, block: b"HTTP/1.1 %d X\r\n%b\r\n" % (status, block),
    strategies.sampled_from([100, 102, 103, 199]),
    _blocks,
)


@strategies.composite
def _finals(draw: strategies.DrawFn) -> bytes:
    version, body, status = draw(_versions), draw(_bodies), draw(_statuses)
    start = b"HTTP/%b %d%b\r\n" % (version, status, draw(_reasons))
    head = start + draw(_blocks)
    may_have_chunks = version == b"1.1" and status != 204
    framings = ["length", "close"] + ["chunks"] * may_have_chunks
    match draw(strategies.sampled_from(framings)):
        case "length":
            return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        case "chunks":
            head += b"Transfer-Encoding: Chunked\r\n" + draw(_blocks) + b"\r\n"
            for number in range(len(body)):
                size = b"1" + draw(_extensions)
                head += size + b"\r\n" + body[number : number + 1] + b"\r\n"
            return (
                head
                + b"00"
                + draw(_extensions)
                + b"\r\n"
                + draw(_blocks)
                + b"\r\n"
            )
        case _:
            return head + b"\r\n" + body


well_formed = strategies.builds(
    lambda interim, final: b"".join(interim) + final,
    strategies.lists(_interim, max_size=2),
    _finals(),
)


# What else it may send.

_BYTES = [bytes([number]) for number in b"\x00\x01\t\n\r :;,019aH\x7f\x80\xff"]
_ODD_LINES = [
    b"a b: c\r\n",
    b"a : c\r\n",
    b"a\x01: c\r\n",
    b": c\r\n",
    b"abc\r\n",
    b" folded\r\n",
    b"a: b\r\n\tfolded\r\n",
    b"a: b\nc: d\r\n",
    b"a: b\x00\r\n",
    b"a: \x0b\r\n",
    b"content-length: 4\r\n",
    b"content-length: 0\r\n",
    b"content-length: +4\r\n",
    b"content-length: 4, 4\r\n",
    b"transfer-encoding: chunked\r\n",
    b"transfer-encoding: gzip\r\n",
    b"transfer-encoding: gzip, chunked\r\n",
    b"transfer-encoding: xchunked\r\n",
    b"transfer-encoding: identity\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"\r\n",
]
_ODD_STARTS = [
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1  200 X",
    b"HTTP/1.1 200X",
    b"HTTP/1.1 -20 X",
    b"HTTP/1.1 101 X",
    b"HTTP/0.9 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/1.11 200 X",
    b"http/1.1 200 X",
    b"RTSP/1.0 200 X",
    b"ICE/1.0 200 X",
    b"\r\nHTTP/1.1 200 X",
    b"HTTP/1.1 200 a\x01b",
    b"HTTP/1.1 200 a\x00b",
    b"HTTP/1.1 200 a\x7fb",
    b"HTTP/1.1 200 a\rb",
    b"HTTP/1.1 200 a\nb: c",
]


@strategies.composite
def _mutants(draw: strategies.DrawFn) -> bytes:
    content = draw(well_formed)
    kinds = ["start", "line", "byte", "byte", "byte", "cut", "double"]
    for kind in draw(
        strategies.lists(strategies.sampled_from(kinds), min_size=1, max_size=2)
    ):
        place = draw(strategies.integers(0, max(0, len(content) - 1)))
        match kind:
            case "start":
                start = draw(strategies.sampled_from(_ODD_STARTS))
                content = start + content[content.find(b"\r\n") :]
            case "line":
                line = draw(strategies.sampled_from(_ODD_LINES))
                place = content.find(b"\r\n", place) + 2
                content = content[:place] + line + content[place:]
            case "byte":
                new = draw(strategies.sampled_from([b"", *_BYTES]))
                kept = draw(strategies.integers(0, 1))
                content = content[:place] + new + content[place + 1 - kept :]
            case "cut":
                content = content[:place]
            case _:
                content += content[place:]
    return content


mutated = _mutants()
