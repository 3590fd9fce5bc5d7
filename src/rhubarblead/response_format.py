"""Which HTTP responses may be used or passed on (RFC 9110 and 9112).

All readers of responses check each head and each trailer here. What is
malformed is refused as a whole: the next recipient may read a part that was
repaired or left out in another way.
"""

from collections.abc import Sequence
import dataclasses
import enum
import http
import re
from typing import TypeAlias

Field: TypeAlias = tuple[bytes, bytes]

MIN_STATUS = 100
MAX_STATUS = 599
MAX_FIELD_COUNT = 256
"""In a head; a short field takes ten times its size in memory.

Responses of common servers have fewer than 30.
"""

FINAL_STATUS = 200
"""The lowest status of a response that isn't interim."""

# Has neither interim responses nor transfer codings.
_OLD_VERSION = "1.0"
_VERSIONS = frozenset({_OLD_VERSION, "1.1"})
_BODILESS_STATUSES = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TEXT = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_LENGTH = re.compile(rb"[0-9]+")
_MAX_LENGTH = 2**63 - 1
_LENGTH_FIELD = b"content-length"
_CODING_FIELD = b"transfer-encoding"


class CannotAccept(Exception):
    """A response is malformed."""


class Framing(enum.Enum):
    """How the end of a response is found."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The status line and the fields of a response.

    Values are without the whitespace around them. `version` is that of the
    protocol, as "1.1". `is_first` is set if no other response was received to
    the request before.
    """

    version: str
    status: int
    reason: bytes
    fields: Sequence[Field]
    is_first: bool = True

    @property
    def is_interim(self) -> bool:
        """Whether another response to the same request follows."""
        return self.status < FINAL_STATUS


def find_framing(head: Head, *, method: bytes) -> Framing:
    """Checks a head, and tells how the response ends.

    Args:
        head: The head.
        method: The method of the request.

    Raises:
        CannotAccept: A part of the head is malformed, or its framing ambiguous.
    """
    if head.version not in _VERSIONS:
        raise CannotAccept(f"version {head.version}")
    if not head.is_first and head.version == _OLD_VERSION:
        raise CannotAccept(f"version {head.version} behind another response")
    if not MIN_STATUS <= head.status <= MAX_STATUS:
        raise CannotAccept(f"status {head.status}")
    if not _TEXT.fullmatch(head.reason):
        raise CannotAccept("a control character in the reason")
    _check_fields(head.fields)
    framing = _read_framing(head)
    if (
        head.is_interim
        or head.status in _BODILESS_STATUSES
        or method == b"HEAD"
    ):
        return Framing.NO_BODY
    return framing


def check_trailer(fields: Sequence[Field]) -> None:
    """Checks the fields of a trailer.

    Raises:
        CannotAccept: One is malformed, or would change the framing.
    """
    _check_fields(fields)
    names = {name.lower() for name, _ in fields}
    if names & {_LENGTH_FIELD, _CODING_FIELD}:
        raise CannotAccept("a trailer that states the framing")


def split_field(line: bytes) -> Field:
    """Splits a field line; what is malformed in it is found by the checks.

    Raises:
        CannotAccept: The line has no colon.
    """
    name, colon, value = line.partition(b":")
    if not colon:
        raise CannotAccept("a line that is no field")
    return name, value.strip(b" \t")


def _check_fields(fields: Sequence[Field]) -> None:
    for name, value in fields:
        if not _TOKEN.fullmatch(name):
            raise CannotAccept("a malformed field name")
        if not _TEXT.fullmatch(value):
            raise CannotAccept(f"a control character in {name.decode()}")


def _read_framing(head: Head) -> Framing:
    lengths = _list_values(head.fields, _LENGTH_FIELD)
    codings = _list_values(head.fields, _CODING_FIELD)
    if codings:
        if [coding.lower() for coding in codings] != [b"chunked"]:
            raise CannotAccept("an unknown transfer coding")
        if lengths:
            raise CannotAccept("both a length and a transfer coding")
        if head.version == _OLD_VERSION:
            raise CannotAccept("a transfer coding in HTTP/1.0")
        if head.is_interim or head.status == http.HTTPStatus.NO_CONTENT:
            raise CannotAccept(f"a transfer coding with status {head.status}")
        return Framing.CHUNKS
    if not lengths:
        return Framing.CLOSE
    if len(lengths) > 1 or not _LENGTH.fullmatch(lengths[0]):
        raise CannotAccept("a malformed length")
    if int(lengths[0]) > _MAX_LENGTH:
        raise CannotAccept("a length that is no size")
    return Framing.LENGTH


def _list_values(fields: Sequence[Field], name: bytes) -> list[bytes]:
    return [value for found, value in fields if found.lower() == name]
