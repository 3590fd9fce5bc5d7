"""Steps for the detection of requests that crash their upstreams."""

import dataclasses
import itertools

import behave
from behave import runner

from rhubarblead import messages
from rhubarblead.requests import crash_reports
from rhubarblead.requests import poison
from rhubarblead.requests import stored_crashes

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


_STORE_AHEAD_MS = 7_000_000
_CALL_MS = 200
"""The store's time is known as exactly as a call takes."""


def _store(crashes: list[poison.Crash], now_ms: int) -> bytes:
    return stored_crashes.encode(
        stored_crashes.select(crashes, now_ms),
        now_ms=now_ms,
        store_ms=now_ms + _STORE_AHEAD_MS,
    )


def _read(content: bytes, now_ms: int) -> tuple[poison.Crash, ...]:
    """Reads a row; the clock of the reader differs."""
    crashes = stored_crashes.decode(
        content, now_ms=now_ms, store_ms=now_ms + _STORE_AHEAD_MS + _CALL_MS
    )
    return stored_crashes.select(crashes, now_ms)


def _lose_processes(context: runner.Context) -> None:
    """Makes a new detector, which knows what the nodes have stored."""
    content = _store(context.detector.list_crashes(), context.now_ms)
    context.detector = poison.PoisonDetector()
    for crash in _read(content, context.now_ms):
        context.detector.record_crash(crash, context.now_ms)


@behave.given("{count:d} crashes of a server with {suspects:d} suspects each")
def make_crashes(context: runner.Context, count: int, suspects: int) -> None:
    context.crashes = [
        poison.Crash(
            crash_id=f"{number:016x}",
            happened_at_ms=number * 1_000,
            suspects=tuple(
                poison.Suspect(
                    fingerprint=2**64 - 1 - item,
                    started_at_ms=number * 1_000 - 100,
                    commonness=1 - item / (10 * suspects),
                )
                for item in range(suspects)
            ),
            is_alone=False,
            reporter="sidecar-tanah-rata-1@10.2.0.21",
        )
        for number in range(count)
    ]
    context.now_ms = count * 1_000


@behave.when("they are stored, and read {passed:d} ms later")
def store_and_read(context: runner.Context, passed: int) -> None:
    context.content = _store(context.crashes, context.now_ms)
    context.found = stored_crashes.decode(
        context.content,
        now_ms=context.now_ms + passed,
        store_ms=context.now_ms + passed + _STORE_AHEAD_MS,
    )


@behave.then("at most {most:d} of them are read, the newest ones")
def check_newest(context: runner.Context, most: int) -> None:
    found = [(crash.crash_id, crash.happened_at_ms) for crash in context.found]
    assert 0 < len(found) <= most, len(found)
    newest = context.crashes[-len(found) :]
    assert found == [(c.crash_id, c.happened_at_ms) for c in newest]


@behave.then("the row has at most {most:d} bytes")
def check_row_bytes(context: runner.Context, most: int) -> None:
    assert len(context.content) <= most, len(context.content)


@behave.then("the rarest suspect of each is kept")
def check_rarest(context: runner.Context) -> None:
    for crash in context.found:
        (sent,) = [c for c in context.crashes if c.crash_id == crash.crash_id]
        rarest = sent.suspects[-1].fingerprint
        assert rarest in [s.fingerprint for s in crash.suspects]


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
            case "#":
                _lose_processes(context)
            case "<":
                _receive_report(context, names, ago_ms=30_000)
            case _:
                _receive_report(context, names)


@behave.when(
    'it receives reports of the crashes "{crashes}" with a commonness of'
    " {per_mille:d} per mille"
)
def receive_odd(context: runner.Context, crashes: str, per_mille: int) -> None:
    for names in crashes.split():
        context.now_ms += 1_000
        report = crash_reports.CrashReport(
            crash_id=str(context.now_ms),
            fingerprints=tuple(map(ord, names)),
            ages_ms=(10,) * len(names),
            commonness_per_mille=(per_mille,) * len(names),
        )
        crash = crash_reports.decode(report, context.now_ms)
        context.detector.record_crash(crash, context.now_ms)


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
