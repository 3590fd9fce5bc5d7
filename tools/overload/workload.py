"""Workloads of the overload simulation, read from a JSON file."""

import pathlib

import msgspec

CATALOG = pathlib.Path(__file__).with_name("workloads.json")


class CannotFind(Exception):
    """The catalog has no workload of that name."""


class RequestClass(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """One kind of request.

    `sigma` is the spread of the log-normal service times. A refused caller
    comes back at most `retry_count` times. `late_worth` is what a response
    after the target is worth, compared with `worth` before it.
    """

    name: str
    rate_per_s: float
    service_ms: float
    sigma: float
    target_ms: int
    deadline_ms: int
    priority: int
    retry_count: int
    worth: float = 1.0
    late_worth: float = 0.5


class Surge(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A time in which `factor` times as many requests arrive."""

    at_ms: int
    for_ms: int
    factor: float


class HotKeys(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A time in which `share` of the requests go to adjacent keys."""

    at_ms: int
    for_ms: int
    share: float
    first_key: int
    key_count: int


class Slowdown(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A time in which some servers take `factor` times as long."""

    at_ms: int
    for_ms: int
    server_count: int
    factor: float


class Noise(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Other work on a server's machine.

    In a `share` of the spans of `each_ms`, runs that begin there take `factor`
    times as long.
    """

    share: float
    factor: float
    each_ms: int


class Workload(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Servers of one service, the requests for it and what goes wrong.

    `speeds` are factors of the service times, assigned to the servers in turn.
    """

    name: str
    server_count: int
    slot_count: int
    speeds: tuple[float, ...]
    length_ms: int
    is_keyed: bool
    classes: tuple[RequestClass, ...]
    surges: tuple[Surge, ...] = ()
    hot_keys: tuple[HotKeys, ...] = ()
    slowdowns: tuple[Slowdown, ...] = ()
    noise: Noise | None = None


def load_catalog(path: pathlib.Path = CATALOG) -> tuple[Workload, ...]:
    """Loads all workloads of a catalog.

    Args:
        path: A JSON file with a list of workloads.

    Raises:
        msgspec.ValidationError: The file doesn't describe workloads.
    """
    return msgspec.json.decode(path.read_bytes(), type=tuple[Workload, ...])


def find(name: str) -> Workload:
    """Finds a workload of the catalog.

    Raises:
        CannotFind: There is none of that name.
    """
    for item in load_catalog():
        if item.name == name:
            return item
    raise CannotFind(name)
