"""Steps for the state cache of a node."""

import json

import behave
from behave import runner

from rhubarblead import faults
from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.node.ownership import state_cache

_TABLES = json.dumps({"routes": [], "pools": []}).encode()


def _make_entry(revision: int) -> membership.Entry:
    return membership.Entry(
        revision=revision,
        write_id=str(revision),
        author="a",
        written_at_ms=revision,
        changes=(),
    )


@behave.given(
    "a state cache with ownership revision {ownership:d} and tables revision"
    " {tables:d}"
)
def given_cache(context: runner.Context, ownership: int, tables: int) -> None:
    context.cache = state_cache.StateCache()
    entries = [_make_entry(revision) for revision in range(1, ownership + 1)]
    assert context.cache.apply_entries(entries)
    assert context.cache.apply_tables(revision=tables, document=_TABLES)


@behave.when(
    'the state cache receives entries "{entries}" and tables revision'
    " {tables:d}"
)
@behave.when(
    'the state cache receives entries "" and tables revision {tables:d}'
)
def when_received(
    context: runner.Context, tables: int, entries: str = ""
) -> None:
    received = [_make_entry(int(revision)) for revision in entries.split()]
    context.cache.apply_entries(received)
    context.cache.apply_tables(revision=tables, document=_TABLES)


@behave.when(
    "the state cache receives invalid tables with revision {revision:d}"
)
def when_invalid(context: runner.Context, revision: int) -> None:
    try:
        context.cache.apply_tables(revision=revision, document=b"{")
    except faults.CannotAccept:
        return
    raise AssertionError("invalid tables were accepted")


@behave.when(
    "a node with ownership revision {ownership:d} and tables revision"
    " {tables:d} requests an update from the state cache"
)
def when_requested(
    context: runner.Context, ownership: int, tables: int
) -> None:
    context.update = context.cache.make_state_update(
        messages.Revisions(ownership=ownership, tables=tables)
    )


@behave.then(
    "the state cache has ownership revision {ownership:d} and tables revision"
    " {tables:d}"
)
def then_has(context: runner.Context, ownership: int, tables: int) -> None:
    found = context.cache.revisions
    assert found == messages.Revisions(ownership=ownership, tables=tables)


@behave.then(
    'the update has entries "{entries}" and tables revision {tables:d}'
)
@behave.then('the update has entries "" and tables revision {tables:d}')
def then_update(
    context: runner.Context, tables: int, entries: str = ""
) -> None:
    update = context.update
    found = [e.revision for e in update.entries] if update else []
    assert found == [int(revision) for revision in entries.split()], found
    assert (update.tables_revision if update else 0) == tables
