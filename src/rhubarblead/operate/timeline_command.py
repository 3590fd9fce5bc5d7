"""The command that shows the time line of all processes."""

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


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A time line as JSON, with what it says of a key or a request."""

    events: tuple[record.Record, ...]
    gaps: tuple[timeline.Gap, ...]
    tenures: tuple[timeline.Tenure, ...] = ()
    fate: timeline.RequestFate | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collected:
    """Records from files of collected logs."""

    records: list[record.Record]
    skipped_count: int


def read_files(
    paths: Sequence[pathlib.Path],
) -> result.Result[Collected, str]:
    """Reads collected logs, one JSON object a line.

    Args:
        paths: The files.

    Returns:
        The records and the number of other lines, or why a file can't be
        read.
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
    return result.Ok(Collected(records=records, skipped_count=skipped_count))


class TimelineCommand:
    """Fetches, merges and explains."""

    __slots__ = ("_fleet",)

    def __init__(self, *, nodes: fleet.Fleet) -> None:
        self._fleet = nodes

    def run(self, wanted: filters.Filter, *, is_json: bool) -> outcome.Outcome:
        """Shows the wanted events that the nodes still keep.

        Args:
            wanted: Which events; a key with a pool brings the events about
                its shard, too.
            is_json: Whether to print JSON.

        Returns:
            The time line; the exit code tells whether nodes were missing.
        """
        match self._fleet.list_members():
            case result.Err(failure):
                return lookups.report_failure(failure)
            case result.Ok(members):
                pass
        match self._add_shard(wanted):
            case result.Err(complaint):
                return outcome.refuse(complaint)
            case result.Ok(whole):
                pass
        answers = self._fleet.ask_each(
            members.members,
            f"/-/timeline?{whole.format_query()}",
            list[record.Record],
        )
        records: list[record.Record] = []
        lost = []
        for answer in answers:
            match answer.answer:
                case result.Ok(found):
                    records.extend(found)
                case result.Err(failure):
                    lost.append(
                        timeline.Gap(
                            instance=answer.member.instance,
                            reason=str(failure),
                        )
                    )
        merged = timeline.merge(
            records, lost=lost, is_complete=whole == filters.Filter()
        )
        code = outcome.ExitCode.UNREACHABLE if lost else outcome.ExitCode.OK
        return show(merged, whole, is_json=is_json, code=code)

    def _add_shard(
        self, wanted: filters.Filter
    ) -> result.Result[filters.Filter, str]:
        if wanted.key is None or wanted.pool is None:
            return result.Ok(wanted)
        commands = lookups.LookupCommands(nodes=self._fleet)
        match commands.ask_owner(pool=wanted.pool, key=wanted.key):
            case result.Err(failure):
                return result.Err(str(failure))
            case result.Ok(found):
                return result.Ok(dataclasses.replace(wanted, shard=found.shard))


def run_files(
    paths: Sequence[pathlib.Path], wanted: filters.Filter, *, is_json: bool
) -> outcome.Outcome:
    """Shows the wanted events of collected logs.

    Args:
        paths: Files of JSON lines.
        wanted: Which events.
        is_json: Whether to print JSON.

    Returns:
        The time line, or why a file can't be read.
    """
    match read_files(paths):
        case result.Err(complaint):
            return outcome.refuse(complaint)
        case result.Ok(collected):
            pass
    merged = timeline.merge(wanted.select(collected.records))
    shown = show(merged, wanted, is_json=is_json, code=outcome.ExitCode.OK)
    if not collected.skipped_count:
        return shown
    note = f"{collected.skipped_count} lines are no events and were skipped"
    return dataclasses.replace(shown, complaints=(note,))


def show(
    merged: timeline.Timeline,
    wanted: filters.Filter,
    *,
    is_json: bool,
    code: outcome.ExitCode,
) -> outcome.Outcome:
    """Writes a time line with what it says of the wanted key or request."""
    records = merged.records
    answer = Answer(
        events=records,
        gaps=merged.gaps,
        tenures=timeline.list_tenures(records) if wanted.key else (),
        fate=timeline.find_fate(wanted.request_id, records)
        if wanted.request_id
        else None,
    )
    if is_json:
        text = msgspec.json.encode(answer).decode()
    else:
        text = "\n".join(_list_lines(answer))
    return outcome.Outcome(text=text, exit_code=code)


def _list_lines(answer: Answer) -> list[str]:
    lines = [_format_record(item) for item in answer.events]
    lines += [f"gap: {gap.instance}: {gap.reason}" for gap in answer.gaps]
    lines += [_format_tenure(tenure) for tenure in answer.tenures]
    if answer.fate:
        lines.append(_format_fate(answer.fate))
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


def _format_fate(fate: timeline.RequestFate) -> str:
    started = (
        f"given to an upstream {fate.starts_count} times"
        if fate.starts_count
        else "no start at an upstream is among these events"
    )
    if not fate.verdict:
        return (
            f"request {fate.request_id}: {started}; no answer to the caller is"
            " among these events"
        )
    what = fate.refusal or f"status {fate.status}"
    return (
        f"request {fate.request_id}: {started}; answered with {what},"
        f" verdict {fate.verdict}"
    )
