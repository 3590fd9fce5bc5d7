"""Steps for reads, writes and updates of a node."""

import random

import behave
from behave import runner

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import selection
from rhubarblead.node.ownership import fanout
from rhubarblead.node.ownership import reading
from rhubarblead.node.ownership import writing
from tests.rhubarblead import fixtures

_TICK_MS = 50
_RUN_MS = 10_000
_PLATFORM = settings.Platform.model_construct(poll_ms=250, pollers_per_domain=2)
_PROPOSAL = writing.Proposal(
    write_id="1",
    purpose=writing.Purpose.PLAN,
    state=ownership.State(),
    changes=(),
)


@behave.given("the state of a node's writes")
def given_writes(context: runner.Context) -> None:
    context.writes = writing.WriteState()
    context.now_ms = 1_000


@behave.when("these write events happen: {events}")
def run_events(context: runner.Context, events: str) -> None:
    for event in events.split(", "):
        _run_event(context, event)


def _run_event(context: runner.Context, event: str) -> None:
    writes = context.writes
    match event.split():
        case ["begin"]:
            assert writes.is_free(context.now_ms)
            writes.begin(_PROPOSAL)
        case ["done"]:
            writes.end(context.now_ms, is_delayed=False)
        case ["refused"]:
            writes.end(context.now_ms, is_delayed=True)
        case ["in_doubt"]:
            writes.mark_in_doubt(context.now_ms)
        case ["query"]:
            assert writes.take_in_doubt(context.now_ms) is _PROPOSAL
        case ["pass", duration_ms]:
            context.now_ms += int(duration_ms)


@behave.then("the node's writes are {state}")
def check_writes(context: runner.Context, state: str) -> None:
    found = "waiting"
    if context.writes.take_in_doubt(context.now_ms):
        found = "due for a query"
    elif context.writes.is_free(context.now_ms):
        found = "free"
    assert found == state, found


@behave.given("{count:d} write conflicts for plans")
def given_conflicts(context: runner.Context, count: int) -> None:
    context.backoff = writing.ConflictBackoff(rng=random.Random(1))
    for _ in range(count):
        context.backoff.record_conflict(writing.Purpose.PLAN, 0)


@behave.then("the next write for plans waits at most {most_ms:d} ms")
def check_plans(context: runner.Context, most_ms: int) -> None:
    assert context.backoff.is_due(writing.Purpose.PLAN, most_ms)


@behave.then("the next write for evictions waits at most {most_ms:d} ms")
def check_evictions(context: runner.Context, most_ms: int) -> None:
    assert context.backoff.is_due(writing.Purpose.EVICT, most_ms)


@behave.given("a read schedule with polls every 250 ms")
def given_schedule(context: runner.Context) -> None:
    context.reads = reading.ReadSchedule(platform=_PLATFORM)


@behave.when(
    "a node that is {role} runs for 10 seconds and has contact {contact},"
    " with reads that take {take_ms:d} ms"
)
def run_reads(
    context: runner.Context, role: str, contact: str, take_ms: int
) -> None:
    context.count = 0
    ends_ms = None
    # Monotonic clocks do not start at 0.
    for now_ms in range(5_000, 5_000 + _RUN_MS, _TICK_MS):
        if contact == "always":
            context.reads.record_contact(now_ms)
        if ends_ms is not None and now_ms >= ends_ms:
            context.reads.end_ownership(is_successful=True)
            ends_ms = None
        if context.reads.begin_ownership(
            now_ms=now_ms, is_poller=role == "a poller"
        ):
            context.count += 1
            ends_ms = now_ms + take_ms


@behave.when("a node with contact requests a read, and {count:d} reads fail")
def when_reads_fail(context: runner.Context, count: int) -> None:
    context.read_starts_ms = []
    context.reads.request_ownership()
    for now_ms in range(5_000, 5_000 + _RUN_MS, _TICK_MS):
        context.reads.record_contact(now_ms)
        if context.reads.begin_ownership(now_ms=now_ms, is_poller=False):
            context.read_starts_ms.append(now_ms - 5_000)
            is_successful = len(context.read_starts_ms) > count
            context.reads.end_ownership(is_successful=is_successful)


@behave.then("its reads start after {times} ms")
def check_read_times(context: runner.Context, times: str) -> None:
    found = " ".join(str(ms) for ms in context.read_starts_ms)
    assert found == times, found


@behave.then("it reads the ownership row {count:d} times")
def check_reads(context: runner.Context, count: int) -> None:
    assert context.count == count, context.count


@behave.given("40 members in 2 failure domains with 2 pollers each")
def given_members(context: runner.Context) -> None:
    members = [
        fixtures.make_member(f"m{number}", f"d{number % 2}")
        for number in range(40)
    ]
    context.state = ownership.State(
        revision=2, members={member.member_id: member for member in members}
    )


@behave.when("a member that is {role} commits a move to a member")
def commit(context: runner.Context, role: str) -> None:
    state = context.state
    context.pollers = {
        poller
        for domain in ("d0", "d1")
        for poller in selection.list_pollers(
            state=state, failure_domain=domain, count=2
        )
    }
    is_poller = role == "a poller"
    context.author = next(
        m for m in state.members if (m in context.pollers) == is_poller
    )
    context.owner = next(
        m
        for m in state.members
        if m not in context.pollers and m != context.author
    )
    move = membership.ShardMove(shard=0, owner=context.owner)
    entry = membership.Entry(
        revision=2,
        write_id="",
        author=context.author,
        written_at_ms=0,
        changes=(membership.ShardsMoved(pool="p", moves=(move,)),),
    )
    context.recipients = {
        name: fanout.list_recipients(
            state=state,
            member_id=name,
            entries=(entry,),
            is_author=name == context.author,
            platform=_PLATFORM,
        )
        for name in state.members
    }


@behave.then("all members receive it, the new owner from the author")
def check_recipients(context: runner.Context) -> None:
    assert context.owner in context.recipients[context.author]
    informed = {context.author, *context.recipients[context.author]}
    assert context.pollers <= informed
    for name in tuple(informed):
        informed.update(context.recipients[name])
    assert informed == context.state.members.keys()
    # Only pollers and the author send anything.
    non_pollers = context.state.members.keys() - context.pollers
    for name in non_pollers - {context.author}:
        assert not context.recipients[name], name
