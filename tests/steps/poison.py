"""Steps for finding requests that crash their upstreams."""

import itertools

import behave
from behave import runner

from rhubarblead import messages
from rhubarblead.requests import poison


@behave.given("a poison finder")
def make_finder(context: runner.Context) -> None:
    context.finder = poison.PoisonFinder()
    context.crash_ids = itertools.count()
    context.now_ms = 0


@behave.given("a poison finder that keeps {count:d} crashes")
def make_small_finder(context: runner.Context, count: int) -> None:
    make_finder(context)
    context.finder = poison.PoisonFinder(max_crashes=count)


def crash(context: runner.Context, names: str) -> messages.SuspectReport:
    return context.finder.take_crash(
        crash_id=f"crash-{next(context.crash_ids)}",
        fingerprints=[ord(name) for name in names],
        now_ms=context.now_ms,
    )


@behave.when('the poison finder sees "{events}"')
def see(context: runner.Context, events: str) -> None:
    for event in events.split():
        kind, names = event[0], event[1:]
        match kind:
            case "!":
                context.suspect = crash(context, names)
            case "=":
                context.finder.take_answer(ord(names))
            case "+":
                context.now_ms += int(names)
            case "@":
                context.finder.take_suspect(context.suspect, context.now_ms)
            case _:
                other = poison.PoisonFinder()
                suspect = other.take_crash(
                    crash_id="elsewhere",
                    fingerprints=[ord(name) for name in names],
                    now_ms=0,
                )
                frame = messages.encode(suspect)
                received = messages.decode(frame)
                assert isinstance(received, messages.SuspectReport)
                context.finder.take_suspect(received, context.now_ms)


@behave.then("the poison finder judges p as {first} and i as {second}")
def check_judgements(context: runner.Context, first: str, second: str) -> None:
    found = [
        context.finder.judge(ord(name), context.now_ms).value for name in "pi"
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
    found = [poison.find_fingerprint(*request) for request in requests]
    assert len(set(found)) == len(requests)
    assert found[0] == poison.find_fingerprint("POST", "/a", b"x")
