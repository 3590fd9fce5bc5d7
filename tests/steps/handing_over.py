"""Steps for shard handovers."""

import behave
from behave import runner

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.assignment import handover
from tests.rhubarblead import fixtures

_POOL = fixtures.POOL
_DRAIN_MS = settings.Limits().drain_ms


def _make_state(shard_count: int, wanted: dict[int, str]) -> ownership.State:
    members = [fixtures.make_member(name, name) for name in ("m0", "m1")]
    return ownership.State(
        revision=10,
        members={member.member_id: member for member in members},
        assignments={
            _POOL: ownership.Assignment(
                shard_count=shard_count,
                owners=["m0"] * shard_count,
                fences=[5] * shard_count,
                wanted=wanted,
            )
        },
    )


def _begin(context: runner.Context, state: ownership.State) -> None:
    context.now_ms = 1_000
    context.state = state
    context.moves = ()
    context.handover = handover.Handover(
        member_id="m0", limits=settings.Limits()
    )
    context.handover.follow_state(state=state, now_ms=context.now_ms)


@behave.given(
    "a handover of shards 1 and 2, of which shard 1 has a new target owner"
)
def given_two(context: runner.Context) -> None:
    state = _make_state(4, {1: "m1"})
    state.assignments[_POOL].owners = ["m1", "m0", "m0", "m1"]
    _begin(context, state)


@behave.given("a handover of {count:d} shards that all have a new target owner")
def given_many(context: runner.Context, count: int) -> None:
    _begin(context, _make_state(count, dict.fromkeys(range(count), "m1")))


@behave.when("these handover events happen: {events}")
def apply_events(context: runner.Context, events: str) -> None:
    for event in events.split():
        _apply_event(context, event)


def _apply_event(context: runner.Context, event: str) -> None:
    subject = context.handover
    match event:
        case "tick":
            context.moves = subject.list_ready(context.now_ms)
        case "timeout":
            context.now_ms += _DRAIN_MS
            context.moves = subject.list_ready(context.now_ms)
        case "begin":
            assert subject.begin_request(1)
        case "end":
            subject.end_request(1)
        case "commit":
            subject.mark_committing(moves=context.moves)
        case "done" | "not_done" | "in_doubt":
            subject.resolve(
                moves=context.moves,
                outcome=handover.Outcome(event),
                now_ms=context.now_ms,
            )
        case "lose_lease":
            subject.begin_leaving(grants_end_ms=context.now_ms + 100)
        case "end_grants":
            context.now_ms += 100
            context.moves = subject.list_ready(context.now_ms)
        case "leave":
            subject.begin_leaving()
        case _:
            _change(context, event)


def _change(context: runner.Context, event: str) -> None:
    state = context.state.copy()
    assignment = state.assignments[_POOL]
    match event:
        case "cancel":
            assignment.wanted = {}
        case "move" | "regain":
            assignment.owners[1] = "m1" if event == "move" else "m0"
            assignment.fences[1] = state.revision + 1
            assignment.wanted = {}
        case "evict":
            del state.members["m0"]
        case "remove_other":
            del state.members["m1"]
    if event != "stale":
        state.revision += 1
    context.state = state
    context.handover.follow_state(state=state, now_ms=context.now_ms)


@behave.then("the handover ends with {admitting} admitting and {ready} ready")
def check_end(context: runner.Context, admitting: str, ready: str) -> None:
    found = [s for s in (1, 2) if context.handover.is_admitting(s)]
    assert " ".join(map(str, found)) == admitting.replace("none", ""), found
    moves = context.handover.list_ready(context.now_ms)
    shards = " ".join(str(move.shard) for move in moves)
    assert shards == ready.replace("none", ""), shards


@behave.when("the handover ticks")
def tick(context: runner.Context) -> None:
    context.moves = context.handover.list_ready(context.now_ms)


@behave.then("{ready:d} shards are ready and {admitting:d} admit requests")
def check_counts(context: runner.Context, ready: int, admitting: int) -> None:
    assert len(context.moves) == ready
    assert set(context.moves) <= {
        membership.ShardMove(shard=shard, owner="m1")
        for shard in context.state.assignments[_POOL].wanted
    }
    shards = range(context.state.assignments[_POOL].shard_count)
    open_count = sum(context.handover.is_admitting(s) for s in shards)
    assert open_count == admitting, open_count
