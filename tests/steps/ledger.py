"""Steps for the at-most-once ledger, and a stateful search for a second run."""

from collections.abc import Iterable
import random

import behave
from behave import runner
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rhubarblead import messages
from rhubarblead.requests import idempotency
from rhubarblead.requests import ledger

POOL = "dispatch"
SHARD = 3
START_MS = 1_780_000_000_000
CAPACITY = 4
SEARCH_CAPACITY = 2
DIGEST = 17
BODY = b"confirmed"
REMEMBER_MS = 600_000


def make_key(random_source: random.Random, wall_ms: int) -> str:
    return idempotency.make_key(
        random=random_source.randbytes(10), wall_ms=wall_ms
    )


def make_ledger(capacity: int = CAPACITY) -> ledger.Ledger:
    return ledger.Ledger(capacity=capacity)


def make_claim(key: str, digest: int = DIGEST) -> ledger.Claim:
    return ledger.Claim(
        pool=POOL,
        shard=SHARD,
        idempotency_key=key,
        digest=digest,
        remember_ms=REMEMBER_MS,
    )


def begin(
    context: runner.Context, key: str, digest: int = DIGEST
) -> ledger.Decision:
    return context.ledger.begin(
        claim=make_claim(key, digest), wall_ms=context.wall_ms
    )


def finish(context: runner.Context, key: str, body: bytes = BODY) -> None:
    context.ledger.finish(
        claim=make_claim(key),
        status=201,
        headers=(("Serial", "1"),),
        body=body,
    )


def describe(begun: ledger.Decision) -> tuple[str, str]:
    match begun:
        case ledger.Run():
            return "run", ""
        case ledger.Replay(entry=entry) if entry.has_body:
            assert (entry.status, entry.body) == (201, BODY)
            return "replay", "ran"
        case ledger.Replay():
            return "replay without a body", "ran"
        case _:
            return begun.refused.refusal.value, begun.verdict.value


@behave.given("a ledger that adopted nothing")
def make_unadopted(context: runner.Context) -> None:
    context.random = random.Random(1)
    context.wall_ms = START_MS
    context.ledger = make_ledger()


@behave.given("a ledger that owns its shard from the beginning")
def make_owner(context: runner.Context) -> None:
    make_unadopted(context)
    adopt(context.ledger, START_MS, (), is_complete=True)
    context.key = make_key(context.random, START_MS)
    context.digest = DIGEST


def adopt(
    owner: ledger.Ledger,
    wall_ms: int,
    entries: Iterable[messages.LedgerEntry],
    *,
    is_complete: bool,
) -> None:
    lost_before_ms = 0 if is_complete else ledger.find_lost_before_ms(wall_ms)
    owner.adopt(
        pool=POOL,
        shards=[SHARD],
        entries=entries,
        lost_before_ms=lost_before_ms,
    )


def evict(context: runner.Context) -> None:
    for offset_ms in range(1, CAPACITY + 1):
        key = make_key(context.random, START_MS + offset_ms)
        assert isinstance(begin(context, key), ledger.Run)
        finish(context, key)


@behave.when("the ledger's first send of a key {first_send}")
def send_first(context: runner.Context, first_send: str) -> None:
    assert isinstance(begin(context, context.key), ledger.Run)
    claim = make_claim(context.key)
    match first_send:
        case "is answered":
            finish(context, context.key)
        case "gets a large answer":
            finish(context, context.key, BODY * 10_000)
        case "did not run":
            context.ledger.abandon(claim)
        case "is in doubt":
            context.ledger.mark_in_doubt(claim)
            context.ledger.abandon(claim)
        case "is evicted":
            finish(context, context.key)
            evict(context)
        case "is of another request":
            context.digest = DIGEST + 1
        case "expired":
            context.ledger.abandon(claim)
            context.wall_ms += REMEMBER_MS + 1
        case _:
            assert first_send == "runs"


@behave.when("another ledger adopts {adopted}")
def take_over(context: runner.Context, adopted: str) -> None:
    is_complete = adopted == "all entries"
    entries = context.ledger.list_entries(pool=POOL, shards=[SHARD])
    context.ledger = make_ledger()
    adopt(
        context.ledger,
        context.wall_ms,
        entries if is_complete else (),
        is_complete=is_complete,
    )


@behave.when("the ledger is full of running requests")
def fill(context: runner.Context) -> None:
    for _ in range(CAPACITY):
        key = make_key(context.random, START_MS)
        assert isinstance(begin(context, key), ledger.Run)


@behave.then(
    'the ledger\'s second send gets "{outcome}" with verdict "{verdict}"'
)
@behave.then('the ledger\'s second send gets "{outcome}" with verdict ""')
def check_second(
    context: runner.Context, outcome: str, verdict: str = ""
) -> None:
    found = describe(begin(context, context.key, context.digest))
    assert found == (outcome, verdict), found


@behave.then(
    'the ledger\'s second send in upper case gets "{outcome}" with verdict'
    ' "{verdict}"'
)
def check_upper_case(
    context: runner.Context, outcome: str, verdict: str
) -> None:
    context.key = context.key.upper()
    check_second(context, outcome, verdict)


@behave.then(
    'the ledger answers the key "{key}" with "{outcome}" and verdict'
    ' "{verdict}"'
)
@behave.then(
    'the ledger answers the key "{key}" with "{outcome}" and verdict ""'
)
def check_key(
    context: runner.Context, key: str, outcome: str, verdict: str = ""
) -> None:
    if key[0] in "+-":
        key = make_key(context.random, START_MS + int(key))
    found = describe(begin(context, key))
    assert found == (outcome, verdict), found


@behave.then(
    'the ledger answers the key "{key}" with "{outcome}" and verdict'
    ' "{verdict}" after {wait_ms:d} ms'
)
@behave.then(
    'the ledger answers the key "{key}" with "{outcome}" and verdict ""'
    " after {wait_ms:d} ms"
)
def check_key_later(
    context: runner.Context,
    key: str,
    outcome: str,
    wait_ms: int,
    verdict: str = "",
) -> None:
    context.wall_ms += wait_ms
    check_key(context, key, outcome, verdict)


class LedgerSearch(stateful.RuleBasedStateMachine):
    """Owners of one shard that run, evict, crash and take over."""

    def __init__(self) -> None:
        super().__init__()
        self.random = random.Random(0)
        self.true_ms = START_MS
        self.offset_ms = 0
        self.owner = make_ledger(SEARCH_CAPACITY)
        self.keys: list[str] = []
        self.run_counts: dict[str, int] = {}
        self.in_flight: list[str] = []
        self.copies: dict[str, messages.LedgerEntry] = {}
        adopt(self.owner, START_MS, (), is_complete=True)

    def copy(self, *entries: messages.LedgerEntry) -> None:
        """Replicates entries to the copies."""
        for entry in entries:
            self.copies[entry.idempotency_key] = entry

    @stateful.rule(ahead_ms=strategies.integers(-3_000, 2_500))
    def issue(self, ahead_ms: int) -> None:
        """A caller issues a key, with clock skew."""
        self.add_key(ahead_ms)

    @stateful.rule(count=strategies.integers(1, SEARCH_CAPACITY + 1))
    def send_new(self, count: int) -> None:
        """Callers send requests with new keys, which run and are answered."""
        for _ in range(count):
            self.true_ms += 1
            key = self.add_key(0)
            self.begin(key)
            if key in self.in_flight:
                self.finish(key)

    def add_key(self, ahead_ms: int) -> str:
        """Creates a key issued `ahead_ms` ahead of the true time."""
        key = make_key(self.random, self.true_ms + ahead_ms)
        self.keys.append(key)
        self.run_counts[key] = 0
        return key

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(data=strategies.data())
    def send(self, data: strategies.DataObject) -> None:
        """A caller sends a request, possibly again."""
        self.begin(data.draw(strategies.sampled_from(self.keys)))

    def begin(self, key: str) -> None:
        """Sends one request to the owner and checks the decision."""
        begun = self.owner.begin(
            claim=make_claim(key), wall_ms=self.true_ms + self.offset_ms
        )
        if isinstance(begun, ledger.Run):
            self.copy(begun.entry)
            assert key not in self.in_flight
            self.in_flight.append(key)
            return
        if describe(begun)[1] == "not-run":
            assert not self.run_counts[
                key
            ], "refused as not run, but the request has run"
            assert key not in self.in_flight

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(
        data=strategies.data(),
        fate=strategies.sampled_from(["finish", "abandon", "doubt", "doubted"]),
    )
    def end(self, data: strategies.DataObject, fate: str) -> None:
        """A run ends, with or without effect."""
        key = data.draw(strategies.sampled_from(self.in_flight))
        if fate == "finish":
            self.finish(key)
            return
        self.in_flight.remove(key)
        claim = make_claim(key)
        match fate:
            case "abandon":
                self.copy(self.owner.abandon(claim))
            case "doubt":
                self.copy(self.owner.mark_in_doubt(claim))
            case _:
                self.run(key)
                self.copy(self.owner.mark_in_doubt(claim))

    def finish(self, key: str) -> None:
        """A run takes effect and is answered."""
        self.in_flight.remove(key)
        self.run(key)
        finished = self.owner.finish(
            claim=make_claim(key), status=201, headers=(), body=BODY
        )
        self.copy(finished)

    @stateful.rule(
        data=strategies.data(),
        is_complete=strategies.sampled_from([True, True, True, False]),
        offset_ms=strategies.integers(-125, 125),
    )
    def crash(
        self, data: strategies.DataObject, is_complete: bool, offset_ms: int
    ) -> None:
        """The owner fails and another takes over."""
        for key in self.in_flight:
            if data.draw(strategies.booleans()):
                self.run(key)
        self.in_flight.clear()
        entries = list(self.copies.values())
        if not is_complete and entries:
            entries = data.draw(
                strategies.lists(strategies.sampled_from(entries))
            )
        self.replace_owner(entries, offset_ms, is_complete=is_complete)

    @stateful.precondition(lambda self: not self.in_flight)
    @stateful.rule(offset_ms=strategies.integers(-125, 125))
    def hand_over(self, offset_ms: int) -> None:
        """The owner hands its shard over in a planned handover."""
        entries = self.owner.list_entries(pool=POOL, shards=[SHARD])
        self.replace_owner(entries, offset_ms, is_complete=True)

    @stateful.rule(
        ms=strategies.sampled_from([1, 500, 2_500, 2_500, REMEMBER_MS])
    )
    def advance(self, ms: int) -> None:
        """Time passes."""
        self.true_ms += ms

    def replace_owner(
        self,
        entries: Iterable[messages.LedgerEntry],
        offset_ms: int,
        *,
        is_complete: bool,
    ) -> None:
        """Creates a new owner that adopts the recovered entries."""
        self.owner = make_ledger(SEARCH_CAPACITY)
        self.offset_ms = offset_ms
        wall_ms = self.true_ms + offset_ms
        adopt(self.owner, wall_ms, entries, is_complete=is_complete)
        self.copies.clear()
        self.copy(*self.owner.list_entries(pool=POOL, shards=[SHARD]))

    def run(self, key: str) -> None:
        """Counts a run that took effect."""
        self.run_counts[key] += 1
        assert self.run_counts[key] == 1, "a key ran twice"


@behave.then("a stateful search over the ledger finds no key that runs twice")
def search(context: runner.Context) -> None:
    stateful.run_state_machine_as_test(
        LedgerSearch,
        settings=hypothesis.settings(
            max_examples=250,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
