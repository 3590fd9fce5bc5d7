"""Steps for the upstream monitor."""

import behave
from behave import runner

from rhubarblead import settings
from rhubarblead.upstream import monitor

_STEP_MS = 200
_START_MS = 1_000_000


def _announce(incarnation: str, state: str) -> monitor.Announcement:
    return monitor.decode_announcement(
        b'{"server": "s", "ip_address": "127.0.0.1", "port": 1,'
        b' "incarnation": "%s", "slots": 1, "connections": 1,'
        b' "is_fenced": true, "state": "%s"}'
        % (incarnation.encode(), state.encode())
    )


def _make_health(incarnation: str, state: str, clock_ms: int) -> monitor.Health:
    return monitor.decode_health(
        b'{"server": "s", "incarnation": "%s", "state": "%s", "clock_ms": %d}'
        % (incarnation.encode(), state.encode(), clock_ms)
    )


@behave.given(
    "an upstream monitor that probes every {probe:d} ms for {timeout:d} ms"
    " and allows {failures:d} failures"
)
def given_monitor(
    context: runner.Context, probe: int, timeout: int, failures: int
) -> None:
    context.now_ms = _START_MS
    context.monitor = monitor.Monitor(
        upstream=settings.Upstream(
            probe_ms=probe, probe_timeout_ms=timeout, probe_failures=failures
        )
    )


def _apply_event(context: runner.Context, event: str) -> None:
    monitored = context.monitor
    now_ms = context.now_ms
    match event:
        case "announce":
            monitored.record_announcement(_announce("1", "serving"), now_ms)
        case "announce-draining":
            monitored.record_announcement(_announce("1", "draining"), now_ms)
        case "restart":
            monitored.record_announcement(_announce("2", "serving"), now_ms)
        case "healthy" | "healthy2":
            incarnation = "2" if event == "healthy2" else "1"
            health = _make_health(incarnation, "serving", now_ms)
            monitored.record_health(health, now_ms, now_ms)
        case "cold" | "probe-draining":
            state = "cold" if event == "cold" else "draining"
            health = _make_health("1", state, now_ms)
            monitored.record_health(health, now_ms, now_ms)
        case "fail":
            monitored.record_probe_failure(now_ms)
        case "response":
            monitored.record_response(now_ms)


@behave.when('the monitor receives "{events}"')
@behave.when('the monitor receives ""')
def when_receives(context: runner.Context, events: str = "") -> None:
    for event in events.split():
        context.now_ms += _STEP_MS
        _apply_event(context, event)


@behave.given(
    "an announced upstream whose clock is {ahead:d} ms ahead of the monitor"
)
def given_clock_ahead(context: runner.Context, ahead: int) -> None:
    context.ahead_ms = ahead
    context.monitor.record_announcement(
        _announce("1", "serving"), context.now_ms
    )


@behave.when('probes take "{delays}" ms for request and response')
def when_probed(context: runner.Context, delays: str) -> None:
    for delay in delays.split():
        there, back = (int(part) for part in delay.split("+"))
        sent_ms = context.now_ms
        clock_ms = sent_ms + there + context.ahead_ms
        context.now_ms = sent_ms + there + back
        context.monitor.record_health(
            _make_health("1", "serving", clock_ms), sent_ms, context.now_ms
        )


@behave.then("the monitor's expiry is early by {early:d} ms")
def then_early(context: runner.Context, early: int) -> None:
    local_ms = context.now_ms + 900
    true_ms = local_ms + context.ahead_ms
    found = true_ms - context.monitor.convert_to_upstream_ms(local_ms)
    assert found == early, found


@behave.then("the monitor reports the upstream as {state}, serving {serving}")
def then_reports(context: runner.Context, state: str, serving: str) -> None:
    assert context.monitor.find_state() == state, context.monitor.find_state()
    found = context.monitor.is_serving(context.now_ms)
    assert str(found) == serving, found
