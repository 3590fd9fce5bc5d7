"""Replicates ledger entries to a member's granters and reads them back."""

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
class ReplicaRead:
    """Ledger entries read from the granters of a previous owner.

    `is_complete` is True if a read quorum of them had complete replicas, so
    that no entry written by that owner can be missing.
    """

    is_complete: bool
    entries: tuple[messages.LedgerEntry, ...]


def count_write_quorum(granter_count: int) -> int:
    """Counts the granters that must store an entry before a request runs."""
    return granter_count // 2 + 1 if granter_count else 0


def count_read_quorum(granter_count: int) -> int:
    """Counts the granters that must answer for a read to be complete."""
    return granter_count - count_write_quorum(granter_count) + 1


class LedgerReplicator:
    """Writes and reads replicas of ledger entries; thread-safe."""

    __slots__ = ("_peer_exchange",)

    def __init__(self, *, peer_exchange: exchange.PeerExchange) -> None:
        self._peer_exchange = peer_exchange

    def write(
        self,
        *,
        state: ownership.State,
        member: membership.Member,
        entries: tuple[messages.LedgerEntry, ...],
        is_all: bool = False,
    ) -> bool:
        """Writes entries to the member's granters and waits for a write quorum.

        One message carries all entries, so that a granter stores all or none.

        Args:
            state: The state with the granters' addresses.
            member: The owner of the entries.
            entries: The entries to replicate.
            is_all: Whether these are all the entries of the owner.

        Returns:
            Whether a write quorum stored them.
        """
        granters = _list_members(state, member.granters)
        required = count_write_quorum(len(member.granters))
        message = messages.LedgerWrite(
            call_id="",
            owner=member.member_id,
            entries=entries,
            is_all=is_all,
            granters_epoch=member.granters_epoch,
        )
        return len(self._call_until(granters, required, message)) >= required

    def send(
        self,
        *,
        state: ownership.State,
        member: membership.Member,
        entries: tuple[messages.LedgerEntry, ...],
    ) -> None:
        """Writes entries to the member's granters without waiting for them."""
        message = messages.LedgerWrite(
            call_id="", owner=member.member_id, entries=entries
        )
        self._send_to_all(_list_members(state, member.granters), message)

    def read(
        self,
        *,
        state: ownership.State,
        previous: membership.Member,
        pool: str,
        shards: tuple[int, ...],
    ) -> ReplicaRead:
        """Reads the entries that a previous owner of shards has written.

        Args:
            state: The state with the granters' addresses.
            previous: The previous owner's last member record.
            pool: The pool of the shards.
            shards: The shards to read.

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
        required = count_read_quorum(granter_count)
        responses = self._call_until(
            _list_members(state, previous.granters), granter_count, message
        )
        complete = [response for response in responses if response.is_complete]
        return ReplicaRead(
            is_complete=granter_count > 0 and len(complete) >= required,
            entries=tuple(
                e for response in responses for e in response.entries
            ),
        )

    def _send_to_all(
        self,
        granters: list[membership.Member],
        message: messages.LedgerWrite | messages.LedgerRead,
    ) -> list[futures.Future[exchange.Outcome]]:
        deadline_ms = clock.read_monotonic_ms() + _TIMEOUT_MS
        return [
            self._peer_exchange.call(
                address=views.find_data_address(granter),
                message=msgspec.structs.replace(
                    message, call_id=secrets.token_hex(_CALL_ID_BYTES)
                ),
                body=b"",
                deadline_ms=deadline_ms,
            )
            for granter in granters
        ]

    def _call_until(
        self,
        granters: list[membership.Member],
        required: int,
        message: messages.LedgerWrite | messages.LedgerRead,
    ) -> list[messages.LedgerResponse]:
        responses: list[messages.LedgerResponse] = []
        if not required:
            return responses
        for future in futures.as_completed(
            self._send_to_all(granters, message)
        ):
            match future.result():
                case exchange.Reply(
                    message=messages.LedgerResponse() as response
                ):
                    responses.append(response)
            if len(responses) >= required:
                break
        return responses


def _list_members(
    state: ownership.State, member_ids: tuple[str, ...]
) -> list[membership.Member]:
    return [
        state.members[member_id]
        for member_id in member_ids
        if member_id in state.members
    ]
