"""Idempotency keys: UUIDs of version 7, which contain their issue time."""

import uuid

_VERSION = 7
_VARIANT = 0b10
_MS_SHIFT = 80
_MS_MASK = 2**48 - 1
_RANDOM_BYTES = 10


class CannotReadKey(Exception):
    """The text is not a UUID of version 7."""


def make_key(*, random: bytes, wall_ms: int) -> str:
    """Creates a key.

    Args:
        random: 10 random bytes.
        wall_ms: Wall clock time in milliseconds since the Unix epoch.

    Returns:
        The text of a UUID of version 7.

    Raises:
        ValueError: `random` does not have 10 bytes.
    """
    if len(random) != _RANDOM_BYTES:
        raise ValueError(f"{_RANDOM_BYTES} random bytes are needed")
    number = (wall_ms & _MS_MASK) << _MS_SHIFT | int.from_bytes(random)
    number = number & ~(0xF << 76) | _VERSION << 76
    number = number & ~(0b11 << 62) | _VARIANT << 62
    return str(uuid.UUID(int=number))


def read_issued_ms(key: str) -> int:
    """Reads the issue time of a key, by the wall clock of its issuer.

    Args:
        key: The key.

    Returns:
        Milliseconds since the Unix epoch.

    Raises:
        CannotReadKey: The key is not a UUID of version 7, or not in canonical
            form. Another form of the same UUID would count as another key.
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
