"""Sample messages and rows, by which versions of the router are compared.

    python -m tools.golden write             # of this version, as JSON
    python -m tools.golden decode < FILE     # those of another version

With the sources of another version first on the path, both work for that one.
"""

import json
import sys
import types
import typing
from typing import Any

import fire
import msgspec

from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import members
from rhubarblead.router import wire

_NUMBER = 7
_SAMPLES: dict[Any, Any] = {
    str: "text",
    bytes: b"bytes",
    bool: True,
    float: 1.5,
}


def make_sample(kind: Any) -> Any:  # noqa: ANN401
    """Makes a value of a type, in which each field is set."""
    if kind in _SAMPLES:
        return _SAMPLES[kind]
    if kind is int:
        return _NUMBER
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        return make_sample(arguments[0])
    if origin is dict:
        return {make_sample(arguments[0]): make_sample(arguments[1])}
    if origin is tuple and arguments[-1] is Ellipsis:
        return (make_sample(arguments[0]),)
    if origin is tuple:
        return tuple(make_sample(item) for item in arguments)
    if origin in (list, set, frozenset):
        return origin([make_sample(arguments[0])])
    return _make_struct(kind)


def _make_struct(kind: Any) -> Any:  # noqa: ANN401
    if kind is wire.RangeTransfers:
        return kind(owners=["n1/5"], rows=[(0, 9, 0, "token")])
    return kind(
        **{
            field.name: make_sample(field.type)
            for field in msgspec.structs.fields(kind)
        }
    )


def list_samples() -> dict[str, bytes]:
    """Returns the encoded samples by the name of their kind."""
    samples = {
        kind.__name__: wire.encode(make_sample(kind))
        for kind in typing.get_args(wire.Message)
    }
    samples["row:Member"] = members.encode(make_sample(members.Member))
    transfer = assignment.Transfer(first=0, last=9, owner="n1/5")
    samples["row:Assignment"] = (
        assignment.make_empty().apply([transfer]).encode()
    )
    return samples


def describe(name: str, content: bytes) -> str:
    """Describes what this version makes of a sample.

    Returns:
        The decoded value, or the narrow error that refuses it.
    """
    try:
        if name == "row:Member":
            return repr(members.decode(content))
        if name == "row:Assignment":
            return repr(assignment.decode(content).find(0))
        return repr(wire.decode(content))
    except (
        wire.CannotDecode,
        members.CannotDecode,
        assignment.CannotDecode,
    ) as error:
        return f"refused: {error}"


def write() -> None:
    """Writes the samples of this version to standard output."""
    samples = {name: data.hex() for name, data in list_samples().items()}
    print(json.dumps(samples, indent=1, sort_keys=True))


def decode() -> None:
    """Describes the samples that come on standard input."""
    samples = json.load(sys.stdin)
    described = {
        name: describe(name, bytes.fromhex(text))
        for name, text in samples.items()
    }
    print(json.dumps(described, indent=1, sort_keys=True))


if __name__ == "__main__":
    fire.Fire({"write": write, "decode": decode})
