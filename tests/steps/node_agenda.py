"""Steps for what a node writes next."""

import random

import behave
from behave import runner
import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.node.ownership import agenda
from rhubarblead.node.ownership import journal
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import proposals
from rhubarblead.node.ownership import tenure
from rhubarblead.node.ownership import writing
from rhubarblead.node.requests import gate
from tests.rhubarblead import fixtures

_SHARDS = 4
_PEERS = ("m1", "m2", "m3", "m4", "m5")
_TAGS = {
    membership.MemberJoined: "joined",
    membership.MemberLeft: "left",
    membership.MemberEvicted: "evicted",
    membership.GrantersChanged: "granters",
    membership.PoolSharded: "sharded",
    membership.ShardsMoved: "moved",
    membership.MovesRequested: "wanted",
}


def _make_settings() -> settings.Settings:
    address = {"ip_address": "127.0.0.1", "port": 1}
    return settings.Settings.model_validate_json(
        msgspec.json.encode(
            {
                "instance": "s-1",
                "region": "r",
                "failure_domain": "d",
                "ip_address": "127.0.0.1",
                "http_port": 2000,
                "data_port": 2001,
                "control_port": 2002,
                "platform": {
                    "table_service": address,
                    "object_store": address,
                },
            }
        )
    )


class _Desk:
    """An agenda with its journal, and a store that does as it is told."""

    def __init__(self) -> None:
        self.now_ms = 1_000
        self.gate = gate.ShardGate()
        self.agenda = agenda.Agenda(
            node=_make_settings(),
            shard_gate=self.gate,
            rng=random.Random(1),
        )
        self.journal = journal.Journal()
        self.writes = writing.WriteState()
        self.entered: list[object] = []
        self.tables("p")

    def find(self) -> writing.Proposal | None:
        if not self.writes.is_free(self.now_ms):
            return None
        return self.agenda.find_proposal(
            journal=self.journal, now_ms=self.now_ms
        )

    def commit(self, *changes: membership.Change) -> None:
        entry = membership.Entry(
            revision=self.journal.state.revision + 1,
            write_id="",
            author="",
            written_at_ms=0,
            changes=changes,
        )
        assert self.journal.take_entries([entry])

    def follow(self) -> None:
        self.agenda.follow(state=self.journal.state, now_ms=self.now_ms)

    def begin(self) -> writing.Proposal:
        proposal = self.find()
        assert proposal is not None
        self.agenda.begin(proposal)
        self.writes.begin(proposal)
        return proposal

    def end(self, proposal: writing.Proposal, *, is_committed: bool) -> None:
        self.writes.end(self.now_ms, is_paused=False)
        if is_committed:
            self.commit(*proposal.changes)
        self.agenda.end(proposal, is_committed=is_committed, now_ms=self.now_ms)
        self.follow()

    # Events.

    def serve(self) -> None:
        self.agenda.is_fit = True

    def fail(self) -> None:
        self.agenda.is_fit = False

    def drain(self) -> None:
        self.agenda.is_draining = True

    def ask(self) -> None:
        self.find()

    def write(self) -> None:
        self.end(self.begin(), is_committed=True)

    def lose(self) -> None:
        proposal = self.begin()
        if "p" not in self.journal.state.assignments:
            self.commit(membership.PoolSharded(pool="p", shard_count=_SHARDS))
        else:
            self.commit()
        self.end(proposal, is_committed=False)

    def doubt(self) -> None:
        self.doubtful = self.begin()
        self.writes.mark_doubtful(self.now_ms)

    def commits(self) -> None:
        self.end(self.doubtful, is_committed=True)

    def fails(self) -> None:
        self.end(self.doubtful, is_committed=False)

    def plan(self) -> None:
        state = self.journal.state
        changes = proposals.propose_assignment(
            state=state, tables=self.journal.tables, pool_name="p", loads={}
        )
        self.agenda.take_plan(
            planning.Planned(pool="p", state=state, changes=changes)
        )

    def own(self) -> None:
        self.serve()
        self.write()
        self.plan()
        self.write()

    def peers(self) -> None:
        joined = []
        for number, name in enumerate(_PEERS):
            others = (_PEERS * 2)[number + 1 : number + 4]
            record = fixtures.make_member(name, f"d{number}")
            record = msgspec.structs.replace(record, granters=others)
            joined.append(membership.MemberJoined(member=record))
        self.commit(*joined)
        self.follow()

    def evict(self, name: str) -> None:
        tenure_now = self.agenda.tenure
        assert tenure_now is not None
        member_id = tenure_now.member_id if name == "s" else name
        self.commit(
            membership.MemberEvicted(
                member_id=member_id, granters_epoch=0, lapsed_by=()
            )
        )
        self.follow()

    def gone(self, count: str) -> None:
        tenure_now = self.agenda.tenure
        assert tenure_now is not None
        for name in tenure_now.holder.granters[: int(count)]:
            self.evict(name)

    def tables(self, pool: str) -> None:
        pools = []
        if pool != "none":
            pools.append(
                {
                    "name": pool,
                    "kind": "keyed",
                    "servers": ["s-*", "m*"],
                    "shard_count": _SHARDS,
                }
            )
        self.journal.take_tables(
            revision=self.journal.tables_revision + 1,
            document=msgspec.json.encode({"routes": [], "pools": pools}),
        )

    def enter(self, shard: str) -> None:
        self.entered.append(self.gate.enter(int(shard)))

    def exit(self) -> None:
        for entered in self.entered:
            entered.close()
        self.entered.clear()

    def grant(self) -> None:
        """Lets m1 name the member as its granter."""
        tenure_now = self.agenda.tenure
        assert tenure_now is not None
        self.commit(
            membership.GrantersChanged(
                member_id="m1",
                granters=(tenure_now.member_id, "m2", "m3"),
                granters_epoch=1,
            )
        )
        self.follow()
        tenure_now.granter.confirm_membership(as_of_ms=self.now_ms)

    def is_promising(self) -> bool:
        tenure_now = self.agenda.tenure
        assert tenure_now is not None
        promise = tenure_now.granter.take_heartbeat(
            heartbeat=messages.Heartbeat(
                member_id="m1",
                granters_epoch=1,
                sequence=1,
                sent_at_ms=self.now_ms,
                revisions=self.journal.revisions,
            ),
            now_ms=self.now_ms,
            revisions=self.journal.revisions,
        )
        return promise.is_granted

    def pass_(self, duration_ms: str) -> None:
        self.now_ms += int(duration_ms)


@behave.given("an agenda of s-1 in pool p with 4 shards")
def given_agenda(context: runner.Context) -> None:
    context.desk = _Desk()


@behave.when("these agenda events happen: {events}")
def happen(context: runner.Context, events: str) -> None:
    for event in events.split(", "):
        word, *arguments = event.split()
        name = "pass_" if word == "pass" else word
        getattr(context.desk, name)(*arguments)


@behave.then('the agenda proposes "{expected}"')
def check_proposal(context: runner.Context, expected: str) -> None:
    proposal = context.desk.find()
    found = "nothing"
    if proposal is not None:
        kinds = "+".join(_TAGS[type(change)] for change in proposal.changes)
        found = f"{proposal.purpose.value} {kinds}"
    assert found == expected, found


@behave.then("the agenda's member promises a heartbeat: {promised}")
def check_promised(context: runner.Context, promised: str) -> None:
    assert context.desk.is_promising() == (promised == "yes")


@behave.given("members of a system of {count:d} that each lost one granter")
def given_system(context: runner.Context, count: int) -> None:
    context.spreads = sorted(
        tenure.find_spread_ms(
            member_id=f"m{number}", granters_epoch=0, member_count=count
        )
        for number in range(count)
    )


@behave.then("the first changes its granters after at least {least_ms:d} ms")
def check_first(context: runner.Context, least_ms: int) -> None:
    assert context.spreads[0] >= least_ms


@behave.then("the last changes its granters after {from_ms:d} to {to_ms:d} ms")
def check_last(context: runner.Context, from_ms: int, to_ms: int) -> None:
    assert from_ms <= context.spreads[-1] <= to_ms, context.spreads[-1]
