"""Tracks calls to peers: acknowledgements, resends and timeouts.

A call is a message that the receiver answers under the same id, and runs once
however often it arrives. It is therefore safe to send a call again when its
connection may be dead.
"""

import dataclasses

from rhubarblead.transport import links

_MAX_ATTEMPTS = 3
_ACKED_TIMEOUT_FACTOR = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call in progress."""

    call_id: str
    address: links.Address
    deadline_ms: int
    sent_at_ms: int = 0
    attempt: int = 0
    is_acknowledged: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resend:
    """The link to a peer must be reopened, and the calls sent again."""

    address: links.Address
    call_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """A call ended unanswered; if `is_sent`, the peer may have received it."""

    call_id: str
    is_sent: bool


class CallTable:
    """The calls of one task, and when each peer was last heard from."""

    __slots__ = ("_ack_timeout_ms", "_calls", "_last_received_ms")

    def __init__(self, *, ack_timeout_ms: int) -> None:
        self._ack_timeout_ms = ack_timeout_ms
        self._calls: dict[str, Call] = {}
        self._last_received_ms: dict[links.Address, int] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def start(self, *, call: Call, now_ms: int) -> None:
        """Records that a call is being sent for the first time."""
        call.sent_at_ms = now_ms
        call.attempt = 1
        self._calls[call.call_id] = call

    def record_ack(
        self, *, call_id: str, address: links.Address, now_ms: int
    ) -> None:
        """Records that a peer has acknowledged a call."""
        self._last_received_ms[address] = now_ms
        call = self._calls.get(call_id)
        if call is not None:
            call.is_acknowledged = True

    def complete(
        self, *, call_id: str, address: links.Address, now_ms: int
    ) -> bool:
        """Ends an answered call; returns whether it was in progress there."""
        self._last_received_ms[address] = now_ms
        call = self._calls.get(call_id)
        if call is None or call.address != address:
            return False
        del self._calls[call_id]
        return True

    def drop_peer(self, address: links.Address) -> list[GiveUp]:
        """Ends the calls to a peer that is no longer a member."""
        self._last_received_ms.pop(address, None)
        return [
            self._end(call)
            for call in list(self._calls.values())
            if call.address == address
        ]

    def tick(self, now_ms: int) -> tuple[list[Resend], list[GiveUp]]:
        """Determines which calls to send again and which to give up.

        Args:
            now_ms: The monotonic time.

        Returns:
            One resend for each peer whose link seems dead, and the calls that
            have ended.
        """
        given_up = []
        silent: dict[links.Address, list[str]] = {}
        for call in list(self._calls.values()):
            if now_ms >= call.deadline_ms:
                given_up.append(self._end(call))
            elif self._is_silent(call, now_ms):
                if call.attempt >= _MAX_ATTEMPTS and not call.is_acknowledged:
                    given_up.append(self._end(call))
                else:
                    silent.setdefault(call.address, []).append(call.call_id)
        for ids in silent.values():
            self._mark_resent(ids, now_ms)
        resends = [
            Resend(address=address, call_ids=tuple(ids))
            for address, ids in silent.items()
        ]
        return resends, given_up

    def _is_silent(self, call: Call, now_ms: int) -> bool:
        # Each attempt doubles the timeout, for a peer that is only busy.
        limit_ms = self._ack_timeout_ms << (call.attempt - 1)
        if call.is_acknowledged:
            limit_ms *= _ACKED_TIMEOUT_FACTOR
        received_at_ms = self._last_received_ms.get(call.address, 0)
        last_ms = call.sent_at_ms
        if call.is_acknowledged:
            last_ms = max(last_ms, received_at_ms)
        return now_ms - last_ms >= limit_ms

    def _mark_resent(self, call_ids: list[str], now_ms: int) -> None:
        for call_id in call_ids:
            call = self._calls[call_id]
            call.attempt += 1
            call.sent_at_ms = now_ms

    def _end(self, call: Call) -> GiveUp:
        del self._calls[call.call_id]
        return GiveUp(call_id=call.call_id, is_sent=call.attempt > 0)
