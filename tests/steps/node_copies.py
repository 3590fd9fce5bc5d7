"""Steps for the ledgers of owners and their copies at granters."""

from collections.abc import Callable
import functools
from unittest import mock

import behave
from behave import runner

from tests.rhubarblead.node import copy_faults
from tests.rhubarblead.node import copy_search
from tests.rhubarblead.node import copy_world


@behave.given("ledger owners x, y and z with granters a to e")
@behave.given("ledger owners x, y and z with granters a to e with little room")
def given_owners(context: runner.Context) -> None:
    capacity = 2 if "little" in context.scenario.steps[0].name else 1_000
    world = copy_world.World(capacity=capacity)
    context.add_cleanup(_start(world.patch_clock()))
    for name in "abcde":
        world.join(name)
    for name, granters in (("x", "abc"), ("y", "cde"), ("z", "cde")):
        world.join(name, tuple(granters))
    world.move(0, "x")
    context.copies = world


@behave.when("these ledger events happen: {events}")
def happen(context: runner.Context, events: str) -> None:
    world = context.copies
    for event in events.split(", "):
        word, *names = event.split()
        _EVENTS[word](world, *names)


@behave.then('the ledger answers to another "{key}" with {answer}')
def check_answer(context: runner.Context, key: str, answer: str) -> None:
    found = context.copies.send(key)
    assert found == answer, found


@behave.then('the ledger runs "{key}" twice')
def check_twice(context: runner.Context, key: str) -> None:
    try:
        found = context.copies.send(key)
    except copy_world.RanTwice:
        return
    raise AssertionError(found)


@behave.given("ledger copies broken so that {fault}")
def given_fault(context: runner.Context, fault: str) -> None:
    for patch in copy_faults.FAULTS[fault]():
        context.add_cleanup(_start(patch))


@behave.when("{count:d} random sequences of ledger faults are searched")
def search(context: runner.Context, count: int) -> None:
    context.found = copy_search.search(count)


@behave.then("the ledger search found nothing")
def check_nothing(context: runner.Context) -> None:
    assert context.found is None, context.found


@behave.then("the ledger search found a request that ran twice")
def check_found(context: runner.Context) -> None:
    assert context.found is not None


def _start(patch: "mock._patch[object]") -> Callable[[], object]:
    patch.start()
    return patch.stop


def _send(world: copy_world.World, key: str) -> None:
    found = world.send(key)
    assert found in {"ran", "ledger-unavailable"}, found


def _open(world: copy_world.World, key: str) -> copy_world.Sending:
    sending = world.open(key, world.find_owner(0), 0)
    assert sending is not None
    return sending


def _start_run(world: copy_world.World, key: str) -> None:
    sending = _open(world, key)
    assert world.begin(sending) is None
    assert world.run(sending)


def _begin(world: copy_world.World) -> None:
    world.begin(world.sendings[0])


def _end(world: copy_world.World) -> None:
    if not world.sendings:
        return
    sending = world.sendings[0]
    if sending.is_begun and world.run(sending):
        world.finish(sending)


def _lose(world: copy_world.World, *names: str) -> None:
    for name in names:
        world.lose(name)


def _take(world: copy_world.World, owner: str, *lost: str) -> None:
    _lose(world, *(name for name in lost if name in world.nodes))
    world.move(0, owner, *lost)


def _link(kind: str, world: copy_world.World, sender: str, to: str) -> None:
    getattr(world, kind).update((sender, receiver) for receiver in to)


def _mend(world: copy_world.World) -> None:
    for kind in (world.cut, world.mute, world.slow):
        kind.clear()


def _hold(world: copy_world.World, *names: str) -> None:
    for name in names:
        world.nodes[name].is_holding = True


def _hear(world: copy_world.World, name: str, how: str = "entries") -> None:
    world.nodes[name].is_holding = False
    world.tell(world.nodes[name], is_snapshot=how == "snapshot")


def _publish(world: copy_world.World, name: str) -> None:
    node = world.nodes[name]
    node.before = node.publish(world.state)


def _follow(world: copy_world.World, name: str) -> None:
    node = world.nodes[name]
    node.is_holding = False
    world.follow(node, node.before)


def _defer(world: copy_world.World, name: str) -> None:
    world.nodes[name].is_deferring = True


def _work(world: copy_world.World, name: str) -> None:
    world.nodes[name].is_deferring = False
    world.nodes[name].executor.run_all()


def _deliver(world: copy_world.World, order: str = "forwards") -> None:
    while world.late:
        world.deliver_late(0 if order == "forwards" else -1)


def _pass(world: copy_world.World, duration_ms: str) -> None:
    world.wall_ms += int(duration_ms)


def _join(world: copy_world.World, name: str, granters: str = "") -> None:
    world.join(name, tuple(granters))


_EVENTS = {
    "send": _send,
    "open": _open,
    "start": _start_run,
    "begin": _begin,
    "end": _end,
    "lose": _lose,
    "take": _take,
    "give": lambda world, owner: world.move(0, owner),
    "granters": lambda world, name, to: world.change_granters(name, tuple(to)),
    "cut": functools.partial(_link, "cut"),
    "mute": functools.partial(_link, "mute"),
    "slow": functools.partial(_link, "slow"),
    "mend": _mend,
    "hold": _hold,
    "hear": _hear,
    "publish": _publish,
    "follow": _follow,
    "defer": _defer,
    "work": _work,
    "deliver": _deliver,
    "pass": _pass,
    "join": _join,
    "break": lambda world, name: world.broken.add(name),
    "repair": lambda world, name: world.broken.remove(name),
}
