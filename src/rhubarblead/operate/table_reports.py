"""Reports of the table commands as text or JSON with an exit code."""

from collections.abc import Sequence
import datetime
from typing import TypeAlias

import msgspec

from rhubarblead import faults
from rhubarblead.operate import in_force
from rhubarblead.operate import outcome
from rhubarblead.tablestore import table_changes
from rhubarblead.tablestore import table_versions

_MS_PER_S = 1_000
_INDENT = "  "


class FaultLine(msgspec.Struct, frozen=True, kw_only=True):
    """A field with an invalid value, and what was expected."""

    path: str
    expected: str


class Shown(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="outcome", tag="shown"
):
    """The tables in force."""

    version: table_versions.Version
    tables: msgspec.Raw


class Valid(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="outcome", tag="valid"
):
    """A file with valid tables."""

    file: str


class Invalid(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="outcome",
    tag="invalid",
):
    """Invalid input with all its faults."""

    subject: str
    faults: tuple[FaultLine, ...]


class Diff(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="outcome", tag="diff"
):
    """Differences between the tables in force and a file."""

    revision: int
    differences: tuple[table_changes.Difference, ...]
    unsafe: tuple[FaultLine, ...]


class Applied(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="outcome",
    tag="applied",
):
    """Tables that were stored, and the nodes that don't use them yet."""

    version: table_versions.Version
    is_changed: bool
    is_in_force: bool
    lagging: tuple[in_force.LaggingNode, ...] = ()


class Conflict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="outcome",
    tag="conflict",
):
    """A change that conflicts with an earlier one by another operator."""

    revision: int
    changed_by: tuple[table_versions.Version, ...]
    yours: tuple[table_changes.Difference, ...]
    theirs: tuple[table_changes.Difference, ...]


class Unavailable(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="outcome",
    tag="unavailable",
):
    """A platform call that failed and certainly had no effect."""

    explanation: str


class InDoubt(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="outcome",
    tag="in-doubt",
):
    """A change that may have taken effect or may yet do so."""

    write_id: str
    explanation: str


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """A change with the digests of the tables before and after it."""

    revision: int
    author: str
    written_at_ms: int
    comment: str
    before_digest: str
    after_digest: str
    differences: tuple[table_changes.Difference, ...]


class History(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="outcome",
    tag="history",
):
    """The latest changes, newest first."""

    changes: tuple[HistoryLine, ...]


Report: TypeAlias = (
    Shown
    | Valid
    | Invalid
    | Diff
    | Applied
    | Conflict
    | Unavailable
    | InDoubt
    | History
)


def make_outcome(report: Report, *, is_json: bool) -> outcome.Outcome:
    """Formats a report and chooses the exit code.

    Args:
        report: The report.
        is_json: Whether to print JSON instead of text.

    Returns:
        The outcome of the command.
    """
    code = _find_exit_code(report)
    if is_json:
        text = msgspec.json.format(msgspec.json.encode(report)).decode()
        return outcome.Outcome(text=text, exit_code=code)
    lines = tuple(_describe(report))
    if code in (outcome.ExitCode.OK, outcome.ExitCode.LAGGING):
        return outcome.Outcome(text="\n".join(lines), exit_code=code)
    return outcome.Outcome(exit_code=code, diagnostics=lines)


def make_faults(found: Sequence[faults.Fault]) -> tuple[FaultLine, ...]:
    """Converts faults to their form in a report."""
    return tuple(
        FaultLine(path=fault.path, expected=fault.expected) for fault in found
    )


def _find_exit_code(report: Report) -> outcome.ExitCode:
    match report:
        case Invalid():
            return outcome.ExitCode.BAD_INPUT
        case Diff(unsafe=unsafe) if unsafe:
            return outcome.ExitCode.BAD_INPUT
        case Conflict():
            return outcome.ExitCode.CONFLICT
        case Unavailable():
            return outcome.ExitCode.UNREACHABLE
        case InDoubt():
            return outcome.ExitCode.IN_DOUBT
        case Applied(is_in_force=False):
            return outcome.ExitCode.LAGGING
    return outcome.ExitCode.OK


def _describe(report: Report) -> list[str]:
    match report:
        case Shown(version=version, tables=tables):
            text = msgspec.json.format(bytes(tables)).decode()
            return [_describe_version(version), text]
        case Valid(file=file):
            return [f"{file} is valid"]
        case Invalid(subject=subject, faults=found):
            return [f"{subject} is not valid:", *_describe_faults(found)]
        case Diff():
            return _describe_diff(report)
        case Applied():
            return _describe_applied(report)
        case Conflict():
            return _describe_conflict(report)
        case Unavailable(explanation=explanation):
            return [f"nothing was done: {explanation}"]
        case InDoubt(write_id=write_id, explanation=explanation):
            return [
                f"the change may have taken effect: {explanation}",
                "run the same command again with the same"
                f" --expected-revision and --write-id {write_id}",
            ]
        case History(changes=changes):
            return [
                line for change in changes for line in _describe_change(change)
            ]


def _describe_diff(report: Diff) -> list[str]:
    if not report.differences:
        return [f"no difference from revision {report.revision}"]
    lines = [
        f"differences from revision {report.revision}:",
        *_describe_differences(report.differences),
    ]
    if report.unsafe:
        lines += ["this change is unsafe:", *_describe_faults(report.unsafe)]
    return lines


def _describe_applied(report: Applied) -> list[str]:
    revision = report.version.revision
    note = "" if report.is_changed else ", which has the same tables"
    if report.is_in_force:
        return [f"revision {revision}{note}, in force on all nodes"]
    return [
        f"revision {revision}{note}, stored but not in force on:",
        *(f"{_INDENT}{_describe_node(node)}" for node in report.lagging),
    ]


def _describe_node(node: in_force.LaggingNode) -> str:
    state = node.fault or f"at revision {node.tables_revision}"
    return f"{node.instance} ({node.authority}): {state}"


def _describe_conflict(report: Conflict) -> list[str]:
    return [
        f"conflict: others changed the tables to revision {report.revision}:",
        *(_INDENT + _describe_version(v) for v in report.changed_by),
        "your changes:",
        *_describe_differences(report.yours, report.theirs),
        "their changes:",
        *_describe_differences(report.theirs, report.yours),
    ]


def _describe_change(change: HistoryLine) -> list[str]:
    return [
        f"revision {change.revision} by {change.author}"
        f" at {_format_time(change.written_at_ms)}: {change.comment}",
        f"{_INDENT}before {change.before_digest or '(none)'}",
        f"{_INDENT}after  {change.after_digest}",
        *_describe_differences(change.differences),
    ]


def _describe_version(version: table_versions.Version) -> str:
    if not version.revision:
        return "revision 0, no tables were applied yet"
    return (
        f"revision {version.revision} by {version.author}"
        f" at {_format_time(version.written_at_ms)}: {version.comment}"
    )


def _describe_differences(
    differences: Sequence[table_changes.Difference],
    others: Sequence[table_changes.Difference] = (),
) -> list[str]:
    lines = []
    for found in differences:
        is_shared = any(found.is_overlapping(other) for other in others)
        suffix = " (changed by both)" if is_shared else ""
        before = found.before or "(none)"
        after = found.after or "(none)"
        lines.append(f"{_INDENT}{found.path}: {before} -> {after}{suffix}")
    return lines


def _describe_faults(found: Sequence[FaultLine]) -> list[str]:
    return [f"{_INDENT}{fault.path}: {fault.expected}" for fault in found]


def _format_time(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        wall_ms / _MS_PER_S, tz=datetime.UTC
    )
    return moment.isoformat(timespec="seconds")
