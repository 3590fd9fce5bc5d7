"""Steps for the timeout of calls to the store."""

import behave
from behave import runner

from rhubarblead.keyspace import adaptive_timeout


@behave.when('calls to the store end with "{calls}"')
def call(context: runner.Context, calls: str) -> None:
    context.timeout = adaptive_timeout.AdaptiveTimeout()
    for word in calls.split():
        if word == "out":
            context.timeout.record_timeout(context.timeout.find_ms())
        else:
            context.timeout.record_answer(int(word))


@behave.then("the next call may take {timeout:d} ms")
def check(context: runner.Context, timeout: int) -> None:
    assert context.timeout.find_ms() == timeout, context.timeout.find_ms()
