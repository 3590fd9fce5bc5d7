"""The record of a node in the store, and its encoding."""

import msgspec

from rhubarblead import decoding


class CannotDecode(Exception):
    """The bytes are not a valid member record."""


MAX_DEPARTURE_COUNT = 8
"""Exits in a row; servers of an instance follow one another in seconds."""


class Departure(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A server process that has announced its exit.

    Processes with the same id that started before it have ended.
    """

    server_id: str
    born_ms: int


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A node and the current process of its server.

    `ends_store_ms` is the store time at which the node's lease ends, 0 for a
    node whose server holds no keys. `born_ms` is the start time of the server
    process, 0 while no server is known. `granter` is the process that may take
    over the node's keys under short promises, and `term` counts how often this
    process has chosen a granter. `hold_ms` is the longest hold, counted from
    the last heartbeat, that the process has granted to its server. `era` is
    the era of the store in which the record was written. `departure` is the
    last exit that a server of the node has announced, by which the node's next
    process knows delayed heartbeats, and `earlier_departures` are those before
    it, the newest first. While a row with `stores_exits` stands,
    the process that has written it acknowledges no exit that isn't stored, so
    that the next one knows all of them.
    """

    node_id: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    born_ms: int = 0
    ends_store_ms: int = 0
    granter: str = ""
    term: int = 0
    hold_ms: int = 0
    era: int = 0
    departure: Departure | None = None
    stores_exits: bool = False
    earlier_departures: tuple[Departure, ...] = ()

    @property
    def departures(self) -> tuple[Departure, ...]:
        """All exits that are named, the newest first."""
        if self.departure is None:
            return ()
        return (self.departure, *self.earlier_departures)

    def replace_departures(self, departures: tuple[Departure, ...]) -> "Member":
        """Returns the member with other exits, given the newest first."""
        return msgspec.structs.replace(
            self,
            departure=departures[0] if departures else None,
            earlier_departures=departures[1:],
        )


def add_departure(
    departures: tuple[Departure, ...], new: Departure
) -> tuple[Departure, ...]:
    """Adds an exit, which stands for all earlier ones under the same id.

    Returns:
        The exits, the newest first, with the oldest dropped if there are many.
    """
    same = [item for item in departures if item.server_id == new.server_id]
    if any(item.born_ms >= new.born_ms for item in same):
        return departures
    others = [item for item in departures if item.server_id != new.server_id]
    return (new, *others)[:MAX_DEPARTURE_COUNT]


def encode(member: Member) -> bytes:
    """Encodes a member record for the store."""
    return msgspec.msgpack.encode(member)


def decode(content: bytes) -> Member:
    """Decodes a member record from the store.

    Raises:
        CannotDecode: The content is malformed.
    """
    try:
        return decoding.decode_msgpack(content, Member)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
