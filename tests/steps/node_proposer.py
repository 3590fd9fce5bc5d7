"""Steps for the next write of a node."""

import random

import behave
from behave import runner
import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.node.ownership import member_session
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import proposals
from rhubarblead.node.ownership import proposer
from rhubarblead.node.ownership import state_cache
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


class _ProposerHarness:
    """A proposer with its state cache and a simulated store."""

    def __init__(self) -> None:
        self.now_ms = 1_000
        self.gate = gate.ShardGate()
        self.proposer = proposer.Proposer(
            node=_make_settings(),
            shard_gate=self.gate,
            rng=random.Random(1),
        )
        self.cache = state_cache.StateCache()
        self.writes = writing.WriteState()
        self.admitted: list[object] = []
        self.set_tables("p")

    def find(self) -> writing.Proposal | None:
        if not self.writes.is_free(self.now_ms):
            return None
        return self.proposer.find_proposal(cache=self.cache, now_ms=self.now_ms)

    def commit(self, *changes: membership.Change) -> None:
        entry = membership.Entry(
            revision=self.cache.state.revision + 1,
            write_id="",
            author="",
            written_at_ms=0,
            changes=changes,
        )
        assert self.cache.apply_entries([entry])

    def follow(self) -> None:
        self.proposer.follow_state(state=self.cache.state, now_ms=self.now_ms)

    def begin(self) -> writing.Proposal:
        proposal = self.find()
        assert proposal is not None
        self.proposer.begin(proposal)
        self.writes.begin(proposal)
        return proposal

    def end(self, proposal: writing.Proposal, *, is_committed: bool) -> None:
        self.writes.end(self.now_ms, is_delayed=False)
        if is_committed:
            self.commit(*proposal.changes)
        self.proposer.end(
            proposal, is_committed=is_committed, now_ms=self.now_ms
        )
        self.follow()

    # Events.

    def serve(self) -> None:
        self.proposer.is_upstream_serving = True

    def stop_serving(self) -> None:
        self.proposer.is_upstream_serving = False

    def drain(self) -> None:
        self.proposer.is_draining = True

    def find_proposal(self) -> None:
        self.find()

    def write(self) -> None:
        self.end(self.begin(), is_committed=True)

    def conflict(self) -> None:
        proposal = self.begin()
        if "p" not in self.cache.state.assignments:
            self.commit(membership.PoolSharded(pool="p", shard_count=_SHARDS))
        else:
            self.commit()
        self.end(proposal, is_committed=False)

    def in_doubt(self) -> None:
        self.proposal_in_doubt = self.begin()
        self.writes.mark_in_doubt(self.now_ms)

    def done(self) -> None:
        self.end(self.proposal_in_doubt, is_committed=True)

    def not_done(self) -> None:
        self.end(self.proposal_in_doubt, is_committed=False)

    def plan(self) -> None:
        state = self.cache.state
        changes = proposals.propose_assignment(
            state=state, tables=self.cache.tables, pool_name="p", loads={}
        )
        self.proposer.record_plan(
            planning.PlanResult(pool="p", state=state, changes=changes)
        )

    def own_shards(self) -> None:
        self.serve()
        self.write()
        self.plan()
        self.write()

    def add_peers(self) -> None:
        joined = []
        for number, name in enumerate(_PEERS):
            others = (_PEERS * 2)[number + 1 : number + 4]
            record = fixtures.make_member(name, f"d{number}")
            record = msgspec.structs.replace(record, granters=others)
            joined.append(membership.MemberJoined(member=record))
        self.commit(*joined)
        self.follow()

    def evict(self, name: str) -> None:
        session = self.proposer.session
        assert session is not None
        member_id = session.member_id if name == "s" else name
        self.commit(
            membership.MemberEvicted(
                member_id=member_id, granters_epoch=0, lapsed_by=()
            )
        )
        self.follow()

    def evict_granters(self, count: str) -> None:
        session = self.proposer.session
        assert session is not None
        for name in session.holder.granters[: int(count)]:
            self.evict(name)

    def set_tables(self, pool: str) -> None:
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
        self.cache.apply_tables(
            revision=self.cache.tables_revision + 1,
            document=msgspec.json.encode({"routes": [], "pools": pools}),
        )

    def start_request(self, shard: str) -> None:
        self.admitted.append(self.gate.enter(int(shard)))

    def end_requests(self) -> None:
        for admitted in self.admitted:
            admitted.close()
        self.admitted.clear()

    def become_granter(self) -> None:
        """Makes the member a granter of m1."""
        session = self.proposer.session
        assert session is not None
        self.commit(
            membership.GrantersChanged(
                member_id="m1",
                granters=(session.member_id, "m2", "m3"),
                granters_epoch=1,
            )
        )
        self.follow()
        session.granter.confirm_membership(as_of_ms=self.now_ms)

    def is_promise_granted(self) -> bool:
        session = self.proposer.session
        assert session is not None
        promise = session.granter.handle_heartbeat(
            heartbeat=messages.Heartbeat(
                member_id="m1",
                granters_epoch=1,
                sequence=1,
                sent_at_ms=self.now_ms,
                revisions=self.cache.revisions,
            ),
            now_ms=self.now_ms,
            revisions=self.cache.revisions,
        )
        return promise.is_granted

    def pass_(self, duration_ms: str) -> None:
        self.now_ms += int(duration_ms)


@behave.given("a proposer of s-1 in pool p with 4 shards")
def given_proposer(context: runner.Context) -> None:
    context.harness = _ProposerHarness()


@behave.when("these proposer events happen: {events}")
def run_events(context: runner.Context, events: str) -> None:
    for event in events.split(", "):
        event_name, *arguments = event.split()
        name = "pass_" if event_name == "pass" else event_name
        getattr(context.harness, name)(*arguments)


@behave.then('the node proposes "{expected}"')
def check_proposal(context: runner.Context, expected: str) -> None:
    proposal = context.harness.find()
    found = "nothing"
    if proposal is not None:
        kinds = "+".join(_TAGS[type(change)] for change in proposal.changes)
        found = f"{proposal.purpose.value} {kinds}"
    assert found == expected, found


@behave.then("the member promises a heartbeat: {promised}")
def check_promise(context: runner.Context, promised: str) -> None:
    assert context.harness.is_promise_granted() == (promised == "yes")


@behave.given("members of a system of {count:d} that each lost one granter")
def given_system(context: runner.Context, count: int) -> None:
    context.jitters_ms = sorted(
        member_session.find_jitter_ms(
            member_id=f"m{number}", granters_epoch=0, member_count=count
        )
        for number in range(count)
    )


@behave.then("the first changes its granters after at least {least_ms:d} ms")
def check_first(context: runner.Context, least_ms: int) -> None:
    assert context.jitters_ms[0] >= least_ms


@behave.then("the last changes its granters after {from_ms:d} to {to_ms:d} ms")
def check_last(context: runner.Context, from_ms: int, to_ms: int) -> None:
    assert from_ms <= context.jitters_ms[-1] <= to_ms, context.jitters_ms[-1]
