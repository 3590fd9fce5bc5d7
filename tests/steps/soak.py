"""Steps for the soak test under random faults."""

import pathlib
import shutil
import tempfile
from typing import Any

import behave
from behave import runner

from tools.soak import audit
from tools.soak import callers
from tools.soak import soak_run
from tools.standins import held_keys

_NODE_COUNT = 4
_SUBNET = 78


def _make_outcome(request_id: str, **changes: Any) -> callers.Outcome:  # noqa: ANN401
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


def _make_run_record(request_id: str, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
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


def _make_holds_record(
    server: str, at_ms: float, until_ms: float, fence: int = 1
) -> dict[str, Any]:
    ranges = [[0, 99, fence, until_ms]]
    return {"kind": "holds", "server": server, "at_ms": at_ms, "ranges": ranges}


def _make_overlapping_holds(
    overlap_ms: float, fence: int = 2
) -> list[dict[str, Any]]:
    """Makes the records of two servers that hold the same keys for a while."""
    return [
        _make_holds_record("a", 0.0, 5_000.0),
        _make_holds_record("b", 1_000.0, 9_000.0, fence),
        {**_make_holds_record("a", 1_000.0 + overlap_ms, 0.0), "ranges": []},
        _make_holds_record("b", 3_000.0, 9_000.0, fence),
    ]


_SAFE_METHOD = {"method": "GET"}
_EXPIRED_HOLD = [
    _make_holds_record("a", 0.0, 800.0),
    _make_holds_record("b", 1_000.0, 9_000.0, 2),
    _make_holds_record("b", 3_000.0, 9_000.0, 2),
]


def _make_crashes(*times_ms: float) -> list[dict[str, Any]]:
    return [_make_run_record("r1")] + [
        {**_make_run_record("r1"), "kind": "crash", "at_ms": at_ms}
        for at_ms in times_ms
    ]


def _make_stated(
    count: int,
    *,
    sent_ms: float,
    limit: str | None = None,
    is_leaving: bool = False,
) -> dict[str, Any]:
    """Makes a run after a server's statement, by one node that was told."""
    later = [f"r{number}" for number in range(2, count + 2)]
    return {
        "outcomes": [
            _make_outcome(
                "r1", server="a", limit=limit or "", is_leaving=is_leaving
            ),
            *(_make_outcome(name, sent_ms=sent_ms) for name in later),
        ],
        "records": [
            {
                "kind": "statement",
                "server": "a",
                "at_ms": 5.0,
                "limit": limit,
                "is_leaving": is_leaving,
            },
            _make_run_record("r1"),
            *(_make_run_record(name, at_ms=sent_ms + 5) for name in later),
        ],
    }


_RESTARTED = {"disturbed_ms": {"n1": [1_000.0]}}

# Outcomes, records and server end times, where they differ from a correct run.
_RUNS: dict[str, dict[str, Any]] = {
    "no violation": {},
    "an unsafe request that ran twice": {
        "records": [_make_run_record("r1"), _make_run_record("r1", server="b")]
    },
    "a safe request that ran twice": {
        "outcomes": [_make_outcome("r1", is_unsafe=False)],
        "records": [
            _make_run_record("r1", **_SAFE_METHOD),
            _make_run_record("r1", **_SAFE_METHOD),
        ],
    },
    "a refused unsafe request that had run": {
        "outcomes": [_make_outcome("r1", status=503)]
    },
    "a wrong response body": {
        "outcomes": [_make_outcome("r1", is_correct=False)]
    },
    "a run of a request that was never sent": {
        "records": [_make_run_record("r1"), _make_run_record("r2")]
    },
    "a run with a path that was not sent": {
        "records": [_make_run_record("r1", path="/write/else")]
    },
    "a request above the slot limit": {
        "records": [
            _make_run_record("r1"),
            {**_make_run_record("r1"), "kind": "overfull"},
        ]
    },
    "two holders of a key for 700 ms": {
        "records": _make_overlapping_holds(700.0)
    },
    "two holders of a key for 300 ms": {
        "records": _make_overlapping_holds(300.0)
    },
    "a previous holder that was killed": {
        "records": _make_overlapping_holds(1_500.0),
        "ended_ms": {"a": 900.0},
    },
    "a previous holder whose hold had expired": {"records": _EXPIRED_HOLD},
    "a lower fence in the middle of a range": {
        "records": [
            {
                **_make_holds_record("a", 0.0, 800.0),
                "ranges": [[40, 50, 5, 800]],
            },
            _make_holds_record("b", 1_000.0, 9_000.0, 4),
        ]
    },
    "a poison request that ran 3 times late": {
        "records": _make_crashes(100, 200, 300, 3_400, 4_000, 5_000)
    },
    "a poison request that ran 4 times late": {
        "records": _make_crashes(100, 200, 300, 3_400, 4_000, 5_000, 6_000)
    },
    "a poison request that ran 4 times at once": {
        "records": _make_crashes(100, 200, 300, 300, 300, 300, 300)
    },
    "6 requests to a server with a limit of 0": _make_stated(
        6, sent_ms=2_500.0, limit="0"
    ),
    "5 requests to a server with a limit of 0": _make_stated(
        5, sent_ms=2_500.0, limit="0"
    ),
    "6 requests to a server with a limit of 0.3": _make_stated(
        6, sent_ms=2_500.0, limit="0.3"
    ),
    "9 requests 400 ms after a limit of 0": _make_stated(
        9, sent_ms=400.0, limit="0"
    ),
    "9 requests of a restarted node after a limit of 0": {
        **_make_stated(9, sent_ms=2_500.0, limit="0"),
        **_RESTARTED,
    },
    "a request 2.5 s after its server left": _make_stated(
        1, sent_ms=2_500.0, is_leaving=True
    ),
    "a request 1.5 s after its server left": _make_stated(
        1, sent_ms=1_500.0, is_leaving=True
    ),
    "a request of a restarted node after its server left": {
        **_make_stated(1, sent_ms=2_500.0, is_leaving=True),
        **_RESTARTED,
    },
    "a fence that does not rise between servers": {
        "records": _make_overlapping_holds(100.0, fence=1)
    },
}


@behave.given("the results of a soak with {case_name}")
def given_run(context: runner.Context, case_name: str) -> None:
    case = _RUNS[case_name]
    context.outcomes = case.get("outcomes", [_make_outcome("r1")])
    context.records = case.get("records", [_make_run_record("r1")])
    context.ended_ms = case.get("ended_ms", {})
    context.disturbed_ms = case.get("disturbed_ms", {})


@behave.then('the audit finds "{rules}"')
@behave.then('the audit finds ""')
def check_findings(context: runner.Context, rules: str = "") -> None:
    findings = audit.check(
        outcomes=context.outcomes,
        records=sorted(context.records, key=lambda record: record["at_ms"]),
        ended_ms=context.ended_ms,
        disturbed_ms=context.disturbed_ms,
    )
    found = {finding.rule.name for finding in findings}
    assert found == set(rules.split()), findings


@behave.given(
    "a keyed server that is granted {first:d}-{last:d} with fence {fence:d} for"
    " {hold:d} ms"
)
def make_server(
    context: runner.Context, first: int, last: int, fence: int, hold: int
) -> None:
    context.keys = held_keys.HeldKeys()
    context.keys.apply_grants([[first, last, fence, ""]], hold, 0.0)


@behave.then("it holds key {key:d} at {held:d} ms and not at {expired:d} ms")
def check_held(
    context: runner.Context, key: int, held: int, expired: int
) -> None:
    assert context.keys.is_held(key, held)
    assert not context.keys.is_held(key, expired)


@behave.when(
    "it runs a request for key {key:d} and is granted {first:d}-{last:d} with"
    " fence {fence:d}"
)
def give_while_running(
    context: runner.Context, key: int, first: int, last: int, fence: int
) -> None:
    context.keys.begin("r", key)
    context.keys.apply_grants([[first, last, fence, ""]], 1_000, 100.0)


@behave.then(
    "it has released nothing, and still reports {first:d}-{last:d} as held"
)
def check_unreleased(context: runner.Context, first: int, last: int) -> None:
    assert not context.keys.take_ready_releases()
    reported = [(h.first, h.last) for h in context.keys.list_reported(150.0)]
    assert (first, last) in reported, reported


@behave.when("its request for key {key:d} ends")
def end_request(context: runner.Context, key: int) -> None:
    context.keys.end("r")


@behave.then("it has released {first:d}-{last:d} with a token")
def check_released(context: runner.Context, first: int, last: int) -> None:
    ((part, token),) = context.keys.take_ready_releases()
    assert (part.first, part.last) == (first, last), part
    assert token


@behave.when("it is granted {first:d}-{last:d} with fence {fence:d}")
def apply_grant(
    context: runner.Context, first: int, last: int, fence: int
) -> None:
    context.keys.apply_grants([[first, last, fence, ""]], 1_000, 200.0)


@behave.then("it holds no keys")
def check_nothing(context: runner.Context) -> None:
    assert not context.keys.list_held(250.0)


@behave.when("a soak with seed {seed:d} injects faults for {duration:d} s")
def run_with_faults(context: runner.Context, seed: int, duration: int) -> None:
    # Kept if the run fails, with the logs of all processes.
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    context.result = soak_run.run_soak(
        seed=seed,
        duration_s=duration,
        node_count=_NODE_COUNT,
        folder=context.folder,
        subnet=_SUBNET,
    )


@behave.then("no guarantee is violated and all keys are served again")
def check_passed(context: runner.Context) -> None:
    result = context.result
    broken = [
        f"{finding.rule.name}: {finding.explanation}"
        for finding in result.findings[:3]
    ]
    events = "\n".join([f"logs: {context.folder}", *result.events])
    assert not broken, "\n".join([*broken, events])
    assert result.recovered_s is not None, f"keys not served again\n{events}"
    shutil.rmtree(context.folder)
