"""Steps for the validation of the operators' tables."""

import json
from typing import Any

import behave
from behave import runner

from rhubarblead import faults
from rhubarblead import tables


@behave.given("the tables")
def given_tables(context: runner.Context) -> None:
    document: dict[str, list[Any]] = {"routes": [], "pools": []}
    for row in context.table:
        document[row["table"]].append(json.loads(row["record"]))
    context.document = json.dumps(document)


@behave.when("the tables are read")
def read(context: runner.Context) -> None:
    context.error = None
    try:
        context.tables = tables.read_tables(context.document)
    except faults.CannotAccept as error:
        context.error = error


@behave.then('the tables are refused with "{path}"')
def check_refused(context: runner.Context, path: str) -> None:
    assert context.error is not None
    assert path in [fault.path for fault in context.error.faults]


@behave.then('the path "{path}" matches the route "{route}"')
def check_route(context: runner.Context, path: str, route: str) -> None:
    assert context.tables.find_route(path).name == route
