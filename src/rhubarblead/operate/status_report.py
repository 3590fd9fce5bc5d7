"""Report of the revisions in force on every node."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import msgspec
import result

from rhubarblead import status
from rhubarblead.operate import admin
from rhubarblead.operate import fleet
from rhubarblead.operate import outcome
from rhubarblead.operate import text_table

_PATH = "/-/status"
_POLL_INTERVAL_MS = 250

_HEADERS = (
    "instance",
    "domain",
    "pool",
    "state",
    "lease ms",
    "ownership",
    "tables",
    "digest",
    "shards",
    "in flight",
    "upstream",
    "note",
)


class NodeLine(msgspec.Struct, frozen=True, kw_only=True):
    """One node in the report; `status` is None if it can't be read."""

    member_id: str
    instance: str
    failure_domain: str
    pool: str
    status: status.Status | None
    is_lagging: bool
    fault: str = ""


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The newest revisions on any node, and the state of each node."""

    ownership_revision: int
    tables_revision: int
    nodes: tuple[NodeLine, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """The revisions that every node is expected to reach."""

    ownership_revision: int
    tables_revision: int

    def is_met(self, found: status.Status) -> bool:
        """Tells whether a node has reached both revisions."""
        return (
            found.ownership_revision >= self.ownership_revision
            and found.tables_revision >= self.tables_revision
        )


def find_target(
    responses: Sequence[fleet.NodeResponse[status.Status]],
) -> Target:
    """Finds the newest revisions among the nodes that responded."""
    found = [response.response.ok() for response in responses]
    known = [item for item in found if item is not None]
    return Target(
        ownership_revision=max(
            (s.ownership_revision for s in known), default=0
        ),
        tables_revision=max((s.tables_revision for s in known), default=0),
    )


def make_report(
    responses: Sequence[fleet.NodeResponse[status.Status]], target: Target
) -> Report:
    """Compares each node with the newest revisions."""
    return Report(
        ownership_revision=target.ownership_revision,
        tables_revision=target.tables_revision,
        nodes=tuple(_make_line(response, target) for response in responses),
    )


class StatusCommand:
    """Queries all nodes, and polls lagging ones until a timeout."""

    __slots__ = ("_fleet", "_catch_up_timeout_ms", "_sleep_ms")

    def __init__(
        self,
        *,
        nodes: fleet.Fleet,
        catch_up_timeout_ms: int,
        sleep_ms: Callable[[int], None],
    ) -> None:
        """Initializes the command.

        Args:
            nodes: All nodes.
            catch_up_timeout_ms: How long to poll a lagging node before it is
                reported.
            sleep_ms: Sleeps for a number of milliseconds.
        """
        self._fleet = nodes
        self._catch_up_timeout_ms = catch_up_timeout_ms
        self._sleep_ms = sleep_ms

    def run(self, *, is_json: bool) -> outcome.Outcome:
        """Reports all nodes; the exit code shows lagging or missing ones."""
        match self._fleet.list_members():
            case result.Err(failure):
                return outcome.Outcome(
                    exit_code=outcome.ExitCode.UNREACHABLE,
                    diagnostics=(str(failure),),
                )
            case result.Ok(members):
                report = self._collect_report(members.members)
        return outcome.Outcome(
            text=format_report(report, is_json=is_json),
            exit_code=_find_exit_code(report),
        )

    def _collect_report(self, members: Sequence[status.MemberView]) -> Report:
        responses = self._fleet.query_each(members, _PATH, status.Status)
        target = find_target(responses)
        report = make_report(responses, target)
        for _ in range(0, self._catch_up_timeout_ms, _POLL_INTERVAL_MS):
            lagging = {n.member_id for n in report.nodes if n.is_lagging}
            if not lagging:
                return report
            self._sleep_ms(_POLL_INTERVAL_MS)
            again = self._fleet.query_each(
                [m for m in members if m.member_id in lagging],
                _PATH,
                status.Status,
            )
            newer = {response.member.member_id: response for response in again}
            responses = [newer.get(r.member.member_id, r) for r in responses]
            report = make_report(responses, target)
        return report


def format_report(report: Report, *, is_json: bool) -> str:
    """Formats a report as JSON or as a table."""
    if is_json:
        return status.encode(report).decode()
    table = text_table.format_table(
        _HEADERS, [_list_cells(line) for line in report.nodes]
    )
    lagging = sum(line.is_lagging for line in report.nodes)
    silent = sum(line.status is None for line in report.nodes)
    return (
        f"{table}\n\ntables revision {report.tables_revision},"
        f" ownership revision {report.ownership_revision}:"
        f" {len(report.nodes)} nodes, {lagging} lagging, {silent} silent"
    )


def _make_line(
    response: fleet.NodeResponse[status.Status], target: Target
) -> NodeLine:
    match response.response:
        case result.Ok(found):
            is_lagging = not target.is_met(found)
            state: status.Status | None = found
            fault = ""
        case result.Err(failure):
            is_lagging = False
            state = None
            fault = _describe_failure(failure)
    return NodeLine(
        member_id=response.member.member_id,
        instance=response.member.instance,
        failure_domain=response.member.failure_domain,
        pool=response.member.pool,
        status=state,
        is_lagging=is_lagging,
        fault=fault,
    )


def _describe_failure(failure: admin.Failure) -> str:
    match failure:
        case admin.Unreachable(reason=reason):
            return f"unreachable: {reason}"
        case admin.Rejected(explanation=explanation):
            return f"refused: {explanation}"


def _list_cells(line: NodeLine) -> tuple[object, ...]:
    found = line.status
    head = (line.instance, line.failure_domain, line.pool)
    if found is None:
        return (*head, "?", "?", "?", "?", "?", "?", "?", "?", line.fault)
    return (
        *head,
        found.state,
        found.lease_left_ms,
        found.ownership_revision,
        found.tables_revision,
        found.tables_digest[:12],
        found.shards_owned_count,
        found.in_flight_count,
        found.upstream.state or "-",
        _format_notes(line, found),
    )


def _format_notes(line: NodeLine, found: status.Status) -> str:
    notes = []
    if line.is_lagging:
        notes.append("lags")
    if not found.lease_left_ms:
        notes.append("no lease")
    if not found.is_store_reachable:
        notes.append("store unreachable")
    return ", ".join(notes)


def _find_exit_code(report: Report) -> outcome.ExitCode:
    if any(line.status is None for line in report.nodes):
        return outcome.ExitCode.UNREACHABLE
    if any(line.is_lagging for line in report.nodes):
        return outcome.ExitCode.LAGGING
    return outcome.ExitCode.OK
