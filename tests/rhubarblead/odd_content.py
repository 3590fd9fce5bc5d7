"""Changes valid content into what another writer may have left."""

import copy
import json
from typing import Any

from hypothesis import strategies
import msgspec

_DEPTH = 30_000
_PLACEHOLDER = "odd-value"

DEEP = "deep"
HUGE = "huge"

ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**31,
    2**62,
    2**63 - 1,
    -(2**63),
    1e308,
    -0.5,
    "",
    "x" * 70_000,
    "\u00b2",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:\u00b2",
    "127.0.0.1",
    "[::1]:80",
    "9" * 5_000,
    [],
    {},
    [[[]]],
    {"": {}},
    DEEP,
    HUGE,
)


def list_paths(document: Any) -> list[tuple[Any, ...]]:  # noqa: ANN401
    """Lists the paths to all values in a document, its root among them."""
    paths: list[tuple[Any, ...]] = [()]
    items: list[tuple[Any, Any]] = []
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    for key, value in items:
        paths += [(key, *rest) for rest in list_paths(value)]
    return paths


def _replace(document: Any, path: tuple[Any, ...], value: Any) -> Any:  # noqa: ANN401
    if not path:
        return value
    changed = copy.copy(document)
    changed[path[0]] = _replace(document[path[0]], path[1:], value)
    return changed


def _encode_json(document: Any, odd: Any) -> bytes:  # noqa: ANN401
    text = json.dumps(document)
    quoted = json.dumps(_PLACEHOLDER)
    match odd:
        case "deep":
            text = text.replace(quoted, "[" * _DEPTH + "]" * _DEPTH)
        case "huge":
            text = text.replace(quoted, "9" * 400)
    return text.encode()


def _encode_msgpack(document: Any, odd: Any) -> bytes:  # noqa: ANN401
    content = msgspec.msgpack.encode(document)
    quoted = msgspec.msgpack.encode(_PLACEHOLDER)
    match odd:
        case "deep":
            content = content.replace(quoted, b"\x91" * _DEPTH + b"\xc0")
        case "huge":
            content = content.replace(quoted, b"\xcf" + b"\xff" * 8)
    return content


def make_changed(sample: bytes, *, is_json: bool) -> Any:  # noqa: ANN401
    """Returns a strategy for the sample with one value that is odd.

    Args:
        sample: Valid content.
        is_json: Whether it is JSON; else it is msgpack.
    """
    codec = msgspec.json if is_json else msgspec.msgpack
    document = codec.decode(sample)

    def change(path: tuple[Any, ...], odd: Any, extra: bool) -> bytes:  # noqa: ANN401
        is_raw = odd in (DEEP, HUGE) and isinstance(odd, str)
        value = _PLACEHOLDER if is_raw else odd
        changed = _replace(document, path, value)
        if extra and isinstance(document, dict):
            # In a field that nothing reads.
            changed = {**document, "another": value}
        if extra and isinstance(document, list):
            changed = [*document, value]
        encode = _encode_json if is_json else _encode_msgpack
        return encode(changed, odd)

    return strategies.builds(
        change,
        strategies.sampled_from(list_paths(document)),
        strategies.sampled_from(ODD_VALUES),
        strategies.booleans(),
    )


def make_damaged(sample: bytes) -> Any:  # noqa: ANN401
    """Returns a strategy for the sample with some bytes of another kind."""

    def damage(position: int, noise: bytes, length: int) -> bytes:
        return sample[:position] + noise + sample[position + length :]

    return strategies.builds(
        damage,
        strategies.integers(0, len(sample)),
        strategies.binary(max_size=8),
        strategies.integers(0, len(sample)),
    )
