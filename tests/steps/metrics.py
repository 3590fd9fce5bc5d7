"""Steps for metrics."""

import json
import socket

import behave
from behave import runner

from rhubarblead import metrics
from rhubarblead import settings
from rhubarblead.events import catalog
from rhubarblead.events import log

_TIMEOUT_S = 5


def _receive(context: runner.Context, expected_count: int) -> list[str]:
    lines: list[str] = []
    while len(lines) < expected_count:
        lines += context.statsd.recv(65_536).decode().splitlines()
    return lines


@behave.given("metrics sent to a local statsd server")
def given_metrics(context: runner.Context) -> None:
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.statsd.close)
    context.statsd.settimeout(_TIMEOUT_S)
    context.statsd.bind(("127.0.0.1", 0))
    address = settings.Address(
        ip_address="127.0.0.1", port=context.statsd.getsockname()[1]
    )
    context.metrics = metrics.open_metrics(
        settings.Metrics(server=address, prefix="test")
    )
    context.add_cleanup(context.metrics.close)


@behave.given("metrics without a server")
def given_none(context: runner.Context) -> None:
    context.metrics = metrics.open_metrics(None)


@behave.when("metrics count {name:w} {times:d} times")
def count(context: runner.Context, name: str, times: int) -> None:
    for _ in range(times):
        context.metrics.count(metrics.Counter[name])


@behave.when("metrics record {duration_ms:g} ms for {name:w}")
def record_duration(
    context: runner.Context, name: str, duration_ms: float
) -> None:
    context.metrics.record_duration(metrics.Timer[name], duration_ms)


@behave.when("metrics record {times:d} durations for {name:w}")
def record_many(context: runner.Context, name: str, times: int) -> None:
    for _ in range(times):
        context.metrics.record_duration(metrics.Timer[name], 1)


@behave.when("metrics set the gauge {name:w} to {value:d}")
def set_gauge(context: runner.Context, name: str, value: int) -> None:
    context.metrics.set_gauge(metrics.Gauge[name], value)


@behave.when("the metrics are updated by the event {name:w} with {fields}")
def update(context: runner.Context, name: str, fields: str) -> None:
    events = log.EventLog(
        instance="n", timeline_capacity=10, process_metrics=context.metrics
    )
    events.emit(catalog.Event[name], **json.loads(fields))


@behave.when("the metrics are flushed")
def flush(context: runner.Context) -> None:
    context.metrics.flush()


@behave.then("the statsd server received")
def check_lines(context: runner.Context) -> None:
    expected = {row["line"] for row in context.table}
    lines = _receive(context, len(expected))
    assert set(lines) == expected, lines


@behave.then('the statsd server received a count of {value:d} for "{name}"')
def check_count(context: runner.Context, value: int, name: str) -> None:
    lines = _receive(context, 1_001)
    assert f"{name}:{value}|c" in lines, lines[:5]


@behave.then("no metrics are kept")
def check_none(context: runner.Context) -> None:
    assert not context.metrics._counts


@behave.then("every metric has a description and a unique name")
def check_descriptions(context: runner.Context) -> None:
    kinds = [*metrics.Counter, *metrics.Timer, *metrics.Gauge]
    assert set(kinds) == set(metrics.DESCRIPTIONS)
    names = [kind.value for kind in kinds]
    assert len(names) == len(set(names))
