"""Steps for the table of calls to peers."""

import behave
from behave import runner

from rhubarblead.transport import calls
from rhubarblead.transport import links


def _address(peer: str) -> links.Address:
    return links.Address("127.0.0.1", int(peer))


@behave.given("a call table with an acknowledgement timeout of {timeout:d} ms")
def given_table(context: runner.Context, timeout: int) -> None:
    context.calls = calls.CallTable(ack_timeout_ms=timeout)
    context.sent = 0
    context.ended_calls = []


@behave.given(
    'a call "{name}" to peer "{peer}" at {at:d} ms with its deadline at'
    " {deadline:d} ms"
)
def given_call(
    context: runner.Context, name: str, peer: str, at: int, deadline: int
) -> None:
    call = calls.Call(
        call_id=name, address=_address(peer), deadline_ms=deadline
    )
    context.calls.start(call=call, now_ms=at)


@behave.when('the call table receives "{received}" and is polled at {at:d} ms')
def when_received(context: runner.Context, received: str, at: int) -> None:
    if received.startswith("ack at "):
        context.calls.record_ack(
            call_id="a",
            address=_address("1"),
            now_ms=int(received.removeprefix("ack at ")),
        )
    context.resends, context.ended_calls = context.calls.tick(at)


@behave.when("the call table is polled every {step:d} ms until {until:d} ms")
def when_polled(context: runner.Context, step: int, until: int) -> None:
    context.sent = 1
    for now_ms in range(0, until, step):
        resends, ended_calls = context.calls.tick(now_ms)
        context.sent += sum(len(r.call_ids) for r in resends)
        context.ended_calls.extend(ended_calls)


@behave.when('the call table drops peer "{peer}"')
def when_dropped(context: runner.Context, peer: str) -> None:
    context.ended_calls = context.calls.drop_peer(_address(peer))


@behave.when('the call table gets a reply to "{name}" from peer "{peer}"')
def when_answered(context: runner.Context, name: str, peer: str) -> None:
    assert not context.calls.complete(
        call_id=name, address=_address(peer), now_ms=1
    )


@behave.then('the call table sends "{resent}" again and gives up "{given_up}"')
@behave.then('the call table sends "{resent}" again and gives up ""')
@behave.then('the call table sends "" again and gives up "{given_up}"')
@behave.then('the call table sends "" again and gives up ""')
def then_decided(
    context: runner.Context, resent: str = "", given_up: str = ""
) -> None:
    sent = [name for r in context.resends for name in r.call_ids]
    assert sent == ([resent] if resent else []), sent
    ended_calls = [ended.call_id for ended in context.ended_calls]
    assert ended_calls == ([given_up] if given_up else []), ended_calls


@behave.then('the call table has sent "{name}" {count:d} times and given it up')
def then_given_up(context: runner.Context, name: str, count: int) -> None:
    assert context.sent == count, context.sent
    assert [ended.call_id for ended in context.ended_calls] == [name]


@behave.then('the call table gives up "{name}" as possibly received')
def then_possibly_received(context: runner.Context, name: str) -> None:
    assert context.ended_calls == [calls.GiveUp(call_id=name, is_sent=True)]


@behave.then("the call table has {count:d} call left")
def then_left(context: runner.Context, count: int) -> None:
    assert len(context.calls) == count
