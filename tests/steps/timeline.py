"""Steps for the merged timeline."""

import json

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.events import record
from rhubarblead.operate import timeline


def _label(item: record.Record) -> str:
    return f"{item.instance}{item.sequence}"


@behave.given("the timeline events")
def given_events(context: runner.Context) -> None:
    context.records = [
        record.Record(
            number=catalog.Event[row["name"]].number,
            name=row["name"],
            level="INFO",
            instance=row["instance"],
            incarnation="1",
            sequence=int(row["seq"]),
            lamport=int(row["lamport"]),
            wall_ms=int(row["wall_ms"]),
            monotonic_ms=0,
            fields=json.loads(row.get("fields") or "{}"),
        )
        for row in context.table
    ]


@behave.when('the timelines are merged in order "{order}"')
def merge(context: runner.Context, order: str) -> None:
    by_label = {_label(item): item for item in context.records}
    context.timeline = timeline.merge(
        by_label[label] for label in order.split()
    )


@behave.when('the timelines are merged while "{instance}" is unreachable')
@behave.when('the timelines are merged while "" is unreachable')
def merge_with_unreachable(context: runner.Context, instance: str = "") -> None:
    gaps = (
        [timeline.Gap(instance=instance, reason="unreachable")]
        if instance
        else []
    )
    context.timeline = timeline.merge(
        context.records, unreachable=gaps, is_complete=True
    )


@behave.then('the merged timeline is "{order}"')
def check_order(context: runner.Context, order: str) -> None:
    found = " ".join(_label(item) for item in context.timeline.records)
    assert found == order, found


@behave.then('the timeline\'s gaps are "{gaps}"')
@behave.then('the timeline\'s gaps are ""')
def check_gaps(context: runner.Context, gaps: str = "") -> None:
    found = ", ".join(
        f"{gap.instance}: {gap.reason}" for gap in context.timeline.gaps
    )
    assert found == gaps, found


@behave.then('the timeline\'s owners are "{owners}"')
def check_owners(context: runner.Context, owners: str) -> None:
    found = ", ".join(
        f"{tenure.owner} {tenure.revision}-{tenure.until_revision or ''}"
        for tenure in timeline.list_tenures(context.records)
    )
    assert found == owners, found


@behave.then(
    'the summary of "{request}" is {starts:d} starts, "{verdict}",'
    " {status:d}"
)
def check_request(
    context: runner.Context,
    request: str,
    starts: int,
    verdict: str,
    status: int,
) -> None:
    summary = timeline.summarize_request(request, context.records)
    found = (summary.starts_count, summary.verdict or "none", summary.status)
    assert found == (starts, verdict, status), summary
