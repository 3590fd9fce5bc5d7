"""Checks the records of servers against the outcomes that callers received.

Each rule is one guarantee: each key has one owner, fences rise between owners,
an unsafe request runs at most once, a request refused as not run has not run,
answers are correct, servers run only requests that were sent, no server gets
more requests at once than it has slots, and a request that crashes servers
reaches few after the third.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import json
import pathlib
from typing import Any

from tools.soak import callers
from tools.soak import statement_audit

MAX_OVERLAP_MS = 500
"""The platform's rules let two servers hold the same key for this long."""

SAMPLE_INTERVAL_MS = 50
"""Interval between the times at which the held keys are compared."""

POISON_CRASH_COUNT = 3
POISON_SETTLE_MS = 3_000
MAX_LATE_POISON_RUNS = 3
"""The platform's rules let a request run so often later than so long after it
has crashed so many servers."""

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Rule(enum.Enum):
    """The guarantee that a finding violates."""

    OWNER = "two servers held the same keys"
    FENCE = "a server got keys with a fence that isn't above the earlier ones"
    TWICE = "a request that may run once ran twice"
    REFUSED = "a refusal said 'not run' of a request that has run"
    MIXED = "a caller got a wrong answer"
    UNASKED = "a server ran what nobody sent"
    OVERFULL = "a server got more requests than it has slots"
    BUDGET = "a request that crashes servers was sent to them again and again"
    LIMIT = "a server got more requests than the limit that it stated"
    DRAIN = "a server got requests after it had stated that it leaves"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One violated guarantee."""

    rule: Rule
    explanation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Span:
    """The ranges that a server held from one heartbeat reply to the next."""

    from_ms: float
    to_ms: float
    ranges: list[tuple[int, int, int]]


def read_records(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Reads the records of all servers, sorted by time.

    An unfinished line, as a killed server may leave it, is skipped.
    """
    records = []
    for path in paths:
        if not path.exists():
            continue
        for text in path.read_text().splitlines(keepends=True):
            if text.endswith("\n"):
                records.append(json.loads(text))
    return sorted(records, key=_get_time)


def check(
    *,
    outcomes: Iterable[callers.Outcome],
    records: list[dict[str, Any]],
    ended_ms: Mapping[str, float],
    disturbed_ms: Mapping[str, list[float]],
) -> list[Finding]:
    """Checks the results of one soak.

    Args:
        outcomes: Outcomes of the callers' requests.
        records: Records that the servers wrote, sorted by time.
        ended_ms: End times of server processes, by server name.
        disturbed_ms: Times at which a node's router was started, stopped,
            frozen or resumed, by node.
    """
    outcomes = list(outcomes)
    outcomes_by_id = {item.request_id: item for item in outcomes}
    runs = [record for record in records if record["kind"] == "run"]
    return [
        *_check_runs(outcomes_by_id, runs),
        *_check_answers(outcomes_by_id, runs),
        *(
            Finding(rule=Rule.OVERFULL, explanation=str(record))
            for record in records
            if record["kind"] == "overfull"
        ),
        *_check_poison(records),
        *(
            Finding(rule=Rule.LIMIT, explanation=text)
            for text in statement_audit.find_excesses(
                outcomes, records, disturbed_ms
            )
        ),
        *(
            Finding(rule=Rule.DRAIN, explanation=text)
            for text in statement_audit.find_late_sends(
                outcomes, records, disturbed_ms
            )
        ),
        *_check_fences(records),
        *_check_owners(_list_spans(records, ended_ms)),
    ]


def _check_runs(
    outcomes_by_id: Mapping[str, callers.Outcome], runs: list[dict[str, Any]]
) -> Iterable[Finding]:
    counts = collections.Counter(run["request_id"] for run in runs)
    for run in runs:
        sent = outcomes_by_id.get(run["request_id"])
        is_sent = (
            sent is not None
            and run["path"] == sent.path
            and run["key"] == sent.key
            and run["method"] == ("POST" if sent.is_unsafe else "GET")
        )
        if not is_sent:
            yield Finding(rule=Rule.UNASKED, explanation=str(run))
    for request_id, count in counts.items():
        sent = outcomes_by_id.get(request_id)
        if count > 1 and sent is not None and sent.is_unsafe:
            yield Finding(
                rule=Rule.TWICE, explanation=f"{request_id} ran {count} times"
            )


def _check_answers(
    outcomes_by_id: Mapping[str, callers.Outcome], runs: list[dict[str, Any]]
) -> Iterable[Finding]:
    ran = {run["request_id"] for run in runs}
    for item in outcomes_by_id.values():
        # A safe request may run again, so it may have run before it was
        # refused.
        is_claimed_not_run = item.status in _NOT_RUN_STATUSES and item.is_unsafe
        if is_claimed_not_run and item.request_id in ran:
            yield Finding(rule=Rule.REFUSED, explanation=str(item))
        if not item.is_correct:
            yield Finding(rule=Rule.MIXED, explanation=str(item))


def _check_poison(records: list[dict[str, Any]]) -> Iterable[Finding]:
    """Counts the crashes after the third that the routers could prevent."""
    crashes = [record for record in records if record["kind"] == "crash"]
    if len(crashes) < POISON_CRASH_COUNT:
        return
    settled_ms = crashes[POISON_CRASH_COUNT - 1]["at_ms"] + POISON_SETTLE_MS
    late_count = sum(record["at_ms"] > settled_ms for record in crashes)
    if late_count > MAX_LATE_POISON_RUNS:
        yield Finding(
            rule=Rule.BUDGET,
            explanation=f"{late_count} of {len(crashes)} crashes came late",
        )


def _check_fences(records: list[dict[str, Any]]) -> Iterable[Finding]:
    """Compares the fences of each key with those that other servers had."""
    fences = [0] * callers.KEY_COUNT
    holders = [""] * callers.KEY_COUNT
    checked: set[tuple[str, int, int, int]] = set()
    for record in records:
        if record["kind"] != "holds":
            continue
        server = record["server"]
        for first, last, fence, _ in record["ranges"]:
            grant = (server, first, last, fence)
            if grant in checked:
                continue
            checked.add(grant)
            key = _find_lower_key(fences, holders, grant)
            if key is not None:
                yield Finding(
                    rule=Rule.FENCE,
                    explanation=f"{server} got key {key} with fence {fence},"
                    f" {holders[key]} had fence {fences[key]}",
                )
            for held in range(first, last + 1):
                if fence >= fences[held]:
                    fences[held], holders[held] = fence, server


def _find_lower_key(
    fences: list[int],
    holders: list[str],
    grant: tuple[str, int, int, int],
) -> int | None:
    """Finds a granted key for which another server had such a fence."""
    server, first, last, fence = grant
    return next(
        (
            key
            for key in range(first, last + 1)
            if holders[key] not in ("", server) and fence <= fences[key]
        ),
        None,
    )


def _list_spans(
    records: list[dict[str, Any]], ended_ms: Mapping[str, float]
) -> dict[str, list[_Span]]:
    spans: dict[str, list[_Span]] = collections.defaultdict(list)
    for record in records:
        if record["kind"] != "holds":
            continue
        server = record["server"]
        before = spans[server]
        if before:
            before[-1] = dataclasses.replace(
                before[-1], to_ms=min(before[-1].to_ms, record["at_ms"])
            )
        ends = [row[3] for row in record["ranges"]]
        end_ms = min(ends) if ends else record["at_ms"]
        before.append(
            _Span(
                from_ms=record["at_ms"],
                to_ms=min(end_ms, ended_ms.get(server, end_ms)),
                ranges=[(row[0], row[1], row[2]) for row in record["ranges"]],
            )
        )
    return spans


def _check_owners(spans: dict[str, list[_Span]]) -> Iterable[Finding]:
    """Samples the held keys, and finds overlaps that last too long."""
    start_times = [
        s.from_ms for server_spans in spans.values() for s in server_spans
    ]
    if not start_times:
        return
    overlap_starts: dict[tuple[str, str], float] = {}
    now_ms = min(start_times)
    while now_ms <= max(start_times):
        pairs = _find_overlaps(spans, now_ms)
        overlap_starts = {
            pair: overlap_starts.get(pair, now_ms) for pair in pairs
        }
        for pair, began_ms in overlap_starts.items():
            if now_ms - began_ms > MAX_OVERLAP_MS:
                text = f"{pair} from {began_ms:.0f} ms, key {pairs[pair]}"
                yield Finding(rule=Rule.OWNER, explanation=text)
                return
        now_ms += SAMPLE_INTERVAL_MS


def _find_overlaps(
    spans: dict[str, list[_Span]], now_ms: float
) -> dict[tuple[str, str], int]:
    """Finds the pairs of servers that hold the same key at one time.

    Returns:
        A key that both hold, by the sorted names of the two servers.
    """
    held = []
    for server, server_spans in spans.items():
        index = bisect.bisect_right(server_spans, now_ms, key=_get_start) - 1
        if index >= 0 and now_ms < server_spans[index].to_ms:
            held += [
                (f, last, server) for f, last, _ in server_spans[index].ranges
            ]
    held.sort()
    pairs = {}
    covered_until, owner = -1, ""
    for first, last, server in held:
        if first <= covered_until and server != owner:
            low, high = sorted((server, owner))
            pairs[low, high] = first
        if last > covered_until:
            covered_until, owner = last, server
    return pairs


def _get_time(record: dict[str, Any]) -> float:
    at_ms: float = record["at_ms"]
    return at_ms


def _get_start(span: _Span) -> float:
    return span.from_ms
