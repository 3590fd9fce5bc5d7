"""Decodes the heartbeats of servers, and encodes the grants in the replies."""

import dataclasses
from typing import Annotated
from typing import Literal
import urllib.parse

import msgspec

from rhubarblead import decoding
from rhubarblead.platform import settings

MAX_REPLY_BYTES = 4_096
"""A longer answer is no acknowledgement (see the platform's documentation)."""

_PATH = "/rpc"


class CannotDecode(Exception):
    """The call is not a valid heartbeat or deregistration."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A range of keys that a server holds or may hold, both ends included.

    `handover` is the token of the last holder, empty if there is none.
    """

    first: int
    last: int
    fence: int
    handover: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreedRange:
    """A range of keys that a server has released, with its handover token."""

    first: int
    last: int
    handover: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """The state that a server reports.

    `born_ms` is the Unix time of its start, and identifies the run of the
    server process. `held` is None if the server does not hold keys at all.
    `cold_remaining_ms` is how long it stays cold, 0 if it is warm.
    """

    server_id: str
    address: settings.Address
    failure_domain: str
    born_ms: int
    service: str
    sequence: int
    slots: int
    is_draining: bool
    held: tuple[Grant, ...] | None
    freed: tuple[FreedRange, ...]
    cold_remaining_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deregistration:
    """The notice that a server is leaving and will send no more heartbeats.

    `born_ms` is the Unix time of its start, 0 if it is not stated.
    """

    server_id: str
    born_ms: int = 0


MAX_SLOT_COUNT = 65_535
"""A server runs each request on a connection of its own."""

MAX_COLD_MS = 3_600_000
"""Servers are cold for some seconds."""

MAX_TOKEN_LENGTH = 128
"""Handover tokens have 16 characters; 20 of them go into one reply."""

MAX_ID_LENGTH = 200

_MAX_COUNT = 2**53 - 1

_Key = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Token = Annotated[str, msgspec.Meta(max_length=MAX_TOKEN_LENGTH)]


# All fields that a server sends are required, also those that nothing reads: a
# call in which one is missing is of another writer, and says nothing of the
# server.


class _Information(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOT_COUNT)]


class _Status(msgspec.Struct, rename="camel"):
    state: Literal["ready", "draining"]
    sequence: _Count
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]


class _DeregistrationBody(msgspec.Struct):
    born: _Count = 0


class _Body(msgspec.Struct):
    address: str
    born: Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
    information: _Information
    status: _Status
    # Only servers that hold keys send these.
    holds: list[tuple[_Key, _Key, _Count]] | None = None
    freed: list[tuple[_Key, _Key, _Token]] | None = None

    def __post_init__(self) -> None:
        settings.read_address(self.address)
        if (self.holds is None) != (self.freed is None):
            raise ValueError("one of the lists of ranges is missing")
        for first, last, _ in (*(self.holds or ()), *(self.freed or ())):
            if first > last:
                raise ValueError(f"range {first}-{last} is empty")


def decode(target: str, content: bytes) -> Heartbeat | Deregistration | None:
    """Decodes a call from a server.

    Args:
        target: The request target of the call.
        content: The body of the call.

    Returns:
        The decoded call, or None if it is of another kind.

    Raises:
        CannotDecode: The call is malformed, or names no server.
    """
    path, _, query = target.partition("?")
    if path != _PATH:
        return None
    fields = dict(urllib.parse.parse_qsl(query))
    server_id = fields.get("of", "")
    if not 0 < len(server_id) <= MAX_ID_LENGTH:
        raise CannotDecode("the call names no server")
    match fields.get("call"):
        case "instances.deregister":
            return _decode_deregistration(server_id, content)
        case "instances.heartbeat":
            return _decode_heartbeat(server_id, content)
        case _:
            return None


def encode_reply(
    grants: tuple[Grant, ...] | None,
    hold_ms: int,
    next_address: settings.Address | None = None,
) -> bytes:
    """Encodes the answer to a heartbeat.

    Args:
        grants: All ranges that the server may hold; None renews nothing.
        hold_ms: How long it may hold them, counted from the time at which it
            sent the heartbeat.
        next_address: Where it is to send later heartbeats, until one fails
            there; None leaves that as it is.
    """
    reply: dict[str, object] = {}
    if next_address is not None:
        reply["heartbeatAddress"] = str(next_address)
    if grants is not None:
        reply["holds"] = [
            (g.first, g.last, g.fence, g.handover) for g in grants
        ]
        reply["holdMs"] = hold_ms
    return msgspec.json.encode(reply)


def _decode_deregistration(server_id: str, content: bytes) -> Deregistration:
    try:
        body = decoding.decode_json(content or b"{}", _DeregistrationBody)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
    return Deregistration(server_id=server_id, born_ms=body.born)


def _decode_heartbeat(server_id: str, content: bytes) -> Heartbeat:
    try:
        body = decoding.decode_json(content, _Body)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
    held = None
    if body.holds is not None:
        held = tuple(
            Grant(first=first, last=last, fence=fence)
            for first, last, fence in body.holds
        )
    return Heartbeat(
        server_id=server_id,
        address=settings.read_address(body.address),
        failure_domain=body.information.zone,
        born_ms=body.born,
        service=body.information.service,
        sequence=body.status.sequence,
        slots=body.information.slots,
        is_draining=body.status.state == "draining",
        held=held,
        freed=tuple(
            FreedRange(first=first, last=last, handover=token)
            for first, last, token in body.freed or ()
        ),
        cold_remaining_ms=body.status.cold_remaining_ms,
    )
