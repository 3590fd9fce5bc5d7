"""Steps for the tables row and its history, against the platform's stand-in."""

from concurrent import futures
from typing import TypeAlias

import behave
from behave import runner
import result

from rhubarblead import tables
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_log
from rhubarblead.tablestore import table_versions
from tests import platform_calls

_Outcome: TypeAlias = result.Result[
    table_versions.Applied, table_versions.ApplyError
]

_UP = '{"mode": "up"}'
_AMPLE_BUDGET = '{"reads_per_s": 10000, "writes_per_s": 10000}'


class _FailingStore(store.Store):
    """A store whose platform goes down after the first commit."""

    __slots__ = ("_context", "_mode")

    def __init__(self, context: runner.Context, mode: str) -> None:
        super().__init__(
            platform=platform_calls.make_settings(context.platform_port),
            instance="operator",
        )
        self._context = context
        self._mode = mode

    def commit(
        self, *, transaction: store.Transaction
    ) -> result.Result[store.Committed, store.StoreError]:
        """Commits in the given mode, then takes the platform down."""
        _set_mode(self._context, f'{{"mode": "{self._mode}"}}')
        outcome = super().commit(transaction=transaction)
        _set_mode(self._context, '{"mode": "down"}')
        return outcome


def _set_mode(context: runner.Context, mode: str) -> None:
    platform_calls.call(context, "PUT", "/-/mode", mode)


def _make_tables(slots: int, shard_count: int = 8) -> tables.Tables:
    pool = tables.Pool(
        name="p",
        kind="keyed",
        servers=("p-*",),
        shard_count=shard_count,
        slots=slots,
    )
    return tables.Tables(pools=(pool,))


def _apply(
    log: table_log.TableLog, author: str, wanted: tables.Tables, at: int
) -> _Outcome:
    return log.apply(
        tables=wanted,
        expected_revision=at,
        author=author,
        comment=f"by {author}",
        write_id=f"{author}-{at}",
    )


def _make_default_log(context: runner.Context) -> table_log.TableLog:
    client = platform_calls.make_store(context, instance="operator")
    return table_log.TableLog(store=client, read_wall_ms=lambda: 0)


def _get_slots(found: tables.Tables) -> int:
    return found.pools[0].slots if found.pools else 0


@behave.given("a table log with a timeout of {timeout_ms:d} ms")
def given_log(context: runner.Context, timeout_ms: int) -> None:
    client = store.Store(
        platform=platform_calls.make_settings(
            context.platform_port, timeout_ms
        ),
        instance="operator",
    )
    context.add_cleanup(client.close)
    context.table_log = table_log.TableLog(store=client)


@behave.given(
    '"{author}" has applied tables with {slots:d} slots at revision {at:d}'
)
def given_applied(
    context: runner.Context, author: str, slots: int, at: int
) -> None:
    log = _make_default_log(context)
    assert _apply(log, author, _make_tables(slots), at).is_ok()


@behave.given("commits run in mode {mode}, and the platform is down afterwards")
def given_failing(context: runner.Context, mode: str) -> None:
    client = _FailingStore(context, mode)
    context.add_cleanup(client.close)
    context.table_log = table_log.TableLog(store=client)


@behave.given('the tables row is replaced by "{text}"')
def given_row(context: runner.Context, text: str) -> None:
    put = store.Put(
        name="tables", expected_revision=1, value=f'"{text}"'.encode()
    )
    client = platform_calls.make_store(context, instance="operator")
    transaction = store.Transaction(write_id="broken", puts=(put,))
    assert client.commit(transaction=transaction).is_ok()


@behave.when(
    '"{author}" applies tables with {slots:d} slots at revision {at:d}'
)
def apply(context: runner.Context, author: str, slots: int, at: int) -> None:
    context.change = (author, _make_tables(slots), at)
    context.applied = _apply(context.table_log, *context.change)


@behave.when(
    '"{author}" applies tables with another number of shards'
    " at revision {at:d}"
)
def apply_unsafe(context: runner.Context, author: str, at: int) -> None:
    wanted = _make_tables(20, shard_count=16)
    context.applied = _apply(context.table_log, author, wanted, at)


@behave.when(
    'the platform has recovered, and "{author}" applies {count:d} changes'
)
def apply_others(context: runner.Context, author: str, count: int) -> None:
    _set_mode(context, _UP)
    log = _make_default_log(context)
    for number in range(count):
        revision = log.read_tables().unwrap().revision
        wanted = _make_tables(100 + number)
        assert _apply(log, author, wanted, revision).is_ok()


@behave.when('"{author}" applies the same change again')
def apply_again(context: runner.Context, author: str) -> None:
    assert context.change[0] == author
    context.applied = _apply(_make_default_log(context), *context.change)


@behave.when(
    "{count:d} operators apply their changes at revision {at:d} at once"
)
def apply_concurrently(context: runner.Context, count: int, at: int) -> None:
    def change(number: int) -> _Outcome:
        log = _make_default_log(context)
        return _apply(log, f"op-{number}", _make_tables(50 + number), at)

    with futures.ThreadPoolExecutor(max_workers=count) as executor:
        context.outcomes = list(executor.map(change, range(count)))


@behave.then('the change is "{outcome}"')
def check_outcome(context: runner.Context, outcome: str) -> None:
    match context.applied:
        case result.Ok(value) | result.Err(value):
            assert type(value).__name__ == outcome, value


@behave.then(
    "the tables have {slots:d} slots at revision {revision:d}"
    " once the platform has recovered"
)
def check_tables(context: runner.Context, slots: int, revision: int) -> None:
    _set_mode(context, _UP)
    platform_calls.call(context, "PUT", "/-/budget", _AMPLE_BUDGET)
    reading = _make_default_log(context).read_tables().unwrap()
    found = (_get_slots(reading.tables), reading.revision)
    assert found == (slots, revision), found


@behave.then(
    'the conflict shows that "{author}" changed slots from {base:d} to'
    " {theirs:d}, and you to {yours:d}"
)
def check_conflict(
    context: runner.Context, author: str, base: int, theirs: int, yours: int
) -> None:
    conflict = context.applied.unwrap_err()
    assert [version.author for version in conflict.changed_by] == [author]
    for side, after in ((conflict.theirs, theirs), (conflict.yours, yours)):
        found = [(d.path, d.before, d.after) for d in side]
        assert found == [("pools.p.slots", str(base), str(after))], found


@behave.then("one change was applied, and the others are conflicts")
def check_concurrent(context: runner.Context) -> None:
    applied = [o for o in context.outcomes if o.is_ok()]
    conflicts = [o.unwrap_err() for o in context.outcomes if o.is_err()]
    assert len(applied) == 1
    assert all(
        isinstance(e, table_versions.TablesConflict) for e in conflicts
    ), conflicts


@behave.then('the last {limit:d} changes are "{changes}"')
def check_history(context: runner.Context, limit: int, changes: str) -> None:
    log = _make_default_log(context)
    lines = []
    for entry in log.read_history(limit).unwrap():
        before = log.read_document(entry.before_digest).unwrap()
        after = log.read_document(entry.version.tables_digest).unwrap()
        lines.append(
            f"{entry.version.author} {_get_slots(before)}-{_get_slots(after)}"
        )
    assert ", ".join(lines) == changes, lines
