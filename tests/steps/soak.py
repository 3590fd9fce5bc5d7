"""Steps for the fault soak."""

import pathlib
import tempfile
from typing import Any

import behave
from behave import runner

from tools.soak import audit
from tools.soak import callers
from tools.soak import soak_run
from tools.standins import keyed_holds

_NODE_COUNT = 4
_SUBNET = 78


def _tell(request_id: str, **changes: Any) -> callers.Outcome:  # noqa: ANN401
    fields = {
        "request_id": request_id,
        "node": "n1",
        "is_unsafe": True,
        "path": f"/write/{request_id}",
        "key": 7,
        "status": 200,
        "is_correct": True,
        "sent_ms": 0.0,
        "ended_ms": 50.0,
    }
    return callers.Outcome(**{**fields, **changes})


def _run(request_id: str, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    fields = {
        "kind": "run",
        "server": "a",
        "at_ms": 10.0,
        "request_id": request_id,
        "key": 7,
        "method": "POST",
        "path": f"/write/{request_id}",
    }
    return {**fields, **changes}


def _hold(
    server: str, at_ms: float, until_ms: float, fence: int = 1
) -> dict[str, Any]:
    ranges = [[0, 99, fence, until_ms]]
    return {"kind": "holds", "server": server, "at_ms": at_ms, "ranges": ranges}


def _hold_both(shared_ms: float, fence: int = 2) -> list[dict[str, Any]]:
    """Two servers hold the same keys for a while, and both go on to tell."""
    return [
        _hold("a", 0.0, 5_000.0),
        _hold("b", 1_000.0, 9_000.0, fence),
        {**_hold("a", 1_000.0 + shared_ms, 0.0), "ranges": []},
        _hold("b", 3_000.0, 9_000.0, fence),
    ]


_SAFE = {"method": "GET"}
_RUN_OUT = [
    _hold("a", 0.0, 800.0),
    _hold("b", 1_000.0, 9_000.0, 2),
    _hold("b", 3_000.0, 9_000.0, 2),
]
# Outcomes, records and ends of servers; what differs from a run that is right.
_CASES: dict[str, dict[str, Any]] = {
    "nothing wrong": {},
    "an unsafe request that ran twice": {
        "records": [_run("r1"), _run("r1", server="b")]
    },
    "a safe request that ran twice": {
        "outcomes": [_tell("r1", is_unsafe=False)],
        "records": [_run("r1", **_SAFE), _run("r1", **_SAFE)],
    },
    "an unsafe refusal of what has run": {
        "outcomes": [_tell("r1", status=503)]
    },
    "a wrong body": {"outcomes": [_tell("r1", is_correct=False)]},
    "a run that nobody sent": {"records": [_run("r1"), _run("r2")]},
    "a run with another path": {"records": [_run("r1", path="/write/else")]},
    "a request beyond the slots": {
        "records": [_run("r1"), {**_run("r1"), "kind": "overfull"}]
    },
    "two holders for 700 ms": {"records": _hold_both(700.0)},
    "two holders for 300 ms": {"records": _hold_both(300.0)},
    "a holder that was killed before": {
        "records": _hold_both(1_500.0),
        "ended_ms": {"a": 900.0},
    },
    "a hold that had run out before": {"records": _RUN_OUT},
    "an older fence at another server": {"records": _hold_both(100.0, fence=1)},
}


@behave.given("a run in which {what} happened")
def make_run(context: runner.Context, what: str) -> None:
    case = _CASES[what]
    context.outcomes = case.get("outcomes", [_tell("r1")])
    context.records = case.get("records", [_run("r1")])
    context.ended_ms = case.get("ended_ms", {})


@behave.then('the audit finds "{rules}"')
@behave.then('the audit finds ""')
def check_found(context: runner.Context, rules: str = "") -> None:
    findings = audit.check(
        outcomes=context.outcomes,
        records=sorted(context.records, key=lambda line: line["at_ms"]),
        ended_ms=context.ended_ms,
    )
    found = {finding.rule.name for finding in findings}
    assert found == set(rules.split()), findings


@behave.given(
    "a keyed server that was given {first:d}-{last:d} with fence {fence:d} for"
    " {hold:d} ms"
)
def make_server(
    context: runner.Context, first: int, last: int, fence: int, hold: int
) -> None:
    context.holds = keyed_holds.Holds()
    context.holds.take([[first, last, fence, ""]], hold, 0.0)


@behave.then("it holds key {key:d} for {yes:d} ms and not for {no:d} ms")
def check_length(context: runner.Context, key: int, yes: int, no: int) -> None:
    assert context.holds.is_held(key, yes)
    assert not context.holds.is_held(key, no)


@behave.when(
    "it works on key {key:d} and is given {first:d}-{last:d} with fence"
    " {fence:d}"
)
def give_less(
    context: runner.Context, key: int, first: int, last: int, fence: int
) -> None:
    context.holds.begin("r", key)
    context.holds.take([[first, last, fence, ""]], 1_000, 100.0)


@behave.then(
    "it has released nothing yet, and still tells of {first:d}-{last:d}"
)
def check_unreleased(context: runner.Context, first: int, last: int) -> None:
    assert not context.holds.take_released()
    told = [(h.first, h.last) for h in context.holds.list_told(150.0)]
    assert (first, last) in told, told


@behave.when("it has ended the work on key {key:d}")
def end_work(context: runner.Context, key: int) -> None:
    context.holds.end("r")


@behave.then("it has released {first:d}-{last:d} with a token")
def check_released(context: runner.Context, first: int, last: int) -> None:
    ((part, token),) = context.holds.take_released()
    assert (part.first, part.last) == (first, last), part
    assert token


@behave.when("it is given {first:d}-{last:d} with fence {fence:d}")
def give(context: runner.Context, first: int, last: int, fence: int) -> None:
    context.holds.take([[first, last, fence, ""]], 1_000, 200.0)


@behave.then("it holds nothing")
def check_nothing(context: runner.Context) -> None:
    assert not context.holds.list_held(250.0)


@behave.when("a story of faults with seed {seed:d} is played for {length:d} s")
def play(context: runner.Context, seed: int, length: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.result = soak_run.run_soak(
            seed=seed,
            duration_s=length,
            node_count=_NODE_COUNT,
            folder=pathlib.Path(folder),
            subnet=_SUBNET,
        )


@behave.then("no promise was broken and all keys came back")
def check_story(context: runner.Context) -> None:
    result = context.result
    assert not result.findings, (result.findings[:3], result.events)
    assert result.recovered_s is not None, result.events
