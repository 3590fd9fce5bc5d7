"""The crashes that a node keeps in the store, and their encoding.

Reports carry ages, so that a row names the store's time at which it was made.
That time is known as exactly as the duration of a call.
"""

from collections.abc import Iterable
import dataclasses
from typing import Annotated

import msgspec

from rhubarblead import decoding
from rhubarblead.requests import crash_reports
from rhubarblead.requests import poison

MAX_COUNT = 64
"""Crashes in a row; the server of a node ends once in some seconds."""

MAX_ROW_BYTES = 32_768
"""Half of what the store takes."""

MAX_SUSPECTS = 256
"""Suspects of a crash; a server runs some dozens of requests at a time."""

TIME_ERROR_MS = 250
"""Bound on the duration of a call by which the store's time is known."""

_MAX_AGE_MS = 2**53


class CannotDecode(Exception):
    """The bytes are not a valid row of crashes."""


class _Row(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    made_store_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_AGE_MS)]
    reports: tuple[crash_reports.CrashReport, ...]


def select(
    crashes: Iterable[poison.Crash], now_ms: int
) -> tuple[poison.Crash, ...]:
    """Selects the crashes that a row is to hold, the oldest first.

    Those that no longer count are left out, and the oldest if there are many;
    of many suspects the rarest are kept, as popular requests run at most
    crashes by chance.
    """
    recent = [
        crash
        for crash in crashes
        if crash.happened_at_ms >= now_ms - poison.TTL_MS
    ]
    recent.sort(key=lambda crash: crash.happened_at_ms)
    return tuple(_limit_suspects(crash) for crash in recent[-MAX_COUNT:])


def encode(
    crashes: Iterable[poison.Crash], *, now_ms: int, store_ms: int
) -> bytes:
    """Encodes crashes for the store.

    Args:
        crashes: The crashes, the oldest first; the oldest are left out if the
            row gets too large.
        now_ms: Current time in milliseconds.
        store_ms: The store's time.
    """
    reports = [
        crash_reports.CrashReport(**crash_reports.encode(crash, now_ms))
        for crash in crashes
    ]
    while True:
        row = _Row(made_store_ms=store_ms, reports=tuple(reports))
        content = msgspec.msgpack.encode(row)
        if len(content) <= MAX_ROW_BYTES or not reports:
            return content
        del reports[0]


def decode(
    content: bytes, *, now_ms: int, store_ms: int
) -> tuple[poison.Crash, ...]:
    """Decodes the crashes in a row of the store.

    Args:
        content: The row.
        now_ms: Current time in milliseconds.
        store_ms: The store's time.

    Raises:
        CannotDecode: The content is malformed.
    """
    try:
        row = decoding.decode_msgpack(content, _Row)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
    made_at_ms = now_ms - max(0, store_ms - row.made_store_ms)
    return tuple(
        dataclasses.replace(
            crash,
            happened_at_ms=min(crash.happened_at_ms, made_at_ms),
            time_error_ms=TIME_ERROR_MS,
        )
        for crash in (
            crash_reports.decode(report, made_at_ms) for report in row.reports
        )
    )


def _limit_suspects(crash: poison.Crash) -> poison.Crash:
    if len(crash.suspects) <= MAX_SUSPECTS:
        return crash
    rarest = sorted(crash.suspects, key=lambda suspect: suspect.commonness)
    return dataclasses.replace(crash, suspects=tuple(rarest[:MAX_SUSPECTS]))
