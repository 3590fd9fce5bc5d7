"""Steps for the client of the store, against the platform's stand-in."""

import asyncio
import http.client
from typing import Any

import behave
from behave import runner

from rhubarblead.keyspace import revisions
from rhubarblead.platform import settings
from rhubarblead.platform import store
from rhubarblead.router import store_client
from tests import router_doubles
from tools.standins import platform

_LOOPBACK = "127.0.0.1"


class _EventLog(router_doubles.SilentEventLog):
    """Counts events."""

    def __init__(self) -> None:
        self.count = 0

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Counts an event."""
        self.count += 1


@behave.given('a client of a store in era 1 that has written row "a"')
def open_client(context: runner.Context) -> None:
    stand_in = platform.StandIn(era="1")
    stand_in.__enter__()
    context.add_cleanup(stand_in.__exit__)
    context.port = stand_in.ports[0]
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.event_log = _EventLog()
    context.loop.run_until_complete(_open(context))
    context.add_cleanup(lambda: context.loop.call_soon(context.client.close))
    _control(context, "POST", "/-/copy")
    write_new(context)
    assert isinstance(context.outcome, store.Applied), context.outcome
    context.first_revision = context.outcome.revision


async def _open(context: runner.Context) -> None:
    context.client = store_client.StoreClient(
        address=settings.Address(ip=_LOOPBACK, port=context.port),
        events=context.event_log,
        now_ms=lambda: 0,
    )


def _control(
    context: runner.Context, method: str, path: str, body: str = ""
) -> None:
    connection = http.client.HTTPConnection(_LOOPBACK, context.port, timeout=5)
    try:
        connection.request(method, path, body)
        connection.getresponse().read()
    finally:
        connection.close()


def _write(context: runner.Context, revision: int) -> None:
    context.outcome = context.loop.run_until_complete(
        context.client.write(
            expected=(store.Expected(key="a", revision=revision),),
            puts=(store.Put(key="a", value=b"x"),),
        )
    )


@behave.when('it writes row "a" as new')
def write_new(context: runner.Context) -> None:
    _write(context, 0)


@behave.when('it writes row "a" as it has last seen it')
def write_again(context: runner.Context) -> None:
    _write(context, context.first_revision)


@behave.when("the store comes back from a copy")
def restore(context: runner.Context) -> None:
    _control(context, "POST", "/-/restore")


@behave.when('the store\'s era reads "{era}"')
def set_era(context: runner.Context, era: str) -> None:
    _control(context, "PUT", "/-/era", era)


@behave.when("the client reads")
def read(context: runner.Context) -> None:
    context.read = context.loop.run_until_complete(
        context.client.read(store.TABLE)
    )


@behave.when("the client reads twice")
def read_twice(context: runner.Context) -> None:
    read(context)
    read(context)


@behave.then("the client knows era {era:d}")
def check_era(context: runner.Context, era: int) -> None:
    assert context.client.era == era, context.client.era


@behave.then(
    "the write is applied with the number of the lost one, and is newer"
)
def check_newer(context: runner.Context) -> None:
    revision = context.outcome.revision
    assert revisions.find_number(revision) == revisions.find_number(
        context.first_revision
    )
    assert revision > context.first_revision


@behave.then("the changes since the lost revision are gone")
def check_gone(context: runner.Context) -> None:
    outcome = context.loop.run_until_complete(
        context.client.wait_for_changes(store.TABLE, context.first_revision, 0)
    )
    assert outcome == store.HistoryGone(), outcome


@behave.then("nothing was read, and one event was logged")
def check_discarded(context: runner.Context) -> None:
    assert not isinstance(context.read, store.Rows), context.read
    assert context.event_log.count == 1, context.event_log.count
