"""Deliberate faults in ledger replication, to validate the tests."""

from collections.abc import Callable
from typing import Any
from unittest import mock

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead.node import view as views
from rhubarblead.node.ownership import acquisition
from rhubarblead.node.ownership import ledger_replication
from rhubarblead.node.ownership import replicas
from rhubarblead.node.requests import replicated_ledger


def _write_to_one() -> list[Any]:
    return [
        mock.patch.object(
            ledger_replication, "count_write_quorum", lambda count: 1
        ),
        mock.patch.object(
            ledger_replication,
            "count_read_quorum",
            lambda count: count // 2 + 1,
        ),
    ]


def _read_from_one() -> list[Any]:
    return [
        mock.patch.object(
            ledger_replication, "count_read_quorum", lambda count: 1
        )
    ]


def _ignore_sequence() -> list[Any]:
    def put(
        replica_store: replicas.ReplicaStore,
        replica: replicas._Replica,
        entry: messages.LedgerEntry,
    ) -> None:
        key = (entry.pool, entry.shard, entry.idempotency_key)
        if not entry.idempotency_key:
            replica.put_marker(entry)
            return
        replica.entries[key] = entry

    return [mock.patch.object(replicas.ReplicaStore, "_store", put)]


def _require_no_marker() -> list[Any]:
    def find_lost(
        acquired: acquisition.Acquisition,
        replica_read: ledger_replication.ReplicaRead,
    ) -> set[int]:
        is_known = acquired.is_new or replica_read.is_complete
        return set() if is_known else set(acquired.shards)

    return [mock.patch.object(replicated_ledger, "_find_lost", find_lost)]


def _accept_old_markers() -> list[Any]:
    def find_lost(
        acquired: acquisition.Acquisition,
        replica_read: ledger_replication.ReplicaRead,
    ) -> set[int]:
        if acquired.is_new:
            return set()
        known = {e.shard for e in replica_read.entries if not e.idempotency_key}
        is_complete = replica_read.is_complete
        return set(acquired.shards) - (known if is_complete else set())

    return [mock.patch.object(replicated_ledger, "_find_lost", find_lost)]


def _keep_old_replicas() -> list[Any]:
    def advance_epoch(
        replica: replicas._Replica, *, granters_epoch: int, is_granter: bool
    ) -> None:
        del is_granter
        replica.granters_epoch = max(replica.granters_epoch, granters_epoch)

    return [
        mock.patch.object(replicas._Replica, "advance_epoch", advance_epoch)
    ]


def _accept_mismatched_views() -> list[Any]:
    def is_ready(
        replicated: replicated_ledger.ReplicatedLedger,
        view: views.View,
        member: membership.Member,
    ) -> bool:
        del view
        return (
            member.member_id == replicated._member_id
            and member.granters_epoch == replicated._synced_epoch
        )

    return [
        mock.patch.object(
            replicated_ledger.ReplicatedLedger, "_is_ready", is_ready
        )
    ]


FAULTS: dict[str, Callable[[], list[Any]]] = {
    "one granter is enough for a write": _write_to_one,
    "one granter is enough for a read": _read_from_one,
    "an older entry replaces a newer one": _ignore_sequence,
    "a shard needs no marker": _require_no_marker,
    "a marker under an earlier fence counts": _accept_old_markers,
    "a granter of an earlier epoch counts": _keep_old_replicas,
    "requests start with views of other revisions": _accept_mismatched_views,
}
