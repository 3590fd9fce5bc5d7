"""Checks the records of upstreams against those of callers.

Usage: python -m tools.checker FOLDER

FOLDER holds `upstream-*.jsonl` and, also in subfolders, `caller-*.jsonl`.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import pathlib
import sys

import msgspec

from tools import records

_OK = 200
_POST = "POST"
_MAX_PRINTED_FINDINGS = 5


class Rule(enum.Enum):
    """The rules that a load run must not violate."""

    TWO_OWNERS = "two-owners"
    FENCE_FELL = "fence-fell"
    RAN_TWICE = "ran-twice"
    NOT_RUN_BUT_RAN = "not-run-but-ran"
    RAN_BUT_MISSING = "ran-but-missing"
    ACKNOWLEDGED_BUT_MISSING = "acknowledged-but-missing"
    WRONG_ANSWER = "wrong-answer"


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One violation of a rule and the records that show it."""

    rule: Rule
    subject: str
    explanation: str


class _CommitIndex(msgspec.Struct, frozen=True, kw_only=True):
    """Committed requests, indexed for lookup by the sends of callers.

    `repeated_keys` are idempotency keys that callers sent more than once.
    """

    request_ids: frozenset[str]
    idempotency_keys: frozenset[str]
    repeated_keys: frozenset[str]


def check(
    runs: Iterable[records.Run], outcomes: Iterable[records.Outcome]
) -> list[Finding]:
    """Checks all records of a load run.

    Only committed runs count. A run that was not committed had no effect: its
    upstream refused it because its fence was outdated or its expiry had passed.

    Args:
        runs: The runs recorded by the upstreams, in any order.
        outcomes: The outcomes recorded by the callers, in any order.

    Returns:
        All violations found.
    """
    committed = [run for run in runs if run.is_committed]
    outcome_list = list(outcomes)
    by_shard = _group(
        (run for run in committed if run.shard >= 0), _format_shard
    )
    return [
        *(f for name in by_shard for f in _find_overlaps(name, by_shard[name])),
        *(
            f
            for name in by_shard
            for f in _find_fence_decreases(name, by_shard[name])
        ),
        *_find_duplicate_commits(committed),
        *_find_verdict_mismatches(
            _index_commits(committed, outcome_list), outcome_list
        ),
    ]


def count_by_rule(findings: Iterable[Finding]) -> dict[str, int]:
    """Counts findings by the value of their rule."""
    return dict(collections.Counter(item.rule.value for item in findings))


def _format_shard(run: records.Run) -> str:
    return f"{run.server.rpartition('-')[0]}/{run.shard}"


def _group(
    runs: Iterable[records.Run], name: Callable[[records.Run], str]
) -> dict[str, list[records.Run]]:
    groups = collections.defaultdict(list)
    for run in runs:
        groups[name(run)].append(run)
    return groups


def _find_overlaps(shard: str, runs: list[records.Run]) -> Iterator[Finding]:
    """Finds runs of one shard that overlap on two servers.

    In order of their start, a run overlaps an earlier run of another server
    if and only if it starts before the latest end on that server, so only the
    run that ends last is kept for each server.
    """
    latest: dict[str, records.Run] = {}
    for run in sorted(runs, key=lambda item: item.start_ns):
        for server, other in latest.items():
            if server != run.server and other.end_ns > run.start_ns:
                yield Finding(
                    rule=Rule.TWO_OWNERS,
                    subject=shard,
                    explanation=(
                        f"{run.request_id} on {run.server} began"
                        f" {other.end_ns - run.start_ns} ns before"
                        f" {other.request_id} on {server} ended"
                    ),
                )
        known = latest.get(run.server)
        if known is None or run.end_ns > known.end_ns:
            latest[run.server] = run


def _find_fence_decreases(
    shard: str, runs: list[records.Run]
) -> Iterator[Finding]:
    highest = 0
    for run in sorted(runs, key=lambda item: item.end_ns):
        if run.fence < highest:
            yield Finding(
                rule=Rule.FENCE_FELL,
                subject=shard,
                explanation=(
                    f"{run.request_id} on {run.server} committed with"
                    f" fence {run.fence} after fence {highest}"
                ),
            )
        highest = max(highest, run.fence)


def _find_duplicate_commits(committed: list[records.Run]) -> Iterator[Finding]:
    named = (run for run in committed if run.idempotency_key)
    groups = _group(named, lambda run: run.idempotency_key)
    for key, runs in groups.items():
        if len(runs) > 1:
            places = ", ".join(f"{run.server}/{run.fence}" for run in runs)
            yield Finding(
                rule=Rule.RAN_TWICE,
                subject=key,
                explanation=f"committed {len(runs)} times: {places}",
            )


def _index_commits(
    committed: list[records.Run], outcomes: list[records.Outcome]
) -> _CommitIndex:
    send_counts = collections.Counter(
        item.idempotency_key for item in outcomes if item.idempotency_key
    )
    return _CommitIndex(
        request_ids=frozenset(run.request_id for run in committed),
        idempotency_keys=frozenset(run.idempotency_key for run in committed),
        repeated_keys=frozenset(
            key for key in send_counts if send_counts[key] > 1
        ),
    )


def _find_verdict_mismatches(
    commits: _CommitIndex, outcomes: list[records.Outcome]
) -> Iterator[Finding]:
    for item in outcomes:
        if item.fault and item.status == _OK:
            yield _make_finding(Rule.WRONG_ANSWER, item, item.fault)
        match item.verdict:
            case "not-run" if _is_send_committed(commits, item):
                yield _make_finding(
                    Rule.NOT_RUN_BUT_RAN, item, "the request was committed"
                )
            case "ran" if item.refusal and not _is_committed(commits, item):
                yield _make_finding(
                    Rule.RAN_BUT_MISSING, item, "no commit was recorded"
                )
            case "ran" if not _is_committed(commits, item):
                yield _make_finding(
                    _choose_missing_rule(item), item, "no commit was recorded"
                )


def _choose_missing_rule(item: records.Outcome) -> Rule:
    if item.method == _POST and item.status == _OK:
        return Rule.ACKNOWLEDGED_BUT_MISSING
    return Rule.RAN_BUT_MISSING


def _is_committed(commits: _CommitIndex, item: records.Outcome) -> bool:
    if item.idempotency_key:
        return item.idempotency_key in commits.idempotency_keys
    return item.request_id in commits.request_ids


def _is_send_committed(commits: _CommitIndex, item: records.Outcome) -> bool:
    """Returns whether this particular send was committed.

    If the caller sent the idempotency key several times, the commit may belong
    to another of these sends.
    """
    if item.request_id in commits.request_ids:
        return True
    is_only_send = item.idempotency_key not in commits.repeated_keys
    return (
        bool(item.idempotency_key)
        and is_only_send
        and item.idempotency_key in commits.idempotency_keys
    )


def _make_finding(
    rule: Rule, item: records.Outcome, explanation: str
) -> Finding:
    return Finding(
        rule=rule,
        subject=item.idempotency_key or item.request_id,
        explanation=(
            f"{item.method} {item.key} answered {item.status}"
            f" {item.verdict} {item.refusal}: {explanation}"
        ),
    )


def main(arguments: list[str]) -> int:
    """Checks a folder of records; returns 0 if there is no violation."""
    folder = pathlib.Path(arguments[0])
    findings = check(
        records.read_records(
            sorted(folder.glob("upstream-*.jsonl")), records.Run
        ),
        records.read_records(
            sorted(folder.rglob("caller-*.jsonl")), records.Outcome
        ),
    )
    print(f"{len(findings)} violations {count_by_rule(findings)}")
    for item in findings[:_MAX_PRINTED_FINDINGS]:
        print(f"  {item.rule.value} {item.subject}: {item.explanation}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
