"""Steps for the state charts."""

import behave
from behave import runner

from rhubarblead import faults
from rhubarblead.charts import chart


@behave.when("the chart {text} is parsed")
def parse(context: runner.Context, text: str) -> None:
    context.refused = False
    try:
        chart.parse_chart(text.encode(), subject="test")
    except faults.CannotAccept:
        context.refused = True


@behave.then("the chart is refused")
def check_refused(context: runner.Context) -> None:
    assert context.refused


@behave.when('the event "{event}" occurs in state "{state}" of chart "{name}"')
def follow(context: runner.Context, event: str, state: str, name: str) -> None:
    try:
        context.after = chart.load_chart(name).follow(state, event)
    except chart.InvalidTransition as error:
        context.after = type(error).__name__


@behave.then('the chart returns "{after}"')
def check_answer(context: runner.Context, after: str) -> None:
    assert context.after == after, context.after
