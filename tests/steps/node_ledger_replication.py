"""Steps for ledgers and their replicas at granters."""

from collections.abc import Callable
import functools
from unittest import mock

import behave
from behave import runner

from tests.rhubarblead.node import replication_cluster
from tests.rhubarblead.node import replication_faults
from tests.rhubarblead.node import replication_search


@behave.given("ledger owners x, y and z with granters a to e")
@behave.given(
    "ledger owners x, y and z with granters a to e with little capacity"
)
def given_owners(context: runner.Context) -> None:
    capacity = 2 if "little" in context.scenario.steps[0].name else 1_000
    cluster = replication_cluster.Cluster(capacity=capacity)
    context.add_cleanup(_start_patch(cluster.patch_clock()))
    for name in "abcde":
        cluster.join(name)
    for name, granters in (("x", "abc"), ("y", "cde"), ("z", "cde")):
        cluster.join(name, tuple(granters))
    cluster.move(0, "x")
    context.cluster = cluster


@behave.when("these ledger events happen: {events}")
def run_events(context: runner.Context, events: str) -> None:
    cluster = context.cluster
    for event in events.split(", "):
        word, *names = event.split()
        _EVENTS[word](cluster, *names)


@behave.then('the ledger answers to a retry of "{key}" with {answer}')
def check_answer(context: runner.Context, key: str, answer: str) -> None:
    found = context.cluster.send(key)
    assert found == answer, found


@behave.then('the ledger runs "{key}" twice')
def check_ran_twice(context: runner.Context, key: str) -> None:
    try:
        found = context.cluster.send(key)
    except replication_cluster.RanTwice:
        return
    raise AssertionError(found)


@behave.given("ledger replication broken so that {fault}")
def given_fault(context: runner.Context, fault: str) -> None:
    for patch in replication_faults.FAULTS[fault]():
        context.add_cleanup(_start_patch(patch))


@behave.when("{count:d} random sequences of ledger faults are searched")
def search(context: runner.Context, count: int) -> None:
    context.found = replication_search.search(count)


@behave.then("the ledger search found nothing")
def check_nothing(context: runner.Context) -> None:
    assert context.found is None, context.found


@behave.then("the ledger search found a request that ran twice")
def check_found(context: runner.Context) -> None:
    assert context.found is not None


def _start_patch(patch: "mock._patch[object]") -> Callable[[], object]:
    patch.start()
    return patch.stop


def _send(cluster: replication_cluster.Cluster, key: str) -> None:
    found = cluster.send(key)
    assert found in {"ran", "ledger-unavailable"}, found


def _open(
    cluster: replication_cluster.Cluster, key: str
) -> replication_cluster.RequestAttempt:
    attempt = cluster.open(key, cluster.find_owner(0), 0)
    assert attempt is not None
    return attempt


def _start_run(cluster: replication_cluster.Cluster, key: str) -> None:
    attempt = _open(cluster, key)
    assert cluster.begin(attempt) is None
    assert cluster.run(attempt)


def _begin(cluster: replication_cluster.Cluster) -> None:
    cluster.begin(cluster.attempts[0])


def _end(cluster: replication_cluster.Cluster) -> None:
    if not cluster.attempts:
        return
    attempt = cluster.attempts[0]
    if attempt.is_begun and cluster.run(attempt):
        cluster.finish(attempt)


def _crash(cluster: replication_cluster.Cluster, *names: str) -> None:
    for name in names:
        cluster.lose(name)


def _take_over(
    cluster: replication_cluster.Cluster, owner: str, *lost: str
) -> None:
    _crash(cluster, *(name for name in lost if name in cluster.nodes))
    cluster.move(0, owner, *lost)


def _add_link_faults(
    links_name: str, cluster: replication_cluster.Cluster, sender: str, to: str
) -> None:
    getattr(cluster, links_name).update((sender, receiver) for receiver in to)


def _heal(cluster: replication_cluster.Cluster) -> None:
    for links in (
        cluster.cut_links,
        cluster.answer_loss_links,
        cluster.slow_links,
    ):
        links.clear()


def _lag(cluster: replication_cluster.Cluster, *names: str) -> None:
    for name in names:
        cluster.nodes[name].is_lagging = True


def _catch_up(
    cluster: replication_cluster.Cluster, name: str, how: str = "entries"
) -> None:
    cluster.nodes[name].is_lagging = False
    cluster.catch_up(cluster.nodes[name], is_snapshot=how == "snapshot")


def _publish(cluster: replication_cluster.Cluster, name: str) -> None:
    node = cluster.nodes[name]
    node.before = node.publish(cluster.state)


def _follow(cluster: replication_cluster.Cluster, name: str) -> None:
    node = cluster.nodes[name]
    node.is_lagging = False
    cluster.follow(node, node.before)


def _defer(cluster: replication_cluster.Cluster, name: str) -> None:
    cluster.nodes[name].is_deferring_jobs = True


def _run_jobs(cluster: replication_cluster.Cluster, name: str) -> None:
    cluster.nodes[name].is_deferring_jobs = False
    cluster.nodes[name].executor.run_all()


def _deliver(
    cluster: replication_cluster.Cluster, order: str = "forwards"
) -> None:
    while cluster.delayed_messages:
        cluster.deliver_delayed(0 if order == "forwards" else -1)


def _pass(cluster: replication_cluster.Cluster, duration_ms: str) -> None:
    cluster.wall_ms += int(duration_ms)


def _join(
    cluster: replication_cluster.Cluster, name: str, granters: str = ""
) -> None:
    cluster.join(name, tuple(granters))


_EVENTS = {
    "send": _send,
    "open": _open,
    "start": _start_run,
    "begin": _begin,
    "end": _end,
    "crash": _crash,
    "take-over": _take_over,
    "move": lambda cluster, owner: cluster.move(0, owner),
    "granters": lambda cluster, name, to: cluster.change_granters(
        name, tuple(to)
    ),
    "cut": functools.partial(_add_link_faults, "cut_links"),
    "drop-answers": functools.partial(_add_link_faults, "answer_loss_links"),
    "slow": functools.partial(_add_link_faults, "slow_links"),
    "heal": _heal,
    "lag": _lag,
    "catch-up": _catch_up,
    "publish": _publish,
    "follow": _follow,
    "defer": _defer,
    "run-jobs": _run_jobs,
    "deliver": _deliver,
    "pass": _pass,
    "join": _join,
    "break": lambda cluster, name: cluster.broken_exchanges.add(name),
    "repair": lambda cluster, name: cluster.broken_exchanges.remove(name),
}
