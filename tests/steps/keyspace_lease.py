"""Steps for leases on the store's clock."""

import random

import behave
from behave import runner

from rhubarblead.keyspace import lease


@behave.given(
    "a lease renewed at {sent:d} ms with a response of store time {at:d}"
)
def renew(context: runner.Context, sent: int, at: int) -> None:
    clock = lease.StoreClock()
    clock.observe(sent_at_ms=sent, store_ms=at)
    context.lease = lease.Lease(store_clock=clock)
    ends = at + lease.DURATION_MS
    context.lease.record_renewal(ends_store_ms=ends, sent_at_ms=sent)


@behave.given("a lease that was never renewed")
def make(context: runner.Context) -> None:
    context.lease = lease.Lease(store_clock=lease.StoreClock())


@behave.given("a lease for which an earlier process wrote the end {ends:d}")
def make_restarted(context: runner.Context, ends: int) -> None:
    context.clock = lease.StoreClock()
    context.lease = lease.Lease(store_clock=context.clock)
    context.lease.set_minimum_end(ends, 0)


@behave.when("the store's time is {known}")
def observe(context: runner.Context, known: str) -> None:
    if known != "unknown":
        context.clock.observe(sent_at_ms=0, store_ms=int(known))


@behave.when("a renewal with end {ends:d} is sent at {sent:d} ms")
def send_renewal(context: runner.Context, sent: int, ends: int) -> None:
    context.lease.record_renewal(ends_store_ms=ends, sent_at_ms=sent)


@behave.then("the next renewal is due at {due:d} ms")
def check_due(context: runner.Context, due: int) -> None:
    assert context.lease.is_due(due + 2)
    assert not due or not context.lease.is_due(due - 2)


@behave.then("a renewal at {now:d} ms has the end {ends:d}")
def check_end(context: runner.Context, now: int, ends: int) -> None:
    found = context.lease.find_end(now)
    assert abs(found - ends) <= 2, found


@behave.then("at {now:d} ms {left:d} ms of it are left")
def check_left(context: runner.Context, now: int, left: int) -> None:
    found = context.lease.find_remaining_ms(now)
    assert found == left or abs(found - left) <= 1, found


@behave.then("a lease that ends at store time {ends:d} is {state} at {at:d}")
def check_expired(
    context: runner.Context, ends: int, state: str, at: int
) -> None:
    del context
    is_expired = lease.is_expired(ends_store_ms=ends, store_ms=at)
    assert is_expired == (state == "expired")


@behave.then(
    "in {count:d} random runs with seed {seed:d} no takeover was early"
)
def check_random_runs(context: runner.Context, count: int, seed: int) -> None:
    """Runs leases with random clock rates and delays of each call."""
    del context
    source = random.Random(seed)
    for _ in range(count):
        rate = 1 + source.uniform(-1, 1) * lease.DRIFT_PER_MILLE / 1_000
        clock = lease.StoreClock()
        holder_lease = lease.Lease(store_clock=clock)
        true_ms = 0.0
        for _ in range(source.randrange(1, 6)):
            sent_ms = true_ms
            received_ms = sent_ms + source.uniform(0, 2_000)
            answered_ms = received_ms + source.uniform(0, 2_000)
            ends = holder_lease.find_end(int(sent_ms * rate))
            clock.observe(
                sent_at_ms=int(sent_ms * rate), store_ms=int(received_ms)
            )
            holder_lease.record_renewal(
                ends_store_ms=ends, sent_at_ms=int(sent_ms * rate)
            )
            written_end_ms = ends
            true_ms = answered_ms + source.uniform(0, 4_000)
        takeover_ms = true_ms
        while not lease.is_expired(
            ends_store_ms=written_end_ms, store_ms=int(takeover_ms)
        ):
            takeover_ms += 50
        assert holder_lease.find_remaining_ms(int(takeover_ms * rate)) == 0
