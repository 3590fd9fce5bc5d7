"""Decodes the settings file that the platform gives to each process."""

import dataclasses
import os
import pathlib
from typing import Any

import msgspec

SETTINGS_VARIABLE = "RHUBARBLEAD_NODE_FILE"
METRICS_PORT = 9_464
"""As `metrics` in deploy/system.toml says; the settings don't name it."""

DEFAULT_PATH = "/etc/rhubarblead/settings.json"


class CannotLoad(Exception):
    """The settings file can't be read or names something impossible."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Times and shares that the platform holds the system to."""

    grace_ms: int = 6_000
    hold_max_ms: int = 10_000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_extra_count: float = 62.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """What one process is told about itself and its surroundings.

    `callers` is where clients and the server of this instance send requests,
    `heartbeats` where the server sends its heartbeats, `upstream` the server.
    """

    instance: str
    failure_domain: str
    service: str
    callers: Address
    readiness: Address
    heartbeats: Address
    upstream: Address
    peers_port: int
    store: Address
    metrics: Address
    heartbeat_ms: int
    bounds: Bounds


class _Listen(msgspec.Struct):
    # "outbound" is what leaves the server and its clients: it comes in here.
    outbound: str
    readiness: str
    control: str


class _Platform(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="camel"):
    node_name: str
    ip_address: str
    zone: str
    listen_addresses: _Listen
    internal_port_range: tuple[int, int]
    application: str
    service: str
    platform: _Platform
    heartbeat_interval_ms: int = 1_000
    bounds: list[str] = msgspec.field(default_factory=list)


_DESCRIPTIONS = {
    "node_name": "the instance, named in each line of the log",
    "ip_address": "its address, also of the metrics",
    "zone": "its failure domain",
    "listen_addresses": (
        "where callers (`outbound`), heartbeats (`control`) and checks"
        " (`readiness`) come in"
    ),
    "internal_port_range": "the first port is where other nodes connect",
    "application": "where the server beside this node listens",
    "service": "the service of that server",
    "platform": "the address of the store",
    "heartbeat_interval_ms": "time between the server's heartbeats",
    "bounds": "times and shares as NAME=NUMBER, those unnamed by default",
}


def describe() -> list[tuple[str, str, str]]:
    """Describes each field that is read: name, default and meaning."""
    rows = []
    for field in msgspec.structs.fields(_File):
        default = "required" if field.required else f"`{field.default}`"
        if field.default_factory is not msgspec.NODEFAULT:
            default = "none"
        rows.append((field.encode_name, default, _DESCRIPTIONS[field.name]))
    return rows


def load(path: str | None = None) -> Deployment:
    """Loads and checks the settings.

    Args:
        path: The file; by default the one that the environment names.

    Returns:
        The checked settings.

    Raises:
        CannotLoad: The file can't be read, or a field is missing or wrong.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        content = pathlib.Path(name).read_bytes()
    except OSError as error:
        raise CannotLoad(f"{name}: {error.strerror}") from error
    return decode(content)


def decode(content: bytes) -> Deployment:
    """Decodes the content of a settings file.

    Raises:
        CannotLoad: A field is missing or wrong.
    """
    try:
        raw = msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise CannotLoad(f"settings: {error}") from error
    faults = _find_faults(raw)
    if faults:
        raise CannotLoad("settings: " + "; ".join(faults))
    found = msgspec.convert(raw, type=_File)
    return Deployment(
        instance=found.node_name,
        failure_domain=found.zone,
        service=found.service,
        callers=read_address(found.listen_addresses.outbound),
        readiness=read_address(found.listen_addresses.readiness),
        heartbeats=read_address(found.listen_addresses.control),
        upstream=read_address(found.application),
        peers_port=found.internal_port_range[0],
        store=read_address(found.platform.address),
        metrics=Address(ip=found.ip_address, port=METRICS_PORT),
        heartbeat_ms=found.heartbeat_interval_ms,
        bounds=_read_bounds(found.bounds),
    )


def read_address(text: str) -> Address:
    """Reads an address such as "10.1.0.38:8146".

    Raises:
        ValueError: It is no address with a port.
    """
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise ValueError(f"{text!r} is not an address with a port")
    return Address(ip=ip, port=int(port))


def _find_faults(raw: dict[str, Any]) -> list[str]:
    """Finds what is wrong with each field of a settings file."""
    faults = []
    for field in msgspec.structs.fields(_File):
        if field.encode_name not in raw:
            if field.required:
                faults.append(f"{field.encode_name} is missing")
            continue
        try:
            _check_field(field, raw[field.encode_name])
        except (msgspec.MsgspecError, ValueError) as error:
            faults.append(f"{field.encode_name}: {error}")
    return faults


def _check_field(field: msgspec.structs.FieldInfo, raw: object) -> None:
    """Checks the type of a field, and the addresses or bounds in it.

    Raises:
        msgspec.ValidationError: It has the wrong type.
        ValueError: It names no address, or a bound without a number.
    """
    value = msgspec.convert(raw, type=field.type)
    match value:
        case _Listen():
            for address in (value.outbound, value.readiness, value.control):
                read_address(address)
        case _Platform():
            read_address(value.address)
        case str() if field.name == "application":
            read_address(value)
        case list():
            _read_bounds(value)


def _read_bounds(texts: list[str]) -> Bounds:
    found = dict(text.partition("=")[::2] for text in texts)
    default = Bounds()

    def read(name: str, factor: float, fallback: float) -> float:
        if name not in found:
            return fallback
        try:
            return float(found[name]) * factor
        except ValueError as error:
            raise ValueError(f"{name}={found[name]} is not a number") from error

    return Bounds(
        grace_ms=int(read("graceS", 1_000, default.grace_ms)),
        hold_max_ms=int(read("holdMaxMs", 1, default.hold_max_ms)),
        retry_ratio=read("retryBudgetRatio", 1, default.retry_ratio),
        retry_window_ms=int(
            read("budgetWindowS", 1_000, default.retry_window_ms)
        ),
        # Its unit is requests in one window, over all nodes together.
        retry_extra_count=read(
            "budgetExtraRetries", 1, default.retry_extra_count
        ),
    )
