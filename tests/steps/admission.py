"""Steps for the admission of requests to upstream slots."""

from concurrent import futures
import itertools
import threading
import time

import behave
from behave import runner

from rhubarblead import clock
from rhubarblead.requests import admission
from rhubarblead.requests import slots

_DECISION_LETTERS = {
    admission.Start: "s",
    admission.Queued: "w",
    admission.Refuse: "r",
}


@behave.given(
    "an admission with {slot_count:d} slots and a queue of {length:d}"
)
def make_admission(
    context: runner.Context, slot_count: int, length: int
) -> None:
    context.admission = admission.Admission(
        slots=slot_count, queue_length=length
    )
    context.now_ms = 0
    context.running = []
    context.started = []
    context.refused = []
    context.running_groups = []


@behave.given("its measured service time is {service_ms:d} ms")
def measure(context: runner.Context, service_ms: int) -> None:
    for number in range(200):
        ticket = admission.Ticket(
            request_id=f"{number}", key="k", deadline_ms=10**9
        )
        context.admission.offer(ticket, context.now_ms)
        context.now_ms += service_ms
        context.admission.finish(f"{number}", context.now_ms)


@behave.when('the admission is offered "{offers}"')
def offer(context: runner.Context, offers: str) -> None:
    context.decisions = []
    for number, text in enumerate(offers.split()):
        name = text.lstrip("!")
        ticket = admission.Ticket(
            request_id=f"{name[0]}{number}",
            key=name[0].replace("_", ""),
            deadline_ms=context.now_ms + int(name[1:]),
            is_exclusive=text.startswith("!"),
        )
        context.last = context.admission.offer(ticket, context.now_ms)
        context.decisions.append(_DECISION_LETTERS[type(context.last)])
        if isinstance(context.last, admission.Start):
            context.running.append(ticket.request_id)


def record_dispatch(
    context: runner.Context, dispatch: admission.Dispatch
) -> None:
    context.running.extend(dispatch.started)
    context.started.extend(request_id[0] for request_id in dispatch.started)
    context.refused.extend(request_id[0] for request_id in dispatch.refused)
    context.running_groups.append(
        [request_id[0] for request_id in context.running]
    )


def end_first(context: runner.Context) -> None:
    ended = context.running.pop(0)
    record_dispatch(context, context.admission.finish(ended, context.now_ms))


@behave.when("the running requests of the admission end one after another")
def end_all(context: runner.Context) -> None:
    while context.running:
        context.now_ms += 1
        end_first(context)


@behave.when("a run of the admission ends after {wait_ms:d} ms")
def end_one(context: runner.Context, wait_ms: int) -> None:
    context.now_ms += wait_ms
    end_first(context)


@behave.when('the caller of "{name}" withdraws from the admission')
def withdraw(context: runner.Context, name: str) -> None:
    dispatch = context.admission.withdraw(f"{name}1", context.now_ms)
    record_dispatch(context, dispatch)


@behave.when("its upstream states a limit of {limit:g} requests per second")
def state_limit(context: runner.Context, limit: float) -> None:
    context.admission.rate_limit.set(limit, context.now_ms)


@behave.when("its upstream states no limit")
def state_no_limit(context: runner.Context) -> None:
    context.admission.rate_limit.lift(context.now_ms)


@behave.when("the admission goes on for {length:d} ms")
def go_on(context: runner.Context, length: int) -> None:
    end_ms = context.now_ms + length
    while context.now_ms < end_ms:
        context.now_ms += 10
        record_dispatch(context, context.admission.advance(context.now_ms))


@behave.when("the admission's slots become {count:d}")
def set_slots(context: runner.Context, count: int) -> None:
    record_dispatch(context, context.admission.set_slots(count, context.now_ms))


@behave.then('the admission decided "{decisions}"')
def check_decisions(context: runner.Context, decisions: str) -> None:
    assert context.decisions == decisions.split(), context.decisions


@behave.then('the admission started "{names}" in this order')
@behave.then('the admission started "" in this order')
def check_started(context: runner.Context, names: str = "") -> None:
    assert context.started == names.split(), context.started


@behave.then('the admission refused "{names}" after its wait')
def check_refused(context: runner.Context, names: str) -> None:
    assert context.refused == names.split(), context.refused


@behave.then("the admission's last refusal has a retry time of {wait_ms:d} ms")
def check_wait(context: runner.Context, wait_ms: int) -> None:
    found = context.last.refused.retry_after_ms
    assert found == wait_ms, found


@behave.then('the admission never ran "{name}" together with another request')
def check_isolated(context: runner.Context, name: str) -> None:
    groups = [group for group in context.running_groups if name in group]
    assert groups == [[name]], groups


@behave.when(
    "{count:d} threads run requests through a queue with {slot_count:d} slots"
)
def run_threads(context: runner.Context, count: int, slot_count: int) -> None:
    queue = slots.SlotQueue(
        decisions=admission.Admission(
            slots=slot_count, queue_length=count, key_share_per_mille=1_000
        )
    )
    running = itertools.count()
    lock = threading.Lock()
    context.active = []
    context.max_concurrent = 0

    def run_request(number: int) -> bool:
        ticket = admission.Ticket(
            request_id=f"{number}",
            key=f"{number % 5}",
            deadline_ms=clock.read_monotonic_ms() + 5_000,
        )
        if queue.acquire(ticket).is_err():
            return False
        with queue.releasing(ticket.request_id):
            with lock:
                context.active.append(number)
                context.max_concurrent = max(
                    context.max_concurrent, len(context.active)
                )
            next(running)
            with lock:
                context.active.remove(number)
        return True

    with futures.ThreadPoolExecutor(count) as executor:
        context.outcomes = list(executor.map(run_request, range(count)))
    context.queue = queue


@behave.when(
    "{count:d} threads use {slot_count:d} slots, and a limit of {limit:d} per"
    " second is stated before the first run ends"
)
def run_limited_threads(
    context: runner.Context, count: int, slot_count: int, limit: int
) -> None:
    queue = slots.SlotQueue(
        decisions=admission.Admission(
            slots=slot_count, queue_length=count, key_share_per_mille=1_000
        )
    )
    is_stated = threading.Event()
    context.ran_at_ms = []

    def run_request(number: int) -> bool:
        ticket = admission.Ticket(
            request_id=f"{number}",
            key="",
            deadline_ms=clock.read_monotonic_ms() + 20_000,
        )
        if queue.acquire(ticket).is_err():
            return False
        with queue.releasing(ticket.request_id):
            if is_stated.is_set():
                context.ran_at_ms.append(clock.read_monotonic_ms())
            return is_stated.wait()

    with futures.ThreadPoolExecutor(count) as executor:
        running = [executor.submit(run_request, n) for n in range(count)]
        while queue.count_running() + queue.count_waiting() < count:
            time.sleep(0.001)
        assert queue.record_limit(float(limit))
        context.stated_at_ms = clock.read_monotonic_ms()
        is_stated.set()
        context.outcomes = [item.result() for item in running]
    context.queue = queue


@behave.then("at most {most:d} of the others have run {length:d} ms later")
def check_paced(context: runner.Context, most: int, length: int) -> None:
    end_ms = context.stated_at_ms + length
    found = sum(at_ms <= end_ms for at_ms in context.ran_at_ms)
    assert found <= most, (context.stated_at_ms, context.ran_at_ms)


@behave.then("never more than {count:d} ran concurrently")
def check_most(context: runner.Context, count: int) -> None:
    assert 1 <= context.max_concurrent <= count


@behave.then("each thread ran or was refused")
def check_threads(context: runner.Context) -> None:
    assert all(context.outcomes)
    assert context.queue.count_running() == 0
    assert context.queue.count_waiting() == 0
