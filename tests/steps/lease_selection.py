"""Steps for the selection of granters and evictors."""

import collections

import behave
from behave import runner
import msgspec

from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import evictor
from rhubarblead.leases import selection
from tests.rhubarblead import fixtures


@behave.given(
    "{members:d} members in {domains:d} failure domains that chose their"
    " granters"
)
def given_members(context: runner.Context, members: int, domains: int) -> None:
    records = [
        fixtures.make_member(f"m{number}", f"d{number % domains}")
        for number in range(members)
    ]
    state = ownership.State(
        revision=1, members={record.member_id: record for record in records}
    )
    for record in records:
        granters = selection.choose_granters(state=state, member=record)
        state.members[record.member_id] = msgspec.structs.replace(
            record, granters=granters, granters_epoch=1
        )
    context.state = state


@behave.then("no member grants to more than {most:d} others")
def check_grant_counts(context: runner.Context, most: int) -> None:
    grant_counts = collections.Counter(
        granter
        for member in context.state.members.values()
        for granter in member.granters
    )
    assert max(grant_counts.values()) <= most, grant_counts.most_common(3)


@behave.then(
    "all granters of a member are in different failure domains, {own:d} in its"
    " own"
)
def check_domains(context: runner.Context, own: int) -> None:
    members = context.state.members
    for member in members.values():
        domains = [members[name].failure_domain for name in member.granters]
        assert len(set(domains)) == selection.GRANTER_COUNT, domains
        assert domains.count(member.failure_domain) == own, domains


@behave.when(
    "the granters state the lapses of a whole failure domain to an evictor"
)
def state_lapses(context: runner.Context) -> None:
    state = context.state
    context.lost = {
        member.member_id
        for member in state.members.values()
        if member.failure_domain == "d0"
    }
    lost = state.members[min(context.lost)]
    first = selection.rank_evictors(state=state, member=lost)[0]
    context.evictor = evictor.Evictor(member_id=first, lease=settings.Lease())
    context.evictor.follow_state(state=state, now_ms=0)
    for member_id in context.lost:
        for granter_id in state.members[member_id].granters:
            statement = messages.LapseNotice(
                granter_id=granter_id, member_id=member_id, granters_epoch=1
            )
            context.evictor.record_lapse(lapse=statement, now_ms=10)


@behave.then("the evictor evicts the whole failure domain in one transaction")
def check_evictions(context: runner.Context) -> None:
    evictions = context.evictor.list_evictions(now_ms=10, settle_ms=lambda _: 0)
    assert {eviction.member_id for eviction in evictions} == context.lost


@behave.then("all other members keep two granters")
def check_kept(context: runner.Context) -> None:
    for member in context.state.members.values():
        kept = set(member.granters) - context.lost
        assert len(kept) >= 2, member


@behave.when("{event} and a member improves its granters")
def improve(context: runner.Context, event: str) -> None:
    state = context.state
    member = state.members["m0"]
    silent: tuple[str, ...] = ()
    match event:
        case "one granter is silent":
            silent = member.granters[:1]
        case "all granters are silent":
            silent = member.granters
        case "one granter is gone":
            del state.members[member.granters[0]]
    context.before = set(member.granters)
    context.after = selection.improve_granters(
        state=state, member=member, silent=frozenset(silent)
    )


@behave.then("{count:d} of its granters are new")
def check_new(context: runner.Context, count: int) -> None:
    assert len(set(context.after) - context.before) == count, context.after
