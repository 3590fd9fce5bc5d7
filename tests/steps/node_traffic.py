"""Steps for the shard rates from load reports."""

import behave
from behave import runner

from rhubarblead import messages
from rhubarblead.node.requests import traffic

_POOL = "p"


@behave.given("load reports recorded at {at:d}")
def given_reports(context: runner.Context, at: int) -> None:
    context.load_reports = traffic.LoadReports()
    for row in context.table:
        context.load_reports.record(
            messages.ShardLoads(
                member_id=row["owner"],
                pool=_POOL,
                shards=tuple(int(s) for s in row["shards"].split()),
                rates_rps=tuple(float(r) for r in row["rates"].split()),
                rest_rps=float(row["rest"]),
            ),
            at,
        )


@behave.when('the shards 0 to 5 belong to "{owners}" at {now:d}')
def when_asked(context: runner.Context, owners: str, now: int) -> None:
    context.loads = context.load_reports.find_loads(
        pool=_POOL, owners=owners.split(), now_ms=now
    )


@behave.then('the load reports give the rates "{loads}"')
def then_says(context: runner.Context, loads: str) -> None:
    found = [context.loads.get(shard) for shard in range(6)]
    expected = [None if r == "-" else float(r) for r in loads.split()]
    assert found == expected, found
