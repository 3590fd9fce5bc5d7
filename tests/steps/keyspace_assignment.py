"""Steps for assignments of keys."""

import random

import behave
from behave import runner

from rhubarblead.keyspace import assignment

_NO_OWNER = "-"


def read_assignment(text: str) -> assignment.Assignment:
    """Parses ranges such as "0-99:a/4:token"."""
    ranges = []
    for word in text.split():
        span, owner, *token = word.split(":")
        first, last = span.split("-")
        name, fence = owner.split("/")
        ranges.append(
            assignment.KeyRange(
                first=int(first),
                last=int(last),
                owner="" if name == _NO_OWNER else name,
                fence=int(fence),
                handover=token[0] if token else "",
            )
        )
    fence = max(item.fence for item in ranges)
    return assignment.Assignment(fence=fence, ranges=tuple(ranges))


def read_transfers(text: str) -> list[assignment.Transfer]:
    """Parses transfers such as "0-99:a:token"."""
    transfers = []
    for word in text.split():
        span, owner, *token = word.split(":")
        first, last = span.split("-")
        transfers.append(
            assignment.Transfer(
                first=int(first),
                last=int(last),
                owner="" if owner == _NO_OWNER else owner,
                handover=token[0] if token else "",
            )
        )
    return transfers


def describe(value: assignment.Assignment) -> str:
    """Formats ranges in the form that `read_assignment` parses."""
    words = []
    for item in value.ranges:
        token = f":{item.handover}" if item.handover else ""
        owner = item.owner or _NO_OWNER
        words.append(f"{item.first}-{item.last}:{owner}/{item.fence}{token}")
    return " ".join(words)


@behave.given('an assignment "{text}"')
def make(context: runner.Context, text: str) -> None:
    context.assignment = read_assignment(text)


@behave.given("an assignment of {count:d} ranges to {owners:d} owners")
def make_many(context: runner.Context, count: int, owners: int) -> None:
    size = assignment.KEY_COUNT // count
    transfers = [
        assignment.Transfer(
            first=number * size,
            last=(number + 1) * size - 1,
            owner=f"n{number % owners}",
        )
        for number in range(count)
    ]
    context.assignment = assignment.make_empty().apply(transfers)


@behave.when('transfers "{text}" are applied')
def apply(context: runner.Context, text: str) -> None:
    context.earlier = context.assignment
    context.assignment = context.assignment.apply(read_transfers(text))


@behave.when("{count:d} random transfers are applied with seed {seed:d}")
def apply_random(context: runner.Context, count: int, seed: int) -> None:
    source = random.Random(seed)
    context.fences = []
    for _ in range(count):
        first = source.randrange(assignment.KEY_COUNT)
        last = min(assignment.KEY_COUNT - 1, first + source.randrange(9_000))
        before = max(
            item.fence
            for item in context.assignment.list_overlapping(first, last)
        )
        context.assignment = context.assignment.apply(
            [
                assignment.Transfer(
                    first=first, last=last, owner=source.choice("abc")
                )
            ]
        )
        context.fences.append((before, context.assignment.find(first).fence))


@behave.then('the assignment is "{text}"')
def check(context: runner.Context, text: str) -> None:
    assert describe(context.assignment) == text, describe(context.assignment)


@behave.then("it is unchanged after encoding and decoding")
def check_codec(context: runner.Context) -> None:
    decoded = assignment.decode(context.assignment.encode())
    assert describe(decoded) == describe(context.assignment)
    assert decoded.fence == context.assignment.fence


@behave.then('the bytes "{text}" are not a valid assignment')
def check_malformed(context: runner.Context, text: str) -> None:
    del context
    try:
        assignment.decode(bytes.fromhex(text))
    except assignment.CannotDecode:
        return
    raise AssertionError("malformed bytes were decoded")


@behave.then("each transfer's fence was above all earlier fences of its keys")
def check_fences(context: runner.Context) -> None:
    assert all(after > before for before, after in context.fences)


@behave.then("at most {count:d} ranges are new objects")
def check_new(context: runner.Context, count: int) -> None:
    kept = {id(item) for item in context.earlier.ranges}
    new = [i for i in context.assignment.ranges if id(i) not in kept]
    assert len(new) <= count, len(new)
