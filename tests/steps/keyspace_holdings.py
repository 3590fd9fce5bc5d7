"""Steps for the keys that a server holds."""

import behave
from behave import runner

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import holdings

_HEARTBEAT_MS = 870
_LEASE_MS = 13_000
_MAX_HOLD_MS = 10_000
_TOKEN = "token"
_ELAPSED_MS = 3


def _read_spans(text: str) -> list[tuple[int, int]]:
    spans = []
    for word in text.split():
        first, last = word.split("-")
        spans.append((int(first), int(last)))
    return spans


def _update_owned(context: runner.Context) -> None:
    context.holdings.update_owned(
        assignment.KeyRange(first=first, last=last, owner="own", fence=1)
        for first, last in context.spans
    )


def _send_heartbeat(
    context: runner.Context, *, step: int, has_released: bool
) -> None:
    context.sequence += step
    kept = context.spans
    freed = []
    if has_released:
        kept = [span for span in kept if span != context.released]
        freed = [(*context.released, _TOKEN)]
    context.holdings.record_heartbeat(
        sequence=context.sequence,
        held=[(first, last, 1) for first, last in kept],
        freed=freed,
        now_ms=context.now_ms,
    )


def _make_reply(context: runner.Context, lease_ms: int = _LEASE_MS) -> None:
    context.reply = context.holdings.make_reply(
        heartbeat_ms=_HEARTBEAT_MS,
        lease_ms=lease_ms,
        now_ms=context.now_ms,
        max_hold_ms=_MAX_HOLD_MS,
    )


@behave.given('a server that holds "{text}" with a hold of {hold:d} ms')
def make(context: runner.Context, text: str, hold: int) -> None:
    context.now_ms = 1_000
    context.sequence = 1
    context.spans = _read_spans(text)
    context.holdings = holdings.Holdings(held_until_ms=0)
    _update_owned(context)
    _send_heartbeat(context, step=0, has_released=False)
    _make_reply(context)
    assert context.reply.hold_ms == hold
    context.now_ms += _ELAPSED_MS


@behave.given("a server whose node has just started")
def make_fresh(context: runner.Context) -> None:
    context.now_ms = 1_000
    context.sequence = 1
    context.spans = [(0, 99)]
    context.holdings = holdings.Holdings(
        held_until_ms=context.now_ms + _MAX_HOLD_MS
    )
    _update_owned(context)


@behave.when("the hold of the earlier process ends after {hold:d} ms")
def set_previous_hold_end(context: runner.Context, hold: int) -> None:
    context.holdings.set_previous_hold_end(context.now_ms + hold)


@behave.when(
    "its range {first:d}-{last:d} is to be transferred to another owner"
)
def release(context: runner.Context, first: int, last: int) -> None:
    context.released = (first, last)
    context.holdings.start_release(
        [assignment.Transfer(first=first, last=last, owner="other")]
    )


@behave.when("the assignment is read again")
def read_again(context: runner.Context) -> None:
    _update_owned(context)


@behave.when('its events are "{events}"')
def run_events(context: runner.Context, events: str) -> None:
    for word in events.split():
        match word:
            case "a":
                _make_reply(context)
            case "b":
                _send_heartbeat(context, step=1, has_released=False)
            case "r":
                _send_heartbeat(context, step=1, has_released=True)
            case "s":
                _send_heartbeat(context, step=0, has_released=True)
            case _:
                context.now_ms += int(word)
                context.holdings.expire_releases(context.now_ms)


@behave.when("it gets a reply while the lease lasts {lease:d} ms")
def make_reply(context: runner.Context, lease: int) -> None:
    _make_reply(context, lease)


@behave.then('the released ranges are "{text}"')
def check_released(context: runner.Context, text: str) -> None:
    found = [
        f"{transfer.first}-{transfer.last}"
        + (f":{transfer.handover}" * bool(transfer.handover))
        for transfer in context.holdings.list_released()
    ]
    assert " ".join(found) == text, found


@behave.then('the released ranges are ""')
def check_none_released(context: runner.Context) -> None:
    assert not context.holdings.list_released()


@behave.then('the reply grants "{text}"')
def check_granted(context: runner.Context, text: str) -> None:
    found = [f"{item.first}-{item.last}" for item in context.reply.ranges]
    assert " ".join(found) == text, found


@behave.then("nothing is granted")
def check_nothing(context: runner.Context) -> None:
    assert context.reply.ranges is None


@behave.then("the hold is {hold:d} ms")
def check_hold(context: runner.Context, hold: int) -> None:
    assert context.reply.hold_ms == hold, context.reply.hold_ms


@behave.then("key {key:d} is held")
def check_held(context: runner.Context, key: int) -> None:
    assert context.holdings.is_held(key, context.now_ms)


@behave.then("key {key:d} is not held")
def check_not_held(context: runner.Context, key: int) -> None:
    assert not context.holdings.is_held(key, context.now_ms)
