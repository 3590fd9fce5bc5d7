"""Steps for the placement of requests without a key."""

import collections
import random

import behave
from behave import runner

from rhubarblead.requests import placement


def _read_candidate(word: str) -> placement.Candidate:
    name, domain, wait, age, service = word.split(":")
    return placement.Candidate(
        node_id=name,
        is_same_domain=domain == "h",
        wait_ms=float(wait),
        age_ms=float(age),
        service_ms=int(service),
    )


# Such a target leaves 4 ms for staying in a failure domain.
_TARGET_MS = 20


@behave.given('placement candidates "{candidates}"')
def make(context: runner.Context, candidates: str) -> None:
    context.candidates = [_read_candidate(word) for word in candidates.split()]


@behave.given("a target of {target:d} ms")
def set_target(context: runner.Context, target: int) -> None:
    context.target_ms = target


@behave.when("a {kind:w} is placed")
def place_first(context: runner.Context, kind: str) -> None:
    place_with_all(context, kind, "", "")


@behave.when(
    'a {kind:w} is placed after refusals by "{refused}", excluding'
    ' "{excluded}"'
)
def place_with_all(
    context: runner.Context, kind: str, refused: str, excluded: str
) -> None:
    waits = {}
    for word in refused.split():
        name, wait = word.split(":")
        waits[name] = int(wait)
    context.choice = placement.choose(
        candidates=context.candidates,
        refused_waits=waits,
        excluded=set(excluded.split()),
        is_download=kind == "download",
        target_ms=getattr(context, "target_ms", _TARGET_MS),
        random_source=random.Random(1),
    )


@behave.when('a {kind:w} is placed after refusals by "", excluding ""')
def place(context: runner.Context, kind: str) -> None:
    place_with_all(context, kind, "", "")


@behave.when('a {kind:w} is placed after refusals by "{refused}", excluding ""')
def place_refused(context: runner.Context, kind: str, refused: str) -> None:
    place_with_all(context, kind, refused, "")


@behave.when(
    'a {kind:w} is placed after refusals by "", excluding "{excluded}"'
)
def place_excluded(context: runner.Context, kind: str, excluded: str) -> None:
    place_with_all(context, kind, "", excluded)


@behave.given(
    "{slow:d} placement candidates with a service time of {ms:d} ms and"
    " {fast:d} with {fast_ms:d} ms"
)
def make_many(
    context: runner.Context, slow: int, ms: int, fast: int, fast_ms: int
) -> None:
    times = [ms] * slow
    for number in range(fast):
        times.insert(number * slow // fast, fast_ms)
    context.candidates = [
        _read_candidate(f"n{number}:x:0:0:{time_ms}")
        for number, time_ms in enumerate(times)
    ]


@behave.when("{count:d} lookups are placed with the same reports")
def place_many(context: runner.Context, count: int) -> None:
    source = random.Random(3)
    choices = [
        placement.choose(
            candidates=context.candidates,
            refused_waits={},
            excluded=set(),
            is_download=False,
            target_ms=_TARGET_MS,
            random_source=source,
        )
        for _ in range(count)
    ]
    context.counts = collections.Counter(c.node_id for c in choices if c)


@behave.then("each candidate gets at least {least:d} of them")
def check_least(context: runner.Context, least: int) -> None:
    counts = [
        context.counts[candidate.node_id] for candidate in context.candidates
    ]
    assert min(counts) >= least, counts


@behave.then("no candidate gets more than {most:d}")
def check_most(context: runner.Context, most: int) -> None:
    assert max(context.counts.values()) <= most, context.counts


@behave.then("the {count:d} fastest candidates get at least {least:d} together")
def check_fast(context: runner.Context, count: int, least: int) -> None:
    found = sorted(
        context.candidates, key=lambda candidate: candidate.service_ms
    )[:count]
    total = sum(context.counts[candidate.node_id] for candidate in found)
    assert total >= least, total


@behave.then("it goes to {choice}")
def check(context: runner.Context, choice: str) -> None:
    found = context.choice
    text = "nowhere"
    if found is not None:
        text = found.node_id + (" may wait" if found.may_wait else "")
    assert text == choice, text
