"""Steps for the measures of one process."""

import os
import re

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.router import event_log
from rhubarblead.router import metrics_exporter


@behave.given("measures of a node that runs {count:d} requests")
def make(context: runner.Context, count: int) -> None:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    context.add_cleanup(os.close, descriptor)
    context.event_log = event_log.EventLog(
        instance="i-1", descriptor=descriptor
    )
    context.measures = metrics_exporter.MetricsExporter(
        events=context.event_log,
        gauges=lambda: {metrics_exporter.Gauge.RUNNING: count},
    )


@behave.when('route "{route}" was answered {answers}')
def observe(context: runner.Context, route: str, answers: str) -> None:
    for status, took in re.findall(r"(\d+) after (\d+) ms", answers):
        context.measures.observe(route, int(status), int(took))


@behave.when("an event was told twice")
def tell(context: runner.Context) -> None:
    for _ in range(2):
        context.event_log.emit(catalog.Event.LINK_UP, node_id="n")


@behave.then("the measures show these lines")
def check_lines(context: runner.Context) -> None:
    shown = context.measures.render().splitlines()
    for row in context.table:
        assert row["line"] in shown, (row["line"], shown)


@behave.then("every present value and every series has a meaning")
def check_meanings(context: runner.Context) -> None:
    del context
    assert set(metrics_exporter.GAUGE_DESCRIPTIONS) == set(
        metrics_exporter.Gauge
    )
    assert all(metrics_exporter.SERIES_DESCRIPTIONS.values())
