"""Generates the reference pages in docs/ from the source.

Usage: ./run python -m tools.reference
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import logging
import pathlib
import sys
from typing import Any

from rhubarblead import metrics
from rhubarblead import settings
from rhubarblead.events import catalog
from rhubarblead.events import event_metrics
from rhubarblead.node import gauges
from rhubarblead.platform import settings as platform_settings
from rhubarblead.router import metrics_exporter

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"

_COMMAND = "./run python -m tools.reference"
_UNITS = {
    "_ms": "ms",
    "_bytes": "bytes",
    "_per_mille": "thousandths",
    "port": "port number",
}
_EVENT_GROUPS = {
    10: "Node lifecycle",
    11: "Settings",
    12: "Membership and leases",
    13: "Assignment and handover",
    14: "Store",
    15: "Tables",
    20: "Requests",
    21: "Upstream",
    22: "Peers",
    23: "Ledger",
    24: "Poison requests",
    30: "Router on the platform: lifecycle, settings and logs",
    31: "Router: configuration",
    32: "Router: store",
    33: "Router: keys and the server",
    34: "Router: links between nodes",
    35: "Router: requests",
    90: "Internal",
}
_UNREPORTED_NOTE = " (Not reported yet.)"
_UNREPORTED_EVENTS = frozenset(
    [
        "SETTINGS_REFUSED",
        "SETTINGS_IN_FORCE",
        "GRANTERS_CHOSEN",
        "EVICTED_ITSELF",
        "PROMISE_REFUSED",
        "AUTHORITY_LOST",
        "HANDOVER_BEGUN",
        "HANDOVER_COMMITTED",
        "HANDOVER_GIVEN_UP",
        "KEY_SPLIT",
        "KEY_MERGED",
        "OWNERSHIP_IN_FORCE",
        "NO_OWNER",
        "STORE_SLOW",
        "STORE_WRITE_RESOLVED",
        "SNAPSHOT_WRITTEN",
        "REQUEST_FORWARDED",
        "REQUEST_CANCELLED",
        "ANSWER_UNMATCHED",
        "UPSTREAM_ANNOUNCED",
        "UPSTREAM_COLD",
        "UPSTREAM_UNFENCED",
    ]
)
_Schema = dict[str, Any]


def write_events() -> str:
    """Generates the page of the event catalogue."""
    lines = _start_page(
        "Events",
        "Every event has a number that never changes its meaning. Each is one"
        " JSON object on a line of stderr, which the platform's log collector"
        " takes: `number`, `name`, `level`, `instance`, `incarnation`,"
        " `sequence` (within the process), `lamport` (orders events of"
        " different processes), `wall_ms`, `monotonic_ms`, and `fields`."
        " Events of level DEBUG are kept in the process's time line and logged"
        " only when `logs.level` is DEBUG. `rhubarblead timeline` merges the"
        " time lines of all processes.",
    )
    groups = collections.defaultdict(list)
    for event in catalog.Event:
        groups[event.number // 100].append(event)
    for hundred, events in groups.items():
        lines += ["", f"## {_EVENT_GROUPS[hundred]}", ""]
        lines += _make_table(
            ("Number", "Name", "Level", "Fields", "Meaning", "What to do"),
            [_list_event_cells(event) for event in events],
        )
    return _finish_page(lines)


def write_settings() -> str:
    """Generates the page of the settings."""
    lines = _start_page(
        "Settings",
        "A node reads one JSON file when it starts. Unknown fields are"
        " refused. `rhubarblead settings check FILE` names every wrong field,"
        " `rhubarblead settings schema` prints the JSON schema.",
    )
    schema = settings.Settings.model_json_schema()
    lines += [""]
    lines += _make_table(
        ("Field", "Type", "Unit", "Default", "Meaning"),
        [tuple(row) for row in _list_settings(schema, schema, "")],
    )
    lines += ["", "## The router on the users' platform", ""]
    lines += [
        "It reads the platform's file instead, which the variable"
        f" `{platform_settings.SETTINGS_VARIABLE}` names, else"
        f" `{platform_settings.DEFAULT_PATH}`. Other fields of the file are"
        " left unread; every wrong one of these is named at once, and the"
        " process doesn't start.",
        "",
    ]
    lines += _make_table(
        ("Field", "Default", "Meaning"),
        [
            (f"`{name}`", default, meaning)
            for name, default, meaning in platform_settings.describe()
        ],
    )
    return _finish_page(lines)


def write_metrics() -> str:
    """Generates the page of the metrics."""
    lines = _start_page(
        "Metrics",
        "With `metrics` in the settings, a node sends these by the statsd"
        " protocol over UDP once a second; each name follows the prefix.",
    )
    for kind, heading in (
        (metrics.Counter, "Counters"),
        (metrics.Timer, "Timers (ms)"),
        (metrics.Gauge, "Gauges"),
    ):
        lines += ["", f"## {heading}", ""]
        lines += _make_table(
            ("Name", "Meaning"),
            [(f"`{m.value}`", _explain_metric(m)) for m in kind],
        )
    lines += ["", "## The router on the users' platform", ""]
    lines += [
        f"Served as text at `{metrics_exporter.PATH}` of port"
        f" {platform_settings.METRICS_PORT}; each name begins with"
        f" `{metrics_exporter.PREFIX}`.",
        "",
    ]
    rows: list[tuple[str, ...]] = [
        (f"`{n}`", m) for n, m in metrics_exporter.SERIES_DESCRIPTIONS.items()
    ]
    rows += [
        (f"`{g.value}`", m)
        for g, m in metrics_exporter.GAUGE_DESCRIPTIONS.items()
    ]
    lines += _make_table(("Name", "Meaning"), rows)
    return _finish_page(lines)


PAGES: dict[str, Callable[[], str]] = {
    "EVENTS.md": write_events,
    "SETTINGS.md": write_settings,
    "METRICS.md": write_metrics,
}


def main() -> int:
    """Writes all pages to docs/."""
    for name, write in PAGES.items():
        (DOCS / name).write_text(write(), encoding="utf-8")
    return 0


def _start_page(title: str, text: str) -> list[str]:
    return [f"# {title}", "", f"Written by `{_COMMAND}`.", "", text]


def _finish_page(lines: list[str]) -> str:
    return "\n".join(lines) + "\n"


def _make_table(
    heads: tuple[str, ...], rows: list[tuple[str, ...]]
) -> list[str]:
    ruler = tuple("---" for _ in heads)
    return [f"| {' | '.join(row)} |" for row in (heads, ruler, *rows)]


def _explain_metric(
    metric: metrics.Counter | metrics.Timer | metrics.Gauge,
) -> str:
    reported: set[metrics.Counter | metrics.Timer | metrics.Gauge | None] = {
        metrics.Counter.TIMINGS_DROPPED,
        *gauges.REPORTED,
    }
    for measure in event_metrics.EVENT_METRICS.values():
        reported |= {measure.counter, measure.timer}
    note = "" if metric in reported else _UNREPORTED_NOTE
    return metrics.DESCRIPTIONS[metric] + note


def _list_event_cells(event: catalog.Event) -> tuple[str, ...]:
    definition = event.value
    return (
        str(event.number),
        event.name,
        logging.getLevelName(event.level),
        ", ".join(f"`{field}`" for field in definition.fields),
        definition.description
        + (_UNREPORTED_NOTE if event.name in _UNREPORTED_EVENTS else ""),
        definition.action,
    )


def _list_settings(
    schema: _Schema, root: _Schema, prefix: str
) -> Iterator[list[str]]:
    required = schema.get("required", [])
    for name, field in schema["properties"].items():
        path = f"{prefix}{name}"
        inner = _find_object(field, root)
        if inner is not None:
            is_optional = "anyOf" in field
            default = "absent" if is_optional else ""
            meaning = field["description"]
            yield [f"`{path}`", "object", "", default, meaning]
            yield from _list_settings(inner, root, f"{path}.")
            continue
        default = "required" if name in required else f"`{field['default']}`"
        yield [
            f"`{path}`",
            _describe_type(field),
            _find_unit(name),
            default,
            field["description"],
        ]


def _find_object(field: _Schema, root: _Schema) -> _Schema | None:
    choices = [field, *field.get("anyOf", ())]
    reference = next((c["$ref"] for c in choices if "$ref" in c), None)
    if reference is None:
        return None
    found: _Schema = root["$defs"][reference.rpartition("/")[2]]
    return found


def _describe_type(field: _Schema) -> str:
    if field.get("format") == "ipvanyaddress":
        return "IP number"
    if "minimum" in field:
        return f"{field['type']}, {field['minimum']} to {field['maximum']}"
    if "pattern" in field:
        pattern = field["pattern"].replace("|", "\\|")
        return f"{field['type']}, `{pattern}`"
    kind: str = field["type"]
    return kind


def _find_unit(name: str) -> str:
    return next(
        (unit for suffix, unit in _UNITS.items() if name.endswith(suffix)), ""
    )


if __name__ == "__main__":
    sys.exit(main())
