"""Idempotency keys: UUIDs of version 7, which begin with the time."""

import random
import uuid

_VERSION = 7 << 76
_VARIANT = 0b10 << 62
_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62
_TIME_SHIFT = 80
_TIME_MASK = (1 << 48) - 1


def make_key(now_wall_ms: int, chance: random.Random) -> str:
    """Makes an idempotency key.

    Args:
        now_wall_ms: The wall clock, in milliseconds since 1970.
        chance: The source of the random part; it must be a secure one when
            callers don't trust each other.

    Returns:
        The key as text.
    """
    return str(
        uuid.UUID(
            int=(now_wall_ms & _TIME_MASK) << _TIME_SHIFT
            | _VERSION
            | chance.getrandbits(_RANDOM_A_BITS) << 64
            | _VARIANT
            | chance.getrandbits(_RANDOM_B_BITS)
        )
    )
