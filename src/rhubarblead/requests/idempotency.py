"""Idempotency keys: UUIDs of version 7, which tell when they were issued."""

import uuid

_VERSION = 7
_VARIANT = 0b10
_MS_SHIFT = 80
_MS_MASK = 2**48 - 1
_RANDOM_BYTES = 10


class CannotReadKey(Exception):
    """A text is no UUID of version 7."""


def make_key(*, random: bytes, wall_ms: int) -> str:
    """Makes a key.

    Args:
        random: Ten random bytes.
        wall_ms: The wall time, in milliseconds since 1970.

    Returns:
        A UUID of version 7 as text.

    Raises:
        ValueError: There are not ten bytes.
    """
    if len(random) != _RANDOM_BYTES:
        raise ValueError(f"{_RANDOM_BYTES} random bytes are needed")
    number = (wall_ms & _MS_MASK) << _MS_SHIFT | int.from_bytes(random)
    number = number & ~(0xF << 76) | _VERSION << 76
    number = number & ~(0b11 << 62) | _VARIANT << 62
    return str(uuid.UUID(int=number))


def read_issued_ms(key: str) -> int:
    """Reads when a key was issued, by its maker's wall clock.

    Args:
        key: The key.

    Returns:
        Milliseconds since 1970.

    Raises:
        CannotReadKey: The key is no UUID of version 7, or not in the one
            spelling that is taken: a key in another would be another key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError as error:
        raise CannotReadKey(f"{key!r} is no UUID") from error
    if parsed.version != _VERSION:
        raise CannotReadKey(f"{key!r} has version {parsed.version}")
    if str(parsed) != key:
        raise CannotReadKey(f"{key!r} is not spelled {str(parsed)!r}")
    return parsed.int >> _MS_SHIFT
