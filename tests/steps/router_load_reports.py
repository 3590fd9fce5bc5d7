"""Steps for the reports of a node's load."""

import behave
from behave import runner

from rhubarblead.router import directory
from rhubarblead.router import load_reports
from rhubarblead.router import state_broadcaster
from rhubarblead.router import wire


def _read_load(text: str) -> wire.ServerLoad:
    load = wire.ServerLoad()
    for word in text.split():
        name, _, value = word.partition("=")
        if name.startswith("r"):
            load.service_ms[name] = int(value)
        else:
            setattr(load, name, int(value))
    return load


@behave.given('a load report with "{text}"')
def set_previous(context: runner.Context, text: str) -> None:
    context.previous = _read_load(text)


@behave.when('the load is "{text}"')
def set_now(context: runner.Context, text: str) -> None:
    context.is_worth_sending = load_reports.is_worth_sending(
        context.previous, _read_load(text)
    )


@behave.then("a report {outcome} worth sending")
def check(context: runner.Context, outcome: str) -> None:
    assert context.is_worth_sending == (outcome == "is")


@behave.then(
    "the longest interval between two reports to all nodes is shorter than"
    " {most:d} ms"
)
def check_interval(context: runner.Context, most: int) -> None:
    del context
    interval_s = (
        state_broadcaster.LOADS_PER_KEEPALIVE
        * state_broadcaster.LOAD_INTERVAL_S
    )
    assert most == directory.STATE_VALID_MS
    assert interval_s * 1_000 < most
