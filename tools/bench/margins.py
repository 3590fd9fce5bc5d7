"""Shows from the logs of a day how near the nodes came to each bound.

That a rule was kept doesn't say by how much. Lines that a node has dropped
under load are missing, so that a margin may be smaller than it seems.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any

from tools.bench import log_lines
from tools.bench import retry_use

HIGH_SHARE = 0.9
"""Share of a bound from which its use is worth a look."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """What the users' pages allow, in milliseconds."""

    leaving_ms: float = 2_000
    configuration_ms: float = 2_000
    grace_ms: float = 6_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Margin:
    """The most of a bound that was used.

    `used` and `bound` have the unit of the rule; `where` says when and at
    which node, service or version.
    """

    rule: str
    used: float
    bound: float
    where: str

    @property
    def share(self) -> float:
        """Share of the bound that was used."""
        return self.used / self.bound if self.bound else 0.0

    @property
    def is_high(self) -> bool:
        """Whether nearly all of the bound was used."""
        return self.share > HIGH_SHARE


@dataclasses.dataclass(slots=True, kw_only=True)
class _Spread:
    """When a version was put in force first and last."""

    first_ms: float
    last_ms: float
    last_instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Exit:
    """When a server has announced its exit."""

    server_id: str
    at_ms: float


class _Reader:
    """Collects the margins, event by event."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._exits: dict[str, _Exit] = {}
        self._spreads: dict[int, _Spread] = {}
        self.margins: dict[str, Margin] = {}

    def read(self, at_ms: float, instance: str, event: dict[str, Any]) -> None:
        """Reads one event of a node."""
        match event.get("event"):
            case "ROUTER_STOPPED":
                self._record(
                    "planned stop, ms",
                    float(event["waited_ms"]),
                    self._bounds.grace_ms,
                    f"{instance} at {at_ms / 1_000:.1f} s",
                )
            case "SERVER_EXIT_RECORDED" | "SERVER_LEAVING":
                found = _Exit(server_id=event["server_id"], at_ms=at_ms)
                known = self._exits.get(instance)
                if known is None or known.server_id != found.server_id:
                    self._exits[instance] = found
            case "SERVER_SEEN":
                known = self._exits.get(instance)
                if known and known.server_id != event["server_id"]:
                    del self._exits[instance]
            case "CONFIG_IN_FORCE" if event["previous_version"] >= 0:
                self._read_version(at_ms, instance, event)
            case "ANSWER_RETURNED":
                self._read_answer(at_ms, event)

    def _read_version(
        self, at_ms: float, instance: str, event: dict[str, Any]
    ) -> None:
        spread = self._spreads.setdefault(
            event["version"],
            _Spread(first_ms=at_ms, last_ms=at_ms, last_instance=instance),
        )
        spread.last_ms, spread.last_instance = at_ms, instance
        self._record(
            "configuration in force, ms after the first node",
            at_ms - spread.first_ms,
            self._bounds.configuration_ms,
            f"version {event['version']} at {instance}",
        )

    def _read_answer(self, at_ms: float, event: dict[str, Any]) -> None:
        """Reads when a request began to run, if its server was leaving."""
        instance = str(event.get("node_id", "")).partition("@")[0]
        announced = self._exits.get(instance)
        if announced is None:
            return
        began_ms = at_ms - event["ran_ms"] - event["transit_ms"]
        if began_ms > announced.at_ms:
            self._record(
                "request to a leaving server, ms after its exit",
                began_ms - announced.at_ms,
                self._bounds.leaving_ms,
                f"{instance}, request {event['request_id']}",
            )

    def _record(self, rule: str, used: float, bound: float, where: str) -> None:
        known = self.margins.get(rule)
        if known is None or used > known.used:
            self.margins[rule] = Margin(
                rule=rule, used=used, bound=bound, where=where
            )


def find_margins(
    lines: Iterable[str], bounds: Bounds | None = None
) -> list[Margin]:
    """Finds the least margin of each rule, the rule most used first.

    Args:
        lines: Printed logs of all nodes of a day, in any order.
        bounds: The bounds; those of the pages if left out.
    """
    ordered = sorted(lines, key=_find_second)
    reader = _Reader(bounds or Bounds())
    for at_ms, instance, event in log_lines.read(ordered):
        reader.read(at_ms, instance, event)
    margins = list(reader.margins.values())
    for service, peak in retry_use.find_peaks(ordered).items():
        margins.append(
            Margin(
                rule=f"retries to {service}, in 10 s",
                used=peak.retry_count,
                bound=peak.allowed_count,
                where=f"until {peak.ends_ms / 1_000:.1f} s",
            )
        )
    return sorted(margins, key=lambda item: -item.share)


def _find_second(line: str) -> float:
    """Returns the time of a line; lines without one come first."""
    try:
        return float(line.split(maxsplit=1)[0])
    except (IndexError, ValueError):
        return float("-inf")


def format_margin(margin: Margin) -> str:
    """Formats a margin as a line."""
    mark = "  high" if margin.is_high else ""
    return (
        f"{margin.share:5.0%}  {margin.rule}: {margin.used:.0f} of"
        f" {margin.bound:.0f} ({margin.where}){mark}"
    )
