"""Steps for the event log."""

import io
import json
import logging
import threading

import behave
from behave import runner

from rhubarblead.events import catalog
from rhubarblead.events import filters
from rhubarblead.events import log
from rhubarblead.events import shards

_WALL_MS = 5_000


@behave.given(
    'an event log of instance "{instance}" with a capacity of {capacity:d}'
    " events"
)
def given_log(context: runner.Context, instance: str, capacity: int) -> None:
    context.event_log = log.EventLog(
        instance=instance,
        timeline_capacity=capacity,
        read_wall_ms=lambda: _WALL_MS,
        read_monotonic_ms=lambda: 0,
    )


@behave.given('the event log writes at level "{level}"')
def given_writing(context: runner.Context, level: str) -> None:
    log.configure_logging(level)
    logger = logging.getLogger(log.LOGGER_NAME)
    context.event_text = io.StringIO()
    logger.handlers[0].setStream(context.event_text)
    context.add_cleanup(logger.handlers.clear)
    context.add_cleanup(logger.setLevel, logging.NOTSET)


@behave.when("the event log records {name:w} with {fields}")
def emit(context: runner.Context, name: str, fields: str) -> None:
    context.event_log.emit(catalog.Event[name], **json.loads(fields))


@behave.when("the event log records {name:w} {count:d} times")
def emit_many(context: runner.Context, count: int, name: str) -> None:
    for _ in range(count):
        context.event_log.emit(catalog.Event[name])


@behave.when("the event log observes the Lamport time {lamport:d}")
def observe(context: runner.Context, lamport: int) -> None:
    context.event_log.observe(lamport)


@behave.when(
    "{threads:d} threads each record {count:d} events in the event log"
)
def emit_in_threads(context: runner.Context, threads: int, count: int) -> None:
    def emit_events() -> None:
        for _ in range(count):
            context.event_log.emit(catalog.Event.REQUEST_STARTED)

    running = [threading.Thread(target=emit_events) for _ in range(threads)]
    for thread in running:
        thread.start()
    for thread in running:
        thread.join()


@behave.then("{count:d} JSON line is written")
def check_lines(context: runner.Context, count: int) -> None:
    lines = context.event_text.getvalue().splitlines()
    assert len(lines) == count, lines


@behave.then("the JSON line {number:d} has")
def check_line(context: runner.Context, number: int) -> None:
    line = json.loads(context.event_text.getvalue().splitlines()[number - 1])
    for row in context.table:
        expected = row["value"]
        found = line[row["field"]]
        text = found if isinstance(found, str) else json.dumps(found)
        assert text == expected, (row["field"], text)


@behave.then("the event log lists {count:d} events, the first being {name:w}")
def check_first(context: runner.Context, count: int, name: str) -> None:
    events = context.event_log.list_events()
    assert [len(events), events[0].name] == [count, name], events


@behave.then("the event log lists {count:d} events for {criteria}")
def check_filtered(context: runner.Context, count: int, criteria: str) -> None:
    events = context.event_log.list_events(
        filters.Filter(**json.loads(criteria))
    )
    assert len(events) == count, events


@behave.then("the event log's last Lamport time is {lamport:d}")
def check_lamport(context: runner.Context, lamport: int) -> None:
    assert context.event_log.list_events()[-1].lamport == lamport


@behave.then("the event log's next message has the Lamport time {lamport:d}")
def check_tick(context: runner.Context, lamport: int) -> None:
    assert context.event_log.tick() == lamport


@behave.then("the event log's sequence numbers are 1 to {last:d}")
def check_sequence(context: runner.Context, last: int) -> None:
    events = context.event_log.list_events()
    assert [e.sequence for e in events] == list(range(1, last + 1))


@behave.given("the event's shards {numbers}")
def given_shards(context: runner.Context, numbers: str) -> None:
    context.event_shards = json.loads(numbers)


@behave.then('the event\'s shards are formatted as "{text}"')
@behave.then('the event\'s shards are formatted as ""')
def check_shards(context: runner.Context, text: str = "") -> None:
    assert shards.format_shards(context.event_shards) == text


@behave.then("the event's field {value} contains shard {shard:d}: {answer}")
def check_shard(
    context: runner.Context, value: str, shard: int, answer: str
) -> None:
    assert shards.has_shard(json.loads(value), shard) == (answer == "yes")


@behave.then("the numbers of the event catalogue increase")
def check_numbers(context: runner.Context) -> None:
    numbers = [event.number for event in catalog.Event]
    assert numbers == sorted(set(numbers))
    assert len(catalog.Event.__members__) == len(numbers)


@behave.then(
    'event logs of two runs of instance "{instance}" differ in their'
    " incarnation"
)
def check_runs(context: runner.Context, instance: str) -> None:
    found = set()
    for _ in range(2):
        events = log.EventLog(instance=instance, timeline_capacity=2)
        events.emit(catalog.Event.NODE_STARTED)
        found.add(events.list_events()[0].incarnation)
    assert len(found) == 2 and "" not in found, found
