"""Steps for the metrics of the router."""

import os
import re

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.router import event_log
from rhubarblead.router import metrics_exporter


@behave.given("the metrics of a node that runs {count:d} requests")
def make(context: runner.Context, count: int) -> None:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    context.add_cleanup(os.close, descriptor)
    context.event_log = event_log.EventLog(
        instance="i-1", descriptor=descriptor
    )
    context.exporter = metrics_exporter.MetricsExporter(
        events=context.event_log,
        gauges=lambda: {metrics_exporter.Gauge.RUNNING: count},
    )


@behave.when('route "{route}" was answered {answers}')
def observe(context: runner.Context, route: str, answers: str) -> None:
    for status, latency_ms in re.findall(r"(\d+) after (\d+) ms", answers):
        context.exporter.observe(route, int(status), int(latency_ms))


@behave.when(
    'a request on route "{route}" waited {queued:d} ms and was {transit:d} ms'
    " on its way"
)
def observe_delays(
    context: runner.Context, route: str, queued: int, transit: int
) -> None:
    context.exporter.observe_delays(route, queued, transit)


@behave.when("an event was emitted twice")
def emit_twice(context: runner.Context) -> None:
    for _ in range(2):
        context.event_log.emit(catalog.Event.LINK_UP, node_id="n")


@behave.then("the rendered metrics contain these lines")
def check_lines(context: runner.Context) -> None:
    rendered = context.exporter.render().splitlines()
    for row in context.table:
        assert row["line"] in rendered, (row["line"], rendered)


@behave.then("every gauge and every series has a description")
def check_descriptions(context: runner.Context) -> None:
    del context
    assert set(metrics_exporter.GAUGE_DESCRIPTIONS) == set(
        metrics_exporter.Gauge
    )
    assert all(metrics_exporter.SERIES_DESCRIPTIONS.values())
