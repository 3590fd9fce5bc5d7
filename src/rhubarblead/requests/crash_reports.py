"""Reports of crashes that nodes exchange, with ages instead of times."""

import itertools
from typing import Any

import msgspec

from rhubarblead.requests import poison

_PER_MILLE = 1_000


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """The requests that were running when a server crashed.

    `is_alone` is set if a single request was running. `happened_ago_ms` and
    `ages_ms` are times before the report was sent: of the crash, and of the
    start of each request. `ages_ms` and `commonness_per_mille` have the order
    of `fingerprints`; reports of earlier versions lack them. `reporter` is the
    node beside the server, `time_error_ms` a bound on the error of all times.
    """

    crash_id: str
    fingerprints: tuple[int, ...]
    is_alone: bool = False
    happened_ago_ms: int = 0
    ages_ms: tuple[int, ...] = ()
    commonness_per_mille: tuple[int, ...] = ()
    reporter: str = ""
    time_error_ms: int = 0


def encode(crash: poison.Crash, now_ms: int) -> dict[str, Any]:
    """Returns the fields of a report.

    Args:
        crash: The crash.
        now_ms: Current time in milliseconds.
    """
    return {
        "crash_id": crash.crash_id,
        "fingerprints": tuple(s.fingerprint for s in crash.suspects),
        "is_alone": crash.is_alone,
        "happened_ago_ms": now_ms - crash.happened_at_ms,
        "ages_ms": tuple(now_ms - s.started_at_ms for s in crash.suspects),
        "commonness_per_mille": tuple(
            int(s.commonness * _PER_MILLE) for s in crash.suspects
        ),
        "reporter": crash.reporter,
        "time_error_ms": crash.time_error_ms,
    }


def decode(report: CrashReport, now_ms: int) -> poison.Crash:
    """Reads a report.

    Args:
        report: The report, possibly of an earlier version.
        now_ms: Time of its arrival in milliseconds.
    """
    rows = itertools.zip_longest(
        report.fingerprints, report.ages_ms, report.commonness_per_mille
    )
    return poison.Crash(
        crash_id=report.crash_id,
        happened_at_ms=now_ms - report.happened_ago_ms,
        suspects=tuple(
            poison.Suspect(
                fingerprint=fingerprint,
                started_at_ms=now_ms
                - (report.happened_ago_ms if age_ms is None else age_ms),
                # A probability, whatever the report says.
                commonness=min(max(per_mille or 0, 0), _PER_MILLE) / _PER_MILLE,
            )
            for fingerprint, age_ms, per_mille in rows
            if fingerprint is not None
        ),
        is_alone=report.is_alone,
        reporter=report.reporter,
        time_error_ms=report.time_error_ms,
    )
