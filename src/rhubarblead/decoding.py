"""Decodes content that others have written.

Content may be nested so deeply that the decoder gives up with an error that
isn't one of the content's; it is taken for malformed like any other.
"""

from typing import Any
from typing import Protocol
from typing import TypeVar

import msgspec

_T = TypeVar("_T")
_T_co = TypeVar("_T_co", covariant=True)


class _Decoder(Protocol[_T_co]):
    """A decoder of JSON or msgpack for one type."""

    def decode(self, content: Any, /) -> _T_co:  # noqa: ANN401
        """Decodes content."""


def decode_json(content: bytes | str, kind: type[_T]) -> _T:
    """Decodes JSON.

    Args:
        content: The text.
        kind: The type that it must have.

    Raises:
        msgspec.DecodeError: The content is malformed, or of another type.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_typed(decoder: _Decoder[_T], content: bytes | str) -> _T:
    """Decodes content with a decoder of its type; errors as above."""
    try:
        return decoder.decode(content)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_msgpack(content: bytes, kind: type[_T]) -> _T:
    """Decodes msgpack; arguments and errors are those of `decode_json`."""
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error
