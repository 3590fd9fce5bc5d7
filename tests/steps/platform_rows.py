"""Steps for the store adapter, against the stand-in of the platform."""

import concurrent.futures
import http
import http.client
import json

import behave
from behave import runner

from rhubarblead.platform import store
from tests import platform_calls
from tools.standins import platform

_TIMEOUT_S = 30


@behave.given("the platform's store")
def start_store(context: runner.Context) -> None:
    stand_in = platform.StandIn()
    stand_in.__enter__()
    context.add_cleanup(stand_in.__exit__)
    context.platform_port = stand_in.ports[0]
    context.seen_revision = 0


def _exchange(context: runner.Context, call: store.Call) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.platform_port, timeout=_TIMEOUT_S
    )
    try:
        connection.request(call.method, call.target, body=call.body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _write(
    context: runner.Context,
    keys: list[str],
    value: str,
    expected: store.Expected,
) -> None:
    call = store.encode_transaction(
        expected=(expected,),
        puts=tuple(store.Put(key=key, value=value.encode()) for key in keys),
    )
    context.outcome = store.decode_write(*_exchange(context, call))
    if isinstance(context.outcome, store.Applied):
        context.seen_revision = context.outcome.revision


def _read(context: runner.Context, first_key: str = "") -> store.Rows:
    call = store.encode_read(store.TABLE, first_key)
    outcome = store.decode_read(*_exchange(context, call))
    assert isinstance(outcome, store.Rows), outcome
    return outcome


def _read_changes(context: runner.Context, wait_ms: int) -> store.ReadOutcome:
    call = store.encode_feed(store.TABLE, 1, wait_ms)
    return store.decode_read(*_exchange(context, call))


def _describe(rows: tuple[store.Row, ...]) -> str:
    return " ".join(
        f"{row.key} removed"
        if row.is_removed
        else f"{row.key}={row.value.decode()}"
        for row in rows
    )


def _set_mode(context: runner.Context, **mode: str | int) -> None:
    platform_calls.call(context, "PUT", "/-/mode", json.dumps(mode))


@behave.when('row "{key}" gets "{value}", expected absent')
def write_absent(context: runner.Context, key: str, value: str) -> None:
    _write(context, [key], value, store.Expected(key=key, revision=0))


@behave.when('row "{key}" gets "{value}", expected as last seen')
def write_seen(context: runner.Context, key: str, value: str) -> None:
    revision = context.seen_revision
    _write(context, [key], value, store.Expected(key=key, revision=revision))


@behave.when(
    'rows "{one}" and "{two}" get "{value}", with "{key}" expected absent'
)
def write_two(
    context: runner.Context, one: str, two: str, value: str, key: str
) -> None:
    _write(context, [one, two], value, store.Expected(key=key, revision=0))


@behave.when('row "{key}" gets "{value}", expected absent, without an answer')
def write_unanswered(context: runner.Context, key: str, value: str) -> None:
    try:
        write_absent(context, key, value)
    except (http.client.HTTPException, OSError):
        return
    raise AssertionError("the write was answered")


@behave.when("{count:d} rows are written")
def write_many(context: runner.Context, count: int) -> None:
    keys = [f"k{number:04}" for number in range(count)]
    for start in range(0, count, 99):
        batch = keys[start : start + 99]
        expected = store.Expected(key=batch[0], revision=0)
        _write(context, batch, "v", expected)
        assert isinstance(context.outcome, store.Applied)


@behave.when('row "{key}" is removed')
def remove(context: runner.Context, key: str) -> None:
    call = store.encode_transaction(expected=(), puts=(), removed_keys=(key,))
    context.outcome = store.decode_write(*_exchange(context, call))


@behave.when("a long poll for changes begins")
def begin_long_poll(context: runner.Context) -> None:
    executor = concurrent.futures.ThreadPoolExecutor(1)
    context.add_cleanup(executor.shutdown)
    context.long_poll = executor.submit(
        _read_changes, context, _TIMEOUT_S * 1_000
    )


@behave.when("the store discards its history")
def discard_history(context: runner.Context) -> None:
    platform_calls.call(context, "POST", "/-/forget")


@behave.when("a row of the operator's table is written")
def write_operator(context: runner.Context) -> None:
    body = {"put": [{"table": "op", "part": "", "key": "config", "value": ""}]}
    call = store.Call(
        method="POST", target="/rows-tx", body=json.dumps(body).encode()
    )
    context.outcome = store.decode_write(*_exchange(context, call))


@behave.when("the store refuses all calls")
def refuse(context: runner.Context) -> None:
    _set_mode(context, mode="refusing")


@behave.when("the store delays the next write")
def delay(context: runner.Context) -> None:
    _set_mode(context, mode="late", count=1)


@behave.when("the delayed write arrives")
def deliver(context: runner.Context) -> None:
    platform_calls.call(context, "POST", "/-/deliver")


@behave.when('object "{name}" is put with "{content}"')
def put_object(context: runner.Context, name: str, content: str) -> None:
    platform_calls.call(context, "PUT", f"/blob-put/{name}", content)


@behave.when('object "{name}" is put again with "{content}" and refused')
def put_object_again(context: runner.Context, name: str, content: str) -> None:
    connection = http.client.HTTPConnection("127.0.0.1", context.platform_port)
    context.add_cleanup(connection.close)
    connection.request(
        "PUT", f"/blob-put/{name}", content, {"If-None-Match": "*"}
    )
    status = connection.getresponse().status
    assert status == http.HTTPStatus.PRECONDITION_FAILED, status


@behave.when('object "{name}" is deleted')
def delete_object(context: runner.Context, name: str) -> None:
    platform_calls.call(context, "DELETE", f"/blob-drop/{name}")


@behave.then("the write is applied")
def check_applied(context: runner.Context) -> None:
    assert isinstance(context.outcome, store.Applied), context.outcome


@behave.then('the write fails with a conflict that shows "{value}"')
def check_conflict(context: runner.Context, value: str) -> None:
    assert isinstance(context.outcome, store.Conflict), context.outcome
    (row,) = context.outcome.rows
    assert row.value == value.encode(), row
    context.seen_revision = row.revision


@behave.then('the write was not done for "{reason}"')
def check_not_done(context: runner.Context, reason: str) -> None:
    assert context.outcome == store.NotDone(reason=reason), context.outcome


@behave.then('the write is in doubt for "{reason}"')
def check_in_doubt(context: runner.Context, reason: str) -> None:
    assert context.outcome == store.InDoubt(reason=reason), context.outcome


@behave.then('the rows read as "{text}"')
@behave.then('the rows read as ""')
def check_rows(context: runner.Context, text: str = "") -> None:
    found = _describe(_read(context).rows)
    assert found == text, found


@behave.then("all {count:d} rows are read in two pages")
def check_pages(context: runner.Context, count: int) -> None:
    first = _read(context)
    assert first.has_more
    second = _read(context, first.rows[-1].key + "\x00")
    assert not second.has_more
    keys = [row.key for row in (*first.rows, *second.rows)]
    assert len(keys) == count, len(keys)
    assert keys == sorted(keys)


@behave.then('the changes since the start are "{text}"')
def check_changes(context: runner.Context, text: str) -> None:
    outcome = _read_changes(context, 0)
    assert isinstance(outcome, store.Rows), outcome
    assert _describe(outcome.rows) == text, outcome


@behave.then("the changes since the start are gone")
def check_gone(context: runner.Context) -> None:
    assert _read_changes(context, 0) == store.HistoryGone()


@behave.then('the long poll returns "{text}"')
def check_long_poll(context: runner.Context, text: str) -> None:
    outcome = context.long_poll.result()
    assert _describe(outcome.rows) == text, outcome


@behave.then('the objects under "{prefix}" are "{names}"')
@behave.then('the objects under "{prefix}" are ""')
def check_objects(
    context: runner.Context, prefix: str, names: str = ""
) -> None:
    reply = platform_calls.call(context, "GET", f"/blob-list?prefix={prefix}")
    found = json.loads(reply.read())["names"]
    assert found == names.split(), found


@behave.then('object "{name}" reads as "{content}"')
def check_object(context: runner.Context, name: str, content: str) -> None:
    reply = platform_calls.call(context, "GET", f"/blob-get/{name}")
    assert reply.read() == content.encode()
