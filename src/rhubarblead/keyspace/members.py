"""What the store keeps of each node."""

import msgspec


class CannotDecode(Exception):
    """The bytes are no member."""


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One node, and the life of the server beside it.

    `ends_store_ms` is the store time at which its lease ends, 0 for a node
    whose server holds no keys. `born_ms` is 0 while no server is known.
    `granter` is the process that may take its keys by short promises, and
    `term` counts the choices of it by this process. `hold_ms` is the longest
    hold that the process has let its server have, from the last heartbeat on.
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


def encode(member: Member) -> bytes:
    """Encodes a member for the store."""
    return msgspec.msgpack.encode(member)


def decode(content: bytes) -> Member:
    """Decodes a member from the store.

    Raises:
        CannotDecode: It is malformed.
    """
    try:
        return msgspec.msgpack.decode(content, type=Member)
    except msgspec.MsgspecError as error:
        raise CannotDecode(str(error)) from error
