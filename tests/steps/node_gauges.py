"""Steps for the gauges of a node."""

import behave
from behave import runner

from rhubarblead import metrics
from rhubarblead.node import gauges
from rhubarblead.node import view


class _Sink(metrics.Metrics):
    """Records the values of gauges."""

    def __init__(self) -> None:
        super().__init__(client=None)
        self.values: dict[metrics.Gauge, float] = {}

    def set_gauge(self, gauge: metrics.Gauge, value: float) -> None:
        self.values[gauge] = value


@behave.given("the gauges of a node that is not a member")
def given_gauges(context: runner.Context) -> None:
    context.sink = _Sink()
    context.gauges = gauges.Gauges(
        sink=context.sink,
        shared_view=view.SharedView(grant_ms=600),
        count_in_flight=lambda: 3,
        count_entries=lambda: 5,
    )


@behave.when("the gauges are measured")
def when_measured(context: runner.Context) -> None:
    context.gauges.measure()


@behave.then(
    "each gauge that the node reports is set, and the memory is above 0"
)
def then_set(context: runner.Context) -> None:
    values = context.sink.values
    assert values.keys() == gauges.REPORTED, values
    assert values[metrics.Gauge.REQUESTS_IN_FLIGHT] == 3
    assert values[metrics.Gauge.LEDGER_ENTRIES] == 5
    assert values[metrics.Gauge.LEASE_LEFT] == 0
    assert values[metrics.Gauge.MEMORY] > 0
