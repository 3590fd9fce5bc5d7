"""Steps for the event log of the router."""

import json
import os
import threading
from typing import Any
from unittest import mock

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.router import event_log

_EMIT_TIMEOUT_S = 60
_READ_BYTES = 2**20
_START_TIME_S = 1_000.0


def _open(context: runner.Context) -> None:
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    os.set_blocking(reader, False)
    context.reader = reader
    context.writer = writer
    patched = mock.patch.object(event_log, "time")
    context.clock_mock = patched.start().time
    context.clock_mock.return_value = _START_TIME_S
    context.add_cleanup(patched.stop)
    context.event_log = event_log.EventLog(instance="i-1", descriptor=writer)


def _read_lines(context: runner.Context) -> list[dict[str, Any]]:
    text = b""
    while True:
        try:
            text += os.read(context.reader, _READ_BYTES)
        except BlockingIOError:
            return [json.loads(line) for line in text.splitlines()]


def _emit_answer(context: runner.Context) -> None:
    context.event_log.emit(catalog.Event.ANSWER_RETURNED, request_id="r")


@behave.given("an event log")
def make(context: runner.Context) -> None:
    _open(context)


@behave.given("an event log whose output pipe is full and unread")
def make_blocked(context: runner.Context) -> None:
    _open(context)
    os.set_blocking(context.writer, False)
    try:
        while True:
            os.write(context.writer, b" " * 4_095 + b"\n")
    except BlockingIOError:
        return


@behave.when("{count:d} events of several kinds are emitted")
def emit_many(context: runner.Context, count: int) -> None:
    kinds = (
        catalog.Event.ANSWER_RETURNED,
        catalog.Event.ANSWER_OWN,
        catalog.Event.LINK_UP,
        catalog.Event.SERVER_REFUSED,
    )

    def emit_all() -> None:
        for number in range(count):
            context.clock_mock.return_value = _START_TIME_S + number / 100
            context.event_log.emit(kinds[number % len(kinds)], request_id="r")

    context.emitter = threading.Thread(target=emit_all, daemon=True)
    context.emitter.start()
    context.emitter.join(_EMIT_TIMEOUT_S)


@behave.when(
    "the output is drained and one more event is emitted a second later"
)
def drain_and_emit(context: runner.Context) -> None:
    while True:
        try:
            os.read(context.reader, _READ_BYTES)
        except BlockingIOError:
            break
    context.clock_mock.return_value = _START_TIME_S + 1_000
    context.event_log.emit(catalog.Event.LINK_DOWN, node_id="n")
    context.lines = _read_lines(context)


@behave.when(
    "{answers:d} answers and then {failures:d} failure are emitted in a second"
)
def emit_burst(context: runner.Context, answers: int, failures: int) -> None:
    for _ in range(answers):
        _emit_answer(context)
    for _ in range(failures):
        context.event_log.emit(catalog.Event.ANSWER_OWN, request_id="f")
    context.lines = _read_lines(context)


@behave.then("all of them were emitted without blocking")
def check_not_blocked(context: runner.Context) -> None:
    assert not context.emitter.is_alive(), "the event log blocked on its output"


@behave.then("a line reports how many were lost")
def check_lost(context: runner.Context) -> None:
    lost = [item for item in context.lines if "lost_count" in item]
    assert len(lost) == 1, context.lines
    assert lost[0]["event"] == "LINES_DROPPED"
    assert lost[0]["lost_count"] > 0


@behave.then("the last line is the emitted event")
def check_last(context: runner.Context) -> None:
    assert context.lines[-1]["event"] == "LINK_DOWN", context.lines


@behave.then("the failure is logged")
def check_failure(context: runner.Context) -> None:
    assert any(item["event"] == "ANSWER_OWN" for item in context.lines)


@behave.then("{count:d} answers are logged")
def check_answers(context: runner.Context, count: int) -> None:
    found = [i for i in context.lines if i["event"] == "ANSWER_RETURNED"]
    assert len(found) == count, len(found)


@behave.then("a second later a line reports that {count:d} were dropped")
def check_dropped(context: runner.Context, count: int) -> None:
    context.clock_mock.return_value = _START_TIME_S + 1
    _emit_answer(context)
    first = _read_lines(context)[0]
    assert first["event"] == "LINES_DROPPED", first
    assert first["ANSWER_RETURNED"] == count, first


@behave.then("each line contains its event, number, instance and time")
def check_lines(context: runner.Context) -> None:
    assert len(context.lines) == 2, context.lines
    for line in context.lines:
        event = catalog.Event[line["event"]]
        assert line["number"] == event.value.number, line
        assert line["instance"] == "i-1", line
        assert line["wall_ms"] == _START_TIME_S * 1_000, line
