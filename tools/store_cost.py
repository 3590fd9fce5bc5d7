"""Measures the size and processor time of the ownership log, as JSON.

The platform's services are replaced by in-memory ones, so that only the work of
the client is counted.

Usage: python -m tools.store_cost
"""

from collections.abc import Callable
import dataclasses
import itertools
import sys
import time
from typing import TypeAlias

import msgspec
import result

from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import ownership_row
from rhubarblead.tablestore import store

_MEMBER_COUNTS = (13, 200, 1_800)
_SHARD_COUNT = 65_536
_POOL = "dispatch"
_DOMAIN_COUNT = 24
_ROUNDS = 5
_ROW_ENTRIES_BOUND = 2 * ownership_row.MAX_ENTRIES
_NS_PER_US = 1_000

_Changes: TypeAlias = tuple[membership.Change, ...]


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and times with a number of members.

    Times are the processor time of one call, the minimum of several rounds.
    `row_bytes` and `row_entries` are those of the row just before its
    compaction, when each entry moves the shards of one member. `append_us`
    appends the last entry before the compaction, `compaction_us` the next one
    and writes the snapshot. `poll_us` reads the full row with one new entry,
    `cold_read_us` the full row and the snapshot. `append_us` and `poll_us` are
    None if every append compacts the row. `domain_loss_entry_bytes` is the size
    of an entry that evicts all members of one of 24 failure domains.
    """

    member_count: int
    shard_count: int
    snapshot_bytes: int
    eviction_entry_bytes: int
    domain_loss_entry_bytes: int
    join_entry_bytes: int
    granters_entry_bytes: int
    row_bytes: int
    row_entries: int
    append_us: int | None
    compaction_us: int
    poll_us: int | None
    cold_read_us: int


class _MemoryStore(store.Store):
    """A store that keeps the row and all objects in memory."""

    __slots__ = ("objects", "row")

    def __init__(self) -> None:
        address = settings.Address.model_validate(
            {"ip_address": "127.0.0.1", "port": 1}
        )
        super().__init__(
            platform=settings.Platform(
                table_service=address, object_store=address
            ),
            instance="cost",
        )
        self.objects: dict[str, bytes] = {}
        self.row = store.Row(name=ownership_row.NAME, revision=0, value=b"null")

    def read_row(
        self, *, name: str, known_revision: int | None = None
    ) -> result.Result[store.Row | store.NotModified, store.StoreError]:
        """Returns the row, unless its revision is known."""
        if known_revision == self.row.revision:
            return result.Ok(store.NotModified())
        return result.Ok(self.row)

    def commit(
        self, *, transaction: store.Transaction
    ) -> result.Result[store.Committed, store.StoreError]:
        """Replaces the row if it has the expected revision."""
        (put,) = transaction.puts
        if put.expected_revision != self.row.revision:
            return result.Err(store.Conflict(rows=(self.row,)))
        revision = put.expected_revision + 1
        self.row = store.Row(name=put.name, revision=revision, value=put.value)
        return result.Ok(store.Committed(revisions={put.name: revision}))

    def put_object(
        self, *, content: bytes
    ) -> result.Result[str, store.StoreError]:
        """Stores an object."""
        digest = store.compute_digest(content)
        self.objects[digest] = content
        return result.Ok(digest)

    def read_object(
        self, *, digest: str
    ) -> result.Result[bytes, store.StoreError]:
        """Returns an object."""
        return result.Ok(self.objects[digest])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Checkpoint:
    """The log at one revision, to be restored later."""

    row: store.Row
    state: ownership.State


class _Writer:
    """Appends entries and keeps the state that results from them."""

    __slots__ = ("_ids", "log", "memory", "state")

    def __init__(self) -> None:
        self._ids = itertools.count()
        self.memory = _MemoryStore()
        self.log = self.make_log()
        self.state = ownership.State()

    def make_log(self) -> ownership_log.OwnershipLog:
        return ownership_log.OwnershipLog(store=self.memory, author="cost")

    def append(self, changes: _Changes) -> membership.Entry:
        entry = self.append_only(changes)
        self.state = ownership.apply_entries(self.state, (entry,))
        return entry

    def append_only(self, changes: _Changes) -> membership.Entry:
        # Padded to the length of production ids, which are UUIDs.
        write_id = f"{next(self._ids):036d}"
        appended = self.log.append(
            state=self.state, changes=changes, write_id=write_id
        )
        return appended.unwrap().entry

    def checkpoint(self) -> _Checkpoint:
        return _Checkpoint(row=self.memory.row, state=self.state)

    def restore(self, checkpoint: _Checkpoint) -> None:
        self.memory.row = checkpoint.row
        self.state = checkpoint.state

    def read_row(self) -> ownership_row.Row:
        row = self.memory.row
        return ownership_row.decode_row(row.value, revision=row.revision)


def _make_member(number: int, member_count: int) -> membership.Member:
    granters = tuple(
        _name((number + step) % member_count) for step in (1, 2, 3)
    )
    domain = number % _DOMAIN_COUNT
    return membership.Member(
        member_id=_name(number),
        instance=f"dispatch-{number}",
        incarnation=f"{number:08x}",
        failure_domain=f"domain-{domain}",
        region=f"region-{domain // 3}",
        pool=_POOL,
        ip_address=f"10.0.{number // 256}.{number % 256}",
        http_port=8_080,
        data_port=8_081,
        control_port=8_082,
        granters=granters,
        granters_epoch=1,
    )


def _name(number: int) -> str:
    return f"dispatch-{number}-{number:08x}"


def _make_writer(member_count: int) -> _Writer:
    writer = _Writer()
    members = [_make_member(n, member_count) for n in range(member_count)]
    writer.append(
        tuple(membership.MemberJoined(member=member) for member in members)
    )
    writer.append(
        (membership.PoolSharded(pool=_POOL, shard_count=_SHARD_COUNT),)
    )
    moves = tuple(
        membership.ShardMove(shard=shard, owner=_name(shard % member_count))
        for shard in range(_SHARD_COUNT)
    )
    writer.append((membership.ShardsMoved(pool=_POOL, moves=moves),))
    return writer


def _list_domain(state: ownership.State, domain: str) -> list[str]:
    return [
        member.member_id
        for member in state.members.values()
        if member.failure_domain == domain
    ]


def _plan_evictions(state: ownership.State, lost: list[str]) -> _Changes:
    others = itertools.cycle(name for name in state.members if name not in lost)
    owned = {name: state.assignments[_POOL].list_shards(name) for name in lost}
    moves = tuple(
        membership.ShardMove(shard=shard, owner=next(others))
        for shards in owned.values()
        for shard in shards
    )
    evictions = tuple(
        membership.MemberEvicted(
            member_id=name,
            granters_epoch=1,
            lapsed_by=state.members[name].granters[:2],
        )
        for name in lost
    )
    return (*evictions, membership.ShardsMoved(pool=_POOL, moves=moves))


def _plan_granters(member: membership.Member) -> _Changes:
    return (
        membership.GrantersChanged(
            member_id=member.member_id,
            granters=member.granters,
            granters_epoch=2,
        ),
    )


def _fill_row(
    writer: _Writer, changes: _Changes
) -> tuple[_Checkpoint, _Checkpoint]:
    """Appends until the row is compacted.

    Returns:
        The last two checkpoints before the compaction.
    """
    before = full = writer.checkpoint()
    base = writer.read_row().base_revision
    for _ in range(_ROW_ENTRIES_BOUND):
        writer.append(changes)
        if writer.read_row().base_revision != base:
            return before, full
        before, full = full, writer.checkpoint()
    raise RuntimeError("the row was never compacted")


def _time_append(
    writer: _Writer, checkpoint: _Checkpoint, changes: _Changes
) -> int:
    writer.restore(checkpoint)
    # A writer that follows the log has already read the row.
    writer.log = writer.make_log()
    writer.log.read(state=ownership.State()).unwrap()
    return _time_ns(lambda: writer.append_only(changes))


def _time_read(
    writer: _Writer, checkpoint: _Checkpoint, state: ownership.State
) -> int:
    writer.restore(checkpoint)
    log = writer.make_log()
    return _time_ns(lambda: log.read(state=state).unwrap())


def _measure_min_us(time_ns: Callable[[], int]) -> int:
    return min(time_ns() for _ in range(_ROUNDS)) // _NS_PER_US


def _time_ns(call: Callable[[], object]) -> int:
    started_at_ns = time.process_time_ns()
    call()
    return time.process_time_ns() - started_at_ns


def _measure(member_count: int) -> Cost:
    writer = _make_writer(member_count)
    fresh = writer.checkpoint()
    member = writer.state.members[_name(0)]
    eviction = _plan_evictions(writer.state, [member.member_id])
    domain = _list_domain(writer.state, member.failure_domain)
    moves = eviction[1:]
    _fill_row(writer, moves)
    before, full = _fill_row(writer, moves)
    row = ownership_row.decode_row(full.row.value, revision=full.row.revision)
    append_us = poll_us = None
    if before is not full:
        append_us = _measure_min_us(lambda: _time_append(writer, before, moves))
        poll_us = _measure_min_us(
            lambda: _time_read(writer, full, before.state)
        )
    compaction_us = _measure_min_us(lambda: _time_append(writer, full, moves))
    cold_read_us = _measure_min_us(
        lambda: _time_read(writer, full, ownership.State())
    )
    writer.restore(fresh)
    return Cost(
        member_count=member_count,
        shard_count=_SHARD_COUNT,
        snapshot_bytes=len(writer.memory.objects[row.base_digest]),
        eviction_entry_bytes=_measure_entry(writer, eviction),
        domain_loss_entry_bytes=_measure_entry(
            writer, _plan_evictions(writer.state, domain)
        ),
        join_entry_bytes=_measure_entry(
            writer, (membership.MemberJoined(member=member),)
        ),
        granters_entry_bytes=_measure_entry(writer, _plan_granters(member)),
        row_bytes=len(full.row.value),
        row_entries=len(row.entries),
        append_us=append_us,
        compaction_us=compaction_us,
        poll_us=poll_us,
        cold_read_us=cold_read_us,
    )


def _measure_entry(writer: _Writer, changes: _Changes) -> int:
    checkpoint = writer.checkpoint()
    entry = writer.append_only(changes)
    writer.restore(checkpoint)
    return len(msgspec.json.encode(entry))


def main() -> int:
    """Prints the costs for each number of members."""
    costs = [_measure(member_count) for member_count in _MEMBER_COUNTS]
    print(msgspec.json.format(msgspec.json.encode(costs)).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
