"""Ledger of idempotency keys; runs an unrepeatable request at most once.

An unknown key is refused rather than run if its entry may have been lost. Keys
contain their issue time, and each shard has a time before which its entries may
be incomplete.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import TypeAlias

import msgspec

from rhubarblead import messages
from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.requests import idempotency

STARTED = "started"
FINISHED = "finished"
ABANDONED = "abandoned"
IN_DOUBT = "in-doubt"
ADOPTED = "adopted"

_CALLER_SKEW_MS = 2_000
_NODE_SKEW_MS = 250
_KEPT_BODY_BYTES = 16_384
_KEPT_TOTAL_BYTES = 2**25
_FULL_RETRY_AFTER_MS = 1_000
_RETRY_AFTER_MS = 200
_MARKER_KEY = ""

_Shard: TypeAlias = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One send of an unrepeatable request.

    `digest` covers method, target and body, as a key must not be used for a
    different request. `remember_ms` is the time after its issue during which a
    key may be used.
    """

    pool: str
    shard: int
    idempotency_key: str
    digest: int
    remember_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """The request may run, once `entry` has been replicated."""

    entry: messages.LedgerEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The request has run; `entry` holds its answer."""

    entry: messages.LedgerEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The request must not run; `verdict` includes its earlier sends."""

    refused: refusals.Refused
    verdict: verdicts.Verdict


Decision: TypeAlias = Run | Replay | Refuse


class Ledger:
    """Decides on unrepeatable requests; callers must serialise calls."""

    __slots__ = (
        "_capacity",
        "_entries",
        "_kept_bytes",
        "_lost_before_ms",
        "_sequence",
    )

    def __init__(self, *, capacity: int) -> None:
        """Creates a ledger that has adopted no shard.

        Args:
            capacity: Maximum number of entries.
        """
        self._capacity = capacity
        self._kept_bytes = 0
        self._entries: collections.OrderedDict[
            tuple[str, int, str], messages.LedgerEntry
        ] = collections.OrderedDict()
        self._lost_before_ms: dict[_Shard, int] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def adopt(
        self,
        *,
        pool: str,
        shards: Iterable[int],
        entries: Iterable[messages.LedgerEntry],
        lost_before_ms: int,
    ) -> list[messages.LedgerEntry]:
        """Takes over the entries of shards from their previous owner.

        Args:
            pool: The pool of the shards.
            shards: The shards.
            entries: The known entries of these shards.
            lost_before_ms: Requests with keys issued before this wall clock
                time may have run without an entry; 0 if `entries` is
                complete.

        Returns:
            The entries to replicate before any request runs on the shards: one
            marker per shard, and the adopted entries.
        """
        wanted = frozenset(shards)
        lost = dict.fromkeys(wanted, lost_before_ms)
        kept: dict[str, messages.LedgerEntry] = {}
        for entry in entries:
            if entry.pool != pool or entry.shard not in wanted:
                continue
            if entry.state == ADOPTED:
                before_ms = max(lost[entry.shard], entry.lost_before_ms)
                lost[entry.shard] = before_ms
                continue
            known = kept.get(entry.idempotency_key)
            if known is None or entry.sequence > known.sequence:
                kept[entry.idempotency_key] = entry
        for entry in kept.values():
            self._adopt_entry(entry)
        for shard, before_ms in lost.items():
            known_ms = self._lost_before_ms.get((pool, shard), 0)
            self._lost_before_ms[pool, shard] = max(before_ms, known_ms)
        return self.list_entries(pool=pool, shards=wanted)

    def drop_shards(self, *, pool: str, shards: Iterable[int]) -> None:
        """Drops the entries of shards that another member owns now."""
        dropped = {(pool, shard) for shard in shards}
        for shard in dropped:
            self._lost_before_ms.pop(shard, None)
        for key in [key for key in self._entries if key[:2] in dropped]:
            self._remove(key)

    def list_entries(
        self, *, pool: str, shards: Iterable[int]
    ) -> list[messages.LedgerEntry]:
        """Lists the entries of shards, with a marker for each shard."""
        wanted = frozenset(shards)
        markers = [
            messages.LedgerEntry(
                pool=pool,
                shard=shard,
                idempotency_key=_MARKER_KEY,
                state=ADOPTED,
                sequence=self._next_sequence(),
                lost_before_ms=self._lost_before_ms[pool, shard],
            )
            for shard in sorted(wanted)
            if (pool, shard) in self._lost_before_ms
        ]
        return markers + [
            entry
            for entry in self._entries.values()
            if entry.pool == pool and entry.shard in wanted
        ]

    def list_all(self) -> list[messages.LedgerEntry]:
        """Lists all entries, with a marker for each shard."""
        shards: dict[str, set[int]] = {}
        for pool, shard in self._lost_before_ms:
            shards.setdefault(pool, set()).add(shard)
        return [
            entry
            for pool, numbers in shards.items()
            for entry in self.list_entries(pool=pool, shards=numbers)
        ]

    def begin(self, *, claim: Claim, wall_ms: int) -> Decision:
        """Decides whether a request may run.

        Args:
            claim: The request.
            wall_ms: Wall clock time in milliseconds.

        Returns:
            The decision; `Run` at most once per key, unless `abandon` follows.
        """
        entry = self._entries.get(_find_entry_key(claim))
        if entry is not None:
            return self._decide_known(claim, entry)
        refused = self._find_refusal(claim, wall_ms)
        if refused is not None:
            return refused
        if not self._make_room():
            return _refuse(
                refusals.Refusal.OVERLOADED,
                "too many unrepeatable requests are running",
                retry_after_ms=_FULL_RETRY_AFTER_MS,
            )
        entry = self._make(claim, STARTED)
        self._put(entry)
        return Run(entry=entry)

    def finish(
        self,
        *,
        claim: Claim,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> messages.LedgerEntry:
        """Stores the answer to a request that has run.

        Args:
            claim: The request.
            status: Status code of the answer.
            headers: Headers of the answer.
            body: Body of the answer; a large body is not stored.

        Returns:
            The entry to replicate.
        """
        size_bytes = _count_bytes(headers, body)
        has_body = (
            size_bytes <= _KEPT_BODY_BYTES
            and self._kept_bytes + size_bytes <= _KEPT_TOTAL_BYTES
        )
        entry = messages.LedgerEntry(
            pool=claim.pool,
            shard=claim.shard,
            idempotency_key=claim.idempotency_key,
            state=FINISHED,
            sequence=self._next_sequence(),
            request_digest=claim.digest,
            status=status,
            headers=headers if has_body else (),
            body=body if has_body else b"",
            has_body=has_body,
        )
        self._put(entry)
        return entry

    def mark_in_doubt(self, claim: Claim) -> messages.LedgerEntry:
        """Marks that a request may have run, so that it never runs again."""
        entry = self._make(claim, IN_DOUBT)
        self._put(entry)
        return entry

    def abandon(self, claim: Claim) -> messages.LedgerEntry:
        """Removes the entry of a request that has not run.

        Args:
            claim: The request.

        Returns:
            An entry that makes the replicas remove theirs. A request that has
            finished or is in doubt keeps its entry, which is returned.
        """
        entry = self._entries.get(_find_entry_key(claim))
        if entry is not None and entry.state != STARTED:
            return entry
        self._remove(_find_entry_key(claim))
        return self._make(claim, ABANDONED)

    def _decide_known(
        self, claim: Claim, entry: messages.LedgerEntry
    ) -> Decision:
        if entry.request_digest != claim.digest:
            return _refuse(
                refusals.Refusal.KEY_REUSED,
                "the idempotency key belongs to another request",
            )
        match entry.state:
            case "finished":
                return Replay(entry=entry)
            case "started":
                return _refuse(
                    refusals.Refusal.IN_PROGRESS,
                    "the request is running; ask again",
                    verdicts.Verdict.MAY_HAVE_RUN,
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            case _:
                return _refuse(
                    refusals.Refusal.MEMORY_LOST,
                    "an earlier send may have run; its answer was lost",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )

    def _find_refusal(self, claim: Claim, wall_ms: int) -> Refuse | None:
        lost_before_ms = self._lost_before_ms.get((claim.pool, claim.shard))
        if lost_before_ms is None:
            return _refuse(
                refusals.Refusal.LEDGER_UNAVAILABLE,
                "the memory of the shard is being taken over",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        try:
            issued_ms = idempotency.read_issued_ms(claim.idempotency_key)
        except idempotency.CannotReadKey as error:
            return _refuse(refusals.Refusal.MISSING_IDEMPOTENCY_KEY, str(error))
        # Only for keys issued from this time on does a missing entry prove that
        # no earlier send has run, as refusals with the verdict "not run" state.
        if issued_ms < lost_before_ms:
            return _refuse(
                refusals.Refusal.MEMORY_LOST,
                "what was remembered when the key was issued is lost",
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        if issued_ms > wall_ms + _CALLER_SKEW_MS:
            return _refuse(
                refusals.Refusal.MALFORMED,
                "the idempotency key was issued in the future",
            )
        if issued_ms < wall_ms - claim.remember_ms:
            return _refuse(
                refusals.Refusal.MEMORY_LOST,
                "the idempotency key is older than what is remembered",
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        return None

    def _adopt_entry(self, entry: messages.LedgerEntry) -> None:
        if entry.state == ABANDONED:
            return
        # A request that was running when its owner failed may have run.
        state = IN_DOUBT if entry.state == STARTED else entry.state
        self._put(
            msgspec.structs.replace(
                entry, state=state, sequence=self._next_sequence()
            )
        )

    def _make(self, claim: Claim, state: str) -> messages.LedgerEntry:
        return messages.LedgerEntry(
            pool=claim.pool,
            shard=claim.shard,
            idempotency_key=claim.idempotency_key,
            state=state,
            sequence=self._next_sequence(),
            request_digest=claim.digest,
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _put(self, entry: messages.LedgerEntry) -> None:
        key = (entry.pool, entry.shard, entry.idempotency_key)
        self._remove(key)
        self._entries[key] = entry
        self._kept_bytes += _count_bytes(entry.headers, entry.body)
        while len(self._entries) > self._capacity and self._drop_oldest():
            pass

    def _remove(self, key: tuple[str, int, str]) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._kept_bytes -= _count_bytes(entry.headers, entry.body)

    def _make_room(self) -> bool:
        return len(self._entries) < self._capacity or self._drop_oldest()

    def _drop_oldest(self) -> bool:
        """Evicts the oldest entry whose request is not running, if any."""
        entry = next(
            (e for e in self._entries.values() if e.state != STARTED), None
        )
        if entry is None:
            return False
        self._remove((entry.pool, entry.shard, entry.idempotency_key))
        issued_ms = idempotency.read_issued_ms(entry.idempotency_key)
        shard = (entry.pool, entry.shard)
        known_ms = self._lost_before_ms.get(shard, 0)
        self._lost_before_ms[shard] = max(known_ms, issued_ms + 1)
        return True


def find_lost_before_ms(wall_ms: int) -> int:
    """Finds `lost_before_ms` for a shard whose entries were just lost.

    Args:
        wall_ms: Wall clock time of the new owner in milliseconds.

    Returns:
        The wall clock time before which keys may have been used. The previous
        owner accepted keys issued up to the allowed skew ahead of its clock,
        which may in turn have been ahead of this node's.
    """
    return wall_ms + _CALLER_SKEW_MS + _NODE_SKEW_MS + 1


def _count_bytes(headers: tuple[tuple[str, str], ...], body: bytes) -> int:
    return len(body) + sum(len(name) + len(value) for name, value in headers)


def _find_entry_key(claim: Claim) -> tuple[str, int, str]:
    return claim.pool, claim.shard, claim.idempotency_key


def _refuse(
    refusal: refusals.Refusal,
    explanation: str,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    *,
    retry_after_ms: int = 0,
) -> Refuse:
    return Refuse(
        refused=refusals.Refused(
            refusal=refusal,
            explanation=explanation,
            retry_after_ms=retry_after_ms,
        ),
        verdict=verdict,
    )
