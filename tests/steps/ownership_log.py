"""Steps for the ownership log, against the platform's stand-in."""

from concurrent import futures
import uuid

import behave
from behave import runner
import result

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store
from tests import platform_calls

_POOL = "dispatch"
_SHARD_COUNT = 8
_AMPLE_BUDGET = '{"reads_per_s": 100000, "writes_per_s": 100000}'


def _make_log(
    context: runner.Context, author: str
) -> ownership_log.OwnershipLog:
    return ownership_log.OwnershipLog(
        store=platform_calls.make_store(context, instance=author),
        author=author,
        read_wall_ms=lambda: 0,
    )


def _plan(state: ownership.State) -> tuple[membership.Change, ...]:
    if not state.revision:
        return (membership.PoolSharded(pool=_POOL, shard_count=_SHARD_COUNT),)
    return _plan_moves(state.revision, 1)


def _plan_moves(revision: int, count: int) -> tuple[membership.Change, ...]:
    moves = tuple(
        membership.ShardMove(
            shard=(revision + i) % _SHARD_COUNT, owner=f"m{revision}"
        )
        for i in range(count)
    )
    return (membership.ShardsMoved(pool=_POOL, moves=moves),)


def _append(
    log: ownership_log.OwnershipLog, state: ownership.State
) -> ownership.State:
    """Appends one entry that must succeed; returns the state after it."""
    appended = log.append(
        state=state, changes=_plan(state), write_id=str(uuid.uuid4())
    ).unwrap()
    return ownership.apply_entries(state, (appended.entry,))


def _write_until(
    log: ownership_log.OwnershipLog, state: ownership.State, revision: int
) -> ownership.State:
    while state.revision < revision:
        state = _append(log, state)
    return state


def _record_append(
    context: runner.Context, changes: tuple[membership.Change, ...]
) -> None:
    context.write_id = str(uuid.uuid4())
    context.changes = changes
    context.append = context.log.append(
        state=context.state, changes=changes, write_id=context.write_id
    )


def _resolve(context: runner.Context) -> None:
    context.append = context.log.resolve(
        write_id=context.write_id,
        expected_revision=context.state.revision,
        changes=context.changes,
    )


def _restore_platform(context: runner.Context) -> None:
    platform_calls.call(context, "PUT", "/-/mode", '{"mode": "up"}')
    platform_calls.call(context, "PUT", "/-/budget", _AMPLE_BUDGET)


def _read_all(context: runner.Context) -> ownership_log.Reading:
    reader = _make_log(context, "reader")
    return reader.read(state=ownership.State()).unwrap()


@behave.given(
    'an ownership log of "{author}" with a timeout of {timeout_ms:d} ms'
)
def given_log(context: runner.Context, author: str, timeout_ms: int) -> None:
    _restore_platform(context)
    context.store_with_timeout = store.Store(
        platform=platform_calls.make_settings(
            context.platform_port, timeout_ms
        ),
        instance=author,
    )
    context.add_cleanup(context.store_with_timeout.close)
    context.log = ownership_log.OwnershipLog(
        store=context.store_with_timeout, author=author
    )
    context.other_log = _make_log(context, "other")


@behave.given("the log has {count:d} entries")
def given_entries(context: runner.Context, count: int) -> None:
    before = ownership.State()
    context.states = {0: before}
    while before.revision < count:
        before = _append(context.other_log, before)
        context.states[before.revision] = before
    context.state = context.log.read(state=ownership.State()).unwrap().state
    assert context.state == before


@behave.given(
    "{large:d} entries with {moves:d} moves each follow,"
    " then {small:d} with 1"
)
def given_large_entries(
    context: runner.Context, large: int, moves: int, small: int
) -> None:
    for count in [moves] * large + [1] * small:
        changes = _plan_moves(context.state.revision, count)
        appended = context.other_log.append(
            state=context.state, changes=changes, write_id=str(uuid.uuid4())
        ).unwrap()
        context.state = ownership.apply_entries(
            context.state, (appended.entry,)
        )
        context.states[context.state.revision] = context.state


@behave.given("the ownership row is replaced by {row}")
def given_row(context: runner.Context, row: str) -> None:
    put = store.Put(
        name="ownership",
        expected_revision=context.state.revision,
        value=row.encode(),
    )
    transaction = store.Transaction(write_id="broken", puts=(put,))
    assert context.store_with_timeout.commit(transaction=transaction).is_ok()


@behave.when("the log appends a move")
def append(context: runner.Context) -> None:
    _record_append(context, _plan(context.state))


@behave.when("the log appends {count:d} moves at once")
def append_many(context: runner.Context, count: int) -> None:
    _record_append(context, _plan_moves(context.state.revision, count))


@behave.when("the log appends a move without reading the row")
def append_without_read(context: runner.Context) -> None:
    platform_calls.call(context, "PUT", "/-/budget", '{"reads_per_s": 0}')
    _record_append(context, _plan(context.state))


@behave.when("the log appends the eviction of an unknown member")
def append_eviction(context: runner.Context) -> None:
    eviction = membership.MemberEvicted(
        member_id="unknown", granters_epoch=1, lapsed_by=()
    )
    context.refused = None
    try:
        _record_append(context, (eviction,))
    except ownership.CannotApply as error:
        context.refused = error


@behave.when("the write in doubt is resolved")
def resolve(context: runner.Context) -> None:
    _resolve(context)


@behave.when("the platform has recovered and the write in doubt is resolved")
def resolve_after_recovery(context: runner.Context) -> None:
    _restore_platform(context)
    _resolve(context)


@behave.when("{count:d} entries are written by others")
def write_by_others(context: runner.Context, count: int) -> None:
    _restore_platform(context)
    state = context.other_log.read(state=context.state).unwrap().state
    _write_until(context.other_log, state, state.revision + count)


@behave.when("{count:d} entries are written by others, and the log caches them")
def cache_entries(context: runner.Context, count: int) -> None:
    last = context.state.revision + count
    _write_until(context.other_log, context.state, last)
    reading = context.other_log.read(state=context.state).unwrap()
    context.log.cache_entries(entries=reading.entries)
    context.state = reading.state


@behave.when(
    "{writers:d} writers append {count:d} moves each and retry superseded ones"
)
def append_concurrently(
    context: runner.Context, writers: int, count: int
) -> None:
    def write(name: str) -> None:
        log = _make_log(context, name)
        state = context.state
        for _ in range(count):
            write_id = str(uuid.uuid4())
            state = log.read(state=state).unwrap().state
            while log.append(
                state=state, changes=_plan(state), write_id=write_id
            ).is_err():
                state = log.read(state=state).unwrap().state

    names = [f"writer-{number}" for number in range(writers)]
    with futures.ThreadPoolExecutor(max_workers=writers) as executor:
        list(executor.map(write, names))


@behave.when("a reader at revision {revision:d} reads the log")
def read(context: runner.Context, revision: int) -> None:
    state = context.states.get(revision, ownership.State(revision=revision))
    context.reading = _make_log(context, "reader").read(state=state)


@behave.when(
    "the platform has recovered and a reader at revision {revision:d} reads"
    " the log"
)
def read_after_recovery(context: runner.Context, revision: int) -> None:
    _restore_platform(context)
    read(context, revision)


@behave.then('the append is "{outcome}"')
def check_append(context: runner.Context, outcome: str) -> None:
    match context.append:
        case result.Ok(value) | result.Err(value):
            assert type(value).__name__ == outcome, value


@behave.then('entry {revision:d} was written once by "{author}"')
def check_entry(context: runner.Context, revision: int, author: str) -> None:
    entries = _read_all(context).entries
    own = [e for e in entries if e.write_id == context.write_id]
    assert [(e.revision, e.author) for e in own] == [(revision, author)]


@behave.then("the log holds {count:d} entries, each with a different write id")
def check_entries(context: runner.Context, count: int) -> None:
    entries = _read_all(context).entries
    assert [e.revision for e in entries] == list(range(1, count + 1))
    assert len({e.write_id for e in entries}) == count


@behave.then("the append was refused, and the log holds {count:d} entries")
def check_refused(context: runner.Context, count: int) -> None:
    assert context.refused is not None
    assert _read_all(context).state.revision == count


@behave.then("the reader has the state of all entries")
def check_state(context: runner.Context) -> None:
    expected = context.state
    match getattr(context, "append", None):
        case result.Ok(ownership_log.Appended(entry=entry)):
            expected = ownership.apply_entries(expected, (entry,))
    assert context.reading.unwrap().state == expected


@behave.then("it got {count:d} entries, and a snapshot: {has_snapshot}")
def check_reading(
    context: runner.Context, count: int, has_snapshot: str
) -> None:
    reading = context.reading.unwrap()
    assert len(reading.entries) == count, len(reading.entries)
    assert bool(reading.snapshot_digest) is (has_snapshot == "yes")


@behave.then('the reader is refused with "{error}"')
def check_reader_refused(context: runner.Context, error: str) -> None:
    assert type(context.reading.unwrap_err()).__name__ == error
