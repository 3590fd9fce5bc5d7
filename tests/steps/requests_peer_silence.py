"""Steps for telling which nodes have fallen silent."""

import behave
from behave import runner

from rhubarblead.requests import peer_silence

_NODE = "n2"
_CHECK_MS = 50


@behave.given("a node to which a request was sent at {sent:d} ms")
def send(context: runner.Context, sent: int) -> None:
    context.silence = peer_silence.PeerSilence()
    context.sent_ms = context.now_ms = sent
    context.probe_count = 0
    context.silence.record_sent(_NODE, sent)


@behave.given("probes were answered in {latency:d} ms before")
def answer_probe(context: runner.Context, latency: int) -> None:
    silence = peer_silence.PeerSilence()
    sent_ms = context.sent_ms - latency - peer_silence.PROBE_AFTER_MS
    silence.record_sent(_NODE, sent_ms)
    silence.check(sent_ms + peer_silence.PROBE_AFTER_MS)
    silence.record_reply(_NODE, context.sent_ms, is_to_probe=True)
    silence.record_sent(_NODE, context.sent_ms)
    context.silence = silence


@behave.when("checks are made each 50 ms until {until:d} ms, without a reply")
def check(context: runner.Context, until: int) -> None:
    while context.now_ms < until:
        context.now_ms += _CHECK_MS
        found = context.silence.check(context.now_ms)
        context.probe_count += len(found.to_probe)


@behave.when("the next check is made {late:d} ms late")
def check_late(context: runner.Context, late: int) -> None:
    context.now_ms += _CHECK_MS + late
    context.silence.check(context.now_ms, late_ms=late)


@behave.when("the node replies at {replied:d} ms")
def reply(context: runner.Context, replied: int) -> None:
    context.now_ms = replied
    context.silence.record_reply(_NODE, replied, is_to_probe=True)


@behave.when("another request is sent to it at {sent:d} ms")
def send_again(context: runner.Context, sent: int) -> None:
    context.now_ms = sent
    context.silence.record_sent(_NODE, sent)


@behave.then("the node was probed {count:d} times, and is {state:w}")
def check_state(context: runner.Context, count: int, state: str) -> None:
    assert context.probe_count == count, context.probe_count
    assert context.silence.is_silent(_NODE) == (state == "silent")
