"""Reports results of load and fault runs as plots and a Markdown page.

Usage: python -m tools.report RESULT.json [AFTER.json] --out FOLDER

Two results of the same kind are shown side by side.
"""

from collections.abc import Iterable
import pathlib
import sys
from typing import TypeAlias

import fire
import matplotlib

matplotlib.use("Agg")

from matplotlib import axes
from matplotlib import figure as figures
from matplotlib import pyplot
import msgspec

from tools import faults
from tools.load import measure

_WIDTH_IN = 9.0
_HEIGHT_IN = 4.5
_MAX_UNAVAILABLE_MS = 2_000
_LABELS = ("before", "after")

FaultReports: TypeAlias = tuple[faults.FaultReport, ...]


def read_results(
    paths: Iterable[pathlib.Path],
) -> list[measure.Result] | list[FaultReports]:
    """Reads results, which must be of one kind.

    Args:
        paths: Result files of the load tool or of the fault tool.

    Returns:
        The results in their order.

    Raises:
        msgspec.DecodeError: A file is not a result, or the kinds are mixed.
    """
    texts = [path.read_bytes() for path in paths]
    if texts[0].lstrip().startswith(b"["):
        return [msgspec.json.decode(text, type=FaultReports) for text in texts]
    return [msgspec.json.decode(text, type=measure.Result) for text in texts]


def write_table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Formats a Markdown table."""
    names = list(header)
    lines = ["| " + " | ".join(names) + " |", "|---" * len(names) + "|"]
    lines.extend("| " + " | ".join(row) + " |" for row in rows)
    return "\n".join(lines) + "\n"


def write_load_page(results: list[measure.Result], folder: pathlib.Path) -> str:
    """Draws the plots of load results, and returns their Markdown page."""
    labels = _choose_labels(len(results))
    _draw_latency(results, labels, folder / "latency.png")
    _draw_imbalance(results, labels, folder / "imbalance.png")
    rows = [
        ("revision", *(r.revision for r in results)),
        ("asked, 1/s", *(f"{r.asked_per_s:.0f}" for r in results)),
        ("right answers, 1/s", *(f"{r.reached_per_s:.1f}" for r in results)),
        ("p50, ms", *(f"{r.latency.p50_ms:.2f}" for r in results)),
        ("p99, ms", *(f"{r.latency.p99_ms:.2f}" for r in results)),
        ("p99.9, ms", *(f"{r.latency.p999_ms:.2f}" for r in results)),
        ("most, ms", *(f"{r.latency.max_ms:.2f}" for r in results)),
        *(
            (
                f"{role}: CPU us a request",
                *(
                    f"{r.usage_by_role[role].cpu_us_per_request:.0f}"
                    for r in results
                ),
            )
            for role in results[0].usage_by_role
        ),
        *(
            (
                f"{pool}: imbalance",
                *(f"{r.load_by_pool[pool].imbalance:.2f}" for r in results),
            )
            for pool in results[0].load_by_pool
        ),
        ("refusals", *(str(r.count_by_refusal) for r in results)),
        ("faults", *(str(r.count_by_fault) for r in results)),
    ]
    return "\n".join(
        (
            "# Load\n",
            write_table(("", *labels), rows),
            "![Latency by percentile](latency.png)\n",
            "![Right answers by server](imbalance.png)\n",
        )
    )


def write_fault_page(results: list[FaultReports], folder: pathlib.Path) -> str:
    """Draws the plots of fault results, and returns their Markdown page."""
    labels = _choose_labels(len(results))
    _draw_bars(
        results,
        labels,
        folder / "unavailable.png",
        field="unavailable_max_ms",
        title="Longest time without an answer, shards of lost servers (ms)",
        target=_MAX_UNAVAILABLE_MS,
    )
    _draw_bars(
        results,
        labels,
        folder / "churn.png",
        field="moved_max",
        title="Shards that changed owner",
    )
    header = (
        "run",
        "fault",
        "repeats",
        "unavailable p50, ms",
        "most, ms",
        "other shards, ms",
        "moved",
        "cut off",
        "violations",
        "",
    )
    rows = [
        (
            label,
            report.fault,
            str(len(report.runs)),
            f"{report.unavailable_p50_ms:.0f}",
            f"{report.unavailable_max_ms:.0f}",
            f"{report.other_max_ms:.0f}",
            str(report.moved_max),
            str(report.cut_off_max),
            str(report.violation_count),
            "pass" if report.is_passed else "FAIL",
        )
        for label, reports in zip(labels, results, strict=True)
        for report in reports
    ]
    return "\n".join(
        (
            "# Faults\n",
            write_table(header, rows),
            "![Unavailable time](unavailable.png)\n",
            "![Churn](churn.png)\n",
        )
    )


def _choose_labels(count: int) -> tuple[str, ...]:
    return ("run",) if count == 1 else _LABELS[:count]


def _draw_latency(
    results: list[measure.Result], labels: Iterable[str], path: pathlib.Path
) -> None:
    figure, axis = pyplot.subplots(figsize=(_WIDTH_IN, _HEIGHT_IN))
    for result, label in zip(results, labels, strict=True):
        curve = result.latency.curve
        axis.plot(
            range(len(curve)),
            [point[1] for point in curve],
            marker="o",
            label=label,
        )
        axis.set_xticks(range(len(curve)), [f"{p:g}" for p, _ in curve])
    axis.set_yscale("log")
    axis.set_xlabel("percentile")
    axis.set_ylabel("ms from the intended send time")
    _finish(figure, axis, path)


def _draw_imbalance(
    results: list[measure.Result], labels: Iterable[str], path: pathlib.Path
) -> None:
    figure, axis = pyplot.subplots(figsize=(_WIDTH_IN, _HEIGHT_IN))
    names = [
        name
        for load in results[0].load_by_pool.values()
        for name in load.answers_by_server
    ]
    for number, (result, label) in enumerate(zip(results, labels, strict=True)):
        answers = {
            name: count
            for load in result.load_by_pool.values()
            for name, count in load.answers_by_server.items()
        }
        _add_bars(
            axis,
            [float(answers.get(name, 0)) for name in names],
            number,
            len(results),
            label,
        )
    _set_category_labels(axis, names)
    axis.set_ylabel("right answers")
    _finish(figure, axis, path)


def _draw_bars(
    results: list[FaultReports],
    labels: Iterable[str],
    path: pathlib.Path,
    *,
    field: str,
    title: str,
    target: float | None = None,
) -> None:
    figure, axis = pyplot.subplots(figsize=(_WIDTH_IN, _HEIGHT_IN))
    names = list(
        dict.fromkeys(item.fault for reports in results for item in reports)
    )
    for number, (reports, label) in enumerate(
        zip(results, labels, strict=True)
    ):
        values = {item.fault: float(getattr(item, field)) for item in reports}
        _add_bars(
            axis,
            [values.get(name, 0.0) for name in names],
            number,
            len(results),
            label,
        )
    _set_category_labels(axis, names)
    if target is not None:
        axis.axhline(target, linestyle="--", label="target")
    axis.set_title(title)
    _finish(figure, axis, path)


def _add_bars(
    axis: axes.Axes,
    values: list[float],
    number: int,
    group_count: int,
    label: str,
) -> None:
    width = 0.8 / group_count
    positions = [place + width * number for place in range(len(values))]
    axis.bar(positions, values, width=width, label=label)


def _set_category_labels(axis: axes.Axes, names: list[str]) -> None:
    axis.set_xticks(range(len(names)), names, rotation=45, ha="right")


def _finish(
    figure: figures.Figure, axis: axes.Axes, path: pathlib.Path
) -> None:
    axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def report(before: str, after: str = "", *, out: str = "report") -> int:
    """Writes plots and `README.md` into a folder.

    Args:
        before: A result file.
        after: A second result file of the same kind, if any.
        out: The output folder.

    Returns:
        0.
    """
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    results = read_results(
        pathlib.Path(name) for name in (before, after) if name
    )
    first = results[0]
    if isinstance(first, measure.Result):
        loads = [item for item in results if isinstance(item, measure.Result)]
        page = write_load_page(loads, folder)
    else:
        reports = [item for item in results if isinstance(item, tuple)]
        page = write_fault_page(reports, folder)
    (folder / "README.md").write_text(page, encoding="utf-8")
    print(f"wrote {folder / 'README.md'}")
    return 0


if __name__ == "__main__":
    sys.exit(fire.Fire(report, serialize=lambda code: None))
