"""Steps for the checker of upstream and caller records."""

import pathlib
import tempfile

import behave
from behave import runner

from tools import checker
from tools import records


def _read_cells(row: behave.model.Row) -> list[str]:
    """Reads the cells of a row; a first cell with commas holds all of them."""
    if "," in row[0]:
        return row[0].split(",")
    return list(row.cells)


def make_run(cells: list[str]) -> records.Run:
    return records.Run(
        server=cells[0],
        incarnation="1",
        request_id=cells[1],
        idempotency_key=cells[2],
        key=cells[3],
        shard=int(cells[4]),
        fence=int(cells[5]),
        method="POST" if cells[2] else "GET",
        start_ns=int(cells[6]),
        end_ns=int(cells[7]),
        is_committed=cells[8] == "yes",
    )


def make_outcome(cells: list[str]) -> records.Outcome:
    return records.Outcome(
        node="d-1",
        pool="d",
        method=cells[2],
        key="k",
        shard=3,
        idempotency_key=cells[1],
        request_id=cells[0],
        attempt=1,
        intended_ns=0,
        sent_ns=0,
        end_ns=0,
        status=int(cells[3]),
        verdict=cells[4],
        refusal=cells[5],
        server="d-1",
        fault=cells[6],
        body_bytes=0,
    )


@behave.given("the upstream records for the checker")
def given_runs(context: runner.Context) -> None:
    context.runs = [make_run(_read_cells(row)) for row in context.table]


@behave.given("the caller records for the checker")
def given_outcomes(context: runner.Context) -> None:
    context.outcomes = [make_outcome(_read_cells(row)) for row in context.table]


@behave.when("the checker checks the records")
def check_history(context: runner.Context) -> None:
    context.findings = checker.check(context.runs, context.outcomes)


@behave.then('the checker reports exactly the violations "{rules}"')
def check_rules(context: runner.Context, rules: str) -> None:
    found = {item.rule.value for item in context.findings}
    assert found == set(rules.split()), context.findings


@behave.then('the checker reports exactly the violations ""')
def check_no_rules(context: runner.Context) -> None:
    assert not context.findings, context.findings


@behave.given("a record file for the checker with a truncated last line")
def given_cut_file(context: runner.Context) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = pathlib.Path(temporary.name)
    context.path = folder / "upstream-d-1.jsonl"
    run = make_run(["d-1", "r1", "i1", "k", "3", "5", "10", "20", "yes"])
    records.write_records(context.path, [run, run])
    context.path.write_bytes(context.path.read_bytes()[:-9])


@behave.when("the checker reads the record file")
def read_file(context: runner.Context) -> None:
    context.records = records.read_records([context.path], records.Run)


@behave.then("the checker has read {count:d} record")
def check_count(context: runner.Context, count: int) -> None:
    assert len(context.records) == count
