"""Command that shows the merged timeline of all processes."""

from collections.abc import Sequence
import dataclasses
import datetime
import pathlib

import msgspec
import result

from rhubarblead.events import filters
from rhubarblead.events import record
from rhubarblead.operate import fleet
from rhubarblead.operate import lookups
from rhubarblead.operate import outcome
from rhubarblead.operate import timeline


class TimelineReport(msgspec.Struct, frozen=True, kw_only=True):
    """A timeline as printed in JSON.

    `tenures` lists the owners of the selected key, and `fate` summarizes the
    selected request.
    """

    events: tuple[record.Record, ...]
    gaps: tuple[timeline.Gap, ...]
    tenures: tuple[timeline.Tenure, ...] = ()
    fate: timeline.RequestSummary | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParsedLogs:
    """Event records read from collected logs."""

    records: list[record.Record]
    skipped_count: int


def read_files(
    paths: Sequence[pathlib.Path],
) -> result.Result[ParsedLogs, str]:
    """Reads collected logs with one JSON object per line.

    Args:
        paths: Paths of the log files.

    Returns:
        The records and the number of skipped lines, or the error message for
        a file that can't be read.
    """
    records: list[record.Record] = []
    skipped_count = 0
    for path in paths:
        try:
            lines = path.read_bytes().splitlines()
        except OSError as error:
            return result.Err(f"{path}: {error.strerror}")
        for line in lines:
            try:
                records.append(record.decode_line(line))
            except msgspec.DecodeError:
                skipped_count += 1
    return result.Ok(ParsedLogs(records=records, skipped_count=skipped_count))


class TimelineCommand:
    """Fetches the events of all nodes and merges them."""

    __slots__ = ("_fleet",)

    def __init__(self, *, nodes: fleet.Fleet) -> None:
        self._fleet = nodes

    def run(
        self, event_filter: filters.Filter, *, is_json: bool
    ) -> outcome.Outcome:
        """Shows the matching events that the nodes still keep.

        Args:
            event_filter: Selects the events; a key with a pool includes the
                events about its shard.
            is_json: Whether to print JSON.

        Returns:
            The timeline; the exit code shows whether nodes were unreachable.
        """
        match self._fleet.list_members():
            case result.Err(failure):
                return lookups.report_failure(failure)
            case result.Ok(members):
                pass
        match self._add_shard(event_filter):
            case result.Err(error):
                return outcome.reject_input(error)
            case result.Ok(expanded):
                pass
        responses = self._fleet.query_each(
            members.members,
            f"/-/timeline?{expanded.format_query()}",
            list[record.Record],
        )
        records: list[record.Record] = []
        unreachable = []
        for response in responses:
            match response.response:
                case result.Ok(found):
                    records.extend(found)
                case result.Err(failure):
                    unreachable.append(
                        timeline.Gap(
                            instance=response.member.instance,
                            reason=str(failure),
                        )
                    )
        merged = timeline.merge(
            records,
            unreachable=unreachable,
            is_complete=expanded == filters.Filter(),
        )
        code = (
            outcome.ExitCode.UNREACHABLE if unreachable else outcome.ExitCode.OK
        )
        return make_outcome(merged, expanded, is_json=is_json, code=code)

    def _add_shard(
        self, event_filter: filters.Filter
    ) -> result.Result[filters.Filter, str]:
        if event_filter.key is None or event_filter.pool is None:
            return result.Ok(event_filter)
        commands = lookups.LookupCommands(nodes=self._fleet)
        match commands.query_owner(
            pool=event_filter.pool, key=event_filter.key
        ):
            case result.Err(failure):
                return result.Err(str(failure))
            case result.Ok(found):
                return result.Ok(
                    dataclasses.replace(event_filter, shard=found.shard)
                )


def run_on_files(
    paths: Sequence[pathlib.Path],
    event_filter: filters.Filter,
    *,
    is_json: bool,
) -> outcome.Outcome:
    """Shows the matching events of collected logs.

    Args:
        paths: Paths of log files with one JSON object per line.
        event_filter: Selects the events.
        is_json: Whether to print JSON.

    Returns:
        The timeline, or the error message for a file that can't be read.
    """
    match read_files(paths):
        case result.Err(error):
            return outcome.reject_input(error)
        case result.Ok(collected):
            pass
    merged = timeline.merge(event_filter.select(collected.records))
    shown = make_outcome(
        merged, event_filter, is_json=is_json, code=outcome.ExitCode.OK
    )
    if not collected.skipped_count:
        return shown
    note = f"skipped {collected.skipped_count} lines that are not event records"
    return dataclasses.replace(shown, diagnostics=(note,))


def make_outcome(
    merged: timeline.Timeline,
    event_filter: filters.Filter,
    *,
    is_json: bool,
    code: outcome.ExitCode,
) -> outcome.Outcome:
    """Formats a timeline with a summary of the selected key or request."""
    records = merged.records
    report = TimelineReport(
        events=records,
        gaps=merged.gaps,
        tenures=timeline.list_tenures(records) if event_filter.key else (),
        fate=timeline.summarize_request(event_filter.request_id, records)
        if event_filter.request_id
        else None,
    )
    if is_json:
        text = msgspec.json.encode(report).decode()
    else:
        text = "\n".join(_list_lines(report))
    return outcome.Outcome(text=text, exit_code=code)


def _list_lines(report: TimelineReport) -> list[str]:
    lines = [_format_record(item) for item in report.events]
    lines += [f"gap: {gap.instance}: {gap.reason}" for gap in report.gaps]
    lines += [_format_tenure(tenure) for tenure in report.tenures]
    if report.fate:
        lines.append(_format_request(report.fate))
    return lines


def _format_record(item: record.Record) -> str:
    fields = " ".join(f"{name}={value}" for name, value in item.fields.items())
    return (
        f"{_format_time(item.wall_ms)} {item.instance}"
        f" {item.number} {item.name} {fields}"
    )


def _format_time(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall_ms / 1_000, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _format_tenure(tenure: timeline.Tenure) -> str:
    line = f"owner: {tenure.owner} from revision {tenure.revision}"
    if tenure.wall_ms:
        line += f" ({_format_time(tenure.wall_ms)} by its own clock)"
    if tenure.until_revision:
        line += f" until revision {tenure.until_revision}"
    return line


def _format_request(summary: timeline.RequestSummary) -> str:
    started = (
        f"started at an upstream {summary.starts_count} times"
        if summary.starts_count
        else "no start at an upstream is among these events"
    )
    if not summary.verdict:
        return (
            f"request {summary.request_id}: {started}; no answer to the caller"
            " is among these events"
        )
    what = summary.refusal or f"status {summary.status}"
    return (
        f"request {summary.request_id}: {started}; answered with {what},"
        f" verdict {summary.verdict}"
    )
