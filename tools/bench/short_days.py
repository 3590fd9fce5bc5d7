"""Draws short days in which several disruptions overlap.

A day is drawn from a seed alone, so that it can be drawn again. Its services
and zones are placeholders, which the bench replaces by those of a site.
"""

import dataclasses
import enum
import random
from typing import Any

import msgspec

MIN_COUNT = 3
MAX_COUNT = 6
MIN_START_S = 0.5
MAX_START_S = 5.0
OVERLAP_S = 3.0
"""All disruptions of a day begin within this time."""


class Target(enum.Enum):
    """What a disruption strikes; a day strikes at least two of these."""

    SERVERS = enum.auto()
    ROUTERS = enum.auto()
    STORE = enum.auto()
    CALLERS = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Range:
    """Values from which one is drawn."""

    least: float
    most: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disruption:
    """A kind of disruption, with the values that its fields may have.

    `variants` are values of the field `how`; `fields` are drawn from ranges,
    by the name that the bench gives them.
    """

    kind: str
    target: Target
    variants: tuple[str, ...] = ("",)
    fields: tuple[tuple[str, Range], ...] = ()
    is_planned: bool = False
    strikes_service: bool = False


_SHORT_S = ("for_s", Range(least=0.2, most=1.0))
_LONG_S = ("for_s", Range(least=2.0, most=8.0))
_GAP_S = ("gap_s", Range(least=0.2, most=1.0))
_SHARE = ("share", Range(least=0.15, most=0.7))


def _x(least: float, most: float) -> tuple[str, Range]:
    return ("x", Range(least=least, most=most))


DISRUPTIONS = (
    Disruption(
        kind="srv_grey",
        target=Target.SERVERS,
        variants=("shed",),
        fields=(_SHARE, _x(0.3, 0.7), _LONG_S),
        strikes_service=True,
    ),
    Disruption(
        kind="srv_slow",
        target=Target.SERVERS,
        fields=(_SHARE, _x(3.0, 8.0), _LONG_S),
        strikes_service=True,
    ),
    Disruption(
        kind="srv_crash",
        target=Target.SERVERS,
        variants=("", "dark"),
        fields=(_SHARE, _LONG_S),
    ),
    Disruption(
        kind="answer_lost",
        target=Target.SERVERS,
        variants=("", "reset"),
        fields=(_SHARE, _x(0.03, 0.4), _LONG_S),
        strikes_service=True,
    ),
    Disruption(
        kind="garble",
        target=Target.SERVERS,
        variants=("", "extra", "extra late", "unframed", "early"),
        fields=(_SHARE, _x(0.02, 0.3), _LONG_S),
    ),
    Disruption(
        kind="release",
        target=Target.SERVERS,
        fields=(("share", Range(least=0.3, most=0.7)), _GAP_S),
        is_planned=True,
    ),
    Disruption(
        kind="scale_in",
        target=Target.SERVERS,
        fields=(("share", Range(least=0.1, most=0.3)),),
        is_planned=True,
    ),
    Disruption(
        kind="scale_out",
        target=Target.SERVERS,
        fields=(("share", Range(least=0.2, most=0.4)), _GAP_S),
        is_planned=True,
    ),
    Disruption(
        kind="replace_with_reuse",
        target=Target.SERVERS,
        variants=("", "drain", "dark"),
        fields=(("share", Range(least=0.1, most=0.3)),),
    ),
    Disruption(
        kind="node_kill",
        target=Target.ROUTERS,
        variants=("", "drain", "meet drain", "power"),
        fields=(_SHARE, _SHORT_S),
    ),
    Disruption(
        kind="herd_kill",
        target=Target.ROUTERS,
        fields=(("share", Range(least=0.5, most=1.0)), _SHORT_S),
    ),
    Disruption(
        kind="node_cut",
        target=Target.ROUTERS,
        variants=("", "all"),
        fields=(_SHARE, _LONG_S),
    ),
    Disruption(
        kind="node_freeze",
        target=Target.ROUTERS,
        fields=(("share", Range(least=0.1, most=0.3)), _LONG_S),
    ),
    Disruption(
        kind="node_slow",
        target=Target.ROUTERS,
        fields=(("share", Range(least=0.1, most=0.4)), _x(2.0, 5.0), _LONG_S),
    ),
    Disruption(
        kind="roll_term",
        target=Target.ROUTERS,
        variants=("", "busy", "drain"),
        fields=(("share", Range(least=0.4, most=1.0)), _GAP_S),
        is_planned=True,
    ),
    Disruption(
        kind="reset_conns",
        target=Target.ROUTERS,
        fields=(_SHARE, _x(0.3, 1.0)),
    ),
    Disruption(
        kind="lossy",
        target=Target.ROUTERS,
        fields=(_x(0.01, 0.05), _LONG_S),
    ),
    Disruption(
        kind="clock_step",
        target=Target.ROUTERS,
        variants=("ahead", "back"),
        fields=(_SHARE, _x(500.0, 5_000.0), _LONG_S),
    ),
    Disruption(
        kind="hup",
        target=Target.ROUTERS,
        fields=(_SHARE, _GAP_S),
        is_planned=True,
    ),
    Disruption(
        kind="platform_down",
        target=Target.STORE,
        variants=("silent", "busy", "reset", "nodes many", "nodes busy"),
        fields=(_SHARE, _LONG_S),
    ),
    Disruption(
        kind="platform_slow",
        target=Target.STORE,
        fields=(_x(10.0, 80.0), _LONG_S),
    ),
    Disruption(
        kind="platform_lost",
        target=Target.STORE,
        variants=("", "late"),
        fields=(_x(0.1, 0.5), _LONG_S),
    ),
    Disruption(
        kind="config_storm",
        target=Target.STORE,
        fields=(_GAP_S, _LONG_S),
        is_planned=True,
    ),
    Disruption(
        kind="burst",
        target=Target.CALLERS,
        fields=(_x(1.3, 2.5), _LONG_S),
    ),
    Disruption(
        kind="retry_abuse",
        target=Target.CALLERS,
        fields=(_SHARE, _x(2.0, 4.0), _LONG_S),
    ),
    Disruption(
        kind="give_up",
        target=Target.CALLERS,
        fields=(_SHARE, _LONG_S),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Day:
    """A day as the bench reads it: planned work, and the rest."""

    name: str
    faults: tuple[dict[str, Any], ...]
    plan: tuple[dict[str, Any], ...]


def draw(seed: int) -> Day:
    """Draws a day.

    Args:
        seed: Seed of all choices; the same seed makes the same day.
    """
    source = random.Random(seed)
    picked = _pick(source)
    start_s = source.uniform(MIN_START_S, MAX_START_S)
    entries = [(item, _make_entry(item, start_s, source)) for item in picked]
    return Day(
        name=f"short-{seed}",
        faults=tuple(e for item, e in entries if not item.is_planned),
        plan=tuple(e for item, e in entries if item.is_planned),
    )


def _pick(source: random.Random) -> list[Disruption]:
    """Picks disruptions of at least two targets."""
    while True:
        count = source.randint(MIN_COUNT, MAX_COUNT)
        picked = source.sample(DISRUPTIONS, count)
        if len({item.target for item in picked}) > 1:
            return picked


def _make_entry(
    disruption: Disruption, start_s: float, source: random.Random
) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "at": round(start_s + source.uniform(0, OVERLAP_S), 2),
        "kind": disruption.kind,
    }
    for name, values in disruption.fields:
        entry[name] = round(source.uniform(values.least, values.most), 2)
    variant = source.choice(disruption.variants)
    if variant:
        entry["how"] = variant
    if disruption.strikes_service:
        entry["service"] = "@s0"
    return entry


def format_day(day: Day) -> str:
    """Formats a day as TOML.

    Args:
        day: The day.
    """
    content = {
        "name": day.name,
        "labels": [],
        "faults": list(day.faults),
        "plan": list(day.plan),
    }
    return msgspec.toml.encode(content).decode("utf-8")
