"""Steps for the detection of requests that crash their upstreams."""

import dataclasses
import itertools

import behave
from behave import runner

from rhubarblead import messages
from rhubarblead.requests import crash_reports
from rhubarblead.requests import poison

_COMMONNESS = {"h": 0.7, "m": 0.1}
"""Commonness of the requests that run often; others run rarely."""


@behave.given("a poison detector")
def make_detector(context: runner.Context) -> None:
    context.detector = poison.PoisonDetector()
    context.crash_ids = itertools.count()
    context.now_ms = 0


@behave.given("a poison detector that keeps {count:d} crashes")
def make_small_detector(context: runner.Context, count: int) -> None:
    make_detector(context)
    context.detector = poison.PoisonDetector(max_crashes=count)


def _make_crash(
    crash_id: str, names: str, now_ms: int, ran_ms: int
) -> poison.Crash:
    return poison.Crash(
        crash_id=crash_id,
        happened_at_ms=now_ms,
        suspects=tuple(
            poison.Suspect(
                fingerprint=ord(name),
                started_at_ms=now_ms - ran_ms,
                commonness=_COMMONNESS.get(name, 0.0),
            )
            for name in names
        ),
        is_alone=len(names) == 1,
    )


def _record(context: runner.Context, names: str, ran_ms: int = 0) -> None:
    context.crash = _make_crash(
        f"crash-{next(context.crash_ids)}", names, context.now_ms, ran_ms
    )
    context.detector.record_crash(context.crash, context.now_ms)


def _receive_report(
    context: runner.Context, names: str, ago_ms: int = 0
) -> None:
    """Records the report of a crash at another node, whose clock differs."""
    remote_now_ms = 5_000_000
    crash = _make_crash("elsewhere", names, remote_now_ms - ago_ms, 0)
    report = messages.SuspectReport(
        **crash_reports.encode(crash, remote_now_ms)
    )
    received = messages.decode(messages.encode(report))
    assert isinstance(received, messages.SuspectReport)
    decoded = crash_reports.decode(received, context.now_ms)
    context.detector.record_crash(decoded, context.now_ms)


@behave.when('the poison detector receives "{events}"')
def receive(context: runner.Context, events: str) -> None:
    for event in events.split():
        kind, names = event[0], event[1:]
        match kind:
            case "!":
                _record(context, names)
            case "~":
                _record(context, names, ran_ms=500)
            case "=":
                context.detector.record_response(ord(names))
            case "+":
                context.now_ms += int(names)
            case "@":
                repeated = dataclasses.replace(context.crash)
                context.detector.record_crash(repeated, context.now_ms)
            case "<":
                _receive_report(context, names, ago_ms=30_000)
            case _:
                _receive_report(context, names)


@behave.then("the poison detector classifies p as {first} and i as {second}")
def check_modes(context: runner.Context, first: str, second: str) -> None:
    check_all_modes(context, "p", first)
    check_all_modes(context, "i", second)


@behave.then("each of {names} is classified as {mode}")
def check_all_modes(context: runner.Context, names: str, mode: str) -> None:
    found = {
        name: context.detector.classify([ord(name)], context.now_ms).value
        for name in names
    }
    assert set(found.values()) == {mode}, found


_REQUEST = {"method": "POST", "scope": "h", "target": "/a", "body": b"x"}


@behave.then("a request and one with another {part} have {count:d} in common")
def check_fingerprints(context: runner.Context, part: str, count: int) -> None:
    first = {**_REQUEST, "target": "/a?page=1"}
    changes = {
        "method": {"method": "PUT"},
        "host": {"scope": "i"},
        "path": {"target": "/b?page=1"},
        "query": {"target": "/a?page=2"},
        "body": {"body": b"y"},
        "idempotency key": {},
    }
    second = {**first, **changes[part]}
    found = [
        set(poison.compute_fingerprints(**request))  # type: ignore[arg-type]
        for request in (first, second)
    ]
    assert len(found[0] & found[1]) == count, found
