"""Checks what servers recorded against what callers were told.

Each rule is one promise: one owner a key, rising fences, nothing runs twice
that may run once, no refusal of what has run, no wrong answer, nothing that
nobody sent, never more at a server than its slots.
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

OVERLAP_MS = 500
"""Two servers may hold the same keys for so long (the platform's rules)."""

SAMPLE_MS = 50
"""Between the moments at which holds are compared."""

_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class Rule(enum.Enum):
    """What a finding breaks."""

    OWNER = "two servers held the same keys"
    FENCE = "a server got keys with a fence that isn't above the earlier ones"
    TWICE = "a request that may run once ran twice"
    REFUSED = "a refusal said 'not run' of a request that has run"
    MIXED = "a caller got a wrong answer"
    UNASKED = "a server ran what nobody sent"
    OVERFULL = "a server got more requests than it has slots"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One broken promise."""

    rule: Rule
    explanation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Span:
    """What a server held, from one answer of its node to the next."""

    from_ms: float
    to_ms: float
    ranges: list[tuple[int, int, int]]


def read_lines(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Reads the records of all servers, in the order of their time.

    A line that a killed server has left unfinished is passed over.
    """
    lines = []
    for path in paths:
        if not path.exists():
            continue
        for text in path.read_text().splitlines(keepends=True):
            if text.endswith("\n"):
                lines.append(json.loads(text))
    return sorted(lines, key=_get_at)


def check(
    *,
    outcomes: Iterable[callers.Outcome],
    lines: list[dict[str, Any]],
    ended_ms: Mapping[str, float],
) -> list[Finding]:
    """Checks one run.

    Args:
        outcomes: What callers were told.
        lines: What the servers recorded.
        ended_ms: When lives of servers ended, by the server's name.
    """
    told = {item.request_id: item for item in outcomes}
    runs = [line for line in lines if line["kind"] == "run"]
    return [
        *_check_runs(told, runs),
        *_check_answers(told, runs),
        *(
            Finding(rule=Rule.OVERFULL, explanation=str(line))
            for line in lines
            if line["kind"] == "overfull"
        ),
        *_check_fences(lines),
        *_check_owners(_list_spans(lines, ended_ms)),
    ]


def _check_runs(
    told: Mapping[str, callers.Outcome], runs: list[dict[str, Any]]
) -> Iterable[Finding]:
    counts = collections.Counter(run["request_id"] for run in runs)
    for run in runs:
        sent = told.get(run["request_id"])
        is_sent = (
            sent is not None
            and run["path"] == sent.path
            and run["key"] == sent.key
            and run["method"] == ("POST" if sent.is_once else "GET")
        )
        if not is_sent:
            yield Finding(rule=Rule.UNASKED, explanation=str(run))
    for request_id, count in counts.items():
        sent = told.get(request_id)
        if count > 1 and sent is not None and sent.is_once:
            yield Finding(
                rule=Rule.TWICE, explanation=f"{request_id} ran {count} times"
            )


def _check_answers(
    told: Mapping[str, callers.Outcome], runs: list[dict[str, Any]]
) -> Iterable[Finding]:
    ran = {run["request_id"] for run in runs}
    for item in told.values():
        # What may run more often may have run before it was refused.
        is_promise = item.status in _PROMISES_NOT_RUN and item.is_once
        if is_promise and item.request_id in ran:
            yield Finding(rule=Rule.REFUSED, explanation=str(item))
        if not item.is_right:
            yield Finding(rule=Rule.MIXED, explanation=str(item))


def _check_fences(lines: list[dict[str, Any]]) -> Iterable[Finding]:
    """Compares the fence of each grant with those of other servers."""
    known: dict[int, tuple[int, str]] = {}
    for line in lines:
        if line["kind"] != "holds":
            continue
        for first, last, fence, _ in line["ranges"]:
            for key in (first, last):
                highest, holder = known.get(key, (0, ""))
                if holder not in ("", line["server"]) and fence <= highest:
                    yield Finding(
                        rule=Rule.FENCE,
                        explanation=f"{line['server']} got {key} with {fence},"
                        f" {holder} had it with {highest}",
                    )
                if fence >= highest:
                    known[key] = (fence, line["server"])


def _list_spans(
    lines: list[dict[str, Any]], ended_ms: Mapping[str, float]
) -> dict[str, list[_Span]]:
    spans: dict[str, list[_Span]] = collections.defaultdict(list)
    for line in lines:
        if line["kind"] != "holds":
            continue
        server = line["server"]
        before = spans[server]
        if before:
            before[-1] = dataclasses.replace(
                before[-1], to_ms=min(before[-1].to_ms, line["at_ms"])
            )
        ends = [row[3] for row in line["ranges"]]
        end_ms = min(ends) if ends else line["at_ms"]
        before.append(
            _Span(
                from_ms=line["at_ms"],
                to_ms=min(end_ms, ended_ms.get(server, end_ms)),
                ranges=[(row[0], row[1], row[2]) for row in line["ranges"]],
            )
        )
    return spans


def _check_owners(spans: dict[str, list[_Span]]) -> Iterable[Finding]:
    """Samples what is held, and finds overlaps that last too long."""
    moments = [s.from_ms for listed in spans.values() for s in listed]
    if not moments:
        return
    since: dict[tuple[str, str], float] = {}
    now_ms = min(moments)
    while now_ms <= max(moments):
        pairs = _find_overlaps(spans, now_ms)
        since = {pair: since.get(pair, now_ms) for pair in pairs}
        for pair, began_ms in since.items():
            if now_ms - began_ms > OVERLAP_MS:
                text = f"{pair} from {began_ms:.0f}, key {pairs[pair]}"
                yield Finding(rule=Rule.OWNER, explanation=text)
                return
        now_ms += SAMPLE_MS


def _find_overlaps(
    spans: dict[str, list[_Span]], now_ms: float
) -> dict[tuple[str, str], int]:
    """Finds pairs of servers that hold the same key at a moment."""
    held = []
    for server, listed in spans.items():
        index = bisect.bisect_right(listed, now_ms, key=_get_from) - 1
        if index >= 0 and now_ms < listed[index].to_ms:
            held += [(f, last, server) for f, last, _ in listed[index].ranges]
    held.sort()
    pairs = {}
    reached, owner = -1, ""
    for first, last, server in held:
        if first <= reached and server != owner:
            low, high = sorted((server, owner))
            pairs[low, high] = first
        if last > reached:
            reached, owner = last, server
    return pairs


def _get_at(line: dict[str, Any]) -> float:
    at_ms: float = line["at_ms"]
    return at_ms


def _get_from(span: _Span) -> float:
    return span.from_ms
