"""Sends ledger entries to the granters of a member, and reads them back."""

from concurrent import futures
import dataclasses
import secrets

import msgspec

from rhubarblead import clock
from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead.node import view as views
from rhubarblead.transport import exchange

_TIMEOUT_MS = 400
_CALL_ID_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recalled:
    """What the granters of a previous owner remember.

    `is_complete` says that nothing which that owner wrote can be missing.
    """

    is_complete: bool
    entries: tuple[messages.LedgerEntry, ...]


def count_needed_writes(granter_count: int) -> int:
    """Counts how many granters must have an entry before a request runs."""
    return granter_count // 2 + 1 if granter_count else 0


def count_needed_reads(granter_count: int) -> int:
    """Counts how many granters must answer for a memory to be complete."""
    return granter_count - count_needed_writes(granter_count) + 1


class CopyKeeper:
    """Writes and reads copies of ledger entries; called from many threads."""

    __slots__ = ("_exchange",)

    def __init__(self, *, peers: exchange.Exchange) -> None:
        self._exchange = peers

    def write(
        self,
        *,
        state: ownership.State,
        member: membership.Member,
        entries: tuple[messages.LedgerEntry, ...],
        is_all: bool = False,
    ) -> bool:
        """Writes entries to the member's granters, and waits for enough.

        All entries travel in one message, so that a granter has all or none.

        Args:
            state: Where to find the granters.
            member: The owner of the entries.
            entries: What is to be remembered.
            is_all: Whether these are all the entries of the owner.

        Returns:
            Whether enough granters have them.
        """
        granters = _find_members(state, member.granters)
        needed = count_needed_writes(len(member.granters))
        message = messages.LedgerWrite(
            call_id="",
            owner=member.member_id,
            entries=entries,
            is_all=is_all,
            granters_epoch=member.granters_epoch,
        )
        return len(self._call(granters, needed, message)) >= needed

    def send(
        self,
        *,
        state: ownership.State,
        member: membership.Member,
        entries: tuple[messages.LedgerEntry, ...],
    ) -> None:
        """Writes entries to the member's granters without waiting."""
        message = messages.LedgerWrite(
            call_id="", owner=member.member_id, entries=entries
        )
        self._start(_find_members(state, member.granters), message)

    def read(
        self,
        *,
        state: ownership.State,
        previous: membership.Member,
        pool: str,
        shards: tuple[int, ...],
    ) -> Recalled:
        """Reads what a previous owner of shards has written.

        Args:
            state: Where to find its granters.
            previous: The previous owner's last record.
            pool: The pool of the shards.
            shards: The shards.

        Returns:
            The entries of all granters that answered in time.
        """
        message = messages.LedgerRead(
            call_id="",
            pool=pool,
            shards=shards,
            previous_owner=previous.member_id,
            granters_epoch=previous.granters_epoch,
        )
        granter_count = len(previous.granters)
        needed = count_needed_reads(granter_count)
        answers = self._call(
            _find_members(state, previous.granters), granter_count, message
        )
        complete = [answer for answer in answers if answer.is_complete]
        return Recalled(
            is_complete=granter_count > 0 and len(complete) >= needed,
            entries=tuple(e for answer in answers for e in answer.entries),
        )

    def _start(
        self,
        granters: list[membership.Member],
        message: messages.LedgerWrite | messages.LedgerRead,
    ) -> list[futures.Future[exchange.Outcome]]:
        deadline_ms = clock.read_monotonic_ms() + _TIMEOUT_MS
        return [
            self._exchange.call(
                address=views.find_data_address(granter),
                message=msgspec.structs.replace(
                    message, call_id=secrets.token_hex(_CALL_ID_BYTES)
                ),
                body=b"",
                deadline_ms=deadline_ms,
            )
            for granter in granters
        ]

    def _call(
        self,
        granters: list[membership.Member],
        needed: int,
        message: messages.LedgerWrite | messages.LedgerRead,
    ) -> list[messages.LedgerResponse]:
        answers: list[messages.LedgerResponse] = []
        if not needed:
            return answers
        for future in futures.as_completed(self._start(granters, message)):
            match future.result():
                case exchange.Reply(
                    message=messages.LedgerResponse() as answer
                ):
                    answers.append(answer)
            if len(answers) >= needed:
                break
        return answers


def _find_members(
    state: ownership.State, member_ids: tuple[str, ...]
) -> list[membership.Member]:
    return [
        state.members[member_id]
        for member_id in member_ids
        if member_id in state.members
    ]
