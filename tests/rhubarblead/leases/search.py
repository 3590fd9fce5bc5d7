"""A deterministic random search for a shard with two owners."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rhubarblead import settings
from tests.rhubarblead.leases import simulation

LEASE = settings.Lease(
    duration_ms=300,
    heartbeat_ms=100,
    drift_per_mille=100,
    authority_ms=500,
    tick_ms=20,
)
_SHARD_COUNT = 6
_MAX_MEMBERS = 8
_SETTLED_MS = 900
_AFTER_MS = 200

_members = strategies.integers(0, _MAX_MEMBERS - 1)
_durations = strategies.sampled_from([20, 100, 200, 300, 600, 1_200])


class Machine(stateful.RuleBasedStateMachine):
    """Random faults on a few members, checked for two owners at each step.

    Hypothesis sorts rules by argument count and name, so renaming one can
    change the sequences that it draws.
    """

    factories = simulation.Factories()

    @stateful.initialize(
        seed=strategies.integers(0, 2**16), count=strategies.integers(2, 6)
    )
    def begin(self, seed: int, count: int) -> None:
        """Starts some members and assigns the shards to them."""
        self.simulated = simulation.Simulation(
            seed=seed,
            lease=LEASE,
            factories=self.factories,
            shard_count=_SHARD_COUNT,
        )
        self.joined_count = 0
        for _ in range(count):
            self._join()
        self.simulated.run(_SETTLED_MS)
        self.simulated.assign_unowned()
        self.simulated.run(_SETTLED_MS)

    @stateful.rule(duration=_durations)
    def run(self, duration: int) -> None:
        """Advances the time."""
        self.simulated.run(duration)

    @stateful.rule(
        member=_members, duration=_durations, is_blind=strategies.booleans()
    )
    def pause(self, member: int, duration: int, is_blind: bool) -> None:
        """Pauses a member, and cuts its store answers if `is_blind`."""
        name = self._pick(member)
        if is_blind:
            self.simulated.cut_links.add((simulation.STORE, name))
        self.simulated.paused.add(name)
        self.simulated.run(duration)
        if name in self.simulated.nodes:
            self.simulated.resume(name)
            self.simulated.run(_AFTER_MS)

    @stateful.rule(first=_members, second=_members)
    def cut(self, first: int, second: int) -> None:
        """Cuts one direction between two members."""
        self.simulated.cut_links.add((self._pick(first), self._pick(second)))

    @stateful.rule(first=_members, second=_members)
    def partition_pair(self, first: int, second: int) -> None:
        """Partitions two members from all others and the store."""
        inner = {self._pick(first), self._pick(second)}
        everyone = {*self.simulated.nodes, simulation.STORE}
        for one in inner:
            for other in everyone - inner:
                self.simulated.cut_links |= {(one, other), (other, one)}

    @stateful.rule(
        member=_members, count=strategies.integers(1, 2), duration=_durations
    )
    def cut_granters(self, member: int, count: int, duration: int) -> None:
        """Cuts the links from a member to some granters for a while."""
        name = self._pick(member)
        record = self.simulated.store.state.members.get(name)
        granters = record.granters[:count] if record else ()
        links = {(name, granter) for granter in granters}
        self.simulated.cut_links |= links
        self.simulated.run(duration)
        self.simulated.cut_links -= links
        self.simulated.run(_AFTER_MS)

    @stateful.rule(member=_members, extra=_durations)
    def slow_to_member(self, member: int, extra: int) -> None:
        """Delays all messages from members to one member."""
        name = self._pick(member)
        for other in self.simulated.nodes:
            self.simulated.extra_delay_ms[(other, name)] = extra

    @stateful.rule(member=_members, extra=_durations)
    def degrade_then_partition(self, member: int, extra: int) -> None:
        """Delays all messages to one member, then isolates it."""
        self.slow_to_member(member, extra)
        self.simulated.run(_SETTLED_MS)
        self.partition_pair(member, member)
        self.simulated.run(_SETTLED_MS)

    @stateful.rule(member=_members, is_answer=strategies.booleans())
    def cut_store(self, member: int, is_answer: bool) -> None:
        """Cuts one direction between a member and the store."""
        name = self._pick(member)
        link = (
            (simulation.STORE, name) if is_answer else (name, simulation.STORE)
        )
        self.simulated.cut_links.add(link)

    @stateful.rule(is_down=strategies.booleans())
    def switch_store(self, is_down: bool) -> None:
        """Makes the store unavailable or available."""
        links = {(name, simulation.STORE) for name in self.simulated.nodes}
        self.simulated.cut_links = self.simulated.cut_links - links
        if is_down:
            self.simulated.cut_links |= links

    @stateful.rule(first=_members, second=_members, extra=_durations)
    def slow(self, first: int, second: int, extra: int) -> None:
        """Delays messages in one direction between two members."""
        self.simulated.extra_delay_ms[
            (self._pick(first), self._pick(second))
        ] = extra

    @stateful.rule(member=_members, extra=_durations)
    def slow_store(self, member: int, extra: int) -> None:
        """Delays the messages from a member to the store."""
        self.simulated.extra_delay_ms[
            (self._pick(member), simulation.STORE)
        ] = extra

    @stateful.rule(per_mille=strategies.sampled_from([0, 100, 400]))
    def degrade_network(self, per_mille: int) -> None:
        """Loses, duplicates and delays messages at random."""
        self.simulated.disturbed_per_mille = per_mille

    @stateful.rule()
    def heal(self) -> None:
        """Removes all cuts and delays of links."""
        self.simulated.cut_links.clear()
        self.simulated.extra_delay_ms.clear()

    @stateful.rule(member=_members)
    def restart(self, member: int) -> None:
        """Ends a member unless it is the last, and adds a new one."""
        if len(self.simulated.nodes) > 1:
            self.simulated.lose(self._pick(member))
        self._join()

    @stateful.rule(member=_members)
    def leave(self, member: int) -> None:
        """Makes a member leave."""
        name = self._pick(member)
        self.simulated.nodes[name].leave(self.simulated.read_clock(name))

    @stateful.rule(
        shard=strategies.integers(0, _SHARD_COUNT - 1), member=_members
    )
    def want(self, shard: int, member: int) -> None:
        """Sets the target owner of a shard."""
        self.simulated.want(shard, self._pick(member))

    def _join(self) -> None:
        if len(self.simulated.nodes) >= _MAX_MEMBERS:
            return
        number = self.joined_count
        self.joined_count += 1
        self.simulated.join(f"m{number}", f"d{number % 3}")

    def _pick(self, member: int) -> str:
        names = list(self.simulated.nodes)
        return names[member % len(names)]


def search(
    factories: simulation.Factories, example_count: int
) -> simulation.TwoOwners | None:
    """Searches for a shard with two owners.

    Args:
        factories: The classes of the lease decisions to test.
        example_count: The maximum number of fault sequences to try.

    Returns:
        The failure found; `None` if no sequence led to two owners.
    """

    class Found(Machine):
        pass

    Found.factories = factories
    bounds = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=example_count,
        stateful_step_count=25,
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        stateful.run_state_machine_as_test(Found, settings=bounds)
    except simulation.TwoOwners as error:
        return error
    return None
