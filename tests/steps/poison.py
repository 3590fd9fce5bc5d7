"""Steps for the detection of requests that crash their upstreams."""

import itertools

import behave
from behave import runner

from rhubarblead import messages
from rhubarblead.requests import poison


@behave.given("a poison detector")
def make_detector(context: runner.Context) -> None:
    context.detector = poison.PoisonDetector()
    context.crash_ids = itertools.count()
    context.now_ms = 0


@behave.given("a poison detector that keeps {count:d} crashes")
def make_small_detector(context: runner.Context, count: int) -> None:
    make_detector(context)
    context.detector = poison.PoisonDetector(max_crashes=count)


def crash(context: runner.Context, names: str) -> messages.SuspectReport:
    return context.detector.record_crash(
        crash_id=f"crash-{next(context.crash_ids)}",
        fingerprints=[ord(name) for name in names],
        now_ms=context.now_ms,
    )


@behave.when('the poison detector receives "{events}"')
def receive(context: runner.Context, events: str) -> None:
    for event in events.split():
        kind, names = event[0], event[1:]
        match kind:
            case "!":
                context.report = crash(context, names)
            case "=":
                context.detector.record_response(ord(names))
            case "+":
                context.now_ms += int(names)
            case "@":
                context.detector.record_report(context.report, context.now_ms)
            case _:
                other = poison.PoisonDetector()
                report = other.record_crash(
                    crash_id="elsewhere",
                    fingerprints=[ord(name) for name in names],
                    now_ms=0,
                )
                frame = messages.encode(report)
                received = messages.decode(frame)
                assert isinstance(received, messages.SuspectReport)
                context.detector.record_report(received, context.now_ms)


@behave.then("the poison detector classifies p as {first} and i as {second}")
def check_modes(context: runner.Context, first: str, second: str) -> None:
    found = [
        context.detector.classify(ord(name), context.now_ms).value
        for name in "pi"
    ]
    assert found == [first, second], found


@behave.then("fingerprints differ by method, target and body only")
def check_fingerprints(context: runner.Context) -> None:
    requests = [
        ("POST", "/a", b"x"),
        ("PUT", "/a", b"x"),
        ("POST", "/b", b"x"),
        ("POST", "/a", b"y"),
    ]
    found = [poison.compute_fingerprint(*request) for request in requests]
    assert len(set(found)) == len(requests)
    assert found[0] == poison.compute_fingerprint("POST", "/a", b"x")
