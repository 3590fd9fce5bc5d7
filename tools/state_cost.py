"""Measures the cost of a node's state in memory, bytes and processor time.

Each measurement runs in a new child process, because the reuse of memory freed
by an earlier one would go unnoticed.

Usage: python -m tools.state_cost [--output FILE]
"""

import argparse
from collections.abc import Callable
import gc
import json
import multiprocessing
import pathlib
import platform
import resource
import sys
import time

import msgspec

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import status
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.tablestore import ownership_row
from tools import control_cost

_MEMBERS = 1_800
_SHARD_COUNTS = (2**14, 2**16, 2**17)
_LEDGER_ENTRIES = (10_000, 50_000)
_EVENTS = (10_000, 40_000)
_REPEATS = 20
_MOVES_PER_LOSS = 73
_POOL = "dispatch"
_US_PER_S = 1e6


def make_state(shard_count: int) -> ownership.State:
    """Creates a state of 1,800 members in which all shards are owned."""
    state = control_cost.make_state(_MEMBERS, _MEMBERS)
    names = list(state.members)
    state.assignments[_POOL] = ownership.Assignment(
        shard_count=shard_count,
        owners=[names[shard % _MEMBERS] for shard in range(shard_count)],
        fences=[1_000 + shard for shard in range(shard_count)],
    )
    return state


def measure_state(shard_count: int) -> dict[str, float]:
    """Measures the ownership state with a number of shards."""
    before = read_rss_bytes()
    state = make_state(shard_count)
    growth = read_rss_bytes() - before
    entry = make_takeover(state)
    shard_map = make_map(state)
    return {
        "shards_count": shard_count,
        "rss_grown_bytes": growth,
        "snapshot_bytes": len(
            ownership_row.encode_snapshot(ownership_row.Row(), state)
        ),
        "takeover_entry_bytes": len(msgspec.msgpack.encode(entry)),
        "apply_takeover_us": time_us(
            lambda: ownership.apply_entries(state, [entry])
        ),
        "list_own_shards_us": time_us(
            lambda: state.assignments[_POOL].list_shards("")
        ),
        "map_bytes": len(status.encode(shard_map)),
        "map_encode_us": time_us(lambda: status.encode(shard_map)),
    }


def make_takeover(state: ownership.State) -> membership.Entry:
    """Creates the entry that evicts one member and moves its shards."""
    lost = next(iter(state.members))
    new_owners = list(state.members)[1:]
    moves = tuple(
        membership.ShardMove(
            shard=shard, owner=new_owners[shard % len(new_owners)]
        )
        for shard in range(_MOVES_PER_LOSS)
    )
    return membership.Entry(
        revision=state.revision + 1,
        write_id="0190a5d2-7c4e-7000-8000-000000000000",
        author=new_owners[0],
        written_at_ms=1,
        changes=(
            membership.MemberEvicted(
                member_id=lost,
                granters_epoch=1,
                lapsed_by=tuple(new_owners[:2]),
            ),
            membership.ShardsMoved(pool=_POOL, moves=moves),
        ),
    )


def make_map(state: ownership.State) -> status.ShardMap:
    """Creates the shard map that routing clients fetch."""
    indexes = {name: index for index, name in enumerate(state.members)}
    assignment = state.assignments[_POOL]
    return status.ShardMap(
        pool=_POOL,
        revision=state.revision,
        shard_count=assignment.shard_count,
        nodes=tuple(f"10.0.{i // 250}.{i % 250}:8080" for i in range(_MEMBERS)),
        owners=tuple(indexes[owner] for owner in assignment.owners),
    )


def measure_ledger(count: int) -> dict[str, float]:
    """Measures the memory of ledger entries with small answers."""
    before = read_rss_bytes()
    entries = {
        index: messages.LedgerEntry(
            pool=_POOL,
            shard=index,
            idempotency_key=f"0190a5d2-7c4e-7000-8000-{index:012}",
            state="finished",
            sequence=index,
            request_digest=2**62 + index,
            status=200,
            headers=(("Content-Type", "application/json"),),
            body=b"{%d}" % (10**60 + index),
            has_body=True,
        )
        for index in range(count)
    }
    growth = read_rss_bytes() - before
    return {
        "entries_count": count,
        "rss_bytes_per_entry": round(growth / count, 1),
        "wire_bytes_per_entry": len(msgspec.msgpack.encode(entries[0])),
    }


def measure_events(count: int) -> dict[str, float]:
    """Measures the processor time and memory of one request event."""
    events = log.EventLog(instance="n", timeline_capacity=2 * count)
    before = read_rss_bytes()
    start_ns = time.process_time_ns()
    for index in range(count):
        events.emit(
            catalog.Event.REQUEST_ANSWERED,
            request_id=f"0190a5d2-7c4e-7000-8000-{index:012}",
            key=f"depot-{index}",
            pool=_POOL,
            shard=index,
            route="drops",
            server="dispatch-1",
            verdict="ran",
            status=200,
            duration_ms=3,
        )
    spent_ns = time.process_time_ns() - start_ns
    growth = read_rss_bytes() - before
    return {
        "events_count": count,
        "cpu_us_per_event": round(spent_ns / count / 1_000, 2),
        "rss_bytes_per_event": round(growth / count, 1),
    }


def time_us(run: Callable[[], object]) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    run()
    start = time.process_time()
    for _ in range(_REPEATS):
        run()
    return round((time.process_time() - start) / _REPEATS * _US_PER_S, 1)


def read_rss_bytes() -> int:
    """Reads the resident memory of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def main(arguments: list[str]) -> int:
    """Prints the results and, with `--output`, writes them to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args(arguments)
    context = multiprocessing.get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        report = {
            "command": "python -m tools.state_cost " + " ".join(arguments),
            "python": platform.python_version(),
            "members_count": _MEMBERS,
            "state": pool.map(measure_state, _SHARD_COUNTS, 1),
            "ledger": pool.map(measure_ledger, _LEDGER_ENTRIES, 1),
            "events": pool.map(measure_events, _EVENTS, 1),
        }
    text = json.dumps(report, indent=2)
    print(text)
    if options.output:
        options.output.write_text(text + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
