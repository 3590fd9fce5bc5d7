"""Steps for the random search for lease faults."""

import behave
from behave import runner

from tests.rhubarblead.leases import broken
from tests.rhubarblead.leases import search


@behave.when("{count:d} random sequences of lease faults are searched")
def run_search(context: runner.Context, count: int) -> None:
    factories = getattr(
        context, "factories", broken.VARIANTS["nothing is broken"]
    )
    context.found = search.search(factories, count)


@behave.then("the lease search found no shard with two owners")
def check_none_found(context: runner.Context) -> None:
    assert context.found is None, context.found


@behave.then("the lease search found a shard with two owners")
def check_found(context: runner.Context) -> None:
    assert context.found is not None
