"""Steps for comparing versions of the tables."""

import json
from typing import Any

import behave
from behave import runner

from rhubarblead import ownership
from rhubarblead import tables
from rhubarblead.tablestore import table_changes


@behave.given("a version of the tables with")
def given_version(context: runner.Context) -> None:
    document: dict[str, list[Any]] = {"routes": [], "pools": []}
    for row in context.table:
        document[row["table"]].append(json.loads(row["record"]))
    context.document = document
    context.before = tables.Tables.model_validate(document)


@behave.when("{record} replaces {name} in {table}")
def replace(
    context: runner.Context, record: str, name: str, table: str
) -> None:
    kept = [r for r in context.document[table] if r["name"] != name]
    added = [] if record == "nothing" else [json.loads(record)]
    context.after = tables.Tables.model_validate(
        {**context.document, table: kept + added}
    )


@behave.when('the recorded shards of pool "{pool}" are {count:d}')
def record_shards(context: runner.Context, pool: str, count: int) -> None:
    context.recorded = ownership.State(
        assignments={
            pool: ownership.Assignment(shard_count=count, owners=[], fences=[])
        }
    )


@behave.then('the change is refused with "{path}"')
def check_refused(context: runner.Context, path: str) -> None:
    found = table_changes.check_change(context.before, context.after)
    assert path in [fault.path for fault in found], found


@behave.then('the change is safe, and differs in "{paths}"')
def check_safe(context: runner.Context, paths: str) -> None:
    assert not table_changes.check_change(context.before, context.after)
    found = table_changes.find_differences(context.before, context.after)
    assert ", ".join(difference.path for difference in found) == paths, found


@behave.then('the recorded shards refuse the version with "{path}"')
def check_shards(context: runner.Context, path: str) -> None:
    found = table_changes.check_shards(context.recorded, context.before)
    assert [fault.path for fault in found] == [path]
