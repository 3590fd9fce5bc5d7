"""Steps for the logs of one process."""

import json
import os
import threading
from typing import Any
from unittest import mock

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.router import event_log

_PATIENCE_S = 60
_READ_BYTES = 2**20
_START_S = 1_000.0


def _open(context: runner.Context) -> None:
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    os.set_blocking(reader, False)
    context.reader = reader
    context.writer = writer
    patched = mock.patch.object(event_log, "time")
    context.clock_mock = patched.start().time
    context.clock_mock.return_value = _START_S
    context.add_cleanup(patched.stop)
    context.event_log = event_log.EventLog(instance="i-1", descriptor=writer)


def _read_lines(context: runner.Context) -> list[dict[str, Any]]:
    text = b""
    while True:
        try:
            text += os.read(context.reader, _READ_BYTES)
        except BlockingIOError:
            return [json.loads(line) for line in text.splitlines()]


def _tell_answer(context: runner.Context) -> None:
    context.event_log.emit(catalog.Event.ANSWER_RETURNED, request_id="r")


@behave.given("a journal")
def make(context: runner.Context) -> None:
    _open(context)


@behave.given("a journal whose output is full and read by nobody")
def make_full(context: runner.Context) -> None:
    _open(context)
    os.set_blocking(context.writer, False)
    try:
        while True:
            os.write(context.writer, b" " * 4_095 + b"\n")
    except BlockingIOError:
        return


@behave.when("{count:d} events of several kinds are told")
def tell_many(context: runner.Context, count: int) -> None:
    kinds = (
        catalog.Event.ANSWER_RETURNED,
        catalog.Event.ANSWER_OWN,
        catalog.Event.LINK_UP,
        catalog.Event.SERVER_REFUSED,
    )

    def tell() -> None:
        for number in range(count):
            context.clock_mock.return_value = _START_S + number / 100
            context.event_log.emit(kinds[number % len(kinds)], request_id="r")

    context.teller = threading.Thread(target=tell, daemon=True)
    context.teller.start()
    context.teller.join(_PATIENCE_S)


@behave.when(
    "the output is read again, and a second later one more event is told"
)
def read_again(context: runner.Context) -> None:
    while True:
        try:
            os.read(context.reader, _READ_BYTES)
        except BlockingIOError:
            break
    context.clock_mock.return_value = _START_S + 1_000
    context.event_log.emit(catalog.Event.LINK_DOWN, node_id="n")
    context.lines = _read_lines(context)


@behave.when(
    "{answers:d} answers and then {failures:d} failure are told within a second"
)
def tell_flood(context: runner.Context, answers: int, failures: int) -> None:
    for _ in range(answers):
        _tell_answer(context)
    for _ in range(failures):
        context.event_log.emit(catalog.Event.ANSWER_OWN, request_id="f")
    context.lines = _read_lines(context)


@behave.then("all of them were told without waiting")
def check_told(context: runner.Context) -> None:
    assert not context.teller.is_alive(), "the journal waits for its reader"


@behave.then("a line says how many were lost")
def check_lost(context: runner.Context) -> None:
    lost = [item for item in context.lines if "lost_count" in item]
    assert len(lost) == 1, context.lines
    assert lost[0]["event"] == "LINES_DROPPED"
    assert lost[0]["lost_count"] > 0


@behave.then("the last line is the event")
def check_last(context: runner.Context) -> None:
    assert context.lines[-1]["event"] == "LINK_DOWN", context.lines


@behave.then("the failure has a line")
def check_failure(context: runner.Context) -> None:
    assert any(item["event"] == "ANSWER_OWN" for item in context.lines)


@behave.then("{count:d} answers have a line")
def check_answers(context: runner.Context, count: int) -> None:
    found = [i for i in context.lines if i["event"] == "ANSWER_RETURNED"]
    assert len(found) == count, len(found)


@behave.then("a second later a line says that {count:d} were left out")
def check_left_out(context: runner.Context, count: int) -> None:
    context.clock_mock.return_value = _START_S + 1
    _tell_answer(context)
    first = _read_lines(context)[0]
    assert first["event"] == "LINES_DROPPED", first
    assert first["ANSWER_RETURNED"] == count, first


@behave.then("each line names its event, number, instance and time")
def check_lines(context: runner.Context) -> None:
    assert len(context.lines) == 2, context.lines
    for line in context.lines:
        event = catalog.Event[line["event"]]
        assert line["number"] == event.value.number, line
        assert line["instance"] == "i-1", line
        assert line["wall_ms"] == _START_S * 1_000, line
