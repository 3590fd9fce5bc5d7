"""Decodes what servers say of themselves, and encodes what they are granted."""

import dataclasses
import urllib.parse

import msgspec

MAX_REPLY_BYTES = 4_096
"""A longer answer isn't taken as an acknowledgement (the platform's pages)."""

_PATH = "/rpc"


class CannotDecode(Exception):
    """The call is no heartbeat that could be used."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A range of keys that a server holds or is to hold, both ends included.

    `handover` is the token of the last holder, empty where there is none.
    """

    first: int
    last: int
    fence: int
    handover: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreedRange:
    """A range of keys that a server has released, with its token."""

    first: int
    last: int
    handover: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """What a server says of itself.

    `born_ms` is the Unix time of its start, and tells its lives apart.
    `held` is None where the server holds keys of no kind.
    """

    server_id: str
    born_ms: int
    service: str
    sequence: int
    slots: int
    is_draining: bool
    held: tuple[Grant, ...] | None
    freed: tuple[FreedRange, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deregistration:
    """A server says that it leaves, and sends no more heartbeats."""

    server_id: str


class _Information(msgspec.Struct):
    service: str
    slots: int


class _Status(msgspec.Struct, rename="camel"):
    state: str
    sequence: int
    # Read by nothing, but a heartbeat with a malformed one is refused.
    cold_remaining_ms: float = 0.0


class _Body(msgspec.Struct):
    information: _Information
    status: _Status
    born: int = 0
    holds: list[tuple[int, int, int]] | None = None
    freed: list[tuple[int, int, str]] | None = None


def decode(target: str, content: bytes) -> Heartbeat | Deregistration | None:
    """Decodes one call of a server.

    Args:
        target: The request target of the call.
        content: Its body.

    Returns:
        What the call says; None where it is another call.

    Raises:
        CannotDecode: The call is malformed; it names no server to use.
    """
    path, _, query = target.partition("?")
    if path != _PATH:
        return None
    fields = dict(urllib.parse.parse_qsl(query))
    server_id = fields.get("of", "")
    if not server_id:
        raise CannotDecode("no server is named")
    match fields.get("call"):
        case "instances.deregister":
            return Deregistration(server_id=server_id)
        case "instances.heartbeat":
            return _decode_heartbeat(server_id, content)
        case _:
            return None


def encode_reply(grants: tuple[Grant, ...] | None, hold_ms: int) -> bytes:
    """Encodes the answer to a heartbeat.

    Args:
        grants: All that the server is to hold; None renews nothing.
        hold_ms: How long, counted from when the heartbeat was sent.
    """
    if grants is None:
        return b"{}"
    rows = [(g.first, g.last, g.fence, g.handover) for g in grants]
    return msgspec.json.encode({"holds": rows, "holdMs": hold_ms})


def _decode_heartbeat(server_id: str, content: bytes) -> Heartbeat:
    try:
        body = msgspec.json.decode(content, type=_Body)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
    if body.status.state not in ("ready", "draining"):
        raise CannotDecode(f"unknown state {body.status.state!r}")
    held = None
    if body.holds is not None:
        held = tuple(
            Grant(first=first, last=last, fence=fence)
            for first, last, fence in body.holds
        )
    return Heartbeat(
        server_id=server_id,
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
    )
